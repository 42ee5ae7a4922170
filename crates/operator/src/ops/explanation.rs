//! Prints an explanation as text.

use hickoryreel_fleet::Name;
use hickoryreel_fleet::explanation::Endpoint;
use hickoryreel_fleet::explanation::Estimate;
use hickoryreel_fleet::explanation::Explanation;
use hickoryreel_fleet::explanation::Refusal;
use hickoryreel_fleet::explanation::Routing;
use hickoryreel_fleet::explanation::Standing;
use hickoryreel_fleet::explanation::Verdict;

use crate::ops::print;

/// Columns of an endpoint's estimate.
const ESTIMATE_COLUMNS: usize = 9;

fn list(names: &[Name], none: &str) -> String {
    if names.is_empty() { none.to_owned() } else { names.join(", ") }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", 100.0 * share)
}

/// Prints an explanation.
pub fn print(explanation: &Explanation) {
    let Explanation { entry, zone, entries, configuration, confirmed_ms, .. } = explanation;
    let confirmed = confirmed_ms
        .map_or_else(|| "never confirmed".to_owned(), |age| format!("confirmed {age} ms ago"));
    println!("entry          {entry} in {zone}, one of {entries}");
    println!("configuration  {configuration}, {confirmed}");
    println!("evacuated      {}", list(&explanation.evacuated, "no zone"));
    if let Some(routing) = &explanation.routing {
        print_routing(routing);
    }
    println!("decision       {}", decision(explanation));
    if let Some(routing) = &explanation.routing {
        print_endpoints(routing);
    }
}

fn print_routing(routing: &Routing) {
    let Routing { route, rank, service, .. } = routing;
    println!("route          {route}, rank {rank}");
    println!("workspace      {}", routing.workspace.as_deref().unwrap_or("none needed"));
    let targets = routing.targets.iter();
    let targets: Vec<String> =
        targets.map(|target| format!("{} {}", target.service, target.weight)).collect();
    println!("service        {service}, by weight of {}", targets.join(", "));
    let model = if routing.is_plain { "none, plain service" } else { "not known" };
    println!("model          {}", routing.model.as_deref().unwrap_or(model));
    println!(
        "regions        {} by the route, {} by the workspace",
        list(&routing.route_regions, "all"),
        list(&routing.workspace_regions, "all")
    );
    match &routing.roll_out {
        Some(roll_out) => {
            let share = percent(f64::from(roll_out.share) / 1_000.0);
            let is_in_trial = if roll_out.is_in_trial { "in" } else { "not in" };
            println!(
                "roll-out       to {}, phase {:?}, trial share {share}, the request is {is_in_trial} it",
                roll_out.target, roll_out.phase
            );
        }
        None => println!("roll-out       none"),
    }
    println!("withdrawn      {}", list(&routing.withdrawn, "no version"));
}

fn refusal(refusal: &Refusal) -> String {
    let retry_after = match refusal.retry_after_ms {
        None => String::new(),
        Some((from, to)) if from == to => format!(", Retry-After {from} ms"),
        Some((from, to)) => format!(", Retry-After {from} to {to} ms"),
    };
    format!("refuse with {}{retry_after}: {}", refusal.status, refusal.cause)
}

fn decision(explanation: &Explanation) -> String {
    match &explanation.verdict {
        Verdict::Send(id) => {
            let endpoints = explanation.routing.iter().flat_map(|routing| &routing.endpoints);
            let mut estimates =
                endpoints.filter(|endpoint| endpoint.id == *id).filter_map(estimate_of);
            let share = estimates.next().map_or(0.0, |estimate| estimate.share);
            format!("send to {id}, which gets {} of such requests", percent(share))
        }
        Verdict::AskForAdmission(ids) => {
            format!("ask the leader for an admission to one that warms up: {}", list(ids, "none"))
        }
        Verdict::Wait { up_to_ms, otherwise } => {
            format!("wait for up to {up_to_ms} ms, then {}", refusal(otherwise))
        }
        Verdict::Refuse(refused) => refusal(refused),
    }
}

fn estimate_of(endpoint: &Endpoint) -> Option<&Estimate> {
    endpoint.standing.estimate()
}

fn print_endpoints(routing: &Routing) {
    if let Some(level_ms) = routing.level_ms {
        println!("level          {level_ms:.0} ms");
    }
    let mut endpoints: Vec<&Endpoint> = routing.endpoints.iter().collect();
    let share = |endpoint: &Endpoint| estimate_of(endpoint).map_or(-1.0, |estimate| estimate.share);
    endpoints.sort_by(|left, right| {
        share(right).total_cmp(&share(left)).then_with(|| left.id.cmp(&right.id))
    });
    let head = [
        "endpoint", "zone", "version", "share", "wait", "prefill", "kept", "saved", "pace", "cost",
        "load", "ages", "reason",
    ];
    print::table(&head, endpoints.into_iter().map(row));
}

/// Cells of an endpoint. Times are in milliseconds.
fn row(endpoint: &Endpoint) -> Vec<String> {
    let reason = match &endpoint.standing {
        Standing::Candidate(_) => String::new(),
        Standing::LastResort(reason, _) => format!("last resort: {reason}"),
        Standing::Excluded(reason) => reason.to_string(),
    };
    let mut cells: Vec<String> =
        [&endpoint.id, &endpoint.zone, &endpoint.version].map(|name| name.to_string()).into();
    match endpoint.standing.estimate() {
        Some(estimate) => {
            let age = |age: Option<u64>| age.map_or_else(|| "-".to_owned(), |age| age.to_string());
            let ages =
                [estimate.load_age_ms, estimate.totals_age_ms, estimate.pace_age_ms].map(age);
            cells.extend([
                percent(estimate.share),
                format!("{:.0}", estimate.wait_ms),
                format!("{:.0}", estimate.prefill_ms),
                format!("{:.0}", estimate.kept_tokens),
                format!("{:.0}", estimate.saved_ms),
                format!("{:.2}", estimate.pace),
                format!("{:.0}", estimate.cost_ms),
                format!("{:.1}/{}", estimate.load, estimate.slots),
                ages.join("/"),
            ]);
        }
        None => cells.extend(std::iter::repeat_n("-".to_owned(), ESTIMATE_COLUMNS)),
    }
    cells.push(reason);
    cells
}
