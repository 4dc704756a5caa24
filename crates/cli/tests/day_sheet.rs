//! The operators' sheet.

use vanillacleat_cli::sheet::ChangeSet;

#[test]
fn sheet_names_its_edits() {
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
    let sheet = ChangeSet::parse(text).unwrap();
    let subjects: Vec<String> = sheet.edits().iter().map(|edit| edit.subject().to_string()).collect();
    assert_eq!(subjects, ["zone/serra-norte", "zone/alentejo-sul", "upstream/photometer-7", "team/councils", "service/readings"]);
}

#[test]
fn contradictions_are_refused() {
    let zones = ChangeSet::parse("zones_out = ['a']\nzones_in = ['a']").unwrap_err();
    assert!(zones.contains("zone a stands under zones_out and zones_in"));
    assert!(ChangeSet::parse("zone_out = ['a']").unwrap_err().contains("zone_out"));
}
