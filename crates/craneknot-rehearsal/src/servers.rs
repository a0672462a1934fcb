//! The simulated servers on sockets: one event loop for all of them, with a listener for each.

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

use crate::machine::{Arrival, Job, Machine, ServerSpec};
use crate::plan::{Plan, ServerAct};
use crate::record::{Log, OpId, What};
use crate::script::Script;

/// Headers between the simulated parties, including those of the published protocol.
pub mod header {
    pub const OPERATION: &str = "x-request-id";
    pub const ATTEMPT: &str = "x-attempt";
    pub const PROXY: &str = "x-proxy";
    pub const WORK: &str = "x-work-us";
    pub const KEY: &str = "x-key";
    /// Published: set if an operation was rejected before it ran.
    pub const OVERLOADED: &str = "x-envoy-overloaded";
    /// Published: the timeout of the caller.
    pub const TIMEOUT: &str = "x-envoy-upstream-rq-timeout-ms";
}

/// Parses the value of a header.
pub fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

enum TimerEvent {
    Act(usize),
    Done { server: usize, generation: u64, job: u64 },
    End,
}

struct AcceptedOperation {
    conn: ConnId,
    op: OpId,
    attempt: u32,
    class: usize,
}

struct Server {
    spec: ServerSpec,
    connections: u32,
    address: SocketAddr,
    /// Reserves the address while nothing listens on it.
    _reserve: Socket,
    listener: Option<ListenerId>,
    machine: Machine,
    generation: u64,
    errors: f64,
    hanging: bool,
    answer_loss: f64,
    silent: bool,
    conns: HashSet<ConnId>,
    jobs: HashMap<u64, AcceptedOperation>,
}

struct Peer {
    server: usize,
    reader: RequestReader,
}

/// The event loop of all simulated servers.
pub struct Host {
    reactor: Reactor<TimerEvent>,
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
    /// Reserves an address for every server of the plan, and listens for those that run from the start.
    pub fn new(script: &Script, plan: &Plan, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let mut reactor = Reactor::new(clock, Limits::default())?;
        let mut servers = Vec::new();
        let mut by_listener = BTreeMap::new();
        for (index, planned) in plan.servers.iter().enumerate() {
            let spec = plan.server_spec(script, index);
            let (reserve, address) = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            let listener = planned.from_start.then(|| reactor.listen_reserved(address)).transpose()?;
            listener.into_iter().for_each(|listener| {
                by_listener.insert(listener, index);
            });
            servers.push(Server {
                machine: Machine::new(spec, None),
                spec,
                connections: planned.group.connections,
                address,
                _reserve: reserve,
                listener,
                generation: 0,
                errors: 0.0,
                hanging: false,
                answer_loss: 0.0,
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

    /// Serves from now on, executes the plan from `begin` on, and returns the record at `end`.
    pub fn run(mut self, begin: Nanos, end: Nanos) -> io::Result<Log> {
        for index in 0..self.acts.len() {
            self.reactor.set_timer(begin + self.acts[index].0, TimerEvent::Act(index));
        }
        self.reactor.set_timer(end, TimerEvent::End);
        loop {
            self.reactor.poll(None)?;
            while let Some(event) = self.reactor.next_event() {
                match event {
                    ReactorEvent::Accepted { listener, conn, .. } => self.accept(listener, conn),
                    ReactorEvent::Received { conn } => self.handle_input(conn),
                    ReactorEvent::Closed { conn, .. } => self.handle_close(conn),
                    ReactorEvent::Timer(TimerEvent::Act(index)) => self.act(index)?,
                    ReactorEvent::Timer(TimerEvent::Done { server, generation, job }) => {
                        self.finish_job(server, generation, job)
                    }
                    ReactorEvent::Timer(TimerEvent::End) => return Ok(self.log),
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
        let state = &mut self.servers[server];
        if state.conns.len() >= state.connections as usize {
            return self.reactor.reset(conn);
        }
        state.conns.insert(conn);
        let reader = RequestReader::new(HttpLimits { body: 64 * 1024, ..HttpLimits::default() });
        self.peers.insert(conn, Peer { server, reader });
    }

    fn handle_close(&mut self, conn: ConnId) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        let server = &mut self.servers[peer.server];
        server.conns.remove(&conn);
        // Queued operations are dropped with their connection; running ones continue.
        let cancelled: Vec<u64> =
            server.jobs.iter().filter(|(_, operation)| operation.conn == conn).map(|(job, _)| *job).collect();
        cancelled.into_iter().for_each(|job| server.machine.cancel(job));
    }

    fn handle_input(&mut self, conn: ConnId) {
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
                Err(error) => {
                    let answer = response(error.status(), &[], error.to_string().as_bytes());
                    let _ = self.reactor.send(conn, [answer]);
                    self.handle_close(conn);
                    return self.reactor.close_gracefully(conn);
                }
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn answer(&mut self, server: usize, conn: ConnId, status: StatusCode, rejected: bool) {
        let now = self.reactor.now();
        let state = &self.servers[server];
        let report = orca::LoadReport {
            cpu_utilization: Some(state.machine.busy(now)),
            named_metrics: BTreeMap::from([
                ("inflight".to_owned(), state.machine.in_flight() as f64),
                ("service_ms".to_owned(), state.machine.service_time() * 1e3),
            ]),
        };
        let report = report.header();
        let mut headers = vec![(HeaderName::from_static(orca::HEADER), report.as_str())];
        if rejected {
            headers.push((HeaderName::from_static(header::OVERLOADED), "true"));
        }
        let _ = self.reactor.send(conn, [response(status, &headers, b"")]);
    }

    fn serve(&mut self, server: usize, conn: ConnId, request: &Request<Bytes>) {
        let now = self.reactor.now();
        let path = request.uri().path().trim_start_matches('/');
        let headers = request.headers();
        let class = self.classes.iter().position(|class| class == path);
        let operation = parse_header(headers, header::OPERATION).zip(parse_header(headers, header::WORK));
        let Some((class, (op, work_us))) = class.zip(operation) else {
            // Probes and invalid requests bypass the queue: the answer shows whether the process responds at all.
            if !self.servers[server].hanging {
                let status = if path == "healthz" { StatusCode::OK } else { StatusCode::NOT_FOUND };
                self.answer(server, conn, status, false);
            }
            return;
        };
        let (op, work) = (OpId(op), Nanos(u64::saturating_mul(work_us, 1_000)));
        let attempt = parse_header(headers, header::ATTEMPT).unwrap_or(0);
        let proxy = parse_header(headers, header::PROXY).unwrap_or(usize::MAX);
        self.log.add(now, What::Arrived { server, proxy, op, attempt, class, work });
        let state = &mut self.servers[server];
        if state.hanging {
            return;
        }
        if state.errors > 0.0 && self.rng.random::<f64>() < state.errors {
            return self.answer(server, conn, StatusCode::INTERNAL_SERVER_ERROR, false);
        }
        self.next_job += 1;
        let job = Job { number: self.next_job, work };
        match state.machine.arrive(now, job) {
            Arrival::Running { until } => {
                state.jobs.insert(job.number, AcceptedOperation { conn, op, attempt, class });
                self.log.add(now, What::Ran { server, op, attempt, class });
                let generation = state.generation;
                self.reactor.set_timer(until, TimerEvent::Done { server, generation, job: job.number });
            }
            Arrival::Queued => {
                state.jobs.insert(job.number, AcceptedOperation { conn, op, attempt, class });
            }
            Arrival::Full => self.answer(server, conn, StatusCode::SERVICE_UNAVAILABLE, true),
            Arrival::Overloaded => {
                self.log.add(now, What::Fell { server });
                self.stop(server);
            }
        }
    }

    fn finish_job(&mut self, server: usize, generation: u64, job: u64) {
        let now = self.reactor.now();
        let state = &mut self.servers[server];
        if state.generation != generation {
            return;
        }
        let done = state.jobs.remove(&job);
        if let Some((next, until)) = state.machine.finish(now) {
            if let Some(next) = state.jobs.get(&next.number) {
                let (op, attempt, class) = (next.op, next.attempt, next.class);
                self.log.add(now, What::Ran { server, op, attempt, class });
            }
            self.reactor.set_timer(until, TimerEvent::Done { server, generation, job: next.number });
        }
        let state = &self.servers[server];
        let lost = state.silent || state.answer_loss > 0.0 && self.rng.random::<f64>() < state.answer_loss;
        match done {
            Some(done) if !lost && self.peers.contains_key(&done.conn) => {
                self.answer(server, done.conn, StatusCode::OK, false);
            }
            Some(_) | None => {}
        }
    }

    /// Stops the server: its connections are reset, and no new ones are accepted.
    fn stop(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.generation += 1;
        state.jobs.clear();
        for conn in std::mem::take(&mut state.conns) {
            self.peers.remove(&conn);
            self.reactor.reset(conn);
        }
        if let Some(listener) = state.listener.take() {
            self.reactor.close_listener(listener);
            self.by_listener.remove(&listener);
        }
        self.log.add(self.reactor.now(), What::Stopped { server });
    }

    fn act(&mut self, index: usize) -> io::Result<()> {
        let (_, server, act) = self.acts[index];
        let now = self.reactor.now();
        match act {
            ServerAct::Start => {
                self.stop(server);
                let state = &mut self.servers[server];
                state.machine = Machine::new(state.spec, Some(now));
                (state.errors, state.hanging, state.answer_loss, state.silent) = (0.0, false, 0.0, false);
                let listener = self.reactor.listen_reserved(state.address)?;
                state.listener = Some(listener);
                self.by_listener.insert(listener, server);
                // A new timestamp, after that of the record of its stop.
                self.log.add(self.reactor.now(), What::Started { server });
            }
            ServerAct::Die => self.stop(server),
            ServerAct::Silence => self.servers[server].silent = true,
            ServerAct::Errors(share) => self.servers[server].errors = share,
            ServerAct::Hang(on) => self.servers[server].hanging = on,
            ServerAct::Slow(factor) => {
                self.servers[server].machine.slowdown = factor;
                self.log.add(now, What::Slowed { server, factor });
            }
            ServerAct::LoseAnswers(share) => self.servers[server].answer_loss = share,
        }
        Ok(())
    }
}
