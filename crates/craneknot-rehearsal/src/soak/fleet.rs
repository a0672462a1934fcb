//! The state behind relay and discovery: which proxy has joined which node, the orders applied for it, and the list
//! of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A server as listed.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub phase: &'static str,
    /// The version of the list in which it last changed.
    pub version: u64,
    /// Its start in milliseconds since 1970; 0 stands for long ago.
    pub started: u64,
    /// The same by the monotonic clock; `None`: it started before the soak.
    pub started_at: Option<Instant>,
}

/// The phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Removed,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Ready => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Removed => "DELETED",
        }
    }
}

/// A list in discovery's JSON format.
fn list_json<'a>(version: u64, complete: bool, servers: impl Iterator<Item = &'a Server>) -> String {
    let entry = |server: &Server| {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"{}\",\"flavor\":\"m2\",\"cell\":0,\
             \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            server.id, server.zone, server.phase, server.started
        )
    };
    let entries: Vec<String> = servers.map(entry).collect();
    format!("{{\"revision\":{version},\"complete\":{complete},\"members\":[{}]}}", entries.join(","))
}

/// What the proxies of one node hold.
#[derive(Default)]
pub struct Holdings {
    /// By proxy: the time of its join.
    pub joined: BTreeMap<u16, Instant>,
    /// By proxy and class: the bound table.
    pub bindings: BTreeMap<(u16, String), u16>,
    /// By table: its lines, as weights by server.
    pub tables: BTreeMap<u16, BTreeMap<String, f64>>,
    /// Events not sent yet, by stream.
    pub streams: BTreeMap<u64, Vec<String>>,
    /// The last mark of this process.
    pub last_mark: Option<u16>,
}

/// The state of the whole fleet.
pub struct Fleet {
    pub servers: Vec<Server>,
    pub version: u64,
    pub holdings: Vec<Holdings>,
    /// By node: since when it has known each server that is draining or removed.
    pub known_unavailable: Vec<BTreeMap<String, Instant>>,
    /// By node: the list sent to it last, to whichever of its processes.
    pub sent_lists: Vec<BTreeMap<String, Server>>,
    /// The zone that is lost at present: its servers are removed and stay so.
    lost_zone: Option<usize>,
    /// Whether discovery answers with full lists only, and by how long it delays its answers.
    pub answer_full_list: bool,
    pub lag: Duration,
    /// Violations that the relay saw.
    pub violations: Vec<String>,
    next_stream: u64,
}

/// The classes of the soak.
pub const CLASSES: [&str; 2] = ["lookup", "issue"];
/// The zones of the soak.
pub const ZONES: [&str; 2] = ["a", "b"];
const SERVER_AGE_AT_START: Duration = Duration::from_secs(1_800);
/// The class that is confined to one zone, and the index of that zone.
pub const ONLY_ZONE_CLASS: &str = "issue";
pub const ONLY_ZONE: usize = 0;

/// The index of the zone of a server.
pub fn zone_of(server: usize) -> usize {
    server % ZONES.len()
}

impl Fleet {
    /// Creates a fleet; proxies are assigned to nodes in round-robin order.
    pub fn new(nodes: usize, proxies: u16, servers: usize) -> Self {
        let date = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = date.saturating_sub(SERVER_AGE_AT_START).as_millis() as u64;
        let server = |number: usize| Server {
            id: format!("s-{number:02}"),
            zone: ZONES[zone_of(number)],
            phase: "SERVING",
            version: 1,
            started,
            started_at: None,
        };
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let sent_list: BTreeMap<String, Server> =
            servers.iter().map(|server| (server.id.clone(), server.clone())).collect();
        let mut fleet = Fleet {
            servers,
            version: 1,
            holdings: (0..nodes).map(|_| Holdings::default()).collect(),
            known_unavailable: vec![BTreeMap::new(); nodes],
            sent_lists: vec![sent_list; nodes],
            lost_zone: None,
            answer_full_list: false,
            lag: Duration::ZERO,
            violations: Vec::new(),
            next_stream: 0,
        };
        (0..proxies).for_each(|proxy| fleet.join(proxy, usize::from(proxy) % nodes));
        fleet
    }

    fn publish(&mut self, node: usize, event: &str) {
        self.holdings[node].streams.values_mut().for_each(|pending| pending.push(event.to_owned()));
    }

    fn join_event(proxy: u16) -> String {
        let zone = ZONES[usize::from(proxy) % 2];
        format!("event: attach\ndata: node={proxy}&locality={zone}&w=3.5&cold=1\n\n")
    }

    /// A proxy joins a node, without a binding to any of its tables.
    pub fn join(&mut self, proxy: u16, node: usize) {
        let holdings = &mut self.holdings[node];
        holdings.joined.insert(proxy, Instant::now());
        holdings.bindings.retain(|(of, _), _| *of != proxy);
        self.publish(node, &Self::join_event(proxy));
    }

    /// A proxy leaves a node and loses its bindings there.
    pub fn leave(&mut self, proxy: u16, node: usize) {
        if self.holdings[node].joined.remove(&proxy).is_some() {
            self.holdings[node].bindings.retain(|(of, _), _| *of != proxy);
            self.publish(node, &format!("event: detach\ndata: node={proxy}\n\n"));
        }
    }

    /// The proxies that have joined a node, in ascending order.
    pub fn joined(&self, node: usize) -> Vec<u16> {
        self.holdings[node].joined.keys().copied().collect()
    }

    /// Drops the tables and event streams of a node whose process has ended.
    pub fn process_ended(&mut self, node: usize) {
        let joined = std::mem::take(&mut self.holdings[node].joined);
        self.holdings[node] = Holdings { joined, ..Holdings::default() };
        self.known_unavailable[node].clear();
    }

    /// Opens an event stream, which begins with the proxies joined now.
    pub fn open_stream(&mut self, node: usize) -> u64 {
        self.next_stream += 1;
        let current = self.joined(node).into_iter().map(Self::join_event).collect();
        self.holdings[node].streams.insert(self.next_stream, current);
        self.next_stream
    }

    /// Takes the pending events of a stream; `None`: it is closed.
    pub fn take_events(&mut self, node: usize, stream: u64) -> Option<Vec<String>> {
        self.holdings[node].streams.get_mut(&stream).map(std::mem::take)
    }

    /// Closes an event stream and drops its pending events.
    pub fn close_stream(&mut self, node: usize, stream: u64) {
        self.holdings[node].streams.remove(&stream);
    }

    /// Applies orders up to the first invalid one; returns how many were applied.
    pub fn apply(&mut self, node: usize, orders: &[&str]) -> usize {
        orders.iter().take_while(|order| self.apply_one(node, order)).count()
    }

    fn apply_one(&mut self, node: usize, order: &str) -> bool {
        let fields: Vec<&str> = order.split(',').collect();
        match fields[..] {
            ["share", table, server, weight] => self.set_line(node, table, server, weight).is_some(),
            ["clear", table] => {
                table.parse().is_ok_and(|table: u16| self.holdings[node].tables.remove(&table).is_some())
            }
            ["bind", proxy, table, classes] => self.bind(node, proxy, table, classes).is_some(),
            ["admit", _, classes, level, tries] => {
                self.check_tries(node, classes, tries);
                level.parse::<f64>().is_ok_and(|level| level >= 0.0)
            }
            ["mark", mark, _] => mark.parse().is_ok_and(|mark: u16| self.apply_mark(node, mark)),
            _ => {
                self.violations.push(format!("node {node}: unknown order: {order}"));
                false
            }
        }
    }

    fn set_line(&mut self, node: usize, table: &str, server: &str, weight: &str) -> Option<()> {
        let (table, weight) = (table.parse::<u16>().ok()?, weight.parse::<f64>().ok()?);
        self.servers.iter().find(|known| known.id == server)?;
        let lines = self.holdings[node].tables.entry(table).or_default();
        if weight > 0.0 {
            lines.insert(server.to_owned(), weight);
        } else {
            lines.remove(server);
        }
        Some(())
    }

    fn bind(&mut self, node: usize, proxy: &str, table: &str, classes: &str) -> Option<()> {
        let (proxy, table) = (proxy.parse::<u16>().ok()?, table.parse::<u16>().ok()?);
        let holdings = &mut self.holdings[node];
        holdings.joined.get(&proxy)?;
        let classes: BTreeSet<&str> =
            if classes == "*" { CLASSES.into() } else { classes.split('+').collect() };
        for class in classes {
            holdings.bindings.insert((proxy, class.to_owned()), table);
        }
        Some(())
    }

    /// Operations that must not run twice may not be tried again after an arbitrary failure.
    fn check_tries(&mut self, node: usize, classes: &str, tries: &str) {
        let includes_single_shot = classes == "*" || classes.split('+').any(|class| class == "issue");
        if includes_single_shot && matches!(tries, "2" | "3") {
            self.violations.push(format!(
                "node {node}: a class that must not run twice may be tried again after any failure ({tries})"
            ));
        }
    }

    /// Marks increase; one is repeated when its call is repeated.
    fn apply_mark(&mut self, node: usize, mark: u16) -> bool {
        let holdings = &mut self.holdings[node];
        if holdings.last_mark.is_some_and(|last| mark.wrapping_sub(last) > u16::MAX / 2) {
            self.violations
                .push(format!("node {node}: mark {mark} after the higher mark {:?}", holdings.last_mark));
        }
        holdings.last_mark = Some(mark);
        let proxies: Vec<u16> = holdings.joined.keys().copied().collect();
        for proxy in proxies {
            self.publish(node, &format!("event: done\ndata: node={proxy}&nonce={mark}&latency=100.0\n\n"));
        }
        true
    }

    /// Changes the phase of a server; one of a lost zone stays removed. [`Phase::Ready`] is a new start.
    pub fn set_phase(&mut self, server: usize, phase: Phase) {
        let is_lost = self.lost_zone.is_some_and(|zone| zone_of(server) == zone);
        if is_lost && phase != Phase::Removed {
            return;
        }
        self.version += 1;
        let version = self.version;
        let server = &mut self.servers[server];
        (server.phase, server.version) = (phase.name(), version);
        if phase == Phase::Ready {
            let date = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (server.started, server.started_at) = (date.as_millis() as u64, Some(Instant::now()));
        }
    }

    /// Changes the phases of several servers in a single list update.
    pub fn set_phases(&mut self, servers: &[usize], phase: Phase) {
        servers.iter().for_each(|server| self.set_phase(*server, phase));
    }

    /// Removes the servers of a zone, and its proxies leave their nodes; returns these proxies.
    pub fn lose_zone(&mut self, zone: usize) -> Vec<u16> {
        self.lost_zone = Some(zone);
        (0..self.servers.len()).filter(|server| zone_of(*server) == zone).for_each(|server| {
            self.set_phase(server, Phase::Removed);
        });
        let mut left = Vec::new();
        for node in 0..self.holdings.len() {
            let joined = self.joined(node).into_iter();
            for proxy in joined.filter(|proxy| usize::from(*proxy) % ZONES.len() == zone) {
                self.leave(proxy, node);
                left.push(proxy);
            }
        }
        left
    }

    /// Ends the loss of a zone: all its servers start again.
    pub fn restore_zone(&mut self, zone: usize) {
        self.lost_zone = None;
        (0..self.servers.len()).filter(|server| zone_of(*server) == zone).for_each(|server| {
            self.set_phase(server, Phase::Ready);
        });
    }

    /// The list as JSON: in full, or the changes after a version.
    pub fn list(&self, after: Option<u64>) -> String {
        let entries = self.servers.iter().filter(|server| match after {
            Some(version) => server.version > version,
            None => server.phase != "DELETED",
        });
        list_json(self.version, after.is_none(), entries)
    }

    /// The list that was sent to a node last, as JSON.
    pub fn last_list_sent(&self, node: usize) -> String {
        let version = self.sent_lists[node].values().map(|server| server.version).max().unwrap_or(0);
        let entries = self.sent_lists[node].values().filter(|server| server.phase != "DELETED");
        list_json(version, true, entries)
    }

    /// Records that a list was sent to a node, which from now on knows the unavailable servers.
    pub fn record_list_sent(&mut self, node: usize, listed: &[Server]) {
        let known = &mut self.known_unavailable[node];
        self.sent_lists[node] = listed.iter().map(|server| (server.id.clone(), server.clone())).collect();
        for server in listed {
            if server.phase == "SERVING" {
                known.remove(&server.id);
            } else {
                known.entry(server.id.clone()).or_insert_with(Instant::now);
            }
        }
    }
}
