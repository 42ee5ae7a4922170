//! JSON-RPC clients of other replicas.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HeaderMap;
use jsonrpsee::http_client::HeaderValue;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

/// Largest message in bytes: a batch of append messages of 256 KiB each in base64, with room.
pub const MAX_MESSAGE: u32 = 16 << 20;

/// A client of the replica at `address`. A call that times out drops its connection.
pub fn json_rpc(
    address: SocketAddr,
    cluster_key: Option<&str>,
    timeout: Duration,
) -> eyre::Result<HttpClient> {
    let mut headers = HeaderMap::new();
    if let Some(key) = cluster_key {
        headers.insert("authorization", HeaderValue::from_str(&format!("Bearer {key}"))?);
    }
    let builder = HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MAX_MESSAGE)
        .max_response_size(MAX_MESSAGE)
        .set_headers(headers);
    Ok(builder.build(format!("http://{address}"))?)
}
