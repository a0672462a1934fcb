//! What happened in the seconds after many proxies came at once, for the log: a coordinator that has just started, or
//! gets the proxies of one that was lost, decides before it has heard anything of them.

use std::collections::BTreeSet;

use craneknot::interface::{Nanos, Order, ProxyId};

const PROXIES_MIN: usize = 8; // proxies that join within a moment of each other: fewer is the usual coming and going
const JOIN_INTERVAL_MAX: Nanos = Nanos::from_millis(500); // ms; between two joinings that belong together
const OBSERVATION_SPAN: Nanos = Nanos::from_millis(10_000); // ms; by then all is bound, acknowledged and reported on

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
    started_at: Nanos,
    last_join_at: Nanos,
    unbound: BTreeSet<ProxyId>,
    takeover: Takeover,
}

/// Watches for takeovers.
#[derive(Default)]
pub struct TakeoverWatch(Option<Current>);

impl TakeoverWatch {
    /// A proxy has joined.
    pub fn proxy_joined(&mut self, now: Nanos, proxy: ProxyId) {
        let is_ended_early = |current: &Current| {
            current.takeover.proxies < PROXIES_MIN && now - current.last_join_at > JOIN_INTERVAL_MAX
        };
        if self.0.as_ref().is_none_or(is_ended_early) {
            self.0 = Some(Current { started_at: now, ..Current::default() });
        }
        let Some(current) = &mut self.0 else { return };
        current.last_join_at = now;
        current.takeover.proxies += usize::from(current.unbound.insert(proxy));
    }

    /// A proxy has left.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        if let Some(current) = &mut self.0 {
            current.unbound.remove(&proxy);
        }
    }

    /// An order was given.
    pub fn ordered(&mut self, now: Nanos, order: &Order) {
        let Some(current) = &mut self.0 else { return };
        let (since, takeover) = (now - current.started_at, &mut current.takeover);
        match order {
            Order::Bind { proxy, .. } if current.unbound.remove(proxy) => {
                takeover.first_bind.get_or_insert(since);
                takeover.last_bind = Some(since);
            }
            Order::Level { level, .. } => {
                takeover.lowest_level =
                    Some(takeover.lowest_level.map_or(*level, |lowest| lowest.min(*level)));
            }
            _ => {}
        }
    }

    /// A proxy has applied what it was sent.
    pub fn applied(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        let since = now - current.started_at;
        current.takeover.first_applied.get_or_insert(since);
        current.takeover.last_applied = Some(since);
    }

    /// A report has come.
    pub fn reported(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        current.takeover.first_report.get_or_insert(now - current.started_at);
    }

    /// The takeover that is over by now, if any; `joined`: proxies joined here in all.
    pub fn finished(&mut self, now: Nanos, joined: usize) -> Option<Takeover> {
        let current = self.0.take_if(|current| now - current.started_at >= OBSERVATION_SPAN)?;
        let unbound = current.unbound.len();
        (current.takeover.proxies >= PROXIES_MIN).then_some(Takeover { joined, unbound, ..current.takeover })
    }
}
