//! Phases of a roll-out by its elapsed time and the verdict on the new version.

use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet_control::roll_out::comparison::Verdict;
use hickoryreel_fleet_control::roll_out::stage::Stage;
use hickoryreel_fleet_control::roll_out::stage::next_phase;
use hickoryreel_fleet_control::roll_out::stage::raises_share;
use yare::parameterized;

const LENGTH_MS: u64 = 15_000;

fn part(fraction: f64) -> u64 {
    (LENGTH_MS as f64 * fraction) as u64
}

fn roll_out(phase: Phase, share: u32) -> RollOut {
    RollOut {
        serial: 1,
        service: "service".into(),
        target: "v2".into(),
        length_ms: LENGTH_MS,
        phase,
        share,
        elapsed_ms: 0,
    }
}

/// State after a time with even shares.
fn stage<'a>(roll_out: &'a RollOut, elapsed: f64, verdict: &'a Verdict) -> Stage<'a> {
    let even_ms = part(0.1);
    Stage { roll_out, elapsed_ms: part(elapsed), even_ms, moving_ms: 0, drained: false, verdict }
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
    let roll_out = roll_out(phase, 500);
    let stage = stage(&roll_out, elapsed, &verdict);

    let next = next_phase(&Stage { moving_ms: part(moving), drained, ..stage });

    assert_eq!(next, expected);
}

/// Guards against a move to a new version that was compared only under a part of its load, and
/// against a trial without end where the exposure limit allows no more.
#[parameterized(
    not_compared_with_even_shares = { 500, 0.05, None },
    compared_with_even_shares = { 500, 0.1, Some(Phase::Moving) },
    share_not_raised_yet = { 270, 0.0, None },
    low_exposure_limit = { 90, 0.0, Some(Phase::Moving) },
)]
fn move_follows_even_shares(share: u32, even: f64, expected: Option<Phase>) {
    let roll_out = roll_out(Phase::Trial, share);
    let stage = stage(&roll_out, 0.76, &Verdict::Sound);

    let next = next_phase(&Stage { even_ms: part(even), ..stage });

    assert_eq!(next, expected);
}

/// Guards against a share that is raised without a verdict, too early, beyond the exposure limit or
/// again.
#[parameterized(
    sound = { 270, 0.65, Verdict::Sound, true },
    no_verdict = { 270, 0.65, Verdict::Unknown, false },
    suspicion = { 270, 0.65, suspect(), false },
    early = { 270, 0.6, Verdict::Sound, false },
    low_exposure_limit = { 90, 0.65, Verdict::Sound, false },
    raised = { 500, 0.65, Verdict::Sound, false },
)]
fn share_of_a_sound_version_is_raised(share: u32, elapsed: f64, verdict: Verdict, expected: bool) {
    let roll_out = roll_out(Phase::Trial, share);

    let raised = raises_share(&stage(&roll_out, elapsed, &verdict));

    assert_eq!(raised, expected);
}
