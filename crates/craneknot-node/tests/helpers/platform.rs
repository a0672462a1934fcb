//! A model of the platform, written from its protocol alone: discovery, a relay with event streams and a
//! channel, proxies that keep their tables when a stream ends, and a checker of these tables. It shares no
//! code with the coordinators under test. The test advances the time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use craneknot_node::clients::ClientId;
use craneknot_node::coordinator::Coordinator;
use craneknot_node::link::{LinkAction, LinkId};
use craneknot_platform::config::Config;
use http::{Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};

use super::channel::{ChannelChecker, ChannelSettings};
use super::invariants::{InvariantChecker, PlatformView};
use super::peers::orders;
use super::relay::{Change, Table};
use super::{configuration, ms};

pub const TICK: u64 = 5; // ms; time step of the model
pub const START: u64 = 36_000_000; // ms; wall-clock time at the start of a test
pub const CLASSES: [&str; 2] = ["lookup", "issue"];
/// The class that may run in one zone only.
pub const CONFINED_CLASS: &str = CLASSES[1];
const CALL_LATENCY: u64 = 5; // ms; from a call to its answer
const LIST_LATENCY: u64 = 20; // ms; from a change or a request to discovery's answer
pub const REPORT_INTERVAL: u64 = 1_000; // ms
const KEEPALIVE_INTERVAL: u64 = 1_000; // ms; keep-alive comments on an event stream

/// The table that a proxy uses for a class.
#[derive(Clone, Debug)]
pub enum Followed {
    /// The table that it started with, or kept when a stream ended.
    Kept(Table),
    /// A table of the coordinator that it has joined.
    Bound(u16),
}

pub struct Proxy {
    pub zone: &'static str,
    pub joined_to: Option<usize>,
    pub joined_at: u64,
    pub followed: BTreeMap<&'static str, Followed>,
    pub tables: BTreeMap<u16, Table>,
    pub(super) inbox: VecDeque<(u64, Vec<Change>)>,
    /// By class: the binding in the relay.
    pub(super) bound: BTreeMap<String, u16>,
}

impl Proxy {
    /// The table that it uses for a class.
    pub fn table(&self, class: &str) -> Table {
        match &self.followed[class] {
            Followed::Kept(table) => table.clone(),
            Followed::Bound(number) => self.tables.get(number).cloned().unwrap_or_default(),
        }
    }
}

/// A server in discovery.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: &'static str,
    pub phase: &'static str,
    /// Wall-clock time of its start; 0: long ago.
    pub started: u64,
    revision: u64,
}

enum Link {
    EventStream {
        in_transit: VecDeque<(u64, String)>,
        is_open: bool,
        next_keepalive: u64,
    },
    Call {
        answer: Option<(u64, String)>,
    },
    List {
        asked: Option<(Option<u64>, u64)>,
        due: Option<u64>,
    },
    Probe {
        server: String,
        due: u64,
    },
    Refused,
    /// Reset after the call was carried out.
    Reset,
}

/// Faults between a coordinator and its peers. Times are the moments at which the faults end, unless stated
/// otherwise.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The first event stream is silent; its events are delivered afterwards.
    pub first_stream_silent: u64,
    /// All event streams are silent.
    pub streams_silent: u64,
    /// Delay of the first event stream relative to the second, in ms.
    pub first_stream_lag: u64,
    /// Calls are executed, but their answers are lost.
    pub answers_lost: u64,
    /// Calls are executed, and their connections are reset in place of the answer.
    pub calls_reset: u64,
    /// Calls are neither executed nor answered.
    pub calls_lost: u64,
    /// New connections to the relay are refused.
    pub dials_refused: u64,
    /// Discovery does not answer.
    pub list_silent: u64,
    /// The time from a call to its answer in ms, if longer than the usual one.
    pub call_time: u64,
}

/// One coordinator, and the state that the relay and discovery keep for it.
pub struct CoordinatorSlot {
    pub coordinator: Option<Coordinator>,
    pub started_at: u64,
    pub faults: Faults,
    /// Each server as discovery last reported it, and since when it has had this phase.
    pub known_servers: BTreeMap<String, (Server, u64)>,
    pub log: Vec<String>,
    pub calls: u64,
    links: BTreeMap<LinkId, Link>,
    pub(super) joined: BTreeSet<u16>,
    pub(super) tables: BTreeMap<u16, Table>,
    pub(super) channel_free: f64,
    /// The last mark that the present process has sent.
    pub(super) last_mark: Option<u16>,
    pub(super) reports_at: u64,
}

pub struct Platform {
    pub now: u64,
    pub servers: BTreeMap<String, Server>,
    pub revision: u64,
    pub proxies: Vec<Proxy>,
    pub slots: Vec<CoordinatorSlot>,
    pub checker: InvariantChecker,
    /// The channel of each coordinator; to be set before the first one starts.
    pub channel: ChannelSettings,
    pub channel_checker: ChannelChecker,
    /// The only zone in which the confined class may run.
    pub confined_to: &'static str,
    pub(super) rng: Pcg32,
    seed: u64,
}

impl Platform {
    /// `servers`: number of servers in zone a and in zone b.
    pub fn new(seed: u64, coordinators: usize, proxies: u16, servers: (usize, usize)) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let zone_of = |k: usize| if k < servers.0 { "a" } else { "b" };
        let listed: BTreeMap<String, Server> = (0..servers.0 + servers.1)
            .map(|k| {
                (format!("s-{k}"), Server { zone: zone_of(k), phase: "SERVING", started: 0, revision: 1 })
            })
            .collect();
        let joined = |zone: &str, rng: &mut Pcg32| {
            let mut own: Vec<&String> =
                listed.iter().filter(|(_, server)| server.zone == zone).map(|(id, _)| id).collect();
            while own.len() > 10 {
                own.remove(rng.random_range(0..own.len()));
            }
            Table { lines: own.into_iter().map(|id| (id.clone(), 1.0)).collect(), levels: BTreeMap::new() }
        };
        let proxies = (0..proxies)
            .map(|number| {
                let zone = if number % 3 == 0 { "b" } else { "a" };
                let table = joined(zone, &mut rng);
                Proxy {
                    zone,
                    joined_to: None,
                    joined_at: START,
                    followed: CLASSES.map(|class| (class, Followed::Kept(table.clone()))).into(),
                    tables: BTreeMap::new(),
                    inbox: VecDeque::new(),
                    bound: BTreeMap::new(),
                }
            })
            .collect();
        let new_slot = || CoordinatorSlot {
            coordinator: None,
            started_at: START,
            faults: Faults::default(),
            known_servers: BTreeMap::new(),
            log: Vec::new(),
            calls: 0,
            links: BTreeMap::new(),
            joined: BTreeSet::new(),
            tables: BTreeMap::new(),
            channel_free: 0.0,
            last_mark: None,
            reports_at: 0,
        };
        Platform {
            now: START,
            servers: listed,
            revision: 1,
            proxies,
            slots: (0..coordinators).map(|_| new_slot()).collect(),
            checker: InvariantChecker::default(),
            channel: ChannelSettings::default(),
            channel_checker: ChannelChecker::default(),
            confined_to: "a",
            rng,
            seed,
        }
    }

    /// Milliseconds since the start.
    pub fn at(&self) -> u64 {
        self.now - START
    }

    pub fn list(&self) -> BTreeMap<String, Server> {
        self.servers.clone()
    }

    fn config(&mut self, known: &BTreeMap<String, Server>, revision: u64) -> Config {
        let mut value = configuration(0);
        let settings = &mut value["settings"];
        settings["balancers"] = self.slots.len().into();
        settings["profiles"][1]["only-zones"] = json!([self.confined_to]);
        let extra = &mut settings["extra"];
        extra["data-plane-size"] = self.proxies.len().into();
        extra["egress-per-s"] = (self.channel.lines_per_ms * 1e3).into();
        extra["queue-cap"] = self.channel.lines_limit.into();
        extra["envelope"] = self.channel.message_overhead.into();
        extra["update-cap"] = self.channel.message_limit.into();
        extra["reload-span"] = (self.channel.message_span_ms as f64 / 1e3).into();
        self.seed += 1;
        value["seed"] = format!("{:016x}", self.seed).into();
        let members: Vec<Value> = known.iter().map(|(id, server)| listed(id, server)).collect();
        value["known"] = json!({"revision": revision, "complete": true, "members": members});
        Config::parse(value.to_string().as_bytes()).unwrap()
    }

    /// Starts a coordinator with the list that it remembers.
    pub fn start(&mut self, slot_index: usize, known: &BTreeMap<String, Server>, revision: u64) {
        let config = self.config(known, revision);
        let mut coordinator = Coordinator::new(config, ms(self.now));
        for (id, zone) in [(1, "a"), (2, "b")] {
            coordinator.client_connected(ms(self.now), ClientId(id));
            let join = format!("{}\n", json!({"type": "telemetry", "locality": zone}));
            coordinator.client_input(ms(self.now), ClientId(id), &mut BytesMut::from(join.as_str()));
        }
        let slot = &mut self.slots[slot_index];
        (slot.coordinator, slot.started_at) = (Some(coordinator), self.now);
        slot.known_servers =
            known.iter().map(|(id, server)| (id.clone(), (server.clone(), self.now))).collect();
        (slot.channel_free, slot.reports_at) = (self.now as f64, self.now + REPORT_INTERVAL);
        slot.last_mark = None;
    }

    /// Kills a coordinator: its streams end, and everything queued or in transit is lost.
    pub fn kill(&mut self, slot_index: usize) {
        let joined = std::mem::take(&mut self.slots[slot_index].joined);
        joined.into_iter().for_each(|proxy| self.leave(proxy));
        let slot = &mut self.slots[slot_index];
        slot.coordinator = None;
        slot.links.clear();
        slot.tables.clear();
        slot.known_servers.clear();
    }

    /// Ends a proxy's stream: the proxy keeps its tables.
    pub fn leave(&mut self, number: u16) {
        let proxy = &mut self.proxies[usize::from(number)];
        let Some(slot_index) = proxy.joined_to.take() else { return };
        for class in CLASSES {
            let table = proxy.table(class);
            proxy.followed.insert(class, Followed::Kept(table));
        }
        proxy.tables.clear();
        proxy.inbox.clear();
        proxy.bound.clear();
        self.checker.proxy_left(number);
        if self.slots[slot_index].joined.remove(&number) {
            self.broadcast(slot_index, &format!("event: detach\ndata: node={number}\n\n"));
        }
    }

    /// Starts a proxy's stream.
    pub fn join(&mut self, number: u16, slot_index: usize) {
        self.leave(number);
        let proxy = &mut self.proxies[usize::from(number)];
        (proxy.joined_to, proxy.joined_at) = (Some(slot_index), self.now);
        let event = attach(number, proxy.zone);
        self.slots[slot_index].joined.insert(number);
        self.channel_checker.proxy_joined(number);
        self.broadcast(slot_index, &event);
    }

    pub(super) fn broadcast(&mut self, slot_index: usize, event: &str) {
        let (now, slot) = (self.now, &mut self.slots[slot_index]);
        let streams = slot.links.values_mut().filter_map(|link| match link {
            Link::EventStream { in_transit, .. } => Some(in_transit),
            Link::Call { .. } | Link::List { .. } | Link::Probe { .. } | Link::Refused | Link::Reset => None,
        });
        for (number, in_transit) in streams.enumerate() {
            let lag = if number == 0 { slot.faults.first_stream_lag } else { 0 };
            let due = now + 10 + lag;
            let due = in_transit.back().map_or(due, |(last, _)| due.max(*last));
            in_transit.push_back((due, event.to_owned()));
        }
    }

    /// Breaks the first event stream; events in transit on it are lost.
    pub fn end_first_stream(&mut self, slot_index: usize) {
        let now = self.now;
        let slot = &mut self.slots[slot_index];
        let first =
            slot.links.iter().find(|(_, link)| matches!(link, Link::EventStream { .. })).map(|(id, _)| *id);
        let Some(first) = first else { return };
        slot.links.remove(&first);
        if let Some(coordinator) = &mut slot.coordinator {
            coordinator.link_lost(ms(now), first, "reset");
        }
    }

    /// Changes a server in discovery.
    pub fn set_server(&mut self, id: &str, phase: &'static str, started: Option<u64>) {
        self.revision += 1;
        let server = self.servers.get_mut(id).unwrap();
        (server.phase, server.revision) = (phase, self.revision);
        server.started = started.unwrap_or(server.started);
    }

    /// Runs the model up to a moment, in ms since the start.
    pub fn run_to(&mut self, at: u64) {
        while self.at() < at {
            self.now += TICK;
            for slot_index in 0..self.slots.len() {
                self.deliver(slot_index);
                self.turn(slot_index);
            }
            self.apply();
            if self.now.is_multiple_of(20) {
                let view = PlatformView {
                    now: self.now,
                    slots: &self.slots,
                    proxies: &self.proxies,
                    confined_to: self.confined_to,
                };
                self.checker.check_all(&view);
            }
        }
    }

    /// Delivers due input to a coordinator.
    fn deliver(&mut self, slot_index: usize) {
        let now = self.now;
        let Some(mut coordinator) = self.slots[slot_index].coordinator.take() else { return };
        self.report(slot_index, &mut coordinator);
        let mut links = std::mem::take(&mut self.slots[slot_index].links);
        let mut ended = Vec::new();
        let mut stream = 0;
        for (id, link) in &mut links {
            let faults = self.slots[slot_index].faults.clone();
            match link {
                Link::Refused => {
                    coordinator.dial_failed(ms(now), *id, "refused");
                    ended.push(*id);
                }
                Link::Reset => {
                    coordinator.link_lost(ms(now), *id, "reset");
                    ended.push(*id);
                }
                Link::EventStream { in_transit, is_open, next_keepalive } => {
                    let first = stream == 0;
                    stream += 1;
                    if now < faults.streams_silent || first && now < faults.first_stream_silent {
                        continue;
                    }
                    let mut text = String::new();
                    if now >= *next_keepalive {
                        text.push_str(":\n");
                        *next_keepalive = now + KEEPALIVE_INTERVAL;
                    }
                    while in_transit.front().is_some_and(|(due, _)| *due <= now) {
                        text.push_str(&in_transit.pop_front().unwrap().1);
                    }
                    if !text.is_empty() || !*is_open {
                        *is_open = true;
                        coordinator.event_stream_input(ms(now), *id, StatusCode::OK, &Bytes::from(text));
                    }
                }
                Link::Call { answer } => {
                    if let Some((_, body)) = answer.take_if(|(due, _)| *due <= now) {
                        coordinator.answered(ms(now), *id, &response(&body), true);
                    }
                }
                Link::List { asked, due } => {
                    if now < faults.list_silent {
                        continue;
                    }
                    let Some((index, until)) = *asked else { continue };
                    let newer = index.is_none_or(|index| index < self.revision) || now >= until;
                    let due_at = if newer { *due.get_or_insert(now + LIST_LATENCY) } else { continue };
                    if due_at <= now {
                        (*asked, *due) = (None, None);
                        let body = self.list_answer(slot_index, index);
                        coordinator.answered(ms(now), *id, &response(&body), true);
                    }
                }
                Link::Probe { server, due } => {
                    if *due <= now {
                        ended.push(*id);
                        if self.servers[server].phase == "DELETED" {
                            coordinator.link_lost(ms(now), *id, "refused");
                        } else {
                            coordinator.answered(ms(now), *id, &response("TEXT inflight=1"), false);
                        }
                    }
                }
            }
        }
        ended.iter().for_each(|id| drop(links.remove(id)));
        self.slots[slot_index].links = links;
        self.slots[slot_index].coordinator = Some(coordinator);
    }

    fn list_answer(&mut self, slot_index: usize, index: Option<u64>) -> String {
        let (now, known_servers) = (self.now, &mut self.slots[slot_index].known_servers);
        let changed = |server: &Server| index.is_none_or(|index| server.revision > index);
        let mut members = Vec::new();
        for (id, server) in self.servers.iter().filter(|(_, server)| changed(server)) {
            let since = known_servers
                .get(id)
                .filter(|(known, _)| known.phase == server.phase)
                .map(|(_, since)| *since);
            known_servers.insert(id.clone(), (server.clone(), since.unwrap_or(now)));
            if index.is_some() || server.phase != "DELETED" {
                members.push(listed(id, server));
            }
        }
        json!({"revision": self.revision, "complete": index.is_none(), "members": members}).to_string()
    }

    /// Runs a turn of a coordinator and carries out its actions.
    fn turn(&mut self, slot_index: usize) {
        let now = self.now;
        let Some(coordinator) = &mut self.slots[slot_index].coordinator else { return };
        let todo = coordinator.turn(ms(now));
        let stamp = self.at();
        let lines = todo.log_events.iter().map(|event| format!("{stamp} {event:?}"));
        self.slots[slot_index].log.extend(lines);
        for act in todo.link_actions {
            match act {
                LinkAction::Close { link } => drop(self.slots[slot_index].links.remove(&link)),
                LinkAction::Dial { link, address, request } => {
                    let new = self.open_link(slot_index, address.port(), &request);
                    self.slots[slot_index].links.insert(link, new);
                    let is_up = !matches!(self.slots[slot_index].links[&link], Link::Refused);
                    if let Some(coordinator) = self.slots[slot_index].coordinator.as_mut().filter(|_| is_up) {
                        coordinator.link_connected(link);
                    }
                    self.send_request(slot_index, link, &request);
                }
                LinkAction::Send { link, request } => self.send_request(slot_index, link, &request),
            }
        }
    }

    fn open_link(&mut self, slot_index: usize, port: u16, request: &[u8]) -> Link {
        let now = self.now;
        let refused = now < self.slots[slot_index].faults.dials_refused;
        match path(request) {
            "/api/events" | "/api/" if refused => Link::Refused,
            "/api/events" => {
                let joined = self.slots[slot_index].joined.iter();
                let joined = joined.map(|id| (now + 10, attach(*id, self.proxies[usize::from(*id)].zone)));
                Link::EventStream {
                    in_transit: joined.collect(),
                    is_open: false,
                    next_keepalive: now + KEEPALIVE_INTERVAL,
                }
            }
            "/api/" => Link::Call { answer: None },
            "/metrics/load" => Link::Probe { server: format!("s-{}", port - 9_000), due: now + 5 },
            _ => Link::List { asked: None, due: None },
        }
    }

    fn send_request(&mut self, slot_index: usize, link: LinkId, request: &[u8]) {
        let now = self.now;
        match path(request) {
            "/api/" => {
                let faults = self.slots[slot_index].faults.clone();
                if now < faults.calls_lost || now < faults.dials_refused {
                    return;
                }
                let text = std::str::from_utf8(request).unwrap().replace("%2B", "+");
                let count = self.execute_call(slot_index, &orders(&text));
                self.slots[slot_index].calls += 1;
                if now < faults.calls_reset {
                    self.slots[slot_index].links.insert(link, Link::Reset);
                    return;
                }
                if now < faults.answers_lost {
                    return;
                }
                let body = format!("<Response><ok_count>{count}</ok_count></Response>");
                let due = now + faults.call_time.max(CALL_LATENCY);
                if let Some(Link::Call { answer }) = self.slots[slot_index].links.get_mut(&link) {
                    *answer = Some((due, body));
                }
            }
            other => {
                let number = |key: &str| {
                    let (_, rest) = other.split_once(key)?;
                    rest.split('&').next()?.parse::<u64>().ok()
                };
                let wait = number("wait=").unwrap_or(0);
                if let Some(Link::List { asked, due }) = self.slots[slot_index].links.get_mut(&link) {
                    (*asked, *due) = (Some((number("index="), now + wait)), None);
                }
            }
        }
    }
}

fn listed(id: &str, server: &Server) -> Value {
    let number: u16 = id.trim_start_matches("s-").parse().unwrap();
    json!({"id": id, "host_port": format!("127.0.0.1:{}", 9_000 + number), "cell": 0, "locality": server.zone,
           "flavor": "m2", "phase": server.phase, "size": 1.0, "up_since_ms": server.started})
}

fn attach(number: u16, zone: &str) -> String {
    format!("event: attach\ndata: node={number}&locality={zone}&w=20.0&cold=1\n\n")
}

fn response(body: &str) -> Response<Bytes> {
    Response::new(Bytes::copy_from_slice(body.as_bytes()))
}

fn path(request: &[u8]) -> &str {
    std::str::from_utf8(request).unwrap().split(' ').nth(1).unwrap()
}
