//! Ranks of requests at endpoints.

use hickoryreel_fleet_entry::forward::rank;

/// Guards against urgent requests that wait behind long prompts of the same workspace, and against
/// serving a workspace before a more urgent one.
#[test]
fn workspace_rank_precedes_route_rank() {
    assert!(rank(Some(1), 0) < rank(Some(1), 1));
    assert!(rank(Some(1), 1) < rank(Some(1), 2));
    assert!(rank(Some(0), 2) < rank(Some(1), 0));
    assert!(rank(Some(1), 2) < rank(Some(2), 0));
}

/// Guards against ranks outside the range that endpoints accept, and against workspaces without a
/// rank that get precedence over those with one.
#[test]
fn ranks_stay_in_range() {
    assert!(rank(Some(u8::MAX), u8::MAX) <= 9);
    assert_eq!(rank(None, 1), rank(Some(1), 1));
}
