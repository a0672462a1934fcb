//! The loop itself.

mod connections;
mod listeners;

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
    Closed,
    /// More bytes would wait than the limit allows.
    Full,
}

/// What has happened since the last look.
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
    /// Bytes came in; see [`Reactor::input`].
    Received {
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
    happened: VecDeque<ReactorEvent<T>>,
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
    system_calls_retried: u64,
}

const RETRY_AFTER: Duration = Duration::from_millis(50); // until a system call that failed for a moment is made again
const SIGNALS_SEEN_WITHIN: Duration = Duration::from_millis(100); // a signal whose wake-up byte was lost is seen by then
const LINGER: Nanos = Nanos::from_millis(300); // ms; for a peer to see our end before its connection is closed
const FLUSH_LOOK: Duration = Duration::from_millis(10); // between looks at the time while the last bytes are written
const LINGER_CROWDED: Nanos = Nanos::from_millis(50); // ms; the same where others wait to be accepted
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
            system_calls_retried: 0,
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
    pub fn system_calls_retried(&self) -> u64 {
        self.system_calls_retried
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
    pub fn watch_signal(&mut self, number: i32) -> io::Result<()> {
        let mut flags = SignalFlags::default();
        flags.add(number)?;
        self.watch_signals(flags);
        Ok(())
    }

    /// Tells of these signals from now on. Where no pipe can be had to wake the loop with, they are seen a little later.
    pub fn watch_signals(&mut self, flags: SignalFlags) {
        let added = signals::wake_pipe(&flags.numbers()).and_then(|pipe| {
            let key = self.sources.insert(Source::Wake { pipe });
            let Some(Source::Wake { pipe }) = self.sources.get(key) else { unreachable!() };
            // SAFETY: the reactor owns the pipe for as long as it stands in the poller.
            let added = unsafe { self.poller.add_with_mode(pipe, Event::readable(key), PollMode::Level) };
            added.inspect_err(|_| drop(self.sources.remove(key)))
        });
        self.system_calls_retried += u64::from(added.is_err());
        self.signals.extend(flags);
    }

    pub fn set_timer(&mut self, at: Nanos, what: T) -> TimerId {
        self.timers.set(at, what)
    }

    pub fn cancel_timer(&mut self, id: TimerId) -> Option<T> {
        self.timers.cancel(id)
    }

    /// The next thing that has happened; nothing: time to [`Reactor::poll`] again.
    pub fn next_event(&mut self) -> Option<ReactorEvent<T>> {
        loop {
            let happened = self.happened.pop_front()?;
            match happened {
                // Closed meanwhile by the owner: no longer of interest.
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

    /// Waits until something happens, a timer is due or `most` has passed, and gathers it. A shortage of the system
    /// is waited out; an error is final.
    pub fn poll(&mut self, most: Option<Duration>) -> io::Result<()> {
        self.retry_system_calls();
        let wait = self.wait(most);
        self.events.clear();
        match self.poller.wait(&mut self.events, wait) {
            Ok(_) => {}
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) if is_transient(&cause) => {
                self.system_calls_retried += 1;
                std::thread::sleep(RETRY_AFTER);
            }
            Err(cause) => return Err(cause),
        }
        let seen: Vec<Event> = self.events.iter().collect();
        for event in seen {
            self.look(event);
        }
        self.happened.extend(self.signals.take().into_iter().map(ReactorEvent::Signal));
        let now = self.clock.now();
        self.end_lingering(now);
        while let Some(what) = self.timers.pop_due(now) {
            self.happened.push_back(ReactorEvent::Timer(what));
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
        if self.clock.is_manual() || !self.happened.is_empty() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        let linger = self.lingering.iter().filter_map(|id| self.lingers_until(self.conn(*id)?));
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

    fn look(&mut self, event: Event) {
        let key = event.key;
        match self.sources.get_mut(key) {
            None => {}
            Some(Source::Watched { number, .. }) => self.happened.push_back(ReactorEvent::Ready(*number)),
            Some(Source::Wake { pipe }) => signals::drain(pipe),
            Some(Source::Listener(_)) => self.accept(key, self.limits.accepts),
            Some(Source::Conn(_)) => self.serve(key, event),
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

/// Keeps an address without listening, so that no dial of the system takes its port while nothing listens there.
pub fn reserve(address: SocketAddr) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    let kept = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
    Ok((socket, kept))
}
