//! What crosses between a coordinator and the model: orders, acknowledgements, reports and refusals.

use std::fmt;
use std::time::Duration;

/// An order of a coordinator. Tables bear the coordinator's own numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sets one line of a table; weight 0 removes it.
    SetLine { table: u16, server: String, weight: f64 },
    /// Removes every line and level of a table.
    ClearTable { table: u16 },
    /// Sends a joined proxy a table for `classes`; none named means all.
    Bind { proxy: u16, table: u16, classes: Vec<usize> },
    /// Shuts a server out of whatever joined proxies hold.
    Withdraw { server: String },
    /// Lets a withdrawn server back.
    Restore { server: String },
    /// Sets a level and the way of retrying in one table, or for all joined proxies; no class named means all.
    Admit { table: Option<u16>, classes: Vec<usize>, level: f64, retry: u8 },
    /// Asks the proxies that this batch reaches for an answer, or all joined ones.
    Mark { mark: u16, all: bool },
}

/// Why an order or a call was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkloadError {
    /// No such proxy, or it has not joined this coordinator.
    UnknownProxy(u16),
    /// No such server.
    UnknownServer(String),
    /// No such coordinator.
    UnknownCoordinator(usize),
    /// No such class.
    UnknownClass(usize),
    /// A weight, level or way of retrying out of range.
    OutOfRange,
}

impl fmt::Display for WorkloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkloadError::UnknownProxy(proxy) => write!(f, "proxy {proxy} has not joined"),
            WorkloadError::UnknownServer(server) => write!(f, "server {server:?} is not known"),
            WorkloadError::UnknownCoordinator(coordinator) => {
                write!(f, "coordinator {coordinator} is not known")
            }
            WorkloadError::UnknownClass(class) => write!(f, "class {class} is not known"),
            WorkloadError::OutOfRange => f.write_str("a figure is out of range"),
        }
    }
}

impl std::error::Error for WorkloadError {}

/// A proxy has applied everything up to a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The proxy.
    pub proxy: u16,
    /// The number that the coordinator gave.
    pub mark: u16,
    /// Time from the order until it took effect.
    pub latency: Duration,
}

/// The load that a server reported last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub inflight: u32,
    /// Busy share of its cores.
    pub util: f64,
}

/// What the proxies of a zone met at a server since the report before.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// The server.
    pub server: String,
    /// Tries that ended.
    pub total: u64,
    /// Those that failed.
    pub errors: u64,
    /// Mean round trip of the rest.
    pub mean_round_trip: Option<Duration>,
    /// Last load report among the answers.
    pub load: Option<LoadReport>,
    /// The time over which this was counted.
    pub interval: Duration,
}

/// What came to a proxy since the report before.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    /// The proxy.
    pub proxy: u16,
    /// Index of the class.
    pub class: usize,
    /// Operations that came, refused ones included.
    pub total: u64,
    /// Those admitted that got no good answer.
    pub errors: u64,
    /// The time over which this was counted.
    pub interval: Duration,
}
