//! The coordinator without I/O: passes events to the decisions, and their orders to the resource cache, the
//! channel and the streams. The owner passes in what its sockets received, calls [`Engine::turn`], and
//! carries out the outputs. [`shared_fleet`] has its part in a fleet of several coordinators, [`status`] its figures.

mod shared_fleet;
mod status;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use craneknot::interface::*;
use craneknot::{Controller, MessagePace};
use craneknot_fleet::member::{Member, Ownership};
use craneknot_fleet::raft::PersistentState;
use craneknot_fleet::view::Epoch;
use craneknot_settings::{CoordinatorSettings, Names};
use craneknot_solver::explain::{explain, Explanation};
use craneknot_solver::tuner::{Change, WeightTuner};
use craneknot_xds::discovery::{epoch_of, fingerprint, source_with_epoch, DiscoveryRequest, Kind, Node};
use craneknot_xds::load::LoadStatsRequest;

use crate::channel::Channel;
use crate::ledger::{Header, Ledger};
use crate::proxy_ids::ProxyIds;
use crate::report_aggregator::{ReportAggregator, ReportError};
use crate::resource_cache::{Message, ResourceCache, ResourceUpdate};
use crate::roster::{RosterError, RosterValidator};
use crate::session::{Outcome, Response, Session, StreamRequest};
use crate::weights;
pub use status::{Shared, Status};

const MAX_RESOURCE_NAMES: usize = 1_024; // in one request; more than any proxy subscribes to
const MAX_USUAL_RATE: f64 = 1e6; // operations a second, as reported by a proxy
const MAX_APPLY_DELAYS: usize = 65_536; // the newest ones, for the percentiles in the status

/// A stream's id, assigned by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Makes the decisions: those of this program, or others that are tested instead.
pub trait Decider: Send {
    /// Processes the events and returns the orders of this step.
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order>;
}

impl Decider for Controller {
    fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        Controller::step(self, now, events)
    }
}

/// An action for the owner to carry out.
#[derive(Debug)]
pub enum Output {
    Respond {
        stream: StreamId,
        response: Response,
        version: String,
    },
    /// Close the stream.
    CloseStream {
        stream: StreamId,
        cause: String,
    },
    Probe {
        server: ServerId,
    },
    /// Read the server list again.
    ReadRoster,
    /// Close the stream and redirect its proxy to the coordinator responsible for it.
    Redirect {
        stream: StreamId,
        to: String,
    },
    /// Save this state durably before any later output is sent.
    SaveFleetState(PersistentState),
    /// The versions that proxies follow, by proxy name; to be saved, with no need to wait for it.
    SaveFollowed(Vec<(String, String)>),
    /// Send a datagram to another coordinator, by its name.
    Datagram {
        to: String,
        text: Vec<u8>,
    },
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The first request of the stream has no node.
    NoNode,
    UnknownZone(String),
    TooManyNames(usize),
    NoProxyIdLeft,
    OtherKind(String),
    /// This coordinator is responsible for the proxy.
    Elsewhere(String),
    /// No coordinator is currently known to be responsible for the proxy.
    NoKnownOwner,
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestError::NoNode => write!(f, "the first request of a stream must name its node"),
            RequestError::UnknownZone(zone) => write!(f, "zone {zone:?} is not one of the fleet's"),
            RequestError::TooManyNames(count) => {
                write!(f, "{count} resource names; {MAX_RESOURCE_NAMES} at most")
            }
            RequestError::NoProxyIdLeft => write!(f, "no more proxies can be told apart"),
            RequestError::Elsewhere(to) => write!(f, "{to} is in charge of this proxy"),
            RequestError::NoKnownOwner => {
                write!(f, "no coordinator is known to be in charge of this proxy now")
            }
            RequestError::OtherKind(kind) => write!(f, "type {kind:?} does not belong to this path"),
        }
    }
}

struct Stream {
    proxy: ProxyId,
    zone: ZoneId,
    session: Session,
    /// A message that is pending may not be sent before this time.
    held_until: Option<Nanos>,
    /// Since when the coordinator responsible for its proxy is unknown.
    owner_unknown_since: Option<Nanos>,
    /// Fingerprints of the resources that the proxy held when it joined, each removed at the first order for
    /// it: lines and levels by table.
    held_prints: BTreeMap<String, (String, String)>,
}

impl Stream {
    /// When the stream must be processed again without any input.
    fn next_at(&self) -> Option<Nanos> {
        self.session.next_at().into_iter().chain(self.held_until).min()
    }

    /// The responses to send now, at the pace that the proxy may be sent messages.
    fn responses(&mut self, now: Nanos, message_pace: &mut MessagePace) -> Vec<Response> {
        let begins_message = self.session.has_new_message();
        let allowed_at = message_pace.allowed_at(self.proxy, false);
        self.held_until = (begins_message && allowed_at > now).then_some(allowed_at);
        if self.held_until.is_some() {
            return Vec::new();
        }
        let responses = self.session.responses(now);
        let is_sent = responses.iter().any(|response| matches!(response, Response::Resources { .. }));
        if begins_message && is_sent {
            message_pace.record(now, self.proxy);
        }
        responses
    }

    /// Whether the proxy already holds that text. Checked only once, since afterwards it holds what we sent.
    fn already_holds(&mut self, table: &str, kind: Kind, print: impl FnOnce() -> String) -> bool {
        let Some(prints) = self.held_prints.get_mut(table) else { return false };
        let held = match kind {
            Kind::Endpoints => std::mem::take(&mut prints.0),
            Kind::Routes => std::mem::take(&mut prints.1),
            Kind::Clusters => return false,
        };
        !held.is_empty() && held == print()
    }
}

/// The coordinator's state, without sockets and files.
pub struct Engine {
    decider: Box<dyn Decider>,
    settings: Settings,
    names: Names,
    name: String,
    source: String,
    proxy_ids: ProxyIds,
    resources: ResourceCache,
    channel: Channel<(StreamId, Message)>,
    message_pace: MessagePace,
    reports: ReportAggregator,
    ledger: Option<Ledger>,
    weight_tuner: Option<WeightTuner>,
    roster: RosterValidator,
    streams: BTreeMap<StreamId, Stream>,
    stream_by_proxy: BTreeMap<ProxyId, StreamId>,
    events: Vec<Event>,
    outputs: Vec<Output>,
    wake_at: Option<Nanos>,
    flush_at: Nanos,
    /// Streams that may have something to be sent.
    ready_streams: BTreeSet<StreamId>,
    step_count: u64,
    apply_delays: VecDeque<Nanos>,
    messages: u64,
    lines: f64,
    rejections: u64,
    /// The number of streams whose responsible coordinator is unknown, and the epoch at the last check of all
    /// streams.
    unowned_streams: usize,
    checked_epoch: Option<Epoch>,
    /// No stream can count as silent before this time.
    silent_after: Nanos,
    bytes_sent: u64,
    fleet: Option<Member>,
    /// Versions that proxies have accepted since they were last saved.
    accepted_versions: BTreeMap<ProxyId, String>,
    /// Parts, lines and bytes not sent, since proxies already held them.
    skipped: (u64, f64, u64),
    datagrams: u64,
    saves: u64,
    sent_on: u64,
}

impl Engine {
    /// `seed` seeds the decisions' random numbers; `now` also distinguishes this start from earlier ones.
    pub fn new(settings: &CoordinatorSettings, seed: u64, now: Nanos) -> Self {
        Self::with_decider(settings, now, |decisions| Box::new(Controller::new(decisions.clone(), seed, now)))
    }

    /// Creates an engine with other decisions, built from the settings of the decisions.
    pub fn with_decider(
        settings: &CoordinatorSettings,
        now: Nanos,
        decider: impl FnOnce(&Settings) -> Box<dyn Decider>,
    ) -> Self {
        let (names, decisions) = settings.controller_settings();
        let weight_tuner = settings
            .solver
            .as_ref()
            .map(|_| WeightTuner::new(weights::solver_settings(settings, &decisions), now));
        let channel = Channel::new(decisions.channel_lines_per_second);
        let source = format!("{}-{}", settings.name, now.0 / 1_000_000);
        let resources = ResourceCache::new(
            source.clone(),
            names.classes.clone(),
            decisions.level_unit,
            decisions.lines_per_message,
            settings.fleet.lb_policy.clone(),
        );
        Engine {
            decider: decider(&decisions),
            name: settings.name.clone(),
            source,
            proxy_ids: ProxyIds::default(),
            resources,
            channel,
            message_pace: MessagePace::new(decisions.message_limit, decisions.message_span),
            reports: ReportAggregator::new(names.classes.clone()),
            ledger: settings.ledger.as_ref().map(|_| Ledger::new(Header::of(settings, now))),
            roster: RosterValidator::new(decisions.drain_grace),
            weight_tuner,
            names,
            flush_at: now + decisions.report_period,
            settings: decisions,
            streams: BTreeMap::new(),
            stream_by_proxy: BTreeMap::new(),
            events: Vec::new(),
            outputs: Vec::new(),
            // The decisions order their next wake-up only once they have been called.
            wake_at: Some(now),
            ready_streams: BTreeSet::new(),
            step_count: 0,
            apply_delays: VecDeque::new(),
            messages: 0,
            lines: 0.0,
            rejections: 0,
            unowned_streams: 0,
            checked_epoch: None,
            silent_after: now,
            bytes_sent: 0,
            fleet: None,
            accepted_versions: BTreeMap::new(),
            skipped: (0, 0.0, 0),
            datagrams: 0,
            saves: 0,
            sent_on: 0,
        }
    }

    /// Loads the server list that was saved before this start.
    pub fn load_saved_roster(&mut self, now: Nanos, text: &[u8]) -> Result<(), RosterError> {
        let validated = self.roster.load_saved(now, text, &mut self.names)?;
        self.add_list_event(validated.event);
        Ok(())
    }

    /// Handles a new server list. Returns the number of changed entries and descriptions of corrections.
    pub fn update_roster(&mut self, now: Nanos, text: &[u8]) -> Result<(usize, Vec<String>), RosterError> {
        match self.roster.update(now, text, &mut self.names) {
            Ok(validated) => {
                let result = (validated.changed, validated.notes);
                if validated.changed > 0 {
                    self.add_list_event(validated.event);
                }
                Ok(result)
            }
            Err(error) => {
                if let RosterError::Unreadable(_) = error {
                    self.events.push(Event::List { scope: ListScope::Failed, entries: Arc::from([]) });
                }
                Err(error)
            }
        }
    }

    /// Handles a failure to read the server list.
    pub fn roster_read_failed(&mut self, now: Nanos) {
        self.roster.postpone_recheck(now);
        self.events.push(Event::List { scope: ListScope::Failed, entries: Arc::from([]) });
    }

    fn add_list_event(&mut self, event: Event) {
        if let Event::List { entries, .. } = &event {
            for entry in entries.iter() {
                self.resources.set_server_zone(&entry.server, self.names.zone_name(entry.zone));
            }
        }
        self.events.push(event);
    }

    /// Handles a discovery request. The first one of a stream joins its proxy and closes any earlier stream
    /// of that proxy.
    pub fn handle_request(
        &mut self,
        now: Nanos,
        id: StreamId,
        kind: Kind,
        request: DiscoveryRequest,
    ) -> Result<Option<Outcome>, RequestError> {
        if request.resource_names.len() > MAX_RESOURCE_NAMES {
            return Err(RequestError::TooManyNames(request.resource_names.len()));
        }
        if !request.type_url.is_empty() && Kind::from_type_url(&request.type_url) != Some(kind) {
            return Err(RequestError::OtherKind(request.type_url));
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.observe_epoch(Epoch(epoch_of(&request.version_info)));
        }
        if !self.streams.contains_key(&id) {
            let node =
                request.node.as_ref().filter(|node| !node.id.is_empty()).ok_or(RequestError::NoNode)?;
            self.join(now, id, node)?;
        }
        let Some(stream) = self.streams.get_mut(&id) else { return Ok(None) };
        self.ready_streams.insert(id);
        let nonce = request.response_nonce.parse().ok();
        let rejected = request.error_detail.map(|status| status.message);
        let outcome = stream.session.handle_request(now, StreamRequest { kind, nonce, rejected });
        let proxy = stream.proxy;
        match &outcome {
            Some(Outcome::Applied { marks, decided }) => {
                if self.fleet.is_some() {
                    self.accepted_versions.insert(proxy, request.version_info);
                }
                self.events.extend(marks.iter().map(|mark| Event::Applied { proxy, mark: *mark }));
                if let Some(decided) = decided {
                    if self.apply_delays.len() == MAX_APPLY_DELAYS {
                        self.apply_delays.pop_front();
                    }
                    self.apply_delays.push_back(now - *decided);
                }
            }
            Some(Outcome::Rejected { .. }) => self.rejections += 1,
            Some(Outcome::UnknownNonce { .. }) | None => {}
        }
        Ok(outcome)
    }

    fn join(&mut self, now: Nanos, id: StreamId, node: &Node) -> Result<(), RequestError> {
        if !self.names.has_zone(&node.locality.zone) {
            return Err(RequestError::UnknownZone(node.locality.zone.clone()));
        }
        match self.ownership(now, &node.id) {
            Ownership::Owned(_) => {}
            Ownership::OwnedBy(to) => {
                self.sent_on += 1;
                return Err(RequestError::Elsewhere(to.to_string()));
            }
            Ownership::Unknown => return Err(RequestError::NoKnownOwner),
        }
        let zone = self.names.zone(&node.locality.zone);
        let proxy = self.proxy_ids.acquire(&node.id).ok_or(RequestError::NoProxyIdLeft)?;
        if let Some(old) = self.stream_by_proxy.get(&proxy).copied() {
            self.end_stream(now, old);
            self.outputs.push(Output::CloseStream {
                stream: old,
                cause: "its proxy has opened a newer stream".into(),
            });
        }
        let held_prints = node.metadata.get("prints").filter(|_| self.fleet.is_some());
        let held_prints =
            held_prints.and_then(|prints| serde_json::from_value(prints.clone()).ok()).unwrap_or_default();
        let rate = node.metadata.get("usual_rate").and_then(|value| value.as_f64());
        let usual_rate = rate.filter(|rate| rate.is_finite()).unwrap_or(1.0).clamp(0.0, MAX_USUAL_RATE);
        self.resources.join(proxy);
        self.streams.insert(
            id,
            Stream {
                proxy,
                zone,
                session: Session::new(now),
                held_until: None,
                owner_unknown_since: None,
                held_prints,
            },
        );
        self.stream_by_proxy.insert(proxy, id);
        self.events.push(Event::ProxyJoined { proxy, zone, usual_rate });
        // A former coordinator of this fleet numbers tables as we do, so its bindings can be kept.
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

    /// Removes a stream that either side has closed.
    pub fn end_stream(&mut self, now: Nanos, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else { return };
        self.stream_by_proxy.remove(&stream.proxy);
        self.ready_streams.remove(&id);
        self.proxy_ids.release(stream.proxy);
        self.reports.remove_proxy(stream.proxy);
        self.resources.leave(stream.proxy);
        self.channel.discard(now, |(stream, _)| *stream == id);
        self.events.push(Event::ProxyLeft { proxy: stream.proxy });
    }

    /// The name of a stream's proxy.
    pub fn proxy_name(&self, id: StreamId) -> &str {
        self.streams.get(&id).map_or("", |stream| self.proxy_ids.name(stream.proxy))
    }

    /// Handles a load report on any connection; reports of proxies that have not joined are ignored.
    pub fn handle_load_report(&mut self, now: Nanos, report: &LoadStatsRequest) -> Result<(), ReportError> {
        let node = report.node.as_ref().map_or("", |node| node.id.as_str());
        let stream = self.proxy_ids.find(node).and_then(|proxy| self.stream_by_proxy.get(&proxy));
        let Some(stream) = stream.and_then(|id| self.streams.get_mut(id)) else { return Ok(()) };
        stream.session.record_activity(now);
        self.reports.add_report(stream.proxy, stream.zone, report)
    }

    pub fn handle_probe_result(
        &mut self,
        server: ServerId,
        outcome: ProbeOutcome,
        duration: Nanos,
        report: LoadReport,
    ) {
        self.events.push(Event::Probed { server, outcome, latency: duration, report });
    }

    /// Runs the decisions on the collected events, applies their orders, and returns the actions for the
    /// owner.
    pub fn turn(&mut self, now: Nanos) -> Vec<Output> {
        self.close_silent_streams(now);
        self.check_stream_owners(now);
        if now >= self.flush_at {
            self.flush_at = now + self.settings.report_period;
            self.events.extend(self.reports.flush());
            if !self.accepted_versions.is_empty() {
                let name =
                    |(proxy, version): (ProxyId, String)| (self.proxy_ids.name(proxy).to_owned(), version);
                let versions = std::mem::take(&mut self.accepted_versions).into_iter().map(name).collect();
                self.outputs.push(Output::SaveFollowed(versions));
            }
        }
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Woken);
        }
        self.queue_full_states(now);
        if !self.events.is_empty() {
            self.step(now);
        }
        while let Some((id, message)) = self.channel.pop_sent(now) {
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.session.enqueue(now, message);
                self.ready_streams.insert(id);
            }
        }
        self.send_responses(now);
        std::mem::take(&mut self.outputs)
    }

    fn step(&mut self, now: Nanos) {
        self.step_count += 1;
        let mut events = std::mem::take(&mut self.events);
        if let Some(ledger) = &mut self.ledger {
            ledger.record_events(now, &events, &self.names);
        }
        if let Some(weight_tuner) = &mut self.weight_tuner {
            weight_tuner.step(now, &mut events);
        }
        let orders = self.decider.step(now, &events);
        if let Some(ledger) = &mut self.ledger {
            ledger.record_orders(now, &orders);
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
        for mut message in self.resources.apply_orders(now, &orders) {
            let Some(id) = self.stream_by_proxy.get(&message.proxy).copied() else { continue };
            self.drop_held_parts(id, &mut message);
            if message.parts.is_empty() {
                // The proxy already holds all of it: the mark counts as applied.
                self.events.extend(message.mark.map(|mark| Event::Applied { proxy: message.proxy, mark }));
                continue;
            }
            self.push_message(now, id, message);
        }
    }

    fn push_message(&mut self, now: Nanos, id: StreamId, message: Message) {
        self.messages += 1;
        self.lines += message.lines;
        self.channel.push(now, message.lines, (id, message));
    }

    /// Puts the full states of streams that have rejected a response into the channel, and tells the decisions what
    /// waits there besides the messages of their own orders.
    fn queue_full_states(&mut self, now: Nanos) {
        let mut due: Vec<(StreamId, ProxyId)> = Vec::new();
        for id in &self.ready_streams {
            if let Some(stream) = self.streams.get_mut(id) {
                due.extend(stream.session.requests_full_state(now).then_some((*id, stream.proxy)));
            }
        }
        if due.is_empty() {
            return;
        }
        for (id, proxy) in due {
            let message = self.resources.full_state(now, proxy);
            self.push_message(now, id, message);
        }
        self.events.push(Event::ChannelLoad { lines: self.channel.lines(), is_held_back: false });
    }

    /// Removes from a message what the proxy already holds from a former coordinator of this fleet.
    fn drop_held_parts(&mut self, id: StreamId, message: &mut Message) {
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| !stream.held_prints.is_empty()) else {
            return;
        };
        let (mut lines, mut bytes, mut parts) = (0.0, 0, 0);
        let ResourceUpdate { endpoints, routes, clusters: _ } = &mut message.parts;
        for (kind, texts) in [(Kind::Endpoints, endpoints), (Kind::Routes, routes)] {
            texts.retain(|table, text| {
                let held = stream.already_holds(&self.resources.name_of(*table), kind, || fingerprint(text));
                if held {
                    lines += self.resources.line_count(kind, *table);
                    bytes += text.len() as u64;
                    parts += 1;
                }
                !held
            });
        }
        // Bindings are always sent: they carry the epoch, after which the proxy follows no older one.
        message.lines = (message.lines - lines).max(1.0);
        self.skipped = (self.skipped.0 + parts, self.skipped.1 + lines, self.skipped.2 + bytes);
    }

    fn send_responses(&mut self, now: Nanos) {
        for id in std::mem::take(&mut self.ready_streams) {
            let Some(epoch) = self.sendable_epoch(now, id) else { continue };
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            let responses = stream.responses(now, &mut self.message_pace);
            if stream.next_at().is_some() {
                self.ready_streams.insert(id);
            }
            self.output_responses(id, epoch, responses);
        }
    }

    /// The epoch in which a stream may be sent what is pending for it, or `None` if it has to wait.
    fn sendable_epoch(&self, now: Nanos, id: StreamId) -> Option<u64> {
        let stream = self.streams.get(&id)?;
        // Clusters are always sent complete: an omitted class would lose its binding at the proxy.
        if !self.resources.has_all_bindings(stream.proxy) {
            return None;
        }
        match self.ownership(now, self.proxy_ids.name(stream.proxy)) {
            Ownership::Owned(epoch) => Some(epoch.0),
            // Every change of view or lease marks all streams as ready.
            Ownership::OwnedBy(_) | Ownership::Unknown => None,
        }
    }

    fn output_responses(&mut self, id: StreamId, epoch: u64, responses: Vec<Response>) {
        let version = format!("{}/{}", source_with_epoch(epoch, &self.source), self.step_count);
        for response in responses {
            if let Response::Resources { resources, .. } = &response {
                self.bytes_sent += resources.iter().map(|text| text.len() as u64).sum::<u64>();
            }
            self.outputs.push(Output::Respond { stream: id, response, version: version.clone() });
        }
    }

    /// Checks the streams only once one of them can have become silent, since a turn follows every report.
    fn close_silent_streams(&mut self, now: Nanos) {
        if now <= self.silent_after {
            return;
        }
        let period = self.settings.report_period;
        let silent = self.streams.iter().filter(|(_, stream)| stream.session.is_silent(now, period));
        for id in silent.map(|(id, _)| *id).collect::<Vec<StreamId>>() {
            self.outputs.push(Output::CloseStream { stream: id, cause: "silence timeout".into() });
            self.end_stream(now, id);
        }
        // A stream that joins later cannot become silent before one that was active just now.
        let earliest = self.streams.values().map(|stream| stream.session.silent_after(period));
        self.silent_after = earliest.chain([Session::new(now).silent_after(period)]).min().unwrap_or(now);
    }

    /// When the next turn is due without any input.
    pub fn next_at(&self) -> Nanos {
        let streams = self.ready_streams.iter().filter_map(|id| self.streams.get(id)?.next_at());
        let fleet = self.fleet.as_ref().map(Member::next_at);
        let times = [fleet, self.wake_at, self.channel.next_at(), self.roster.next_at(), Some(self.flush_at)];
        times.into_iter().flatten().chain(streams).min().unwrap_or(self.flush_at)
    }

    /// Whether an unconfirmed server list must be read again.
    pub fn roster_due(&self, now: Nanos) -> bool {
        self.roster.next_at().is_some_and(|at| at <= now)
    }

    /// Weights that have changed since the last call.
    pub fn weight_changes(&mut self) -> Vec<Change> {
        self.weight_tuner.as_mut().map(WeightTuner::take_changes).unwrap_or_default()
    }

    /// Why servers have their weights, where this coordinator computes them.
    pub fn explain(&self, now: Nanos) -> Option<Explanation> {
        self.weight_tuner.as_ref().map(|tuner| explain(tuner, now, &weights::SolverNames(&self.names)))
    }

    /// How often the decisions have run.
    pub fn steps(&self) -> u64 {
        self.step_count
    }

    /// The ledger of the events given to the decisions, if one is kept.
    pub fn ledger(&mut self) -> Option<&mut Ledger> {
        self.ledger.as_mut()
    }

    /// When the totals of the load reports are next passed to the decisions.
    pub fn next_flush_at(&self) -> Nanos {
        self.flush_at
    }

    pub fn report_period(&self) -> Nanos {
        self.settings.report_period
    }

    /// Discards the delays from decision to acknowledgement measured so far.
    pub fn reset_spans(&mut self) {
        self.apply_delays.clear();
    }
}

/// The body of a response in chunks; the resources' texts are shared, not copied.
pub fn response_body(kind: Kind, version: &str, nonce: u64, resources: Vec<Bytes>) -> Vec<Bytes> {
    let version = serde_json::Value::from(version);
    let url = kind.type_url();
    let head =
        format!("{{\"version_info\":{version},\"type_url\":\"{url}\",\"nonce\":\"{nonce}\",\"resources\":[");
    let mut chunks = vec![Bytes::from(head)];
    for (index, resource) in resources.into_iter().enumerate() {
        if index > 0 {
            chunks.push(Bytes::from_static(b","));
        }
        chunks.push(resource);
    }
    chunks.push(Bytes::from_static(b"]}"));
    chunks
}

/// The number of a table from its name at the proxies.
fn table_of(name: &str) -> Option<u16> {
    name.rsplit_once("/table-")?.1.parse().ok()
}
