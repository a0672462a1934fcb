//! The loop itself.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use craneknot::interface::Nanos;
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};

use crate::clock::Clock;
use crate::timers::{TimerId, Timers};

/// What one loop and one connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes read ahead of their use, a connection; beyond it nothing more is read.
    pub input: usize,
    /// Bytes waiting to be written, a connection; beyond it [`Reactor::send`] refuses.
    pub output: usize,
    /// Accepted connections at once; beyond it new ones are closed on arrival. Dialled ones do not count: peers
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
    Listener { made: u64, socket: TcpListener },
    Conn(Box<Conn>),
    Watched { number: usize, fd: OwnedFd },
    Signal { number: i32, pipe: UnixStream },
}

struct Conn {
    made: u64,
    socket: TcpStream,
    accepted: bool,
    connecting: bool,
    input: BytesMut,
    output: VecDeque<Bytes>,
    waiting: usize,
    /// When a byte last left, or waiting began.
    progress: Nanos,
    closing: bool,
    ended: bool,
    paused: bool,
    wanted: (bool, bool),
    /// Bytes read ahead of their use.
    input_most: usize,
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
    resting: Vec<usize>,
    dropped: u64,
}

const REST: Duration = Duration::from_millis(100); // a listener rests so long when the system has no room
const READS: usize = 16; // of 16 KiB a turn and connection: a fast peer must not hold up others

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
            resting: Vec::new(),
            dropped: 0,
        })
    }

    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Connections that stand, dialled ones included.
    pub fn connections(&self) -> usize {
        self.conns
    }

    /// Connections closed on arrival because the limit was reached.
    pub fn turned_away(&self) -> u64 {
        self.dropped
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
        let key = self.sources.insert(Source::Listener { made, socket });
        let Some(Source::Listener { socket, .. }) = self.sources.get(key) else { unreachable!() };
        // SAFETY: the source is deleted from the poller before it is dropped.
        unsafe { self.poller.add_with_mode(socket, Event::readable(key), PollMode::Level)? };
        Ok((ListenerId { key, made }, local))
    }

    /// Takes no more connections. Those that the system has completed already are accepted first: they would be
    /// reset with the listener.
    pub fn unlisten(&mut self, listener: ListenerId) {
        let stands = matches!(self.sources.get(listener.key), Some(Source::Listener { made, .. }) if *made == listener.made);
        if stands {
            self.accept(listener.key, usize::MAX);
            let Source::Listener { socket, .. } = self.sources.remove(listener.key) else { unreachable!() };
            let _ = self.poller.delete(&socket);
        }
    }

    /// Dials; [`Happened::Connected`] or [`Happened::Closed`] tells how it went.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(cause) if cause.raw_os_error() == Some(115) || cause.kind() == ErrorKind::WouldBlock => {}
            Err(cause) => return Err(cause),
        }
        self.add_conn(socket.into(), false)
    }

    fn add_conn(&mut self, socket: TcpStream, accepted: bool) -> io::Result<ConnId> {
        let _ = socket.set_nodelay(true);
        self.made += 1;
        let made = self.made;
        let connecting = !accepted;
        let wanted = (!connecting, connecting);
        let input_most = self.limits.input;
        let conn = Conn {
            input_most,
            made,
            socket,
            accepted,
            connecting,
            input: BytesMut::new(),
            output: VecDeque::new(),
            waiting: 0,
            progress: self.clock.now(),
            closing: false,
            ended: false,
            paused: false,
            wanted,
        };
        let key = self.sources.insert(Source::Conn(Box::new(conn)));
        let Some(Source::Conn(conn)) = self.sources.get(key) else { unreachable!() };
        let interest = Event::new(key, wanted.0, wanted.1);
        // SAFETY: the source is deleted from the poller before it is dropped.
        let added = unsafe { self.poller.add_with_mode(&conn.socket, interest, PollMode::Level) };
        if let Err(cause) = added {
            self.sources.remove(key);
            return Err(cause);
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
        let (pipe, end) = UnixStream::pair()?;
        pipe.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(number, end)?;
        let key = self.sources.insert(Source::Signal { number, pipe });
        let Some(Source::Signal { pipe, .. }) = self.sources.get(key) else { unreachable!() };
        // SAFETY: the reactor owns the pipe for as long as it stands in the poller.
        unsafe { self.poller.add_with_mode(pipe, Event::readable(key), PollMode::Level) }
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
        let conn = self.conn_mut(id).filter(|conn| !conn.closing && !conn.ended).ok_or(SendError::Gone)?;
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
            let _ = write_some(conn, now);
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

    /// Closes once all that waits is written.
    pub fn finish(&mut self, id: ConnId) {
        let Some(conn) = self.conn_mut(id) else { return };
        conn.closing = true;
        if conn.waiting == 0 {
            self.remove_conn(id.key);
        } else {
            self.rearm(id.key);
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
        let room = conn.input.len() < conn.input_most;
        let read = !conn.connecting && !conn.ended && !conn.paused && !conn.closing && room;
        let write = conn.connecting || conn.waiting > 0 && !conn.ended;
        if (read, write) != conn.wanted {
            conn.wanted = (read, write);
            let interest = Event::new(key, read, write);
            let _ = self.poller.modify_with_mode(&conn.socket, interest, PollMode::Level);
        }
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

    /// Waits until something happens, a timer is due or `most` has passed, and gathers it.
    pub fn poll(&mut self, most: Option<Duration>) -> io::Result<()> {
        // Input that was taken since may have made room to read on.
        let now = self.clock.now();
        let until = self.timers.next_at().map(|at| Duration::from_nanos((at - now).0));
        let mut wait = [most, until].into_iter().flatten().min();
        if !self.resting.is_empty() {
            wait = Some(wait.map_or(REST, |wait| wait.min(REST)));
        }
        if self.clock.is_driven() || !self.happened.is_empty() {
            wait = Some(Duration::ZERO);
        }
        self.events.clear();
        match self.poller.wait(&mut self.events, wait) {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) => return Err(cause),
        }
        for key in std::mem::take(&mut self.resting) {
            if let Some(Source::Listener { socket, .. }) = self.sources.get(key) {
                self.poller.modify_with_mode(socket, Event::readable(key), PollMode::Level)?;
            }
        }
        let seen: Vec<Event> = self.events.iter().collect();
        for event in seen {
            self.look(event);
        }
        let now = self.clock.now();
        while let Some(what) = self.timers.due(now) {
            self.happened.push_back(Happened::Timer(what));
        }
        Ok(())
    }

    fn look(&mut self, event: Event) {
        let key = event.key;
        match self.sources.get_mut(key) {
            None => {}
            Some(Source::Watched { number, .. }) => self.happened.push_back(Happened::Ready(*number)),
            Some(Source::Signal { number, pipe }) => {
                let mut sink = [0; 64];
                while matches!(pipe.read(&mut sink), Ok(count) if count > 0) {}
                self.happened.push_back(Happened::Signal(*number));
            }
            Some(Source::Listener { .. }) => self.accept(key, self.limits.accepts),
            Some(Source::Conn(_)) => self.serve(key, event),
        }
    }

    /// A storm of connections must not hold up those that stand: so many at a time.
    fn accept(&mut self, key: usize, most: usize) {
        for _ in 0..most {
            let Some(Source::Listener { made, socket }) = self.sources.get(key) else { return };
            let listener = ListenerId { key, made: *made };
            match socket.accept() {
                Ok((stream, from)) => {
                    if self.accepted >= self.limits.connections || stream.set_nonblocking(true).is_err() {
                        self.dropped += 1;
                        continue;
                    }
                    if let Ok(conn) = self.add_conn(stream, true) {
                        self.happened.push_back(Happened::Accepted { listener, conn, from });
                    }
                }
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
                Err(cause)
                    if matches!(cause.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(_) => {
                    // Out of descriptors: without a rest the loop would spin.
                    let _ = self.poller.modify_with_mode(socket, Event::none(key), PollMode::Level);
                    self.resting.push(key);
                    return;
                }
            }
        }
    }

    fn serve(&mut self, key: usize, event: Event) {
        let now = self.clock.now();
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, made: conn.made };
        if conn.ended {
            return;
        }
        if conn.connecting {
            match conn.socket.take_error() {
                Ok(None) if conn.socket.peer_addr().is_ok() => {
                    conn.connecting = false;
                    self.happened.push_back(Happened::Connected { conn: id });
                }
                Ok(None) => return,
                Ok(Some(cause)) | Err(cause) => {
                    conn.ended = true;
                    let cause = CloseCause::ConnectFailed(cause);
                    self.happened.push_back(Happened::Closed { conn: id, cause });
                    self.rearm(key);
                    return;
                }
            }
        }
        let mut end = None;
        if conn.waiting > 0 {
            match write_some(conn, now) {
                Ok(()) if conn.waiting == 0 => self.happened.push_back(Happened::Flushed { conn: id }),
                Ok(()) => {}
                Err(cause) => end = Some(CloseCause::Broken(cause)),
            }
            if conn.closing && (conn.waiting == 0 || end.is_some()) {
                self.remove_conn(key);
                return;
            }
        }
        if event.readable && !conn.paused && end.is_none() {
            let before = conn.input.len();
            end = read_some(conn);
            if conn.input.len() > before {
                self.happened.push_back(Happened::Came { conn: id });
            }
        }
        if let Some(cause) = end {
            conn.ended = true;
            self.happened.push_back(Happened::Closed { conn: id, cause });
        }
        self.rearm(key);
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
                Source::Listener { socket, .. } => socket.as_fd(),
                Source::Conn(conn) => conn.socket.as_fd(),
                Source::Watched { fd, .. } => fd.as_fd(),
                Source::Signal { pipe, .. } => pipe.as_fd(),
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

fn read_some(conn: &mut Conn) -> Option<CloseCause> {
    let mut buffer = [0; 16 * 1024];
    let before = conn.input.len();
    for _ in 0..READS {
        let room = conn.input_most.saturating_sub(conn.input.len()).min(buffer.len());
        if room == 0 {
            return None;
        }
        match conn.socket.read(&mut buffer[..room]) {
            // The owner sees the last bytes first, and may still answer them: a peer that has shut its sending
            // side reads on. The poller tells of the end again.
            Ok(0) if conn.input.len() > before => return None,
            Ok(0) => return Some(CloseCause::PeerClosed),
            Ok(count) => {
                conn.input.extend_from_slice(&buffer[..count]);
                if count < room {
                    return None;
                }
            }
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return None,
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) => return Some(CloseCause::Broken(cause)),
        }
    }
    None
}

fn write_some(conn: &mut Conn, now: Nanos) -> io::Result<()> {
    while conn.waiting > 0 {
        let slices: Vec<IoSlice> = conn.output.iter().take(32).map(|chunk| IoSlice::new(chunk)).collect();
        match conn.socket.write_vectored(&slices) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(mut count) => {
                conn.progress = now;
                conn.waiting -= count;
                while count > 0 {
                    let Some(first) = conn.output.front_mut() else { break };
                    let part = count.min(first.len());
                    first.advance(part);
                    count -= part;
                    if first.is_empty() {
                        conn.output.pop_front();
                    }
                }
            }
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) => return Err(cause),
        }
    }
    Ok(())
}
