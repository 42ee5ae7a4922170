//! Answers of the machine, reduced to the parts that the oracle predicts.

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::order;
use hickoryreel_state::order::Fence;
use hickoryreel_state::record;

/// Answer to a command, without error messages and stored content.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Revision after an operator write, a roll-out step or a change of pace.
    Operation(Result<Revision, Kind>),
    /// Answers to the record changes of a batch, in order.
    Records(Vec<Record>),
    /// The fencing token that was taken.
    Fence(Fence),
    /// Fencing token of the order lease or order; `None` if the answer has none.
    Order(Result<Option<Fence>, Kind>),
    /// The command was applied and has no other answer.
    Applied,
}

/// Answer to a record change.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Opened,
    /// The record is open and its session was moved to another version.
    Moved,
    /// The session is pinned to another version.
    Pinned(Version),
    /// The request ran before and its stored answer is returned.
    Answered,
    /// The request was answered before; it may run again but isn't billed again.
    Repeat,
    Closed,
    /// The record was already closed, or another dispatch or holder has taken it over.
    AlreadyClosed,
    Refused(Kind),
}

impl Answer {
    /// Labels of the parts of the answer, which are counted to show what a run covers.
    pub fn labels(&self) -> Vec<String> {
        let result = |of: &str, error: Option<&Kind>| {
            vec![error.map_or_else(|| format!("{of} accepted"), |kind| format!("{of} {kind:?}"))]
        };
        match self {
            Self::Operation(answer) => result("operation", answer.as_ref().err()),
            Self::Order(answer) => result("order", answer.as_ref().err()),
            Self::Records(records) => records.iter().map(Record::label).collect(),
            Self::Fence(_) => vec!["fence".to_owned()],
            Self::Applied => vec!["applied".to_owned()],
        }
    }
}

impl Record {
    fn label(&self) -> String {
        match self {
            Self::Pinned(_) => "record Pinned".to_owned(),
            Self::Refused(kind) => format!("record {kind:?}"),
            other => format!("record {other:?}"),
        }
    }
}

impl From<&Outcome> for Answer {
    fn from(outcome: &Outcome) -> Self {
        let kind = |error: &Error| error.kind;
        match outcome {
            Outcome::Operation(result) => {
                Self::Operation(result.as_ref().map(|accepted| accepted.revision).map_err(kind))
            }
            Outcome::Records(outcomes) => {
                Self::Records(outcomes.iter().map(Record::from).collect())
            }
            Outcome::Fence(fence) => Self::Fence(*fence),
            Outcome::Order(result) => Self::Order(result.as_ref().map(fence).map_err(kind)),
            Outcome::Applied | Outcome::AlreadyApplied => Self::Applied,
        }
    }
}

fn fence(accepted: &order::Accepted) -> Option<Fence> {
    match accepted {
        order::Accepted::Lease(lease) => Some(lease.fence),
        order::Accepted::Order(fence) => Some(*fence),
        order::Accepted::Recorded => None,
    }
}

impl From<&record::Outcome> for Record {
    fn from(outcome: &record::Outcome) -> Self {
        match outcome {
            record::Outcome::Opened => Self::Opened,
            record::Outcome::Moved => Self::Moved,
            record::Outcome::Pinned(version) => Self::Pinned(version.clone()),
            record::Outcome::Answered(_) => Self::Answered,
            record::Outcome::Repeat => Self::Repeat,
            record::Outcome::Closed => Self::Closed,
            record::Outcome::AlreadyClosed => Self::AlreadyClosed,
            record::Outcome::Refused(error) => Self::Refused(error.kind),
        }
    }
}
