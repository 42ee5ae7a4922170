//! Placeholder.
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

/// Settlement controller.
#[derive(Default)]
pub(super) struct Settle {}

impl Controller for Settle {
    fn name(&self) -> &'static str {
        "settle"
    }

    fn act<'a>(
        &'a mut self,
        _control: &'a Control,
        _board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        async move { Ok(()) }.boxed()
    }
}
