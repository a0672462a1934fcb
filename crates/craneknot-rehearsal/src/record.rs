//! The record of everything that passed through the sockets of the simulated parties. The auditor uses nothing else.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;

use crate::proxy_policy::Tried;

/// An operation of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// A server as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub server: usize,
    pub draining: bool,
    /// When it last started; `None`: long ago.
    pub started: Option<Nanos>,
}

/// The outcome of an operation for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedAs {
    /// Answered within the latency goal.
    InGoal,
    /// Answered after the latency goal.
    Late,
    /// Rejected on the last attempt, with a time after which to retry.
    Refused,
    Failed,
    /// No answer by the hard stop.
    GivenUp,
}

/// An event, with the party that observed it.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The complete list was written.
    Rostered {
        servers: Vec<Listed>,
    },
    /// The list is no longer readable.
    RosterGone,
    Coordinator {
        coordinator: usize,
        up: bool,
    },
    /// The coordinator's process is stopped, or continues.
    Stalled {
        coordinator: usize,
        on: bool,
    },
    /// A discovery request of the proxy's agent reached the coordinator on a new connection.
    Joined {
        proxy: usize,
        coordinator: usize,
    },
    /// That connection ended.
    Left {
        proxy: usize,
        coordinator: usize,
    },
    /// The coordinator's status of its channel.
    Queue {
        coordinator: usize,
        lines: f64,
        most: f64,
    },
    /// The proxy loaded a file: the servers it may pick from, by class.
    Swapped {
        proxy: usize,
        lines: BTreeMap<usize, Vec<usize>>,
        epoch: u64,
    },
    /// The proxy read an incomplete file.
    Torn {
        proxy: usize,
        cause: String,
    },
    Proxy {
        proxy: usize,
        up: bool,
    },
    /// The proxy sends a try; `attempt` is the number of the client's attempt, kept over the proxy's retries.
    Sent {
        proxy: usize,
        server: usize,
        op: OpId,
        attempt: u32,
        class: usize,
    },
    /// The try arrived at the server, with this much work.
    Arrived {
        server: usize,
        proxy: usize,
        op: OpId,
        attempt: u32,
        class: usize,
        work: Nanos,
    },
    /// The server started the try: from here on it may have taken effect.
    Ran {
        server: usize,
        op: OpId,
        attempt: u32,
        class: usize,
    },
    /// The server is slowed by this factor from now on; 1: normal speed.
    Slowed {
        server: usize,
        factor: f64,
    },
    /// A server has started, completely cold.
    Started {
        server: usize,
    },
    Stopped {
        server: usize,
    },
    /// A cold server failed under overload.
    Fell {
        server: usize,
    },
    Asked {
        op: OpId,
        class: usize,
        zone: usize,
    },
    /// A proxy's try ended, with the outcome observed by the proxy.
    Tried {
        proxy: usize,
        server: usize,
        class: usize,
        how: Tried,
        took: Nanos,
    },
    Ended {
        op: OpId,
        class: usize,
        how: EndedAs,
        took: Nanos,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Nanos,
    pub what: What,
}

/// Records in the order in which they were made.
#[derive(Default)]
pub struct Log(pub Vec<Record>);

impl Log {
    pub fn add(&mut self, at: Nanos, what: What) {
        self.0.push(Record { at, what });
    }
}

/// Merges logs into one record, ordered by time.
pub fn merge(logs: Vec<Log>) -> Vec<Record> {
    let mut all: Vec<Record> = logs.into_iter().flat_map(|log| log.0).collect();
    all.sort_by_key(|record| record.at);
    all
}
