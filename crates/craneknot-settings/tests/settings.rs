//! Errors name the location and the remedy, and invalid settings never panic.

use std::path::Path;

use craneknot_settings::{load, parse, schema_text, AgentSettings, CoordinatorSettings, Problems};
use quickcheck::QuickCheck;
use serde_json::{json, Value};

fn valid_settings() -> Value {
    json!({
        "name": "a", "listen": "127.0.0.1:0",
        "fleet": {
            "zones": ["north", "south"], "kinds": ["one"], "coordinators": 1, "proxies": 4, "levels": "rate",
            "classes": [{
                "name": "read", "latency_goal": "1s", "hard_stop": "3s", "importance": 1, "repeats": "safe",
                "only_zones": ["north"]
            }]
        },
        "rules": {
            "drain_grace": "2s", "cold_share": 0.2, "warm_after": "10s", "fall_multiple": 3, "fall_window": "2s",
            "bare_limit": "2s"
        },
        "channel": {"lines_per_second": 1000, "lines_limit": 2000, "lines_per_message": 3},
        "roster": {"file": "servers.json"},
        "report_period": "1s",
        "probes": {"enabled": true, "time_out": "300ms"}
    })
}

fn parse_value(value: &Value) -> Result<CoordinatorSettings, Problems> {
    parse(Path::new("c.json"), value.to_string().as_bytes())
}

#[test]
fn valid_settings_reach_the_controller() {
    let settings = parse_value(&valid_settings()).unwrap();
    let (mut names, controller_settings) = settings.controller_settings();
    assert_eq!(
        (controller_settings.classes[0].only_zones[0], names.zone("south").0),
        (names.zone("north"), 1)
    );
    assert_eq!(controller_settings.drain_grace.secs(), 2.0);
    assert!(schema_text::<CoordinatorSettings>().contains("latency_goal"));
}

#[test]
fn every_error_names_its_location() {
    let cases = [
        ("/rules/drain_grace", json!("2 s"), "/rules/drain_grace"),
        ("/rules/drain_grace", json!("0s"), "/rules/drain_grace"),
        ("/rules/cold_share", json!(2), "/rules/cold_share"),
        ("/fleet/classes/0/repeats", json!("often"), "/fleet/classes/0/repeats"),
        ("/fleet/classes/0/hard_stop", json!("10ms"), "/fleet/classes/0/hard_stop"),
        ("/fleet/classes/0/only_zones", json!(["mars"]), "/fleet/classes/0/only_zones/0"),
        ("/fleet/classes/0/name", json!("a/b"), "/fleet/classes/0/name"),
        ("/fleet/zones", json!(["north", "north"]), "/fleet/zones/1"),
        ("/fleet/classes", json!([]), "/fleet/classes"),
        ("/channel/lines_limit", json!(3), "/channel/lines_limit"),
        ("/probes/time_out", json!(5), "/probes/time_out"),
    ];
    for (pointer, value, location) in cases {
        let mut settings = valid_settings();
        *settings.pointer_mut(pointer).unwrap() = value.clone();
        let problems = parse_value(&settings).unwrap_err();
        let found = problems.list.iter().find(|problem| problem.location == location);
        let found = found.unwrap_or_else(|| panic!("{pointer} = {value}: {problems}"));
        assert!(!found.message.is_empty() && !found.remedy.is_empty());
        assert!(problems.to_string().starts_with("c.json: "));
    }
    let mut unknown = valid_settings();
    unknown["rules"]["drain_gracee"] = json!("2s");
    assert!(parse_value(&unknown).unwrap_err().to_string().contains("drain_gracee"));
    let problems =
        parse::<CoordinatorSettings>(Path::new("c.json"), b"{\"name\": \"a\",\n  oops").unwrap_err();
    assert!(problems.list[0].location.starts_with("line 2, column"), "{problems}");
    assert!(load::<AgentSettings>(Path::new("/nowhere/a.json")).is_err());
}

#[test]
fn mutated_settings_are_accepted_or_rejected_with_a_message() {
    fn is_handled(changes: Vec<(u16, u8)>) -> bool {
        let mut text = valid_settings().to_string().into_bytes();
        let length = text.len();
        changes.iter().for_each(|(at, byte)| text[usize::from(*at) % length] = *byte);
        match parse::<CoordinatorSettings>(Path::new("c.json"), &text) {
            Ok(settings) => settings.controller_settings().1.classes.len() == 1,
            Err(problems) => problems.list.iter().all(|problem| !problem.message.is_empty()),
        }
    }
    QuickCheck::new().tests(150).quickcheck(is_handled as fn(Vec<(u16, u8)>) -> bool);
}
