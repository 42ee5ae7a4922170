//! Parsing and validation of bundles.

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::rank::Rank;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use yare::parameterized;

fn text() -> String {
    format!(
        "[bundle]\ndeployment = registry\n\
         [version small/1]\nprice-per-1k = 0.2\n\
         [version small/2]\nreplaces = small/1\n\
         [workspace athens]\nkey-sha256 = {}\nranks = urgent, bulk\n\
         versions = small/1:90, small/2:10\nservices = ledger\n\
         [service ledger]\nrun-once = transfers, /admin/close/\n\
         [region-prices]\nattica-crete = 0.02\n",
        key_sha256("athens-key")
    )
}

fn parsed() -> Bundle {
    bundle::parse("test.ini", &text()).expect("the bundle is valid")
}

/// Guards against values that the parser ignores or changes.
#[test]
fn all_values_of_a_valid_bundle_are_read() {
    let bundle = parsed();

    let (workspace, config) =
        bundle.workspace_by_key(&key_sha256("athens-key")).expect("the key is known");
    assert_eq!(&**workspace, "athens");
    assert_eq!(config.ranks[..], [Rank::Urgent, Rank::Bulk]);
    assert!(config.allows(&"small/2".into()));
    assert!(!config.allows(&"small/3".into()));
    assert_eq!(bundle.region_prices[&("crete".into(), "attica".into())], 0.02);
}

/// Guards against a run-once call that is treated as safe to repeat.
#[parameterized(
    listed = { "transfers", true },
    with_slashes = { "/transfers/", true },
    below = { "transfers/17", true },
    nested = { "admin/close", true },
    longer_name = { "transfers-report", false },
    other = { "counts", false },
)]
fn run_once_paths_include_paths_below_them(path: &str, expected: bool) {
    let bundle = parsed();

    assert_eq!(bundle.services["ledger"].is_run_once(path), expected);
}

/// Guards against invalid bundles that are accepted and fail only once they are in force.
#[parameterized(
    unknown_version = { "versions = small/1:90", "versions = small/9", "small/9 is not defined" },
    unknown_service = { "services = ledger", "services = lager", "lager is not defined" },
    unknown_replaced = { "replaces = small/1", "replaces = small/0", "small/0 is not defined" },
    bad_key = { "key-sha256 = ", "key-sha256 = x", "expected 64 hexadecimal digits" },
    bad_rank = { "urgent, bulk", "urgent, later", "expected urgent, normal or bulk" },
    free_version = { "price-per-1k = 0.2", "price-per-1k = 0", "expected a number above 0" },
    no_model = { "[version small/1]", "[version small]", "expected [version MODEL/LABEL]" },
    no_deployment = { "deployment = registry", "", "missing, expected a deployment name" },
)]
fn mistake_is_found(correct: &str, wrong: &str, problem: &str) {
    let text = text().replacen(correct, wrong, 1);

    let mistakes = bundle::parse("test.ini", &text).expect_err("the bundle has a mistake");

    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    assert!(lines.iter().any(|line| line.contains(problem)), "{lines:?}");
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..proptest::test_runner::Config::with_cases(500)
    })]

    /// Guards against a panic on arbitrary text from an operator.
    #[test]
    fn arbitrary_text_does_not_panic(text in any::<String>()) {
        let _ = bundle::parse("any.ini", &text);
    }

    /// Guards against a panic on a valid bundle in which one line was replaced.
    #[test]
    fn arbitrary_line_does_not_panic(
        line in 0_usize..14,
        replacement in "[ -~]{0,40}",
    ) {
        let source = text();
        let mut lines: Vec<&str> = source.lines().collect();
        let last = lines.len() - 1;
        lines[line.min(last)] = &replacement;
        let _ = bundle::parse("changed.ini", &lines.join("\n"));
    }
}

/// Guards against a roll-out whose share decreases, stays the same or never reaches all traffic.
#[test]
fn roll_out_percentages_increase_to_100() {
    let strategy = prop::collection::vec(0_u8..=101, 1..5);
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let outcome = runner.run(&strategy, |steps| {
        let percentages: Vec<String> = steps.iter().map(ToString::to_string).collect();
        let text = format!("{}[roll-out]\nsteps = {}\n", text(), percentages.join(", "));
        let increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
        let valid = increasing && steps[0] > 0 && steps.last() == Some(&100);
        let accepted = bundle::parse("test.ini", &text).is_ok();
        proptest::prop_assert_eq!(accepted, valid, "{:?}", steps);
        Ok(())
    });
    outcome.expect("the parser accepts exactly the valid steps");
}

/// Guards against example bundles that the validation rejects.
#[parameterized(
    registry = { include_str!("../../../examples/registry.ini") },
    auctions = { include_str!("../../../examples/auctions.ini") },
)]
fn example_is_valid(text: &str) {
    let bundle = bundle::parse("example.ini", text).expect("the example is valid");

    assert_eq!(bundle.workspaces.len(), 10);
}
