//! Who is alive, by SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002): each period one member is probed, then through others, then suspected for a while; news
//! rides on probes; a member that is suspected refutes it with a higher incarnation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use craneknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::MemberId;

const HELPERS: usize = 2; // members asked to probe in our stead: the paper's k; 3 members have no more to give
const RUMOURS: usize = 8; // pieces of news on one message: it must fit a datagram
const SPREAD: u32 = 3; // times the logarithm of the members that a piece of news is told: the paper's lambda

/// Spans; members may differ in them.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// One probe each.
    pub period: Nanos,
    /// Without an answer for so long, others are asked; the rest of the period is theirs.
    pub answer_within: Nanos,
    /// A suspect that does not refute it for so long is dead.
    pub suspicion: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
}

/// A piece of news. Of two about one member the later incarnation counts, then the worse word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub member: MemberId,
    pub incarnation: u64,
    pub health: Health,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    Probe,
    /// Probe that one in my stead.
    Help {
        target: MemberId,
    },
    Answer,
    /// The one that you asked me to probe answers.
    Helped {
        target: MemberId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub number: u64,
    pub word: Word,
    pub rumours: Vec<Rumour>,
}

/// How a member stands, from a table of what is known and what is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Old news.
    Nothing,
    /// Take it, and tell others.
    Spread,
    /// Take it, tell others, and wait whether it is refuted.
    Doubt,
}

/// What is known, what is heard, whether its incarnation is later, the same or earlier: the effect. The paper's order:
/// alive i overrides anything before i; suspect i overrides alive up to i; dead overrides all up to i, and a member that
/// comes back does so with a later incarnation.
const MOVES: &[(Health, Health, [Effect; 3])] = &[
    // known, heard, [later, same, earlier]
    (Health::Alive, Health::Alive, [Effect::Spread, Effect::Nothing, Effect::Nothing]),
    (Health::Alive, Health::Suspect, [Effect::Doubt, Effect::Doubt, Effect::Nothing]),
    (Health::Alive, Health::Dead, [Effect::Spread, Effect::Spread, Effect::Nothing]),
    (Health::Suspect, Health::Alive, [Effect::Spread, Effect::Nothing, Effect::Nothing]),
    (Health::Suspect, Health::Suspect, [Effect::Doubt, Effect::Nothing, Effect::Nothing]),
    (Health::Suspect, Health::Dead, [Effect::Spread, Effect::Spread, Effect::Nothing]),
    (Health::Dead, Health::Alive, [Effect::Spread, Effect::Nothing, Effect::Nothing]),
    (Health::Dead, Health::Suspect, [Effect::Doubt, Effect::Nothing, Effect::Nothing]),
    (Health::Dead, Health::Dead, [Effect::Spread, Effect::Nothing, Effect::Nothing]),
];

#[derive(Clone, Debug)]
struct Known {
    health: Health,
    incarnation: u64,
    /// When it was suspected.
    since: Nanos,
}

#[derive(Clone, Debug)]
struct Probe {
    number: u64,
    target: MemberId,
    helped: bool,
    sent: Nanos,
}

#[derive(Clone, Debug)]
pub struct Swim {
    me: MemberId,
    timing: Timing,
    incarnation: u64,
    members: BTreeMap<MemberId, Known>,
    round: VecDeque<MemberId>,
    probe: Option<Probe>,
    /// Those we probe in another's stead: our number, for whom, and their number.
    helping: BTreeMap<u64, (MemberId, u64, MemberId)>,
    rumours: Vec<(Rumour, u32)>,
    next_number: u64,
    period_at: Nanos,
    rng: Pcg32,
}

impl Swim {
    /// `incarnation` must be later than that of any earlier life under this name: the start's date serves.
    pub fn new(
        me: MemberId,
        members: &BTreeSet<MemberId>,
        timing: Timing,
        incarnation: u64,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let others = members.iter().filter(|member| **member != me);
        let known =
            |member: &MemberId| (member.clone(), Known { health: Health::Alive, incarnation: 0, since: now });
        let mut swim = Swim {
            members: others.map(known).collect(),
            timing,
            incarnation,
            round: VecDeque::new(),
            probe: None,
            helping: BTreeMap::new(),
            rumours: Vec::new(),
            next_number: 0,
            period_at: now,
            rng: Pcg32::seed_from_u64(seed),
            me,
        };
        // A life that begins anew tells so: what was said of the last one no longer holds.
        let (member, incarnation) = (swim.me.clone(), swim.incarnation);
        swim.tell(Rumour { member, incarnation, health: Health::Alive });
        swim
    }

    /// Those held to be alive, this one included. Suspects still count.
    pub fn alive(&self) -> BTreeSet<MemberId> {
        let others = self.members.iter().filter(|(_, known)| known.health != Health::Dead);
        others.map(|(member, _)| member.clone()).chain([self.me.clone()]).collect()
    }

    pub fn health(&self, member: &MemberId) -> Option<Health> {
        match *member == self.me {
            true => Some(Health::Alive),
            false => self.members.get(member).map(|known| known.health),
        }
    }

    /// Settings name another set of members.
    pub fn set_members(&mut self, members: &BTreeSet<MemberId>, now: Nanos) {
        self.members.retain(|member, _| members.contains(member));
        for member in members.iter().filter(|member| **member != self.me) {
            let known = Known { health: Health::Alive, incarnation: 0, since: now };
            self.members.entry(member.clone()).or_insert(known);
        }
    }

    fn tell(&mut self, rumour: Rumour) {
        self.rumours.retain(|(old, _)| old.member != rumour.member);
        self.rumours.push((rumour, 0));
    }

    /// The news told least often so far.
    fn news(&mut self) -> Vec<Rumour> {
        let most = SPREAD * (usize::BITS - self.members.len().leading_zeros() + 1);
        self.rumours.sort_by_key(|(_, told)| *told);
        let told = self.rumours.iter_mut().take(RUMOURS).map(|(rumour, told)| {
            *told += 1;
            rumour.clone()
        });
        let told = told.collect();
        self.rumours.retain(|(_, told)| *told < most);
        told
    }

    fn message(&mut self, word: Word, number: u64) -> Message {
        Message { number, word, rumours: self.news() }
    }

    pub fn next_at(&self) -> Nanos {
        let helped = self.probe.as_ref().filter(|probe| !probe.helped);
        let helped = helped.map(|probe| probe.sent + self.timing.answer_within);
        let suspects = self.members.values().filter(|known| known.health == Health::Suspect);
        let suspects = suspects.map(|known| known.since + self.timing.suspicion);
        suspects.chain(helped).chain([self.period_at]).min().unwrap_or(self.period_at)
    }

    /// Time has passed: what is to be sent.
    pub fn tick(&mut self, now: Nanos) -> Vec<(MemberId, Message)> {
        let mut out = Vec::new();
        let suspicion = self.timing.suspicion;
        let over = |known: &Known| known.health == Health::Suspect && now - known.since >= suspicion;
        let dead: Vec<(MemberId, u64)> =
            self.members.iter().filter(|(_, k)| over(k)).map(|(m, k)| (m.clone(), k.incarnation)).collect();
        for (member, incarnation) in dead {
            self.hear(now, Rumour { member, incarnation, health: Health::Dead });
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| !probe.helped && now - probe.sent >= self.timing.answer_within)
        {
            self.ask_for_help(&mut out);
        }
        if now >= self.period_at {
            self.period_at = now + self.timing.period;
            if let Some(probe) = self.probe.take() {
                let known = self.members.get(&probe.target);
                // It stood still together with us if its time ran out while we did not look.
                let late = now - probe.sent > self.timing.period + self.timing.period;
                if let Some(incarnation) = known.map(|known| known.incarnation).filter(|_| !late) {
                    self.hear(now, Rumour { member: probe.target, incarnation, health: Health::Suspect });
                }
            }
            self.helping.clear();
            if let Some(target) = self.next_target() {
                self.next_number += 1;
                let number = self.next_number;
                let message = self.message(Word::Probe, number);
                out.push((target.clone(), message));
                self.probe = Some(Probe { number, target, helped: false, sent: now });
            }
        }
        out
    }

    fn ask_for_help(&mut self, out: &mut Vec<(MemberId, Message)>) {
        let Some(probe) = &mut self.probe else { return };
        probe.helped = true;
        let (number, target) = (probe.number, probe.target.clone());
        let fit = |(member, known): &(&MemberId, &Known)| **member != target && known.health == Health::Alive;
        let mut helpers: Vec<MemberId> = self.members.iter().filter(fit).map(|(m, _)| m.clone()).collect();
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(HELPERS) {
            let message = self.message(Word::Help { target: target.clone() }, number);
            out.push((helper, message));
        }
    }

    /// Each member once a round, in an order drawn anew: the paper's bound on how late a death is found. The dead are
    /// probed too: one that comes back need not find us.
    fn next_target(&mut self) -> Option<MemberId> {
        if self.round.is_empty() {
            let mut all: Vec<MemberId> = self.members.keys().cloned().collect();
            all.shuffle(&mut self.rng);
            self.round = all.into();
        }
        let members = &self.members;
        self.round.retain(|member| members.contains_key(member));
        self.round.pop_front()
    }

    /// A message has come; what is to be sent.
    pub fn handle(&mut self, now: Nanos, from: &MemberId, message: Message) -> Vec<(MemberId, Message)> {
        let mut out = Vec::new();
        let Some(known) = self.members.get(from) else { return out };
        // One held dead or suspect that speaks: it must learn of it, to refute it.
        if known.health != Health::Alive {
            let (health, incarnation) = (known.health, known.incarnation);
            self.tell(Rumour { member: from.clone(), incarnation, health });
        }
        for rumour in message.rumours.into_iter().take(4 * RUMOURS) {
            self.hear(now, rumour);
        }
        match message.word {
            Word::Probe => out.push((from.clone(), self.message(Word::Answer, message.number))),
            Word::Help { target } => {
                if self.members.contains_key(&target) {
                    self.next_number += 1;
                    let number = self.next_number;
                    self.helping.insert(number, (from.clone(), message.number, target.clone()));
                    let probe = self.message(Word::Probe, number);
                    out.push((target, probe));
                }
            }
            Word::Answer => {
                if let Some((asker, number, target)) = self.helping.remove(&message.number) {
                    if target == *from {
                        let helped = self.message(Word::Helped { target }, number);
                        out.push((asker, helped));
                    }
                }
                self.answered(from, message.number);
            }
            Word::Helped { target } => self.answered(&target, message.number),
        }
        out
    }

    fn answered(&mut self, member: &MemberId, number: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.number == number && probe.target == *member) {
            self.probe = None;
        }
    }

    fn hear(&mut self, now: Nanos, rumour: Rumour) {
        if rumour.member == self.me {
            // Refuted with a later incarnation; also where ours is later already: who says so has forgotten it.
            if rumour.health != Health::Alive {
                self.incarnation = self.incarnation.max(rumour.incarnation + 1);
                let (member, incarnation) = (self.me.clone(), self.incarnation);
                self.tell(Rumour { member, incarnation, health: Health::Alive });
            }
            return;
        }
        let Some(known) = self.members.get_mut(&rumour.member) else { return };
        let order = match rumour.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Greater => 0,
            std::cmp::Ordering::Equal => 1,
            std::cmp::Ordering::Less => 2,
        };
        let row = MOVES.iter().find(|row| row.0 == known.health && row.1 == rumour.health);
        let effect = row.map_or(Effect::Nothing, |row| row.2[order]);
        match effect {
            Effect::Nothing => return,
            Effect::Spread => {}
            Effect::Doubt => known.since = now,
        }
        (known.health, known.incarnation) = (rumour.health, rumour.incarnation);
        self.tell(rumour);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    const TIMING: Timing = Timing {
        period: Nanos::from_millis(200),
        answer_within: Nanos::from_millis(60),
        suspicion: Nanos::from_millis(800),
    };

    /// Members on a network of a test's making: delays, loss, and a predicate of who reaches whom.
    struct Net {
        now: Nanos,
        members: Vec<Option<Swim>>,
        flying: Vec<(Nanos, usize, usize, Message)>,
        rng: Pcg32,
    }

    fn name(number: usize) -> MemberId {
        MemberId::new(&format!("m{number}"))
    }

    impl Net {
        fn new(count: usize, seed: u64) -> Self {
            let all: BTreeSet<MemberId> = (0..count).map(name).collect();
            let swim = |k| Some(Swim::new(name(k), &all, TIMING, 1, seed + k as u64, Nanos(0)));
            Net {
                now: Nanos(0),
                members: (0..count).map(swim).collect(),
                flying: Vec::new(),
                rng: Pcg32::seed_from_u64(seed),
            }
        }

        fn run(&mut self, millis: u64, loss: f64, reaches: impl Fn(usize, usize) -> bool) {
            let end = self.now + Nanos::from_millis(millis);
            while self.now < end {
                self.now = self.now + Nanos::from_millis(5);
                let now = self.now;
                let (due, rest) = std::mem::take(&mut self.flying).into_iter().partition(|f| f.0 <= now);
                self.flying = rest;
                let mut sent = Vec::new();
                for (_, from, to, message) in due {
                    let Some(member) = &mut self.members[to] else { continue };
                    sent.extend(
                        member.handle(now, &name(from), message).into_iter().map(|(t, m)| (to, t, m)),
                    );
                }
                for (place, member) in self.members.iter_mut().enumerate() {
                    let Some(member) = member else { continue };
                    sent.extend(member.tick(now).into_iter().map(|(t, m)| (place, t, m)));
                }
                for (from, to, message) in sent {
                    let to: usize = to.0[1..].parse().unwrap();
                    if reaches(from, to) && self.rng.random::<f64>() >= loss {
                        let at = now + Nanos::from_millis(self.rng.random_range(0..30));
                        self.flying.push((at, from, to, message));
                    }
                }
            }
        }

        fn health(&self, of: usize) -> Vec<Option<Health>> {
            self.members.iter().flatten().map(|member| member.health(&name(of))).collect()
        }
    }

    #[test]
    fn loss_alone_kills_no_one_and_a_death_is_found_by_all() {
        for seed in 0..10 {
            let mut net = Net::new(5, seed);
            net.run(20_000, 0.1, |_, _| true);
            for of in 0..5 {
                assert!(!net.health(of).contains(&Some(Health::Dead)), "seed {seed}: {of}");
            }
            net.members[2] = None;
            net.run(4_000, 0.1, |_, _| true);
            assert_eq!(net.health(2), vec![Some(Health::Dead); 4], "seed {seed}");
        }
    }

    #[test]
    fn one_that_comes_back_under_its_name_is_taken_back() {
        let mut net = Net::new(3, 4);
        net.members[1] = None;
        net.run(4_000, 0.0, |_, _| true);
        let all = (0..3).map(name).collect();
        net.members[1] = Some(Swim::new(name(1), &all, TIMING, 2, 9, net.now));
        net.run(3_000, 0.0, |_, _| true);
        assert_eq!(net.health(1), vec![Some(Health::Alive); 3]);
        // Also one whose clock was set back, and so its incarnation: it learns, and refutes it.
        net.members[1] = None;
        net.run(4_000, 0.0, |_, _| true);
        net.members[1] = Some(Swim::new(name(1), &all, TIMING, 1, 9, net.now));
        net.run(4_000, 0.0, |_, _| true);
        assert_eq!(net.health(1), vec![Some(Health::Alive); 3]);
    }

    /// A hears B but B not A: others' help keeps both alive.
    #[test]
    fn a_one_way_path_is_borne_with_the_help_of_others() {
        let mut net = Net::new(4, 11);
        net.run(20_000, 0.0, |from, to| !(from == 0 && to == 1));
        for of in 0..4 {
            assert!(!net.health(of).contains(&Some(Health::Dead)), "{of}");
        }
    }

    #[test]
    fn a_hundred_members_find_a_death_with_bounded_messages() {
        let mut net = Net::new(100, 3);
        net.run(2_000, 0.05, |_, _| true);
        net.members[42] = None;
        net.run(8_000, 0.05, |_, _| true);
        let dead = net.health(42).iter().filter(|health| **health == Some(Health::Dead)).count();
        assert_eq!(dead, 99);
        assert!(net.flying.iter().all(|(.., message)| message.rumours.len() <= RUMOURS));
    }
}
