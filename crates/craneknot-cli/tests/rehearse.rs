//! Whole rehearsals with the real program: scripts that must not break a rule, and planted faults that must be detected.

use std::path::Path;

use craneknot_rehearsal::auditor::Rule;
use craneknot_rehearsal::runner::{Outputs, Programs};
use craneknot_rehearsal::script::{Plant, SharedFleet, Trouble, TroubleKind};
use craneknot_rehearsal::{rehearse, Report, Script};
use craneknot_settings::Span;

fn run_script(script: &Script) -> Report {
    let program = Path::new(env!("CARGO_BIN_EXE_craneknot"));
    let report = rehearse(script, Programs::single(program), Outputs::default()).unwrap();
    assert!(report.service.asked > 100, "{}", report.lines());
    report
}

fn fault(kind: TroubleKind, at: u64, length: u64, part: f64) -> Trouble {
    let (at, length) = (Span::millis(at), Span::millis(length));
    Trouble { kind, at, length, part, strength: None, zone: None, server_kind: None, unlisted: false }
}

fn short_script(seconds: u64, troubles: Vec<Trouble>) -> Script {
    let length = Span::millis(seconds * 1_000);
    let mut script = Script { length, troubles, ..Script::built_in().unwrap() };
    script.clients.rate = 120.0;
    script
}

/// Requires that the break of this rule is detected. The other rules are checked in the same run.
fn assert_break_found(script: &Script, rule: Rule) {
    let report = run_script(script);
    let verdict = &report.rules[&rule];
    assert!(verdict.breaks > 0 && verdict.first.is_some(), "{rule:?} was not found:\n{}", report.lines());
    assert!(!report.passed());
}

#[test]
fn overlapping_faults_break_no_rule() {
    let troubles = vec![
        fault(TroubleKind::FastErrors, 1_000, 3_000, 0.25),
        fault(TroubleKind::StreamBreak, 2_000, 100, 0.5),
        fault(TroubleKind::Deploy, 4_000, 6_000, 0.4),
        fault(TroubleKind::AgentKilled, 5_000, 1_000, 0.25),
        fault(TroubleKind::CoordinatorKilled, 6_000, 2_000, 0.5),
        fault(TroubleKind::RosterDown, 8_500, 1_500, 1.0),
        fault(TroubleKind::Unreachable, 10_000, 3_000, 0.5),
    ];
    let report = run_script(&short_script(14, troubles));
    assert!(report.passed(), "{}", report.lines());
    // Capacities are checked only if a script requests it, as `weights.json` does.
    for rule in Rule::ALL.into_iter().filter(|rule| *rule != Rule::WithinCapacity) {
        assert!(report.rules[&rule].checks > 0, "{rule:?} was never checked");
    }
    assert!(report.service.swaps > 20 && report.service.service > 0.8, "{}", report.lines());
}

#[test]
fn takeovers_break_no_rule() {
    let troubles = vec![
        fault(TroubleKind::LeaderKilled, 2_000, 2_000, 1.0),
        fault(TroubleKind::Deploy, 3_000, 6_000, 0.4),
        fault(TroubleKind::LeaderStalled, 6_000, 2_500, 1.0),
        fault(TroubleKind::StreamBreak, 6_500, 100, 0.7),
        fault(TroubleKind::CoordinatorMute, 10_000, 1_500, 1.0),
        fault(TroubleKind::CoordinatorKilled, 12_500, 1_000, 1.0),
        fault(TroubleKind::RollingUpgrade, 16_000, 6_000, 1.0),
    ];
    let mut script = short_script(23, troubles);
    script.coordinators = 3;
    script.shared = Some(SharedFleet { lease: Span::millis(1_000) });
    let report = run_script(&script);
    assert!(report.passed(), "{}", report.lines());
    let epoch = |status: &serde_json::Value| status["shared"]["epoch"].as_u64();
    assert!(report.status.iter().filter_map(epoch).max() > Some(2), "{:?}", report.status);
    assert!(report.service.unled > 0 && report.rules[&Rule::NoOlderEpoch].checks > 0);
}

#[test]
fn a_proxy_without_tables_is_detected() {
    let script = Script { plants: vec![Plant::Bare], ..short_script(9, vec![]) };
    assert_break_found(&script, Rule::NobodyBare);
}

#[test]
fn an_operation_that_takes_effect_twice_is_detected() {
    let script = Script { plants: vec![Plant::RunTwice], ..short_script(6, vec![]) };
    assert_break_found(&script, Rule::NoEffectTwice);
}

#[test]
fn a_proxy_that_sends_to_draining_servers_is_detected() {
    let troubles = vec![fault(TroubleKind::Deploy, 4_000, 4_000, 0.5)];
    let script = Script { plants: vec![Plant::KeepDrained], ..short_script(12, troubles) };
    assert_break_found(&script, Rule::DrainsKept);
}

#[test]
fn an_overloaded_cold_server_is_detected() {
    let troubles = vec![fault(TroubleKind::Growth, 4_000, 3_000, 0.3)];
    let mut script = Script { plants: vec![Plant::FloodCold], ..short_script(10, troubles) };
    script.clients.rate = 300.0;
    script.rules.drain_grace = Span::millis(500);
    assert_break_found(&script, Rule::NoColdPushedOver);
}

#[test]
fn a_queue_over_its_limit_is_detected() {
    let mut script = Script { plants: vec![Plant::LongQueue], ..short_script(5, vec![]) };
    script.channel.lines_limit = 24.0;
    assert_break_found(&script, Rule::ShortQueue);
}

#[test]
fn a_misplaced_operation_is_detected() {
    let script = Script { plants: vec![Plant::Misplace], ..short_script(6, vec![]) };
    assert_break_found(&script, Rule::Placement);
}

#[test]
fn a_file_that_is_not_replaced_atomically_is_detected() {
    let script = Script { plants: vec![Plant::Torn], ..short_script(6, vec![]) };
    assert_break_found(&script, Rule::NoTornRead);
}
