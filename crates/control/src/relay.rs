//! Asks the other replicas for announcements they heard from entries.

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

/// Time between two questions: as often as endpoints announce themselves.
const PERIOD: Duration = Duration::from_millis(500);

/// Another replica and the newest change heard from it.
struct Peer {
    client: HttpClient,
    change: u64,
}

/// Works for as long as the process runs.
pub async fn run(control: Arc<Control>) {
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        ticks.tick().await;
        let Ok(standing) = control.core.inspect(|view| view.standing()).await else { return };
        let others = standing.members.iter().filter(|member| member.id != standing.id);
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
        futures_util::future::join_all(peers.values_mut().map(|peer| ask(&control, peer))).await;
    }
}

fn connect(control: &Control, address: SocketAddr) -> eyre::Result<HttpClient> {
    let settings = &control.settings;
    client::json_rpc(address, settings.cluster_key.as_deref(), settings.call_timeout)
}

async fn ask(control: &Control, peer: &mut Peer) {
    let asked = Instant::now();
    let answer = peer.client.request::<Directory, _>(method::DIRECTORY, rpc_params![peer.change]);
    // A lost answer is made up for by the next question.
    let Ok(directory) = answer.await else { return };
    peer.change = directory.change;
    // The ages count from when the question was sent, so that relaying can't lengthen a lifetime.
    control.directory.relayed(directory.heard, asked);
}
