//! The judge of the rules. It knows the rules' figures and the record of what crossed the sockets, and nothing of
//! how the coordinator, the agents or the stand-ins work.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use craneknot::interface::Nanos;
use serde::Serialize;

use crate::record::{EndedAs, OpId, Record, What};

/// What the auditor must know of the fleet.
#[derive(Clone, Debug)]
pub struct Terms {
    pub bare_limit: Nanos,
    pub drain_grace: Nanos,
    pub cold_share: f64,
    pub warm_after: Nanos,
    pub fall_multiple: f64,
    pub fall_window: Nanos,
    pub lines_limit: f64,
    pub classes: Vec<ClassTerms>,
    pub servers: Vec<ServerTerms>,
    /// The zone of each.
    pub proxies: Vec<usize>,
    /// How long coordinators may take to settle; nothing: capacities are not judged.
    pub settle: Option<Nanos>,
}

#[derive(Clone, Debug)]
pub struct ClassTerms {
    pub name: String,
    pub importance: f64,
    pub repeats: craneknot::interface::Repeats,
    /// Servers where it may run.
    pub allowed: BTreeSet<usize>,
}

#[derive(Clone, Debug)]
pub struct ServerTerms {
    /// Work a second when warm, s.
    pub capacity: f64,
    pub cell: i64,
    pub zone: usize,
}

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

/// How often a rule was looked at, how often it was broken, and the first break.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub checks: u64,
    pub breaks: u64,
    pub first: Option<String>,
    /// How near it came to a break: 1 is the limit. Nothing where that has no measure.
    pub nearest: Option<f64>,
}

impl Verdict {
    fn check(&mut self) {
        self.checks += 1;
    }

    fn near(&mut self, part: f64) {
        self.nearest = Some(self.nearest.map_or(part, |nearest| nearest.max(part)));
    }

    fn broken(&mut self, evidence: impl FnOnce() -> String) {
        self.breaks += 1;
        if self.first.is_none() {
            self.first = Some(evidence());
        }
    }
}

/// What was asked and what came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub asked: u64,
    pub in_goal: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub given_up: u64,
    /// Importance answered within the goal over importance asked for.
    pub service: f64,
    /// The same in the worst ten seconds.
    pub worst_window: f64,
    pub by_class: BTreeMap<String, f64>,
    pub latency_p50_ms: f64,
    pub latency_p99_ms: f64,
    pub torn_reads: u64,
    pub swaps: u64,
    pub never_twice_run_twice: u64,
    /// Proxies' spans from the end of a stream to the first swap by the next one.
    pub unled: u64,
    pub unled_p50_ms: f64,
    pub unled_p99_ms: f64,
    pub unled_most_ms: f64,
    /// Tries, and those of them that went from one zone to another.
    pub sent: u64,
    pub crossed: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Judgement {
    pub rules: BTreeMap<Rule, Verdict>,
    pub service: Service,
}

#[derive(Clone, Copy, Default)]
struct Told {
    /// Not to be sent to, since then.
    lost: Option<Nanos>,
    /// The start that the list shows, and since when it does.
    started: Option<(Nanos, Nanos)>,
    listed: bool,
}

#[derive(Default)]
struct Proxy {
    up: bool,
    joined: Option<(usize, Nanos)>,
    lines: BTreeMap<usize, Vec<usize>>,
    swapped: Nanos,
    bare_since: BTreeMap<usize, Nanos>,
    epoch: u64,
    unled_since: Option<Nanos>,
}

#[derive(Default)]
struct Coordinator {
    up: bool,
    stalled: bool,
    told: Vec<Told>,
}

#[derive(Default)]
struct Cold {
    since: Option<Nanos>,
    /// When, how much work, and whether its sender knew of the start.
    recent: VecDeque<(Nanos, f64, bool)>,
    pushed: bool,
}

/// Work that came to a server in the second under way.
#[derive(Clone, Copy, Default)]
struct Load {
    slot: u64,
    work: f64,
    /// Part of its speed that it has.
    speed: f64,
    /// When it started; nothing: long ago.
    started: Option<Nanos>,
    /// It was down, or changed its speed, within the second.
    changed: bool,
}

const SERVERS_KNOW: f64 = 2.0 / 3.0; // share of the work, from senders that knew, that makes a fall a break
const SLOT: Nanos = Nanos::from_millis(1_000); // ms; the span in which a server must not be sent more than it can do
const WINDOW: Nanos = Nanos::from_millis(10_000); // ms; the span of the worst window

struct Audit<'a> {
    terms: &'a Terms,
    judgement: Judgement,
    list: Vec<Told>,
    list_gone: bool,
    proxies: Vec<Proxy>,
    coordinators: BTreeMap<usize, Coordinator>,
    cold: Vec<Cold>,
    loads: Vec<Load>,
    /// Until then coordinators settle.
    settles: Nanos,
    ran: HashMap<(OpId, u32), (usize, u32)>,
    /// Runs of an operation, whatever the client's attempt.
    ran_ever: HashMap<OpId, u32>,
    windows: BTreeMap<u64, (f64, f64)>,
    asked_at: HashMap<OpId, Nanos>,
    latencies: Vec<u64>,
    unled: Vec<u64>,
    classes: BTreeMap<usize, (f64, f64)>,
    now: Nanos,
    begin: Nanos,
}

/// Judges a record in the order of time.
pub fn judge(terms: &Terms, records: &[Record]) -> Judgement {
    let mut audit = Audit {
        terms,
        judgement: Judgement::default(),
        list: vec![Told::default(); terms.servers.len()],
        list_gone: false,
        proxies: terms.proxies.iter().map(|_| Proxy::default()).collect(),
        loads: vec![Load { speed: 1.0, ..Load::default() }; terms.servers.len()],
        settles: Nanos(0),
        coordinators: BTreeMap::new(),
        cold: terms.servers.iter().map(|_| Cold::default()).collect(),
        ran: HashMap::new(),
        ran_ever: HashMap::new(),
        windows: BTreeMap::new(),
        asked_at: HashMap::new(),
        latencies: Vec::new(),
        unled: Vec::new(),
        classes: BTreeMap::new(),
        now: Nanos(0),
        begin: records.first().map_or(Nanos(0), |record| record.at),
    };
    // Not every script has capacities judged.
    let judged = |rule: &Rule| *rule != Rule::WithinCapacity || terms.settle.is_some();
    Rule::ALL.into_iter().filter(judged).for_each(|rule| {
        audit.judgement.rules.insert(rule, Verdict::default());
    });
    for record in records {
        audit.now = record.at;
        audit.take(&record.what);
    }
    audit.look_for_bare();
    (0..terms.servers.len()).for_each(|server| audit.close_second(server));
    audit.close()
}

impl Audit<'_> {
    fn rule(&mut self, rule: Rule) -> &mut Verdict {
        self.judgement.rules.entry(rule).or_default()
    }

    fn moment(&self) -> String {
        format!("at {:.3} s", (self.now - self.begin).secs())
    }

    fn take(&mut self, what: &What) {
        match what {
            What::Rostered { servers } => {
                self.look_for_bare();
                self.list_gone = false;
                let mut list = vec![Told::default(); self.terms.servers.len()];
                for listed in servers {
                    let told = &mut list[listed.server];
                    told.listed = true;
                    told.started = listed.started.map(|started| (started, self.now));
                    told.lost = listed.draining.then_some(self.now);
                }
                list.iter_mut().filter(|told| !told.listed).for_each(|told| told.lost = Some(self.now));
                self.list = list;
                self.tell_all();
                self.look_for_bare();
            }
            What::RosterGone => self.list_gone = true,
            What::Coordinator { coordinator, up } => {
                let held = self.coordinators.entry(*coordinator).or_default();
                (held.up, held.stalled) = (*up, false);
                if !up {
                    held.told.clear();
                }
                self.tell_all();
            }
            What::Stalled { coordinator, on } => {
                self.coordinators.entry(*coordinator).or_default().stalled = *on;
                self.tell_all();
            }
            What::Joined { proxy, coordinator } => {
                self.look_for_bare_among(*proxy..*proxy + 1);
                self.proxies[*proxy].joined = Some((*coordinator, self.now));
                self.look_for_bare_among(*proxy..*proxy + 1);
            }
            What::Left { proxy, coordinator } => {
                self.look_for_bare_among(*proxy..*proxy + 1);
                let held = &mut self.proxies[*proxy];
                if held.joined.is_some_and(|(of, _)| of == *coordinator) {
                    held.unled_since = held.unled_since.or(Some(self.now));
                    held.joined = None;
                }
                self.look_for_bare_among(*proxy..*proxy + 1);
            }
            What::Queue { coordinator, lines, most } => {
                // It comes again and again: a server that has become warm shows by then.
                self.look_for_bare();
                let limit = self.terms.lines_limit;
                let (moment, worst) = (self.moment(), lines.max(*most));
                let verdict = self.rule(Rule::ShortQueue);
                verdict.check();
                verdict.near(worst / limit);
                if worst > limit {
                    verdict.broken(|| {
                        format!("coordinator {coordinator} held {worst} lines of {limit}, seen {moment}")
                    });
                }
            }
            What::Swapped { proxy, lines, epoch } => {
                self.epoch(*proxy, *epoch);
                self.judgement.service.swaps += 1;
                self.look_for_bare_among(*proxy..*proxy + 1);
                let held = &mut self.proxies[*proxy];
                held.lines.clone_from(lines);
                held.swapped = self.now;
                self.look_for_bare_among(*proxy..*proxy + 1);
                self.rule(Rule::NoTornRead).check();
                self.check_lines(*proxy);
            }
            What::Torn { proxy, cause } => {
                self.judgement.service.torn_reads += 1;
                let moment = self.moment();
                let verdict = self.rule(Rule::NoTornRead);
                verdict.check();
                verdict.broken(|| format!("proxy {proxy} read a torn file {moment}: {cause}"));
            }
            What::Proxy { proxy, up } => {
                self.look_for_bare_among(*proxy..*proxy + 1);
                self.proxies[*proxy].up = *up;
                self.look_for_bare_among(*proxy..*proxy + 1);
            }
            What::Sent { proxy, server, op, class, .. } => self.sent(*proxy, *server, *op, *class),
            What::Arrived { server, proxy, op, class, work, .. } => {
                let allowed = self.terms.classes[*class].allowed.contains(server);
                let moment = self.moment();
                let name = &self.terms.classes[*class].name;
                let verdict = self.rule(Rule::Placement);
                verdict.check();
                if !allowed {
                    verdict
                        .broken(|| format!("operation {} of {name} came to server {server} {moment}", op.0));
                }
                self.push(*server, *proxy, work.secs());
                self.load(*server, work.secs());
            }
            What::Ran { server, op, attempt, class } => self.ran(*server, *op, *attempt, *class),
            What::Started { server } => {
                self.cold[*server] = Cold { since: Some(self.now), ..Cold::default() };
                self.changed(*server, 1.0, Some(self.now));
                self.rule(Rule::NoColdPushedOver).check();
            }
            What::Stopped { server } => {
                self.cold[*server] = Cold::default();
                self.changed(*server, 1.0, None);
            }
            What::Slowed { server, factor } => {
                let started = self.loads[*server].started;
                self.changed(*server, 1.0 / factor.max(1e-9), started);
            }
            // The machine's own word; the work that came is weighed here anew.
            What::Fell { .. } => {}
            What::Tried { .. } => {}
            What::Asked { op, class, .. } => {
                self.judgement.service.asked += 1;
                if self.judgement.service.asked == 1 {
                    self.settles = self.settles.max(self.now + self.terms.settle.unwrap_or_default());
                }
                self.asked_at.insert(*op, self.now);
                let importance = self.terms.classes[*class].importance;
                self.window(self.now).0 += importance;
                self.classes.entry(*class).or_default().0 += importance;
            }
            What::Ended { op, class, how, took } => self.ended(*op, *class, *how, *took),
        }
    }

    /// What the list says reaches each coordinator that runs; one that is stopped learns of it when it goes on.
    fn tell_all(&mut self) {
        if self.list_gone {
            return;
        }
        for held in self.coordinators.values_mut().filter(|held| held.up && !held.stalled) {
            held.told.resize(self.list.len(), Told::default());
            for (told, news) in held.told.iter_mut().zip(&self.list) {
                let lost = news.lost.map(|_| told.lost.unwrap_or(self.now));
                let same =
                    |(started, _): &(Nanos, Nanos)| news.started.is_some_and(|(news, _)| news == *started);
                let started =
                    told.started.filter(same).or(news.started.map(|(started, _)| (started, self.now)));
                *told = Told { lost, started, listed: news.listed };
            }
        }
    }

    /// A proxy that has followed an epoch follows none before it, also after a restart.
    fn epoch(&mut self, proxy: usize, epoch: u64) {
        let moment = self.moment();
        let held = &mut self.proxies[proxy];
        if let Some(since) = held.unled_since.filter(|_| held.joined.is_some()) {
            held.unled_since = None;
            self.unled.push((self.now - since).0);
        }
        let before = held.epoch;
        held.epoch = before.max(epoch);
        let verdict = self.rule(Rule::NoOlderEpoch);
        verdict.check();
        if epoch < before {
            verdict.broken(|| format!("proxy {proxy} followed epoch {epoch} after {before} {moment}"));
        }
    }

    fn told(&self, proxy: usize, server: usize) -> Option<(Told, Nanos)> {
        let (coordinator, since) = self.proxies[proxy].joined?;
        let told = self.coordinators.get(&coordinator)?.told.get(server)?;
        Some((*told, since))
    }

    fn sent(&mut self, proxy: usize, server: usize, op: OpId, class: usize) {
        let grace = self.terms.drain_grace;
        let moment = self.moment();
        let told = self.told(proxy, server);
        let now = self.now;
        let crosses = self.terms.proxies[proxy] != self.terms.servers[server].zone;
        self.judgement.service.sent += 1;
        self.judgement.service.crossed += u64::from(crosses);
        let name = &self.terms.classes[class].name;
        let verdict = self.rule(Rule::DrainsKept);
        verdict.check();
        let Some((Told { lost: Some(lost), .. }, joined)) = told else { return };
        let late = now - lost.max(joined);
        verdict.near(late.secs() / grace.secs());
        if late > grace {
            verdict.broken(|| {
                let late = late.secs();
                format!("operation {} of {name} sent by proxy {proxy} to server {server} {moment}, {late:.3} s after", op.0)
            });
        }
    }

    fn ran(&mut self, server: usize, op: OpId, attempt: u32, class: usize) {
        use craneknot::interface::Repeats;
        let (cell, repeats) = (self.terms.servers[server].cell, self.terms.classes[class].repeats);
        let moment = self.moment();
        let name = &self.terms.classes[class].name;
        let first = self.ran.entry((op, attempt)).or_insert((server, 0));
        first.1 += 1;
        let (first_server, times) = *first;
        let other_cell = self.terms.servers[first_server].cell != cell;
        let runs = self.ran_ever.entry(op).or_insert(0);
        *runs += 1;
        let again_ever = repeats == Repeats::Never && *runs > 1;
        let verdict = self.judgement.rules.entry(Rule::NoEffectTwice).or_default();
        verdict.check();
        let broken = match repeats {
            Repeats::Safe => false,
            Repeats::Guarded => times > 1 && other_cell,
            Repeats::Never => times > 1,
        };
        if again_ever {
            self.judgement.service.never_twice_run_twice += 1;
        }
        if broken {
            verdict.broken(|| {
                format!(
                    "operation {} of {name} ran at server {first_server} and again at {server} {moment}",
                    op.0
                )
            });
        }
    }

    /// Work comes to a server that may be cold: it is weighed against what the server can bear in a window.
    fn push(&mut self, server: usize, proxy: usize, work: f64) {
        let Some(since) = self.cold[server].since else { return };
        let age = self.now - since;
        if age >= self.terms.warm_after {
            self.cold[server].since = None;
            return;
        }
        let knows = (proxy < self.proxies.len()) && {
            let swapped = self.proxies[proxy].swapped;
            self.told(proxy, server)
                .and_then(|(told, _)| told.started)
                .is_some_and(|(_, told)| swapped >= told || self.now - told >= self.terms.drain_grace)
        };
        let window = self.terms.fall_window;
        let warmth = self.terms.cold_share
            + (1.0 - self.terms.cold_share) * (age.secs() / self.terms.warm_after.secs()).min(1.0);
        let budget = self.terms.fall_multiple * self.terms.servers[server].capacity * warmth * window.secs();
        let (now, moment) = (self.now, self.moment());
        let cold = &mut self.cold[server];
        cold.recent.push_back((now, work, knows));
        while cold.recent.front().is_some_and(|(at, ..)| now - *at > window) {
            cold.recent.pop_front();
        }
        let all: f64 = cold.recent.iter().map(|(_, work, _)| work).sum();
        let known: f64 = cold.recent.iter().filter(|(.., knows)| *knows).map(|(_, work, _)| work).sum();
        let pushed = all > budget && known >= SERVERS_KNOW * all;
        let first = pushed && !cold.pushed;
        cold.pushed |= pushed;
        let verdict = self.rule(Rule::NoColdPushedOver);
        verdict.check();
        verdict.near(known / budget);
        if first {
            verdict.broken(|| {
                format!(
                    "server {server}, cold for {:.1} s, was sent {all:.2} s of work for {budget:.2} {moment}",
                    age.secs()
                )
            });
        }
    }

    /// What a server can do has changed: coordinators settle anew.
    fn changed(&mut self, server: usize, speed: f64, started: Option<Nanos>) {
        self.close_second(server);
        let load = &mut self.loads[server];
        (load.speed, load.started, load.changed) = (speed, started, true);
        self.settles = self.now + self.terms.settle.unwrap_or_default();
    }

    fn load(&mut self, server: usize, work: f64) {
        if self.terms.settle.is_none() {
            return;
        }
        let slot = (self.now - self.begin).0 / SLOT.0;
        if slot != self.loads[server].slot {
            self.close_second(server);
            let load = &mut self.loads[server];
            (load.slot, load.work, load.changed) = (slot, 0.0, false);
        }
        self.loads[server].work += work;
    }

    /// A second is over at a server: was more sent than it can do?
    fn close_second(&mut self, server: usize) {
        let load = self.loads[server];
        let begun = self.begin + Nanos(load.slot * SLOT.0);
        let cold = load.started.is_some_and(|started| begun - started < self.terms.warm_after);
        let settling = begun < self.settles && !cold;
        if self.terms.settle.is_none() || load.work <= 0.0 || load.changed || settling {
            return;
        }
        // A cold one has at least this much by the middle of the second.
        let age = load.started.map(|started| (begun + Nanos(SLOT.0 / 2) - started).secs());
        let part = age.map_or(1.0, |age| (age / self.terms.warm_after.secs().max(1e-9)).min(1.0));
        let warmth = self.terms.cold_share + (1.0 - self.terms.cold_share) * part;
        let able = self.terms.servers[server].capacity * warmth * load.speed * SLOT.secs();
        let at = (begun - self.begin).secs();
        self.loads[server].work = 0.0;
        let verdict = self.rule(Rule::WithinCapacity);
        verdict.check();
        verdict.near(load.work / able.max(1e-9));
        if load.work > able {
            let cold = if cold { ", cold," } else { "" };
            verdict.broken(|| {
                format!("server {server}{cold} was sent {:.2} s of work for {able:.2} in the second from {at:.0} s", load.work)
            });
        }
    }

    /// For each joined proxy and class: how long it has had no line though an open server was listed, cold or warm.
    fn look_for_bare(&mut self) {
        self.look_for_bare_among(0..self.proxies.len());
    }

    /// The same for some proxies: what concerns one alone changes nothing for the others.
    fn look_for_bare_among(&mut self, places: std::ops::Range<usize>) {
        let now = self.now;
        let limit = self.terms.bare_limit;
        let is_open = |told: &Told| told.listed && told.lost.is_none();
        let open: Vec<usize> = self
            .list
            .iter()
            .enumerate()
            .filter(|(_, told)| is_open(told))
            .map(|(server, _)| server)
            .collect();
        let classes = self.terms.classes.iter();
        let served: Vec<bool> =
            classes.map(|class| open.iter().any(|server| class.allowed.contains(server))).collect();
        let begin = self.begin;
        let verdict = self.judgement.rules.entry(Rule::NobodyBare).or_default();
        let from = places.start;
        for (place, proxy) in self.proxies[places].iter_mut().enumerate() {
            let place = from + place;
            for (class, served) in served.iter().enumerate() {
                let lines = proxy.lines.get(&class).is_some_and(|lines| !lines.is_empty());
                let bare = proxy.up && proxy.joined.is_some() && *served && !lines;
                verdict.check();
                match (bare, proxy.bare_since.get(&class).copied()) {
                    (true, None) => {
                        proxy.bare_since.insert(class, now);
                    }
                    (true, Some(since)) => verdict.near((now - since).secs() / limit.secs()),
                    (false, Some(since)) => {
                        proxy.bare_since.remove(&class);
                        verdict.near((now - since).secs() / limit.secs());
                    }
                    (false, None) => {}
                }
                let since = proxy.bare_since.get(&class).copied();
                if since.is_some_and(|since| now - since > limit) {
                    let name = &self.terms.classes[class].name;
                    let since = since.unwrap_or(now);
                    verdict.broken(|| {
                        let (from, to) = ((since - begin).secs(), (now - begin).secs());
                        format!("proxy {place} had no server for {name} from {from:.3} s to {to:.3} s")
                    });
                    // Counted once for each span of the limit.
                    proxy.bare_since.insert(class, now);
                }
            }
        }
    }

    /// After a swap: what the proxy now holds must itself keep the rules on placement and drains.
    fn check_lines(&mut self, proxy: usize) {
        let moment = self.moment();
        let lines = self.proxies[proxy].lines.clone();
        for (class, servers) in lines {
            for server in servers {
                let allowed = self.terms.classes[class].allowed.contains(&server);
                let name = self.terms.classes[class].name.clone();
                let verdict = self.rule(Rule::Placement);
                verdict.check();
                if !allowed {
                    verdict.broken(|| format!("proxy {proxy} was given server {server} for {name} {moment}"));
                }
                let told = self.told(proxy, server);
                let (now, grace) = (self.now, self.terms.drain_grace);
                let verdict = self.rule(Rule::DrainsKept);
                verdict.check();
                if let Some((Told { lost: Some(lost), .. }, joined)) = told {
                    if now - lost.max(joined) > grace {
                        verdict.broken(|| {
                            format!("proxy {proxy} was given server {server} {moment}, lost long before")
                        });
                    }
                }
            }
        }
    }

    fn window(&mut self, at: Nanos) -> &mut (f64, f64) {
        self.windows.entry((at - self.begin).0 / WINDOW.0).or_default()
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
        let importance = self.terms.classes[class].importance;
        if let (EndedAs::InGoal, Some(asked)) = (how, self.asked_at.remove(&op)) {
            self.window(asked).1 += importance;
            self.classes.entry(class).or_default().1 += importance;
        }
    }

    fn close(mut self) -> Judgement {
        let ratio = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let add = |sum: (f64, f64), part: &(f64, f64)| (sum.0 + part.0, sum.1 + part.1);
        let whole = self.classes.values().fold((0.0, 0.0), add);
        // The last window may hold a moment only.
        let full = self.windows.values().filter(|(asked, _)| *asked > whole.0 / 100.0);
        let service = &mut self.judgement.service;
        service.service = ratio(whole);
        service.worst_window = full.map(|window| ratio(*window)).fold(1.0, f64::min);
        let name = |class: usize| self.terms.classes[class].name.clone();
        service.by_class = self.classes.iter().map(|(class, sums)| (name(*class), ratio(*sums))).collect();
        self.latencies.sort_unstable();
        let at = |part: f64| {
            let place = (self.latencies.len() as f64 * part) as usize;
            self.latencies
                .get(place.min(self.latencies.len().saturating_sub(1)))
                .map_or(0.0, |nanos| *nanos as f64 / 1e6)
        };
        (service.latency_p50_ms, service.latency_p99_ms) = (at(0.5), at(0.99));
        self.unled.sort_unstable();
        let unled = |part: f64| {
            let place = (self.unled.len().saturating_sub(1) as f64 * part) as usize;
            self.unled.get(place).map_or(0.0, |nanos| *nanos as f64 / 1e6)
        };
        service.unled = self.unled.len() as u64;
        (service.unled_p50_ms, service.unled_p99_ms, service.unled_most_ms) =
            (unled(0.5), unled(0.99), unled(1.0));
        self.judgement
    }
}
