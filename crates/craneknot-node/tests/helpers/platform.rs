//! A model of the platform, written from its protocol alone: discovery, a relay with its event streams and its channel,
//! proxies that keep their tables when a stream ends, and a judge of what these hold. It shares no code with the
//! coordinators that it plays with; time stands still unless the test moves it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use craneknot_node::clients::ClientId;
use craneknot_node::coordinator::Coordinator;
use craneknot_node::link::{Act, LinkId};
use craneknot_platform::config::Config;
use http::{Response, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};

use super::judge::{Judge, View};
use super::peers::orders;
use super::relay::{Change, Table};
use super::{configuration, ms};

pub const TICK: u64 = 5; // ms; the shortest time between two events
pub const START: u64 = 36_000_000; // ms; the wall clock at the beginning of a day
pub const CLASSES: [&str; 2] = ["lookup", "issue"];
/// The class that may run in one zone alone.
pub const CONFINED_CLASS: &str = CLASSES[1];
const CALL_TIME: u64 = 5; // ms; from a call to its answer
const LIST_TIME: u64 = 20; // ms; from a change or a call to discovery's answer
pub const REPORTS_EVERY: u64 = 1_000; // ms
const SIGN_EVERY: u64 = 1_000; // ms; a sign of life on an event stream

/// What a proxy follows for a class.
#[derive(Clone, Debug)]
pub enum Followed {
    /// The table that it started with, or that was left of a stream which has ended.
    Kept(Table),
    /// A table of the coordinator that it is joined to.
    Bound(u16),
}

pub struct Proxy {
    pub zone: &'static str,
    pub joined_to: Option<usize>,
    pub joined_at: u64,
    pub followed: BTreeMap<&'static str, Followed>,
    pub tables: BTreeMap<u16, Table>,
    pub(super) inbox: VecDeque<(u64, Vec<Change>)>,
    /// By class: the binding as the relay has it.
    pub(super) bound: BTreeMap<String, u16>,
}

impl Proxy {
    /// What it picks from for a class.
    pub fn table(&self, class: &str) -> Table {
        match &self.followed[class] {
            Followed::Kept(table) => table.clone(),
            Followed::Bound(number) => self.tables.get(number).cloned().unwrap_or_default(),
        }
    }
}

/// A server as discovery has it.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: &'static str,
    pub phase: &'static str,
    /// Wall-clock time; 0: long ago.
    pub started: u64,
    revision: u64,
}

enum Link {
    News { way: VecDeque<(u64, String)>, is_open: bool, next_sign: u64 },
    Call { answer: Option<(u64, String)> },
    List { asked: Option<(Option<u64>, u64)>, due: Option<u64> },
    Probe { server: String, due: u64 },
    Refused,
}

/// Troubles on the way between a coordinator and its parties, until these moments.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    /// The first event stream says nothing; what it has to tell comes afterwards.
    pub first_stream_silent: u64,
    /// All event streams say nothing.
    pub streams_silent: u64,
    /// The first event stream brings everything so much later than the second, in ms.
    pub first_stream_lag: u64,
    /// Calls are carried out and their answers are lost.
    pub answers_lost: u64,
    /// Calls are neither carried out nor answered.
    pub calls_lost: u64,
    /// New connections to the relay are refused.
    pub dials_refused: u64,
    /// Discovery says nothing.
    pub list_silent: u64,
    /// The time from a call to its answer, where it is not the usual one.
    pub call_time: u64,
}

/// The place of one coordinator, and what the relay and discovery keep of it.
pub struct Place {
    pub coordinator: Option<Coordinator>,
    pub born: u64,
    pub troubles: Troubles,
    /// What discovery has told it of each server, and since when.
    pub told: BTreeMap<String, (Server, u64)>,
    pub log: Vec<String>,
    pub calls: u64,
    links: BTreeMap<LinkId, Link>,
    pub(super) joined: BTreeSet<u16>,
    pub(super) tables: BTreeMap<u16, Table>,
    pub(super) channel_free: f64,
    pub(super) reports_at: u64,
}

pub struct Platform {
    pub now: u64,
    pub servers: BTreeMap<String, Server>,
    pub revision: u64,
    pub proxies: Vec<Proxy>,
    pub places: Vec<Place>,
    pub judge: Judge,
    /// The only zone of the confined class.
    pub confined_to: &'static str,
    pub(super) rng: Pcg32,
    seed: u64,
}

impl Platform {
    /// `servers`: of zone a and of zone b.
    pub fn new(seed: u64, coordinators: usize, proxies: u16, servers: (usize, usize)) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let zone_of = |k: usize| if k < servers.0 { "a" } else { "b" };
        let listed: BTreeMap<String, Server> = (0..servers.0 + servers.1)
            .map(|k| {
                (format!("s-{k}"), Server { zone: zone_of(k), phase: "SERVING", started: 0, revision: 1 })
            })
            .collect();
        let standing = |zone: &str, rng: &mut Pcg32| {
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
                let table = standing(zone, &mut rng);
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
        let place = || Place {
            coordinator: None,
            born: START,
            troubles: Troubles::default(),
            told: BTreeMap::new(),
            log: Vec::new(),
            calls: 0,
            links: BTreeMap::new(),
            joined: BTreeSet::new(),
            tables: BTreeMap::new(),
            channel_free: 0.0,
            reports_at: 0,
        };
        Platform {
            now: START,
            servers: listed,
            revision: 1,
            proxies,
            places: (0..coordinators).map(|_| place()).collect(),
            judge: Judge::default(),
            confined_to: "a",
            rng,
            seed,
        }
    }

    /// Milliseconds since the day began.
    pub fn at(&self) -> u64 {
        self.now - START
    }

    pub fn list(&self) -> BTreeMap<String, Server> {
        self.servers.clone()
    }

    fn config(&mut self, known: &BTreeMap<String, Server>, revision: u64) -> Config {
        let mut value = configuration(0);
        let settings = &mut value["settings"];
        settings["balancers"] = self.places.len().into();
        settings["profiles"][1]["only-zones"] = json!([self.confined_to]);
        settings["extra"]["data-plane-size"] = self.proxies.len().into();
        self.seed += 1;
        value["seed"] = format!("{:016x}", self.seed).into();
        let members: Vec<Value> = known.iter().map(|(id, server)| listed(id, server)).collect();
        value["known"] = json!({"revision": revision, "complete": true, "members": members});
        Config::read(value.to_string().as_bytes()).unwrap()
    }

    /// A coordinator starts with the list that it had before.
    pub fn start(&mut self, place: usize, known: &BTreeMap<String, Server>, revision: u64) {
        let config = self.config(known, revision);
        let mut coordinator = Coordinator::new(config, ms(self.now));
        for (id, zone) in [(1, "a"), (2, "b")] {
            coordinator.client_connected(ms(self.now), ClientId(id));
            let hello = format!("{}\n", json!({"type": "telemetry", "locality": zone}));
            coordinator.client_input(ms(self.now), ClientId(id), &mut BytesMut::from(hello.as_str()));
        }
        let slot = &mut self.places[place];
        (slot.coordinator, slot.born) = (Some(coordinator), self.now);
        slot.told = known.iter().map(|(id, server)| (id.clone(), (server.clone(), self.now))).collect();
        (slot.channel_free, slot.reports_at) = (self.now as f64, self.now + REPORTS_EVERY);
    }

    /// A coordinator dies: its streams end, what waits and travels is lost.
    pub fn kill(&mut self, place: usize) {
        let joined = std::mem::take(&mut self.places[place].joined);
        joined.into_iter().for_each(|proxy| self.leave(proxy));
        let slot = &mut self.places[place];
        slot.coordinator = None;
        slot.links.clear();
        slot.tables.clear();
        slot.told.clear();
    }

    /// A proxy's stream ends: it keeps what it holds.
    pub fn leave(&mut self, number: u16) {
        let proxy = &mut self.proxies[usize::from(number)];
        let Some(place) = proxy.joined_to.take() else { return };
        for class in CLASSES {
            let table = proxy.table(class);
            proxy.followed.insert(class, Followed::Kept(table));
        }
        proxy.tables.clear();
        proxy.inbox.clear();
        proxy.bound.clear();
        self.judge.left(number);
        if self.places[place].joined.remove(&number) {
            self.tell(place, &format!("event: detach\ndata: node={number}\n\n"));
        }
    }

    /// A proxy's stream begins.
    pub fn join(&mut self, number: u16, place: usize) {
        self.leave(number);
        let proxy = &mut self.proxies[usize::from(number)];
        (proxy.joined_to, proxy.joined_at) = (Some(place), self.now);
        let news = attach(number, proxy.zone);
        self.places[place].joined.insert(number);
        self.tell(place, &news);
    }

    pub(super) fn tell(&mut self, place: usize, news: &str) {
        let (now, slot) = (self.now, &mut self.places[place]);
        let streams = slot.links.values_mut().filter_map(|link| match link {
            Link::News { way, .. } => Some(way),
            Link::Call { .. } | Link::List { .. } | Link::Probe { .. } | Link::Refused => None,
        });
        for (number, way) in streams.enumerate() {
            let lag = if number == 0 { slot.troubles.first_stream_lag } else { 0 };
            let due = now + 10 + lag;
            let due = way.back().map_or(due, |(last, _)| due.max(*last));
            way.push_back((due, news.to_owned()));
        }
    }

    /// The first event stream breaks; what was on its way there is lost.
    pub fn end_first_stream(&mut self, place: usize) {
        let now = self.now;
        let slot = &mut self.places[place];
        let first = slot.links.iter().find(|(_, link)| matches!(link, Link::News { .. })).map(|(id, _)| *id);
        let Some(first) = first else { return };
        slot.links.remove(&first);
        if let Some(coordinator) = &mut slot.coordinator {
            coordinator.link_lost(ms(now), first, "reset");
        }
    }

    /// Discovery learns of a server.
    pub fn set_server(&mut self, id: &str, phase: &'static str, started: Option<u64>) {
        self.revision += 1;
        let server = self.servers.get_mut(id).unwrap();
        (server.phase, server.revision) = (phase, self.revision);
        server.started = started.unwrap_or(server.started);
    }

    /// Moves the day on to a moment, in ms since it began.
    pub fn run_to(&mut self, at: u64) {
        while self.at() < at {
            self.now += TICK;
            for place in 0..self.places.len() {
                self.deliver(place);
                self.turn(place);
            }
            self.apply();
            if self.now.is_multiple_of(20) {
                let view = View {
                    now: self.now,
                    places: &self.places,
                    proxies: &self.proxies,
                    confined_to: self.confined_to,
                };
                self.judge.look(&view);
            }
        }
    }

    /// Gives a coordinator what is due.
    fn deliver(&mut self, place: usize) {
        let now = self.now;
        let Some(mut coordinator) = self.places[place].coordinator.take() else { return };
        self.report(place, &mut coordinator);
        let mut links = std::mem::take(&mut self.places[place].links);
        let mut ended = Vec::new();
        let mut stream = 0;
        for (id, link) in &mut links {
            let troubles = self.places[place].troubles.clone();
            match link {
                Link::Refused => {
                    coordinator.link_lost(ms(now), *id, "refused");
                    ended.push(*id);
                }
                Link::News { way, is_open, next_sign } => {
                    let first = stream == 0;
                    stream += 1;
                    if now < troubles.streams_silent || first && now < troubles.first_stream_silent {
                        continue;
                    }
                    let mut text = String::new();
                    if now >= *next_sign {
                        text.push_str(":\n");
                        *next_sign = now + SIGN_EVERY;
                    }
                    while way.front().is_some_and(|(due, _)| *due <= now) {
                        text.push_str(&way.pop_front().unwrap().1);
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
                    if now < troubles.list_silent {
                        continue;
                    }
                    let Some((index, until)) = *asked else { continue };
                    let newer = index.is_none_or(|index| index < self.revision) || now >= until;
                    let due_at = if newer { *due.get_or_insert(now + LIST_TIME) } else { continue };
                    if due_at <= now {
                        (*asked, *due) = (None, None);
                        let body = self.list_answer(place, index);
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
        self.places[place].links = links;
        self.places[place].coordinator = Some(coordinator);
    }

    fn list_answer(&mut self, place: usize, index: Option<u64>) -> String {
        let (now, told) = (self.now, &mut self.places[place].told);
        let changed = |server: &Server| index.is_none_or(|index| server.revision > index);
        let mut members = Vec::new();
        for (id, server) in self.servers.iter().filter(|(_, server)| changed(server)) {
            let since =
                told.get(id).filter(|(known, _)| known.phase == server.phase).map(|(_, since)| *since);
            told.insert(id.clone(), (server.clone(), since.unwrap_or(now)));
            if index.is_some() || server.phase != "DELETED" {
                members.push(listed(id, server));
            }
        }
        json!({"revision": self.revision, "complete": index.is_none(), "members": members}).to_string()
    }

    /// Lets a coordinator act.
    fn turn(&mut self, place: usize) {
        let now = self.now;
        let Some(coordinator) = &mut self.places[place].coordinator else { return };
        let todo = coordinator.turn(ms(now));
        let stamp = self.at();
        let lines = todo.log_events.iter().map(|event| format!("{stamp} {event:?}"));
        self.places[place].log.extend(lines);
        for act in todo.link_actions {
            match act {
                Act::Drop { link } => drop(self.places[place].links.remove(&link)),
                Act::Dial { link, address, request } => {
                    let new = self.dialled(place, address.port(), &request);
                    self.places[place].links.insert(link, new);
                    self.ask(place, link, &request);
                }
                Act::Send { link, request } => self.ask(place, link, &request),
            }
        }
    }

    fn dialled(&mut self, place: usize, port: u16, request: &[u8]) -> Link {
        let now = self.now;
        let refused = now < self.places[place].troubles.dials_refused;
        match path(request) {
            "/api/events" | "/api/" if refused => Link::Refused,
            "/api/events" => {
                let standing = self.places[place].joined.iter();
                let standing =
                    standing.map(|id| (now + 10, attach(*id, self.proxies[usize::from(*id)].zone)));
                Link::News { way: standing.collect(), is_open: false, next_sign: now + SIGN_EVERY }
            }
            "/api/" => Link::Call { answer: None },
            "/metrics/load" => Link::Probe { server: format!("s-{}", port - 9_000), due: now + 5 },
            _ => Link::List { asked: None, due: None },
        }
    }

    fn ask(&mut self, place: usize, link: LinkId, request: &[u8]) {
        let now = self.now;
        match path(request) {
            "/api/" => {
                let troubles = self.places[place].troubles.clone();
                if now < troubles.calls_lost || now < troubles.dials_refused {
                    return;
                }
                let text = std::str::from_utf8(request).unwrap().replace("%2B", "+");
                let count = self.carry_out(place, &orders(&text));
                self.places[place].calls += 1;
                if now < troubles.answers_lost {
                    return;
                }
                let body = format!("<Response><ok_count>{count}</ok_count></Response>");
                let due = now + troubles.call_time.max(CALL_TIME);
                if let Some(Link::Call { answer }) = self.places[place].links.get_mut(&link) {
                    *answer = Some((due, body));
                }
            }
            other => {
                let number = |key: &str| {
                    let (_, rest) = other.split_once(key)?;
                    rest.split('&').next()?.parse::<u64>().ok()
                };
                let wait = number("wait=").unwrap_or(0);
                if let Some(Link::List { asked, due }) = self.places[place].links.get_mut(&link) {
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
