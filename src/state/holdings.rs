//! What proxies hold, as far as a controller knows: updated with each order that is sent or refused.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::{Controller, Transition};

impl Controller {
    /// The proxies that hold each table.
    pub(crate) fn table_users(&self) -> BTreeMap<TableId, BTreeSet<ProxyId>> {
        let mut users: BTreeMap<TableId, BTreeSet<ProxyId>> = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            for table in proxy.bindings.iter().filter_map(|binding| binding.sent_table) {
                users.entry(table).or_default().insert(*id);
            }
        }
        users
    }

    /// Reverts what a refused order was assumed to have set at the proxies.
    pub(crate) fn record_refusal(&mut self, order: &Order) {
        match order {
            Order::Line { table, server, .. } => {
                self.tables.entry(*table).or_default().mark_line_unknown(server)
            }
            Order::Level { table, classes, .. } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                levels.retain(|class, _| !classes.has(ClassId(*class as u8)));
            }
            Order::Bind { proxy, classes, table } => {
                let bindings = self.proxies.get_mut(proxy).into_iter().flat_map(|proxy| &mut proxy.bindings);
                let affected = bindings.enumerate().filter(|(class, _)| classes.has(ClassId(*class as u8)));
                for (_, binding) in affected.filter(|(_, binding)| binding.sent_table == Some(*table)) {
                    binding.sent_table = None;
                }
            }
            Order::Probe { .. } | Order::Mark { .. } | Order::WatchList | Order::Wake { .. } => {}
        }
    }

    /// Records what an order sets at the proxies; returns its number of lines and the proxies it reaches.
    pub(crate) fn record_sent(
        &mut self,
        order: &Order,
        users: &mut BTreeMap<TableId, BTreeSet<ProxyId>>,
    ) -> (usize, BTreeSet<ProxyId>) {
        match order {
            Order::Line { table, server, weight } => {
                let sent_table = self.tables.entry(*table).or_default();
                let was_empty = sent_table.lines.is_empty();
                sent_table.set_line(server, *weight);
                match (was_empty, sent_table.lines.is_empty()) {
                    (true, false) => self.record_transition(Transition::TableFilled { table: *table }),
                    (false, true) => self.record_transition(Transition::TableEmptied { table: *table }),
                    (true, true) | (false, false) => {}
                }
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Level { table, classes, level, retries } => {
                let class = classes.0.trailing_zeros() as usize;
                self.tables.entry(*table).or_default().levels.insert(class, (*level, *retries));
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Bind { proxy, classes, table } => {
                let bindings = self.proxies.get_mut(proxy).into_iter().flat_map(|proxy| &mut proxy.bindings);
                let bound = bindings.enumerate().filter(|(class, _)| classes.has(ClassId(*class as u8)));
                bound.for_each(|(_, binding)| binding.sent_table = Some(*table));
                users.entry(*table).or_default().insert(*proxy);
                let sent_table = self.tables.entry(*table).or_default();
                (1 + sent_table.lines.len() + sent_table.levels.len(), BTreeSet::from([*proxy]))
            }
            Order::Probe { .. } | Order::Mark { .. } | Order::WatchList | Order::Wake { .. } => {
                (0, BTreeSet::new())
            }
        }
    }
}
