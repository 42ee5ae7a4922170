//! Availability of an endpoint according to its own answers.
//!
//! The state belongs to one incarnation of an endpoint at one entry. An endpoint that restarts at
//! the same address, or under the same id, begins anew. Times are on the boot clock, so that a
//! pause also ends while the VM is suspended.

use std::time::Duration;

use hickoryreel_fleet::explanation::Reason;
use hickoryreel_fleet::load::RANKS;

/// Requests without an answer that an endpoint may have when its pause has ended. Each request that
/// it accepts doubles the number.
const INITIAL_TRIAL_LIMIT: u32 = 2;

/// Limit above which a trial ends.
const MAX_TRIAL_LIMIT: u32 = 16;

/// Part of the remaining pause over which the return of refused requests is spread.
const SPREAD_FRACTION: f64 = 0.5;

const MIN_SPREAD: Duration = Duration::from_millis(300);

/// Maximum delay of a refused request. The endpoints may be replaced before their pauses end.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Availability of one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    leaving: bool,
    /// End of the pause that ends last.
    paused_until: Duration,
    /// Number of times that `paused_until` changed.
    pauses: u32,
    /// Limits the requests after a pause until the endpoint has accepted some.
    trial: Option<Trial>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Trial {
    limit: u32,
    /// Requests since the pause whose answers have not begun.
    unanswered: u32,
}

/// Permission to send one request. A later pause revokes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    pauses: u32,
    on_trial: bool,
}

impl Availability {
    /// Records that the endpoint is leaving. It never takes this back. Returns whether this is new.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the endpoint wants no requests for a time. Returns whether this changes the end
    /// of its pause.
    pub fn pause(&mut self, now: Duration, length: Duration) -> bool {
        let until = now + length;
        if length.is_zero() || until <= self.paused_until {
            return false;
        }
        self.paused_until = until;
        self.pauses = self.pauses.wrapping_add(1);
        self.trial = Some(Trial { limit: INITIAL_TRIAL_LIMIT, unanswered: 0 });
        true
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether it may get a request at time `now`.
    pub fn is_available(&self, now: Duration) -> bool {
        self.reason(now).is_none()
    }

    /// Returns why it may not get a request at time `now`, or `None` if it may.
    pub fn reason(&self, now: Duration) -> Option<Reason> {
        if self.leaving {
            Some(Reason::Leaving)
        } else if self.is_paused(now) {
            let left = self.paused_until.saturating_sub(now);
            Some(Reason::Paused { left_ms: left.as_millis() as u64 })
        } else {
            let is_full = self.trial.is_some_and(|trial| trial.unanswered >= trial.limit);
            is_full.then_some(Reason::OnTrial)
        }
    }

    /// Counts a request that is sent while the endpoint is available.
    pub fn admit(&mut self) -> Admission {
        if let Some(trial) = &mut self.trial {
            trial.unanswered += 1;
        }
        Admission { pauses: self.pauses, on_trial: self.trial.is_some() }
    }

    /// Whether an admitted request may still be written.
    pub fn permits(&self, admission: Admission) -> bool {
        !self.leaving && admission.pauses == self.pauses
    }

    /// Records that the answer of an admitted request began, or that the request ended without one.
    /// Returns whether this may have made the endpoint available.
    pub fn record_end(&mut self, admission: Admission, accepted: bool) -> bool {
        let Some(trial) = &mut self.trial else { return false };
        if !admission.on_trial || admission.pauses != self.pauses {
            return false;
        }
        trial.unanswered = trial.unanswered.saturating_sub(1);
        if accepted {
            trial.limit *= 2;
        }
        if trial.limit > MAX_TRIAL_LIMIT {
            self.trial = None;
        }
        true
    }
}

/// When the endpoints take requests again, according to their answers, if none of them does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// No endpoint is known, or the obstacle is another one.
    Unknown,
    /// All endpoints are leaving.
    Leaving,
    /// All endpoints are in zones where the request may not be served.
    Excluded,
    /// The earliest end of a pause. It is not later than now if an endpoint is on trial after its
    /// pause.
    Paused(Duration),
}

impl Outlook {
    /// Outlook at time `now` for the known endpoints that are present and do not drain.
    pub fn new(endpoints: impl IntoIterator<Item = Availability>, now: Duration) -> Self {
        let (mut is_known, mut earliest) = (false, None);
        for endpoint in endpoints {
            if endpoint.is_available(now) {
                return Self::Unknown;
            }
            is_known = true;
            if !endpoint.leaving {
                let end = endpoint.paused_until;
                earliest = Some(earliest.map_or(end, |earliest: Duration| earliest.min(end)));
            }
        }
        match earliest {
            Some(end) => Self::Paused(end),
            None if is_known => Self::Leaving,
            None => Self::Unknown,
        }
    }

    /// Delay after which a request that is refused at time `now` may come back; `None` if the
    /// outlook does not tell. More urgent ranks come back first, at random within a rank: `point` is
    /// drawn from 0 to 1.
    pub fn retry_after(self, now: Duration, rank: u8, point: f64) -> Option<Duration> {
        let Self::Paused(end) = self else { return None };
        let left = end.saturating_sub(now).min(MAX_RETRY_AFTER);
        let spread = left.mul_f64(SPREAD_FRACTION).max(MIN_SPREAD);
        let rank = usize::from(rank).min(RANKS - 1);
        Some(left + spread.mul_f64((rank as f64 + point) / RANKS as f64))
    }
}
