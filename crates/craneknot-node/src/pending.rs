//! The one ledger of what is owed: requests that were read and not answered, lines that were read in part, answers that
//! are not written yet, and orders that the relay has not acknowledged.
//!
//! Each is entered when it begins and cleared when it is done. Whoever closes a connection or ends the process (a
//! shutdown, an eviction, an idle close, a hand-over to a newer connection) asks here first. What is closed all the same
//! while it is owed counts as a violation, which the status line tells.

use std::collections::BTreeMap;

use crate::clients::ClientId;

/// What is owed to one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PendingClient {
    /// Requests read whole and not answered yet.
    requests: u32,
    /// The beginning of a line was read, its end not yet.
    partial: bool,
    /// Answers given to the connection, of which the system has not taken all yet.
    unsent: bool,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer has ended or broken it: nobody is there to be answered.
    ByPeer,
    /// The client was told that it is turned away, which is its final answer.
    Rejected,
    /// Closed by us without a word.
    Dropped,
}

/// How often what was owed was not done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Connections closed by us with a request read and not answered.
    pub closed_unanswered: u64,
    /// Orders that the process ended without having them acknowledged.
    pub orders_dropped: u64,
    /// Orders refused on their way out, since they would have broken a rule.
    pub orders_forbidden: u64,
    /// Orders sent out of the order in which they were given.
    pub orders_overtaken: u64,
}

impl Violations {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.closed_unanswered + self.orders_dropped + self.orders_forbidden + self.orders_overtaken
    }
}

/// The ledger. Clients that owe and are owed nothing have no entry.
#[derive(Debug, Default)]
pub struct PendingWork {
    clients: BTreeMap<ClientId, PendingClient>,
    unacknowledged_orders: usize,
    violations: Violations,
}

impl PendingWork {
    fn update(&mut self, id: ClientId, change: impl FnOnce(&mut PendingClient)) {
        let client = self.clients.entry(id).or_default();
        change(client);
        if *client == PendingClient::default() {
            self.clients.remove(&id);
        }
    }

    /// A request was read whole.
    pub fn request_read(&mut self, id: ClientId) {
        self.update(id, |client| client.requests += 1);
    }

    /// The answer to the oldest request was given to the connection; `unsent`: the system has not taken all of it.
    pub fn request_answered(&mut self, id: ClientId, unsent: bool) {
        self.update(id, |client| {
            client.requests = client.requests.saturating_sub(1);
            client.unsent = unsent;
        });
    }

    /// All that was given to the connection is written.
    pub fn flushed(&mut self, id: ClientId) {
        self.update(id, |client| client.unsent = false);
    }

    /// Whether the last line read is not whole yet.
    pub fn set_partial(&mut self, id: ClientId, partial: bool) {
        self.update(id, |client| client.partial = partial);
    }

    /// Orders that are not acknowledged, as of now.
    pub fn set_unacknowledged_orders(&mut self, orders: usize) {
        self.unacknowledged_orders = orders;
    }

    /// A connection ends: nothing is owed on it any more.
    pub fn closed(&mut self, id: ClientId, reason: CloseReason) {
        let pending = self.clients.remove(&id);
        if reason == CloseReason::Dropped && pending.is_some() {
            self.violations.closed_unanswered += 1;
        }
    }

    /// The process ends: what is owed now will not be done.
    pub fn abandon(&mut self) {
        self.violations.closed_unanswered += std::mem::take(&mut self.clients).len() as u64;
        self.violations.orders_dropped += std::mem::take(&mut self.unacknowledged_orders) as u64;
    }

    /// An order was refused on its way out.
    pub fn order_forbidden(&mut self) {
        self.violations.orders_forbidden += 1;
    }

    /// An order was sent out of its turn.
    pub fn orders_overtaken(&mut self, count: u64) {
        self.violations.orders_overtaken += count;
    }

    /// Whether anything is owed to a client.
    pub fn has_pending(&self, id: ClientId) -> bool {
        self.clients.contains_key(&id)
    }

    /// Clients that something is owed to.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Orders not acknowledged.
    pub fn unacknowledged_orders(&self) -> usize {
        self.unacknowledged_orders
    }

    /// Whether nothing is owed to anybody.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty() && self.unacknowledged_orders == 0
    }

    /// What was owed and not done.
    pub fn violations(&self) -> Violations {
        self.violations
    }
}
