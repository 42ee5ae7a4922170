//! Diffs of bundles.

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Difference;

const OLD: &str = "[bundle]\ndeployment = registry\n[version quill/v1]\n[workspace stall]\n\
                   key-sha256 = 1111111111111111111111111111111111111111111111111111111111111111\n\
                   versions = quill/v1\n";

fn differences(new: &str) -> Vec<(String, Option<String>, Option<String>)> {
    let [old, new] =
        [OLD, new].map(|text| bundle::parse("bundle", text).expect("the bundle is valid"));
    let diff = bundle::diff(&old, &new);
    diff.into_iter().map(|Difference { path, old, new }| (path, old, new)).collect()
}

/// Guards against a change that the diff omits, so that an operator signs it off without seeing it.
#[test]
fn every_changed_value_is_listed() {
    let new = OLD.replace("versions = quill/v1", "versions = quill/v1:50, quill/v2:50");
    let new = new + "[version quill/v2]\nprice-per-1k = 2\n";

    let found = differences(&new);

    let expected = [
        ("version quill/v2: ", None, Some("")),
        ("version quill/v2: price-per-1k", None, Some("2")),
        ("workspace stall: versions", Some("quill/v1:100"), Some("quill/v1:50, quill/v2:50")),
    ];
    let expected = expected
        .map(|(path, old, new)| (path.to_owned(), old.map(str::to_owned), new.map(str::to_owned)));
    assert_eq!(found, expected);
}

/// Guards against a difference that is reported when a bundle only states a default explicitly.
#[test]
fn explicit_default_values_are_no_difference() {
    let found = differences(&(OLD.to_owned() + "[rank urgent]\nfirst-token-ms = 350\n"));

    assert_eq!(found, []);
}
