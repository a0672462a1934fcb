//! Probes in flight: one at a time to a server, each on a connection of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProbeOutcome, ServerId};
use craneknot_http::request;
use craneknot_platform::probe;
use http::{header, Method, StatusCode};

use crate::link::{LinkAction, LinkId, LinkIds};

const TIME_OUT: Nanos = Nanos::from_millis(600); // ms; less than the decisions' time between probes

/// The probes in flight.
pub struct Probes {
    most: usize,
    in_flight: BTreeMap<LinkId, (ServerId, Nanos)>,
}

impl Probes {
    /// `most`: probes at once.
    pub fn new(most: usize) -> Self {
        Probes { most, in_flight: BTreeMap::new() }
    }

    /// Begins a probe, unless one is in flight there, or too many are in all.
    pub fn start(
        &mut self,
        now: Nanos,
        server: &ServerId,
        address: SocketAddr,
        links: &mut LinkIds,
        acts: &mut Vec<LinkAction>,
    ) {
        if self.in_flight.len() >= self.most || self.in_flight.values().any(|(of, _)| of == server) {
            return;
        }
        let link = links.next_id();
        let host = address.to_string();
        let request = request(&Method::GET, probe::PATH, &host, &[(header::CONNECTION, "close")], b"");
        acts.push(LinkAction::Dial { link, address, request });
        self.in_flight.insert(link, (server.clone(), now));
    }

    /// Ends a probe; how long it took.
    pub fn end(&mut self, now: Nanos, link: LinkId) -> Option<(ServerId, Nanos)> {
        self.in_flight.remove(&link).map(|(server, since)| (server, now - since))
    }

    /// Those that have waited too long, and end with this.
    pub fn overdue(&mut self, now: Nanos, acts: &mut Vec<LinkAction>) -> Vec<(ServerId, Nanos)> {
        let late = self.in_flight.extract_if(.., |_, (_, since)| now - *since >= TIME_OUT);
        late.map(|(link, (server, since))| {
            acts.push(LinkAction::Close { link });
            (server, now - since)
        })
        .collect()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.in_flight.values().map(|(_, since)| *since + TIME_OUT).min()
    }
}

/// What an answer to a probe says.
pub fn outcome(status: StatusCode) -> ProbeOutcome {
    match status.as_u16() {
        200..=299 => ProbeOutcome::Answered,
        429 => ProbeOutcome::TurnedAway,
        _ => ProbeOutcome::Failed,
    }
}
