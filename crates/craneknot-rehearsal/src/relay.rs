//! Relays between agents and coordinators: they see every byte, and can break, cut or hold what crosses.

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

struct Pipe {
    other: Option<ConnId>,
    proxy: usize,
    coordinator: usize,
    /// The agent's end.
    near: bool,
    joined: bool,
    /// What came before the other end stood.
    waiting: Vec<Bytes>,
}

pub struct Relays {
    listeners: BTreeMap<ListenerId, (usize, usize)>,
    pipes: HashMap<ConnId, Pipe>,
    /// Where coordinators listen, as far as they run.
    coordinators: BTreeMap<usize, SocketAddr>,
    cut: BTreeSet<(usize, usize)>,
    delays: Option<Delays>,
    rng: Pcg32,
    /// What is on its way to an agent, by when it arrives and in order.
    under_way: BTreeMap<(Nanos, u64), (ConnId, Bytes)>,
    /// When the last of it arrives, by the coordinator's end.
    last: HashMap<ConnId, Nanos>,
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
            under_way: BTreeMap::new(),
            last: HashMap::new(),
            sent: 0,
        }
    }

    /// Listens for one proxy's agent, in one coordinator's place.
    pub fn add<T>(
        &mut self,
        reactor: &mut Reactor<T>,
        proxy: usize,
        coordinator: usize,
    ) -> io::Result<SocketAddr> {
        let (listener, address) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        self.listeners.insert(listener, (proxy, coordinator));
        Ok(address)
    }

    pub fn set(&mut self, coordinator: usize, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.coordinators.insert(coordinator, address),
            None => self.coordinators.remove(&coordinator),
        };
    }

    pub fn has(&self, conn: ConnId) -> bool {
        self.pipes.contains_key(&conn)
    }

    pub fn accept<T>(&mut self, reactor: &mut Reactor<T>, listener: ListenerId, near: ConnId) {
        let Some((proxy, coordinator)) = self.listeners.get(&listener).copied() else {
            return reactor.close(near);
        };
        let mut pipe =
            Pipe { other: None, proxy, coordinator, near: true, joined: false, waiting: Vec::new() };
        if !self.cut.contains(&(proxy, coordinator)) {
            let dialled = self.coordinators.get(&coordinator).map(|address| reactor.connect(*address));
            let Some(Ok(far)) = dialled else { return reactor.reset(near) };
            let back = Pipe { other: Some(near), near: false, waiting: Vec::new(), ..pipe };
            self.pipes.insert(far, back);
            pipe =
                Pipe { other: Some(far), proxy, coordinator, near: true, joined: false, waiting: Vec::new() };
        }
        self.pipes.insert(near, pipe);
    }

    /// Bytes came in on one end; where they take their time, when they arrive at the other.
    pub fn came<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId) -> Option<Nanos> {
        let pipe = self.pipes.get_mut(&conn)?;
        let input = reactor.input(conn)?;
        let bytes = input.split().freeze();
        reactor.input_consumed(conn);
        if self.cut.contains(&(pipe.proxy, pipe.coordinator)) {
            // Lost on the way: neither end learns of it.
            return None;
        }
        let asks = |bytes: &[u8]| bytes.windows(14).any(|part| part == b"/v3/discovery:");
        if pipe.near && !pipe.joined && asks(&bytes) {
            pipe.joined = true;
            log.add(reactor.now(), What::Joined { proxy: pipe.proxy, coordinator: pipe.coordinator });
        }
        match (pipe.other, self.delays.filter(|_| !pipe.near)) {
            (Some(_), Some(delays)) => {
                let drawn = reactor.now() + delays.draw(&mut self.rng);
                let last = self.last.entry(conn).or_default();
                *last = drawn.max(*last);
                self.sent += 1;
                self.under_way.insert((*last, self.sent), (conn, bytes));
                return Some(*last);
            }
            (Some(_), None) => self.pass(reactor, log, conn, bytes),
            (None, _) => pipe.waiting.push(bytes),
        }
        None
    }

    /// Passes on what has arrived by now.
    pub fn deliver<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log) {
        let now = reactor.now();
        while let Some(first) = self.under_way.first_entry().filter(|first| first.key().0 <= now) {
            let (conn, bytes) = first.remove();
            self.pass(reactor, log, conn, bytes);
        }
    }

    fn pass<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId, bytes: Bytes) {
        // One that has ended since takes what was under way with it.
        let Some(other) = self.pipes.get(&conn).and_then(|pipe| pipe.other) else { return };
        if reactor.send(other, [bytes]).is_err() {
            self.closed(reactor, log, conn);
            reactor.close(conn);
        }
    }

    /// One end is gone: so is the other.
    pub fn closed<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, conn: ConnId) {
        let Some(pipe) = self.pipes.remove(&conn) else { return };
        self.last.remove(&conn);
        let other = pipe.other.and_then(|other| Some((other, self.pipes.remove(&other)?)));
        let joined = pipe.joined || other.as_ref().is_some_and(|(_, pipe)| pipe.joined);
        if let Some((other, _)) = other {
            self.last.remove(&other);
            reactor.reset(other);
        }
        if joined && !self.cut.contains(&(pipe.proxy, pipe.coordinator)) {
            log.add(reactor.now(), What::Left { proxy: pipe.proxy, coordinator: pipe.coordinator });
        }
    }

    fn ends(&self, concerned: impl Fn(&Pipe) -> bool) -> Vec<ConnId> {
        self.pipes.iter().filter(|(_, pipe)| pipe.near && concerned(pipe)).map(|(conn, _)| *conn).collect()
    }

    /// Breaks all streams of some proxies; they may dial again at once.
    pub fn break_streams<T>(&mut self, reactor: &mut Reactor<T>, log: &mut Log, proxies: &BTreeSet<usize>) {
        for conn in self.ends(|pipe| proxies.contains(&pipe.proxy)) {
            self.closed(reactor, log, conn);
            reactor.reset(conn);
        }
    }

    /// Loses all between some proxies and some coordinators, or ends that.
    pub fn unreach<T>(
        &mut self,
        reactor: &mut Reactor<T>,
        log: &mut Log,
        proxies: &BTreeSet<usize>,
        coordinators: &BTreeSet<usize>,
        on: bool,
    ) {
        let pairs = || proxies.iter().flat_map(|proxy| coordinators.iter().map(move |c| (*proxy, *c)));
        let concerned =
            |pipe: &Pipe| proxies.contains(&pipe.proxy) && coordinators.contains(&pipe.coordinator);
        if on {
            for conn in self.ends(concerned) {
                if let Some(pipe) = self.pipes.get_mut(&conn).filter(|pipe| pipe.joined) {
                    pipe.joined = false;
                    let (proxy, coordinator) = (pipe.proxy, pipe.coordinator);
                    log.add(reactor.now(), What::Left { proxy, coordinator });
                }
            }
            self.cut.extend(pairs());
        } else {
            // What stood before has a gap in its bytes: it cannot go on.
            for conn in self.ends(concerned) {
                self.closed(reactor, log, conn);
                reactor.reset(conn);
            }
            pairs().for_each(|pair| {
                self.cut.remove(&pair);
            });
        }
    }
}
