//! A replicated log of views, agreed by Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; pre-vote and leader lease follow Ongaro's thesis, 4.2.3, 6.4 and 9.6).
//!
//! The caller passes in messages and the time, and must carry out the returned outputs in order: the state of an
//! [`Output::Save`] must be on disk before any later output is sent.

use std::collections::{BTreeMap, BTreeSet};

use craneknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::view::{Epoch, History, View};
use crate::{MemberId, Stamp};

const COMPACTION_BATCH: usize = 32; // applied entries kept for lagging followers; one further back gets the snapshot
static NO_MEMBERS: BTreeSet<MemberId> = BTreeSet::new();

const MAX_ENTRIES_PER_MESSAGE: usize = 16; // the message must fit into one datagram

/// Durations; they must be the same at all members.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between heartbeats of the leader.
    pub heartbeat: Nanos,
    /// Minimum election timeout: a member that had contact with a leader within it neither starts an election nor votes.
    pub election: Nanos,
    /// Maximum deviation of a clock's rate from true time, as a fraction.
    pub drift: f64,
    /// How long a lease lasts after it was requested, by the holder's clock, before the allowance for drift.
    pub lease: Nanos,
}

impl Timing {
    /// `span` shortened by the possible drift: when this has passed on the local clock, `span` has not yet passed on any
    /// other clock.
    pub fn short(&self, span: Nanos) -> Nanos {
        Nanos((span.0 as f64 * (1.0 - self.drift) / (1.0 + self.drift)) as u64)
    }

    /// `span` extended by the possible drift: when this has passed on the local clock, `span` has passed on every clock.
    pub fn long(&self, span: Nanos) -> Nanos {
        Nanos((span.0 as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as u64)
    }
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The first entry of a leader's term, which commits the entries before it.
    #[serde(rename = "Nothing")]
    Noop,
    /// Starts a view of these members, with an epoch later than `above`.
    #[serde(rename = "Share")]
    SetView { members: BTreeSet<MemberId>, above: Epoch },
    /// Sets the voters, with one added or one removed. It takes effect as soon as it is in the log (thesis, 4.1):
    /// majorities of two sets of voters that differ by one member always overlap.
    #[serde(rename = "Voters")]
    SetVoters(BTreeSet<MemberId>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub command: Command,
}

/// The state that must survive a crash. Each save replaces the previous one as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    pub term: u64,
    /// The candidate that received this member's vote in `term`.
    #[serde(rename = "vote")]
    pub voted_for: Option<MemberId>,
    /// Index of the last log entry that `history` includes.
    #[serde(rename = "base")]
    pub snapshot_index: u64,
    /// Term of that entry.
    #[serde(rename = "base_term")]
    pub snapshot_term: u64,
    /// The snapshot: the result of all entries up to `snapshot_index`.
    pub history: History,
    /// The entries after the snapshot.
    pub log: Vec<Entry>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in that term.
    #[serde(rename = "Canvass")]
    PreVote {
        term: u64,
        #[serde(rename = "last")]
        last_log_index: u64,
        #[serde(rename = "last_term")]
        last_log_term: u64,
    },
    #[serde(rename = "Inclined")]
    PreVoteReply {
        term: u64,
        #[serde(rename = "yes")]
        granted: bool,
    },
    #[serde(rename = "Ask")]
    RequestVote {
        term: u64,
        #[serde(rename = "last")]
        last_log_index: u64,
        #[serde(rename = "last_term")]
        last_log_term: u64,
    },
    #[serde(rename = "Vote")]
    VoteReply {
        term: u64,
        #[serde(rename = "yes")]
        granted: bool,
    },
    #[serde(rename = "Append")]
    AppendEntries {
        term: u64,
        #[serde(rename = "prev")]
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
        stamp: Stamp,
    },
    /// The snapshot, for a follower that needs entries from before the start of the leader's log.
    #[serde(rename = "Install")]
    InstallSnapshot {
        term: u64,
        #[serde(rename = "base")]
        snapshot_index: u64,
        #[serde(rename = "base_term")]
        snapshot_term: u64,
        history: History,
        stamp: Stamp,
    },
    /// `match_index`: on success the logs agree up to that index; otherwise the leader continues after that index.
    #[serde(rename = "Appended")]
    AppendReply {
        term: u64,
        #[serde(rename = "ok")]
        success: bool,
        #[serde(rename = "matched")]
        match_index: u64,
        stamp: Stamp,
    },
}

impl Message {
    fn term(&self) -> u64 {
        match self {
            Message::PreVote { term, .. }
            | Message::PreVoteReply { term, .. }
            | Message::RequestVote { term, .. }
            | Message::VoteReply { term, .. }
            | Message::AppendEntries { term, .. }
            | Message::InstallSnapshot { term, .. }
            | Message::AppendReply { term, .. } => *term,
        }
    }
}

/// What the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// State that must be on disk before any later output is sent.
    Save(PersistentState),
    Send(MemberId, Message),
    /// A view was committed.
    Applied(View),
    /// This member became leader of that term.
    BecameLeader(u64),
}

/// A member's role in Raft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Runs a pre-vote.
    Canvasser,
    Candidate,
    Leader,
}

/// A leader's knowledge of a follower's log.
#[derive(Clone, Debug)]
struct PeerProgress {
    next_index: u64,
    match_index: u64,
    /// When the latest message that the follower has replied to was sent, by the local clock.
    last_acked: Option<Nanos>,
}

/// One member's Raft state machine.
#[derive(Clone, Debug)]
pub struct Raft {
    me: MemberId,
    /// The voters other than this member.
    peers: BTreeSet<MemberId>,
    timing: Timing,
    saved: PersistentState,
    /// `saved` has changed since it was last put out.
    dirty: bool,
    role: Role,
    leader: Option<MemberId>,
    votes: BTreeSet<MemberId>,
    progress: BTreeMap<MemberId, PeerProgress>,
    /// Index of the last committed entry.
    commit: u64,
    /// Index of the last applied entry.
    applied: u64,
    history: History,
    /// Last contact with a leader, or at a leader with a follower. A start counts as contact, since promises made before
    /// it are not known.
    last_contact_at: Nanos,
    election_at: Nanos,
    leader_since: Nanos,
    heartbeat_at: Nanos,
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
        // On the first start the voters are the members in the settings, and only the log changes them after that,
        // whatever later settings name. Otherwise two halves of a fleet could start from sets without a common member.
        let is_first_start = saved.history.voters.is_none();
        saved.history.voters.get_or_insert_with(|| members.clone());
        let mut raft = Raft {
            me,
            peers: BTreeSet::new(),
            timing,
            dirty: is_first_start,
            role: Role::Follower,
            leader: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            commit: saved.snapshot_index,
            applied: saved.snapshot_index,
            history: saved.history.clone(),
            last_contact_at: now,
            election_at: now,
            leader_since: now,
            heartbeat_at: now,
            rng: Pcg32::seed_from_u64(seed),
            saved,
        };
        raft.refresh_peers();
        raft.reset_election_timer(now);
        raft
    }

    /// The voters by the latest entry of the log, committed or not.
    pub fn voters(&self) -> &BTreeSet<MemberId> {
        let from_log = self.saved.log.iter().rev().find_map(|entry| match &entry.command {
            Command::SetVoters(voters) => Some(voters),
            Command::Noop | Command::SetView { .. } => None,
        });
        from_log.or(self.saved.history.voters.as_ref()).unwrap_or(&NO_MEMBERS)
    }

    /// Whether a change of the voters is not yet committed.
    pub fn is_changing_voters(&self) -> bool {
        let from = (self.commit - self.saved.snapshot_index) as usize;
        self.saved.log[from..].iter().any(|entry| matches!(entry.command, Command::SetVoters(_)))
    }

    /// Sets the peers to the current voters; a leader keeps the progress of those that stay.
    fn refresh_peers(&mut self) {
        let mut peers = self.voters().clone();
        peers.remove(&self.me);
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        if self.role == Role::Leader {
            let next_index = self.last_index() + 1;
            let new =
                |id: &MemberId| (id.clone(), PeerProgress { next_index, match_index: 0, last_acked: None });
            let old = std::mem::take(&mut self.progress);
            self.progress = self.peers.iter().map(new).collect();
            let kept = old.into_iter().filter(|(id, _)| self.peers.contains(id)).collect::<Vec<_>>();
            self.progress.extend(kept);
        }
    }

    /// Whether this member is a voter; other members never stand for election.
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

    /// The latest committed view.
    pub fn view(&self) -> &View {
        &self.history.view
    }

    /// The view before the latest committed one.
    pub fn previous_view(&self) -> &View {
        &self.history.previous_view
    }

    /// Whether an entry of the current term is committed. Then everything that earlier leaders committed is known to be
    /// committed.
    pub fn is_term_committed(&self) -> bool {
        self.term_at(self.commit) == Some(self.saved.term)
    }

    /// Whether every entry of the log is committed and applied.
    pub fn is_fully_applied(&self) -> bool {
        self.applied == self.last_index()
    }

    /// The committed entries after the snapshot with their indexes, for checks in tests.
    pub fn committed_entries(&self) -> impl Iterator<Item = (u64, &Entry)> {
        let base = self.saved.snapshot_index;
        let indexed = self.saved.log.iter().enumerate().map(move |(k, entry)| (base + k as u64 + 1, entry));
        indexed.take_while(move |(index, _)| *index <= self.commit)
    }

    fn last_index(&self) -> u64 {
        self.saved.snapshot_index + self.saved.log.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.saved.snapshot_index {
            return Some(self.saved.snapshot_term);
        }
        let index = usize::try_from(index.checked_sub(self.saved.snapshot_index + 1)?).ok()?;
        self.saved.log.get(index).map(|entry| entry.term)
    }

    fn last_term(&self) -> u64 {
        self.term_at(self.last_index()).unwrap_or(0)
    }

    fn majority(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    /// Whether that many votes, including the member's own, are a majority.
    fn is_majority(&self, votes: usize) -> bool {
        2 * votes > self.peers.len() + 1
    }

    /// Starts a new election timeout, at random between one and two times the minimum.
    fn reset_election_timer(&mut self, now: Nanos) {
        let span = self.timing.election.0;
        self.election_at = now + Nanos(span + self.rng.random_range(0..=span));
    }

    /// Whether there was contact with a leader within the minimum election timeout. Meanwhile this member votes for no
    /// one, which is what the leader's lease relies on.
    fn has_recent_leader(&self, now: Nanos) -> bool {
        self.role == Role::Leader && self.leader_lease_until() > now
            || now - self.last_contact_at < self.timing.election
    }

    /// Until when, by the local clock, no other member can have become leader. Zero at a member that is not the leader.
    pub fn leader_lease_until(&self) -> Nanos {
        if self.role != Role::Leader {
            return Nanos(0);
        }
        // The leader itself counts as having replied now, so one reply fewer than a majority is needed from the others.
        let mut answered: Vec<Nanos> =
            self.progress.values().map(|peer| peer.last_acked.unwrap_or(Nanos(0))).collect();
        answered.sort_by(|a, b| b.cmp(a));
        let needed = self.majority() - 1;
        match needed.checked_sub(1).map(|index| answered.get(index).copied().unwrap_or(Nanos(0))) {
            None => Nanos(u64::MAX / 2),
            Some(Nanos(0)) => Nanos(0),
            Some(answered) => answered + self.timing.short(self.timing.election),
        }
    }

    /// When [`Raft::tick`] is due next.
    pub fn next_at(&self) -> Nanos {
        match self.role {
            Role::Leader => self.heartbeat_at,
            Role::Follower | Role::Canvasser | Role::Candidate => self.election_at,
        }
    }

    /// Applies committed entries, and puts changed state before all other outputs.
    fn finish_outputs(&mut self, mut outputs: Vec<Output>) -> Vec<Output> {
        self.apply(&mut outputs);
        if std::mem::take(&mut self.dirty) {
            outputs.insert(0, Output::Save(self.saved.clone()));
        }
        outputs
    }

    /// Handles timeouts that are due.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        let mut outputs = Vec::new();
        match self.role {
            Role::Leader if now >= self.heartbeat_at => {
                self.heartbeat_at = now + self.timing.heartbeat;
                // A leader without contact to a majority for an election timeout steps down.
                if self.leader_lease_until().max(self.leader_since) + self.timing.election < now {
                    self.become_follower(now, self.saved.term, None);
                } else {
                    self.send_append_to_all(now, &mut outputs);
                }
            }
            Role::Follower | Role::Canvasser | Role::Candidate if now >= self.election_at => {
                if self.is_voter() {
                    self.start_pre_vote(now, &mut outputs);
                } else {
                    self.reset_election_timer(now);
                }
            }
            Role::Leader | Role::Follower | Role::Canvasser | Role::Candidate => {}
        }
        self.finish_outputs(outputs)
    }

    fn start_pre_vote(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.reset_election_timer(now);
        self.role = Role::Canvasser;
        self.leader = None;
        self.votes = BTreeSet::from([self.me.clone()]);
        if self.is_majority(self.votes.len()) {
            return self.start_election(now, outputs);
        }
        let message = Message::PreVote {
            term: self.saved.term + 1,
            last_log_index: self.last_index(),
            last_log_term: self.last_term(),
        };
        outputs.extend(self.peers.iter().map(|peer| Output::Send(peer.clone(), message.clone())));
    }

    fn start_election(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.reset_election_timer(now);
        self.role = Role::Candidate;
        self.saved.term += 1;
        self.saved.voted_for = Some(self.me.clone());
        self.dirty = true;
        self.votes = BTreeSet::from([self.me.clone()]);
        if self.is_majority(self.votes.len()) {
            return self.become_leader(now, outputs);
        }
        let message = Message::RequestVote {
            term: self.saved.term,
            last_log_index: self.last_index(),
            last_log_term: self.last_term(),
        };
        outputs.extend(self.peers.iter().map(|peer| Output::Send(peer.clone(), message.clone())));
    }

    fn become_leader(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        (self.last_contact_at, self.leader_since) = (now, now);
        let next_index = self.last_index() + 1;
        let peer =
            |id: &MemberId| (id.clone(), PeerProgress { next_index, match_index: 0, last_acked: None });
        self.progress = self.peers.iter().map(peer).collect();
        outputs.push(Output::BecameLeader(self.saved.term));
        self.append_command(Command::Noop);
        self.heartbeat_at = now + self.timing.heartbeat;
        self.send_append_to_all(now, outputs);
    }

    fn append_command(&mut self, command: Command) {
        self.saved.log.push(Entry { term: self.saved.term, command });
        self.dirty = true;
        self.refresh_peers();
        self.advance_commit();
    }

    /// Appends a command to the log; does nothing at a member that is not the leader.
    pub fn propose(&mut self, now: Nanos, command: Command) -> Vec<Output> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        self.append_command(command);
        self.send_append_to_all(now, &mut outputs);
        self.finish_outputs(outputs)
    }

    fn become_follower(&mut self, now: Nanos, term: u64, leader: Option<MemberId>) {
        if term > self.saved.term {
            self.saved.term = term;
            self.saved.voted_for = None;
            self.dirty = true;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
    }

    fn send_append_to_all(&mut self, now: Nanos, outputs: &mut Vec<Output>) {
        for peer in self.peers.clone() {
            self.send_append(now, &peer, outputs);
        }
    }

    fn send_append(&mut self, now: Nanos, to: &MemberId, outputs: &mut Vec<Output>) {
        let Some(peer) = self.progress.get(to) else { return };
        let (term, stamp, commit) = (self.saved.term, Stamp(now.0), self.commit);
        let prev_index = peer.next_index - 1;
        let message = match self.term_at(prev_index) {
            Some(prev_term) => {
                let from = (prev_index - self.saved.snapshot_index) as usize;
                let entries = self.saved.log[from..].iter().take(MAX_ENTRIES_PER_MESSAGE).cloned().collect();
                Message::AppendEntries { term, prev_index, prev_term, entries, commit, stamp }
            }
            None => {
                let PersistentState { snapshot_index, snapshot_term, history, .. } = self.saved.clone();
                Message::InstallSnapshot { term, snapshot_index, snapshot_term, history, stamp }
            }
        };
        outputs.push(Output::Send(to.clone(), message));
    }

    /// Handles a message from another member.
    pub fn handle(&mut self, now: Nanos, from: &MemberId, message: Message) -> Vec<Output> {
        // Messages of members that are not voters by the local log are handled too: the log may lag behind the current
        // leader and voters.
        let mut outputs = Vec::new();
        let (term, own_term) = (message.term(), self.saved.term);
        // A pre-vote changes no term, nor does a vote request while there is contact with a leader.
        let keeps_term = match &message {
            Message::PreVote { .. } => true,
            Message::PreVoteReply { granted, .. } => *granted,
            Message::RequestVote { .. } => self.has_recent_leader(now),
            Message::VoteReply { .. }
            | Message::AppendEntries { .. }
            | Message::InstallSnapshot { .. }
            | Message::AppendReply { .. } => false,
        };
        if term > own_term && !keeps_term {
            self.become_follower(now, term, None);
        }
        match message {
            Message::PreVote { term, last_log_index, last_log_term } => {
                let granted = term > self.saved.term
                    && !self.has_recent_leader(now)
                    && self.is_log_up_to_date(last_log_index, last_log_term);
                let term = if granted { term } else { self.saved.term };
                outputs.push(Output::Send(from.clone(), Message::PreVoteReply { term, granted }));
            }
            Message::PreVoteReply { term, granted: true }
                if self.role == Role::Canvasser && term == own_term + 1 && self.peers.contains(from) =>
            {
                self.votes.insert(from.clone());
                if self.is_majority(self.votes.len()) {
                    self.start_election(now, &mut outputs);
                }
            }
            Message::PreVoteReply { .. } => {}
            Message::RequestVote { term, last_log_index, last_log_term } => {
                let may_vote = self.saved.voted_for.as_ref().is_none_or(|vote| vote == from);
                let granted = term == self.saved.term
                    && may_vote
                    && self.role == Role::Follower
                    && !self.has_recent_leader(now)
                    && self.is_log_up_to_date(last_log_index, last_log_term);
                if granted {
                    self.dirty |= self.saved.voted_for.is_none();
                    self.saved.voted_for = Some(from.clone());
                    self.reset_election_timer(now);
                }
                outputs
                    .push(Output::Send(from.clone(), Message::VoteReply { term: self.saved.term, granted }));
            }
            Message::VoteReply { term, granted: true }
                if self.role == Role::Candidate && term == self.saved.term && self.peers.contains(from) =>
            {
                self.votes.insert(from.clone());
                if self.is_majority(self.votes.len()) {
                    self.become_leader(now, &mut outputs);
                }
            }
            Message::VoteReply { .. } => {}
            Message::AppendEntries { term, prev_index, prev_term, entries, commit, stamp } => {
                let answer = if term < self.saved.term {
                    Message::AppendReply { term: self.saved.term, success: false, match_index: 0, stamp }
                } else {
                    self.accept_leader(now, from);
                    let (success, match_index) = self.append_entries(prev_index, prev_term, entries);
                    if success {
                        self.commit = self.commit.max(commit.min(match_index));
                    }
                    Message::AppendReply { term, success, match_index, stamp }
                };
                outputs.push(Output::Send(from.clone(), answer));
            }
            Message::InstallSnapshot { term, snapshot_index, snapshot_term, history, stamp } => {
                if term >= self.saved.term {
                    self.accept_leader(now, from);
                    if snapshot_index > self.commit {
                        let is_prefix = self.term_at(snapshot_index) == Some(snapshot_term);
                        let covered = (snapshot_index - self.saved.snapshot_index) as usize;
                        let log = if is_prefix { self.saved.log.split_off(covered) } else { Vec::new() };
                        (self.saved.snapshot_index, self.saved.snapshot_term, self.saved.log) =
                            (snapshot_index, snapshot_term, log);
                        self.saved.history = history.clone();
                        (self.commit, self.applied, self.history) = (snapshot_index, snapshot_index, history);
                        self.dirty = true;
                        self.refresh_peers();
                        outputs.push(Output::Applied(self.history.view.clone()));
                    }
                    let match_index = self.commit.max(snapshot_index);
                    let answer = Message::AppendReply { term, success: true, match_index, stamp };
                    outputs.push(Output::Send(from.clone(), answer));
                }
            }
            Message::AppendReply { term, success, match_index, stamp } => {
                if self.role == Role::Leader && term == self.saved.term {
                    self.handle_append_reply(now, from, success, match_index, stamp, &mut outputs);
                }
            }
        }
        self.finish_outputs(outputs)
    }

    fn is_log_up_to_date(&self, last_log_index: u64, last_log_term: u64) -> bool {
        (last_log_term, last_log_index) >= (self.last_term(), self.last_index())
    }

    fn accept_leader(&mut self, now: Nanos, leader: &MemberId) {
        self.become_follower(now, self.saved.term, Some(leader.clone()));
        self.last_contact_at = now;
        self.reset_election_timer(now);
    }

    /// Appends entries after `prev`. Returns whether the logs agree there, and the last index up to which they agree
    /// or, if they do not, the index after which the leader should continue.
    fn append_entries(&mut self, prev: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
        // Entries in the snapshot are committed, and so the same at the leader.
        let skipped = self.saved.snapshot_index.saturating_sub(prev).min(entries.len() as u64);
        if prev + skipped < self.saved.snapshot_index {
            return (true, self.saved.snapshot_index);
        }
        let (prev, prev_term) = match skipped {
            0 => (prev, prev_term),
            skipped => (prev + skipped, entries[skipped as usize - 1].term),
        };
        match self.term_at(prev) {
            Some(term) if term == prev_term => {}
            Some(_) | None => return (false, self.last_index().min(prev.saturating_sub(1)).max(self.commit)),
        }
        let mut index = prev;
        for entry in entries.into_iter().skip(skipped as usize) {
            index += 1;
            match self.term_at(index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.saved.log.truncate((index - self.saved.snapshot_index - 1) as usize);
                    self.saved.log.push(entry);
                    self.dirty = true;
                }
                None => {
                    self.saved.log.push(entry);
                    self.dirty = true;
                }
            }
        }
        self.refresh_peers();
        (true, index)
    }

    fn handle_append_reply(
        &mut self,
        now: Nanos,
        from: &MemberId,
        success: bool,
        match_index: u64,
        stamp: Stamp,
        outputs: &mut Vec<Output>,
    ) {
        let Some(peer) = self.progress.get_mut(from) else { return };
        self.last_contact_at = now;
        peer.last_acked = peer.last_acked.max(Some(Nanos(stamp.0)));
        if success {
            peer.match_index = peer.match_index.max(match_index);
            peer.next_index = peer.match_index + 1;
        } else {
            peer.next_index = (match_index + 1).min(peer.next_index).max(peer.match_index + 1);
        }
        let is_behind = peer.match_index < self.last_index();
        let before = self.commit;
        self.advance_commit();
        if is_behind
            && (!success || self.progress.get(from).is_some_and(|peer| peer.next_index <= self.last_index()))
        {
            self.send_append(now, from, outputs);
        }
        if self.commit > before {
            // Followers get the commit index at once, since takeovers wait for it.
            self.send_append_to_all(now, outputs);
        }
    }

    /// Commits entries of the current term that a majority holds.
    fn advance_commit(&mut self) {
        let mut match_indexes: Vec<u64> = self.progress.values().map(|peer| peer.match_index).collect();
        match_indexes.push(self.last_index());
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = match_indexes[self.majority() - 1];
        if index > self.commit && self.term_at(index) == Some(self.saved.term) {
            self.commit = index;
        }
    }

    fn apply(&mut self, outputs: &mut Vec<Output>) {
        while self.applied < self.commit {
            self.applied += 1;
            let index = (self.applied - self.saved.snapshot_index - 1) as usize;
            match &self.saved.log[index].command {
                Command::Noop => {}
                Command::SetVoters(voters) => self.history.voters = Some(voters.clone()),
                Command::SetView { members, above } => {
                    self.history.advance_view(members.clone(), *above);
                    outputs.push(Output::Applied(self.history.view.clone()));
                }
            }
        }
        self.compact();
    }

    /// Moves old applied entries into the snapshot.
    fn compact(&mut self) {
        let applied_entries = (self.applied - self.saved.snapshot_index) as usize;
        if applied_entries < 2 * COMPACTION_BATCH {
            return;
        }
        for entry in self.saved.log.drain(..COMPACTION_BATCH).collect::<Vec<Entry>>() {
            match entry.command {
                Command::Noop => {}
                Command::SetVoters(voters) => self.saved.history.voters = Some(voters),
                Command::SetView { members, above } => self.saved.history.advance_view(members, above),
            }
            self.saved.snapshot_index += 1;
            self.saved.snapshot_term = entry.term;
        }
        self.dirty = true;
    }

    /// The state as it is to be saved, for checks and for the caller's own copy.
    pub fn saved(&self) -> &PersistentState {
        &self.saved
    }
}
