//! The coordinator on sockets.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use craneknot_http::{Limits as HttpLimits, ResponseReader};
use craneknot_platform::config::Config;
use craneknot_platform::lines;
use craneknot_reactor::system_errors::{is_momentary_at_start, is_own_failure};
use craneknot_reactor::{
    read_regular_file, Clock, CloseCause, ConnId, Counter, Happened, Limits, ListenerId, Reactor, SendError,
    SignalFlags,
};
use tracing::{debug, error, info, warn};

use crate::clients::{ClientAction, ClientId, Clients};
use crate::coordinator::{Coordinator, ShellActions};
use crate::descriptors::Descriptors;
use crate::link::{Act, LinkId};
use crate::log_event::{cut, EventLog, LogEvent};
use crate::pending::CloseReason;
use crate::status::{write_end, write_status, ProcessFigures};

const INPUT: usize = 256 * 1024; // bytes read ahead of a peer that has joined, or was dialled
const OUTPUT: usize = 512 * 1024; // bytes waiting for a peer: a call carries far less, a client gets single lines
const SHUTDOWN_MOST: Nanos = Nanos::from_millis(900); // ms; clients may use their connections until the platform kills,
                                                      // 700 ms after SIGTERM at the earliest
const FLUSH_MOST: Duration = Duration::from_millis(100); // for the last answers to be written
const STUCK_MOST: Nanos = Nanos::from_millis(1_500); // ms; for an idle client to read some of its answers
const STATUS_EVERY: Nanos = Nanos::from_millis(5_000); // ms; one line in the log
const START_MOST: Duration = Duration::from_secs(8); // a start that fails for a moment is tried again for so long: the
                                                     // platform wants it ready within 10 s
const START_RETRY: Duration = Duration::from_millis(50); // between two tries
const REDIAL_AFTER: Nanos = Nanos::from_millis(20); // ms; until a dial that failed on our own side is made again
const RELOAD_RETRY: Nanos = Nanos::from_millis(200); // ms; until a configuration that can't be read is read again
const RELOAD_TRIES: u32 = 5; // it may be half written

const CONFIG_MOST: u64 = 16 * 1024 * 1024; // bytes of a configuration that is read again

const UNREAD: &str = "it does not read its answers";

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// What ends the program.
#[derive(Debug)]
pub enum Ended {
    /// By a signal.
    Asked,
    Failed(io::Error),
}

enum Due {
    Turn,
    Status,
    Shutdown,
    /// The configuration is read again: how often that has failed.
    Reload(u32),
    /// Dials that failed on our own side are made again.
    Redial,
}

/// A dial that failed on our own side and is to be made again. Who asked for it sets its time, and drops it.
struct Redial {
    id: LinkId,
    address: SocketAddr,
    request: Bytes,
}

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    No,
    /// Open connections are served until the time is over.
    Draining,
    /// An operator wants it to end as soon as nobody waits for an answer.
    Hurried,
}

/// A connection that was dialled.
struct Link {
    id: LinkId,
    reader: ResponseReader,
    /// What is sent once it stands.
    first: Option<Bytes>,
}

/// A coordinator on sockets.
pub struct Shell {
    file: PathBuf,
    reactor: Reactor<Due>,
    coordinator: Coordinator,
    listener: ListenerId,
    address: SocketAddr,
    clients: BTreeMap<ConnId, ClientId>,
    client_conns: BTreeMap<ClientId, ConnId>,
    links: BTreeMap<ConnId, Link>,
    link_conns: BTreeMap<LinkId, ConnId>,
    redials: Vec<Redial>,
    next_client: u64,
    turn_at: Option<Nanos>,
    shutdown: Shutdown,
    log: EventLog,
    log_lines_dropped: Counter,
}

/// Why a configuration can't be taken.
#[derive(Debug)]
enum ConfigError {
    /// The file can't be read for the moment.
    Momentary(String),
    /// It can't be read, or is not in order.
    Wrong(String),
}

impl ConfigError {
    fn into_text(self) -> String {
        match self {
            ConfigError::Momentary(text) | ConfigError::Wrong(text) => text,
        }
    }
}

/// Reads the configuration by this way of reading its file.
fn read_config(file: &Path, read: impl Fn(&Path) -> io::Result<Vec<u8>>) -> Result<Config, ConfigError> {
    let text = read(file).map_err(|cause| {
        let told = format!("{}: {cause}", file.display());
        if is_momentary_at_start(&cause) {
            ConfigError::Momentary(told)
        } else {
            ConfigError::Wrong(told)
        }
    })?;
    Config::read(&text).map_err(|cause| ConfigError::Wrong(format!("{}: {cause}", file.display())))
}

/// Why a coordinator does not start.
#[derive(Debug)]
pub enum NoStart {
    Config(String),
    System(io::Error),
}

/// Tries a step of the start again while it fails for a moment only, until its time is over.
fn patiently<T, E>(
    until: Instant,
    is_momentary: impl Fn(&E) -> bool,
    mut step: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match step() {
            Err(cause) if is_momentary(&cause) && Instant::now() < until => std::thread::sleep(START_RETRY),
            ended => return ended,
        }
    }
}

impl Shell {
    /// Reads its configuration and listens. Any of the signals `ends` asks it to end; SIGHUP has the configuration
    /// read again. What fails for a moment only is tried again, for 8 s.
    pub fn new(file: &Path, clock: Arc<dyn Clock>, ends: &[i32]) -> Result<Self, NoStart> {
        let mut heeded = vec![SIGHUP];
        heeded.extend(ends);
        // Before anything can fail, and before anybody can reach it: a signal that is not heeded yet would end it.
        let flags = SignalFlags::register(&heeded).map_err(NoStart::System)?;
        let until = Instant::now() + START_MOST;
        let is_unread = |cause: &ConfigError| matches!(cause, ConfigError::Momentary(_));
        let config = patiently(until, is_unread, || read_config(file, |file| fs::read(file)))
            .map_err(|cause| NoStart::Config(cause.into_text()))?;
        let Descriptors { connections, accepts, .. } = Descriptors::divide(config.sockets);
        let limits = Limits { input: INPUT, output: OUTPUT, connections, accepts };
        let make = || -> io::Result<(Reactor<Due>, ListenerId, SocketAddr)> {
            let mut reactor = Reactor::new(clock.clone(), limits)?;
            let (listener, address) = reactor.listen(config.listen)?;
            Ok((reactor, listener, address))
        };
        let made = patiently(until, is_momentary_at_start, make).map_err(NoStart::System)?;
        let (mut reactor, listener, address) = made;
        reactor.heed(flags);
        let now = reactor.now();
        info!(
            coordinator = %config.name, %address, relay = %config.relay, discovery = %config.discovery,
            "listening"
        );
        let coordinator = Coordinator::new(config, now);
        reactor.set_timer(now + STATUS_EVERY, Due::Status);
        Ok(Shell {
            file: file.to_owned(),
            reactor,
            coordinator,
            listener,
            address,
            clients: BTreeMap::new(),
            client_conns: BTreeMap::new(),
            links: BTreeMap::new(),
            link_conns: BTreeMap::new(),
            redials: Vec::new(),
            next_client: 0,
            turn_at: None,
            shutdown: Shutdown::No,
            log: EventLog::default(),
            log_lines_dropped: Counter::default(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells this count in the status lines: of log lines that were not written.
    pub fn tell_dropped_lines(&mut self, dropped: Counter) {
        self.log_lines_dropped = dropped;
    }

    /// Runs until a signal ends it.
    pub fn run(&mut self) -> Ended {
        loop {
            match self.round() {
                Ok(true) => {}
                Ok(false) => return Ended::Asked,
                Err(cause) => return Ended::Failed(cause),
            }
        }
    }

    /// Waits for what happens, and acts on it; false: it has ended as a signal asked.
    pub fn round(&mut self) -> io::Result<bool> {
        self.turn();
        if self.is_finished() {
            self.end();
            return Ok(false);
        }
        self.reactor.set_accept_room(self.listener, self.coordinator.accept_capacity());
        let is_draining = self.shutdown != Shutdown::No;
        self.coordinator.set_backlog(is_draining && self.reactor.is_listening(self.listener));
        self.reactor.poll(None)?;
        while let Some(happened) = self.reactor.happened() {
            if !self.handle(happened) {
                self.end();
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Acts on what has happened; false: the time of a shutdown is over.
    fn handle(&mut self, happened: Happened<Due>) -> bool {
        match happened {
            Happened::Accepted { conn, .. } => self.accept(conn),
            Happened::Connected { conn } => {
                let first = self.links.get_mut(&conn).and_then(|link| link.first.take());
                if let Some(first) = first {
                    // A connection that has ended already is told of as closed.
                    let _ = self.reactor.send(conn, [first]);
                }
            }
            Happened::Came { conn } => self.read(conn),
            Happened::Flushed { conn } => {
                if let Some(client) = self.clients.get(&conn) {
                    self.coordinator.client_flushed(*client);
                }
            }
            Happened::Ready(_) => {}
            Happened::Closed { conn, cause } => {
                if let Some(client) = self.clients.remove(&conn) {
                    self.client_conns.remove(&client);
                    debug!(client = client.0, ?cause, "a client's connection has ended");
                    self.coordinator.client_closed(client, CloseReason::ByPeer);
                }
                if matches!(cause, CloseCause::PeerClosed) {
                    self.end_response(conn);
                }
                self.lose_link(conn, &format!("{cause:?}"));
            }
            Happened::Timer(Due::Turn) => self.turn_at = None,
            Happened::Timer(Due::Status) => {
                write_status(&self.coordinator.status(), self.process_figures());
                self.log.begin_anew();
                self.tell_beliefs();
                self.reactor.set_timer(self.reactor.now() + STATUS_EVERY, Due::Status);
            }
            Happened::Timer(Due::Shutdown) => return false,
            Happened::Timer(Due::Reload(failed)) => self.reload(failed),
            Happened::Timer(Due::Redial) => {
                for Redial { id, address, request } in std::mem::take(&mut self.redials) {
                    self.dial(id, address, request);
                }
            }
            Happened::Signal(SIGHUP) => self.reload(0),
            Happened::Signal(signal) => self.shut_down(signal),
        }
        true
    }

    /// Whether a shutdown has nothing to wait for.
    fn is_finished(&self) -> bool {
        match self.shutdown {
            Shutdown::No => false,
            Shutdown::Draining => !self.reactor.is_listening(self.listener) && self.coordinator.is_finished(),
            Shutdown::Hurried => self.coordinator.is_client_work_done(),
        }
    }

    /// Takes nobody in any more but those whom the system has connected already, and stays while clients use their
    /// connections or orders wait. A signal that comes again changes nothing, since they come in series; but an
    /// operator's other one hurries it.
    fn shut_down(&mut self, signal: i32) {
        match self.shutdown {
            Shutdown::No => {
                info!(signal, "shutting down");
                self.shutdown = Shutdown::Draining;
                self.coordinator.shut_down();
                self.reactor.set_accept_room(self.listener, self.coordinator.accept_capacity());
                self.reactor.unlisten(self.listener);
                self.reactor.set_timer(self.reactor.now() + SHUTDOWN_MOST, Due::Shutdown);
            }
            Shutdown::Draining if signal != SIGTERM => {
                info!(signal, "shutting down as soon as whoever has asked is answered");
                self.shutdown = Shutdown::Hurried;
            }
            Shutdown::Draining | Shutdown::Hurried => {}
        }
    }

    /// The process ends now: what has come until now is answered, and what stays owed is counted and told.
    fn end(&mut self) {
        for conn in self.clients.keys().copied().collect::<Vec<_>>() {
            if self.reactor.read_last(conn) {
                self.read(conn);
            }
        }
        self.turn();
        if let Err(cause) = self.reactor.flush(FLUSH_MOST) {
            warn!(%cause, "the last answers could not be written");
        }
        let waiting = |conn: &ConnId| self.reactor.waiting(*conn) > 0;
        for (conn, client) in self.clients.iter().filter(|(conn, _)| !waiting(conn)) {
            debug!(?conn, client = client.0, "ending with all written");
            self.coordinator.client_flushed(*client);
        }
        let violations = self.coordinator.abandon();
        write_end(&self.coordinator.status(), violations);
    }

    /// Reads the configuration again. One that can't be read may be half written: it is read again a few times.
    fn reload(&mut self, failed: u32) {
        if self.shutdown != Shutdown::No {
            return;
        }
        // Clients wait meanwhile: whoever is slow to write the file must not hold them up.
        match read_config(&self.file, |file| read_regular_file(file, CONFIG_MOST)) {
            Ok(config) => {
                info!(relay = %config.relay, discovery = %config.discovery, "a new configuration");
                self.coordinator.reconfigure(self.reactor.now(), &config);
            }
            Err(cause) => {
                let cause = cause.into_text();
                error!(failed, cause = cut(&cause), "the configuration is not in order; the old one stands");
                if failed < RELOAD_TRIES {
                    self.reactor.set_timer(self.reactor.now() + RELOAD_RETRY, Due::Reload(failed + 1));
                }
            }
        }
    }

    fn process_figures(&self) -> ProcessFigures {
        ProcessFigures {
            connections: self.reactor.connections(),
            system_calls_retried: self.reactor.system_failures(),
            log_lines_dropped: self.log_lines_dropped.get(),
        }
    }

    /// What the decisions believe, to be held against what passes.
    fn tell_beliefs(&self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let controller = self.coordinator.controller();
        debug!(best_yield = controller.best_yield(), "beliefs");
        for (number, group) in controller.beliefs().iter().enumerate() {
            debug!(
                number, zone = ?group.zone, load = ?group.load, limit = group.limit, arrives = group.arrives,
                handled = group.handled, wait = group.wait, unanswered = group.unanswered, busy = group.busy,
                weight = group.weight, listed = group.listed, "group"
            );
            for (server, state, pace) in &group.members {
                debug!(server = %server.0, ?state, pace, number, "member of a group");
            }
        }
    }

    fn accept(&mut self, conn: ConnId) {
        self.next_client += 1;
        let client = ClientId(self.next_client);
        self.reactor.limit_input(conn, Clients::first_room());
        self.clients.insert(conn, client);
        self.client_conns.insert(client, conn);
        self.coordinator.client_connected(self.reactor.now(), client);
    }

    fn lose_link(&mut self, conn: ConnId, cause: &str) {
        if let Some(link) = self.links.remove(&conn) {
            self.link_conns.remove(&link.id);
            self.coordinator.link_lost(self.reactor.now(), link.id, cause);
        }
    }

    /// A response may end with its connection.
    fn end_response(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        let Some(link) = self.links.get_mut(&conn) else { return };
        if let Ok(Some(response)) = link.reader.next(&mut BytesMut::new(), true, now) {
            self.coordinator.answered(now, link.id, &response, false);
        }
    }

    fn read(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        if let Some(client) = self.clients.get(&conn) {
            if let Some(input) = self.reactor.input(conn) {
                self.coordinator.client_input(now, *client, input);
            }
            self.reactor.taken(conn);
        } else if self.links.contains_key(&conn) {
            self.read_link(conn);
        }
    }

    fn read_link(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            let Some(input) = self.reactor.input(conn) else { return };
            match link.reader.next(input, false, now) {
                Ok(Some(response)) => {
                    let keeps = ResponseReader::persistent(&response);
                    self.coordinator.answered(now, link.id, &response, keeps);
                }
                Ok(None) => {
                    if self.coordinator.is_event_stream(link.id) {
                        if let Some((status, bytes)) = link.reader.take_part() {
                            self.coordinator.event_stream_input(now, link.id, status, &bytes);
                        }
                    }
                    break;
                }
                Err(cause) => {
                    self.reactor.close(conn);
                    return self.lose_link(conn, &cause.to_string());
                }
            }
        }
        self.reactor.taken(conn);
    }

    /// Lets the coordinator act, and carries out what it asks for.
    fn turn(&mut self) {
        let now = self.reactor.now();
        let ShellActions { client_actions, link_actions, log_events } = self.coordinator.turn(now);
        for event in &log_events {
            self.log.write(event);
        }
        client_actions.into_iter().for_each(|action| self.serve(action));
        link_actions.into_iter().for_each(|act| self.act(act));
        // One timer that comes too early does no harm; one for each change would pile up.
        if let Some(next) =
            self.coordinator.next_at(now).filter(|next| self.turn_at.is_none_or(|at| *next < at))
        {
            self.reactor.set_timer(next, Due::Turn);
            self.turn_at = Some(next);
        }
    }

    fn serve(&mut self, action: ClientAction) {
        match action {
            ClientAction::Answer(id) => self.answer(id),
            ClientAction::Note(cause, line) => {
                debug!(cause = cut(&cause.to_string()), line, "left out a report")
            }
            ClientAction::Widen(id) => {
                if let Some(conn) = self.client_conns.get(&id) {
                    self.reactor.limit_input(*conn, lines::LONGEST);
                }
            }
            ClientAction::Reject(id, cause) => self.reject(id, &cause),
            ClientAction::Evict(id, cause) => self.evict(id, &cause),
            ClientAction::Close(id, cause) => {
                self.log.write(&LogEvent::ClientClosed { client: id, cause: cause.to_string() });
                if let Some(conn) = self.forget(id, CloseReason::Dropped) {
                    self.reactor.finish(conn);
                }
            }
        }
    }

    fn answer(&mut self, id: ClientId) {
        let Some(conn) = self.client_conns.get(&id).copied() else { return };
        let line = Bytes::from_static(lines::heartbeat_answer());
        match self.reactor.send(conn, [line]) {
            Ok(()) => self.coordinator.client_answered(id, self.reactor.waiting(conn) > 0),
            Err(SendError::Gone) => {
                self.forget(id, CloseReason::ByPeer);
            }
            Err(SendError::Full) => {
                self.log.write(&LogEvent::ClientClosed { client: id, cause: UNREAD.to_owned() });
                self.forget(id, CloseReason::ByPeer);
                self.reactor.close(conn);
            }
        }
    }

    /// Tells a client why it is turned away, which is its final answer, and closes.
    fn reject(&mut self, id: ClientId, cause: &str) {
        self.log.write(&LogEvent::ClientRejected { client: id, cause: cause.to_owned() });
        let Some(conn) = self.forget(id, CloseReason::Rejected) else { return };
        let _ = self.reactor.send(conn, [Bytes::from(lines::reject(cause))]);
        self.reactor.finish(conn);
    }

    /// Closes an idle connection, unless the client has asked for something meanwhile.
    fn evict(&mut self, id: ClientId, cause: &str) {
        let Some(conn) = self.client_conns.get(&id).copied() else { return };
        if self.reactor.read_last(conn) {
            self.read(conn);
        } else if !self.coordinator.has_pending(id) {
            self.reject(id, cause);
        } else if self.reactor.stuck(conn) >= STUCK_MOST {
            self.log.write(&LogEvent::ClientClosed { client: id, cause: UNREAD.to_owned() });
            self.forget(id, CloseReason::ByPeer);
            self.reactor.close(conn);
        }
    }

    /// Forgets a client; its connection is the caller's to close.
    fn forget(&mut self, id: ClientId, reason: CloseReason) -> Option<ConnId> {
        self.coordinator.client_closed(id, reason);
        let conn = self.client_conns.remove(&id)?;
        self.clients.remove(&conn);
        Some(conn)
    }

    /// Dials. A failure on our own side says nothing of the neighbour: it is not told as one, and the dial made again.
    fn dial(&mut self, id: LinkId, address: SocketAddr, request: Bytes) {
        match self.reactor.connect(address) {
            Ok(conn) => {
                let reader = ResponseReader::new(HttpLimits::default());
                self.links.insert(conn, Link { id, reader, first: Some(request) });
                self.link_conns.insert(id, conn);
            }
            Err(cause) if is_own_failure(&cause) => {
                debug!(%address, %cause, "dialling again");
                if self.redials.is_empty() {
                    self.reactor.set_timer(self.reactor.now() + REDIAL_AFTER, Due::Redial);
                }
                self.redials.push(Redial { id, address, request });
            }
            Err(cause) => self.coordinator.link_lost(self.reactor.now(), id, &cause.to_string()),
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Dial { link, address, request } => self.dial(link, address, request),
            Act::Send { link, request } => {
                let Some(conn) = self.link_conns.get(&link).copied() else { return };
                if self.reactor.send(conn, [request]).is_err() {
                    self.reactor.close(conn);
                    self.lose_link(conn, "nothing more can be sent");
                }
            }
            Act::Drop { link } => {
                self.redials.retain(|redial| redial.id != link);
                if let Some(conn) = self.link_conns.remove(&link) {
                    self.links.remove(&conn);
                    self.reactor.close(conn);
                }
            }
        }
    }
}
