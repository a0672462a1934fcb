//! A bounded exhaustive search of the lease and fencing machine: three members, every sequence of so many rounds, in each
//! of which one of all troubles happens. `DEPTH=6 cargo test --release -p craneknot-fleet --test search -- --nocapture`
//! goes deeper than CI does.

use std::collections::{BTreeSet, HashSet};

use craneknot::interface::Nanos;
use craneknot_fleet::member::{Member, Output, Ownership, Timing};
use craneknot_fleet::raft::{self, PersistentState};
use craneknot_fleet::swim;
use craneknot_fleet::wire::Datagram;
use craneknot_fleet::MemberId;
use xxhash_rust::xxh3::xxh3_64;

const COUNT: usize = 3;
const STEP: u64 = 10; // ms of true time between two looks at the clocks
const ROUND: u64 = 120; // ms; near a third of a lease: what was granted in one round is over three rounds later
const RATES: [f64; COUNT] = [0.99, 1.0, 1.01]; // clocks as far apart as is allowed
const PROXIES: [&str; 4] = ["p0", "p1", "p2", "p3"];

/// What happens in a round.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    /// Nothing reaches that one, and nothing of it the others.
    Alone(usize),
    /// It hears, and is not heard.
    Mute(usize),
    /// What it sends comes three rounds later.
    Late(usize),
    /// It stands still, and then goes on.
    Still(usize),
    Kill(usize),
    Start(usize),
}

#[derive(Clone)]
struct Fleet {
    now: u64,
    members: Vec<Option<Member>>,
    saved: Vec<PersistentState>,
    flying: Vec<(u64, usize, Datagram)>,
}

fn name(number: usize) -> MemberId {
    MemberId::new(&format!("c{number}"))
}

impl Fleet {
    fn clock(&self, place: usize) -> Nanos {
        Nanos((self.now as f64 * 1e6 * RATES[place]) as u64 + 1_000_000_000)
    }

    fn start(&mut self, place: usize) {
        let timing = Timing {
            raft: raft::Timing {
                heartbeat: Nanos::from_millis(40),
                election: Nanos::from_millis(200),
                drift: 0.012,
                lease: Nanos::from_millis(360),
            },
            swim: swim::Timing {
                period: Nanos::from_millis(80),
                answer_within: Nanos::from_millis(30),
                suspicion: Nanos::from_millis(160),
            },
        };
        let all: BTreeSet<MemberId> = (0..COUNT).map(name).collect();
        let (seed, now) = (place as u64, self.clock(place));
        self.members[place] =
            Some(Member::new(name(place), &all, timing, self.saved[place].clone(), self.now, seed, now));
    }

    fn carry(&mut self, place: usize, outputs: Vec<Output>, trouble: Trouble) {
        for output in outputs {
            match output {
                Output::Save(saved) => self.saved[place] = saved,
                Output::Send(to, datagram) => {
                    let to: usize = to.0[1..].parse().unwrap();
                    let late = match trouble {
                        Trouble::Alone(one) if one == place || one == to => continue,
                        Trouble::Mute(one) if one == place => continue,
                        Trouble::Late(one) if one == place => 3 * ROUND,
                        _ => STEP,
                    };
                    self.flying.push((self.now + late, to, datagram));
                }
                Output::OwnershipChanged => {}
            }
        }
    }

    /// One round; nothing where the trouble cannot happen.
    fn round(mut self, trouble: Trouble) -> Option<Fleet> {
        match trouble {
            Trouble::Kill(place) | Trouble::Still(place) if self.members[place].is_none() => return None,
            Trouble::Kill(place) => self.members[place] = None,
            Trouble::Start(place) if self.members[place].is_some() => return None,
            Trouble::Start(place) => self.start(place),
            _ => {}
        }
        for _ in 0..ROUND / STEP {
            self.now += STEP;
            let now = self.now;
            let still = |place: usize| matches!(trouble, Trouble::Still(one) if one == place);
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flying)
                .into_iter()
                .partition(|(at, to, _)| *at <= now && !still(*to));
            self.flying = rest;
            for (_, to, datagram) in due {
                let clock = self.clock(to);
                let Some(member) = &mut self.members[to] else { continue };
                let outputs = member.handle(clock, datagram);
                self.carry(to, outputs, trouble);
            }
            for place in (0..COUNT).filter(|place| !still(*place)) {
                let clock = self.clock(place);
                let Some(member) = &mut self.members[place] else { continue };
                let outputs = member.tick(clock);
                self.carry(place, outputs, trouble);
            }
            self.check(trouble);
        }
        Some(self)
    }

    fn check(&self, trouble: Trouble) {
        for proxy in PROXIES {
            let mine = |place: &usize| {
                let member = self.members[*place].as_ref();
                member.is_some_and(|member| {
                    matches!(member.ownership(self.clock(*place), proxy), Ownership::Owned(_))
                })
            };
            let in_charge: Vec<usize> = (0..COUNT).filter(mine).collect();
            assert!(
                in_charge.len() <= 1,
                "{in_charge:?} are in charge of {proxy} at {} ms, {trouble:?}",
                self.now
            );
        }
    }

    fn covered(&self) -> usize {
        let mine = |place: usize, proxy: &str| {
            let member = self.members[place].as_ref();
            member.is_some_and(|member| {
                matches!(member.ownership(self.clock(place), proxy), Ownership::Owned(_))
            })
        };
        PROXIES.iter().filter(|proxy| (0..COUNT).any(|place| mine(place, proxy))).count()
    }

    fn hash(&self) -> u64 {
        xxh3_64(format!("{:?} {:?} {:?}", self.members, self.saved, self.flying).as_bytes())
    }
}

#[test]
fn in_no_sequence_of_troubles_are_two_in_charge() {
    let depth: u32 = std::env::var("DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(4);
    let mut first = Fleet {
        now: 0,
        members: vec![None; COUNT],
        saved: vec![PersistentState::default(); COUNT],
        flying: Vec::new(),
    };
    (0..COUNT).for_each(|place| first.start(place));
    while first.covered() < PROXIES.len() {
        assert!(first.now < 10_000, "the fleet never came together");
        first = first.round(Trouble::Nothing).unwrap();
    }
    let each = |one: usize| {
        use Trouble::*;
        [Alone(one), Mute(one), Late(one), Still(one), Kill(one), Start(one)]
    };
    let troubles: Vec<Trouble> = (0..COUNT).flat_map(each).chain([Trouble::Nothing]).collect();
    let (mut seen, mut rounds) = (HashSet::new(), 0_u64);
    let mut level = vec![first];
    for at in 1..=depth {
        let mut next = Vec::new();
        for fleet in level {
            for trouble in &troubles {
                rounds += 1;
                let Some(fleet) = fleet.clone().round(*trouble) else { continue };
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
