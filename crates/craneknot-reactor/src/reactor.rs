//! The loop itself.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};

use crate::clock::Clock;
use crate::conn::{Closing, Conn};
use crate::signals::{self, SignalFlags};
use crate::system_errors::{is_failed_connection, is_shortage};
use crate::timers::{TimerId, Timers};

/// What one loop and one connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes read ahead of their use, a connection; beyond it nothing more is read.
    pub input: usize,
    /// Bytes waiting to be written, a connection; beyond it [`Reactor::send`] refuses.
    pub output: usize,
    /// Accepted connections at once; beyond it new ones wait in the system's queue. Dialled ones do not count: peers
    /// that dial in must not keep the owner from dialling out.
    pub connections: usize,
    /// Connections accepted in one poll: the owner looks at these before more come.
    pub accepts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { input: 256 * 1024, output: 16 * 1024 * 1024, connections: 16_000, accepts: 256 }
    }
}

/// A connection; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    key: usize,
    made: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId {
    key: usize,
    made: u64,
}

#[derive(Debug)]
pub enum CloseCause {
    PeerClosed,
    ConnectFailed(io::Error),
    Broken(io::Error),
}

#[derive(Debug)]
pub enum SendError {
    /// The connection is gone.
    Gone,
    /// More bytes would wait than the limit allows.
    Full,
}

/// What has happened since the last look.
#[derive(Debug)]
pub enum Happened<T> {
    Accepted {
        listener: ListenerId,
        conn: ConnId,
        from: SocketAddr,
    },
    Connected {
        conn: ConnId,
    },
    /// Bytes came in; see [`Reactor::input`].
    Came {
        conn: ConnId,
    },
    /// All that waited has been written.
    Flushed {
        conn: ConnId,
    },
    /// The connection has ended; the id is void from now on.
    Closed {
        conn: ConnId,
        cause: CloseCause,
    },
    Timer(T),
    /// A watched descriptor, by the number given for it, can be read.
    Ready(usize),
    Signal(i32),
}

enum Source {
    Listener(Listener),
    Conn(Box<Conn>),
    Watched { number: usize, fd: OwnedFd },
    Wake { pipe: UnixStream },
}

struct Listener {
    made: u64,
    socket: TcpListener,
    /// Connections that the owner has room for, until it says anew.
    room: usize,
    /// Out of descriptors or buffers: accepting rests until the next round.
    resting: bool,
    /// The owner takes no more than those that the system has connected already.
    closing: bool,
    /// The poller tells of new connections.
    watched: bool,
}

pub struct Reactor<T> {
    poller: Poller,
    events: Events,
    sources: Slab<Source>,
    timers: Timers<T>,
    clock: Arc<dyn Clock>,
    limits: Limits,
    happened: VecDeque<Happened<T>>,
    conns: usize,
    accepted: usize,
    made: u64,
    listeners: Vec<usize>,
    /// Accepted, but not known to the poller yet: the system had no room.
    unregistered: Vec<(ListenerId, TcpStream, SocketAddr)>,
    /// Connections whose interest could not be set.
    unarmed: Vec<usize>,
    lingering: Vec<ConnId>,
    signals: SignalFlags,
    system_failures: u64,
}

const RETRY_AFTER: Duration = Duration::from_millis(50); // until a system call that failed for a moment is made again
const SIGNALS_SEEN_WITHIN: Duration = Duration::from_millis(100); // a signal whose wake-up byte was lost is seen by then
const LINGER: Nanos = Nanos::from_millis(300); // ms; for a peer to see our end before its connection is closed
const FLUSH_LOOK: Duration = Duration::from_millis(10); // between looks at the time while the last bytes are written
const LINGERING_MOST: usize = 32; // connections that linger at once: they hold descriptors

impl<T> Reactor<T> {
    pub fn new(clock: Arc<dyn Clock>, limits: Limits) -> io::Result<Self> {
        Ok(Reactor {
            poller: Poller::new()?,
            events: Events::new(),
            sources: Slab::new(),
            timers: Timers::default(),
            clock,
            limits,
            happened: VecDeque::new(),
            conns: 0,
            accepted: 0,
            made: 0,
            listeners: Vec::new(),
            unregistered: Vec::new(),
            unarmed: Vec::new(),
            lingering: Vec::new(),
            signals: SignalFlags::default(),
            system_failures: 0,
        })
    }

    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Connections that stand, dialled ones included.
    pub fn connections(&self) -> usize {
        self.conns
    }

    /// System calls that failed for a moment and were made again.
    pub fn system_failures(&self) -> u64 {
        self.system_failures
    }

    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        self.listen_as(address, false)
    }

    /// Listens at an address that another socket of ours keeps: see [`reserve`].
    pub fn listen_reserved(&mut self, address: SocketAddr) -> io::Result<ListenerId> {
        self.listen_as(address, true).map(|(listener, _)| listener)
    }

    fn listen_as(&mut self, address: SocketAddr, shared: bool) -> io::Result<(ListenerId, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(4096)?;
        let socket: TcpListener = socket.into();
        let local = socket.local_addr()?;
        self.made += 1;
        let made = self.made;
        let listener =
            Listener { made, socket, room: usize::MAX, resting: false, closing: false, watched: true };
        let key = self.sources.insert(Source::Listener(listener));
        let Some(Source::Listener(listener)) = self.sources.get(key) else { unreachable!() };
        // SAFETY: the source is deleted from the poller before it is dropped.
        let added =
            unsafe { self.poller.add_with_mode(&listener.socket, Event::readable(key), PollMode::Level) };
        if let Err(cause) = added {
            self.sources.remove(key);
            return Err(cause);
        }
        self.listeners.push(key);
        Ok((ListenerId { key, made }, local))
    }

    fn listener_mut(&mut self, id: ListenerId) -> Option<&mut Listener> {
        match self.sources.get_mut(id.key) {
            Some(Source::Listener(listener)) if listener.made == id.made => Some(listener),
            Some(_) | None => None,
        }
    }

    /// Accepts so many connections of a listener until told anew; all others wait in the system's queue.
    pub fn set_accept_room(&mut self, id: ListenerId, room: usize) {
        if let Some(listener) = self.listener_mut(id) {
            listener.room = room;
        }
    }

    /// Whether a listener stands: one that was told to end stands while connections wait that it has no room for.
    pub fn is_listening(&self, id: ListenerId) -> bool {
        matches!(self.sources.get(id.key), Some(Source::Listener(listener)) if listener.made == id.made)
    }

    /// Takes no more connections. Those that the system has completed already are accepted first, as room allows:
    /// they would be reset with the listener.
    pub fn unlisten(&mut self, id: ListenerId) {
        if let Some(listener) = self.listener_mut(id) {
            listener.closing = true;
            self.accept(id.key, usize::MAX);
        }
    }

    fn remove_listener(&mut self, key: usize) {
        if let Source::Listener(listener) = self.sources.remove(key) {
            let _ = self.poller.delete(&listener.socket);
        }
        self.listeners.retain(|listener| *listener != key);
    }

    /// Dials; [`Happened::Connected`] or [`Happened::Closed`] tells how it went.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // Interrupted, it goes on in the background, as one that is in progress does.
            Err(cause)
                if cause.raw_os_error() == Some(libc::EINPROGRESS)
                    || matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(cause) => return Err(cause),
        }
        self.add_conn(socket.into(), false).map_err(|(_, cause)| cause)
    }

    fn add_conn(&mut self, socket: TcpStream, accepted: bool) -> Result<ConnId, (TcpStream, io::Error)> {
        let _ = socket.set_nodelay(true);
        self.made += 1;
        let made = self.made;
        let conn = Conn::new(socket, accepted, made, self.clock.now(), self.limits.input);
        let wanted = conn.wanted;
        let key = self.sources.insert(Source::Conn(Box::new(conn)));
        let Some(Source::Conn(conn)) = self.sources.get(key) else { unreachable!() };
        let interest = Event::new(key, wanted.0, wanted.1);
        // SAFETY: the source is deleted from the poller before it is dropped.
        let added = unsafe { self.poller.add_with_mode(&conn.socket, interest, PollMode::Level) };
        if let Err(cause) = added {
            let Source::Conn(conn) = self.sources.remove(key) else { unreachable!() };
            return Err((conn.socket, cause));
        }
        self.conns += 1;
        self.accepted += usize::from(accepted);
        Ok(ConnId { key, made })
    }

    /// Tells when a descriptor can be read, by a number of the caller's.
    pub fn watch(&mut self, fd: &impl AsFd, number: usize) -> io::Result<()> {
        let fd = fd.as_fd().try_clone_to_owned()?;
        let key = self.sources.insert(Source::Watched { number, fd });
        let Some(Source::Watched { fd, .. }) = self.sources.get(key) else { unreachable!() };
        // SAFETY: the reactor owns its copy of the descriptor for as long as it stands in the poller.
        unsafe { self.poller.add_with_mode(fd, Event::readable(key), PollMode::Level) }
    }

    /// From now on the signal no longer ends the process but happens here.
    pub fn signal(&mut self, number: i32) -> io::Result<()> {
        let mut flags = SignalFlags::default();
        flags.add(number)?;
        self.heed(flags);
        Ok(())
    }

    /// Tells of these signals from now on. Where no pipe can be had to wake the loop with, they are seen a little later.
    pub fn heed(&mut self, flags: SignalFlags) {
        let added = signals::wake_pipe(&flags.numbers()).and_then(|pipe| {
            let key = self.sources.insert(Source::Wake { pipe });
            let Some(Source::Wake { pipe }) = self.sources.get(key) else { unreachable!() };
            // SAFETY: the reactor owns the pipe for as long as it stands in the poller.
            let added = unsafe { self.poller.add_with_mode(pipe, Event::readable(key), PollMode::Level) };
            added.inspect_err(|_| drop(self.sources.remove(key)))
        });
        self.system_failures += u64::from(added.is_err());
        self.signals.extend(flags);
    }

    pub fn set_timer(&mut self, at: Nanos, what: T) -> TimerId {
        self.timers.set(at, what)
    }

    pub fn withdraw_timer(&mut self, id: TimerId) -> Option<T> {
        self.timers.withdraw(id)
    }

    fn conn(&self, id: ConnId) -> Option<&Conn> {
        match self.sources.get(id.key) {
            Some(Source::Conn(conn)) if conn.made == id.made => Some(conn),
            Some(_) | None => None,
        }
    }

    fn conn_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        match self.sources.get_mut(id.key) {
            Some(Source::Conn(conn)) if conn.made == id.made => Some(conn),
            Some(_) | None => None,
        }
    }

    /// What has come in and was not taken yet; the caller takes from its front.
    pub fn input(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.conn_mut(id).map(|conn| &mut conn.input)
    }

    /// Reads at most so many bytes of a connection ahead of their use: less where a peer is not known yet.
    pub fn limit_input(&mut self, id: ConnId, most: usize) {
        if let Some(conn) = self.conn_mut(id) {
            conn.input_most = most;
            self.rearm(id.key);
        }
    }

    /// Bytes waiting to be written.
    pub fn waiting(&self, id: ConnId) -> usize {
        self.conn(id).map_or(0, |conn| conn.waiting)
    }

    /// How long bytes have waited without any leaving.
    pub fn stuck(&self, id: ConnId) -> Nanos {
        let now = self.clock.now();
        self.conn(id).filter(|conn| conn.waiting > 0).map_or(Nanos(0), |conn| now - conn.progress)
    }

    /// Reads no more of a connection, or goes on: back pressure by choice.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        if let Some(conn) = self.conn_mut(id) {
            conn.paused = paused;
            self.rearm(id.key);
        }
    }

    /// Queues chunks to be written in order; shared bytes are not copied.
    pub fn send(&mut self, id: ConnId, chunks: impl IntoIterator<Item = Bytes>) -> Result<(), SendError> {
        let (now, limit) = (self.clock.now(), self.limits.output);
        let conn = self.conn_mut(id).filter(|conn| conn.closing == Closing::No && !conn.ended);
        let conn = conn.ok_or(SendError::Gone)?;
        let chunks: Vec<Bytes> = chunks.into_iter().filter(|chunk| !chunk.is_empty()).collect();
        let added: usize = chunks.iter().map(Bytes::len).sum();
        if conn.waiting + added > limit {
            return Err(SendError::Full);
        }
        if conn.waiting == 0 {
            conn.progress = now;
        }
        conn.waiting += added;
        conn.output.extend(chunks);
        if !conn.connecting {
            // An error shows again when the poller looks.
            let _ = conn.write_some(now);
        }
        self.rearm(id.key);
        Ok(())
    }

    /// Closes at once; what waits is lost. Nothing happens for it any more.
    pub fn close(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            self.remove_conn(id.key);
        }
    }

    /// Ends with a reset in place of an orderly close, as a process does that dies.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = socket2::SockRef::from(&conn.socket).set_linger(Some(Duration::ZERO));
            self.remove_conn(id.key);
        }
    }

    /// Closes once all that waits is written and the peer has seen the end, or 300 ms have passed.
    pub fn finish(&mut self, id: ConnId) {
        let Some(conn) = self.conn_mut(id) else { return };
        conn.closing = Closing::AfterOutput;
        if conn.waiting == 0 {
            self.linger(id.key);
        } else {
            self.rearm(id.key);
        }
    }

    /// Shuts our side of a connection on which nothing waits; it closes once the peer has ended too.
    fn linger(&mut self, key: usize) {
        let until = self.clock.now() + LINGER;
        let room = self.lingering.len() < LINGERING_MOST;
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, made: conn.made };
        if !room || conn.ended || conn.connecting || !conn.begin_linger(until) || conn.discard_input() {
            return self.remove_conn(key);
        }
        self.lingering.push(id);
        self.rearm(key);
    }

    /// Closes the connections that have lingered for long enough.
    fn end_lingering(&mut self, now: Nanos) {
        let is_over = |conn: &Conn| matches!(conn.closing, Closing::Lingering { until } if until <= now);
        for id in std::mem::take(&mut self.lingering) {
            match self.conn(id) {
                None => {}
                Some(conn) if is_over(conn) => self.remove_conn(id.key),
                Some(_) => self.lingering.push(id),
            }
        }
    }

    fn remove_conn(&mut self, key: usize) {
        if let Source::Conn(conn) = self.sources.remove(key) {
            let _ = self.poller.delete(&conn.socket);
            self.conns -= 1;
            self.accepted -= usize::from(conn.accepted);
        }
    }

    fn rearm(&mut self, key: usize) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let wanted = conn.interest();
        if wanted == conn.wanted {
            return;
        }
        let interest = Event::new(key, wanted.0, wanted.1);
        match self.poller.modify_with_mode(&conn.socket, interest, PollMode::Level) {
            Ok(()) => conn.wanted = wanted,
            Err(_) => {
                self.system_failures += 1;
                self.unarmed.push(key);
            }
        }
    }

    /// Whether bytes have come that are not read yet; they are read now. For an owner that is about to close.
    pub fn read_last(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conn_mut(id).filter(|conn| !conn.ended && !conn.connecting) else {
            return false;
        };
        let before = conn.input.len();
        if conn.closing == Closing::No {
            // An end or an error is told by the poller.
            let _ = conn.read_some();
        }
        conn.input.len() > before
    }

    /// The next thing that has happened; nothing: time to [`Reactor::poll`] again.
    pub fn happened(&mut self) -> Option<Happened<T>> {
        loop {
            let happened = self.happened.pop_front()?;
            match happened {
                // Closed meanwhile by the owner: no longer of interest.
                Happened::Came { conn } | Happened::Connected { conn } | Happened::Flushed { conn }
                    if self.conn(conn).is_none() => {}
                Happened::Accepted { conn, .. } if self.conn(conn).is_none() => {}
                Happened::Closed { conn, cause } => {
                    if self.conn(conn).is_some() {
                        self.remove_conn(conn.key);
                        return Some(Happened::Closed { conn, cause });
                    }
                }
                other => return Some(other),
            }
        }
    }

    /// Waits until something happens, a timer is due or `most` has passed, and gathers it. A shortage of the system
    /// is waited out; an error is final.
    pub fn poll(&mut self, most: Option<Duration>) -> io::Result<()> {
        self.retry_system_calls();
        let wait = self.wait(most);
        self.events.clear();
        match self.poller.wait(&mut self.events, wait) {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) if is_shortage(&cause) => {
                self.system_failures += 1;
                std::thread::sleep(RETRY_AFTER);
            }
            Err(cause) => return Err(cause),
        }
        let seen: Vec<Event> = self.events.iter().collect();
        for event in seen {
            self.look(event);
        }
        self.happened.extend(self.signals.take().into_iter().map(Happened::Signal));
        let now = self.clock.now();
        self.end_lingering(now);
        while let Some(what) = self.timers.due(now) {
            self.happened.push_back(Happened::Timer(what));
        }
        Ok(())
    }

    /// Before the owner ends: writes what waits on any connection, for so long at most. What happens meanwhile is dropped.
    pub fn flush(&mut self, most: Duration) -> io::Result<()> {
        let until = Instant::now() + most;
        let waits = |source: &Source| matches!(source, Source::Conn(conn) if conn.waiting > 0 && !conn.ended);
        while self.sources.iter().any(|(_, source)| waits(source)) && Instant::now() < until {
            self.happened.clear();
            self.poll(Some(FLUSH_LOOK))?;
        }
        Ok(())
    }

    /// How long the next wait may last.
    fn wait(&self, most: Option<Duration>) -> Option<Duration> {
        if self.clock.is_driven() || !self.happened.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        let linger = self.lingering.iter().filter_map(|id| match self.conn(*id)?.closing {
            Closing::Lingering { until } => Some(until),
            Closing::No | Closing::AfterOutput => None,
        });
        let until = self.timers.next_at().into_iter().chain(linger).min();
        let until = until.map(|at| Duration::from_nanos((at - now).0));
        let is_resting =
            |key: &usize| matches!(self.sources.get(*key), Some(Source::Listener(l)) if l.resting);
        let retries = !self.unregistered.is_empty()
            || !self.unarmed.is_empty()
            || self.listeners.iter().any(is_resting);
        let retry = retries.then_some(RETRY_AFTER);
        let signals = (!self.signals.is_empty()).then_some(SIGNALS_SEEN_WITHIN);
        [most, until, retry, signals].into_iter().flatten().min()
    }

    /// Makes the calls again that failed for a moment, and watches each listener that has room.
    fn retry_system_calls(&mut self) {
        for (listener, stream, from) in std::mem::take(&mut self.unregistered) {
            self.take_in(listener, stream, from);
        }
        for key in std::mem::take(&mut self.unarmed) {
            self.rearm(key);
        }
        for key in self.listeners.clone() {
            self.rearm_listener(key);
        }
    }

    fn rearm_listener(&mut self, key: usize) {
        let has_room = self.accepted < self.limits.connections;
        let Some(Source::Listener(listener)) = self.sources.get_mut(key) else { return };
        listener.resting = false;
        let wanted = has_room && listener.room > 0;
        if wanted != listener.watched {
            let interest = if wanted { Event::readable(key) } else { Event::none(key) };
            match self.poller.modify_with_mode(&listener.socket, interest, PollMode::Level) {
                Ok(()) => listener.watched = wanted,
                Err(_) => {
                    self.system_failures += 1;
                    listener.resting = true;
                }
            }
        }
        if listener.closing && wanted {
            // The poller does not tell that nobody waits any more.
            self.accept(key, self.limits.accepts);
        }
    }

    fn look(&mut self, event: Event) {
        let key = event.key;
        match self.sources.get_mut(key) {
            None => {}
            Some(Source::Watched { number, .. }) => self.happened.push_back(Happened::Ready(*number)),
            Some(Source::Wake { pipe }) => signals::drain(pipe),
            Some(Source::Listener(_)) => self.accept(key, self.limits.accepts),
            Some(Source::Conn(_)) => self.serve(key, event),
        }
    }

    /// A storm of connections must not hold up those that stand: so many at a time, and no more than there is room
    /// for. Who is not accepted waits in the system's queue.
    fn accept(&mut self, key: usize, most: usize) {
        for _ in 0..most {
            let has_room = self.accepted + self.unregistered.len() < self.limits.connections;
            let Some(Source::Listener(listener)) = self.sources.get_mut(key) else { return };
            if !has_room || listener.room == 0 || listener.resting {
                return;
            }
            let id = ListenerId { key, made: listener.made };
            match listener.socket.accept() {
                Ok((stream, from)) => {
                    listener.room -= 1;
                    self.take_in(id, stream, from);
                }
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                    if listener.closing {
                        self.remove_listener(key);
                    }
                    return;
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted || is_failed_connection(&cause) => {}
                Err(_) => {
                    // Out of descriptors or buffers: without a rest the loop would spin.
                    listener.resting = true;
                    self.system_failures += 1;
                    return;
                }
            }
        }
    }

    /// Takes in an accepted connection; where the poller has no room for it, it is held until it has.
    fn take_in(&mut self, listener: ListenerId, stream: TcpStream, from: SocketAddr) {
        if stream.set_nonblocking(true).is_err() {
            self.system_failures += 1;
            return self.unregistered.push((listener, stream, from));
        }
        match self.add_conn(stream, true) {
            Ok(conn) => self.happened.push_back(Happened::Accepted { listener, conn, from }),
            Err((stream, _)) => {
                self.system_failures += 1;
                self.unregistered.push((listener, stream, from));
            }
        }
    }

    fn serve(&mut self, key: usize, event: Event) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        if conn.ended {
            return;
        }
        if matches!(conn.closing, Closing::Lingering { .. }) {
            if conn.discard_input() {
                self.remove_conn(key);
            }
            return;
        }
        if conn.connecting && !self.connected(key) {
            return;
        }
        let mut end = self.write_waiting(key);
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, made: conn.made };
        if event.readable && !conn.paused && end.is_none() && conn.closing == Closing::No && !conn.read_closed
        {
            let before = conn.input.len();
            end = conn.read_some();
            if conn.input.len() > before {
                self.happened.push_back(Happened::Came { conn: id });
            }
        }
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        match end {
            // A peer that has shut its sending side reads on: what waits for it is written first.
            Some(CloseCause::PeerClosed) if conn.waiting > 0 => conn.read_closed = true,
            Some(cause) => {
                conn.ended = true;
                self.happened.push_back(Happened::Closed { conn: id, cause });
            }
            None => {}
        }
        self.rearm(key);
    }

    /// Looks how a dial went; true: the connection stands.
    fn connected(&mut self, key: usize) -> bool {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return false };
        let id = ConnId { key, made: conn.made };
        match conn.socket.take_error() {
            Ok(None) if conn.socket.peer_addr().is_ok() => {
                conn.connecting = false;
                self.happened.push_back(Happened::Connected { conn: id });
                true
            }
            Ok(None) => false,
            Ok(Some(cause)) | Err(cause) => {
                conn.ended = true;
                let cause = CloseCause::ConnectFailed(cause);
                self.happened.push_back(Happened::Closed { conn: id, cause });
                self.rearm(key);
                false
            }
        }
    }

    /// Writes what waits; gives why the connection ends, if it does.
    fn write_waiting(&mut self, key: usize) -> Option<CloseCause> {
        let now = self.clock.now();
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return None };
        if conn.waiting == 0 {
            return None;
        }
        let id = ConnId { key, made: conn.made };
        let written = conn.write_some(now);
        let (is_empty, closing, read_closed) = (conn.waiting == 0, conn.closing, conn.read_closed);
        match (written, closing) {
            (Ok(()), Closing::AfterOutput) if is_empty => {
                self.linger(key);
                None
            }
            (Err(_), Closing::AfterOutput) => {
                self.remove_conn(key);
                None
            }
            (Ok(()), _) if is_empty => {
                self.happened.push_back(Happened::Flushed { conn: id });
                read_closed.then_some(CloseCause::PeerClosed)
            }
            (Ok(()), _) => None,
            (Err(cause), _) => Some(CloseCause::Broken(cause)),
        }
    }

    /// To be called after taking input: reading goes on where the buffer was full.
    pub fn taken(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            self.rearm(id.key);
        }
    }

    pub fn local_address(&self, id: ConnId) -> Option<SocketAddr> {
        self.conn(id).and_then(|conn| conn.socket.local_addr().ok())
    }
}

impl<T> Drop for Reactor<T> {
    fn drop(&mut self) {
        for (_, source) in self.sources.iter() {
            let fd = match source {
                Source::Listener(listener) => listener.socket.as_fd(),
                Source::Conn(conn) => conn.socket.as_fd(),
                Source::Watched { fd, .. } => fd.as_fd(),
                Source::Wake { pipe } => pipe.as_fd(),
            };
            debug_assert!(fd.as_raw_fd() >= 0);
            let _ = self.poller.delete(fd);
        }
    }
}

/// Keeps an address without listening, so that no dial of the system takes its port while nothing listens there.
pub fn reserve(address: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    let kept = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
    Ok((socket, kept))
}
