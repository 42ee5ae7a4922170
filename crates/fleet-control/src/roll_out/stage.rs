//! Stage of a roll-out, and which phase follows it.

use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;

use crate::roll_out::comparison::Verdict;

/// Fraction of the planned duration at which the trial starts. Sessions must stay at their version
/// during the first half.
const TRIAL_START_FRACTION: f64 = 0.51;

/// Fraction of the planned duration at which the share of a sound version becomes [`EVEN_SHARE`].
const EVEN_START_FRACTION: f64 = 0.63;

/// Minimum fraction of the planned duration for which the versions are compared with even shares.
const MIN_EVEN_FRACTION: f64 = 0.09;

/// Share of the requests, in thousandths, with which both versions have the same load, if they have
/// as many endpoints. A version that is slower only under its full load shows it.
pub const EVEN_SHARE: u32 = 500;

/// Maximum ratio of [`EVEN_SHARE`] to the share of the trial. With a smaller share, the exposure limit
/// leaves no room for even shares.
const MAX_SHARE_RATIO: u32 = 3;

/// Fraction of the planned duration at which the trial of a sound version ends.
const TRIAL_END_FRACTION: f64 = 0.75;

/// Fraction of the planned duration up to which the trial goes on without a verdict.
const MAX_TRIAL_FRACTION: f64 = 0.84;

/// Fraction of the planned duration after which the roll-out completes although requests are
/// outstanding at the old version. The rest allows for lost acknowledgements.
const COMPLETE_FRACTION: f64 = 0.90;

/// Fraction of the planned duration up to which a version that is not known to be sound is held: it
/// does not replace the old one. Then a suspect one is rolled back. The rest allows for lost acknowledgements.
const MAX_HOLD_FRACTION: f64 = 0.94;

/// Minimum fraction of the planned duration for which all new requests go to the new version before
/// it may replace the old one.
const MIN_MOVING_FRACTION: f64 = 0.06;

/// State of a roll-out that decides on its next phase.
pub struct Stage<'a> {
    pub roll_out: &'a RollOut,
    /// Time since the operator ordered the roll-out.
    pub elapsed_ms: u64,
    /// Time for which the shares of the versions have been even.
    pub even_ms: u64,
    /// Time for which all new requests have gone to the new version.
    pub moving_ms: u64,
    /// Whether no request is outstanding at the old version.
    pub drained: bool,
    pub verdict: &'a Verdict,
}

impl Stage<'_> {
    /// Fraction of the planned duration.
    fn fraction(&self, time_ms: u64) -> f64 {
        time_ms as f64 / self.roll_out.length_ms.max(1) as f64
    }

    /// Whether the exposure limit leaves room for even shares that are not in force yet.
    fn may_raise_share(&self) -> bool {
        let share = self.roll_out.share;
        share < EVEN_SHARE && share * MAX_SHARE_RATIO >= EVEN_SHARE
    }
}

/// Whether the shares of both versions become even now.
pub fn raises_share(stage: &Stage<'_>) -> bool {
    let fraction = stage.fraction(stage.elapsed_ms);
    stage.roll_out.phase == Phase::Trial
        && *stage.verdict == Verdict::Sound
        && stage.may_raise_share()
        && (EVEN_START_FRACTION..MAX_TRIAL_FRACTION).contains(&fraction)
}

/// Returns the phase that follows now, or `None` if the roll-out stays in its phase.
///
/// A version that is suspect at the end of the longest trial is rolled back: the old version still
/// serves most requests. After the move it is held, because its caches fill up, and rolled back if
/// it is still suspect at the end: once it is complete, the old version is gone.
pub fn next_phase(stage: &Stage<'_>) -> Option<Phase> {
    if matches!(stage.verdict, Verdict::Worse(_)) {
        return Some(Phase::RolledBack);
    }
    let fraction = stage.fraction(stage.elapsed_ms);
    let moved = stage.fraction(stage.moving_ms) >= MIN_MOVING_FRACTION;
    let suspect = matches!(stage.verdict, Verdict::Suspect(_));
    match stage.roll_out.phase {
        Phase::Pending => (fraction >= TRIAL_START_FRACTION).then_some(Phase::Trial),
        Phase::Trial if fraction >= MAX_TRIAL_FRACTION => {
            Some(if suspect { Phase::RolledBack } else { Phase::Moving })
        }
        Phase::Trial => {
            let even = stage.fraction(stage.even_ms) >= MIN_EVEN_FRACTION;
            let compared = even || stage.roll_out.share * MAX_SHARE_RATIO < EVEN_SHARE;
            let sound = *stage.verdict == Verdict::Sound;
            (sound && compared && fraction >= TRIAL_END_FRACTION).then_some(Phase::Moving)
        }
        Phase::Moving => {
            let held = fraction >= MAX_HOLD_FRACTION;
            let ended = stage.drained || fraction >= COMPLETE_FRACTION;
            match stage.verdict {
                Verdict::Sound if moved && ended => Some(Phase::Complete),
                Verdict::Suspect(_) => held.then_some(Phase::RolledBack),
                _ => held.then_some(Phase::Complete),
            }
        }
        Phase::Complete | Phase::RolledBack => None,
    }
}
