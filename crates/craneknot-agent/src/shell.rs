//! The agent on sockets and files.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_http::{request, response, Limits as HttpLimits, RequestReader, ResponseReader};
use craneknot_reactor::{Clock, ConnId, Limits, Reactor, ReactorEvent, SignalFlags};
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
const FIRST_PERIOD: Nanos = Nanos::from_millis(1_000); // ms; until a coordinator says how often it wants reports
const PERIODS: (Nanos, Nanos) = (Nanos::from_millis(50), Nanos::from_millis(60_000)); // bounds of what it may say
const CONNECT_WITHIN: Nanos = Nanos::from_millis(2_000); // ms; a dial that takes longer has failed
const WARM_WITHIN: Nanos = Nanos::from_millis(5_000); // ms; bindings whose tables have not come by then are refused
const RESPONSE_MOST: usize = 64 * 1024 * 1024; // bytes of one response

enum Due {
    Dial(usize),
    DialOver(usize, ConnId),
    Report(usize),
    Warm(usize, u64),
}

#[derive(Clone, Copy)]
enum Use {
    Stream(usize),
    Reports(usize),
}

struct ProxyPeer {
    reader: RequestReader,
}

struct Follower {
    node: NodeSettings,
    folder: PathBuf,
    holding: ProxyResources,
    dial: Dialer,
    stream: Option<ConnId>,
    stream_reader: ResponseReader,
    asked: VecDeque<Kind>,
    nonces: BTreeMap<Kind, String>,
    warming: Option<u64>,
    warm_count: u64,
    reports: Option<ConnId>,
    reports_reader: ResponseReader,
    reports_since: Option<Nanos>,
    sums: LoadTotals,
}

/// Called after each swap: the proxy's name, the kind, and the version swapped in.
pub type OnSwap = Box<dyn FnMut(&str, Kind, &str)>;

pub struct Shell {
    settings: AgentSettings,
    reactor: Reactor<Due>,
    disk: Box<dyn Disk>,
    followers: Vec<Follower>,
    by_name: BTreeMap<String, usize>,
    uses: BTreeMap<ConnId, Use>,
    proxies: BTreeMap<ConnId, ProxyPeer>,
    period: Nanos,
    address: SocketAddr,
    on_swap: Option<OnSwap>,
}

fn limits() -> HttpLimits {
    HttpLimits { body: RESPONSE_MOST, ..HttpLimits::default() }
}

impl Shell {
    /// Takes what an earlier life left, and listens for proxies' reports.
    pub fn new(settings: AgentSettings, folder: &Path, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let disk = Box::new(RealDisk { sync: settings.sync });
        Self::with_disk(settings, folder, clock, disk)
    }

    pub fn with_disk(
        settings: AgentSettings,
        folder: &Path,
        clock: Arc<dyn Clock>,
        disk: Box<dyn Disk>,
    ) -> io::Result<Self> {
        let mut reactor = Reactor::new(clock, Limits { input: 1024 * 1024, ..Limits::default() })?;
        let now = reactor.now();
        let seed = settings.seed.unwrap_or(now.0);
        let (least, most) = (settings.redial_least.0, settings.redial_most.0);
        let mut followers = Vec::new();
        for (place, node) in settings.nodes.iter().enumerate() {
            let folder = folder.join(&node.folder);
            fs::create_dir_all(&folder)?;
            let mut holding = ProxyResources::default();
            for kind in Kind::ALL {
                // What a kill left half written is of no use.
                let _ = fs::remove_file(folder.join(format!("{}{TEMPORARY_SUFFIX}", kind.file())));
                match fs::read(folder.join(kind.file())) {
                    Ok(text) => match holding.restore(kind, &text) {
                        Ok(()) => debug!(proxy = %node.id, ?kind, "goes on from the file that stands"),
                        Err(cause) => {
                            warn!(proxy = %node.id, ?kind, cause, "the file that stands is of no use")
                        }
                    },
                    Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
                    Err(cause) => {
                        warn!(proxy = %node.id, ?kind, %cause, "the file that stands cannot be read")
                    }
                }
            }
            let dial =
                Dialer::new(settings.coordinators.len(), least, most, seed.wrapping_add(place as u64), now);
            reactor.set_timer(dial.next_dial_at().unwrap_or(now), Due::Dial(place));
            followers.push(Follower {
                node: node.clone(),
                folder,
                holding,
                dial,
                stream: None,
                stream_reader: ResponseReader::new(limits()),
                asked: VecDeque::new(),
                nonces: BTreeMap::new(),
                warming: None,
                warm_count: 0,
                reports: None,
                reports_reader: ResponseReader::new(HttpLimits::default()),
                reports_since: None,
                sums: LoadTotals::default(),
            });
        }
        let by_name =
            settings.nodes.iter().enumerate().map(|(place, node)| (node.id.clone(), place)).collect();
        let (_, address) = reactor.listen(settings.listen)?;
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
            uses: BTreeMap::new(),
            proxies: BTreeMap::new(),
            period: FIRST_PERIOD,
            address,
            on_swap: None,
        })
    }

    /// Where proxies send their reports.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn on_swap(&mut self, call: OnSwap) {
        self.on_swap = Some(call);
    }

    /// Takes these signals as a wish to end.
    pub fn stop_on_signals(&mut self, signals: SignalFlags) {
        self.reactor.watch_signals(signals);
    }

    /// Runs until a signal ends it.
    pub fn run(&mut self) -> io::Result<()> {
        while self.run_once(None)? {}
        Ok(())
    }

    /// Waits for what happens, `most` at the longest, and acts on it; false: a signal asks for the end.
    pub fn run_once(&mut self, most: Option<std::time::Duration>) -> io::Result<bool> {
        self.reactor.poll(most)?;
        while let Some(happened) = self.reactor.next_event() {
            match happened {
                ReactorEvent::Accepted { conn, .. } => {
                    let reader = RequestReader::new(HttpLimits::default());
                    self.proxies.insert(conn, ProxyPeer { reader });
                }
                ReactorEvent::Connected { conn } => match self.uses.get(&conn).copied() {
                    Some(Use::Stream(place)) => self.stream_connected(place, conn),
                    Some(Use::Reports(_)) | None => {}
                },
                ReactorEvent::Received { conn } => match self.uses.get(&conn).copied() {
                    Some(Use::Stream(place)) => self.read_stream(place, conn),
                    Some(Use::Reports(place)) => self.read_report_answer(place, conn),
                    None => self.read_proxy(conn),
                },
                ReactorEvent::Flushed { .. } | ReactorEvent::Ready(_) => {}
                ReactorEvent::Closed { conn, cause } => match self.uses.get(&conn).copied() {
                    Some(Use::Stream(place)) => self.lost(place, &format!("{cause:?}")),
                    Some(Use::Reports(place)) => {
                        self.uses.remove(&conn);
                        self.followers[place].reports = None;
                        // The report under way is sent again, as it was, by the next connection.
                        self.followers[place].reports_since = None;
                    }
                    None => {
                        self.proxies.remove(&conn);
                    }
                },
                ReactorEvent::Timer(due) => self.due(due),
                ReactorEvent::Signal(signal) => {
                    info!(signal, "ending; the files stand");
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    fn due(&mut self, due: Due) {
        let now = self.reactor.now();
        match due {
            Due::Dial(place) => {
                if self.followers[place].dial.handle(now, DialEvent::BackoffElapsed) == DialAction::Dial {
                    self.dial(place, now);
                }
            }
            Due::DialOver(place, conn) => {
                let follower = &self.followers[place];
                if follower.stream == Some(conn) && follower.dial.state() == DialState::Connecting {
                    self.lost(place, "no connection in time");
                }
            }
            Due::Report(place) => self.report(place, now),
            Due::Warm(place, count) => {
                let follower = &mut self.followers[place];
                if follower.warming == Some(count) {
                    follower.warming = None;
                    if let Some(status) = follower.holding.cancel_warming() {
                        self.ask(place, Kind::Clusters, Some(status));
                    }
                }
            }
        }
    }

    fn dial(&mut self, place: usize, now: Nanos) {
        let coordinator = self.settings.coordinators[self.followers[place].dial.coordinator()].address();
        match self.reactor.connect(coordinator) {
            Ok(conn) => {
                self.followers[place].stream = Some(conn);
                self.uses.insert(conn, Use::Stream(place));
                self.reactor.set_timer(now + CONNECT_WITHIN, Due::DialOver(place, conn));
            }
            Err(cause) => self.lost(place, &cause.to_string()),
        }
    }

    /// The stream is gone; the files stand, and another one is dialled.
    fn lost(&mut self, place: usize, cause: &str) {
        self.end_stream(place);
        let now = self.reactor.now();
        let follower = &mut self.followers[place];
        let followed = follower.dial.state() == DialState::Following;
        let before = follower.dial.coordinator();
        follower.dial.handle(now, DialEvent::Lost);
        if follower.dial.coordinator() != before {
            follower.sums.discard_in_flight();
        }
        if followed {
            warn!(proxy = %follower.node.id, cause, "lost the coordinator; the files stand");
        } else {
            debug!(proxy = %follower.node.id, cause, "no coordinator");
        }
        if let Some(at) = follower.dial.next_dial_at() {
            self.reactor.set_timer(at, Due::Dial(place));
        }
    }

    fn end_stream(&mut self, place: usize) {
        let follower = &mut self.followers[place];
        for conn in [follower.stream.take(), follower.reports.take()].into_iter().flatten() {
            self.uses.remove(&conn);
            self.reactor.close(conn);
        }
        follower.asked.clear();
        follower.nonces.clear();
        follower.warming = None;
        follower.holding.cancel_warming();
        follower.reports_since = None;
    }

    /// Another coordinator is in charge, and named as the host of a location.
    fn sent_on(&mut self, place: usize, answer: &Response<Bytes>) {
        let location = answer.headers().get(header::LOCATION).and_then(|value| value.to_str().ok());
        let host = location
            .and_then(|text| text.parse::<http::Uri>().ok())
            .and_then(|uri| uri.host().map(str::to_owned));
        let named = |name: &String| self.settings.coordinators.iter().position(|c| c.name() == Some(name));
        match host.as_ref().and_then(named) {
            Some(coordinator) => {
                debug!(proxy = %self.followers[place].node.id, coordinator = host, "sent on to the one in charge");
                self.end_stream(place);
                let now = self.reactor.now();
                let follower = &mut self.followers[place];
                follower.sums.discard_in_flight();
                follower.dial.redirect_to(now, coordinator);
                if let Some(at) = follower.dial.next_dial_at() {
                    self.reactor.set_timer(at, Due::Dial(place));
                }
            }
            None => self.lost(place, "sent on to a coordinator that the settings do not name"),
        }
    }

    fn stream_connected(&mut self, place: usize, conn: ConnId) {
        let now = self.reactor.now();
        let follower = &mut self.followers[place];
        if follower.dial.handle(now, DialEvent::Connected) != DialAction::Subscribe
            || follower.stream != Some(conn)
        {
            return;
        }
        follower.stream_reader = ResponseReader::new(limits());
        Kind::ALL.into_iter().for_each(|kind| self.ask(place, kind, None));
        // The first report shows the coordinator that the stream stands, and us how often it wants them.
        self.reactor.set_timer(now, Due::Report(place));
    }

    fn node(&self, place: usize) -> Node {
        let node = &self.followers[place].node;
        Node {
            id: node.id.clone(),
            cluster: "craneknot".to_owned(),
            locality: Locality::zone(&node.zone),
            metadata: BTreeMap::from([
                ("usual_rate".to_owned(), node.usual_rate.into()),
                // What it follows now: one that takes over need not move it.
                ("bound".to_owned(), serde_json::json!(self.followers[place].holding.bound_tables())),
                ("prints".to_owned(), serde_json::json!(self.followers[place].holding.fingerprints())),
            ]),
        }
    }

    /// Asks for the next of a kind; by the way, accepts or refuses the last.
    fn ask(&mut self, place: usize, kind: Kind, refused: Option<Status>) {
        let node = (!self.followers[place].nonces.contains_key(&kind)).then(|| self.node(place));
        let follower = &mut self.followers[place];
        let Some(conn) = follower.stream else { return };
        let asked = DiscoveryRequest {
            version_info: follower.holding.version(kind).text(),
            node,
            resource_names: Vec::new(),
            type_url: kind.type_url().to_owned(),
            response_nonce: follower.nonces.get(&kind).cloned().unwrap_or_default(),
            error_detail: refused,
        };
        follower.asked.push_back(kind);
        let body = serde_json::to_vec(&asked).unwrap_or_default();
        let sent =
            self.reactor.send(conn, [request(&Method::POST, kind.path(), "coordinator", &[JSON], &body)]);
        if sent.is_err() {
            self.lost(place, "the request could not be sent");
        }
    }

    fn read_stream(&mut self, place: usize, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(input) = self.reactor.input(conn) else { return };
            match self.followers[place].stream_reader.next(input, false, now) {
                Ok(Some(answer)) => self.take(place, &answer),
                Ok(None) => break,
                Err(wrong) => return self.lost(place, &wrong.to_string()),
            }
            if self.followers[place].stream != Some(conn) {
                return;
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn take(&mut self, place: usize, answer: &Response<Bytes>) {
        let now = self.reactor.now();
        let Some(kind) = self.followers[place].asked.pop_front() else {
            return self.lost(place, "an answer to nothing that was asked");
        };
        match answer.status() {
            StatusCode::OK => {
                self.followers[place].dial.handle(now, DialEvent::Responded);
            }
            StatusCode::NOT_MODIFIED => {
                self.followers[place].dial.handle(now, DialEvent::Responded);
                return self.ask(place, kind, None);
            }
            StatusCode::TEMPORARY_REDIRECT => return self.sent_on(place, answer),
            // One that turns us down is as good as lost: the next one is dialled, later each time.
            status => {
                let cause = String::from_utf8_lossy(answer.body()).chars().take(200).collect::<String>();
                return self.lost(place, &format!("{status}: {cause}"));
            }
        }
        let response: DiscoveryResponse = match serde_json::from_slice(answer.body()) {
            Ok(response) => response,
            // Without a nonce nothing can be refused: the peer does not speak the protocol.
            Err(cause) => return self.lost(place, &format!("not a discovery response: {cause}")),
        };
        let follower = &mut self.followers[place];
        follower.nonces.insert(kind, response.nonce.clone());
        match follower.holding.evaluate(kind, &response) {
            Ok(Verdict::Swap(staged)) => self.swap(place, staged),
            Ok(Verdict::Warming { missing }) => {
                debug!(proxy = %follower.node.id, missing, "bindings wait for their tables");
                follower.warm_count += 1;
                follower.warming = Some(follower.warm_count);
                let due = Due::Warm(place, follower.warm_count);
                self.reactor.set_timer(now + WARM_WITHIN, due);
            }
            Err(status) => {
                warn!(proxy = %follower.node.id, ?kind, cause = status.message, "refused; the old one stands");
                self.ask(place, kind, Some(status));
            }
        }
    }

    /// Puts a file in its place, and acknowledges it; then what waited for it.
    fn swap(&mut self, place: usize, staged: Staged) {
        let mut next = Some(staged);
        while let Some(staged) = next.take() {
            let follower = &mut self.followers[place];
            let kind = staged.kind;
            let path = follower.folder.join(kind.file());
            match replace(self.disk.as_ref(), &path, staged.text.as_bytes()) {
                Ok(()) => {
                    let version = staged.version.text();
                    debug!(proxy = %follower.node.id, ?kind, version, "swapped");
                    if let Some(call) = &mut self.on_swap {
                        call(&follower.node.id, kind, &version);
                    }
                    if kind == Kind::Clusters {
                        follower.warming = None;
                    }
                    next = follower.holding.commit(staged);
                    self.ask(place, kind, None);
                }
                Err(cause) => {
                    warn!(proxy = %follower.node.id, ?kind, %cause, "the file cannot be written; the old one stands");
                    self.ask(place, kind, Some(Status::exhausted(format!("{}: {cause}", path.display()))));
                }
            }
        }
    }

    /// Sends what waits, or what was not answered; a coordinator that leaves a report unanswered is gone.
    fn report(&mut self, place: usize, now: Nanos) {
        let follower = &mut self.followers[place];
        if !matches!(follower.dial.state(), DialState::Connected | DialState::Following) {
            return;
        }
        if let Some(since) = follower.reports_since {
            if now - since >= self.settings.silent_after.0 {
                return self.lost(place, "the coordinator is silent");
            }
            self.reactor.set_timer(now + self.period, Due::Report(place));
            return;
        }
        let coordinator = self.settings.coordinators[follower.dial.coordinator()].address();
        let conn = match follower.reports {
            Some(conn) => conn,
            None => match self.reactor.connect(coordinator) {
                Ok(conn) => {
                    follower.reports_reader = ResponseReader::new(HttpLimits::default());
                    follower.reports = Some(conn);
                    self.uses.insert(conn, Use::Reports(place));
                    conn
                }
                Err(cause) => return self.lost(place, &cause.to_string()),
            },
        };
        let (closed, cluster_stats) = follower.sums.close(now);
        follower.reports_since = Some(now);
        let id = self.followers[place].node.id.clone();
        let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed.into())]);
        let node = Node { id, metadata, ..Node::default() };
        let body =
            serde_json::to_vec(&LoadStatsRequest { node: Some(node), cluster_stats }).unwrap_or_default();
        let sent =
            self.reactor.send(conn, [request(&Method::POST, load::PATH, "coordinator", &[JSON], &body)]);
        if sent.is_err() {
            return self.lost(place, "the report could not be sent");
        }
        self.reactor.set_timer(now + self.period, Due::Report(place));
    }

    fn read_report_answer(&mut self, place: usize, conn: ConnId) {
        let now = self.reactor.now();
        let Some(input) = self.reactor.input(conn) else { return };
        match self.followers[place].reports_reader.next(input, false, now) {
            Ok(None) => {}
            Ok(Some(answer)) => {
                let follower = &mut self.followers[place];
                follower.reports_since = None;
                follower.sums.acknowledge();
                follower.dial.handle(now, DialEvent::Responded);
                if let Ok(wanted) = serde_json::from_slice::<LoadStatsResponse>(answer.body()) {
                    let period = Nanos::from_secs(wanted.load_reporting_interval.0);
                    self.period = period.clamp(PERIODS.0, PERIODS.1);
                }
            }
            Err(wrong) => self.lost(place, &wrong.to_string()),
        }
        self.reactor.input_consumed(conn);
    }

    fn read_proxy(&mut self, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(peer) = self.proxies.get_mut(&conn) else { return };
            let Some(input) = self.reactor.input(conn) else { return };
            let (status, body) = match peer.reader.next(input, now) {
                Ok(Some(message)) if message.uri().path() == load::PATH => self.take_report(message.body()),
                Ok(Some(_)) => (StatusCode::NOT_FOUND, Vec::new()),
                Ok(None) => break,
                Err(wrong) => {
                    let answer = response(wrong.status(), &[], wrong.to_string().as_bytes());
                    let _ = self.reactor.send(conn, [answer]);
                    self.proxies.remove(&conn);
                    self.reactor.close_gracefully(conn);
                    return;
                }
            };
            if self.reactor.send(conn, [response(status, &[JSON], &body)]).is_err() {
                self.proxies.remove(&conn);
                self.reactor.close(conn);
                return;
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn take_report(&mut self, body: &[u8]) -> (StatusCode, Vec<u8>) {
        let report: LoadStatsRequest = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(cause) => return (StatusCode::BAD_REQUEST, cause.to_string().into_bytes()),
        };
        let name = report.node.as_ref().map_or("", |node| node.id.as_str());
        let Some(place) = self.by_name.get(name) else {
            return (StatusCode::BAD_REQUEST, format!("{name:?} is no proxy of this agent").into_bytes());
        };
        self.followers[*place].sums.add(&report);
        let wanted = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Seconds(self.period.secs()),
            report_endpoint_granularity: true,
        };
        (StatusCode::OK, serde_json::to_vec(&wanted).unwrap_or_default())
    }
}
