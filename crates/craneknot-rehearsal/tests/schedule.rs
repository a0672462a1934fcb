//! The faults in the soak's schedules, and its processor load.

use std::collections::BTreeSet;
use std::time::Duration;

use craneknot_rehearsal::soak::load::BusyThreads;
use craneknot_rehearsal::soak::schedule::{
    draw, draw_throttle, fleet_size, Fault, ListChange, Neighbour, NetworkFault, Planned, Restart,
    RestartForm, Scenario, ZoneRestart,
};

const LENGTH: Duration = Duration::from_secs(40);
const SEEDS: std::ops::Range<u64> = 1..31;

fn incident(seed: u64, nodes: usize) -> Vec<Planned> {
    let (servers, _) = fleet_size(Scenario::Incident, nodes);
    draw(seed, nodes, servers, LENGTH, Scenario::Incident)
}

fn restarts(planned: &[Planned]) -> Vec<Restart> {
    let restart = |planned: &Planned| match planned.fault {
        Fault::List(ListChange::Restart(restart)) => Some(restart),
        _ => None,
    };
    planned.iter().filter_map(restart).collect()
}

#[test]
fn one_seed_gives_one_schedule_in_each_scenario() {
    for scenario in [Scenario::Random, Scenario::Incident] {
        assert_eq!(draw(7, 3, 30, LENGTH, scenario), draw(7, 3, 30, LENGTH, scenario));
        assert_ne!(draw(7, 3, 30, LENGTH, scenario), draw(8, 3, 30, LENGTH, scenario));
    }
    assert_eq!(draw_throttle(7, 3, LENGTH), draw_throttle(7, 3, LENGTH));
}

#[test]
fn every_scenario_restarts_servers_in_all_forms_and_several_in_one_step() {
    for seed in SEEDS {
        for scenario in [Scenario::Random, Scenario::Incident] {
            let restarts = restarts(&draw(seed, 3, 30, LENGTH, scenario));
            assert!(restarts.iter().any(|restart| restart.count > 1), "{scenario:?}, seed {seed}");
        }
        let restarts = restarts(&incident(seed, 3));
        for form in [RestartForm::DrainingGoneReady, RestartForm::DrainingReady, RestartForm::ReadyAtOnce] {
            assert!(restarts.iter().any(|restart| restart.form == form), "{form:?}, seed {seed}");
        }
    }
}

#[test]
fn the_only_zone_of_a_class_restarts_at_once_all_but_one_and_in_waves() {
    let mut variants = BTreeSet::new();
    for seed in SEEDS {
        let restarts = incident(seed, 3).into_iter().filter_map(|planned| match planned.fault {
            Fault::List(ListChange::RestartZone(restart)) => Some(restart),
            _ => None,
        });
        let variant = |restart: ZoneRestart| (restart.spared, restart.wave == usize::MAX);
        variants.extend(restarts.map(variant));
    }
    assert_eq!(variants, BTreeSet::from([(0, true), (1, true), (0, false)]));
}

#[test]
fn the_third_coordinator_is_absent_in_each_way_while_the_zone_is_lost() {
    let mut variants = BTreeSet::new();
    for seed in SEEDS {
        let planned = incident(seed, 3);
        let zone = planned.iter().find(|planned| matches!(planned.fault, Fault::LoseZone { .. })).unwrap();
        let covers = |fault: &&Planned| {
            let end = zone.at + zone.fault.duration().as_millis() as u64;
            fault.at <= zone.at && fault.at + fault.fault.duration().as_millis() as u64 >= end
        };
        let absent = planned.iter().filter(covers).find(|fault| fault.node != 1 && fault.node != zone.node);
        variants.insert(
            match absent.unwrap_or_else(|| panic!("seed {seed}: no other node is absent")).fault {
                Fault::Kill { .. } => "killed",
                Fault::Pause { .. } => "stopped",
                Fault::Network { of: Neighbour::Both, .. } => "silent",
                other => panic!("seed {seed}: {other:?}"),
            },
        );
    }
    assert_eq!(variants.len(), 3, "{variants:?}");
}

#[test]
fn relay_and_discovery_fail_together_in_every_scenario() {
    let is_both = |planned: &Planned| matches!(planned.fault, Fault::Network { of: Neighbour::Both, .. });
    for seed in SEEDS {
        for scenario in [Scenario::Random, Scenario::Incident] {
            assert!(draw(seed, 3, 30, LENGTH, scenario).iter().any(is_both), "{scenario:?}, seed {seed}");
        }
    }
}

#[test]
fn each_node_is_throttled_once() {
    let throttled: BTreeSet<usize> = draw_throttle(7, 5, LENGTH).iter().map(|planned| planned.node).collect();
    assert_eq!(throttled.len(), 5);
}

#[test]
fn busy_threads_end_when_their_owner_is_dropped() {
    let busy = BusyThreads::start(2, Duration::from_secs(60));
    assert_eq!(busy.running(), 2);
    let drop_start = std::time::Instant::now();
    drop(busy);
    assert!(drop_start.elapsed() < Duration::from_secs(30), "a busy thread outlived its owner");
}

#[test]
fn one_connection_lags_while_the_proxies_of_its_node_reconnect() {
    let is_lag = |planned: &Planned| {
        matches!(planned.fault, Fault::Network { fault: NetworkFault::LagOne { .. }, .. })
    };
    for seed in SEEDS {
        let planned = incident(seed, 3);
        let lags: Vec<&Planned> = planned.iter().filter(|planned| is_lag(planned)).collect();
        assert!(lags.len() > 3, "seed {seed}: {}", lags.len());
        for lag in lags {
            let end = lag.at + lag.fault.duration().as_millis() as u64;
            let is_reconnect = |planned: &Planned| {
                let is_within = (lag.at..end).contains(&planned.at);
                planned.node == lag.node && is_within && matches!(planned.fault, Fault::Reconnect { .. })
            };
            assert!(planned.iter().any(is_reconnect), "seed {seed}: {lag:?}");
        }
    }
}
