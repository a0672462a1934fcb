//! The coordinator on sockets.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use craneknot_http::{Limits as HttpLimits, ResponseReader};
use craneknot_platform::config::Config;
use craneknot_platform::lines;
use craneknot_reactor::{Clock, CloseCause, ConnId, Happened, Limits, ListenerId, Reactor};
use tracing::{debug, error, info, warn};

use crate::desk::{Desk, Todo};
use crate::door::{Door, GuestId, Service};
use crate::link::{Act, LinkId};

const HANG_UP: i32 = 1; // SIGHUP
const OUTPUT: usize = 512 * 1024; // bytes waiting for a peer: a call carries far less, a guest gets single lines
const SPARE: usize = 48; // descriptors for the loop, the log, the coordinator's own links
const SHUTDOWN_MOST: Nanos = Nanos::from_millis(500); // ms; the platform kills no sooner than 700 ms after SIGTERM
const STATUS_EVERY: Nanos = Nanos::from_millis(5_000); // ms; one line in the log

/// What ends the program.
#[derive(Debug)]
pub enum Ended {
    /// By a signal, with nothing owed; or with what was still owed when its time was over.
    Asked,
    Failed(io::Error),
}

enum Due {
    Turn,
    Status,
    Shutdown,
}

/// A connection that was dialled.
struct Link {
    id: LinkId,
    reader: ResponseReader,
    /// What is sent once it stands.
    first: Option<Bytes>,
}

pub struct Shell {
    file: PathBuf,
    reactor: Reactor<Due>,
    desk: Desk,
    listener: ListenerId,
    address: SocketAddr,
    guests: BTreeMap<ConnId, GuestId>,
    guest_conns: BTreeMap<GuestId, ConnId>,
    links: BTreeMap<ConnId, Link>,
    link_conns: BTreeMap<LinkId, ConnId>,
    next_guest: u64,
    turn_at: Option<Nanos>,
    /// A signal has asked for the end.
    shutting_down: bool,
}

fn read_config(file: &Path) -> Result<Config, String> {
    let text = fs::read(file).map_err(|cause| format!("{}: {cause}", file.display()))?;
    Config::read(&text).map_err(|cause| format!("{}: {cause}", file.display()))
}

/// Why a coordinator does not start.
#[derive(Debug)]
pub enum NoStart {
    Config(String),
    System(io::Error),
}

impl From<io::Error> for NoStart {
    fn from(cause: io::Error) -> Self {
        NoStart::System(cause)
    }
}

impl Shell {
    /// Reads its configuration and listens. Any of the signals `ends` asks it to end; SIGHUP has the configuration
    /// read again.
    pub fn new(file: &Path, clock: Arc<dyn Clock>, ends: &[i32]) -> Result<Self, NoStart> {
        let config = read_config(file).map_err(NoStart::Config)?;
        let limits = Limits {
            input: 256 * 1024,
            output: OUTPUT,
            connections: config.sockets.saturating_sub(SPARE).max(8),
            accepts: Door::accepts(config.sockets),
        };
        let mut reactor = Reactor::new(clock, limits)?;
        // Before anybody can reach it: a signal that is not heeded yet would end it at once.
        ends.iter().chain(&[HANG_UP]).try_for_each(|signal| reactor.signal(*signal))?;
        let now = reactor.now();
        let (listener, address) = reactor.listen(config.listen)?;
        info!(
            coordinator = %config.name, %address, relay = %config.relay, discovery = %config.discovery,
            "listening"
        );
        let desk = Desk::new(config, now);
        reactor.set_timer(now + STATUS_EVERY, Due::Status);
        Ok(Shell {
            file: file.to_owned(),
            reactor,
            desk,
            listener,
            address,
            guests: BTreeMap::new(),
            guest_conns: BTreeMap::new(),
            links: BTreeMap::new(),
            link_conns: BTreeMap::new(),
            next_guest: 0,
            turn_at: None,
            shutting_down: false,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
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
        if self.shutting_down && self.desk.settled() {
            return Ok(false);
        }
        self.reactor.poll(None)?;
        while let Some(happened) = self.reactor.happened() {
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
                Happened::Flushed { .. } | Happened::Ready(_) => {}
                Happened::Closed { conn, cause } => {
                    if let Some(guest) = self.guests.remove(&conn) {
                        self.guest_conns.remove(&guest);
                        self.desk.guest_gone(guest);
                    }
                    if matches!(cause, CloseCause::PeerClosed) {
                        self.end_response(conn);
                    }
                    self.lose_link(conn, &format!("{cause:?}"));
                }
                Happened::Timer(Due::Turn) => self.turn_at = None,
                Happened::Timer(Due::Status) => {
                    info!(status = ?self.desk.status(), connections = self.reactor.connections(), "status");
                    self.tell_beliefs();
                    self.reactor.set_timer(self.reactor.now() + STATUS_EVERY, Due::Status);
                }
                Happened::Timer(Due::Shutdown) => {
                    warn!(status = ?self.desk.status(), "shutting down with this still owed");
                    return Ok(false);
                }
                Happened::Signal(HANG_UP) => self.reload(),
                Happened::Signal(signal) if self.shutting_down => {
                    info!(signal, "shutting down at once: asked again");
                    return Ok(false);
                }
                Happened::Signal(signal) => self.shut_down(signal),
            }
        }
        Ok(true)
    }

    /// Takes nobody in any more, and stays until what is owed is done: those accepted are answered, and orders go out.
    fn shut_down(&mut self, signal: i32) {
        info!(signal, "shutting down");
        self.shutting_down = true;
        self.reactor.unlisten(self.listener);
        self.desk.shut_down();
        self.reactor.set_timer(self.reactor.now() + SHUTDOWN_MOST, Due::Shutdown);
    }

    fn reload(&mut self) {
        if self.shutting_down {
            return;
        }
        match read_config(&self.file) {
            Ok(config) => {
                info!(relay = %config.relay, discovery = %config.discovery, "a new configuration");
                self.desk.reconfigure(self.reactor.now(), &config);
            }
            Err(cause) => error!(%cause, "the configuration is not in order; the old one stands"),
        }
    }

    /// What the decisions believe, to be held against what passes.
    fn tell_beliefs(&self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let controller = self.desk.controller();
        debug!(best_yield = controller.best_yield(), "beliefs");
        for (number, group) in controller.beliefs().iter().enumerate() {
            debug!(
                number, zone = ?group.zone, load = ?group.load, limit = group.limit, arrives = group.arrives,
                handled = group.handled, wait = group.wait, unanswered = group.unanswered, busy = group.busy,
                weight = group.weight, listed = group.listed, members = ?group.members, "group"
            );
        }
    }

    fn accept(&mut self, conn: ConnId) {
        self.next_guest += 1;
        let guest = GuestId(self.next_guest);
        self.reactor.limit_input(conn, Door::first_room());
        self.guests.insert(conn, guest);
        self.guest_conns.insert(guest, conn);
        self.desk.guest_came(self.reactor.now(), guest);
    }

    fn lose_link(&mut self, conn: ConnId, cause: &str) {
        if let Some(link) = self.links.remove(&conn) {
            self.link_conns.remove(&link.id);
            self.desk.link_lost(self.reactor.now(), link.id, cause);
        }
    }

    /// A response may end with its connection.
    fn end_response(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        let Some(link) = self.links.get_mut(&conn) else { return };
        if let Ok(Some(response)) = link.reader.next(&mut BytesMut::new(), true, now) {
            self.desk.answered(now, link.id, &response, false);
        }
    }

    fn read(&mut self, conn: ConnId) {
        let now = self.reactor.now();
        if let Some(guest) = self.guests.get(&conn) {
            if let Some(input) = self.reactor.input(conn) {
                self.desk.guest_input(now, *guest, input);
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
                    self.desk.answered(now, link.id, &response, keeps);
                }
                Ok(None) => {
                    if self.desk.is_event_stream(link.id) {
                        if let Some((status, bytes)) = link.reader.take_part() {
                            self.desk.event_stream_input(now, link.id, status, &bytes);
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

    /// Lets the desk act, and carries out what it asks for.
    fn turn(&mut self) {
        let now = self.reactor.now();
        let Todo { services, acts, notes } = self.desk.turn(now);
        notes.iter().for_each(|note| warn!("{note}"));
        services.into_iter().for_each(|service| self.serve(service));
        acts.into_iter().for_each(|act| self.act(act));
        // One timer that comes too early does no harm; one for each change would pile up.
        if let Some(next) = self.desk.next_at(now).filter(|next| self.turn_at.is_none_or(|at| *next < at)) {
            self.reactor.set_timer(next, Due::Turn);
            self.turn_at = Some(next);
        }
    }

    fn serve(&mut self, service: Service) {
        let conn_of = |id: &GuestId| self.guest_conns.get(id).copied();
        match service {
            Service::Answer(id) => {
                let Some(conn) = conn_of(&id) else { return };
                let line = Bytes::from_static(lines::heartbeat_answer());
                if self.reactor.send(conn, [line]).is_err() {
                    self.forget(id, false);
                }
            }
            Service::Note(cause, line) => debug!(%cause, line, "left out a report"),
            Service::Widen(id) => {
                if let Some(conn) = conn_of(&id) {
                    self.reactor.limit_input(conn, lines::LONGEST);
                }
            }
            Service::Reject(id, cause) => {
                if let Some(conn) = conn_of(&id) {
                    let _ = self.reactor.send(conn, [Bytes::from(lines::reject(&cause))]);
                }
                self.forget(id, true);
            }
            Service::Close(id, cause) => {
                info!(guest = id.0, %cause, "closing");
                self.forget(id, false);
            }
        }
    }

    fn forget(&mut self, id: GuestId, politely: bool) {
        self.desk.guest_gone(id);
        let Some(conn) = self.guest_conns.remove(&id) else { return };
        self.guests.remove(&conn);
        if politely {
            self.reactor.finish(conn);
        } else {
            self.reactor.close(conn);
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Dial { link, address, request } => match self.reactor.connect(address) {
                Ok(conn) => {
                    let reader = ResponseReader::new(HttpLimits::default());
                    self.links.insert(conn, Link { id: link, reader, first: Some(request) });
                    self.link_conns.insert(link, conn);
                }
                Err(cause) => self.desk.link_lost(self.reactor.now(), link, &cause.to_string()),
            },
            Act::Send { link, request } => {
                let Some(conn) = self.link_conns.get(&link).copied() else { return };
                if self.reactor.send(conn, [request]).is_err() {
                    self.reactor.close(conn);
                    self.lose_link(conn, "nothing more can be sent");
                }
            }
            Act::Drop { link } => {
                if let Some(conn) = self.link_conns.remove(&link) {
                    self.links.remove(&conn);
                    self.reactor.close(conn);
                }
            }
        }
    }
}
