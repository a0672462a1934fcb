//! Runs the coordinator's engine on sockets and files.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use craneknot::interface::{Nanos, ProbeOutcome, ServerId};
use craneknot_fleet::raft::PersistentState;
use craneknot_fleet::wire;
use craneknot_http::{
    request, response, response_chunks, Limits as HttpLimits, RequestReader, ResponseReader,
};
use craneknot_reactor::{
    read_regular_file, Clock, ConnId, Counter, FolderWatch, Limits, ListenerId, Reactor, ReactorEvent,
    SignalFlags, Unfinished,
};
use craneknot_settings::json_size::has_too_many_values;
use craneknot_settings::{parse, CoordinatorSettings, SharedSettings};
use craneknot_store::{replace, RealDisk, Store, StoreError};
use craneknot_xds::discovery::{DiscoveryRequest, Kind};
use craneknot_xds::load::{self, LoadStatsRequest, LoadStatsResponse, Seconds};
use craneknot_xds::orca;
use http::{header, HeaderName, Method, Request, StatusCode};
use tracing::{debug, error, info, warn};

use crate::engine::{self, Engine, Output, RequestError, StreamId};
use crate::ledger::LedgerFile;
use crate::probes::{self, Probes};
use crate::report_aggregator::ReportError;
use crate::roster::RosterError;
use crate::roster_source::{FileRoster, RosterSource};
use crate::session::{Outcome, Response};

const JSON: (HeaderName, &str) = (header::CONTENT_TYPE, "application/json");
const FLEET_STATE_RECORD: &str = "fleet/saved"; // the store's record of the term, vote and history
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500); // for writing the last responses at shutdown
const ROSTER_RECORD: &str = "roster"; // the store's record of the last server list
const FOLLOWED_PREFIX: &str = "proxy/"; // the store's records of the version each proxy last followed
const MAX_FOLLOWED_RECORDS: usize = 65_536; // one for each possible proxy id
const DATAGRAM_TOKEN: usize = 2; // the reactor's token for the datagram socket
const MAX_DATAGRAMS_PER_TURN: usize = 256;
const ROSTER_TOKEN: usize = 1; // the reactor's token for the folder of the server list
const SIGHUP: i32 = 1;
const MAX_SETTINGS_BYTES: u64 = 8 * 1024 * 1024; // the limit for reloaded settings, as at the start
const MAX_PIPELINED_REQUESTS: usize = 16; // ahead of their responses: twice three kinds, and some room

/// Why the program ends.
#[derive(Debug)]
pub enum ExitReason {
    /// By a signal, after the streams were closed.
    Signalled,
    Failed(io::Error),
}

impl From<io::Error> for ExitReason {
    fn from(cause: io::Error) -> Self {
        ExitReason::Failed(cause)
    }
}

enum Timer {
    Turn,
    /// Write the ledger.
    WriteLedger,
    Sweep,
}

/// An accepted connection.
struct Peer {
    reader: RequestReader,
    stream: StreamId,
    joined: bool,
    from: SocketAddr,
    /// When it connected, until its first request is complete.
    silent_since: Option<Nanos>,
    /// Requests without a response so far, in order.
    requests: VecDeque<Kind>,
}

/// The running coordinator.
pub struct Shell {
    settings: CoordinatorSettings,
    folder: PathBuf,
    reactor: Reactor<Timer>,
    engine: Engine,
    listener: ListenerId,
    peers: BTreeMap<ConnId, Peer>,
    conns: BTreeMap<StreamId, ConnId>,
    probes: Probes<ConnId>,
    probe_readers: BTreeMap<ConnId, ResponseReader>,
    watch: FolderWatch,
    source: Box<dyn RosterSource>,
    next_stream: u64,
    turn_at: Option<Nanos>,
    read_roster: bool,
    shared: Option<FleetIo>,
    ledger: Option<LedgerFile>,
    /// The settings file, read again on SIGHUP.
    file: Option<PathBuf>,
    log_lines_dropped: Counter,
}

/// What a shared fleet needs: the store, and a socket for datagrams.
struct FleetIo {
    store: Store,
    socket: UdpSocket,
    members: BTreeMap<String, SocketAddr>,
}

const DISK: RealDisk = RealDisk { sync: true };

impl FleetIo {
    fn open(settings: &SharedSettings, folder: &Path) -> io::Result<Self> {
        let store = Store::open(&folder.join(&settings.store)).map_err(io::Error::other)?;
        let socket = UdpSocket::bind(settings.datagrams)?;
        socket.set_nonblocking(true)?;
        let members = settings.members.iter().map(|member| (member.name.clone(), member.datagrams)).collect();
        Ok(FleetIo { store, socket, members })
    }

    fn saved(&self) -> io::Result<PersistentState> {
        match self.store.get(FLEET_STATE_RECORD) {
            Some(text) => serde_json::from_slice(text).map_err(io::Error::other),
            None => Ok(PersistentState::default()),
        }
    }

    fn save(&mut self, saved: &PersistentState) -> Result<(), StoreError> {
        let text = serde_json::to_vec(saved).unwrap_or_default();
        self.store.put(&[(FLEET_STATE_RECORD, Some(&text))])
    }

    fn save_followed(&mut self, followed: &[(String, String)]) -> Result<(), StoreError> {
        let record_count = self.store.with_prefix(FOLLOWED_PREFIX).count();
        let free_records = MAX_FOLLOWED_RECORDS.saturating_sub(record_count);
        let named: Vec<(String, &str)> = followed
            .iter()
            .map(|(name, version)| (format!("{FOLLOWED_PREFIX}{name}"), version.as_str()))
            .collect();
        let retained = named
            .iter()
            .filter(|(name, _)| self.store.get(name).is_some())
            .chain(named.iter().filter(|(name, _)| self.store.get(name).is_none()).take(free_records));
        let changes: Vec<(&str, Option<&[u8]>)> =
            retained.map(|(name, version)| (name.as_str(), Some(version.as_bytes()))).collect();
        self.store.put(&changes)
    }

    fn send(&self, to: &str, text: &[u8]) {
        if let Some(address) = self.members.get(to) {
            // A datagram that cannot be sent counts as lost, which the protocol tolerates.
            let _ = self.socket.send_to(text, address);
        }
    }
}

impl Shell {
    /// Starts listening and loads the server list saved by an earlier process. Relative paths are relative to
    /// `folder`.
    pub fn new(settings: CoordinatorSettings, folder: &Path, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let limits = Limits {
            input: settings.streams.request_bytes.max(64 * 1024),
            connections: settings.streams.connections,
            buffered: settings.streams.buffered_bytes,
            ..Limits::default()
        };
        let mut reactor = Reactor::new(clock, limits)?;
        let now = reactor.now();
        let seed = settings.seed.unwrap_or(now.0);
        let mut engine = Engine::new(&settings, seed, now);
        let roster = folder.join(&settings.roster.file);
        let mut watch = FolderWatch::new()?;
        watch.add(roster.parent().unwrap_or(folder))?;
        reactor.watch(&watch, ROSTER_TOKEN)?;
        if let Some(path) = &settings.roster.remembered {
            match fs::read(folder.join(path)) {
                Ok(text) => match engine.load_saved_roster(now, &text) {
                    Ok(()) => info!(file = %path.display(), "loaded the saved server list"),
                    Err(error) => {
                        warn!(file = %path.display(), cause = %error, "the saved server list is invalid")
                    }
                },
                Err(cause) => debug!(file = %path.display(), %cause, "there is no saved server list"),
            }
        }
        let shared = settings.shared.as_ref().map(|shared| FleetIo::open(shared, folder)).transpose()?;
        let mut datagrams = None;
        if let Some(shared) = &shared {
            let saved = shared.saved()?;
            engine.join_fleet(&settings, saved, seed, now);
            for (_, version) in shared.store.with_prefix(FOLLOWED_PREFIX) {
                engine.note_followed_version(&String::from_utf8_lossy(version));
            }
            if let Some(Err(error)) =
                shared.store.get(ROSTER_RECORD).map(|list| engine.load_saved_roster(now, list))
            {
                warn!(cause = %error, "the server list in the store is invalid");
            }
            reactor.watch(&shared.socket, DATAGRAM_TOKEN)?;
            datagrams = Some(shared.socket.local_addr()?.to_string());
        }
        let (listener, address) = reactor.listen(settings.listen)?;
        if let Some(path) = &settings.ready_file {
            let (address, pid) = (address.to_string(), std::process::id());
            let text = serde_json::json!({"address": address, "datagrams": datagrams, "pid": pid});
            replace(&DISK, &folder.join(path), text.to_string().as_bytes())?;
        }
        info!(coordinator = %settings.name, %address, "listening");
        reactor.set_timer(now, Timer::Sweep);
        let ledger = settings.ledger.as_ref();
        let ledger = ledger.map(|ledger| LedgerFile::new(folder.join(&ledger.file), ledger));
        if ledger.is_some() {
            reactor.set_timer(now, Timer::WriteLedger);
        }
        Ok(Shell {
            ledger,
            probes: Probes::new(settings.probes.time_out.0),
            folder: folder.to_owned(),
            settings,
            reactor,
            engine,
            listener,
            peers: BTreeMap::new(),
            conns: BTreeMap::new(),
            probe_readers: BTreeMap::new(),
            watch,
            source: Box::new(FileRoster::new(roster)),
            next_stream: 0,
            turn_at: None,
            read_roster: true,
            shared,
            file: None,
            log_lines_dropped: Counter::default(),
        })
    }

    /// Shuts down on these signals.
    pub fn end_on(&mut self, signals: SignalFlags) {
        self.reactor.watch_signals(signals);
    }

    /// Sets the counter of dropped log lines that the status shows.
    pub fn set_dropped_line_counter(&mut self, dropped: Counter) {
        self.log_lines_dropped = dropped;
    }

    /// Reads this settings file again on SIGHUP. The members of a shared fleet change at once, all other
    /// settings at the next start.
    pub fn reload_from(&mut self, file: &Path) {
        self.file = Some(file.to_owned());
    }

    fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        let text = match read_regular_file(file, MAX_SETTINGS_BYTES) {
            Ok(text) => text,
            Err(cause) => return error!(%cause, "cannot read the settings; keeping the current ones"),
        };
        let fresh: CoordinatorSettings = match parse(file, &text) {
            Ok(fresh) => fresh,
            Err(problems) => {
                return error!(%problems, "the settings are not in order; keeping the current ones")
            }
        };
        let now = self.reactor.now();
        if let (Some(shared), Some(fresh_shared)) = (&mut self.shared, &fresh.shared) {
            let named = fresh_shared.members.iter().map(|member| (member.name.clone(), member.datagrams));
            shared.members = named.collect();
            self.engine.set_members(now, fresh_shared.members.iter().map(|member| member.name.clone()));
            info!(members = shared.members.len(), "applied the members in the settings");
        }
        let without_members = |settings: &CoordinatorSettings| {
            let mut rest = settings.clone();
            rest.fleet.coordinators = 0;
            rest.listen = self.settings.listen;
            if let Some(shared) = &mut rest.shared {
                shared.members.clear();
            }
            rest
        };
        if without_members(&fresh) != without_members(&self.settings) {
            warn!("other settings have changed too and apply at the next start");
        }
        self.settings.shared = fresh.shared.or(self.settings.shared.take());
    }

    /// Runs until a signal or an error ends it.
    pub fn run(&mut self) -> ExitReason {
        loop {
            match self.run_once() {
                Ok(true) => {}
                Ok(false) => {
                    self.write_ledger();
                    self.reactor.close_listener(self.listener);
                    self.peers.keys().for_each(|conn| self.reactor.close_gracefully(*conn));
                    if let Err(cause) = self.reactor.flush(FLUSH_TIMEOUT) {
                        warn!(%cause, "cannot write the last responses");
                    }
                    return ExitReason::Signalled;
                }
                Err(cause) => return ExitReason::Failed(cause),
            }
        }
    }

    /// Waits for events and handles them. Returns false if a signal requests a shutdown.
    pub fn run_once(&mut self) -> io::Result<bool> {
        self.turn();
        self.reactor.poll(None)?;
        while let Some(event) = self.reactor.next_event() {
            match event {
                ReactorEvent::Accepted { conn, from, .. } => {
                    self.next_stream += 1;
                    let limits =
                        HttpLimits { body: self.settings.streams.request_bytes, ..HttpLimits::default() };
                    let reader = RequestReader::new(limits);
                    let (stream, requests) = (StreamId(self.next_stream), VecDeque::new());
                    let silent_since = Some(self.reactor.now());
                    let peer = Peer { reader, stream, joined: false, from, silent_since, requests };
                    self.peers.insert(conn, peer);
                }
                ReactorEvent::Connected { conn } => self.send_probe(conn),
                ReactorEvent::Received { conn } if self.probes.contains(conn) => self.read_probe(conn, false),
                ReactorEvent::Received { conn } => self.read(conn),
                ReactorEvent::Flushed { .. } => {}
                ReactorEvent::Closed { conn, cause } => {
                    if self.probes.contains(conn) {
                        self.end_probe(conn, ProbeOutcome::Failed, None);
                    } else {
                        self.drop_peer(conn, &format!("{cause:?}"));
                    }
                }
                ReactorEvent::Timer(Timer::Turn) => self.turn_at = None,
                ReactorEvent::Timer(Timer::Sweep) => self.sweep(),
                ReactorEvent::Timer(Timer::WriteLedger) => self.write_ledger_and_reschedule(),
                ReactorEvent::Ready(DATAGRAM_TOKEN) => self.read_datagrams(),
                ReactorEvent::Ready(_) => {
                    self.watch.changes()?;
                    self.read_roster = true;
                }
                ReactorEvent::Signal(SIGHUP) => {
                    self.read_roster = true;
                    self.reload();
                }
                ReactorEvent::Signal(signal) => {
                    info!(signal, "shutting down");
                    return Ok(false);
                }
            }
        }
        self.close_over_budget();
        Ok(true)
    }

    /// Closes connections while all of them together leave too much unfinished or unread.
    fn close_over_budget(&mut self) {
        for conn in self.reactor.over_budget() {
            if self.reactor.unsent_bytes(conn) > 0 {
                self.drop_peer(conn, "the peer does not read, and unread answers take too much memory");
                self.reactor.close(conn);
            } else {
                let cause = "unfinished requests take too much memory";
                self.reject(conn, StatusCode::SERVICE_UNAVAILABLE, cause);
            }
        }
    }

    /// Runs a turn of the engine and carries out its outputs.
    fn turn(&mut self) {
        let now = self.reactor.now();
        if std::mem::take(&mut self.read_roster) || self.engine.roster_due(now) {
            self.load_roster(now);
        }
        let mut unsaved = false;
        for output in self.engine.turn(now) {
            match output {
                Output::Respond { stream, response, version } => {
                    self.send_response(stream, response, &version)
                }
                Output::CloseStream { stream, cause } => {
                    if let Some(conn) = self.conns.remove(&stream) {
                        warn!(stream = stream.0, %cause, "closing a stream");
                        self.peers.remove(&conn);
                        self.reactor.close(conn);
                    }
                }
                Output::Probe { server } => self.begin_probe(now, server),
                Output::ReadRoster => self.read_roster = true,
                Output::Redirect { stream, to } => self.redirect_stream(stream, &to),
                Output::SaveFleetState(saved) => {
                    let Some(shared) = &mut self.shared else { continue };
                    if let Err(cause) = shared.save(&saved) {
                        // Datagrams that depend on the unsaved state must not be sent; to the other members
                        // this one is silent.
                        error!(%cause, "cannot save the fleet state; not sending the datagrams of this turn");
                        unsaved = true;
                    }
                }
                Output::SaveFollowed(followed) => {
                    if let Some(Err(cause)) =
                        self.shared.as_mut().map(|shared| shared.save_followed(&followed))
                    {
                        warn!(%cause, "cannot save the versions that proxies follow");
                    }
                }
                Output::Datagram { to, text } => {
                    if let Some(shared) = self.shared.as_ref().filter(|_| !unsaved) {
                        shared.send(&to, &text);
                    }
                }
            }
        }
        for change in self.engine.weight_changes() {
            info!(
                server = change.server,
                from = change.from,
                to = change.to,
                cause = ?change.cause,
                capacity = change.capacity,
                deviation = change.deviation,
                loss = change.loss,
                tilt = change.tilt,
                "a weight changed"
            );
        }
        let at = if self.read_roster { now } else { self.engine.next_at() };
        if self.turn_at.is_none_or(|set| at < set) {
            self.turn_at = Some(at);
            self.reactor.set_timer(at, Timer::Turn);
        }
    }

    fn write_ledger_and_reschedule(&mut self) {
        self.write_ledger();
        if let Some(settings) = &self.settings.ledger {
            let at = self.reactor.now() + settings.every.0;
            self.reactor.set_timer(at, Timer::WriteLedger);
        }
    }

    fn write_ledger(&mut self) {
        let now = self.reactor.now();
        if let (Some(file), Some(ledger)) = (&mut self.ledger, self.engine.ledger()) {
            if let Err(cause) = file.write(ledger, now) {
                warn!(%cause, "cannot write the ledger; keeping its lines in memory");
            }
        }
    }

    fn load_roster(&mut self, now: Nanos) {
        let text = match self.source.read() {
            Ok(text) => text,
            Err(cause) => {
                warn!(source = self.source.name(), %cause, "cannot read the server list");
                self.engine.roster_read_failed(now);
                return;
            }
        };
        match self.engine.update_roster(now, &text) {
            Ok((0, _)) => {}
            Ok((changed, notes)) => {
                info!(changed, "applied a server list");
                notes.iter().for_each(|note| warn!(note, "corrected the server list"));
                if let Some(shared) = &mut self.shared {
                    if let Err(cause) = shared.store.put(&[(ROSTER_RECORD, Some(&text))]) {
                        warn!(%cause, "cannot save the server list to the store");
                    }
                }
                if let Some(path) = &self.settings.roster.remembered {
                    if let Err(cause) = replace(&DISK, &self.folder.join(path), &text) {
                        warn!(file = %path.display(), %cause, "cannot save the server list for the next start");
                    }
                }
            }
            Err(RosterError::Shrunk { until, .. }) if now < until => {
                warn!("the server list is suddenly short; waiting for confirmation")
            }
            Err(error) => warn!(cause = %error, "rejected the server list; keeping the current one"),
        }
    }

    fn send_response(&mut self, stream: StreamId, answer: Response, version: &str) {
        let Some(conn) = self.conns.get(&stream).copied() else { return };
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let chunks = match answer {
            Response::Resources { kind, nonce, resources } => {
                peer.requests.pop_front();
                debug!(
                    proxy = self.engine.proxy_name(stream),
                    kind = ?kind,
                    resources = resources.len(),
                    version,
                    nonce,
                    "sent"
                );
                response_chunks(
                    StatusCode::OK,
                    &[JSON],
                    engine::response_body(kind, version, nonce, resources),
                )
            }
            Response::Unchanged { .. } => {
                peer.requests.pop_front();
                vec![response(StatusCode::NOT_MODIFIED, &[], b"")]
            }
        };
        if self.reactor.send(conn, chunks).is_err() {
            self.drop_peer(conn, "the output buffer is full");
            self.reactor.close(conn);
        }
    }

    /// Forgets a connection and ends its stream.
    fn drop_peer(&mut self, conn: ConnId, cause: &str) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        if peer.joined {
            info!(proxy = self.engine.proxy_name(peer.stream), cause, "a stream ended");
            self.conns.remove(&peer.stream);
            self.engine.end_stream(self.reactor.now(), peer.stream);
        }
    }

    /// Answers with an error and closes the connection.
    fn reject(&mut self, conn: ConnId, status: StatusCode, cause: &str) {
        if let Some(peer) = self.peers.get(&conn) {
            warn!(from = %peer.from, %status, cause, "rejected a request");
        }
        let headers = [(header::CONTENT_TYPE, "text/plain"), (header::CONNECTION, "close")];
        let _ = self.reactor.send(conn, [response(status, &headers, cause.as_bytes())]);
        self.drop_peer(conn, cause);
        self.reactor.close_gracefully(conn);
    }

    fn read(&mut self, conn: ConnId) {
        if self.reactor.is_reset(conn) {
            self.drop_peer(conn, "the peer has reset the connection");
            return self.reactor.close(conn);
        }
        let mut served = 0;
        while self.reactor.may_serve(conn, served) {
            let now = self.reactor.now();
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            let Some(input) = self.reactor.input(conn) else { return };
            match peer.reader.next(input, now) {
                Ok(Some(message)) => {
                    peer.silent_since = None;
                    self.serve(conn, now, &message);
                    served += 1;
                }
                Ok(None) => break,
                Err(error) => return self.reject(conn, error.status(), &error.to_string()),
            }
        }
        if let Some(peer) = self.peers.get(&conn) {
            let held_bytes = peer.reader.held_bytes();
            let unfinished = peer.reader.partial_since().map(|since| Unfinished { since, held_bytes });
            self.reactor.set_unfinished(conn, unfinished);
        }
        self.reactor.input_consumed(conn);
    }

    fn serve(&mut self, conn: ConnId, now: Nanos, message: &Request<Bytes>) {
        if has_too_many_values(message.body()) {
            return self.reject(conn, StatusCode::PAYLOAD_TOO_LARGE, "the request has too many values");
        }
        let (method, path) = (message.method(), message.uri().path());
        if let Some(kind) = Kind::from_path(path).filter(|_| method == Method::POST) {
            self.discovery(conn, now, kind, message.body());
        } else if path == load::PATH && method == Method::POST {
            self.load_report(conn, now, message.body());
        } else if path == "/status" && method == Method::GET {
            let mut status = serde_json::to_value(self.engine.status(now)).unwrap_or_default();
            status["log_lines_dropped"] = self.log_lines_dropped.get().into();
            if let Some(shared) = &self.shared {
                let health = shared.store.stats();
                status["store"] = serde_json::json!({
                    "records": health.records, "bytes": health.bytes, "writes": health.writes, "failed": health.failed
                });
            }
            if message.uri().query() == Some("weights") {
                status["weights"] = serde_json::to_value(self.engine.explain(now)).unwrap_or_default();
            }
            let body = serde_json::to_vec(&status).unwrap_or_default();
            if message.uri().query() == Some("spans=anew") {
                self.engine.reset_spans();
            }
            self.reply(conn, StatusCode::OK, &body);
        } else if path == "/healthz" && method == Method::GET {
            self.reply(conn, StatusCode::OK, b"{\"ok\":true}");
        } else {
            self.reply(conn, StatusCode::NOT_FOUND, b"{\"error\":\"no such resource\"}");
        }
        if !RequestReader::is_persistent(message) && !self.peers.get(&conn).is_some_and(|peer| peer.joined) {
            self.peers.remove(&conn);
            self.reactor.close_gracefully(conn);
        }
    }

    fn reply(&mut self, conn: ConnId, status: StatusCode, body: &[u8]) {
        // Responses go out in the order of requests: this one would be taken for that of an open discovery
        // request.
        if self.peers.get(&conn).is_some_and(|peer| !peer.requests.is_empty()) {
            return self.reject(
                conn,
                StatusCode::BAD_REQUEST,
                "a stream's connection is for discovery alone",
            );
        }
        if self.reactor.send(conn, [response(status, &[JSON], body)]).is_err() {
            self.drop_peer(conn, "the output buffer is full");
            self.reactor.close(conn);
        }
    }

    fn discovery(&mut self, conn: ConnId, now: Nanos, kind: Kind, body: &[u8]) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let request: DiscoveryRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(cause) => return self.reject(conn, StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        if peer.requests.len() >= MAX_PIPELINED_REQUESTS || peer.requests.contains(&kind) {
            return self.reject(conn, StatusCode::TOO_MANY_REQUESTS, "that kind is asked for already");
        }
        let (stream, first) = (peer.stream, !peer.joined);
        peer.requests.push_back(kind);
        match self.engine.handle_request(now, stream, kind, request) {
            Ok(outcome) => {
                if first {
                    peer.joined = true;
                    self.conns.insert(stream, conn);
                    self.reactor.set_output_shared(conn);
                    info!(proxy = self.engine.proxy_name(stream), stream = stream.0, "a proxy joined");
                }
                match outcome {
                    Some(Outcome::Rejected { kind, cause, .. }) => {
                        let proxy = self.engine.proxy_name(stream);
                        warn!(
                            proxy,
                            ?kind,
                            cause,
                            "a proxy rejected a response and keeps its current resources"
                        );
                    }
                    Some(Outcome::UnknownNonce { kind }) => {
                        warn!(
                            proxy = self.engine.proxy_name(stream),
                            ?kind,
                            "an acknowledgement of a response that was never sent"
                        );
                    }
                    Some(Outcome::Applied { marks, .. }) => {
                        debug!(proxy = self.engine.proxy_name(stream), ?marks, "applied");
                    }
                    None => {}
                }
            }
            Err(RequestError::Elsewhere(to)) => self.redirect(conn, &to),
            Err(error @ RequestError::NoKnownOwner) => {
                let headers = [(header::RETRY_AFTER, "1"), (header::CONNECTION, "close")];
                let text = error.to_string();
                let _ = self
                    .reactor
                    .send(conn, [response(StatusCode::SERVICE_UNAVAILABLE, &headers, text.as_bytes())]);
                self.drop_peer(conn, &text);
                self.reactor.close_gracefully(conn);
            }
            Err(error) => self.reject(conn, StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Answers open requests with a redirect to the responsible coordinator, by its name, and closes the
    /// connection.
    fn redirect(&mut self, conn: ConnId, to: &str) {
        let location = format!("http://{to}{}", Kind::Endpoints.path());
        let headers = [(header::LOCATION, location.as_str()), (header::CONNECTION, "close")];
        let _ = self.reactor.send(conn, [response(StatusCode::TEMPORARY_REDIRECT, &headers, b"")]);
        self.drop_peer(conn, "another coordinator is responsible");
        self.reactor.close_gracefully(conn);
    }

    fn redirect_stream(&mut self, stream: StreamId, to: &str) {
        let Some(conn) = self.conns.remove(&stream) else { return };
        debug!(stream = stream.0, to, "redirecting to the responsible coordinator");
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.joined = false;
        }
        self.redirect(conn, to);
    }

    fn read_datagrams(&mut self) {
        let now = self.reactor.now();
        let Some(shared) = &self.shared else { return };
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match shared.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    if let Err(cause) = self.engine.handle_datagram(now, &buffer[..length]) {
                        warn!(%from, cause, "ignored an invalid datagram");
                    }
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => return,
                // A member that is not running causes an error on the next read.
                Err(_) => {}
            }
        }
    }

    fn load_report(&mut self, conn: ConnId, now: Nanos, body: &[u8]) {
        let report: LoadStatsRequest = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(cause) => return self.reject(conn, StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        match self.engine.handle_load_report(now, &report) {
            Ok(()) => {}
            Err(ReportError::Repeated) => debug!("ignored a repeated load report"),
            Err(error) => warn!(unheard = ?error, "a load report was not counted completely"),
        }
        let wanted = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Seconds(self.engine.report_period().secs()),
            report_endpoint_granularity: true,
        };
        self.reply(conn, StatusCode::OK, &serde_json::to_vec(&wanted).unwrap_or_default());
    }

    /// Closes connections whose peers send too slowly or do not read, and ends overdue probes.
    fn sweep(&mut self) {
        let now = self.reactor.now();
        let (within, stuck) = (self.settings.streams.request_within.0, self.settings.streams.stuck_after.0);
        // The requests of a peer that does not read its answers wait, however complete they are.
        let is_slow = |conn: &ConnId, peer: &Peer| {
            peer.reader.partial_message_age(now) > within && self.reactor.unsent_bytes(*conn) == 0
        };
        let slow = self.peers.iter().filter(|(conn, peer)| is_slow(conn, peer)).map(|(conn, _)| *conn);
        let slow: Vec<ConnId> = slow.collect();
        for conn in slow {
            self.reject(conn, StatusCode::REQUEST_TIMEOUT, "the request did not come whole in time");
        }
        let is_silent = |peer: &Peer| peer.silent_since.is_some_and(|since| now - since > within);
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer)).map(|(conn, _)| *conn);
        for conn in silent.collect::<Vec<ConnId>>() {
            self.reject(conn, StatusCode::REQUEST_TIMEOUT, "no request came in time");
        }
        let stalled: Vec<ConnId> = self
            .peers
            .keys()
            .filter(|conn| self.reactor.write_stalled_for(**conn) > stuck)
            .copied()
            .collect();
        for conn in stalled {
            self.drop_peer(conn, "the peer does not read");
            self.reactor.close(conn);
        }
        for conn in self.probes.overdue(now) {
            self.end_probe(conn, ProbeOutcome::Failed, None);
            self.reactor.close(conn);
        }
        let next = [Some(now + Nanos(within.0 / 4)), self.probes.next_at()].into_iter().flatten().min();
        self.reactor.set_timer(next.unwrap_or(now).max(now + Nanos::from_millis(20)), Timer::Sweep);
    }

    fn begin_probe(&mut self, now: Nanos, server: ServerId) {
        if self.probes.is_probed(&server) {
            return;
        }
        let conn =
            server.0.parse().map_err(io::Error::other).and_then(|at: SocketAddr| self.reactor.connect(at));
        match conn {
            Ok(conn) => {
                self.probes.start(now, conn, server);
                let limits = HttpLimits { body: 64 * 1024, ..HttpLimits::default() };
                self.probe_readers.insert(conn, ResponseReader::new(limits));
                self.reactor.set_timer(now + self.settings.probes.time_out.0, Timer::Sweep);
            }
            Err(cause) => {
                debug!(server = %server.0, %cause, "cannot send a probe");
                self.engine.handle_probe_result(server, ProbeOutcome::Failed, Nanos(0), Default::default());
            }
        }
    }

    fn send_probe(&mut self, conn: ConnId) {
        let Some(server) = self.probes.server(conn) else { return };
        let headers = [(header::CONNECTION, "close")];
        let requests = request(&Method::GET, &self.settings.probes.path, &server.0, &headers, b"");
        let _ = self.reactor.send(conn, [requests]);
    }

    fn read_probe(&mut self, conn: ConnId, ended: bool) {
        let now = self.reactor.now();
        let (Some(reader), Some(input)) = (self.probe_readers.get_mut(&conn), self.reactor.input(conn))
        else {
            return;
        };
        match reader.next(input, ended, now) {
            Ok(Some(answer)) => {
                let report = answer.headers().get(orca::HEADER).and_then(|value| value.to_str().ok());
                self.end_probe(conn, probes::outcome_of(answer.status()), report);
                self.reactor.close(conn);
            }
            Ok(None) => {}
            Err(_) => {
                self.end_probe(conn, ProbeOutcome::Failed, None);
                self.reactor.close(conn);
            }
        }
    }

    fn end_probe(&mut self, conn: ConnId, outcome: ProbeOutcome, report: Option<&str>) {
        self.probe_readers.remove(&conn);
        if let Some((server, duration)) = self.probes.finish(self.reactor.now(), conn) {
            debug!(server = %server.0, ?outcome, "probed");
            self.engine.handle_probe_result(server, outcome, duration, probes::load_report(report));
        }
    }
}
