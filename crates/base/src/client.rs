//! HTTP client calls with a timeout, for small JSON messages.
//!
//! A call that times out closes its connection, so the next call does not reuse a connection whose
//! peer stopped responding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body, in bytes. A faulty peer may send one without end.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// HTTP client for calls to other processes and to endpoints.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client with a pool of idle connections.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// An HTTP response with its complete body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Address of the leader from the header `x-leader`, if the response has a valid one.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.headers.get("x-leader")?.to_str().ok()?.parse().ok()
    }
}

/// An HTTP request whose response is read completely.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// Absolute URL.
    pub url: String,
    /// Sent as bearer token in the `authorization` header.
    pub key: Option<String>,
    /// Headers besides `content-type` and `authorization`.
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
    /// Limit for the whole call, including connecting and reading the body.
    pub timeout: Duration,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            method: Method::GET,
            url: String::new(),
            key: None,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(2),
        }
    }
}

impl Call {
    /// Sends the request and reads the response. Fails if the body is larger than
    /// [`MAX_BODY_BYTES`].
    pub async fn send(self, client: &HttpClient) -> eyre::Result<Answer> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(&self.url)
            .header(hyper::header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(hyper::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(self.body)).wrap_err("invalid URL or header")?;
        let exchange = async {
            let response = client.request(request).await?;
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|cause| eyre::eyre!(cause))?.to_bytes();
            eyre::Ok(Answer { status, headers, body })
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .wrap_err_with(|| format!("{} timed out", self.url))?
            .wrap_err_with(|| format!("{} failed", self.url))
    }
}
