//! Connections: dialled and accepted, read and written, closed and lingered on.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};

use super::{
    CloseCause, ConnId, Reactor, ReactorEvent, SendError, Source, LINGER, LINGERING_MOST, LINGER_CROWDED,
};
use crate::conn::{Closing, Conn};

impl<T> Reactor<T> {
    /// Dials; [`ReactorEvent::Connected`] or [`ReactorEvent::Closed`] tells how it went.
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

    pub(super) fn add_conn(
        &mut self,
        socket: TcpStream,
        accepted: bool,
    ) -> Result<ConnId, (TcpStream, io::Error)> {
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

    pub(super) fn conn(&self, id: ConnId) -> Option<&Conn> {
        match self.sources.get(id.key) {
            Some(Source::Conn(conn)) if conn.made == id.made => Some(conn),
            Some(_) | None => None,
        }
    }

    pub(super) fn conn_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
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
    pub fn unsent_bytes(&self, id: ConnId) -> usize {
        self.conn(id).map_or(0, |conn| conn.waiting)
    }

    /// How long bytes have waited without any leaving.
    pub fn write_stalled_for(&self, id: ConnId) -> Nanos {
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
        let conn = conn.ok_or(SendError::Closed)?;
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
    pub fn close_gracefully(&mut self, id: ConnId) {
        let Some(conn) = self.conn_mut(id) else { return };
        conn.closing = Closing::AfterOutput;
        if conn.waiting == 0 {
            self.linger(id.key);
        } else {
            self.rearm(id.key);
        }
    }

    /// Shuts our side of a connection on which nothing waits; it closes once the peer has ended too.
    pub(super) fn linger(&mut self, key: usize) {
        let now = self.clock.now();
        let room = self.lingering.len() < LINGERING_MOST;
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, made: conn.made };
        if !room || conn.ended || conn.connecting || !conn.begin_linger(now) || conn.discard_input() {
            return self.remove_conn(key);
        }
        self.lingering.push(id);
        self.rearm(key);
    }

    /// Until when a connection lingers, if it does: for less where others wait for its place.
    pub(super) fn lingers_until(&self, conn: &Conn) -> Option<Nanos> {
        let Closing::Lingering { since } = conn.closing else { return None };
        let is_full = self.accepted >= self.limits.connections;
        Some(since + if is_full { LINGER_CROWDED } else { LINGER })
    }

    /// Closes the connections that have lingered for long enough.
    pub(super) fn end_lingering(&mut self, now: Nanos) {
        for id in std::mem::take(&mut self.lingering) {
            let until = self.conn(id).and_then(|conn| self.lingers_until(conn));
            match until {
                None => {}
                Some(until) if until <= now => self.remove_conn(id.key),
                Some(_) => self.lingering.push(id),
            }
        }
    }

    pub(super) fn remove_conn(&mut self, key: usize) {
        if let Source::Conn(conn) = self.sources.remove(key) {
            let _ = self.poller.delete(&conn.socket);
            self.conns -= 1;
            self.accepted -= usize::from(conn.accepted);
        }
    }

    pub(super) fn rearm(&mut self, key: usize) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let wanted = conn.interest();
        if wanted == conn.wanted {
            return;
        }
        let interest = Event::new(key, wanted.0, wanted.1);
        match self.poller.modify_with_mode(&conn.socket, interest, PollMode::Level) {
            Ok(()) => conn.wanted = wanted,
            Err(_) => {
                self.system_calls_retried += 1;
                self.unarmed.push(key);
            }
        }
    }

    /// Whether bytes have come that are not read yet; they are read now. For an owner that is about to close.
    pub fn read_pending(&mut self, id: ConnId) -> bool {
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

    pub(super) fn serve(&mut self, key: usize, event: Event) {
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
                self.happened.push_back(ReactorEvent::Received { conn: id });
            }
        }
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        match end {
            // A peer that has shut its sending side reads on: what waits for it is written first.
            Some(CloseCause::PeerClosed) if conn.waiting > 0 => conn.read_closed = true,
            Some(cause) => {
                conn.ended = true;
                self.happened.push_back(ReactorEvent::Closed { conn: id, cause });
            }
            None => {}
        }
        self.rearm(key);
    }

    /// Looks how a dial went; true: the connection stands.
    pub(super) fn connected(&mut self, key: usize) -> bool {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return false };
        let id = ConnId { key, made: conn.made };
        match conn.socket.take_error() {
            Ok(None) if conn.socket.peer_addr().is_ok() => {
                conn.connecting = false;
                self.happened.push_back(ReactorEvent::Connected { conn: id });
                true
            }
            Ok(None) => false,
            Ok(Some(cause)) | Err(cause) => {
                conn.ended = true;
                let cause = CloseCause::ConnectFailed(cause);
                self.happened.push_back(ReactorEvent::Closed { conn: id, cause });
                self.rearm(key);
                false
            }
        }
    }

    /// Writes what waits; gives why the connection ends, if it does.
    pub(super) fn write_waiting(&mut self, key: usize) -> Option<CloseCause> {
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
                self.happened.push_back(ReactorEvent::Flushed { conn: id });
                read_closed.then_some(CloseCause::PeerClosed)
            }
            (Ok(()), _) => None,
            (Err(cause), _) => Some(CloseCause::Broken(cause)),
        }
    }

    /// To be called after taking input: reading goes on where the buffer was full.
    pub fn input_consumed(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            self.rearm(id.key);
        }
    }

    pub fn local_address(&self, id: ConnId) -> Option<SocketAddr> {
        self.conn(id).and_then(|conn| conn.socket.local_addr().ok())
    }
}
