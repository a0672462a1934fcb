//! How the file descriptors that the process may hold are divided, so that no use of them starves another.

const RESERVED: usize = 28; // for the loop, the log, signals and the links to relay and discovery
const PROBES_MOST: usize = 16; // at once: they take servers' work too
const PROBES_PART: usize = 8; // one descriptor in so many is for probes, where there are few
const COLLECTORS_PART: usize = 8; // one in so many is kept for clients that have joined
const COLLECTORS_LEAST: usize = 8; // two zones with as many as each may have
const CONNECTIONS_LEAST: usize = 16;
const ROUND_PART: usize = 4; // of the clients that may come, one in so many is accepted in a round

/// The shares, in descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Probes in flight.
    pub probes: usize,
    /// Accepted connections.
    pub connections: usize,
    /// Accepted connections of clients that have not joined.
    pub unidentified: usize,
    /// Connections accepted in one round: whoever asks as it comes is heard before the next ones are taken in.
    pub accepts: usize,
}

impl Descriptors {
    /// Divides so many.
    pub fn divide(sockets: usize) -> Self {
        let probes = (sockets / PROBES_PART).clamp(1, PROBES_MOST);
        let connections = sockets.saturating_sub(RESERVED + probes).max(CONNECTIONS_LEAST);
        let collectors = (sockets / COLLECTORS_PART).max(COLLECTORS_LEAST);
        let unidentified = connections.saturating_sub(collectors).max(CONNECTIONS_LEAST / 2);
        Descriptors { probes, connections, unidentified, accepts: (unidentified / ROUND_PART).max(1) }
    }
}
