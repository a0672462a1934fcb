//! The coordinator without I/O: what came in goes to the decisions, their orders to the book, the channel and the
//! streams. The owner hands in what its sockets brought, calls [`Desk::turn`], and carries out what comes back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::*;
use craneknot::Controller;
use craneknot_fleet::member::{self, Charge, Member};
use craneknot_fleet::raft::{Role, Saved};
use craneknot_fleet::view::Epoch;
use craneknot_fleet::wire::Datagram;
use craneknot_fleet::MemberId;
use craneknot_settings::{CoordinatorSettings, Names};
use craneknot_solver::explain::{explain, Explanation};
use craneknot_solver::steer::{Change, Steer};
use craneknot_xds::discovery::{epoch_of, fingerprint, source_with_epoch, DiscoveryRequest, Kind, Node};
use craneknot_xds::load::LoadStatsRequest;
use serde::Serialize;

use crate::book::{Book, Message, Parts};
use crate::channel::Channel;
use crate::ids::Ids;
use crate::intake::{Intake, Unheard};
use crate::ledger::{Head, Ledger};
use crate::roster::{Judge, Refusal};
use crate::session::{Answer, Asked, Outcome, Session};
use crate::weights;

const NAMES_MOST: usize = 1_024; // resources one request may name: more than any proxy follows
const RATE_MOST: f64 = 1e6; // operations a second that a proxy may say it usually gets
const UNSURE: Nanos = Nanos::from_millis(1_000); // ms; a stream no one knows to be in our charge ends after it: elsewhere it may be served
const SPANS_KEPT: usize = 65_536; // spans from decision to swap kept for the figures

/// A stream, by the owner's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Who decides: the decisions of this program, or others that are tried in their place.
pub trait Decide: Send {
    /// Takes in what has come and gives the orders of this moment.
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order>;
}

impl Decide for Controller {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        Controller::step(self, now, events)
    }
}

/// What the owner is to do.
#[derive(Debug)]
pub enum Output {
    Answer {
        stream: StreamId,
        answer: Answer,
        version: String,
    },
    /// End the stream.
    Break {
        stream: StreamId,
        cause: String,
    },
    Probe {
        server: ServerId,
    },
    /// Read the roster again.
    ReadRoster,
    /// End the stream: that coordinator is in charge of its proxy.
    SendOn {
        stream: StreamId,
        to: String,
    },
    /// To be on the disk before what follows is sent.
    Save(Saved),
    /// What proxies have followed, by name: to be kept when there is time.
    Keep(Vec<(String, String)>),
    /// To a fellow coordinator, by its name.
    Datagram {
        to: String,
        text: Vec<u8>,
    },
}

/// Why a request is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It has a first request without a node.
    NoNode,
    UnknownZone(String),
    TooManyNames(usize),
    NoNumberLeft,
    OtherKind(String),
    /// That coordinator is in charge of the proxy.
    Elsewhere(String),
    /// No one is known to be in charge of the proxy now.
    NoCharge,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::NoNode => write!(f, "the first request of a stream must name its node"),
            Refused::UnknownZone(zone) => write!(f, "zone {zone:?} is not one of the fleet's"),
            Refused::TooManyNames(count) => write!(f, "{count} resource names; {NAMES_MOST} at most"),
            Refused::NoNumberLeft => write!(f, "no more proxies can be told apart"),
            Refused::Elsewhere(to) => write!(f, "{to} is in charge of this proxy"),
            Refused::NoCharge => write!(f, "no coordinator is known to be in charge of this proxy now"),
            Refused::OtherKind(kind) => write!(f, "type {kind:?} does not belong to this path"),
        }
    }
}

struct Stream {
    proxy: ProxyId,
    zone: ZoneId,
    session: Session,
    /// Since when it is not known to be in our charge.
    unsure: Option<Nanos>,
    /// Prints of what the proxy held when it joined, until we have ordered it: by table its lines and levels.
    holds: BTreeMap<String, (String, String)>,
}

impl Stream {
    /// Whether the proxy holds that text already; asked once, since from then on it holds what we sent.
    fn holds(&mut self, table: &str, kind: Kind, print: impl FnOnce() -> String) -> bool {
        let Some(prints) = self.holds.get_mut(table) else { return false };
        let held = match kind {
            Kind::Endpoints => std::mem::take(&mut prints.0),
            Kind::Routes => std::mem::take(&mut prints.1),
            Kind::Clusters => return false,
        };
        !held.is_empty() && held == print()
    }
}

/// Figures for `status`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    pub name: String,
    pub source: String,
    pub streams: usize,
    pub owing: usize,
    pub refusing: usize,
    pub servers: usize,
    pub roster_version: u64,
    pub tables: usize,
    /// Lines in the channel, and the most that ever were.
    pub channel_lines: f64,
    pub channel_most: f64,
    pub channel_limit: f64,
    /// Lines that wait for proxies that have not answered.
    pub held_lines: f64,
    pub messages: u64,
    pub lines: f64,
    /// Texts of tables and levels made, their bytes, and the bytes sent of all resources.
    pub texts: u64,
    pub bytes_made: u64,
    pub bytes_sent: u64,
    pub steps: u64,
    pub refusals: u64,
    pub reports_repeated: u64,
    pub reports_left_out: u64,
    /// From decision to accepted answer, ms: half of them, 99 of 100, and the longest.
    pub decided_to_swapped_ms: Option<(f64, f64, f64)>,
    /// Where the fleet is shared.
    pub shared: Option<Shared>,
}

/// This coordinator's part in a shared fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Shared {
    pub role: String,
    pub term: u64,
    pub leader: Option<String>,
    /// The newest view that is certain, and who shares the proxies in it.
    pub epoch: u64,
    pub members: Vec<String>,
    pub alive: Vec<String>,
    /// Those whose votes count.
    pub voters: Vec<String>,
    /// The epoch acted on, whether all of it is settled, and how long the lease lasts, ms.
    pub lease: Option<(u64, bool, f64)>,
    pub datagrams_sent: u64,
    pub saves: u64,
    pub sent_on: u64,
    /// What proxies held already when they joined, and so was not sent: parts, lines, bytes.
    pub spared: (u64, f64, u64),
}

pub struct Desk {
    decider: Box<dyn Decide>,
    settings: Settings,
    names: Names,
    name: String,
    source: String,
    ids: Ids,
    book: Book,
    channel: Channel<(StreamId, Message)>,
    intake: Intake,
    ledger: Option<Ledger>,
    steer: Option<Steer>,
    judge: Judge,
    streams: BTreeMap<StreamId, Stream>,
    of_proxy: BTreeMap<ProxyId, StreamId>,
    events: Vec<Event>,
    outputs: Vec<Output>,
    wake_at: Option<Nanos>,
    flush_at: Nanos,
    /// Streams that something may be due to.
    stirred: BTreeSet<StreamId>,
    moment: u64,
    spans: VecDeque<Nanos>,
    messages: u64,
    lines: f64,
    refusals: u64,
    /// Streams not known to be in our charge, and the view by which all were looked at last.
    unsure: usize,
    looked: Option<Epoch>,
    /// Until then no stream can count as silent.
    silent_after: Nanos,
    bytes_sent: u64,
    fleet: Option<Member>,
    /// What proxies have accepted since it was last kept.
    accepted: BTreeMap<ProxyId, String>,
    /// Parts, lines and bytes that proxies held already.
    spared: (u64, f64, u64),
    datagrams: u64,
    saves: u64,
    sent_on: u64,
}

impl Desk {
    /// `seed` is that of the decisions' random numbers; `now` also tells this start from earlier ones.
    pub fn new(settings: &CoordinatorSettings, seed: u64, now: Nanos) -> Self {
        Self::deciding(settings, now, |decisions| Box::new(Controller::new(decisions.clone(), seed, now)))
    }

    /// With others to decide, made from what the decisions are told at their start.
    pub fn deciding(
        settings: &CoordinatorSettings,
        now: Nanos,
        decider: impl FnOnce(&Settings) -> Box<dyn Decide>,
    ) -> Self {
        let (names, decisions) = settings.controller_settings();
        let steer = settings.solver.as_ref().map(|_| Steer::new(weights::of(settings, &decisions), now));
        let channel = Channel::new(decisions.channel_lines_per_second);
        let source = format!("{}-{}", settings.name, now.0 / 1_000_000);
        let book = Book::new(
            source.clone(),
            names.classes.clone(),
            decisions.level_unit,
            decisions.lines_per_message,
            settings.fleet.lb_policy.clone(),
        );
        Desk {
            decider: decider(&decisions),
            name: settings.name.clone(),
            source,
            ids: Ids::default(),
            book,
            channel,
            intake: Intake::new(names.classes.clone()),
            ledger: settings.ledger.as_ref().map(|_| Ledger::new(Head::of(settings, now))),
            judge: Judge::new(decisions.drain_grace),
            steer,
            names,
            flush_at: now + decisions.report_period,
            settings: decisions,
            streams: BTreeMap::new(),
            of_proxy: BTreeMap::new(),
            events: Vec::new(),
            outputs: Vec::new(),
            // The decisions ask to be woken once they have been called.
            wake_at: Some(now),
            stirred: BTreeSet::new(),
            moment: 0,
            spans: VecDeque::new(),
            messages: 0,
            lines: 0.0,
            refusals: 0,
            unsure: 0,
            looked: None,
            silent_after: now,
            bytes_sent: 0,
            fleet: None,
            accepted: BTreeMap::new(),
            spared: (0, 0.0, 0),
            datagrams: 0,
            saves: 0,
            sent_on: 0,
        }
    }

    /// From now on the fleet is shared with others; `saved` is what an earlier life saved.
    pub fn share(&mut self, settings: &CoordinatorSettings, saved: Saved, seed: u64, now: Nanos) {
        let Some(shared) = &settings.shared else { return };
        let members = shared.members.iter().map(|member| MemberId::new(&member.name)).collect();
        // Placements within a proxy's own zone are numbered as they are met: such tables are not numbered alike.
        if !settings.fleet.classes.iter().any(|class| class.home_only) {
            self.book.set_source("fleet".to_owned());
        }
        let timing = member::Timing::of_lease(shared.lease.0, shared.drift);
        // The date in milliseconds: later than that of any earlier life, and refuted where it is not.
        let incarnation = now.0 / 1_000_000;
        let me = MemberId::new(&settings.name);
        self.fleet = Some(Member::new(me, &members, timing, saved, incarnation, seed, now));
    }

    /// Settings name these as members from now on.
    pub fn set_members(&mut self, now: Nanos, names: impl Iterator<Item = String>) {
        if let Some(fleet) = &mut self.fleet {
            fleet.set_members(now, &names.map(|name| MemberId::new(&name)).collect());
        }
    }

    /// What the store says that a proxy followed: no order of ours may be of an older epoch.
    pub fn note_followed(&mut self, version: &str) {
        if let Some(fleet) = &mut self.fleet {
            fleet.note_epoch(Epoch(epoch_of(version)));
        }
    }

    /// A datagram of a fellow coordinator came.
    pub fn datagram(&mut self, now: Nanos, text: &[u8]) -> Result<(), String> {
        let datagram = Datagram::read(text)?;
        let outputs = self.fleet.as_mut().map(|fleet| fleet.take(now, datagram));
        self.carry(outputs.unwrap_or_default());
        Ok(())
    }

    fn carry(&mut self, outputs: Vec<member::Output>) {
        for output in outputs {
            match output {
                member::Output::Save(saved) => {
                    self.saves += 1;
                    self.outputs.push(Output::Save(saved));
                }
                member::Output::Send(to, datagram) => {
                    self.datagrams += 1;
                    self.outputs.push(Output::Datagram { to: to.to_string(), text: datagram.text() });
                }
                // What may be sent has changed.
                member::Output::Changed => {
                    self.looked = None;
                    self.stirred.extend(self.streams.keys());
                }
            }
        }
    }

    /// The epoch in which a proxy may be ordered now.
    fn charge(&self, now: Nanos, proxy: &str) -> Charge {
        self.fleet.as_ref().map_or(Charge::Mine(Epoch(0)), |fleet| fleet.charge(now, proxy))
    }

    /// Streams of proxies that are another one's charge are sent on; those of which no one is known to be end.
    fn look_after_charges(&mut self, now: Nanos) {
        let Some(fleet) = &mut self.fleet else { return };
        let steps = fleet.tick(now);
        self.carry(steps);
        // Whose charge a proxy is changes with the view and the lease alone; each look costs a hash a stream.
        let view = self.fleet.as_ref().map(|fleet| fleet.view().epoch);
        if self.unsure == 0 && view.is_some() && self.looked == view {
            return;
        }
        (self.looked, self.unsure) = (view, 0);
        for id in self.streams.keys().copied().collect::<Vec<StreamId>>() {
            let charge = self.charge(now, self.proxy_name(id));
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            match charge {
                Charge::Mine(_) => stream.unsure = None,
                Charge::Elsewhere(to) => {
                    self.sent_on += 1;
                    self.outputs.push(Output::SendOn { stream: id, to: to.to_string() });
                    self.leave(now, id);
                }
                Charge::Unknown => {
                    self.unsure += 1;
                    let since = *stream.unsure.get_or_insert(now);
                    if now - since >= UNSURE {
                        let cause = "no one is known to be in charge of its proxy".to_owned();
                        self.outputs.push(Output::Break { stream: id, cause });
                        self.leave(now, id);
                    }
                }
            }
        }
    }

    /// Takes the list kept from before this start.
    pub fn remember(&mut self, now: Nanos, text: &[u8]) -> Result<(), Refusal> {
        let taken = self.judge.remember(now, text, &mut self.names)?;
        self.take_list(taken.event);
        Ok(())
    }

    /// Takes a list of servers; what was set right in it is told. Entries that changed are counted.
    pub fn roster(&mut self, now: Nanos, text: &[u8]) -> Result<(usize, Vec<String>), Refusal> {
        match self.judge.take(now, text, &mut self.names) {
            Ok(taken) => {
                let told = (taken.changed, taken.notes);
                if taken.changed > 0 {
                    self.take_list(taken.event);
                }
                Ok(told)
            }
            Err(refusal) => {
                if let Refusal::Unreadable(_) = refusal {
                    self.events.push(Event::List { scope: ListScope::Failed, entries: Arc::from([]) });
                }
                Err(refusal)
            }
        }
    }

    /// The roster's source cannot be read at all.
    pub fn roster_failed(&mut self, now: Nanos) {
        self.judge.put_off(now);
        self.events.push(Event::List { scope: ListScope::Failed, entries: Arc::from([]) });
    }

    fn take_list(&mut self, event: Event) {
        if let Event::List { entries, .. } = &event {
            for entry in entries.iter() {
                self.book.place(&entry.server, self.names.zone_name(entry.zone));
            }
        }
        self.events.push(event);
    }

    /// A discovery request came on a stream. The first one joins its proxy; whoever held that name before is
    /// held to be gone.
    pub fn ask(
        &mut self,
        now: Nanos,
        id: StreamId,
        kind: Kind,
        request: DiscoveryRequest,
    ) -> Result<Option<Outcome>, Refused> {
        if request.resource_names.len() > NAMES_MOST {
            return Err(Refused::TooManyNames(request.resource_names.len()));
        }
        if !request.type_url.is_empty() && Kind::from_type_url(&request.type_url) != Some(kind) {
            return Err(Refused::OtherKind(request.type_url));
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.note_epoch(Epoch(epoch_of(&request.version_info)));
        }
        if !self.streams.contains_key(&id) {
            let node = request.node.as_ref().filter(|node| !node.id.is_empty()).ok_or(Refused::NoNode)?;
            self.join(now, id, node)?;
        }
        let Some(stream) = self.streams.get_mut(&id) else { return Ok(None) };
        self.stirred.insert(id);
        let nonce = request.response_nonce.parse().ok();
        let refused = request.error_detail.map(|status| status.message);
        let outcome = stream.session.ask(now, Asked { kind, nonce, refused });
        let proxy = stream.proxy;
        match &outcome {
            Some(Outcome::Applied { marks, decided }) => {
                if self.fleet.is_some() {
                    self.accepted.insert(proxy, request.version_info);
                }
                self.events.extend(marks.iter().map(|mark| Event::Applied { proxy, mark: *mark }));
                if let Some(decided) = decided {
                    if self.spans.len() == SPANS_KEPT {
                        self.spans.pop_front();
                    }
                    self.spans.push_back(now - *decided);
                }
            }
            Some(Outcome::Refused { .. }) => self.refusals += 1,
            Some(Outcome::Stray { .. }) | None => {}
        }
        Ok(outcome)
    }

    fn join(&mut self, now: Nanos, id: StreamId, node: &Node) -> Result<(), Refused> {
        if !self.names.has_zone(&node.locality.zone) {
            return Err(Refused::UnknownZone(node.locality.zone.clone()));
        }
        match self.charge(now, &node.id) {
            Charge::Mine(_) => {}
            Charge::Elsewhere(to) => {
                self.sent_on += 1;
                return Err(Refused::Elsewhere(to.to_string()));
            }
            Charge::Unknown => return Err(Refused::NoCharge),
        }
        let zone = self.names.zone(&node.locality.zone);
        let proxy = self.ids.join(&node.id).ok_or(Refused::NoNumberLeft)?;
        if let Some(old) = self.of_proxy.get(&proxy).copied() {
            self.leave(now, old);
            self.outputs.push(Output::Break { stream: old, cause: "its proxy has joined anew".into() });
        }
        let holds = node.metadata.get("prints").filter(|_| self.fleet.is_some());
        let holds = holds.and_then(|prints| serde_json::from_value(prints.clone()).ok()).unwrap_or_default();
        let rate = node.metadata.get("usual_rate").and_then(|value| value.as_f64());
        let usual_rate = rate.filter(|rate| rate.is_finite()).unwrap_or(1.0).clamp(0.0, RATE_MOST);
        self.book.join(proxy);
        self.streams.insert(id, Stream { proxy, zone, session: Session::new(now), unsure: None, holds });
        self.of_proxy.insert(proxy, id);
        self.events.push(Event::ProxyJoined { proxy, zone, usual_rate });
        // Tables of a former coordinator of this fleet are numbered as ours are: its bindings can stand.
        let bound = node.metadata.get("bound").and_then(|bound| bound.as_object()).into_iter().flatten();
        for (class, table) in bound.filter(|_| self.fleet.is_some()) {
            let class = self.names.class(class).map(|class| ClassId(class as u8));
            let table = table.as_str().and_then(table_of).map(TableId);
            if let (Some(class), Some(table)) = (class, table) {
                self.events.push(Event::ExistingBinding { proxy, class, table });
            }
        }
        Ok(())
    }

    /// A stream has ended, from whichever side.
    pub fn leave(&mut self, now: Nanos, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else { return };
        self.of_proxy.remove(&stream.proxy);
        self.stirred.remove(&id);
        self.ids.leave(stream.proxy);
        self.intake.leave(stream.proxy);
        self.book.leave(stream.proxy);
        self.channel.discard(now, |(of, _)| *of == id);
        self.events.push(Event::ProxyLeft { proxy: stream.proxy });
    }

    /// The name of a stream's proxy.
    pub fn proxy_name(&self, id: StreamId) -> &str {
        self.streams.get(&id).map_or("", |stream| self.ids.name(stream.proxy))
    }

    /// A load report came, by whichever connection; only joined proxies count.
    pub fn report(&mut self, now: Nanos, report: &LoadStatsRequest) -> Result<(), Unheard> {
        let node = report.node.as_ref().map_or("", |node| node.id.as_str());
        let stream = self.ids.find(node).and_then(|proxy| self.of_proxy.get(&proxy));
        let Some(stream) = stream.and_then(|id| self.streams.get_mut(id)) else { return Ok(()) };
        stream.session.hear(now);
        self.intake.take(stream.proxy, stream.zone, report)
    }

    pub fn probed(&mut self, server: ServerId, outcome: ProbeOutcome, took: Nanos, report: LoadReport) {
        self.events.push(Event::Probed { server, outcome, latency: took, report });
    }

    /// Lets the decisions act on what has come, carries out what they order, and gives what the owner is to do.
    pub fn turn(&mut self, now: Nanos) -> Vec<Output> {
        self.break_silent(now);
        self.look_after_charges(now);
        if now >= self.flush_at {
            self.flush_at = now + self.settings.report_period;
            self.events.extend(self.intake.flush());
            if !self.accepted.is_empty() {
                let name = |(proxy, version): (ProxyId, String)| (self.ids.name(proxy).to_owned(), version);
                let kept = std::mem::take(&mut self.accepted).into_iter().map(name).collect();
                self.outputs.push(Output::Keep(kept));
            }
        }
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Woken);
        }
        if !self.events.is_empty() {
            self.step(now);
        }
        while let Some((id, message)) = self.channel.release(now) {
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.session.offer(message);
                self.stirred.insert(id);
            }
        }
        self.answer(now);
        std::mem::take(&mut self.outputs)
    }

    fn step(&mut self, now: Nanos) {
        self.moment += 1;
        let mut events = std::mem::take(&mut self.events);
        if let Some(ledger) = &mut self.ledger {
            ledger.told(now, &events, &self.names);
        }
        if let Some(steer) = &mut self.steer {
            steer.step(now, &mut events);
        }
        let orders = self.decider.step(now, &events);
        if let Some(ledger) = &mut self.ledger {
            ledger.ordered(now, &orders);
        }
        for order in &orders {
            match order {
                Order::Wake { after } => {
                    let at = now + *after;
                    self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
                }
                Order::Probe { server } => self.outputs.push(Output::Probe { server: server.clone() }),
                Order::WatchList => self.outputs.push(Output::ReadRoster),
                Order::Line { .. } | Order::Bind { .. } | Order::Level { .. } | Order::Mark { .. } => {}
            }
        }
        for mut message in self.book.apply(now, &orders) {
            let Some(id) = self.of_proxy.get(&message.proxy).copied() else { continue };
            self.spare(id, &mut message);
            if message.parts.is_empty() {
                // All of it is there: a mark is as good as answered.
                self.events.extend(message.mark.map(|mark| Event::Applied { proxy: message.proxy, mark }));
                continue;
            }
            self.messages += 1;
            self.lines += message.lines;
            self.channel.offer(now, message.lines, (id, message));
        }
    }

    /// Takes out of a message what the proxy holds already, from a former coordinator of this fleet.
    fn spare(&mut self, id: StreamId, message: &mut Message) {
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| !stream.holds.is_empty()) else {
            return;
        };
        let (mut lines, mut bytes, mut parts) = (0.0, 0, 0);
        let Parts { endpoints, routes, clusters: _ } = &mut message.parts;
        for (kind, texts) in [(Kind::Endpoints, endpoints), (Kind::Routes, routes)] {
            texts.retain(|table, text| {
                let held = stream.holds(&self.book.name_of(*table), kind, || fingerprint(text));
                if held {
                    lines += self.book.lines_of(kind, *table);
                    bytes += text.len() as u64;
                    parts += 1;
                }
                !held
            });
        }
        // Bindings are always sent: with them the proxy learns the epoch, and follows none before it.
        message.lines = (message.lines - lines).max(1.0);
        self.spared = (self.spared.0 + parts, self.spared.1 + lines, self.spared.2 + bytes);
    }

    fn answer(&mut self, now: Nanos) {
        for id in std::mem::take(&mut self.stirred) {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            // Clusters are always told whole: a class left out would lose its binding at the proxy.
            if !self.book.is_complete(stream.proxy) {
                continue;
            }
            let charge = self.fleet.as_ref().map(|fleet| fleet.charge(now, self.ids.name(stream.proxy)));
            let epoch = match charge {
                None => 0,
                Some(Charge::Mine(epoch)) => epoch.0,
                // It waits; a change of what may be done stirs all streams.
                Some(Charge::Elsewhere(_) | Charge::Unknown) => continue,
            };
            let (book, proxy) = (&mut self.book, stream.proxy);
            let answers = stream.session.answers(now, || book.all_of(proxy));
            if stream.session.next_at().is_some() {
                self.stirred.insert(id);
            }
            let version = format!("{}/{}", source_with_epoch(epoch, &self.source), self.moment);
            for answer in answers {
                if let Answer::Resources { resources, .. } = &answer {
                    self.bytes_sent += resources.iter().map(|text| text.len() as u64).sum::<u64>();
                }
                self.outputs.push(Output::Answer { stream: id, answer, version: version.clone() });
            }
        }
    }

    /// Looks at all streams only once one of them can have become silent: a turn comes with every report.
    fn break_silent(&mut self, now: Nanos) {
        if now <= self.silent_after {
            return;
        }
        let period = self.settings.report_period;
        let silent = self.streams.iter().filter(|(_, stream)| stream.session.is_silent(now, period));
        for id in silent.map(|(id, _)| *id).collect::<Vec<StreamId>>() {
            self.outputs.push(Output::Break { stream: id, cause: "it has been silent".into() });
            self.leave(now, id);
        }
        // One that joins from now on cannot be silent before one that spoke just now.
        let earliest = self.streams.values().map(|stream| stream.session.silent_after(period));
        self.silent_after = earliest.chain([Session::new(now).silent_after(period)]).min().unwrap_or(now);
    }

    /// When the next turn is due though nothing comes in.
    pub fn next_at(&self) -> Nanos {
        let streams = self.stirred.iter().filter_map(|id| self.streams.get(id)?.session.next_at());
        let fleet = self.fleet.as_ref().map(Member::next_at);
        let times = [fleet, self.wake_at, self.channel.next_at(), self.judge.next_at(), Some(self.flush_at)];
        times.into_iter().flatten().chain(streams).min().unwrap_or(self.flush_at)
    }

    /// A list that was doubted is to be read again.
    pub fn roster_due(&self, now: Nanos) -> bool {
        self.judge.next_at().is_some_and(|at| at <= now)
    }

    /// Weights that have changed since the last time.
    pub fn weight_changes(&mut self) -> Vec<Change> {
        self.steer.as_mut().map(Steer::news).unwrap_or_default()
    }

    /// Why servers have the weights they have, where these are found here.
    pub fn explain(&self, now: Nanos) -> Option<Explanation> {
        self.steer.as_ref().map(|steer| explain(steer, now, &weights::Named(&self.names)))
    }

    /// How often the decisions were asked.
    pub fn steps(&self) -> u64 {
        self.moment
    }

    /// What is to be kept of what the decisions were told.
    pub fn ledger(&mut self) -> Option<&mut Ledger> {
        self.ledger.as_mut()
    }

    /// When what reports brought goes to the decisions next.
    pub fn flushes_at(&self) -> Nanos {
        self.flush_at
    }

    pub fn report_period(&self) -> Nanos {
        self.settings.report_period
    }

    /// The term in which this one leads a shared fleet; nothing: it does not lead.
    pub fn leads(&self) -> Option<u64> {
        let fleet = self.fleet.as_ref()?;
        (fleet.role() == Role::Leader).then(|| fleet.term())
    }

    /// Begins the spans from decision to swap anew.
    pub fn forget_spans(&mut self) {
        self.spans.clear();
    }

    pub fn status(&self, now: Nanos) -> Status {
        let (tables, texts, bytes_made) = self.book.counts();
        let sessions = || self.streams.values().map(|stream| &stream.session);
        let count = |state| sessions().filter(|session| session.state() == state).count();
        let (reports_repeated, reports_left_out) = self.intake.unheard();
        let mut spans: Vec<Nanos> = self.spans.iter().copied().collect();
        spans.sort();
        let at =
            |part: f64| spans.get(((spans.len() as f64 - 1.0) * part) as usize).map(|span| span.secs() * 1e3);
        Status {
            name: self.name.clone(),
            source: self.source.clone(),
            streams: self.streams.len(),
            owing: count(crate::session::State::Owing),
            refusing: count(crate::session::State::Refusing),
            servers: self.judge.servers(),
            roster_version: self.judge.version(),
            tables,
            channel_lines: self.channel.lines(),
            channel_most: self.channel.most(),
            channel_limit: self.settings.channel_lines_limit,
            held_lines: sessions().map(Session::held_lines).sum(),
            messages: self.messages,
            lines: self.lines,
            texts,
            bytes_made,
            bytes_sent: self.bytes_sent,
            steps: self.moment,
            refusals: self.refusals,
            reports_repeated,
            reports_left_out,
            shared: self.fleet.as_ref().map(|fleet| Shared {
                role: format!("{:?}", fleet.role()).to_lowercase(),
                term: fleet.term(),
                leader: fleet.leader().map(MemberId::to_string),
                epoch: fleet.view().epoch.0,
                members: fleet.view().members.iter().map(MemberId::to_string).collect(),
                voters: fleet.voters().iter().map(MemberId::to_string).collect(),
                alive: fleet.alive().iter().map(MemberId::to_string).collect(),
                lease: fleet
                    .lease()
                    .map(|(epoch, settled, until)| (epoch.0, settled, (until - now).secs() * 1e3)),
                datagrams_sent: self.datagrams,
                saves: self.saves,
                sent_on: self.sent_on,
                spared: self.spared,
            }),
            decided_to_swapped_ms: at(0.5)
                .zip(at(0.99))
                .zip(at(1.0))
                .map(|((p50, p99), most)| (p50, p99, most)),
        }
    }
}

/// The body of a response, of texts that others share.
pub fn body(kind: Kind, version: &str, nonce: u64, resources: Vec<Bytes>) -> Vec<Bytes> {
    let version = serde_json::Value::from(version);
    let url = kind.type_url();
    let head =
        format!("{{\"version_info\":{version},\"type_url\":\"{url}\",\"nonce\":\"{nonce}\",\"resources\":[");
    let mut chunks = vec![Bytes::from(head)];
    for (place, resource) in resources.into_iter().enumerate() {
        if place > 0 {
            chunks.push(Bytes::from_static(b","));
        }
        chunks.push(resource);
    }
    chunks.push(Bytes::from_static(b"]}"));
    chunks
}

/// The number of a table, by its name at the proxies.
fn table_of(name: &str) -> Option<u16> {
    name.rsplit_once("/table-")?.1.parse().ok()
}
