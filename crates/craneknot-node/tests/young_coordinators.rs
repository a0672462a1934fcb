//! Recently started coordinators on a model of the platform: the tables and levels that they give to proxies
//! while they have few reports.

mod helpers;
use helpers::invariants::{Violation, MAX_NO_LINE_MS};
use helpers::platform::{Platform, START};

const PROXIES: u16 = 240;

/// All servers have restarted recently, and the coordinator starts with a list from before these restarts.
#[test]
fn proxies_that_join_a_new_coordinator_during_a_release_keep_a_usable_line() {
    for age in [4_000, 9_000, 12_500] {
        let mut platform = Platform::new(1, 1, PROXIES, (20, 10));
        let old = platform.list();
        for id in old.keys() {
            platform.set_server(id, "SERVING", Some(START - age));
        }
        platform.run_to(500);
        platform.start(0, &old, 1);
        platform.run_to(1_000);
        (0..PROXIES).for_each(|proxy| platform.join(proxy, 0));
        platform.run_to(20_000);
        let longest = platform.checker.longest(Violation::NoLineToAny);
        assert!(longest <= MAX_NO_LINE_MS, "servers {age} ms old: a proxy had no line for {longest} ms");
    }
}

/// While proxies join one by one and servers have spare capacity, the levels must keep up.
#[test]
fn proxies_that_come_one_by_one_are_let_in() {
    for span in [100, 1_000, 4_000, 12_000] {
        let mut platform = Platform::new(1, 2, PROXIES, (20, 10));
        let list = platform.list();
        platform.start(0, &list, 1);
        platform.run_to(500);
        for proxy in 0..PROXIES {
            platform.run_to(1_000 + span * u64::from(proxy) / u64::from(PROXIES));
            platform.join(proxy, 0);
        }
        platform.run_to(20_000);
        let starved = platform.checker.violations.values().find(|lapse| lapse.kind == Violation::Starved);
        assert!(starved.is_none(), "joined within {span} ms: {:?}", platform.checker.longest);
    }
}
