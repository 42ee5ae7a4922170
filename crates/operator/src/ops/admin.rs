//! Client of the administration interface.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_base::client;
use hickoryreel_base::client::Answer;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::error::Body;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the administration interface of all control replicas.
pub struct Admin {
    replicas: Vec<SocketAddr>,
    key: String,
    client: HttpClient,
}

impl Admin {
    /// A client that proves its operator by `key`.
    #[must_use]
    pub fn new(replicas: Vec<SocketAddr>, key: String) -> Self {
        Self { replicas, key, client: client::http_client() }
    }

    /// Reads `path` below `/admin/v1/`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Posts `value` to `path` below `/admin/v1/`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> eyre::Result<T> {
        self.call(Method::POST, path, serde_json::to_vec(value)?).await
    }

    /// Tries each replica until one gives an answer other than "not the leader".
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> eyre::Result<T> {
        let mut last = eyre::eyre!("no control replica is given; use --control ADDRESS:PORT");
        for replica in &self.replicas {
            let call = Call {
                method: method.clone(),
                url: format!("http://{replica}/admin/v1/{path}"),
                key: Some(self.key.clone()),
                body: body.clone().into(),
                timeout: CALL_TIMEOUT,
                ..Call::default()
            };
            match call.send(&self.client).await {
                Ok(answer) if answer.status == 503 => last = refusal(&answer),
                Ok(answer) if answer.status == 200 => {
                    return serde_json::from_slice(&answer.body)
                        .wrap_err("the answer does not have the expected shape");
                }
                Ok(answer) => return Err(refusal(&answer)),
                Err(cause) => last = cause,
            }
        }
        Err(last)
    }
}

fn refusal(answer: &Answer) -> eyre::Report {
    match serde_json::from_slice::<Body>(&answer.body) {
        Ok(body) => eyre::eyre!("{}: {}", body.error.code, body.error.message),
        Err(_) => eyre::eyre!("the control replica answered with status {}", answer.status),
    }
}
