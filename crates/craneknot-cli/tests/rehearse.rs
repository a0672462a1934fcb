//! Whole rehearsals with the real program: a day that keeps the rules, and planted breaks that must be found.

use std::path::Path;

use craneknot_rehearsal::auditor::Rule;
use craneknot_rehearsal::conduct::{Kept, Programs};
use craneknot_rehearsal::script::{Plant, SharedFleet, Trouble, TroubleKind};
use craneknot_rehearsal::{rehearse, Report, Script};
use craneknot_settings::Span;

fn play(script: &Script) -> Report {
    let program = Path::new(env!("CARGO_BIN_EXE_craneknot"));
    let report = rehearse(script, Programs::one(program), Kept::default()).unwrap();
    assert!(report.service.asked > 100, "{}", report.lines());
    report
}

fn trouble(kind: TroubleKind, at: u64, length: u64, part: f64) -> Trouble {
    let (at, length) = (Span::millis(at), Span::millis(length));
    Trouble { kind, at, length, part, strength: None, zone: None, server_kind: None, unlisted: false }
}

fn short(seconds: u64, troubles: Vec<Trouble>) -> Script {
    let length = Span::millis(seconds * 1_000);
    let mut script = Script { length, troubles, ..Script::built_in().unwrap() };
    script.clients.rate = 120.0;
    script
}

/// The break of one rule is found; the others have been looked at all the same.
fn planted(script: &Script, rule: Rule) {
    let report = play(script);
    let verdict = &report.rules[&rule];
    assert!(verdict.breaks > 0 && verdict.first.is_some(), "{rule:?} was not found:\n{}", report.lines());
    assert!(!report.passed());
}

#[test]
fn overlapping_troubles_break_no_rule() {
    let troubles = vec![
        trouble(TroubleKind::FastErrors, 1_000, 3_000, 0.25),
        trouble(TroubleKind::StreamBreak, 2_000, 100, 0.5),
        trouble(TroubleKind::Deploy, 4_000, 6_000, 0.4),
        trouble(TroubleKind::AgentKilled, 5_000, 1_000, 0.25),
        trouble(TroubleKind::CoordinatorKilled, 6_000, 2_000, 0.5),
        trouble(TroubleKind::RosterDown, 8_500, 1_500, 1.0),
        trouble(TroubleKind::Unreachable, 10_000, 3_000, 0.5),
    ];
    let report = play(&short(14, troubles));
    assert!(report.passed(), "{}", report.lines());
    // Capacities are judged where a script asks for it, as `weights.json` does.
    for rule in Rule::ALL.into_iter().filter(|rule| *rule != Rule::WithinCapacity) {
        assert!(report.rules[&rule].checks > 0, "{rule:?} was never looked at");
    }
    assert!(report.service.swaps > 20 && report.service.service > 0.8, "{}", report.lines());
}

#[test]
fn takeovers_break_no_rule() {
    let troubles = vec![
        trouble(TroubleKind::LeaderKilled, 2_000, 2_000, 1.0),
        trouble(TroubleKind::Deploy, 3_000, 6_000, 0.4),
        trouble(TroubleKind::LeaderStalled, 6_000, 2_500, 1.0),
        trouble(TroubleKind::StreamBreak, 6_500, 100, 0.7),
        trouble(TroubleKind::CoordinatorMute, 10_000, 1_500, 1.0),
        trouble(TroubleKind::CoordinatorKilled, 12_500, 1_000, 1.0),
        trouble(TroubleKind::RollingUpgrade, 16_000, 6_000, 1.0),
    ];
    let mut script = short(23, troubles);
    script.coordinators = 3;
    script.shared = Some(SharedFleet { lease: Span::millis(1_000) });
    let report = play(&script);
    assert!(report.passed(), "{}", report.lines());
    let epoch = |status: &serde_json::Value| status["shared"]["epoch"].as_u64();
    assert!(report.status.iter().filter_map(epoch).max() > Some(2), "{:?}", report.status);
    assert!(report.service.unled > 0 && report.rules[&Rule::NoOlderEpoch].checks > 0);
}

#[test]
fn a_proxy_without_tables_is_found() {
    let script = Script { plants: vec![Plant::Bare], ..short(9, vec![]) };
    planted(&script, Rule::NobodyBare);
}

#[test]
fn an_effect_that_happens_twice_is_found() {
    let script = Script { plants: vec![Plant::RunTwice], ..short(6, vec![]) };
    planted(&script, Rule::NoEffectTwice);
}

#[test]
fn a_proxy_that_sends_to_lost_servers_is_found() {
    let troubles = vec![trouble(TroubleKind::Deploy, 4_000, 4_000, 0.5)];
    let script = Script { plants: vec![Plant::KeepDrained], ..short(12, troubles) };
    planted(&script, Rule::DrainsKept);
}

#[test]
fn a_cold_server_that_is_pushed_over_is_found() {
    let troubles = vec![trouble(TroubleKind::Growth, 4_000, 3_000, 0.3)];
    let mut script = Script { plants: vec![Plant::FloodCold], ..short(10, troubles) };
    script.clients.rate = 300.0;
    script.rules.drain_grace = Span::millis(500);
    planted(&script, Rule::NoColdPushedOver);
}

#[test]
fn a_queue_that_grows_too_long_is_found() {
    let mut script = Script { plants: vec![Plant::LongQueue], ..short(5, vec![]) };
    script.channel.lines_limit = 24.0;
    planted(&script, Rule::ShortQueue);
}

#[test]
fn an_operation_where_it_may_not_go_is_found() {
    let script = Script { plants: vec![Plant::Misplace], ..short(6, vec![]) };
    planted(&script, Rule::Placement);
}

#[test]
fn a_file_that_is_not_swapped_in_one_step_is_found() {
    let script = Script { plants: vec![Plant::Torn], ..short(6, vec![]) };
    planted(&script, Rule::NoTornRead);
}
