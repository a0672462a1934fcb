//! The queue of orders for the relay. One call is in flight at a time; orders are sent in sequence, and a
//! call is repeated until it is known to have been carried out.
//!
//! A call whose connection broke, or whose answer can't be read, may or may not have been carried out. Orders
//! are idempotent, so the call is repeated from its first order. What it may have written counts towards the
//! limits of the channel, as does each repetition. A call waits until they allow it; where they don't allow a
//! repetition, a probe that writes nothing finds out whether the relay answers again.

use std::net::SocketAddr;

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_http::request;
use craneknot_platform::relay::{self, Answer, Rejection};
use http::{header, Method};

use crate::call_limits::{Admission, CallLimits};
use crate::link::{backoff, LinkAction, LinkId, LinkIds, PeerConnection};
use crate::order_sequence::OrderSequence;
pub use crate::order_sequence::{EncodedOrder, LastAcknowledged, OrderOutcome};
use crate::relay_state::Execution;

// the relay answers within 50 ms or never; the rest allows for delays on our side
const ANSWER_TIMEOUT: Nanos = Nanos::from_millis(200);
const DIAL_TIMEOUT: Nanos = Nanos::from_millis(300); // to connect and receive the answer
/// Wait before the first retry, doubled with each further one.
const INITIAL_BACKOFF: Nanos = Nanos::from_millis(20);
const MAX_BACKOFF: Nanos = Nanos::from_millis(320); // longest wait: proxies are waiting for their lines
const THROTTLED_WAIT: Nanos = Nanos::from_millis(100); // after the relay has answered that it is throttling
/// Upper bound per order: the bytes added by escaping its special characters, and its separator.
const ORDER_OVERHEAD_BYTES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// No call is in flight; the next one may be made from `call_from`.
    Idle { call_from: Nanos },
    /// A call was sent at `called_at`. `reused`: on a connection that had carried a call before.
    InFlight { called_at: Nanos, deadline: Nanos, content: CallContent, reused: bool },
}

/// What a call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallContent {
    /// The first orders of the queue.
    Orders(usize),
    /// The last mark again. Without other orders no proxy is sent it.
    Probe,
}

impl CallContent {
    /// Its number of orders.
    fn orders(self) -> usize {
        match self {
            CallContent::Orders(orders) => orders,
            CallContent::Probe => 1,
        }
    }

    /// Its number of orders from the queue.
    fn queued_orders(self) -> usize {
        match self {
            CallContent::Orders(orders) => orders,
            CallContent::Probe => 0,
        }
    }
}

/// The queue, and the state of the call in flight.
pub struct OrderQueue {
    relay: PeerConnection,
    orders: OrderSequence,
    state: CallState,
    limits: CallLimits,
    /// The last mark that was sent. A probe repeats it, since marks must not decrease.
    last_mark: u16,
    /// The last call may have been carried out, and its orders are still queued.
    is_in_doubt: bool,
    /// The limits have delayed orders of the queue.
    is_limited: bool,
    /// Consecutive failed calls.
    failures: u32,
    /// The last answer said that the relay accepts no calls for now.
    is_throttled: bool,
    /// `rejected`: orders dropped because the relay refused them twice. `retried`: repeated calls. `delayed`: calls
    /// that the limits held back, in whole or in part.
    pub rejected: u64,
    pub retried: u64,
    pub delayed: u64,
}

impl OrderQueue {
    /// An empty queue for the relay at this address.
    pub fn new(address: SocketAddr, limits: CallLimits, now: Nanos) -> Self {
        OrderQueue {
            relay: PeerConnection::new(address),
            orders: OrderSequence::default(),
            state: CallState::Idle { call_from: now },
            limits,
            last_mark: 0,
            is_in_doubt: false,
            is_limited: false,
            failures: 0,
            is_throttled: false,
            rejected: 0,
            retried: 0,
            delayed: 0,
        }
    }

    fn in_flight(&self) -> usize {
        match self.state {
            CallState::Idle { .. } => 0,
            CallState::InFlight { content, .. } => content.queued_orders(),
        }
    }

    /// Adds orders, which are sent in this sequence.
    pub fn enqueue(&mut self, orders: impl IntoIterator<Item = EncodedOrder>) {
        self.orders.enqueue(orders, self.in_flight());
    }

    /// The outcomes of orders since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(Order, OrderOutcome)> {
        self.orders.take_outcomes()
    }

    /// Number of orders accepted out of sequence since the last call.
    pub fn take_overtaken(&mut self) -> u64 {
        self.orders.take_overtaken()
    }

    /// Number of orders not known to have been carried out.
    pub fn waiting(&self) -> usize {
        self.orders.waiting()
    }

    /// Consecutive failed calls.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the relay's last answer said that it accepts no calls for now.
    pub fn is_throttled(&self) -> bool {
        self.is_throttled
    }

    /// Lines that may wait in the channel, by the calls made so far.
    pub fn channel_lines(&self, now: Nanos) -> f64 {
        self.limits.lines_waiting(now)
    }

    /// The most lines that may have waited since the start.
    pub fn most_channel_lines(&self) -> f64 {
        self.limits.most_lines_waiting()
    }

    /// Whether orders wait for a call that failed, or for the limits of the channel.
    pub fn is_held_back(&self) -> bool {
        !self.orders.is_empty() && (self.is_in_doubt || self.failures > 0 || self.is_limited)
    }

    /// Whether a link is the connection to the relay.
    pub fn has(&self, link: LinkId) -> bool {
        self.relay.has(link)
    }

    /// A proxy has joined.
    pub fn proxy_joined(&mut self, proxy: ProxyId) {
        self.limits.proxy_joined(proxy);
    }

    /// A proxy has left: orders that depend on it are dropped.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.limits.proxy_left(proxy);
        self.orders.proxy_left(proxy, self.in_flight());
    }

    /// Ends the call in flight; the next one may be made from `call_from`.
    fn end_call(&mut self, call_from: Nanos) {
        self.state = CallState::Idle { call_from };
        self.orders.drop_cancelled(0);
    }

    /// Ends the call in flight, which may have been carried out.
    fn end_in_doubt(&mut self, call_from: Nanos) {
        if let CallState::InFlight { called_at, content, .. } = self.state {
            self.record_execution(called_at, content.queued_orders(), Execution::Possible);
            self.is_in_doubt = true;
        }
        self.end_call(call_from);
    }

    /// Records that the relay has carried out the first `count` orders of the queue, or may have.
    fn record_execution(&mut self, called_at: Nanos, count: usize, execution: Execution) {
        let orders = self.orders.next_orders().take(count).map(|next| &next.order);
        self.limits.record(called_at, orders, execution);
    }

    /// The relay has a new address.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr, link_actions: &mut Vec<LinkAction>) {
        if self.relay.move_to(address, link_actions) {
            self.end_in_doubt(now);
        }
    }

    /// Makes the next call when it is due, and times out a call in flight.
    pub fn turn(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) {
        if let CallState::InFlight { deadline, .. } = self.state {
            if now < deadline {
                return;
            }
            self.relay.close(link_actions);
            self.fail(now);
        }
        self.orders.requeue_deferred(now);
        if self.orders.is_empty() {
            // No order is left to be repeated.
            self.is_in_doubt = false;
        } else if matches!(self.state, CallState::Idle { call_from } if call_from <= now) {
            self.orders.move_suspects_back();
            self.make_next_call(now, links, link_actions);
        }
    }

    /// Sends the queue as far as the limits allow. A call that may not be repeated yet is replaced by a probe.
    fn make_next_call(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) {
        let fitting = self.orders_per_call();
        let orders = self.orders.next_orders().take(fitting).map(|next| &next.order);
        let admission = self.limits.admit(now, orders, self.is_in_doubt);
        self.is_limited = admission != Admission::Orders(fitting);
        self.delayed += u64::from(self.is_limited);
        match admission {
            Admission::Orders(orders) => {
                self.make_call(now, CallContent::Orders(orders), links, link_actions);
            }
            Admission::NotBefore(_) if self.is_in_doubt => {
                self.make_call(now, CallContent::Probe, links, link_actions);
            }
            Admission::NotBefore(call_from) => self.state = CallState::Idle { call_from },
        }
    }

    /// How many orders of the queue fit into one call.
    fn orders_per_call(&self) -> usize {
        let mut bytes = 0;
        let fits = |next: &&EncodedOrder| {
            let is_first = bytes == 0;
            bytes += next.text.len() + ORDER_OVERHEAD_BYTES;
            is_first || bytes <= relay::MAX_CALL_BYTES
        };
        self.orders.next_orders().take_while(fits).count()
    }

    fn make_call(
        &mut self,
        now: Nanos,
        content: CallContent,
        links: &mut LinkIds,
        link_actions: &mut Vec<LinkAction>,
    ) {
        let (host, body) = (self.relay.host(), self.call_body(content));
        self.last_mark = self.last_mark_of(content).unwrap_or(self.last_mark);
        let headers = [(header::CONTENT_TYPE, relay::CONTENT_TYPE)];
        let request = request(&Method::POST, relay::PATH, &host, &headers, body.as_bytes());
        let reused = !self.relay.call(request, links, link_actions);
        let deadline = now + if reused { ANSWER_TIMEOUT } else { DIAL_TIMEOUT };
        self.state = CallState::InFlight { called_at: now, deadline, content, reused };
    }

    fn call_body(&self, content: CallContent) -> String {
        match content {
            CallContent::Orders(orders) => {
                let next_orders = self.orders.next_orders().take(orders);
                relay::call_body(&next_orders.map(|next| next.text.as_str()).collect::<Vec<&str>>())
            }
            CallContent::Probe => relay::call_body(&[&relay::encode_mark(self.last_mark)]),
        }
    }

    /// The last of the queue's marks that a call carries.
    fn last_mark_of(&self, content: CallContent) -> Option<u16> {
        let called = self.orders.next_orders().take(content.queued_orders());
        let marks = called.filter_map(|next| match next.order {
            Order::Mark { mark } => Some(mark),
            _ => None,
        });
        marks.last()
    }

    /// The call in flight has failed and may have been carried out.
    fn fail(&mut self, now: Nanos) {
        let call_from = self.count_failure(now);
        self.end_in_doubt(call_from);
    }

    /// The call in flight has failed and was not carried out.
    fn fail_unexecuted(&mut self, now: Nanos) {
        let call_from = self.count_failure(now);
        self.end_call(call_from);
    }

    /// Counts a failed call. Returns from when on it may be repeated.
    fn count_failure(&mut self, now: Nanos) -> Nanos {
        let wait = backoff(self.failures, INITIAL_BACKOFF, MAX_BACKOFF);
        self.failures += 1;
        self.retried += 1;
        now + wait
    }

    /// The connection has ended.
    pub fn lost(&mut self, now: Nanos) {
        self.relay.lost();
        match self.state {
            CallState::Idle { .. } => {}
            // The relay may have closed the idle connection just as the call was sent, which is no failure of
            // the relay.
            CallState::InFlight { reused: true, .. } => {
                self.retried += 1;
                self.end_in_doubt(now);
            }
            CallState::InFlight { reused: false, .. } => self.fail(now),
        }
    }

    /// The connection could not be established, so the call was not sent.
    pub fn dial_failed(&mut self, now: Nanos) {
        self.relay.lost();
        if matches!(self.state, CallState::InFlight { .. }) {
            self.fail_unexecuted(now);
        }
    }

    /// An answer was received. `keep_alive`: the connection may be reused. Returns an error that describes
    /// what is wrong with the answer or with a refused order.
    pub fn answered(
        &mut self,
        now: Nanos,
        body: &[u8],
        keep_alive: bool,
        link_actions: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        if !keep_alive {
            self.relay.close(link_actions);
        }
        let CallState::InFlight { content, called_at, .. } = self.state else {
            self.relay.close(link_actions);
            return Err("the relay sent an answer without a request".into());
        };
        let answer = relay::parse_answer(body, content.orders());
        self.is_throttled = matches!(answer, Ok(Answer::Rejected(Rejection::Throttled)));
        match answer {
            Ok(Answer::Accepted(accepted)) => {
                self.failures = 0;
                self.is_in_doubt = false;
                self.call_accepted(now, called_at, content, accepted)
            }
            Ok(Answer::Rejected(Rejection::Throttled)) => {
                self.end_call(now + THROTTLED_WAIT);
                Ok(())
            }
            Ok(Answer::Rejected(Rejection::Transient)) => {
                self.fail_unexecuted(now);
                Ok(())
            }
            Ok(Answer::Rejected(Rejection::Invalid)) => {
                self.fail_unexecuted(now);
                Err("the relay rejected a call as invalid".into())
            }
            Err(cause) => {
                self.relay.close(link_actions);
                self.fail(now);
                Err(cause)
            }
        }
    }

    /// The relay has carried out the first `accepted` orders of the call in flight.
    fn call_accepted(
        &mut self,
        now: Nanos,
        called_at: Nanos,
        content: CallContent,
        accepted: usize,
    ) -> Result<(), String> {
        let given_up = match content {
            CallContent::Orders(called) => {
                self.record_execution(called_at, accepted, Execution::Certain);
                self.orders.call_answered(now, called, accepted)
            }
            CallContent::Probe => None,
        };
        self.end_call(now);
        match given_up {
            Some(order) => {
                self.rejected += 1;
                Err(format!("the relay rejected {} twice", order.text))
            }
            None => Ok(()),
        }
    }

    /// Whether no order is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

    /// When the next turn is due if no input arrives.
    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            CallState::Idle { call_from } => {
                let queued = (!self.orders.is_empty()).then_some(call_from);
                let deferred = self.orders.next_deferred_at().map(|retry_at| retry_at.max(call_from));
                queued.into_iter().chain(deferred).min()
            }
            CallState::InFlight { deadline, .. } => Some(deadline),
        }
    }
}
