//! Settings: all errors of a file are reported, each with its location.

use ragwortlbd::settings::Settings;

const VALID: &str = r#"{
    "name": "pa-1", "zone": "pa", // where it runs
    "call_address": "127.0.0.1:7000", "peer_address": "127.0.0.1:7400",
    "operator_address": "127.0.0.1:7600", "store": "http://127.0.0.1:7500",
    "peers": ["127.0.0.1:7401"], "poll_ms": 1000
}"#;

fn errors(text: &str) -> String {
    Settings::parse("s.jsonc", text.as_bytes().to_vec()).unwrap_err().to_string()
}

#[test]
fn valid_settings() {
    let settings = Settings::parse("s.jsonc", VALID.as_bytes().to_vec()).unwrap();
    assert_eq!(settings.poll_ms, 1_000);
    assert_eq!(settings.peers.len(), 1);
    assert_eq!(settings.ask_ms, Settings::default().ask_ms);
}

#[test]
fn all_errors() {
    let text = r#"{"name": "", "zone": 7, "call_address": "here", "peer_address": "127.0.0.1:0",
"operator_address": "127.0.0.1:7600", "store": "ftp://x", "peers": ["a"], "tick_ms": 0, "colour": 1}"#;
    insta::assert_snapshot!(errors(text));
}

#[test]
fn missing_keys() {
    insta::assert_snapshot!(errors("{}"));
}

#[test]
fn not_a_map() {
    insta::assert_snapshot!(errors("[1]"));
}

#[test]
fn address_used_twice() {
    insta::assert_snapshot!(errors(&VALID.replace("7600", "7000")));
}
