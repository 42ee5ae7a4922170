//! Proposes the lapse of entries whose lease has ended while they hold open records.

use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_state::command::Action;
use slog::info;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

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
            let newly_lapsed = control.leases.remove_lapsed(board.term, active, Instant::now());
            for holder in newly_lapsed {
                info!(control.log, "lease of an entry has lapsed"; "entry" => %holder.entry,
                    "incarnation" => holder.incarnation);
                control.propose(Action::Lapse(holder)).await?;
            }
            Ok(())
        }
        .boxed()
    }
}
