//! Announces a stand-in endpoint to the entries at a fixed interval.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Zone;
use hickoryreel_base::time::unix_millis;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;
use hyper::Method;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time between two announcements, and timeout for sending one.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Identity of the endpoint and the targets of its announcements.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: Endpoint,
    /// Address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Address to announce instead of the listening one, for example that of a relay.
    pub advertise: Option<SocketAddr>,
    pub region: Region,
    pub zone: Zone,
    /// Addresses of the entries that receive the announcements.
    pub announce: Vec<SocketAddr>,
    /// Key sent with each announcement; absent if the entries require none.
    pub announce_key: Option<String>,
    /// Time from the first announcement in state `Leaving` until the server stops.
    pub leave_delay: Duration,
}

/// Announces the endpoint until it stops. Once `leaving` completes, the announcements carry the
/// state `Leaving`. After [`Identity::leave_delay`] a message on `stop` tells the server to accept
/// no new connections.
pub async fn run(
    identity: Identity,
    address: SocketAddr,
    role: impl Fn() -> Role,
    load: impl Fn() -> Load,
    leaving: impl Future<Output = ()>,
    stop: oneshot::Sender<()>,
) {
    let client = client::http_client();
    let incarnation = unix_millis();
    let mut sequence = 0;
    let mut interval = tokio::time::interval(ANNOUNCEMENT_INTERVAL);
    let mut stop_at = None;
    tokio::pin!(leaving);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = &mut leaving, if stop_at.is_none() => {
                stop_at = Some(Instant::now() + identity.leave_delay)
            }
        }
        let state = if stop_at.is_some() { State::Leaving } else { State::Serving };
        sequence += 1;
        let announcement = Announcement {
            endpoint: identity.name.clone(),
            incarnation,
            sequence,
            address: identity.advertise.unwrap_or(address),
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            role: role(),
            state,
            load: load(),
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let calls = identity.announce.iter().map(|target| {
            let call = Call {
                method: Method::POST,
                url: format!("http://{target}/v1/announce"),
                key: identity.announce_key.clone(),
                body: body.clone().into(),
                timeout: ANNOUNCEMENT_INTERVAL,
                ..Call::default()
            };
            call.send(&client)
        });
        // Failed announcements are not retried: the next one replaces them.
        let _ = futures_util::future::join_all(calls).await;
        if stop_at.is_some_and(|stop_at| Instant::now() >= stop_at) {
            let _ = stop.send(());
            return;
        }
    }
}
