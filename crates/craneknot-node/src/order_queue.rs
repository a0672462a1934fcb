//! Orders on their way to the relay: one call at a time, in order, made again until it is known to be carried out.
//!
//! A call that is broken off, or whose answer can't be read, was carried out or was not. All orders set what they
//! name, so that carrying one out twice leaves the same; the call is made again from its first order.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_http::request;
use craneknot_platform::relay::{self, Answer, Refusal};
use http::{header, Method};

use crate::link::{backoff, Act, Callee, LinkId, Links};

const ANSWER_TIMEOUT: Nanos = Nanos::from_millis(200); // ms; it comes within 50 or never, and we may be held up
const DIAL_TIMEOUT: Nanos = Nanos::from_millis(300); // ms; to be connected and answered on a new connection
const BACKOFF_FIRST: Nanos = Nanos::from_millis(20); // ms; first wait before a call is made again, doubled each time
const BACKOFF_MAX: Nanos = Nanos::from_millis(320); // ms; the longest: proxies wait for their lines
const THROTTLED_WAIT: Nanos = Nanos::from_millis(100); // ms; it said that it is busy
const REFUSED_RETRY_DELAY: Nanos = Nanos::from_millis(700); // ms; news that a proxy has left comes within, mostly
const SUSPECT_AFTER_REFUSALS: u32 = 2; // refusals in a row, each of another proxy: one or two leave in the usual coming and going
const SUSPECT_DOUBLINGS_MAX: u32 = 12; // more proxies than there are
const COMPACT_MIN_ORDERS: usize = 4_096; // orders in line, some two calls: a relay that is there takes them before
const ORDER_OVERHEAD_BYTES: usize = 8; // bytes that one order's signs grow by when escaped, at most, and its end

/// An order as the relay reads it, and the proxy without which it is of no use.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedOrder {
    pub order: Order,
    pub text: String,
    pub proxy: Option<ProxyId>,
    /// What it sets: a later order of the same subject leaves nothing of it.
    pub subject: Option<String>,
}

/// What became of an order. Each that was offered has one outcome, unless the process ends before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The relay has carried it out.
    Taken,
    /// The relay can't use it, looked at twice.
    Refused,
    /// A later order of the same subject took its place.
    Superseded,
    /// Its proxy has left.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// Nothing is in flight; a call may be made from then on.
    Idle { call_from: Nanos },
    /// The first `orders` of the queue have been sent; `kept`: on a connection that served before.
    InFlight { deadline: Nanos, orders: usize, reused: bool },
}

/// An order in line.
struct Queued {
    order: EncodedOrder,
    /// Its place among all that were ever offered.
    number: u64,
    /// Its proxy left while it was in flight: it is not sent again.
    is_cancelled: bool,
    /// The relay could not use it once.
    was_refused: bool,
    /// Its proxy may have left, as many before it had: it goes out behind all others.
    is_suspect: bool,
}

/// The orders of a proxy that the relay does not know: it may have left, news of which is on its way, or the
/// relay's count was malformed. They wait, in order, and hold up nobody else's.
struct Deferred {
    retry_at: Nanos,
    orders: VecDeque<Queued>,
}

pub struct OrderQueue {
    relay: Callee,
    queue: VecDeque<Queued>,
    deferred: BTreeMap<ProxyId, Deferred>,
    /// Proxies whose orders go out behind all others.
    suspects: BTreeSet<ProxyId>,
    /// Calls in a row that ended with an order for a proxy that the relay does not know.
    refusals_in_row: u32,
    /// The queue's length at which it is folded next.
    compact_at: usize,
    state: CallState,
    /// Calls in a row that came to nothing.
    failures: u32,
    /// The last answer said that the relay takes no calls for now.
    is_throttled: bool,
    /// Orders given up on, since the relay can't use them; calls made again.
    pub rejected: u64,
    pub retried: u64,
    /// Orders offered, ever.
    enqueued: u64,
    last_acknowledged: LastAcknowledged,
    overtaken: u64,
    /// What has become of orders since that was last asked for.
    outcomes: Vec<(Order, OrderOutcome)>,
}

/// The last order known to be taken, by proxy (nothing: of those for all).
#[derive(Debug, Default)]
pub struct LastAcknowledged(BTreeMap<Option<ProxyId>, u64>);

impl LastAcknowledged {
    /// An order was taken; `number` is its place among all that were offered. False: a later one had been taken before.
    pub fn record(&mut self, proxy: Option<ProxyId>, number: u64) -> bool {
        let last = self.0.entry(proxy).or_default();
        let in_order = number >= *last;
        *last = number;
        in_order
    }

    /// A proxy has left: when it comes again, its orders begin anew.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.0.remove(&Some(proxy));
    }
}

impl OrderQueue {
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        OrderQueue {
            relay: Callee::new(address),
            queue: VecDeque::new(),
            deferred: BTreeMap::new(),
            suspects: BTreeSet::new(),
            refusals_in_row: 0,
            compact_at: COMPACT_MIN_ORDERS,
            state: CallState::Idle { call_from: now },
            failures: 0,
            is_throttled: false,
            rejected: 0,
            retried: 0,
            enqueued: 0,
            last_acknowledged: LastAcknowledged::default(),
            overtaken: 0,
            outcomes: Vec::new(),
        }
    }

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
            CallState::InFlight { orders, .. } => orders,
        }
    }

    /// While the relay is out of reach orders pile up. What goes out later is what stands, not its history: of the
    /// orders of one subject the last is kept, in its place, so that a line is set before the one it replaces goes.
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

    /// What has become of orders since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(Order, OrderOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Calls in a row that came to nothing.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the relay takes no calls for now, by its last answer.
    pub fn is_throttled(&self) -> bool {
        self.is_throttled
    }

    /// Orders not known to be taken.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred.values().map(|deferred| deferred.orders.len()).sum::<usize>()
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.relay.has(link)
    }

    /// A proxy has left: orders for it alone are of no use. Those in flight stand until their call has ended,
    /// since its answer counts them.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
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

    /// Takes out what is of no use any more, but for the first `sent` orders.
    fn drop_cancelled(&mut self, sent: usize) {
        let (cancelled, remaining): (Vec<Queued>, Vec<Queued>) =
            self.queue.drain(sent..).partition(|queued| queued.is_cancelled);
        self.queue.extend(remaining);
        self.record_outcome(cancelled, OrderOutcome::Cancelled);
    }

    /// The call in flight has ended.
    fn end_call(&mut self, call_from: Nanos) {
        self.state = CallState::Idle { call_from };
        self.drop_cancelled(0);
    }

    /// The relay is elsewhere from now on.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr, link_actions: &mut Vec<Act>) {
        if self.relay.move_to(address, link_actions) {
            self.end_call(now);
        }
    }

    /// Makes the next call where one is due, and gives up on one that has waited too long.
    pub fn turn(&mut self, now: Nanos, links: &mut Links, link_actions: &mut Vec<Act>) {
        if let CallState::InFlight { deadline, .. } = self.state {
            if now < deadline {
                return;
            }
            self.relay.hang_up(link_actions);
            self.fail(now);
        }
        let CallState::Idle { call_from } = self.state else { return };
        for (proxy, mut deferred) in self.deferred.extract_if(.., |_, deferred| deferred.retry_at <= now) {
            let is_suspect = self.suspects.contains(&proxy);
            deferred.orders.iter_mut().for_each(|queued| queued.is_suspect = is_suspect);
            self.queue.extend(deferred.orders);
        }
        if call_from > now || self.queue.is_empty() {
            return;
        }
        self.move_suspects_back();
        let (mut orders, mut bytes) = (0, 0);
        for queued in &self.queue {
            bytes += queued.order.text.len() + ORDER_OVERHEAD_BYTES;
            if bytes > relay::CALL_MOST && orders > 0 {
                break;
            }
            orders += 1;
        }
        let texts: Vec<&str> =
            self.queue.iter().take(orders).map(|queued| queued.order.text.as_str()).collect();
        let (host, body) = (self.relay.host(), relay::form(&texts));
        let headers = [(header::CONTENT_TYPE, relay::FORM)];
        let request = request(&Method::POST, relay::PATH, &host, &headers, body.as_bytes());
        let reused = !self.relay.call(request, links, link_actions);
        let deadline = now + if reused { ANSWER_TIMEOUT } else { DIAL_TIMEOUT };
        self.state = CallState::InFlight { deadline, orders, reused };
    }

    fn fail(&mut self, now: Nanos) {
        let wait = backoff(self.failures, BACKOFF_FIRST, BACKOFF_MAX);
        self.failures += 1;
        self.retried += 1;
        self.end_call(now + wait);
    }

    /// The connection has ended.
    pub fn lost(&mut self, now: Nanos) {
        self.relay.lost();
        match self.state {
            CallState::Idle { .. } => {}
            // A kept connection may have been closed as the call went out, which says nothing of the relay.
            CallState::InFlight { reused: true, .. } => {
                self.retried += 1;
                self.end_call(now);
            }
            CallState::InFlight { reused: false, .. } => self.fail(now),
        }
    }

    /// An answer has come; `keeps`: the connection may be used again. What is wrong, if anything is.
    pub fn answered(
        &mut self,
        now: Nanos,
        body: &[u8],
        keep_alive: bool,
        link_actions: &mut Vec<Act>,
    ) -> Result<(), String> {
        if !keep_alive {
            self.relay.hang_up(link_actions);
        }
        let CallState::InFlight { orders, .. } = self.state else {
            self.relay.hang_up(link_actions);
            return Err("the relay answered what was not asked".into());
        };
        let answer = relay::answer(body, orders);
        self.is_throttled = matches!(answer, Ok(Answer::Refused(Refusal::Throttled)));
        match answer {
            Ok(Answer::Taken(taken)) => {
                self.failures = 0;
                self.acknowledge(taken);
                self.refusals_in_row = if taken < orders { self.refusals_in_row } else { 0 };
                // The relay can't use the next one, unless it is void by now.
                let is_refused = taken < orders && self.queue.front().is_some_and(|next| !next.is_cancelled);
                let given_up = if is_refused { self.order_refused(now) } else { None };
                self.end_call(now);
                given_up.map_or(Ok(()), |order| Err(format!("the relay can't use {}", order.text)))
            }
            Ok(Answer::Refused(Refusal::Throttled)) => {
                self.end_call(now + THROTTLED_WAIT);
                Ok(())
            }
            Ok(Answer::Refused(Refusal::Passing)) => {
                self.fail(now);
                Ok(())
            }
            Ok(Answer::Refused(Refusal::Invalid)) => {
                self.fail(now);
                Err("the relay calls a call invalid".into())
            }
            Err(cause) => {
                self.relay.hang_up(link_actions);
                self.fail(now);
                Err(cause)
            }
        }
    }

    /// The first orders of the queue were taken. That none of a proxy's, or of those for all, overtook another is
    /// checked here, where it is known what the relay did.
    fn acknowledge(&mut self, count: usize) {
        let taken: Vec<Queued> = self.queue.drain(..count).collect();
        for queued in taken {
            if queued.order.proxy.is_some_and(|proxy| self.suspects.remove(&proxy)) {
                self.clear_suspicion(queued.order.proxy);
            }
            let in_order = self.last_acknowledged.record(queued.order.proxy, queued.number);
            self.overtaken += u64::from(!in_order);
            // It may have been carried out for the proxy's stream before.
            let outcome = if queued.is_cancelled { OrderOutcome::Cancelled } else { OrderOutcome::Taken };
            self.record_outcome([queued], outcome);
        }
    }

    /// Orders taken out of the order in which they were given, since the last call.
    pub fn take_overtaken(&mut self) -> u64 {
        std::mem::take(&mut self.overtaken)
    }

    /// The first order of the queue was not taken. A count malformed on its way must not lose an order, so
    /// that it is tried once more, then given up and returned. One for a proxy waits for that with all of that
    /// proxy's: where hundreds leave at once, the others' orders must not wait for each of them.
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
        // It stays behind the others until the relay takes an order for it.
        if self.refusals_in_row > SUSPECT_AFTER_REFUSALS {
            self.suspects.insert(proxy);
        }
        self.extend_suspects();
        None
    }

    /// Where one proxy after the other has left, each would cost a call: more and more of those that follow are put
    /// behind all others, twice as many with each refusal, so that these are held up by a few calls only.
    fn extend_suspects(&mut self) {
        let Some(doublings) = self.refusals_in_row.checked_sub(SUSPECT_AFTER_REFUSALS) else { return };
        let suspects_max = 2usize << doublings.min(SUSPECT_DOUBLINGS_MAX);
        let unsuspected = self.queue.iter().filter(|queued| !queued.is_suspect);
        let mut next = BTreeSet::new();
        for proxy in unsuspected.filter_map(|queued| queued.order.proxy) {
            if next.len() >= suspects_max {
                break;
            }
            next.insert(proxy);
        }
        for queued in &mut self.queue {
            queued.is_suspect |= queued.order.proxy.is_some_and(|proxy| next.contains(&proxy));
        }
        self.suspects.extend(next);
    }

    /// The relay knows this proxy.
    fn clear_suspicion(&mut self, proxy: Option<ProxyId>) {
        let own_orders = self.queue.iter_mut().filter(|queued| queued.order.proxy == proxy);
        own_orders.for_each(|queued| queued.is_suspect = false);
    }

    /// Puts suspects behind all others, in their order; nothing is in flight.
    fn move_suspects_back(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let (suspects, others): (VecDeque<Queued>, VecDeque<Queued>) =
            std::mem::take(&mut self.queue).into_iter().partition(|queued| queued.is_suspect);
        self.queue = others;
        self.queue.extend(suspects);
    }

    /// Whether nothing waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

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
