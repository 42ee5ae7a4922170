//! Model of operator writes, roll-out steps and the pace of a step.

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::FULL_PACE;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::Pace;
use hickoryreel_state::command::Revision;
use hickoryreel_state::command::Step;

use super::Bundle;
use super::BundleContent;
use super::Oracle;
use super::RollOut;
use super::Withdrawal;

impl Oracle {
    pub(super) fn apply_operation(
        &mut self,
        at_ms: u64,
        operation: &Operation,
    ) -> Result<Revision, Kind> {
        let same_id = |write: &&(Operation, Result<Revision, Kind>, u64)| {
            write.0.operator == operation.operator && write.0.request == operation.request
        };
        if let Some((first, result, _)) = self.writes.iter().find(same_id) {
            let is_same = first.change == operation.change && first.based_on == operation.based_on;
            return if is_same { *result } else { Err(Kind::RequestIdReused) };
        }
        let result = self.check_and_apply(at_ms, operation);
        self.writes.push((operation.clone(), result, at_ms));
        result
    }

    fn check_and_apply(&mut self, at_ms: u64, operation: &Operation) -> Result<Revision, Kind> {
        let by_system = &*operation.operator == "system";
        let is_withdrawal = matches!(operation.change, Change::Withdraw { .. });
        if by_system && !is_withdrawal {
            return Err(Kind::NotAllowed);
        }
        if !by_system && operation.based_on != self.revision {
            return Err(Kind::StaleRevision);
        }
        if let Change::Withdraw { version, .. } = &operation.change
            && self.is_withdrawn(version)
        {
            return Ok(self.revision);
        }
        self.apply_change(at_ms, operation)?;
        self.revision += 1;
        Ok(self.revision)
    }

    fn apply_change(&mut self, at_ms: u64, operation: &Operation) -> Result<(), Kind> {
        let operator = operation.operator.to_string();
        match &operation.change {
            Change::Submit { text } => {
                let content = self.contents.get(text).cloned().ok_or(Kind::InvalidBundle)?;
                let newest =
                    |restored: &(_, Revision)| self.withdrawn_at(&restored.0) == Some(restored.1);
                if !content.restores.iter().all(newest) {
                    return Err(Kind::InvalidBundle);
                }
                self.add_bundle(content, operator);
                Ok(())
            }
            Change::SignOff { bundle } => {
                let found = self.bundle_mut(*bundle)?;
                if found.is_signed_off || found.submitted_by == operator {
                    return Err(Kind::WrongState);
                }
                found.is_signed_off = true;
                Ok(())
            }
            Change::RollOut { bundle } => self.start_roll_out(at_ms, *bundle),
            Change::Advance { bundle, percent } => {
                let running = self.roll_out_mut(*bundle)?;
                if running.is_paused || *percent <= running.percent || *percent > 100 {
                    return Err(Kind::WrongState);
                }
                let steps = &self.content(*bundle).steps;
                let step = steps.iter().filter(|step| *step <= percent).count() as u32;
                self.enter_step(at_ms, *bundle, step, *percent);
                Ok(())
            }
            Change::Pause { bundle } => self.set_paused(*bundle, true),
            Change::Resume { bundle } => self.set_paused(*bundle, false),
            Change::Revert { bundle } => {
                let found = self.bundle_mut(*bundle)?;
                if !found.was_active {
                    return Err(Kind::WrongState);
                }
                let content = found.content.clone();
                let id = self.add_bundle(content, operator);
                self.bundle_mut(id)?.is_signed_off = true;
                self.put_into_force(id);
                Ok(())
            }
            Change::Withdraw { version, .. } => {
                if !self.bundles.iter().any(|bundle| bundle.content.versions.contains(version)) {
                    return Err(Kind::NotFound);
                }
                let (version, revision) = (version.clone(), self.revision + 1);
                let in_active =
                    self.active.is_some_and(|id| self.content(id).versions.contains(&version));
                let running = self.roll_out.as_ref().map(|running| running.bundle);
                let in_candidate =
                    running.is_some_and(|id| self.content(id).versions.contains(&version));
                if let Some(running) = &mut self.roll_out
                    && in_candidate
                    && !in_active
                {
                    running.is_paused = true;
                }
                self.withdrawals.push(Withdrawal { version, revision, is_lifted: false });
                Ok(())
            }
        }
    }

    fn add_bundle(&mut self, content: BundleContent, submitted_by: String) -> BundleId {
        self.bundles.push(Bundle {
            content,
            submitted_by,
            is_signed_off: false,
            was_started: false,
            was_active: false,
        });
        self.bundles.len() as BundleId
    }

    fn bundle_mut(&mut self, id: BundleId) -> Result<&mut Bundle, Kind> {
        let index = usize::try_from(id).ok().and_then(|id| id.checked_sub(1));
        index.and_then(|index| self.bundles.get_mut(index)).ok_or(Kind::NotFound)
    }

    fn start_roll_out(&mut self, at_ms: u64, id: BundleId) -> Result<(), Kind> {
        if self.roll_out.is_some() {
            return Err(Kind::WrongState);
        }
        let found = self.bundle_mut(id)?;
        if !found.is_signed_off || found.was_started {
            return Err(Kind::WrongState);
        }
        found.was_started = true;
        if self.active.is_none() {
            self.put_into_force(id);
            return Ok(());
        }
        self.set_roll_out(at_ms, id, 0, 0);
        Ok(())
    }

    fn roll_out_mut(&mut self, id: BundleId) -> Result<&mut RollOut, Kind> {
        self.roll_out.as_mut().filter(|running| running.bundle == id).ok_or(Kind::WrongState)
    }

    fn set_paused(&mut self, id: BundleId, is_paused: bool) -> Result<(), Kind> {
        let running = self.roll_out_mut(id)?;
        if running.is_paused == is_paused {
            return Err(Kind::WrongState);
        }
        running.is_paused = is_paused;
        Ok(())
    }

    fn enter_step(&mut self, at_ms: u64, id: BundleId, step: u32, percent: u8) {
        if percent == 100 {
            self.put_into_force(id);
        } else {
            self.set_roll_out(at_ms, id, step, percent);
        }
    }

    fn set_roll_out(&mut self, at_ms: u64, bundle: BundleId, step: u32, percent: u8) {
        let (is_paused, pace) = (false, FULL_PACE);
        self.roll_out = Some(RollOut { bundle, step, percent, started_ms: at_ms, is_paused, pace });
    }

    fn put_into_force(&mut self, id: BundleId) {
        self.active = Some(id);
        self.roll_out = None;
        let bundle = &mut self.bundles[id as usize - 1];
        bundle.was_started = true;
        bundle.was_active = true;
        for (version, revision) in bundle.content.restores.clone() {
            let newest = self.withdrawals.iter_mut().rev().find(|found| found.version == version);
            if let Some(newest) = newest
                && newest.revision == revision
            {
                newest.is_lifted = true;
            }
        }
    }

    pub(super) fn apply_step(&mut self, at_ms: u64, step: Step) -> Result<Revision, Kind> {
        let running = self.roll_out.clone().filter(|running| running.bundle == step.bundle);
        let Some(running) = running else {
            let is_done = self.active == Some(step.bundle)
                && (1..=self.content(step.bundle).steps.len() as u32).contains(&step.number);
            return if is_done { Ok(self.revision) } else { Err(Kind::WrongState) };
        };
        if step.number >= 1 && step.number <= running.step {
            return Ok(self.revision);
        }
        let content = self.content(step.bundle);
        let is_early = running.step > 0 && at_ms < running.started_ms + content.step_ms;
        let percent = content.steps.get(running.step as usize).copied();
        match percent {
            Some(percent) if step.number == running.step + 1 && !running.is_paused && !is_early => {
                self.enter_step(at_ms, step.bundle, step.number, percent);
                self.revision += 1;
                Ok(self.revision)
            }
            _ => Err(Kind::WrongState),
        }
    }

    pub(super) fn apply_pace(&mut self, pace: Pace) -> Result<Revision, Kind> {
        let running = self.roll_out_mut(pace.bundle)?;
        if running.step != pace.step || pace.parts > FULL_PACE {
            return Err(Kind::WrongState);
        }
        let changes = running.pace != pace.parts;
        running.pace = pace.parts;
        self.revision += u64::from(changes);
        Ok(self.revision)
    }

    pub(super) fn prune_writes(&mut self, at_ms: u64) {
        let before_ms = at_ms.saturating_sub(self.limits.answer_age_ms);
        while let Some((_, _, at_ms)) = self.writes.first() {
            if *at_ms >= before_ms && self.writes.len() <= self.limits.answers as usize {
                break;
            }
            self.writes.drain(..1);
        }
    }
}
