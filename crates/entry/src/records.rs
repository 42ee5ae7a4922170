//! Request records: sends the record changes of concurrent requests to control in batches.
//!
//! A [`Record`] is one open record. It is closed exactly once, by [`Record::close`] or on drop. A
//! close is retried until control acknowledges it and holds a permit until then, so the limit on
//! records also bounds the memory of unacknowledged closes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Move;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Run;
use hickoryreel_state::record::StoredAnswer;
use hickoryreel_wire::rpc::method;
use smallvec::SmallVec;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::ControlClient;

/// Maximum record changes in one batch.
const MAX_BATCH: usize = 256;

/// Maximum batches in flight. More would make the batches smaller under load.
const MAX_IN_FLIGHT: usize = 4;

/// Delay before the changes of a failed batch are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retries of a close whose record is not found. Its open may still be in flight.
const MAX_NOT_FOUND_RETRIES: u32 = 20;

/// Handle to the record controller.
#[derive(Clone, Debug)]
pub struct Records {
    queue: mpsc::UnboundedSender<Pending>,
    permits: Arc<Semaphore>,
    max_records: usize,
    timeout: Duration,
}

#[derive(Debug)]
struct Pending {
    change: RecordChange,
    reply: Option<oneshot::Sender<error::Result<Outcome>>>,
    /// Time after which the change is not retried; `None` for a close, which is always retried.
    deadline: Option<Instant>,
    retries: u32,
    permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl Records {
    /// Creates the handle and the controller behind it, which runs until all handles are dropped.
    /// At most `max_records` records are open or not yet acknowledged as closed. `timeout` limits
    /// the wait for an open or a move.
    pub fn new(
        control: Arc<ControlClient>,
        max_records: usize,
        timeout: Duration,
    ) -> (Self, impl Future<Output = ()>) {
        let (queue, receiver) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(max_records));
        let controller = run(control, queue.downgrade(), receiver);
        (Self { queue, permits, max_records, timeout }, controller)
    }

    /// Reserves a record for `open`. Nothing is sent before [`Record::open`].
    pub fn reserve(&self, open: Open) -> error::Result<Record> {
        let permit = Arc::clone(&self.permits)
            .try_acquire_owned()
            .map_err(|_| Error::new(Kind::QueueFull, "the entry has too many unclosed records"))?;
        Ok(Record {
            records: self.clone(),
            open,
            runs: SmallVec::new(),
            permit: Some(Arc::new(permit)),
            open_sent: false,
            end: End::NotRun,
        })
    }

    /// Number of records that are open or whose close is not acknowledged.
    pub fn unclosed(&self) -> usize {
        self.max_records - self.permits.available_permits()
    }

    /// Waits until all records are closed and the closes acknowledged.
    pub async fn wait_all_closed(&self) {
        let all_permits = u32::try_from(self.max_records).unwrap_or(u32::MAX);
        let _ = self.permits.acquire_many(all_permits).await;
    }

    async fn submit(
        &self,
        change: RecordChange,
        permit: Option<Arc<OwnedSemaphorePermit>>,
    ) -> error::Result<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let deadline = Some(Instant::now() + self.timeout);
        let pending = Pending { change, reply: Some(reply), deadline, retries: 0, permit };
        self.queue.send(pending).map_err(|_| stopped())?;
        outcome.await.map_err(|_| stopped())?
    }
}

fn stopped() -> Error {
    Error::new(Kind::NoQuorum, "the record controller has stopped")
}

#[derive(Debug)]
pub struct Record {
    records: Records,
    open: Open,
    runs: SmallVec<[Run; 1]>,
    permit: Option<Arc<OwnedSemaphorePermit>>,
    open_sent: bool,
    end: End,
}

impl Record {
    /// Moves the record to `moved_to` if present; opens it otherwise.
    pub async fn commit(&mut self, moved_to: Option<Open>) -> error::Result<Outcome> {
        match moved_to {
            Some(open) => self.relocate(open).await,
            None => self.open().await,
        }
    }

    /// Opens the record. After an outcome other than `Opened`, `Moved` and `Repeat` there is
    /// nothing to close.
    pub async fn open(&mut self) -> error::Result<Outcome> {
        self.open_sent = true;
        let change = RecordChange::Open(self.open.clone());
        let outcome = self.records.submit(change, self.permit.clone()).await?;
        if !matches!(outcome, Outcome::Opened | Outcome::Moved | Outcome::Repeat) {
            self.open_sent = false;
        }
        Ok(outcome)
    }

    /// Moves the open record to another target or endpoint.
    pub async fn relocate(&mut self, open: Open) -> error::Result<Outcome> {
        let record_move = Move {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            target: open.target.clone(),
            endpoint: open.endpoint.clone(),
            session: open.session.clone(),
            revision: open.revision,
        };
        self.open = open;
        self.records.submit(RecordChange::Move(record_move), self.permit.clone()).await
    }

    /// The parameters that the record was opened or last moved with.
    pub fn opened(&self) -> &Open {
        &self.open
    }

    /// Records that the request may run from now on: if the record is dropped, it is closed with an
    /// unknown outcome.
    pub fn mark_dispatched(&mut self) {
        self.end = End::Unknown;
    }

    /// Records that the last dispatch did not run.
    pub fn mark_not_run(&mut self) {
        self.end = End::NotRun;
    }

    /// Adds a run other than the billed one.
    pub fn add_run(&mut self, run: Run) {
        self.runs.push(run);
    }

    /// Closes the record. The returned receiver completes when control has acknowledged the close.
    pub fn close(mut self, end: End, answer: Option<StoredAnswer>) -> CloseAck {
        self.end = end;
        self.send_close(answer)
    }

    fn send_close(&mut self, answer: Option<StoredAnswer>) -> CloseAck {
        let (reply, close_ack) = oneshot::channel();
        let permit = self.permit.take();
        if permit.is_none() || !self.open_sent {
            return close_ack;
        }
        let close = Close {
            key: self.open.key.clone(),
            holder: self.open.holder.clone(),
            attempt: self.open.attempt,
            end: self.end,
            runs: std::mem::take(&mut self.runs),
            answer,
        };
        let change = RecordChange::Close(close);
        let pending = Pending { change, reply: Some(reply), deadline: None, retries: 0, permit };
        // Cannot fail before the process ends: the controller outlives all requests.
        let _ = self.records.queue.send(pending);
        close_ack
    }
}

/// Completes when control has acknowledged the close of a record.
pub type CloseAck = oneshot::Receiver<error::Result<Outcome>>;

impl Drop for Record {
    fn drop(&mut self) {
        drop(self.send_close(None));
    }
}

async fn run(
    control: Arc<ControlClient>,
    queue: mpsc::WeakUnboundedSender<Pending>,
    mut receiver: mpsc::UnboundedReceiver<Pending>,
) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
        // Adds the changes that arrived during the wait.
        while batch.len() < MAX_BATCH
            && let Ok(more) = receiver.try_recv()
        {
            batch.push(more);
        }
        let pending = std::mem::take(&mut batch);
        let control = Arc::clone(&control);
        let queue = queue.clone();
        tokio::spawn(async move {
            let retry = submit(&control, pending).await;
            drop(permit);
            if !retry.is_empty() {
                tokio::time::sleep(RETRY_DELAY).await;
                resend(&queue, retry);
            }
        });
    }
}

fn resend(queue: &mpsc::WeakUnboundedSender<Pending>, retry: Vec<Pending>) {
    if let Some(queue) = queue.upgrade() {
        for pending in retry {
            let _ = queue.send(pending);
        }
    }
}

/// Submits a batch and returns the changes to retry.
async fn submit(control: &ControlClient, batch: Vec<Pending>) -> Vec<Pending> {
    let changes: Vec<&RecordChange> = batch.iter().map(|pending| &pending.change).collect();
    let outcomes = control.call::<Vec<Outcome>>(method::RECORD_SUBMIT, &changes).await;
    drop(changes);
    match outcomes {
        Ok(outcomes) => {
            let pairs = batch.into_iter().zip(outcomes);
            pairs.filter_map(|(pending, outcome)| pending.on_outcome(outcome)).collect()
        }
        Err(refusal) => {
            batch.into_iter().filter_map(|pending| pending.on_failure(&refusal.error)).collect()
        }
    }
}

impl Pending {
    fn on_outcome(mut self, outcome: Outcome) -> Option<Self> {
        let is_close = matches!(self.change, RecordChange::Close(_));
        let is_missing =
            matches!(&outcome, Outcome::Refused(error) if error.kind == Kind::NotFound);
        if is_close && is_missing && self.retries < MAX_NOT_FOUND_RETRIES {
            self.retries += 1;
            return Some(self);
        }
        self.send_reply(Ok(outcome));
        None
    }

    fn on_failure(mut self, error: &Error) -> Option<Self> {
        if self.deadline.is_none_or(|deadline| Instant::now() < deadline) {
            return Some(self);
        }
        self.send_reply(Err(error.clone()));
        None
    }

    fn send_reply(&mut self, outcome: error::Result<Outcome>) {
        // Releases the permit first: the receiver of the reply must not find the record still
        // counted as unclosed.
        self.permit = None;
        if let Some(reply) = self.reply.take() {
            // The request may have been dropped.
            let _ = reply.send(outcome);
        }
    }
}
