//! The simulated proxies and clients on sockets: one event loop for all.

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

use crate::caller::{Answer, Caller, NextStep, Operation};
use crate::load_totals::LoadTotals;
use crate::plan::{Plan, ProxyAct, ServerAct};
use crate::proxy_policy::{ProxyPolicy, Rejection, Tried};
use crate::record::{EndedAs, Log, OpId, What};
use crate::script::{Plant, Script};
use crate::servers::{header, parse_header};

const FOLDER_WATCH_ID: usize = 1; // identifies the watch of the proxies' folders in the reactor
const LIMITS: HttpLimits = HttpLimits { head: 8 * 1024, body: 64 * 1024 };

enum TimerEvent {
    Act(usize),
    Rate(usize),
    NextOperation,
    /// The timeout of a client's attempt.
    ClientTimeout(u64),
    ClientRetry(Box<Operation>),
    /// The timeout of a proxy's try.
    TryTimeout(u64),
    ConnectTimeout(ConnId),
    Report(usize),
    Resume(usize),
    Plant,
    End,
}

/// What a connection is used for.
enum ConnRole {
    /// The proxy's end of a client's connection.
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
        pending_try: Option<u64>,
        connected: bool,
    },
    /// The client's end of its connection to a proxy.
    ToProxy {
        proxy: usize,
        reader: ResponseReader,
        client_attempt: Option<u64>,
    },
    ToAgent {
        proxy: usize,
        reader: ResponseReader,
    },
}

/// An operation in progress at a proxy.
struct ProxiedOperation {
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
    timeout: Option<TimerId>,
}

struct ClientAttempt {
    operation: Operation,
    conn: ConnId,
    timeout: TimerId,
}

struct Proxy {
    name: String,
    zone: usize,
    folder: PathBuf,
    address: SocketAddr,
    /// Reserves the address while the proxy is down.
    _reserve: Socket,
    listener: Option<ListenerId>,
    policy: ProxyPolicy,
    up: bool,
    down_since: Option<Nanos>,
    stalled_until: Option<Nanos>,
    deferred: Vec<ReactorEvent<TimerEvent>>,
    unread: BTreeSet<Kind>,
    idle: BTreeMap<usize, Vec<ConnId>>,
    conns: BTreeSet<ConnId>,
    totals: LoadTotals,
    totals_since: Nanos,
    agent: Option<ConnId>,
    path_loss: BTreeMap<usize, f64>,
}

/// The event loop of all simulated proxies and clients.
pub struct Host {
    reactor: Reactor<TimerEvent>,
    watch: FolderWatch,
    script: Script,
    proxies: Vec<Proxy>,
    by_listener: BTreeMap<ListenerId, usize>,
    by_folder: BTreeMap<PathBuf, usize>,
    servers: Vec<SocketAddr>,
    server_zones: Vec<String>,
    numbers: HashMap<String, usize>,
    roles: HashMap<ConnId, ConnRole>,
    serving: HashMap<u64, ProxiedOperation>,
    attempts: HashMap<u64, ClientAttempt>,
    client_idle: BTreeMap<usize, Vec<ConnId>>,
    next: u64,
    caller: Caller,
    upcoming: Option<Operation>,
    factor: f64,
    acts: Vec<(Nanos, usize, ProxyAct)>,
    rates: Vec<(Nanos, f64)>,
    starts: Vec<(Nanos, usize)>,
    rng: Pcg32,
    stop_at: Nanos,
    planted: bool,
    log: Log,
}

/// The ready file of a proxy's agent, with its listening address.
pub fn agent_ready(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(format!("agent-{proxy}.ready.json"))
}

pub fn proxy_name(proxy: usize) -> String {
    format!("proxy-{proxy}")
}

/// The folder of a proxy's discovery files.
pub fn proxy_folder(folder: &Path, proxy: usize) -> PathBuf {
    folder.join(proxy_name(proxy))
}

/// The listening address in a process's ready file.
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
        for (index, zone) in plan.proxy_zones.iter().enumerate() {
            let (reserve, address) = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            let listener = reactor.listen_reserved(address)?;
            by_listener.insert(listener, index);
            let name = proxy_name(index);
            let home = proxy_folder(folder, index);
            fs::create_dir_all(&home)?;
            watch.add(&home)?;
            by_folder.insert(home.clone(), index);
            let seed = script.seed.wrapping_mul(31).wrapping_add(index as u64);
            proxies.push(Proxy {
                name,
                zone: script.zones.iter().position(|other| other == zone).unwrap_or(0),
                folder: home,
                address,
                _reserve: reserve,
                listener: Some(listener),
                policy: ProxyPolicy::new(
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
                totals: LoadTotals::default(),
                totals_since: reactor.now(),
                agent: None,
                path_loss: BTreeMap::new(),
            });
        }
        reactor.watch(&watch, FOLDER_WATCH_ID)?;
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
            numbers: servers.iter().enumerate().map(|(index, at)| (at.to_string(), index)).collect(),
            servers,
            server_zones: plan.servers.iter().map(|server| server.group.zone.clone()).collect(),
            roles: HashMap::new(),
            serving: HashMap::new(),
            attempts: HashMap::new(),
            client_idle: BTreeMap::new(),
            next: 0,
            caller,
            upcoming: None,
            factor: 1.0,
            acts: plan.proxy_acts.clone(),
            rates: plan.rates.clone(),
            starts: plan.server_acts.iter().filter_map(started).collect(),
            rng: Pcg32::seed_from_u64(script.seed ^ 0x9107),
            stop_at: Nanos(u64::MAX),
            planted: false,
            log: Log::default(),
        })
    }

    /// Follows the files from now on, runs clients from `begin` to `stop`, and returns the record at `end`.
    pub fn run(mut self, folder: &Path, begin: Nanos, stop: Nanos, end: Nanos) -> io::Result<Log> {
        let now = self.reactor.now();
        self.starts.iter_mut().for_each(|(at, _)| *at = begin + *at);
        for index in 0..self.acts.len() {
            self.reactor.set_timer(begin + self.acts[index].0, TimerEvent::Act(index));
        }
        for index in 0..self.rates.len() {
            self.reactor.set_timer(begin + self.rates[index].0, TimerEvent::Rate(index));
        }
        for proxy in 0..self.proxies.len() {
            self.log.add(now, What::Proxy { proxy, up: true });
            Kind::ALL.into_iter().for_each(|kind| self.load_files(proxy, kind));
            let spread = Nanos(self.rng.random_range(0..self.script.report_period.0 .0.max(1)));
            self.reactor.set_timer(now + spread, TimerEvent::Report(proxy));
        }
        if !self.script.plants.is_empty() {
            self.reactor.set_timer(begin + Nanos(self.script.length.0 .0 / 3), TimerEvent::Plant);
        }
        self.stop_at = stop;
        self.schedule_next_operation(begin);
        self.reactor.set_timer(end, TimerEvent::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(event) = self.reactor.next_event() {
                if let ReactorEvent::Timer(TimerEvent::End) = event {
                    return Ok(self.log);
                }
                if let Some(event) = self.defer(event) {
                    self.handle_event(folder, event)?;
                }
            }
        }
    }

    /// Defers the events of a stalled proxy.
    fn defer(&mut self, event: ReactorEvent<TimerEvent>) -> Option<ReactorEvent<TimerEvent>> {
        let conn = match &event {
            ReactorEvent::Received { conn } | ReactorEvent::Connected { conn } => *conn,
            ReactorEvent::Accepted { .. }
            | ReactorEvent::Flushed { .. }
            | ReactorEvent::Closed { .. }
            | ReactorEvent::Timer(_)
            | ReactorEvent::Ready(_)
            | ReactorEvent::Signal(_) => return Some(event),
        };
        let proxy = match self.roles.get(&conn) {
            Some(ConnRole::FromClient { proxy, .. } | ConnRole::ToServer { proxy, .. }) => *proxy,
            Some(ConnRole::ToProxy { .. } | ConnRole::ToAgent { .. }) | None => return Some(event),
        };
        if self.proxies[proxy].stalled_until.is_some() {
            self.proxies[proxy].deferred.push(event);
            return None;
        }
        Some(event)
    }

    fn handle_event(&mut self, folder: &Path, event: ReactorEvent<TimerEvent>) -> io::Result<()> {
        match event {
            ReactorEvent::Accepted { listener, conn, .. } => {
                let Some(proxy) = self.by_listener.get(&listener).copied() else {
                    self.reactor.close(conn);
                    return Ok(());
                };
                self.proxies[proxy].conns.insert(conn);
                let reader = RequestReader::new(LIMITS);
                self.roles.insert(conn, ConnRole::FromClient { proxy, reader, serving: None });
            }
            ReactorEvent::Connected { conn } => {
                if let Some(ConnRole::ToServer { connected, .. }) = self.roles.get_mut(&conn) {
                    *connected = true;
                }
            }
            ReactorEvent::Received { conn } => self.handle_input(conn),
            ReactorEvent::Closed { conn, .. } => self.handle_close(conn),
            ReactorEvent::Flushed { .. } | ReactorEvent::Signal(_) => {}
            ReactorEvent::Ready(_) => {
                for (home, name) in self.watch.changes()? {
                    let Some(proxy) = self.by_folder.get(&home).copied() else { continue };
                    let named = |kind: &Kind| name.as_ref().is_none_or(|name| name == kind.file());
                    Kind::ALL.into_iter().filter(named).for_each(|kind| self.load_files(proxy, kind));
                }
            }
            ReactorEvent::Timer(due) => self.handle_timer(folder, due),
        }
        Ok(())
    }

    fn handle_timer(&mut self, folder: &Path, due: TimerEvent) {
        let now = self.reactor.now();
        match due {
            TimerEvent::Act(index) => self.act(index),
            TimerEvent::Rate(index) => self.factor = self.rates[index].1,
            TimerEvent::NextOperation => {
                // From the due time, not from now: a late event loop must not reduce the traffic.
                let mut due = now;
                if let Some(operation) = self.upcoming.take() {
                    due = operation.asked;
                    let (op, class, zone) = (operation.id, operation.class, operation.zone);
                    self.log.add(now, What::Asked { op, class, zone });
                    self.start_client_attempt(operation);
                }
                self.schedule_next_operation(due);
            }
            TimerEvent::ClientTimeout(number) => self.end_client_attempt(number, Answer::Silent, true),
            TimerEvent::ClientRetry(operation) => self.start_client_attempt(*operation),
            TimerEvent::TryTimeout(number) => self.end_try(number, Tried::Failed, true),
            TimerEvent::ConnectTimeout(conn) => {
                if let Some(ConnRole::ToServer { connected: false, .. }) = self.roles.get(&conn) {
                    self.handle_close(conn);
                    self.reactor.close(conn);
                }
            }
            TimerEvent::Report(proxy) => self.report(folder, proxy),
            TimerEvent::Resume(proxy) => {
                if self.proxies[proxy].stalled_until.is_some_and(|until| until <= now) {
                    self.proxies[proxy].stalled_until = None;
                    // The files on disk are loaded before the deferred socket events are handled.
                    let unread = std::mem::take(&mut self.proxies[proxy].unread);
                    unread.into_iter().for_each(|kind| self.load_files(proxy, kind));
                    for event in std::mem::take(&mut self.proxies[proxy].deferred) {
                        let _ = self.handle_event(folder, event);
                    }
                }
            }
            TimerEvent::Plant => self.activate_plants(),
            TimerEvent::End => {}
        }
    }

    // Discovery files.

    fn load_files(&mut self, proxy: usize, kind: Kind) {
        let now = self.reactor.now();
        let state = &mut self.proxies[proxy];
        if !state.up {
            return;
        }
        if state.stalled_until.is_some() {
            state.unread.insert(kind);
            return;
        }
        if self.planted && self.script.plants.contains(&Plant::KeepDrained) {
            return;
        }
        // A changed binding starts a new subscription to its table, which is read again after the binding: the table
        // read before may be older than the one that the binding was made for.
        let kinds: &[Kind] = match kind {
            Kind::Clusters => &[Kind::Clusters, Kind::Routes, Kind::Endpoints],
            Kind::Endpoints | Kind::Routes => &[kind],
        };
        let read = |kind: &Kind| Some((*kind, fs::read(state.folder.join(kind.file())).ok()?));
        let texts: Vec<(Kind, Vec<u8>)> = kinds.iter().filter_map(read).collect();
        let numbers = &self.numbers;
        let number = |server: &str| numbers.get(server).copied();
        let error = texts
            .into_iter()
            .rev()
            .find_map(|(kind, text)| state.policy.load_file(kind, &text, &number).err());
        match error {
            None => self
                .log
                .add(now, What::Swapped { proxy, lines: state.policy.lines(), epoch: state.policy.epoch() }),
            Some(cause) => self.log.add(now, What::Torn { proxy, cause: cause.to_string() }),
        }
    }

    // Clients.

    fn schedule_next_operation(&mut self, now: Nanos) {
        let (at, operation) = self.caller.next(now, self.factor);
        if at < self.stop_at {
            self.upcoming = Some(operation);
            self.reactor.set_timer(at, TimerEvent::NextOperation);
        }
    }

    /// Picks a proxy of the zone, or of any zone if there is none, that the front layer does not know to be down.
    fn pick_proxy(&mut self, zone: usize) -> Option<usize> {
        let (now, lag) = (self.reactor.now(), self.script.clients.front_lag.0);
        let alive = |proxy: &Proxy| proxy.down_since.is_none_or(|since| now - since < lag);
        let in_zone = |proxy: &Proxy| proxy.zone == zone;
        let all = || self.proxies.iter().enumerate().filter(|(_, proxy)| alive(proxy));
        let mut open: Vec<usize> =
            all().filter(|(_, proxy)| in_zone(proxy)).map(|(index, _)| index).collect();
        if open.is_empty() {
            open = all().map(|(index, _)| index).collect();
        }
        open.choose(&mut self.rng).copied()
    }

    fn start_client_attempt(&mut self, operation: Operation) {
        let now = self.reactor.now();
        self.next += 1;
        let asked = self.next;
        let class = self.script.classes[operation.class].clone();
        let within = Nanos((class.hard_stop.0 .0 as f64 * self.script.clients.try_part) as u64);
        let until = (now + within).min(operation.asked + class.hard_stop.0);
        let proxy = self.pick_proxy(operation.zone);
        let idle = proxy.and_then(|proxy| self.client_idle.get_mut(&proxy)?.pop());
        let conn = idle.or_else(|| {
            let proxy = proxy?;
            let conn = self.reactor.connect(self.proxies[proxy].address).ok()?;
            let reader = ResponseReader::new(LIMITS);
            self.roles.insert(conn, ConnRole::ToProxy { proxy, reader, client_attempt: None });
            Some(conn)
        });
        let Some(conn) = conn else {
            return self.finish_client_attempt(operation, Answer::Failed);
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
        let timeout = self.reactor.set_timer(until, TimerEvent::ClientTimeout(asked));
        self.attempts.insert(asked, ClientAttempt { operation, conn, timeout });
        if let Some(ConnRole::ToProxy { client_attempt, .. }) = self.roles.get_mut(&conn) {
            *client_attempt = Some(asked);
        }
        if self.reactor.send(conn, [request(&Method::POST, &path, "front", &headers, b"")]).is_err() {
            self.end_client_attempt(asked, Answer::Failed, true);
        }
    }

    /// Ends a client's attempt; `drop` closes its connection, on which an answer may still be outstanding.
    fn end_client_attempt(&mut self, number: u64, answer: Answer, drop: bool) {
        let Some(ClientAttempt { operation, conn, timeout }) = self.attempts.remove(&number) else { return };
        self.reactor.cancel_timer(timeout);
        if drop {
            self.roles.remove(&conn);
            self.reactor.close(conn);
        } else if let Some(ConnRole::ToProxy { proxy, client_attempt, .. }) = self.roles.get_mut(&conn) {
            *client_attempt = None;
            self.client_idle.entry(*proxy).or_default().push(conn);
        }
        self.finish_client_attempt(operation, answer);
    }

    fn finish_client_attempt(&mut self, mut operation: Operation, answer: Answer) {
        let now = self.reactor.now();
        if let NextStep::Retry { at } = self.caller.next_step(now, &operation, answer) {
            operation.attempt += 1;
            self.reactor.set_timer(at, TimerEvent::ClientRetry(Box::new(operation)));
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

    // Input on any connection.

    fn handle_input(&mut self, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(input) = self.reactor.input(conn) else { return };
            let Some(used) = self.roles.get_mut(&conn) else { return };
            match used {
                ConnRole::FromClient { proxy, reader, serving } => {
                    let proxy = *proxy;
                    // One request at a time: pipelined input stays in the buffer until the answer.
                    if serving.is_some() {
                        return;
                    }
                    match reader.next(input, now) {
                        Ok(Some(asked)) => self.serve(proxy, conn, &asked),
                        Ok(None) => break,
                        Err(_) => return self.drop_connection(conn),
                    }
                }
                ConnRole::ToServer { reader, pending_try, .. } => {
                    match (reader.next(input, false, now), *pending_try) {
                        (Ok(Some(answer)), Some(number)) => self.server_answered(number, &answer),
                        (Ok(None), _) => break,
                        (Ok(Some(_)), None) | (Err(_), _) => return self.drop_connection(conn),
                    }
                }
                ConnRole::ToProxy { reader, client_attempt, .. } => {
                    match (reader.next(input, false, now), *client_attempt) {
                        (Ok(Some(answer)), Some(number)) => {
                            let retry =
                                answer.headers().get(http_header::RETRY_AFTER).and_then(|v| v.to_str().ok());
                            let retry = retry.and_then(|text| text.parse::<f64>().ok()).map(Nanos::from_secs);
                            let not_executed = answer.headers().contains_key(header::OVERLOADED);
                            let outcome = match answer.status() {
                                StatusCode::OK => Answer::Good,
                                StatusCode::SERVICE_UNAVAILABLE if not_executed => {
                                    Answer::Refused { retry_after: retry.unwrap_or(Nanos(0)) }
                                }
                                _ => Answer::Failed,
                            };
                            self.end_client_attempt(number, outcome, false);
                        }
                        (Ok(None), _) => break,
                        (Ok(Some(_)), None) | (Err(_), _) => return self.drop_connection(conn),
                    }
                }
                ConnRole::ToAgent { reader, .. } => match reader.next(input, false, now) {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return self.drop_connection(conn),
                },
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn drop_connection(&mut self, conn: ConnId) {
        self.handle_close(conn);
        self.reactor.close(conn);
    }

    fn handle_close(&mut self, conn: ConnId) {
        match self.roles.remove(&conn) {
            Some(ConnRole::FromClient { proxy, serving, .. }) => {
                self.proxies[proxy].conns.remove(&conn);
                // The client has closed; its try continues and is counted, without an answer.
                let _ = serving;
            }
            Some(ConnRole::ToServer { proxy, server, pending_try, connected, .. }) => {
                self.proxies[proxy].conns.remove(&conn);
                if let Some(idle) = self.proxies[proxy].idle.get_mut(&server) {
                    idle.retain(|other| *other != conn);
                }
                if let Some(number) = pending_try {
                    // A connection that was never established carried nothing.
                    self.end_try(number, if connected { Tried::Failed } else { Tried::Unrun }, false);
                }
            }
            Some(ConnRole::ToProxy { proxy, client_attempt, .. }) => {
                if let Some(idle) = self.client_idle.get_mut(&proxy) {
                    idle.retain(|other| *other != conn);
                }
                if let Some(number) = client_attempt {
                    self.end_client_attempt(number, Answer::Failed, true);
                }
            }
            Some(ConnRole::ToAgent { proxy, .. }) => self.proxies[proxy].agent = None,
            None => {}
        }
    }

    // Proxies.

    fn serve(&mut self, proxy: usize, client: ConnId, asked: &Request<Bytes>) {
        let now = self.reactor.now();
        let path = asked.uri().path().trim_start_matches('/');
        let headers = asked.headers();
        let class = self.script.classes.iter().position(|class| class.name == path);
        let op = parse_header(headers, header::OPERATION).map(OpId);
        let Some((class, op)) = class.zip(op) else {
            let _ = self.reactor.send(client, [response(StatusCode::NOT_FOUND, &[], b"")]);
            return;
        };
        self.next += 1;
        let serving_number = self.next;
        let wait: u64 = parse_header(headers, header::TIMEOUT).unwrap_or(1_000);
        let serving = ProxiedOperation {
            proxy,
            client,
            class,
            op,
            attempt: parse_header(headers, header::ATTEMPT).unwrap_or(0),
            work_us: parse_header(headers, header::WORK).unwrap_or(0),
            key: parse_header(headers, header::KEY).unwrap_or(0),
            until: now + Nanos(wait.saturating_mul(1_000_000)),
            tried: Vec::new(),
            conn: None,
            sent: now,
            timeout: None,
        };
        if let Some(ConnRole::FromClient { serving, .. }) = self.roles.get_mut(&client) {
            *serving = Some(serving_number);
        }
        let state = &mut self.proxies[proxy];
        let admitted = state.policy.admit(now, class);
        state.totals.count_operation(class, admitted.is_ok());
        match admitted {
            Ok(()) => {
                self.serving.insert(serving_number, serving);
                self.start_try(serving_number, None);
            }
            Err(rejection) => {
                self.reject(client, rejection);
            }
        }
    }

    /// Rejects an operation immediately, with the time after which to retry.
    fn reject(&mut self, client: ConnId, rejection: Rejection) {
        let retry = match rejection {
            Rejection::Level { retry_after } => retry_after,
            Rejection::NoLine => Nanos::from_millis(1_000),
        };
        // The published header is in whole seconds; at least one.
        let retry = retry.secs().ceil().max(1.0).to_string();
        let headers = [
            (http_header::RETRY_AFTER, retry.as_str()),
            (HeaderName::from_static(header::OVERLOADED), "true"),
        ];
        self.reply(client, response(StatusCode::SERVICE_UNAVAILABLE, &headers, b""));
    }

    fn reply(&mut self, client: ConnId, answer: Bytes) {
        if let Some(ConnRole::FromClient { serving, .. }) = self.roles.get_mut(&client) {
            *serving = None;
            if self.reactor.send(client, [answer]).is_err() {
                self.drop_connection(client);
            }
        }
    }

    fn pick_server(&mut self, serving: &ProxiedOperation, now: Nanos) -> Result<usize, Rejection> {
        let planted = |plant: Plant| self.planted && self.script.plants.contains(&plant);
        if planted(Plant::Misplace) {
            return Ok(self.rng.random_range(0..self.servers.len()));
        }
        // Late enough that the list has shown the start: before that, nobody could have known of it.
        let notice = self.script.roster_lag.0 + self.script.rules.drain_grace.0;
        let is_young = |at: Nanos| now >= at + notice && now < at + self.script.rules.warm_after.0;
        let started = self.starts.iter().rev().find(|(at, _)| is_young(*at));
        match started.filter(|_| planted(Plant::FloodCold)) {
            Some((_, server)) => Ok(*server),
            None => self.proxies[serving.proxy].policy.pick(now, serving.class, &serving.tried),
        }
    }

    /// Starts a try: the first, or a retry after a failure.
    fn start_try(&mut self, number: u64, last: Option<Tried>) {
        let now = self.reactor.now();
        let Some(mut serving) = self.serving.remove(&number) else { return };
        let server = match self.pick_server(&serving, now) {
            Ok(server) => server,
            Err(rejection) => {
                return match last {
                    // The operation was admitted but could not be sent: it never ran.
                    None | Some(Tried::Unrun) => self.reject(serving.client, rejection),
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
        self.proxies[proxy].totals.count_try(class, server);
        let timeout = self.reactor.set_timer(serving.until, TimerEvent::TryTimeout(number));
        serving.timeout = Some(timeout);
        let loss = self.proxies[proxy].path_loss.get(&server).copied().unwrap_or(0.0);
        if loss > 0.0 && self.rng.random::<f64>() < loss {
            // Lost in transit: it is never executed or answered.
            self.serving.insert(number, serving);
            return;
        }
        let idle = self.proxies[proxy].idle.get_mut(&server).and_then(Vec::pop);
        let conn = idle.or_else(|| {
            let conn = self.reactor.connect(self.servers[server]).ok()?;
            self.proxies[proxy].conns.insert(conn);
            let within = now + self.script.habits.connect_within.0;
            self.reactor.set_timer(within, TimerEvent::ConnectTimeout(conn));
            let reader = ResponseReader::new(LIMITS);
            self.roles.insert(
                conn,
                ConnRole::ToServer { proxy, server, reader, pending_try: None, connected: false },
            );
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
        let Some(conn) = conn else { return self.end_try(number, Tried::Unrun, false) };
        if let Some(ConnRole::ToServer { pending_try, .. }) = self.roles.get_mut(&conn) {
            *pending_try = Some(number);
        }
        if self.reactor.send(conn, [request(&Method::POST, &path, "server", &headers, b"")]).is_err() {
            self.end_try(number, Tried::Failed, true);
        }
    }

    fn server_answered(&mut self, number: u64, answer: &Response<Bytes>) {
        let Some(serving) = self.serving.get(&number) else { return };
        let (proxy, class, conn) = (serving.proxy, serving.class, serving.conn);
        let Some(server) = serving.tried.last().copied() else { return };
        let text = answer.headers().get(orca::HEADER).and_then(|value| value.to_str().ok());
        if let Some(report) = text.and_then(orca::LoadReport::parse) {
            self.proxies[proxy].totals.add_server_load(class, server, &report);
        }
        if let Some(conn) = conn {
            if let Some(ConnRole::ToServer { pending_try, .. }) = self.roles.get_mut(&conn) {
                *pending_try = None;
            }
            self.proxies[proxy].idle.entry(server).or_default().push(conn);
        }
        let not_executed = answer.headers().contains_key(header::OVERLOADED);
        let tried = match answer.status() {
            StatusCode::OK => Tried::Good,
            StatusCode::SERVICE_UNAVAILABLE if not_executed => Tried::Unrun,
            _ => Tried::Failed,
        };
        self.end_try(number, tried, false);
    }

    /// Ends a try; `drop` closes its connection, on which an answer may still be outstanding.
    fn end_try(&mut self, number: u64, tried: Tried, drop: bool) {
        let now = self.reactor.now();
        let Some(serving) = self.serving.get_mut(&number) else { return };
        let (proxy, class, client, until) = (serving.proxy, serving.class, serving.client, serving.until);
        let conn = serving.conn.take();
        if let Some(timeout) = serving.timeout.take() {
            self.reactor.cancel_timer(timeout);
        }
        let took = now - serving.sent;
        let (tries, op_never) = (serving.tried.len(), self.script.classes[class].repeats == Repeats::Never);
        let Some(server) = serving.tried.last().copied() else { return };
        if let (true, Some(conn)) = (drop, conn) {
            self.roles.remove(&conn);
            self.proxies[proxy].conns.remove(&conn);
            self.reactor.close(conn);
        }
        self.log.add(now, What::Tried { proxy, server, class, how: tried, took });
        self.proxies[proxy].totals.count_outcome(class, server, tried == Tried::Good, took);
        self.proxies[proxy].policy.record_outcome(now, server, tried);
        let planted = self.planted && op_never && self.script.plants.contains(&Plant::RunTwice);
        let retry = match tried {
            // Planted fault: an executed operation is sent again.
            _ if planted && tries < 2 => true,
            tried => now < until && self.proxies[proxy].policy.may_retry(class, tried, tries),
        };
        if retry && self.proxies[proxy].up {
            return self.start_try(number, Some(tried));
        }
        self.serving.remove(&number);
        match tried {
            Tried::Good => self.reply(client, response(StatusCode::OK, &[], b"")),
            Tried::Unrun => self.reject(client, Rejection::NoLine),
            Tried::Failed => self.reply(client, response(StatusCode::BAD_GATEWAY, &[], b"")),
        }
        // The client's next operation may already be in the buffer.
        self.handle_input(client);
    }

    fn act(&mut self, index: usize) {
        let (_, proxy, act) = self.acts[index].clone();
        let now = self.reactor.now();
        match act {
            ProxyAct::Die => {
                let state = &mut self.proxies[proxy];
                if let Some(listener) = state.listener.take() {
                    self.by_listener.remove(&listener);
                    self.reactor.close_listener(listener);
                }
                state.up = false;
                state.down_since = Some(now);
                state.stalled_until = None;
                state.deferred.clear();
                state.idle.clear();
                state.totals = LoadTotals::default();
                for conn in std::mem::take(&mut state.conns) {
                    self.roles.remove(&conn);
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
                self.proxies[proxy].totals_since = now;
                self.log.add(now, What::Proxy { proxy, up: true });
                Kind::ALL.into_iter().for_each(|kind| self.load_files(proxy, kind));
            }
            ProxyAct::Stall(span) => {
                self.proxies[proxy].stalled_until = Some(now + span);
                self.reactor.set_timer(now + span, TimerEvent::Resume(proxy));
            }
            ProxyAct::Path { servers, share } => {
                for server in servers {
                    self.proxies[proxy].path_loss.insert(server, share);
                }
            }
        }
    }

    /// Sends a load report to the proxy's agent.
    fn report(&mut self, folder: &Path, proxy: usize) {
        let now = self.reactor.now();
        self.reactor.set_timer(now + self.script.report_period.0, TimerEvent::Report(proxy));
        let state = &mut self.proxies[proxy];
        if !state.up || state.stalled_until.is_some() {
            return;
        }
        let conn = match state.agent {
            Some(conn) => conn,
            None => {
                let address = ready_address(&agent_ready(folder, proxy));
                let Some(Ok(conn)) = address.map(|address| self.reactor.connect(address)) else { return };
                let reader = ResponseReader::new(LIMITS);
                self.roles.insert(conn, ConnRole::ToAgent { proxy, reader });
                self.proxies[proxy].agent = Some(conn);
                conn
            }
        };
        let state = &mut self.proxies[proxy];
        let interval = Seconds((now - state.totals_since).secs());
        state.totals_since = now;
        let totals = std::mem::take(&mut state.totals);
        let node = Node { id: state.name.clone(), ..Node::default() };
        let locate = |server: usize| (self.servers[server], self.server_zones[server].as_str());
        let cluster_stats = totals.report(interval, &self.script.classes, &locate);
        let body =
            serde_json::to_vec(&LoadStatsRequest { node: Some(node), cluster_stats }).unwrap_or_default();
        let json = [(http_header::CONTENT_TYPE, "application/json")];
        if self.reactor.send(conn, [request(&Method::POST, load::PATH, "agent", &json, &body)]).is_err() {
            self.drop_connection(conn);
        }
    }

    /// Activates the planted faults.
    fn activate_plants(&mut self) {
        let now = self.reactor.now();
        self.planted = true;
        if self.script.plants.contains(&Plant::Bare) {
            let classes = self.script.classes.iter().map(|class| class.name.clone()).collect();
            self.proxies[0].policy = ProxyPolicy::new(classes, 0, Nanos(0), 1);
            self.log.add(now, What::Swapped { proxy: 0, lines: BTreeMap::new(), epoch: u64::MAX });
        }
        if self.script.plants.contains(&Plant::Torn) {
            let path = self.proxies[0].folder.join(Kind::Endpoints.file());
            if let Ok(text) = fs::read(&path) {
                // Written in place, which no agent would do.
                let _ = fs::write(&path, &text[..text.len() / 2]);
                self.load_files(0, Kind::Endpoints);
                let _ = fs::write(&path, &text);
            }
        }
    }
}
