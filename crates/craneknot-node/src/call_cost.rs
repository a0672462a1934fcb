//! What a call writes when it is carried out: one message to each proxy that its orders concern, with the lines that
//! these cost there.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;

use crate::relay_state::RelayState;

/// What the orders of a call add to a table.
#[derive(Debug, Default)]
struct TableChanges {
    /// The users that the table had before are among the receivers.
    are_users_counted: bool,
    /// Lines and levels that are set.
    lines: usize,
    /// Proxies that are bound to it.
    bindings: usize,
}

/// The cost of a call whose orders are added one by one.
#[derive(Debug, Default)]
pub struct CallCost {
    receivers: BTreeSet<ProxyId>,
    /// Lines besides the overhead of the messages.
    lines: usize,
    marks: usize,
    tables: BTreeMap<TableId, TableChanges>,
}

impl CallCost {
    /// Adds an order that the relay carries out in this state, after those added before.
    pub fn add(&mut self, order: &Order, relay: &RelayState) {
        match order {
            Order::Line { table, .. } | Order::Level { table, .. } => {
                let changes = self.tables.entry(*table).or_default();
                if !std::mem::replace(&mut changes.are_users_counted, true) {
                    self.receivers.extend(relay.users(*table));
                }
                changes.lines += 1;
                self.lines += relay.users(*table).len() + changes.bindings;
            }
            Order::Bind { proxy, table, .. } => {
                let changes = self.tables.entry(*table).or_default();
                changes.bindings += 1;
                self.lines += 1 + relay.table_size(*table) + changes.lines;
                self.receivers.insert(*proxy);
            }
            Order::Mark { .. } => self.marks += 1,
            Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => {}
        }
    }

    /// The proxies that are written to only if this order is added.
    pub fn new_receivers<'a>(
        &'a self,
        order: &Order,
        relay: &'a RelayState,
    ) -> impl Iterator<Item = ProxyId> + 'a {
        let bound = match order {
            Order::Bind { proxy, .. } => Some(*proxy),
            _ => None,
        };
        let are_users_counted =
            |table: &TableId| self.tables.get(table).is_some_and(|changes| changes.are_users_counted);
        let table = match order {
            Order::Line { table, .. } | Order::Level { table, .. } if !are_users_counted(table) => {
                Some(*table)
            }
            _ => None,
        };
        let users = table.into_iter().flat_map(|table| relay.users(table));
        bound.into_iter().chain(users).filter(|proxy| !self.receivers.contains(proxy))
    }

    /// The proxies that are written to.
    pub fn receivers(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.receivers.iter().copied()
    }

    /// All lines, with those that each message costs besides what it carries.
    pub fn lines(&self, lines_per_message: f64) -> f64 {
        self.lines as f64 + self.receivers.len() as f64 * (lines_per_message + self.marks as f64)
    }
}
