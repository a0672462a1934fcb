//! Relays between agents and coordinators: they observe every byte, and can reset, drop or delay the traffic.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use craneknot::interface::Nanos;
use craneknot_reactor::{ConnId, ListenerId, Reactor};

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::record::{Log, What};
use crate::script::Delays;

/// One end of a relayed connection.
struct Pipe {
    other: Option<ConnId>,
    proxy: usize,
    coordinator: usize,
    /// Whether this is the agent's end.
    agent_side: bool,
    joined: bool,
    /// Bytes received before the other end existed.
    pending: Vec<Bytes>,
}

/// All relays, one listener for each agent and coordinator.
pub struct Relays {
    listeners: BTreeMap<ListenerId, (usize, usize)>,
    pipes: HashMap<ConnId, Pipe>,
    /// The addresses of the running coordinators.
    coordinators: BTreeMap<usize, SocketAddr>,
    cut: BTreeSet<(usize, usize)>,
    delays: Option<Delays>,
    rng: Pcg32,
    /// Bytes in flight to agents, by arrival time and order.
    in_flight: BTreeMap<(Nanos, u64), (ConnId, Bytes)>,
    /// Arrival time of the last bytes in flight, by the coordinator's end.
    last_arrival: HashMap<ConnId, Nanos>,
    sent: u64,
}

impl Relays {
    pub fn new(delays: Option<Delays>, seed: u64) -> Self {
        Relays {
            listeners: BTreeMap::new(),
            pipes: HashMap::new(),
            coordinators: BTreeMap::new(),
            cut: BTreeSet::new(),
            delays,
            rng: Pcg32::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_arrival: HashMap::new(),
            sent: 0,
        }
    }

    /// Listens for one proxy's agent on behalf of one coordinator.
    pub fn listen_for<T>(
        &mut self,
        reactor: &mut Reactor<T>,
        proxy: usize,
        coordinator: usize,
    ) -> io::Result<SocketAddr> {
        let (listener, address) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        self.listeners.insert(listener, (proxy, coordinator));
        Ok(address)
    }

    /// Sets the address of a coordinator; `None` while it isn't running.
    pub fn set_coordinator(&mut self, coordinator: usize, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.coordinators.insert(coordinator, address),
            None => self.coordinators.remove(&coordinator),
        };
    }

    /// Whether the connection belongs to a relay.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.pipes.contains_key(&conn)
    }

    pub fn accept<T>(&mut self, reactor: &mut Reactor<T>, listener: ListenerId, near: ConnId) {
        let Some((proxy, coordinator)) = self.listeners.get(&listener).copied() else {
            return reactor.close(near);
        };
        let mut pipe =
            Pipe { other: None, proxy, coordinator, agent_side: true, joined: false, pending: Vec::new() };
        if !self.cut.contains(&(proxy, coordinator)) {
            let connected = self.coordinators.get(&coordinator).map(|address| reactor.connect(*address));
            let Some(Ok(far)) = connected else { return reactor.reset(near) };
            let back = Pipe { other: Some(near), agent_side: false, pending: Vec::new(), ..pipe };
            self.pipes.insert(far, back);
            pipe = Pipe {
                other: Some(far),
                proxy,
                coordinator,
                agent_side: true,
                joined: false,
                pending: Vec::new(),
            };
        }
        self.pipes.insert(near, pipe);
    }

    /// Handles bytes received on one end; returns their arrival time at the other end if they are delayed.
    pub fn receive<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId) -> Option<Nanos> {
        let pipe = self.pipes.get_mut(&conn)?;
        let input = reactor.input(conn)?;
        let bytes = input.split().freeze();
        reactor.input_consumed(conn);
        if self.cut.contains(&(pipe.proxy, pipe.coordinator)) {
            // Dropped without notice to either end.
            return None;
        }
        let asks = |bytes: &[u8]| bytes.windows(14).any(|part| part == b"/v3/discovery:");
        if pipe.agent_side && !pipe.joined && asks(&bytes) {
            pipe.joined = true;
            log.add(reactor.now(), What::Joined { proxy: pipe.proxy, coordinator: pipe.coordinator });
        }
        match (pipe.other, self.delays.filter(|_| !pipe.agent_side)) {
            (Some(_), Some(delays)) => {
                let arrival = reactor.now() + delays.draw(&mut self.rng);
                let last = self.last_arrival.entry(conn).or_default();
                *last = arrival.max(*last);
                self.sent += 1;
                self.in_flight.insert((*last, self.sent), (conn, bytes));
                return Some(*last);
            }
            (Some(_), None) => self.forward(reactor, log, conn, bytes),
            (None, _) => pipe.pending.push(bytes),
        }
        None
    }

    /// Forwards the delayed bytes that are due.
    pub fn deliver<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log) {
        let now = reactor.now();
        while let Some(first) = self.in_flight.first_entry().filter(|first| first.key().0 <= now) {
            let (conn, bytes) = first.remove();
            self.forward(reactor, log, conn, bytes);
        }
    }

    fn forward<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId, bytes: Bytes) {
        // Bytes in flight are dropped if the connection has been closed since.
        let Some(other) = self.pipes.get(&conn).and_then(|pipe| pipe.other) else { return };
        if reactor.send(other, [bytes]).is_err() {
            self.closed(reactor, log, conn);
            reactor.close(conn);
        }
    }

    /// One end was closed: closes the other as well.
    pub fn closed<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId) {
        let Some(pipe) = self.pipes.remove(&conn) else { return };
        self.last_arrival.remove(&conn);
        let other = pipe.other.and_then(|other| Some((other, self.pipes.remove(&other)?)));
        let joined = pipe.joined || other.as_ref().is_some_and(|(_, pipe)| pipe.joined);
        if let Some((other, _)) = other {
            self.last_arrival.remove(&other);
            reactor.reset(other);
        }
        if joined && !self.cut.contains(&(pipe.proxy, pipe.coordinator)) {
            log.add(reactor.now(), What::Left { proxy: pipe.proxy, coordinator: pipe.coordinator });
        }
    }

    fn agent_connections(&self, matches_pair: impl Fn(&Pipe) -> bool) -> Vec<ConnId> {
        self.pipes
            .iter()
            .filter(|(_, pipe)| pipe.agent_side && matches_pair(pipe))
            .map(|(conn, _)| *conn)
            .collect()
    }

    /// Resets all streams of some proxies; they may reconnect immediately.
    pub fn break_streams<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, proxies: &BTreeSet<usize>) {
        for conn in self.agent_connections(|pipe| proxies.contains(&pipe.proxy)) {
            self.closed(reactor, log, conn);
            reactor.reset(conn);
        }
    }

    /// Drops all traffic between some proxies and some coordinators, or ends that.
    pub fn set_unreachable<T>(
        &mut self,
        reactor: &mut Reactor<T>,
        log: &mut Log,
        proxies: &BTreeSet<usize>,
        coordinators: &BTreeSet<usize>,
        on: bool,
    ) {
        let pairs = || proxies.iter().flat_map(|proxy| coordinators.iter().map(move |c| (*proxy, *c)));
        let matches_pair =
            |pipe: &Pipe| proxies.contains(&pipe.proxy) && coordinators.contains(&pipe.coordinator);
        if on {
            for conn in self.agent_connections(matches_pair) {
                if let Some(pipe) = self.pipes.get_mut(&conn).filter(|pipe| pipe.joined) {
                    pipe.joined = false;
                    let (proxy, coordinator) = (pipe.proxy, pipe.coordinator);
                    log.add(reactor.now(), What::Left { proxy, coordinator });
                }
            }
            self.cut.extend(pairs());
        } else {
            // Connections from before have a gap in their byte streams and cannot continue.
            for conn in self.agent_connections(matches_pair) {
                self.closed(reactor, log, conn);
                reactor.reset(conn);
            }
            pairs().for_each(|pair| {
                self.cut.remove(&pair);
            });
        }
    }
}
