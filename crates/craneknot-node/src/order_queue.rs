//! Orders on their way to the relay: one call at a time, in order, made again until it is known to be carried out.
//!
//! A call that is broken off, or whose answer can't be read, was carried out or was not. All orders set what they
//! name, so that carrying one out twice leaves the same; the call is made again from its first order.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

use craneknot::interface::{Nanos, Order, ProxyId};
use craneknot_http::request;
use craneknot_platform::relay::{self, Answer, Rejection};
use http::{header, Method};

use crate::link::{backoff, LinkAction, LinkId, LinkIds, PeerConnection};

const ANSWER_MOST: Nanos = Nanos::from_millis(200); // ms; it comes within 50 or never, and we may be held up
const DIAL_MOST: Nanos = Nanos::from_millis(300); // ms; to be connected and answered on a new connection
const BACKOFF: Nanos = Nanos::from_millis(20); // ms; first wait before a call is made again, doubled each time
const BACKOFF_MOST: Nanos = Nanos::from_millis(320); // ms; the longest: proxies wait for their lines
const THROTTLED: Nanos = Nanos::from_millis(100); // ms; it said that it is busy
const SECOND_LOOK: Nanos = Nanos::from_millis(700); // ms; news that a proxy has left comes within, mostly
const SUSPECT_FROM: u32 = 2; // refusals in a row, each of another proxy: one or two leave in the usual coming and going
const SUSPECT_DOUBLINGS: u32 = 12; // more proxies than there are
const FOLD_FROM: usize = 4_096; // orders in line, some two calls: a relay that is there takes them before
const ORDER_COST: usize = 8; // bytes that one order's signs grow by when escaped, at most, and its end

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
pub enum Outcome {
    /// The relay has carried it out.
    Taken,
    /// The relay can't use it, looked at twice.
    Refused,
    /// A later order of the same subject took its place.
    Superseded,
    /// Its proxy has left.
    Void,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is in flight; a call may be made from then on.
    Resting { from: Nanos },
    /// The first `orders` of the queue have been sent; `kept`: on a connection that served before.
    Asked { until: Nanos, orders: usize, kept: bool },
}

/// An order in line.
struct Queued {
    order: EncodedOrder,
    /// Its place among all that were ever offered.
    number: u64,
    /// Its proxy left while it was in flight: it is not sent again.
    void: bool,
    /// The relay could not use it once.
    second: bool,
    /// Its proxy may have left, as many before it had: it goes out behind all others.
    suspect: bool,
}

/// The orders of a proxy that the relay does not know: it may have left, news of which is on its way, or the
/// relay's count was malformed. They wait, in order, and hold up nobody else's.
struct Held {
    until: Nanos,
    orders: VecDeque<Queued>,
}

pub struct OrderQueue {
    relay: PeerConnection,
    queue: VecDeque<Queued>,
    held: BTreeMap<ProxyId, Held>,
    /// Proxies whose orders go out behind all others.
    suspects: BTreeSet<ProxyId>,
    /// Calls in a row that ended with an order for a proxy that the relay does not know.
    refused_in_row: u32,
    /// The queue's length at which it is folded next.
    fold_at: usize,
    state: State,
    /// Calls in a row that came to nothing.
    failures: u32,
    /// The last answer said that the relay takes no calls for now.
    is_throttled: bool,
    /// Orders given up on, since the relay can't use them; calls made again.
    pub rejected: u64,
    pub retried: u64,
    /// Orders offered, ever.
    offered: u64,
    acknowledged: Acknowledged,
    overtaken: u64,
    /// What has become of orders since that was last asked for.
    settled: Vec<(Order, Outcome)>,
}

/// The last order known to be taken, by proxy (nothing: of those for all).
#[derive(Debug, Default)]
pub struct Acknowledged(BTreeMap<Option<ProxyId>, u64>);

impl Acknowledged {
    /// An order was taken; `number` is its place among all that were offered. False: a later one had been taken before.
    pub fn take(&mut self, proxy: Option<ProxyId>, number: u64) -> bool {
        let last = self.0.entry(proxy).or_default();
        let in_turn = number >= *last;
        *last = number;
        in_turn
    }

    /// A proxy has left: when it comes again, its orders begin anew.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.0.remove(&Some(proxy));
    }
}

impl OrderQueue {
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        OrderQueue {
            relay: PeerConnection::new(address),
            queue: VecDeque::new(),
            held: BTreeMap::new(),
            suspects: BTreeSet::new(),
            refused_in_row: 0,
            fold_at: FOLD_FROM,
            state: State::Resting { from: now },
            failures: 0,
            is_throttled: false,
            rejected: 0,
            retried: 0,
            offered: 0,
            acknowledged: Acknowledged::default(),
            overtaken: 0,
            settled: Vec::new(),
        }
    }

    pub fn offer(&mut self, orders: impl IntoIterator<Item = EncodedOrder>) {
        for order in orders {
            self.offered += 1;
            let held = order.proxy.and_then(|proxy| self.held.get_mut(&proxy));
            let suspect = order.proxy.is_some_and(|proxy| self.suspects.contains(&proxy));
            let queued = Queued { order, number: self.offered, void: false, second: false, suspect };
            held.map_or(&mut self.queue, |held| &mut held.orders).push_back(queued);
        }
        if self.queue.len() >= self.fold_at {
            self.fold();
        }
    }

    fn in_flight(&self) -> usize {
        match self.state {
            State::Resting { .. } => 0,
            State::Asked { orders, .. } => orders,
        }
    }

    /// While the relay is out of reach orders pile up. What goes out later is what stands, not its history: of the
    /// orders of one subject the last is kept, in its place, so that a line is set before the one it replaces goes.
    fn fold(&mut self) {
        let first = self.in_flight();
        let mut seen: HashSet<String> = HashSet::new();
        let later = self.queue.drain(first..).rev();
        let (kept, superseded): (Vec<Queued>, Vec<Queued>) =
            later.partition(|queued| queued.order.subject.clone().is_none_or(|subject| seen.insert(subject)));
        self.queue.extend(kept.into_iter().rev());
        self.settle(superseded, Outcome::Superseded);
        self.fold_at = FOLD_FROM.max(2 * self.queue.len());
    }

    fn settle(&mut self, orders: impl IntoIterator<Item = Queued>, outcome: Outcome) {
        self.settled.extend(orders.into_iter().map(|queued| (queued.order.order, outcome)));
    }

    /// What has become of orders since the last call.
    pub fn take_settled(&mut self) -> Vec<(Order, Outcome)> {
        std::mem::take(&mut self.settled)
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
        self.queue.len() + self.held.values().map(|held| held.orders.len()).sum::<usize>()
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.relay.has(link)
    }

    /// A proxy has left: orders for it alone are of no use. Those in flight stand until their call has ended,
    /// since its answer counts them.
    pub fn left(&mut self, proxy: ProxyId) {
        let held = self.held.remove(&proxy);
        self.settle(held.into_iter().flat_map(|held| held.orders), Outcome::Void);
        self.acknowledged.forget(proxy);
        self.suspects.remove(&proxy);
        let sent = self.in_flight();
        for queued in self.queue.iter_mut().filter(|queued| queued.order.proxy == Some(proxy)) {
            queued.void = true;
        }
        self.drop_void(sent);
    }

    /// Takes out what is of no use any more, but for the first `sent` orders.
    fn drop_void(&mut self, sent: usize) {
        let (void, kept): (Vec<Queued>, Vec<Queued>) =
            self.queue.drain(sent..).partition(|queued| queued.void);
        self.queue.extend(kept);
        self.settle(void, Outcome::Void);
    }

    /// The call in flight has ended.
    fn rest(&mut self, from: Nanos) {
        self.state = State::Resting { from };
        self.drop_void(0);
    }

    /// The relay is elsewhere from now on.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr, acts: &mut Vec<LinkAction>) {
        if self.relay.move_to(address, acts) {
            self.rest(now);
        }
    }

    /// Makes the next call where one is due, and gives up on one that has waited too long.
    pub fn turn(&mut self, now: Nanos, links: &mut LinkIds, acts: &mut Vec<LinkAction>) {
        if let State::Asked { until, .. } = self.state {
            if now < until {
                return;
            }
            self.relay.close(acts);
            self.fail(now);
        }
        let State::Resting { from } = self.state else { return };
        for (proxy, mut held) in self.held.extract_if(.., |_, held| held.until <= now) {
            let is_suspect = self.suspects.contains(&proxy);
            held.orders.iter_mut().for_each(|queued| queued.suspect = is_suspect);
            self.queue.extend(held.orders);
        }
        if from > now || self.queue.is_empty() {
            return;
        }
        self.move_suspects_back();
        let (mut orders, mut bytes) = (0, 0);
        for queued in &self.queue {
            bytes += queued.order.text.len() + ORDER_COST;
            if bytes > relay::MAX_CALL_BYTES && orders > 0 {
                break;
            }
            orders += 1;
        }
        let texts: Vec<&str> =
            self.queue.iter().take(orders).map(|queued| queued.order.text.as_str()).collect();
        let (host, form) = (self.relay.host(), relay::call_body(&texts));
        let headers = [(header::CONTENT_TYPE, relay::CONTENT_TYPE)];
        let request = request(&Method::POST, relay::PATH, &host, &headers, form.as_bytes());
        let kept = !self.relay.call(request, links, acts);
        let until = now + if kept { ANSWER_MOST } else { DIAL_MOST };
        self.state = State::Asked { until, orders, kept };
    }

    fn fail(&mut self, now: Nanos) {
        let wait = backoff(self.failures, BACKOFF, BACKOFF_MOST);
        self.failures += 1;
        self.retried += 1;
        self.rest(now + wait);
    }

    /// The connection has ended.
    pub fn lost(&mut self, now: Nanos) {
        self.relay.lost();
        match self.state {
            State::Resting { .. } => {}
            // A kept connection may have been closed as the call went out, which says nothing of the relay.
            State::Asked { kept: true, .. } => {
                self.retried += 1;
                self.rest(now);
            }
            State::Asked { kept: false, .. } => self.fail(now),
        }
    }

    /// An answer has come; `keeps`: the connection may be used again. What is wrong, if anything is.
    pub fn answered(
        &mut self,
        now: Nanos,
        body: &[u8],
        keeps: bool,
        acts: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        if !keeps {
            self.relay.close(acts);
        }
        let State::Asked { orders, .. } = self.state else {
            self.relay.close(acts);
            return Err("the relay answered what was not asked".into());
        };
        let answer = relay::parse_answer(body, orders);
        self.is_throttled = matches!(answer, Ok(Answer::Rejected(Rejection::Throttled)));
        match answer {
            Ok(Answer::Accepted(taken)) => {
                self.failures = 0;
                self.acknowledge(taken);
                self.refused_in_row = if taken < orders { self.refused_in_row } else { 0 };
                // The relay can't use the next one, unless it is void by now.
                let refused = taken < orders && self.queue.front().is_some_and(|next| !next.void);
                let given_up = if refused { self.refused(now) } else { None };
                self.rest(now);
                given_up.map_or(Ok(()), |order| Err(format!("the relay can't use {}", order.text)))
            }
            Ok(Answer::Rejected(Rejection::Throttled)) => {
                self.rest(now + THROTTLED);
                Ok(())
            }
            Ok(Answer::Rejected(Rejection::Transient)) => {
                self.fail(now);
                Ok(())
            }
            Ok(Answer::Rejected(Rejection::Invalid)) => {
                self.fail(now);
                Err("the relay calls a call invalid".into())
            }
            Err(cause) => {
                self.relay.close(acts);
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
                self.trust(queued.order.proxy);
            }
            let in_turn = self.acknowledged.take(queued.order.proxy, queued.number);
            self.overtaken += u64::from(!in_turn);
            // It may have been carried out for the proxy's stream before.
            let outcome = if queued.void { Outcome::Void } else { Outcome::Taken };
            self.settle([queued], outcome);
        }
    }

    /// Orders taken out of the order in which they were given, since the last call.
    pub fn take_overtaken(&mut self) -> u64 {
        std::mem::take(&mut self.overtaken)
    }

    /// The first order of the queue was not taken. A count malformed on its way must not lose an order, so
    /// that it is tried once more, then given up and returned. One for a proxy waits for that with all of that
    /// proxy's: where hundreds leave at once, the others' orders must not wait for each of them.
    fn refused(&mut self, now: Nanos) -> Option<EncodedOrder> {
        let first = self.queue.front_mut()?;
        if first.second {
            self.rejected += 1;
            let given_up = self.queue.pop_front()?;
            let order = given_up.order.clone();
            self.settle([given_up], Outcome::Refused);
            return Some(order);
        }
        first.second = true;
        let proxy = first.order.proxy?;
        let (own, others) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued: &Queued| queued.order.proxy == Some(proxy));
        self.queue = others;
        self.held.insert(proxy, Held { until: now + SECOND_LOOK, orders: own });
        self.refused_in_row += 1;
        // It stays behind the others until the relay takes an order for it.
        if self.refused_in_row > SUSPECT_FROM {
            self.suspects.insert(proxy);
        }
        self.suspect_more();
        None
    }

    /// Where one proxy after the other has left, each would cost a call: more and more of those that follow are put
    /// behind all others, twice as many with each refusal, so that these are held up by a few calls only.
    fn suspect_more(&mut self) {
        let Some(doublings) = self.refused_in_row.checked_sub(SUSPECT_FROM) else { return };
        let most = 2usize << doublings.min(SUSPECT_DOUBLINGS);
        let trusted = self.queue.iter().filter(|queued| !queued.suspect);
        let mut next = BTreeSet::new();
        for proxy in trusted.filter_map(|queued| queued.order.proxy) {
            if next.len() >= most {
                break;
            }
            next.insert(proxy);
        }
        for queued in &mut self.queue {
            queued.suspect |= queued.order.proxy.is_some_and(|proxy| next.contains(&proxy));
        }
        self.suspects.extend(next);
    }

    /// The relay knows this proxy.
    fn trust(&mut self, proxy: Option<ProxyId>) {
        let own = self.queue.iter_mut().filter(|queued| queued.order.proxy == proxy);
        own.for_each(|queued| queued.suspect = false);
    }

    /// Puts suspects behind all others, in their order; nothing is in flight.
    fn move_suspects_back(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let (suspects, others): (VecDeque<Queued>, VecDeque<Queued>) =
            std::mem::take(&mut self.queue).into_iter().partition(|queued| queued.suspect);
        self.queue = others;
        self.queue.extend(suspects);
    }

    /// Whether nothing waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting() == 0
    }

    pub fn next_at(&self) -> Option<Nanos> {
        let held = self.held.values().map(|held| held.until);
        match self.state {
            State::Resting { from } => {
                let queued = (!self.queue.is_empty()).then_some(from);
                queued.into_iter().chain(held.map(|until| until.max(from))).min()
            }
            State::Asked { until, .. } => Some(until),
        }
    }
}
