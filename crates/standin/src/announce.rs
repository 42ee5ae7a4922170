//! Announcements of a stand-in endpoint.

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

/// Time between two announcements.
const PERIOD: Duration = Duration::from_millis(500);

/// Who the endpoint is and where it announces itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the endpoint.
    pub name: Endpoint,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to announce instead of the one it listens on, for example that of a relay.
    pub advertise: Option<SocketAddr>,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Addresses to announce to.
    pub announce: Vec<SocketAddr>,
    /// Key of the announcements, if entries ask for one.
    pub announce_key: Option<String>,
    /// Time between the announcement that the endpoint is leaving and its stop.
    pub leave: Duration,
}

/// Announces the endpoint. When `leaving` completes it announces that it is leaving, and after the
/// time to leave it sends on `stop`, so that the endpoint takes no new connections.
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
    let mut ticks = tokio::time::interval(PERIOD);
    let mut until = None;
    tokio::pin!(leaving);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = &mut leaving, if until.is_none() => until = Some(Instant::now() + identity.leave),
        }
        let state = if until.is_some() { State::Leaving } else { State::Serving };
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
                timeout: PERIOD,
                ..Call::default()
            };
            call.send(&client)
        });
        // A lost announcement is replaced by the next one.
        let _ = futures_util::future::join_all(calls).await;
        if until.is_some_and(|until| Instant::now() >= until) {
            let _ = stop.send(());
            return;
        }
    }
}
