//! The queue of orders for the relay. One call is in flight at a time; orders are sent in sequence, and a
//! call is repeated until it is known to have been carried out.
//!
//! A call whose connection broke, or whose answer can't be read, may or may not have been carried out. Orders
//! are idempotent, so the call is repeated from its first order. What it may have written counts towards the
//! limits of the channel, as does each repetition. A call waits until they allow it; where they don't allow a
//! repetition, a probe that writes nothing finds out whether the relay answers again.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_http::request;
use craneknot_platform::relay::{self, Answer, Rejection};
use http::{header, Method};

use crate::call_limits::{Admission, CallLimits};
use crate::link::{backoff, LinkAction, LinkId, LinkIds, PeerConnection};
use crate::relay_state::Execution;

// the relay answers within 50 ms or never; the rest allows for delays on our side
const ANSWER_TIMEOUT: Nanos = Nanos::from_millis(200);
const DIAL_TIMEOUT: Nanos = Nanos::from_millis(300); // to connect and receive the answer
/// Wait before the first retry, doubled with each further one.
const INITIAL_BACKOFF: Nanos = Nanos::from_millis(20);
const MAX_BACKOFF: Nanos = Nanos::from_millis(320); // longest wait: proxies are waiting for their lines
const THROTTLED_WAIT: Nanos = Nanos::from_millis(100); // after the relay has answered that it is throttling
/// Most events for a proxy that has left arrive within this time.
const REFUSED_RETRY_DELAY: Nanos = Nanos::from_millis(700);
// refusals in a row, each for another proxy: one or two proxies leave in normal operation
const SUSPECT_AFTER_REFUSALS: u32 = 2;
const MAX_SUSPECT_DOUBLINGS: u32 = 12; // 2 << 12 is more than the number of proxies
/// The mark that a probe carries. Without other orders no proxy is sent it.
const PROBE_MARK: u16 = 0;
/// About two calls: while the relay is reachable, the queue stays shorter than this.
const COMPACT_MIN_ORDERS: usize = 4_096;
// upper bound per order: the bytes added by escaping its special characters, and its separator
const ORDER_OVERHEAD_BYTES: usize = 8;

/// An order in the relay's encoding, and the proxy that it depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedOrder {
    pub order: Order,
    pub text: String,
    pub proxy: Option<ProxyId>,
    /// What the order sets: a later order with the same subject overwrites it.
    pub subject: Option<String>,
}

/// The outcome of an order. Each enqueued order has exactly one, unless the process ends first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The relay has carried it out.
    Taken,
    /// The relay has refused it twice.
    Refused,
    /// A later order with the same subject replaced it.
    Superseded,
    /// Its proxy has left.
    Cancelled,
}

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
    /// A mark that no proxy is sent.
    Probe,
}

impl CallContent {
    /// Its number of orders from the queue.
    fn queued_orders(self) -> usize {
        match self {
            CallContent::Orders(orders) => orders,
            CallContent::Probe => 0,
        }
    }
}

/// An order in the queue.
struct Queued {
    order: EncodedOrder,
    /// Its sequence number among all enqueued orders.
    number: u64,
    /// Its proxy left while the order was in flight: it is not sent again.
    is_cancelled: bool,
    /// The relay has refused it once.
    was_refused: bool,
    /// Its proxy may have left, because many before it had: the order is sent after all others.
    is_suspect: bool,
}

/// The orders for a proxy that the relay does not know: the proxy may have left and the event for that is
/// delayed, or the relay's count was malformed. They wait in sequence and don't delay the orders of others.
struct Deferred {
    retry_at: Nanos,
    orders: VecDeque<Queued>,
}

/// The queue, and the state of the call in flight.
pub struct OrderQueue {
    relay: PeerConnection,
    queue: VecDeque<Queued>,
    deferred: BTreeMap<ProxyId, Deferred>,
    /// Proxies whose orders are sent after all others.
    suspects: BTreeSet<ProxyId>,
    /// Consecutive calls that ended with an order for a proxy that the relay does not know.
    refusals_in_row: u32,
    /// The length at which the queue is compacted next.
    compact_at: usize,
    state: CallState,
    limits: CallLimits,
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
    /// Number of orders enqueued since the start.
    enqueued: u64,
    last_acknowledged: LastAcknowledged,
    overtaken: u64,
    /// The outcomes since the last call of `take_outcomes`.
    outcomes: Vec<(Order, OrderOutcome)>,
}

/// The sequence number of the last acknowledged order for each proxy; `None` stands for orders that concern
/// all proxies.
#[derive(Debug, Default)]
pub struct LastAcknowledged(BTreeMap<Option<ProxyId>, u64>);

impl LastAcknowledged {
    /// Records that the order with this sequence number was acknowledged. Returns false if a later one had
    /// been acknowledged before.
    pub fn record(&mut self, proxy: Option<ProxyId>, number: u64) -> bool {
        let last = self.0.entry(proxy).or_default();
        let in_order = number >= *last;
        *last = number;
        in_order
    }

    /// Forgets a proxy that has left: if it joins again, its sequence starts again.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.0.remove(&Some(proxy));
    }
}

/// The answer to a probe, without its mark.
fn without_probe_mark(answer: Answer) -> Answer {
    match answer {
        Answer::Accepted(_) => Answer::Accepted(0),
        Answer::Rejected(rejection) => Answer::Rejected(rejection),
    }
}

impl OrderQueue {
    /// An empty queue for the relay at this address.
    pub fn new(address: SocketAddr, limits: CallLimits, now: Nanos) -> Self {
        OrderQueue {
            relay: PeerConnection::new(address),
            queue: VecDeque::new(),
            deferred: BTreeMap::new(),
            suspects: BTreeSet::new(),
            refusals_in_row: 0,
            compact_at: COMPACT_MIN_ORDERS,
            state: CallState::Idle { call_from: now },
            limits,
            is_in_doubt: false,
            is_limited: false,
            failures: 0,
            is_throttled: false,
            rejected: 0,
            retried: 0,
            delayed: 0,
            enqueued: 0,
            last_acknowledged: LastAcknowledged::default(),
            overtaken: 0,
            outcomes: Vec::new(),
        }
    }

    /// Adds orders, which are sent in this sequence.
    pub fn enqueue(&mut self, orders: impl IntoIterator<Item = EncodedOrder>) {
        for order in orders {
            self.enqueued += 1;
            let deferred = order.proxy.and_then(|proxy| self.deferred.get_mut(&proxy));
            let is_suspect = order.proxy.is_some_and(|proxy| self.suspects.contains(&proxy));
            let queued =
                Queued { order, number: self.enqueued, is_cancelled: false, was_refused: false, is_suspect };
            deferred.map_or(&mut self.queue, |deferred| &mut deferred.orders).push_back(queued);
        }
        if self.queue.len() >= self.compact_at {
            self.compact();
        }
    }

    fn in_flight(&self) -> usize {
        match self.state {
            CallState::Idle { .. } => 0,
            CallState::InFlight { content, .. } => content.queued_orders(),
        }
    }

    /// Bounds the queue while the relay is out of reach. Of the orders with one subject only the last is
    /// kept, at its position, so that a new line is still set before the line that it replaces is removed.
    fn compact(&mut self) {
        let first = self.in_flight();
        let mut seen: HashSet<String> = HashSet::new();
        let later = self.queue.drain(first..).rev();
        let (latest, superseded): (Vec<Queued>, Vec<Queued>) =
            later.partition(|queued| queued.order.subject.clone().is_none_or(|subject| seen.insert(subject)));
        self.queue.extend(latest.into_iter().rev());
        self.record_outcome(superseded, OrderOutcome::Superseded);
        self.compact_at = COMPACT_MIN_ORDERS.max(2 * self.queue.len());
    }

    fn record_outcome(&mut self, orders: impl IntoIterator<Item = Queued>, outcome: OrderOutcome) {
        self.outcomes.extend(orders.into_iter().map(|queued| (queued.order.order, outcome)));
    }

    /// The outcomes of orders since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(Order, OrderOutcome)> {
        std::mem::take(&mut self.outcomes)
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
        !self.queue.is_empty() && (self.is_in_doubt || self.failures > 0 || self.is_limited)
    }

    /// Number of orders not known to have been carried out.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred.values().map(|deferred| deferred.orders.len()).sum::<usize>()
    }

    /// Whether a link is the connection to the relay.
    pub fn has(&self, link: LinkId) -> bool {
        self.relay.has(link)
    }

    /// A proxy has joined.
    pub fn proxy_joined(&mut self, proxy: ProxyId) {
        self.limits.proxy_joined(proxy);
    }

    /// A proxy has left: orders that depend on it are dropped. Orders in flight stay until their call has
    /// ended, because its answer counts them.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.limits.proxy_left(proxy);
        let deferred = self.deferred.remove(&proxy);
        self.record_outcome(
            deferred.into_iter().flat_map(|deferred| deferred.orders),
            OrderOutcome::Cancelled,
        );
        self.last_acknowledged.forget(proxy);
        self.suspects.remove(&proxy);
        let sent = self.in_flight();
        for queued in self.queue.iter_mut().filter(|queued| queued.order.proxy == Some(proxy)) {
            queued.is_cancelled = true;
        }
        self.drop_cancelled(sent);
    }

    /// Removes cancelled orders after the first `sent` ones.
    fn drop_cancelled(&mut self, sent: usize) {
        let (cancelled, remaining): (Vec<Queued>, Vec<Queued>) =
            self.queue.drain(sent..).partition(|queued| queued.is_cancelled);
        self.queue.extend(remaining);
        self.record_outcome(cancelled, OrderOutcome::Cancelled);
    }

    /// Ends the call in flight; the next one may be made from `call_from`.
    fn end_call(&mut self, call_from: Nanos) {
        self.state = CallState::Idle { call_from };
        self.drop_cancelled(0);
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
        let orders = self.queue.iter().take(count).map(|queued| &queued.order.order);
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
        self.requeue_deferred(now);
        if self.queue.is_empty() {
            // No order is left to be repeated.
            self.is_in_doubt = false;
        } else if matches!(self.state, CallState::Idle { call_from } if call_from <= now) {
            self.move_suspects_back();
            self.make_next_call(now, links, link_actions);
        }
    }

    /// Returns deferred orders to the queue once their second attempt is due.
    fn requeue_deferred(&mut self, now: Nanos) {
        for (proxy, mut deferred) in self.deferred.extract_if(.., |_, deferred| deferred.retry_at <= now) {
            let is_suspect = self.suspects.contains(&proxy);
            deferred.orders.iter_mut().for_each(|queued| queued.is_suspect = is_suspect);
            self.queue.extend(deferred.orders);
        }
    }

    /// Sends the queue as far as the limits allow. A call that may not be repeated yet is replaced by a probe.
    fn make_next_call(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) {
        let fitting = self.orders_per_call();
        let orders = self.queue.iter().take(fitting).map(|queued| &queued.order.order);
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
        let fits = |queued: &&Queued| {
            let is_first = bytes == 0;
            bytes += queued.order.text.len() + ORDER_OVERHEAD_BYTES;
            is_first || bytes <= relay::MAX_CALL_BYTES
        };
        self.queue.iter().take_while(fits).count()
    }

    fn make_call(
        &mut self,
        now: Nanos,
        content: CallContent,
        links: &mut LinkIds,
        link_actions: &mut Vec<LinkAction>,
    ) {
        let (host, body) = (self.relay.host(), self.call_body(content));
        let headers = [(header::CONTENT_TYPE, relay::CONTENT_TYPE)];
        let request = request(&Method::POST, relay::PATH, &host, &headers, body.as_bytes());
        let reused = !self.relay.call(request, links, link_actions);
        let deadline = now + if reused { ANSWER_TIMEOUT } else { DIAL_TIMEOUT };
        self.state = CallState::InFlight { called_at: now, deadline, content, reused };
    }

    fn call_body(&self, content: CallContent) -> String {
        match content {
            CallContent::Orders(orders) => {
                let queued = self.queue.iter().take(orders);
                relay::call_body(&queued.map(|queued| queued.order.text.as_str()).collect::<Vec<&str>>())
            }
            CallContent::Probe => relay::call_body(&[&relay::encode_mark(PROBE_MARK)]),
        }
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
        let orders = content.queued_orders();
        let answer = match content {
            CallContent::Orders(orders) => relay::parse_answer(body, orders),
            CallContent::Probe => relay::parse_answer(body, 1).map(without_probe_mark),
        };
        self.is_throttled = matches!(answer, Ok(Answer::Rejected(Rejection::Throttled)));
        match answer {
            Ok(Answer::Accepted(accepted)) => {
                self.failures = 0;
                self.is_in_doubt = false;
                self.record_execution(called_at, accepted, Execution::Certain);
                self.acknowledge(accepted);
                self.refusals_in_row = if accepted < orders { self.refusals_in_row } else { 0 };
                // The relay refuses the next order, unless that was cancelled in the meantime.
                let is_refused =
                    accepted < orders && self.queue.front().is_some_and(|next| !next.is_cancelled);
                let given_up = if is_refused { self.order_refused(now) } else { None };
                self.end_call(now);
                given_up.map_or(Ok(()), |order| Err(format!("the relay rejected {} twice", order.text)))
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

    /// The relay has accepted the first `count` orders of the queue. Here, where the relay's actions are known,
    /// it is checked that no order of one proxy, or of those that concern all, overtook another.
    fn acknowledge(&mut self, count: usize) {
        let accepted: Vec<Queued> = self.queue.drain(..count).collect();
        for queued in accepted {
            if queued.order.proxy.is_some_and(|proxy| self.suspects.remove(&proxy)) {
                self.clear_suspicion(queued.order.proxy);
            }
            let in_order = self.last_acknowledged.record(queued.order.proxy, queued.number);
            self.overtaken += u64::from(!in_order);
            // It may have been carried out for the proxy's previous stream.
            let outcome = if queued.is_cancelled { OrderOutcome::Cancelled } else { OrderOutcome::Taken };
            self.record_outcome([queued], outcome);
        }
    }

    /// Number of orders accepted out of sequence since the last call.
    pub fn take_overtaken(&mut self) -> u64 {
        std::mem::take(&mut self.overtaken)
    }

    /// The first order of the queue was not accepted. It is sent once more, because the count may have been
    /// malformed in transit and an order must not be lost; after a second refusal it is dropped and returned.
    /// All orders of its proxy wait for the second attempt: when hundreds of proxies leave at once, the
    /// orders of the others must not be delayed by each of them.
    fn order_refused(&mut self, now: Nanos) -> Option<EncodedOrder> {
        let first = self.queue.front_mut()?;
        if first.was_refused {
            self.rejected += 1;
            let given_up = self.queue.pop_front()?;
            let order = given_up.order.clone();
            self.record_outcome([given_up], OrderOutcome::Refused);
            return Some(order);
        }
        first.was_refused = true;
        let proxy = first.order.proxy?;
        let (own_orders, others) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued: &Queued| queued.order.proxy == Some(proxy));
        self.queue = others;
        self.deferred.insert(proxy, Deferred { retry_at: now + REFUSED_RETRY_DELAY, orders: own_orders });
        self.refusals_in_row += 1;
        // Its orders stay after all others until the relay accepts one of them.
        if self.refusals_in_row > SUSPECT_AFTER_REFUSALS {
            self.suspects.insert(proxy);
        }
        self.extend_suspects();
        None
    }

    /// When many proxies leave in a row, each of them would cost a call. With each refusal twice as many of
    /// the following proxies become suspects, whose orders are sent after all others, so that the others are
    /// delayed by a few calls only.
    fn extend_suspects(&mut self) {
        let Some(doublings) = self.refusals_in_row.checked_sub(SUSPECT_AFTER_REFUSALS) else { return };
        let max_suspects = 2usize << doublings.min(MAX_SUSPECT_DOUBLINGS);
        let unsuspected = self.queue.iter().filter(|queued| !queued.is_suspect);
        let mut next = BTreeSet::new();
        for proxy in unsuspected.filter_map(|queued| queued.order.proxy) {
            if next.len() >= max_suspects {
                break;
            }
            next.insert(proxy);
        }
        for queued in &mut self.queue {
            queued.is_suspect |= queued.order.proxy.is_some_and(|proxy| next.contains(&proxy));
        }
        self.suspects.extend(next);
    }

    /// The relay knows this proxy: its orders keep their position again.
    fn clear_suspicion(&mut self, proxy: Option<ProxyId>) {
        let own_orders = self.queue.iter_mut().filter(|queued| queued.order.proxy == proxy);
        own_orders.for_each(|queued| queued.is_suspect = false);
    }

    /// Moves the orders of suspects to the end of the queue, in sequence. No call is in flight.
    fn move_suspects_back(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let (suspects, others): (VecDeque<Queued>, VecDeque<Queued>) =
            std::mem::take(&mut self.queue).into_iter().partition(|queued| queued.is_suspect);
        self.queue = others;
        self.queue.extend(suspects);
    }

    /// Whether no order is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

    /// When the next turn is due if no input arrives.
    pub fn next_at(&self) -> Option<Nanos> {
        let deferred = self.deferred.values().map(|deferred| deferred.retry_at);
        match self.state {
            CallState::Idle { call_from } => {
                let queued = (!self.queue.is_empty()).then_some(call_from);
                queued.into_iter().chain(deferred.map(|retry_at| retry_at.max(call_from))).min()
            }
            CallState::InFlight { deadline, .. } => Some(deadline),
        }
    }
}
