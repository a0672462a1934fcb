//! The budget for the bytes that accepted connections hold together. A limit for each connection alone does not bound
//! the memory of a process that hundreds of peers connect to.

use craneknot::interface::Nanos;

use super::{ConnId, Reactor, Source};
use crate::conn::Conn;

/// The unfinished message of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    /// When its first byte was received.
    pub since: Nanos,
    /// Bytes of it that the owner holds, besides those in the connection's input.
    pub held_bytes: usize,
}

/// Connections are to be closed from this part of the limit on, so that the rest can be read for the others.
const CLOSE_NUMERATOR: usize = 3;
const CLOSE_DENOMINATOR: usize = 4;

impl<T> Reactor<T> {
    /// Bytes that the accepted connections hold together: input, unfinished messages, and output that is not shared.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered
    }

    /// Records the unfinished message of a connection, or that there is none.
    pub fn set_unfinished(&mut self, id: ConnId, unfinished: Option<Unfinished>) {
        if let Some(conn) = self.conn_mut(id) {
            conn.unfinished = unfinished;
            self.update_buffered(id.key);
        }
    }

    /// The output queued on a connection shares its memory with that of other connections and is not counted from now
    /// on.
    pub fn set_output_shared(&mut self, id: ConnId) {
        if let Some(conn) = self.conn_mut(id) {
            conn.is_output_shared = true;
            self.update_buffered(id.key);
        }
    }

    /// The connections that the owner has to close because all together hold too many bytes: those that have held
    /// theirs the longest first, as many as are needed. None if there is room.
    pub fn over_budget(&self) -> Vec<ConnId> {
        let allowed = self.limits.buffered / CLOSE_DENOMINATOR * CLOSE_NUMERATOR;
        if self.buffered <= allowed {
            return Vec::new();
        }
        let holder = |(key, source): (usize, &Source)| match source {
            Source::Conn(conn) if conn.counted > 0 => {
                Some((holding_since(conn)?, ConnId { key, generation: conn.generation }, conn.counted))
            }
            Source::Conn(_) | Source::Listener(_) | Source::Watched { .. } | Source::Wake { .. } => None,
        };
        let mut holders: Vec<(Nanos, ConnId, usize)> = self.sources.iter().filter_map(holder).collect();
        holders.sort_unstable_by_key(|(since, id, _)| (*since, *id));
        let mut excess = self.buffered - allowed;
        let needed = holders.into_iter().take_while(|(_, _, bytes)| {
            let is_needed = excess > 0;
            excess = excess.saturating_sub(*bytes);
            is_needed
        });
        needed.map(|(_, id, _)| id).collect()
    }

    /// Whether there is room to read from a connection.
    pub(super) fn may_read(&self, id: ConnId) -> bool {
        let is_accepted = self.conn(id).is_some_and(|conn| conn.accepted);
        !is_accepted || self.buffered < self.limits.buffered
    }

    /// Counts the bytes that a connection holds now.
    pub(super) fn update_buffered(&mut self, key: usize) {
        let Some(Source::Conn(conn)) = self.sources.get_mut(key) else { return };
        let now = if conn.accepted { held_bytes(conn) } else { 0 };
        let before = std::mem::replace(&mut conn.counted, now);
        self.buffered = self.buffered - before + now;
    }
}

fn held_bytes(conn: &Conn) -> usize {
    let unfinished = conn.unfinished.map_or(0, |unfinished| unfinished.held_bytes);
    let output = if conn.is_output_shared { 0 } else { conn.unsent };
    conn.input.capacity() + unfinished + output
}

/// Since when a connection has held bytes that only its peer can release. `None`: its input waits for the owner.
fn holding_since(conn: &Conn) -> Option<Nanos> {
    let unfinished = conn.unfinished.map(|unfinished| unfinished.since);
    let unread = (conn.unsent > 0 && !conn.is_output_shared).then_some(conn.last_progress);
    [unfinished, unread].into_iter().flatten().min()
}
