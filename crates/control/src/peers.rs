//! Messages to the other replicas: one sending task per replica with a bounded queue.
//!
//! A task sends everything that waits in one call, and has one call under way, so messages arrive
//! in order. A call that times out drops its connection. What is lost or doesn't fit into a queue
//! is repeated by the log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::rpc_params;
use parking_lot::Mutex;
use slog::Logger;
use slog::debug;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::address::Address;
use crate::client;
use crate::metrics::Metrics;

/// Messages in one call, at most. Each has at most about the size of an append message.
const MAX_BATCH: usize = 16;

/// Settings of the sending tasks.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This replica, so that a receiver can answer a sender it doesn't know from its log.
    pub own: Address,
    /// Key between processes, if any.
    pub cluster_key: Option<String>,
    /// Messages that may wait for one replica.
    pub queue: usize,
    /// Limit for one call.
    pub timeout: Duration,
}

/// Sends messages to other replicas. Clones share the tasks.
#[derive(Clone)]
pub struct Outbox(Arc<Inner>);

struct Inner {
    settings: Settings,
    runtime: Handle,
    metrics: Arc<Metrics>,
    log: Logger,
    senders: Mutex<HashMap<SocketAddr, mpsc::Sender<Message>>>,
    /// Addresses of senders; they may be missing from this replica's member set.
    heard: Mutex<HashMap<ReplicaId, SocketAddr>>,
}

impl Outbox {
    /// An outbox whose tasks run on the current runtime.
    pub fn new(settings: Settings, metrics: Arc<Metrics>, log: Logger) -> Self {
        Self(Arc::new(Inner {
            settings,
            runtime: Handle::current(),
            metrics,
            log,
            senders: Mutex::default(),
            heard: Mutex::default(),
        }))
    }

    /// Notes where the replica `id` can be reached.
    pub fn heard(&self, id: ReplicaId, address: SocketAddr) {
        self.0.heard.lock().insert(id, address);
    }

    /// Queues messages; the addresses come from `members` or from earlier messages.
    pub fn send(&self, members: &Members, messages: Vec<Message>) {
        for message in messages {
            let Some(address) = self.address(members, message.to) else { continue };
            let mut senders = self.0.senders.lock();
            let sender = senders.entry(address).or_insert_with(|| self.start(address));
            if sender.try_send(message).is_err() {
                self.0.metrics.dropped_messages.inc();
            }
        }
    }

    fn address(&self, members: &Members, id: ReplicaId) -> Option<SocketAddr> {
        let known = members.get(id).and_then(|member| member.address.parse::<Address>().ok());
        known.map(|address| address.rpc).or_else(|| self.0.heard.lock().get(&id).copied())
    }

    fn start(&self, address: SocketAddr) -> mpsc::Sender<Message> {
        let (sender, inbox) = mpsc::channel(self.0.settings.queue);
        let Settings { own, cluster_key, timeout, .. } = self.0.settings.clone();
        let log = self.0.log.clone();
        match client::json_rpc(address, cluster_key.as_deref(), timeout) {
            Ok(client) => {
                let metrics = Arc::clone(&self.0.metrics);
                self.0.runtime.spawn(deliver(client, address, own, inbox, metrics, log));
            }
            Err(cause) => {
                debug!(log, "no client for a replica"; "peer" => %address, "error" => %cause);
            }
        }
        sender
    }
}

async fn deliver(
    client: HttpClient,
    address: SocketAddr,
    own: Address,
    mut inbox: mpsc::Receiver<Message>,
    metrics: Arc<Metrics>,
    log: Logger,
) {
    let own = own.rpc.to_string();
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Some(payload) = encode(&batch) else { continue };
        batch.clear();
        let parameters = rpc_params![&own, &payload];
        let sent = client.request::<(), _>(method::CONSENSUS_STEP, parameters).await;
        metrics.peer_calls.inc();
        if let Err(cause) = sent {
            metrics.failed_peer_calls.inc();
            debug!(log, "messages were lost"; "peer" => %address, "error" => %cause);
        }
    }
}

/// Messages as one JSON string: postcard in base64, a third larger than the binary form.
pub fn encode(messages: &[Message]) -> Option<String> {
    Some(STANDARD.encode(postcard::to_stdvec(messages).ok()?))
}

/// Reads what [`encode`] wrote.
pub fn decode(payload: &str) -> Option<Vec<Message>> {
    postcard::from_bytes(&STANDARD.decode(payload).ok()?).ok()
}
