//! Shared tables, as far as the controller knows what proxies hold, and orders that were refused.

use std::collections::BTreeMap;

use crate::interface::*;

/// What an order sets: a later order with the same subject replaces it entirely.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Line(TableId, ServerId),
    Bind(ProxyId),
    Level(TableId, ClassSet),
}

impl Subject {
    /// The subject of an order to proxies; `None` for any other order.
    pub fn of(order: &Order) -> Option<Self> {
        match order {
            Order::Line { table, server, .. } => Some(Subject::Line(*table, server.clone())),
            Order::Bind { proxy, .. } => Some(Subject::Bind(*proxy)),
            Order::Level { table, classes, .. } => Some(Subject::Level(*table, *classes)),
            Order::Mark { .. } | Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
        }
    }
}

/// An order that was refused, once or several times in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Number of refusals in a row.
    pub count: u32,
    /// The order is not sent again before this time.
    pub retry_at: Nanos,
}

/// A shared table as proxies hold it.
#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<ServerId, f64>,
    pub levels: BTreeMap<usize, (f64, Retries)>,
}

impl Table {
    /// The wanted lines whose weight differs from the current one by more than a share of the latter, and the
    /// lines to remove, with weight 0.
    pub fn changes(&self, wanted: &BTreeMap<ServerId, f64>, min_change: f64) -> Vec<(ServerId, f64)> {
        let current = |id: &ServerId| self.lines.get(id).copied().unwrap_or(0.0);
        let changed =
            wanted.iter().filter(|(id, weight)| (**weight - current(id)).abs() > min_change * current(id));
        let removed = self.lines.keys().filter(|id| !wanted.contains_key(*id));
        changed.map(|(id, weight)| (id.clone(), *weight)).chain(removed.map(|id| (id.clone(), 0.0))).collect()
    }

    /// Its lines without those of lost servers.
    pub fn without(&self, is_lost: impl Fn(&ServerId) -> bool) -> BTreeMap<ServerId, f64> {
        let remaining = self.lines.iter().filter(|(id, _)| !is_lost(id));
        remaining.map(|(id, weight)| (id.clone(), *weight)).collect()
    }

    /// Records that an order for a line was refused, so that it is unknown whether proxies hold the line and
    /// with which weight. The line is kept, so that it is set or removed again, with the smallest weight, so
    /// that it does not count as usable.
    pub fn mark_line_unknown(&mut self, server: &ServerId) {
        self.lines.insert(server.clone(), f64::MIN_POSITIVE);
    }

    pub fn set_line(&mut self, server: &ServerId, weight: f64) {
        self.lines.insert(server.clone(), weight);
        self.lines.retain(|_, weight| *weight > 0.0);
    }
}
