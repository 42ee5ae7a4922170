//! Prunes the state after each command to bound its size.
//!
//! What is pruned depends only on the limits in the state and on the time of the command, so all
//! replicas prune the same. A batch of record changes prunes the workspaces that it names; every
//! other command prunes the whole state.

use std::collections::BTreeSet;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Workspace;

use crate::command::Action;
use crate::command::BundleId;
use crate::command::Command;
use crate::command::RecordChange;
use crate::machine::Contents;
use crate::machine::Machine;
use crate::machine::Stage;

impl Machine {
    pub(crate) fn prune(&mut self, command: &Command) {
        let contents = &mut self.contents;
        match &command.action {
            Action::Records(changes) => {
                let changed: BTreeSet<&Workspace> = changes.iter().map(workspace_of).collect();
                for workspace in changed {
                    if let Some(account) = contents.accounts.get_mut(workspace) {
                        account.prune(&contents.limits, command.at_ms);
                    }
                }
            }
            _ => contents.prune_all(command.at_ms),
        }
    }
}

fn workspace_of(change: &RecordChange) -> &Workspace {
    match change {
        RecordChange::Open(open) => &open.key.workspace,
        RecordChange::Close(close) => &close.key.workspace,
        RecordChange::Move(change) => &change.key.workspace,
        RecordChange::Settle(settle) => &settle.key.workspace,
    }
}

impl Contents {
    fn prune_all(&mut self, at_ms: u64) {
        for account in self.accounts.values_mut() {
            account.prune(&self.limits, at_ms);
        }
        self.answers.prune(&self.limits, at_ms);
        self.orders.prune(&self.limits, at_ms);
        self.prune_holders(at_ms);
        self.prune_submissions();
    }

    fn prune_holders(&mut self, at_ms: u64) {
        let open_records = self.accounts.values().flat_map(|account| account.open());
        let held: BTreeSet<&Entry> = open_records.map(|(_, record)| &record.holder.entry).collect();
        let before_ms = at_ms.saturating_sub(self.limits.record_age_ms);
        self.holders.prune(before_ms, |entry| held.contains(entry));
    }

    /// Drops the oldest bundles beyond the limit. The active bundle, the one that was in force
    /// before it (so that a revert is possible) and the candidate are always kept.
    fn prune_submissions(&mut self) {
        let max = self.limits.bundles.max(1) as usize;
        if self.submissions.len() <= max {
            return;
        }
        let previous = self
            .submissions
            .iter()
            .filter(|(_, submission)| submission.stage == Stage::Superseded)
            .max_by_key(|(_, submission)| submission.activated)
            .map(|(id, _)| *id);
        let others = self.submissions.iter().filter(|(id, submission)| {
            let in_use = matches!(submission.stage, Stage::Active | Stage::RollingOut);
            !in_use && Some(**id) != previous
        });
        let others: Vec<BundleId> = others.map(|(id, _)| *id).collect();
        for id in &others[..others.len().saturating_sub(max)] {
            self.submissions.remove(id);
        }
    }
}
