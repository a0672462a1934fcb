//! A fleet on a simulated network with simulated disks. After every step safety is checked against the true state of all
//! members, in true time.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use craneknot_fleet::member::{Member, Output, Ownership, Timing};
use craneknot_fleet::raft::{self, Entry, PersistentState, Role};
use craneknot_fleet::swim;
use craneknot_fleet::view::Epoch;
use craneknot_fleet::wire::Datagram;
use craneknot_fleet::MemberId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

pub const PROXIES: usize = 6;
const DRIFT: f64 = 0.02;

/// A defect planted in the surroundings of the members, or in the settings of one of them, that the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Term and vote are lost when a member is killed.
    VoteNotSaved,
    /// The log is lost when a member is killed.
    LogNotSaved,
    /// Messages are sent before the state that they depend on is on disk.
    SentBeforeSaved,
    /// An agent loses the epoch that it followed when it restarts.
    EpochForgotten,
    /// The clock of a member is far slower than the configured drift allows.
    WrongClock,
    /// A member counts its leases as longer than the others do.
    LongLease,
    /// Members have a shorter election timeout than the leader relies on, and so stand for election and vote too early.
    ShortElection,
    /// The store of a member is replaced by an older copy when it restarts.
    StaleStore,
}

pub struct Node {
    pub member: Option<Member>,
    saved: PersistentState,
    /// Its clock shows its offset plus true time multiplied by this rate.
    rate: f64,
    offset: u64,
    starts: u64,
    older_copy: PersistentState,
    paused_until: Nanos,
}

#[derive(Default, Clone)]
pub struct Agent {
    followed: Epoch,
    /// The highest epoch that it ever followed; unlike `followed`, it survives a planted defect.
    highest_followed: Epoch,
    pub orders: u64,
    pub rejected: u64,
}

pub struct World {
    pub now: Nanos,
    pub nodes: Vec<Node>,
    pub agents: Vec<Agent>,
    in_flight: Vec<(Nanos, usize, Datagram)>,
    orders: Vec<(Nanos, usize, Epoch)>,
    pub rng: Pcg32,
    /// The members by the settings; all running members get a change at once.
    pub configured: BTreeSet<MemberId>,
    defect: Defect,
    broken_links: BTreeSet<(usize, usize)>,
    loss: f64,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, usize>,
    pub messages: u64,
    pub bytes: u64,
    /// Times in which no member owned a proxy.
    pub gaps: Vec<Nanos>,
    gap_since: Vec<Option<Nanos>>,
    /// No faults happen.
    pub calm: bool,
    pub false_deaths: u64,
}

pub fn timing() -> Timing {
    Timing {
        raft: raft::Timing {
            heartbeat: Nanos::from_millis(50),
            election: Nanos::from_millis(250),
            drift: DRIFT,
            lease: Nanos::from_millis(400),
        },
        swim: swim::Timing {
            period: Nanos::from_millis(100),
            ack_timeout: Nanos::from_millis(35),
            suspicion_timeout: Nanos::from_millis(300),
        },
    }
}

fn name(number: usize) -> MemberId {
    MemberId::new(&format!("c{number}"))
}

fn number(id: &MemberId) -> usize {
    id.0[1..].parse().unwrap()
}

pub fn proxy(number: usize) -> String {
    format!("proxy-{number}")
}

impl World {
    pub fn new(count: usize, seed: u64, defect: Defect) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let node = |k: usize, rng: &mut Pcg32| Node {
            member: None,
            saved: PersistentState::default(),
            rate: match defect {
                Defect::WrongClock if k == 0 => 0.5,
                _ => 1.0 + DRIFT * (rng.random::<f64>() - 0.5),
            },
            offset: rng.random_range(1_000_000_000..9_000_000_000_000),
            starts: 0,
            older_copy: PersistentState::default(),
            paused_until: Nanos(0),
        };
        let nodes = (0..count).map(|k| node(k, &mut rng)).collect();
        let mut world = World {
            now: Nanos::from_millis(1),
            nodes,
            agents: vec![Agent::default(); PROXIES],
            in_flight: Vec::new(),
            orders: Vec::new(),
            configured: (0..count).map(name).collect(),
            rng,
            defect,
            broken_links: BTreeSet::new(),
            loss: 0.0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            messages: 0,
            bytes: 0,
            gaps: Vec::new(),
            gap_since: vec![Some(Nanos(0)); PROXIES],
            calm: false,
            false_deaths: 0,
        };
        (0..count).for_each(|index| world.start(index));
        world
    }

    pub fn clock(&self, index: usize) -> Nanos {
        let node = &self.nodes[index];
        Nanos(node.offset + (self.now.0 as f64 * node.rate) as u64)
    }

    pub fn start(&mut self, index: usize) {
        let (now, defect) = (self.clock(index), self.defect);
        let all = self.configured.clone();
        let node = &mut self.nodes[index];
        node.starts += 1;
        let mut timing = timing();
        match defect {
            Defect::LongLease if index == 0 => timing.raft.lease = Nanos(timing.raft.lease.0 * 4),
            // A leader relies on the members' not voting for the whole election timeout, which these do not keep.
            Defect::ShortElection if index > 0 => timing.raft.election = Nanos(timing.raft.election.0 / 10),
            _ => {}
        }
        let mut saved = node.saved.clone();
        match defect {
            Defect::VoteNotSaved => {
                (saved.term, saved.voted_for) = (saved.log.last().map_or(0, |entry| entry.term), None)
            }
            Defect::LogNotSaved => {
                saved = PersistentState {
                    term: saved.term,
                    voted_for: saved.voted_for.clone(),
                    ..PersistentState::default()
                };
                node.saved = saved.clone();
            }
            _ => {}
        }
        let seed = node.starts * 1_000 + index as u64;
        node.member = Some(Member::new(name(index), &all, timing, saved, node.starts, seed, now));
    }

    /// Kills all members and clears their stores, so that the next start of each is its first.
    pub fn clear_stores(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
            self.nodes[index].saved = PersistentState::default();
        }
        self.in_flight.clear();
        self.leaders.clear();
    }

    /// Sets the members in the settings.
    pub fn configure_members(&mut self, members: &[usize]) {
        self.configured = members.iter().map(|index| name(*index)).collect();
        for index in 0..self.nodes.len() {
            let clock = self.clock(index);
            if let Some(member) = &mut self.nodes[index].member {
                member.set_members(clock, &self.configured);
            }
        }
    }

    /// Whether the voters are the members in the settings, except that a leader may still be a voter without being one.
    pub fn voters_match_settings(&self) -> bool {
        let Some(index) = self.leader() else { return false };
        let Some(leader) = &self.nodes[index].member else { return false };
        let mut expected = self.configured.clone();
        expected.extend(leader.voters().get(&name(index)).cloned());
        *leader.voters() == expected && !leader.raft().is_changing_voters()
    }

    /// Kills a member; its saved state stays.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.member = None;
        if self.defect == Defect::StaleStore {
            let newer = node.saved.clone();
            node.saved = std::mem::replace(&mut node.older_copy, newer);
        }
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].member.is_some()
    }

    /// Carries out the outputs of a member, which may be killed between any two of them.
    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        let killed_after = match self.calm || self.rng.random_range(0..4_000) > 0 {
            true => usize::MAX,
            false => self.rng.random_range(0..=outputs.len()),
        };
        let mut unsaved = Vec::new();
        for (done, output) in outputs.into_iter().enumerate() {
            if done >= killed_after {
                return self.kill(index);
            }
            match output {
                Output::Save(saved) if self.defect == Defect::SentBeforeSaved => unsaved.push(saved),
                Output::Save(saved) => self.nodes[index].saved = saved,
                Output::Send(to, datagram) => self.send(index, &to, datagram),
                Output::OwnershipChanged => {}
            }
        }
        // The planted defect: the state is written only now, or not at all.
        if let Some(saved) = unsaved.pop().filter(|_| self.rng.random::<bool>()) {
            self.nodes[index].saved = saved;
        }
    }

    fn send(&mut self, from: usize, to: &MemberId, datagram: Datagram) {
        let to = number(to);
        self.messages += 1;
        self.bytes += datagram.encode().len() as u64;
        if self.broken_links.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = 1 + usize::from(!self.calm && self.rng.random_range(0..30) == 0);
        for _ in 0..copies {
            let max_delay_ms = if !self.calm && self.rng.random_range(0..40) == 0 { 900 } else { 12 };
            let at = self.now + Nanos(self.rng.random_range(0..max_delay_ms * 1_000_000));
            self.in_flight.push((at, to, datagram.clone()));
        }
    }

    /// Lets a random fault happen, or none.
    fn random_fault(&mut self) {
        let count = self.nodes.len();
        let (a, b) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        // With a planted defect other faults are more frequent, so that a short run suffices.
        let range = if self.defect == Defect::None { 1_000 } else { 300 };
        match self.rng.random_range(0..range) {
            0..=3 => self.kill(a),
            4..=15 if !self.is_up(a) => self.start(a),
            16..=17 => {
                // In one direction only.
                self.broken_links.insert((a, b));
            }
            18..=19 => {
                for other in (0..count).filter(|other| *other != a) {
                    self.broken_links.extend([(a, other), (other, a)]);
                }
            }
            20..=27 => self.broken_links.clear(),
            28 => self.loss = self.rng.random::<f64>() * 0.4,
            29..=31 => self.loss = 0.0,
            32..=34 => {
                let span = Nanos::from_millis(self.rng.random_range(100..1_500));
                self.nodes[a].paused_until = self.now + span;
            }
            35 => (0..count).for_each(|index| self.kill(index)),
            36..=37 if self.defect == Defect::EpochForgotten => {
                let agent = self.rng.random_range(0..PROXIES);
                self.agents[agent].followed = Epoch(0);
            }
            _ => {}
        }
    }

    /// Advances true time by 0.5 to 8 ms and runs all members.
    pub fn step(&mut self) {
        self.now = self.now + Nanos(self.rng.random_range(500_000..8_000_000));
        if !self.calm {
            self.random_fault();
        }
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|in_flight| in_flight.0 <= now);
        self.in_flight = rest;
        let mut due: Vec<(Nanos, usize, Datagram)> = due;
        due.sort_by_key(|in_flight| in_flight.0);
        for (_, to, datagram) in due {
            let clock = self.clock(to);
            if self.nodes[to].paused_until > now {
                // The datagram waits in the socket.
                let until = self.nodes[to].paused_until;
                self.in_flight.push((until, to, datagram));
                continue;
            }
            let Some(member) = &mut self.nodes[to].member else { continue };
            let datagram = Datagram::decode(&datagram.encode()).unwrap();
            let outputs = member.handle(clock, datagram);
            self.carry_out(to, outputs);
        }
        for index in 0..self.nodes.len() {
            let clock = self.clock(index);
            if self.nodes[index].paused_until > now {
                continue;
            }
            let Some(member) = &mut self.nodes[index].member else { continue };
            let outputs = member.tick(clock);
            // Guards against a busy loop: a member whose lease had ended once kept asking to be woken at that end.
            assert!(member.next_at() > clock, "node {index} would spin at {clock:?}");
            self.carry_out(index, outputs);
            self.send_order(index);
        }
        self.deliver_orders();
        self.check();
    }

    /// The member sends an order to a random proxy if it owns it; orders may be delayed for long.
    fn send_order(&mut self, index: usize) {
        let clock = self.clock(index);
        let Some(member) = &self.nodes[index].member else { return };
        let number = self.rng.random_range(0..PROXIES);
        if let Ownership::Owned(epoch) = member.ownership(clock, &proxy(number)) {
            let max_delay_ms = if self.calm { 5 } else { 2_000 };
            let at = self.now + Nanos(self.rng.random_range(0..max_delay_ms * 1_000_000));
            self.orders.push((at, number, epoch));
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.orders).into_iter().partition(|order| order.0 <= now);
        self.orders = rest;
        let due: Vec<(Nanos, usize, Epoch)> = due;
        for (_, number, epoch) in due {
            let agent = &mut self.agents[number];
            if epoch < agent.followed {
                agent.rejected += 1;
                continue;
            }
            assert!(
                epoch >= agent.highest_followed,
                "proxy {number} followed {epoch:?} after {:?}",
                agent.highest_followed
            );
            (agent.followed, agent.highest_followed) = (epoch, epoch);
            agent.orders += 1;
        }
    }

    fn check(&mut self) {
        for id in 0..PROXIES {
            let owns = |i: &usize| {
                let member = self.nodes[*i].member.as_ref();
                member.is_some_and(|m| matches!(m.ownership(self.clock(*i), &proxy(id)), Ownership::Owned(_)))
            };
            let owners: Vec<usize> = (0..self.nodes.len()).filter(owns).collect();
            assert!(owners.len() <= 1, "{owners:?} all own proxy {id} at {:?}", self.now);
            match (owners.is_empty(), self.gap_since[id]) {
                (true, None) => self.gap_since[id] = Some(self.now),
                (false, Some(since)) => {
                    self.gaps.push(self.now - since);
                    self.gap_since[id] = None;
                }
                (true, Some(_)) | (false, None) => {}
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(member) = &node.member else { continue };
            if member.role() == Role::Leader {
                let first = *self.leaders.entry(member.term()).or_insert(index);
                assert_eq!(first, index, "two leaders in term {}", member.term());
            }
            for (at, entry) in member.raft().committed_entries() {
                let first = self.committed.entry(at).or_insert_with(|| entry.clone());
                assert_eq!(first, entry, "the committed entry {at} differs at member {index}");
            }
            if self.calm {
                let up = |other: &usize| self.nodes[*other].member.is_some();
                let alive = member.alive();
                self.false_deaths +=
                    (0..self.nodes.len()).filter(up).filter(|o| !alive.contains(&name(*o))).count() as u64;
            }
        }
    }

    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// The highest epoch among the committed views that the members know.
    pub fn newest_epoch(&self) -> u64 {
        let members = self.nodes.iter().filter_map(|node| node.member.as_ref());
        members.map(|member| member.view().epoch.0).max().unwrap_or(0)
    }

    /// Pauses a random member for `span`, on average once in `every`.
    pub fn pause_sometimes(&mut self, span: Nanos, every: Nanos) {
        if self.rng.random_range(0..every.0) < 4_250_000 {
            let index = self.rng.random_range(0..self.nodes.len());
            self.nodes[index].paused_until = self.now + span;
        }
    }

    fn describe(&self) -> String {
        let line = |(index, node): (usize, &Node)| {
            match &node.member {
            None => format!("\n  c{index} is down"),
            Some(m) => format!(
                "\n  c{index} {:?} term {} leader {:?} voters {:?} alive {:?} view {:?} lease {:?} changing {}",
                m.role(),
                m.term(),
                m.leader(),
                m.voters(),
                m.alive(),
                m.view(),
                m.lease(),
                m.raft().is_changing_voters()
            ),
        }
        };
        let configured = format!("\n  configured {:?}", self.configured);
        [configured].into_iter().chain(self.nodes.iter().enumerate().map(line)).collect()
    }

    /// How many proxies have an owner.
    pub fn owned(&self) -> usize {
        self.gap_since.iter().filter(|since| since.is_none()).count()
    }

    /// Ends all faults and starts all members; every link works.
    pub fn end_faults(&mut self) {
        self.calm = true;
        self.broken_links.clear();
        self.loss = 0.0;
        (0..self.nodes.len())
            .filter(|index| !self.is_up(*index))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|p| self.start(p));
    }

    /// Runs until a condition holds, for `limit` at the most; returns how long it took.
    pub fn run_until(&mut self, what: &str, limit: Nanos, done: impl Fn(&World) -> bool) -> Nanos {
        let begin = self.now;
        while !done(self) {
            assert!(self.now - begin < limit, "{what} took longer than {limit:?}:{}", self.describe());
            self.step();
        }
        self.now - begin
    }

    /// The first member that believes to be the leader.
    pub fn leader(&self) -> Option<usize> {
        let is_leader =
            |index: &usize| self.nodes[*index].member.as_ref().is_some_and(|m| m.role() == Role::Leader);
        (0..self.nodes.len()).find(is_leader)
    }
}
