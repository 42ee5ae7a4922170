//! JSON-RPC clients for other replicas.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HeaderMap;
use jsonrpsee::http_client::HeaderValue;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

/// Maximum size of a JSON-RPC message in bytes. A full batch of append messages, 256 KiB each, fits
/// in base64 with room to spare.
pub const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Creates a client for the replica at `address`. A call that times out closes its connection.
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
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .set_headers(headers);
    Ok(builder.build(format!("http://{address}"))?)
}
