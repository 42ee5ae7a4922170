//! Records departures of endpoints in the replicated log, several at a time.

use std::time::Duration;

use hickoryreel_fleet::departure::Departure;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::consensus_client::ConsensusClient;
use crate::machine::Command;

/// Maximum number of departures in one command.
const MAX_BATCH: usize = 512;

/// Maximum number of departures that wait to be recorded. More are not recorded.
const QUEUE_CAPACITY: usize = 4_096;

/// A departure, and the channel over which its caller learns that it is recorded.
type Waiting = (Departure, oneshot::Sender<()>);

/// Queue of departures that wait to be recorded.
pub struct DepartureRecorder {
    queue: mpsc::Sender<Waiting>,
    timeout: Duration,
}

impl DepartureRecorder {
    /// Starts the task that proposes the commands on the current `LocalSet`. A departure that is not
    /// recorded after `timeout` is given up.
    pub fn start(consensus: ConsensusClient, timeout: Duration) -> Self {
        let (queue, waiting) = mpsc::channel(QUEUE_CAPACITY);
        tokio::task::spawn_local(record(consensus, timeout, waiting));
        Self { queue, timeout }
    }

    /// Returns whether the departure has been recorded.
    pub async fn record(&self, departure: Departure) -> bool {
        let (reply, recorded) = oneshot::channel();
        self.queue.try_send((departure, reply)).is_ok()
            && matches!(tokio::time::timeout(self.timeout, recorded).await, Ok(Ok(())))
    }
}

async fn record(
    consensus: ConsensusClient,
    timeout: Duration,
    mut waiting: mpsc::Receiver<Waiting>,
) {
    let mut batch: Vec<Waiting> = Vec::new();
    while waiting.recv_many(&mut batch, MAX_BATCH).await > 0 {
        // The callers of a batch that took long may have given up the next one.
        batch.retain(|(_, reply)| !reply.is_closed());
        if batch.is_empty() {
            continue;
        }
        let departures = batch.iter().map(|(departure, _)| departure.clone()).collect();
        let command = Command::RecordDepartures(departures);
        let is_recorded = consensus.propose(command.encode(), timeout).await;
        for (_, reply) in batch.drain(..) {
            if is_recorded {
                // The caller may have stopped waiting.
                let _ = reply.send(());
            }
        }
    }
}
