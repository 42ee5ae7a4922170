//! Links to the other replicas.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
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

use std::sync::Arc;

use crate::log::Agreed;

/// Time without an answer after which a link is opened anew. Longer than a sync of a slow disk
/// does not matter: answers to log messages do not wait for the disk.
const POST_LIMIT: Duration = Duration::from_millis(1_000);

/// Log messages sent in one request at most.
const MAX_BATCH: usize = 32;

/// The other replicas and when they were heard.
pub struct Peers {
    own: Identity,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    heard: RefCell<HashMap<ReplicaId, (Name, Duration)>>,
    log: Logger,
}

impl Peers {
    /// Links of the replica `own`.
    pub fn new(own: Identity, log: Logger) -> Self {
        Self { own, clients: RefCell::default(), heard: RefCell::default(), log }
    }

    /// This replica.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// The link to an address; `None` if it is not an address.
    pub fn client(&self, address: &str) -> Option<Client> {
        let address: SocketAddr = address.parse().ok()?;
        let start = || Client::start(address, self.log.clone());
        Some(self.clients.borrow_mut().entry(address).or_insert_with(start).clone())
    }

    /// Notes that a replica was heard.
    pub fn note(&self, identity: &Identity) {
        let seen = (identity.address.clone(), boot_time());
        self.heard.borrow_mut().insert(identity.id, seen);
    }

    /// When a replica was heard last.
    pub fn heard(&self, id: ReplicaId) -> Option<Duration> {
        self.heard.borrow().get(&id).map(|(_, at)| *at)
    }

    fn address(&self, agreed: &Agreed, id: ReplicaId) -> Option<Name> {
        let member = agreed.members.get(id).map(|member| member.address.clone());
        member.or_else(|| self.heard.borrow().get(&id).map(|(address, _)| address.clone()))
    }

    /// Links to all other members.
    pub fn others(&self, agreed: &Agreed) -> Vec<Client> {
        let others = agreed.members.iter().filter(|member| member.address != self.own.address);
        others.filter_map(|member| self.client(&member.address)).collect()
    }
}

/// Sends the messages of the log.
pub async fn deliver(
    peers: Rc<Peers>,
    agreed: watch::Receiver<Arc<Agreed>>,
    mut outbox: mpsc::Receiver<Message>,
) {
    let mut batch = Vec::new();
    while outbox.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut by_receiver: HashMap<ReplicaId, Vec<Message>> = HashMap::new();
        for message in batch.drain(..) {
            by_receiver.entry(message.to).or_default().push(message);
        }
        let agreed = Arc::clone(&agreed.borrow());
        for (id, messages) in by_receiver {
            let client = peers.address(&agreed, id).and_then(|address| peers.client(&address));
            if let Some(client) = client {
                client.notify(Request::Log(peers.own.clone(), messages), POST_LIMIT);
            }
        }
    }
}
