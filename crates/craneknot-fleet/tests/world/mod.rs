//! A fleet on a network and on disks of a test's making. After every step the safety of all is checked against what a
//! watcher from outside sees, in true time.

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

/// A fault planted in what surrounds the machine, or in what one member is told: the checks must find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Term and vote are lost with a kill.
    VoteNotSaved,
    /// The log is lost with a kill.
    LogNotSaved,
    /// Messages leave before what they rest on is on the disk.
    SentBeforeSaved,
    /// An agent forgets with its restart which epoch it followed.
    EpochForgotten,
    /// A member acts on its lease by a clock far slower than told.
    WrongClock,
    /// A member takes its leases to be longer than the others do.
    LongLease,
    /// A member stands for election, and votes, sooner than the others count on.
    HastyVoter,
    /// A member's store is put back to an older copy with its restart.
    OldCopy,
}

pub struct Node {
    pub member: Option<Member>,
    saved: PersistentState,
    /// Its clock: true time at its rate, from its offset.
    rate: f64,
    offset: u64,
    lives: u64,
    copy: PersistentState,
    stands_until: Nanos,
}

#[derive(Default, Clone)]
pub struct Agent {
    followed: Epoch,
    /// The newest epoch it ever followed, which the watcher does not forget.
    ever: Epoch,
    pub orders: u64,
    pub refused: u64,
}

pub struct World {
    pub now: Nanos,
    pub nodes: Vec<Node>,
    pub agents: Vec<Agent>,
    flying: Vec<(Nanos, usize, Datagram)>,
    orders: Vec<(Nanos, usize, Epoch)>,
    pub rng: Pcg32,
    /// What settings name as members: all that run are told at once.
    pub named: BTreeSet<MemberId>,
    flaw: Flaw,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    certain: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, usize>,
    pub messages: u64,
    pub bytes: u64,
    /// Spans in which no one was in charge of a proxy, as the watcher saw them.
    pub gaps: Vec<Nanos>,
    gap_since: Vec<Option<Nanos>>,
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
            answer_within: Nanos::from_millis(35),
            suspicion: Nanos::from_millis(300),
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
    pub fn new(count: usize, seed: u64, flaw: Flaw) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let node = |k: usize, rng: &mut Pcg32| Node {
            member: None,
            saved: PersistentState::default(),
            rate: match flaw {
                Flaw::WrongClock if k == 0 => 0.5,
                _ => 1.0 + DRIFT * (rng.random::<f64>() - 0.5),
            },
            offset: rng.random_range(1_000_000_000..9_000_000_000_000),
            lives: 0,
            copy: PersistentState::default(),
            stands_until: Nanos(0),
        };
        let nodes = (0..count).map(|k| node(k, &mut rng)).collect();
        let mut world = World {
            now: Nanos::from_millis(1),
            nodes,
            agents: vec![Agent::default(); PROXIES],
            flying: Vec::new(),
            orders: Vec::new(),
            named: (0..count).map(name).collect(),
            rng,
            flaw,
            cut: BTreeSet::new(),
            loss: 0.0,
            certain: BTreeMap::new(),
            leaders: BTreeMap::new(),
            messages: 0,
            bytes: 0,
            gaps: Vec::new(),
            gap_since: vec![Some(Nanos(0)); PROXIES],
            calm: false,
            false_deaths: 0,
        };
        (0..count).for_each(|place| world.start(place));
        world
    }

    pub fn clock(&self, place: usize) -> Nanos {
        let node = &self.nodes[place];
        Nanos(node.offset + (self.now.0 as f64 * node.rate) as u64)
    }

    pub fn start(&mut self, place: usize) {
        let (now, flaw) = (self.clock(place), self.flaw);
        let all = self.named.clone();
        let node = &mut self.nodes[place];
        node.lives += 1;
        let mut timing = timing();
        match flaw {
            Flaw::LongLease if place == 0 => timing.raft.lease = Nanos(timing.raft.lease.0 * 4),
            // Its word on being bound is worth nothing to a leader that counts on the whole span.
            Flaw::HastyVoter if place > 0 => timing.raft.election = Nanos(timing.raft.election.0 / 10),
            _ => {}
        }
        let mut saved = node.saved.clone();
        match flaw {
            Flaw::VoteNotSaved => {
                (saved.term, saved.vote) = (saved.log.last().map_or(0, |entry| entry.term), None)
            }
            Flaw::LogNotSaved => {
                saved = PersistentState {
                    term: saved.term,
                    vote: saved.vote.clone(),
                    ..PersistentState::default()
                };
                node.saved = saved.clone();
            }
            _ => {}
        }
        let seed = node.lives * 1_000 + place as u64;
        node.member = Some(Member::new(name(place), &all, timing, saved, node.lives, seed, now));
    }

    /// All begin their first lives anew.
    pub fn forget_lives(&mut self) {
        for place in 0..self.nodes.len() {
            self.kill(place);
            self.nodes[place].saved = PersistentState::default();
        }
        self.flying.clear();
        self.leaders.clear();
    }

    /// Settings name these from now on.
    pub fn rename(&mut self, members: &[usize]) {
        self.named = members.iter().map(|place| name(*place)).collect();
        for place in 0..self.nodes.len() {
            let clock = self.clock(place);
            if let Some(member) = &mut self.nodes[place].member {
                member.set_members(clock, &self.named);
            }
        }
    }

    /// All that are named vote, and no one else but the one that leads.
    pub fn votes_as_named(&self) -> bool {
        let Some(place) = self.leader() else { return false };
        let Some(leader) = &self.nodes[place].member else { return false };
        let mut named = self.named.clone();
        named.extend(leader.voters().get(&name(place)).cloned());
        *leader.voters() == named && !leader.raft().is_changing()
    }

    /// Killed without a word; what was saved stays.
    pub fn kill(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.member = None;
        if self.flaw == Flaw::OldCopy {
            let newer = node.saved.clone();
            node.saved = std::mem::replace(&mut node.copy, newer);
        }
    }

    pub fn is_up(&self, place: usize) -> bool {
        self.nodes[place].member.is_some()
    }

    /// Carries out what a member asks for; a kill may come between any two of it.
    fn carry(&mut self, place: usize, outputs: Vec<Output>) {
        let killed_after = match self.calm || self.rng.random_range(0..4_000) > 0 {
            true => usize::MAX,
            false => self.rng.random_range(0..=outputs.len()),
        };
        let mut held = Vec::new();
        for (done, output) in outputs.into_iter().enumerate() {
            if done >= killed_after {
                return self.kill(place);
            }
            match output {
                Output::Save(saved) if self.flaw == Flaw::SentBeforeSaved => held.push(saved),
                Output::Save(saved) => self.nodes[place].saved = saved,
                Output::Send(to, datagram) => self.send(place, &to, datagram),
                Output::OwnershipChanged => {}
            }
        }
        // Planted: written only now, and with luck.
        if let Some(saved) = held.pop().filter(|_| self.rng.random::<bool>()) {
            self.nodes[place].saved = saved;
        }
    }

    fn send(&mut self, from: usize, to: &MemberId, datagram: Datagram) {
        let to = number(to);
        self.messages += 1;
        self.bytes += datagram.encode().len() as u64;
        if self.cut.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = 1 + usize::from(!self.calm && self.rng.random_range(0..30) == 0);
        for _ in 0..copies {
            let late = if !self.calm && self.rng.random_range(0..40) == 0 { 900 } else { 12 };
            let at = self.now + Nanos(self.rng.random_range(0..late * 1_000_000));
            self.flying.push((at, to, datagram.clone()));
        }
    }

    fn trouble(&mut self) {
        let count = self.nodes.len();
        let (a, b) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        // Where a fault is planted, troubles come thicker: a short walk must do.
        let calm = if self.flaw == Flaw::None { 1_000 } else { 300 };
        match self.rng.random_range(0..calm) {
            0..=3 => self.kill(a),
            4..=15 if !self.is_up(a) => self.start(a),
            16..=17 => {
                // One way only.
                self.cut.insert((a, b));
            }
            18..=19 => {
                for other in (0..count).filter(|other| *other != a) {
                    self.cut.extend([(a, other), (other, a)]);
                }
            }
            20..=27 => self.cut.clear(),
            28 => self.loss = self.rng.random::<f64>() * 0.4,
            29..=31 => self.loss = 0.0,
            32..=34 => {
                let span = Nanos::from_millis(self.rng.random_range(100..1_500));
                self.nodes[a].stands_until = self.now + span;
            }
            35 => (0..count).for_each(|place| self.kill(place)),
            36..=37 if self.flaw == Flaw::EpochForgotten => {
                let agent = self.rng.random_range(0..PROXIES);
                self.agents[agent].followed = Epoch(0);
            }
            _ => {}
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + Nanos(self.rng.random_range(500_000..8_000_000));
        if !self.calm {
            self.trouble();
        }
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.flying).into_iter().partition(|flying| flying.0 <= now);
        self.flying = rest;
        let mut due: Vec<(Nanos, usize, Datagram)> = due;
        due.sort_by_key(|flying| flying.0);
        for (_, to, datagram) in due {
            let clock = self.clock(to);
            if self.nodes[to].stands_until > now {
                // It waits in the socket.
                let until = self.nodes[to].stands_until;
                self.flying.push((until, to, datagram));
                continue;
            }
            let Some(member) = &mut self.nodes[to].member else { continue };
            let datagram = Datagram::decode(&datagram.encode()).unwrap();
            let outputs = member.handle(clock, datagram);
            self.carry(to, outputs);
        }
        for place in 0..self.nodes.len() {
            let clock = self.clock(place);
            if self.nodes[place].stands_until > now {
                continue;
            }
            let Some(member) = &mut self.nodes[place].member else { continue };
            let outputs = member.tick(clock);
            // Found in the fleet model: one whose lease had ended asked to be woken at that end, over and over.
            assert!(member.next_at() > clock, "node {place} would spin at {clock:?}");
            self.carry(place, outputs);
            self.order(place);
        }
        self.deliver_orders();
        self.check();
    }

    /// Every member orders what it may; orders may take long on their way.
    fn order(&mut self, place: usize) {
        let clock = self.clock(place);
        let Some(member) = &self.nodes[place].member else { return };
        let number = self.rng.random_range(0..PROXIES);
        if let Ownership::Owned(epoch) = member.ownership(clock, &proxy(number)) {
            let late = if self.calm { 5 } else { 2_000 };
            let at = self.now + Nanos(self.rng.random_range(0..late * 1_000_000));
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
                agent.refused += 1;
                continue;
            }
            assert!(epoch >= agent.ever, "proxy {number} followed {epoch:?} after {:?}", agent.ever);
            (agent.followed, agent.ever) = (epoch, epoch);
            agent.orders += 1;
        }
    }

    fn check(&mut self) {
        for number in 0..PROXIES {
            let mine = |place: &usize| {
                let member = self.nodes[*place].member.as_ref();
                member.is_some_and(|m| {
                    matches!(m.ownership(self.clock(*place), &proxy(number)), Ownership::Owned(_))
                })
            };
            let in_charge: Vec<usize> = (0..self.nodes.len()).filter(mine).collect();
            assert!(
                in_charge.len() <= 1,
                "{in_charge:?} are all in charge of proxy {number} at {:?}",
                self.now
            );
            match (in_charge.is_empty(), self.gap_since[number]) {
                (true, None) => self.gap_since[number] = Some(self.now),
                (false, Some(since)) => {
                    self.gaps.push(self.now - since);
                    self.gap_since[number] = None;
                }
                (true, Some(_)) | (false, None) => {}
            }
        }
        for (place, node) in self.nodes.iter().enumerate() {
            let Some(member) = &node.member else { continue };
            if member.role() == Role::Leader {
                let first = *self.leaders.entry(member.term()).or_insert(place);
                assert_eq!(first, place, "two leaders in term {}", member.term());
            }
            for (at, entry) in member.raft().certain() {
                let first = self.certain.entry(at).or_insert_with(|| entry.clone());
                assert_eq!(first, entry, "what was certain at {at} changed at member {place}");
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

    /// The newest view that any member knows to be certain.
    pub fn newest_epoch(&self) -> u64 {
        let members = self.nodes.iter().filter_map(|node| node.member.as_ref());
        members.map(|member| member.view().epoch.0).max().unwrap_or(0)
    }

    /// Every so often a member drawn by chance stands still for a while.
    pub fn stand_still_sometimes(&mut self, span: Nanos, every: Nanos) {
        if self.rng.random_range(0..every.0) < 4_250_000 {
            let place = self.rng.random_range(0..self.nodes.len());
            self.nodes[place].stands_until = self.now + span;
        }
    }

    fn describe(&self) -> String {
        let line = |(place, node): (usize, &Node)| {
            match &node.member {
            None => format!("\n  c{place} is down"),
            Some(m) => format!(
                "\n  c{place} {:?} term {} leader {:?} voters {:?} alive {:?} view {:?} lease {:?} changing {}",
                m.role(),
                m.term(),
                m.leader(),
                m.voters(),
                m.alive(),
                m.view(),
                m.lease(),
                m.raft().is_changing()
            ),
        }
        };
        let named = format!("\n  named {:?}", self.named);
        [named].into_iter().chain(self.nodes.iter().enumerate().map(line)).collect()
    }

    /// How many of the proxies someone is in charge of.
    pub fn covered(&self) -> usize {
        self.gap_since.iter().filter(|since| since.is_none()).count()
    }

    /// No more troubles: all stand, and reach one another.
    pub fn calm_down(&mut self) {
        self.calm = true;
        self.cut.clear();
        self.loss = 0.0;
        (0..self.nodes.len())
            .filter(|place| !self.is_up(*place))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|p| self.start(p));
    }

    pub fn run_until(&mut self, what: &str, most: Nanos, done: impl Fn(&World) -> bool) -> Nanos {
        let begin = self.now;
        while !done(self) {
            assert!(self.now - begin < most, "{what} took longer than {most:?}:{}", self.describe());
            self.step();
        }
        self.now - begin
    }

    /// The member that all are led by, as far as it knows.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |place: &usize| self.nodes[*place].member.as_ref().is_some_and(|m| m.role() == Role::Leader);
        (0..self.nodes.len()).find(leads)
    }
}
