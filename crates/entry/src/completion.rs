//! Completions: `POST /v1/completions`.
//!
//! The request goes to an engine while its record is being committed; the first byte to the
//! caller waits for the record. The engine's events are passed on as they arrive, and the record
//! is closed with the usage of the last event.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Role;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::authority;
use crate::authority::Caller;
use crate::routing::Routing;
use crate::run::App;
use crate::stream::digest;
use crate::stream::takes_work;

/// Body of a caller's request.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Model to use; any allowed model when absent.
    model: Option<Model>,
    /// The prompt.
    prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    256
}

/// Handles a completion.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    Ok(complete(state).await.unwrap_or_else(|error| server::error_response(&error)))
}

async fn complete(state: &mut State) -> error::Result<Response<Body>> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    app.blackboard.check_lease(Instant::now())?;
    let routing = app.blackboard.routing();
    let caller = authority::caller(HeaderMap::borrow_from(state), &routing)?;
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let completion: Completion = serde_json::from_slice(&body)
        .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))?;
    let key = Key { workspace: caller.workspace.clone(), request: caller.request.clone() };
    let mut pinned = None;
    // A session pinned elsewhere in the meantime needs one more dispatch.
    for _ in 0..2 {
        let (version, engine) = choose(&app, &routing, &caller, &completion, pinned.take())?;
        let open = Open {
            key: key.clone(),
            holder: app.holder.clone(),
            target: Target::Version(version.clone()),
            endpoint: engine.endpoint.clone(),
            run_once: false,
            session: caller.session.clone(),
            digest: digest(&body),
        };
        let opened = app.records.submit(RecordChange::Open(open));
        let sent = send(&app, &engine, &version, &caller, &completion);
        let (opened, sent) = tokio::join!(opened, sent);
        match opened? {
            Outcome::Opened | Outcome::Repeat => {}
            Outcome::Pinned(version) => {
                pinned = Some(version);
                continue;
            }
            Outcome::Refused(error) => return Err(error),
            Outcome::Answered(_) | Outcome::Closed => {
                return Err(Error::new(Kind::Internal, "the outcome does not fit the open"));
            }
        }
        let forward = Forward { app, key, price_per_1k: price(&routing, &version) };
        return match sent {
            Ok(answer) => forward.respond(answer, completion.stream).await,
            Err(error) => {
                forward.close(End::Unknown).await;
                Err(error)
            }
        };
    }
    Err(Error::new(Kind::NoEndpoint, "the session's version changed during dispatch"))
}

fn price(routing: &Routing, version: &Version) -> f64 {
    let candidate = routing.candidate.as_ref().map(|(bundle, _)| bundle);
    let mut bundles = routing.active.iter().chain(candidate);
    let terms = bundles.find_map(|bundle| bundle.versions.get(version));
    terms.map_or(0.0, |terms| terms.price_per_1k)
}

/// Chooses a version the workspace allows and an engine that serves it.
fn choose(
    app: &App,
    routing: &Routing,
    caller: &Caller,
    completion: &Completion,
    pinned: Option<Version>,
) -> error::Result<(Version, Announcement)> {
    let affinity: &str = caller.session.as_ref().map_or(&caller.request, |session| session);
    let hash = xxh3_64(affinity.as_bytes());
    let bundle = routing
        .bundle(hash)
        .ok_or_else(|| Error::new(Kind::NoEndpoint, "no bundle is in force"))?;
    let terms = bundle.workspaces.get(&caller.workspace).unwrap_or(&caller.terms);
    let endpoints = app.blackboard.endpoints();
    let usable = terms.versions.iter().filter(|share| {
        let model = completion.model.as_ref();
        model.is_none_or(|model| share.version.model() == *model)
            && !routing.config.withdrawn.contains(&share.version)
            && pinned.as_ref().is_none_or(|version| share.version == *version)
            && endpoints.values().any(|endpoint| serves(endpoint, &share.version))
    });
    let usable: Vec<_> = usable.collect();
    let total: u64 = usable.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = (hash / 100) % total.max(1);
    let chosen = usable.iter().find(|share| {
        let weight = u64::from(share.weight);
        let found = point < weight;
        point = point.saturating_sub(weight);
        found
    });
    let version = chosen
        .map(|share| share.version.clone())
        .ok_or_else(|| Error::new(Kind::NoEndpoint, "no endpoint serves an allowed version"))?;
    let engine = endpoints
        .values()
        .filter(|endpoint| serves(endpoint, &version))
        .min_by_key(|endpoint| (endpoint.region != app.settings.region, endpoint.load.running))
        .cloned()
        .ok_or_else(|| Error::new(Kind::NoEndpoint, format!("no endpoint serves {version}")))?;
    Ok((version, engine))
}

fn serves(endpoint: &Announcement, version: &Version) -> bool {
    let loaded =
        matches!(&endpoint.role, Role::Engine { versions, .. } if versions.contains(version));
    loaded && takes_work(endpoint)
}

async fn send(
    app: &App,
    engine: &Announcement,
    version: &Version,
    caller: &Caller,
    completion: &Completion,
) -> error::Result<Response<Incoming>> {
    app.blackboard.check_lease(Instant::now())?;
    let body = json!({
        "request_id": format!("{}:{}", caller.workspace, caller.request),
        "version": version,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "priority": caller.rank,
    });
    let request = Request::post(format!("http://{}/v1/completions", engine.address))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
    let response = app.client.request(request).await.map_err(|cause| {
        Error::new(Kind::EndpointFailed, format!("engine {}: {cause}", engine.endpoint))
    })?;
    if response.status().is_success() {
        return Ok(response);
    }
    let message = format!("engine {} answered {}", engine.endpoint, response.status());
    Err(Error::new(Kind::EndpointFailed, message))
}

/// Passes an engine's answer on and closes the record.
struct Forward {
    app: Arc<App>,
    key: Key,
    price_per_1k: f64,
}

/// Usage in the last event of an engine's answer.
#[derive(Debug, Deserialize)]
struct Last {
    usage: EngineUsage,
}

#[derive(Debug, Deserialize)]
struct EngineUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
}

impl Forward {
    async fn respond(
        self,
        answer: Response<Incoming>,
        streamed: bool,
    ) -> error::Result<Response<Body>> {
        if streamed { Ok(self.stream(answer)) } else { self.whole(answer).await }
    }

    fn stream(self, answer: Response<Incoming>) -> Response<Body> {
        let frames = answer.into_body().into_data_stream();
        let frames = stream::unfold(Some((self, frames, Bytes::new())), |state| async move {
            let (forward, mut frames, last) = state?;
            match frames.next().await {
                Some(Ok(chunk)) => {
                    let next = Some((forward, frames, chunk.clone()));
                    Some((Ok(Frame::data(chunk)), next))
                }
                Some(Err(cause)) => {
                    forward.close(End::Unknown).await;
                    Some((Err(io::Error::other(cause)), None))
                }
                None => {
                    forward.close(forward.end(&last)).await;
                    None
                }
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        response.headers_mut().insert(
            hyper::header::CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    async fn whole(self, answer: Response<Incoming>) -> error::Result<Response<Body>> {
        let collected = answer.into_body().collect().await;
        let bytes = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(cause) => {
                self.close(End::Unknown).await;
                return Err(Error::new(Kind::AnswerIncomplete, cause.to_string()));
            }
        };
        let end = self.end(&bytes);
        self.close(end).await;
        let events = String::from_utf8_lossy(&bytes);
        let texts = events.lines().filter_map(|line| {
            let event: serde_json::Value =
                serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
            Some(event["choices"][0]["text"].as_str()?.to_owned())
        });
        let text: String = texts.collect();
        let usage = match end {
            End::Answered(usage) => usage,
            End::NotRun | End::Unknown => {
                return Err(Error::new(Kind::AnswerIncomplete, "the answer has no end"));
            }
        };
        Ok(server::json(
            200,
            &json!({
                "id": self.key.request,
                "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
                "usage": {
                    "prompt_tokens": usage.prompt_tokens,
                    "completion_tokens": usage.completion_tokens,
                },
            }),
        ))
    }

    /// How the request ended, from the last events of the answer.
    fn end(&self, events: &Bytes) -> End {
        let text = String::from_utf8_lossy(events);
        let last = text
            .lines()
            .rev()
            .find_map(|line| serde_json::from_str::<Last>(line.strip_prefix("data: ")?).ok());
        last.map_or(End::Unknown, |last| {
            let tokens = last.usage.prompt_tokens + last.usage.completion_tokens;
            End::Answered(Usage {
                prompt_tokens: last.usage.prompt_tokens,
                completion_tokens: last.usage.completion_tokens,
                cost: f64::from(tokens) / 1000.0 * self.price_per_1k,
            })
        })
    }

    async fn close(&self, end: End) {
        let close =
            Close { key: self.key.clone(), holder: self.app.holder.clone(), end, answer: None };
        if let Err(error) = self.app.records.submit(RecordChange::Close(close)).await {
            warn!(self.app.log, "record not closed"; "request" => %self.key.request, "error" => %error);
        }
    }
}
