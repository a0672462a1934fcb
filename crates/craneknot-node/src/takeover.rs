//! Summarises for the log the seconds after many proxies joined at once. A coordinator that has just started,
//! or takes over the proxies of a lost one, decides before it has received any report on them.

use std::collections::BTreeSet;

use craneknot::interface::{Nanos, Order, ProxyId};

const MIN_PROXIES: usize = 8; // proxies that join within a short time; fewer occur in normal operation
const MAX_JOIN_INTERVAL: Nanos = Nanos::from_millis(500); // between two joins of the same takeover
/// By then all proxies are bound and have acknowledged, and reports have arrived.
const OBSERVATION_SPAN: Nanos = Nanos::from_millis(10_000);

/// One takeover, logged when it is over. Times are measured from the first join.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeover {
    /// Number of proxies that joined.
    pub proxies: usize,
    /// Number of proxies joined to this coordinator at the end.
    pub joined: usize,
    /// Until the first and the last of them was bound.
    pub first_bind: Option<Nanos>,
    pub last_bind: Option<Nanos>,
    /// Until the first and the last acknowledgement of a mark.
    pub first_applied: Option<Nanos>,
    pub last_applied: Option<Nanos>,
    /// Until the first report of any kind; `None`: none arrived.
    pub first_report: Option<Nanos>,
    /// Number of those that joined and were never bound.
    pub unbound: usize,
    /// The lowest level ordered in the meantime.
    pub lowest_level: Option<f64>,
}

#[derive(Default)]
struct Current {
    started_at: Nanos,
    last_join_at: Nanos,
    unbound: BTreeSet<ProxyId>,
    takeover: Takeover,
}

/// Detects takeovers.
#[derive(Default)]
pub struct TakeoverWatch(Option<Current>);

impl TakeoverWatch {
    /// A proxy has joined.
    pub fn proxy_joined(&mut self, now: Nanos, proxy: ProxyId) {
        let is_over = |current: &Current| {
            current.takeover.proxies < MIN_PROXIES && now - current.last_join_at > MAX_JOIN_INTERVAL
        };
        if self.0.as_ref().is_none_or(is_over) {
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

    /// A proxy has applied its orders up to a mark.
    pub fn applied(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        let since = now - current.started_at;
        current.takeover.first_applied.get_or_insert(since);
        current.takeover.last_applied = Some(since);
    }

    /// A report has arrived.
    pub fn reported(&mut self, now: Nanos) {
        let Some(current) = &mut self.0 else { return };
        current.takeover.first_report.get_or_insert(now - current.started_at);
    }

    /// Returns the takeover that has ended by now, if any. `joined`: number of proxies joined to this
    /// coordinator.
    pub fn finished(&mut self, now: Nanos, joined: usize) -> Option<Takeover> {
        let current = self.0.take_if(|current| now - current.started_at >= OBSERVATION_SPAN)?;
        let unbound = current.unbound.len();
        (current.takeover.proxies >= MIN_PROXIES).then_some(Takeover { joined, unbound, ..current.takeover })
    }
}
