//! Callers that wait for a reply from the log, by token.

use std::collections::HashMap;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Refusal;

use super::Failure;
use super::Reader;
use super::ReplySender;

/// A waiting caller and how to reply to it.
pub(super) enum Waiter {
    Propose(ReplySender<hickoryreel_state::machine::Outcome>),
    ChangeMembers(ReplySender<()>),
    Read(Reader),
}

#[derive(Default)]
pub(super) struct Waiters {
    last_token: u64,
    waiters: HashMap<u64, Waiter>,
}

impl Waiters {
    /// Adds a waiter and returns its new token.
    pub(super) fn add(&mut self, waiter: Waiter) -> u64 {
        self.last_token += 1;
        self.waiters.insert(self.last_token, waiter);
        self.last_token
    }

    /// Removes and returns the waiter with `token`.
    pub(super) fn take(&mut self, token: u64) -> Option<Waiter> {
        self.waiters.remove(&token)
    }
}

impl Waiter {
    /// Replies with a failure.
    pub(super) fn fail(self, failure: Failure) {
        // Sending fails if the caller no longer waits.
        match self {
            Self::Propose(reply_to) => drop(reply_to.send(Err(failure))),
            Self::ChangeMembers(reply_to) => drop(reply_to.send(Err(failure))),
            Self::Read(reader) => reader(Err(failure)),
        }
    }
}

/// Returns the failure that `outcome` stands for; `None` if it is a success.
pub(super) fn failure_of(outcome: &Outcome) -> Option<Failure> {
    match outcome {
        Outcome::Committed { .. } | Outcome::ReadReady { .. } => None,
        Outcome::NotLeader { hint } => Some(Failure {
            error: Error::new(Kind::NotLeader, "this replica is not the leader"),
            leader: hint.clone(),
        }),
        Outcome::LeadershipLost => {
            let message = "leadership was lost; the request may still take effect";
            Some(Error::new(Kind::NoQuorum, message).into())
        }
        Outcome::Refused(refusal) => Some(refusal_error(*refusal).into()),
    }
}

fn refusal_error(refusal: Refusal) -> Error {
    let (kind, message) = match refusal {
        Refusal::TooLarge => (Kind::RequestTooLarge, "the command is larger than the log accepts"),
        Refusal::Busy => (Kind::QueueFull, "too many requests wait for a quorum"),
        Refusal::DiskFull => (Kind::StorageFull, "the disk of the leader is full"),
        Refusal::ChangePending => (Kind::WrongState, "another member change is not committed yet"),
        Refusal::NotCaughtUp => (Kind::WrongState, "the replica has not caught up yet"),
        Refusal::CannotAdd => {
            (Kind::WrongState, "the replica is a member already, or there are too many members")
        }
        Refusal::NoSuchMember => (Kind::NotFound, "the replica is not in the member set"),
        Refusal::LastVoter => (Kind::WrongState, "the last voter cannot be removed"),
    };
    Error::new(kind, message)
}
