//! Failure detection by SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002). Each period one member is pinged, directly and then through others; one that does not
//! reply is suspected for a while before it is declared dead. Updates are piggybacked on these messages, and a suspected
//! member refutes the suspicion with a higher incarnation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use craneknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::MemberId;

const INDIRECT_PROBES: usize = 2; // members asked to ping on our behalf, the paper's k; a group of 3 has no more to ask
const MAX_UPDATES_PER_MESSAGE: usize = 8; // the message must fit into one datagram
const RETRANSMIT_FACTOR: u32 = 3; // an update is sent this many times the logarithm of the group size: the paper's lambda

/// Durations; members may use different ones.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Protocol period: one member is probed in each.
    pub period: Nanos,
    /// After this time without a reply others are asked to ping the target, for the rest of the period.
    pub ack_timeout: Nanos,
    /// A suspect that does not refute the suspicion within this time is declared dead.
    pub suspicion_timeout: Nanos,
}

/// Health of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
}

/// A gossiped update on a member's health. Of two updates on one member the one with the higher incarnation wins, then
/// the one with the worse health.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub member: MemberId,
    pub incarnation: u64,
    pub health: Health,
}

/// Kind of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    #[serde(rename = "Probe")]
    Ping,
    /// Asks the receiver to ping the target on the sender's behalf.
    #[serde(rename = "Help")]
    PingRequest { target: MemberId },
    #[serde(rename = "Answer")]
    Ack,
    /// Tells that the target of a [`MessageKind::PingRequest`] has replied.
    #[serde(rename = "Helped")]
    IndirectAck { target: MemberId },
}

/// A message between members, with gossip piggybacked on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    #[serde(rename = "number")]
    pub sequence: u64,
    #[serde(rename = "word")]
    pub kind: MessageKind,
    #[serde(rename = "rumours")]
    pub gossip: Vec<GossipUpdate>,
}

/// What a received update does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// The update is out of date.
    Ignore,
    /// The update is applied and gossiped.
    Apply,
    /// The update is applied and gossiped, and the suspicion timeout starts.
    Suspect,
}

/// Peer health, health in the update, and the effect by whether the update's incarnation is higher, equal or lower. The
/// order is the paper's: alive i overrides anything below i, suspect i overrides alive up to i, dead overrides all up to
/// i, and a member that returns does so with a higher incarnation.
const TRANSITIONS: &[(Health, Health, [Effect; 3])] = &[
    // known, update, [higher, equal, lower]
    (Health::Alive, Health::Alive, [Effect::Apply, Effect::Ignore, Effect::Ignore]),
    (Health::Alive, Health::Suspect, [Effect::Suspect, Effect::Suspect, Effect::Ignore]),
    (Health::Alive, Health::Dead, [Effect::Apply, Effect::Apply, Effect::Ignore]),
    (Health::Suspect, Health::Alive, [Effect::Apply, Effect::Ignore, Effect::Ignore]),
    (Health::Suspect, Health::Suspect, [Effect::Suspect, Effect::Ignore, Effect::Ignore]),
    (Health::Suspect, Health::Dead, [Effect::Apply, Effect::Apply, Effect::Ignore]),
    (Health::Dead, Health::Alive, [Effect::Apply, Effect::Ignore, Effect::Ignore]),
    (Health::Dead, Health::Suspect, [Effect::Suspect, Effect::Ignore, Effect::Ignore]),
    (Health::Dead, Health::Dead, [Effect::Apply, Effect::Ignore, Effect::Ignore]),
];

/// What is known of another member.
#[derive(Clone, Debug)]
struct Peer {
    health: Health,
    incarnation: u64,
    /// Start of the last suspicion.
    suspected_at: Nanos,
}

/// The probe of the current period.
#[derive(Clone, Debug)]
struct Probe {
    sequence: u64,
    target: MemberId,
    /// Others were asked to ping the target.
    is_indirect: bool,
    sent_at: Nanos,
}

/// One member's failure detector.
#[derive(Clone, Debug)]
pub struct Swim {
    me: MemberId,
    timing: Timing,
    incarnation: u64,
    members: BTreeMap<MemberId, Peer>,
    /// Members still to be probed in this round, in random order.
    probe_order: VecDeque<MemberId>,
    probe: Option<Probe>,
    /// Pings sent on behalf of others, by their sequence number here: the requester, its sequence sequence, the target.
    relayed_pings: BTreeMap<u64, (MemberId, u64, MemberId)>,
    /// Updates to gossip, with how often each was sent.
    gossip: Vec<(GossipUpdate, u32)>,
    last_sequence: u64,
    period_at: Nanos,
    rng: Pcg32,
}

impl Swim {
    /// `incarnation` must be higher than that of any earlier run under this name; the time of the start will do.
    pub fn new(
        me: MemberId,
        members: &BTreeSet<MemberId>,
        timing: Timing,
        incarnation: u64,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let others = members.iter().filter(|member| **member != me);
        let peer =
            |id: &MemberId| (id.clone(), Peer { health: Health::Alive, incarnation: 0, suspected_at: now });
        let mut swim = Swim {
            members: others.map(peer).collect(),
            timing,
            incarnation,
            probe_order: VecDeque::new(),
            probe: None,
            relayed_pings: BTreeMap::new(),
            gossip: Vec::new(),
            last_sequence: 0,
            period_at: now,
            rng: Pcg32::seed_from_u64(seed),
            me,
        };
        // A restarted member announces itself, since updates on its previous run no longer hold.
        let (member, incarnation) = (swim.me.clone(), swim.incarnation);
        swim.queue_update(GossipUpdate { member, incarnation, health: Health::Alive });
        swim
    }

    /// The members that are not dead, including this one. Suspects count as alive.
    pub fn alive(&self) -> BTreeSet<MemberId> {
        let others = self.members.iter().filter(|(_, known)| known.health != Health::Dead);
        others.map(|(member, _)| member.clone()).chain([self.me.clone()]).collect()
    }

    /// The health of a member; `None` if it is not a member.
    pub fn health(&self, member: &MemberId) -> Option<Health> {
        match *member == self.me {
            true => Some(Health::Alive),
            false => self.members.get(member).map(|known| known.health),
        }
    }

    /// Replaces the set of members; known ones keep their state.
    pub fn set_members(&mut self, members: &BTreeSet<MemberId>, now: Nanos) {
        self.members.retain(|member, _| members.contains(member));
        for member in members.iter().filter(|member| **member != self.me) {
            let known = Peer { health: Health::Alive, incarnation: 0, suspected_at: now };
            self.members.entry(member.clone()).or_insert(known);
        }
    }

    /// Queues an update for gossip, in place of an older one on the same member.
    fn queue_update(&mut self, update: GossipUpdate) {
        self.gossip.retain(|(old, _)| old.member != update.member);
        self.gossip.push((update, 0));
    }

    /// The updates that were sent least often so far.
    fn select_updates(&mut self) -> Vec<GossipUpdate> {
        let max_sends = RETRANSMIT_FACTOR * (usize::BITS - self.members.len().leading_zeros() + 1);
        self.gossip.sort_by_key(|(_, sends)| *sends);
        let updates = self.gossip.iter_mut().take(MAX_UPDATES_PER_MESSAGE).map(|(update, sends)| {
            *sends += 1;
            update.clone()
        });
        let updates = updates.collect();
        self.gossip.retain(|(_, sends)| *sends < max_sends);
        updates
    }

    fn message(&mut self, kind: MessageKind, sequence: u64) -> Message {
        Message { sequence, kind, gossip: self.select_updates() }
    }

    /// When [`Swim::tick`] is due next.
    pub fn next_at(&self) -> Nanos {
        let ack = self.probe.as_ref().filter(|probe| !probe.is_indirect);
        let ack = ack.map(|probe| probe.sent_at + self.timing.ack_timeout);
        let suspects = self.members.values().filter(|known| known.health == Health::Suspect);
        let suspects = suspects.map(|known| known.suspected_at + self.timing.suspicion_timeout);
        suspects.chain(ack).chain([self.period_at]).min().unwrap_or(self.period_at)
    }

    /// Handles timeouts that are due; returns the messages to send.
    pub fn tick(&mut self, now: Nanos) -> Vec<(MemberId, Message)> {
        let mut out = Vec::new();
        let timeout = self.timing.suspicion_timeout;
        let is_expired =
            |known: &Peer| known.health == Health::Suspect && now - known.suspected_at >= timeout;
        let dead: Vec<(MemberId, u64)> = self
            .members
            .iter()
            .filter(|(_, k)| is_expired(k))
            .map(|(m, k)| (m.clone(), k.incarnation))
            .collect();
        for (member, incarnation) in dead {
            self.apply_update(now, GossipUpdate { member, incarnation, health: Health::Dead });
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| !probe.is_indirect && now - probe.sent_at >= self.timing.ack_timeout)
        {
            self.send_ping_requests(&mut out);
        }
        if now >= self.period_at {
            self.period_at = now + self.timing.period;
            if let Some(probe) = self.probe.take() {
                let known = self.members.get(&probe.target);
                // A timeout that is noticed more than a period late says nothing of the target: this process was paused,
                // and the target may have been paused with it.
                let is_late = now - probe.sent_at > self.timing.period + self.timing.period;
                if let Some(incarnation) = known.map(|known| known.incarnation).filter(|_| !is_late) {
                    self.apply_update(
                        now,
                        GossipUpdate { member: probe.target, incarnation, health: Health::Suspect },
                    );
                }
            }
            self.relayed_pings.clear();
            if let Some(target) = self.next_target() {
                self.last_sequence += 1;
                let sequence = self.last_sequence;
                let message = self.message(MessageKind::Ping, sequence);
                out.push((target.clone(), message));
                self.probe = Some(Probe { sequence, target, is_indirect: false, sent_at: now });
            }
        }
        out
    }

    /// Asks some healthy members to ping the target of the current probe.
    fn send_ping_requests(&mut self, out: &mut Vec<(MemberId, Message)>) {
        let Some(probe) = &mut self.probe else { return };
        probe.is_indirect = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let healthy = |(id, state): &(&MemberId, &Peer)| **id != target && state.health == Health::Alive;
        let mut helpers: Vec<MemberId> =
            self.members.iter().filter(healthy).map(|(m, _)| m.clone()).collect();
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let message = self.message(MessageKind::PingRequest { target: target.clone() }, sequence);
            out.push((helper, message));
        }
    }

    /// Probes each member once a round, in a new random order each time, which is the paper's bound on the time to detect
    /// a failure. Dead members are probed too, so that one that returns need not contact this member first.
    fn next_target(&mut self) -> Option<MemberId> {
        if self.probe_order.is_empty() {
            let mut all: Vec<MemberId> = self.members.keys().cloned().collect();
            all.shuffle(&mut self.rng);
            self.probe_order = all.into();
        }
        let members = &self.members;
        self.probe_order.retain(|member| members.contains_key(member));
        self.probe_order.pop_front()
    }

    /// Handles a message from another member; returns the messages to send.
    pub fn handle(&mut self, now: Nanos, from: &MemberId, message: Message) -> Vec<(MemberId, Message)> {
        let mut out = Vec::new();
        let Some(known) = self.members.get(from) else { return out };
        // A sender that is held to be dead or suspect must learn of it to refute it.
        if known.health != Health::Alive {
            let (health, incarnation) = (known.health, known.incarnation);
            self.queue_update(GossipUpdate { member: from.clone(), incarnation, health });
        }
        for update in message.gossip.into_iter().take(4 * MAX_UPDATES_PER_MESSAGE) {
            self.apply_update(now, update);
        }
        match message.kind {
            MessageKind::Ping => out.push((from.clone(), self.message(MessageKind::Ack, message.sequence))),
            MessageKind::PingRequest { target } => {
                if self.members.contains_key(&target) {
                    self.last_sequence += 1;
                    let sequence = self.last_sequence;
                    self.relayed_pings.insert(sequence, (from.clone(), message.sequence, target.clone()));
                    let ping = self.message(MessageKind::Ping, sequence);
                    out.push((target, ping));
                }
            }
            MessageKind::Ack => {
                if let Some((requester, sequence, target)) = self.relayed_pings.remove(&message.sequence) {
                    if target == *from {
                        let reply = self.message(MessageKind::IndirectAck { target }, sequence);
                        out.push((requester, reply));
                    }
                }
                self.complete_probe(from, message.sequence);
            }
            MessageKind::IndirectAck { target } => self.complete_probe(&target, message.sequence),
        }
        out
    }

    /// Ends the current probe if this reply belongs to it.
    fn complete_probe(&mut self, member: &MemberId, sequence: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence && probe.target == *member) {
            self.probe = None;
        }
    }

    /// Applies a gossiped update, and gossips it further if it is new.
    fn apply_update(&mut self, now: Nanos, update: GossipUpdate) {
        if update.member == self.me {
            // Refute it with a higher incarnation, also if ours is higher already: the sender of the update may have lost
            // that.
            if update.health != Health::Alive {
                self.incarnation = self.incarnation.max(update.incarnation + 1);
                let (member, incarnation) = (self.me.clone(), self.incarnation);
                self.queue_update(GossipUpdate { member, incarnation, health: Health::Alive });
            }
            return;
        }
        let Some(known) = self.members.get_mut(&update.member) else { return };
        let column = match update.incarnation.cmp(&known.incarnation) {
            std::cmp::Ordering::Greater => 0,
            std::cmp::Ordering::Equal => 1,
            std::cmp::Ordering::Less => 2,
        };
        let row = TRANSITIONS.iter().find(|row| row.0 == known.health && row.1 == update.health);
        let effect = row.map_or(Effect::Ignore, |row| row.2[column]);
        match effect {
            Effect::Ignore => return,
            Effect::Apply => {}
            Effect::Suspect => known.suspected_at = now,
        }
        (known.health, known.incarnation) = (update.health, update.incarnation);
        self.queue_update(update);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    const TIMING: Timing = Timing {
        period: Nanos::from_millis(200),
        ack_timeout: Nanos::from_millis(60),
        suspicion_timeout: Nanos::from_millis(800),
    };

    /// Members on a simulated network with delays, loss, and a predicate that tells who can reach whom.
    struct Net {
        now: Nanos,
        members: Vec<Option<Swim>>,
        in_flight: Vec<(Nanos, usize, usize, Message)>,
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
                in_flight: Vec::new(),
                rng: Pcg32::seed_from_u64(seed),
            }
        }

        fn run(&mut self, millis: u64, loss: f64, reaches: impl Fn(usize, usize) -> bool) {
            let end = self.now + Nanos::from_millis(millis);
            while self.now < end {
                self.now = self.now + Nanos::from_millis(5);
                let now = self.now;
                let (due, rest) =
                    std::mem::take(&mut self.in_flight).into_iter().partition(|message| message.0 <= now);
                self.in_flight = rest;
                let mut sent = Vec::new();
                for (_, from, to, message) in due {
                    let Some(member) = &mut self.members[to] else { continue };
                    sent.extend(
                        member.handle(now, &name(from), message).into_iter().map(|(t, m)| (to, t, m)),
                    );
                }
                for (index, member) in self.members.iter_mut().enumerate() {
                    let Some(member) = member else { continue };
                    sent.extend(member.tick(now).into_iter().map(|(t, m)| (index, t, m)));
                }
                for (from, to, message) in sent {
                    let to: usize = to.0[1..].parse().unwrap();
                    if reaches(from, to) && self.rng.random::<f64>() >= loss {
                        let at = now + Nanos::from_millis(self.rng.random_range(0..30));
                        self.in_flight.push((at, from, to, message));
                    }
                }
            }
        }

        fn health(&self, of: usize) -> Vec<Option<Health>> {
            self.members.iter().flatten().map(|member| member.health(&name(of))).collect()
        }
    }

    #[test]
    fn loss_alone_causes_no_deaths_and_all_detect_a_death() {
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
    fn a_member_that_restarts_under_its_name_is_alive_again() {
        let mut net = Net::new(3, 4);
        net.members[1] = None;
        net.run(4_000, 0.0, |_, _| true);
        let all = (0..3).map(name).collect();
        net.members[1] = Some(Swim::new(name(1), &all, TIMING, 2, 9, net.now));
        net.run(3_000, 0.0, |_, _| true);
        assert_eq!(net.health(1), vec![Some(Health::Alive); 3]);
        // Also a member whose incarnation is lower, since its clock was set back: it learns of its state and refutes it.
        net.members[1] = None;
        net.run(4_000, 0.0, |_, _| true);
        net.members[1] = Some(Swim::new(name(1), &all, TIMING, 1, 9, net.now));
        net.run(4_000, 0.0, |_, _| true);
        assert_eq!(net.health(1), vec![Some(Health::Alive); 3]);
    }

    /// Messages pass between two members in one direction only: indirect probes through others keep both alive.
    #[test]
    fn indirect_probes_cover_a_one_way_link() {
        let mut net = Net::new(4, 11);
        net.run(20_000, 0.0, |from, to| !(from == 0 && to == 1));
        for of in 0..4 {
            assert!(!net.health(of).contains(&Some(Health::Dead)), "{of}");
        }
    }

    #[test]
    fn a_hundred_members_detect_a_death_with_bounded_messages() {
        let mut net = Net::new(100, 3);
        net.run(2_000, 0.05, |_, _| true);
        net.members[42] = None;
        net.run(8_000, 0.05, |_, _| true);
        let dead = net.health(42).iter().filter(|health| **health == Some(Health::Dead)).count();
        assert_eq!(dead, 99);
        assert!(net.in_flight.iter().all(|(.., message)| message.gossip.len() <= MAX_UPDATES_PER_MESSAGE));
    }
}
