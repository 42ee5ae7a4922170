//! The state machine, which applies commands one at a time.
//!
//! [`Machine::apply`] passes each command to the module that owns its part of the state: operator
//! writes to `operations` and `roll_out`, request records to `records`, orders to `orders`. After
//! each command, `retention` prunes the state. Nothing here reads a clock or a random source, so
//! replicas that apply the same commands hold equal states.

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
use crate::admission::ParsedBundles;
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
use crate::orders::Orders;
use crate::record;
use crate::record::Bill;
use crate::record::Key;
use crate::record::Record;
use crate::record::Totals;
use crate::roll_out::RollOut;

/// Lifecycle stage of a submitted bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Submitted, not signed off.
    Submitted,
    /// Signed off, not rolled out.
    SignedOff,
    RollingOut,
    /// In force.
    Active,
    /// Replaced by a later bundle, or its roll-out was cancelled by a revert.
    Superseded,
}

/// A submitted bundle and how far it has got.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub text: Arc<str>,
    pub submitted_by: Operator,
    /// `None` until the bundle is signed off; a revert copies it from the earlier bundle.
    pub signed_off_by: Option<Operator>,
    pub stage: Stage,
    /// For a bundle made by a revert, the earlier bundle with the same content.
    pub revert_of: Option<BundleId>,
    /// Revision at which the bundle came into force, if it ever did.
    pub activated: Option<Revision>,
}

/// The newest withdrawal of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Revision that the withdrawal created.
    pub revision: Revision,
    /// Time of the withdrawal, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The operator who withdrew the version, or [`crate::command::SYSTEM`].
    pub by: Operator,
    /// The operator's text; not interpreted.
    pub reason: Arc<str>,
    /// Revision at which a bundle restored the version; `None` while it is withdrawn.
    pub lifted: Option<Revision>,
}

/// Answer to an accepted operator write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision after the write.
    pub revision: Revision,
    /// The bundle that the write concerned, if any.
    pub bundle: Option<BundleId>,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answer to an operator write or a roll-out step.
    Operation(error::Result<Accepted>),
    /// Answers to a batch of record changes, in the order of the batch.
    Records(Vec<record::Outcome>),
    /// The fencing token that was taken.
    Fence(Fence),
    /// Answer to a change of the order lease or of an order.
    Order(Result<order::Accepted, Error>),
    /// The command was applied and has no answer.
    Applied,
    /// The log index had been applied before; the command had no effect.
    AlreadyApplied,
}

/// The replicated part of the machine, as written to snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Contents {
    /// Log index of the newest applied command.
    pub(crate) applied: u64,
    pub(crate) limits: Limits,
    pub(crate) config: Config,
    /// Id of the newest bundle. Ids are not reused after a bundle is pruned.
    pub(crate) newest_bundle: BundleId,
    pub(crate) submissions: BTreeMap<BundleId, Submission>,
    pub(crate) roll_out: Option<RollOut>,
    pub(crate) withdrawals: BTreeMap<Version, Withdrawal>,
    pub(crate) answers: Answers,
    pub(crate) holders: Holders,
    pub(crate) accounts: BTreeMap<Workspace, Account>,
    pub(crate) orders: Orders,
}

/// State machine of the control log.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    pub(crate) contents: Contents,
    /// Derived from the contents, so it is not part of snapshots or comparisons.
    pub(crate) parsed: ParsedBundles,
}

impl Machine {
    /// Applies the command at the log index `index`. Applying an index again has no effect.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.contents.applied {
            return Outcome::AlreadyApplied;
        }
        self.contents.applied = index;
        let outcome = self.execute(command.at_ms, &command.action);
        self.prune(command);
        outcome
    }

    fn execute(&mut self, at_ms: u64, action: &Action) -> Outcome {
        match action {
            Action::Operate(operation) => {
                Outcome::Operation(self.apply_operation(at_ms, operation))
            }
            Action::Step(step) => Outcome::Operation(self.apply_step(at_ms, *step)),
            Action::Pace(pace) => Outcome::Operation(self.apply_pace(*pace)),
            Action::Records(changes) => {
                let changes = changes.iter();
                Outcome::Records(
                    changes.map(|change| self.apply_record_change(at_ms, change)).collect(),
                )
            }
            Action::Lapse(holder) => {
                self.contents.holders.lapse(holder, at_ms);
                Outcome::Applied
            }
            Action::TakeFence { .. } => Outcome::Fence(self.contents.orders.take_fence()),
            Action::Order(change) => {
                let max_send_delay_ms = self.contents.limits.order_send_ms;
                Outcome::Order(self.contents.orders.apply_change(at_ms, max_send_delay_ms, change))
            }
            Action::SetLimits(limits) => {
                self.contents.limits = limits.clone();
                Outcome::Applied
            }
        }
    }

    fn apply_record_change(&mut self, at_ms: u64, change: &RecordChange) -> record::Outcome {
        let result = match change {
            RecordChange::Open(open) => self.open_record(at_ms, open),
            RecordChange::Close(close) => self.close_record(at_ms, close),
            RecordChange::Move(change) => self.move_record(at_ms, change),
            RecordChange::Settle(settle) => self.settle_record(at_ms, settle),
        };
        result.unwrap_or_else(record::Outcome::Refused)
    }

    /// Log index of the newest applied command.
    pub fn applied(&self) -> u64 {
        self.contents.applied
    }

    /// The configuration that entries route by.
    pub fn config(&self) -> &Config {
        &self.contents.config
    }

    pub fn limits(&self) -> &Limits {
        &self.contents.limits
    }

    /// The submitted bundles that have not been pruned.
    pub fn submissions(&self) -> &BTreeMap<BundleId, Submission> {
        &self.contents.submissions
    }

    /// The running roll-out, if any.
    pub fn roll_out(&self) -> Option<&RollOut> {
        self.contents.roll_out.as_ref()
    }

    /// The newest withdrawal of each version, including withdrawals that were lifted.
    pub fn withdrawals(&self) -> &BTreeMap<Version, Withdrawal> {
        &self.contents.withdrawals
    }

    /// The record of a request, unless it was pruned.
    pub fn record_of(&self, key: &Key) -> Option<&Record> {
        self.contents.accounts.get(&key.workspace)?.record(&key.request)
    }

    /// The version that a session is pinned to, if any.
    pub fn pin(&self, workspace: &Workspace, session: &Session) -> Option<&Version> {
        self.contents.accounts.get(workspace)?.pin(session)
    }

    /// Open records of lapsed holders, ordered by workspace and request id. They are to be settled.
    pub fn unsettled(&self) -> Vec<(Key, Record)> {
        self.open_records(|holder| self.has_lapsed(holder))
    }

    /// Holders that have open records.
    pub fn active_holders(&self) -> BTreeSet<Holder> {
        self.open_records(|_| true).into_iter().map(|(_, record)| record.holder).collect()
    }

    fn open_records(&self, is_selected: impl Fn(&Holder) -> bool) -> Vec<(Key, Record)> {
        let accounts = self.contents.accounts.iter();
        let open = accounts.flat_map(|(workspace, account)| {
            account.open().map(move |(request, record)| {
                let key = Key { workspace: workspace.clone(), request: request.clone() };
                (key, record)
            })
        });
        open.filter(|(_, record)| is_selected(&record.holder))
            .map(|(key, record)| (key, record.clone()))
            .collect()
    }

    /// Whether a holder has lapsed. A lapsed holder must not be granted a lease.
    pub fn has_lapsed(&self, holder: &Holder) -> bool {
        self.contents.holders.has_lapsed(holder)
    }

    /// The newest order lease, which may have expired.
    pub fn order_lease(&self) -> Option<&order::Lease> {
        self.contents.orders.lease()
    }

    /// The orders that have not been pruned, by fencing token.
    pub fn orders(&self) -> &BTreeMap<Fence, Order> {
        self.contents.orders.orders()
    }

    /// Billed requests whose records have not been pruned, ordered by workspace and request id.
    pub fn bills(&self) -> Vec<Bill> {
        let accounts = self.contents.accounts.iter();
        accounts.flat_map(|(workspace, account)| account.bills(workspace)).collect()
    }

    /// Totals per workspace over all records, including pruned ones.
    pub fn totals(&self) -> BTreeMap<Workspace, Totals> {
        let accounts = self.contents.accounts.iter();
        accounts.map(|(workspace, account)| (workspace.clone(), account.totals)).collect()
    }
}
