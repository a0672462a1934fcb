//! Seeded random walks of the whole fleet machine, and planted faults that these must find.
//!
//! `STEPS=2000000 SEEDS=1 cargo test --release -p craneknot-fleet --test random` walks further; a failure names its seed.

#[allow(dead_code)]
mod world;

use std::panic::{catch_unwind, AssertUnwindSafe};

use craneknot::interface::Nanos;
use world::{Flaw, World, PROXIES};

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Walks, then ends all troubles: the fleet must come together again.
fn walk(count: usize, seed: u64, steps: u64, flaw: Flaw) -> World {
    let mut world = World::new(count, seed, flaw);
    for _ in 0..steps {
        world.step();
    }
    world.calm_down();
    world.run_until("coming together again", Nanos::from_millis(20_000), |world| world.covered() == PROXIES);
    world
}

#[test]
fn at_no_step_are_two_in_charge_and_nothing_certain_changes() {
    let (steps, seeds) = (setting("STEPS", 3_000), setting("SEEDS", 12));
    let (mut orders, mut refused) = (0, 0);
    for count in [3, 5] {
        for seed in 0..seeds {
            let walked = catch_unwind(AssertUnwindSafe(|| walk(count, seed, steps, Flaw::None)));
            let world = walked.unwrap_or_else(|_| panic!("{count} members, seed {seed}"));
            orders += world.agents.iter().map(|agent| agent.orders).sum::<u64>();
            refused += world.agents.iter().map(|agent| agent.refused).sum::<u64>();
        }
    }
    assert!(orders > 5_000 && refused > 10, "too little happened: {orders} orders, {refused} refused");
}

/// Each planted fault must be found by one of the checks within so many walks.
#[test]
fn every_planted_fault_is_found() {
    let silent = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let mut missed = Vec::new();
    for flaw in [
        Flaw::VoteNotSaved,
        Flaw::LogNotSaved,
        Flaw::SentBeforeSaved,
        Flaw::EpochForgotten,
        Flaw::WrongClock,
        Flaw::LongLease,
        Flaw::HastyVoter,
        Flaw::OldCopy,
    ] {
        let found =
            (0..200).find(|seed| catch_unwind(AssertUnwindSafe(|| walk(3, *seed, 6_000, flaw))).is_err());
        match found {
            Some(seed) => println!("{flaw:?} found by seed {seed}"),
            None => missed.push(flaw),
        }
    }
    std::panic::set_hook(silent);
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn a_death_leaves_proxies_without_charge_for_a_bounded_time() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, Flaw::None);
        world.calm = true;
        world.run_until("the first view", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
        for round in 0..5 {
            let dead = world.leader().filter(|_| round % 2 == 0).unwrap_or(round % 3);
            world.kill(dead);
            world.run_until("a takeover", Nanos::from_millis(200), |world| world.now > Nanos(0));
            for _ in 0..50 {
                world.step();
            }
            world.run_until("a takeover", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
            world.start(dead);
            for _ in 0..300 {
                world.step();
            }
            world.run_until("taking back", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
        }
        assert!(world.gaps.iter().all(|gap| *gap < Nanos::from_millis(4_000)), "{:?}", world.gaps);
    }
}

/// Two of five stay: no majority, so no one may act; what proxies hold stands meanwhile.
#[test]
fn a_minority_acts_on_nothing() {
    let mut world = World::new(5, 3, Flaw::None);
    world.calm = true;
    world.run_until("the first view", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
    [0, 1, 2].into_iter().for_each(|place| world.kill(place));
    for _ in 0..500 {
        world.step();
    }
    assert_eq!(world.covered(), 0);
    world.start(1);
    world.run_until("a majority again", Nanos::from_millis(8_000), |world| world.covered() == PROXIES);
}

#[test]
fn all_killed_at_once_come_back_in_any_order() {
    for seed in 0..6 {
        let mut world = World::new(3, seed, Flaw::None);
        world.calm = true;
        world.run_until("the first view", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
        (0..3).for_each(|place| world.kill(place));
        for place in [seed as usize % 3, (seed as usize + 1) % 3, (seed as usize + 2) % 3] {
            (0..20).for_each(|_| world.step());
            world.start(place);
        }
        world.run_until("coming back", Nanos::from_millis(8_000), |world| world.covered() == PROXIES);
    }
}

/// Settings name one more or one fewer now and then, amid all troubles.
#[test]
fn voters_change_in_service() {
    let (steps, seeds) = (setting("STEPS", 3_000), setting("SEEDS", 12));
    for seed in 0..seeds {
        let walked = catch_unwind(AssertUnwindSafe(|| {
            let mut world = World::new(5, seed, Flaw::None);
            let mut named = vec![0, 1, 2];
            [3, 4].into_iter().for_each(|place| world.kill(place));
            world.forget_lives();
            world.rename(&named);
            (0..3).for_each(|place| world.start(place));
            world.calm = true;
            world.run_until("the first view", Nanos::from_millis(5_000), |world| world.covered() == PROXIES);
            world.calm = false;
            for step in 0..steps {
                world.step();
                if step % 150 == 149 {
                    let place = (seed + step / 150 * 7) as usize % 5;
                    match named.iter().position(|other| *other == place) {
                        Some(at) if named.len() > 3 => {
                            named.remove(at);
                        }
                        Some(_) => {}
                        None => named.push(place),
                    }
                    world.rename(&named);
                }
            }
            world.calm_down();
            // Those that are no longer named are ended once the others vote without them, as operators are told; one
            // that leads does not leave itself out.
            world.run_until("voting as named", Nanos::from_millis(20_000), World::votes_as_named);
            (0..5).filter(|place| !named.contains(place)).for_each(|place| world.kill(place));
            let settled = |world: &World| world.covered() == PROXIES && world.votes_as_named();
            world.run_until("settling", Nanos::from_millis(20_000), settled);
        }));
        walked.unwrap_or_else(|_| panic!("seed {seed}"));
    }
}
