//! Tests of settings: every error names the file, the key, the value and what is allowed.

#![expect(clippy::expect_used, reason = "a test fails by panicking")]

use rstest::rstest;
use sardinemux_host::settings::{Key, Kind, Values};

const KEYS: [Key; 7] = [
    Key {
        section: "a",
        name: "address",
        kind: Kind::Address,
        default: None,
        about: "",
    },
    Key {
        section: "a",
        name: "time",
        kind: Kind::Time {
            least_ms: 10,
            most_ms: 1_000,
        },
        default: Some("20ms"),
        about: "",
    },
    Key {
        section: "a",
        name: "size",
        kind: Kind::Size {
            least: 1,
            most: 1 << 20,
        },
        default: Some("1KiB"),
        about: "",
    },
    Key {
        section: "b",
        name: "count",
        kind: Kind::Count { least: 1, most: 9 },
        default: Some("3"),
        about: "",
    },
    Key {
        section: "b",
        name: "word",
        kind: Kind::Choice(&["one", "two"]),
        default: Some("one"),
        about: "",
    },
    Key {
        section: "b",
        name: "list",
        kind: Kind::Addresses,
        default: Some(""),
        about: "",
    },
    Key {
        section: "b",
        name: "words",
        kind: Kind::Words,
        default: Some(""),
        about: "",
    },
];

fn parse(text: &str) -> Result<Values, String> {
    let text = format!("{text}\n");
    Values::parse("file.ini", &text, &KEYS).map_err(|error| error.to_string())
}

#[rstest]
#[case::section("[a]\naddress = 127.0.0.1:1\n[c]\nx = 1", &["[c]", "a, b"])]
#[case::key("[a]\naddress = 127.0.0.1:1\n[b]\nnumber = 1", &["number", "count, word, list, words"])]
#[case::missing("[b]\ncount = 1", &["[a] address is missing", "ip:port"])]
#[case::no_number("[a]\naddress = 127.0.0.1:1\n[b]\ncount = many", &["count = many", "from 1 to 9"])]
#[case::too_large("[a]\naddress = 127.0.0.1:1\n[b]\ncount = 10", &["count = 10", "from 1 to 9"])]
#[case::no_unit("[a]\naddress = 127.0.0.1:1\ntime = 20", &["time = 20", "ms or s"])]
#[case::wrong_unit("[a]\naddress = 127.0.0.1:1\ntime = 1min", &["time = 1min", "ms or s"])]
#[case::too_long("[a]\naddress = 127.0.0.1:1\ntime = 2s", &["time = 2s", "1000ms"])]
#[case::size("[a]\naddress = 127.0.0.1:1\nsize = 2MiB", &["size = 2MiB", "1048576B"])]
#[case::overflow("[a]\naddress = 127.0.0.1:1\nsize = 99999999999999999999MiB", &["size = 9999"])]
#[case::name("[a]\naddress = localhost:1", &["address = localhost:1", "ip:port"])]
#[case::choice("[a]\naddress = 127.0.0.1:1\n[b]\nword = three", &["word = three", "one, two"])]
#[case::list("[a]\naddress = 127.0.0.1:1\n[b]\nlist = 127.0.0.1:1, x", &["list = ", "commas"])]
#[case::not_ini("[a\naddress", &["file.ini"])]
fn verify_error_names_what_is_wrong(#[case] text: &str, #[case] expected: &[&str]) {
    let message = parse(text).expect_err("the settings are not valid");
    assert!(message.contains("file.ini"), "{message}");
    for part in expected {
        assert!(message.contains(part), "{message}: {part}");
    }
}

#[test]
fn verify_values_and_defaults() {
    let text = "[a]\naddress = 127.0.0.1:1\ntime = 1s\n[b]\nlist = 127.0.0.1:1, 127.0.0.1:2";
    let values = parse(text).expect("the settings are valid");
    assert_eq!(values.number("a", "time").ok(), Some(1_000));
    assert_eq!(values.number("a", "size").ok(), Some(1_024));
    assert_eq!(values.number("b", "count").ok(), Some(3));
    assert_eq!(
        values.addresses("b", "list").map(|list| list.len()).ok(),
        Some(2)
    );
    assert!(values.number("a", "unlisted").is_err());
}

/// A list that a template renders as empty is an error, or words are lost.
#[rstest]
#[case::none("", "")]
#[case::empty("words =", "")]
#[case::several("words = one, two", "one, two")]
fn verify_words_may_be_empty(#[case] line: &str, #[case] expected: &str) {
    let values = parse(&format!("[a]\naddress = 127.0.0.1:1\n[b]\n{line}"));
    let values = values.expect("words of any number are valid");
    let words = values.text("b", "words").expect("the key is listed");
    assert_eq!(words, expected);
}
