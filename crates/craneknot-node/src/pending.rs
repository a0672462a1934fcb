//! Tracks all pending work: requests read and not answered, partially read lines, answers not written yet,
//! and orders that the relay has not acknowledged.
//!
//! Work is recorded when it begins and cleared when it is done. Code that closes a connection or ends the
//! process (shutdown, eviction, idle timeout, replacement by a newer connection) checks here first. Closing
//! despite pending work counts as a violation, which the status line reports.

use std::collections::BTreeMap;

use crate::clients::ClientId;

/// The pending work of one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PendingClient {
    /// Requests read completely and not answered yet.
    requests: u32,
    /// The last line was read in part only.
    partial: bool,
    /// Answers passed to the connection that the system has not accepted completely yet.
    unsent: bool,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer has closed or broken it: nobody is left to be answered.
    ByPeer,
    /// The client was sent a rejection, which is its final answer.
    Rejected,
    /// Closed by us without an answer.
    Dropped,
}

/// How often pending work was abandoned or a rule on orders was violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Connections closed by us with a request read and not answered.
    pub closed_unanswered: u64,
    /// Orders not acknowledged when the process ended.
    pub orders_dropped: u64,
    /// Orders held back before sending because they would have violated a rule.
    pub orders_forbidden: u64,
    /// Orders sent out of sequence.
    pub orders_overtaken: u64,
}

impl Violations {
    /// The sum of all kinds.
    pub fn total(&self) -> u64 {
        self.closed_unanswered + self.orders_dropped + self.orders_forbidden + self.orders_overtaken
    }
}

/// All pending work. Clients without any have no entry.
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

    /// A request was read completely.
    pub fn request_read(&mut self, id: ClientId) {
        self.update(id, |client| client.requests += 1);
    }

    /// The answer to the oldest request was passed to the connection. `unsent`: the system has not accepted
    /// all of it yet.
    pub fn request_answered(&mut self, id: ClientId, unsent: bool) {
        self.update(id, |client| {
            client.requests = client.requests.saturating_sub(1);
            client.unsent = unsent;
        });
    }

    /// All output to the connection has been written.
    pub fn flushed(&mut self, id: ClientId) {
        self.update(id, |client| client.unsent = false);
    }

    /// Sets whether the last line was read in part only.
    pub fn set_partial(&mut self, id: ClientId, partial: bool) {
        self.update(id, |client| client.partial = partial);
    }

    /// Sets the number of orders not acknowledged at this time.
    pub fn set_unacknowledged_orders(&mut self, orders: usize) {
        self.unacknowledged_orders = orders;
    }

    /// A connection ends and leaves no pending work.
    pub fn closed(&mut self, id: ClientId, reason: CloseReason) {
        let pending = self.clients.remove(&id);
        if reason == CloseReason::Dropped && pending.is_some() {
            self.violations.closed_unanswered += 1;
        }
    }

    /// The process ends: the work pending now will not be done.
    pub fn abandon(&mut self) {
        self.violations.closed_unanswered += std::mem::take(&mut self.clients).len() as u64;
        self.violations.orders_dropped += std::mem::take(&mut self.unacknowledged_orders) as u64;
    }

    /// An order was held back before sending.
    pub fn order_forbidden(&mut self) {
        self.violations.orders_forbidden += 1;
    }

    /// Orders were sent out of sequence.
    pub fn orders_overtaken(&mut self, count: u64) {
        self.violations.orders_overtaken += count;
    }

    /// Whether a client has pending work.
    pub fn has_pending(&self, id: ClientId) -> bool {
        self.clients.contains_key(&id)
    }

    /// Whether a client has requests that are not answered, or answers that are not written.
    pub fn has_unanswered(&self, id: ClientId) -> bool {
        self.clients.get(&id).is_some_and(|client| client.requests > 0 || client.unsent)
    }

    /// Number of clients with pending work.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Number of orders not acknowledged.
    pub fn unacknowledged_orders(&self) -> usize {
        self.unacknowledged_orders
    }

    /// Whether no work is pending.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty() && self.unacknowledged_orders == 0
    }

    /// The violations so far.
    pub fn violations(&self) -> Violations {
        self.violations
    }
}
