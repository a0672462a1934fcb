//! What happened in the seconds after many proxies came at once, for the log: a coordinator that has just started, or
//! gets the proxies of one that was lost, decides before it has heard anything of them.

use std::collections::BTreeSet;

use craneknot::interface::{Nanos, Order, ProxyId};

const MANY: usize = 8; // proxies that join within a moment of each other: fewer is the usual coming and going
const TOGETHER: Nanos = Nanos::from_millis(500); // ms; between two joinings that belong together
const WATCHED: Nanos = Nanos::from_millis(10_000); // ms; by then all is bound, acknowledged and reported on

/// One takeover, told when it is over. Times are spans since the first proxy joined.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeover {
    /// Proxies that joined.
    pub proxies: usize,
    /// Proxies joined here in all, at the end.
    pub joined: usize,
    /// Until the first and the last of them was bound.
    pub first_bind: Option<Nanos>,
    pub last_bind: Option<Nanos>,
    /// Until the first and the last acknowledgement of a mark.
    pub first_applied: Option<Nanos>,
    pub last_applied: Option<Nanos>,
    /// Until the first report of any kind; nothing: none came.
    pub first_report: Option<Nanos>,
    /// Of those that joined and were never bound.
    pub unbound: usize,
    /// The lowest level ordered meanwhile.
    pub lowest_level: Option<f64>,
}

#[derive(Default)]
struct Current {
    since: Nanos,
    last_join: Nanos,
    waiting: BTreeSet<ProxyId>,
    told: Takeover,
}

/// Watches for takeovers.
#[derive(Default)]
pub struct TakeoverWatch(Option<Current>);

impl TakeoverWatch {
    /// A proxy has joined.
    pub fn joined(&mut self, now: Nanos, proxy: ProxyId) {
        let few = |current: &Current| current.told.proxies < MANY && now - current.last_join > TOGETHER;
        if self.0.as_ref().is_none_or(few) {
            self.0 = Some(Current { since: now, ..Current::default() });
        }
        let Some(current) = &mut self.0 else { return };
        current.last_join = now;
        current.told.proxies += usize::from(current.waiting.insert(proxy));
    }

    /// A proxy has left.
    pub fn left(&mut self, proxy: ProxyId) {
        if let Some(current) = &mut self.0 {
            current.waiting.remove(&proxy);
        }
    }

    /// An order was given.
    pub fn ordered(&mut self, now: Nanos, order: &Order) {
        let Some(current) = &mut self.0 else { return };
        let (since, told) = (now - current.since, &mut current.told);
        match order {
            Order::Bind { proxy, .. } if current.waiting.remove(proxy) => {
                told.first_bind.get_or_insert(since);
                told.last_bind = Some(since);
            }
            Order::Level { level, .. } => {
                told.lowest_level = Some(told.lowest_level.map_or(*level, |lowest| lowest.min(*level)));
            }
            _ => {}
        }
    }

    /// A proxy has applied what it was sent.
    pub fn applied(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        let since = now - current.since;
        current.told.first_applied.get_or_insert(since);
        current.told.last_applied = Some(since);
    }

    /// A report has come.
    pub fn reported(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        current.told.first_report.get_or_insert(now - current.since);
    }

    /// The takeover that is over by now, if any; `joined`: proxies joined here in all.
    pub fn finished(&mut self, now: Nanos, joined: usize) -> Option<Takeover> {
        let current = self.0.take_if(|current| now - current.since >= WATCHED)?;
        let unbound = current.waiting.len();
        (current.told.proxies >= MANY).then_some(Takeover { joined, unbound, ..current.told })
    }
}
