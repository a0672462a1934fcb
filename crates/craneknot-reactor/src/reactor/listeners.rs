//! Listeners: which connections are accepted when, and which wait in the listen backlog.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};

use super::{Listener, ListenerId, Reactor, ReactorEvent, Source};
use crate::system_errors::is_failed_connection;

impl<T> Reactor<T> {
    /// Listens at an address; returns it with its actual port.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        self.listen_as(address, false)
    }

    /// Listens at an address that another socket of this process holds; see [`super::reserve`].
    pub fn listen_reserved(&mut self, address: SocketAddr) -> io::Result<ListenerId> {
        self.listen_as(address, true).map(|(listener, _)| listener)
    }

    pub(super) fn listen_as(
        &mut self,
        address: SocketAddr,
        shared: bool,
    ) -> io::Result<(ListenerId, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(4096)?;
        let socket: TcpListener = socket.into();
        let local = socket.local_addr()?;
        self.last_generation += 1;
        let generation = self.last_generation;
        let listener = Listener {
            generation,
            socket,
            quota: usize::MAX,
            backing_off: false,
            closing: false,
            watched: true,
        };
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
        Ok((ListenerId { key, generation }, local))
    }

    pub(super) fn listener_mut(&mut self, id: ListenerId) -> Option<&mut Listener> {
        match self.sources.get_mut(id.key) {
            Some(Source::Listener(listener)) if listener.generation == id.generation => Some(listener),
            Some(_) | None => None,
        }
    }

    /// Accepts at most this many connections from a listener until the next call; others wait in the listen backlog.
    pub fn set_accept_quota(&mut self, id: ListenerId, quota: usize) {
        if let Some(listener) = self.listener_mut(id) {
            listener.quota = quota;
        }
    }

    /// Whether a listener is open. One that is closing stays open while its backlog holds connections beyond its quota
    /// or the limit.
    pub fn is_listening(&self, id: ListenerId) -> bool {
        matches!(self.sources.get(id.key), Some(Source::Listener(found)) if found.generation == id.generation)
    }

    /// Stops listening. Connections that the system has completed already are accepted first, as far as the limits
    /// allow, because they would be reset with the listener.
    pub fn close_listener(&mut self, id: ListenerId) {
        if let Some(listener) = self.listener_mut(id) {
            listener.closing = true;
            self.accept(id.key, usize::MAX);
        }
    }

    pub(super) fn remove_listener(&mut self, key: usize) {
        if let Source::Listener(listener) = self.sources.remove(key) {
            let _ = self.poller.delete(&listener.socket);
        }
        self.listeners.retain(|listener| *listener != key);
    }

    pub(super) fn rearm_listener(&mut self, key: usize) {
        let below_limit = self.accepted_count < self.limits.connections;
        let Some(Source::Listener(listener)) = self.sources.get_mut(key) else { return };
        listener.backing_off = false;
        let wanted = below_limit && listener.quota > 0;
        if wanted != listener.watched {
            let interest = if wanted { Event::readable(key) } else { Event::none(key) };
            match self.poller.modify_with_mode(&listener.socket, interest, PollMode::Level) {
                Ok(()) => listener.watched = wanted,
                Err(_) => {
                    self.system_calls_retried += 1;
                    listener.backing_off = true;
                }
            }
        }
        if listener.closing && wanted {
            // The poller does not report that the backlog has become empty.
            self.accept(key, self.limits.accepts);
        }
    }

    /// Accepts at most `max` connections, and none beyond the limits, so that a burst of new connections does not hold
    /// up the open ones. The others wait in the listen backlog.
    pub(super) fn accept(&mut self, key: usize, max: usize) {
        for _ in 0..max {
            let below_limit = self.accepted_count + self.unregistered.len() < self.limits.connections;
            let Some(Source::Listener(listener)) = self.sources.get_mut(key) else { return };
            if !below_limit || listener.quota == 0 || listener.backing_off {
                return;
            }
            let id = ListenerId { key, generation: listener.generation };
            match listener.socket.accept() {
                Ok((stream, from)) => {
                    listener.quota -= 1;
                    self.register_accepted(id, stream, from);
                }
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                    if listener.closing {
                        self.remove_listener(key);
                    }
                    return;
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted || is_failed_connection(&cause) => {}
                Err(_) => {
                    // Out of descriptors or buffers: without a pause the loop would spin.
                    listener.backing_off = true;
                    self.system_calls_retried += 1;
                    return;
                }
            }
        }
    }

    /// Registers an accepted connection; if the poller lacks the resources, the connection is kept for a retry.
    pub(super) fn register_accepted(&mut self, listener: ListenerId, stream: TcpStream, from: SocketAddr) {
        if stream.set_nonblocking(true).is_err() {
            self.system_calls_retried += 1;
            return self.unregistered.push((listener, stream, from));
        }
        match self.add_conn(stream, true) {
            Ok(conn) => self.pending_events.push_back(ReactorEvent::Accepted { listener, conn, from }),
            Err((stream, _)) => {
                self.system_calls_retried += 1;
                self.unregistered.push((listener, stream, from));
            }
        }
    }
}
