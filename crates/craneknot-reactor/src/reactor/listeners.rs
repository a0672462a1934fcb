//! Listeners: who is accepted when, and who waits in the system's queue.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};

use super::{Listener, ListenerId, Reactor, ReactorEvent, Source};
use crate::system_errors::is_failed_connection;

impl<T> Reactor<T> {
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        self.listen_as(address, false)
    }

    /// Listens at an address that another socket of ours keeps: see [`reserve`].
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

    pub(super) fn listener_mut(&mut self, id: ListenerId) -> Option<&mut Listener> {
        match self.sources.get_mut(id.key) {
            Some(Source::Listener(listener)) if listener.made == id.made => Some(listener),
            Some(_) | None => None,
        }
    }

    /// Accepts so many connections of a listener until told anew; all others wait in the system's queue.
    pub fn set_accept_quota(&mut self, id: ListenerId, room: usize) {
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
        let has_room = self.accepted < self.limits.connections;
        let Some(Source::Listener(listener)) = self.sources.get_mut(key) else { return };
        listener.resting = false;
        let wanted = has_room && listener.room > 0;
        if wanted != listener.watched {
            let interest = if wanted { Event::readable(key) } else { Event::none(key) };
            match self.poller.modify_with_mode(&listener.socket, interest, PollMode::Level) {
                Ok(()) => listener.watched = wanted,
                Err(_) => {
                    self.system_calls_retried += 1;
                    listener.resting = true;
                }
            }
        }
        if listener.closing && wanted {
            // The poller does not tell that nobody waits any more.
            self.accept(key, self.limits.accepts);
        }
    }

    /// A storm of connections must not hold up those that stand: so many at a time, and no more than there is room
    /// for. Who is not accepted waits in the system's queue.
    pub(super) fn accept(&mut self, key: usize, most: usize) {
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
                    self.system_calls_retried += 1;
                    return;
                }
            }
        }
    }

    /// Takes in an accepted connection; where the poller has no room for it, it is held until it has.
    pub(super) fn take_in(&mut self, listener: ListenerId, stream: TcpStream, from: SocketAddr) {
        if stream.set_nonblocking(true).is_err() {
            self.system_calls_retried += 1;
            return self.unregistered.push((listener, stream, from));
        }
        match self.add_conn(stream, true) {
            Ok(conn) => self.happened.push_back(ReactorEvent::Accepted { listener, conn, from }),
            Err((stream, _)) => {
                self.system_calls_retried += 1;
                self.unregistered.push((listener, stream, from));
            }
        }
    }
}
