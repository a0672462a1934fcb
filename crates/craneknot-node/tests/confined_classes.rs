//! A class that may run in one zone only, on a model of the platform. While the servers of that zone restart,
//! drain or fail, each proxy must have a line to a listed server, cold or warm.

mod helpers;
use helpers::invariants::Violation;
use helpers::platform::{Platform, START};

const PROXIES: u16 = 60;
const ZONE: &str = "b";
const ZONE_SERVERS: std::ops::Range<usize> = 20..30;
const RESTART: u64 = 8_000; // ms; when the zone's servers restart
const RULES: &[Violation] = &[
    Violation::NoLineToWarm,
    Violation::NoLineToAny,
    Violation::UnavailableServer,
    Violation::Unbound,
    Violation::ForbiddenServer,
];

/// Three coordinators that have run for some seconds; one class is confined to the second zone.
fn platform(seed: u64) -> Platform {
    let mut platform = Platform::new(seed, 3, PROXIES, (20, 10));
    platform.confined_to = ZONE;
    let list = platform.list();
    (0..3).for_each(|place| platform.start(place, &list, 1));
    platform.run_to(500);
    (0..PROXIES).for_each(|proxy| platform.join(proxy, usize::from(proxy % 3)));
    platform
}

fn server(number: usize) -> String {
    format!("s-{number}")
}

fn restart(platform: &mut Platform, number: usize) {
    let started = Some(platform.now);
    platform.set_server(&server(number), "SERVING", started);
}

fn check(platform: &Platform, case: &str) {
    let checker = &platform.checker;
    let violations: Vec<_> =
        checker.violations.values().filter(|lapse| RULES.contains(&lapse.kind)).collect();
    let first: Vec<_> = violations.iter().take(3).collect();
    assert!(violations.is_empty(), "{case}: {} lapses, {first:?}", violations.len());
}

#[test]
fn a_class_whose_only_zone_restarts_at_once_keeps_a_usable_line() {
    let mut platform = platform(1);
    platform.run_to(RESTART);
    ZONE_SERVERS.for_each(|number| restart(&mut platform, number));
    platform.run_to(RESTART + 20_000);
    check(&platform, "all at once");
}

#[test]
fn a_class_whose_only_zone_is_removed_and_returns_cold_keeps_a_usable_line() {
    let mut platform = platform(2);
    platform.run_to(RESTART);
    ZONE_SERVERS.for_each(|number| platform.set_server(&server(number), "DELETED", None));
    platform.run_to(RESTART + 5_000);
    ZONE_SERVERS.for_each(|number| restart(&mut platform, number));
    platform.run_to(RESTART + 25_000);
    check(&platform, "removed for five seconds");
}

#[test]
fn a_class_whose_only_zone_restarts_in_waves_keeps_a_usable_line() {
    for (wave, pause) in [(1, 400), (3, 1_000), (5, 3_000)] {
        let mut platform = platform(3);
        for (step, numbers) in ZONE_SERVERS.collect::<Vec<_>>().chunks(wave).enumerate() {
            platform.run_to(RESTART + pause * step as u64);
            numbers.iter().for_each(|number| platform.set_server(&server(*number), "DRAINING", None));
            platform.run_to(RESTART + pause * step as u64 + pause / 2);
            numbers.iter().for_each(|number| restart(&mut platform, *number));
        }
        platform.run_to(RESTART + 25_000);
        check(&platform, &format!("{wave} each {pause} ms"));
    }
}

#[test]
fn proxies_that_join_a_coordinator_that_starts_along_with_the_zone_keep_a_usable_line() {
    for (delay, is_known) in [(0, true), (0, false), (3_000, true), (3_000, false), (6_000, true)] {
        let mut platform = platform(4);
        let old = (platform.list(), platform.revision);
        platform.run_to(RESTART);
        platform.kill(1);
        ZONE_SERVERS.for_each(|number| restart(&mut platform, number));
        platform.run_to(RESTART + delay);
        let known = if is_known { (platform.list(), platform.revision) } else { old };
        platform.start(1, &known.0, known.1);
        platform.run_to(RESTART + delay + 500);
        (0..PROXIES).for_each(|proxy| platform.join(proxy, 1));
        platform.run_to(RESTART + 25_000);
        check(&platform, &format!("started {delay} ms later, with the newest list: {is_known}"));
    }
}

#[test]
fn a_zone_that_restarts_while_the_list_lags_leaves_no_proxy_without_a_line() {
    for silent in [1_000, 3_000, 5_500] {
        let mut platform = platform(5);
        platform.run_to(RESTART);
        let until = platform.now + silent;
        platform.slots.iter_mut().for_each(|place| place.faults.list_silent = until);
        ZONE_SERVERS.for_each(|number| restart(&mut platform, number));
        platform.run_to(RESTART + 25_000);
        check(&platform, &format!("the list is silent for {silent} ms"));
    }
}

#[test]
fn a_table_whose_last_warm_server_drains_gets_lines_to_cold_ones_at_once() {
    for gap in [0, 500, 2_500] {
        let mut platform = platform(6);
        platform.run_to(RESTART);
        let (last, others) = (ZONE_SERVERS.start, ZONE_SERVERS.start + 1..ZONE_SERVERS.end);
        others.for_each(|number| restart(&mut platform, number));
        platform.run_to(RESTART + gap);
        platform.set_server(&server(last), "DRAINING", None);
        platform.run_to(RESTART + 25_000);
        check(&platform, &format!("drains {gap} ms after the others start"));
    }
}

#[test]
fn a_class_with_one_server_that_restarts_keeps_a_usable_line() {
    let mut platform = Platform::new(7, 1, PROXIES, (29, 1));
    platform.confined_to = ZONE;
    let list = platform.list();
    platform.start(0, &list, 1);
    platform.run_to(500);
    (0..PROXIES).for_each(|proxy| platform.join(proxy, 0));
    platform.run_to(RESTART);
    restart(&mut platform, 29);
    platform.run_to(RESTART + 25_000);
    check(&platform, "one server");
}

#[test]
fn a_zone_that_restarts_with_a_wall_clock_an_hour_off_leaves_no_proxy_without_a_line() {
    const HOUR: u64 = 3_600_000;
    for reported in [START - HOUR, START + HOUR] {
        let mut platform = platform(8);
        platform.run_to(RESTART);
        for number in ZONE_SERVERS {
            platform.set_server(&server(number), "SERVING", Some(reported + RESTART));
        }
        platform.run_to(RESTART + 25_000);
        check(&platform, &format!("starts reported as {reported}"));
    }
}
