//! Tests of the retry budgets.

use hickoryreel_base::name::Workspace;
use hickoryreel_policy::retry::Budget;
use hickoryreel_policy::retry::Settings;

fn workspace() -> Workspace {
    "w".into()
}

fn spend(budget: &mut Budget, tries: u32) -> u32 {
    (0..tries).map(|_| u32::from(budget.take(&workspace(), 1, true))).sum()
}

/// Guards against retries that multiply the load during an outage.
#[test]
fn retries_are_a_fraction_of_the_successes() {
    let mut budget = Budget::new(Settings::default());
    assert_eq!(spend(&mut budget, 100), 10);

    (0..100).for_each(|_| budget.on_success(&workspace()));

    assert!((7..=8).contains(&spend(&mut budget, 100)));
}

/// Guards against a run-once request that runs twice.
#[test]
fn run_once_requests_are_not_retried() {
    let mut budget = Budget::new(Settings::default());

    assert!(!budget.take(&workspace(), 1, false));
}

/// Guards against one request that spends the workspace's whole budget.
#[test]
fn attempts_of_one_request_are_bounded() {
    let mut budget = Budget::new(Settings::default());

    assert!(budget.take(&workspace(), 2, true));
    assert!(!budget.take(&workspace(), 3, true));
}

/// Guards against a workspace that spends the budget of another.
#[test]
fn workspaces_have_separate_budgets() {
    let mut budget = Budget::new(Settings::default());

    spend(&mut budget, 100);

    assert!(budget.take(&"other".into(), 1, true));
}
