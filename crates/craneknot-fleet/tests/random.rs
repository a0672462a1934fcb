//! Seeded random runs of a whole fleet, and planted defects that the checks must find in them.
//!
//! `STEPS=2000000 SEEDS=1 cargo test --release -p craneknot-fleet --test random` runs longer; a failure prints its seed.

#[allow(dead_code)]
mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};

use craneknot::interface::Nanos;
use world::{Defect, World, PROXIES};

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs under random faults, then ends them: all proxies must have an owner again.
fn run_walk(count: usize, seed: u64, steps: u64, defect: Defect) -> World {
    let mut world = World::new(count, seed, defect);
    for _ in 0..steps {
        world.step();
    }
    world.end_faults();
    world.run_until("recovery", Nanos::from_millis(20_000), |world| world.owned() == PROXIES);
    world
}

#[test]
fn no_proxy_ever_has_two_owners_and_no_committed_entry_changes() {
    let (steps, seeds) = (setting("STEPS", 3_000), setting("SEEDS", 12));
    let (mut orders, mut rejected) = (0, 0);
    for count in [3, 5] {
        for seed in 0..seeds {
            let result = catch_unwind(AssertUnwindSafe(|| run_walk(count, seed, steps, Defect::None)));
            let world = result.unwrap_or_else(|_| panic!("{count} members, seed {seed}"));
            orders += world.agents.iter().map(|agent| agent.orders).sum::<u64>();
            rejected += world.agents.iter().map(|agent| agent.rejected).sum::<u64>();
        }
    }
    assert!(orders > 5_000 && rejected > 10, "too few events: {orders} orders, {rejected} rejected");
}

/// Each planted defect must be found by one of the checks within 200 runs.
#[test]
fn every_planted_defect_is_found() {
    let panic_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let mut missed = Vec::new();
    for defect in [
        Defect::VoteNotSaved,
        Defect::LogNotSaved,
        Defect::SentBeforeSaved,
        Defect::EpochForgotten,
        Defect::WrongClock,
        Defect::LongLease,
        Defect::ShortElection,
        Defect::StaleStore,
    ] {
        let found = (0..200)
            .find(|seed| catch_unwind(AssertUnwindSafe(|| run_walk(3, *seed, 6_000, defect))).is_err());
        match found {
            Some(seed) => println!("{defect:?} found by seed {seed}"),
            None => missed.push(defect),
        }
    }
    std::panic::set_hook(panic_hook);
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn a_death_leaves_proxies_without_an_owner_for_a_bounded_time() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, Defect::None);
        world.calm = true;
        world.run_until("the first view", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
        for round in 0..5 {
            let dead = world.leader().filter(|_| round % 2 == 0).unwrap_or(round % 3);
            world.kill(dead);
            world.run_until("a takeover", Nanos::from_millis(200), |world| world.now > Nanos(0));
            for _ in 0..50 {
                world.step();
            }
            world.run_until("a takeover", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
            world.start(dead);
            for _ in 0..300 {
                world.step();
            }
            world.run_until("the return", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
        }
        assert!(world.gaps.iter().all(|gap| *gap < Nanos::from_millis(4_000)), "{:?}", world.gaps);
    }
}

/// Two of five members remain: without a majority none may act, and proxies keep their tables meanwhile.
#[test]
fn a_minority_owns_no_proxies() {
    let mut world = World::new(5, 3, Defect::None);
    world.calm = true;
    world.run_until("the first view", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
    [0, 1, 2].into_iter().for_each(|index| world.kill(index));
    for _ in 0..500 {
        world.step();
    }
    assert_eq!(world.owned(), 0);
    world.start(1);
    world.run_until("a majority again", Nanos::from_millis(8_000), |world| world.owned() == PROXIES);
}

#[test]
fn a_fleet_recovers_from_a_full_stop_in_any_start_order() {
    for seed in 0..6 {
        let mut world = World::new(3, seed, Defect::None);
        world.calm = true;
        world.run_until("the first view", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
        (0..3).for_each(|index| world.kill(index));
        for index in [seed as usize % 3, (seed as usize + 1) % 3, (seed as usize + 2) % 3] {
            (0..20).for_each(|_| world.step());
            world.start(index);
        }
        world.run_until("recovery", Nanos::from_millis(8_000), |world| world.owned() == PROXIES);
    }
}

/// The settings add or remove a member now and then, under random faults.
#[test]
fn voters_change_while_running() {
    let (steps, seeds) = (setting("STEPS", 3_000), setting("SEEDS", 12));
    for seed in 0..seeds {
        let result = catch_unwind(AssertUnwindSafe(|| {
            let mut world = World::new(5, seed, Defect::None);
            let mut configured = vec![0, 1, 2];
            [3, 4].into_iter().for_each(|index| world.kill(index));
            world.clear_stores();
            world.configure_members(&configured);
            (0..3).for_each(|index| world.start(index));
            world.calm = true;
            world.run_until("the first view", Nanos::from_millis(5_000), |world| world.owned() == PROXIES);
            world.calm = false;
            for step in 0..steps {
                world.step();
                if step % 150 == 149 {
                    let index = (seed + step / 150 * 7) as usize % 5;
                    match configured.iter().position(|other| *other == index) {
                        Some(at) if configured.len() > 3 => {
                            configured.remove(at);
                        }
                        Some(_) => {}
                        None => configured.push(index),
                    }
                    world.configure_members(&configured);
                }
            }
            world.end_faults();
            // Removed members are stopped once they are no longer voters, as operators are advised; a leader does not
            // remove itself.
            world.run_until("the change of voters", Nanos::from_millis(20_000), World::voters_match_settings);
            (0..5).filter(|index| !configured.contains(index)).for_each(|index| world.kill(index));
            let settled = |world: &World| world.owned() == PROXIES && world.voters_match_settings();
            world.run_until("recovery", Nanos::from_millis(20_000), settled);
        }));
        result.unwrap_or_else(|_| panic!("seed {seed}"));
    }
}
