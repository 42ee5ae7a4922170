//! Settles the open records of lapsed entries by querying the endpoint for the run.
//!
//! | answer of the endpoint | finding |
//! |---|---|
//! | finished | billed with its usage; cancelled if there is none |
//! | unknown | never started; a run-once call may still start if its message is delayed |
//! | running | queried again; cancelled at the deadline |
//! | no answer within `settle-patience-ms` | unreachable |

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use hickoryreel_base::bundle;
use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Version;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::record;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Record;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::RunState;
use hyper::Method;
use slog::info;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

/// Maximum number of concurrent calls to endpoints.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Maximum number of records that are queried in one round; the others follow in the next one.
const MAX_QUERIES_PER_ROUND: usize = 1_024;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between two queries about the same record.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Settle {
    client: HttpClient,
    /// Times of the first and last query about each unsettled record.
    query_times: BTreeMap<Key, (Instant, Instant)>,
}

impl Default for Settle {
    fn default() -> Self {
        Self { client: client::http_client(), query_times: BTreeMap::new() }
    }
}

/// A record whose run is queried.
struct Query {
    key: Key,
    record: Record,
    address: Option<SocketAddr>,
    /// Whether the endpoint counts as unreachable if it does not answer this query.
    patience_elapsed: bool,
    /// Whether the run is old enough to be cancelled.
    past_deadline: bool,
}

enum Answer {
    Run(engine::Run),
    NoAnswer,
}

impl Controller for Settle {
    fn name(&self) -> &'static str {
        "settle"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        self.settle(control, board).boxed()
    }
}

impl Settle {
    async fn settle(&mut self, control: &Control, board: &Blackboard) -> Result<(), Failure> {
        let unsettled: BTreeMap<&Key, &Record> =
            board.unsettled.iter().map(|(key, record)| (key, record)).collect();
        self.query_times.retain(|key, _| unsettled.contains_key(key));
        if unsettled.is_empty() {
            return Ok(());
        }
        let queries = self.due_queries(control, board);
        let prices = prices(board);
        let client = self.client.clone();
        let answers = stream::iter(queries).map(|query| send_query(client.clone(), query));
        let answers: Vec<(Query, Answer)> =
            answers.buffer_unordered(MAX_CONCURRENT_CALLS).collect().await;
        let changes = answers.into_iter().filter_map(|(query, answer)| {
            let finding = finding_of(&query, &answer, &prices)?;
            Some(RecordChange::Settle(record::Settle {
                key: query.key.clone(),
                holder: query.record.holder.clone(),
                attempt: query.record.attempt,
                finding,
            }))
        });
        propose(control, changes.collect()).await
    }

    /// Returns the queries that are due in this round.
    fn due_queries(&mut self, control: &Control, board: &Blackboard) -> Vec<Query> {
        let now = Instant::now();
        let present = control.directory.present(now);
        let addresses: BTreeMap<Endpoint, SocketAddr> = present
            .into_iter()
            .map(|announcement| (announcement.endpoint, announcement.address))
            .collect();
        let settings = &control.settings;
        let mut due = Vec::new();
        for (key, record) in &board.unsettled {
            let times = self.query_times.get(key).copied();
            if times.is_some_and(|(_, last)| now < last + QUERY_INTERVAL) {
                continue;
            }
            let first = times.map_or(now, |(first, _)| first);
            self.query_times.insert(key.clone(), (first, now));
            let age_ms = board.read_at_ms.saturating_sub(record.opened_ms);
            due.push(Query {
                address: addresses.get(&record.endpoint).copied(),
                key: key.clone(),
                record: record.clone(),
                patience_elapsed: now >= first + settings.settle_patience,
                past_deadline: Duration::from_millis(age_ms) >= settings.run_deadline,
            });
            if due.len() >= MAX_QUERIES_PER_ROUND {
                break;
            }
        }
        due
    }
}

async fn send_query(client: HttpClient, query: Query) -> (Query, Answer) {
    let answer = query_run(&client, &query).await;
    (query, answer)
}

/// Queries the run, or cancels it if it is past the deadline.
async fn query_run(client: &HttpClient, query: &Query) -> Answer {
    let Some(address) = query.address else { return Answer::NoAnswer };
    let Key { workspace, request } = &query.key;
    let path = engine::run_path(&engine::run_id(workspace, request));
    let call = Call {
        method: if query.past_deadline { Method::DELETE } else { Method::GET },
        url: format!("http://{address}{path}"),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    };
    let answer = call.send(client).await.ok().filter(|answer| answer.status == 200);
    match answer.and_then(|answer| serde_json::from_slice(&answer.body).ok()) {
        Some(run) => Answer::Run(run),
        None => Answer::NoAnswer,
    }
}

/// Derives the finding from the answer; `None` if the endpoint has to be queried again.
fn finding_of(query: &Query, answer: &Answer, prices: &BTreeMap<Version, f64>) -> Option<Finding> {
    let Answer::Run(run) = answer else {
        return query.patience_elapsed.then_some(Finding::Unreachable);
    };
    match (run.state, run.usage) {
        (RunState::Finished, Some(usage)) => {
            let usage = billed_usage(&query.record.target, usage, prices);
            Some(Finding::Finished { usage, answer: None })
        }
        (RunState::Finished, None) => Some(Finding::Cancelled),
        // A message of the lapsed entry may still arrive, because its delay is not bounded.
        (RunState::Unknown, _) => Some(Finding::NeverStarted { may_start: query.record.run_once }),
        (RunState::Running, _) => query.past_deadline.then_some(Finding::Cancelled),
    }
}

fn billed_usage(target: &Target, usage: engine::Usage, prices: &BTreeMap<Version, f64>) -> Usage {
    let price = match target {
        Target::Version(version) => prices.get(version).copied().unwrap_or(0.0),
        Target::Service(_) => 0.0,
    };
    let tokens = f64::from(usage.prompt_tokens) + f64::from(usage.completion_tokens);
    Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        cost: tokens / 1000.0 * price,
    }
}

/// Prices per 1,000 tokens in the bundles in use.
fn prices(board: &Blackboard) -> BTreeMap<Version, f64> {
    let candidate = board.config.candidate.as_ref().map(|candidate| &candidate.published);
    let published = candidate.into_iter().chain(&board.config.active);
    let bundles = published.filter_map(|published| bundle::parse("bundle", &published.text).ok());
    let versions = bundles.flat_map(|bundle| bundle.versions);
    versions.map(|(version, config)| (version, config.price_per_1k)).collect()
}

async fn propose(control: &Control, changes: Vec<RecordChange>) -> Result<(), Failure> {
    if changes.is_empty() {
        return Ok(());
    }
    let count = changes.len();
    if let Outcome::Records(outcomes) = control.propose(Action::Records(changes)).await? {
        let settled =
            outcomes.iter().filter(|outcome| **outcome == record::Outcome::Closed).count();
        control.metrics.settled.inc_by(settled as u64);
        info!(control.log, "records settled"; "asked" => count, "settled" => settled);
    }
    Ok(())
}
