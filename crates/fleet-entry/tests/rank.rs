//! Ranks of requests at endpoints.

use hickoryreel_fleet_entry::forward::rank;

/// Guards against questions that wait behind the long prompts of the same workspace, and against
/// work of a workspace that is served before that of a more urgent one.
#[test]
fn workspace_goes_before_route() {
    assert!(rank(Some(1), 0) < rank(Some(1), 1));
    assert!(rank(Some(1), 1) < rank(Some(1), 2));
    assert!(rank(Some(0), 2) < rank(Some(1), 0));
    assert!(rank(Some(1), 2) < rank(Some(2), 0));
}

/// Guards against ranks outside the range that endpoints know, and workspaces without a rank that
/// displace those with one.
#[test]
fn ranks_stay_in_range() {
    assert!(rank(Some(u8::MAX), u8::MAX) <= 9);
    assert_eq!(rank(None, 1), rank(Some(1), 1));
}
