//! Request records: changes of many requests travel to control in one batch.

use std::sync::Arc;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Outcome;
use hickoryreel_wire::rpc::method;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::Control;

/// Most record changes in one batch.
const MAX_BATCH: usize = 256;

/// Changes that may wait for a batch.
const QUEUE: usize = 4096;

/// Handle to the record controller.
#[derive(Clone, Debug)]
pub struct Records {
    queue: mpsc::Sender<Pending>,
}

#[derive(Debug)]
struct Pending {
    change: RecordChange,
    reply: oneshot::Sender<error::Result<Outcome>>,
}

impl Records {
    /// Creates the handle and the controller behind it; the controller runs until the handle drops.
    pub fn new(control: Arc<Control>) -> (Self, impl Future<Output = ()>) {
        let (queue, inbox) = mpsc::channel(QUEUE);
        (Self { queue }, run(control, inbox))
    }

    /// Submits a change and waits for its outcome.
    pub async fn submit(&self, change: RecordChange) -> error::Result<Outcome> {
        let (reply, outcome) = oneshot::channel();
        self.queue.send(Pending { change, reply }).await.map_err(|_| stopped())?;
        outcome.await.map_err(|_| stopped())?
    }
}

fn stopped() -> Error {
    Error::new(Kind::NoQuorum, "the record controller has stopped")
}

async fn run(control: Arc<Control>, mut inbox: mpsc::Receiver<Pending>) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let pending = std::mem::take(&mut batch);
        let control = Arc::clone(&control);
        tokio::spawn(async move { submit(&control, pending).await });
    }
}

async fn submit(control: &Control, batch: Vec<Pending>) {
    let (changes, replies): (Vec<_>, Vec<_>) =
        batch.into_iter().map(|pending| (pending.change, pending.reply)).unzip();
    match control.call::<Vec<Outcome>>(method::RECORD_SUBMIT, &changes).await {
        Ok(outcomes) => {
            for (reply, outcome) in replies.into_iter().zip(outcomes) {
                // The request may have been given up.
                let _ = reply.send(Ok(outcome));
            }
        }
        Err(refusal) => {
            for reply in replies {
                let _ = reply.send(Err(refusal.error.clone()));
            }
        }
    }
}
