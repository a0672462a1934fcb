//! The model's relay: executes orders in their text form and sends the messages that carry them to proxies.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::platform::{Followed, Platform, Proxy, CLASSES};

const TRANSIT: (u64, u64) = (100, 452); // ms; time of a message from the channel to its proxy

/// A table in the relay or a proxy.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    /// By class.
    pub levels: BTreeMap<String, f64>,
}

/// A change that a message carries to a proxy.
#[derive(Clone, Debug)]
pub enum Change {
    Line(u16, String, f64),
    Clear(u16),
    Bind(u16, String, Table),
    Level(u16, String, f64),
    Mark(u16),
}

impl Platform {
    /// Executes a call's orders up to the first unusable one and returns their number. Each affected proxy is
    /// sent one message.
    pub(super) fn execute_call(&mut self, slot_index: usize, orders: &[String]) -> usize {
        let mut messages: BTreeMap<u16, Vec<Change>> = BTreeMap::new();
        let mut accepted = 0;
        for order in orders {
            let fields: Vec<&str> = order.split(',').collect();
            if !self.execute_order(slot_index, &fields, &mut messages) {
                break;
            }
            accepted += 1;
        }
        for (number, changes) in messages {
            let lines: usize = changes
                .iter()
                .map(|change| match change {
                    Change::Bind(_, _, table) => 1 + table.lines.len() + table.levels.len(),
                    Change::Line(..) | Change::Clear(_) | Change::Level(..) | Change::Mark(_) => 1,
                })
                .sum();
            let slot = &mut self.slots[slot_index];
            let cost = (self.channel.message_overhead + lines as f64) / self.channel.lines_per_ms;
            slot.channel_free = slot.channel_free.max(self.now as f64) + cost;
            let lines_waiting = (slot.channel_free - self.now as f64) * self.channel.lines_per_ms;
            self.channel_checker.lines_waiting(lines_waiting);
            self.channel_checker.message_written(&self.channel, self.now, number);
            let due = slot.channel_free as u64 + self.rng.random_range(TRANSIT.0..TRANSIT.1);
            let inbox = &mut self.proxies[usize::from(number)].inbox;
            let due = inbox.back().map_or(due, |(last, _)| due.max(*last));
            inbox.push_back((due, changes));
        }
        accepted
    }

    fn execute_order(
        &mut self,
        slot_index: usize,
        fields: &[&str],
        messages: &mut BTreeMap<u16, Vec<Change>>,
    ) -> bool {
        let (slot, proxies) = (&mut self.slots[slot_index], &mut self.proxies);
        let mut send_to_bound = |table: u16, proxies: &[Proxy], joined: &BTreeSet<u16>, change: Change| {
            let bound_proxies = joined.iter().filter(|id| {
                let mut bound = proxies[usize::from(**id)].bound.values();
                bound.any(|number| *number == table)
            });
            bound_proxies.for_each(|id| messages.entry(*id).or_default().push(change.clone()));
        };
        match fields {
            ["share", table, server, weight] => {
                if !self.servers.contains_key(*server) {
                    return false;
                }
                let (table, weight): (u16, f64) = (table.parse().unwrap(), weight.parse().unwrap());
                let lines = &mut slot.tables.entry(table).or_default().lines;
                lines.insert((*server).to_owned(), weight);
                lines.retain(|_, weight| *weight > 0.0);
                let change = Change::Line(table, (*server).to_owned(), weight);
                send_to_bound(table, proxies, &slot.joined, change);
            }
            ["clear", table] => {
                let table: u16 = table.parse().unwrap();
                slot.tables.insert(table, Table::default());
                send_to_bound(table, proxies, &slot.joined, Change::Clear(table));
            }
            ["admit", table, classes, level, _] => {
                let (table, level): (u16, f64) = (table.parse().unwrap(), level.parse().unwrap());
                for class in classes.split('+') {
                    slot.tables.entry(table).or_default().levels.insert(class.to_owned(), level);
                    let change = Change::Level(table, class.to_owned(), level);
                    send_to_bound(table, proxies, &slot.joined, change);
                }
            }
            ["bind", proxy, table, classes] => {
                let (number, table): (u16, u16) = (proxy.parse().unwrap(), table.parse().unwrap());
                if !slot.joined.contains(&number) {
                    return false;
                }
                let table_state = slot.tables.get(&table).cloned().unwrap_or_default();
                for class in classes.split('+') {
                    proxies[usize::from(number)].bound.insert(class.to_owned(), table);
                    let change = Change::Bind(table, class.to_owned(), table_state.clone());
                    messages.entry(number).or_default().push(change);
                }
            }
            ["mark", mark, _] => {
                let mark = mark.parse().unwrap();
                self.channel_checker.mark_sent(slot.last_mark.replace(mark), mark);
                messages.values_mut().for_each(|changes| changes.push(Change::Mark(mark)));
            }
            other => panic!("unknown order: {other:?}"),
        }
        true
    }

    /// Applies the messages that have reached the proxies.
    pub(super) fn apply(&mut self) {
        let mut acknowledged = Vec::new();
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            while proxy.inbox.front().is_some_and(|(due, _)| *due <= self.now) {
                for change in proxy.inbox.pop_front().unwrap().1 {
                    match change {
                        Change::Line(table, server, weight) => {
                            let lines = &mut proxy.tables.entry(table).or_default().lines;
                            lines.insert(server, weight);
                            lines.retain(|_, weight| *weight > 0.0);
                        }
                        Change::Clear(table) => drop(proxy.tables.insert(table, Table::default())),
                        Change::Bind(table, class, table_state) => {
                            proxy.tables.insert(table, table_state);
                            let class = CLASSES.iter().find(|known| **known == class).unwrap();
                            proxy.followed.insert(class, Followed::Bound(table));
                        }
                        Change::Level(table, class, level) => {
                            proxy.tables.entry(table).or_default().levels.insert(class, level);
                        }
                        Change::Mark(mark) => {
                            acknowledged.extend(proxy.joined_to.map(|at| (at, number, mark)))
                        }
                    }
                }
            }
        }
        for (slot_index, number, mark) in acknowledged {
            self.broadcast(
                slot_index,
                &format!("event: done\ndata: node={number}&nonce={mark}&latency=300.0\n\n"),
            );
        }
    }
}
