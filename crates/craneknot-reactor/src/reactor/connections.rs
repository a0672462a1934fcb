//! Connections: connecting, reading, writing, closing and lingering.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use craneknot::interface::Nanos;
use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};

use super::{
    CloseCause, ConnId, Reactor, ReactorEvent, SendError, Source, CROWDED_LINGER_TIMEOUT, LINGER_TIMEOUT,
    MAX_LINGERING, UNREAD_CLOSE_TIMEOUT,
};
use crate::conn::{Closing, Conn};

impl<T> Reactor<T> {
    /// Connects to an address; [`ReactorEvent::Connected`] or [`ReactorEvent::Closed`] reports the outcome.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // An interrupted connect continues in the background, like one in progress.
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
        self.last_generation += 1;
        let generation = self.last_generation;
        let conn = Conn::new(socket, accepted, generation, self.clock.now(), self.limits.input);
        let wanted = conn.registered_interest;
        let key = self.sources.insert(Source::Conn(Box::new(conn)));
        let Some(Source::Conn(conn)) = self.sources.get(key) else { unreachable!() };
        let interest = Event::new(key, wanted.0, wanted.1);
        // SAFETY: the source is deleted from the poller before it is dropped.
        let added = unsafe { self.poller.add_with_mode(&conn.socket, interest, PollMode::Level) };
        if let Err(cause) = added {
            let Source::Conn(conn) = self.sources.remove(key) else { unreachable!() };
            return Err((conn.socket, cause));
        }
        self.connection_count += 1;
        self.accepted_count += usize::from(accepted);
        Ok(ConnId { key, generation })
    }

    pub(super) fn conn(&self, id: ConnId) -> Option<&Conn> {
        match self.sources.get(id.key) {
            Some(Source::Conn(conn)) if conn.generation == id.generation => Some(conn),
            Some(_) | None => None,
        }
    }

    pub(super) fn conn_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        match self.sources.get_mut(id.key) {
            Some(Source::Conn(conn)) if conn.generation == id.generation => Some(conn),
            Some(_) | None => None,
        }
    }

    /// The received bytes that are not consumed yet; the caller consumes them from the front.
    pub fn input(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.conn_mut(id).map(|conn| &mut conn.input)
    }

    /// Limits the bytes buffered for reading on a connection, for example while its peer is not identified yet.
    pub fn limit_input(&mut self, id: ConnId, max: usize) {
        if let Some(conn) = self.conn_mut(id) {
            conn.input_limit = max;
            self.rearm(id.key);
        }
    }

    /// Number of bytes queued for writing.
    pub fn unsent_bytes(&self, id: ConnId) -> usize {
        self.conn(id).map_or(0, |conn| conn.unsent)
    }

    /// How long bytes have been queued without any progress.
    pub fn write_stalled_for(&self, id: ConnId) -> Nanos {
        let now = self.clock.now();
        self.conn(id).filter(|conn| conn.unsent > 0).map_or(Nanos(0), |conn| now - conn.last_progress)
    }

    /// Pauses or resumes reading from a connection, for back pressure decided by the owner.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        if let Some(conn) = self.conn_mut(id) {
            conn.paused = paused;
            self.rearm(id.key);
        }
    }

    /// Queues chunks for writing in order, without copying them.
    pub fn send(&mut self, id: ConnId, chunks: impl IntoIterator<Item = Bytes>) -> Result<(), SendError> {
        let (now, limit) = (self.clock.now(), self.limits.output);
        let conn = self.conn_mut(id).filter(|conn| conn.closing == Closing::No && !conn.ended);
        let conn = conn.ok_or(SendError::Closed)?;
        let chunks: Vec<Bytes> = chunks.into_iter().filter(|chunk| !chunk.is_empty()).collect();
        let added: usize = chunks.iter().map(Bytes::len).sum();
        if conn.unsent + added > limit {
            return Err(SendError::Full);
        }
        if conn.unsent == 0 {
            conn.last_progress = now;
        }
        conn.unsent += added;
        conn.output.extend(chunks);
        if !conn.connecting {
            // The poller reports an error again.
            let _ = conn.write_available(now);
        }
        self.update_buffered(id.key);
        self.resume_after_output(id.key);
        self.rearm(id.key);
        Ok(())
    }

    /// Closes immediately and drops the queued bytes. No more events are reported for the connection.
    pub fn close(&mut self, id: ConnId) {
        if self.conn(id).is_some() {
            self.remove_conn(id.key);
        }
    }

    /// Resets the connection instead of closing it in an orderly way, as happens when a process dies.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.conn(id) {
            let _ = socket2::SockRef::from(&conn.socket).set_linger(Some(Duration::ZERO));
            self.remove_conn(id.key);
        }
    }

    /// Closes once all queued bytes are written and the peer has seen the end of the stream, or 300 ms have passed; at
    /// the latest when the peer has read none of the queued bytes for 2 s.
    pub fn close_gracefully(&mut self, id: ConnId) {
        let Some(conn) = self.conn_mut(id) else { return };
        conn.closing = Closing::AfterOutput;
        (conn.input, conn.unfinished) = (BytesMut::new(), None);
        let is_written = conn.unsent == 0;
        self.update_buffered(id.key);
        if is_written {
            self.linger(id.key);
        } else {
            self.closing.push(id);
            self.rearm(id.key);
        }
    }

    /// Shuts down the sending side of a connection without queued bytes; it closes once the peer has ended too.
    pub(super) fn linger(&mut self, key: usize) {
        let now = self.clock.now();
        let below_limit = self.lingering.len() < MAX_LINGERING;
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, generation: conn.generation };
        if !below_limit || conn.ended || conn.connecting || !conn.begin_linger(now) || conn.discard_input() {
            return self.remove_conn(key);
        }
        self.lingering.push(id);
        self.rearm(key);
    }

    /// When a connection that the owner has finished with is closed at the latest; sooner while the limit of
    /// connections is reached, since others wait for its slot.
    pub(super) fn close_deadline(&self, conn: &Conn) -> Option<Nanos> {
        let is_full = self.accepted_count >= self.limits.connections;
        match conn.closing {
            Closing::No => None,
            Closing::AfterOutput => Some(conn.last_progress + UNREAD_CLOSE_TIMEOUT),
            Closing::Lingering { since } => {
                Some(since + if is_full { CROWDED_LINGER_TIMEOUT } else { LINGER_TIMEOUT })
            }
        }
    }

    /// Closes the connections that the owner has finished with and whose timeout has expired.
    pub(super) fn close_expired(&mut self, now: Nanos) {
        let (lingering, closing) = (std::mem::take(&mut self.lingering), std::mem::take(&mut self.closing));
        self.lingering = self.close_expired_of(lingering, now);
        self.closing = self.close_expired_of(closing, now);
    }

    /// Closes those of the connections whose timeout has expired; returns the others.
    fn close_expired_of(&mut self, ids: Vec<ConnId>, now: Nanos) -> Vec<ConnId> {
        let mut remaining = Vec::with_capacity(ids.len());
        for id in ids {
            match self.conn(id).and_then(|conn| self.close_deadline(conn)) {
                None => {}
                Some(deadline) if deadline <= now => self.remove_conn(id.key),
                Some(_) => remaining.push(id),
            }
        }
        remaining
    }

    pub(super) fn remove_conn(&mut self, key: usize) {
        if let Source::Conn(conn) = self.sources.remove(key) {
            let _ = self.poller.delete(&conn.socket);
            self.connection_count -= 1;
            self.accepted_count -= usize::from(conn.accepted);
            self.buffered -= conn.counted;
        }
    }

    pub(super) fn rearm(&mut self, key: usize) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let wanted = conn.interest();
        if wanted == conn.registered_interest {
            return;
        }
        let interest = Event::new(key, wanted.0, wanted.1);
        match self.poller.modify_with_mode(&conn.socket, interest, PollMode::Level) {
            Ok(()) => conn.registered_interest = wanted,
            Err(_) => {
                self.system_calls_retried += 1;
                self.unarmed.push(key);
            }
        }
    }

    /// Reads the bytes that have arrived but are not read yet, for an owner that is about to close; true if there were
    /// any.
    pub fn read_pending(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conn_mut(id).filter(|conn| !conn.ended && !conn.connecting) else {
            return false;
        };
        let before = conn.input.len();
        if conn.closing == Closing::No {
            // The poller reports an end or an error again.
            let _ = conn.read_available();
        }
        conn.received_len = conn.input.len();
        let has_received = conn.input.len() > before;
        self.update_buffered(id.key);
        has_received
    }

    pub(super) fn handle_socket_event(&mut self, key: usize, event: Event) {
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
        if conn.connecting && !self.check_connect(key) {
            return;
        }
        self.note_reset(key, event);
        let mut end = self.write_unsent(key);
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let id = ConnId { key, generation: conn.generation };
        let is_left = conn.is_deferred || conn.awaits_output;
        let is_wanted = !conn.paused && !is_left && conn.closing == Closing::No && !conn.read_closed;
        if event.readable && is_wanted && end.is_none() && self.may_read(id) {
            end = self.read_conn(id);
        }
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        match end {
            // A peer that has shut down its sending side may still read: queued bytes are written first.
            Some(CloseCause::PeerClosed) if conn.unsent > 0 => conn.read_closed = true,
            Some(cause) => {
                conn.ended = true;
                self.pending_events.push_back(ReactorEvent::Closed { conn: id, cause });
            }
            None => {}
        }
        self.rearm(key);
    }

    /// Reads the available bytes and reports them; returns the cause if the connection ends.
    fn read_conn(&mut self, id: ConnId) -> Option<CloseCause> {
        let conn = self.conn_mut(id)?;
        let before = conn.input.len();
        let end = conn.read_available();
        conn.received_len = conn.input.len();
        let has_received = conn.input.len() > before;
        self.update_buffered(id.key);
        if has_received {
            self.pending_events.push_back(ReactorEvent::Received { conn: id });
        }
        end
    }

    /// Whether the peer has reset the connection, so that nobody waits for an answer any more, though input that was
    /// sent before may still be read.
    pub fn is_reset(&self, id: ConnId) -> bool {
        self.conn(id).is_some_and(|conn| conn.is_reset)
    }

    fn note_reset(&mut self, key: usize, event: Event) {
        if let Some(Source::Conn(conn)) = self.sources.get_mut(key) {
            conn.is_reset |= event.is_err() == Some(true);
        }
    }

    /// Checks the outcome of a connect; true if the connection is established.
    pub(super) fn check_connect(&mut self, key: usize) -> bool {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return false };
        let id = ConnId { key, generation: conn.generation };
        match conn.socket.take_error() {
            Ok(None) if conn.socket.peer_addr().is_ok() => {
                conn.connecting = false;
                self.pending_events.push_back(ReactorEvent::Connected { conn: id });
                true
            }
            Ok(None) => false,
            Ok(Some(cause)) | Err(cause) => {
                conn.ended = true;
                let cause = CloseCause::ConnectFailed(cause);
                self.pending_events.push_back(ReactorEvent::Closed { conn: id, cause });
                self.rearm(key);
                false
            }
        }
    }

    /// Writes queued bytes; returns the cause if the connection ends.
    pub(super) fn write_unsent(&mut self, key: usize) -> Option<CloseCause> {
        let now = self.clock.now();
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return None };
        if conn.unsent == 0 {
            return None;
        }
        let id = ConnId { key, generation: conn.generation };
        let written = conn.write_available(now);
        let (is_empty, closing, read_closed) = (conn.unsent == 0, conn.closing, conn.read_closed);
        self.update_buffered(key);
        self.resume_after_output(key);
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
                self.pending_events.push_back(ReactorEvent::Flushed { conn: id });
                read_closed.then_some(CloseCause::PeerClosed)
            }
            (Ok(()), _) => None,
            (Err(cause), _) => Some(CloseCause::Broken(cause)),
        }
    }

    /// Resumes reading where the buffer was full, and releases the memory of consumed input; to be called after
    /// consuming input.
    pub fn input_consumed(&mut self, id: ConnId) {
        if let Some(conn) = self.conn_mut(id) {
            conn.release_consumed();
            self.update_buffered(id.key);
            self.rearm(id.key);
        }
    }

    pub fn local_address(&self, id: ConnId) -> Option<SocketAddr> {
        self.conn(id).and_then(|conn| conn.socket.local_addr().ok())
    }
}
