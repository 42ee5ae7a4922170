//! Replicates the limits from the leader's settings, so that every replica prunes its state in the
//! same way.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_state::command::Action;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

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
            let configured = &control.settings.limits;
            if board.limits != *configured {
                control.propose(Action::SetLimits(configured.clone())).await?;
            }
            Ok(())
        }
        .boxed()
    }
}
