//! What the relay holds of this coordinator's orders, as far as the outcomes of calls tell: which proxies it
//! writes a message to when it carries out an order. A call in doubt leaves several possibilities; all of them
//! count.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::*;

/// Whether a call was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    Certain,
    /// Its answer was lost or can't be read.
    Possible,
}

/// The tables that a proxy may be bound to, each with the classes.
type Bindings = BTreeMap<TableId, ClassSet>;

/// The bindings that the relay may hold.
#[derive(Debug, Default)]
pub struct RelayState {
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
        let Order::Bind { proxy, classes, table } = order else { return };
        if execution == Execution::Certain {
            self.remove_bindings(*proxy, *classes);
        }
        self.add_binding(*proxy, *table, *classes);
    }

    /// The proxies that the relay writes to when it carries out an order.
    pub fn receivers<'a>(&'a self, order: &'a Order) -> impl Iterator<Item = ProxyId> + 'a {
        let bound = match order {
            Order::Bind { proxy, .. } => Some(*proxy),
            _ => None,
        };
        let users = match order {
            Order::Line { table, .. } | Order::Level { table, .. } => self.users.get(table),
            _ => None,
        };
        bound.into_iter().chain(users.into_iter().flatten().copied())
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
