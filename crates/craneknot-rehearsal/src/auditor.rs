//! Checks the rules. It uses only the limits of the rules and the record of the traffic on the sockets, and is
//! independent of how the coordinator, the agents and the simulated parties work.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use craneknot::interface::Nanos;
use serde::Serialize;

use crate::record::{EndedAs, OpId, Record, What};

/// What the auditor must know of the fleet.
#[derive(Clone, Debug)]
pub struct AuditSettings {
    pub bare_limit: Nanos,
    pub drain_grace: Nanos,
    pub cold_share: f64,
    pub warm_after: Nanos,
    pub fall_multiple: f64,
    pub fall_window: Nanos,
    pub lines_limit: f64,
    pub classes: Vec<AuditedClass>,
    pub servers: Vec<AuditedServer>,
    /// The zone of each proxy.
    pub proxies: Vec<usize>,
    /// How long coordinators may take to settle; `None`: capacities are not checked.
    pub settle: Option<Nanos>,
}

/// What the auditor must know of a class.
#[derive(Clone, Debug)]
pub struct AuditedClass {
    pub name: String,
    pub importance: f64,
    pub repeats: craneknot::interface::Repeats,
    /// Servers where operations of the class may run.
    pub allowed: BTreeSet<usize>,
}

/// What the auditor must know of a server.
#[derive(Clone, Debug)]
pub struct AuditedServer {
    /// Work per second when warm, s.
    pub capacity: f64,
    pub cell: i64,
    pub zone: usize,
}

/// The rules that a rehearsal is checked against; see [`Rule::title`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    NobodyBare,
    NoEffectTwice,
    DrainsKept,
    NoColdPushedOver,
    ShortQueue,
    Placement,
    NoTornRead,
    NoOlderEpoch,
    WithinCapacity,
}

impl Rule {
    pub const ALL: [Rule; 9] = [
        Rule::NobodyBare,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::NoColdPushedOver,
        Rule::ShortQueue,
        Rule::Placement,
        Rule::NoTornRead,
        Rule::NoOlderEpoch,
        Rule::WithinCapacity,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Rule::NobodyBare => "nobody left without a server",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains kept within the grace",
            Rule::NoColdPushedOver => "no cold server pushed over",
            Rule::ShortQueue => "the queue stays short",
            Rule::Placement => "only where allowed",
            Rule::NoTornRead => "no torn table read",
            Rule::NoOlderEpoch => "no order of a former coordinator",
            Rule::WithinCapacity => "no server over its capacity",
        }
    }
}

/// How often a rule was checked and broken, and the first break.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub checks: u64,
    pub breaks: u64,
    pub first: Option<String>,
    /// The nearest approach to a break, as a share of the limit (1 is the limit); `None` where no measure exists.
    pub nearest: Option<f64>,
}

impl Verdict {
    fn check(&mut self) {
        self.checks += 1;
    }

    fn record_nearness(&mut self, part: f64) {
        self.nearest = Some(self.nearest.map_or(part, |nearest| nearest.max(part)));
    }

    fn fail(&mut self, evidence: impl FnOnce() -> String) {
        self.breaks += 1;
        if self.first.is_none() {
            self.first = Some(evidence());
        }
    }
}

/// The operations requested and their outcomes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub asked: u64,
    pub in_goal: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub given_up: u64,
    /// Importance of the operations answered within the goal, as a share of the importance of all.
    pub service: f64,
    /// The same in the worst ten seconds.
    pub worst_window: f64,
    pub by_class: BTreeMap<String, f64>,
    pub latency_p50_ms: f64,
    pub latency_p99_ms: f64,
    pub torn_reads: u64,
    pub swaps: u64,
    pub never_twice_run_twice: u64,
    /// Intervals of proxies from the end of a stream to the first swap through the next stream.
    pub unled: u64,
    pub unled_p50_ms: f64,
    pub unled_p99_ms: f64,
    pub unled_most_ms: f64,
    /// Tries, and those among them that crossed zones.
    pub sent: u64,
    pub crossed: u64,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Judgement {
    pub rules: BTreeMap<Rule, Verdict>,
    pub service: Service,
}

/// A server's state in the list, or as known to a coordinator.
#[derive(Clone, Copy, Default)]
struct KnownState {
    /// The time since which nothing may be sent to the server.
    lost: Option<Nanos>,
    /// The start that the list shows, and the time since which it shows it.
    started: Option<(Nanos, Nanos)>,
    listed: bool,
}

#[derive(Default)]
struct Proxy {
    up: bool,
    joined: Option<(usize, Nanos)>,
    lines: BTreeMap<usize, Vec<usize>>,
    swapped: Nanos,
    missing_since: BTreeMap<usize, Nanos>,
    epoch: u64,
    disconnected_since: Option<Nanos>,
}

#[derive(Default)]
struct Coordinator {
    up: bool,
    stalled: bool,
    known: Vec<KnownState>,
}

#[derive(Default)]
struct ColdServer {
    since: Option<Nanos>,
    /// Arrival time, work, and whether the sender knew of the server's start.
    recent: VecDeque<(Nanos, f64, bool)>,
    overloaded: bool,
}

/// Work that arrived at a server in the current second.
#[derive(Clone, Copy, Default)]
struct Load {
    slot: u64,
    work: f64,
    /// Current share of the server's full speed.
    speed: f64,
    /// When the server started; `None`: long ago.
    started: Option<Nanos>,
    /// The server was down or changed its speed within the second.
    changed: bool,
}

const INFORMED_SHARE: f64 = 2.0 / 3.0; // of the work must come from informed senders for an overload to count as a break
const CAPACITY_INTERVAL: Nanos = Nanos::from_millis(1_000); // interval over which work is compared with capacity
const SERVICE_WINDOW: Nanos = Nanos::from_millis(10_000); // the length of the worst window

struct Audit<'a> {
    settings: &'a AuditSettings,
    judgement: Judgement,
    list: Vec<KnownState>,
    list_unavailable: bool,
    proxies: Vec<Proxy>,
    coordinators: BTreeMap<usize, Coordinator>,
    cold: Vec<ColdServer>,
    loads: Vec<Load>,
    /// The time until which coordinators may still be settling.
    settling_until: Nanos,
    ran: HashMap<(OpId, u32), (usize, u32)>,
    /// Executions of an operation over all attempts of the client.
    ran_ever: HashMap<OpId, u32>,
    windows: BTreeMap<u64, (f64, f64)>,
    asked_at: HashMap<OpId, Nanos>,
    latencies: Vec<u64>,
    reconnect_times: Vec<u64>,
    classes: BTreeMap<usize, (f64, f64)>,
    now: Nanos,
    begin: Nanos,
}

/// Audits a record, which is ordered by time.
pub fn judge(settings: &AuditSettings, records: &[Record]) -> Judgement {
    let mut audit = Audit {
        settings,
        judgement: Judgement::default(),
        list: vec![KnownState::default(); settings.servers.len()],
        list_unavailable: false,
        proxies: settings.proxies.iter().map(|_| Proxy::default()).collect(),
        loads: vec![Load { speed: 1.0, ..Load::default() }; settings.servers.len()],
        settling_until: Nanos(0),
        coordinators: BTreeMap::new(),
        cold: settings.servers.iter().map(|_| ColdServer::default()).collect(),
        ran: HashMap::new(),
        ran_ever: HashMap::new(),
        windows: BTreeMap::new(),
        asked_at: HashMap::new(),
        latencies: Vec::new(),
        reconnect_times: Vec::new(),
        classes: BTreeMap::new(),
        now: Nanos(0),
        begin: records.first().map_or(Nanos(0), |record| record.at),
    };
    // Capacities are checked only where the script asks for it.
    let judged = |rule: &Rule| *rule != Rule::WithinCapacity || settings.settle.is_some();
    Rule::ALL.into_iter().filter(judged).for_each(|rule| {
        audit.judgement.rules.insert(rule, Verdict::default());
    });
    for record in records {
        audit.now = record.at;
        audit.apply(&record.what);
    }
    audit.check_missing_lines();
    (0..settings.servers.len()).for_each(|server| audit.check_second(server));
    audit.finish()
}

impl Audit<'_> {
    fn rule(&mut self, rule: Rule) -> &mut Verdict {
        self.judgement.rules.entry(rule).or_default()
    }

    fn time(&self) -> String {
        format!("at {:.3} s", (self.now - self.begin).secs())
    }

    fn apply(&mut self, what: &What) {
        match what {
            What::Rostered { servers } => {
                self.check_missing_lines();
                self.list_unavailable = false;
                let mut list = vec![KnownState::default(); self.settings.servers.len()];
                for listed in servers {
                    let known = &mut list[listed.server];
                    known.listed = true;
                    known.started = listed.started.map(|started| (started, self.now));
                    known.lost = listed.draining.then_some(self.now);
                }
                list.iter_mut().filter(|known| !known.listed).for_each(|known| known.lost = Some(self.now));
                self.list = list;
                self.notify_coordinators();
                self.check_missing_lines();
            }
            What::RosterGone => self.list_unavailable = true,
            What::Coordinator { coordinator, up } => {
                let state = self.coordinators.entry(*coordinator).or_default();
                (state.up, state.stalled) = (*up, false);
                if !up {
                    state.known.clear();
                }
                self.notify_coordinators();
            }
            What::Stalled { coordinator, on } => {
                self.coordinators.entry(*coordinator).or_default().stalled = *on;
                self.notify_coordinators();
            }
            What::Joined { proxy, coordinator } => {
                self.check_missing_lines_among(*proxy..*proxy + 1);
                self.proxies[*proxy].joined = Some((*coordinator, self.now));
                self.check_missing_lines_among(*proxy..*proxy + 1);
            }
            What::Left { proxy, coordinator } => {
                self.check_missing_lines_among(*proxy..*proxy + 1);
                let state = &mut self.proxies[*proxy];
                if state.joined.is_some_and(|(of, _)| of == *coordinator) {
                    state.disconnected_since = state.disconnected_since.or(Some(self.now));
                    state.joined = None;
                }
                self.check_missing_lines_among(*proxy..*proxy + 1);
            }
            What::Queue { coordinator, lines, most } => {
                // These records are periodic: a server that has become warm is considered by the next one.
                self.check_missing_lines();
                let limit = self.settings.lines_limit;
                let (time, worst) = (self.time(), lines.max(*most));
                let verdict = self.rule(Rule::ShortQueue);
                verdict.check();
                verdict.record_nearness(worst / limit);
                if worst > limit {
                    verdict.fail(|| {
                        format!("coordinator {coordinator} held {worst} lines of {limit}, seen {time}")
                    });
                }
            }
            What::Swapped { proxy, lines, epoch } => {
                self.check_epoch(*proxy, *epoch);
                self.judgement.service.swaps += 1;
                self.check_missing_lines_among(*proxy..*proxy + 1);
                let state = &mut self.proxies[*proxy];
                state.lines.clone_from(lines);
                state.swapped = self.now;
                self.check_missing_lines_among(*proxy..*proxy + 1);
                self.rule(Rule::NoTornRead).check();
                self.check_lines(*proxy);
            }
            What::Torn { proxy, cause } => {
                self.judgement.service.torn_reads += 1;
                let time = self.time();
                let verdict = self.rule(Rule::NoTornRead);
                verdict.check();
                verdict.fail(|| format!("proxy {proxy} read a torn file {time}: {cause}"));
            }
            What::Proxy { proxy, up } => {
                self.check_missing_lines_among(*proxy..*proxy + 1);
                self.proxies[*proxy].up = *up;
                self.check_missing_lines_among(*proxy..*proxy + 1);
            }
            What::Sent { proxy, server, op, class, .. } => self.check_sent(*proxy, *server, *op, *class),
            What::Arrived { server, proxy, op, class, work, .. } => {
                let allowed = self.settings.classes[*class].allowed.contains(server);
                let time = self.time();
                let name = &self.settings.classes[*class].name;
                let verdict = self.rule(Rule::Placement);
                verdict.check();
                if !allowed {
                    verdict.fail(|| format!("operation {} of {name} came to server {server} {time}", op.0));
                }
                self.check_cold_server(*server, *proxy, work.secs());
                self.add_load(*server, work.secs());
            }
            What::Ran { server, op, attempt, class } => self.check_run(*server, *op, *attempt, *class),
            What::Started { server } => {
                self.cold[*server] = ColdServer { since: Some(self.now), ..ColdServer::default() };
                self.capacity_changed(*server, 1.0, Some(self.now));
                self.rule(Rule::NoColdPushedOver).check();
            }
            What::Stopped { server } => {
                self.cold[*server] = ColdServer::default();
                self.capacity_changed(*server, 1.0, None);
            }
            What::Slowed { server, factor } => {
                let started = self.loads[*server].started;
                self.capacity_changed(*server, 1.0 / factor.max(1e-9), started);
            }
            // The simulated machine's own verdict is ignored: the work that arrived is evaluated here independently.
            What::Fell { .. } => {}
            What::Tried { .. } => {}
            What::Asked { op, class, .. } => {
                self.judgement.service.asked += 1;
                if self.judgement.service.asked == 1 {
                    self.settling_until =
                        self.settling_until.max(self.now + self.settings.settle.unwrap_or_default());
                }
                self.asked_at.insert(*op, self.now);
                let importance = self.settings.classes[*class].importance;
                self.window(self.now).0 += importance;
                self.classes.entry(*class).or_default().0 += importance;
            }
            What::Ended { op, class, how, took } => self.ended(*op, *class, *how, *took),
        }
    }

    /// Updates what each running coordinator knows from the list; a stopped one is notified when it continues.
    fn notify_coordinators(&mut self) {
        if self.list_unavailable {
            return;
        }
        for state in self.coordinators.values_mut().filter(|state| state.up && !state.stalled) {
            state.known.resize(self.list.len(), KnownState::default());
            for (known, entry) in state.known.iter_mut().zip(&self.list) {
                let lost = entry.lost.map(|_| known.lost.unwrap_or(self.now));
                let same =
                    |(started, _): &(Nanos, Nanos)| entry.started.is_some_and(|(entry, _)| entry == *started);
                let started =
                    known.started.filter(same).or(entry.started.map(|(started, _)| (started, self.now)));
                *known = KnownState { lost, started, listed: entry.listed };
            }
        }
    }

    /// A proxy that has applied an epoch must not apply an earlier one, not even after a restart.
    fn check_epoch(&mut self, proxy: usize, epoch: u64) {
        let time = self.time();
        let state = &mut self.proxies[proxy];
        if let Some(since) = state.disconnected_since.filter(|_| state.joined.is_some()) {
            state.disconnected_since = None;
            self.reconnect_times.push((self.now - since).0);
        }
        let before = state.epoch;
        state.epoch = before.max(epoch);
        let verdict = self.rule(Rule::NoOlderEpoch);
        verdict.check();
        if epoch < before {
            verdict.fail(|| format!("proxy {proxy} followed epoch {epoch} after {before} {time}"));
        }
    }

    fn known_state(&self, proxy: usize, server: usize) -> Option<(KnownState, Nanos)> {
        let (coordinator, since) = self.proxies[proxy].joined?;
        let known = self.coordinators.get(&coordinator)?.known.get(server)?;
        Some((*known, since))
    }

    fn check_sent(&mut self, proxy: usize, server: usize, op: OpId, class: usize) {
        let grace = self.settings.drain_grace;
        let time = self.time();
        let known = self.known_state(proxy, server);
        let now = self.now;
        let crosses = self.settings.proxies[proxy] != self.settings.servers[server].zone;
        self.judgement.service.sent += 1;
        self.judgement.service.crossed += u64::from(crosses);
        let name = &self.settings.classes[class].name;
        let verdict = self.rule(Rule::DrainsKept);
        verdict.check();
        let Some((KnownState { lost: Some(lost), .. }, joined)) = known else { return };
        let late = now - lost.max(joined);
        verdict.record_nearness(late.secs() / grace.secs());
        if late > grace {
            verdict.fail(|| {
                let late = late.secs();
                format!("operation {} of {name} sent by proxy {proxy} to server {server} {time}, {late:.3} s after", op.0)
            });
        }
    }

    fn check_run(&mut self, server: usize, op: OpId, attempt: u32, class: usize) {
        use craneknot::interface::Repeats;
        let (cell, repeats) = (self.settings.servers[server].cell, self.settings.classes[class].repeats);
        let time = self.time();
        let name = &self.settings.classes[class].name;
        let first = self.ran.entry((op, attempt)).or_insert((server, 0));
        first.1 += 1;
        let (first_server, times) = *first;
        let other_cell = self.settings.servers[first_server].cell != cell;
        let runs = self.ran_ever.entry(op).or_insert(0);
        *runs += 1;
        let repeated = repeats == Repeats::Never && *runs > 1;
        let verdict = self.judgement.rules.entry(Rule::NoEffectTwice).or_default();
        verdict.check();
        let broken = match repeats {
            Repeats::Safe => false,
            Repeats::Guarded => times > 1 && other_cell,
            Repeats::Never => times > 1,
        };
        if repeated {
            self.judgement.service.never_twice_run_twice += 1;
        }
        if broken {
            verdict.fail(|| {
                format!(
                    "operation {} of {name} ran at server {first_server} and again at {server} {time}",
                    op.0
                )
            });
        }
    }

    /// Checks work that arrives at a possibly cold server against what the server can handle in a window.
    fn check_cold_server(&mut self, server: usize, proxy: usize, work: f64) {
        let Some(since) = self.cold[server].since else { return };
        let age = self.now - since;
        if age >= self.settings.warm_after {
            self.cold[server].since = None;
            return;
        }
        let informed = (proxy < self.proxies.len()) && {
            let swapped = self.proxies[proxy].swapped;
            self.known_state(proxy, server)
                .and_then(|(known, _)| known.started)
                .is_some_and(|(_, known)| swapped >= known || self.now - known >= self.settings.drain_grace)
        };
        let window = self.settings.fall_window;
        let warmth = self.settings.cold_share
            + (1.0 - self.settings.cold_share) * (age.secs() / self.settings.warm_after.secs()).min(1.0);
        let budget =
            self.settings.fall_multiple * self.settings.servers[server].capacity * warmth * window.secs();
        let (now, time) = (self.now, self.time());
        let cold = &mut self.cold[server];
        cold.recent.push_back((now, work, informed));
        while cold.recent.front().is_some_and(|(at, ..)| now - *at > window) {
            cold.recent.pop_front();
        }
        let all: f64 = cold.recent.iter().map(|(_, work, _)| work).sum();
        let known: f64 = cold.recent.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        let overloaded = all > budget && known >= INFORMED_SHARE * all;
        let first = overloaded && !cold.overloaded;
        cold.overloaded |= overloaded;
        let verdict = self.rule(Rule::NoColdPushedOver);
        verdict.check();
        verdict.record_nearness(known / budget);
        if first {
            verdict.fail(|| {
                format!(
                    "server {server}, cold for {:.1} s, was sent {all:.2} s of work for {budget:.2} {time}",
                    age.secs()
                )
            });
        }
    }

    /// A server's capacity has changed: coordinators are given time to settle again.
    fn capacity_changed(&mut self, server: usize, speed: f64, started: Option<Nanos>) {
        self.check_second(server);
        let load = &mut self.loads[server];
        (load.speed, load.started, load.changed) = (speed, started, true);
        self.settling_until = self.now + self.settings.settle.unwrap_or_default();
    }

    fn add_load(&mut self, server: usize, work: f64) {
        if self.settings.settle.is_none() {
            return;
        }
        let slot = (self.now - self.begin).0 / CAPACITY_INTERVAL.0;
        if slot != self.loads[server].slot {
            self.check_second(server);
            let load = &mut self.loads[server];
            (load.slot, load.work, load.changed) = (slot, 0.0, false);
        }
        self.loads[server].work += work;
    }

    /// At the end of a second, checks whether a server was sent more work than its capacity.
    fn check_second(&mut self, server: usize) {
        let load = self.loads[server];
        let begun = self.begin + Nanos(load.slot * CAPACITY_INTERVAL.0);
        let cold = load.started.is_some_and(|started| begun - started < self.settings.warm_after);
        let settling = begun < self.settling_until && !cold;
        if self.settings.settle.is_none() || load.work <= 0.0 || load.changed || settling {
            return;
        }
        // The lowest warmth of a cold server, taken at the middle of the second.
        let age = load.started.map(|started| (begun + Nanos(CAPACITY_INTERVAL.0 / 2) - started).secs());
        let part = age.map_or(1.0, |age| (age / self.settings.warm_after.secs().max(1e-9)).min(1.0));
        let warmth = self.settings.cold_share + (1.0 - self.settings.cold_share) * part;
        let capacity =
            self.settings.servers[server].capacity * warmth * load.speed * CAPACITY_INTERVAL.secs();
        let at = (begun - self.begin).secs();
        self.loads[server].work = 0.0;
        let verdict = self.rule(Rule::WithinCapacity);
        verdict.check();
        verdict.record_nearness(load.work / capacity.max(1e-9));
        if load.work > capacity {
            let cold = if cold { ", cold," } else { "" };
            verdict.fail(|| {
                format!("server {server}{cold} was sent {:.2} s of work for {capacity:.2} in the second from {at:.0} s", load.work)
            });
        }
    }

    /// For each joined proxy and class: checks how long it has had no line although an open server, cold or warm, was
    /// listed.
    fn check_missing_lines(&mut self) {
        self.check_missing_lines_among(0..self.proxies.len());
    }

    /// The same for a range of proxies: an event of one proxy changes nothing for the others.
    fn check_missing_lines_among(&mut self, range: std::ops::Range<usize>) {
        let now = self.now;
        let limit = self.settings.bare_limit;
        let is_open = |known: &KnownState| known.listed && known.lost.is_none();
        let open: Vec<usize> = self
            .list
            .iter()
            .enumerate()
            .filter(|(_, known)| is_open(known))
            .map(|(server, _)| server)
            .collect();
        let classes = self.settings.classes.iter();
        let served: Vec<bool> =
            classes.map(|class| open.iter().any(|server| class.allowed.contains(server))).collect();
        let begin = self.begin;
        let verdict = self.judgement.rules.entry(Rule::NobodyBare).or_default();
        let from = range.start;
        for (index, proxy) in self.proxies[range].iter_mut().enumerate() {
            let index = from + index;
            for (class, served) in served.iter().enumerate() {
                let lines = proxy.lines.get(&class).is_some_and(|lines| !lines.is_empty());
                let missing = proxy.up && proxy.joined.is_some() && *served && !lines;
                verdict.check();
                match (missing, proxy.missing_since.get(&class).copied()) {
                    (true, None) => {
                        proxy.missing_since.insert(class, now);
                    }
                    (true, Some(since)) => verdict.record_nearness((now - since).secs() / limit.secs()),
                    (false, Some(since)) => {
                        proxy.missing_since.remove(&class);
                        verdict.record_nearness((now - since).secs() / limit.secs());
                    }
                    (false, None) => {}
                }
                let since = proxy.missing_since.get(&class).copied();
                if since.is_some_and(|since| now - since > limit) {
                    let name = &self.settings.classes[class].name;
                    let since = since.unwrap_or(now);
                    verdict.fail(|| {
                        let (from, to) = ((since - begin).secs(), (now - begin).secs());
                        format!("proxy {index} had no server for {name} from {from:.3} s to {to:.3} s")
                    });
                    // Counted once per interval of the limit.
                    proxy.missing_since.insert(class, now);
                }
            }
        }
    }

    /// After a swap, checks the proxy's new lines against the rules on placement and drains.
    fn check_lines(&mut self, proxy: usize) {
        let time = self.time();
        let lines = self.proxies[proxy].lines.clone();
        for (class, servers) in lines {
            for server in servers {
                let allowed = self.settings.classes[class].allowed.contains(&server);
                let name = self.settings.classes[class].name.clone();
                let verdict = self.rule(Rule::Placement);
                verdict.check();
                if !allowed {
                    verdict.fail(|| format!("proxy {proxy} was given server {server} for {name} {time}"));
                }
                let known = self.known_state(proxy, server);
                let (now, grace) = (self.now, self.settings.drain_grace);
                let verdict = self.rule(Rule::DrainsKept);
                verdict.check();
                if let Some((KnownState { lost: Some(lost), .. }, joined)) = known {
                    if now - lost.max(joined) > grace {
                        verdict.fail(|| {
                            format!("proxy {proxy} was given server {server} {time}, lost long before")
                        });
                    }
                }
            }
        }
    }

    fn window(&mut self, at: Nanos) -> &mut (f64, f64) {
        self.windows.entry((at - self.begin).0 / SERVICE_WINDOW.0).or_default()
    }

    fn ended(&mut self, op: OpId, class: usize, how: EndedAs, took: Nanos) {
        let service = &mut self.judgement.service;
        match how {
            EndedAs::InGoal => service.in_goal += 1,
            EndedAs::Late => service.late += 1,
            EndedAs::Refused => service.refused += 1,
            EndedAs::Failed => service.failed += 1,
            EndedAs::GivenUp => service.given_up += 1,
        }
        if matches!(how, EndedAs::InGoal | EndedAs::Late) {
            self.latencies.push(took.0);
        }
        let importance = self.settings.classes[class].importance;
        if let (EndedAs::InGoal, Some(asked)) = (how, self.asked_at.remove(&op)) {
            self.window(asked).1 += importance;
            self.classes.entry(class).or_default().1 += importance;
        }
    }

    fn finish(mut self) -> Judgement {
        let ratio = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let add = |sum: (f64, f64), part: &(f64, f64)| (sum.0 + part.0, sum.1 + part.1);
        let total = self.classes.values().fold((0.0, 0.0), add);
        // Windows with 1 % or less of the demand are left out: the last one may be very short.
        let full = self.windows.values().filter(|(asked, _)| *asked > total.0 / 100.0);
        let service = &mut self.judgement.service;
        service.service = ratio(total);
        service.worst_window = full.map(|window| ratio(*window)).fold(1.0, f64::min);
        let name = |class: usize| self.settings.classes[class].name.clone();
        service.by_class = self.classes.iter().map(|(class, sums)| (name(*class), ratio(*sums))).collect();
        self.latencies.sort_unstable();
        let at = |part: f64| {
            let index = (self.latencies.len() as f64 * part) as usize;
            self.latencies
                .get(index.min(self.latencies.len().saturating_sub(1)))
                .map_or(0.0, |nanos| *nanos as f64 / 1e6)
        };
        (service.latency_p50_ms, service.latency_p99_ms) = (at(0.5), at(0.99));
        self.reconnect_times.sort_unstable();
        let unled = |part: f64| {
            let index = (self.reconnect_times.len().saturating_sub(1) as f64 * part) as usize;
            self.reconnect_times.get(index).map_or(0.0, |nanos| *nanos as f64 / 1e6)
        };
        service.unled = self.reconnect_times.len() as u64;
        (service.unled_p50_ms, service.unled_p99_ms, service.unled_most_ms) =
            (unled(0.5), unled(0.99), unled(1.0));
        self.judgement
    }
}
