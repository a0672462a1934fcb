//! The orders that wait for a call or for its outcome, in the sequence in which they are sent. Orders for a proxy
//! that the relay does not know are set aside, and those of proxies that may have left are sent after all others.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use craneknot::interface::{Nanos, Order, ProxyId};

/// Most events for a proxy that has left arrive within this time.
const REFUSED_RETRY_DELAY: Nanos = Nanos::from_millis(700);
// refusals in a row, each for another proxy: one or two proxies leave in normal operation
const SUSPECT_AFTER_REFUSALS: u32 = 2;
const MAX_SUSPECT_DOUBLINGS: u32 = 12; // 2 << 12 is more than the number of proxies
/// About two calls: while the relay is reachable, the queue stays shorter than this.
const COMPACT_MIN_ORDERS: usize = 4_096;

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

/// The orders, and what is known of the proxies that they are for.
pub struct OrderSequence {
    queue: VecDeque<Queued>,
    deferred: BTreeMap<ProxyId, Deferred>,
    /// Proxies whose orders are sent after all others.
    suspects: BTreeSet<ProxyId>,
    /// Consecutive calls that ended with an order for a proxy that the relay does not know.
    refusals_in_row: u32,
    /// The length at which the queue is compacted next.
    compact_at: usize,
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
        *last = number.max(*last);
        in_order
    }

    /// Forgets a proxy that has left: if it joins again, its sequence starts again.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.0.remove(&Some(proxy));
    }
}

impl Default for OrderSequence {
    fn default() -> Self {
        OrderSequence {
            queue: VecDeque::new(),
            deferred: BTreeMap::new(),
            suspects: BTreeSet::new(),
            refusals_in_row: 0,
            compact_at: COMPACT_MIN_ORDERS,
            enqueued: 0,
            last_acknowledged: LastAcknowledged::default(),
            overtaken: 0,
            outcomes: Vec::new(),
        }
    }
}

impl OrderSequence {
    /// Adds orders, which are sent in this sequence. `in_flight`: how many orders the call in flight carries.
    pub fn enqueue(&mut self, orders: impl IntoIterator<Item = EncodedOrder>, in_flight: usize) {
        for order in orders {
            self.enqueued += 1;
            let deferred = order.proxy.and_then(|proxy| self.deferred.get_mut(&proxy));
            let is_suspect = order.proxy.is_some_and(|proxy| self.suspects.contains(&proxy));
            let queued =
                Queued { order, number: self.enqueued, is_cancelled: false, was_refused: false, is_suspect };
            deferred.map_or(&mut self.queue, |deferred| &mut deferred.orders).push_back(queued);
        }
        if self.queue.len() >= self.compact_at {
            self.compact(in_flight);
        }
    }

    /// Bounds the queue while the relay is out of reach. Of the orders with one subject only the last is
    /// kept, at its position, so that a new line is still set before the line that it replaces is removed.
    fn compact(&mut self, in_flight: usize) {
        let mut seen: HashSet<String> = HashSet::new();
        let later = self.queue.drain(in_flight..).rev();
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

    /// Number of orders not known to have been carried out.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred.values().map(|deferred| deferred.orders.len()).sum::<usize>()
    }

    /// Whether no order waits for a call. Orders that were set aside don't count.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The orders that are sent next, in sequence; those in flight come first.
    pub fn next_orders(&self) -> impl Iterator<Item = &EncodedOrder> + Clone {
        self.queue.iter().map(|queued| &queued.order)
    }

    /// When orders that were set aside are due again.
    pub fn next_deferred_at(&self) -> Option<Nanos> {
        self.deferred.values().map(|deferred| deferred.retry_at).min()
    }

    /// A proxy has left: orders that depend on it are dropped. Orders in flight stay until their call has
    /// ended, because its answer counts them.
    pub fn proxy_left(&mut self, proxy: ProxyId, in_flight: usize) {
        let deferred = self.deferred.remove(&proxy);
        self.record_outcome(
            deferred.into_iter().flat_map(|deferred| deferred.orders),
            OrderOutcome::Cancelled,
        );
        self.last_acknowledged.forget(proxy);
        self.suspects.remove(&proxy);
        for queued in self.queue.iter_mut().filter(|queued| queued.order.proxy == Some(proxy)) {
            queued.is_cancelled = true;
        }
        self.drop_cancelled(in_flight);
    }

    /// Removes cancelled orders after those in flight.
    pub fn drop_cancelled(&mut self, in_flight: usize) {
        let (cancelled, remaining): (Vec<Queued>, Vec<Queued>) =
            self.queue.drain(in_flight..).partition(|queued| queued.is_cancelled);
        self.queue.extend(remaining);
        self.record_outcome(cancelled, OrderOutcome::Cancelled);
    }

    /// Returns deferred orders to the queue once their second attempt is due.
    pub fn requeue_deferred(&mut self, now: Nanos) {
        for (proxy, mut deferred) in self.deferred.extract_if(.., |_, deferred| deferred.retry_at <= now) {
            let is_suspect = self.suspects.contains(&proxy);
            deferred.orders.iter_mut().for_each(|queued| queued.is_suspect = is_suspect);
            self.queue.extend(deferred.orders);
        }
    }

    /// The relay has accepted the first `accepted` of the `called` orders of a call; the next one it refuses. Returns
    /// an order that it has refused for the second time.
    pub fn call_answered(&mut self, now: Nanos, called: usize, accepted: usize) -> Option<EncodedOrder> {
        self.acknowledge(accepted);
        if accepted == called {
            self.refusals_in_row = 0;
            return None;
        }
        // The order that is refused may have been cancelled in the meantime.
        let is_refused = self.queue.front().is_some_and(|next| !next.is_cancelled);
        if is_refused {
            self.order_refused(now)
        } else {
            None
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
    pub fn move_suspects_back(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let (suspects, others): (VecDeque<Queued>, VecDeque<Queued>) =
            std::mem::take(&mut self.queue).into_iter().partition(|queued| queued.is_suspect);
        self.queue = others;
        self.queue.extend(suspects);
    }
}
