//! Probes in flight: one at a time per server, each on its own connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProbeOutcome, ServerId};
use craneknot_http::request;
use craneknot_platform::probe;
use http::{header, Method, StatusCode};

use crate::link::{LinkAction, LinkId, LinkIds};

const TIMEOUT: Nanos = Nanos::from_millis(600); // ms; less than the controller's interval between probes

/// The probes in flight, with the time each was sent.
pub struct Probes {
    limit: usize,
    in_flight: BTreeMap<LinkId, (ServerId, Nanos)>,
}

impl Probes {
    /// `limit`: concurrent probes.
    pub fn new(limit: usize) -> Self {
        Probes { limit, in_flight: BTreeMap::new() }
    }

    /// Starts a probe, unless one to this server is in flight or the limit is reached.
    pub fn start(
        &mut self,
        now: Nanos,
        server: &ServerId,
        address: SocketAddr,
        links: &mut LinkIds,
        actions: &mut Vec<LinkAction>,
    ) {
        if self.in_flight.len() >= self.limit || self.in_flight.values().any(|(probed, _)| probed == server) {
            return;
        }
        let link = links.next_id();
        let host = address.to_string();
        let request = request(&Method::GET, probe::PATH, &host, &[(header::CONNECTION, "close")], b"");
        actions.push(LinkAction::Dial { link, address, request });
        self.in_flight.insert(link, (server.clone(), now));
    }

    /// Ends a probe and returns its server and duration.
    pub fn end(&mut self, now: Nanos, link: LinkId) -> Option<(ServerId, Nanos)> {
        self.in_flight.remove(&link).map(|(server, sent_at)| (server, now - sent_at))
    }

    /// Ends the probes that have timed out and returns their servers and durations.
    pub fn overdue(&mut self, now: Nanos, actions: &mut Vec<LinkAction>) -> Vec<(ServerId, Nanos)> {
        let expired = self.in_flight.extract_if(.., |_, (_, sent_at)| now - *sent_at >= TIMEOUT);
        expired
            .map(|(link, (server, sent_at))| {
                actions.push(LinkAction::Close { link });
                (server, now - sent_at)
            })
            .collect()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.in_flight.values().map(|(_, sent_at)| *sent_at + TIMEOUT).min()
    }
}

/// The outcome of a probe by the HTTP status of its answer.
pub fn outcome(status: StatusCode) -> ProbeOutcome {
    match status.as_u16() {
        200..=299 => ProbeOutcome::Answered,
        429 => ProbeOutcome::TurnedAway,
        _ => ProbeOutcome::Failed,
    }
}
