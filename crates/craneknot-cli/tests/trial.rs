//! Short trials of `craneknot node`, and that their judge tells what is broken. The long ones are started by hand:
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

const WHOLE_DAY: Duration = Duration::from_secs(63);
const SHORT_DAY: Duration = Duration::from_secs(15);
const INJECTED_FAULT_DAY: Duration = Duration::from_secs(9);

/// Trials need the machine to themselves: each raises three processes and their peers.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn trial(
    seed: u64,
    script: Script,
    length: Duration,
    overlays: &[Overlay],
    injected_fault: Option<InjectedFault>,
) -> TrialReport {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
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
    let first = draw(Script::Incident, 7, WHOLE_DAY, &[Overlay::RelayBroken]);
    assert_eq!(first, draw(Script::Incident, 7, WHOLE_DAY, &[Overlay::RelayBroken]));
    assert_ne!(first, draw(Script::Incident, 8, WHOLE_DAY, &[Overlay::RelayBroken]));
}

#[test]
fn a_release_changes_several_servers_in_one_version_and_restarts_them_in_every_form() {
    let day = draw(Script::Release, 3, WHOLE_DAY, &[]);
    let versions: Vec<_> = day
        .steps
        .iter()
        .filter_map(|planned| match &planned.step {
            Step::Servers(changes) => Some(changes.clone()),
            _ => None,
        })
        .collect();
    assert!(versions.iter().any(|changes| changes.len() > 1));
    let mut before = std::collections::BTreeMap::new();
    let mut forms = BTreeSet::new();
    for change in versions.iter().flatten() {
        if change.phase == Phase::Ready {
            forms.insert(format!("after {:?}", before.get(&change.server).unwrap_or(&Phase::Ready)));
        }
        before.insert(change.server, change.phase);
    }
    let wanted = ["after Draining", "after Gone", "after Ready"].map(str::to_owned);
    assert_eq!(forms, BTreeSet::from(wanted));
}

#[test]
fn a_short_incident_day_breaks_no_rule() {
    for seed in [1, 2] {
        let report = trial(seed, Script::Incident, SHORT_DAY, &[], None);
        assert!(report.operations.total.offered > 1_000, "{}", report.text());
        assert!(report.passed(), "craneknot trial --seed {seed} --seconds 15\n{}", report.text());
    }
}

#[test]
fn a_day_with_faults_laid_over_breaks_no_rule() {
    let overlays = [Overlay::ClockStep, Overlay::RelayBroken, Overlay::ListsLate];
    let report = trial(3, Script::Release, SHORT_DAY, &overlays, None);
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn a_log_that_nobody_reads_stops_no_coordinator() {
    let report = trial(3, Script::Release, INJECTED_FAULT_DAY, &[Overlay::LogUnread], None);
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn the_judge_tells_proxies_that_lack_lines() {
    let report = trial(1, Script::Release, INJECTED_FAULT_DAY, &[], Some(InjectedFault::LinesDropped));
    assert!(report.finding_count(Reading::Lines) > 0, "{}", report.text());
}

#[test]
fn the_judge_tells_operations_that_get_no_answer() {
    let report = trial(1, Script::Release, INJECTED_FAULT_DAY, &[], Some(InjectedFault::SilentServers));
    assert!(report.finding_count(Reading::Operations) > 0, "{}", report.text());
}

#[test]
fn the_judge_tells_heartbeats_that_are_answered_late() {
    let report = trial(1, Script::Release, INJECTED_FAULT_DAY, &[], Some(InjectedFault::LateAnswers));
    assert!(report.finding_count(Reading::Control) > 0, "{}", report.text());
    assert_eq!(report.finding_count(Reading::Lines), 0, "{}", report.text());
}
