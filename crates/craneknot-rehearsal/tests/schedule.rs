//! What the soak's schedules bring, and the load beside them.

use std::collections::BTreeSet;
use std::time::Duration;

use craneknot_rehearsal::soak::load::BusyThreads;
use craneknot_rehearsal::soak::schedule::{
    draw, draw_throttle, fleet_size, Day, Fault, ListChange, Neighbour, NetworkFault, Planned, Restart,
    RestartForm, ZoneRestart,
};

const LENGTH: Duration = Duration::from_secs(40);
const SEEDS: std::ops::Range<u64> = 1..31;

fn incident(seed: u64, nodes: usize) -> Vec<Planned> {
    let (servers, _) = fleet_size(Day::Incident, nodes);
    draw(seed, nodes, servers, LENGTH, Day::Incident)
}

fn restarts(planned: &[Planned]) -> Vec<Restart> {
    let restart = |planned: &Planned| match planned.fault {
        Fault::List(ListChange::Restart(restart)) => Some(restart),
        _ => None,
    };
    planned.iter().filter_map(restart).collect()
}

#[test]
fn one_seed_gives_one_schedule_with_all_that_was_added() {
    for day in [Day::Random, Day::Incident] {
        assert_eq!(draw(7, 3, 30, LENGTH, day), draw(7, 3, 30, LENGTH, day));
        assert_ne!(draw(7, 3, 30, LENGTH, day), draw(8, 3, 30, LENGTH, day));
    }
    assert_eq!(draw_throttle(7, 3, LENGTH), draw_throttle(7, 3, LENGTH));
}

#[test]
fn every_day_restarts_servers_in_all_forms_and_several_in_one_step() {
    for seed in SEEDS {
        for day in [Day::Random, Day::Incident] {
            let restarts = restarts(&draw(seed, 3, 30, LENGTH, day));
            assert!(restarts.iter().any(|restart| restart.count > 1), "{day:?}, seed {seed}");
        }
        let restarts = restarts(&incident(seed, 3));
        for form in [RestartForm::DrainingGoneReady, RestartForm::DrainingReady, RestartForm::ReadyAtOnce] {
            assert!(restarts.iter().any(|restart| restart.form == form), "{form:?}, seed {seed}");
        }
    }
}

#[test]
fn the_only_zone_of_a_class_starts_anew_at_once_all_but_one_and_in_waves() {
    let mut ways = BTreeSet::new();
    for seed in SEEDS {
        let restarts = incident(seed, 3).into_iter().filter_map(|planned| match planned.fault {
            Fault::List(ListChange::RestartZone(restart)) => Some(restart),
            _ => None,
        });
        let way = |restart: ZoneRestart| (restart.spared, restart.wave == usize::MAX);
        ways.extend(restarts.map(way));
    }
    assert_eq!(ways, BTreeSet::from([(0, true), (1, true), (0, false)]));
}

#[test]
fn the_third_coordinator_is_absent_in_each_way_while_the_zone_is_lost() {
    let mut ways = BTreeSet::new();
    for seed in SEEDS {
        let planned = incident(seed, 3);
        let zone = planned.iter().find(|planned| matches!(planned.fault, Fault::LoseZone { .. })).unwrap();
        let covers = |fault: &&Planned| {
            let end = zone.at + zone.fault.lasts().as_millis() as u64;
            fault.at <= zone.at && fault.at + fault.fault.lasts().as_millis() as u64 >= end
        };
        let absent = planned.iter().filter(covers).find(|fault| fault.node != 1 && fault.node != zone.node);
        ways.insert(match absent.unwrap_or_else(|| panic!("seed {seed}: nobody else is absent")).fault {
            Fault::Kill { .. } => "killed",
            Fault::Pause { .. } => "stopped",
            Fault::Network { of: Neighbour::Both, .. } => "silent",
            other => panic!("seed {seed}: {other:?}"),
        });
    }
    assert_eq!(ways.len(), 3, "{ways:?}");
}

#[test]
fn relay_and_discovery_fail_together_on_every_day() {
    let is_both = |planned: &Planned| matches!(planned.fault, Fault::Network { of: Neighbour::Both, .. });
    for seed in SEEDS {
        for day in [Day::Random, Day::Incident] {
            assert!(draw(seed, 3, 30, LENGTH, day).iter().any(is_both), "{day:?}, seed {seed}");
        }
    }
}

#[test]
fn each_node_is_throttled_once() {
    let throttled: BTreeSet<usize> = draw_throttle(7, 5, LENGTH).iter().map(|planned| planned.node).collect();
    assert_eq!(throttled.len(), 5);
}

#[test]
fn busy_threads_end_with_what_holds_them() {
    let busy = BusyThreads::start(2, Duration::from_secs(60));
    assert_eq!(busy.running(), 2);
    let begun = std::time::Instant::now();
    drop(busy);
    assert!(begun.elapsed() < Duration::from_secs(30), "a spin outlived the run");
}

#[test]
fn one_connection_lags_while_its_node_s_proxies_come_again() {
    let is_lag = |planned: &Planned| {
        matches!(planned.fault, Fault::Network { fault: NetworkFault::LagOne { .. }, .. })
    };
    for seed in SEEDS {
        let planned = incident(seed, 3);
        let lags: Vec<&Planned> = planned.iter().filter(|planned| is_lag(planned)).collect();
        assert!(lags.len() > 3, "seed {seed}: {}", lags.len());
        for lag in lags {
            let end = lag.at + lag.fault.lasts().as_millis() as u64;
            let comes_again = |planned: &Planned| {
                let is_within = (lag.at..end).contains(&planned.at);
                planned.node == lag.node && is_within && matches!(planned.fault, Fault::Reconnect { .. })
            };
            assert!(planned.iter().any(comes_again), "seed {seed}: {lag:?}");
        }
    }
}
