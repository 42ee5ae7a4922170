//! Settles open records of entries that died, by asking the endpoint for the run.
//!
//! | the endpoint says | finding |
//! |---|---|
//! | finished | billed with its usage |
//! | unknown | never started; a run-once call may still start from a delayed message |
//! | running | asked again; cancelled at the deadline |
//! | no answer within the patience | unreachable |

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

/// Calls to endpoints under way at the same time.
const MAX_CALLS: usize = 32;

/// Records asked about in one round; the others wait for the next one.
const MAX_ROUND: usize = 1_024;

/// Limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two questions about the same record.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// Settlement controller.
pub(super) struct Settle {
    client: HttpClient,
    /// When each record was asked about first and last in this leadership.
    asked: BTreeMap<Key, (Instant, Instant)>,
}

impl Default for Settle {
    fn default() -> Self {
        Self { client: client::http_client(), asked: BTreeMap::new() }
    }
}

/// A record to ask about.
struct Question {
    key: Key,
    record: Record,
    address: Option<SocketAddr>,
    /// Whether the endpoint had its time to answer.
    out_of_patience: bool,
    /// Whether the run is to be cancelled.
    past_deadline: bool,
}

/// What an endpoint answered.
enum Answer {
    Run(engine::Run),
    Nothing,
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
        self.asked.retain(|key, _| unsettled.contains_key(key));
        if unsettled.is_empty() {
            return Ok(());
        }
        let questions = self.due(control, board);
        let prices = prices(board);
        let client = self.client.clone();
        let answers = stream::iter(questions).map(|question| ask(client.clone(), question));
        let answers: Vec<(Question, Answer)> = answers.buffer_unordered(MAX_CALLS).collect().await;
        let changes = answers.into_iter().filter_map(|(question, answer)| {
            let finding = finding(&question, &answer, &prices)?;
            Some(RecordChange::Settle(record::Settle {
                key: question.key.clone(),
                holder: question.record.holder.clone(),
                attempt: question.record.attempt,
                finding,
            }))
        });
        propose(control, changes.collect()).await
    }

    /// The records that it is time to ask about.
    fn due(&mut self, control: &Control, board: &Blackboard) -> Vec<Question> {
        let now = Instant::now();
        let present = control.directory.present(now);
        let addresses: BTreeMap<Endpoint, SocketAddr> =
            present.into_iter().map(|one| (one.endpoint, one.address)).collect();
        let settings = &control.settings;
        let mut due = Vec::new();
        for (key, record) in &board.unsettled {
            let known = self.asked.get(key).copied();
            if known.is_some_and(|(_, last)| now < last + ASK_AGAIN) {
                continue;
            }
            let first = known.map_or(now, |(first, _)| first);
            self.asked.insert(key.clone(), (first, now));
            let age_ms = board.read_at_ms.saturating_sub(record.opened_ms);
            due.push(Question {
                address: addresses.get(&record.endpoint).copied(),
                key: key.clone(),
                record: record.clone(),
                out_of_patience: now >= first + settings.settle_patience,
                past_deadline: Duration::from_millis(age_ms) >= settings.run_deadline,
            });
            if due.len() >= MAX_ROUND {
                break;
            }
        }
        due
    }
}

async fn ask(client: HttpClient, question: Question) -> (Question, Answer) {
    let answer = run(&client, &question).await;
    (question, answer)
}

async fn run(client: &HttpClient, question: &Question) -> Answer {
    let Some(address) = question.address else { return Answer::Nothing };
    let Key { workspace, request } = &question.key;
    let path = engine::run_path(&engine::run_id(workspace, request));
    let call = Call {
        method: if question.past_deadline { Method::DELETE } else { Method::GET },
        url: format!("http://{address}{path}"),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    };
    let answer = call.send(client).await.ok().filter(|answer| answer.status == 200);
    match answer.and_then(|answer| serde_json::from_slice(&answer.body).ok()) {
        Some(run) => Answer::Run(run),
        None => Answer::Nothing,
    }
}

/// What the answer settles; `None` if the endpoint is to be asked again.
fn finding(
    question: &Question,
    answer: &Answer,
    prices: &BTreeMap<Version, f64>,
) -> Option<Finding> {
    let Answer::Run(run) = answer else {
        return question.out_of_patience.then_some(Finding::Unreachable);
    };
    match (run.state, run.usage) {
        (RunState::Finished, Some(usage)) => {
            let usage = bill(&question.record.target, usage, prices);
            Some(Finding::Finished { usage, answer: None })
        }
        (RunState::Finished, None) => Some(Finding::Cancelled),
        // A message of the dead entry may still be under way: nothing bounds how long.
        (RunState::Unknown, _) => {
            Some(Finding::NeverStarted { may_start: question.record.run_once })
        }
        (RunState::Running, _) => question.past_deadline.then_some(Finding::Cancelled),
    }
}

fn bill(target: &Target, usage: engine::Usage, prices: &BTreeMap<Version, f64>) -> Usage {
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
    let bundles = published.filter_map(|one| bundle::parse("bundle", &one.text).ok());
    let versions = bundles.flat_map(|bundle| bundle.versions);
    versions.map(|(version, terms)| (version, terms.price_per_1k)).collect()
}

async fn propose(control: &Control, changes: Vec<RecordChange>) -> Result<(), Failure> {
    if changes.is_empty() {
        return Ok(());
    }
    let count = changes.len();
    if let Outcome::Records(outcomes) = control.propose(Action::Records(changes)).await? {
        let settled = outcomes.iter().filter(|one| **one == record::Outcome::Closed).count();
        control.metrics.settled.inc_by(settled as u64);
        info!(control.log, "records settled"; "asked" => count, "settled" => settled);
    }
    Ok(())
}
