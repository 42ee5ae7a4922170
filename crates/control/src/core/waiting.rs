//! Callers that wait for an answer of the log, by token.

use std::collections::HashMap;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Refusal;

use super::Answer;
use super::Failure;
use super::Reader;

/// Who waits for a token.
pub(super) enum Waiter {
    /// A proposal.
    Propose(Answer<hickoryreel_state::machine::Outcome>),
    /// A member change.
    Change(Answer<()>),
    /// A linearizable read.
    Read(Reader),
}

/// Waiters by token.
#[derive(Default)]
pub(super) struct Waiting {
    last_token: u64,
    waiters: HashMap<u64, Waiter>,
}

impl Waiting {
    /// Adds a waiter and returns its token.
    pub(super) fn add(&mut self, waiter: Waiter) -> u64 {
        self.last_token += 1;
        self.waiters.insert(self.last_token, waiter);
        self.last_token
    }

    /// Removes the waiter of `token`.
    pub(super) fn take(&mut self, token: u64) -> Option<Waiter> {
        self.waiters.remove(&token)
    }
}

impl Waiter {
    /// Tells the waiter that its input failed.
    pub(super) fn fail(self, failure: Failure) {
        // Those who wait may have given up.
        match self {
            Self::Propose(reply) => drop(reply.send(Err(failure))),
            Self::Change(reply) => drop(reply.send(Err(failure))),
            Self::Read(reader) => reader(Err(failure)),
        }
    }
}

/// The failure that belongs to an outcome, if it is one.
pub(super) fn failure(outcome: &Outcome) -> Option<Failure> {
    match outcome {
        Outcome::Committed { .. } | Outcome::ReadReady { .. } => None,
        Outcome::NotLeader { hint } => Some(Failure {
            error: Error::new(Kind::NotLeader, "this replica is not the leader"),
            leader: hint.clone(),
        }),
        Outcome::LeadershipLost => {
            let message = "leadership ended before a quorum confirmed; it may still take effect";
            Some(Error::new(Kind::NoQuorum, message).into())
        }
        Outcome::Refused(refusal) => Some(refused(*refusal).into()),
    }
}

fn refused(refusal: Refusal) -> Error {
    let (kind, message) = match refusal {
        Refusal::TooLarge => (Kind::RequestTooLarge, "the command is larger than the log takes"),
        Refusal::Busy => (Kind::QueueFull, "too much work waits for a quorum"),
        Refusal::DiskFull => (Kind::StorageFull, "the disk of the leader is full"),
        Refusal::ChangePending => (Kind::WrongState, "another member change is not committed yet"),
        Refusal::NotCaughtUp => (Kind::WrongState, "the replica is not caught up yet"),
        Refusal::CannotAdd => {
            (Kind::WrongState, "the replica is a member already, or there are too many members")
        }
        Refusal::NoSuchMember => (Kind::NotFound, "there is no such replica in the member set"),
        Refusal::LastVoter => (Kind::WrongState, "the last voter can't be removed"),
    };
    Error::new(kind, message)
}
