//! Promotes learners to voters once they have caught up.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_consensus::core::MemberChange;
use slog::info;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

pub(super) struct Members;

impl Controller for Members {
    fn name(&self) -> &'static str {
        "members"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        async move {
            // The log accepts one member change at a time.
            let Some(learner) = board.members.iter().find(|member| !member.voter) else {
                return Ok(());
            };
            control.core.change_members(MemberChange::Promote { id: learner.id }).await?;
            info!(control.log, "learner promoted to voter"; "replica" => %learner.id);
            Ok(())
        }
        .boxed()
    }
}
