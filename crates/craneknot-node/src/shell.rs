//! Runs a [`Coordinator`] on the reactor: sockets, timers, signals and the log.

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
use craneknot_platform::messages;
use craneknot_reactor::system_errors::{is_local_failure, is_transient_at_start};
use craneknot_reactor::{
    read_regular_file, Clock, CloseCause, ConnId, Counter, Limits, ListenerId, Reactor, ReactorEvent,
    SendError, SignalFlags, Unfinished,
};
use tracing::{debug, error, info, warn};

use crate::clients::{ClientAction, ClientId, Clients};
use crate::coordinator::{Coordinator, ShellActions};
use crate::descriptors::Descriptors;
use crate::link::{LinkAction, LinkId};
use crate::log_event::{sanitize, EventLog, LogEvent};
use crate::pending::CloseReason;
use crate::status::{write_end, write_status, ProcessFigures};

const MAX_INPUT_BYTES: usize = 256 * 1024; // bytes read ahead from a collector or on an outgoing connection
const MAX_OUTPUT_BYTES: usize = 512 * 1024; // bytes queued for a peer: far more than a call or the lines of a client
const BUFFER_DIVISOR: usize = 8; // of the memory limit: the share for what clients leave unfinished or unread
const SHUTDOWN_TIMEOUT: Nanos = Nanos::from_millis(900); // ms; clients may use their connections until the
                                                         // platform kills the process, 700 ms after SIGTERM
                                                         // at the earliest
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100); // for writing the last answers
const STUCK_TIMEOUT: Nanos = Nanos::from_millis(1_500); // ms; for an idle client to read some of its answers
const STATUS_INTERVAL: Nanos = Nanos::from_millis(5_000); // ms
const START_TIMEOUT: Duration = Duration::from_secs(8); // for retries of a transiently failing start:
                                                        // the platform requires readiness within 10 s
const RETRY_DELAY: Duration = Duration::from_millis(50); // between two attempts to start
const REDIAL_DELAY: Nanos = Nanos::from_millis(20); // ms; before a dial that failed locally is retried
const RELOAD_RETRY_DELAY: Nanos = Nanos::from_millis(200); // ms; before a failed reload is retried
const MAX_RELOAD_RETRIES: u32 = 5; // the file may be half written

const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024; // of a configuration that is reloaded

const UNREAD_ANSWERS: &str = "client does not read its answers";

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Why the event loop has ended.
#[derive(Debug)]
pub enum ExitReason {
    /// A signal asked for it.
    Signalled,
    Failed(io::Error),
}

/// What a timer is for.
enum Timer {
    Turn,
    Status,
    Shutdown,
    /// Reload the configuration; carries the number of failed attempts.
    Reload(u32),
    /// Retry dials that failed locally.
    Redial,
}

/// A dial that failed locally and is to be retried. Its requester enforces the timeout and cancels it.
struct Redial {
    id: LinkId,
    address: SocketAddr,
    request: Bytes,
}

/// State of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    NotRequested,
    /// Open connections are served until the timeout.
    Draining,
    /// An operator has asked the process to end as soon as no client waits for an answer.
    Expedited,
}

/// An outgoing connection.
struct Link {
    id: LinkId,
    reader: ResponseReader,
    /// The request that is sent once connected.
    first_request: Option<Bytes>,
}

/// A coordinator with its event loop.
pub struct Shell {
    file: PathBuf,
    reactor: Reactor<Timer>,
    coordinator: Coordinator,
    listener: ListenerId,
    address: SocketAddr,
    clients: BTreeMap<ConnId, ClientId>,
    client_conns: BTreeMap<ClientId, ConnId>,
    links: BTreeMap<ConnId, Link>,
    link_conns: BTreeMap<LinkId, ConnId>,
    redials: Vec<Redial>,
    last_client_id: u64,
    turn_at: Option<Nanos>,
    shutdown: Shutdown,
    log: EventLog,
    log_lines_dropped: Counter,
}

/// Why a configuration can't be used.
#[derive(Debug)]
enum ConfigError {
    /// Reading the file has failed transiently.
    Transient(String),
    /// The file can't be read, or the configuration is invalid.
    Invalid(String),
}

impl ConfigError {
    fn into_text(self) -> String {
        match self {
            ConfigError::Transient(text) | ConfigError::Invalid(text) => text,
        }
    }
}

/// Reads the configuration; `read` reads the file.
fn read_config(file: &Path, read: impl Fn(&Path) -> io::Result<Vec<u8>>) -> Result<Config, ConfigError> {
    let text = read(file).map_err(|cause| {
        let message = format!("{}: {cause}", file.display());
        if is_transient_at_start(&cause) {
            ConfigError::Transient(message)
        } else {
            ConfigError::Invalid(message)
        }
    })?;
    Config::parse(&text).map_err(|cause| ConfigError::Invalid(format!("{}: {cause}", file.display())))
}

/// Why a coordinator could not start.
#[derive(Debug)]
pub enum StartError {
    Config(String),
    System(io::Error),
}

/// Retries a step of the start while it fails transiently, until the deadline.
fn retry_until<T, E>(
    until: Instant,
    is_transient: impl Fn(&E) -> bool,
    mut step: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    loop {
        match step() {
            Err(cause) if is_transient(&cause) && Instant::now() < until => std::thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
}

impl Shell {
    /// Reads the configuration and starts listening. Any of `stop_signals` starts a shutdown; SIGHUP reloads
    /// the configuration. Transient failures are retried for 8 s.
    pub fn new(file: &Path, clock: Arc<dyn Clock>, stop_signals: &[i32]) -> Result<Self, StartError> {
        let mut handled = vec![SIGHUP];
        handled.extend(stop_signals);
        // Registered before anything can fail and before clients can connect: an unhandled signal would end
        // the process.
        let flags = SignalFlags::register(&handled).map_err(StartError::System)?;
        let deadline = Instant::now() + START_TIMEOUT;
        let is_transient = |cause: &ConfigError| matches!(cause, ConfigError::Transient(_));
        let config = retry_until(deadline, is_transient, || read_config(file, |file| fs::read(file)))
            .map_err(|cause| StartError::Config(cause.into_text()))?;
        let Descriptors { connections, accepts, .. } = Descriptors::divide(config.socket_limit);
        let limits = Limits {
            input: MAX_INPUT_BYTES,
            output: MAX_OUTPUT_BYTES,
            connections,
            buffered: config.memory_limit / BUFFER_DIVISOR,
            accepts,
        };
        let listen = || -> io::Result<(Reactor<Timer>, ListenerId, SocketAddr)> {
            let mut reactor = Reactor::new(clock.clone(), limits)?;
            let (listener, address) = reactor.listen(config.listen)?;
            Ok((reactor, listener, address))
        };
        let listening = retry_until(deadline, is_transient_at_start, listen).map_err(StartError::System)?;
        let (mut reactor, listener, address) = listening;
        reactor.watch_signals(flags);
        let now = reactor.now();
        info!(
            coordinator = %config.name, %address, relay = %config.relay, discovery = %config.discovery,
            "listening"
        );
        let coordinator = Coordinator::new(config, now);
        reactor.set_timer(now + STATUS_INTERVAL, Timer::Status);
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
            last_client_id: 0,
            turn_at: None,
            shutdown: Shutdown::NotRequested,
            log: EventLog::default(),
            log_lines_dropped: Counter::default(),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the counter of dropped log lines that the status lines report.
    pub fn set_dropped_line_counter(&mut self, dropped: Counter) {
        self.log_lines_dropped = dropped;
    }

    /// Runs until a signal or a failure ends it.
    pub fn run(&mut self) -> ExitReason {
        loop {
            match self.run_once() {
                Ok(true) => {}
                Ok(false) => return ExitReason::Signalled,
                Err(cause) => return ExitReason::Failed(cause),
            }
        }
    }

    /// Waits for events of the reactor and handles them; false: it has ended after a signal.
    pub fn run_once(&mut self) -> io::Result<bool> {
        self.turn();
        if self.is_finished() {
            self.finish();
            return Ok(false);
        }
        self.reactor.set_accept_quota(self.listener, self.coordinator.accept_capacity());
        let is_draining = self.shutdown != Shutdown::NotRequested;
        self.coordinator.set_backlog(is_draining && self.reactor.is_listening(self.listener));
        self.reactor.poll(None)?;
        while let Some(happened) = self.reactor.next_event() {
            if !self.handle(happened) {
                self.finish();
                return Ok(false);
            }
        }
        self.close_over_budget();
        Ok(true)
    }

    /// Closes clients while all of them together leave too much unfinished or unread.
    fn close_over_budget(&mut self) {
        for conn in self.reactor.over_budget() {
            let Some(client) = self.clients.get(&conn).copied() else {
                self.reactor.close(conn);
                continue;
            };
            if self.reactor.unsent_bytes(conn) > 0 {
                self.close_unread(client);
            } else {
                self.coordinator.client_over_budget(client);
            }
        }
    }

    /// Closes the connection of a client that does not read its answers.
    fn close_unread(&mut self, id: ClientId) {
        self.log.write(&LogEvent::ClientClosed { client: id, cause: UNREAD_ANSWERS.to_owned() });
        if let Some(conn) = self.remove_client(id, CloseReason::ByPeer) {
            self.reactor.close(conn);
        }
    }

    /// Handles an event of the reactor; false: the shutdown has timed out.
    fn handle(&mut self, happened: ReactorEvent<Timer>) -> bool {
        match happened {
            ReactorEvent::Accepted { conn, .. } => self.accept(conn),
            ReactorEvent::Connected { conn } => {
                let Some(link) = self.links.get_mut(&conn) else { return true };
                if let Some(request) = link.first_request.take() {
                    // An error means that the connection has ended already, which is reported as `Closed`.
                    let _ = self.reactor.send(conn, [request]);
                    self.coordinator.link_connected(link.id);
                }
            }
            ReactorEvent::Received { conn } => self.read(conn),
            ReactorEvent::Flushed { conn } => {
                if let Some(client) = self.clients.get(&conn) {
                    self.coordinator.client_flushed(*client);
                }
            }
            ReactorEvent::Ready(_) => {}
            ReactorEvent::Closed { conn, cause } => {
                if let Some(client) = self.clients.remove(&conn) {
                    self.client_conns.remove(&client);
                    debug!(client = client.0, ?cause, "client connection ended");
                    self.coordinator.client_closed(client, CloseReason::ByPeer);
                }
                if matches!(cause, CloseCause::PeerClosed) {
                    self.end_response(conn);
                }
                self.remove_link(conn, &format!("{cause:?}"));
            }
            ReactorEvent::Timer(Timer::Turn) => self.turn_at = None,
            ReactorEvent::Timer(Timer::Status) => {
                write_status(&self.coordinator.status(), self.process_figures());
                self.log.reset();
                self.log_estimates();
                self.reactor.set_timer(self.reactor.now() + STATUS_INTERVAL, Timer::Status);
            }
            ReactorEvent::Timer(Timer::Shutdown) => return false,
            ReactorEvent::Timer(Timer::Reload(failed)) => self.reload(failed),
            ReactorEvent::Timer(Timer::Redial) => {
                for Redial { id, address, request } in std::mem::take(&mut self.redials) {
                    self.dial(id, address, request);
                }
            }
            ReactorEvent::Signal(SIGHUP) => self.reload(0),
            ReactorEvent::Signal(signal) => self.shut_down(signal),
        }
        true
    }

    /// Whether a shutdown is complete.
    fn is_finished(&self) -> bool {
        match self.shutdown {
            Shutdown::NotRequested => false,
            Shutdown::Draining => !self.reactor.is_listening(self.listener) && self.coordinator.is_finished(),
            Shutdown::Expedited => self.coordinator.is_client_work_done(),
        }
    }

    /// Starts a shutdown: accepts only the connections that the operating system has established already, and
    /// runs on while clients use their connections or orders wait. A repeated SIGTERM changes nothing, since
    /// signals come in series; any other signal, which an operator sends, expedites the shutdown.
    fn shut_down(&mut self, signal: i32) {
        match self.shutdown {
            Shutdown::NotRequested => {
                info!(signal, "shutting down");
                self.shutdown = Shutdown::Draining;
                self.coordinator.shut_down();
                self.reactor.set_accept_quota(self.listener, self.coordinator.accept_capacity());
                self.reactor.close_listener(self.listener);
                self.reactor.set_timer(self.reactor.now() + SHUTDOWN_TIMEOUT, Timer::Shutdown);
            }
            Shutdown::Draining if signal != SIGTERM => {
                info!(signal, "shutting down once all requests are answered");
                self.shutdown = Shutdown::Expedited;
            }
            Shutdown::Draining | Shutdown::Expedited => {}
        }
    }

    /// Ends the process: answers the input received so far, and counts and logs the work that remains
    /// pending.
    fn finish(&mut self) {
        for conn in self.clients.keys().copied().collect::<Vec<_>>() {
            if self.reactor.read_pending(conn) {
                self.read(conn);
            }
        }
        self.turn();
        if let Err(cause) = self.reactor.flush(FLUSH_TIMEOUT) {
            warn!(%cause, "could not write the last answers");
        }
        let has_output = |conn: &ConnId| self.reactor.unsent_bytes(*conn) > 0;
        for (conn, client) in self.clients.iter().filter(|(conn, _)| !has_output(conn)) {
            debug!(?conn, client = client.0, "ending; all answers are written");
            self.coordinator.client_flushed(*client);
        }
        let violations = self.coordinator.abandon();
        write_end(&self.coordinator.status(), violations);
    }

    /// Reloads the configuration. An invalid file may be half written, so reading it is retried a few times.
    fn reload(&mut self, failed: u32) {
        if self.shutdown != Shutdown::NotRequested {
            return;
        }
        // Only regular files are read: clients wait meanwhile, and a slow writer of the file must not block
        // them.
        match read_config(&self.file, |file| read_regular_file(file, MAX_CONFIG_BYTES)) {
            Ok(config) => {
                info!(relay = %config.relay, discovery = %config.discovery, "configuration reloaded");
                self.coordinator.reconfigure(self.reactor.now(), &config);
            }
            Err(cause) => {
                let cause = cause.into_text();
                error!(
                    failed,
                    cause = sanitize(&cause),
                    "the configuration is invalid; keeping the current one"
                );
                if failed < MAX_RELOAD_RETRIES {
                    self.reactor
                        .set_timer(self.reactor.now() + RELOAD_RETRY_DELAY, Timer::Reload(failed + 1));
                }
            }
        }
    }

    fn process_figures(&self) -> ProcessFigures {
        ProcessFigures {
            connections: self.reactor.connections(),
            buffered_bytes: self.reactor.buffered_bytes(),
            system_calls_retried: self.reactor.system_calls_retried(),
            log_lines_dropped: self.log_lines_dropped.get(),
        }
    }

    /// Logs the controller's estimates, for comparison with measured values.
    fn log_estimates(&self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let controller = self.coordinator.controller();
        debug!(best_yield = controller.best_throughput_per_weight(), "beliefs");
        for (number, group) in controller.group_statuses().iter().enumerate() {
            debug!(
                number, zone = ?group.zone, load = ?group.load, limit = group.limit, arrives = group.arrival_rate,
                handled = group.handled, wait = group.wait, unanswered = group.unanswered, busy = group.busy,
                weight = group.weight, listed = group.listed, "group"
            );
            for (server, state, pace) in &group.members {
                debug!(server = %server.0, ?state, pace, number, "member of a group");
            }
        }
    }

    fn accept(&mut self, conn: ConnId) {
        self.last_client_id += 1;
        let client = ClientId(self.last_client_id);
        self.reactor.limit_input(conn, Clients::initial_input_limit());
        self.clients.insert(conn, client);
        self.client_conns.insert(client, conn);
        self.coordinator.client_connected(self.reactor.now(), client);
    }

    fn remove_link(&mut self, conn: ConnId, cause: &str) {
        let Some(link) = self.links.remove(&conn) else { return };
        self.link_conns.remove(&link.id);
        let now = self.reactor.now();
        match link.first_request {
            Some(_) => self.coordinator.dial_failed(now, link.id, cause),
            None => self.coordinator.link_lost(now, link.id, cause),
        }
    }

    /// Completes a response that ends with its connection.
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
            let since = self.coordinator.client_partial_since(*client);
            self.reactor.set_unfinished(conn, since.map(|since| Unfinished { since, held_bytes: 0 }));
            self.reactor.input_consumed(conn);
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
                    let keep_alive = ResponseReader::is_persistent(&response);
                    self.coordinator.answered(now, link.id, &response, keep_alive);
                }
                Ok(None) => {
                    if self.coordinator.is_event_stream(link.id) {
                        if let Some((status, bytes)) = link.reader.take_partial_body() {
                            self.coordinator.event_stream_input(now, link.id, status, &bytes);
                        }
                    }
                    break;
                }
                Err(cause) => {
                    self.reactor.close(conn);
                    return self.remove_link(conn, &cause.to_string());
                }
            }
        }
        self.reactor.input_consumed(conn);
    }

    /// Runs a turn of the coordinator and carries out the actions it returns.
    fn turn(&mut self) {
        let now = self.reactor.now();
        let ShellActions { client_actions, link_actions, log_events } = self.coordinator.turn(now);
        for event in &log_events {
            self.log.write(event);
        }
        client_actions.into_iter().for_each(|action| self.apply_client_action(action));
        link_actions.into_iter().for_each(|action| self.apply_link_action(action));
        // A timer that fires too early is harmless, whereas a new timer for each change would accumulate.
        if let Some(next) =
            self.coordinator.next_at(now).filter(|next| self.turn_at.is_none_or(|at| *next < at))
        {
            self.reactor.set_timer(next, Timer::Turn);
            self.turn_at = Some(next);
        }
    }

    fn apply_client_action(&mut self, action: ClientAction) {
        match action {
            ClientAction::AnswerHeartbeat(id) => self.answer_heartbeat(id),
            ClientAction::LogMalformedReport(cause, line) => {
                debug!(cause = sanitize(&cause.to_string()), line, "skipped a malformed report")
            }
            ClientAction::RaiseInputLimit(id) => {
                if let Some(conn) = self.client_conns.get(&id) {
                    self.reactor.limit_input(*conn, messages::MAX_MESSAGE_BYTES);
                }
            }
            ClientAction::Reject(id, cause) => self.reject(id, &cause),
            ClientAction::Evict(id, cause) => self.evict(id, &cause),
            ClientAction::CloseIfStuck(id) => self.close_if_stuck(id),
            ClientAction::Close(id, cause) => {
                self.log.write(&LogEvent::ClientClosed { client: id, cause: cause.to_string() });
                if let Some(conn) = self.remove_client(id, CloseReason::Dropped) {
                    self.reactor.close_gracefully(conn);
                }
            }
        }
    }

    fn answer_heartbeat(&mut self, id: ClientId) {
        let Some(conn) = self.client_conns.get(&id).copied() else { return };
        let line = Bytes::from_static(messages::heartbeat_answer());
        match self.reactor.send(conn, [line]) {
            Ok(()) => self.coordinator.client_answered(id, self.reactor.unsent_bytes(conn) > 0),
            Err(SendError::Closed) => {
                self.remove_client(id, CloseReason::ByPeer);
            }
            Err(SendError::Full) => self.close_unread(id),
        }
    }

    /// Sends a client the reason for its rejection, which is its final answer, and closes the connection.
    fn reject(&mut self, id: ClientId, cause: &str) {
        self.log.write(&LogEvent::ClientRejected { client: id, cause: cause.to_owned() });
        let Some(conn) = self.remove_client(id, CloseReason::Rejected) else { return };
        let _ = self.reactor.send(conn, [Bytes::from(messages::reject(cause))]);
        self.reactor.close_gracefully(conn);
    }

    /// Closes an idle connection, unless the client has sent a request meanwhile.
    fn evict(&mut self, id: ClientId, cause: &str) {
        let Some(conn) = self.client_conns.get(&id).copied() else { return };
        if self.reactor.read_pending(conn) {
            self.read(conn);
        } else if !self.coordinator.has_pending(id) {
            self.reject(id, cause);
        } else {
            self.close_if_stuck(id);
        }
    }

    /// Closes the connection of a client that has not read its answers for some time.
    fn close_if_stuck(&mut self, id: ClientId) {
        let Some(conn) = self.client_conns.get(&id).copied() else { return };
        if self.reactor.write_stalled_for(conn) >= STUCK_TIMEOUT {
            self.close_unread(id);
        }
    }

    /// Removes a client and returns its connection, which the caller closes.
    fn remove_client(&mut self, id: ClientId, reason: CloseReason) -> Option<ConnId> {
        self.coordinator.client_closed(id, reason);
        let conn = self.client_conns.remove(&id)?;
        self.clients.remove(&conn);
        Some(conn)
    }

    /// Dials. A local failure says nothing about the peer: it is not reported as a lost link, and the dial is
    /// retried.
    fn dial(&mut self, id: LinkId, address: SocketAddr, request: Bytes) {
        match self.reactor.connect(address) {
            Ok(conn) => {
                let reader = ResponseReader::new(HttpLimits::default());
                self.links.insert(conn, Link { id, reader, first_request: Some(request) });
                self.link_conns.insert(id, conn);
            }
            Err(cause) if is_local_failure(&cause) => {
                debug!(%address, %cause, "dial failed locally; retrying");
                if self.redials.is_empty() {
                    self.reactor.set_timer(self.reactor.now() + REDIAL_DELAY, Timer::Redial);
                }
                self.redials.push(Redial { id, address, request });
            }
            Err(cause) => self.coordinator.dial_failed(self.reactor.now(), id, &cause.to_string()),
        }
    }

    fn apply_link_action(&mut self, action: LinkAction) {
        match action {
            LinkAction::Dial { link, address, request } => self.dial(link, address, request),
            LinkAction::Send { link, request } => {
                let Some(conn) = self.link_conns.get(&link).copied() else { return };
                if self.reactor.send(conn, [request]).is_err() {
                    self.reactor.close(conn);
                    self.remove_link(conn, "the connection accepts no more output");
                }
            }
            LinkAction::Close { link } => {
                self.redials.retain(|redial| redial.id != link);
                if let Some(conn) = self.link_conns.remove(&link) {
                    self.links.remove(&conn);
                    self.reactor.close(conn);
                }
            }
        }
    }
}
