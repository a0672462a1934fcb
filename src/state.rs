//! What a controller keeps: plain types and sums, without any decision, table or tuned value.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::interface::*;

const TRANSITIONS_KEPT: usize = 1_024; // between two looks: a fleet of that many servers may change at once

/// A sum that halves with every half-life, which comes with what is added; brought up to date when read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decay {
    sum: f64,
    at: Nanos,
    half: Nanos,
}

impl Decay {
    pub fn read(&self, now: Nanos) -> f64 {
        match self.half {
            Nanos(0) => 0.0,
            half => self.sum * 0.5f64.powf((now - self.at).secs() / half.secs()),
        }
    }

    pub fn add(&mut self, now: Nanos, half: Nanos, amount: f64) {
        *self = Decay { sum: self.read(now) + amount, at: now, half };
    }

    pub fn is_empty(&self) -> bool {
        self.half == Nanos(0)
    }

    /// Per second, where adding has gone on for `age`.
    pub fn rate(&self, now: Nanos, age: Nanos) -> f64 {
        match self.half {
            Nanos(0) => 0.0,
            half => {
                let filled = 1.0 - 0.5f64.powf(age.secs() / half.secs());
                self.read(now) * std::f64::consts::LN_2 / half.secs() / filled
            }
        }
    }
}

/// A mean in which older values count less; nothing where too little was heard lately.
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

    pub fn mean(&self, now: Nanos, least: f64) -> Option<f64> {
        let count = self.count.read(now);
        (count > least).then(|| self.sum.read(now) / count)
    }
}

/// What proxies met: tries, those without a good answer, seconds waited, and good answers a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub tries: f64,
    pub failed: f64,
    pub waited: f64,
    /// Of the seconds waited, those for good answers.
    pub answering: f64,
    pub handled: f64,
}

impl Seen {
    pub fn plus(self, other: Seen) -> Seen {
        Seen {
            tries: self.tries + other.tries,
            failed: self.failed + other.failed,
            waited: self.waited + other.waited,
            answering: self.answering + other.answering,
            handled: self.handled + other.handled,
        }
    }

    /// Unanswered share; nothing where nothing was tried.
    pub fn share(&self) -> f64 {
        ratio(self.failed, self.tries).min(1.0)
    }

    /// Mean wait, s.
    pub fn wait(&self) -> f64 {
        ratio(self.waited, self.tries)
    }

    /// Mean wait for a good answer, s.
    pub fn answer_wait(&self) -> f64 {
        ratio(self.answering, self.tries - self.failed)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Sums of what proxies met.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    tries: Decay,
    failed: Decay,
    waited: Decay,
    answering: Decay,
}

impl Met {
    pub fn add(&mut self, now: Nanos, half: Nanos, seen: Seen) {
        self.tries.add(now, half, seen.tries);
        self.failed.add(now, half, seen.failed);
        self.waited.add(now, half, seen.waited);
        self.answering.add(now, half, seen.answering);
    }

    pub fn read(&self, now: Nanos) -> Seen {
        let (tries, failed) = (self.tries.read(now), self.failed.read(now));
        let (waited, answering) = (self.waited.read(now), self.answering.read(now));
        let per_second = std::f64::consts::LN_2 * ratio(1.0, self.tries.half.secs());
        Seen { tries, failed, waited, answering, handled: (tries - failed).max(0.0) * per_second }
    }
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

/// A change of state that an operator wants to see.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    Server {
        server: ServerId,
        from: State,
        to: State,
        sign: Sign,
    },
    /// `limit`: operations a second that the group takes in at most.
    Group {
        group: usize,
        from: Load,
        to: Load,
        limit: f64,
    },
    /// A table has lost its last line.
    TableEmptied {
        table: TableId,
    },
    /// A table without lines has got one.
    TableFilled {
        table: TableId,
    },
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
    /// The operations it holds, as it reports them.
    pub held: Mean,
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

/// What an order sets: a later order of the same subject leaves nothing of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Line(TableId, ServerId),
    Bind(ProxyId),
    Level(TableId, ClassSet),
}

impl Subject {
    /// Of an order to proxies; nothing for any other.
    pub fn of(order: &Order) -> Option<Self> {
        match order {
            Order::Line { table, server, .. } => Some(Subject::Line(*table, server.clone())),
            Order::Bind { proxy, .. } => Some(Subject::Bind(*proxy)),
            Order::Level { table, classes, .. } => Some(Subject::Level(*table, *classes)),
            Order::Mark { .. } | Order::Probe { .. } | Order::WatchList | Order::Wake { .. } => None,
        }
    }
}

/// An order that was refused, once or several times in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// How often.
    pub times: u32,
    /// It is not given again before.
    pub until: Nanos,
}

/// One proxy's binding for one class.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// Where the class may run for this proxy: a place in the list of placements.
    pub place: usize,
    pub group: Option<usize>,
    pub sent: Option<TableId>,
    /// Its traffic as it lasts, and as it is now.
    pub lasting: Decay,
    pub recent: Decay,
    pub heard: bool,
}

/// A binding looked at for a move: its traffic, where it may go and where it is.
pub struct Wish {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub class: usize,
    pub demand: f64,
    pub place: usize,
    pub from: Option<usize>,
}

/// Groups in order of load: its bits, which sort as it does, and the group.
type Ranking = BTreeSet<(u64, usize)>;

/// The groups' loads, and for each placement and zone its open groups in order of load.
pub struct Standing {
    pub weights: Vec<f64>,
    loads: Vec<f64>,
    ranks: Vec<BTreeMap<Option<ZoneId>, Ranking>>,
}

impl Standing {
    /// Ranks the groups that are open under each placement.
    pub fn new(
        weights: &[f64],
        loads: Vec<f64>,
        places: usize,
        groups: &[Group],
        open: &dyn Fn(usize, usize) -> bool,
    ) -> Self {
        let mut standing =
            Standing { weights: weights.to_vec(), loads, ranks: vec![BTreeMap::new(); places] };
        for place in 0..places {
            for group in (0..groups.len()).filter(|group| open(place, *group)) {
                let key = standing.key(group);
                standing.ranks[place].entry(groups[group].zone).or_default().insert(key);
            }
        }
        standing
    }

    /// Load over weight.
    pub fn load(&self, group: usize) -> f64 {
        self.loads[group] / self.weights[group].max(1e-6)
    }

    fn key(&self, group: usize) -> (u64, usize) {
        (self.load(group).max(0.0).to_bits(), group)
    }

    /// Adds load to a group; its ranks follow.
    pub fn add(&mut self, group: usize, load: f64) {
        let old = self.key(group);
        self.loads[group] = (self.loads[group] + load).max(0.0);
        let new = self.key(group);
        for ranks in self.ranks.iter_mut().flat_map(BTreeMap::values_mut) {
            if ranks.remove(&old) {
                ranks.insert(new);
            }
        }
    }

    /// The least loaded open group of each zone, but for one.
    pub fn least(
        &self,
        place: usize,
        but: Option<usize>,
    ) -> impl Iterator<Item = (Option<ZoneId>, usize)> + '_ {
        let first =
            move |ranks: &Ranking| ranks.iter().map(|(_, group)| *group).find(|group| Some(*group) != but);
        self.ranks[place].iter().filter_map(move |(zone, ranks)| Some((*zone, first(ranks)?)))
    }
}

pub struct Proxy {
    pub zone: ZoneId,
    pub usual_rate: f64,
    pub joined: Nanos,
    pub bindings: Vec<Binding>,
}

pub struct Group {
    pub members: BTreeSet<ServerId>,
    /// The zone of its servers, where all are of one.
    pub zone: Option<ZoneId>,
    pub load: Load,
    /// Operations a second it takes in at most.
    pub limit: f64,
    pub changed: Nanos,
    /// What proxies met of late at its members in no doubt, their mean busy share, and their listed weight.
    pub seen: Seen,
    /// The unanswered share at the better half of them.
    pub better: f64,
    pub busy: Option<f64>,
    /// Operations that its members hold, of all controllers' proxies.
    pub held: f64,
    /// Share of what arrives that comes from proxies which joined a while ago.
    pub settled: f64,
    pub weight: f64,
    /// Listed weight of all members listed ready.
    pub listed: f64,
    /// What proxies met at its cold members, if there are any.
    pub cold: Option<Seen>,
    /// By class: what comes to each proxy bound here, per second.
    pub arrivals: Vec<Vec<f64>>,
}

/// A shared table as proxies have it.
#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<ServerId, f64>,
    pub levels: BTreeMap<usize, (f64, FurtherTries)>,
}

impl Table {
    /// The lines that differ from the wanted ones by more than a share of what stands; weight 0: to be removed.
    pub fn changes(&self, wanted: &BTreeMap<ServerId, f64>, share: f64) -> Vec<(ServerId, f64)> {
        let old = |id: &ServerId| self.lines.get(id).copied().unwrap_or(0.0);
        let moved = wanted.iter().filter(|(id, weight)| (**weight - old(id)).abs() > share * old(id));
        let gone = self.lines.keys().filter(|id| !wanted.contains_key(*id));
        moved.map(|(id, weight)| (id.clone(), *weight)).chain(gone.map(|id| (id.clone(), 0.0))).collect()
    }

    /// Its lines without the lost servers'.
    pub fn without(&self, lost: impl Fn(&ServerId) -> bool) -> BTreeMap<ServerId, f64> {
        let kept = self.lines.iter().filter(|(id, _)| !lost(id));
        kept.map(|(id, weight)| (id.clone(), *weight)).collect()
    }

    /// A line was not set: whether proxies hold one is not known, and with which weight. It counts as held, so that it
    /// is set or removed anew, at next to no weight, so that nobody counts on it.
    fn unset_line(&mut self, server: &ServerId) {
        self.lines.insert(server.clone(), f64::MIN_POSITIVE);
    }

    pub fn set_line(&mut self, server: &ServerId, weight: f64) {
        self.lines.insert(server.clone(), weight);
        self.lines.retain(|_, weight| *weight > 0.0);
    }
}

/// What waits in the channel, as far as can be told.
#[derive(Clone, Debug)]
pub struct Channel {
    pub queued: f64,
    pub sent_at: Nanos,
    at: Nanos,
    /// Lines sent since the last mark, and the marks not answered by all yet.
    unmarked: f64,
    marks: VecDeque<Marked>,
    last_mark: u16,
}

/// What was sent up to a mark: its lines, its messages, and how many of these are still to be answered.
#[derive(Clone, Copy, Debug)]
struct Marked {
    mark: u16,
    at: Nanos,
    lines: f64,
    messages: f64,
    waiting: f64,
}

impl Channel {
    pub fn new(now: Nanos) -> Self {
        let (marks, last_mark) = (VecDeque::new(), 0);
        Channel { queued: 0.0, sent_at: Nanos(0), at: now, unmarked: 0.0, marks, last_mark }
    }

    /// Keeps what is sent; once it is enough, gives the number to mark it with, which costs a line a message.
    pub fn send(&mut self, now: Nanos, lines: f64, messages: f64, enough: f64) -> Option<u16> {
        (self.sent_at, self.queued, self.unmarked) = (now, self.queued + lines, self.unmarked + lines);
        if self.unmarked < enough {
            return None;
        }
        self.queued += messages;
        self.last_mark = self.last_mark.wrapping_add(1);
        let lines = std::mem::take(&mut self.unmarked) + messages;
        self.marks.push_back(Marked { mark: self.last_mark, at: now, lines, messages, waiting: messages });
        Some(self.last_mark)
    }

    /// A message of a mark is applied, and so is all that was sent before that mark.
    pub fn applied(&mut self, mark: u16) {
        let Some(place) = self.marks.iter().position(|marked| marked.mark == mark) else { return };
        self.marks.drain(..place);
        self.marks[0].waiting -= 1.0;
        if self.marks[0].waiting <= 0.0 {
            self.marks.pop_front();
        }
    }

    /// Lines that are not known to be applied; those marked longer ago than `lost` no longer count.
    pub fn unapplied(&mut self, now: Nanos, lost: Nanos) -> f64 {
        self.marks.retain(|marked| now - marked.at < lost);
        self.marks.iter().map(|marked| marked.lines * marked.waiting / marked.messages).sum()
    }

    pub fn drain(&mut self, now: Nanos, lines_per_second: f64) {
        self.queued = (self.queued - (now - self.at).secs() * lines_per_second).max(0.0);
        self.at = now;
    }
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
            held: Mean::default(),
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
        Group {
            members: BTreeSet::new(),
            zone,
            load: Load::Calm,
            limit: f64::INFINITY,
            changed: Nanos(0),
            seen: Seen::default(),
            better: 0.0,
            busy: None,
            held: 0.0,
            settled: 0.0,
            weight: 0.0,
            listed: 0.0,
            cold: None,
            arrivals: Vec::new(),
        }
    }
}

/// What a controller believes of a group, for whoever looks on.
#[derive(Clone, Debug)]
pub struct GroupView {
    pub zone: Option<ZoneId>,
    pub load: Load,
    pub limit: f64,
    /// Operations a second that arrive for it, and that its members handle.
    pub arrives: f64,
    pub handled: f64,
    /// Mean wait, unanswered share, and busy share of its members in no doubt.
    pub wait: f64,
    pub unanswered: f64,
    pub busy: Option<f64>,
    /// Its members' weight: of those in no doubt, and of all that are listed ready.
    pub weight: f64,
    pub listed: f64,
    /// Its members' names, states, and weights against the listed ones.
    pub members: Vec<(ServerId, State, f64)>,
}

/// One instance of the decisions in `policy.rs`, and all it knows.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) born: Nanos,
    pub(crate) now: Nanos,
    pub(crate) classes: Vec<ClassRow>,
    /// The shortest latency goal and the longest, s.
    pub(crate) goals: (f64, f64),
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) groups: Vec<Group>,
    /// Distinct placements, the open one first; a table is a group's servers under one of them.
    pub(crate) placements: Vec<Placement>,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) steps_left: u32,
    pub(crate) next_step: Nanos,
    pub(crate) next_pace: Nanos,
    pub(crate) next_wake: Nanos,
    /// When to ask for the list, if it must be asked for.
    pub(crate) ask_at: Option<Nanos>,
    pub(crate) ask_wait: Nanos,
    /// Operations a second that a unit of listed weight could do, at its best lately.
    pub(crate) best_yield: Decay,
    /// The most listed weight that was ever ready.
    pub(crate) most_listed: f64,
    /// Operations a second that all joined proxies usually get.
    pub(crate) usual: f64,
    pub(crate) channel: Channel,
    /// What was refused of late.
    pub(crate) refused: BTreeMap<Subject, Refusal>,
    /// What has changed since that was last asked for.
    transitions: Vec<Transition>,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let row = |class: &ClassSettings| ClassRow {
            importance: class.importance,
            placement: Placement { zones: class.only_zones.clone(), kinds: class.only_kinds.clone() },
            home_only: class.home_only,
        };
        let goals = settings.classes.iter().map(|class| class.latency_goal.secs());
        Controller {
            rng: Pcg32::seed_from_u64(seed),
            born: now,
            now,
            classes: settings.classes.iter().map(row).collect(),
            goals: (goals.clone().fold(f64::INFINITY, f64::min), goals.fold(0.0, f64::max)),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            groups: Vec::new(),
            placements: vec![Placement::default()],
            tables: BTreeMap::new(),
            steps_left: 0,
            next_step: now,
            next_pace: now,
            next_wake: now,
            ask_at: settings.list_on_request.then_some(now),
            ask_wait: Nanos(0),
            best_yield: Decay::default(),
            most_listed: 0.0,
            usual: 0.0,
            channel: Channel::new(now),
            refused: BTreeMap::new(),
            transitions: Vec::new(),
            settings,
        }
    }

    /// Keeps a change for whoever looks on; beyond what is kept nobody has looked for long.
    pub(crate) fn note_transition(&mut self, transition: Transition) {
        if self.transitions.len() < TRANSITIONS_KEPT {
            self.transitions.push(transition);
        }
    }

    /// What has changed since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// What is believed of load and health, to be held against what passes.
    pub fn beliefs(&self) -> Vec<GroupView> {
        let view = |group: &Group| GroupView {
            zone: group.zone,
            load: group.load,
            limit: group.limit,
            arrives: group.arrivals.iter().flatten().sum(),
            handled: group.seen.handled,
            wait: group.seen.wait(),
            unanswered: group.seen.share(),
            busy: group.busy,
            weight: group.weight,
            listed: group.listed,
            members: {
                let all = group.members.iter().map(|id| (id, &self.servers[id]));
                let ready = all.filter(|(_, server)| server.ready());
                ready.map(|(id, server)| (id.clone(), server.state, server.pace)).collect()
            },
        };
        self.groups.iter().map(view).collect()
    }

    /// Servers that are remembered, those lately gone included.
    pub fn servers_known(&self) -> usize {
        self.servers.len()
    }

    /// Operations a second that a unit of listed weight could do, at its best lately.
    pub fn best_yield(&self) -> f64 {
        self.best_yield.read(self.now)
    }

    /// Where a class may run for proxies of a zone, by its place among the placements met so far.
    pub(crate) fn place_of(&mut self, class: usize, zone: ZoneId) -> usize {
        let row = &self.classes[class];
        let zones = if row.home_only { vec![zone] } else { row.placement.zones.clone() };
        let placement = Placement { zones, kinds: row.placement.kinds.clone() };
        self.placements.iter().position(|known| *known == placement).unwrap_or_else(|| {
            self.placements.push(placement);
            self.placements.len() - 1
        })
    }

    /// The proxies that hold each table.
    pub(crate) fn users(&self) -> BTreeMap<TableId, BTreeSet<ProxyId>> {
        let mut users: BTreeMap<TableId, BTreeSet<ProxyId>> = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            for table in proxy.bindings.iter().filter_map(|binding| binding.sent) {
                users.entry(table).or_default().insert(*id);
            }
        }
        users
    }

    /// Takes back what an order that was refused was held to have left at the proxies.
    pub(crate) fn note_refused(&mut self, order: &Order) {
        match order {
            Order::Line { table, server, .. } => self.tables.entry(*table).or_default().unset_line(server),
            Order::Level { table, classes, .. } => {
                let levels = &mut self.tables.entry(*table).or_default().levels;
                levels.retain(|class, _| !classes.has(ClassId(*class as u8)));
            }
            Order::Bind { proxy, classes, table } => {
                let bindings = self.proxies.get_mut(proxy).into_iter().flat_map(|proxy| &mut proxy.bindings);
                let named = bindings.enumerate().filter(|(class, _)| classes.has(ClassId(*class as u8)));
                for (_, binding) in named.filter(|(_, binding)| binding.sent == Some(*table)) {
                    binding.sent = None;
                }
            }
            Order::Probe { .. } | Order::Mark { .. } | Order::WatchList | Order::Wake { .. } => {}
        }
    }

    /// Keeps what an order leaves at the proxies, and tells its lines and the proxies it reaches.
    pub(crate) fn note_sent(
        &mut self,
        order: &Order,
        users: &mut BTreeMap<TableId, BTreeSet<ProxyId>>,
    ) -> (usize, BTreeSet<ProxyId>) {
        match order {
            Order::Line { table, server, weight } => {
                let held = self.tables.entry(*table).or_default();
                let was_empty = held.lines.is_empty();
                held.set_line(server, *weight);
                match (was_empty, held.lines.is_empty()) {
                    (true, false) => self.note_transition(Transition::TableFilled { table: *table }),
                    (false, true) => self.note_transition(Transition::TableEmptied { table: *table }),
                    (true, true) | (false, false) => {}
                }
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Level { table, classes, level, tries } => {
                let class = classes.0.trailing_zeros() as usize;
                self.tables.entry(*table).or_default().levels.insert(class, (*level, *tries));
                (1, users.get(table).cloned().unwrap_or_default())
            }
            Order::Bind { proxy, classes, table } => {
                let bindings = self.proxies.get_mut(proxy).into_iter().flat_map(|proxy| &mut proxy.bindings);
                let bound = bindings.enumerate().filter(|(class, _)| classes.has(ClassId(*class as u8)));
                bound.for_each(|(_, binding)| binding.sent = Some(*table));
                users.entry(*table).or_default().insert(*proxy);
                let sent = self.tables.entry(*table).or_default();
                (1 + sent.lines.len() + sent.levels.len(), BTreeSet::from([*proxy]))
            }
            Order::Probe { .. } | Order::Mark { .. } | Order::WatchList | Order::Wake { .. } => {
                (0, BTreeSet::new())
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_sent_waits_for_marks_where_the_channel_runs_slowly() {
        let secs = Nanos::from_secs;
        let mut channel = Channel::new(secs(0.0));
        let mark = channel.send(secs(0.0), 600.0, 4.0, 500.0).expect("enough to be marked");
        assert_eq!(channel.send(secs(0.1), 90.0, 4.0, 500.0), None, "too little for a mark");
        channel.drain(secs(1.0), 1e6);
        assert_eq!(channel.queued, 0.0, "by the told pace nothing waits");
        assert_eq!(channel.unapplied(secs(1.0), secs(10.0)), 604.0);
        channel.applied(mark);
        assert_eq!(channel.unapplied(secs(1.0), secs(10.0)), 453.0, "three messages of four");
        assert_eq!(channel.unapplied(secs(11.0), secs(10.0)), 0.0, "answers so late are lost");
    }
}
