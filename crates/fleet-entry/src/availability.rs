//! Availability of an endpoint according to its own answers.
//!
//! The state belongs to one incarnation of an endpoint at one entry. An endpoint that restarts at
//! the same address, or under the same id, begins anew.

use std::time::Duration;

/// Availability of one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    leaving: bool,
}

impl Availability {
    /// Records that the endpoint is leaving. It never takes this back. Returns whether this is new.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it may get a request at time `now`.
    pub fn is_available(&self, _now: Duration) -> bool {
        !self.leaving
    }
}

/// Reason why none of the endpoints takes a request, according to their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// No endpoint is known, or there is another reason.
    Unknown,
    /// All endpoints are leaving.
    Leaving,
}

impl Outlook {
    /// Outlook for the known endpoints that are present and do not drain.
    pub fn new(endpoints: impl IntoIterator<Item = Availability>) -> Self {
        let mut endpoints = endpoints.into_iter().peekable();
        match endpoints.peek().is_some() && endpoints.all(|endpoint| endpoint.is_leaving()) {
            true => Self::Leaving,
            false => Self::Unknown,
        }
    }
}
