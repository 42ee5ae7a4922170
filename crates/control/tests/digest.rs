//! The digest of the demand at the entries.

use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::rank::Rank;
use hickoryreel_control::leases::Leases;
use hickoryreel_state::command::Holder;
use hickoryreel_wire::rpc::Digest;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::PerWorkspace;
use hickoryreel_wire::rpc::RenewRequest;
use hickoryreel_wire::rpc::Usage;

fn holder(entry: &str) -> Holder {
    Holder { entry: entry.into(), incarnation: 1 }
}

fn per_workspace<T>(value: T) -> PerWorkspace<T> {
    let workspaces = [("athens".into(), value)].into();
    [("small".into(), [(Rank::Normal, workspaces)].into())].into()
}

/// Guards against a total that misses an entry, that counts an entry whose lease has ended or that
/// outlives the term of the leader, and against comparing newer usage of an entry with an older
/// total.
#[test]
fn digest_sums_the_demand_of_entries_with_a_lease() {
    let leases = Leases::new(Duration::from_millis(3_000), Duration::ZERO);
    let start = Instant::now();
    let renew = |term, entry: &str, usage, at_ms| {
        let now = start + Duration::from_millis(at_ms);
        leases.grant(term, &holder(entry), 0, per_workspace(usage), now).expect("a lease")
    };

    assert_eq!(renew(1, "a", 10, 0), None, "a new leader has no digest");
    assert_eq!(renew(1, "b", 30, 100), None);
    assert_eq!(renew(1, "a", 20, 500), Some(per_workspace((20, 50))));
    assert_eq!(
        renew(1, "b", 90, 600),
        Some(per_workspace((30, 50))),
        "usage of b in the same digest"
    );
    assert_eq!(renew(1, "c", 5, 700), None, "the digest does not include c");
    assert_eq!(renew(1, "a", 20, 1_000), Some(per_workspace((20, 115))));
    assert_eq!(renew(1, "a", 20, 3_650), Some(per_workspace((20, 25))), "the lease of b has ended");
    assert_eq!(renew(2, "a", 20, 4_200), None, "a new term starts without a digest");
}

/// Guards against refusing messages of a software version without usage or digest, and against
/// large messages. Prints the bytes that 10 workspaces add to a renewal and its answer.
#[test]
fn usage_is_optional_and_compact() {
    let names = (0..10).map(|number| format!("workspace-{number}"));
    let usage: Usage = [(
        "small".into(),
        [(Rank::Normal, names.clone().map(|name| (name.into(), 1_250_000)).collect())].into(),
    )]
    .into();
    let digest: Digest = [(
        "small".into(),
        [(Rank::Normal, names.map(|name| (name.into(), (1_250_000, 10_000_000))).collect())].into(),
    )]
    .into();
    let mut renew =
        RenewRequest { holder: holder("a"), revision: 1, directory: 1, usage: Usage::default() };
    let mut grant = Grant {
        length_ms: 3_000,
        revision: 1,
        config: None,
        directory: 1,
        whole: false,
        changed: Vec::new(),
        gone: Vec::new(),
        digest: None,
    };

    let (short, short_answer) =
        (serde_json::to_string(&renew).unwrap(), serde_json::to_string(&grant).unwrap());
    renew.usage = usage;
    grant.digest = Some(digest);
    let (long, long_answer) =
        (serde_json::to_string(&renew).unwrap(), serde_json::to_string(&grant).unwrap());

    let added = (long.len() - short.len(), long_answer.len() - short_answer.len());
    println!("added bytes: {} in the renewal, {} in the answer", added.0, added.1);
    assert!(!short.contains("usage") && !short_answer.contains("digest"));
    assert_eq!(serde_json::from_str::<RenewRequest>(&short).unwrap().usage, Usage::default());
    assert_eq!(serde_json::from_str::<RenewRequest>(&long).unwrap(), renew);
    assert_eq!(serde_json::from_str::<Grant>(&long_answer).unwrap(), grant);
    assert!(added.0 < 400 && added.1 < 500, "{added:?}");
}
