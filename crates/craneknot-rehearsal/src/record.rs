//! What the stand-ins keep of all that crossed their sockets. The auditor judges from it alone.

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
    /// When it last started; nothing: long ago.
    pub started: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedAs {
    /// Answered within the latency goal.
    InGoal,
    /// Answered later.
    Late,
    /// Refused at the last, and told when to come back.
    Refused,
    Failed,
    /// No answer by the hard stop.
    GivenUp,
}

/// One thing that happened, and where it was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The list was written whole.
    Rostered {
        servers: Vec<Listed>,
    },
    /// The list cannot be read any more.
    RosterGone,
    Coordinator {
        coordinator: usize,
        up: bool,
    },
    /// The coordinator's process stands still, or goes on.
    Stalled {
        coordinator: usize,
        on: bool,
    },
    /// A discovery request of the proxy's agent crossed to the coordinator on a new connection.
    Joined {
        proxy: usize,
        coordinator: usize,
    },
    /// That connection ended.
    Left {
        proxy: usize,
        coordinator: usize,
    },
    /// What the coordinator says of its channel.
    Queue {
        coordinator: usize,
        lines: f64,
        most: f64,
    },
    /// The proxy took up a file: the servers it may pick from, by class.
    Swapped {
        proxy: usize,
        lines: BTreeMap<usize, Vec<usize>>,
        epoch: u64,
    },
    /// A file that the proxy read was not whole.
    Torn {
        proxy: usize,
        cause: String,
    },
    Proxy {
        proxy: usize,
        up: bool,
    },
    /// The proxy sends a try; `attempt` is the client's number of it, and stays in the proxy's further tries.
    Sent {
        proxy: usize,
        server: usize,
        op: OpId,
        attempt: u32,
        class: usize,
    },
    /// The try came in at the server, with so much work.
    Arrived {
        server: usize,
        proxy: usize,
        op: OpId,
        attempt: u32,
        class: usize,
        work: Nanos,
    },
    /// The server began to work on it: from here on it may have taken effect.
    Ran {
        server: usize,
        op: OpId,
        attempt: u32,
        class: usize,
    },
    /// The server runs so many times slower from now on; 1: as usual.
    Slowed {
        server: usize,
        factor: f64,
    },
    /// A server has started; nothing of it is warm yet.
    Started {
        server: usize,
    },
    Stopped {
        server: usize,
    },
    /// A cold server was sent too much and fell over.
    Fell {
        server: usize,
    },
    Asked {
        op: OpId,
        class: usize,
        zone: usize,
    },
    /// A proxy's try ended, as the proxy saw it.
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

#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Nanos,
    pub what: What,
}

/// A list of records in the order they were made.
#[derive(Default)]
pub struct Log(pub Vec<Record>);

impl Log {
    pub fn add(&mut self, at: Nanos, what: What) {
        self.0.push(Record { at, what });
    }
}

/// One record of all, in the order of time.
pub fn merge(logs: Vec<Log>) -> Vec<Record> {
    let mut all: Vec<Record> = logs.into_iter().flat_map(|log| log.0).collect();
    all.sort_by_key(|record| record.at);
    all
}
