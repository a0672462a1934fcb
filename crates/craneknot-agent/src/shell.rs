//! Runs the agent on sockets and files: one stream and one report connection per proxy to its coordinator,
//! and the connections on which proxies send their load reports.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_http::{request, response, Limits as HttpLimits, RequestReader, ResponseReader};
use craneknot_reactor::{Clock, ConnId, Limits, Reactor, ReactorEvent, SignalFlags, Unfinished};
use craneknot_settings::json_size::has_too_many_values;
use craneknot_settings::{AgentSettings, NodeSettings};
use craneknot_store::{replace, Disk, RealDisk, TEMPORARY_SUFFIX};
use craneknot_xds::discovery::{DiscoveryRequest, DiscoveryResponse, Kind, Locality, Node, Status};
use craneknot_xds::load::{self, LoadStatsRequest, LoadStatsResponse, Seconds, CLOSED_AT};
use http::{header, HeaderName, Method, Response, StatusCode};
use tracing::{debug, info, warn};

use crate::dialer::{DialAction, DialEvent, DialState, Dialer};
use crate::load_totals::LoadTotals;
use crate::proxy_resources::{ProxyResources, Staged, Verdict};

const JSON: (HeaderName, &str) = (header::CONTENT_TYPE, "application/json");
const INITIAL_REPORT_PERIOD: Nanos = Nanos::from_millis(1_000); // until a coordinator sets another one
/// The shortest and longest report period that a coordinator may set.
const REPORT_PERIOD_LIMITS: (Nanos, Nanos) = (Nanos::from_millis(50), Nanos::from_millis(60_000));
const CONNECT_TIMEOUT: Nanos = Nanos::from_millis(2_000);
const WARMING_TIMEOUT: Nanos = Nanos::from_millis(5_000); // bindings with missing tables are then rejected
/// Of all proxies' connections together, in unfinished requests and unread answers.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;
/// For a proxy to complete a request.
const REQUEST_TIMEOUT: Nanos = Nanos::from_millis(5_000);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A timer of the follower with this index.
enum Timer {
    Dial(usize),
    ConnectTimeout(usize, ConnId),
    Report(usize),
    WarmingTimeout(usize, u64),
    /// Close the connections of proxies that send too slowly.
    Sweep,
}

/// The purpose of a connection to a coordinator, for the follower with this index.
#[derive(Clone, Copy)]
enum Purpose {
    Stream(usize),
    Report(usize),
}

/// A connection on which a proxy sends its load reports.
struct ProxyConnection {
    reader: RequestReader,
}

/// One proxy of this agent, and its connections to the coordinator that it follows.
struct Follower {
    node: NodeSettings,
    folder: PathBuf,
    resources: ProxyResources,
    dialer: Dialer,
    stream_conn: Option<ConnId>,
    stream_reader: ResponseReader,
    /// Kinds with an outstanding request, in the order of the requests.
    requested: VecDeque<Kind>,
    nonces: BTreeMap<Kind, String>,
    /// Identifies the bindings that wait for their tables, so that an earlier timeout does not reject them.
    warming_id: Option<u64>,
    last_warming_id: u64,
    report_conn: Option<ConnId>,
    report_reader: ResponseReader,
    /// The time at which the unanswered report was sent.
    report_sent_at: Option<Nanos>,
    totals: LoadTotals,
}

/// Called after each replaced file with the proxy's name, the kind and the new version.
pub type OnSwap = Box<dyn FnMut(&str, Kind, &str)>;

/// The running agent.
pub struct Shell {
    settings: AgentSettings,
    reactor: Reactor<Timer>,
    disk: Box<dyn Disk>,
    followers: Vec<Follower>,
    by_name: BTreeMap<String, usize>,
    purposes: BTreeMap<ConnId, Purpose>,
    proxies: BTreeMap<ConnId, ProxyConnection>,
    report_period: Nanos,
    address: SocketAddr,
    on_swap: Option<OnSwap>,
}

fn response_limits() -> HttpLimits {
    HttpLimits { body: MAX_RESPONSE_BYTES, ..HttpLimits::default() }
}

impl Shell {
    /// Restores the files that a previous run wrote, and listens for proxies' reports.
    pub fn new(settings: AgentSettings, folder: &Path, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let disk = Box::new(RealDisk { sync: settings.sync });
        Self::with_disk(settings, folder, clock, disk)
    }

    /// As [`Shell::new`], with another implementation of the disk.
    pub fn with_disk(
        settings: AgentSettings,
        folder: &Path,
        clock: Arc<dyn Clock>,
        disk: Box<dyn Disk>,
    ) -> io::Result<Self> {
        let limits = Limits { input: 1024 * 1024, buffered: MAX_BUFFERED_BYTES, ..Limits::default() };
        let mut reactor = Reactor::new(clock, limits)?;
        let now = reactor.now();
        let seed = settings.seed.unwrap_or(now.0);
        let (base, max) = (settings.redial_least.0, settings.redial_most.0);
        let mut followers = Vec::new();
        for (index, node) in settings.nodes.iter().enumerate() {
            let folder = folder.join(&node.folder);
            fs::create_dir_all(&folder)?;
            let mut resources = ProxyResources::default();
            for kind in Kind::ALL {
                // A temporary file that is left after a kill is incomplete.
                let _ = fs::remove_file(folder.join(format!("{}{TEMPORARY_SUFFIX}", kind.file())));
                match fs::read(folder.join(kind.file())) {
                    Ok(text) => match resources.restore(kind, &text) {
                        Ok(()) => debug!(proxy = %node.id, ?kind, "restored the existing file"),
                        Err(cause) => {
                            warn!(proxy = %node.id, ?kind, cause, "ignoring the existing file: it is invalid")
                        }
                    },
                    Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
                    Err(cause) => {
                        warn!(proxy = %node.id, ?kind, %cause, "cannot read the existing file")
                    }
                }
            }
            let dialer =
                Dialer::new(settings.coordinators.len(), base, max, seed.wrapping_add(index as u64), now);
            reactor.set_timer(dialer.next_dial_at().unwrap_or(now), Timer::Dial(index));
            followers.push(Follower {
                node: node.clone(),
                folder,
                resources,
                dialer,
                stream_conn: None,
                stream_reader: ResponseReader::new(response_limits()),
                requested: VecDeque::new(),
                nonces: BTreeMap::new(),
                warming_id: None,
                last_warming_id: 0,
                report_conn: None,
                report_reader: ResponseReader::new(HttpLimits::default()),
                report_sent_at: None,
                totals: LoadTotals::default(),
            });
        }
        let by_name =
            settings.nodes.iter().enumerate().map(|(index, node)| (node.id.clone(), index)).collect();
        let (_, address) = reactor.listen(settings.listen)?;
        reactor.set_timer(now + REQUEST_TIMEOUT, Timer::Sweep);
        if let Some(path) = &settings.ready_file {
            let text = serde_json::json!({"address": address.to_string(), "pid": std::process::id()});
            replace(disk.as_ref(), &folder.join(path), text.to_string().as_bytes())?;
        }
        info!(%address, proxies = followers.len(), "listening for proxies' reports");
        Ok(Shell {
            settings,
            reactor,
            disk,
            followers,
            by_name,
            purposes: BTreeMap::new(),
            proxies: BTreeMap::new(),
            report_period: INITIAL_REPORT_PERIOD,
            address,
            on_swap: None,
        })
    }

    /// The address to which proxies send their reports.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn on_swap(&mut self, callback: OnSwap) {
        self.on_swap = Some(callback);
    }

    /// Stops the agent when one of these signals arrives.
    pub fn stop_on_signals(&mut self, signals: SignalFlags) {
        self.reactor.watch_signals(signals);
    }

    /// Runs until a signal stops it.
    pub fn run(&mut self) -> io::Result<()> {
        while self.run_once(None)? {}
        Ok(())
    }

    /// Waits for events, for at most `max_wait`, and handles them; returns false when a signal asks the agent
    /// to stop.
    pub fn run_once(&mut self, max_wait: Option<std::time::Duration>) -> io::Result<bool> {
        self.reactor.poll(max_wait)?;
        while let Some(event) = self.reactor.next_event() {
            match event {
                ReactorEvent::Accepted { conn, .. } => {
                    let reader = RequestReader::new(HttpLimits::default());
                    self.proxies.insert(conn, ProxyConnection { reader });
                }
                ReactorEvent::Connected { conn } => match self.purposes.get(&conn).copied() {
                    Some(Purpose::Stream(index)) => self.stream_connected(index, conn),
                    Some(Purpose::Report(_)) | None => {}
                },
                ReactorEvent::Received { conn } => match self.purposes.get(&conn).copied() {
                    Some(Purpose::Stream(index)) => self.read_stream(index, conn),
                    Some(Purpose::Report(index)) => self.read_report_response(index, conn),
                    None => self.read_proxy(conn),
                },
                ReactorEvent::Flushed { .. } | ReactorEvent::Ready(_) => {}
                ReactorEvent::Closed { conn, cause } => match self.purposes.get(&conn).copied() {
                    Some(Purpose::Stream(index)) => self.connection_lost(index, &format!("{cause:?}")),
                    Some(Purpose::Report(index)) => {
                        self.purposes.remove(&conn);
                        self.followers[index].report_conn = None;
                        // The report in flight is sent again, unchanged, on the next connection.
                        self.followers[index].report_sent_at = None;
                    }
                    None => {
                        self.proxies.remove(&conn);
                    }
                },
                ReactorEvent::Timer(timer) => self.timer_fired(timer),
                ReactorEvent::Signal(signal) => {
                    info!(signal, "stopping on a signal; the proxies' files remain");
                    return Ok(false);
                }
            }
        }
        self.close_over_budget();
        Ok(true)
    }

    /// Closes proxies' connections while all of them together leave too much unfinished or unread.
    fn close_over_budget(&mut self) {
        for conn in self.reactor.over_budget() {
            if self.reactor.unsent_bytes(conn) > 0 {
                self.proxies.remove(&conn);
                self.reactor.close(conn);
            } else {
                let cause = "unfinished requests take too much memory";
                self.reject_proxy(conn, StatusCode::SERVICE_UNAVAILABLE, cause);
            }
        }
    }

    /// Answers a proxy with an error and closes the connection.
    fn reject_proxy(&mut self, conn: ConnId, status: StatusCode, cause: &str) {
        let _ = self.reactor.send(conn, [response(status, &[], cause.as_bytes())]);
        self.proxies.remove(&conn);
        self.reactor.close_gracefully(conn);
    }

    /// Closes the connections of proxies whose requests are not complete in time, or that do not read answers.
    fn sweep(&mut self, now: Nanos) {
        let slow = |(conn, proxy): (&ConnId, &ProxyConnection)| {
            let is_slow = proxy.reader.partial_message_age(now) >= REQUEST_TIMEOUT;
            (is_slow && self.reactor.unsent_bytes(*conn) == 0).then_some(*conn)
        };
        for conn in self.proxies.iter().filter_map(slow).collect::<Vec<ConnId>>() {
            self.reject_proxy(conn, StatusCode::REQUEST_TIMEOUT, "the request did not come whole in time");
        }
        let is_stuck = |conn: &&ConnId| self.reactor.write_stalled_for(**conn) >= REQUEST_TIMEOUT;
        for conn in self.proxies.keys().filter(is_stuck).copied().collect::<Vec<ConnId>>() {
            self.proxies.remove(&conn);
            self.reactor.close(conn);
        }
        self.reactor.set_timer(now + REQUEST_TIMEOUT, Timer::Sweep);
    }

    fn timer_fired(&mut self, timer: Timer) {
        let now = self.reactor.now();
        match timer {
            Timer::Dial(index) => {
                if self.followers[index].dialer.handle(now, DialEvent::BackoffElapsed) == DialAction::Dial {
                    self.connect(index, now);
                }
            }
            Timer::ConnectTimeout(index, conn) => {
                let follower = &self.followers[index];
                if follower.stream_conn == Some(conn) && follower.dialer.state() == DialState::Connecting {
                    self.connection_lost(index, "connection timed out");
                }
            }
            Timer::Report(index) => self.send_report(index, now),
            Timer::Sweep => self.sweep(now),
            Timer::WarmingTimeout(index, id) => {
                let follower = &mut self.followers[index];
                if follower.warming_id == Some(id) {
                    follower.warming_id = None;
                    if let Some(status) = follower.resources.cancel_warming() {
                        self.fetch(index, Kind::Clusters, Some(status));
                    }
                }
            }
        }
    }

    fn connect(&mut self, index: usize, now: Nanos) {
        let coordinator = self.settings.coordinators[self.followers[index].dialer.coordinator()].address();
        match self.reactor.connect(coordinator) {
            Ok(conn) => {
                self.followers[index].stream_conn = Some(conn);
                self.purposes.insert(conn, Purpose::Stream(index));
                self.reactor.set_timer(now + CONNECT_TIMEOUT, Timer::ConnectTimeout(index, conn));
            }
            Err(cause) => self.connection_lost(index, &cause.to_string()),
        }
    }

    /// Handles the loss of the stream: the files remain, and the next connection attempt is scheduled.
    fn connection_lost(&mut self, index: usize, cause: &str) {
        self.close_stream(index);
        let now = self.reactor.now();
        let follower = &mut self.followers[index];
        let was_following = follower.dialer.state() == DialState::Following;
        let before = follower.dialer.coordinator();
        follower.dialer.handle(now, DialEvent::Lost);
        if follower.dialer.coordinator() != before {
            follower.totals.discard_in_flight();
        }
        if was_following {
            warn!(proxy = %follower.node.id, cause, "lost the coordinator; keeping the current files");
        } else {
            debug!(proxy = %follower.node.id, cause, "cannot reach the coordinator");
        }
        if let Some(at) = follower.dialer.next_dial_at() {
            self.reactor.set_timer(at, Timer::Dial(index));
        }
    }

    fn close_stream(&mut self, index: usize) {
        let follower = &mut self.followers[index];
        for conn in [follower.stream_conn.take(), follower.report_conn.take()].into_iter().flatten() {
            self.purposes.remove(&conn);
            self.reactor.close(conn);
        }
        follower.requested.clear();
        follower.nonces.clear();
        follower.warming_id = None;
        follower.resources.cancel_warming();
        follower.report_sent_at = None;
    }

    /// Handles a redirect: the host of its location names the coordinator that is the leader.
    fn redirected(&mut self, index: usize, answer: &Response<Bytes>) {
        let location = answer.headers().get(header::LOCATION).and_then(|value| value.to_str().ok());
        let host = location
            .and_then(|text| text.parse::<http::Uri>().ok())
            .and_then(|uri| uri.host().map(str::to_owned));
        let index_of = |name: &String| self.settings.coordinators.iter().position(|c| c.name() == Some(name));
        match host.as_ref().and_then(index_of) {
            Some(coordinator) => {
                debug!(proxy = %self.followers[index].node.id, coordinator = host, "redirected to the leader");
                self.close_stream(index);
                let now = self.reactor.now();
                let follower = &mut self.followers[index];
                follower.totals.discard_in_flight();
                follower.dialer.redirect_to(now, coordinator);
                if let Some(at) = follower.dialer.next_dial_at() {
                    self.reactor.set_timer(at, Timer::Dial(index));
                }
            }
            None => self.connection_lost(index, "redirected to a coordinator that is not in the settings"),
        }
    }

    fn stream_connected(&mut self, index: usize, conn: ConnId) {
        let now = self.reactor.now();
        let follower = &mut self.followers[index];
        if follower.dialer.handle(now, DialEvent::Connected) != DialAction::Subscribe
            || follower.stream_conn != Some(conn)
        {
            return;
        }
        follower.stream_reader = ResponseReader::new(response_limits());
        Kind::ALL.into_iter().for_each(|kind| self.fetch(index, kind, None));
        // The first report confirms the stream to the coordinator, and its response sets the report period.
        self.reactor.set_timer(now, Timer::Report(index));
    }

    fn node(&self, index: usize) -> Node {
        let node = &self.followers[index].node;
        Node {
            id: node.id.clone(),
            cluster: "craneknot".to_owned(),
            locality: Locality::zone(&node.zone),
            metadata: BTreeMap::from([
                ("usual_rate".to_owned(), node.usual_rate.into()),
                // The current bindings, so that a coordinator that takes over need not change them.
                ("bound".to_owned(), serde_json::json!(self.followers[index].resources.bound_tables())),
                ("prints".to_owned(), serde_json::json!(self.followers[index].resources.fingerprints())),
            ]),
        }
    }

    /// Requests the next response of a kind; the request also accepts or rejects the last one.
    fn fetch(&mut self, index: usize, kind: Kind, rejection: Option<Status>) {
        let node = (!self.followers[index].nonces.contains_key(&kind)).then(|| self.node(index));
        let follower = &mut self.followers[index];
        let Some(conn) = follower.stream_conn else { return };
        let request_body = DiscoveryRequest {
            version_info: follower.resources.version(kind).text(),
            node,
            resource_names: Vec::new(),
            type_url: kind.type_url().to_owned(),
            response_nonce: follower.nonces.get(&kind).cloned().unwrap_or_default(),
            error_detail: rejection,
        };
        follower.requested.push_back(kind);
        let body = serde_json::to_vec(&request_body).unwrap_or_default();
        let sent =
            self.reactor.send(conn, [request(&Method::POST, kind.path(), "coordinator", &[JSON], &body)]);
        if sent.is_err() {
            self.connection_lost(index, "cannot send the request");
        }
    }

    fn read_stream(&mut self, index: usize, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(input) = self.reactor.input(conn) else { return };
            match self.followers[index].stream_reader.next(input, false, now) {
                Ok(Some(answer)) => self.handle_response(index, &answer),
                Ok(None) => break,
                Err(error) => return self.connection_lost(index, &error.to_string()),
            }
            if self.followers[index].stream_conn != Some(conn) {
                return;
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn handle_response(&mut self, index: usize, answer: &Response<Bytes>) {
        let now = self.reactor.now();
        let Some(kind) = self.followers[index].requested.pop_front() else {
            return self.connection_lost(index, "response without a request");
        };
        match answer.status() {
            StatusCode::OK => {
                self.followers[index].dialer.handle(now, DialEvent::Responded);
            }
            StatusCode::NOT_MODIFIED => {
                self.followers[index].dialer.handle(now, DialEvent::Responded);
                return self.fetch(index, kind, None);
            }
            StatusCode::TEMPORARY_REDIRECT => return self.redirected(index, answer),
            // A rejection counts as a lost connection: the next coordinator is tried, with backoff.
            status => {
                let cause = String::from_utf8_lossy(answer.body()).chars().take(200).collect::<String>();
                return self.connection_lost(index, &format!("{status}: {cause}"));
            }
        }
        let response: DiscoveryResponse = match serde_json::from_slice(answer.body()) {
            Ok(response) => response,
            // Without a nonce nothing can be rejected: the peer does not speak the protocol.
            Err(cause) => return self.connection_lost(index, &format!("not a discovery response: {cause}")),
        };
        let follower = &mut self.followers[index];
        follower.nonces.insert(kind, response.nonce.clone());
        match follower.resources.evaluate(kind, &response) {
            Ok(Verdict::Swap(staged)) => self.replace_file(index, staged),
            Ok(Verdict::Warming { missing }) => {
                debug!(proxy = %follower.node.id, missing, "bindings wait for their tables");
                follower.last_warming_id += 1;
                follower.warming_id = Some(follower.last_warming_id);
                let timer = Timer::WarmingTimeout(index, follower.last_warming_id);
                self.reactor.set_timer(now + WARMING_TIMEOUT, timer);
            }
            Err(status) => {
                warn!(proxy = %follower.node.id, ?kind, cause = status.message, "rejected the response; keeping the current file");
                self.fetch(index, kind, Some(status));
            }
        }
    }

    /// Replaces a file and acknowledges it, then does the same for bindings that waited for it.
    fn replace_file(&mut self, index: usize, staged: Staged) {
        let mut next = Some(staged);
        while let Some(staged) = next.take() {
            let follower = &mut self.followers[index];
            let kind = staged.kind;
            let path = follower.folder.join(kind.file());
            match replace(self.disk.as_ref(), &path, staged.text.as_bytes()) {
                Ok(()) => {
                    let version = staged.version.text();
                    debug!(proxy = %follower.node.id, ?kind, version, "swapped");
                    if let Some(callback) = &mut self.on_swap {
                        callback(&follower.node.id, kind, &version);
                    }
                    if kind == Kind::Clusters {
                        follower.warming_id = None;
                    }
                    next = follower.resources.commit(staged);
                    self.fetch(index, kind, None);
                }
                Err(cause) => {
                    warn!(proxy = %follower.node.id, ?kind, %cause, "cannot write the file; keeping the current one");
                    self.fetch(index, kind, Some(Status::exhausted(format!("{}: {cause}", path.display()))));
                }
            }
        }
    }

    /// Sends the pending report or the unacknowledged one. A coordinator that leaves a report unanswered for
    /// the time `silent_after` counts as lost.
    fn send_report(&mut self, index: usize, now: Nanos) {
        let follower = &mut self.followers[index];
        if !matches!(follower.dialer.state(), DialState::Connected | DialState::Following) {
            return;
        }
        if let Some(sent_at) = follower.report_sent_at {
            if now - sent_at >= self.settings.silent_after.0 {
                return self.connection_lost(index, "the coordinator does not respond to a report");
            }
            self.reactor.set_timer(now + self.report_period, Timer::Report(index));
            return;
        }
        let coordinator = self.settings.coordinators[follower.dialer.coordinator()].address();
        let conn = match follower.report_conn {
            Some(conn) => conn,
            None => match self.reactor.connect(coordinator) {
                Ok(conn) => {
                    follower.report_reader = ResponseReader::new(HttpLimits::default());
                    follower.report_conn = Some(conn);
                    self.purposes.insert(conn, Purpose::Report(index));
                    conn
                }
                Err(cause) => return self.connection_lost(index, &cause.to_string()),
            },
        };
        let (closed, cluster_stats) = follower.totals.close(now);
        follower.report_sent_at = Some(now);
        let id = self.followers[index].node.id.clone();
        let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed.into())]);
        let node = Node { id, metadata, ..Node::default() };
        let body =
            serde_json::to_vec(&LoadStatsRequest { node: Some(node), cluster_stats }).unwrap_or_default();
        let sent =
            self.reactor.send(conn, [request(&Method::POST, load::PATH, "coordinator", &[JSON], &body)]);
        if sent.is_err() {
            return self.connection_lost(index, "cannot send the report");
        }
        self.reactor.set_timer(now + self.report_period, Timer::Report(index));
    }

    fn read_report_response(&mut self, index: usize, conn: ConnId) {
        let now = self.reactor.now();
        let Some(input) = self.reactor.input(conn) else { return };
        match self.followers[index].report_reader.next(input, false, now) {
            Ok(None) => {}
            Ok(Some(answer)) => {
                let follower = &mut self.followers[index];
                follower.report_sent_at = None;
                follower.totals.acknowledge();
                follower.dialer.handle(now, DialEvent::Responded);
                if let Ok(settings) = serde_json::from_slice::<LoadStatsResponse>(answer.body()) {
                    let period = Nanos::from_secs(settings.load_reporting_interval.0);
                    self.report_period = period.clamp(REPORT_PERIOD_LIMITS.0, REPORT_PERIOD_LIMITS.1);
                }
            }
            Err(error) => self.connection_lost(index, &error.to_string()),
        }
        self.reactor.input_consumed(conn);
    }

    fn read_proxy(&mut self, conn: ConnId) {
        if self.reactor.is_reset(conn) {
            self.proxies.remove(&conn);
            return self.reactor.close(conn);
        }
        let mut served = 0;
        while self.reactor.may_serve(conn, served) {
            let now = self.reactor.now();
            let Some(connection) = self.proxies.get_mut(&conn) else { return };
            let Some(input) = self.reactor.input(conn) else { return };
            let (status, body) = match connection.reader.next(input, now) {
                Ok(Some(message)) if message.uri().path() == load::PATH => self.add_report(message.body()),
                Ok(Some(_)) => (StatusCode::NOT_FOUND, Vec::new()),
                Ok(None) => break,
                Err(error) => return self.reject_proxy(conn, error.status(), &error.to_string()),
            };
            if self.reactor.send(conn, [response(status, &[JSON], &body)]).is_err() {
                self.proxies.remove(&conn);
                self.reactor.close(conn);
                return;
            }
            served += 1;
        }
        if let Some(proxy) = self.proxies.get(&conn) {
            let held_bytes = proxy.reader.held_bytes();
            let unfinished = proxy.reader.partial_since().map(|since| Unfinished { since, held_bytes });
            self.reactor.set_unfinished(conn, unfinished);
        }
        self.reactor.input_consumed(conn);
    }

    fn add_report(&mut self, body: &[u8]) -> (StatusCode, Vec<u8>) {
        if has_too_many_values(body) {
            return (StatusCode::PAYLOAD_TOO_LARGE, b"the report has too many values".to_vec());
        }
        let report: LoadStatsRequest = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(cause) => return (StatusCode::BAD_REQUEST, cause.to_string().into_bytes()),
        };
        let name = report.node.as_ref().map_or("", |node| node.id.as_str());
        let Some(index) = self.by_name.get(name) else {
            return (StatusCode::BAD_REQUEST, format!("{name:?} is no proxy of this agent").into_bytes());
        };
        self.followers[*index].totals.add(&report);
        let settings = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Seconds(self.report_period.secs()),
            report_endpoint_granularity: true,
        };
        (StatusCode::OK, serde_json::to_vec(&settings).unwrap_or_default())
    }
}
