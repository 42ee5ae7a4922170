//! Messages to the other replicas: one sender task per replica with a bounded queue.
//!
//! A task sends its queued messages in batches and has at most one call in flight, so messages
//! arrive in order. A call that times out closes its connection. The consensus protocol sends
//! messages again that were lost or did not fit into a queue.

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

/// Maximum number of messages in one call. No message is much larger than an append message.
const MAX_BATCH: usize = 16;

/// Settings of the sender tasks.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of this replica, sent with each call so that a receiver can reply to a sender that
    /// is not in its log yet.
    pub own_address: Address,
    /// Shared key of the processes; `None` if calls are not authenticated.
    pub cluster_key: Option<String>,
    /// Maximum number of queued messages for one replica.
    pub queue: usize,
    /// Timeout of one call.
    pub timeout: Duration,
}

/// Sends messages to other replicas. Clones share the sender tasks.
#[derive(Clone)]
pub struct Outbox(Arc<Inner>);

struct Inner {
    settings: Settings,
    runtime: Handle,
    metrics: Arc<Metrics>,
    log: Logger,
    senders: Mutex<HashMap<SocketAddr, mpsc::Sender<Message>>>,
    /// Addresses from received messages, because their senders may be missing from the member set
    /// of this replica.
    sender_addresses: Mutex<HashMap<ReplicaId, SocketAddr>>,
}

impl Outbox {
    /// Creates an outbox whose tasks run on the current runtime.
    pub fn new(settings: Settings, metrics: Arc<Metrics>, log: Logger) -> Self {
        Self(Arc::new(Inner {
            settings,
            runtime: Handle::current(),
            metrics,
            log,
            senders: Mutex::default(),
            sender_addresses: Mutex::default(),
        }))
    }

    /// Records the address of the replica `id`, from which a message arrived.
    pub fn record_sender(&self, id: ReplicaId, address: SocketAddr) {
        self.0.sender_addresses.lock().insert(id, address);
    }

    /// Queues messages for the replicas they are addressed to. The network addresses come from
    /// `members` or else from received messages.
    pub fn send(&self, members: &Members, messages: Vec<Message>) {
        for message in messages {
            let Some(address) = self.address(members, message.to) else { continue };
            let mut senders = self.0.senders.lock();
            let sender = senders.entry(address).or_insert_with(|| self.start_sender(address));
            if sender.try_send(message).is_err() {
                self.0.metrics.dropped_messages.inc();
            }
        }
    }

    fn address(&self, members: &Members, id: ReplicaId) -> Option<SocketAddr> {
        let known = members.get(id).and_then(|member| member.address.parse::<Address>().ok());
        known
            .map(|address| address.rpc)
            .or_else(|| self.0.sender_addresses.lock().get(&id).copied())
    }

    fn start_sender(&self, address: SocketAddr) -> mpsc::Sender<Message> {
        let (sender, inbox) = mpsc::channel(self.0.settings.queue);
        let Settings { own_address, cluster_key, timeout, .. } = self.0.settings.clone();
        let log = self.0.log.clone();
        match client::json_rpc(address, cluster_key.as_deref(), timeout) {
            Ok(client) => {
                let metrics = Arc::clone(&self.0.metrics);
                self.0.runtime.spawn(run_sender(client, address, own_address, inbox, metrics, log));
            }
            Err(cause) => {
                debug!(log, "cannot create a client for a replica"; "peer" => %address,
                    "error" => %cause);
            }
        }
        sender
    }
}

async fn run_sender(
    client: HttpClient,
    address: SocketAddr,
    own_address: Address,
    mut inbox: mpsc::Receiver<Message>,
    metrics: Arc<Metrics>,
    log: Logger,
) {
    let own_address = own_address.rpc.to_string();
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Some(payload) = encode(&batch) else { continue };
        batch.clear();
        let parameters = rpc_params![&own_address, &payload];
        let result = client.request::<(), _>(method::CONSENSUS_STEP, parameters).await;
        metrics.peer_calls.inc();
        if let Err(cause) = result {
            metrics.failed_peer_calls.inc();
            debug!(log, "sending messages to a replica failed"; "peer" => %address,
                "error" => %cause);
        }
    }
}

/// Encodes messages as one JSON string: postcard in base64, which adds a third to the size.
pub fn encode(messages: &[Message]) -> Option<String> {
    Some(STANDARD.encode(postcard::to_stdvec(messages).ok()?))
}

/// Decodes the result of [`encode`].
pub fn decode(payload: &str) -> Option<Vec<Message>> {
    postcard::from_bytes(&STANDARD.decode(payload).ok()?).ok()
}
