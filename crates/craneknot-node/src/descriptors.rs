//! Divides the process's file descriptors between their uses, so that no use starves another.

const RESERVED_DESCRIPTORS: usize = 28; // event loop, log, signals and connections to the relay and discovery
const MAX_PROBES: usize = 16; // concurrent ones: probes cost the servers work too
const PROBES_DIVISOR: usize = 8; // share for probes where descriptors are few: one in eight
const COLLECTORS_DIVISOR: usize = 8; // share reserved for collectors: one in eight
const MIN_COLLECTORS: usize = 8; // two zones with the maximum of collectors each
const MIN_CONNECTIONS: usize = 16;
const ACCEPTS_DIVISOR: usize = 4; // of the unidentified connections, one in four is accepted per round

/// Number of descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Concurrent probes.
    pub probes: usize,
    /// Accepted connections.
    pub connections: usize,
    /// Accepted connections of clients that are not collectors yet.
    pub unidentified: usize,
    /// Connections accepted per round: a request that a client sends on connecting is read before further
    /// connections are accepted.
    pub accepts: usize,
}

impl Descriptors {
    /// Divides this number of descriptors.
    pub fn divide(sockets: usize) -> Self {
        let probes = (sockets / PROBES_DIVISOR).clamp(1, MAX_PROBES);
        let connections = sockets.saturating_sub(RESERVED_DESCRIPTORS + probes).max(MIN_CONNECTIONS);
        let collectors = (sockets / COLLECTORS_DIVISOR).max(MIN_COLLECTORS);
        let unidentified = connections.saturating_sub(collectors).max(MIN_CONNECTIONS / 2);
        Descriptors { probes, connections, unidentified, accepts: (unidentified / ACCEPTS_DIVISOR).max(1) }
    }
}
