//! The stand-in servers on sockets: one loop for all of them, each with a listener of its own.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_http::{response, Limits as HttpLimits, RequestReader};
use craneknot_reactor::{reserve, Clock, ConnId, Limits, ListenerId, Reactor, ReactorEvent};
use craneknot_xds::orca;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::Socket;

use crate::machine::{Arrival, Job, Machine, Make};
use crate::plan::{Plan, ServerAct};
use crate::record::{Log, OpId, What};
use crate::script::Script;

/// Headers that the stand-ins share, beside the published ones.
pub mod header {
    pub const OPERATION: &str = "x-request-id";
    pub const ATTEMPT: &str = "x-attempt";
    pub const PROXY: &str = "x-proxy";
    pub const WORK: &str = "x-work-us";
    pub const KEY: &str = "x-key";
    /// Published: set where an operation was turned away before it ran.
    pub const OVERLOADED: &str = "x-envoy-overloaded";
    /// Published: how long the caller waits.
    pub const TIMEOUT: &str = "x-envoy-upstream-rq-timeout-ms";
}

pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

enum Due {
    Act(usize),
    Done { server: usize, life: u64, job: u64 },
    End,
}

struct Held {
    conn: ConnId,
    op: OpId,
    attempt: u32,
    class: usize,
}

struct Server {
    make: Make,
    connections: u32,
    address: SocketAddr,
    /// Keeps the address while nothing listens there.
    _reserve: Socket,
    listener: Option<ListenerId>,
    machine: Machine,
    life: u64,
    errors: f64,
    hangs: bool,
    loses: f64,
    silent: bool,
    conns: HashSet<ConnId>,
    jobs: HashMap<u64, Held>,
}

struct Peer {
    server: usize,
    reader: RequestReader,
}

pub struct Host {
    reactor: Reactor<Due>,
    servers: Vec<Server>,
    by_listener: BTreeMap<ListenerId, usize>,
    peers: HashMap<ConnId, Peer>,
    classes: Vec<String>,
    acts: Vec<(Nanos, usize, ServerAct)>,
    rng: Pcg32,
    next_job: u64,
    log: Log,
}

impl Host {
    /// Takes an address for every server of the plan; those that stand from the start listen.
    pub fn new(script: &Script, plan: &Plan, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let mut reactor = Reactor::new(clock, Limits::default())?;
        let mut servers = Vec::new();
        let mut by_listener = BTreeMap::new();
        for (place, planned) in plan.servers.iter().enumerate() {
            let make = plan.make(script, place);
            let (reserve, address) = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            let listener = planned.from_start.then(|| reactor.listen_reserved(address)).transpose()?;
            listener.into_iter().for_each(|listener| {
                by_listener.insert(listener, place);
            });
            servers.push(Server {
                machine: Machine::new(make, None),
                make,
                connections: planned.group.connections,
                address,
                _reserve: reserve,
                listener,
                life: 0,
                errors: 0.0,
                hangs: false,
                loses: 0.0,
                silent: false,
                conns: HashSet::new(),
                jobs: HashMap::new(),
            });
        }
        Ok(Host {
            reactor,
            servers,
            by_listener,
            peers: HashMap::new(),
            classes: script.classes.iter().map(|class| class.name.clone()).collect(),
            acts: plan.server_acts.clone(),
            rng: Pcg32::seed_from_u64(script.seed ^ 0x5e),
            next_job: 0,
            log: Log::default(),
        })
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// Serves from now on, plays the plan from `begin` on, and gives the record at `end`.
    pub fn run(mut self, begin: Nanos, end: Nanos) -> io::Result<Log> {
        for place in 0..self.acts.len() {
            self.reactor.set_timer(begin + self.acts[place].0, Due::Act(place));
        }
        self.reactor.set_timer(end, Due::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(happened) = self.reactor.next_event() {
                match happened {
                    ReactorEvent::Accepted { listener, conn, .. } => self.accept(listener, conn),
                    ReactorEvent::Received { conn } => self.read(conn),
                    ReactorEvent::Closed { conn, .. } => self.gone(conn),
                    ReactorEvent::Timer(Due::Act(place)) => self.act(place)?,
                    ReactorEvent::Timer(Due::Done { server, life, job }) => self.done(server, life, job),
                    ReactorEvent::Timer(Due::End) => return Ok(self.log),
                    ReactorEvent::Connected { .. }
                    | ReactorEvent::Flushed { .. }
                    | ReactorEvent::Ready(_)
                    | ReactorEvent::Signal(_) => {}
                }
            }
        }
    }

    fn accept(&mut self, listener: ListenerId, conn: ConnId) {
        let Some(server) = self.by_listener.get(&listener).copied() else { return self.reactor.close(conn) };
        let held = &mut self.servers[server];
        if held.conns.len() >= held.connections as usize {
            return self.reactor.reset(conn);
        }
        held.conns.insert(conn);
        let reader = RequestReader::new(HttpLimits { body: 64 * 1024, ..HttpLimits::default() });
        self.peers.insert(conn, Peer { server, reader });
    }

    fn gone(&mut self, conn: ConnId) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        let server = &mut self.servers[peer.server];
        server.conns.remove(&conn);
        // Work that waits is dropped with its connection; what runs goes on.
        let given_up: Vec<u64> =
            server.jobs.iter().filter(|(_, held)| held.conn == conn).map(|(job, _)| *job).collect();
        given_up.into_iter().for_each(|job| server.machine.give_up(job));
    }

    fn read(&mut self, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            let server = peer.server;
            if self.servers[server].silent {
                return;
            }
            let Some(input) = self.reactor.input(conn) else { return };
            match peer.reader.next(input, now) {
                Ok(Some(request)) => self.serve(server, conn, &request),
                Ok(None) => break,
                Err(wrong) => {
                    let answer = response(wrong.status(), &[], wrong.to_string().as_bytes());
                    let _ = self.reactor.send(conn, [answer]);
                    self.gone(conn);
                    return self.reactor.close_gracefully(conn);
                }
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn answer(&mut self, server: usize, conn: ConnId, status: StatusCode, refused: bool) {
        let now = self.reactor.now();
        let held = &self.servers[server];
        let report = orca::LoadReport {
            cpu_utilization: Some(held.machine.busy(now)),
            named_metrics: BTreeMap::from([
                ("inflight".to_owned(), held.machine.held() as f64),
                ("service_ms".to_owned(), held.machine.service() * 1e3),
            ]),
        };
        let report = report.header();
        let mut headers = vec![(HeaderName::from_static(orca::HEADER), report.as_str())];
        if refused {
            headers.push((HeaderName::from_static(header::OVERLOADED), "true"));
        }
        let _ = self.reactor.send(conn, [response(status, &headers, b"")]);
    }

    fn serve(&mut self, server: usize, conn: ConnId, request: &Request<Bytes>) {
        let now = self.reactor.now();
        let path = request.uri().path().trim_start_matches('/');
        let headers = request.headers();
        let class = self.classes.iter().position(|class| class == path);
        let operation = number(headers, header::OPERATION).zip(number(headers, header::WORK));
        let Some((class, (op, work_us))) = class.zip(operation) else {
            // A probe, or nonsense: it is told beside the queue whether the process answers at all.
            if !self.servers[server].hangs {
                let status = if path == "healthz" { StatusCode::OK } else { StatusCode::NOT_FOUND };
                self.answer(server, conn, status, false);
            }
            return;
        };
        let (op, work) = (OpId(op), Nanos(u64::saturating_mul(work_us, 1_000)));
        let attempt = number(headers, header::ATTEMPT).unwrap_or(0);
        let proxy = number(headers, header::PROXY).unwrap_or(usize::MAX);
        self.log.add(now, What::Arrived { server, proxy, op, attempt, class, work });
        let held = &mut self.servers[server];
        if held.hangs {
            return;
        }
        if held.errors > 0.0 && self.rng.random::<f64>() < held.errors {
            return self.answer(server, conn, StatusCode::INTERNAL_SERVER_ERROR, false);
        }
        self.next_job += 1;
        let job = Job { number: self.next_job, work };
        match held.machine.arrive(now, job) {
            Arrival::Runs { until } => {
                held.jobs.insert(job.number, Held { conn, op, attempt, class });
                self.log.add(now, What::Ran { server, op, attempt, class });
                let life = held.life;
                self.reactor.set_timer(until, Due::Done { server, life, job: job.number });
            }
            Arrival::Waits => {
                held.jobs.insert(job.number, Held { conn, op, attempt, class });
            }
            Arrival::Full => self.answer(server, conn, StatusCode::SERVICE_UNAVAILABLE, true),
            Arrival::Falls => {
                self.log.add(now, What::Fell { server });
                self.stop(server);
            }
        }
    }

    fn done(&mut self, server: usize, life: u64, job: u64) {
        let now = self.reactor.now();
        let held = &mut self.servers[server];
        if held.life != life {
            return;
        }
        let done = held.jobs.remove(&job);
        if let Some((next, until)) = held.machine.done(now) {
            if let Some(next) = held.jobs.get(&next.number) {
                let (op, attempt, class) = (next.op, next.attempt, next.class);
                self.log.add(now, What::Ran { server, op, attempt, class });
            }
            self.reactor.set_timer(until, Due::Done { server, life, job: next.number });
        }
        let held = &self.servers[server];
        let lost = held.silent || held.loses > 0.0 && self.rng.random::<f64>() < held.loses;
        match done {
            Some(done) if !lost && self.peers.contains_key(&done.conn) => {
                self.answer(server, done.conn, StatusCode::OK, false);
            }
            Some(_) | None => {}
        }
    }

    /// The process ends: its connections are reset, and none is accepted.
    fn stop(&mut self, server: usize) {
        let held = &mut self.servers[server];
        held.life += 1;
        held.jobs.clear();
        for conn in std::mem::take(&mut held.conns) {
            self.peers.remove(&conn);
            self.reactor.reset(conn);
        }
        if let Some(listener) = held.listener.take() {
            self.reactor.close_listener(listener);
            self.by_listener.remove(&listener);
        }
        self.log.add(self.reactor.now(), What::Stopped { server });
    }

    fn act(&mut self, place: usize) -> io::Result<()> {
        let (_, server, act) = self.acts[place];
        let now = self.reactor.now();
        match act {
            ServerAct::Start => {
                self.stop(server);
                let held = &mut self.servers[server];
                held.machine = Machine::new(held.make, Some(now));
                (held.errors, held.hangs, held.loses, held.silent) = (0.0, false, 0.0, false);
                let listener = self.reactor.listen_reserved(held.address)?;
                held.listener = Some(listener);
                self.by_listener.insert(listener, server);
                // After the record of its end, which has a moment of its own.
                self.log.add(self.reactor.now(), What::Started { server });
            }
            ServerAct::Die => self.stop(server),
            ServerAct::Silence => self.servers[server].silent = true,
            ServerAct::Errors(share) => self.servers[server].errors = share,
            ServerAct::Hang(on) => self.servers[server].hangs = on,
            ServerAct::Slow(factor) => {
                self.servers[server].machine.slow = factor;
                self.log.add(now, What::Slowed { server, factor });
            }
            ServerAct::LoseAnswers(share) => self.servers[server].loses = share,
        }
        Ok(())
    }
}
