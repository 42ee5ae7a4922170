//! Explanations where a request would go, against the choices that serve requests.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use common::STREAM;
use common::announcement;
use common::configuration;
use hickoryreel_base::logging;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::explanation::Cause;
use hickoryreel_fleet::explanation::Estimate;
use hickoryreel_fleet::explanation::Explanation;
use hickoryreel_fleet::explanation::Key;
use hickoryreel_fleet::explanation::Part;
use hickoryreel_fleet::explanation::Question;
use hickoryreel_fleet::explanation::Reason;
use hickoryreel_fleet::explanation::Standing;
use hickoryreel_fleet::explanation::Verdict;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::admission;
use hickoryreel_fleet_entry::admission::Decision;
use hickoryreel_fleet_entry::admission::Demand;
use hickoryreel_fleet_entry::availability::Outlook;
use hickoryreel_fleet_entry::dialect::Dialect;
use hickoryreel_fleet_entry::dialect::Malformed;
use hickoryreel_fleet_entry::dialect::PromptPart;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::dialect::SendOptions;
use hickoryreel_fleet_entry::endpoint::Endpoint;
use hickoryreel_fleet_entry::entry::Entry;
use hickoryreel_fleet_entry::explain;
use hickoryreel_fleet_entry::explain::explain;
use hickoryreel_fleet_entry::pick;
use hickoryreel_fleet_entry::pick::PickContext;
use hickoryreel_fleet_entry::provenance::Unverified;
use hickoryreel_fleet_entry::routed;
use hickoryreel_fleet_entry::routed::Routed;
use hickoryreel_fleet_entry::settings::Settings;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use proptest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use yare::parameterized;

const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("west-a", "west")];

/// Choices made for each drawn state. An endpoint that gets [`LARGE_SHARE`] of the requests is missed
/// by all of them with a probability of 0.6^60, or 5e-14.
const CHOICES: usize = 60;
const LARGE_SHARE: f64 = 0.4;

/// Difference of two times that are computed in another order.
const ROUNDING_MS: f64 = 1e-6;

/// Explanations send nothing, so no head is parsed or built.
struct NoDialect;

impl Dialect for NoDialect {
    fn parse_request(&self, _: &Parts) -> Result<RequestMetadata, Malformed> {
        unreachable!("there is no request")
    }

    fn request_headers(&self, _: &Parts, _: &SendOptions<'_>) -> HeaderMap {
        unreachable!("nothing is sent")
    }

    fn parse_response(&self, _: StatusCode, _: &HeaderMap, _: &str) -> Unverified {
        unreachable!("nothing is sent")
    }

    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        unreachable!("nothing is sent")
    }
}

/// State of an endpoint, apart from its load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Usable,
    Leaving,
    Paused,
    OnTrial,
    Ejected,
    Draining,
    Silent,
    Suspect,
    Cold,
}

const STATES: [State; 9] = [
    State::Usable,
    State::Leaving,
    State::Paused,
    State::OnTrial,
    State::Ejected,
    State::Draining,
    State::Silent,
    State::Suspect,
    State::Cold,
];

/// A drawn endpoint.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    zone: &'static str,
    version: &'static str,
    state: State,
    /// Outstanding requests and prefill time of all entries; `None` without totals.
    totals: Option<(u32, u32)>,
    /// Average pace in percent.
    pace: u16,
    own_prefill_ms: u32,
}

impl Default for Drawn {
    fn default() -> Self {
        let state = State::Usable;
        Self { zone: "north-a", version: "v1", state, totals: None, pace: 0, own_prefill_ms: 0 }
    }
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn settings() -> Settings {
    let regions = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned())).to_vec();
    Settings { zone: "north-a".to_owned(), regions, ..Settings::default() }
}

/// Creates an entry without agreed state.
fn empty_entry(settings: Settings) -> Rc<Entry> {
    Entry::new(settings, Box::new(NoDialect), logging::discard())
}

fn entry(configuration: Configuration, roll_outs: RollOuts, evacuated: &[&str]) -> Rc<Entry> {
    let entry = empty_entry(settings());
    let confirmed = Confirmed {
        number: configuration.number,
        revision: 1,
        roll_outs: Some(roll_outs),
        versions: None,
        evacuated: Some(names(evacuated)),
        configuration: Some(Box::new(configuration)),
        former_keys: Vec::new(),
    };
    entry.view.borrow_mut().confirm(boot_time(), confirmed);
    entry.entries.set(3);
    entry
}

fn add(entry: &Entry, number: usize, drawn: Drawn) {
    let address = SocketAddrV4::new([127, 0, 0, 1].into(), 9_000 + number as u16);
    let mut announcement = announcement(number, address);
    announcement.zone = drawn.zone.into();
    announcement.version = drawn.version.into();
    announcement.draining = drawn.state == State::Draining;
    announcement.warm_up_left_ms = if drawn.state == State::Cold { 60_000 } else { 0 };
    let id = announcement.id.clone();
    let is_silent = drawn.state == State::Silent;
    let status = if is_silent { Status::Silent } else { Status::Present };
    let replica = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut directory = entry.directory.borrow_mut();
    directory.apply(EndpointUpdate { announcement, status }, replica);
    let endpoint = directory.all().find(|endpoint| endpoint.id() == id).expect("it is there");
    let (outstanding, prefill_ms) = drawn.totals.unwrap_or_default();
    let failed = if drawn.state == State::Suspect { 10 } else { 0 };
    if drawn.totals.is_some() || failed > 0 {
        endpoint.apply_totals(Some(&EndpointLoad {
            endpoint: endpoint.key(),
            outstanding,
            prefill_ms: [prefill_ms, prefill_ms / 2, prefill_ms],
            succeeded: 0,
            failed,
            pace: drawn.pace,
            latest_pace: 0,
            prompt_tokens: 0,
        }));
    }
    endpoint.add_prefill(1, f64::from(drawn.own_prefill_ms));
    match drawn.state {
        State::Leaving => assert!(endpoint.record_leaving()),
        State::Paused => assert!(endpoint.record_pause(Duration::from_secs(60))),
        State::OnTrial => {
            endpoint.record_pause(Duration::from_nanos(1));
            std::thread::sleep(Duration::from_micros(1));
            for _ in 0..2 {
                endpoint.record_send();
            }
        }
        // The longest ejection, so that it does not end during a test.
        State::Ejected => {
            for _ in 0..6 {
                endpoint.record_unreachable();
            }
        }
        _ => {}
    }
}

fn roll_outs(phase: Option<Phase>, withdrawn: bool) -> RollOuts {
    let newest = phase.map(|phase| RollOut {
        serial: 1,
        service: "service".into(),
        target: "v2".into(),
        length_ms: 10_000,
        phase,
        share: 500,
        elapsed_ms: 0,
    });
    let withdrawn = withdrawn.then(|| ("service".into(), "v3".into()));
    RollOuts { newest: newest.into_iter().collect(), withdrawn: withdrawn.into_iter().collect() }
}

fn question(prompt: &[Part]) -> Question {
    Question {
        id: "id".into(),
        host: "host".into(),
        path: STREAM.into(),
        prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
        parts: prompt.to_vec(),
        ..Question::default()
    }
}

fn metadata(question: &Question) -> RequestMetadata {
    let parts = question.parts.iter();
    RequestMetadata {
        id: question.id.to_string(),
        host: question.host.to_string(),
        any_model: question.model.is_none(),
        prompt_tokens: question.prompt_tokens,
        parts: parts.map(|part| PromptPart { id: part.id, tokens: part.tokens }).collect(),
        ..RequestMetadata::default()
    }
}

/// Calls a function of [`pick`] for a question as for a request.
fn with_context<T>(
    entry: &Entry,
    question: &Question,
    tried: &[Name],
    function: impl Fn(&PickContext<'_>, &[Rc<Endpoint>]) -> T,
) -> T {
    let index = entry.view.borrow().index.clone().expect("there is a configuration");
    let route = index.route(&question.host, &question.path).expect("there is a route");
    let (service, metadata) = (Name::from("service"), metadata(question));
    let model = route.models.first().filter(|_| metadata.any_model);
    let token_ms = model.map(|model| entry.token_ms(&service, model));
    let routed = Routed {
        route,
        metadata: &metadata,
        service: &service,
        workspace: None,
        path: &question.path,
        model: model.map(|model| &**model),
    };
    routed::with_context(entry, &routed, tried, token_ms, function)
}

/// Whether admission refuses a question as a request that has just arrived, without calibration.
fn is_refused(entry: &Entry, question: &Question) -> bool {
    let index = entry.view.borrow().index.clone().expect("there is a configuration");
    let route = index.route(&question.host, &question.path).expect("there is a route");
    if route.models.is_empty() || question.model.is_some() {
        return false;
    }
    let offers = with_context(entry, question, &[], |context, endpoints| {
        pick::offers(context, endpoints, route.rank)
    });
    let demand = Demand {
        rank: route.rank,
        target_left_ms: route.target_ms as f64,
        left_ms: route.timeout_ms as f64,
        probe_point: 1.0,
        left_of_delay: Duration::ZERO,
        factor: 1.0,
        point: 0.0,
    };
    matches!(admission::decide(&demand, &offers), Decision::Refuse(_))
}

/// Endpoints that can get the request, with what is expected of them.
fn candidates(explanation: &Explanation) -> Vec<(Name, Estimate)> {
    let routing = explanation.routing.as_ref().expect("there is a route");
    let estimate = |standing: &Standing| standing.estimate().copied();
    let endpoints = routing.endpoints.iter();
    endpoints
        .filter_map(|endpoint| Some((endpoint.id.clone(), estimate(&endpoint.standing)?)))
        .collect()
}

fn standing(explanation: &Explanation, id: &str) -> Standing {
    let routing = explanation.routing.as_ref().expect("there is a route");
    let mut endpoints = routing.endpoints.iter();
    endpoints.find(|endpoint| &*endpoint.id == id).expect("it is named").standing.clone()
}

fn timeless_reason(reason: Reason) -> Reason {
    match reason {
        Reason::Paused { .. } => Reason::Paused { left_ms: 0 },
        Reason::Ejected { .. } => Reason::Ejected { left_ms: 0 },
        Reason::WarmingUp { .. } => Reason::WarmingUp { left_ms: 0 },
        other => other,
    }
}

/// An explanation without the figures that change as time passes.
fn timeless(mut explanation: Explanation) -> Explanation {
    explanation.confirmed_ms = explanation.confirmed_ms.map(|_| 0);
    let without_ages = |estimate: Estimate| Estimate {
        load_age_ms: estimate.load_age_ms.map(|_| 0),
        totals_age_ms: estimate.totals_age_ms.map(|_| 0),
        pace_age_ms: estimate.pace_age_ms.map(|_| 0),
        ..estimate
    };
    for endpoint in explanation.routing.iter_mut().flat_map(|routing| &mut routing.endpoints) {
        endpoint.standing = match endpoint.standing {
            Standing::Candidate(estimate) => Standing::Candidate(without_ages(estimate)),
            Standing::LastResort(reason, estimate) => {
                Standing::LastResort(timeless_reason(reason), without_ages(estimate))
            }
            Standing::Excluded(reason) => Standing::Excluded(timeless_reason(reason)),
        };
    }
    match &mut explanation.verdict {
        Verdict::Wait { otherwise: refusal, .. } | Verdict::Refuse(refusal) => {
            refusal.retry_after_ms = refusal.retry_after_ms.map(|_| (0, 0));
        }
        Verdict::Send(_) | Verdict::AskForAdmission(_) => {}
    }
    explanation
}

/// What a request would change at an entry and its endpoints.
fn snapshot(entry: &Entry) -> String {
    let directory = entry.directory.borrow();
    let mut endpoints: Vec<String> = directory
        .all()
        .map(|endpoint| {
            format!(
                "{} {} {} {} {:?} {:?} {:?} {:?}",
                endpoint.id(),
                endpoint.outstanding.get(),
                endpoint.prefill_wait_ms(2, 1.0),
                endpoint.failure_share(),
                endpoint.availability(),
                endpoint.last_activity.get(),
                endpoint.cold_until(),
                endpoint.reason(Duration::ZERO),
            )
        })
        .collect();
    endpoints.sort();
    let has_second_send = entry.has_second_send(&"service".into());
    format!(
        "{endpoints:?} {} {} {} {} {:?} {} {}",
        entry.budgets.borrow().len(),
        entry.cascades.borrow().len(),
        entry.prefill_limiters.borrow().len(),
        has_second_send,
        entry.confirmation_wanted_at.get(),
        entry.outstanding.get(),
        entry.metrics_text(),
    )
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let zone = prop::sample::select(ZONES.map(|(zone, _)| zone).to_vec());
    let version = prop::sample::select(vec!["v1", "v1", "v2", "v3"]);
    let states = [vec![State::Usable; 9], STATES.to_vec()].concat();
    let totals = prop::option::weighted(0.8, (0..30_u32, 0..4_000_u32));
    (zone, version, prop::sample::select(states), totals, 50..250_u16, 0..500_u32).prop_map(
        |(zone, version, state, totals, pace, own_prefill_ms)| Drawn {
            zone,
            version,
            state,
            totals,
            pace,
            own_prefill_ms,
        },
    )
}

fn phase() -> impl Strategy<Value = Option<Phase>> {
    let phases = [Phase::Pending, Phase::Trial, Phase::Moving, Phase::Complete, Phase::RolledBack];
    prop::option::of(prop::sample::select(phases.to_vec()))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against an explanation that differs from the choice that serves requests, in the
    /// candidates, the expected times or the shares, and against one that changes the state it
    /// explains.
    #[test]
    fn explanation_agrees_with_the_choice(
        drawn in prop::collection::vec(drawn(), 0..12),
        allowed in prop::sample::subsequence(vec!["north", "south", "west"], 0..4),
        evacuated in prop::sample::subsequence(ZONES.map(|(zone, _)| zone).to_vec(), 0..3),
        phase in phase(),
        withdrawn in any::<bool>(),
        id in any::<u64>(),
        shared_tokens in prop::option::of(1..10_000_u64),
        has_models in any::<bool>(),
        limits_cold in any::<bool>(),
        rank in 0..3_u8,
    ) {
        let mut configuration = configuration(1);
        for route in &mut configuration.routes {
            route.allowed_regions = names(&allowed);
            route.rank = rank;
            route.models = names(if has_models { &["small", "large"] } else { &[] });
        }
        let cold_start = limits_cold.then_some(ColdStart { requests_per_s: 1.0, after_start: true });
        configuration.services[0].cold_start = cold_start;
        let entry = entry(configuration, roll_outs(phase, withdrawn), &evacuated);
        drawn.iter().enumerate().for_each(|(number, drawn)| add(&entry, number, *drawn));
        let shared = shared_tokens.map(|tokens| Part { id: 7, tokens });
        let prompt: Vec<Part> = shared.into_iter().chain([Part { id, tokens: 2_000 }]).collect();
        let question = Question { id: id.to_string().into(), ..question(&prompt) };
        entry.record_first_send(&"service".into());
        let before = snapshot(&entry);

        let explanation = explain(&entry, &question);
        let again = explain(&entry, &question);

        prop_assert_eq!(snapshot(&entry), before);
        prop_assert_eq!(timeless(again), timeless(explanation.clone()));
        let candidates = candidates(&explanation);
        for _ in 0..CHOICES {
            let Some(choice) = with_context(&entry, &question, &[], pick::choose) else {
                prop_assert!(candidates.is_empty());
                break;
            };
            let named = candidates.iter().find(|(id, _)| *id == choice.endpoint.id());
            let (_, estimate) = named.expect("the chosen endpoint is a candidate");
            prop_assert!(estimate.share > 0.0);
            prop_assert!((estimate.wait_ms - choice.wait_ms).abs() < ROUNDING_MS);
            prop_assert!((estimate.prefill_ms - choice.prefill_ms).abs() < ROUNDING_MS);
        }
        for (candidate, estimate) in &candidates {
            // The request goes to this candidate once it was sent to all others.
            let others = candidates.iter().map(|(id, _)| id).filter(|id| *id != candidate);
            let others: Vec<Name> = others.cloned().collect();
            let choice = with_context(&entry, &question, &others, pick::choose);
            let choice = choice.expect("a candidate is left");
            prop_assert_eq!(&choice.endpoint.id(), candidate);
            let waits = (choice.wait_ms / choice.pace, estimate.wait_ms / estimate.pace);
            prop_assert!((waits.0 - waits.1).abs() < ROUNDING_MS);
        }
        let sum: f64 = candidates.iter().map(|(_, estimate)| estimate.share).sum();
        prop_assert!(candidates.is_empty() || (sum - 1.0).abs() < 1e-9, "{}", sum);
        let large = candidates.iter().filter(|(_, estimate)| estimate.share >= LARGE_SHARE);
        for (id, _) in large {
            let choose = || with_context(&entry, &question, &[], pick::choose);
            let is_chosen = (0..CHOICES).filter_map(|_| choose()).any(|choice| choice.endpoint.id() == *id);
            prop_assert!(is_chosen, "{} is never chosen", id);
        }
        let cold = with_context(&entry, &question, &[], pick::cold_candidates);
        let outlook = with_context(&entry, &question, &[], |context, endpoints| {
            pick::outlook(context, endpoints, boot_time())
        });
        let is_refused = is_refused(&entry, &question);
        match &explanation.verdict {
            Verdict::Refuse(refusal) if refusal.cause == Cause::Overload => {
                prop_assert!(is_refused && refusal.status == 503);
            }
            Verdict::Send(id) => {
                prop_assert!(!is_refused && candidates.iter().any(|(other, _)| other == id));
            }
            Verdict::AskForAdmission(ids) => {
                let expected: Vec<Name> = cold.iter().map(|endpoint| endpoint.id()).collect();
                prop_assert!(candidates.is_empty() && *ids == expected);
            }
            Verdict::Wait { otherwise: refusal, .. } | Verdict::Refuse(refusal) => {
                let expected = match outlook {
                    Outlook::Unknown => Cause::NoEndpoint,
                    Outlook::Leaving => Cause::Leaving,
                    Outlook::Excluded => Cause::Zones,
                    Outlook::Paused(_) => Cause::Paused,
                };
                prop_assert!(candidates.is_empty() && cold.is_empty());
                prop_assert_eq!((refusal.cause, refusal.status), (expected, 503));
                prop_assert!(refusal.retry_after_ms.is_some());
            }
        }
        let routing = explanation.routing.expect("there is a route");
        prop_assert_eq!(routing.endpoints.len(), drawn.len());
        let has_other = |standing: &Standing| standing.reason() == Some(Reason::Other);
        prop_assert!(!routing.endpoints.iter().any(|endpoint| has_other(&endpoint.standing)));
    }
}

/// Guards against an endpoint that is left out for another reason than the one that is named.
#[parameterized(
    region = { Drawn { zone: "west-a", ..Drawn::default() }, Reason::Region },
    evacuated = { Drawn { zone: "north-b", ..Drawn::default() }, Reason::Evacuated },
    withdrawn = { Drawn { version: "v3", ..Drawn::default() }, Reason::Withdrawn },
    other_version = { Drawn { version: "v2", ..Drawn::default() }, Reason::OtherVersion },
    leaving = { Drawn { state: State::Leaving, ..Drawn::default() }, Reason::Leaving },
    paused = { Drawn { state: State::Paused, ..Drawn::default() }, Reason::Paused { left_ms: 0 } },
    on_trial = { Drawn { state: State::OnTrial, ..Drawn::default() }, Reason::OnTrial },
    ejected = { Drawn { state: State::Ejected, ..Drawn::default() }, Reason::Ejected { left_ms: 0 } },
    draining = { Drawn { state: State::Draining, ..Drawn::default() }, Reason::Draining },
    silent = { Drawn { state: State::Silent, ..Drawn::default() }, Reason::Silent },
    suspect = { Drawn { state: State::Suspect, ..Drawn::default() }, Reason::Suspect },
    cold = { Drawn { state: State::Cold, ..Drawn::default() }, Reason::WarmingUp { left_ms: 0 } },
)]
fn excluded_endpoint_has_its_reason(drawn: Drawn, expected: Reason) {
    let mut configuration = configuration(1);
    configuration.routes.iter_mut().for_each(|route| route.allowed_regions = names(&["north"]));
    configuration.services[0].cold_start =
        Some(ColdStart { requests_per_s: 1.0, after_start: true });
    let entry = entry(configuration, roll_outs(Some(Phase::Pending), true), &["north-b"]);
    add(&entry, 0, Drawn::default());
    add(&entry, 1, drawn);

    let explanation = timeless(explain(&entry, &question(&[])));

    assert_eq!(standing(&explanation, "e1"), Standing::Excluded(expected));
    assert_eq!(explanation.verdict, Verdict::Send("e0".into()));
}

/// Guards against an endpoint that is named as excluded although the request would go there, because
/// there is no other.
#[test]
fn last_resort_is_a_candidate_with_its_reason() {
    let entry = entry(configuration(1), RollOuts::default(), &[]);
    add(&entry, 0, Drawn { state: State::Silent, ..Drawn::default() });

    let explanation = explain(&entry, &question(&[]));

    assert!(matches!(standing(&explanation, "e0"), Standing::LastResort(Reason::Silent, _)));
    assert_eq!(explanation.verdict, Verdict::Send("e0".into()));
}

/// Guards against refusals that are explained otherwise than they are given.
#[parameterized(
    unknown_host = { Question { host: "other".into(), ..question(&[]) }, Cause::UnknownRoute, 404 },
    unknown_path = { Question { path: "/none/".into(), ..question(&[]) }, Cause::UnknownRoute, 404 },
    relative_path = { Question { path: "none".into(), ..question(&[]) }, Cause::UnknownRoute, 404 },
    missing_key = { Question { path: common::ONCE.into(), ..question(&[]) }, Cause::UnknownKey, 401 },
    unknown_key = {
        Question {
            path: common::ONCE.into(),
            key: Some(Key::from(Name::from("other"))),
            ..question(&[])
        },
        Cause::UnknownKey,
        401
    },
)]
fn refusal_before_the_choice_is_explained(question: Question, cause: Cause, status: u16) {
    let entry = entry(configuration(1), RollOuts::default(), &[]);
    add(&entry, 0, Drawn::default());

    let explanation = explain(&entry, &question);

    let Verdict::Refuse(refusal) = explanation.verdict else { panic!("{explanation:?}") };
    assert_eq!((refusal.cause, refusal.status), (cause, status));
    assert!(explanation.routing.is_none());
}

/// Guards against an entry without agreed state that explains a choice which it could not make.
#[test]
fn entry_without_configuration_says_so() {
    let entry = empty_entry(settings());
    add(&entry, 0, Drawn::default());

    let explanation = explain(&entry, &question(&[]));

    let Verdict::Wait { otherwise, .. } = explanation.verdict else { panic!("{explanation:?}") };
    assert_eq!((otherwise.cause, otherwise.status), (Cause::NoConfiguration, 503));
    assert_eq!((explanation.configuration, explanation.confirmed_ms), (0, None));
}

/// Guards against a key that is found but not applied, and against one in the debug output that logs
/// are made of.
#[test]
fn key_gives_the_workspace_and_is_not_shown() {
    let entry = entry(configuration(1), RollOuts::default(), &[]);
    let key = Some(Key::from(Name::from("key")));
    let question = Question { path: common::ONCE.into(), key, ..question(&[]) };

    let explanation = explain(&entry, &question);

    let routing = explanation.routing.expect("the key is valid");
    assert_eq!(routing.workspace.as_deref(), Some("workspace"));
    assert!(format!("{question:?}").contains("key: Some(Key(..))"), "{question:?}");
}

/// Guards against huge numbers in a question from another program that stop the entry.
#[test]
fn extreme_numbers_are_explained() {
    let mut configuration = configuration(1);
    configuration.routes.iter_mut().for_each(|route| route.models = names(&["small"]));
    let entry = entry(configuration, RollOuts::default(), &[]);
    add(&entry, 0, Drawn::default());
    let parts = vec![Part { id: u64::MAX, tokens: u64::MAX }; 1_000];
    let question = Question { prompt_tokens: u64::MAX, parts, ..question(&[]) };

    let explanation = explain(&entry, &question);

    assert_eq!(explanation.verdict, Verdict::Send("e0".into()));
}

/// Address of a listener that is closed again.
async fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
    match listener.local_addr().expect("loopback works") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("the address is an IPv4 one"),
    }
}

/// Guards against an entry that acts on requests for control replicas.
#[tokio::test]
async fn links_answer_questions_only() {
    let test = async {
        let address = free_address().await;
        let entry = empty_entry(Settings { links: Some(address), ..settings() });
        explain::start(&entry).await;
        let client = Client::start(address.into(), logging::discard());
        let limit = Duration::from_secs(10);

        let explained = client.call(Request::Explain(Box::new(question(&[]))), limit).await;
        let refused = client.call(Request::ReadIndex, limit).await;

        assert!(matches!(explained, Some(Answer::Explanation(_))), "{explained:?}");
        assert!(matches!(refused, Some(Answer::Refused)), "{refused:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a question that takes the memory of an entry.
#[tokio::test]
async fn huge_question_is_not_read() {
    let test = async {
        let address = free_address().await;
        let entry = empty_entry(Settings { links: Some(address), ..settings() });
        explain::start(&entry).await;
        let client = Client::start(address.into(), logging::discard());
        let question = question(&vec![Part { id: 1, tokens: 1 }; 1_000_000]);

        let request = Request::Explain(Box::new(question));
        let answer = client.call(request, Duration::from_secs(10)).await;

        assert!(answer.is_none(), "{answer:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an answer for the largest deployment that does not fit into a frame.
#[tokio::test]
async fn largest_deployment_is_explained() {
    let test = async {
        let address = free_address().await;
        let entry = empty_entry(Settings { links: Some(address), ..settings() });
        let confirmed = common::confirmed(configuration(1));
        entry.view.borrow_mut().confirm(boot_time(), confirmed);
        (0..7_500).for_each(|number| add(&entry, number, Drawn::default()));
        explain::start(&entry).await;
        let client = Client::start(address.into(), logging::discard());
        let parts = [Part { id: 1, tokens: 5_000 }, Part { id: 2, tokens: 100 }];

        let question = Box::new(question(&parts));
        let explained = client.call(Request::Explain(question), Duration::from_secs(30)).await;

        let Some(Answer::Explanation(explanation)) = explained else { panic!("{explained:?}") };
        assert_eq!(candidates(&explanation).len(), 7_500);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an entry that does not serve requests because the port for links is in use.
#[tokio::test]
async fn address_in_use_does_not_stop_the_entry() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else { unreachable!() };
        let entry = empty_entry(Settings { links: Some(address), ..settings() });

        explain::start(&entry).await;

        assert!(entry.metrics_text().contains("explanations"));
    };
    LocalSet::new().run_until(test).await;
}
