//! The stand-in proxies and the clients on sockets: one loop for all.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_http::{request, response, Limits as HttpLimits, RequestReader, ResponseReader};
use craneknot_reactor::{
    reserve, Clock, ConnId, FolderWatch, Limits, ListenerId, Reactor, ReactorEvent, TimerId,
};
use craneknot_settings::Repeats;
use craneknot_xds::discovery::{Kind, Node};
use craneknot_xds::load::{self, LoadStatsRequest, Seconds};
use craneknot_xds::orca;
use http::{header as http_header, HeaderName, Method, Request, Response, StatusCode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::Socket;

use crate::caller::{Answer, Caller, Next, Operation};
use crate::load_totals::LoadTotals;
use crate::plan::{Plan, ProxyAct, ServerAct};
use crate::proxy_policy::{ProxyPolicy, Rejection, Tried};
use crate::record::{EndedAs, Log, OpId, What};
use crate::script::{Plant, Script};
use crate::servers::{header, number};

const FOLDERS: usize = 1; // the number under which the proxies' folders are watched
const LIMITS: HttpLimits = HttpLimits { head: 8 * 1024, body: 64 * 1024 };

enum Due {
    Act(usize),
    Rate(usize),
    NextOperation,
    /// A client's attempt has waited long enough.
    ClientOver(u64),
    ClientAgain(Box<Operation>),
    /// A proxy's try has waited long enough.
    TryOver(u64),
    ConnectOver(ConnId),
    Report(usize),
    Resume(usize),
    Plant,
    End,
}

enum Use {
    /// A client's connection, as the proxy sees it.
    FromClient {
        proxy: usize,
        reader: RequestReader,
        serving: Option<u64>,
    },
    /// A proxy's connection to a server.
    ToServer {
        proxy: usize,
        server: usize,
        reader: ResponseReader,
        trying: Option<u64>,
        connected: bool,
    },
    /// A client's connection, as the client sees it.
    ToProxy {
        proxy: usize,
        reader: ResponseReader,
        asking: Option<u64>,
    },
    ToAgent {
        proxy: usize,
        reader: ResponseReader,
    },
}

/// An operation within a proxy.
struct Serving {
    proxy: usize,
    client: ConnId,
    class: usize,
    op: OpId,
    attempt: u32,
    work_us: u64,
    key: u32,
    until: Nanos,
    tried: Vec<usize>,
    conn: Option<ConnId>,
    sent: Nanos,
    over: Option<TimerId>,
}

struct Asking {
    operation: Operation,
    conn: ConnId,
    over: TimerId,
}

struct Proxy {
    name: String,
    zone: usize,
    folder: PathBuf,
    address: SocketAddr,
    /// Keeps the address while the proxy is dead.
    _reserve: Socket,
    listener: Option<ListenerId>,
    chooser: ProxyPolicy,
    up: bool,
    down_since: Option<Nanos>,
    stalled_until: Option<Nanos>,
    deferred: Vec<ReactorEvent<Due>>,
    unread: BTreeSet<Kind>,
    idle: BTreeMap<usize, Vec<ConnId>>,
    conns: BTreeSet<ConnId>,
    sums: LoadTotals,
    sums_since: Nanos,
    agent: Option<ConnId>,
    paths: BTreeMap<usize, f64>,
}

pub struct Host {
    reactor: Reactor<Due>,
    watch: FolderWatch,
    script: Script,
    proxies: Vec<Proxy>,
    by_listener: BTreeMap<ListenerId, usize>,
    by_folder: BTreeMap<PathBuf, usize>,
    servers: Vec<SocketAddr>,
    server_zones: Vec<String>,
    numbers: HashMap<String, usize>,
    uses: HashMap<ConnId, Use>,
    serving: HashMap<u64, Serving>,
    asking: HashMap<u64, Asking>,
    client_idle: BTreeMap<usize, Vec<ConnId>>,
    next: u64,
    caller: Caller,
    upcoming: Option<Operation>,
    factor: f64,
    acts: Vec<(Nanos, usize, ProxyAct)>,
    rates: Vec<(Nanos, f64)>,
    starts: Vec<(Nanos, usize)>,
    rng: Pcg32,
    stop_asking: Nanos,
    planted: bool,
    log: Log,
}

/// Where a proxy's agent says that it listens.
pub fn agent_ready(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(format!("agent-{proxy}.ready.json"))
}

pub fn proxy_name(proxy: usize) -> String {
    format!("proxy-{proxy}")
}

/// The folder of the files that a proxy follows.
pub fn proxy_folder(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(proxy_name(proxy))
}

/// The address in a file that tells that a process listens.
pub fn ready_address(path: &Path) -> Option<SocketAddr> {
    let value: serde_json::Value = serde_json::from_slice(&fs::read(path).ok()?).ok()?;
    value.get("address")?.as_str()?.parse().ok()
}

impl Host {
    pub fn new(
        script: &Script,
        plan: &Plan,
        servers: Vec<SocketAddr>,
        folder: &Path,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Self> {
        let mut reactor = Reactor::new(clock, Limits { input: 64 * 1024, ..Limits::default() })?;
        let mut watch = FolderWatch::new()?;
        let (mut proxies, mut by_listener, mut by_folder) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        let classes: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        for (place, zone) in plan.proxy_zones.iter().enumerate() {
            let (reserve, address) = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            let listener = reactor.listen_reserved(address)?;
            by_listener.insert(listener, place);
            let name = proxy_name(place);
            let home = proxy_folder(folder, place);
            fs::create_dir_all(&home)?;
            watch.add(&home)?;
            by_folder.insert(home.clone(), place);
            let seed = script.seed.wrapping_mul(31).wrapping_add(place as u64);
            proxies.push(Proxy {
                name,
                zone: script.zones.iter().position(|other| other == zone).unwrap_or(0),
                folder: home,
                address,
                _reserve: reserve,
                listener: Some(listener),
                chooser: ProxyPolicy::new(
                    classes.clone(),
                    script.habits.ejects,
                    script.habits.keep_away.0,
                    seed,
                ),
                up: true,
                down_since: None,
                stalled_until: None,
                deferred: Vec::new(),
                unread: BTreeSet::new(),
                idle: BTreeMap::new(),
                conns: BTreeSet::new(),
                sums: LoadTotals::default(),
                sums_since: reactor.now(),
                agent: None,
                paths: BTreeMap::new(),
            });
        }
        reactor.watch(&watch, FOLDERS)?;
        let caller = Caller::new(script, script.seed ^ 0xca11).ok_or(io::ErrorKind::InvalidInput)?;
        let started = |(at, server, act): &(Nanos, usize, ServerAct)| {
            (*act == ServerAct::Start).then_some((*at, *server))
        };
        Ok(Host {
            reactor,
            watch,
            script: script.clone(),
            proxies,
            by_listener,
            by_folder,
            numbers: servers.iter().enumerate().map(|(place, at)| (at.to_string(), place)).collect(),
            servers,
            server_zones: plan.servers.iter().map(|server| server.group.zone.clone()).collect(),
            uses: HashMap::new(),
            serving: HashMap::new(),
            asking: HashMap::new(),
            client_idle: BTreeMap::new(),
            next: 0,
            caller,
            upcoming: None,
            factor: 1.0,
            acts: plan.proxy_acts.clone(),
            rates: plan.rates.clone(),
            starts: plan.server_acts.iter().filter_map(started).collect(),
            rng: Pcg32::seed_from_u64(script.seed ^ 0x9107),
            stop_asking: Nanos(u64::MAX),
            planted: false,
            log: Log::default(),
        })
    }

    /// Follows the files from now on, lets clients come from `begin` to `stop`, and gives the record at `end`.
    pub fn run(mut self, folder: &Path, begin: Nanos, stop: Nanos, end: Nanos) -> io::Result<Log> {
        let now = self.reactor.now();
        self.starts.iter_mut().for_each(|(at, _)| *at = begin + *at);
        for place in 0..self.acts.len() {
            self.reactor.set_timer(begin + self.acts[place].0, Due::Act(place));
        }
        for place in 0..self.rates.len() {
            self.reactor.set_timer(begin + self.rates[place].0, Due::Rate(place));
        }
        for proxy in 0..self.proxies.len() {
            self.log.add(now, What::Proxy { proxy, up: true });
            Kind::ALL.into_iter().for_each(|kind| self.take_up(proxy, kind));
            let spread = Nanos(self.rng.random_range(0..self.script.report_period.0 .0.max(1)));
            self.reactor.set_timer(now + spread, Due::Report(proxy));
        }
        if !self.script.plants.is_empty() {
            self.reactor.set_timer(begin + Nanos(self.script.length.0 .0 / 3), Due::Plant);
        }
        self.stop_asking = stop;
        self.plan_next(begin);
        self.reactor.set_timer(end, Due::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(happened) = self.reactor.next_event() {
                if let ReactorEvent::Timer(Due::End) = happened {
                    return Ok(self.log);
                }
                if let Some(happened) = self.defer(happened) {
                    self.happen(folder, happened)?;
                }
            }
        }
    }

    /// Keeps what happens to a proxy that stands still for later.
    fn defer(&mut self, happened: ReactorEvent<Due>) -> Option<ReactorEvent<Due>> {
        let conn = match &happened {
            ReactorEvent::Received { conn } | ReactorEvent::Connected { conn } => *conn,
            ReactorEvent::Accepted { .. }
            | ReactorEvent::Flushed { .. }
            | ReactorEvent::Closed { .. }
            | ReactorEvent::Timer(_)
            | ReactorEvent::Ready(_)
            | ReactorEvent::Signal(_) => return Some(happened),
        };
        let proxy = match self.uses.get(&conn) {
            Some(Use::FromClient { proxy, .. } | Use::ToServer { proxy, .. }) => *proxy,
            Some(Use::ToProxy { .. } | Use::ToAgent { .. }) | None => return Some(happened),
        };
        if self.proxies[proxy].stalled_until.is_some() {
            self.proxies[proxy].deferred.push(happened);
            return None;
        }
        Some(happened)
    }

    fn happen(&mut self, folder: &Path, happened: ReactorEvent<Due>) -> io::Result<()> {
        match happened {
            ReactorEvent::Accepted { listener, conn, .. } => {
                let Some(proxy) = self.by_listener.get(&listener).copied() else {
                    self.reactor.close(conn);
                    return Ok(());
                };
                self.proxies[proxy].conns.insert(conn);
                let reader = RequestReader::new(LIMITS);
                self.uses.insert(conn, Use::FromClient { proxy, reader, serving: None });
            }
            ReactorEvent::Connected { conn } => {
                if let Some(Use::ToServer { connected, .. }) = self.uses.get_mut(&conn) {
                    *connected = true;
                }
            }
            ReactorEvent::Received { conn } => self.came(conn),
            ReactorEvent::Closed { conn, .. } => self.closed(conn),
            ReactorEvent::Flushed { .. } | ReactorEvent::Signal(_) => {}
            ReactorEvent::Ready(_) => {
                for (home, name) in self.watch.changes()? {
                    let Some(proxy) = self.by_folder.get(&home).copied() else { continue };
                    let named = |kind: &Kind| name.as_ref().is_none_or(|name| name == kind.file());
                    Kind::ALL.into_iter().filter(named).for_each(|kind| self.take_up(proxy, kind));
                }
            }
            ReactorEvent::Timer(due) => self.due(folder, due),
        }
        Ok(())
    }

    fn due(&mut self, folder: &Path, due: Due) {
        let now = self.reactor.now();
        match due {
            Due::Act(place) => self.act(place),
            Due::Rate(place) => self.factor = self.rates[place].1,
            Due::NextOperation => {
                // From the moment it was due, not from now: a late loop must not thin out the traffic.
                let mut due = now;
                if let Some(operation) = self.upcoming.take() {
                    due = operation.asked;
                    let (op, class, zone) = (operation.id, operation.class, operation.zone);
                    self.log.add(now, What::Asked { op, class, zone });
                    self.ask(operation);
                }
                self.plan_next(due);
            }
            Due::ClientOver(number) => self.client_done(number, Answer::Silent, true),
            Due::ClientAgain(operation) => self.ask(*operation),
            Due::TryOver(number) => self.try_done(number, Tried::Failed, true),
            Due::ConnectOver(conn) => {
                if let Some(Use::ToServer { connected: false, .. }) = self.uses.get(&conn) {
                    self.closed(conn);
                    self.reactor.close(conn);
                }
            }
            Due::Report(proxy) => self.report(folder, proxy),
            Due::Resume(proxy) => {
                if self.proxies[proxy].stalled_until.is_some_and(|until| until <= now) {
                    self.proxies[proxy].stalled_until = None;
                    // What stands on the disk by now comes before what waited in the sockets.
                    let unread = std::mem::take(&mut self.proxies[proxy].unread);
                    unread.into_iter().for_each(|kind| self.take_up(proxy, kind));
                    for happened in std::mem::take(&mut self.proxies[proxy].deferred) {
                        let _ = self.happen(folder, happened);
                    }
                }
            }
            Due::Plant => self.plant(),
            Due::End => {}
        }
    }

    // The files.

    fn take_up(&mut self, proxy: usize, kind: Kind) {
        let now = self.reactor.now();
        let held = &mut self.proxies[proxy];
        if !held.up {
            return;
        }
        if held.stalled_until.is_some() {
            held.unread.insert(kind);
            return;
        }
        if self.planted && self.script.plants.contains(&Plant::KeepDrained) {
            return;
        }
        // A binding that changed begins a new subscription to its table, which is read anew, after the binding: the
        // one that was read before may be older than what the binding was meant for.
        let kinds: &[Kind] = match kind {
            Kind::Clusters => &[Kind::Clusters, Kind::Routes, Kind::Endpoints],
            Kind::Endpoints | Kind::Routes => &[kind],
        };
        let read = |kind: &Kind| Some((*kind, fs::read(held.folder.join(kind.file())).ok()?));
        let texts: Vec<(Kind, Vec<u8>)> = kinds.iter().filter_map(read).collect();
        let numbers = &self.numbers;
        let number = |server: &str| numbers.get(server).copied();
        let torn = texts
            .into_iter()
            .rev()
            .find_map(|(kind, text)| held.chooser.load_file(kind, &text, &number).err());
        match torn {
            None => self
                .log
                .add(now, What::Swapped { proxy, lines: held.chooser.lines(), epoch: held.chooser.epoch() }),
            Some(fault) => self.log.add(now, What::Torn { proxy, cause: fault.to_string() }),
        }
    }

    // The clients.

    fn plan_next(&mut self, now: Nanos) {
        let (at, operation) = self.caller.next(now, self.factor);
        if at < self.stop_asking {
            self.upcoming = Some(operation);
            self.reactor.set_timer(at, Due::NextOperation);
        }
    }

    /// A proxy of the zone that the front layer does not know to be dead.
    fn front(&mut self, zone: usize) -> Option<usize> {
        let (now, lag) = (self.reactor.now(), self.script.clients.front_lag.0);
        let alive = |proxy: &Proxy| proxy.down_since.is_none_or(|since| now - since < lag);
        let near = |proxy: &Proxy| proxy.zone == zone;
        let all = || self.proxies.iter().enumerate().filter(|(_, proxy)| alive(proxy));
        let mut open: Vec<usize> = all().filter(|(_, proxy)| near(proxy)).map(|(place, _)| place).collect();
        if open.is_empty() {
            open = all().map(|(place, _)| place).collect();
        }
        open.choose(&mut self.rng).copied()
    }

    fn ask(&mut self, operation: Operation) {
        let now = self.reactor.now();
        self.next += 1;
        let asked = self.next;
        let class = self.script.classes[operation.class].clone();
        let within = Nanos((class.hard_stop.0 .0 as f64 * self.script.clients.try_part) as u64);
        let until = (now + within).min(operation.asked + class.hard_stop.0);
        let proxy = self.front(operation.zone);
        let idle = proxy.and_then(|proxy| self.client_idle.get_mut(&proxy)?.pop());
        let conn = idle.or_else(|| {
            let proxy = proxy?;
            let conn = self.reactor.connect(self.proxies[proxy].address).ok()?;
            let reader = ResponseReader::new(LIMITS);
            self.uses.insert(conn, Use::ToProxy { proxy, reader, asking: None });
            Some(conn)
        });
        let Some(conn) = conn else {
            return self.after(operation, Answer::Failed);
        };
        let path = format!("/{}", class.name);
        let (id, attempt) = (operation.id.0.to_string(), operation.attempt.to_string());
        let (work, key) = ((operation.work.0 / 1_000).to_string(), operation.key.to_string());
        let wait = ((until - now).0 / 1_000_000).to_string();
        let headers = [
            (HeaderName::from_static(header::OPERATION), id.as_str()),
            (HeaderName::from_static(header::ATTEMPT), attempt.as_str()),
            (HeaderName::from_static(header::WORK), work.as_str()),
            (HeaderName::from_static(header::KEY), key.as_str()),
            (HeaderName::from_static(header::TIMEOUT), wait.as_str()),
        ];
        let over = self.reactor.set_timer(until, Due::ClientOver(asked));
        self.asking.insert(asked, Asking { operation, conn, over });
        if let Some(Use::ToProxy { asking, .. }) = self.uses.get_mut(&conn) {
            *asking = Some(asked);
        }
        if self.reactor.send(conn, [request(&Method::POST, &path, "front", &headers, b"")]).is_err() {
            self.client_done(asked, Answer::Failed, true);
        }
    }

    /// A client's attempt has ended; `drop` closes its connection, on which an answer may still be due.
    fn client_done(&mut self, number: u64, answer: Answer, drop: bool) {
        let Some(Asking { operation, conn, over }) = self.asking.remove(&number) else { return };
        self.reactor.cancel_timer(over);
        if drop {
            self.uses.remove(&conn);
            self.reactor.close(conn);
        } else if let Some(Use::ToProxy { proxy, asking, .. }) = self.uses.get_mut(&conn) {
            *asking = None;
            self.client_idle.entry(*proxy).or_default().push(conn);
        }
        self.after(operation, answer);
    }

    fn after(&mut self, mut operation: Operation, answer: Answer) {
        let now = self.reactor.now();
        if let Next::Again { at } = self.caller.after(now, &operation, answer) {
            operation.attempt += 1;
            self.reactor.set_timer(at, Due::ClientAgain(Box::new(operation)));
            return;
        }
        let took = now - operation.asked;
        let goal = self.script.classes[operation.class].latency_goal.0;
        let how = match answer {
            Answer::Good if took <= goal => EndedAs::InGoal,
            Answer::Good => EndedAs::Late,
            Answer::Refused { .. } => EndedAs::Refused,
            Answer::Failed => EndedAs::Failed,
            Answer::Silent => EndedAs::GivenUp,
        };
        self.log.add(now, What::Ended { op: operation.id, class: operation.class, how, took });
    }

    // What comes in on any connection.

    fn came(&mut self, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(input) = self.reactor.input(conn) else { return };
            let Some(used) = self.uses.get_mut(&conn) else { return };
            match used {
                Use::FromClient { proxy, reader, serving } => {
                    let proxy = *proxy;
                    // One at a time: what comes ahead of an answer waits in the buffer.
                    if serving.is_some() {
                        return;
                    }
                    match reader.next(input, now) {
                        Ok(Some(asked)) => self.serve(proxy, conn, &asked),
                        Ok(None) => break,
                        Err(_) => return self.drop_conn(conn),
                    }
                }
                Use::ToServer { reader, trying, .. } => match (reader.next(input, false, now), *trying) {
                    (Ok(Some(answer)), Some(number)) => self.server_answered(number, &answer),
                    (Ok(None), _) => break,
                    (Ok(Some(_)), None) | (Err(_), _) => return self.drop_conn(conn),
                },
                Use::ToProxy { reader, asking, .. } => match (reader.next(input, false, now), *asking) {
                    (Ok(Some(answer)), Some(number)) => {
                        let again =
                            answer.headers().get(http_header::RETRY_AFTER).and_then(|v| v.to_str().ok());
                        let again = again.and_then(|text| text.parse::<f64>().ok()).map(Nanos::from_secs);
                        let unrun = answer.headers().contains_key(header::OVERLOADED);
                        let came = match answer.status() {
                            StatusCode::OK => Answer::Good,
                            StatusCode::SERVICE_UNAVAILABLE if unrun => {
                                Answer::Refused { again: again.unwrap_or(Nanos(0)) }
                            }
                            _ => Answer::Failed,
                        };
                        self.client_done(number, came, false);
                    }
                    (Ok(None), _) => break,
                    (Ok(Some(_)), None) | (Err(_), _) => return self.drop_conn(conn),
                },
                Use::ToAgent { reader, .. } => match reader.next(input, false, now) {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return self.drop_conn(conn),
                },
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn drop_conn(&mut self, conn: ConnId) {
        self.closed(conn);
        self.reactor.close(conn);
    }

    fn closed(&mut self, conn: ConnId) {
        match self.uses.remove(&conn) {
            Some(Use::FromClient { proxy, serving, .. }) => {
                self.proxies[proxy].conns.remove(&conn);
                // The client is gone; its try goes on to be counted, unanswered.
                let _ = serving;
            }
            Some(Use::ToServer { proxy, server, trying, connected, .. }) => {
                self.proxies[proxy].conns.remove(&conn);
                if let Some(idle) = self.proxies[proxy].idle.get_mut(&server) {
                    idle.retain(|other| *other != conn);
                }
                if let Some(number) = trying {
                    // A connection that never stood carried nothing.
                    self.try_done(number, if connected { Tried::Failed } else { Tried::Unrun }, false);
                }
            }
            Some(Use::ToProxy { proxy, asking, .. }) => {
                if let Some(idle) = self.client_idle.get_mut(&proxy) {
                    idle.retain(|other| *other != conn);
                }
                if let Some(number) = asking {
                    self.client_done(number, Answer::Failed, true);
                }
            }
            Some(Use::ToAgent { proxy, .. }) => self.proxies[proxy].agent = None,
            None => {}
        }
    }

    // The proxies.

    fn serve(&mut self, proxy: usize, client: ConnId, asked: &Request<Bytes>) {
        let now = self.reactor.now();
        let path = asked.uri().path().trim_start_matches('/');
        let headers = asked.headers();
        let class = self.script.classes.iter().position(|class| class.name == path);
        let op = number(headers, header::OPERATION).map(OpId);
        let Some((class, op)) = class.zip(op) else {
            let _ = self.reactor.send(client, [response(StatusCode::NOT_FOUND, &[], b"")]);
            return;
        };
        self.next += 1;
        let number_of = self.next;
        let wait: u64 = number(headers, header::TIMEOUT).unwrap_or(1_000);
        let serving = Serving {
            proxy,
            client,
            class,
            op,
            attempt: number(headers, header::ATTEMPT).unwrap_or(0),
            work_us: number(headers, header::WORK).unwrap_or(0),
            key: number(headers, header::KEY).unwrap_or(0),
            until: now + Nanos(wait.saturating_mul(1_000_000)),
            tried: Vec::new(),
            conn: None,
            sent: now,
            over: None,
        };
        if let Some(Use::FromClient { serving, .. }) = self.uses.get_mut(&client) {
            *serving = Some(number_of);
        }
        let held = &mut self.proxies[proxy];
        let admitted = held.chooser.admit(now, class);
        held.sums.count_operation(class, admitted.is_ok());
        match admitted {
            Ok(()) => {
                self.serving.insert(number_of, serving);
                self.attempt(number_of, None);
            }
            Err(refusal) => {
                self.refuse(client, refusal);
            }
        }
    }

    /// Answers at once, with when to come back.
    fn refuse(&mut self, client: ConnId, refusal: Rejection) {
        let again = match refusal {
            Rejection::Level { retry_after } => retry_after,
            Rejection::NoLine => Nanos::from_millis(1_000),
        };
        // Whole seconds by the published header; never at once.
        let again = again.secs().ceil().max(1.0).to_string();
        let headers = [
            (http_header::RETRY_AFTER, again.as_str()),
            (HeaderName::from_static(header::OVERLOADED), "true"),
        ];
        self.reply(client, response(StatusCode::SERVICE_UNAVAILABLE, &headers, b""));
    }

    fn reply(&mut self, client: ConnId, answer: Bytes) {
        if let Some(Use::FromClient { serving, .. }) = self.uses.get_mut(&client) {
            *serving = None;
            if self.reactor.send(client, [answer]).is_err() {
                self.drop_conn(client);
            }
        }
    }

    fn choose(&mut self, serving: &Serving, now: Nanos) -> Result<usize, Rejection> {
        let planted = |plant: Plant| self.planted && self.script.plants.contains(&plant);
        if planted(Plant::Misplace) {
            return Ok(self.rng.random_range(0..self.servers.len()));
        }
        // Late enough that the list has told of the start: before, nobody could know better.
        let known = self.script.roster_lag.0 + self.script.rules.drain_grace.0;
        let is_young = |at: Nanos| now >= at + known && now < at + self.script.rules.warm_after.0;
        let fresh = self.starts.iter().rev().find(|(at, _)| is_young(*at));
        match fresh.filter(|_| planted(Plant::FloodCold)) {
            Some((_, server)) => Ok(*server),
            None => self.proxies[serving.proxy].chooser.pick(now, serving.class, &serving.tried),
        }
    }

    /// Makes a try, the first or a further one after a failure.
    fn attempt(&mut self, number: u64, last: Option<Tried>) {
        let now = self.reactor.now();
        let Some(mut serving) = self.serving.remove(&number) else { return };
        let server = match self.choose(&serving, now) {
            Ok(server) => server,
            Err(refusal) => {
                return match last {
                    // It was let in and could not be sent: it never ran.
                    None | Some(Tried::Unrun) => self.refuse(serving.client, refusal),
                    Some(Tried::Failed | Tried::Good) => {
                        self.reply(serving.client, response(StatusCode::BAD_GATEWAY, &[], b""));
                    }
                };
            }
        };
        serving.tried.push(server);
        serving.sent = now;
        let (proxy, class) = (serving.proxy, serving.class);
        let (op, attempt) = (serving.op, serving.attempt);
        self.log.add(now, What::Sent { proxy, server, op, attempt, class });
        self.proxies[proxy].sums.count_try(class, server);
        let over = self.reactor.set_timer(serving.until, Due::TryOver(number));
        serving.over = Some(over);
        let cut = self.proxies[proxy].paths.get(&server).copied().unwrap_or(0.0);
        if cut > 0.0 && self.rng.random::<f64>() < cut {
            // Lost on the way: nothing comes back, and nobody ran it.
            self.serving.insert(number, serving);
            return;
        }
        let idle = self.proxies[proxy].idle.get_mut(&server).and_then(Vec::pop);
        let conn = idle.or_else(|| {
            let conn = self.reactor.connect(self.servers[server]).ok()?;
            self.proxies[proxy].conns.insert(conn);
            let within = now + self.script.habits.connect_within.0;
            self.reactor.set_timer(within, Due::ConnectOver(conn));
            let reader = ResponseReader::new(LIMITS);
            self.uses.insert(conn, Use::ToServer { proxy, server, reader, trying: None, connected: false });
            Some(conn)
        });
        serving.conn = conn;
        let path = format!("/{}", self.script.classes[class].name);
        let (id, attempt) = (serving.op.0.to_string(), serving.attempt.to_string());
        let (work, by) = (serving.work_us.to_string(), proxy.to_string());
        let key = serving.key.to_string();
        let headers = [
            (HeaderName::from_static(header::OPERATION), id.as_str()),
            (HeaderName::from_static(header::ATTEMPT), attempt.as_str()),
            (HeaderName::from_static(header::WORK), work.as_str()),
            (HeaderName::from_static(header::PROXY), by.as_str()),
            (HeaderName::from_static(header::KEY), key.as_str()),
        ];
        self.serving.insert(number, serving);
        let Some(conn) = conn else { return self.try_done(number, Tried::Unrun, false) };
        if let Some(Use::ToServer { trying, .. }) = self.uses.get_mut(&conn) {
            *trying = Some(number);
        }
        if self.reactor.send(conn, [request(&Method::POST, &path, "server", &headers, b"")]).is_err() {
            self.try_done(number, Tried::Failed, true);
        }
    }

    fn server_answered(&mut self, number: u64, answer: &Response<Bytes>) {
        let Some(serving) = self.serving.get(&number) else { return };
        let (proxy, class, conn) = (serving.proxy, serving.class, serving.conn);
        let Some(server) = serving.tried.last().copied() else { return };
        let text = answer.headers().get(orca::HEADER).and_then(|value| value.to_str().ok());
        if let Some(report) = text.and_then(orca::LoadReport::parse) {
            self.proxies[proxy].sums.add_server_load(class, server, &report);
        }
        if let Some(conn) = conn {
            if let Some(Use::ToServer { trying, .. }) = self.uses.get_mut(&conn) {
                *trying = None;
            }
            self.proxies[proxy].idle.entry(server).or_default().push(conn);
        }
        let unrun = answer.headers().contains_key(header::OVERLOADED);
        let tried = match answer.status() {
            StatusCode::OK => Tried::Good,
            StatusCode::SERVICE_UNAVAILABLE if unrun => Tried::Unrun,
            _ => Tried::Failed,
        };
        self.try_done(number, tried, false);
    }

    /// A try has ended; `drop` closes its connection, on which an answer may still be due.
    fn try_done(&mut self, number: u64, tried: Tried, drop: bool) {
        let now = self.reactor.now();
        let Some(serving) = self.serving.get_mut(&number) else { return };
        let (proxy, class, client, until) = (serving.proxy, serving.class, serving.client, serving.until);
        let conn = serving.conn.take();
        if let Some(over) = serving.over.take() {
            self.reactor.cancel_timer(over);
        }
        let took = now - serving.sent;
        let (tries, op_never) = (serving.tried.len(), self.script.classes[class].repeats == Repeats::Never);
        let Some(server) = serving.tried.last().copied() else { return };
        if let (true, Some(conn)) = (drop, conn) {
            self.uses.remove(&conn);
            self.proxies[proxy].conns.remove(&conn);
            self.reactor.close(conn);
        }
        self.log.add(now, What::Tried { proxy, server, class, how: tried, took });
        self.proxies[proxy].sums.count_outcome(class, server, tried == Tried::Good, took);
        self.proxies[proxy].chooser.record_outcome(now, server, tried);
        let planted = self.planted && op_never && self.script.plants.contains(&Plant::RunTwice);
        let again = match tried {
            // Planted: what was done is done again.
            _ if planted && tries < 2 => true,
            tried => now < until && self.proxies[proxy].chooser.may_retry(class, tried, tries),
        };
        if again && self.proxies[proxy].up {
            return self.attempt(number, Some(tried));
        }
        self.serving.remove(&number);
        match tried {
            Tried::Good => self.reply(client, response(StatusCode::OK, &[], b"")),
            Tried::Unrun => self.refuse(client, Rejection::NoLine),
            Tried::Failed => self.reply(client, response(StatusCode::BAD_GATEWAY, &[], b"")),
        }
        // The client's next operation may wait in the buffer already.
        self.came(client);
    }

    fn act(&mut self, place: usize) {
        let (_, proxy, act) = self.acts[place].clone();
        let now = self.reactor.now();
        match act {
            ProxyAct::Die => {
                let held = &mut self.proxies[proxy];
                if let Some(listener) = held.listener.take() {
                    self.by_listener.remove(&listener);
                    self.reactor.close_listener(listener);
                }
                held.up = false;
                held.down_since = Some(now);
                held.stalled_until = None;
                held.deferred.clear();
                held.idle.clear();
                held.sums = LoadTotals::default();
                for conn in std::mem::take(&mut held.conns) {
                    self.uses.remove(&conn);
                    self.reactor.reset(conn);
                }
                self.serving.retain(|_, serving| serving.proxy != proxy);
                self.log.add(now, What::Proxy { proxy, up: false });
            }
            ProxyAct::Start => {
                let address = self.proxies[proxy].address;
                if let Ok(listener) = self.reactor.listen_reserved(address) {
                    self.by_listener.insert(listener, proxy);
                    self.proxies[proxy].listener = Some(listener);
                }
                self.proxies[proxy].up = true;
                self.proxies[proxy].down_since = None;
                self.proxies[proxy].sums_since = now;
                self.log.add(now, What::Proxy { proxy, up: true });
                Kind::ALL.into_iter().for_each(|kind| self.take_up(proxy, kind));
            }
            ProxyAct::Stall(span) => {
                self.proxies[proxy].stalled_until = Some(now + span);
                self.reactor.set_timer(now + span, Due::Resume(proxy));
            }
            ProxyAct::Path { servers, share } => {
                for server in servers {
                    self.proxies[proxy].paths.insert(server, share);
                }
            }
        }
    }

    /// Sends the sums to the proxy's agent.
    fn report(&mut self, folder: &Path, proxy: usize) {
        let now = self.reactor.now();
        self.reactor.set_timer(now + self.script.report_period.0, Due::Report(proxy));
        let held = &mut self.proxies[proxy];
        if !held.up || held.stalled_until.is_some() {
            return;
        }
        let conn = match held.agent {
            Some(conn) => conn,
            None => {
                let address = ready_address(&agent_ready(folder, proxy));
                let Some(Ok(conn)) = address.map(|address| self.reactor.connect(address)) else { return };
                let reader = ResponseReader::new(LIMITS);
                self.uses.insert(conn, Use::ToAgent { proxy, reader });
                self.proxies[proxy].agent = Some(conn);
                conn
            }
        };
        let held = &mut self.proxies[proxy];
        let interval = Seconds((now - held.sums_since).secs());
        held.sums_since = now;
        let sums = std::mem::take(&mut held.sums);
        let node = Node { id: held.name.clone(), ..Node::default() };
        let place = |server: usize| (self.servers[server], self.server_zones[server].as_str());
        let cluster_stats = sums.report(interval, &self.script.classes, &place);
        let body =
            serde_json::to_vec(&LoadStatsRequest { node: Some(node), cluster_stats }).unwrap_or_default();
        let json = [(http_header::CONTENT_TYPE, "application/json")];
        if self.reactor.send(conn, [request(&Method::POST, load::PATH, "agent", &json, &body)]).is_err() {
            self.drop_conn(conn);
        }
    }

    /// From here on the planted breaks act.
    fn plant(&mut self) {
        let now = self.reactor.now();
        self.planted = true;
        if self.script.plants.contains(&Plant::Bare) {
            let classes = self.script.classes.iter().map(|class| class.name.clone()).collect();
            self.proxies[0].chooser = ProxyPolicy::new(classes, 0, Nanos(0), 1);
            self.log.add(now, What::Swapped { proxy: 0, lines: BTreeMap::new(), epoch: u64::MAX });
        }
        if self.script.plants.contains(&Plant::Torn) {
            let path = self.proxies[0].folder.join(Kind::Endpoints.file());
            if let Ok(text) = fs::read(&path) {
                // In place, as no agent would.
                let _ = fs::write(&path, &text[..text.len() / 2]);
                self.take_up(0, Kind::Endpoints);
                let _ = fs::write(&path, &text);
            }
        }
    }
}
