//! Short trials of `craneknot node`, and tests that their checks detect planted faults. Long trials are started by hand:
//! `craneknot trial --seeds 10`.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use craneknot_rehearsal::trial::release::Phase;
use craneknot_rehearsal::trial::script::{draw, Step};
use craneknot_rehearsal::trial::{run, InjectedFault, Overlay, Reading, Script, TrialReport, TrialSettings};

mod helpers;
use helpers::fault_library;

const FULL_LENGTH: Duration = Duration::from_secs(63);
const SHORT_LENGTH: Duration = Duration::from_secs(15);
const PLANTED_LENGTH: Duration = Duration::from_secs(9);

/// Serializes the trials: each starts three processes and their peers and needs the whole machine.
static TRIAL_LOCK: Mutex<()> = Mutex::new(());

fn run_trial(
    seed: u64,
    script: Script,
    length: Duration,
    overlays: &[Overlay],
    injected_fault: Option<InjectedFault>,
) -> TrialReport {
    let _guard = TRIAL_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let folder = tempfile::tempdir().unwrap();
    let settings = TrialSettings {
        seed,
        script,
        length,
        overlays: overlays.to_vec(),
        program: Path::new(env!("CARGO_BIN_EXE_craneknot")).to_owned(),
        fault_library: Some(fault_library()),
        folder: folder.path().to_owned(),
        injected_fault,
    };
    run(&settings).unwrap()
}

#[test]
fn one_seed_gives_one_script() {
    let first = draw(Script::Incident, 7, FULL_LENGTH, &[Overlay::RelayBroken]);
    assert_eq!(first, draw(Script::Incident, 7, FULL_LENGTH, &[Overlay::RelayBroken]));
    assert_ne!(first, draw(Script::Incident, 8, FULL_LENGTH, &[Overlay::RelayBroken]));
}

#[test]
fn a_release_changes_several_servers_in_one_version_and_restarts_them_from_every_phase() {
    let script = draw(Script::Release, 3, FULL_LENGTH, &[]);
    let versions: Vec<_> = script
        .steps
        .iter()
        .filter_map(|planned| match &planned.step {
            Step::Servers(changes) => Some(changes.clone()),
            _ => None,
        })
        .collect();
    assert!(versions.iter().any(|changes| changes.len() > 1));
    let mut last_phase = std::collections::BTreeMap::new();
    let mut restarts = BTreeSet::new();
    for change in versions.iter().flatten() {
        if change.phase == Phase::Ready {
            restarts.insert(format!("after {:?}", last_phase.get(&change.server).unwrap_or(&Phase::Ready)));
        }
        last_phase.insert(change.server, change.phase);
    }
    let expected = ["after Draining", "after Gone", "after Ready"].map(str::to_owned);
    assert_eq!(restarts, BTreeSet::from(expected));
}

#[test]
fn a_short_incident_script_breaks_no_rule() {
    for seed in [1, 2] {
        let report = run_trial(seed, Script::Incident, SHORT_LENGTH, &[], None);
        assert!(report.operations.total.offered > 1_000, "{}", report.text());
        assert!(report.passed(), "craneknot trial --seed {seed} --seconds 15\n{}", report.text());
    }
}

#[test]
fn a_release_with_additional_faults_breaks_no_rule() {
    let overlays = [Overlay::ClockStep, Overlay::RelayBroken, Overlay::ListsLate];
    let report = run_trial(3, Script::Release, SHORT_LENGTH, &overlays, None);
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn an_unread_log_stops_no_coordinator() {
    let report = run_trial(3, Script::Release, PLANTED_LENGTH, &[Overlay::LogUnread], None);
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn proxies_without_lines_are_detected() {
    let report = run_trial(1, Script::Release, PLANTED_LENGTH, &[], Some(InjectedFault::LinesDropped));
    assert!(report.finding_count(Reading::Lines) > 0, "{}", report.text());
}

#[test]
fn unanswered_operations_are_detected() {
    let report = run_trial(1, Script::Release, PLANTED_LENGTH, &[], Some(InjectedFault::SilentServers));
    assert!(report.finding_count(Reading::Operations) > 0, "{}", report.text());
}

#[test]
fn late_heartbeat_answers_are_detected() {
    let report = run_trial(1, Script::Release, PLANTED_LENGTH, &[], Some(InjectedFault::LateAnswers));
    assert!(report.finding_count(Reading::Control) > 0, "{}", report.text());
    assert_eq!(report.finding_count(Reading::Lines), 0, "{}", report.text());
}
