//! Controllers of the leader.
//!
//! One task reads the control state in every period, after a quorum has confirmed this leader, and
//! puts what the controllers need on the [`Blackboard`]. Each [`Controller`] looks at every new
//! blackboard and proposes commands. All state is in the log, so the next leader resumes where this
//! one stopped; commands are made so that proposing one twice is harmless.

mod blackboard;
mod lapse;
mod limits;
mod members;
mod orders;
mod roll_out;
mod settle;

use std::sync::Arc;

use futures_util::future::BoxFuture;
use slog::debug;
use tokio::sync::watch;

use crate::core::Failure;
use crate::run::Control;

pub use blackboard::Blackboard;

/// Acts on the control state while this replica leads.
pub trait Controller: Send {
    /// Name in log lines.
    fn name(&self) -> &'static str;

    /// Acts on one blackboard. A failure is logged; the next blackboard is another try.
    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>>;
}

/// Runs all controllers for as long as the process runs.
pub async fn run(control: Arc<Control>) {
    let (write, read) = watch::channel(None);
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(limits::Limits),
        Box::new(members::Members),
        Box::new(lapse::Lapse),
        Box::new(settle::Settle::default()),
        Box::new(roll_out::RollOut::default()),
        Box::new(orders::Orders::default()),
    ];
    for controller in controllers {
        tokio::spawn(follow(Arc::clone(&control), controller, read.clone()));
    }
    let mut ticks = tokio::time::interval(control.settings.controller_period);
    // A leader that was suspended must not make up for the time.
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let board = if control.metrics.leading.get() == 1 {
            control.core.read(Blackboard::read).await.ok().map(Arc::new)
        } else {
            None
        };
        if write.send(board).is_err() {
            return;
        }
    }
}

async fn follow(
    control: Arc<Control>,
    mut controller: Box<dyn Controller>,
    mut boards: watch::Receiver<Option<Arc<Blackboard>>>,
) {
    while boards.changed().await.is_ok() {
        let Some(board) = boards.borrow_and_update().clone() else { continue };
        if let Err(failure) = controller.act(&control, &board).await {
            debug!(control.log, "a controller failed"; "controller" => controller.name(),
                "error" => %failure.error);
        }
    }
}
