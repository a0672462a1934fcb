//! Checks the tables that proxies hold against the platform's rules, independently of the coordinators' own
//! state.

use std::collections::BTreeMap;

use super::platform::{CoordinatorSlot, Followed, Proxy, Server, CLASSES, CONFINED_CLASS};
use super::relay::Table;

pub const MAX_NO_LINE_MS: u64 = 3_100; // the configuration's limit plus the platform's tolerance
const DRAIN_GRACE_MS: u64 = 3_000; // the same for the rule on draining servers
const MAX_UNBOUND_MS: u64 = 3_100; // after joining: a proxy with an old table by then was overlooked
const WARM_AFTER_MS: u64 = 18_000; // after a server's start
const START_GRACE_MS: u64 = 1_000; // after a coordinator's start, during which no time limit runs
const MIN_LEVEL: f64 = 1.0; // operations a second; a tenth of the demand at each proxy and class
const MAX_LOW_LEVEL_MS: u64 = 2_000; // a report's delay and a turn: a wrong level is detected by then

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// No usable line, though a warm server that the class may use is listed.
    NoLineToWarm,
    /// No usable line, though a server that the class may use is listed, cold or warm.
    NoLineToAny,
    /// A line to a server that drains or was removed.
    UnavailableServer,
    /// A line to a server that the class may not use.
    ForbiddenServer,
    /// The proxy has joined, but still uses a table of an earlier stream.
    Unbound,
    /// A level near zero.
    Starved,
}

/// A period in which one proxy and class did not meet a rule.
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
    fn is_allowed(&self, class: &str, server: &Server) -> bool {
        server.phase == "SERVING" && (class != CONFINED_CLASS || server.zone == self.confined_to)
    }
}

#[derive(Default)]
pub struct InvariantChecker {
    since: BTreeMap<(u16, &'static str, Violation), u64>,
    /// The longest lapse of each kind, whether within its limit or not.
    pub longest: BTreeMap<Violation, Lapse>,
    /// The lapses that exceeded their limits.
    pub violations: BTreeMap<(u16, &'static str, Violation), Lapse>,
}

impl InvariantChecker {
    /// A proxy's stream has ended: no rule applies to it.
    pub fn proxy_left(&mut self, number: u16) {
        self.since.retain(|(proxy, _, _), _| *proxy != number);
    }

    pub fn check_all(&mut self, view: &PlatformView) {
        for (number, proxy) in view.proxies.iter().enumerate() {
            let Some(slot) = proxy.joined_to else { continue };
            let slot = &view.slots[slot];
            let rules_apply_from = proxy.joined_at.max(slot.started_at + START_GRACE_MS);
            for class in CLASSES {
                let table = proxy.table(class);
                let uses_old_table = matches!(proxy.followed[class], Followed::Kept(_));
                let known = || slot.known_servers.values().map(|(server, _)| server);
                let allowed = || known().filter(|server| view.is_allowed(class, server));
                let has_no_line = !table.lines.keys().any(|id| is_usable_line(view, class, slot, id));
                let lacks_warm = has_no_line && allowed().any(|server| is_warm(view.now, server));
                let lacks_any = has_no_line && allowed().next().is_some();
                let is_starved =
                    !uses_old_table && table.levels.get(class).is_some_and(|level| *level < MIN_LEVEL);
                let checks = [
                    (Violation::NoLineToWarm, lacks_warm.then_some(rules_apply_from), MAX_NO_LINE_MS),
                    (Violation::NoLineToAny, lacks_any.then_some(rules_apply_from), MAX_NO_LINE_MS),
                    (
                        Violation::UnavailableServer,
                        unavailable_since(&table, slot).map(|since| since.max(rules_apply_from)),
                        DRAIN_GRACE_MS,
                    ),
                    (
                        Violation::ForbiddenServer,
                        (!uses_old_table && is_crossing(view, class, slot, &table))
                            .then_some(rules_apply_from),
                        0,
                    ),
                    (Violation::Unbound, uses_old_table.then_some(rules_apply_from), MAX_UNBOUND_MS),
                    (Violation::Starved, is_starved.then_some(rules_apply_from), MAX_LOW_LEVEL_MS),
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
        // A line to an unavailable server counts from when discovery reported the server's state to the
        // coordinator; all else from when it was first observed.
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

    /// Duration of the longest lapse of a kind, in ms.
    pub fn longest(&self, kind: Violation) -> u64 {
        self.longest.get(&kind).map_or(0, |lapse| lapse.lasted)
    }
}

fn is_warm(now: u64, server: &Server) -> bool {
    server.started == 0 || now.saturating_sub(server.started) >= WARM_AFTER_MS
}

/// Whether a line of the class's table is usable.
fn is_usable_line(view: &PlatformView, class: &str, slot: &CoordinatorSlot, id: &str) -> bool {
    slot.known_servers.get(id).is_some_and(|(server, _)| view.is_allowed(class, server))
}

/// Whether a table sends the confined class to another zone.
fn is_crossing(view: &PlatformView, class: &str, slot: &CoordinatorSlot, table: &Table) -> bool {
    let zone_of = |id: &String| slot.known_servers.get(id).map(|(server, _)| server.zone);
    class == CONFINED_CLASS && table.lines.keys().filter_map(zone_of).any(|zone| zone != view.confined_to)
}

/// Since when the coordinator has known that a server of the table drains or was removed.
fn unavailable_since(table: &Table, slot: &CoordinatorSlot) -> Option<u64> {
    let unavailable = |id: &String| {
        slot.known_servers.get(id).filter(|(server, _)| server.phase != "SERVING").map(|(_, since)| *since)
    };
    table.lines.keys().filter_map(unavailable).min()
}
