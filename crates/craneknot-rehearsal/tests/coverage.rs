//! The soak's judge of what proxies hold, at moments that the tests choose.

use std::time::{Duration, Instant};

use craneknot_rehearsal::soak::coverage::{CoverageJudge, MachineLateness};
use craneknot_rehearsal::soak::fleet::{Fleet, Phase};
use craneknot_rehearsal::soak::hold_ups::Span;
use craneknot_rehearsal::soak::node::{Life, BARE};

const PLATFORM_SLACK: Duration = Duration::from_millis(300);
const HELD_FOR: Duration = Duration::from_secs(11);
const STEP: Duration = Duration::from_millis(100);

/// One node with one proxy that holds a line to the first of two servers, ready for long.
fn covered() -> (Fleet, Life, Instant) {
    let mut fleet = Fleet::new(1, 1, 2);
    assert_eq!(fleet.apply(0, &["share,1,s-00,1", "bind,0,1,*"]), 2);
    let joined = fleet.holdings[0].joined[&0];
    let life = Life { epoch: 1, ready: true, ready_at: Some(joined), ..Life::default() };
    (fleet, life, joined)
}

fn lose_first_server(fleet: &mut Fleet, at: Instant) {
    fleet.set_phase(0, Phase::Gone);
    let listed = fleet.servers.clone();
    fleet.list_told(0, &listed);
    fleet.known_lost[0].insert(listed[0].id.clone(), at);
}

#[test]
fn a_lack_after_long_coverage_is_not_dated_to_the_joining() {
    let (mut fleet, life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    let lost_at = joined + HELD_FOR;
    assert!(judge.look(0, &life, &fleet, lost_at - STEP).is_empty());
    lose_first_server(&mut fleet, lost_at);
    let told: Vec<String> =
        judge.look(0, &life, &fleet, lost_at).into_iter().map(|broken| broken.what).collect();
    assert!(told.is_empty(), "{told:?}");
}

#[test]
fn a_lack_is_told_once_its_limit_has_passed_since_the_first_look() {
    let (mut fleet, life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    let lost_at = joined + HELD_FOR;
    judge.look(0, &life, &fleet, lost_at - STEP);
    lose_first_server(&mut fleet, lost_at);
    judge.look(0, &life, &fleet, lost_at);
    let last_allowed = lost_at + BARE + PLATFORM_SLACK;
    assert!(judge.look(0, &life, &fleet, last_allowed).iter().all(|broken| !broken.what.contains("NoLine")));
    let told = judge.look(0, &life, &fleet, last_allowed + Duration::from_millis(1));
    assert!(told.iter().any(|broken| broken.what.contains("NoLine")));
}

#[test]
fn a_lack_of_a_proxy_that_joined_since_the_look_before_counts_from_the_joining() {
    let (mut fleet, life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    let first_look = joined + HELD_FOR;
    judge.look(0, &life, &fleet, first_look);
    let joined_again = first_look + STEP / 2;
    fleet.holdings[0].bound.clear();
    fleet.holdings[0].joined.insert(0, joined_again);
    judge.look(0, &life, &fleet, first_look + STEP);
    let last_allowed = joined_again + BARE + PLATFORM_SLACK;
    assert!(judge.look(0, &life, &fleet, last_allowed).is_empty());
    assert!(!judge.look(0, &life, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn a_lack_at_the_first_look_of_a_process_counts_from_when_it_had_to_serve() {
    let (mut fleet, life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    fleet.holdings[0].bound.clear();
    let first_second = Duration::from_secs(1);
    let last_allowed = joined + first_second + BARE + PLATFORM_SLACK;
    assert!(judge.look(0, &life, &fleet, last_allowed).is_empty());
    assert!(!judge.look(0, &life, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn a_fault_of_the_network_does_not_begin_a_lack_anew() {
    let (mut fleet, mut life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    let begun = joined + HELD_FOR;
    judge.look(0, &life, &fleet, begun - STEP);
    fleet.holdings[0].bound.clear();
    judge.look(0, &life, &fleet, begun);
    let (fault, aftermath) = (Duration::from_secs(1), Duration::from_millis(1_500));
    let struck = begun + Duration::from_millis(2_400);
    life.disturbed.push(Span::closed(struck, struck + fault));
    judge.look(0, &life, &fleet, struck);
    let last_allowed = begun + BARE + PLATFORM_SLACK + fault + aftermath;
    assert!(judge.look(0, &life, &fleet, last_allowed).is_empty());
    assert!(!judge.look(0, &life, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}

#[test]
fn after_a_fault_of_the_network_a_lack_lasts_no_longer_than_a_new_one_may() {
    let (mut fleet, mut life, joined) = covered();
    let mut judge = CoverageJudge::new(MachineLateness::default());
    let begun = joined + HELD_FOR;
    judge.look(0, &life, &fleet, begun - STEP);
    fleet.holdings[0].bound.clear();
    life.disturbed.push(Span::closed(begun, begun + Duration::from_secs(2)));
    judge.look(0, &life, &fleet, begun);
    let last_allowed = begun + Duration::from_secs(2) + BARE + PLATFORM_SLACK;
    assert!(judge.look(0, &life, &fleet, last_allowed).is_empty());
    assert!(!judge.look(0, &life, &fleet, last_allowed + Duration::from_millis(1)).is_empty());
}
