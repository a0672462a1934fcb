//! The limits on calls to the relay. Each call that is carried out writes a message to every proxy that its orders
//! concern, however often the call was made before. So the account is kept here, where calls are made.

use craneknot::interface::*;
use craneknot::{LineAdmission, LinePace, MessagePace};

use crate::call_cost::CallCost;
use crate::relay_state::{Execution, RelayState};

/// What may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// This many orders, at least one.
    Orders(usize),
    /// Nothing before this time.
    NotBefore(Nanos),
}

/// The account of what calls have written, or may have.
#[derive(Debug)]
pub struct CallLimits {
    message_pace: MessagePace,
    line_pace: LinePace,
    lines_per_message: f64,
    most_lines_waiting: f64,
    relay: RelayState,
}

impl CallLimits {
    /// The limits that the settings give.
    pub fn new(settings: &Settings, now: Nanos) -> Self {
        CallLimits {
            message_pace: MessagePace::new(settings.message_limit, settings.message_span),
            line_pace: LinePace::new(settings, now),
            lines_per_message: settings.lines_per_message,
            most_lines_waiting: 0.0,
            relay: RelayState::default(),
        }
    }

    /// A proxy has joined.
    pub fn proxy_joined(&mut self, proxy: ProxyId) {
        self.relay.proxy_joined(proxy);
    }

    /// A proxy has left.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.relay.proxy_left(proxy);
    }

    /// Lines that may be waiting in the channel.
    pub fn lines_waiting(&self, now: Nanos) -> f64 {
        self.line_pace.waiting(now)
    }

    /// The most lines that may have waited since the start.
    pub fn most_lines_waiting(&self) -> f64 {
        self.most_lines_waiting
    }

    /// How many of these orders, in sequence, may be sent in one call now. `is_repeat`: the last call may have been
    /// carried out, and these are its orders and later ones.
    pub fn admit<'a>(
        &self,
        now: Nanos,
        orders: impl Iterator<Item = &'a Order>,
        is_repeat: bool,
    ) -> Admission {
        // The lines of a call with the first order, the first two, and so on.
        let (mut cost, mut lines) = (CallCost::default(), Vec::new());
        for order in orders {
            let allowed_at = self.message_allowed_at(order, &cost, is_repeat);
            if allowed_at > now && lines.is_empty() {
                return Admission::NotBefore(allowed_at);
            }
            if allowed_at > now {
                break;
            }
            cost.add(order, &self.relay);
            lines.push(cost.lines(self.lines_per_message));
        }
        match self.line_pace.admit(now, lines.last().copied().unwrap_or_default(), is_repeat) {
            LineAdmission::UpTo(room) => {
                Admission::Orders(lines.partition_point(|lines| *lines <= room).max(1))
            }
            LineAdmission::NotBefore(at) => Admission::NotBefore(at),
        }
    }

    /// From when on the new receivers of an order that is added to a call may be written to.
    fn message_allowed_at(&self, order: &Order, cost: &CallCost, is_repeat: bool) -> Nanos {
        if !self.message_pace.is_limited() {
            return Nanos(0);
        }
        let new_receivers = cost.new_receivers(order, &self.relay);
        new_receivers.map(|proxy| self.message_pace.allowed_at(proxy, is_repeat)).max().unwrap_or_default()
    }

    /// Records that a call with these orders was carried out, or may have been.
    pub fn record<'a>(
        &mut self,
        called_at: Nanos,
        orders: impl Iterator<Item = &'a Order> + Clone,
        execution: Execution,
    ) {
        let mut cost = CallCost::default();
        orders.clone().for_each(|order| cost.add(order, &self.relay));
        self.line_pace.record(called_at, cost.lines(self.lines_per_message));
        self.most_lines_waiting = self.most_lines_waiting.max(self.line_pace.waiting(called_at));
        cost.receivers().for_each(|proxy| self.message_pace.record(called_at, proxy));
        orders.for_each(|order| self.relay.apply(order, execution));
    }
}
