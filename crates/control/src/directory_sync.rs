//! Polls the other replicas for the announcements that they received from entries and endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_wire::rpc::Directory;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::rpc_params;

use crate::address::Address;
use crate::client;
use crate::run::Control;

/// Interval between two polls: the interval at which endpoints announce themselves.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Another replica and the newest directory change received from it.
struct Peer {
    client: HttpClient,
    change: u64,
}

/// Polls until the control state cannot be read.
pub async fn run(control: Arc<Control>) {
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let Ok(status) = control.core.read_local(|view| view.status()).await else { return };
        let others = status.members.iter().filter(|member| member.id != status.id);
        let addresses = others.filter_map(|member| member.address.parse::<Address>().ok());
        let addresses: Vec<SocketAddr> = addresses.map(|address| address.rpc).collect();
        peers.retain(|address, _| addresses.contains(address));
        for address in addresses {
            if !peers.contains_key(&address)
                && let Ok(client) = connect(&control, address)
            {
                peers.insert(address, Peer { client, change: 0 });
            }
        }
        futures_util::future::join_all(peers.values_mut().map(|peer| poll(&control, peer))).await;
    }
}

fn connect(control: &Control, address: SocketAddr) -> eyre::Result<HttpClient> {
    let settings = &control.settings;
    client::json_rpc(address, settings.cluster_key.as_deref(), settings.call_timeout)
}

async fn poll(control: &Control, peer: &mut Peer) {
    let sent_at = Instant::now();
    let response = peer.client.request::<Directory, _>(method::DIRECTORY, rpc_params![peer.change]);
    // After a failure, the next poll returns the same changes.
    let Ok(directory) = response.await else { return };
    peer.change = directory.change;
    // Ages are subtracted from the time of the request, so that relaying cannot extend the lifetime
    // of an announcement.
    control.directory.announce_relayed(directory.heard, sent_at);
}
