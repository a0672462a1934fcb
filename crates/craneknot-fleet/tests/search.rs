//! A bounded exhaustive search of leases and fencing: three members, and every sequence of a number of rounds with one of
//! the possible faults in each. `DEPTH=6 cargo test --release -p craneknot-fleet --test search -- --nocapture` searches
//! deeper than CI does.

use std::collections::{BTreeSet, HashSet};

use craneknot::interface::Nanos;
use craneknot_fleet::member::{Member, Output, Ownership, Timing};
use craneknot_fleet::raft::{self, PersistentState};
use craneknot_fleet::swim;
use craneknot_fleet::wire::Datagram;
use craneknot_fleet::MemberId;
use xxhash_rust::xxh3::xxh3_64;

const COUNT: usize = 3;
const STEP_MS: u64 = 10; // true time between two ticks of the members
const ROUND_MS: u64 = 120; // a third of a lease: a lease granted in one round has ended three rounds later
const RATES: [f64; COUNT] = [0.99, 1.0, 1.01]; // clock rates, as far apart as the drift allows
const PROXIES: [&str; 4] = ["p0", "p1", "p2", "p3"];

/// What happens in a round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The member is cut off from the others in both directions.
    Isolated(usize),
    /// The member receives, but nothing that it sends arrives.
    SendLoss(usize),
    /// Everything that the member sends arrives three rounds later.
    Delayed(usize),
    /// The member is paused for the round.
    Paused(usize),
    Kill(usize),
    Start(usize),
}

#[derive(Clone)]
struct Fleet {
    now: u64,
    members: Vec<Option<Member>>,
    saved: Vec<PersistentState>,
    in_flight: Vec<(u64, usize, Datagram)>,
}

fn name(number: usize) -> MemberId {
    MemberId::new(&format!("c{number}"))
}

impl Fleet {
    fn clock(&self, index: usize) -> Nanos {
        Nanos((self.now as f64 * 1e6 * RATES[index]) as u64 + 1_000_000_000)
    }

    fn start(&mut self, index: usize) {
        let timing = Timing {
            raft: raft::Timing {
                heartbeat: Nanos::from_millis(40),
                election: Nanos::from_millis(200),
                drift: 0.012,
                lease: Nanos::from_millis(360),
            },
            swim: swim::Timing {
                period: Nanos::from_millis(80),
                ack_timeout: Nanos::from_millis(30),
                suspicion_timeout: Nanos::from_millis(160),
            },
        };
        let all: BTreeSet<MemberId> = (0..COUNT).map(name).collect();
        let (seed, now) = (index as u64, self.clock(index));
        self.members[index] =
            Some(Member::new(name(index), &all, timing, self.saved[index].clone(), self.now, seed, now));
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>, fault: Fault) {
        for output in outputs {
            match output {
                Output::Save(saved) => self.saved[index] = saved,
                Output::Send(to, datagram) => {
                    let to: usize = to.0[1..].parse().unwrap();
                    let delay = match fault {
                        Fault::Isolated(one) if one == index || one == to => continue,
                        Fault::SendLoss(one) if one == index => continue,
                        Fault::Delayed(one) if one == index => 3 * ROUND_MS,
                        _ => STEP_MS,
                    };
                    self.in_flight.push((self.now + delay, to, datagram));
                }
                Output::OwnershipChanged => {}
            }
        }
    }

    /// Runs one round; `None` if the fault is not possible in this state.
    fn round(mut self, fault: Fault) -> Option<Fleet> {
        match fault {
            Fault::Kill(index) | Fault::Paused(index) if self.members[index].is_none() => return None,
            Fault::Kill(index) => self.members[index] = None,
            Fault::Start(index) if self.members[index].is_some() => return None,
            Fault::Start(index) => self.start(index),
            _ => {}
        }
        for _ in 0..ROUND_MS / STEP_MS {
            self.now += STEP_MS;
            let now = self.now;
            let is_paused = |index: usize| matches!(fault, Fault::Paused(one) if one == index);
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, to, _)| *at <= now && !is_paused(*to));
            self.in_flight = rest;
            for (_, to, datagram) in due {
                let clock = self.clock(to);
                let Some(member) = &mut self.members[to] else { continue };
                let outputs = member.handle(clock, datagram);
                self.carry_out(to, outputs, fault);
            }
            for index in (0..COUNT).filter(|index| !is_paused(*index)) {
                let clock = self.clock(index);
                let Some(member) = &mut self.members[index] else { continue };
                let outputs = member.tick(clock);
                self.carry_out(index, outputs, fault);
            }
            self.check(fault);
        }
        Some(self)
    }

    fn check(&self, fault: Fault) {
        for proxy in PROXIES {
            let owns = |index: &usize| {
                let member = self.members[*index].as_ref();
                member.is_some_and(|m| matches!(m.ownership(self.clock(*index), proxy), Ownership::Owned(_)))
            };
            let owners: Vec<usize> = (0..COUNT).filter(owns).collect();
            assert!(owners.len() <= 1, "{owners:?} own {proxy} at {} ms, {fault:?}", self.now);
        }
    }

    fn owned(&self) -> usize {
        let owns = |index: usize, proxy: &str| {
            let member = self.members[index].as_ref();
            member.is_some_and(|m| matches!(m.ownership(self.clock(index), proxy), Ownership::Owned(_)))
        };
        PROXIES.iter().filter(|proxy| (0..COUNT).any(|index| owns(index, proxy))).count()
    }

    fn hash(&self) -> u64 {
        xxh3_64(format!("{:?} {:?} {:?}", self.members, self.saved, self.in_flight).as_bytes())
    }
}

#[test]
fn no_sequence_of_faults_leads_to_two_owners() {
    let depth: u32 = std::env::var("DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(4);
    let mut first = Fleet {
        now: 0,
        members: vec![None; COUNT],
        saved: vec![PersistentState::default(); COUNT],
        in_flight: Vec::new(),
    };
    (0..COUNT).for_each(|index| first.start(index));
    while first.owned() < PROXIES.len() {
        assert!(first.now < 10_000, "the fleet never reached its first view");
        first = first.round(Fault::None).unwrap();
    }
    let each = |one: usize| {
        use Fault::*;
        [Isolated(one), SendLoss(one), Delayed(one), Paused(one), Kill(one), Start(one)]
    };
    let faults: Vec<Fault> = (0..COUNT).flat_map(each).chain([Fault::None]).collect();
    let (mut seen, mut rounds) = (HashSet::new(), 0_u64);
    let mut level = vec![first];
    for at in 1..=depth {
        let mut next = Vec::new();
        for fleet in level {
            for fault in &faults {
                rounds += 1;
                let Some(fleet) = fleet.clone().round(*fault) else { continue };
                if seen.insert(fleet.hash()) && at < depth {
                    next.push(fleet);
                }
            }
        }
        println!("depth {at}: {} states, {rounds} rounds", seen.len());
        level = next;
    }
    assert!(seen.len() > 10_000, "only {} states", seen.len());
}
