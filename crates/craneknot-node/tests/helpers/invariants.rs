//! Judges what proxies hold, by the platform's rules alone; what coordinators believe is of no account.

use std::collections::BTreeMap;

use super::platform::{CoordinatorSlot, Followed, Proxy, Server, CLASSES, CONFINED_CLASS};
use super::relay::Table;

pub const MAX_NO_LINE_MS: u64 = 3_100; // ms; the configuration's limit and the platform's slack
const DRAIN_GRACE_MS: u64 = 3_000; // ms; the same of the rule on drains
const MAX_UNBOUND_MS: u64 = 3_100; // ms; of a joining: a proxy that keeps an old table for longer is lost sight of
const WARM_AFTER_MS: u64 = 18_000; // ms; of a server's start
const START_GRACE_MS: u64 = 1_000; // ms; after a coordinator's start no time limit has begun yet
const MIN_LEVEL: f64 = 1.0; // operations a second; a tenth of what comes to each proxy and class
const MAX_LOW_LEVEL_MS: u64 = 2_000; // ms; a report's delay and a turn: by then a level is known to be wrong

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// No line to pick, though a warm server is listed that is open to the class.
    NoLineToWarm,
    /// No line to pick, though a server is listed that is open to the class, cold or warm.
    NoLineToAny,
    /// A line to a server that drains or is gone.
    UnavailableServer,
    /// A line to a server that is closed to the class.
    ForbiddenServer,
    /// Joined, and following a table of a stream that has ended.
    Unbound,
    /// A level of nearly nothing.
    Starved,
}

/// One proxy and class, for as long as a rule was not kept.
#[derive(Clone, Debug)]
pub struct Lapse {
    pub kind: Violation,
    pub proxy: u16,
    pub class: &'static str,
    pub since: u64,
    pub lasted: u64,
}

pub struct PlatformView<'a> {
    pub now: u64,
    pub slots: &'a [CoordinatorSlot],
    pub proxies: &'a [Proxy],
    pub confined_to: &'static str,
}

impl PlatformView<'_> {
    /// Whether a class may run on a server that is listed as ready.
    fn is_open(&self, class: &str, server: &Server) -> bool {
        server.phase == "SERVING" && (class != CONFINED_CLASS || server.zone == self.confined_to)
    }
}

#[derive(Default)]
pub struct InvariantChecker {
    since: BTreeMap<(u16, &'static str, Violation), u64>,
    /// The longest of each kind, whether it breaks a rule or not.
    pub longest: BTreeMap<Violation, Lapse>,
    /// Those that broke a rule.
    pub violations: BTreeMap<(u16, &'static str, Violation), Lapse>,
}

impl InvariantChecker {
    /// A proxy has no stream: nothing is asked of it.
    pub fn proxy_left(&mut self, number: u16) {
        self.since.retain(|(proxy, _, _), _| *proxy != number);
    }

    pub fn check_all(&mut self, view: &PlatformView) {
        for (number, proxy) in view.proxies.iter().enumerate() {
            let Some(slot) = proxy.joined_to else { continue };
            let slot = &view.slots[slot];
            let from = proxy.joined_at.max(slot.started_at + START_GRACE_MS);
            for class in CLASSES {
                let table = proxy.table(class);
                let is_kept = matches!(proxy.followed[class], Followed::Kept(_));
                let known = || slot.known_servers.values().map(|(server, _)| server);
                let open = || known().filter(|server| view.is_open(class, server));
                let is_empty = !table.lines.keys().any(|id| is_line(view, class, slot, id));
                let lacks_warm = is_empty && open().any(|server| is_warm(view.now, server));
                let lacks_any = is_empty && open().next().is_some();
                let is_starved = !is_kept && table.levels.get(class).is_some_and(|level| *level < MIN_LEVEL);
                let checks = [
                    (Violation::NoLineToWarm, lacks_warm.then_some(from), MAX_NO_LINE_MS),
                    (Violation::NoLineToAny, lacks_any.then_some(from), MAX_NO_LINE_MS),
                    (
                        Violation::UnavailableServer,
                        lost_since(&table, slot).map(|since| since.max(from)),
                        DRAIN_GRACE_MS,
                    ),
                    (
                        Violation::ForbiddenServer,
                        (!is_kept && is_crossing(view, class, slot, &table)).then_some(from),
                        0,
                    ),
                    (Violation::Unbound, is_kept.then_some(from), MAX_UNBOUND_MS),
                    (Violation::Starved, is_starved.then_some(from), MAX_LOW_LEVEL_MS),
                ];
                for (kind, not_before, limit) in checks {
                    self.check(view.now, (number as u16, class, kind), not_before, limit);
                }
            }
        }
    }

    fn check(&mut self, now: u64, key: (u16, &'static str, Violation), not_before: Option<u64>, limit: u64) {
        let Some(not_before) = not_before else {
            self.since.remove(&key);
            return;
        };
        // A line to a lost server counts from when its loss was told; all else from when it was first seen.
        let since = match key.2 {
            Violation::UnavailableServer => not_before,
            Violation::NoLineToWarm
            | Violation::NoLineToAny
            | Violation::ForbiddenServer
            | Violation::Unbound
            | Violation::Starved => (*self.since.entry(key).or_insert(now)).max(not_before),
        };
        let (proxy, class, kind) = key;
        let lapse = Lapse { kind, proxy, class, since, lasted: now.saturating_sub(since) };
        if self.longest.get(&kind).is_none_or(|longest| longest.lasted < lapse.lasted) {
            self.longest.insert(kind, lapse.clone());
        }
        if lapse.lasted > limit {
            self.violations.insert(key, lapse);
        }
    }

    /// The longest of a kind, in ms.
    pub fn longest(&self, kind: Violation) -> u64 {
        self.longest.get(&kind).map_or(0, |lapse| lapse.lasted)
    }
}

fn is_warm(now: u64, server: &Server) -> bool {
    server.started == 0 || now.saturating_sub(server.started) >= WARM_AFTER_MS
}

/// Whether the class may be sent to a server of its table.
fn is_line(view: &PlatformView, class: &str, slot: &CoordinatorSlot, id: &str) -> bool {
    slot.known_servers.get(id).is_some_and(|(server, _)| view.is_open(class, server))
}

/// Whether a table sends the class to a zone that it is closed to.
fn is_crossing(view: &PlatformView, class: &str, slot: &CoordinatorSlot, table: &Table) -> bool {
    let zone_of = |id: &String| slot.known_servers.get(id).map(|(server, _)| server.zone);
    class == CONFINED_CLASS && table.lines.keys().filter_map(zone_of).any(|zone| zone != view.confined_to)
}

/// Since when the slot has been told that a server of the table drains or is gone.
fn lost_since(table: &Table, slot: &CoordinatorSlot) -> Option<u64> {
    let lost = |id: &String| {
        slot.known_servers.get(id).filter(|(server, _)| server.phase != "SERVING").map(|(_, since)| *since)
    };
    table.lines.keys().filter_map(lost).min()
}
