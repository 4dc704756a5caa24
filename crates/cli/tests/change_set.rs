//! Change sets in TOML: parsing and conversion to edits.

use vanillacleat_cli::change_set::ChangeSet;

#[test]
fn change_set_lists_its_edits() {
    let text = r#"
        id = "2026-12-03-morning"
        based_on = 4
        zones_out = ["serra-norte"]
        zones_in = ["alentejo-sul"]
        upstreams_retire = ["photometer-7"]

        [teams.councils]
        in_flight = 40

        [services.readings]
        queue_limit = 500
    "#;
    let change_set = ChangeSet::parse(text).unwrap();
    let subjects: Vec<String> = change_set.edits().iter().map(|edit| edit.subject().to_string()).collect();
    assert_eq!(subjects, ["zone/serra-norte", "zone/alentejo-sul", "upstream/photometer-7", "team/councils", "service/readings"]);
}

#[test]
fn contradictions_are_rejected() {
    let zones = ChangeSet::parse("zones_out = ['a']\nzones_in = ['a']").unwrap_err();
    assert!(zones.contains("zone a is listed under both zones_out and zones_in"));
    assert!(ChangeSet::parse("zone_out = ['a']").unwrap_err().contains("zone_out"));
}
