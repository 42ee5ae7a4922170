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

/// Timeout of one call. Longer than a replica waits for its quorum, so that the replica answers
/// first.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after all replicas were tried without success.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the administration interface of all control replicas.
pub struct AdminClient {
    replicas: Vec<SocketAddr>,
    key: String,
    /// How long to retry until the leader answers.
    retry_timeout: Duration,
    client: HttpClient,
}

/// Result of one call to one replica.
enum Attempt {
    Answered(Answer),
    /// The replica is not the leader. Has the address of the leader if the replica knows it.
    NotLeader(Option<SocketAddr>),
    Failed(String),
}

impl AdminClient {
    /// Creates a client that authenticates with the operator key `key`.
    #[must_use]
    pub fn new(replicas: Vec<SocketAddr>, key: String, retry_timeout: Duration) -> Self {
        Self { replicas, key, retry_timeout, client: client::http_client() }
    }

    /// Sends a GET request to `path` below `/admin/v1/`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Posts `value` to `path` below `/admin/v1/`. The same body is sent again if the answer is
    /// lost, so the operation must be idempotent, for example by a request id in `value`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value)
            .map_err(|cause| Failure::UnexpectedAnswer(cause.to_string()))?;
        self.call(Method::POST, path, body).await
    }

    /// Tries the replicas, and the leader that they name, until the leader answers or
    /// `retry_timeout` has passed.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Failure> {
        if self.replicas.is_empty() {
            return Err(Failure::Arguments(
                "no control replica given; use --control ADDRESS:PORT".into(),
            ));
        }
        let deadline = Instant::now() + self.retry_timeout;
        let mut last_error = "no control replica answered".to_owned();
        loop {
            let mut queue: VecDeque<SocketAddr> = self.replicas.iter().copied().collect();
            let mut attempts_left = 2 * queue.len();
            while let Some(replica) = queue.pop_front() {
                match self.try_replica(replica, &method, path, &body).await {
                    Attempt::Answered(answer) => return parse_answer(&answer),
                    Attempt::NotLeader(leader) => {
                        last_error = format!("{replica} is not the leader");
                        queue.extend(leader.filter(|leader| !queue.contains(leader)));
                    }
                    Attempt::Failed(cause) => last_error = cause,
                }
                attempts_left -= 1;
                if attempts_left == 0 {
                    break;
                }
            }
            if Instant::now() >= deadline {
                return Err(Failure::NotReachable(last_error));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn try_replica(
        &self,
        replica: SocketAddr,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Attempt {
        let call = Call {
            method: method.clone(),
            url: format!("http://{replica}/admin/v1/{path}"),
            key: Some(self.key.clone()),
            body: body.to_vec().into(),
            timeout: CALL_TIMEOUT,
            ..Call::default()
        };
        match call.send(&self.client).await {
            Ok(answer) => match error_code(&answer).as_deref() {
                Some("not_leader") => Attempt::NotLeader(answer.leader()),
                Some("no_quorum") => Attempt::Failed(format!("{replica} has no quorum")),
                _ => Attempt::Answered(answer),
            },
            Err(cause) => Attempt::Failed(format!("{cause:#}")),
        }
    }
}

fn error_code(answer: &Answer) -> Option<String> {
    if answer.status == 200 {
        return None;
    }
    Some(serde_json::from_slice::<Body>(&answer.body).ok()?.error.code)
}

fn parse_answer<T: DeserializeOwned>(answer: &Answer) -> Result<T, Failure> {
    if answer.status == 200 {
        return serde_json::from_slice(&answer.body)
            .map_err(|cause| Failure::UnexpectedAnswer(cause.to_string()));
    }
    match serde_json::from_slice::<Body>(&answer.body) {
        Ok(body) => Err(Failure::Refused(body.error)),
        Err(_) => Err(Failure::UnexpectedAnswer(format!("status {}", answer.status))),
    }
}
