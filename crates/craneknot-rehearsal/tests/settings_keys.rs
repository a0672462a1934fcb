//! Checks that each settings key of a node is either exercised by the trial or the soak, or listed here as not exercised.

use std::collections::BTreeSet;

use craneknot_rehearsal::soak::node;
use craneknot_rehearsal::trial::deployment;
use serde_json::Value;

/// Keys that neither trial nor soak exercises with more than a single fixed value.
const NOT_EXERCISED: &[&str] = &[
    // Classes restricted to kinds or to the proxy's own zone (the random walk over the decisions exercises both); keyed
    // repeats.
    "profiles.only-kinds",
    "extra.home-only",
    "profiles.group",
    "profiles.window",
    "profiles.aim-stretch",
    "profiles.late-worth",
    "extra.class-writes",
    // Deployments with key ranges, exclusive owners and leases, which this program does not serve.
    "extra.slices",
    "extra.sole-owner",
    "extra.lease",
    "extra.in-flight-max",
    "extra.park",
    "extra.shift-fee",
    // Budgets and behaviour of the proxies.
    "extra.update-cap",
    "extra.reload-span",
    "extra.ejects",
    "extra.lb-method",
    "extra.sockets-min",
    "extra.initial-set",
    "extra.try-factor",
    "extra.usual-how",
    "extra.warm-keys",
    "extra.homed-by-zone",
    "extra.ingest-rate",
    "caps.multiplex",
    "caps.keepalive",
    "caps.dial-timeout",
    "caps.cpu-us-per-s",
    "caps.peers",
    "caps.probing",
    // How a result is scored, and the place of an instance among others.
    "extra.cost-per-line",
    "charges.connection",
    "charges.cross-zone",
    "charges.fleet",
    "charges.handshake",
    "charges.late-fail",
    "charges.moves",
    "charges.peer",
    "charges.probe",
    "charges.registry-mode",
    "charges.waste",
    "result-mix.whole",
    "result-mix.worst-class",
    "result-mix.worst-tenant",
    "result-mix.worst-window",
    "rules.only-draining-binds",
    "family",
    "locality",
    "me",
    "tick",
    "weights",
    "worth-by",
];

/// Collects the paths of all values; the entries of a list share one path.
fn keys(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    let child_path = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| keys(value, &child_path(key), found)),
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            entries.iter().for_each(|entry| keys(entry, path, found));
        }
        _ => drop(found.insert(path.to_owned())),
    }
}

fn keys_of(value: &Value) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    keys(value, "", &mut found);
    found
}

fn all_settings() -> Value {
    serde_json::from_str(include_str!("whole_settings.json")).unwrap()
}

#[test]
fn each_key_of_the_settings_is_exercised_or_listed_as_not_exercised() {
    let trials =
        (0..3).map(|seed| keys_of(&deployment::settings(seed))).fold(BTreeSet::new(), |a, b| &a | &b);
    let exercised = &trials | &keys_of(&node::settings(3, 240));
    let listed: BTreeSet<String> = NOT_EXERCISED.iter().map(|key| (*key).to_owned()).collect();
    let all_settings = keys_of(&all_settings());
    let neither: Vec<_> =
        all_settings.iter().filter(|key| !exercised.contains(*key) && !listed.contains(*key)).collect();
    assert!(neither.is_empty(), "neither exercised nor listed: {neither:?}");
    let unknown: Vec<_> = (&exercised | &listed).difference(&all_settings).cloned().collect();
    assert!(unknown.is_empty(), "unknown to the settings of the platform: {unknown:?}");
}

#[test]
fn a_class_confined_to_a_zone_is_exercised_by_the_trial_and_the_soak() {
    let confined = |value: Value| keys_of(&value).contains("profiles.only-zones");
    assert!(confined(node::settings(3, 240)));
    let trials: Vec<bool> = (0..3).map(|seed| confined(deployment::settings(seed))).collect();
    assert_eq!(trials.iter().filter(|is_confined| **is_confined).count(), 2, "two seeds of three");
}
