//! Sends one request of the load and observes its outcome.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hickoryreel_base::client;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::error::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;

use crate::mix::Work;
use crate::plan::Arrival;
use crate::tally::Outcome;

/// Destination and credentials of a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// `ADDRESS:PORT` of the entry.
    pub entry: String,
    /// API key of the workspace.
    pub key: String,
    /// Plain service and path of run-once calls.
    pub run_once_path: &'static str,
    /// Part of request and session ids, so that they differ between runs.
    pub run_id: u64,
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Last event of a complete streamed answer.
const END_MARKER: &[u8] = b"data: [DONE]";

/// Sends one request and waits for the end of its answer. Latency counts from `planned`, the time at
/// which the request was to be sent.
pub async fn send(
    client: &HttpClient,
    target: &Target,
    arrival: &Arrival,
    planned: Instant,
) -> Outcome {
    let mut outcome = Outcome {
        rank: arrival.kind.rank,
        code: "broken".to_owned(),
        first_token: None,
        token_gaps: Vec::new(),
    };
    let exchange = async {
        let response = client.request(request(target, arrival)?).await?;
        if response.status().is_success() {
            read_answer(response, planned, &mut outcome).await
        } else {
            outcome.code = error_code(response).await?;
            Ok(())
        }
    };
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => outcome.code = "broken".to_owned(),
        Err(_) => outcome.code = "timeout".to_owned(),
    }
    outcome
}

fn request(target: &Target, arrival: &Arrival) -> eyre::Result<Request<Full<Bytes>>> {
    let (path, body) = match arrival.kind.work {
        Work::Completion { prompt_words, max_tokens, .. } => {
            let prompt =
                format!("question {} {}", arrival.number, "word ".repeat(prompt_words as usize));
            let body = json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true});
            ("completions".to_owned(), body)
        }
        Work::RunOnce => {
            (format!("services/{}", target.run_once_path), json!({"number": arrival.number}))
        }
    };
    let mut request = Request::post(format!("http://{}/v1/{path}", target.entry))
        .header("authorization", format!("Bearer {}", target.key))
        .header("x-request-id", format!("load-{}-{}", target.run_id, arrival.number))
        .header("x-request-time", hickoryreel_base::time::unix_millis())
        .header("x-rank", arrival.kind.rank.to_string());
    if let Work::Completion { session: true, .. } = arrival.kind.work {
        request =
            request.header("x-session", format!("load-{}-{}", target.run_id, arrival.session));
    }
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}

/// Reads an answer to its end. A stream that ends without its end marker counts as `broken`.
async fn read_answer(
    response: Response<Incoming>,
    planned: Instant,
    outcome: &mut Outcome,
) -> eyre::Result<()> {
    let content_type = response.headers().get("content-type");
    let streamed = content_type.is_some_and(|kind| kind == "text/event-stream");
    let mut body = response.into_body();
    let mut last: Option<Instant> = None;
    let mut complete = !streamed;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let now = Instant::now();
        match last.replace(now) {
            None => outcome.first_token = Some(now.saturating_duration_since(planned)),
            Some(previous) => outcome.token_gaps.push(now - previous),
        }
        complete |= data.windows(END_MARKER.len()).any(|window| window == END_MARKER);
    }
    outcome.code = if complete { "ok" } else { "broken" }.to_owned();
    Ok(())
}

async fn error_code(response: Response<Incoming>) -> eyre::Result<String> {
    let status = response.status();
    let body = Limited::new(response.into_body(), client::MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|cause| eyre::eyre!(cause))?.to_bytes();
    let code = serde_json::from_slice::<Body>(&body).map(|body| body.error.code);
    Ok(code.unwrap_or_else(|_| format!("status {status}")))
}
