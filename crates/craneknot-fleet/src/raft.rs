//! One history of views for all members, by Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; pre-vote and leader lease by Ongaro's thesis, 4.2.3, 6.4 and 9.6).
//!
//! The owner hands in messages and the time. What comes back must be carried out in order: a [`Output::Save`] is to be on
//! the disk before anything after it is sent.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::view::{Epoch, History, View};
use crate::{MemberId, Stamp};

const KEPT: usize = 32; // applied entries kept for members that lag; one further back gets the view itself
static NO_ONE: BTreeSet<MemberId> = BTreeSet::new();

const BATCH: usize = 16; // entries in one message: it must fit a datagram

/// Spans; all members must be told the same.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub heartbeat: Nanos,
    /// Without a word of a leader for so long, at the least, no one stands for election or votes.
    pub election: Nanos,
    /// Clocks run at most this much faster or slower than true time, as a share.
    pub drift: f64,
    /// How long a member may act on one grant, by its own clock, before allowance for drift.
    pub lease: Nanos,
}

impl Timing {
    /// A span that has surely not passed on any clock when `span` has on ours.
    pub fn short(&self, span: Nanos) -> Nanos {
        Nanos((span.0 as f64 * (1.0 - self.drift) / (1.0 + self.drift)) as u64)
    }

    /// A span after which `span` has surely passed on every clock.
    pub fn long(&self, span: Nanos) -> Nanos {
        Nanos((span.0 as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as u64)
    }
}

/// One step of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A leader's first: it commits what came before it.
    Nothing,
    /// These share the proxies from now on, in an epoch later than that.
    Share { members: BTreeSet<MemberId>, above: Epoch },
    /// These vote from now on, one more or one fewer than before. It counts from the moment it is in the log (thesis,
    /// 4.1): two majorities that differ by one member always have one in common.
    Voters(BTreeSet<MemberId>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub command: Command,
}

/// What must survive a kill. A whole new one takes the place of the old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    pub term: u64,
    pub vote: Option<MemberId>,
    /// What the first `base` entries led to, and the term of the last of these.
    pub base: u64,
    pub base_term: u64,
    pub history: History,
    pub log: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in that term?
    Canvass {
        term: u64,
        last: u64,
        last_term: u64,
    },
    Inclined {
        term: u64,
        yes: bool,
    },
    Ask {
        term: u64,
        last: u64,
        last_term: u64,
    },
    Vote {
        term: u64,
        yes: bool,
    },
    Append {
        term: u64,
        prev: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        stamp: Stamp,
    },
    /// For one that lags further than the log goes back.
    Install {
        term: u64,
        base: u64,
        base_term: u64,
        history: History,
        stamp: Stamp,
    },
    /// `matched`: all up to there is the same; not `ok`: go back to there.
    Appended {
        term: u64,
        ok: bool,
        matched: u64,
        stamp: Stamp,
    },
}

impl Message {
    fn term(&self) -> u64 {
        match self {
            Message::Canvass { term, .. }
            | Message::Inclined { term, .. }
            | Message::Ask { term, .. }
            | Message::Vote { term, .. }
            | Message::Append { term, .. }
            | Message::Install { term, .. }
            | Message::Appended { term, .. } => *term,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on the disk before what follows is sent.
    Save(PersistentState),
    Send(MemberId, Message),
    /// A view is certain from now on.
    Applied(View),
    /// This member leads, from now on, in that term.
    Leads(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether others would vote.
    Canvasser,
    Candidate,
    Leader,
}

#[derive(Clone, Debug)]
struct Peer {
    next: u64,
    matched: u64,
    /// The latest stamp of ours that it has answered.
    answered: Option<Nanos>,
}

#[derive(Clone, Debug)]
pub struct Raft {
    me: MemberId,
    /// Those that vote, this one left out.
    peers: BTreeSet<MemberId>,
    timing: Timing,
    saved: PersistentState,
    dirty: bool,
    role: Role,
    leader: Option<MemberId>,
    votes: BTreeSet<MemberId>,
    others: BTreeMap<MemberId, Peer>,
    commit: u64,
    applied: u64,
    history: History,
    /// Since when no leader has been heard; a start counts as hearing one, since what was promised before is not known.
    heard: Nanos,
    stand_at: Nanos,
    led_since: Nanos,
    beat_at: Nanos,
    rng: Pcg32,
}

impl Raft {
    pub fn new(
        me: MemberId,
        members: &BTreeSet<MemberId>,
        timing: Timing,
        saved: PersistentState,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let mut saved = saved;
        // A first life: who votes is what its settings say, and stays so until the log says otherwise, whatever later
        // settings name. Else two halves of a fleet could start from sets with no member in common.
        let begins = saved.history.voters.is_none();
        saved.history.voters.get_or_insert_with(|| members.clone());
        let mut raft = Raft {
            me,
            peers: BTreeSet::new(),
            timing,
            dirty: begins,
            role: Role::Follower,
            leader: None,
            votes: BTreeSet::new(),
            others: BTreeMap::new(),
            commit: saved.base,
            applied: saved.base,
            history: saved.history.clone(),
            heard: now,
            stand_at: now,
            led_since: now,
            beat_at: now,
            rng: Pcg32::seed_from_u64(seed),
            saved,
        };
        raft.note_voters();
        raft.put_off(now);
        raft
    }

    /// Those that vote, by the newest word of the log, certain or not.
    pub fn voters(&self) -> &BTreeSet<MemberId> {
        let told = self.saved.log.iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters),
            Command::Nothing | Command::Share { .. } => None,
        });
        told.or(self.saved.history.voters.as_ref()).unwrap_or(&NO_ONE)
    }

    /// A change of those that vote is under way.
    pub fn is_changing(&self) -> bool {
        let from = (self.commit - self.saved.base) as usize;
        self.saved.log[from..].iter().any(|entry| matches!(entry.command, Command::Voters(_)))
    }

    fn note_voters(&mut self) {
        let mut peers = self.voters().clone();
        peers.remove(&self.me);
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        if self.role == Role::Leader {
            let next = self.last() + 1;
            let new = |id: &MemberId| (id.clone(), Peer { next, matched: 0, answered: None });
            let held = std::mem::take(&mut self.others);
            self.others = self.peers.iter().map(new).collect();
            let kept = held.into_iter().filter(|(id, _)| self.peers.contains(id)).collect::<Vec<_>>();
            self.others.extend(kept);
        }
    }

    /// One that was left out neither stands nor votes for itself.
    fn is_voter(&self) -> bool {
        self.voters().contains(&self.me)
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> u64 {
        self.saved.term
    }

    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// The newest view that is certain.
    pub fn view(&self) -> &View {
        &self.history.view
    }

    /// The view before it.
    pub fn before(&self) -> &View {
        &self.history.before
    }

    /// All that earlier leaders made certain is known to be so: an entry of our own term is certain.
    pub fn is_current(&self) -> bool {
        self.term_at(self.commit) == Some(self.saved.term)
    }

    /// Every command so far is certain.
    pub fn is_settled(&self) -> bool {
        self.applied == self.last()
    }

    /// Entries that are certain, by their place, for checks.
    pub fn certain(&self) -> impl Iterator<Item = (u64, &Entry)> {
        let base = self.saved.base;
        let places = self.saved.log.iter().enumerate().map(move |(k, entry)| (base + k as u64 + 1, entry));
        places.take_while(move |(place, _)| *place <= self.commit)
    }

    fn last(&self) -> u64 {
        self.saved.base + self.saved.log.len() as u64
    }

    fn term_at(&self, place: u64) -> Option<u64> {
        if place == self.saved.base {
            return Some(self.saved.base_term);
        }
        let place = usize::try_from(place.checked_sub(self.saved.base + 1)?).ok()?;
        self.saved.log.get(place).map(|entry| entry.term)
    }

    fn last_term(&self) -> u64 {
        self.term_at(self.last()).unwrap_or(0)
    }

    fn majority(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    /// From so many votes on, one's own included, no other majority is possible.
    fn is_majority(&self, votes: usize) -> bool {
        2 * votes > self.peers.len() + 1
    }

    fn put_off(&mut self, now: Nanos) {
        let span = self.timing.election.0;
        self.stand_at = now + Nanos(span + self.rng.random_range(0..=span));
    }

    /// While a leader was heard lately, no one else is voted for: its lease rests on that.
    fn is_bound(&self, now: Nanos) -> bool {
        self.role == Role::Leader && self.leader_lease_until() > now
            || now - self.heard < self.timing.election
    }

    /// Until when, by our clock, no one else can have become leader. Nothing (long past) where we do not lead.
    pub fn leader_lease_until(&self) -> Nanos {
        if self.role != Role::Leader {
            return Nanos(0);
        }
        // Our own word counts as of now, so that of the others the majority's last one is needed.
        let mut answered: Vec<Nanos> =
            self.others.values().map(|peer| peer.answered.unwrap_or(Nanos(0))).collect();
        answered.sort_by(|a, b| b.cmp(a));
        let needed = self.majority() - 1;
        match needed.checked_sub(1).map(|place| answered.get(place).copied().unwrap_or(Nanos(0))) {
            None => Nanos(u64::MAX / 2),
            Some(Nanos(0)) => Nanos(0),
            Some(answered) => answered + self.timing.short(self.timing.election),
        }
    }

    pub fn next_at(&self) -> Nanos {
        match self.role {
            Role::Leader => self.beat_at,
            Role::Follower | Role::Canvasser | Role::Candidate => self.stand_at,
        }
    }

    fn finish(&mut self, mut outputs: Vec<Output>) -> Vec<Output> {
        self.apply(&mut outputs);
        if std::mem::take(&mut self.dirty) {
            outputs.insert(0, Output::Save(self.saved.clone()));
        }
        outputs
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        let mut outputs = Vec::new();
        match self.role {
            Role::Leader if now >= self.beat_at => {
                self.beat_at = now + self.timing.heartbeat;
                // One that cannot reach a majority for long leads no one.
                if self.leader_lease_until().max(self.led_since) + self.timing.election < now {
                    self.follow(now, self.saved.term, None);
                } else {
                    self.send_all(now, &mut outputs);
                }
            }
            Role::Follower | Role::Canvasser | Role::Candidate if now >= self.stand_at => {
                if self.is_voter() {
                    self.canvass(now, &mut outputs);
                } else {
                    self.put_off(now);
                }
            }
            Role::Leader | Role::Follower | Role::Canvasser | Role::Candidate => {}
        }
        self.finish(outputs)
    }

    fn canvass(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.put_off(now);
        self.role = Role::Canvasser;
        self.leader = None;
        self.votes = BTreeSet::from([self.me.clone()]);
        if self.is_majority(self.votes.len()) {
            return self.stand(now, outputs);
        }
        let message =
            Message::Canvass { term: self.saved.term + 1, last: self.last(), last_term: self.last_term() };
        outputs.extend(self.peers.iter().map(|peer| Output::Send(peer.clone(), message.clone())));
    }

    fn stand(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.put_off(now);
        self.role = Role::Candidate;
        self.saved.term += 1;
        self.saved.vote = Some(self.me.clone());
        self.dirty = true;
        self.votes = BTreeSet::from([self.me.clone()]);
        if self.is_majority(self.votes.len()) {
            return self.lead(now, outputs);
        }
        let message = Message::Ask { term: self.saved.term, last: self.last(), last_term: self.last_term() };
        outputs.extend(self.peers.iter().map(|peer| Output::Send(peer.clone(), message.clone())));
    }

    fn lead(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        (self.heard, self.led_since) = (now, now);
        let next = self.last() + 1;
        let peer = |id: &MemberId| (id.clone(), Peer { next, matched: 0, answered: None });
        self.others = self.peers.iter().map(peer).collect();
        outputs.push(Output::Leads(self.saved.term));
        self.push(Command::Nothing);
        self.beat_at = now + self.timing.heartbeat;
        self.send_all(now, outputs);
    }

    fn push(&mut self, command: Command) {
        self.saved.log.push(Entry { term: self.saved.term, command });
        self.dirty = true;
        self.note_voters();
        self.count();
    }

    /// Wishes for the next step of the history; only a leader can.
    pub fn propose(&mut self, now: Nanos, command: Command) -> Vec<Output> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        self.push(command);
        self.send_all(now, &mut outputs);
        self.finish(outputs)
    }

    fn follow(&mut self, now: Nanos, term: u64, leader: Option<MemberId>) {
        if term > self.saved.term {
            self.saved.term = term;
            self.saved.vote = None;
            self.dirty = true;
        }
        if self.role != Role::Follower {
            self.put_off(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.others.clear();
    }

    fn send_all(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        for peer in self.peers.clone() {
            self.send(now, &peer, outputs);
        }
    }

    fn send(&mut self, now: Nanos, to: &MemberId, outputs: &mut Vec<Output>) {
        let Some(peer) = self.others.get(to) else { return };
        let (term, stamp, commit) = (self.saved.term, Stamp(now.0), self.commit);
        let prev = peer.next - 1;
        let message = match self.term_at(prev) {
            Some(prev_term) => {
                let from = (prev - self.saved.base) as usize;
                let entries = self.saved.log[from..].iter().take(BATCH).cloned().collect();
                Message::Append { term, prev, prev_term, entries, commit, stamp }
            }
            None => {
                let PersistentState { base, base_term, history, .. } = self.saved.clone();
                Message::Install { term, base, base_term, history, stamp }
            }
        };
        outputs.push(Output::Send(to.clone(), message));
    }

    /// A message has come.
    pub fn handle(&mut self, now: Nanos, from: &MemberId, message: Message) -> Vec<Output> {
        // Also of those that our log does not name as voters: a log may lag behind who leads and who votes.
        let mut outputs = Vec::new();
        let (term, mine) = (message.term(), self.saved.term);
        // Canvassing changes no one's term; a vote asked for while a leader is heard is not even looked at.
        let quiet = match &message {
            Message::Canvass { .. } => true,
            Message::Inclined { yes, .. } => *yes,
            Message::Ask { .. } => self.is_bound(now),
            Message::Vote { .. }
            | Message::Append { .. }
            | Message::Install { .. }
            | Message::Appended { .. } => false,
        };
        if term > mine && !quiet {
            self.follow(now, term, None);
        }
        match message {
            Message::Canvass { term, last, last_term } => {
                let yes = term > self.saved.term && !self.is_bound(now) && self.is_no_older(last, last_term);
                let term = if yes { term } else { self.saved.term };
                outputs.push(Output::Send(from.clone(), Message::Inclined { term, yes }));
            }
            Message::Inclined { term, yes: true }
                if self.role == Role::Canvasser && term == mine + 1 && self.peers.contains(from) =>
            {
                self.votes.insert(from.clone());
                if self.is_majority(self.votes.len()) {
                    self.stand(now, &mut outputs);
                }
            }
            Message::Inclined { .. } => {}
            Message::Ask { term, last, last_term } => {
                let free = self.saved.vote.as_ref().is_none_or(|vote| vote == from);
                let yes = term == self.saved.term
                    && free
                    && self.role == Role::Follower
                    && !self.is_bound(now)
                    && self.is_no_older(last, last_term);
                if yes {
                    self.dirty |= self.saved.vote.is_none();
                    self.saved.vote = Some(from.clone());
                    self.put_off(now);
                }
                outputs.push(Output::Send(from.clone(), Message::Vote { term: self.saved.term, yes }));
            }
            Message::Vote { term, yes: true }
                if self.role == Role::Candidate && term == self.saved.term && self.peers.contains(from) =>
            {
                self.votes.insert(from.clone());
                if self.is_majority(self.votes.len()) {
                    self.lead(now, &mut outputs);
                }
            }
            Message::Vote { .. } => {}
            Message::Append { term, prev, prev_term, entries, commit, stamp } => {
                let answer = if term < self.saved.term {
                    Message::Appended { term: self.saved.term, ok: false, matched: 0, stamp }
                } else {
                    self.hear_leader(now, from);
                    let (ok, matched) = self.append(prev, prev_term, entries);
                    if ok {
                        self.commit = self.commit.max(commit.min(matched));
                    }
                    Message::Appended { term, ok, matched, stamp }
                };
                outputs.push(Output::Send(from.clone(), answer));
            }
            Message::Install { term, base, base_term, history, stamp } => {
                if term >= self.saved.term {
                    self.hear_leader(now, from);
                    if base > self.commit {
                        let keeps = self.term_at(base) == Some(base_term);
                        let held = (base - self.saved.base) as usize;
                        let log = if keeps { self.saved.log.split_off(held) } else { Vec::new() };
                        (self.saved.base, self.saved.base_term, self.saved.log) = (base, base_term, log);
                        self.saved.history = history.clone();
                        (self.commit, self.applied, self.history) = (base, base, history);
                        self.dirty = true;
                        self.note_voters();
                        outputs.push(Output::Applied(self.history.view.clone()));
                    }
                    let matched = self.commit.max(base);
                    let answer = Message::Appended { term, ok: true, matched, stamp };
                    outputs.push(Output::Send(from.clone(), answer));
                }
            }
            Message::Appended { term, ok, matched, stamp } => {
                if self.role == Role::Leader && term == self.saved.term {
                    self.appended(now, from, ok, matched, stamp, &mut outputs);
                }
            }
        }
        self.finish(outputs)
    }

    fn is_no_older(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.last_term(), self.last())
    }

    fn hear_leader(&mut self, now: Nanos, leader: &MemberId) {
        self.follow(now, self.saved.term, Some(leader.clone()));
        self.heard = now;
        self.put_off(now);
    }

    /// Takes entries in after `prev`; up to where all is the same, or where to go back to.
    fn append(&mut self, prev: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
        // What lies before the base is certain, and so the same.
        let skip = self.saved.base.saturating_sub(prev).min(entries.len() as u64);
        if prev + skip < self.saved.base {
            return (true, self.saved.base);
        }
        let (prev, prev_term) = match skip {
            0 => (prev, prev_term),
            skip => (prev + skip, entries[skip as usize - 1].term),
        };
        match self.term_at(prev) {
            Some(term) if term == prev_term => {}
            Some(_) | None => return (false, self.last().min(prev.saturating_sub(1)).max(self.commit)),
        }
        let mut place = prev;
        for entry in entries.into_iter().skip(skip as usize) {
            place += 1;
            match self.term_at(place) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.saved.log.truncate((place - self.saved.base - 1) as usize);
                    self.saved.log.push(entry);
                    self.dirty = true;
                }
                None => {
                    self.saved.log.push(entry);
                    self.dirty = true;
                }
            }
        }
        self.note_voters();
        (true, place)
    }

    fn appended(
        &mut self,
        now: Nanos,
        from: &MemberId,
        ok: bool,
        matched: u64,
        stamp: Stamp,
        outputs: &mut Vec<Output>,
    ) {
        let Some(peer) = self.others.get_mut(from) else { return };
        self.heard = now;
        peer.answered = peer.answered.max(Some(Nanos(stamp.0)));
        if ok {
            peer.matched = peer.matched.max(matched);
            peer.next = peer.matched + 1;
        } else {
            peer.next = (matched + 1).min(peer.next).max(peer.matched + 1);
        }
        let behind = peer.matched < self.last();
        let before = self.commit;
        self.count();
        if behind && (!ok || self.others.get(from).is_some_and(|peer| peer.next <= self.last())) {
            self.send(now, from, outputs);
        }
        if self.commit > before {
            // The others learn at once: a takeover waits for it.
            self.send_all(now, outputs);
        }
    }

    /// What a majority has, of this term, is certain.
    fn count(&mut self) {
        let mut matched: Vec<u64> = self.others.values().map(|peer| peer.matched).collect();
        matched.push(self.last());
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let place = matched[self.majority() - 1];
        if place > self.commit && self.term_at(place) == Some(self.saved.term) {
            self.commit = place;
        }
    }

    fn apply(&mut self, outputs: &mut Vec<Output>) {
        while self.applied < self.commit {
            self.applied += 1;
            let place = (self.applied - self.saved.base - 1) as usize;
            match &self.saved.log[place].command {
                Command::Nothing => {}
                Command::Voters(voters) => self.history.voters = Some(voters.clone()),
                Command::Share { members, above } => {
                    self.history.share(members.clone(), *above);
                    outputs.push(Output::Applied(self.history.view.clone()));
                }
            }
        }
        self.fold();
    }

    /// Old entries that are certain become the view they led to.
    fn fold(&mut self) {
        let spare = (self.applied - self.saved.base) as usize;
        if spare < 2 * KEPT {
            return;
        }
        for entry in self.saved.log.drain(..KEPT).collect::<Vec<Entry>>() {
            match entry.command {
                Command::Nothing => {}
                Command::Voters(voters) => self.saved.history.voters = Some(voters),
                Command::Share { members, above } => self.saved.history.share(members, above),
            }
            self.saved.base += 1;
            self.saved.base_term = entry.term;
        }
        self.dirty = true;
    }

    /// What is saved, for checks and for the owner's own copy.
    pub fn saved(&self) -> &PersistentState {
        &self.saved
    }
}
