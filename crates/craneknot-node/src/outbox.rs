//! Orders on their way to the relay: one call at a time, in order, made again until it is known to be carried out.
//!
//! A call that is broken off, or whose answer can't be read, was carried out or was not. All orders set what they
//! name, so that carrying one out twice leaves the same; the call is made again from its first order.

use std::collections::VecDeque;
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_http::request;
use craneknot_platform::relay::{self, Answer, Refusal};
use http::{header, Method};

use crate::link::{wait_after, Act, Callee, LinkId, Links};

const ANSWER_MOST: Nanos = Nanos::from_millis(200); // ms; it comes within 50 or never, and we may be held up
const DIAL_MOST: Nanos = Nanos::from_millis(300); // ms; to be connected and answered on a new connection
const AGAIN: Nanos = Nanos::from_millis(20); // ms; first wait before a call is made again, doubled each time
const AGAIN_MOST: Nanos = Nanos::from_millis(320); // ms; the longest: proxies wait for their lines
const THROTTLED: Nanos = Nanos::from_millis(100); // ms; it said that it is busy
const ORDER_COST: usize = 8; // bytes that one order's signs grow by when escaped, at most, and its end

/// An order as the relay reads it, and the proxy without which it is of no use.
#[derive(Clone, Debug, PartialEq)]
pub struct Written {
    pub text: String,
    pub proxy: Option<ProxyId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is under way; a call may be made from then on.
    Resting { from: Nanos },
    /// The first `orders` of the queue have been sent.
    Asked { until: Nanos, orders: usize },
}

pub struct Outbox {
    relay: Callee,
    queue: VecDeque<Written>,
    state: State,
    /// Calls in a row that came to nothing.
    failures: u32,
    /// The first order of the queue was not taken the last time.
    stuck: bool,
    /// Orders given up on, since the relay can't use them; calls made again.
    pub given_up: u64,
    pub repeated: u64,
}

impl Outbox {
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        Outbox {
            relay: Callee::new(address),
            queue: VecDeque::new(),
            state: State::Resting { from: now },
            failures: 0,
            stuck: false,
            given_up: 0,
            repeated: 0,
        }
    }

    pub fn offer(&mut self, orders: impl IntoIterator<Item = Written>) {
        self.queue.extend(orders);
    }

    /// Orders not known to be taken.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.relay.has(link)
    }

    /// A proxy has left: orders for it alone, that are not under way, are of no use.
    pub fn left(&mut self, proxy: ProxyId) {
        let sent = match self.state {
            State::Resting { .. } => 0,
            State::Asked { orders, .. } => orders,
        };
        let mut place = 0;
        self.queue.retain(|order| {
            place += 1;
            place <= sent || order.proxy != Some(proxy)
        });
    }

    /// The relay is elsewhere from now on.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr, acts: &mut Vec<Act>) {
        if self.relay.move_to(address, acts) {
            self.state = State::Resting { from: now };
        }
    }

    /// Makes the next call where one is due, and gives up on one that has waited too long.
    pub fn turn(&mut self, now: Nanos, links: &mut Links, acts: &mut Vec<Act>) {
        if let State::Asked { until, .. } = self.state {
            if now < until {
                return;
            }
            self.relay.hang_up(acts);
            self.fail(now);
        }
        let State::Resting { from } = self.state else { return };
        if from > now || self.queue.is_empty() {
            return;
        }
        let (mut orders, mut bytes) = (0, 0);
        for order in &self.queue {
            bytes += order.text.len() + ORDER_COST;
            if bytes > relay::CALL_MOST && orders > 0 {
                break;
            }
            orders += 1;
        }
        let texts: Vec<&str> = self.queue.iter().take(orders).map(|order| order.text.as_str()).collect();
        let (host, form) = (self.relay.host(), relay::form(&texts));
        let headers = [(header::CONTENT_TYPE, relay::FORM)];
        let request = request(&Method::POST, relay::PATH, &host, &headers, form.as_bytes());
        let until = now + if self.relay.call(request, links, acts) { DIAL_MOST } else { ANSWER_MOST };
        self.state = State::Asked { until, orders };
    }

    fn fail(&mut self, now: Nanos) {
        let wait = wait_after(self.failures, AGAIN, AGAIN_MOST);
        self.failures += 1;
        self.repeated += 1;
        self.state = State::Resting { from: now + wait };
    }

    /// The connection has ended.
    pub fn lost(&mut self, now: Nanos) {
        self.relay.lost();
        match self.state {
            State::Resting { .. } => {}
            State::Asked { .. } => self.fail(now),
        }
    }

    /// An answer has come; `keeps`: the connection may be used again. What is wrong, if anything is.
    pub fn answered(
        &mut self,
        now: Nanos,
        body: &[u8],
        keeps: bool,
        acts: &mut Vec<Act>,
    ) -> Result<(), String> {
        if !keeps {
            self.relay.hang_up(acts);
        }
        let State::Asked { orders, .. } = self.state else {
            self.relay.hang_up(acts);
            return Err("the relay answered what was not asked".into());
        };
        match relay::answer(body, orders) {
            Ok(Answer::Taken(taken)) => {
                self.failures = 0;
                self.queue.drain(..taken);
                self.state = State::Resting { from: now };
                if taken == orders {
                    self.stuck = false;
                    return Ok(());
                }
                // The relay can't use the next one. It is tried once more, first in its call, and then given up:
                // a count that was spoilt on its way must not lose an order.
                if taken == 0 && self.stuck {
                    self.stuck = false;
                    self.given_up += 1;
                    let order = self.queue.pop_front();
                    return Err(format!("the relay can't use {order:?}"));
                }
                self.stuck = true;
                Ok(())
            }
            Ok(Answer::Refused(Refusal::Throttled)) => {
                self.state = State::Resting { from: now + THROTTLED };
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
                self.relay.hang_up(acts);
                self.fail(now);
                Err(cause)
            }
        }
    }

    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            State::Resting { from } => (!self.queue.is_empty()).then_some(from),
            State::Asked { until, .. } => Some(until),
        }
    }
}
