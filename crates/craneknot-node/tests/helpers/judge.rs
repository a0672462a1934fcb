//! Judges what proxies hold, by the platform's rules alone; what coordinators believe is of no account.

use std::collections::BTreeMap;

use super::platform::{Followed, Place, Proxy, CLASSES};
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
    /// No line to pick, though a warm server is listed.
    NoLine,
    /// No line to pick for long, and a warm server is listed by now.
    Bare,
    /// A line to a server that drains or is gone.
    LostServer,
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
                let lacks = table.lines.is_empty() && warm_is_listed(view.now, place);
                let is_bare = table.lines.is_empty()
                    && place.told.values().any(|(server, _)| server.phase == "SERVING");
                let starves = !is_kept && table.levels.get(class).is_some_and(|level| *level < LEVEL_LEAST);
                let checks = [
                    (Break::NoLine, lacks.then_some(from), BARE_MOST),
                    (Break::Bare, is_bare.then_some(from), if lacks { BARE_MOST } else { u64::MAX }),
                    (Break::LostServer, lost_since(&table, place).map(|told| told.max(from)), GRACE),
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
            Break::NoLine | Break::Bare | Break::Unbound | Break::Starved => {
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

fn warm_is_listed(now: u64, place: &Place) -> bool {
    let is_warm = |started: u64| started == 0 || now - started >= WARM_AFTER;
    place.told.values().any(|(server, _)| server.phase == "SERVING" && is_warm(server.started))
}

/// Since when the place has been told that a server of the table drains or is gone.
fn lost_since(table: &Table, place: &Place) -> Option<u64> {
    let lost = |id: &String| {
        place.told.get(id).filter(|(server, _)| server.phase != "SERVING").map(|(_, since)| *since)
    };
    table.lines.keys().filter_map(lost).min()
}
