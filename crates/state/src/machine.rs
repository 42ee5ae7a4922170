//! The state machine: applies commands one after the other.
//!
//! [`Machine::apply`] hands each command to the module that owns its part of the state: operator
//! writes to `operations` and `roll_out`, request records to `records`, orders to `orders`. After
//! each command `retention` prunes what the command touched. Nothing here reads a clock or a
//! random source, so replicas that apply the same commands hold equal states.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::account::Account;
use crate::admission::Rules;
use crate::command::Action;
use crate::command::BundleId;
use crate::command::Command;
use crate::command::Holder;
use crate::command::RecordChange;
use crate::command::Revision;
use crate::config::Config;
use crate::holders::Holders;
use crate::limits::Limits;
use crate::operations::Answers;
use crate::order;
use crate::order::Fence;
use crate::order::Order;
use crate::orders::Book;
use crate::record;
use crate::record::Bill;
use crate::record::Key;
use crate::record::Record;
use crate::record::Totals;
use crate::roll_out::RollOut;

/// State of a submitted bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Submitted, not signed off.
    Submitted,
    /// Signed off, not rolled out.
    SignedOff,
    /// Being rolled out.
    RollingOut,
    /// In force.
    Active,
    /// Replaced by a later bundle, or its roll-out was ended by a revert.
    Superseded,
}

/// A submitted bundle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Text of the bundle.
    pub text: Arc<str>,
    /// Who submitted it.
    pub submitted_by: Operator,
    /// Who signed it off.
    pub signed_off_by: Option<Operator>,
    /// Where it stands.
    pub stage: Stage,
    /// The bundle whose content a revert brought back.
    pub revert_of: Option<BundleId>,
    /// Revision at which it came into force.
    pub activated: Option<Revision>,
}

/// The newest withdrawal of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Revision of the withdrawal.
    pub revision: Revision,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who withdrew the version.
    pub by: Operator,
    /// Why.
    pub reason: Arc<str>,
    /// Revision of the bundle that restored the version.
    pub lifted: Option<Revision>,
}

/// Answer to an accepted operator write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision after the write.
    pub revision: Revision,
    /// The bundle the write was about, if any.
    pub bundle: Option<BundleId>,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answer to an operator write or a roll-out step.
    Operation(error::Result<Accepted>),
    /// Answers to record changes, in the order of the batch.
    Records(Vec<record::Outcome>),
    /// The fencing number that was taken.
    Fence(Fence),
    /// Answer to a change of the order lease or of an order.
    Order(Result<order::Accepted, Error>),
    /// The command was applied and has no answer.
    Applied,
    /// The index was applied before; the command had no effect.
    AlreadyApplied,
}

/// The replicated contents of the machine, as kept in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Contents {
    pub(crate) applied: u64,
    pub(crate) limits: Limits,
    pub(crate) config: Config,
    /// Id of the newest bundle; ids are not used again after a bundle is pruned.
    pub(crate) newest_bundle: BundleId,
    pub(crate) submissions: BTreeMap<BundleId, Submission>,
    pub(crate) roll_out: Option<RollOut>,
    pub(crate) withdrawals: BTreeMap<Version, Withdrawal>,
    pub(crate) answers: Answers,
    pub(crate) holders: Holders,
    pub(crate) accounts: BTreeMap<Workspace, Account>,
    pub(crate) orders: Book,
}

/// The control state.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    pub(crate) contents: Contents,
    /// The parsed bundles; derived from the contents.
    pub(crate) rules: Rules,
}

impl Machine {
    /// Applies the command at `index` of the log. An index that was applied before has no effect.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.contents.applied {
            return Outcome::AlreadyApplied;
        }
        self.contents.applied = index;
        let outcome = self.act(command.at_ms, &command.action);
        self.prune(command);
        outcome
    }

    fn act(&mut self, at_ms: u64, action: &Action) -> Outcome {
        match action {
            Action::Operate(operation) => Outcome::Operation(self.operate(at_ms, operation)),
            Action::Step(step) => Outcome::Operation(self.step(at_ms, *step)),
            Action::Pace(pace) => Outcome::Operation(self.pace(*pace)),
            Action::Records(changes) => {
                let changes = changes.iter();
                Outcome::Records(changes.map(|change| self.record(at_ms, change)).collect())
            }
            Action::Lapse(holder) => {
                self.contents.holders.lapse(holder, at_ms);
                Outcome::Applied
            }
            Action::TakeFence { .. } => Outcome::Fence(self.contents.orders.take_fence()),
            Action::Order(change) => {
                let wait_ms = self.contents.limits.order_send_ms;
                Outcome::Order(self.contents.orders.change(at_ms, wait_ms, change))
            }
            Action::SetLimits(limits) => {
                self.contents.limits = limits.clone();
                Outcome::Applied
            }
        }
    }

    fn record(&mut self, at_ms: u64, change: &RecordChange) -> record::Outcome {
        let result = match change {
            RecordChange::Open(open) => self.open(at_ms, open),
            RecordChange::Close(close) => self.close(at_ms, close),
            RecordChange::Move(change) => self.change_target(at_ms, change),
            RecordChange::Settle(settle) => self.settle(at_ms, settle),
        };
        result.unwrap_or_else(record::Outcome::Refused)
    }

    /// Index of the newest applied command.
    pub fn applied(&self) -> u64 {
        self.contents.applied
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.contents.config
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.contents.limits
    }

    /// The submitted bundles that are kept.
    pub fn submissions(&self) -> &BTreeMap<BundleId, Submission> {
        &self.contents.submissions
    }

    /// The running roll-out.
    pub fn roll_out(&self) -> Option<&RollOut> {
        self.contents.roll_out.as_ref()
    }

    /// The newest withdrawal of each version that was ever withdrawn.
    pub fn withdrawals(&self) -> &BTreeMap<Version, Withdrawal> {
        &self.contents.withdrawals
    }

    /// The record of a request, while it is kept.
    pub fn record_of(&self, key: &Key) -> Option<&Record> {
        self.contents.accounts.get(&key.workspace)?.record(&key.request)
    }

    /// The version a session is pinned to.
    pub fn pin(&self, workspace: &Workspace, session: &Session) -> Option<&Version> {
        self.contents.accounts.get(workspace)?.pin(session)
    }

    /// Open records of holders that have lapsed, in order of workspace and request id.
    pub fn unsettled(&self) -> Vec<(Key, Record)> {
        self.open_records(|holder| self.has_lapsed(holder))
    }

    /// Holders with open records.
    pub fn active_holders(&self) -> BTreeSet<Holder> {
        self.open_records(|_| true).into_iter().map(|(_, record)| record.holder).collect()
    }

    fn open_records(&self, of: impl Fn(&Holder) -> bool) -> Vec<(Key, Record)> {
        let accounts = self.contents.accounts.iter();
        let open = accounts.flat_map(|(workspace, account)| {
            account.open().map(move |(request, record)| {
                let key = Key { workspace: workspace.clone(), request: request.clone() };
                (key, record)
            })
        });
        open.filter(|(_, record)| of(&record.holder))
            .map(|(key, record)| (key, record.clone()))
            .collect()
    }

    /// Whether a holder has lapsed; it must not be granted a lease.
    pub fn has_lapsed(&self, holder: &Holder) -> bool {
        self.contents.holders.has_lapsed(holder)
    }

    /// The order lease.
    pub fn order_lease(&self) -> Option<&order::Lease> {
        self.contents.orders.lease()
    }

    /// The orders that are kept, by fencing number.
    pub fn orders(&self) -> &BTreeMap<Fence, Order> {
        self.contents.orders.orders()
    }

    /// Billed requests whose records are kept, in order of workspace and request id.
    pub fn bills(&self) -> Vec<Bill> {
        let accounts = self.contents.accounts.iter();
        accounts.flat_map(|(workspace, account)| account.bills(workspace)).collect()
    }

    /// Sums per workspace over all records, kept and pruned.
    pub fn totals(&self) -> BTreeMap<Workspace, Totals> {
        let accounts = self.contents.accounts.iter();
        accounts.map(|(workspace, account)| (workspace.clone(), account.totals)).collect()
    }
}
