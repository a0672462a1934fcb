//! One coordinator's part in the fleet: it follows the one history of views, holds a lease on the newest, and tells
//! whether it may order a proxy now.
//!
//! The leader grants leases, and only while no one else can have become leader. A member acts on a view until its lease
//! ends by its own clock, allowed to be wrong by the told drift. A new view is settled once every member of the one before
//! has said that it knows the new one, or its last lease has surely ended on every clock; until then a member acts only on
//! what is in its charge in both. So no two members are in charge of a proxy at any moment, whatever either believes.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;

use crate::raft::{self, Command, PersistentState, Raft, Role};
use crate::swim::{self, Swim};
use crate::view::{Epoch, View};
use crate::wire::{Body, Datagram};
use crate::{MemberId, Stamp};

const RENEWALS: u64 = 4; // asked for in one lease: three may get lost
const STEADY: u64 = 2; // heartbeats that the set of the living must stand before a view follows it

/// Spans; all members must be told the same.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub raft: raft::Timing,
    pub swim: swim::Timing,
}

impl Timing {
    /// All spans from the one that is promised: how long a lease lasts, and how wrong clocks may be.
    pub fn from_lease(lease: Nanos, drift: f64) -> Self {
        let part = |share: f64| Nanos((lease.0 as f64 * share) as u64);
        Timing {
            raft: raft::Timing { heartbeat: part(0.08), election: part(0.5), drift, lease },
            swim: swim::Timing { period: part(0.2), answer_within: part(0.07), suspicion: part(0.5) },
        }
    }
}

/// What the owner is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on the disk before what follows is sent.
    Save(PersistentState),
    Send(MemberId, Datagram),
    /// What this member may do has changed.
    OwnershipChanged,
}

/// Whether this member may order a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// It may, in that epoch.
    Owned(Epoch),
    /// Another one is in charge, or will be.
    OwnedBy(MemberId),
    /// No one can tell now.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
struct Lease {
    view: View,
    before: View,
    settled: bool,
    /// By our own clock.
    until: Nanos,
}

/// What a leader keeps of the view that is to be settled.
#[derive(Clone, Debug, Default)]
struct Ledger {
    /// When a member's last lease on an older view surely ends.
    until: BTreeMap<MemberId, Nanos>,
    /// The same of one that we have granted nothing: what a former leader may have.
    floor: Nanos,
    /// Members that know the newest view.
    know: BTreeSet<MemberId>,
}

#[derive(Clone, Debug)]
pub struct Member {
    me: MemberId,
    members: BTreeSet<MemberId>,
    /// Those that SWIM looks after.
    met: BTreeSet<MemberId>,
    timing: Timing,
    raft: Raft,
    swim: Swim,
    lease: Option<Lease>,
    ledger: Ledger,
    /// This life's start: what was granted to an earlier one is void.
    born: Nanos,
    /// The newest epoch met at proxies, by us or by those that renew.
    seen: Epoch,
    /// Since when the living have been as they are.
    living: (BTreeSet<MemberId>, Nanos),
    renew_at: Nanos,
    told: Option<(Epoch, bool, bool)>,
}

impl Member {
    pub fn new(
        me: MemberId,
        members: &BTreeSet<MemberId>,
        timing: Timing,
        saved: PersistentState,
        incarnation: u64,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let raft = Raft::new(me.clone(), members, timing.raft, saved, seed, now);
        let swim = Swim::new(me.clone(), members, timing.swim, incarnation, seed.wrapping_add(1), now);
        let living = (swim.alive(), now);
        Member {
            me,
            members: members.clone(),
            met: members.clone(),
            timing,
            raft,
            swim,
            lease: None,
            ledger: Ledger::default(),
            born: now,
            seen: Epoch(0),
            living,
            renew_at: now,
            told: None,
        }
    }

    /// Whether this member may order that proxy now.
    pub fn ownership(&self, now: Nanos, proxy: &str) -> Ownership {
        let elsewhere = |owner: Option<&MemberId>| match owner {
            Some(owner) if *owner != self.me => Ownership::OwnedBy(owner.clone()),
            Some(_) | None => Ownership::Unknown,
        };
        let Some(lease) = self.lease.as_ref().filter(|lease| now < lease.until) else {
            return elsewhere(self.raft.view().owner_of(proxy));
        };
        if lease.view.owner_of(proxy) != Some(&self.me) {
            return elsewhere(lease.view.owner_of(proxy));
        }
        match lease.settled || lease.before.owner_of(proxy) == Some(&self.me) {
            true => Ownership::Owned(lease.view.epoch),
            false => Ownership::Unknown,
        }
    }

    /// A proxy has followed that epoch: ours must be no older, whatever became of our store.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.seen = self.seen.max(epoch);
    }

    /// Until when this member may act on what it is in charge of; nothing: it may not.
    pub fn lease_valid_until(&self, now: Nanos) -> Option<Nanos> {
        self.lease.as_ref().map(|lease| lease.until).filter(|until| now < *until)
    }

    pub fn view(&self) -> &View {
        self.raft.view()
    }

    pub fn role(&self) -> Role {
        self.raft.role()
    }

    pub fn term(&self) -> u64 {
        self.raft.term()
    }

    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    pub fn leader(&self) -> Option<&MemberId> {
        self.raft.leader()
    }

    pub fn alive(&self) -> BTreeSet<MemberId> {
        self.swim.alive()
    }

    pub fn health(&self, member: &MemberId) -> Option<swim::Health> {
        self.swim.health(member)
    }

    /// The epoch acted in, and whether all of it may be acted on.
    pub fn lease(&self) -> Option<(Epoch, bool, Nanos)> {
        self.lease.as_ref().map(|lease| (lease.view.epoch, lease.settled, lease.until))
    }

    pub fn next_at(&self) -> Nanos {
        // A lease whose end was told asks for nothing more: its end is past.
        let lease = self.lease.as_ref().filter(|_| self.told.is_some()).map(|lease| lease.until);
        [Some(self.raft.next_at()), Some(self.swim.next_at()), Some(self.renew_at), lease]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.renew_at)
    }

    fn datagram(&self, body: Body) -> Datagram {
        Datagram { from: self.me.clone(), body }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        let mut out = Vec::new();
        let steps = self.raft.tick(now);
        self.carry(now, steps, &mut out);
        self.meet(now);
        for (to, message) in self.swim.tick(now) {
            out.push(Output::Send(to, self.datagram(Body::Swim(message))));
        }
        if now >= self.renew_at {
            self.renew_at = now + Nanos(self.timing.raft.lease.0 / RENEWALS);
            self.renew(now, &mut out);
        }
        self.lead(now, &mut out);
        self.tell(now, &mut out);
        out
    }

    /// A datagram has come.
    pub fn handle(&mut self, now: Nanos, datagram: Datagram) -> Vec<Output> {
        let mut out = Vec::new();
        let from = datagram.from;
        let known = self.members.contains(&from) || self.raft.voters().contains(&from);
        if from == self.me || !known {
            return out;
        }
        match datagram.body {
            Body::Swim(message) => {
                for (to, message) in self.swim.handle(now, &from, message) {
                    out.push(Output::Send(to, self.datagram(Body::Swim(message))));
                }
            }
            Body::Raft(message) => {
                let steps = self.raft.handle(now, &from, message);
                self.carry(now, steps, &mut out);
            }
            Body::Renew { stamp, knows, seen } => {
                self.seen = self.seen.max(seen);
                if let Some(grant) = self.grant(now, &from, stamp, knows) {
                    out.push(Output::Send(from, self.datagram(grant)));
                }
            }
            Body::Grant { stamp, view, before, settled } => {
                self.granted(now, Nanos(stamp.0), view, before, settled);
            }
        }
        self.lead(now, &mut out);
        self.tell(now, &mut out);
        out
    }

    fn carry(&mut self, now: Nanos, steps: Vec<raft::Output>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                raft::Output::Save(saved) => out.push(Output::Save(saved)),
                raft::Output::Send(to, message) => {
                    let datagram = self.datagram(Body::Raft(message));
                    out.push(Output::Send(to, datagram));
                }
                raft::Output::Leads(_) => {
                    // What a former leader granted is not known: as much as could be, as late as could be.
                    let until = now + self.timing.raft.long(self.timing.raft.lease);
                    self.ledger = Ledger { until: BTreeMap::new(), floor: until, know: BTreeSet::new() };
                }
                raft::Output::Applied(_) => {
                    self.ledger.know.clear();
                    self.note_view(now, out);
                }
            }
        }
    }

    /// A view is certain: our own lease follows at the next grant, which is asked for at once.
    fn note_view(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.renew_at = now + Nanos(self.timing.raft.lease.0 / RENEWALS);
        self.renew(now, out);
    }

    fn renew(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let (stamp, knows) = (Stamp(now.0), self.raft.view().epoch);
        if self.raft.role() == Role::Leader {
            let me = self.me.clone();
            if let Some(Body::Grant { stamp, view, before, settled }) = self.grant(now, &me, stamp, knows) {
                self.granted(now, Nanos(stamp.0), view, before, settled);
            }
        } else if let Some(leader) = self.raft.leader().cloned() {
            // From here on we act on no older view than we say we know.
            self.forget_older(knows);
            out.push(Output::Send(leader, self.datagram(Body::Renew { stamp, knows, seen: self.seen })));
        }
    }

    /// A lease on an older view than the one we know is over: what of it stays in our charge is granted anew.
    fn forget_older(&mut self, knows: Epoch) {
        if self.lease.as_ref().is_some_and(|lease| lease.view.epoch < knows) {
            self.lease = None;
        }
    }

    /// A leader's grant, where it may give one.
    fn grant(&mut self, now: Nanos, to: &MemberId, stamp: Stamp, knows: Epoch) -> Option<Body> {
        let view = self.raft.view().clone();
        // Until an entry of our own term is certain, there may be newer views that we do not know to be so.
        let leads = self.raft.role() == Role::Leader
            && self.raft.leader_lease_until() > now
            && self.raft.is_current();
        if !leads || view.epoch == Epoch(0) {
            return None;
        }
        if *to == self.me {
            self.forget_older(knows);
        }
        if knows >= view.epoch {
            self.ledger.know.insert(to.clone());
        }
        if !view.members.contains(to) || knows < view.epoch {
            return None;
        }
        let settled = self.is_settled(now);
        let until = now + self.timing.raft.long(self.timing.raft.lease);
        self.ledger.until.insert(to.clone(), until);
        Some(Body::Grant { stamp, view, before: self.raft.before().clone(), settled })
    }

    /// Every member of the view before knows the newest, or can hold no lease on the one before.
    fn is_settled(&self, now: Nanos) -> bool {
        let over = |member: &MemberId| {
            let until = self.ledger.until.get(member).copied().unwrap_or(self.ledger.floor);
            self.ledger.know.contains(member) || until.max(self.ledger.floor) <= now
        };
        self.raft.before().members.iter().all(over)
    }

    fn granted(&mut self, now: Nanos, stamp: Nanos, view: View, before: View, settled: bool) {
        let until = stamp + self.timing.raft.short(self.timing.raft.lease);
        let older = self.lease.as_ref().is_some_and(|lease| {
            lease.view.epoch > view.epoch || lease.view.epoch == view.epoch && lease.until >= until
        });
        // A grant on its way while we learned of a newer view would have us act on the older.
        if older || until <= now || view.epoch < self.raft.view().epoch || stamp < self.born {
            return;
        }
        let settled = settled || self.lease.as_ref().is_some_and(|l| l.view.epoch == view.epoch && l.settled);
        self.lease = Some(Lease { view, before, settled, until });
    }

    /// A leader's other duty: a view of those that live.
    fn lead(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.change_voters(now, out);
        let alive: BTreeSet<MemberId> = self.swim.alive().intersection(&self.members).cloned().collect();
        if alive != self.living.0 {
            self.living = (alive, now);
        }
        let (alive, since) = &self.living;
        let steady = now - *since >= Nanos(self.timing.raft.heartbeat.0 * STEADY);
        let view = self.raft.view();
        let stands = view.members == *alive && view.epoch >= self.seen;
        if self.raft.role() != Role::Leader || !self.raft.is_settled() || !steady || stands {
            return;
        }
        // One view after another: until the newest is settled, no one can say who acts on what.
        if view.epoch > Epoch(0) && !self.is_settled(now) {
            return;
        }
        let above = if self.seen > view.epoch { self.seen } else { Epoch(0) };
        let steps = self.raft.propose(now, Command::Share { members: alive.clone(), above });
        self.carry(now, steps, out);
    }

    /// Settings name other members than vote: one change at a time, the next once it is certain.
    fn change_voters(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let may = self.raft.role() == Role::Leader && self.raft.is_current() && !self.raft.is_changing();
        if !may || *self.raft.voters() == self.members {
            return;
        }
        let mut voters = self.raft.voters().clone();
        let alive = self.swim.alive();
        // One that does not live yet would be a voter that cannot vote.
        let new =
            self.members.iter().find(|member| !voters.contains(*member) && alive.contains(*member)).cloned();
        let old =
            voters.iter().find(|member| !self.members.contains(*member) && **member != self.me).cloned();
        match (new, old) {
            (Some(new), _) => voters.insert(new),
            (None, Some(old)) => voters.remove(&old),
            (None, None) => return,
        };
        let steps = self.raft.propose(now, Command::Voters(voters));
        self.carry(now, steps, out);
    }

    /// Settings name another set of members.
    pub fn set_members(&mut self, now: Nanos, members: &BTreeSet<MemberId>) {
        self.members = members.clone();
        self.meet(now);
    }

    /// Those that vote are probed and answered too, though settings no longer name them: else one that leads and is to go
    /// would hold all others for dead.
    fn meet(&mut self, now: Nanos) {
        let all: BTreeSet<MemberId> = self.members.union(self.raft.voters()).cloned().collect();
        if all != self.met {
            self.swim.set_members(&all, now);
            self.met = all;
        }
    }

    pub fn voters(&self) -> &BTreeSet<MemberId> {
        self.raft.voters()
    }

    fn tell(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let lease = self.lease.as_ref().filter(|lease| now < lease.until);
        let told = lease.map(|lease| (lease.view.epoch, lease.settled, true));
        if told != self.told {
            self.told = told;
            out.push(Output::OwnershipChanged);
        }
    }
}
