//! Tests of the settings check: minimal settings are accepted, and invalid ones are rejected with an error that names the
//! key or the allowed values.

use rstest::rstest;
use vanillacleat_core::settings::{AgentSettings, EntrySettings};
use vanillacleat_daemon::parse_settings;

const ENTRY: &str = r#"
id = "entry-a"
zone = "burgos"
zones = ["burgos", "valladolid", "navarra"]
http_listen = "127.0.0.1:8080"
mesh_listen = "127.0.0.1:8081"
platform = ["http://127.0.0.1:2379"]
ticket_secret = "0123456789abcdef"
"#;

const AGENT: &str = r#"
id = "agent-a"
zone = "burgos"
http_listen = "127.0.0.1:8090"
entries = ["127.0.0.1:8081"]
"#;

#[test]
fn minimal_settings_are_accepted() {
    parse_settings(ENTRY, EntrySettings::check).unwrap();
    parse_settings(AGENT, AgentSettings::check).unwrap();
}

#[rstest]
#[case::unknown_key("colour = 1", "colour")]
#[case::unknown_policy_key("[policy]\nspeed = 1", "speed")]
#[case::out_of_range("[policy]\novercommit = 65", "policy.overcommit: 65 given, 0 to 64 allowed")]
#[case::unknown_placement("[policy]\nplacement = \"best\"", "placement")]
fn invalid_entry_keys_are_rejected(#[case] line: &str, #[case] expected: &str) {
    let report = parse_settings(&format!("{ENTRY}{line}"), EntrySettings::check).unwrap_err();
    assert!(format!("{report:?}").contains(expected), "{report:?}");
}

#[rstest]
#[case::zone_not_listed("zone = \"burgos\"", "zone = \"sevilla\"", "must be one of `zones`")]
#[case::short_secret("0123456789abcdef", "short", "ticket_secret")]
#[case::name_with_space("entry-a", "entry a", "1 to 64 ASCII letters")]
#[case::address_without_http("http://", "ftp://", "addresses start with http://")]
fn invalid_entry_values_are_rejected(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let report = parse_settings(&ENTRY.replace(from, to), EntrySettings::check).unwrap_err();
    assert!(format!("{report:?}").contains(expected), "{report:?}");
}

#[rstest]
#[case::too_many_connections("[gate]\nconnections = 65", "gate.connections")]
#[case::freshness_out_of_range("[gate]\nfreshness_ms = 60000", "gate.freshness_ms")]
fn invalid_agent_settings_are_rejected(#[case] line: &str, #[case] expected: &str) {
    let report = parse_settings(&format!("{AGENT}{line}"), AgentSettings::check).unwrap_err();
    assert!(format!("{report:?}").contains(expected), "{report:?}");
}
