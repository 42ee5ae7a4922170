//! Decision table for the end of a send: from how it ended, whether the request may run again and
//! whether the client has a part of the answer, to what happens next.

use crate::answer::Refusal;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendEnd {
    /// The endpoint states that the request did not run, or nothing was sent to it.
    NotRun,
    /// The endpoint became unavailable before the request was written.
    NotSent,
    /// No endpoint is expected to answer in time, and nothing was sent.
    NotAdmitted,
    /// The endpoint answered with an error.
    EndpointFailed,
    /// The answer is lost or belongs to another request; the request may have run.
    Unknown,
    DeadlineExceeded,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Runs {
    /// At most once.
    Once,
    /// Any number of times.
    Repeatable,
}

/// How much of the answer was forwarded to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivered {
    Nothing,
    /// The head, and possibly some of the body.
    Partial,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Send to another endpoint if attempts, budget and time allow; otherwise end with the fallback.
    Retry(Fallback),
    /// End without another send.
    End(Fallback),
}

/// How a request ends that is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fallback {
    /// Answer in place of the endpoint.
    Refuse(Refusal),
    /// Forward the endpoint's error.
    ForwardFailure,
    /// Close the client's connection before the answer is complete.
    Abort,
}

/// Looks up what happens next. If an earlier send of the request may have run, a refusal must not
/// state that it has not.
pub fn decide(ended: SendEnd, runs: Runs, delivered: Delivered, may_have_run: bool) -> Next {
    let refuse = |not_run: Refusal, other: Refusal| {
        Fallback::Refuse(if may_have_run { other } else { not_run })
    };
    match (ended, runs, delivered) {
        (SendEnd::DeadlineExceeded, _, Delivered::Partial) => Next::End(Fallback::Abort),
        (SendEnd::DeadlineExceeded, _, Delivered::Nothing) => {
            Next::End(Fallback::Refuse(Refusal::TimedOut))
        }
        (SendEnd::NotAdmitted, _, Delivered::Partial) => Next::End(Fallback::Abort),
        (SendEnd::NotAdmitted, _, Delivered::Nothing) => {
            Next::End(refuse(Refusal::Overloaded, Refusal::Unknown))
        }
        (
            SendEnd::NotRun | SendEnd::NotSent | SendEnd::Unknown | SendEnd::EndpointFailed,
            Runs::Repeatable,
            Delivered::Partial,
        ) => Next::Retry(Fallback::Abort),
        (_, Runs::Once, Delivered::Partial) => Next::End(Fallback::Abort),
        (SendEnd::NotRun | SendEnd::NotSent, Runs::Repeatable, Delivered::Nothing) => {
            Next::Retry(refuse(Refusal::Overloaded, Refusal::Unknown))
        }
        (SendEnd::NotRun | SendEnd::NotSent, Runs::Once, Delivered::Nothing) if may_have_run => {
            Next::End(Fallback::Refuse(Refusal::Unknown))
        }
        (SendEnd::NotRun | SendEnd::NotSent, Runs::Once, Delivered::Nothing) => {
            Next::Retry(Fallback::Refuse(Refusal::Overloaded))
        }
        (SendEnd::EndpointFailed, Runs::Repeatable, Delivered::Nothing) => {
            Next::Retry(Fallback::ForwardFailure)
        }
        (SendEnd::EndpointFailed, Runs::Once, Delivered::Nothing) => {
            Next::End(Fallback::ForwardFailure)
        }
        (SendEnd::Unknown, Runs::Repeatable, Delivered::Nothing) => {
            Next::Retry(Fallback::Refuse(Refusal::Unknown))
        }
        (SendEnd::Unknown, Runs::Once, Delivered::Nothing) => {
            Next::End(Fallback::Refuse(Refusal::Unknown))
        }
    }
}
