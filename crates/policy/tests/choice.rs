//! Tests of the selection of models and versions.

use std::collections::BTreeSet;
use std::time::Duration;

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::Share;
use hickoryreel_base::bundle::WorkspaceConfig;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Task;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_policy::choice;
use hickoryreel_policy::choice::Candidate;
use hickoryreel_policy::choice::Chosen;
use hickoryreel_policy::choice::Config;
use hickoryreel_policy::choice::Plan;
use hickoryreel_policy::choice::Planner;
use hickoryreel_policy::choice::Query;
use hickoryreel_policy::choice::Settings;

fn bundle(shares: &[(&str, u32)]) -> Bundle {
    let versions = shares
        .iter()
        .map(|(version, weight)| Share { version: Version::from(*version), weight: *weight })
        .collect();
    let workspace_config = WorkspaceConfig { versions, ..WorkspaceConfig::default() };
    Bundle { workspaces: [(Workspace::from("w"), workspace_config)].into(), ..Bundle::default() }
}

fn choose(
    config: &Config<'_>,
    request: usize,
    session: Option<&str>,
    pin: Option<&str>,
) -> Option<Chosen> {
    let workspace = Workspace::from("w");
    let request = Request::from(format!("r{request}"));
    let session = session.map(Session::from);
    let pin = pin.map(Version::from);
    let query = Query {
        workspace: &workspace,
        request: &request,
        session: session.as_ref(),
        pin: pin.as_ref(),
    };
    choice::version(config, &query, &Model::from("large"))
}

/// Guards against versions that receive more or less than their weight, and against versions of
/// other models.
#[test]
fn versions_are_chosen_by_weight() {
    let active = bundle(&[("large/1", 90), ("large/2", 10), ("small/1", 100)]);
    let withdrawn = BTreeSet::new();
    let config = Config { active: &active, candidate: None, withdrawn: &withdrawn };

    let chosen: Vec<Chosen> =
        (0..2_000).filter_map(|request| choose(&config, request, None, None)).collect();

    let second =
        chosen.iter().filter(|chosen| *chosen.version == *Version::from("large/2")).count();
    assert_eq!(chosen.len(), 2_000);
    assert!((150..=250).contains(&second), "{second} of 2,000");
    assert!(chosen.iter().all(|chosen| chosen.version.starts_with("large/")));
}

/// Guards against new requests for a withdrawn version (G2), also in pinned sessions.
#[test]
fn a_withdrawn_version_is_never_chosen() {
    let active = bundle(&[("large/1", 50), ("large/2", 50)]);
    let withdrawn = BTreeSet::from([Version::from("large/2")]);
    let config = Config { active: &active, candidate: None, withdrawn: &withdrawn };

    let moved = choose(&config, 0, Some("s"), Some("large/2"));
    let fresh = (0..500).filter_map(|request| choose(&config, request, None, None));

    assert_eq!(moved, Some(Chosen { version: "large/1".into(), moved: true }));
    assert!(fresh.into_iter().all(|chosen| *chosen.version == *Version::from("large/1")));
}

/// Guards against a version that the workspace is not allowed to use (G1).
#[test]
fn nothing_is_chosen_when_nothing_is_allowed() {
    let active = bundle(&[("small/1", 100)]);
    let withdrawn = BTreeSet::new();
    let config = Config { active: &active, candidate: None, withdrawn: &withdrawn };

    assert_eq!(choose(&config, 0, None, None), None);
    assert_eq!(choose(&config, 0, Some("s"), Some("large/1")), None);
}

/// Guards against a session that changes its version during a roll-out (G3).
#[test]
fn a_session_keeps_its_pin_during_a_roll_out() {
    let active = bundle(&[("large/1", 100)]);
    let candidate = bundle(&[("large/2", 100)]);
    let withdrawn = BTreeSet::new();
    let config =
        Config { active: &active, candidate: Some((&candidate, 0.9)), withdrawn: &withdrawn };

    for session in 0..100 {
        let session = format!("s{session}");
        let chosen = choose(&config, 0, Some(&session), Some("large/1"));
        assert_eq!(chosen, Some(Chosen { version: "large/1".into(), moved: false }));
    }
}

/// Guards against a candidate that receives more than its fraction, and against sessions whose
/// requests are split between the bundles.
#[test]
fn a_hash_splits_traffic_between_the_bundles() {
    let active = bundle(&[("large/1", 100)]);
    let candidate = bundle(&[("large/2", 100)]);
    let withdrawn = BTreeSet::new();
    let config =
        Config { active: &active, candidate: Some((&candidate, 0.05)), withdrawn: &withdrawn };
    let new = |chosen: &Chosen| *chosen.version == *Version::from("large/2");

    let count =
        (0..4_000).filter_map(|request| choose(&config, request, None, None)).filter(new).count();
    let in_session =
        (0..50).filter_map(|request| choose(&config, request, Some("s"), None)).filter(new);

    assert!((150..=250).contains(&count), "{count} of 4,000");
    assert!([0, 50].contains(&in_session.count()));
}

/// A planner that observed the small model to meet the quality bar in `good` of ten answers.
fn planner(good: u32) -> Planner {
    let mut planner = Planner::new(Settings { exploration_rate: 0.0, ..Settings::default() });
    let task = Task::from("t");
    for index in 0..2_000 {
        let is_good = index % 10 < good;
        planner.on_check(&task, &"small".into(), is_good);
        planner.on_rating(&task, &"small".into(), is_good, is_good);
        planner.on_check(&task, &"large".into(), true);
        planner.on_rating(&task, &"large".into(), true, true);
    }
    planner
}

fn plans(planner: &mut Planner, two_runs: bool) -> Vec<Plan> {
    let options = [
        Candidate { model: "small".into(), cost: 1.0 },
        Candidate { model: "large".into(), cost: 6.0 },
    ];
    (0..2_000).filter_map(|_| planner.plan(&"t".into(), &options, two_runs, 0.5)).collect()
}

fn count(plans: &[Plan], plan: &Plan) -> usize {
    plans[1_000..].iter().filter(|other| *other == plan).count()
}

/// Guards against use of the large model where the small one suffices.
#[test]
fn the_small_model_answers_alone_when_it_suffices() {
    let plans = plans(&mut planner(10), false);

    assert!(count(&plans, &Plan::Direct("small".into())) > 950);
}

/// Guards against a cascade that costs more than the large model alone, and against use of the
/// small model below the quality target.
#[test]
fn a_cascade_runs_only_where_it_saves_cost() {
    let cascade = Plan::Cascade { first: "small".into(), then: "large".into() };

    assert!(count(&plans(&mut planner(7), true), &cascade) > 800);
    assert_eq!(count(&plans(&mut planner(1), true), &cascade), 0);
}

/// Guards against a cascade that the rank's target does not allow.
#[test]
fn a_cascade_needs_time_for_two_runs() {
    let plans = plans(&mut planner(7), false);

    assert!(plans.iter().all(|plan| matches!(plan, Plan::Direct(_))));
}

/// Guards against a price of quality that settles above or below the target.
#[test]
fn the_mix_of_plans_meets_the_target() {
    let plans = plans(&mut planner(9), false);

    let large = count(&plans, &Plan::Direct("large".into())) as f64 / 1_000.0;
    let quality = 0.9 + 0.1 * large;
    assert!((0.94..=0.97).contains(&quality), "quality {quality}");
}

/// Guards against cascades whose second run misses the rank's target.
#[test]
fn two_runs_need_time_for_a_complete_first_answer() {
    let settings = Settings::default();
    let allows = |limit| {
        let (gap, first) = (Duration::from_millis(20), Duration::from_millis(200));
        settings.allows_two_runs(Duration::from_secs(2), limit, gap, first)
    };

    assert!(allows(100));
    assert!(!allows(110));
}
