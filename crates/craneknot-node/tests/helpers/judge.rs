//! Judges what proxies hold, by the platform's rules alone; what coordinators believe is of no account.

use std::collections::BTreeMap;

use super::platform::{Followed, Place, Proxy, Server, CLASSES, CONFINED_CLASS};
use super::relay::Table;

pub const BARE_MOST: u64 = 3_100; // ms; the configuration's limit and the platform's slack
const GRACE: u64 = 3_000; // ms; the same of the rule on drains
const BOUND_WITHIN: u64 = 3_100; // ms; of a joining: a proxy that keeps an old table for longer is lost sight of
const WARM_AFTER: u64 = 18_000; // ms; of a server's start
const FIRST: u64 = 1_000; // ms; after a coordinator's start no time limit has begun yet
const LEVEL_LEAST: f64 = 1.0; // operations a second; a tenth of what comes to each proxy and class
const LEVEL_WITHIN: u64 = 2_000; // ms; a report's delay and a turn: by then a level is known to be wrong

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Break {
    /// No line to pick, though a warm server is listed that is open to the class.
    NoLine,
    /// No line to pick, though a server is listed that is open to the class, cold or warm.
    Bare,
    /// A line to a server that drains or is gone.
    LostServer,
    /// A line to a server that is closed to the class.
    ClosedServer,
    /// Joined, and following a table of a stream that has ended.
    Unbound,
    /// A level of nearly nothing.
    Starved,
}

/// One proxy and class, for as long as a rule was not kept.
#[derive(Clone, Debug)]
pub struct Lapse {
    pub kind: Break,
    pub proxy: u16,
    pub class: &'static str,
    pub since: u64,
    pub lasted: u64,
}

pub struct View<'a> {
    pub now: u64,
    pub places: &'a [Place],
    pub proxies: &'a [Proxy],
    pub confined_to: &'static str,
}

impl View<'_> {
    /// Whether a class may run on a server that is listed as ready.
    fn is_open(&self, class: &str, server: &Server) -> bool {
        server.phase == "SERVING" && (class != CONFINED_CLASS || server.zone == self.confined_to)
    }
}

#[derive(Default)]
pub struct Judge {
    since: BTreeMap<(u16, &'static str, Break), u64>,
    /// The longest of each kind, whether it breaks a rule or not.
    pub longest: BTreeMap<Break, Lapse>,
    /// Those that broke a rule.
    pub broken: BTreeMap<(u16, &'static str, Break), Lapse>,
}

impl Judge {
    /// A proxy has no stream: nothing is asked of it.
    pub fn left(&mut self, number: u16) {
        self.since.retain(|(proxy, _, _), _| *proxy != number);
    }

    pub fn look(&mut self, view: &View) {
        for (number, proxy) in view.proxies.iter().enumerate() {
            let Some(place) = proxy.joined_to else { continue };
            let place = &view.places[place];
            let from = proxy.joined_at.max(place.born + FIRST);
            for class in CLASSES {
                let table = proxy.table(class);
                let is_kept = matches!(proxy.followed[class], Followed::Kept(_));
                let told = || place.told.values().map(|(server, _)| server);
                let open = || told().filter(|server| view.is_open(class, server));
                let is_empty = !table.lines.keys().any(|id| is_line(view, class, place, id));
                let lacks = is_empty && open().any(|server| is_warm(view.now, server));
                let is_bare = is_empty && open().next().is_some();
                let starves = !is_kept && table.levels.get(class).is_some_and(|level| *level < LEVEL_LEAST);
                let checks = [
                    (Break::NoLine, lacks.then_some(from), BARE_MOST),
                    (Break::Bare, is_bare.then_some(from), BARE_MOST),
                    (Break::LostServer, lost_since(&table, place).map(|told| told.max(from)), GRACE),
                    (
                        Break::ClosedServer,
                        (!is_kept && is_crossing(view, class, place, &table)).then_some(from),
                        0,
                    ),
                    (Break::Unbound, is_kept.then_some(from), BOUND_WITHIN),
                    (Break::Starved, starves.then_some(from), LEVEL_WITHIN),
                ];
                for (kind, not_before, most) in checks {
                    self.check(view.now, (number as u16, class, kind), not_before, most);
                }
            }
        }
    }

    fn check(&mut self, now: u64, key: (u16, &'static str, Break), not_before: Option<u64>, most: u64) {
        let Some(not_before) = not_before else {
            self.since.remove(&key);
            return;
        };
        // A line to a lost server counts from when its loss was told; all else from when it was first seen.
        let since = match key.2 {
            Break::LostServer => not_before,
            Break::NoLine | Break::Bare | Break::ClosedServer | Break::Unbound | Break::Starved => {
                (*self.since.entry(key).or_insert(now)).max(not_before)
            }
        };
        let (proxy, class, kind) = key;
        let lapse = Lapse { kind, proxy, class, since, lasted: now.saturating_sub(since) };
        if self.longest.get(&kind).is_none_or(|longest| longest.lasted < lapse.lasted) {
            self.longest.insert(kind, lapse.clone());
        }
        if lapse.lasted > most {
            self.broken.insert(key, lapse);
        }
    }

    /// The longest of a kind, in ms.
    pub fn longest(&self, kind: Break) -> u64 {
        self.longest.get(&kind).map_or(0, |lapse| lapse.lasted)
    }
}

fn is_warm(now: u64, server: &Server) -> bool {
    server.started == 0 || now.saturating_sub(server.started) >= WARM_AFTER
}

/// Whether the class may be sent to a server of its table.
fn is_line(view: &View, class: &str, place: &Place, id: &str) -> bool {
    place.told.get(id).is_some_and(|(server, _)| view.is_open(class, server))
}

/// Whether a table sends the class to a zone that it is closed to.
fn is_crossing(view: &View, class: &str, place: &Place, table: &Table) -> bool {
    let zone_of = |id: &String| place.told.get(id).map(|(server, _)| server.zone);
    class == CONFINED_CLASS && table.lines.keys().filter_map(zone_of).any(|zone| zone != view.confined_to)
}

/// Since when the place has been told that a server of the table drains or is gone.
fn lost_since(table: &Table, place: &Place) -> Option<u64> {
    let lost = |id: &String| {
        place.told.get(id).filter(|(server, _)| server.phase != "SERVING").map(|(_, since)| *since)
    };
    table.lines.keys().filter_map(lost).min()
}
