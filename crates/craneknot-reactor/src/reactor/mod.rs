//! The event loop.

mod buffers;
mod connections;
mod listeners;
mod turns;

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use craneknot::interface::Nanos;
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};

use crate::clock::Clock;
use crate::conn::Conn;
use crate::signals::{self, SignalFlags};
use crate::system_errors::is_transient;
use crate::timers::{TimerId, Timers};

pub use buffers::Unfinished;

/// Limits of one event loop and of each connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes buffered for reading, per connection; reading stops at this limit.
    pub input: usize,
    /// Bytes queued for writing, per connection; [`Reactor::send`] rejects more.
    pub output: usize,
    /// Concurrent accepted connections; further ones wait in the listen backlog. Outgoing connections do not count,
    /// so that incoming ones can't keep the owner from connecting out.
    pub connections: usize,
    /// Bytes that all accepted connections may hold together: input, unfinished messages and output that is not
    /// shared. Nothing is read from them at this limit; see [`Reactor::over_budget`].
    pub buffered: usize,
    /// Connections accepted in one poll, so that the owner handles these before more arrive.
    pub accepts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            input: 256 * 1024,
            output: 16 * 1024 * 1024,
            connections: 16_000,
            buffered: 256 * 1024 * 1024,
            accepts: 256,
        }
    }
}

/// Identifies a connection; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    key: usize,
    generation: u64,
}

/// Identifies a listener; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId {
    key: usize,
    generation: u64,
}

/// Why a connection ended.
#[derive(Debug)]
pub enum CloseCause {
    PeerClosed,
    ConnectFailed(io::Error),
    Broken(io::Error),
}

/// Why bytes were not queued.
#[derive(Debug)]
pub enum SendError {
    /// The connection has been closed.
    Closed,
    /// The queued bytes would exceed the limit.
    Full,
}

/// An event reported by [`Reactor::next_event`].
#[derive(Debug)]
pub enum ReactorEvent<T> {
    Accepted {
        listener: ListenerId,
        conn: ConnId,
        from: SocketAddr,
    },
    Connected {
        conn: ConnId,
    },
    /// Bytes were received; see [`Reactor::input`].
    Received {
        conn: ConnId,
    },
    /// All queued bytes have been written.
    Flushed {
        conn: ConnId,
    },
    /// The connection has ended; its id is no longer valid.
    Closed {
        conn: ConnId,
        cause: CloseCause,
    },
    Timer(T),
    /// A watched descriptor, identified by its token, is readable.
    Ready(usize),
    Signal(i32),
}

enum Source {
    Listener(Listener),
    Conn(Box<Conn>),
    Watched { token: usize, fd: OwnedFd },
    Wake { pipe: UnixStream },
}

struct Listener {
    generation: u64,
    socket: TcpListener,
    /// Connections that may still be accepted until the owner sets a new quota.
    quota: usize,
    /// Out of descriptors or buffers: accepting pauses until the next poll.
    backing_off: bool,
    /// The owner accepts only the connections that the system has completed already.
    closing: bool,
    /// Whether the poller reports new connections.
    watched: bool,
}

/// The event loop; `T` is the payload of its timers.
pub struct Reactor<T> {
    poller: Poller,
    events: Events,
    sources: Slab<Source>,
    timers: Timers<T>,
    clock: Arc<dyn Clock>,
    limits: Limits,
    pending_events: VecDeque<ReactorEvent<T>>,
    connection_count: usize,
    accepted_count: usize,
    /// Bytes that the accepted connections hold.
    buffered: usize,
    last_generation: u64,
    listeners: Vec<usize>,
    /// Accepted connections that could not be registered with the poller yet, for lack of system resources.
    unregistered: Vec<(ListenerId, TcpStream, SocketAddr)>,
    /// Connections whose interest could not be updated in the poller.
    unarmed: Vec<usize>,
    lingering: Vec<ConnId>,
    /// Connections that close once their last bytes are written.
    closing: Vec<ConnId>,
    /// Connections whose input was left for the next turn.
    deferred: Vec<ConnId>,
    signals: SignalFlags,
    system_calls_retried: u64,
}

const RETRY_DELAY: Duration = Duration::from_millis(50); // after a transient failure of a system call
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100); // for signals whose wake-up byte was lost
const LINGER_TIMEOUT: Nanos = Nanos::from_millis(300); // for a peer to see our end of stream before the close
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10); // between checks of the deadline of a flush
const CROWDED_LINGER_TIMEOUT: Nanos = Nanos::from_millis(50); // the same while the connection limit is reached
const UNREAD_CLOSE_TIMEOUT: Nanos = Nanos::from_millis(2_000); // for a peer to read some of the last bytes
const MAX_LINGERING: usize = 32; // concurrent lingering connections, since each holds a descriptor

impl<T> Reactor<T> {
    pub fn new(clock: Arc<dyn Clock>, limits: Limits) -> io::Result<Self> {
        Ok(Reactor {
            poller: Poller::new()?,
            events: Events::new(),
            sources: Slab::new(),
            timers: Timers::default(),
            clock,
            limits,
            pending_events: VecDeque::new(),
            connection_count: 0,
            accepted_count: 0,
            buffered: 0,
            last_generation: 0,
            listeners: Vec::new(),
            unregistered: Vec::new(),
            unarmed: Vec::new(),
            lingering: Vec::new(),
            closing: Vec::new(),
            deferred: Vec::new(),
            signals: SignalFlags::default(),
            system_calls_retried: 0,
        })
    }

    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Number of open connections, outgoing ones included.
    pub fn connections(&self) -> usize {
        self.connection_count
    }

    /// Number of system calls that failed transiently and were retried.
    pub fn system_calls_retried(&self) -> u64 {
        self.system_calls_retried
    }

    /// Reports when a descriptor is readable, identified by a token of the caller's choice.
    pub fn watch(&mut self, fd: &impl AsFd, token: usize) -> io::Result<()> {
        let fd = fd.as_fd().try_clone_to_owned()?;
        let key = self.sources.insert(Source::Watched { token, fd });
        let Some(Source::Watched { fd, .. }) = self.sources.get(key) else { unreachable!() };
        // SAFETY: the reactor owns its copy of the descriptor for as long as it is registered with the poller.
        unsafe { self.poller.add_with_mode(fd, Event::readable(key), PollMode::Level) }
    }

    /// Reports the signal as an event from now on; it no longer has its default effect.
    pub fn watch_signal(&mut self, number: i32) -> io::Result<()> {
        let mut flags = SignalFlags::default();
        flags.add(number)?;
        self.watch_signals(flags);
        Ok(())
    }

    /// Reports these signals as events from now on. If the pipe that wakes the loop can't be created, they are noticed
    /// a little later.
    pub fn watch_signals(&mut self, flags: SignalFlags) {
        let added = signals::wake_pipe(&flags.numbers()).and_then(|pipe| {
            let key = self.sources.insert(Source::Wake { pipe });
            let Some(Source::Wake { pipe }) = self.sources.get(key) else { unreachable!() };
            // SAFETY: the reactor owns the pipe for as long as it is registered with the poller.
            let added = unsafe { self.poller.add_with_mode(pipe, Event::readable(key), PollMode::Level) };
            added.inspect_err(|_| drop(self.sources.remove(key)))
        });
        self.system_calls_retried += u64::from(added.is_err());
        self.signals.extend(flags);
    }

    pub fn set_timer(&mut self, at: Nanos, payload: T) -> TimerId {
        self.timers.set(at, payload)
    }

    pub fn cancel_timer(&mut self, id: TimerId) -> Option<T> {
        self.timers.cancel(id)
    }

    /// The next event; `None` when all are handled and [`Reactor::poll`] is to be called again.
    pub fn next_event(&mut self) -> Option<ReactorEvent<T>> {
        loop {
            let event = self.pending_events.pop_front()?;
            match event {
                // Dropped: the owner has closed the connection in the meantime.
                ReactorEvent::Received { conn }
                | ReactorEvent::Connected { conn }
                | ReactorEvent::Flushed { conn }
                    if self.conn(conn).is_none() => {}
                ReactorEvent::Accepted { conn, .. } if self.conn(conn).is_none() => {}
                ReactorEvent::Closed { conn, cause } => {
                    if self.conn(conn).is_some() {
                        self.remove_conn(conn.key);
                        return Some(ReactorEvent::Closed { conn, cause });
                    }
                }
                other => return Some(other),
            }
        }
    }

    /// Waits until an event occurs, a timer is due or `max_wait` has passed, and collects the events. A lack of system
    /// resources is waited out; an error is final.
    pub fn poll(&mut self, max_wait: Option<Duration>) -> io::Result<()> {
        self.retry_system_calls();
        let timeout = self.poll_timeout(max_wait);
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) if is_transient(&cause) => {
                self.system_calls_retried += 1;
                std::thread::sleep(RETRY_DELAY);
            }
            Err(cause) => return Err(cause),
        }
        let ready: Vec<Event> = self.events.iter().collect();
        for event in ready {
            self.dispatch(event);
        }
        self.report_deferred();
        self.pending_events.extend(self.signals.take().into_iter().map(ReactorEvent::Signal));
        let now = self.clock.now();
        self.close_expired(now);
        while let Some(payload) = self.timers.pop_due(now) {
            self.pending_events.push_back(ReactorEvent::Timer(payload));
        }
        Ok(())
    }

    /// Writes the queued bytes of all connections before the owner exits, for at most `max_wait`. Events that occur in
    /// the meantime are dropped.
    pub fn flush(&mut self, max_wait: Duration) -> io::Result<()> {
        let deadline = Instant::now() + max_wait;
        let has_unsent =
            |source: &Source| matches!(source, Source::Conn(conn) if conn.unsent > 0 && !conn.ended);
        while self.sources.iter().any(|(_, source)| has_unsent(source)) && Instant::now() < deadline {
            self.pending_events.clear();
            self.poll(Some(FLUSH_POLL_INTERVAL))?;
        }
        Ok(())
    }

    /// The timeout of the next wait.
    fn poll_timeout(&self, max_wait: Option<Duration>) -> Option<Duration> {
        if self.clock.is_manual() || !self.pending_events.is_empty() || !self.deferred.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        let closing = self.lingering.iter().chain(&self.closing);
        let close_deadlines = closing.filter_map(|id| self.close_deadline(self.conn(*id)?));
        let deadline = self.timers.next_at().into_iter().chain(close_deadlines).min();
        let until_deadline = deadline.map(|at| Duration::from_nanos((at - now).0));
        let is_backing_off =
            |key: &usize| matches!(self.sources.get(*key), Some(Source::Listener(l)) if l.backing_off);
        let retries = !self.unregistered.is_empty()
            || !self.unarmed.is_empty()
            || self.listeners.iter().any(is_backing_off);
        let retry = retries.then_some(RETRY_DELAY);
        let signals = (!self.signals.is_empty()).then_some(SIGNAL_POLL_INTERVAL);
        [max_wait, until_deadline, retry, signals].into_iter().flatten().min()
    }

    /// Retries the calls that failed transiently, and watches each listener that may accept.
    fn retry_system_calls(&mut self) {
        for (listener, stream, from) in std::mem::take(&mut self.unregistered) {
            self.register_accepted(listener, stream, from);
        }
        for key in std::mem::take(&mut self.unarmed) {
            self.rearm(key);
        }
        for key in self.listeners.clone() {
            self.rearm_listener(key);
        }
    }

    fn dispatch(&mut self, event: Event) {
        let key = event.key;
        match self.sources.get_mut(key) {
            None => {}
            Some(Source::Watched { token, .. }) => self.pending_events.push_back(ReactorEvent::Ready(*token)),
            Some(Source::Wake { pipe }) => signals::drain(pipe),
            Some(Source::Listener(_)) => self.accept(key, self.limits.accepts),
            Some(Source::Conn(_)) => self.handle_socket_event(key, event),
        }
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

/// Reserves an address without listening, so that the system does not give its port to an outgoing connection in the
/// meantime.
pub fn reserve(address: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    let reserved = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
    Ok((socket, reserved))
}
