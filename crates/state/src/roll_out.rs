//! Roll-outs: steps, pausing, exposure, and activation of a bundle.
//!
//! A roll-out starts at step 0 with no traffic. Controllers enter the bundle's steps in order with
//! [`crate::command::Step`]. The step number makes a resend idempotent, so a new leader can
//! continue where the previous one stopped. The last step puts the bundle into force.

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::ParsedBundles;
use crate::command::BundleId;
use crate::command::FULL_PACE;
use crate::command::Pace;
use crate::command::Step;
use crate::config::Candidate;
use crate::config::PublishedBundle;
use crate::machine::Accepted;
use crate::machine::Machine;
use crate::machine::Stage;
use crate::machine::Submission;
use crate::record::Target;

/// Share of traffic at which a bundle is in force, in percent.
const FULL_PERCENT: u8 = 100;

/// State of the running roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    pub bundle: BundleId,
    /// The current step, counted from 1 in the bundle's list of steps; 0 before the first step.
    pub step: u32,
    /// Share of requests that are routed by the bundle at full pace, in percent.
    pub percent: u8,
    /// When the current step was entered, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Requests opened in the current step on versions that are new in the bundle.
    pub exposed: u64,
    /// Requests opened since the start of the roll-out on versions that are new in the bundle.
    pub exposed_total: u64,
    pub paused: bool,
    /// Part of the step's share that takes new requests, from 0 to [`FULL_PACE`].
    pub pace: u8,
}

impl Machine {
    pub(crate) fn start_roll_out(
        &mut self,
        at_ms: u64,
        id: BundleId,
    ) -> error::Result<Option<BundleId>> {
        if let Some(running) = &self.contents.roll_out {
            return Err(wrong_state(format!("bundle {} is being rolled out", running.bundle)));
        }
        let submission = self.submission(id, Stage::SignedOff)?;
        submission.stage = Stage::RollingOut;
        let published = PublishedBundle { bundle: id, text: submission.text.clone() };
        if self.contents.config.active.is_none() {
            self.activate(published);
            return Ok(Some(id));
        }
        self.contents.roll_out = Some(RollOut {
            bundle: id,
            step: 0,
            percent: 0,
            started_ms: at_ms,
            exposed: 0,
            exposed_total: 0,
            paused: false,
            pace: FULL_PACE,
        });
        self.contents.config.candidate =
            Some(Candidate { published, percent: 0, step: 0, paused: false, pace: FULL_PACE });
        self.parsed = ParsedBundles::of(&self.contents.config);
        Ok(Some(id))
    }

    /// Enters the next step on behalf of a controller. A step that was already entered is accepted
    /// without effect.
    pub(crate) fn apply_step(&mut self, at_ms: u64, step: Step) -> error::Result<Accepted> {
        let accepted = |machine: &Self| Accepted {
            revision: machine.contents.config.revision,
            bundle: Some(step.bundle),
        };
        if self.was_entered(step) {
            return Ok(accepted(self));
        }
        let running = self.running(step.bundle)?;
        if running.paused {
            return Err(wrong_state(format!("the roll-out of bundle {} is paused", step.bundle)));
        }
        let (current, started_ms) = (running.step, running.started_ms);
        if step.number != current + 1 {
            let message = format!("step {} doesn't follow step {current}", step.number);
            return Err(wrong_state(message));
        }
        let plan = self.parsed.candidate().map(|bundle| &bundle.roll_out);
        let percent = plan.and_then(|plan| plan.steps.get(current as usize).copied());
        let Some(percent) = percent else {
            return Err(wrong_state(format!("bundle {} has no step {}", step.bundle, step.number)));
        };
        let min_step_ms = plan.map_or(0, |plan| u64::from(plan.step_s) * 1000);
        if current > 0 && at_ms < started_ms.saturating_add(min_step_ms) {
            return Err(wrong_state(format!("step {current} must last at least {min_step_ms} ms")));
        }
        self.enter_step(at_ms, step.number, percent);
        self.contents.config.revision += 1;
        Ok(accepted(self))
    }

    /// Whether the step was reached by the running roll-out or by that of the active bundle.
    fn was_entered(&self, step: Step) -> bool {
        let reached = match &self.contents.roll_out {
            Some(running) if running.bundle == step.bundle => running.step,
            _ => {
                let in_force = self.contents.config.active.as_ref();
                let is_active = in_force.is_some_and(|active| active.bundle == step.bundle);
                let plan = self.parsed.active().filter(|_| is_active);
                plan.map_or(0, |bundle| bundle.roll_out.steps.len() as u32)
            }
        };
        step.number >= 1 && step.number <= reached
    }

    /// Throttles, holds or releases the running step. The pace that is already set is accepted
    /// without effect.
    pub(crate) fn apply_pace(&mut self, pace: Pace) -> error::Result<Accepted> {
        let running = self.running(pace.bundle)?;
        if running.step != pace.step {
            let message =
                format!("the roll-out of bundle {} is in step {}", pace.bundle, running.step);
            return Err(wrong_state(message));
        }
        if pace.parts > FULL_PACE {
            let message = format!("pace is {}, expected 0 to {FULL_PACE}", pace.parts);
            return Err(wrong_state(message));
        }
        if running.pace != pace.parts {
            self.set_pace(pace.parts);
            self.contents.config.revision += 1;
        }
        Ok(Accepted { revision: self.contents.config.revision, bundle: Some(pace.bundle) })
    }

    fn set_pace(&mut self, parts: u8) {
        if let Some(running) = &mut self.contents.roll_out {
            running.pace = parts;
        }
        if let Some(candidate) = &mut self.contents.config.candidate {
            candidate.pace = parts;
        }
    }

    /// Raises the share of traffic on behalf of an operator.
    pub(crate) fn advance(
        &mut self,
        at_ms: u64,
        id: BundleId,
        percent: u8,
    ) -> error::Result<Option<BundleId>> {
        let running = self.running(id)?;
        if running.paused {
            return Err(wrong_state(format!("the roll-out of bundle {id} is paused")));
        }
        if percent <= running.percent || percent > FULL_PERCENT {
            let message =
                format!("found {percent}, expected {} to {FULL_PERCENT}", running.percent + 1);
            return Err(wrong_state(message));
        }
        let steps = self.parsed.candidate().map(|bundle| bundle.roll_out.steps.as_slice());
        let reached = steps.unwrap_or_default().iter().filter(|step| **step <= percent).count();
        self.enter_step(at_ms, reached as u32, percent);
        Ok(Some(id))
    }

    pub(crate) fn pause_or_resume(
        &mut self,
        id: BundleId,
        paused: bool,
    ) -> error::Result<Option<BundleId>> {
        let running = self.running(id)?;
        if running.paused == paused {
            let state = if paused { "paused" } else { "not paused" };
            return Err(wrong_state(format!("the roll-out of bundle {id} is {state}")));
        }
        self.set_paused(paused);
        Ok(Some(id))
    }

    pub(crate) fn set_paused(&mut self, paused: bool) {
        if let Some(running) = &mut self.contents.roll_out {
            running.paused = paused;
        }
        if let Some(candidate) = &mut self.contents.config.candidate {
            candidate.paused = paused;
        }
    }

    /// Counts an opened request if its version is new in the candidate bundle.
    pub(crate) fn count_exposure(&mut self, target: &Target) {
        let Some(running) = &mut self.contents.roll_out else { return };
        if let Target::Version(version) = target
            && self.parsed.is_new(version)
        {
            running.exposed += 1;
            running.exposed_total += 1;
        }
    }

    /// Ends the running roll-out without putting its bundle into force.
    pub(crate) fn cancel_roll_out(&mut self) {
        self.contents.config.candidate = None;
        if let Some(running) = self.contents.roll_out.take()
            && let Some(submission) = self.contents.submissions.get_mut(&running.bundle)
        {
            submission.stage = Stage::Superseded;
        }
    }

    /// Puts a bundle into force. The caller increments the revision afterwards.
    pub(crate) fn activate(&mut self, published: PublishedBundle) {
        let revision = self.contents.config.revision + 1;
        let submissions = &mut self.contents.submissions;
        let previous = self.contents.config.active.replace(published.clone());
        if let Some(previous) = previous.and_then(|old| submissions.get_mut(&old.bundle)) {
            previous.stage = Stage::Superseded;
        }
        if let Some(submission) = submissions.get_mut(&published.bundle) {
            submission.stage = Stage::Active;
            submission.activated = Some(revision);
        }
        self.contents.roll_out = None;
        self.contents.config.candidate = None;
        self.parsed = ParsedBundles::of(&self.contents.config);
        self.lift_withdrawals(revision);
    }

    fn enter_step(&mut self, at_ms: u64, step: u32, percent: u8) {
        if percent >= FULL_PERCENT {
            if let Some(candidate) = self.contents.config.candidate.take() {
                self.activate(candidate.published);
            }
            return;
        }
        self.set_pace(FULL_PACE);
        if let Some(running) = &mut self.contents.roll_out {
            running.step = step;
            running.percent = percent;
            running.started_ms = at_ms;
            running.exposed = 0;
        }
        if let Some(candidate) = &mut self.contents.config.candidate {
            candidate.step = step;
            candidate.percent = percent;
        }
    }

    /// Lifts the withdrawals that the active bundle names with `restores`.
    fn lift_withdrawals(&mut self, revision: u64) {
        let Some(bundle) = self.parsed.active() else { return };
        for (version, version_config) in &bundle.versions {
            if let Some(withdrawal) = self.contents.withdrawals.get_mut(version)
                && withdrawal.lifted.is_none()
                && version_config.restores == Some(withdrawal.revision)
            {
                withdrawal.lifted = Some(revision);
                self.contents.config.withdrawn.remove(version);
            }
        }
    }

    /// Whether a roll-out is running and `version` is new in its bundle.
    pub(crate) fn is_rolling_out(&self, version: &Version) -> bool {
        self.contents.roll_out.is_some() && self.parsed.is_new(version)
    }

    fn running(&self, id: BundleId) -> error::Result<&RollOut> {
        let running = self.contents.roll_out.as_ref().filter(|running| running.bundle == id);
        running.ok_or_else(|| wrong_state(format!("bundle {id} is not being rolled out")))
    }

    pub(crate) fn submission(
        &mut self,
        id: BundleId,
        stage: Stage,
    ) -> error::Result<&mut Submission> {
        let submission =
            self.contents.submissions.get_mut(&id).ok_or_else(|| bundle_not_found(id))?;
        if submission.stage != stage {
            let message = format!("bundle {id} is {:?}, expected {stage:?}", submission.stage);
            return Err(wrong_state(message));
        }
        Ok(submission)
    }
}

pub(crate) fn bundle_not_found(id: BundleId) -> Error {
    Error::new(Kind::NotFound, format!("there is no bundle {id}"))
}

pub(crate) fn wrong_state(message: impl Into<String>) -> Error {
    Error::new(Kind::WrongState, message)
}
