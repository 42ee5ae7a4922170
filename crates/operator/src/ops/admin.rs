//! Client of the administration interface.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::client;
use hickoryreel_base::client::Answer;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::error::Body;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ops::failure::Failure;

/// Longest time for one call. Longer than a replica waits for its quorum.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause between two rounds over all replicas.
const PAUSE: Duration = Duration::from_millis(200);

/// Client of the administration interface of all control replicas.
pub struct Admin {
    replicas: Vec<SocketAddr>,
    key: String,
    /// How long to look for a leader that answers.
    patience: Duration,
    client: HttpClient,
}

/// Result of one try.
enum Try {
    Answered(Answer),
    /// Another replica leads.
    Elsewhere(Option<SocketAddr>),
    Failed(String),
}

impl Admin {
    /// A client that proves its operator by `key`.
    #[must_use]
    pub fn new(replicas: Vec<SocketAddr>, key: String, patience: Duration) -> Self {
        Self { replicas, key, patience, client: client::http_client() }
    }

    /// Reads `path` below `/admin/v1/`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Posts `value` to `path` below `/admin/v1/`. The same body is sent again when an answer is
    /// lost, so `value` has to carry what makes a resend harmless.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value).map_err(|cause| Failure::Shape(cause.to_string()))?;
        self.call(Method::POST, path, body).await
    }

    /// Tries the replicas, following hints, until the leader answers or the patience ends.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Failure> {
        if self.replicas.is_empty() {
            return Err(Failure::Arguments("no replica given; use --control ADDRESS:PORT".into()));
        }
        let end = Instant::now() + self.patience;
        let mut last = "no replica answered".to_owned();
        loop {
            let mut queue: VecDeque<SocketAddr> = self.replicas.iter().copied().collect();
            let mut tries = 2 * queue.len();
            while let Some(replica) = queue.pop_front() {
                match self.once(replica, &method, path, &body).await {
                    Try::Answered(answer) => return read(&answer),
                    Try::Elsewhere(leader) => {
                        last = format!("{replica} is not the leader");
                        queue.extend(leader.filter(|leader| !queue.contains(leader)));
                    }
                    Try::Failed(cause) => last = cause,
                }
                tries -= 1;
                if tries == 0 {
                    break;
                }
            }
            if Instant::now() >= end {
                return Err(Failure::NotReachable(last));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn once(&self, replica: SocketAddr, method: &Method, path: &str, body: &[u8]) -> Try {
        let call = Call {
            method: method.clone(),
            url: format!("http://{replica}/admin/v1/{path}"),
            key: Some(self.key.clone()),
            body: body.to_vec().into(),
            timeout: CALL_TIMEOUT,
            ..Call::default()
        };
        match call.send(&self.client).await {
            Ok(answer) => match code(&answer).as_deref() {
                Some("not_leader") => Try::Elsewhere(answer.leader()),
                Some("no_quorum") => Try::Failed(format!("{replica} has no quorum")),
                _ => Try::Answered(answer),
            },
            Err(cause) => Try::Failed(format!("{cause:#}")),
        }
    }
}

fn code(answer: &Answer) -> Option<String> {
    if answer.status == 200 {
        return None;
    }
    Some(serde_json::from_slice::<Body>(&answer.body).ok()?.error.code)
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, Failure> {
    if answer.status == 200 {
        return serde_json::from_slice(&answer.body)
            .map_err(|cause| Failure::Shape(cause.to_string()));
    }
    match serde_json::from_slice::<Body>(&answer.body) {
        Ok(body) => Err(Failure::Refused(body.error)),
        Err(_) => Err(Failure::Shape(format!("status {}", answer.status))),
    }
}
