//! JSON-RPC client of the control replicas.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_wire::rpc::Refusal;
use hickoryreel_wire::rpc::Reply;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HeaderMap;
use jsonrpsee::http_client::HeaderValue;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one call. A call that times out drops its connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of the control replicas. It prefers the replica that responded last.
pub struct ControlClient {
    replicas: Vec<(SocketAddr, HttpClient)>,
    preferred: AtomicUsize,
}

impl ControlClient {
    /// Creates a client of the replicas at `addresses` that sends `cluster_key` with every call.
    pub fn new(addresses: &[SocketAddr], cluster_key: Option<&str>) -> eyre::Result<Self> {
        let mut headers = HeaderMap::new();
        if let Some(key) = cluster_key {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}"))?;
            value.set_sensitive(true);
            headers.insert("authorization", value);
        }
        let replicas = addresses
            .iter()
            .map(|address| {
                let client = HttpClientBuilder::default()
                    .request_timeout(CALL_TIMEOUT)
                    .set_headers(headers.clone())
                    .build(format!("http://{address}"))?;
                Ok::<_, eyre::Report>((*address, client))
            })
            .collect::<Result<_, _>>()?;
        Ok(Self { replicas, preferred: AtomicUsize::new(0) })
    }

    /// Calls the leader. Follows the leader hints of the replicas and makes at most one attempt per
    /// replica.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: &'static str,
        parameter: &(impl Serialize + Sync),
    ) -> Reply<T> {
        let mut last_refusal = refusal(Kind::NoQuorum, "no control replica is configured");
        for _ in 0..self.replicas.len() {
            let index = self.preferred.load(Ordering::Relaxed) % self.replicas.len();
            let client = &self.replicas[index].1;
            let reply = client.request::<Reply<T>, _>(method, rpc_params![parameter]).await;
            match reply {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(refused)) if refused.error.kind != Kind::NotLeader => return Err(refused),
                Ok(Err(refused)) => {
                    self.set_preferred(index, refused.leader);
                    last_refusal = refused;
                }
                Err(error) => {
                    self.set_preferred(index, None);
                    last_refusal = refusal(Kind::NoQuorum, &error.to_string());
                }
            }
        }
        Err(last_refusal)
    }

    /// Sends `parameter` to every replica. Failed calls are not retried.
    pub async fn broadcast(&self, method: &'static str, parameter: &(impl Serialize + Sync)) {
        let calls = self.replicas.iter().map(|(_, client)| async move {
            let _ = client.request::<(), _>(method, rpc_params![parameter]).await;
        });
        futures_util::future::join_all(calls).await;
    }

    fn set_preferred(&self, failed: usize, leader: Option<SocketAddr>) {
        let hinted_index = self.replicas.iter().position(|(address, _)| Some(*address) == leader);
        self.preferred.store(hinted_index.unwrap_or(failed + 1), Ordering::Relaxed);
    }
}

fn refusal(kind: Kind, message: &str) -> Refusal {
    Refusal { error: Error::new(kind, message), leader: None }
}
