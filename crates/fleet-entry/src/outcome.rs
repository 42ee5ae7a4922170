//! What the end of a send means: one table from how it ended, whether the request may run again
//! and how much of an answer the client has, to what happens next.

use crate::answer::Refusal;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The endpoint states that the request did not run, or nothing was written to it.
    NotRun,
    /// The endpoint answered with a failure of its own.
    FailedThere,
    /// The answer is lost or not the request's; the request may have run.
    Unknown,
    /// The time that the request may take ran out.
    OutOfTime,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Runs {
    /// Once at most.
    Once,
    /// Any number of times.
    Repeatable,
}

/// What the client has of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Passed {
    /// Nothing.
    Nothing,
    /// The head, and perhaps some of the body.
    Part,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Send to another endpoint, if attempts, budget and time allow; otherwise as given.
    Again(Otherwise),
    /// Do not send again.
    End(Otherwise),
}

/// How a request ends that is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Otherwise {
    /// Answer in place of the endpoint.
    Refuse(Refusal),
    /// Pass on the endpoint's failure.
    PassOn,
    /// Close the connection in the middle of the answer.
    BreakOff,
}

/// The table. `ran` tells whether an earlier send of the request may have run: then a refusal must
/// not say that it has not.
pub fn next(ended: Ended, runs: Runs, passed: Passed, ran: bool) -> Next {
    let refuse =
        |not_run: Refusal, other: Refusal| Otherwise::Refuse(if ran { other } else { not_run });
    match (ended, runs, passed) {
        (Ended::OutOfTime, _, Passed::Part) => Next::End(Otherwise::BreakOff),
        (Ended::OutOfTime, _, Passed::Nothing) => Next::End(Otherwise::Refuse(Refusal::TimedOut)),
        (Ended::NotRun | Ended::Unknown | Ended::FailedThere, Runs::Repeatable, Passed::Part) => {
            Next::Again(Otherwise::BreakOff)
        }
        (_, Runs::Once, Passed::Part) => Next::End(Otherwise::BreakOff),
        (Ended::NotRun, Runs::Repeatable, Passed::Nothing) => {
            Next::Again(refuse(Refusal::Overloaded, Refusal::Unknown))
        }
        (Ended::NotRun, Runs::Once, Passed::Nothing) if ran => {
            Next::End(Otherwise::Refuse(Refusal::Unknown))
        }
        (Ended::NotRun, Runs::Once, Passed::Nothing) => {
            Next::Again(Otherwise::Refuse(Refusal::Overloaded))
        }
        (Ended::FailedThere, Runs::Repeatable, Passed::Nothing) => Next::Again(Otherwise::PassOn),
        (Ended::FailedThere, Runs::Once, Passed::Nothing) => Next::End(Otherwise::PassOn),
        (Ended::Unknown, Runs::Repeatable, Passed::Nothing) => {
            Next::Again(Otherwise::Refuse(Refusal::Unknown))
        }
        (Ended::Unknown, Runs::Once, Passed::Nothing) => {
            Next::End(Otherwise::Refuse(Refusal::Unknown))
        }
    }
}
