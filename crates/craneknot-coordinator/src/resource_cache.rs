//! The ordered state: tables, levels and bindings. Each table is encoded once, however many proxies use it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use craneknot::interface::*;
use craneknot_xds::convert::{self, Admission};
use craneknot_xds::discovery::Kind;
use craneknot_xds::resources::HealthStatus;

#[derive(Default)]
struct TableState {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<usize, (f64, Retries)>,
    users: BTreeMap<ProxyId, u32>,
    endpoints: Option<Bytes>,
    routes: Option<Bytes>,
}

/// The changed resources of one proxy, as encoded texts shared among proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceUpdate {
    pub endpoints: BTreeMap<TableId, Bytes>,
    pub routes: BTreeMap<TableId, Bytes>,
    /// All bindings of the proxy, if one of them changed.
    pub clusters: Option<Vec<Bytes>>,
}

impl ResourceUpdate {
    /// Merges a later update, whose resources replace earlier ones.
    pub fn merge(&mut self, later: ResourceUpdate) {
        self.endpoints.extend(later.endpoints);
        self.routes.extend(later.routes);
        self.clusters = later.clusters.or(self.clusters.take());
    }

    pub fn has(&self, kind: Kind) -> bool {
        match kind {
            Kind::Endpoints => !self.endpoints.is_empty(),
            Kind::Routes => !self.routes.is_empty(),
            Kind::Clusters => self.clusters.is_some(),
        }
    }

    pub fn is_empty(&self) -> bool {
        !Kind::ALL.into_iter().any(|kind| self.has(kind))
    }

    /// The tables that the resources of one kind belong to.
    pub fn tables(&self, kind: Kind) -> Vec<TableId> {
        match kind {
            Kind::Endpoints => self.endpoints.keys().copied().collect(),
            Kind::Routes => self.routes.keys().copied().collect(),
            Kind::Clusters => Vec::new(),
        }
    }

    /// Removes and returns the resources of one kind.
    pub fn take(&mut self, kind: Kind) -> Option<Vec<Bytes>> {
        if !self.has(kind) {
            return None;
        }
        match kind {
            Kind::Endpoints => Some(std::mem::take(&mut self.endpoints).into_values().collect()),
            Kind::Routes => Some(std::mem::take(&mut self.routes).into_values().collect()),
            Kind::Clusters => self.clusters.take(),
        }
    }
}

/// A message to one proxy: what the orders of one step change, or its full state.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub proxy: ProxyId,
    pub parts: ResourceUpdate,
    /// The parts are everything that the proxy should hold.
    pub is_full_state: bool,
    pub mark: Option<u16>,
    /// Its size in the channel.
    pub lines: f64,
    pub decided: Nanos,
}

/// The ordered tables, levels and bindings with their encoded texts.
pub struct ResourceCache {
    /// The prefix of every table's name. A coordinator that shares no fleet uses one of its own per process,
    /// so that tables of two processes are never confused; coordinators of a shared fleet, which number
    /// tables identically, use the same one.
    source: String,
    classes: Vec<String>,
    level_unit: LevelUnit,
    lines_per_message: f64,
    lb_policy: String,
    tables: BTreeMap<TableId, TableState>,
    bound_tables: BTreeMap<ProxyId, Vec<Option<TableId>>>,
    zones: BTreeMap<ServerId, String>,
    clusters: BTreeMap<(usize, TableId), Bytes>,
    texts_encoded: u64,
    bytes: u64,
}

/// What the orders of one step change at one proxy.
#[derive(Default)]
struct ProxyChanges {
    lines: f64,
    endpoints: BTreeSet<TableId>,
    routes: BTreeSet<TableId>,
    clusters: bool,
}

/// A table's name at the proxies.
fn table_name(source: &str, table: TableId) -> String {
    format!("{source}/table-{}", table.0)
}

fn text(value: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

impl ResourceCache {
    pub fn new(
        source: String,
        classes: Vec<String>,
        level_unit: LevelUnit,
        lines_per_message: f64,
        lb_policy: String,
    ) -> Self {
        ResourceCache {
            source,
            classes,
            level_unit,
            lines_per_message,
            lb_policy,
            tables: BTreeMap::new(),
            bound_tables: BTreeMap::new(),
            zones: BTreeMap::new(),
            clusters: BTreeMap::new(),
            texts_encoded: 0,
            bytes: 0,
        }
    }

    /// Sets the zone of a server, which the tables contain.
    pub fn set_server_zone(&mut self, server: &ServerId, zone: &str) {
        self.zones.insert(server.clone(), zone.to_owned());
    }

    pub fn join(&mut self, proxy: ProxyId) {
        self.leave(proxy);
        self.bound_tables.insert(proxy, vec![None; self.classes.len()]);
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        for table in self.bound_tables.remove(&proxy).into_iter().flatten().flatten() {
            self.release(table, proxy);
        }
    }

    fn release(&mut self, table: TableId, proxy: ProxyId) {
        let Some(state) = self.tables.get_mut(&table) else { return };
        if let Some(classes) = state.users.get_mut(&proxy) {
            *classes -= 1;
            if *classes == 0 {
                state.users.remove(&proxy);
            }
        }
    }

    /// Applies the orders of one step and returns the messages to the affected proxies, sorted by proxy id.
    pub fn apply_orders(&mut self, now: Nanos, orders: &[Order]) -> Vec<Message> {
        let mut changes_by_proxy: BTreeMap<ProxyId, ProxyChanges> = BTreeMap::new();
        let mut mark = None;
        for order in orders {
            match order {
                Order::Line { table, server, weight } => {
                    let state = self.tables.entry(*table).or_default();
                    state.endpoints = None;
                    if *weight > 0.0 {
                        state.lines.insert(server.clone(), *weight);
                    } else {
                        state.lines.remove(server);
                    }
                    for proxy in state.users.keys() {
                        let changes = changes_by_proxy.entry(*proxy).or_default();
                        changes.lines += 1.0;
                        changes.endpoints.insert(*table);
                    }
                }
                Order::Level { table, classes, level, retries: tries } => {
                    let state = self.tables.entry(*table).or_default();
                    state.routes = None;
                    for class in (0..self.classes.len()).filter(|class| classes.has(ClassId(*class as u8))) {
                        state.levels.insert(class, (*level, *tries));
                    }
                    for proxy in state.users.keys() {
                        let changes = changes_by_proxy.entry(*proxy).or_default();
                        changes.lines += 1.0;
                        changes.routes.insert(*table);
                    }
                }
                Order::Bind { proxy, classes, table } => {
                    let Some(bound_tables) = self.bound_tables.get_mut(proxy) else { continue };
                    let mut freed = Vec::new();
                    for (class, to) in bound_tables.iter_mut().enumerate() {
                        if classes.has(ClassId(class as u8)) && *to != Some(*table) {
                            freed.extend(to.replace(*table));
                            *self.tables.entry(*table).or_default().users.entry(*proxy).or_insert(0) += 1;
                        }
                    }
                    freed.into_iter().for_each(|old| self.release(old, *proxy));
                    let state = self.tables.entry(*table).or_default();
                    let changes = changes_by_proxy.entry(*proxy).or_default();
                    changes.lines += 1.0 + (state.lines.len() + state.levels.len()) as f64;
                    changes.endpoints.insert(*table);
                    changes.routes.insert(*table);
                    changes.clusters = true;
                }
                Order::Mark { mark: number } => mark = Some(*number),
                Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => {}
            }
        }
        let message_overhead = self.lines_per_message + if mark.is_some() { 1.0 } else { 0.0 };
        let messages = changes_by_proxy.into_iter().map(|(proxy, changes)| {
            let parts = ResourceUpdate {
                endpoints: changes.endpoints.iter().map(|table| (*table, self.endpoints(*table))).collect(),
                routes: changes.routes.iter().map(|table| (*table, self.routes(*table))).collect(),
                clusters: changes.clusters.then(|| self.bindings(proxy)),
            };
            let lines = changes.lines + message_overhead;
            Message { proxy, parts, is_full_state: false, mark, lines, decided: now }
        });
        messages.collect()
    }

    /// Everything that a proxy should hold by the orders so far, for a stream that must be sent its state
    /// again. Each table costs as much as a binding to it.
    pub fn full_state(&mut self, now: Nanos, proxy: ProxyId) -> Message {
        let tables: BTreeSet<TableId> =
            self.bound_tables.get(&proxy).into_iter().flatten().flatten().copied().collect();
        let table_lines = |table: &TableId| {
            1.0 + self.line_count(Kind::Endpoints, *table) + self.line_count(Kind::Routes, *table)
        };
        let lines = self.lines_per_message + tables.iter().map(table_lines).sum::<f64>();
        let parts = ResourceUpdate {
            endpoints: tables.iter().map(|table| (*table, self.endpoints(*table))).collect(),
            routes: tables.iter().map(|table| (*table, self.routes(*table))).collect(),
            clusters: Some(self.bindings(proxy)),
        };
        Message { proxy, parts, is_full_state: true, mark: None, lines, decided: now }
    }

    /// The number of lines of one part of a table.
    pub fn line_count(&self, kind: Kind, table: TableId) -> f64 {
        let lines = self.tables.get(&table).map_or(0, |state| match kind {
            Kind::Endpoints => state.lines.len(),
            Kind::Routes => state.levels.len(),
            Kind::Clusters => 0,
        });
        lines as f64
    }

    /// The name that a table has at the proxies.
    pub fn name_of(&self, table: TableId) -> String {
        table_name(&self.source, table)
    }

    /// Sets the prefix of the tables' names; must be called before any table is encoded.
    pub fn set_source(&mut self, source: String) {
        self.source = source;
    }

    /// Whether every class of the proxy has a table; only then can its bindings be sent, since they are sent
    /// together.
    pub fn has_all_bindings(&self, proxy: ProxyId) -> bool {
        self.bound_tables.get(&proxy).is_some_and(|bound_tables| bound_tables.iter().all(Option::is_some))
    }

    fn endpoints(&mut self, table: TableId) -> Bytes {
        let state = self.tables.entry(table).or_default();
        if let Some(text) = &state.endpoints {
            return text.clone();
        }
        self.texts_encoded += 1;
        let line = |(server, weight): (&'_ ServerId, &f64)| convert::Line {
            server: self.zones.get_key_value(server).map_or("", |(server, _)| &server.0),
            zone: self.zones.get(server).map_or("", String::as_str),
            weight: *weight,
            health: HealthStatus::Healthy,
        };
        let lines: Vec<_> = state.lines.iter().map(line).collect();
        let resource = text(&convert::table(&table_name(&self.source, table), &lines));
        self.bytes += resource.len() as u64;
        state.endpoints = Some(resource.clone());
        resource
    }

    fn routes(&mut self, table: TableId) -> Bytes {
        let (level_unit, classes) = (self.level_unit, &self.classes);
        let state = self.tables.entry(table).or_default();
        if let Some(text) = &state.routes {
            return text.clone();
        }
        self.texts_encoded += 1;
        let admission = |(class, (level, tries)): (&usize, &(f64, Retries))| {
            (classes[*class].as_str(), Admission { level: Some(*level), unit: level_unit, retries: *tries })
        };
        let resource =
            text(&convert::routes(&table_name(&self.source, table), state.levels.iter().map(admission)));
        self.bytes += resource.len() as u64;
        state.routes = Some(resource.clone());
        resource
    }

    fn bindings(&mut self, proxy: ProxyId) -> Vec<Bytes> {
        let bound_tables = self.bound_tables.get(&proxy).cloned().unwrap_or_default();
        let bound_tables =
            bound_tables.into_iter().enumerate().filter_map(|(class, table)| Some((class, table?)));
        let mut resources = Vec::new();
        for (class, table) in bound_tables {
            let (classes, policy, source) = (&self.classes, &self.lb_policy, &self.source);
            let encode = || text(&convert::cluster(&classes[class], &table_name(source, table), policy));
            resources.push(self.clusters.entry((class, table)).or_insert_with(encode).clone());
        }
        resources
    }

    /// Numbers of tables, of texts encoded so far, and of their bytes.
    pub fn counts(&self) -> (usize, u64, u64) {
        (self.tables.len(), self.texts_encoded, self.bytes)
    }

    /// The tables, each with the numbers of its lines and of the proxies that use it.
    pub fn tables(&self) -> impl Iterator<Item = (TableId, usize, usize)> + '_ {
        self.tables.iter().map(|(id, table)| (*id, table.lines.len(), table.users.len()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    fn server(name: &str) -> ServerId {
        ServerId(Arc::from(name))
    }

    #[test]
    fn a_shared_table_is_encoded_once_and_costs_a_line_per_proxy() {
        let mut cache = ResourceCache::new(
            "a-1".into(),
            vec!["read".into(), "write".into()],
            LevelUnit::Rate,
            3.0,
            "RANDOM".into(),
        );
        cache.set_server_zone(&server("127.0.0.1:1"), "north");
        let mut orders = vec![Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 1.0 }];
        for proxy in 0..50 {
            cache.join(ProxyId(proxy));
            orders.push(Order::Bind { proxy: ProxyId(proxy), classes: ClassSet(3), table: TableId(1) });
        }
        let messages = cache.apply_orders(Nanos(5), &orders);
        assert_eq!((messages.len(), cache.counts().1), (50, 2));
        // One for the binding, one for the line, three per message.
        assert!(messages.iter().all(|message| message.lines == 5.0 && message.decided == Nanos(5)));
        assert!((0..50).all(|proxy| cache.has_all_bindings(ProxyId(proxy))));
        let change = Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 0.5 };
        let messages = cache.apply_orders(Nanos(6), &[change, Order::Mark { mark: 9 }]);
        assert_eq!((messages.len(), cache.counts().1), (50, 3));
        assert!(messages.iter().all(|message| message.lines == 5.0 && message.mark == Some(9)));
        // A proxy that has left gets no further messages.
        cache.leave(ProxyId(0));
        let change = Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 0.0 };
        assert_eq!(cache.apply_orders(Nanos(7), &[change]).len(), 49);
    }

    #[test]
    fn later_resources_replace_earlier_ones() {
        let text = |text: &'static str| Bytes::from_static(text.as_bytes());
        let mut parts = ResourceUpdate {
            endpoints: BTreeMap::from([(TableId(1), text("old"))]),
            ..ResourceUpdate::default()
        };
        let later = BTreeMap::from([(TableId(1), text("new")), (TableId(2), text("two"))]);
        parts.merge(ResourceUpdate { endpoints: later, ..ResourceUpdate::default() });
        assert_eq!(parts.take(Kind::Endpoints), Some(vec![text("new"), text("two")]));
        assert!(parts.is_empty() && parts.take(Kind::Endpoints).is_none());
    }
}
