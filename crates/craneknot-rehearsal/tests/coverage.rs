//! The soak's check of what proxies hold, at times chosen by the tests.

use std::time::{Duration, Instant};

use craneknot_rehearsal::soak::coverage::{CoverageChecker, MachineLateness};
use craneknot_rehearsal::soak::fleet::{Fleet, Phase};
use craneknot_rehearsal::soak::node::{ProcessHistory, NO_LINE_LIMIT};
use craneknot_rehearsal::soak::spans::Span;

const PLATFORM_TOLERANCE: Duration = Duration::from_millis(300);
const COVERED_FOR: Duration = Duration::from_secs(11);
const STEP: Duration = Duration::from_millis(100);

/// One node with one proxy that holds a line to the first of two servers, ready since the proxy's join.
fn covered_proxy() -> (Fleet, ProcessHistory, Instant) {
    let mut fleet = Fleet::new(1, 1, 2);
    assert_eq!(fleet.apply(0, &["share,1,s-00,1", "bind,0,1,*"]), 2);
    let joined = fleet.holdings[0].joined[&0];
    let history =
        ProcessHistory { epoch: 1, ready: true, ready_at: Some(joined), ..ProcessHistory::default() };
    (fleet, history, joined)
}

fn lose_first_server(fleet: &mut Fleet, at: Instant) {
    fleet.set_phase(0, Phase::Removed);
    let listed = fleet.servers.clone();
    fleet.record_list_sent(0, &listed);
    fleet.known_unavailable[0].insert(listed[0].id.clone(), at);
}

#[test]
fn a_gap_after_long_coverage_does_not_count_from_the_join() {
    let (mut fleet, history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    let lost_at = joined + COVERED_FOR;
    assert!(checker.check(0, &history, &fleet, lost_at - STEP).is_empty());
    lose_first_server(&mut fleet, lost_at);
    let violations: Vec<String> =
        checker.check(0, &history, &fleet, lost_at).into_iter().map(|violation| violation.summary).collect();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn a_gap_is_reported_once_its_limit_has_passed_since_the_first_check() {
    let (mut fleet, history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    let lost_at = joined + COVERED_FOR;
    checker.check(0, &history, &fleet, lost_at - STEP);
    lose_first_server(&mut fleet, lost_at);
    checker.check(0, &history, &fleet, lost_at);
    let last_allowed = lost_at + NO_LINE_LIMIT + PLATFORM_TOLERANCE;
    assert!(checker
        .check(0, &history, &fleet, last_allowed)
        .iter()
        .all(|violation| !violation.summary.contains("NoLine")));
    let violations = checker.check(0, &history, &fleet, last_allowed + Duration::from_millis(1));
    assert!(violations.iter().any(|violation| violation.summary.contains("NoLine")));
}

#[test]
fn a_gap_of_a_proxy_that_joined_since_the_previous_check_counts_from_the_join() {
    let (mut fleet, history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    let first_check_at = joined + COVERED_FOR;
    checker.check(0, &history, &fleet, first_check_at);
    let joined_again = first_check_at + STEP / 2;
    fleet.holdings[0].bindings.clear();
    fleet.holdings[0].joined.insert(0, joined_again);
    checker.check(0, &history, &fleet, first_check_at + STEP);
    let last_allowed = joined_again + NO_LINE_LIMIT + PLATFORM_TOLERANCE;
    assert!(checker.check(0, &history, &fleet, last_allowed).is_empty());
    assert!(!checker.check(0, &history, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn a_gap_at_the_first_check_of_a_process_counts_from_when_it_had_to_serve() {
    let (mut fleet, history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    fleet.holdings[0].bindings.clear();
    let startup_grace = Duration::from_secs(1);
    let last_allowed = joined + startup_grace + NO_LINE_LIMIT + PLATFORM_TOLERANCE;
    assert!(checker.check(0, &history, &fleet, last_allowed).is_empty());
    assert!(!checker.check(0, &history, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn a_network_fault_does_not_restart_the_time_of_a_gap() {
    let (mut fleet, mut history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    let gap_start = joined + COVERED_FOR;
    checker.check(0, &history, &fleet, gap_start - STEP);
    fleet.holdings[0].bindings.clear();
    checker.check(0, &history, &fleet, gap_start);
    let (fault, recovery) = (Duration::from_secs(1), Duration::from_millis(1_500));
    let fault_start = gap_start + Duration::from_millis(2_400);
    history.fault_spans.push(Span::closed(fault_start, fault_start + fault));
    checker.check(0, &history, &fleet, fault_start);
    let last_allowed = gap_start + NO_LINE_LIMIT + PLATFORM_TOLERANCE + fault + recovery;
    assert!(checker.check(0, &history, &fleet, last_allowed).is_empty());
    assert!(!checker.check(0, &history, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn after_a_network_fault_a_gap_lasts_no_longer_than_a_new_one_may() {
    let (mut fleet, mut history, joined) = covered_proxy();
    let mut checker = CoverageChecker::new(MachineLateness::default());
    let gap_start = joined + COVERED_FOR;
    checker.check(0, &history, &fleet, gap_start - STEP);
    fleet.holdings[0].bindings.clear();
    history.fault_spans.push(Span::closed(gap_start, gap_start + Duration::from_secs(2)));
    checker.check(0, &history, &fleet, gap_start);
    let last_allowed = gap_start + Duration::from_secs(2) + NO_LINE_LIMIT + PLATFORM_TOLERANCE;
    assert!(checker.check(0, &history, &fleet, last_allowed).is_empty());
    assert!(!checker.check(0, &history, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}
