//! Links to the other control replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet::link::Request;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::replicated_log::ReplicaState;

/// Time without an answer after which a link is reopened. It needs no allowance for the sync of a
/// slow disk, because answers to consensus messages do not wait for the disk.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of consensus messages sent in one request.
const MAX_BATCH_MESSAGES: usize = 32;

/// Links to the other replicas, and when each was last heard.
pub struct Peers {
    own: Identity,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    /// Address of each replica and the time of its latest message.
    heard: RefCell<HashMap<ReplicaId, (Name, Duration)>>,
    log: Logger,
}

impl Peers {
    /// Creates the links of the replica `own`; none is open yet.
    pub fn new(own: Identity, log: Logger) -> Self {
        Self { own, clients: RefCell::default(), heard: RefCell::default(), log }
    }

    /// Returns the identity of this replica.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// Returns the link to an address and opens it on first use. Returns `None` if the address is
    /// malformed.
    pub fn client(&self, address: &str) -> Option<Client> {
        let address: SocketAddr = address.parse().ok()?;
        let start = || Client::start(address, self.log.clone());
        Some(self.clients.borrow_mut().entry(address).or_insert_with(start).clone())
    }

    /// Records the address of a replica and that it was heard now.
    pub fn record_heard(&self, identity: &Identity) {
        let heard = (identity.address.clone(), boot_time());
        self.heard.borrow_mut().insert(identity.id, heard);
    }

    /// Returns when a replica was last heard.
    pub fn last_heard(&self, id: ReplicaId) -> Option<Duration> {
        self.heard.borrow().get(&id).map(|(_, at)| *at)
    }

    /// Returns the address of a member or of a replica that was heard.
    fn address_of(&self, state: &ReplicaState, id: ReplicaId) -> Option<Name> {
        let member = state.members.get(id).map(|member| member.address.clone());
        member.or_else(|| self.heard.borrow().get(&id).map(|(address, _)| address.clone()))
    }

    /// Returns the links to all other members.
    pub fn other_members(&self, state: &ReplicaState) -> Vec<Client> {
        let others = state.members.iter().filter(|member| member.address != self.own.address);
        others.filter_map(|member| self.client(&member.address)).collect()
    }
}

/// Sends the consensus messages from the outbox to their receivers.
pub async fn send_messages(
    peers: Rc<Peers>,
    state: watch::Receiver<Arc<ReplicaState>>,
    mut outbox: mpsc::Receiver<Message>,
) {
    let mut batch = Vec::new();
    while outbox.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let mut by_receiver: HashMap<ReplicaId, Vec<Message>> = HashMap::new();
        for message in batch.drain(..) {
            by_receiver.entry(message.to).or_default().push(message);
        }
        let state = Arc::clone(&state.borrow());
        for (id, messages) in by_receiver {
            let client = peers.address_of(&state, id).and_then(|address| peers.client(&address));
            if let Some(client) = client {
                client.notify(Request::Log(peers.own.clone(), messages), SEND_TIMEOUT);
            }
        }
    }
}
