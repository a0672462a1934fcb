//! Coordinators that have started of late, on a model of the platform: what they give to proxies before they know much.

mod helpers;
use helpers::invariants::{Violation, MAX_NO_LINE_MS};
use helpers::platform::{Platform, START};

const PROXIES: u16 = 240;

/// All servers have restarted of late, and the list that the coordinator starts with does not know of it.
#[test]
fn proxies_that_join_a_young_coordinator_amid_a_release_keep_a_line_to_pick() {
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
        let bare = platform.checker.longest(Violation::NoLineToAny);
        assert!(bare <= MAX_NO_LINE_MS, "servers {age} ms old: a proxy was bare for {bare} ms");
    }
}

/// Servers have room, and proxies keep coming: levels must follow.
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
