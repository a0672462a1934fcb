//! Data exchanged between a coordinator and the model: orders, acknowledgements, reports and errors.

use std::fmt;
use std::time::Duration;

/// An order of a coordinator. Each coordinator numbers its own tables.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sets one line of a table; a weight of 0 removes it.
    SetLine { table: u16, server: String, weight: f64 },
    /// Removes every line and level of a table.
    ClearTable { table: u16 },
    /// Sends a table for `classes` to a joined proxy; an empty list means all classes.
    Bind { proxy: u16, table: u16, classes: Vec<usize> },
    /// Excludes a server from all tables that joined proxies hold.
    Withdraw { server: String },
    /// Makes a withdrawn server usable again.
    Restore { server: String },
    /// Sets the level and retry mode in one table, or for all joined proxies; an empty class list means all.
    Admit { table: Option<u16>, classes: Vec<usize>, level: f64, retry: u8 },
    /// Requests an acknowledgement from the proxies that this batch reaches, or from all joined proxies.
    Mark { mark: u16, all: bool },
}

/// Why an order or a call was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkloadError {
    /// The proxy does not exist or has not joined this coordinator.
    UnknownProxy(u16),
    /// The server does not exist.
    UnknownServer(String),
    /// The coordinator does not exist.
    UnknownCoordinator(usize),
    /// The class does not exist.
    UnknownClass(usize),
    /// A table number, weight, level, retry mode or other argument is out of range.
    OutOfRange,
}

impl fmt::Display for WorkloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkloadError::UnknownProxy(proxy) => write!(f, "proxy {proxy} is unknown or has not joined"),
            WorkloadError::UnknownServer(server) => write!(f, "unknown server {server:?}"),
            WorkloadError::UnknownCoordinator(coordinator) => write!(f, "unknown coordinator {coordinator}"),
            WorkloadError::UnknownClass(class) => write!(f, "unknown class {class}"),
            WorkloadError::OutOfRange => f.write_str("argument is out of range"),
        }
    }
}

impl std::error::Error for WorkloadError {}

/// Confirms that a proxy has applied every update up to a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The proxy.
    pub proxy: u16,
    /// Number that the coordinator assigned to the mark.
    pub mark: u16,
    /// Time from the order until the proxy had applied it.
    pub latency: Duration,
}

/// The latest load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in service or queued.
    pub inflight: u32,
    /// Utilisation of its cores, from 0 to 1.
    pub util: f64,
}

/// Observed outcomes of the proxies of a zone at one server since the previous report.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// The server.
    pub server: String,
    /// Completed tries.
    pub total: u64,
    /// Failed tries.
    pub errors: u64,
    /// Mean round trip of the successful tries.
    pub mean_round_trip: Option<Duration>,
    /// Latest load report received with an answer.
    pub load: Option<LoadReport>,
    /// Time covered by the report.
    pub interval: Duration,
}

/// Operations that a proxy received since the previous report.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    /// The proxy.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// Operations received, including rejected ones.
    pub total: u64,
    /// Admitted operations that were not served.
    pub errors: u64,
    /// Time covered by the report.
    pub interval: Duration,
}
