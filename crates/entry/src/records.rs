//! Request records: changes of many requests travel to control in one batch.
//!
//! A [`Record`] is one open record. It is closed exactly once, by [`Record::close`] or when it is
//! dropped. A close is sent again until control acknowledges it; it holds a permit until then, so
//! the number of records bounds the memory of unacknowledged closes.

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

use crate::control::Control;

/// Most record changes in one batch.
const MAX_BATCH: usize = 256;

/// Batches under way at a time. More would make batches smaller under load.
const MAX_IN_FLIGHT: usize = 4;

/// Pause before changes whose batch failed are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A close whose record is not found is sent this often: its open may still be on its way.
const NOT_FOUND_TRIES: u32 = 20;

/// Handle to the record controller.
#[derive(Clone, Debug)]
pub struct Records {
    queue: mpsc::UnboundedSender<Pending>,
    permits: Arc<Semaphore>,
    most: usize,
    timeout: Duration,
}

#[derive(Debug)]
struct Pending {
    change: RecordChange,
    reply: Option<oneshot::Sender<error::Result<Outcome>>>,
    /// After this time the change is given up; a close never is.
    until: Option<Instant>,
    tries: u32,
    permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl Records {
    /// Creates the handle and the controller behind it; the controller runs until the handle
    /// drops. At most `most` records are open or not yet acknowledged as closed. `timeout` bounds
    /// the wait for an open.
    pub fn new(
        control: Arc<Control>,
        most: usize,
        timeout: Duration,
    ) -> (Self, impl Future<Output = ()>) {
        let (queue, inbox) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(most));
        let controller = run(control, queue.downgrade(), inbox);
        (Self { queue, permits, most, timeout }, controller)
    }

    /// Reserves a record for `open`. Nothing is sent before [`Record::open`].
    pub fn reserve(&self, open: Open) -> error::Result<Record> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().map_err(|_| {
            Error::new(Kind::QueueFull, "the entry has too many records that are not closed")
        })?;
        Ok(Record {
            records: self.clone(),
            open,
            runs: SmallVec::new(),
            unclosed: Some(Arc::new(permit)),
            sent: false,
            end: End::NotRun,
        })
    }

    /// Records that are open or not yet acknowledged as closed.
    pub fn unclosed(&self) -> usize {
        self.most - self.permits.available_permits()
    }

    /// Waits until every record is closed and acknowledged.
    pub async fn drained(&self) {
        let all = u32::try_from(self.most).unwrap_or(u32::MAX);
        let _ = self.permits.acquire_many(all).await;
    }

    async fn submit(
        &self,
        change: RecordChange,
        permit: Option<Arc<OwnedSemaphorePermit>>,
    ) -> error::Result<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let until = Some(Instant::now() + self.timeout);
        let pending = Pending { change, reply: Some(reply), until, tries: 0, permit };
        self.queue.send(pending).map_err(|_| stopped())?;
        outcome.await.map_err(|_| stopped())?
    }
}

fn stopped() -> Error {
    Error::new(Kind::NoQuorum, "the record controller has stopped")
}

/// The record of one request.
#[derive(Debug)]
pub struct Record {
    records: Records,
    open: Open,
    runs: SmallVec<[Run; 1]>,
    unclosed: Option<Arc<OwnedSemaphorePermit>>,
    sent: bool,
    end: End,
}

impl Record {
    /// Moves the record to `moved_to`, or opens it.
    pub async fn commit(&mut self, moved_to: Option<Open>) -> error::Result<Outcome> {
        match moved_to {
            Some(open) => self.relocate(open).await,
            None => self.open().await,
        }
    }

    /// Opens the record. `Refused` and `Answered` outcomes leave nothing to close.
    pub async fn open(&mut self) -> error::Result<Outcome> {
        self.sent = true;
        let change = RecordChange::Open(self.open.clone());
        let outcome = self.records.submit(change, self.unclosed.clone()).await?;
        if !matches!(outcome, Outcome::Opened | Outcome::Moved | Outcome::Repeat) {
            self.sent = false;
        }
        Ok(outcome)
    }

    /// Moves the open record to another target or endpoint.
    pub async fn relocate(&mut self, open: Open) -> error::Result<Outcome> {
        let to = Move {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            target: open.target.clone(),
            endpoint: open.endpoint.clone(),
            session: open.session.clone(),
            revision: open.revision,
        };
        self.open = open;
        self.records.submit(RecordChange::Move(to), self.unclosed.clone()).await
    }

    /// What the record was opened with.
    pub fn opened(&self) -> &Open {
        &self.open
    }

    /// Notes that the work may run from now on: a dropped record ends with an unknown outcome.
    pub fn dispatched(&mut self) {
        self.end = End::Unknown;
    }

    /// Notes that the last dispatch did not run.
    pub fn undo_dispatch(&mut self) {
        self.end = End::NotRun;
    }

    /// Adds a run beside the billed one.
    pub fn add_run(&mut self, run: Run) {
        self.runs.push(run);
    }

    /// Closes the record. The answer tells when control has acknowledged it.
    pub fn close(mut self, end: End, answer: Option<StoredAnswer>) -> Acknowledged {
        self.end = end;
        self.send_close(answer)
    }

    fn send_close(&mut self, answer: Option<StoredAnswer>) -> Acknowledged {
        let (reply, acknowledged) = oneshot::channel();
        let permit = self.unclosed.take();
        if permit.is_none() || !self.sent {
            return acknowledged;
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
        let pending = Pending { change, reply: Some(reply), until: None, tries: 0, permit };
        // The controller outlives the requests; it ends with the process only.
        let _ = self.records.queue.send(pending);
        acknowledged
    }
}

/// Completes when control has acknowledged a close.
pub type Acknowledged = oneshot::Receiver<error::Result<Outcome>>;

impl Drop for Record {
    fn drop(&mut self) {
        drop(self.send_close(None));
    }
}

async fn run(
    control: Arc<Control>,
    queue: mpsc::WeakUnboundedSender<Pending>,
    mut inbox: mpsc::UnboundedReceiver<Pending>,
) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else { return };
        // Changes that arrived during the wait join the batch.
        while batch.len() < MAX_BATCH
            && let Ok(more) = inbox.try_recv()
        {
            batch.push(more);
        }
        let pending = std::mem::take(&mut batch);
        let control = Arc::clone(&control);
        let queue = queue.clone();
        tokio::spawn(async move {
            let again = submit(&control, pending).await;
            drop(permit);
            if !again.is_empty() {
                tokio::time::sleep(RETRY_DELAY).await;
                resend(&queue, again);
            }
        });
    }
}

fn resend(queue: &mpsc::WeakUnboundedSender<Pending>, again: Vec<Pending>) {
    if let Some(queue) = queue.upgrade() {
        for pending in again {
            let _ = queue.send(pending);
        }
    }
}

/// Submits a batch and returns the changes to send again.
async fn submit(control: &Control, batch: Vec<Pending>) -> Vec<Pending> {
    let changes: Vec<&RecordChange> = batch.iter().map(|pending| &pending.change).collect();
    let outcomes = control.call::<Vec<Outcome>>(method::RECORD_SUBMIT, &changes).await;
    drop(changes);
    match outcomes {
        Ok(outcomes) => {
            let settled = batch.into_iter().zip(outcomes);
            settled.filter_map(|(pending, outcome)| pending.settle(outcome)).collect()
        }
        Err(refusal) => {
            batch.into_iter().filter_map(|pending| pending.fail(&refusal.error)).collect()
        }
    }
}

impl Pending {
    fn settle(mut self, outcome: Outcome) -> Option<Self> {
        let is_close = matches!(self.change, RecordChange::Close(_));
        let missing = matches!(&outcome, Outcome::Refused(error) if error.kind == Kind::NotFound);
        if is_close && missing && self.tries < NOT_FOUND_TRIES {
            self.tries += 1;
            return Some(self);
        }
        self.answer(Ok(outcome));
        None
    }

    fn fail(mut self, error: &Error) -> Option<Self> {
        if self.until.is_none_or(|until| Instant::now() < until) {
            return Some(self);
        }
        self.answer(Err(error.clone()));
        None
    }

    fn answer(&mut self, outcome: error::Result<Outcome>) {
        // Whoever sees the answer must not find the record counted as unclosed any more.
        self.permit = None;
        if let Some(reply) = self.reply.take() {
            // The request may have been given up.
            let _ = reply.send(outcome);
        }
    }
}
