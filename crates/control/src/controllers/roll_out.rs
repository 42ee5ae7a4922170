//! Advances roll-outs step by step.
//!
//! A step takes at least the `step-s` of the bundle and ends when every version that is new in the
//! bundle is healthy. If a version is suspected to be worse, its step gets fewer or no new requests
//! until pending ratings confirm or clear the suspicion. A bad version is withdrawn. If the
//! exposure budget of a step is spent without sufficient evidence, the roll-out is paused until an
//! operator resumes or advances it.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use hickoryreel_policy::health::SLOW_PACE_DIVISOR;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::FULL_PACE;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::Pace;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::command::Step;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::roll_out;
use slog::info;
use slog::warn;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::health::TestedVersion;
use crate::health::Verdict;
use crate::run::Control;

#[derive(Default)]
pub(super) struct RollOut {
    /// Parsed text of the bundle that is being rolled out.
    candidate: Option<(BundleId, Bundle)>,
}

/// What to do next in a roll-out.
#[derive(Debug, PartialEq)]
enum Decision {
    Wait,
    Advance,
    /// Accept this many of [`FULL_PACE`] parts of the step's requests.
    Pace(u8),
    Pause,
    /// Withdraw the version for the given reason.
    Withdraw(Version, String),
}

impl Controller for RollOut {
    fn name(&self) -> &'static str {
        "roll-out"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        async move {
            let Some(running) = &board.roll_out else {
                control.health.clear();
                return Ok(());
            };
            let Some(candidate) = self.candidate(board, running.bundle) else { return Ok(()) };
            match decide(control, board, running, candidate) {
                Decision::Wait => Ok(()),
                Decision::Advance => advance(control, running).await,
                Decision::Pace(pace_parts) => set_pace(control, running, pace_parts).await,
                Decision::Pause => pause(control, board, running).await,
                Decision::Withdraw(version, reason) => {
                    withdraw(control, running, version, &reason).await
                }
            }
        }
        .boxed()
    }
}

impl RollOut {
    fn candidate(&mut self, board: &Blackboard, id: BundleId) -> Option<&Bundle> {
        if self.candidate.as_ref().is_none_or(|(known, _)| *known != id) {
            let published = &board.config.candidate.as_ref()?.published;
            let parsed = bundle::parse("candidate", &published.text).ok()?;
            self.candidate = Some((id, parsed));
        }
        self.candidate.as_ref().map(|(_, bundle)| bundle)
    }
}

fn decide(
    control: &Control,
    board: &Blackboard,
    running: &roll_out::RollOut,
    candidate: &Bundle,
) -> Decision {
    let active = board.config.active.as_ref();
    let active = active.and_then(|published| bundle::parse("active", &published.text).ok());
    let is_new = |version: &Version| {
        !active.as_ref().is_some_and(|bundle| bundle.versions.contains_key(version))
    };
    let new_versions: Vec<&Version> =
        candidate.versions.keys().filter(|version| is_new(version)).collect();
    let plan = &candidate.roll_out;
    let verdicts = new_versions.iter().map(|version| {
        let replaces = candidate.versions.get(*version).and_then(|config| config.replaces.as_ref());
        let tested = TestedVersion {
            bundle: running.bundle,
            step: running.step,
            version: (*version).clone(),
            replaces: replaces.cloned(),
            exposure_budget: plan.exposure_budget,
        };
        let verdict = control.health.verdict(&tested);
        (*version, verdict)
    });
    let verdicts: Vec<(&Version, Verdict)> = verdicts.collect();
    let bad_version = verdicts.iter().find_map(|(version, verdict)| match verdict {
        Verdict::Bad(cause) if !board.config.withdrawn.contains(*version) => {
            Some(((*version).clone(), format!("{cause:?}").to_lowercase()))
        }
        _ => None,
    });
    if let Some((version, cause)) = bad_version {
        return Decision::Withdraw(version, format!("failed its health test: {cause}"));
    }
    if running.paused {
        return Decision::Wait;
    }
    let pace_parts =
        verdicts.iter().map(|(_, verdict)| parts_for(*verdict)).min().unwrap_or(FULL_PACE);
    if running.step > 0 && pace_parts != running.pace {
        return Decision::Pace(pace_parts);
    }
    if running.step == 0 {
        return Decision::Advance;
    }
    let min_duration_ms = u64::from(plan.step_s) * 1000;
    let min_duration_elapsed =
        board.read_at_ms >= running.started_ms.saturating_add(min_duration_ms);
    let healthy = verdicts.iter().all(|(_, verdict)| *verdict == Verdict::Healthy);
    match (healthy, min_duration_elapsed) {
        (true, true) => Decision::Advance,
        (false, _) if running.exposed >= u64::from(plan.exposure_budget) => Decision::Pause,
        _ => Decision::Wait,
    }
}

/// Returns how many of [`FULL_PACE`] parts of the step's share may receive new requests.
fn parts_for(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Hold | Verdict::Bad(_) => 0,
        // One in SLOW_PACE_DIVISOR of the requests of the step.
        Verdict::Slow => FULL_PACE / u8::try_from(SLOW_PACE_DIVISOR).unwrap_or(FULL_PACE),
        Verdict::Undecided | Verdict::Healthy => FULL_PACE,
    }
}

async fn set_pace(
    control: &Control,
    running: &roll_out::RollOut,
    pace_parts: u8,
) -> Result<(), Failure> {
    let pace = Pace { bundle: running.bundle, step: running.step, parts: pace_parts };
    if let Outcome::Operation(answer) = control.propose(Action::Pace(pace)).await? {
        let accepted = answer?;
        info!(control.log, "roll-out changed its pace"; "bundle" => pace.bundle,
            "step" => pace.step, "parts" => pace_parts, "revision" => accepted.revision);
    }
    Ok(())
}

async fn advance(control: &Control, running: &roll_out::RollOut) -> Result<(), Failure> {
    let step = Step { bundle: running.bundle, number: running.step + 1 };
    if let Outcome::Operation(answer) = control.propose(Action::Step(step)).await? {
        let accepted = answer?;
        info!(control.log, "roll-out advanced to a step"; "bundle" => step.bundle,
            "step" => step.number, "revision" => accepted.revision);
    }
    Ok(())
}

async fn pause(
    control: &Control,
    board: &Blackboard,
    running: &roll_out::RollOut,
) -> Result<(), Failure> {
    let change = Change::Pause { bundle: running.bundle };
    let request = format!("hold-{}-{}", running.bundle, running.step);
    write_as_system(control, &request, board.config.revision, change).await?;
    warn!(control.log, "exposure budget is spent; roll-out paused";
        "bundle" => running.bundle, "step" => running.step, "exposed" => running.exposed);
    Ok(())
}

async fn withdraw(
    control: &Control,
    running: &roll_out::RollOut,
    version: Version,
    reason: &str,
) -> Result<(), Failure> {
    warn!(control.log, "withdrawing a version"; "version" => %version, "reason" => reason);
    let request = format!("health-{}-{version}", running.bundle);
    let change = Change::Withdraw { version, reason: reason.into() };
    write_as_system(control, &request, 0, change).await
}

/// Writes in the name of the system. The request id is derived from the decision, so that the next
/// leader gets the answer to the first write if it makes the same decision again.
async fn write_as_system(
    control: &Control,
    request: &str,
    based_on: u64,
    change: Change,
) -> Result<(), Failure> {
    let operation = Operation {
        operator: Operator::from(SYSTEM),
        request: Request::from(request),
        based_on,
        change,
    };
    if let Outcome::Operation(answer) = control.propose(Action::Operate(operation)).await? {
        answer?;
    }
    Ok(())
}
