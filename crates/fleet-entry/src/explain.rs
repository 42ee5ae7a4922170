//! Explains where a request would go now, without sending it.
//!
//! An operator asks over a link. The explanation is made by the functions that serve requests, on the
//! state that they use, and changes none of it: no admission to an endpoint that warms up is taken, no
//! retry budget and no permit for a long prompt. It is for the first send of a request.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::explanation::Cause;
use hickoryreel_fleet::explanation::Endpoint as ExplainedEndpoint;
use hickoryreel_fleet::explanation::Estimate;
use hickoryreel_fleet::explanation::Explanation;
use hickoryreel_fleet::explanation::Question;
use hickoryreel_fleet::explanation::Reason;
use hickoryreel_fleet::explanation::Refusal as ExplainedRefusal;
use hickoryreel_fleet::explanation::RollOut;
use hickoryreel_fleet::explanation::Routing;
use hickoryreel_fleet::explanation::Standing;
use hickoryreel_fleet::explanation::Verdict;
use hickoryreel_fleet::link;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Handler;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::RANKS;
use slog::error;
use slog::info;
use tokio::net::TcpListener;

use crate::admission;
use crate::admission::Decision;
use crate::admission::Demand;
use crate::answer::Refusal;
use crate::availability::Outlook;
use crate::dialect::PromptPart;
use crate::dialect::RequestMetadata;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::pick;
use crate::pick::Candidates;
use crate::pick::PickContext;
use crate::prepare;
use crate::prompt;
use crate::routed;
use crate::routed::Routed;

/// Maximum size of a question in bytes: over ten times a request head of the default limit, 16 KiB, of
/// which it has the texts and the parts of the prompt. An entry may have 120 MB of memory.
const MAX_QUESTION_BYTES: usize = 256 << 10;

/// Answers questions over links.
struct Links(Rc<Entry>);

impl Handler for Links {
    const MAX_REQUEST_BYTES: usize = MAX_QUESTION_BYTES;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> + 'static {
        std::future::ready(match request {
            Request::Explain(question) => {
                let explanation = explain(&self.0, &question);
                self.0.metrics.explanations.inc();
                let route = explanation.routing.as_ref().map(|routing| &*routing.route);
                info!(self.0.log, "choice explained"; "route" => route,
                    "verdict" => ?explanation.verdict);
                Answer::Explanation(Box::new(explanation))
            }
            // All other requests are for control replicas.
            _ => Answer::Refused,
        })
    }
}

/// Answers questions on the address for links, if there is one, on the current `LocalSet`. An address
/// that is in use is logged and does not keep the entry from serving requests.
pub async fn start(entry: &Rc<Entry>) {
    let Some(address) = entry.settings.links else { return };
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let handler = Rc::new(Links(Rc::clone(entry)));
            tokio::task::spawn_local(link::serve(listener, handler, entry.log.clone()));
        }
        Err(cause) => {
            error!(entry.log, "cannot listen for links; choices are not explained";
                "address" => %address, "cause" => %cause);
        }
    }
}

/// Explains where a request would go now.
pub fn explain(entry: &Entry, question: &Question) -> Explanation {
    let metadata = metadata(question);
    let (routing, verdict) = match route(entry, question, &metadata) {
        Ok((routing, verdict)) => (Some(routing), verdict),
        Err(verdict) => (None, verdict),
    };
    let view = entry.view.borrow();
    Explanation {
        entry: entry.settings.name.as_str().into(),
        zone: entry.settings.zone.as_str().into(),
        entries: entry.entries.get(),
        configuration: view.number(),
        confirmed_ms: view.age().map(millis),
        evacuated: view.evacuated.clone(),
        routing,
        verdict,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn metadata(question: &Question) -> RequestMetadata {
    let parts = question.parts.iter();
    RequestMetadata {
        id: question.id.to_string(),
        host: question.host.to_string(),
        key: question.key.as_ref().map(|key| key.reveal().to_owned()),
        any_model: question.model.is_none(),
        prompt_tokens: question.prompt_tokens,
        parts: parts.map(|part| PromptPart { id: part.id, tokens: part.tokens }).collect(),
        session: question.session.as_ref().map(ToString::to_string),
        ..RequestMetadata::default()
    }
}

fn refusal(refusal: Refusal, cause: Cause) -> ExplainedRefusal {
    let (status, retry_after) = refusal.answer();
    let retry_after_ms = retry_after.map(millis).map(|delay| (delay, delay));
    ExplainedRefusal { cause, status: status.as_u16(), retry_after_ms }
}

/// Finds the route and explains the choice among the endpoints of its service. The error is what
/// happens to a request for which they are not looked at.
fn route(
    entry: &Entry,
    question: &Question,
    metadata: &RequestMetadata,
) -> Result<(Routing, Verdict), Verdict> {
    let found = prepare::find(entry, metadata, &question.path);
    let (index, route, workspace) = found.map_err(|refused| match refused {
        Refusal::NoConfiguration | Refusal::NoLease => {
            let has_none = refused == Refusal::NoConfiguration;
            let cause = if has_none { Cause::NoConfiguration } else { Cause::NoLease };
            let up_to_ms = millis(prepare::state_wait(metadata));
            Verdict::Wait { up_to_ms, otherwise: refusal(refused, cause) }
        }
        Refusal::UnknownRoute => Verdict::Refuse(refusal(refused, Cause::UnknownRoute)),
        Refusal::UnknownKey => Verdict::Refuse(refusal(refused, Cause::UnknownKey)),
        _ => Verdict::Refuse(refusal(refused, Cause::Other)),
    })?;
    let service = pick::service(&route, metadata);
    let no_service = || Verdict::Refuse(refusal(Refusal::NoEndpoint, Cause::NoService));
    let service = service.ok_or_else(no_service)?;
    let model = routed::choose_model(metadata, &route, 0);
    let token_ms = model.as_ref().map(|model| entry.token_ms(service, model));
    let routed = Routed {
        route: &route,
        metadata,
        service,
        workspace: workspace.as_deref(),
        path: &question.path,
        model: model.as_deref(),
    };
    let now = boot_time();
    let explain = |context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]| {
        explain_endpoints(context, endpoints, now)
    };
    let (level_ms, endpoints) = routed::with_context(entry, &routed, &[], token_ms, explain);
    let is_in_trial = |context: &PickContext<'_>, _: &[Rc<Endpoint>]| {
        let roll_out = context.roll_outs.for_service(service);
        roll_out.map(|roll_out| RollOut {
            target: roll_out.target.clone(),
            phase: roll_out.phase,
            share: roll_out.share,
            is_in_trial: pick::in_trial(context, roll_out.share),
        })
    };
    let roll_out = routed::with_context(entry, &routed, &[], token_ms, is_in_trial);
    let verdict = verdict(entry, &routed, token_ms, &endpoints, now);
    let withdrawn = entry.view.borrow().roll_outs.withdrawn.clone();
    let withdrawn = withdrawn.into_iter().filter(|(owner, _)| owner == service);
    let routing = Routing {
        route: route.name.clone(),
        rank: route.rank,
        workspace: workspace.as_ref().map(|workspace| workspace.name.clone()),
        targets: route.targets.clone(),
        service: service.clone(),
        is_plain: index.service(service).is_none_or(|service| service.engine.is_none()),
        model: model.or_else(|| question.model.clone()),
        route_regions: route.allowed_regions.clone(),
        workspace_regions: workspace
            .as_ref()
            .map_or_else(Vec::new, |workspace| workspace.allowed_regions.clone()),
        roll_out,
        withdrawn: withdrawn.map(|(_, version)| version).collect(),
        level_ms,
        endpoints,
    };
    Ok((routing, verdict))
}

/// Explains the choice among endpoints. Returns the level up to which they are expected to be filled,
/// if one of them can take the request, and the endpoints.
fn explain_endpoints(
    context: &PickContext<'_>,
    endpoints: &[Rc<Endpoint>],
    now: Duration,
) -> (Option<f64>, Vec<ExplainedEndpoint>) {
    let candidates = Candidates::new(context, endpoints, now);
    let shares = candidates.as_ref().map(Candidates::shares).unwrap_or_default();
    let all = candidates.iter().flat_map(|candidates| candidates.endpoints.iter());
    let indices: HashMap<*const Endpoint, usize> = all.map(Rc::as_ptr).zip(0..).collect();
    let estimate = |endpoint: &Rc<Endpoint>| {
        let index = *indices.get(&Rc::as_ptr(endpoint))?;
        Some(estimate(context, candidates.as_ref()?, index, shares[index]))
    };
    let reasons = pick::reasons(context, endpoints, now);
    let explained = endpoints.iter().zip(reasons).map(|(endpoint, reason)| {
        let standing = match (estimate(endpoint), reason) {
            (Some(estimate), None) => Standing::Candidate(estimate),
            (Some(estimate), Some(reason)) => Standing::LastResort(reason, estimate),
            (None, reason) => Standing::Excluded(reason.unwrap_or(Reason::Other)),
        };
        let announcement = endpoint.announcement.borrow();
        ExplainedEndpoint {
            id: announcement.id.clone(),
            zone: announcement.zone.clone(),
            version: announcement.version.clone(),
            standing,
        }
    });
    let explained = explained.collect();
    (candidates.as_ref().map(Candidates::level_ms), explained)
}

fn estimate(
    context: &PickContext<'_>,
    candidates: &Candidates<'_>,
    index: usize,
    share: f64,
) -> Estimate {
    let choice = candidates.choice(index);
    Estimate {
        share,
        wait_ms: choice.wait_ms,
        prefill_ms: choice.prefill_ms,
        kept_tokens: candidates.kept_tokens(index),
        saved_ms: candidates.saved_ms(index),
        pace: choice.pace,
        cost_ms: candidates.cost_ms(index),
        load: choice.endpoint.estimated_load(context.entries),
        slots: choice.endpoint.slots(),
        load_age_ms: choice.endpoint.load_age().map(millis),
        totals_age_ms: choice.endpoint.totals_age().map(millis),
        pace_age_ms: choice.endpoint.pace_age().map(millis),
    }
}

/// Tells what happens to a request whose endpoints are explained, as in
/// [`crate::forward::ActiveRequest::wait_for_endpoint`].
fn verdict(
    entry: &Entry,
    routed: &Routed<'_>,
    token_ms: Option<f64>,
    endpoints: &[ExplainedEndpoint],
    now: Duration,
) -> Verdict {
    if let Some(left) = prompt::block_left(entry, routed.metadata) {
        return Verdict::Refuse(refusal(Refusal::Blocked(left), Cause::Blocked));
    }
    let memory_tokens = entry.memory_tokens(routed.service);
    if memory_tokens.is_some_and(|tokens| routed.metadata.prompt_tokens > tokens) {
        return Verdict::Refuse(refusal(Refusal::PromptTooLarge, Cause::PromptTooLarge));
    }
    if let Some(token_ms) = token_ms
        && let Some(refusal) = overload(entry, routed, token_ms, now)
    {
        return Verdict::Refuse(refusal);
    }
    let share = |endpoint: &ExplainedEndpoint| Some(endpoint.standing.estimate()?.share);
    let candidates = endpoints.iter().filter_map(|endpoint| Some((share(endpoint)?, endpoint)));
    if let Some((_, endpoint)) = candidates.max_by(|left, right| left.0.total_cmp(&right.0)) {
        return Verdict::Send(endpoint.id.clone());
    }
    let cold = routed::with_context(entry, routed, &[], token_ms, pick::cold_candidates);
    if !cold.is_empty() {
        let ids: Vec<Name> = cold.iter().map(|endpoint| endpoint.id()).collect();
        return Verdict::AskForAdmission(ids);
    }
    let outlook = |context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]| {
        pick::outlook(context, endpoints, now)
    };
    let outlook = routed::with_context(entry, routed, &[], None, outlook);
    let cause = match outlook {
        Outlook::Unknown => Cause::NoEndpoint,
        Outlook::Leaving => Cause::Leaving,
        Outlook::Excluded => Cause::Zones,
        Outlook::Paused(_) => Cause::Paused,
    };
    let retry_after = |point| outlook.retry_after(now, routed.route.rank, point).map(millis);
    let refusal = refusal(Refusal::Overloaded, cause);
    let retry_after_ms = retry_after(0.0).zip(retry_after(1.0)).or(refusal.retry_after_ms);
    let refusal = ExplainedRefusal { retry_after_ms, ..refusal };
    let left = prepare::time_limit(routed.metadata, routed.route);
    let latest_start = routed::latest_start(routed.route, now, now + left);
    let until = now + routed::endpoint_wait(left);
    match routed::next_look(outlook, None, now, until, latest_start) {
        Some((until, _)) => {
            Verdict::Wait { up_to_ms: millis(until.saturating_sub(now)), otherwise: refusal }
        }
        None => Verdict::Refuse(refusal),
    }
}

/// Returns the refusal of a request that no endpoint is expected to answer in time. Requests that test
/// the estimate, and the delays of clients that were refused before, are left out.
fn overload(
    entry: &Entry,
    routed: &Routed<'_>,
    token_ms: f64,
    now: Duration,
) -> Option<ExplainedRefusal> {
    let rank = routed.admission_rank();
    let offers = routed::with_context(entry, routed, &[], Some(token_ms), |context, endpoints| {
        pick::offers(context, endpoints, rank)
    });
    let calibrations = entry.calibrations.borrow();
    let ranks = calibrations.get(routed.service);
    let calibration = ranks.map(|ranks| ranks[usize::from(rank).min(RANKS - 1)]);
    let demand = Demand {
        rank,
        target_left_ms: routed.route.target_ms as f64,
        left_ms: prepare::time_limit(routed.metadata, routed.route).as_secs_f64() * 1_000.0,
        probe_point: 1.0,
        left_of_delay: Duration::ZERO,
        factor: calibration.unwrap_or_default().factor(now),
        point: 0.0,
    };
    let retry_after_ms = |point| match admission::decide(&Demand { point, ..demand }, &offers) {
        Decision::Refuse(overload) => Some(millis(overload.retry_after)),
        Decision::Send(_) => None,
    };
    let delays = retry_after_ms(0.0).zip(retry_after_ms(1.0))?;
    let refusal = refusal(Refusal::Overloaded, Cause::Overload);
    Some(ExplainedRefusal { retry_after_ms: Some(delays), ..refusal })
}
