//! Shared tables as proxies are believed to hold them, and orders that were refused.

use std::collections::BTreeMap;

use crate::interface::*;

/// What an order sets: a later order of the same subject leaves nothing of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Line(TableId, ServerId),
    Bind(ProxyId),
    Level(TableId, ClassSet),
}

impl Subject {
    /// Of an order to proxies; nothing for any other.
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
    /// How often.
    pub count: u32,
    /// It is not given again before.
    pub retry_at: Nanos,
}

/// A shared table as proxies have it.
#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<ServerId, f64>,
    pub levels: BTreeMap<usize, (f64, Retries)>,
}

impl Table {
    /// The lines that differ from the wanted ones by more than a share of what stands; weight 0: to be removed.
    pub fn changes(&self, wanted: &BTreeMap<ServerId, f64>, share: f64) -> Vec<(ServerId, f64)> {
        let old = |id: &ServerId| self.lines.get(id).copied().unwrap_or(0.0);
        let moved = wanted.iter().filter(|(id, weight)| (**weight - old(id)).abs() > share * old(id));
        let gone = self.lines.keys().filter(|id| !wanted.contains_key(*id));
        moved.map(|(id, weight)| (id.clone(), *weight)).chain(gone.map(|id| (id.clone(), 0.0))).collect()
    }

    /// Its lines without the lost servers'.
    pub fn without(&self, lost: impl Fn(&ServerId) -> bool) -> BTreeMap<ServerId, f64> {
        let kept = self.lines.iter().filter(|(id, _)| !lost(id));
        kept.map(|(id, weight)| (id.clone(), *weight)).collect()
    }

    /// A line was not set: whether proxies hold one is not known, and with which weight. It counts as held, so that it
    /// is set or removed anew, at next to no weight, so that nobody counts on it.
    pub fn mark_line_unknown(&mut self, server: &ServerId) {
        self.lines.insert(server.clone(), f64::MIN_POSITIVE);
    }

    pub fn set_line(&mut self, server: &ServerId, weight: f64) {
        self.lines.insert(server.clone(), weight);
        self.lines.retain(|_, weight| *weight > 0.0);
    }
}
