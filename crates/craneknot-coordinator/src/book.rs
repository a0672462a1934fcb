//! What has been ordered: tables, levels and bindings, each table's text made once however many proxies hold it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use craneknot::interface::*;
use craneknot_xds::convert::{self, Admission};
use craneknot_xds::discovery::Kind;
use craneknot_xds::resources::HealthStatus;

#[derive(Default)]
struct Table {
    lines: BTreeMap<ServerId, f64>,
    levels: BTreeMap<usize, (f64, Retries)>,
    users: BTreeMap<ProxyId, u32>,
    endpoints: Option<Bytes>,
    routes: Option<Bytes>,
}

/// What changed for one proxy, as text that others share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    pub endpoints: BTreeMap<TableId, Bytes>,
    pub routes: BTreeMap<TableId, Bytes>,
    /// All its bindings, where one of them changed.
    pub clusters: Option<Vec<Bytes>>,
}

impl Parts {
    /// What comes later takes the place of what was.
    pub fn absorb(&mut self, later: Parts) {
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

    /// Takes out the resources of one kind.
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

/// One message of one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub proxy: ProxyId,
    pub parts: Parts,
    pub mark: Option<u16>,
    /// What it costs the channel.
    pub lines: f64,
    pub decided: Nanos,
}

pub struct Book {
    /// Part of every table's name. Where coordinators share nothing it names this one's life, so that tables of two are
    /// never taken for one another; where they share a fleet it is the same for all, whose tables are numbered alike.
    source: String,
    classes: Vec<String>,
    unit: LevelUnit,
    lines_per_message: f64,
    lb_policy: String,
    tables: BTreeMap<TableId, Table>,
    bound: BTreeMap<ProxyId, Vec<Option<TableId>>>,
    zones: BTreeMap<ServerId, String>,
    clusters: BTreeMap<(usize, TableId), Bytes>,
    encoded: u64,
    bytes: u64,
}

/// What a moment's orders touch at one proxy.
#[derive(Default)]
struct Touched {
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

impl Book {
    pub fn new(
        source: String,
        classes: Vec<String>,
        unit: LevelUnit,
        lines_per_message: f64,
        lb_policy: String,
    ) -> Self {
        Book {
            source,
            classes,
            unit,
            lines_per_message,
            lb_policy,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            zones: BTreeMap::new(),
            clusters: BTreeMap::new(),
            encoded: 0,
            bytes: 0,
        }
    }

    /// Where a server stands; it shows in the tables.
    pub fn place(&mut self, server: &ServerId, zone: &str) {
        self.zones.insert(server.clone(), zone.to_owned());
    }

    pub fn join(&mut self, proxy: ProxyId) {
        self.leave(proxy);
        self.bound.insert(proxy, vec![None; self.classes.len()]);
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        for table in self.bound.remove(&proxy).into_iter().flatten().flatten() {
            self.release(table, proxy);
        }
    }

    fn release(&mut self, table: TableId, proxy: ProxyId) {
        let Some(held) = self.tables.get_mut(&table) else { return };
        if let Some(classes) = held.users.get_mut(&proxy) {
            *classes -= 1;
            if *classes == 0 {
                held.users.remove(&proxy);
            }
        }
    }

    /// Takes in a moment's orders and gives the messages to the proxies concerned, in order of their numbers.
    pub fn apply(&mut self, now: Nanos, orders: &[Order]) -> Vec<Message> {
        let mut touched: BTreeMap<ProxyId, Touched> = BTreeMap::new();
        let mut mark = None;
        for order in orders {
            match order {
                Order::Line { table, server, weight } => {
                    let held = self.tables.entry(*table).or_default();
                    held.endpoints = None;
                    if *weight > 0.0 {
                        held.lines.insert(server.clone(), *weight);
                    } else {
                        held.lines.remove(server);
                    }
                    for proxy in held.users.keys() {
                        let at = touched.entry(*proxy).or_default();
                        at.lines += 1.0;
                        at.endpoints.insert(*table);
                    }
                }
                Order::Level { table, classes, level, retries: tries } => {
                    let held = self.tables.entry(*table).or_default();
                    held.routes = None;
                    for class in (0..self.classes.len()).filter(|class| classes.has(ClassId(*class as u8))) {
                        held.levels.insert(class, (*level, *tries));
                    }
                    for proxy in held.users.keys() {
                        let at = touched.entry(*proxy).or_default();
                        at.lines += 1.0;
                        at.routes.insert(*table);
                    }
                }
                Order::Bind { proxy, classes, table } => {
                    let Some(bound) = self.bound.get_mut(proxy) else { continue };
                    let mut freed = Vec::new();
                    for (class, to) in bound.iter_mut().enumerate() {
                        if classes.has(ClassId(class as u8)) && *to != Some(*table) {
                            freed.extend(to.replace(*table));
                            *self.tables.entry(*table).or_default().users.entry(*proxy).or_insert(0) += 1;
                        }
                    }
                    freed.into_iter().for_each(|old| self.release(old, *proxy));
                    let held = self.tables.entry(*table).or_default();
                    let at = touched.entry(*proxy).or_default();
                    at.lines += 1.0 + (held.lines.len() + held.levels.len()) as f64;
                    at.endpoints.insert(*table);
                    at.routes.insert(*table);
                    at.clusters = true;
                }
                Order::Mark { mark: number } => mark = Some(*number),
                Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => {}
            }
        }
        let heads = self.lines_per_message + if mark.is_some() { 1.0 } else { 0.0 };
        let messages = touched.into_iter().map(|(proxy, at)| {
            let parts = Parts {
                endpoints: at.endpoints.iter().map(|table| (*table, self.endpoints(*table))).collect(),
                routes: at.routes.iter().map(|table| (*table, self.routes(*table))).collect(),
                clusters: at.clusters.then(|| self.bindings(proxy)),
            };
            Message { proxy, parts, mark, lines: at.lines + heads, decided: now }
        });
        messages.collect()
    }

    /// All that a proxy holds by the orders so far: what a stream gets that cannot go on from where it was.
    pub fn all_of(&mut self, proxy: ProxyId) -> Parts {
        let tables: BTreeSet<TableId> =
            self.bound.get(&proxy).into_iter().flatten().flatten().copied().collect();
        Parts {
            endpoints: tables.iter().map(|table| (*table, self.endpoints(*table))).collect(),
            routes: tables.iter().map(|table| (*table, self.routes(*table))).collect(),
            clusters: Some(self.bindings(proxy)),
        }
    }

    /// Lines that a part of a table costs.
    pub fn lines_of(&self, kind: Kind, table: TableId) -> f64 {
        let lines = self.tables.get(&table).map_or(0, |held| match kind {
            Kind::Endpoints => held.lines.len(),
            Kind::Routes => held.levels.len(),
            Kind::Clusters => 0,
        });
        lines as f64
    }

    /// The name that a table has at the proxies.
    pub fn name_of(&self, table: TableId) -> String {
        table_name(&self.source, table)
    }

    /// Tables are named anew from now on; to be said before any is made.
    pub fn set_source(&mut self, source: String) {
        self.source = source;
    }

    /// Every class of the proxy has a table: only then can all its bindings be told as one.
    pub fn is_complete(&self, proxy: ProxyId) -> bool {
        self.bound.get(&proxy).is_some_and(|bound| bound.iter().all(Option::is_some))
    }

    fn endpoints(&mut self, table: TableId) -> Bytes {
        let held = self.tables.entry(table).or_default();
        if let Some(text) = &held.endpoints {
            return text.clone();
        }
        self.encoded += 1;
        let line = |(server, weight): (&'_ ServerId, &f64)| convert::Line {
            server: self.zones.get_key_value(server).map_or("", |(server, _)| &server.0),
            zone: self.zones.get(server).map_or("", String::as_str),
            weight: *weight,
            health: HealthStatus::Healthy,
        };
        let lines: Vec<_> = held.lines.iter().map(line).collect();
        let made = text(&convert::table(&table_name(&self.source, table), &lines));
        self.bytes += made.len() as u64;
        held.endpoints = Some(made.clone());
        made
    }

    fn routes(&mut self, table: TableId) -> Bytes {
        let (unit, classes) = (self.unit, &self.classes);
        let held = self.tables.entry(table).or_default();
        if let Some(text) = &held.routes {
            return text.clone();
        }
        self.encoded += 1;
        let admission = |(class, (level, tries)): (&usize, &(f64, Retries))| {
            (classes[*class].as_str(), Admission { level: Some(*level), unit, retries: *tries })
        };
        let made =
            text(&convert::routes(&table_name(&self.source, table), held.levels.iter().map(admission)));
        self.bytes += made.len() as u64;
        held.routes = Some(made.clone());
        made
    }

    fn bindings(&mut self, proxy: ProxyId) -> Vec<Bytes> {
        let bound = self.bound.get(&proxy).cloned().unwrap_or_default();
        let bound = bound.into_iter().enumerate().filter_map(|(class, table)| Some((class, table?)));
        let mut made = Vec::new();
        for (class, table) in bound {
            let (classes, policy, source) = (&self.classes, &self.lb_policy, &self.source);
            let one = || text(&convert::cluster(&classes[class], &table_name(source, table), policy));
            made.push(self.clusters.entry((class, table)).or_insert_with(one).clone());
        }
        made
    }

    /// Tables, texts made so far, and their bytes.
    pub fn counts(&self) -> (usize, u64, u64) {
        (self.tables.len(), self.encoded, self.bytes)
    }

    /// The tables with their lines' count and their users' count.
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
    fn a_shared_table_is_made_once_and_costs_a_line_at_each_user() {
        let mut book = Book::new(
            "a-1".into(),
            vec!["read".into(), "write".into()],
            LevelUnit::Rate,
            3.0,
            "RANDOM".into(),
        );
        book.place(&server("127.0.0.1:1"), "north");
        let mut orders = vec![Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 1.0 }];
        for proxy in 0..50 {
            book.join(ProxyId(proxy));
            orders.push(Order::Bind { proxy: ProxyId(proxy), classes: ClassSet(3), table: TableId(1) });
        }
        let messages = book.apply(Nanos(5), &orders);
        assert_eq!((messages.len(), book.counts().1), (50, 2));
        // One for the bind, one for the line, three for the head.
        assert!(messages.iter().all(|message| message.lines == 5.0 && message.decided == Nanos(5)));
        assert!((0..50).all(|proxy| book.is_complete(ProxyId(proxy))));
        let change = Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 0.5 };
        let messages = book.apply(Nanos(6), &[change, Order::Mark { mark: 9 }]);
        assert_eq!((messages.len(), book.counts().1), (50, 3));
        assert!(messages.iter().all(|message| message.lines == 5.0 && message.mark == Some(9)));
        // One that has left gets nothing more.
        book.leave(ProxyId(0));
        let change = Order::Line { table: TableId(1), server: server("127.0.0.1:1"), weight: 0.0 };
        assert_eq!(book.apply(Nanos(7), &[change]).len(), 49);
    }

    #[test]
    fn later_parts_take_the_place_of_earlier_ones() {
        let text = |text: &'static str| Bytes::from_static(text.as_bytes());
        let mut parts = Parts { endpoints: BTreeMap::from([(TableId(1), text("old"))]), ..Parts::default() };
        let later = BTreeMap::from([(TableId(1), text("new")), (TableId(2), text("two"))]);
        parts.absorb(Parts { endpoints: later, ..Parts::default() });
        assert_eq!(parts.take(Kind::Endpoints), Some(vec![text("new"), text("two")]));
        assert!(parts.is_empty() && parts.take(Kind::Endpoints).is_none());
    }
}
