//! One coordinator as a member of the fleet: it follows the replicated log of views, holds a lease on the latest view, and
//! decides whether it may send orders to a proxy now.
//!
//! The leader grants leases, and only while no other member can have become leader. A member acts in a view until its lease
//! ends by its own clock, with an allowance for the configured drift. A new view is settled once every member of the
//! previous one has confirmed that it knows the new one, or its last lease has ended on every clock; until then a member
//! acts only for proxies that it owns in both views. So no two members act for one proxy at the same time, whatever either
//! believes.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;

use crate::raft::{self, Command, PersistentState, Raft, Role};
use crate::swim::{self, Swim};
use crate::view::{Epoch, View};
use crate::wire::{Body, Datagram};
use crate::{MemberId, Stamp};

const RENEWALS_PER_LEASE: u64 = 4; // three renewals in a row may get lost
const STABLE_HEARTBEATS: u64 = 2; // heartbeats for which the set of alive members must be stable before a new view

/// Durations; they must be the same at all members.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub raft: raft::Timing,
    pub swim: swim::Timing,
}

impl Timing {
    /// Derives all durations from the length of a lease and the maximum clock drift.
    pub fn from_lease(lease: Nanos, drift: f64) -> Self {
        let part = |share: f64| Nanos((lease.0 as f64 * share) as u64);
        Timing {
            raft: raft::Timing { heartbeat: part(0.08), election: part(0.5), drift, lease },
            swim: swim::Timing { period: part(0.2), ack_timeout: part(0.07), suspicion_timeout: part(0.5) },
        }
    }
}

/// What the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// State that must be on disk before any later output is sent.
    Save(PersistentState),
    Send(MemberId, Datagram),
    /// The proxies that this member may send orders to have changed.
    OwnershipChanged,
}

/// Which member may send orders to a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// This member, in that epoch.
    Owned(Epoch),
    /// Another member owns the proxy, or will own it.
    OwnedBy(MemberId),
    /// Not known at the moment.
    Unknown,
}

/// A lease that this member holds.
#[derive(Clone, Debug, PartialEq)]
struct Lease {
    view: View,
    previous_view: View,
    settled: bool,
    /// End by the local clock.
    until: Nanos,
}

/// A leader's record of the leases that may still be held, and of who knows the latest view.
#[derive(Clone, Debug, Default)]
struct GrantRecord {
    /// When the last lease granted to a member has ended on every clock.
    lease_ends: BTreeMap<MemberId, Nanos>,
    /// When the last lease that a former leader may have granted has ended on every clock.
    former_leases_end: Nanos,
    /// Members that know the latest view.
    informed: BTreeSet<MemberId>,
}

/// One coordinator as a member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    me: MemberId,
    /// The members by the settings.
    members: BTreeSet<MemberId>,
    /// The members that SWIM probes.
    probed_members: BTreeSet<MemberId>,
    timing: Timing,
    raft: Raft,
    swim: Swim,
    lease: Option<Lease>,
    grants: GrantRecord,
    /// Start of this run; leases requested before it are void.
    started_at: Nanos,
    /// The highest epoch seen at proxies, by this member or by those that renew leases here.
    highest_epoch: Epoch,
    /// The alive members, and since when the set has not changed.
    alive_since: (BTreeSet<MemberId>, Nanos),
    renew_at: Nanos,
    /// The lease as last reported by [`Output::OwnershipChanged`].
    reported_lease: Option<(Epoch, bool, bool)>,
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
        let alive_since = (swim.alive(), now);
        Member {
            me,
            members: members.clone(),
            probed_members: members.clone(),
            timing,
            raft,
            swim,
            lease: None,
            grants: GrantRecord::default(),
            started_at: now,
            highest_epoch: Epoch(0),
            alive_since,
            renew_at: now,
            reported_lease: None,
        }
    }

    /// Which member may send orders to that proxy now.
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
        match lease.settled || lease.previous_view.owner_of(proxy) == Some(&self.me) {
            true => Ownership::Owned(lease.view.epoch),
            false => Ownership::Unknown,
        }
    }

    /// Records that a proxy has followed that epoch. The epoch of the next view will be no lower, even if the local store
    /// was lost.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Until when this member may act for the proxies that it owns; `None` without a lease.
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

    /// The epoch of the current lease, whether its view is settled, and its end.
    pub fn lease(&self) -> Option<(Epoch, bool, Nanos)> {
        self.lease.as_ref().map(|lease| (lease.view.epoch, lease.settled, lease.until))
    }

    /// When [`Member::tick`] is due next.
    pub fn next_at(&self) -> Nanos {
        // The end of a lease counts only until it was reported; after that it lies in the past.
        let lease = self.lease.as_ref().filter(|_| self.reported_lease.is_some()).map(|lease| lease.until);
        [Some(self.raft.next_at()), Some(self.swim.next_at()), Some(self.renew_at), lease]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.renew_at)
    }

    fn datagram(&self, body: Body) -> Datagram {
        Datagram { from: self.me.clone(), body }
    }

    /// Handles timeouts that are due.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        let mut out = Vec::new();
        let outputs = self.raft.tick(now);
        self.apply_raft_outputs(now, outputs, &mut out);
        self.update_probed_members(now);
        for (to, message) in self.swim.tick(now) {
            out.push(Output::Send(to, self.datagram(Body::Swim(message))));
        }
        if now >= self.renew_at {
            self.renew_at = now + Nanos(self.timing.raft.lease.0 / RENEWALS_PER_LEASE);
            self.renew_lease(now, &mut out);
        }
        self.propose_view(now, &mut out);
        self.report_lease(now, &mut out);
        out
    }

    /// Handles a datagram from another member.
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
                let outputs = self.raft.handle(now, &from, message);
                self.apply_raft_outputs(now, outputs, &mut out);
            }
            Body::Renew { stamp, known_epoch, highest_epoch } => {
                self.highest_epoch = self.highest_epoch.max(highest_epoch);
                if let Some(grant) = self.grant_lease(now, &from, stamp, known_epoch) {
                    out.push(Output::Send(from, self.datagram(grant)));
                }
            }
            Body::Grant { stamp, view, previous_view, settled } => {
                self.accept_grant(now, Nanos(stamp.0), view, previous_view, settled);
            }
        }
        self.propose_view(now, &mut out);
        self.report_lease(now, &mut out);
        out
    }

    fn apply_raft_outputs(&mut self, now: Nanos, outputs: Vec<raft::Output>, out: &mut Vec<Output>) {
        for output in outputs {
            match output {
                raft::Output::Save(saved) => out.push(Output::Save(saved)),
                raft::Output::Send(to, message) => {
                    let datagram = self.datagram(Body::Raft(message));
                    out.push(Output::Send(to, datagram));
                }
                raft::Output::BecameLeader(_) => {
                    // The grants of a former leader are not known: assume the latest possible ones.
                    let until = now + self.timing.raft.long(self.timing.raft.lease);
                    self.grants = GrantRecord {
                        lease_ends: BTreeMap::new(),
                        former_leases_end: until,
                        informed: BTreeSet::new(),
                    };
                }
                raft::Output::Applied(_) => {
                    self.grants.informed.clear();
                    self.handle_new_view(now, out);
                }
            }
        }
    }

    /// Requests a lease on a newly committed view at once.
    fn handle_new_view(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.renew_at = now + Nanos(self.timing.raft.lease.0 / RENEWALS_PER_LEASE);
        self.renew_lease(now, out);
    }

    fn renew_lease(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let (stamp, known_epoch) = (Stamp(now.0), self.raft.view().epoch);
        if self.raft.role() == Role::Leader {
            let me = self.me.clone();
            if let Some(Body::Grant { stamp, view, previous_view, settled }) =
                self.grant_lease(now, &me, stamp, known_epoch)
            {
                self.accept_grant(now, Nanos(stamp.0), view, previous_view, settled);
            }
        } else if let Some(leader) = self.raft.leader().cloned() {
            // After saying that it knows this epoch, a member must not act in an older one.
            self.drop_older_lease(known_epoch);
            out.push(Output::Send(
                leader,
                self.datagram(Body::Renew { stamp, known_epoch, highest_epoch: self.highest_epoch }),
            ));
        }
    }

    /// Drops a lease on a view older than the known one; a new lease covers the proxies that this member keeps.
    fn drop_older_lease(&mut self, known_epoch: Epoch) {
        if self.lease.as_ref().is_some_and(|lease| lease.view.epoch < known_epoch) {
            self.lease = None;
        }
    }

    /// Grants a lease on the latest view, if this member may do so as leader.
    fn grant_lease(&mut self, now: Nanos, to: &MemberId, stamp: Stamp, known_epoch: Epoch) -> Option<Body> {
        let view = self.raft.view().clone();
        // Until an entry of the current term is committed, there may be newer committed views that are not known here.
        let may_grant = self.raft.role() == Role::Leader
            && self.raft.leader_lease_until() > now
            && self.raft.is_term_committed();
        if !may_grant || view.epoch == Epoch(0) {
            return None;
        }
        if *to == self.me {
            self.drop_older_lease(known_epoch);
        }
        if known_epoch >= view.epoch {
            self.grants.informed.insert(to.clone());
        }
        if !view.members.contains(to) || known_epoch < view.epoch {
            return None;
        }
        let settled = self.is_settled(now);
        let until = now + self.timing.raft.long(self.timing.raft.lease);
        self.grants.lease_ends.insert(to.clone(), until);
        Some(Body::Grant { stamp, view, previous_view: self.raft.previous_view().clone(), settled })
    }

    /// Whether every member of the previous view knows the latest one, or can no longer hold a lease on the previous one.
    fn is_settled(&self, now: Nanos) -> bool {
        let is_done = |member: &MemberId| {
            let until = self.grants.lease_ends.get(member).copied().unwrap_or(self.grants.former_leases_end);
            self.grants.informed.contains(member) || until.max(self.grants.former_leases_end) <= now
        };
        self.raft.previous_view().members.iter().all(is_done)
    }

    /// Takes over a granted lease, unless it is outdated.
    fn accept_grant(&mut self, now: Nanos, stamp: Nanos, view: View, previous_view: View, settled: bool) {
        let until = stamp + self.timing.raft.short(self.timing.raft.lease);
        let is_older = self.lease.as_ref().is_some_and(|lease| {
            lease.view.epoch > view.epoch || lease.view.epoch == view.epoch && lease.until >= until
        });
        // A grant that was under way when this member learned of a newer view must not make it act in the older one.
        if is_older || until <= now || view.epoch < self.raft.view().epoch || stamp < self.started_at {
            return;
        }
        let settled = settled || self.lease.as_ref().is_some_and(|l| l.view.epoch == view.epoch && l.settled);
        self.lease = Some(Lease { view, previous_view, settled, until });
    }

    /// As leader, proposes a view of the alive members.
    fn propose_view(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.change_voters(now, out);
        let alive: BTreeSet<MemberId> = self.swim.alive().intersection(&self.members).cloned().collect();
        if alive != self.alive_since.0 {
            self.alive_since = (alive, now);
        }
        let (alive, since) = &self.alive_since;
        let is_stable = now - *since >= Nanos(self.timing.raft.heartbeat.0 * STABLE_HEARTBEATS);
        let view = self.raft.view();
        let is_unchanged = view.members == *alive && view.epoch >= self.highest_epoch;
        if self.raft.role() != Role::Leader || !self.raft.is_fully_applied() || !is_stable || is_unchanged {
            return;
        }
        // Views follow one after the other: until the latest is settled, it is not certain who acts for which proxy.
        if view.epoch > Epoch(0) && !self.is_settled(now) {
            return;
        }
        let above = if self.highest_epoch > view.epoch { self.highest_epoch } else { Epoch(0) };
        let outputs = self.raft.propose(now, Command::SetView { members: alive.clone(), above });
        self.apply_raft_outputs(now, outputs, out);
    }

    /// As leader, brings the voters in line with the members in the settings, one change at a time, each once the one
    /// before is committed.
    fn change_voters(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let may_change = self.raft.role() == Role::Leader
            && self.raft.is_term_committed()
            && !self.raft.is_changing_voters();
        if !may_change || *self.raft.voters() == self.members {
            return;
        }
        let mut voters = self.raft.voters().clone();
        let alive = self.swim.alive();
        // A member that is not alive yet would be a voter that cannot vote.
        let added =
            self.members.iter().find(|member| !voters.contains(*member) && alive.contains(*member)).cloned();
        let removed =
            voters.iter().find(|member| !self.members.contains(*member) && **member != self.me).cloned();
        match (added, removed) {
            (Some(added), _) => voters.insert(added),
            (None, Some(removed)) => voters.remove(&removed),
            (None, None) => return,
        };
        let outputs = self.raft.propose(now, Command::SetVoters(voters));
        self.apply_raft_outputs(now, outputs, out);
    }

    /// Replaces the set of members by the one in the settings.
    pub fn set_members(&mut self, now: Nanos, members: &BTreeSet<MemberId>) {
        self.members = members.clone();
        self.update_probed_members(now);
    }

    /// Probes the voters as well as the members in the settings. Otherwise a leader that the settings no longer name would
    /// hold all others to be dead.
    fn update_probed_members(&mut self, now: Nanos) {
        let all: BTreeSet<MemberId> = self.members.union(self.raft.voters()).cloned().collect();
        if all != self.probed_members {
            self.swim.set_members(&all, now);
            self.probed_members = all;
        }
    }

    pub fn voters(&self) -> &BTreeSet<MemberId> {
        self.raft.voters()
    }

    /// Reports a change of the lease.
    fn report_lease(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let lease = self.lease.as_ref().filter(|lease| now < lease.until);
        let state = lease.map(|lease| (lease.view.epoch, lease.settled, true));
        if state != self.reported_lease {
            self.reported_lease = state;
            out.push(Output::OwnershipChanged);
        }
    }
}
