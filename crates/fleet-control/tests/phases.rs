//! Phases of a roll-out by its elapsed time and the verdict on the new version.

use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet_control::roll_out::Stage;
use hickoryreel_fleet_control::roll_out::Verdict;
use hickoryreel_fleet_control::roll_out::next_phase;
use yare::parameterized;

const LENGTH_MS: u64 = 15_000;

fn next(
    phase: Phase,
    elapsed: f64,
    moving: f64,
    drained: bool,
    verdict: &Verdict,
) -> Option<Phase> {
    let part = |fraction: f64| (LENGTH_MS as f64 * fraction) as u64;
    let roll_out = RollOut {
        serial: 1,
        service: "service".into(),
        target: "v2".into(),
        length_ms: LENGTH_MS,
        phase,
        share: 270,
        elapsed_ms: 0,
    };
    next_phase(&Stage {
        roll_out: &roll_out,
        elapsed_ms: part(elapsed),
        moving_ms: part(moving),
        drained,
        verdict,
    })
}

fn worse() -> Verdict {
    Verdict::Worse("slow".to_owned())
}

fn suspect() -> Verdict {
    Verdict::Suspect("slow".to_owned())
}

/// Guards against a bad version that replaces the old one without a verdict, and against a sound
/// one that has not replaced it by the deadline.
#[parameterized(
    bad_in_trial = { Phase::Trial, 0.6, 0.0, false, worse(), Some(Phase::RolledBack) },
    bad_after_the_move = { Phase::Moving, 0.8, 0.05, true, worse(), Some(Phase::RolledBack) },
    sound = { Phase::Trial, 0.75, 0.0, false, Verdict::Sound, Some(Phase::Moving) },
    suspect_goes_on_with_the_trial = { Phase::Trial, 0.8, 0.0, false, suspect(), None },
    unknown_goes_on_with_the_trial = { Phase::Trial, 0.8, 0.0, false, Verdict::Unknown, None },
    suspect_at_the_end = { Phase::Trial, 0.85, 0.0, false, suspect(), Some(Phase::RolledBack) },
    hardly_any_traffic = { Phase::Trial, 0.85, 0.0, false, Verdict::Unknown, Some(Phase::Moving) },
    moved_too_short = { Phase::Moving, 0.87, 0.02, true, Verdict::Sound, None },
    drained = { Phase::Moving, 0.82, 0.07, true, Verdict::Sound, Some(Phase::Complete) },
    not_drained = { Phase::Moving, 0.85, 0.1, false, Verdict::Sound, None },
    never_drained = { Phase::Moving, 0.91, 0.07, false, Verdict::Sound, Some(Phase::Complete) },
    suspect_is_held = { Phase::Moving, 0.91, 0.1, true, suspect(), None },
    not_yet_judged_is_held = { Phase::Moving, 0.91, 0.1, true, Verdict::Unknown, None },
    suspect_to_the_end = { Phase::Moving, 0.95, 0.11, true, suspect(), Some(Phase::RolledBack) },
    suspect_at_the_deadline = { Phase::Moving, 0.95, 0.01, false, suspect(), Some(Phase::RolledBack) },
    deadline = { Phase::Moving, 0.95, 0.01, false, Verdict::Sound, Some(Phase::Complete) },
    hardly_any_traffic_at_the_deadline = { Phase::Moving, 0.95, 0.01, false, Verdict::Unknown, Some(Phase::Complete) },
)]
fn phase_follows(
    phase: Phase,
    elapsed: f64,
    moving: f64,
    drained: bool,
    verdict: Verdict,
    expected: Option<Phase>,
) {
    let next = next(phase, elapsed, moving, drained, &verdict);

    assert_eq!(next, expected);
}
