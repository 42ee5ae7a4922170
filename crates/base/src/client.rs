//! HTTP client calls with a timeout, for small JSON messages.
//!
//! A call that times out drops its connection, so a connection that went silent is replaced by a
//! new one at the next call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client type used between processes and towards endpoints.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps idle connections open.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Address of the leader, if the answer names one in the header `x-leader`.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.headers.get("x-leader")?.to_str().ok()?.parse().ok()
    }
}

/// One call with its whole answer.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Absolute URL.
    pub url: String,
    /// Bearer key, if any.
    pub key: Option<String>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Longest time for the whole call.
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
    /// Sends the call and reads the answer.
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
        let request = request.body(Full::new(self.body)).wrap_err("the URL is not valid")?;
        let exchange = async {
            let response = client.request(request).await?;
            let status = response.status().as_u16();
            let headers = response.headers().clone();
            let body = response.into_body().collect().await?.to_bytes();
            eyre::Ok(Answer { status, headers, body })
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .wrap_err_with(|| format!("{} timed out", self.url))?
            .wrap_err_with(|| format!("{} failed", self.url))
    }
}
