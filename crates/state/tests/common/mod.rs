//! Fixtures for the tests of the state machine.

// Each test file uses a part of the fixtures.
#![allow(dead_code, unreachable_pub)]

use std::sync::Arc;

use hickoryreel_base::error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::Pace;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Step;
use hickoryreel_state::machine::Accepted;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::record;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::StoredAnswer;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;

/// Time of the first command, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_000_000_000;

/// A bundle in which workspaces `stall` and `lots` may use `versions` and the service `ledger`.
pub fn bundle(versions: &[&str]) -> String {
    bundle_with(versions, "")
}

/// [`bundle`] with `extra` lines in the section of each version.
pub fn bundle_with(versions: &[&str], extra: &str) -> String {
    let mut text = "[bundle]\ndeployment = registry\n[roll-out]\nsteps = 5, 50, 100\nstep-s = 60\n\
                    [service ledger]\nrun-once = transfer\n"
        .to_owned();
    for version in versions {
        text += &format!("[version {version}]\n{extra}\n");
    }
    for (workspace, digit) in [("stall", "1"), ("lots", "2")] {
        text += &format!(
            "[workspace {workspace}]\nkey-sha256 = {}\nranks = urgent\nversions = {}\n\
             services = ledger\n",
            digit.repeat(64),
            versions.join(", ")
        );
    }
    text
}

/// A machine, the log index of its newest command, the time of the next command, and the number of
/// operator writes so far.
#[derive(Default)]
pub struct Log {
    pub machine: Machine,
    pub index: u64,
    pub at_ms: u64,
    pub writes: u64,
}

impl Log {
    /// A log whose active bundle allows `versions` to every workspace.
    pub fn with_versions(versions: &[&str]) -> Self {
        let mut log = Self { at_ms: START_MS, ..Self::default() };
        let id = log.signed_off(&bundle(versions));
        log.write("ann", Change::RollOut { bundle: id }).expect("the first bundle is rolled out");
        log
    }

    pub fn apply(&mut self, action: Action) -> Outcome {
        self.index += 1;
        self.machine.apply(self.index, &Command { at_ms: self.at_ms, action })
    }

    /// Applies an operator write with a new request id, based on the newest revision.
    pub fn write(&mut self, operator: &str, change: Change) -> error::Result<Accepted> {
        self.writes += 1;
        let request = format!("write-{}", self.writes);
        let based_on = self.machine.config().revision;
        self.operate(operator, &request, based_on, change)
    }

    pub fn operate(
        &mut self,
        operator: &str,
        request: &str,
        based_on: u64,
        change: Change,
    ) -> error::Result<Accepted> {
        let operation =
            Operation { operator: operator.into(), request: request.into(), based_on, change };
        match self.apply(Action::Operate(operation)) {
            Outcome::Operation(result) => result,
            other => panic!("expected the answer to an operation, found {other:?}"),
        }
    }

    /// Sets the pace of a step for a controller.
    pub fn pace(&mut self, pace: Pace) -> error::Result<Accepted> {
        match self.apply(Action::Pace(pace)) {
            Outcome::Operation(result) => result,
            other => panic!("expected the answer to a pace, found {other:?}"),
        }
    }

    pub fn step(&mut self, bundle: BundleId, number: u32) -> error::Result<Accepted> {
        match self.apply(Action::Step(Step { bundle, number })) {
            Outcome::Operation(result) => result,
            other => panic!("expected the answer to a step, found {other:?}"),
        }
    }

    /// Submits a bundle as `ann` and signs it off as `ben`.
    pub fn signed_off(&mut self, text: &str) -> BundleId {
        let submitted = self.write("ann", submit(text)).expect("the bundle is submitted");
        let bundle = submitted.bundle.expect("a submission has an id");
        self.write("ben", Change::SignOff { bundle }).expect("the bundle is signed off");
        bundle
    }

    /// Submits a bundle, signs it off and rolls it out completely.
    pub fn publish(&mut self, text: &str) -> BundleId {
        let bundle = self.signed_off(text);
        self.write("ann", Change::RollOut { bundle }).expect("the roll-out starts");
        self.write("ann", Change::Advance { bundle, percent: 100 }).expect("it completes");
        bundle
    }

    pub fn withdraw(&mut self, version: &str) -> u64 {
        let change = Change::Withdraw { version: version.into(), reason: "bad answers".into() };
        self.write("ann", change).expect("the version is withdrawn").revision
    }

    pub fn record(&mut self, change: RecordChange) -> record::Outcome {
        match self.apply(Action::Records(vec![change])) {
            Outcome::Records(mut outcomes) => outcomes.remove(0),
            other => panic!("expected answers to records, found {other:?}"),
        }
    }

    pub fn open(&mut self, open: &Open) -> record::Outcome {
        self.record(RecordChange::Open(open.clone()))
    }

    pub fn close(&mut self, close: &Close) -> record::Outcome {
        self.record(RecordChange::Close(close.clone()))
    }

    /// An open of `request` that is routed by the newest revision at the current time.
    pub fn opening(&self, request: &str) -> Open {
        Open { revision: self.machine.config().revision, request_ms: self.at_ms, ..open(request) }
    }
}

pub fn submit(text: &str) -> Change {
    Change::Submit { text: text.into() }
}

pub fn holder(incarnation: u64) -> Holder {
    Holder { entry: "entry-1".into(), incarnation }
}

pub fn key(request: &str) -> Key {
    Key { workspace: "stall".into(), request: request.into() }
}

pub fn version(name: &str) -> Target {
    Target::Version(name.into())
}

/// An open of a repeatable request on `quill/v1`, routed by revision 0.
pub fn open(request: &str) -> Open {
    Open {
        key: key(request),
        holder: holder(1),
        attempt: 1,
        target: version("quill/v1"),
        endpoint: "engine-1".into(),
        run_once: false,
        session: None,
        digest: 7,
        revision: 0,
        request_ms: START_MS,
    }
}

/// `open` as a run-once call of the service `ledger`.
pub fn run_once(open: Open) -> Open {
    Open { run_once: true, target: Target::Service("ledger".into()), ..open }
}

pub fn usage() -> Usage {
    Usage { prompt_tokens: 100, completion_tokens: 20, cost: 1.5 }
}

/// The close of the dispatch that `open` started.
pub fn close(open: &Open, end: End) -> Close {
    Close {
        key: open.key.clone(),
        holder: open.holder.clone(),
        attempt: open.attempt,
        end,
        runs: Default::default(),
        answer: None,
    }
}

pub fn stored_answer() -> StoredAnswer {
    StoredAnswer { status: 200, body: Arc::from(&b"moved 4 crates"[..]) }
}

/// The error kind of a refused record change.
pub fn kind(outcome: &record::Outcome) -> Option<Kind> {
    match outcome {
        record::Outcome::Refused(error) => Some(error.kind),
        _ => None,
    }
}
