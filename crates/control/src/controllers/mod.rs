//! Controllers, which run on the leader.
//!
//! One task periodically reads the control state, after a quorum has confirmed this leader, and
//! publishes it to the controllers as a [`Blackboard`]. Each [`Controller`] acts on every new
//! blackboard by proposing commands. Their state is in the log, so the next leader resumes where
//! this one stopped. Proposing a command twice is harmless.

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
    /// Name for log messages.
    fn name(&self) -> &'static str;

    /// Acts on one blackboard. A failure is logged, and the next blackboard triggers a retry.
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
        tokio::spawn(run_controller(Arc::clone(&control), controller, read.clone()));
    }
    let mut ticks = tokio::time::interval(control.settings.controller_period);
    // After the process was suspended, the missed ticks must not follow in a burst.
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

async fn run_controller(
    control: Arc<Control>,
    mut controller: Box<dyn Controller>,
    mut boards: watch::Receiver<Option<Arc<Blackboard>>>,
) {
    while boards.changed().await.is_ok() {
        let Some(board) = boards.borrow_and_update().clone() else { continue };
        if let Err(failure) = controller.act(&control, &board).await {
            debug!(control.log, "controller failed"; "controller" => controller.name(),
                "error" => %failure.error);
        }
    }
}
