//! Error reports of the INI parser.

use hickoryreel_base::ini::Document;
use hickoryreel_base::ini::Mistake;
use yare::parameterized;

const TEXT: &str = "\
[entry]
name = entry0
port = many
spare = 1
[other]
key = 1
";

fn mistakes(text: &str) -> Vec<String> {
    let read = |document: Document| {
        let section = document.section("entry");
        let _: Option<String> = section.required("name", "a name");
        let _: u16 = section.value_or("port", "a port number", 80);
        let _: Option<u16> = section.required("limit", "a number");
        document.finish()
    };
    let result = Document::parse("entry.ini", text).and_then(read);
    let mistakes: Vec<Mistake> = result.expect_err("the text has mistakes");
    mistakes.iter().map(ToString::to_string).collect()
}

/// Guards against a report that stops at the first mistake or has a wrong line.
#[test]
fn all_mistakes_are_reported_with_file_line_and_key() {
    let found = mistakes(TEXT);

    assert_eq!(
        found,
        [
            "entry.ini:1: [entry] limit: missing, expected a number",
            "entry.ini:3: [entry] port: found \"many\", expected a port number",
            "entry.ini:4: [entry] spare: unknown key",
            "entry.ini:5: [other] : unknown section",
        ]
    );
}

/// Guards against a duplicate key or section whose second value silently replaces the first.
#[parameterized(
    key = { "[entry]\nname = a\nlimit = 1\nname = b\n", "the key stands twice" },
    section = { "[entry]\nname = a\nlimit = 1\n[entry]\nname = b\n", "the section stands twice" },
)]
fn duplicate_is_a_mistake(text: &str, problem: &str) {
    let found = mistakes(text);

    assert!(found.iter().any(|mistake| mistake.ends_with(problem)), "{found:?}");
}

/// Guards against a panic on text that is not an INI file.
#[test]
fn malformed_ini_is_a_mistake() {
    let found = mistakes("[entry\nname");

    assert!(found[0].contains("not an INI file"), "{found:?}");
}
