//! Turns: how many requests of one connection are served before the other connections get their turn.

use super::{ConnId, Reactor, ReactorEvent, Source};

/// Requests of one connection served in a turn.
const MAX_REQUESTS_PER_TURN: usize = 4;
/// Bytes of answers that a peer may leave unread before its next request is served.
const MAX_UNREAD_BYTES: usize = 16 * 1024;

impl<T> Reactor<T> {
    /// Whether the owner may serve another request of a connection, after this number in the present turn. If not, the
    /// owner leaves the input as it is; [`ReactorEvent::Received`] is reported again in the next turn, or once the peer
    /// has read its answers.
    pub fn may_serve(&mut self, id: ConnId, served: usize) -> bool {
        let Some(conn) = self.conn_mut(id) else { return false };
        if conn.unsent > MAX_UNREAD_BYTES && !conn.is_output_shared {
            conn.awaits_output = true;
            self.rearm(id.key);
            return false;
        }
        if served < MAX_REQUESTS_PER_TURN {
            return true;
        }
        self.defer(id);
        false
    }

    /// Reports the connection's input again in the next turn.
    pub(super) fn defer(&mut self, id: ConnId) {
        let Some(conn) = self.conn_mut(id) else { return };
        if !std::mem::replace(&mut conn.is_deferred, true) {
            self.deferred.push(id);
        }
    }

    /// Resumes serving a connection whose peer has read its answers.
    pub(super) fn resume_after_output(&mut self, key: usize) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        if conn.unsent == 0 && std::mem::take(&mut conn.awaits_output) {
            let id = ConnId { key, generation: conn.generation };
            self.defer(id);
        }
    }

    /// Reports the input that was left for this turn.
    pub(super) fn report_deferred(&mut self) {
        for id in std::mem::take(&mut self.deferred) {
            if let Some(conn) = self.conn_mut(id) {
                conn.is_deferred = false;
                self.pending_events.push_back(ReactorEvent::Received { conn: id });
            }
        }
    }
}
