//! The limits on calls to the relay. Each call that is carried out writes a message to every proxy that its orders
//! concern, however often the call was made before. So the account is kept here, where calls are made.

use std::collections::BTreeSet;

use craneknot::interface::*;
use craneknot::MessagePace;

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
    relay: RelayState,
}

impl CallLimits {
    /// The limits that the settings give.
    pub fn new(settings: &Settings) -> Self {
        CallLimits {
            message_pace: MessagePace::new(settings.message_limit, settings.message_span),
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

    /// How many of these orders, in sequence, may be sent in one call now.
    pub fn admit<'a>(&self, now: Nanos, orders: impl Iterator<Item = &'a Order>) -> Admission {
        let (mut count, mut receivers) = (0, BTreeSet::new());
        for order in orders {
            let allowed_at = self.allowed_at(order, &mut receivers);
            if allowed_at > now {
                return if count == 0 { Admission::NotBefore(allowed_at) } else { Admission::Orders(count) };
            }
            count += 1;
        }
        Admission::Orders(count)
    }

    /// From when on an order may be sent in a call that writes to these receivers in any case, to which its own are
    /// added.
    fn allowed_at(&self, order: &Order, receivers: &mut BTreeSet<ProxyId>) -> Nanos {
        if !self.message_pace.is_limited() {
            return Nanos(0);
        }
        let new_receivers = self.relay.receivers(order).filter(|proxy| receivers.insert(*proxy));
        new_receivers.map(|proxy| self.message_pace.allowed_at(proxy)).max().unwrap_or_default()
    }

    /// Records that a call with these orders was carried out, or may have been.
    pub fn record<'a>(
        &mut self,
        called_at: Nanos,
        orders: impl Iterator<Item = &'a Order>,
        execution: Execution,
    ) {
        let mut receivers = BTreeSet::new();
        for order in orders {
            if self.message_pace.is_limited() {
                receivers.extend(self.relay.receivers(order));
            }
            self.relay.apply(order, execution);
        }
        for proxy in receivers {
            self.message_pace.record(called_at, proxy);
        }
    }
}
