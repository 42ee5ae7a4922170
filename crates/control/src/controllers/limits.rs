//! Puts the leader's limits into the replicated state, so that every replica prunes alike.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_state::command::Action;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

/// Retention controller.
pub(super) struct Limits;

impl Controller for Limits {
    fn name(&self) -> &'static str {
        "limits"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        async move {
            let wanted = &control.settings.limits;
            if board.limits != *wanted {
                control.propose(Action::SetLimits(wanted.clone())).await?;
            }
            Ok(())
        }
        .boxed()
    }
}
