//! Scenarios of several coordinators on a model of the platform: simultaneous faults in an order that the
//! test forces, checked by the lines that proxies have.

mod helpers;
use helpers::invariants::Violation;
use helpers::platform::{Platform, START};

const PROXIES: u16 = 240;
const RULES: &[Violation] =
    &[Violation::NoLineToWarm, Violation::NoLineToAny, Violation::UnavailableServer, Violation::Unbound];

/// A release in place: every 610 to 640 ms a few servers restart under their names, in one of three ways.
struct Release {
    next_at: u64,
    step: u64,
    /// Servers, with the time and value of their next phase.
    pending_changes: Vec<(String, u64, &'static str)>,
    per_step: u64,
}

impl Release {
    fn new(per_step: u64) -> Self {
        Release { next_at: 3_000, step: 0, pending_changes: Vec::new(), per_step }
    }

    fn turn(&mut self, platform: &mut Platform) {
        let at = platform.at();
        let due: Vec<_> = self.pending_changes.extract_if(.., |(_, due, _)| *due <= at).collect();
        for (id, _, phase) in due {
            let started = (phase == "SERVING").then_some(START + at);
            platform.set_server(&id, phase, started);
            if phase == "DELETED" {
                self.pending_changes.push((id, at + 1_000, "SERVING"));
            }
        }
        if at < self.next_at {
            return;
        }
        self.next_at = at + 610 + (self.step * 10) % 35;
        for k in 0..self.per_step {
            let id = format!("s-{}", (self.step * self.per_step + k) % 30);
            if platform.servers[&id].phase != "SERVING" {
                continue;
            }
            match (self.step + k) % 3 {
                0 => {
                    platform.set_server(&id, "DRAINING", None);
                    self.pending_changes.push((id, at + 2_000, "DELETED"));
                }
                1 => {
                    platform.set_server(&id, "DRAINING", None);
                    self.pending_changes.push((id, at + 2_500, "SERVING"));
                }
                _ => platform.set_server(&id, "SERVING", Some(START + at)),
            }
        }
        self.step += 1;
    }

    /// The servers of a zone are removed, or return cold.
    fn set_zone(&mut self, platform: &mut Platform, is_removed: bool) {
        self.pending_changes.retain(|(id, _, _)| id.trim_start_matches("s-").parse::<u16>().unwrap() < 20);
        let started = (!is_removed).then_some(platform.now);
        for k in 20..30 {
            platform.set_server(&format!("s-{k}"), if is_removed { "DELETED" } else { "SERVING" }, started);
        }
    }
}

struct Scenario {
    platform: Platform,
    release: Release,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut platform = Platform::new(seed, 3, PROXIES, (20, 10));
        let list = platform.list();
        (0..3).for_each(|place| platform.start(place, &list, 1));
        platform.run_to(500);
        (0..PROXIES).for_each(|proxy| platform.join(proxy, usize::from(proxy % 3)));
        Scenario { platform, release: Release::new(1 + seed % 3) }
    }

    fn run_to(&mut self, at: u64) {
        while self.platform.at() < at {
            self.release.turn(&mut self.platform);
            let next_at = self.platform.at() + 10;
            self.platform.run_to(next_at.min(at));
        }
    }

    /// All proxies of one coordinator join another, spread over a period.
    fn move_all(&mut self, from: usize, to: usize, over: u64) {
        let moving: Vec<u16> = (0..PROXIES)
            .filter(|id| self.platform.proxies[usize::from(*id)].joined_to == Some(from))
            .collect();
        let started_at = self.platform.at();
        let count = moving.len() as u64;
        for (k, proxy) in moving.into_iter().enumerate() {
            self.run_to(started_at + over * k as u64 / count.max(1));
            self.platform.join(proxy, to);
        }
    }

    /// Checks that none of these rules was violated.
    fn check(&self, seed: u64, rules: &[Violation]) {
        let checker = &self.platform.checker;
        let violations: Vec<_> =
            checker.violations.values().filter(|violation| rules.contains(&violation.kind)).collect();
        let (count, first) = (violations.len(), violations.iter().take(4).collect::<Vec<_>>());
        assert!(
            violations.is_empty(),
            "seed {seed}: {count} violations, {first:?}; the longest: {:?}",
            checker.longest
        );
    }
}

/// Joins all proxies without a stream to a coordinator.
fn join_rest(scenario: &mut Scenario, to: usize) {
    let rest: Vec<u16> =
        (0..PROXIES).filter(|id| scenario.platform.proxies[usize::from(*id)].joined_to.is_none()).collect();
    rest.into_iter().for_each(|proxy| scenario.platform.join(proxy, to));
}

/// The scripted scenario. `add_faults`: additional faults at the time when all proxies join one coordinator.
fn scripted_scenario(seed: u64, add_faults: impl Fn(&mut Scenario)) -> Scenario {
    let mut scenario = Scenario::new(seed);
    let initial_list = (scenario.platform.list(), scenario.platform.revision);
    scenario.run_to(27_000);
    scenario.platform.kill(0);
    scenario.run_to(27_200);
    join_rest(&mut scenario, 1);
    scenario.run_to(27_500);
    scenario.platform.start(0, &initial_list.0, initial_list.1);
    scenario.run_to(28_500);
    scenario.move_all(1, 0, 1_000);
    scenario.run_to(41_000);
    scenario.platform.kill(1);
    scenario.release.set_zone(&mut scenario.platform, true);
    add_faults(&mut scenario);
    scenario.run_to(41_300);
    join_rest(&mut scenario, 0);
    scenario.run_to(42_000);
    scenario.move_all(2, 0, 20);
    scenario.platform.kill(2);
    scenario.run_to(46_000);
    scenario.release.set_zone(&mut scenario.platform, false);
    scenario.platform.start(1, &initial_list.0, initial_list.1);
    scenario.platform.start(2, &initial_list.0, initial_list.1);
    scenario.run_to(50_450);
    scenario.move_all(0, 1, 500);
    scenario.run_to(51_000);
    scenario.platform.slots[0].coordinator.as_mut().unwrap().shut_down();
    scenario.run_to(51_050);
    scenario.platform.kill(0);
    join_rest(&mut scenario, 1);
    scenario.run_to(51_550);
    scenario.platform.start(0, &initial_list.0, initial_list.1);
    scenario.run_to(63_000);
    scenario
}

#[test]
fn all_proxies_at_one_coordinator_during_a_release_have_lines() {
    for seed in 0..3 {
        scripted_scenario(seed, |_| {}).check(seed, RULES);
    }
}

#[test]
fn a_silent_stream_and_lost_calls_at_a_takeover_leave_no_proxy_without_a_line() {
    for seed in 0..3 {
        scripted_scenario(seed, |scenario| {
            let at = scenario.platform.now;
            let faults = &mut scenario.platform.slots[0].faults;
            faults.first_stream_silent = at + 2_500;
            faults.calls_lost = at + 900;
            faults.dials_refused = at + 1_500;
        })
        .check(seed, RULES);
    }
}

#[test]
fn a_silent_list_at_a_takeover_leaves_no_proxy_without_a_line() {
    for seed in 0..3 {
        scripted_scenario(seed, |scenario| {
            let at = scenario.platform.now;
            let faults = &mut scenario.platform.slots[0].faults;
            faults.list_silent = at + 4_000;
            faults.answers_lost = at + 1_500;
        })
        .check(seed, RULES);
    }
}

/// Proxies leave and join again while an event stream lags, which breaks before it has brought these events.
#[test]
fn proxies_that_rejoin_within_a_stream_lag_are_bound_again() {
    for (lag, silent) in [(0, 0), (300, 0), (900, 0), (1_800, 0), (0, 1_400), (0, 2_400)] {
        let mut scenario = Scenario::new(1);
        scenario.run_to(8_000);
        let at = scenario.platform.now;
        let faults = &mut scenario.platform.slots[0].faults;
        faults.first_stream_lag = lag;
        faults.first_stream_silent = at + silent;
        scenario.run_to(8_100);
        (0..30).for_each(|proxy| scenario.platform.join(proxy * 3, 0));
        let delay = lag.max(silent);
        scenario.run_to(8_100 + delay - 50.min(delay));
        scenario.platform.end_first_stream(0);
        scenario.platform.slots[0].faults = Default::default();
        scenario.run_to(14_000);
        scenario.check(1, RULES);
    }
}

/// Hundreds of proxies join and leave at once while the events of that are delayed; the remaining ones get
/// their orders.
#[test]
fn orders_for_proxies_that_have_left_do_not_delay_the_others() {
    let mut scenario = Scenario::new(1);
    scenario.run_to(8_000);
    let at = scenario.platform.now;
    let faults = &mut scenario.platform.slots[0].faults;
    (faults.call_time, faults.calls_lost) = (50, at + 60);
    let new: Vec<u16> = (0..PROXIES).filter(|proxy| proxy % 3 != 0).collect();
    new.iter().for_each(|proxy| scenario.platform.join(*proxy, 0));
    scenario.run_to(8_030);
    scenario.platform.slots[0].faults.streams_silent = at + 2_400;
    let (leave, stay) = new.split_at(140);
    leave.iter().for_each(|proxy| scenario.platform.join(*proxy, 1));
    assert_eq!(stay.len(), 20);
    scenario.run_to(14_000);
    scenario.check(1, RULES);
}
