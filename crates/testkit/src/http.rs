//! HTTP client for calls as a caller or an operator.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::client;
use hickoryreel_base::client::Answer;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wait;

/// Timeout of one call, so that a test ends even if a process does not respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client that optionally authenticates with a bearer key.
#[derive(Clone, Debug)]
pub struct Http {
    client: HttpClient,
    key: Option<String>,
}

impl Http {
    /// A client without a key.
    pub fn new() -> Self {
        Self { client: client::http_client(), key: None }
    }

    /// A client that sends `key` as bearer key.
    pub fn with_key(key: &str) -> Self {
        Self { client: client::http_client(), key: Some(key.to_owned()) }
    }

    /// Sends a `GET` request for `path` to `address`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> eyre::Result<Answer> {
        self.call(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Sends a `POST` request with `body` as JSON.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> eyre::Result<Answer> {
        self.call(Method::POST, address, path, &[], serde_json::to_vec(body)?.into()).await
    }

    /// Sends a request with any method, headers and body.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> eyre::Result<Answer> {
        let headers = headers.iter().map(|(name, value)| (*name, (*value).to_owned()));
        Call {
            method,
            url: format!("http://{address}{path}"),
            key: self.key.clone(),
            headers: headers.collect(),
            body,
            timeout: CALL_TIMEOUT,
        }
        .send(&self.client)
        .await
    }

    /// Repeats a `GET` request for `path` until the response has status 200.
    pub async fn ready(&self, address: SocketAddr, path: &str) -> eyre::Result<Answer> {
        wait::until(&format!("status 200 of http://{address}{path}"), || async {
            let answer = self.get(address, path).await?;
            if answer.status == 200 { Ok(Some(answer)) } else { Err(status_error(&answer)) }
        })
        .await
    }
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

/// Parses the JSON body of a response with status 200. Any other status is an error.
pub fn json<T: DeserializeOwned>(answer: &Answer) -> eyre::Result<T> {
    if answer.status == 200 {
        Ok(serde_json::from_slice(&answer.body)?)
    } else {
        Err(status_error(answer))
    }
}

fn status_error(answer: &Answer) -> eyre::Report {
    eyre::eyre!("status {}: {}", answer.status, String::from_utf8_lossy(&answer.body))
}
