//! What the relay holds of this coordinator's orders, as far as the outcomes of calls tell: which proxies it
//! writes to when it carries out an order, and how much. A call in doubt leaves several possibilities; all of
//! them count.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;

static NO_PROXIES: BTreeSet<ProxyId> = BTreeSet::new();

/// Whether a call was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    Certain,
    /// Its answer was lost or can't be read.
    Possible,
}

/// The tables that a proxy may be bound to, each with the classes.
type Bindings = BTreeMap<TableId, ClassSet>;

/// What a table may contain.
#[derive(Debug, Default)]
struct TableContent {
    lines: BTreeSet<ServerId>,
    /// The classes that have a level.
    levels: ClassSet,
}

/// The tables and bindings that the relay may hold.
#[derive(Debug, Default)]
pub struct RelayState {
    tables: BTreeMap<TableId, TableContent>,
    bindings: BTreeMap<ProxyId, Bindings>,
    /// The bindings of proxies that were reported as having left. The report may stand for a gap in the events, and
    /// then the relay still holds them.
    former_bindings: BTreeMap<ProxyId, Bindings>,
    users: BTreeMap<TableId, BTreeSet<ProxyId>>,
}

impl RelayState {
    /// A proxy was reported as joined.
    pub fn proxy_joined(&mut self, proxy: ProxyId) {
        let Some(bindings) = self.former_bindings.remove(&proxy) else { return };
        for (table, classes) in bindings {
            self.add_binding(proxy, table, classes);
        }
    }

    /// A proxy was reported as having left: the relay writes nothing to it.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        let Some(bindings) = self.bindings.remove(&proxy) else { return };
        for table in bindings.keys() {
            self.remove_user(*table, proxy);
        }
        self.former_bindings.insert(proxy, bindings);
    }

    /// The relay has carried out an order, or may have.
    pub fn apply(&mut self, order: &Order, execution: Execution) {
        match order {
            Order::Bind { proxy, classes, table } => {
                if execution == Execution::Certain {
                    self.remove_bindings(*proxy, *classes);
                }
                self.add_binding(*proxy, *table, *classes);
            }
            Order::Line { table, server, weight } => {
                let lines = &mut self.tables.entry(*table).or_default().lines;
                if *weight > 0.0 {
                    lines.insert(server.clone());
                } else if execution == Execution::Certain {
                    lines.remove(server);
                }
            }
            Order::Level { table, classes, .. } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                *levels = ClassSet(levels.0 | classes.0);
            }
            Order::Mark { .. } | Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => {}
        }
    }

    /// The proxies that may be bound to a table.
    pub fn users(&self, table: TableId) -> impl ExactSizeIterator<Item = ProxyId> + '_ {
        self.users.get(&table).unwrap_or(&NO_PROXIES).iter().copied()
    }

    /// The number of lines and levels that a table may have.
    pub fn table_size(&self, table: TableId) -> usize {
        let size = |content: &TableContent| content.lines.len() + content.levels.0.count_ones() as usize;
        self.tables.get(&table).map_or(0, size)
    }

    fn add_binding(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet) {
        let bound = self.bindings.entry(proxy).or_default().entry(table).or_insert(ClassSet(0));
        *bound = ClassSet(bound.0 | classes.0);
        self.users.entry(table).or_default().insert(proxy);
    }

    fn remove_bindings(&mut self, proxy: ProxyId, classes: ClassSet) {
        let Some(bindings) = self.bindings.get_mut(&proxy) else { return };
        bindings.values_mut().for_each(|bound| *bound = ClassSet(bound.0 & !classes.0));
        let released: Vec<TableId> =
            bindings.extract_if(.., |_, bound| bound.0 == 0).map(|(table, _)| table).collect();
        for table in released {
            self.remove_user(table, proxy);
        }
    }

    fn remove_user(&mut self, table: TableId, proxy: ProxyId) {
        let Some(users) = self.users.get_mut(&table) else { return };
        users.remove(&proxy);
        if users.is_empty() {
            self.users.remove(&table);
        }
    }
}
