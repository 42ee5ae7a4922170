//! What is dropped after each command, so that the state stays bounded.
//!
//! Only limits in the state and the command's own time decide, so replicas prune alike. A batch
//! of records prunes the workspaces it names; every other command prunes all.

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
                let touched: BTreeSet<&Workspace> = changes.iter().map(workspace).collect();
                for workspace in touched {
                    if let Some(account) = contents.accounts.get_mut(workspace) {
                        account.prune(&contents.limits, command.at_ms);
                    }
                }
            }
            _ => contents.prune_all(command.at_ms),
        }
    }
}

fn workspace(change: &RecordChange) -> &Workspace {
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
        let open = self.accounts.values().flat_map(|account| account.open());
        let held: BTreeSet<&Entry> = open.map(|(_, record)| &record.holder.entry).collect();
        let before_ms = at_ms.saturating_sub(self.limits.record_age_ms);
        self.holders.prune(before_ms, |entry| held.contains(entry));
    }

    /// Keeps the active bundle, the one before it (for a revert) and the candidate, beside the
    /// newest of the others.
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
