//! Ends entries whose lease has lapsed while they hold open records.

use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_state::command::Action;
use slog::info;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

/// Lapse controller.
pub(super) struct Lapse;

impl Controller for Lapse {
    fn name(&self) -> &'static str {
        "lapse"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        async move {
            let lapsed = board.unsettled.iter().map(|(_, record)| &record.holder);
            let mut active = board.holders.clone();
            for holder in lapsed {
                active.remove(holder);
            }
            let ended = control.leases.end_lapsed(board.term, active, Instant::now());
            for holder in ended {
                info!(control.log, "the lease of an entry lapsed"; "entry" => %holder.entry,
                    "incarnation" => holder.incarnation);
                control.propose(Action::Lapse(holder)).await?;
            }
            Ok(())
        }
        .boxed()
    }
}
