//! The coordinator on sockets and files.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use craneknot::interface::{Nanos, ProbeOutcome, ServerId};
use craneknot_fleet::raft::Saved;
use craneknot_fleet::wire;
use craneknot_http::{
    request, response, response_chunks, Limits as HttpLimits, RequestReader, ResponseReader,
};
use craneknot_reactor::{
    read_regular_file, Clock, ConnId, Counter, FolderWatch, Limits, ListenerId, Reactor, ReactorEvent,
    SignalFlags,
};
use craneknot_settings::{parse, CoordinatorSettings, SharedSettings};
use craneknot_store::{replace, RealDisk, Store, StoreError};
use craneknot_xds::discovery::{DiscoveryRequest, Kind};
use craneknot_xds::load::{self, LoadStatsRequest, LoadStatsResponse, Seconds};
use craneknot_xds::orca;
use http::{header, HeaderName, Method, Request, StatusCode};
use tracing::{debug, error, info, warn};

use crate::desk::{self, Desk, Output, Refused, StreamId};
use crate::intake::Unheard;
use crate::ledger::LedgerFile;
use crate::probes::{self, Probes};
use crate::roster::Refusal;
use crate::session::{Answer, Outcome};
use crate::source::{FileRoster, RosterSource};

const JSON: (HeaderName, &str) = (header::CONTENT_TYPE, "application/json");
const SAVED: &str = "fleet/saved"; // the store's record of term, vote and history
const FLUSH_MOST: Duration = Duration::from_millis(500); // ms; for the last answers to be written
const LIST: &str = "roster"; // the store's record of the last list of servers
const FOLLOWED: &str = "proxy/"; // the store's records of what each proxy last followed, by its name
const FOLLOWED_MOST: usize = 65_536; // of these: as many as the decisions can tell proxies apart
const DATAGRAMS: usize = 2; // the number under which the socket for datagrams is watched
const DATAGRAMS_A_TURN: usize = 256;
const ROSTER: usize = 1; // the number under which the roster's folder is watched
const HANG_UP: i32 = 1; // SIGHUP
const SETTINGS_MOST: u64 = 8 * 1024 * 1024; // bytes of settings that are read again, as at the start
const PIPELINE: usize = 16; // requests taken ahead of their answers: three kinds, twice over, and some room

/// What ends the program.
#[derive(Debug)]
pub enum Ended {
    /// By a signal, after the streams were closed.
    Asked,
    Failed(io::Error),
}

impl From<io::Error> for Ended {
    fn from(cause: io::Error) -> Self {
        Ended::Failed(cause)
    }
}

enum Due {
    Turn,
    /// The ledger is written.
    Keep,
    Sweep,
}

/// A connection of a peer that dialled.
struct Peer {
    reader: RequestReader,
    stream: StreamId,
    joined: bool,
    from: SocketAddr,
    /// Requests whose answers are still to be written, in order.
    asked: VecDeque<Kind>,
}

pub struct Shell {
    settings: CoordinatorSettings,
    folder: PathBuf,
    reactor: Reactor<Due>,
    desk: Desk,
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
    shared: Option<SharedEnd>,
    ledger: Option<LedgerFile>,
    /// Read again when asked to.
    file: Option<PathBuf>,
    log_lines_dropped: Counter,
}

/// What a shared fleet needs: the store, and a socket for datagrams.
struct SharedEnd {
    store: Store,
    socket: UdpSocket,
    members: BTreeMap<String, SocketAddr>,
}

const DISK: RealDisk = RealDisk { sync: true };

impl SharedEnd {
    fn open(settings: &SharedSettings, folder: &Path) -> io::Result<Self> {
        let store = Store::open(&folder.join(&settings.store)).map_err(io::Error::other)?;
        let socket = UdpSocket::bind(settings.datagrams)?;
        socket.set_nonblocking(true)?;
        let members = settings.members.iter().map(|member| (member.name.clone(), member.datagrams)).collect();
        Ok(SharedEnd { store, socket, members })
    }

    fn saved(&self) -> io::Result<Saved> {
        match self.store.get(SAVED) {
            Some(text) => serde_json::from_slice(text).map_err(io::Error::other),
            None => Ok(Saved::default()),
        }
    }

    fn save(&mut self, saved: &Saved) -> Result<(), StoreError> {
        let text = serde_json::to_vec(saved).unwrap_or_default();
        self.store.put(&[(SAVED, Some(&text))])
    }

    fn keep(&mut self, followed: &[(String, String)]) -> Result<(), StoreError> {
        let known = self.store.with_prefix(FOLLOWED).count();
        let room = FOLLOWED_MOST.saturating_sub(known);
        let named: Vec<(String, &str)> =
            followed.iter().map(|(name, version)| (format!("{FOLLOWED}{name}"), version.as_str())).collect();
        let fits = named
            .iter()
            .filter(|(name, _)| self.store.get(name).is_some())
            .chain(named.iter().filter(|(name, _)| self.store.get(name).is_none()).take(room));
        let changes: Vec<(&str, Option<&[u8]>)> =
            fits.map(|(name, version)| (name.as_str(), Some(version.as_bytes()))).collect();
        self.store.put(&changes)
    }

    fn send(&self, to: &str, text: &[u8]) {
        if let Some(address) = self.members.get(to) {
            // A datagram that does not leave is as good as lost, which the protocol bears.
            let _ = self.socket.send_to(text, address);
        }
    }
}

impl Shell {
    /// Listens, and takes the list kept from an earlier start. `folder` is where relative paths begin.
    pub fn new(settings: CoordinatorSettings, folder: &Path, clock: Arc<dyn Clock>) -> io::Result<Self> {
        let limits = Limits {
            input: settings.streams.request_bytes.max(64 * 1024),
            connections: settings.streams.connections,
            ..Limits::default()
        };
        let mut reactor = Reactor::new(clock, limits)?;
        let now = reactor.now();
        let seed = settings.seed.unwrap_or(now.0);
        let mut desk = Desk::new(&settings, seed, now);
        let roster = folder.join(&settings.roster.file);
        let mut watch = FolderWatch::new()?;
        watch.add(roster.parent().unwrap_or(folder))?;
        reactor.watch(&watch, ROSTER)?;
        if let Some(path) = &settings.roster.remembered {
            match fs::read(folder.join(path)) {
                Ok(text) => match desk.remember(now, &text) {
                    Ok(()) => info!(file = %path.display(), "took the list kept from before this start"),
                    Err(refusal) => {
                        warn!(file = %path.display(), cause = %refusal, "the kept list is of no use")
                    }
                },
                Err(cause) => debug!(file = %path.display(), %cause, "no list is kept"),
            }
        }
        let shared = settings.shared.as_ref().map(|shared| SharedEnd::open(shared, folder)).transpose()?;
        let mut datagrams = None;
        if let Some(shared) = &shared {
            let saved = shared.saved()?;
            desk.share(&settings, saved, seed, now);
            for (_, version) in shared.store.with_prefix(FOLLOWED) {
                desk.note_followed(&String::from_utf8_lossy(version));
            }
            if let Some(Err(refusal)) = shared.store.get(LIST).map(|list| desk.remember(now, list)) {
                warn!(cause = %refusal, "the list in the store is of no use");
            }
            reactor.watch(&shared.socket, DATAGRAMS)?;
            datagrams = Some(shared.socket.local_addr()?.to_string());
        }
        let (listener, address) = reactor.listen(settings.listen)?;
        if let Some(path) = &settings.ready_file {
            let (address, pid) = (address.to_string(), std::process::id());
            let text = serde_json::json!({"address": address, "datagrams": datagrams, "pid": pid});
            replace(&DISK, &folder.join(path), text.to_string().as_bytes())?;
        }
        info!(coordinator = %settings.name, %address, "listening");
        reactor.set_timer(now, Due::Sweep);
        let ledger = settings.ledger.as_ref();
        let ledger = ledger.map(|ledger| LedgerFile::new(folder.join(&ledger.file), ledger));
        if ledger.is_some() {
            reactor.set_timer(now, Due::Keep);
        }
        Ok(Shell {
            ledger,
            probes: Probes::new(settings.probes.time_out.0),
            folder: folder.to_owned(),
            settings,
            reactor,
            desk,
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

    /// Takes these signals as a wish to end.
    pub fn end_on(&mut self, signals: SignalFlags) {
        self.reactor.watch_signals(signals);
    }

    /// Tells this count in the status: of log lines that were not written.
    pub fn tell_dropped_lines(&mut self, dropped: Counter) {
        self.log_lines_dropped = dropped;
    }

    /// Reads this file again on SIGHUP: members of a shared fleet may change in service, all else with a new start.
    pub fn reload_from(&mut self, file: &Path) {
        self.file = Some(file.to_owned());
    }

    fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        let text = match read_regular_file(file, SETTINGS_MOST) {
            Ok(text) => text,
            Err(cause) => return error!(%cause, "the settings cannot be read; the old ones stand"),
        };
        let fresh: CoordinatorSettings = match parse(file, &text) {
            Ok(fresh) => fresh,
            Err(problems) => return error!(%problems, "the settings are not in order; the old ones stand"),
        };
        let now = self.reactor.now();
        if let (Some(shared), Some(news)) = (&mut self.shared, &fresh.shared) {
            let named = news.members.iter().map(|member| (member.name.clone(), member.datagrams));
            shared.members = named.collect();
            self.desk.set_members(now, news.members.iter().map(|member| member.name.clone()));
            info!(members = shared.members.len(), "took the members that the settings name");
        }
        let members_aside = |settings: &CoordinatorSettings| {
            let mut rest = settings.clone();
            rest.fleet.coordinators = 0;
            rest.listen = self.settings.listen;
            if let Some(shared) = &mut rest.shared {
                shared.members.clear();
            }
            rest
        };
        if members_aside(&fresh) != members_aside(&self.settings) {
            warn!("other settings have changed too: they count with the next start");
        }
        self.settings.shared = fresh.shared.or(self.settings.shared.take());
    }

    /// Runs until a signal ends it.
    pub fn run(&mut self) -> Ended {
        loop {
            match self.round() {
                Ok(true) => {}
                Ok(false) => {
                    self.write_ledger();
                    self.reactor.close_listener(self.listener);
                    self.peers.keys().for_each(|conn| self.reactor.close_gracefully(*conn));
                    if let Err(cause) = self.reactor.flush(FLUSH_MOST) {
                        warn!(%cause, "the last answers could not be written");
                    }
                    return Ended::Asked;
                }
                Err(cause) => return Ended::Failed(cause),
            }
        }
    }

    /// Waits for what happens, and acts on it; false: a signal asks for the end.
    pub fn round(&mut self) -> io::Result<bool> {
        self.turn();
        self.reactor.poll(None)?;
        while let Some(happened) = self.reactor.next_event() {
            match happened {
                ReactorEvent::Accepted { conn, from, .. } => {
                    self.next_stream += 1;
                    let limits =
                        HttpLimits { body: self.settings.streams.request_bytes, ..HttpLimits::default() };
                    let reader = RequestReader::new(limits);
                    let (stream, asked) = (StreamId(self.next_stream), VecDeque::new());
                    self.peers.insert(conn, Peer { reader, stream, joined: false, from, asked });
                }
                ReactorEvent::Connected { conn } => self.ask_probe(conn),
                ReactorEvent::Received { conn } if self.probes.has(conn) => self.read_probe(conn, false),
                ReactorEvent::Received { conn } => self.read(conn),
                ReactorEvent::Flushed { .. } => {}
                ReactorEvent::Closed { conn, cause } => {
                    if self.probes.has(conn) {
                        self.end_probe(conn, ProbeOutcome::Failed, None);
                    } else {
                        self.gone(conn, &format!("{cause:?}"));
                    }
                }
                ReactorEvent::Timer(Due::Turn) => self.turn_at = None,
                ReactorEvent::Timer(Due::Sweep) => self.sweep(),
                ReactorEvent::Timer(Due::Keep) => self.keep_ledger(),
                ReactorEvent::Ready(DATAGRAMS) => self.read_datagrams(),
                ReactorEvent::Ready(_) => {
                    self.watch.changes()?;
                    self.read_roster = true;
                }
                ReactorEvent::Signal(HANG_UP) => {
                    self.read_roster = true;
                    self.reload();
                }
                ReactorEvent::Signal(signal) => {
                    info!(signal, "ending");
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    /// Lets the desk act, and carries out what it asks for.
    fn turn(&mut self) {
        let now = self.reactor.now();
        if std::mem::take(&mut self.read_roster) || self.desk.roster_due(now) {
            self.take_roster(now);
        }
        let mut unsaved = false;
        for output in self.desk.turn(now) {
            match output {
                Output::Answer { stream, answer, version } => self.answer(stream, answer, &version),
                Output::Break { stream, cause } => {
                    if let Some(conn) = self.conns.remove(&stream) {
                        warn!(stream = stream.0, %cause, "breaking a stream");
                        self.peers.remove(&conn);
                        self.reactor.close(conn);
                    }
                }
                Output::Probe { server } => self.begin_probe(now, server),
                Output::ReadRoster => self.read_roster = true,
                Output::SendOn { stream, to } => self.send_on(stream, &to),
                Output::Save(saved) => {
                    let Some(shared) = &mut self.shared else { continue };
                    if let Err(cause) = shared.save(&saved) {
                        // What rests on it must not be sent: the others take this one for silent, and so it is.
                        error!(%cause, "cannot save; this turn's datagrams are not sent");
                        unsaved = true;
                    }
                }
                Output::Keep(followed) => {
                    if let Some(Err(cause)) = self.shared.as_mut().map(|shared| shared.keep(&followed)) {
                        warn!(%cause, "what proxies followed cannot be kept");
                    }
                }
                Output::Datagram { to, text } => {
                    if let Some(shared) = self.shared.as_ref().filter(|_| !unsaved) {
                        shared.send(&to, &text);
                    }
                }
            }
        }
        for change in self.desk.weight_changes() {
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
        let at = if self.read_roster { now } else { self.desk.next_at() };
        if self.turn_at.is_none_or(|set| at < set) {
            self.turn_at = Some(at);
            self.reactor.set_timer(at, Due::Turn);
        }
    }

    fn keep_ledger(&mut self) {
        self.write_ledger();
        if let Some(settings) = &self.settings.ledger {
            let at = self.reactor.now() + settings.every.0;
            self.reactor.set_timer(at, Due::Keep);
        }
    }

    fn write_ledger(&mut self) {
        let now = self.reactor.now();
        if let (Some(file), Some(ledger)) = (&mut self.ledger, self.desk.ledger()) {
            if let Err(cause) = file.write(ledger, now) {
                warn!(%cause, "the ledger cannot be written; it waits in memory for a while");
            }
        }
    }

    fn take_roster(&mut self, now: Nanos) {
        let text = match self.source.read() {
            Ok(text) => text,
            Err(cause) => {
                warn!(source = self.source.name(), %cause, "the list of servers cannot be read");
                self.desk.roster_failed(now);
                return;
            }
        };
        match self.desk.roster(now, &text) {
            Ok((0, _)) => {}
            Ok((changed, notes)) => {
                info!(changed, "took a list of servers");
                notes.iter().for_each(|note| warn!(note, "set right in the list of servers"));
                if let Some(shared) = &mut self.shared {
                    if let Err(cause) = shared.store.put(&[(LIST, Some(&text))]) {
                        warn!(%cause, "the list cannot be kept in the store");
                    }
                }
                if let Some(kept) = &self.settings.roster.remembered {
                    if let Err(cause) = replace(&DISK, &self.folder.join(kept), &text) {
                        warn!(file = %kept.display(), %cause, "the list cannot be kept for the next start");
                    }
                }
            }
            Err(Refusal::Short { until, .. }) if now < until => warn!("the list is suddenly short; waiting"),
            Err(refusal) => warn!(cause = %refusal, "the list of servers is refused; the old one stands"),
        }
    }

    fn answer(&mut self, stream: StreamId, answer: Answer, version: &str) {
        let Some(conn) = self.conns.get(&stream).copied() else { return };
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let chunks = match answer {
            Answer::Resources { kind, nonce, resources } => {
                peer.asked.pop_front();
                debug!(
                    proxy = self.desk.proxy_name(stream),
                    kind = ?kind,
                    resources = resources.len(),
                    version,
                    nonce,
                    "sent"
                );
                response_chunks(StatusCode::OK, &[JSON], desk::body(kind, version, nonce, resources))
            }
            Answer::Unchanged { .. } => {
                peer.asked.pop_front();
                vec![response(StatusCode::NOT_MODIFIED, &[], b"")]
            }
        };
        if self.reactor.send(conn, chunks).is_err() {
            self.gone(conn, "more would wait than may");
            self.reactor.close(conn);
        }
    }

    /// A peer's connection is of no more use.
    fn gone(&mut self, conn: ConnId, cause: &str) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        if peer.joined {
            info!(proxy = self.desk.proxy_name(peer.stream), cause, "a stream ended");
            self.conns.remove(&peer.stream);
            self.desk.leave(self.reactor.now(), peer.stream);
        }
    }

    /// Answers and closes: what the peer said cannot be gone on from.
    fn turn_down(&mut self, conn: ConnId, status: StatusCode, cause: &str) {
        if let Some(peer) = self.peers.get(&conn) {
            warn!(from = %peer.from, %status, cause, "turned down");
        }
        let headers = [(header::CONTENT_TYPE, "text/plain"), (header::CONNECTION, "close")];
        let _ = self.reactor.send(conn, [response(status, &headers, cause.as_bytes())]);
        self.gone(conn, cause);
        self.reactor.close_gracefully(conn);
    }

    fn read(&mut self, conn: ConnId) {
        loop {
            let now = self.reactor.now();
            let Some(peer) = self.peers.get_mut(&conn) else { return };
            let Some(input) = self.reactor.input(conn) else { return };
            match peer.reader.next(input, now) {
                Ok(Some(message)) => self.serve(conn, now, &message),
                Ok(None) => break,
                Err(wrong) => return self.turn_down(conn, wrong.status(), &wrong.to_string()),
            }
        }
        self.reactor.input_consumed(conn);
    }

    fn serve(&mut self, conn: ConnId, now: Nanos, message: &Request<Bytes>) {
        let (method, path) = (message.method(), message.uri().path());
        if let Some(kind) = Kind::from_path(path).filter(|_| method == Method::POST) {
            self.discovery(conn, now, kind, message.body());
        } else if path == load::PATH && method == Method::POST {
            self.load_report(conn, now, message.body());
        } else if path == "/status" && method == Method::GET {
            let mut status = serde_json::to_value(self.desk.status(now)).unwrap_or_default();
            status["log_lines_dropped"] = self.log_lines_dropped.get().into();
            if let Some(shared) = &self.shared {
                let health = shared.store.health();
                status["store"] = serde_json::json!({
                    "records": health.records, "bytes": health.bytes, "writes": health.writes, "failed": health.failed
                });
            }
            if message.uri().query() == Some("weights") {
                status["weights"] = serde_json::to_value(self.desk.explain(now)).unwrap_or_default();
            }
            let body = serde_json::to_vec(&status).unwrap_or_default();
            if message.uri().query() == Some("spans=anew") {
                self.desk.forget_spans();
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
        // Answers come in the order of their requests: one in between held requests would take another's place.
        if self.peers.get(&conn).is_some_and(|peer| !peer.asked.is_empty()) {
            return self.turn_down(
                conn,
                StatusCode::BAD_REQUEST,
                "a stream's connection is for discovery alone",
            );
        }
        if self.reactor.send(conn, [response(status, &[JSON], body)]).is_err() {
            self.gone(conn, "more would wait than may");
            self.reactor.close(conn);
        }
    }

    fn discovery(&mut self, conn: ConnId, now: Nanos, kind: Kind, body: &[u8]) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let asked: DiscoveryRequest = match serde_json::from_slice(body) {
            Ok(asked) => asked,
            Err(cause) => return self.turn_down(conn, StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        if peer.asked.len() >= PIPELINE || peer.asked.contains(&kind) {
            return self.turn_down(conn, StatusCode::TOO_MANY_REQUESTS, "that kind is asked for already");
        }
        let (stream, first) = (peer.stream, !peer.joined);
        peer.asked.push_back(kind);
        match self.desk.ask(now, stream, kind, asked) {
            Ok(outcome) => {
                if first {
                    peer.joined = true;
                    self.conns.insert(stream, conn);
                    info!(proxy = self.desk.proxy_name(stream), stream = stream.0, "a proxy joined");
                }
                match outcome {
                    Some(Outcome::Refused { kind, cause, .. }) => {
                        let proxy = self.desk.proxy_name(stream);
                        warn!(proxy, ?kind, cause, "a proxy refused what it was sent; its old one stands");
                    }
                    Some(Outcome::Stray { kind }) => {
                        warn!(
                            proxy = self.desk.proxy_name(stream),
                            ?kind,
                            "an answer to what was never sent"
                        );
                    }
                    Some(Outcome::Applied { marks, .. }) => {
                        debug!(proxy = self.desk.proxy_name(stream), ?marks, "applied");
                    }
                    None => {}
                }
            }
            Err(Refused::Elsewhere(to)) => self.point_to(conn, &to),
            Err(refused @ Refused::NoCharge) => {
                let again = [(header::RETRY_AFTER, "1"), (header::CONNECTION, "close")];
                let text = refused.to_string();
                let _ = self
                    .reactor
                    .send(conn, [response(StatusCode::SERVICE_UNAVAILABLE, &again, text.as_bytes())]);
                self.gone(conn, &text);
                self.reactor.close_gracefully(conn);
            }
            Err(refused) => self.turn_down(conn, StatusCode::BAD_REQUEST, &refused.to_string()),
        }
    }

    /// Answers what is asked with the place of the coordinator in charge, by its name, and ends the connection.
    fn point_to(&mut self, conn: ConnId, to: &str) {
        let place = format!("http://{to}{}", Kind::Endpoints.path());
        let headers = [(header::LOCATION, place.as_str()), (header::CONNECTION, "close")];
        let _ = self.reactor.send(conn, [response(StatusCode::TEMPORARY_REDIRECT, &headers, b"")]);
        self.gone(conn, "another coordinator is in charge");
        self.reactor.close_gracefully(conn);
    }

    fn send_on(&mut self, stream: StreamId, to: &str) {
        let Some(conn) = self.conns.remove(&stream) else { return };
        debug!(stream = stream.0, to, "sending on to the one in charge");
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.joined = false;
        }
        self.point_to(conn, to);
    }

    fn read_datagrams(&mut self) {
        let now = self.reactor.now();
        let Some(shared) = &self.shared else { return };
        let mut buffer = vec![0; wire::LARGEST + 1];
        for _ in 0..DATAGRAMS_A_TURN {
            match shared.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    if let Err(cause) = self.desk.datagram(now, &buffer[..length]) {
                        warn!(%from, cause, "a datagram that is none of ours");
                    }
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => return,
                // A fellow that does not run answers with an error on the next read.
                Err(_) => {}
            }
        }
    }

    fn load_report(&mut self, conn: ConnId, now: Nanos, body: &[u8]) {
        let report: LoadStatsRequest = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(cause) => return self.turn_down(conn, StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        match self.desk.report(now, &report) {
            Ok(()) => {}
            Err(Unheard::Repeated) => debug!("a report came again"),
            Err(unheard) => warn!(?unheard, "a report was not counted whole"),
        }
        let wanted = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Seconds(self.desk.report_period().secs()),
            report_endpoint_granularity: true,
        };
        self.reply(conn, StatusCode::OK, &serde_json::to_vec(&wanted).unwrap_or_default());
    }

    /// Ends connections whose peers send too slowly or never read.
    fn sweep(&mut self) {
        let now = self.reactor.now();
        let (within, stuck) = (self.settings.streams.request_within.0, self.settings.streams.stuck_after.0);
        let slow: Vec<ConnId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.reader.partial_message_age(now) > within)
            .map(|(c, _)| *c)
            .collect();
        for conn in slow {
            self.turn_down(conn, StatusCode::REQUEST_TIMEOUT, "the request did not come whole in time");
        }
        let mute: Vec<ConnId> = self
            .peers
            .keys()
            .filter(|conn| self.reactor.write_stalled_for(**conn) > stuck)
            .copied()
            .collect();
        for conn in mute {
            self.gone(conn, "the peer does not read");
            self.reactor.close(conn);
        }
        for conn in self.probes.overdue(now) {
            self.end_probe(conn, ProbeOutcome::Failed, None);
            self.reactor.close(conn);
        }
        let next = [Some(now + Nanos(within.0 / 4)), self.probes.next_at()].into_iter().flatten().min();
        self.reactor.set_timer(next.unwrap_or(now).max(now + Nanos::from_millis(20)), Due::Sweep);
    }

    fn begin_probe(&mut self, now: Nanos, server: ServerId) {
        if self.probes.is_probed(&server) {
            return;
        }
        let conn =
            server.0.parse().map_err(io::Error::other).and_then(|at: SocketAddr| self.reactor.connect(at));
        match conn {
            Ok(conn) => {
                self.probes.begin(now, conn, server);
                let limits = HttpLimits { body: 64 * 1024, ..HttpLimits::default() };
                self.probe_readers.insert(conn, ResponseReader::new(limits));
                self.reactor.set_timer(now + self.settings.probes.time_out.0, Due::Sweep);
            }
            Err(cause) => {
                debug!(server = %server.0, %cause, "a probe cannot be sent");
                self.desk.probed(server, ProbeOutcome::Failed, Nanos(0), Default::default());
            }
        }
    }

    fn ask_probe(&mut self, conn: ConnId) {
        let Some(server) = self.probes.server(conn) else { return };
        let headers = [(header::CONNECTION, "close")];
        let asked = request(&Method::GET, &self.settings.probes.path, &server.0, &headers, b"");
        let _ = self.reactor.send(conn, [asked]);
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
                self.end_probe(conn, probes::outcome(answer.status()), report);
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
        if let Some((server, took)) = self.probes.end(self.reactor.now(), conn) {
            debug!(server = %server.0, ?outcome, "probed");
            self.desk.probed(server, outcome, took, probes::load(report));
        }
    }
}
