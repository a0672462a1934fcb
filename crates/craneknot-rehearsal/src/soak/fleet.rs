//! What relay and discovery know: which proxy is joined to which node, what each was ordered, and the list of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One server as listed.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub phase: &'static str,
    /// The version of the list that brought this.
    pub version: u64,
    /// When it started, in milliseconds since 1970; 0: long ago.
    pub started: u64,
    /// The same by the clock that nobody steps; nothing: long ago.
    pub started_at: Option<Instant>,
}

/// What may become of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Ready => "SERVING",
            Phase::Draining => "DRAINING",
            Phase::Gone => "DELETED",
        }
    }
}

/// A list as JSON.
fn list_of<'a>(version: u64, complete: bool, servers: impl Iterator<Item = &'a Server>) -> String {
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

/// What one node's proxies hold.
#[derive(Default)]
pub struct Holdings {
    /// When each joined proxy joined.
    pub joined: BTreeMap<u16, Instant>,
    /// By proxy and class: its table.
    pub bound: BTreeMap<(u16, String), u16>,
    /// By table: its lines.
    pub tables: BTreeMap<u16, BTreeMap<String, f64>>,
    /// News not told yet, by stream.
    pub streams: BTreeMap<u64, Vec<String>>,
    /// The last mark of this process, and what was out of order.
    pub last_mark: Option<u16>,
}

/// All of it.
pub struct Fleet {
    pub servers: Vec<Server>,
    pub version: u64,
    pub holdings: Vec<Holdings>,
    /// By node: since when it knows of each server that drains or is gone.
    pub known_lost: Vec<BTreeMap<String, Instant>>,
    /// By node: the list as it was last told, whatever process of the node heard it.
    pub told: Vec<BTreeMap<String, Server>>,
    /// The zone that is lost for now: its servers are gone, and stay so.
    lost_zone: Option<usize>,
    /// Discovery answers whole lists, and how late.
    pub answer_whole: bool,
    pub lag: Duration,
    /// What the relay saw that may not be.
    pub broken: Vec<String>,
    next_stream: u64,
}

pub const CLASSES: [&str; 2] = ["lookup", "issue"];
pub const ZONES: [&str; 2] = ["a", "b"];
const LAST_RELEASE: Duration = Duration::from_secs(1_800); // before the soak: all servers started then
/// The class that may run in one zone alone, and that zone's place.
pub const ONLY_ZONE_CLASS: &str = "issue";
pub const ONLY_ZONE: usize = 0;

/// The place of a server's zone.
pub fn zone_of(server: usize) -> usize {
    server % ZONES.len()
}

impl Fleet {
    /// So many nodes, proxies and servers; proxies are joined to nodes in turn.
    pub fn new(nodes: usize, proxies: u16, servers: usize) -> Self {
        let date = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = date.saturating_sub(LAST_RELEASE).as_millis() as u64;
        let server = |number: usize| Server {
            id: format!("s-{number:02}"),
            zone: ZONES[zone_of(number)],
            phase: "SERVING",
            version: 1,
            started,
            started_at: None,
        };
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let told: BTreeMap<String, Server> =
            servers.iter().map(|server| (server.id.clone(), server.clone())).collect();
        let mut fleet = Fleet {
            servers,
            version: 1,
            holdings: (0..nodes).map(|_| Holdings::default()).collect(),
            known_lost: vec![BTreeMap::new(); nodes],
            told: vec![told; nodes],
            lost_zone: None,
            answer_whole: false,
            lag: Duration::ZERO,
            broken: Vec::new(),
            next_stream: 0,
        };
        (0..proxies).for_each(|proxy| fleet.join(proxy, usize::from(proxy) % nodes));
        fleet
    }

    fn tell(&mut self, node: usize, event: &str) {
        self.holdings[node].streams.values_mut().for_each(|waiting| waiting.push(event.to_owned()));
    }

    fn attach_event(proxy: u16) -> String {
        let zone = ZONES[usize::from(proxy) % 2];
        format!("event: attach\ndata: node={proxy}&locality={zone}&w=3.5&cold=1\n\n")
    }

    /// A proxy joins a node, with nothing of that node's tables.
    pub fn join(&mut self, proxy: u16, node: usize) {
        let holdings = &mut self.holdings[node];
        holdings.joined.insert(proxy, Instant::now());
        holdings.bound.retain(|(of, _), _| *of != proxy);
        self.tell(node, &Self::attach_event(proxy));
    }

    /// A proxy leaves a node.
    pub fn leave(&mut self, proxy: u16, node: usize) {
        if self.holdings[node].joined.remove(&proxy).is_some() {
            self.holdings[node].bound.retain(|(of, _), _| *of != proxy);
            self.tell(node, &format!("event: detach\ndata: node={proxy}\n\n"));
        }
    }

    /// The proxies joined to a node.
    pub fn joined(&self, node: usize) -> Vec<u16> {
        self.holdings[node].joined.keys().copied().collect()
    }

    /// A node's process has ended: its tables and streams are lost.
    pub fn process_ended(&mut self, node: usize) {
        let joined = std::mem::take(&mut self.holdings[node].joined);
        self.holdings[node] = Holdings { joined, ..Holdings::default() };
        self.known_lost[node].clear();
    }

    /// A stream of news opens, and begins with what stands.
    pub fn open_stream(&mut self, node: usize) -> u64 {
        self.next_stream += 1;
        let standing = self.joined(node).into_iter().map(Self::attach_event).collect();
        self.holdings[node].streams.insert(self.next_stream, standing);
        self.next_stream
    }

    /// What a stream has to tell; nothing: the stream is over.
    pub fn take_news(&mut self, node: usize, stream: u64) -> Option<Vec<String>> {
        self.holdings[node].streams.get_mut(&stream).map(std::mem::take)
    }

    /// A stream has ended.
    pub fn close_stream(&mut self, node: usize, stream: u64) {
        self.holdings[node].streams.remove(&stream);
    }

    /// Carries out orders up to the first that can't be used; how many were.
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
            ["mark", mark, _] => mark.parse().is_ok_and(|mark: u16| self.mark(node, mark)),
            _ => {
                self.broken.push(format!("node {node}: an order that is none: {order}"));
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
        let named: BTreeSet<&str> =
            if classes == "*" { CLASSES.into() } else { classes.split('+').collect() };
        for class in named {
            holdings.bound.insert((proxy, class.to_owned()), table);
        }
        Some(())
    }

    /// What must not run twice is not to be tried again after any failure.
    fn check_tries(&mut self, node: usize, classes: &str, tries: &str) {
        let names_unsafe = classes == "*" || classes.split('+').any(|class| class == "issue");
        if names_unsafe && matches!(tries, "2" | "3") {
            self.broken.push(format!("node {node}: what must not run twice is tried again ({tries})"));
        }
    }

    /// Marks grow; one may come again where its call was made again.
    fn mark(&mut self, node: usize, mark: u16) -> bool {
        let holdings = &mut self.holdings[node];
        if holdings.last_mark.is_some_and(|last| mark.wrapping_sub(last) > u16::MAX / 2) {
            self.broken.push(format!("node {node}: mark {mark} after {:?}", holdings.last_mark));
        }
        holdings.last_mark = Some(mark);
        let answers: Vec<u16> = holdings.joined.keys().copied().collect();
        for proxy in answers {
            self.tell(node, &format!("event: done\ndata: node={proxy}&nonce={mark}&latency=100.0\n\n"));
        }
        true
    }

    /// A server's phase changes; one of a lost zone stays gone. `ready` has it start anew.
    pub fn set_phase(&mut self, server: usize, phase: Phase) {
        let is_lost = self.lost_zone.is_some_and(|zone| zone_of(server) == zone);
        if is_lost && phase != Phase::Gone {
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

    /// The phases of several servers change in one step of the list.
    pub fn set_phases(&mut self, servers: &[usize], phase: Phase) {
        servers.iter().for_each(|server| self.set_phase(*server, phase));
    }

    /// A zone is lost: its servers are gone, and its proxies leave. Who they were.
    pub fn lose_zone(&mut self, zone: usize) -> Vec<u16> {
        self.lost_zone = Some(zone);
        (0..self.servers.len()).filter(|server| zone_of(*server) == zone).for_each(|server| {
            self.set_phase(server, Phase::Gone);
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

    /// The zone is back: all of its servers start anew.
    pub fn regain_zone(&mut self, zone: usize) {
        self.lost_zone = None;
        (0..self.servers.len()).filter(|server| zone_of(*server) == zone).for_each(|server| {
            self.set_phase(server, Phase::Ready);
        });
    }

    /// The list as JSON: whole, or what changed after a version.
    pub fn list(&self, after: Option<u64>) -> String {
        let entries = self.servers.iter().filter(|server| match after {
            Some(version) => server.version > version,
            None => server.phase != "DELETED",
        });
        list_of(self.version, after.is_none(), entries)
    }

    /// The list as JSON, as a node was told it last.
    pub fn known(&self, node: usize) -> String {
        let version = self.told[node].values().map(|server| server.version).max().unwrap_or(0);
        let entries = self.told[node].values().filter(|server| server.phase != "DELETED");
        list_of(version, true, entries)
    }

    /// A list was written to a node: from now on it knows who is lost.
    pub fn list_told(&mut self, node: usize, listed: &[Server]) {
        let known = &mut self.known_lost[node];
        self.told[node] = listed.iter().map(|server| (server.id.clone(), server.clone())).collect();
        for server in listed {
            if server.phase == "SERVING" {
                known.remove(&server.id);
            } else {
                known.entry(server.id.clone()).or_insert_with(Instant::now);
            }
        }
    }
}
