//! What a controller keeps: plain types and sums, without any decision, table or tuned value.

use std::collections::BTreeMap;

use crate::interface::*;

/// A sum that halves with every half-life; brought up to date when read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decay {
    pub sum: f64,
    pub at: Nanos,
}

impl Decay {
    pub fn read(&self, now: Nanos, half: Nanos) -> f64 {
        self.sum * 0.5f64.powf((now - self.at).secs() / half.secs())
    }

    pub fn add(&mut self, now: Nanos, half: Nanos, amount: f64) {
        *self = Decay { sum: self.read(now, half) + amount, at: now };
    }

    /// Per second, where the first was added at `since` or later.
    pub fn rate(&self, now: Nanos, half: Nanos, since: Nanos) -> f64 {
        let filled = 1.0 - 0.5f64.powf((now - since).secs().max(1.0) / half.secs());
        self.read(now, half) * std::f64::consts::LN_2 / half.secs() / filled
    }
}

/// A mean in which older values count less; nothing where nothing was heard lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: Decay,
    count: Decay,
}

impl Mean {
    pub fn hear(&mut self, now: Nanos, half: Nanos, value: Option<f64>) {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.sum.add(now, half, value);
            self.count.add(now, half, 1.0);
        }
    }

    pub fn mean(&self, now: Nanos, half: Nanos) -> Option<f64> {
        let count = self.count.read(now, half);
        (count > 0.1).then(|| self.sum.read(now, half) / count)
    }
}

/// What proxies met at a server: tries, those without a good answer, and seconds waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub tries: Decay,
    pub unanswered: Decay,
    pub waited: Decay,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not listed ready: in no table.
    Away,
    /// Started lately: its weight grows with what it can surely do.
    Cold,
    Open,
    /// Odd signs: probed, still in the tables.
    Doubted,
    /// Shut out for its health, and probed.
    Out,
    /// Back from that, at a growing share.
    Trial,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Unlisted,
    Started,
    Warm,
    Broken,
    Odd,
    Sound,
    Cleared,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// It enters its group as a new member does; bindings settle.
    Join,
    /// It leaves all tables; bindings settle.
    Leave,
    /// As Leave, and its next return takes longer.
    Expel,
    /// It returns, and what was measured before no longer holds; bindings settle.
    Return,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    Calm,
    Shedding,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strain {
    Over,
    Light,
    Idle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Cut,
    Grow,
    Lift,
}

pub struct Server {
    pub listing: Listing,
    pub group: usize,
    pub state: State,
    pub since: Nanos,
    /// When it last entered its group; nothing: with the first list.
    pub joined: Option<Nanos>,
    /// Started anew since its state last changed.
    pub fresh: bool,
    /// Weight against the listed one, by what proxies met.
    pub pace: f64,
    pub near: Met,
    pub far: Met,
    /// The busy share it reports.
    pub busy: Mean,
    pub probed: Nanos,
    pub probes_good: u32,
    pub probes_bad: u32,
    pub relapses: u32,
}

/// Where a class may run; empty: anywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    pub zones: Vec<ZoneId>,
    pub kinds: Vec<KindId>,
}

impl Placement {
    pub fn allows(&self, listing: &Listing) -> bool {
        (self.zones.is_empty() || self.zones.contains(&listing.zone))
            && (self.kinds.is_empty() || self.kinds.contains(&listing.kind))
    }
}

/// What differs by class: a row a class.
pub struct ClassRow {
    pub importance: f64,
    pub placement: Placement,
    pub home_only: bool,
}

/// One proxy's binding for one class.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    pub group: Option<usize>,
    pub sent: Option<TableId>,
    /// Its traffic as it lasts, and as it is now.
    pub lasting: Decay,
    pub recent: Decay,
    pub heard: bool,
}

pub struct Proxy {
    pub zone: ZoneId,
    pub usual_rate: f64,
    pub joined: Nanos,
    pub bindings: Vec<Binding>,
}

pub struct Group {
    /// The zone of its servers, where all are of one.
    pub zone: Option<ZoneId>,
    pub load: Load,
    /// Operations a second it takes in at most.
    pub limit: f64,
    pub changed: Nanos,
    /// Its load against the mean of all groups, 1 at least.
    pub crowding: f64,
}

/// A shared table as proxies have it.
#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<ServerId, f64>,
    pub levels: BTreeMap<usize, (f64, FurtherTries)>,
}

impl Server {
    pub fn new(listing: Listing, group: usize) -> Self {
        Server {
            listing,
            group,
            state: State::Away,
            since: Nanos(0),
            joined: None,
            fresh: false,
            pace: 1.0,
            near: Met::default(),
            far: Met::default(),
            busy: Mean::default(),
            probed: Nanos(0),
            probes_good: 0,
            probes_bad: 0,
            relapses: 0,
        }
    }

    pub fn ready(&self) -> bool {
        self.listing.readiness == Readiness::Ready
    }
}

impl Group {
    pub fn new(zone: Option<ZoneId>) -> Self {
        Group { zone, load: Load::Calm, limit: f64::INFINITY, changed: Nanos(0), crowding: 1.0 }
    }
}
