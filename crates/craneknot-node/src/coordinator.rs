//! The coordinator without I/O. Input from clients and dialled connections becomes events for the controller,
//! and the controller's orders become calls to the relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use craneknot::interface::*;
use craneknot::{Controller, ServerState, Transition};
use craneknot_platform::config::Config;
use craneknot_platform::discovery::{self, Roster};
use craneknot_platform::events::RelayEvent;
use craneknot_platform::{probe, relay};
use craneknot_settings::instance::InstanceNames;
use http::{Response, StatusCode};

use crate::call_limits::CallLimits;
use crate::clients::{ClientAction, ClientId, Clients};
use crate::coverage::{Coverage, LongestGap};
use crate::descriptors::Descriptors;
use crate::event_streams::EventStreams;
use crate::link::{LinkAction, LinkId, LinkIds};
use crate::list_watch::ListWatch;
use crate::log_event::LogEvent;
use crate::order_queue::{EncodedOrder, OrderOutcome, OrderQueue};
use crate::pending::{CloseReason, PendingWork, Violations};
use crate::probes::{self, Probes};
use crate::server_age::ServerStarts;
use crate::status::{NamedLapse, Status};
use crate::takeover::TakeoverWatch;

/// Events that arrive within this span are handled in one step.
const STEP_INTERVAL: Nanos = Nanos::from_millis(5);

/// Work for the shell after a turn.
#[derive(Debug, Default)]
pub struct ShellActions {
    /// For the connections of clients.
    pub client_actions: Vec<ClientAction>,
    /// For dialled connections.
    pub link_actions: Vec<LinkAction>,
    /// To be logged.
    pub log_events: Vec<LogEvent>,
}

/// A coordinator without sockets: it connects the controller with clients, discovery, the relay and probes.
pub struct Coordinator {
    controller: Controller,
    names: InstanceNames,
    proxy_count: u32,
    /// The servers of the last list, without removed ones.
    listed: BTreeMap<ServerId, (Listing, SocketAddr)>,
    links: LinkIds,
    clients: Clients,
    pending: PendingWork,
    server_starts: ServerStarts,
    takeovers: TakeoverWatch,
    event_streams: EventStreams,
    order_queue: OrderQueue,
    list_watch: ListWatch,
    probes: Probes,
    coverage: Coverage,
    started_at: Nanos,
    events: Vec<Event>,
    last_step_at: Nanos,
    wake_at: Option<Nanos>,
    /// A shutdown was requested: the controller takes no further steps.
    shutting_down: bool,
    backlog: bool,
    actions: ShellActions,
    reports: u64,
    orders: u64,
    relay_events_malformed: u64,
    /// By class: the effect of running one of its operations twice.
    repeats: Vec<Repeats>,
}

impl Coordinator {
    /// Starts with this configuration, which may include the last known list of servers.
    pub fn new(config: Config, now: Nanos) -> Self {
        let descriptors = Descriptors::divide(config.socket_limit);
        let revision = config.known_roster.as_ref().map(|known| known.revision);
        let mut coordinator = Coordinator {
            proxy_count: config.settings.proxies,
            coverage: Coverage::new(&config.settings),
            repeats: config.settings.classes.iter().map(|class| class.repeats).collect(),
            order_queue: OrderQueue::new(config.relay, CallLimits::new(&config.settings, now), now),
            controller: Controller::new(config.settings, config.seed, now),
            names: config.names,
            listed: BTreeMap::new(),
            links: LinkIds::default(),
            clients: Clients::new(descriptors.unidentified),
            pending: PendingWork::default(),
            server_starts: ServerStarts::default(),
            takeovers: TakeoverWatch::default(),
            event_streams: EventStreams::new(config.relay, now),
            list_watch: ListWatch::new(config.discovery, revision),
            probes: Probes::new(descriptors.probes),
            started_at: now,
            events: Vec::new(),
            last_step_at: Nanos(0),
            wake_at: Some(now),
            shutting_down: false,
            backlog: false,
            actions: ShellActions {
                log_events: config.warnings.into_iter().map(LogEvent::Note).collect(),
                ..ShellActions::default()
            },
            reports: 0,
            orders: 0,
            relay_events_malformed: 0,
        };
        if let Some(known) = config.known_roster {
            coordinator.apply_roster(now, known, Some(ListScope::Remembered));
        }
        coordinator
    }

    /// Applies a new configuration. Only the addresses of discovery and the relay change; all other settings
    /// stay as they were at the start.
    pub fn reconfigure(&mut self, now: Nanos, config: &Config) {
        self.event_streams.move_to(now, config.relay);
        self.order_queue.move_to(now, config.relay, &mut self.actions.link_actions);
        self.list_watch.move_to(config.discovery, &mut self.actions.link_actions);
    }

    /// A client was accepted.
    pub fn client_connected(&mut self, now: Nanos, id: ClientId) {
        self.clients.connected(now, id);
    }

    /// How many more clients may be accepted. During a shutdown no more clients join, so that all descriptors
    /// may be used.
    pub fn accept_capacity(&self) -> usize {
        if self.shutting_down {
            usize::MAX
        } else {
            self.clients.free_slots()
        }
    }

    /// A client's connection has ended. Its pending work is cleared, or counted as a violation.
    pub fn client_closed(&mut self, id: ClientId, reason: CloseReason) {
        self.clients.disconnected(id);
        self.pending.closed(id, reason);
    }

    /// An answer was passed to a client's connection. `unsent`: the system has not accepted all of it yet.
    pub fn client_answered(&mut self, id: ClientId, unsent: bool) {
        self.pending.request_answered(id, unsent);
    }

    /// All output to a client's connection has been written.
    pub fn client_flushed(&mut self, id: ClientId) {
        self.pending.flushed(id);
    }

    /// Whether a client has pending work: unanswered requests, a partial line or unwritten answers.
    pub fn has_pending(&self, id: ClientId) -> bool {
        self.pending.has_pending(id)
    }

    /// Bytes were received from a client.
    pub fn client_input(&mut self, now: Nanos, id: ClientId, input: &mut BytesMut) {
        self.clients.input_received(now, id);
        let before = self.events.len();
        let (pending, actions) = (&mut self.pending, &mut self.actions.client_actions);
        self.clients.read_lines(
            now,
            id,
            input,
            &self.names,
            self.proxy_count,
            pending,
            &mut self.events,
            actions,
        );
        let reports = self.events.len() - before;
        self.reports += reports as u64;
        if reports > 0 {
            self.takeovers.reported(now);
        }
    }

    /// When the first byte of a client's partial line arrived.
    pub fn client_partial_since(&self, id: ClientId) -> Option<Nanos> {
        self.clients.partial_since(id)
    }

    /// A client's unfinished message has to go, because all of them together take too much memory.
    pub fn client_over_budget(&mut self, id: ClientId) {
        self.clients.end_over_budget(id, &mut self.pending, &mut self.actions.client_actions);
    }

    /// Whether a link carries an event stream: its response never ends and is read as it arrives.
    pub fn is_event_stream(&self, link: LinkId) -> bool {
        self.event_streams.has(link)
    }

    /// Bytes of an event stream were received.
    pub fn event_stream_input(&mut self, now: Nanos, link: LinkId, status: StatusCode, bytes: &Bytes) {
        if status != StatusCode::OK {
            return self.drop_event_stream(
                now,
                link,
                &format!("the relay answered {status} to the event stream request"),
            );
        }
        let Some(decoder) = self.event_streams.decoder(link) else { return };
        match decoder.decode(bytes, &mut self.names, self.proxy_count) {
            Ok(decoded) => {
                for cause in decoded.malformed {
                    self.relay_events_malformed += 1;
                    self.log_note(cause);
                }
                let mut out = Vec::new();
                self.event_streams.receive(now, link, decoded.events, &mut out);
                self.apply_relay_events(now, out);
            }
            Err(cause) => self.drop_event_stream(now, link, &cause),
        }
    }

    fn drop_event_stream(&mut self, now: Nanos, link: LinkId, cause: &str) {
        self.actions.link_actions.push(LinkAction::Close { link });
        self.link_lost(now, link, cause);
    }

    fn apply_relay_events(&mut self, now: Nanos, relay_events: Vec<RelayEvent>) {
        for relay_event in relay_events {
            self.events.push(match relay_event {
                RelayEvent::Joined { proxy, zone, usual_rate } => {
                    self.takeovers.proxy_joined(now, proxy);
                    self.order_queue.proxy_joined(proxy);
                    self.coverage.proxy_joined(now, proxy, zone);
                    self.actions.log_events.push(LogEvent::ProxyJoined { proxy, zone });
                    Event::ProxyJoined { proxy, zone, usual_rate }
                }
                RelayEvent::Left { proxy } => {
                    self.takeovers.proxy_left(proxy);
                    self.order_queue.proxy_left(proxy);
                    self.coverage.proxy_left(proxy);
                    self.actions.log_events.push(LogEvent::ProxyLeft { proxy });
                    Event::ProxyLeft { proxy }
                }
                RelayEvent::Applied { proxy, mark } => {
                    self.takeovers.applied(now);
                    Event::Applied { proxy, mark }
                }
            });
        }
    }

    /// A complete response was received. `keep_alive`: the connection may be reused.
    pub fn answered(&mut self, now: Nanos, link: LinkId, response: &Response<Bytes>, keep_alive: bool) {
        let (status, body) = (response.status(), response.body());
        if self.order_queue.has(link) {
            let retried = self.order_queue.retried;
            let answered = self.order_queue.answered(now, body, keep_alive, &mut self.actions.link_actions);
            self.log_retry(retried, answered.as_ref().err().map_or("rejected for now", String::as_str));
            if let Err(cause) = answered {
                self.log_note(cause);
            }
            if self.order_queue.is_throttled() {
                self.coverage.restart_gaps(now);
            }
        } else if self.list_watch.has(link) {
            let list = if status == StatusCode::OK {
                discovery::parse(body, &mut self.names)
            } else {
                Err(format!("discovery answered {status}"))
            };
            match list {
                Ok(roster) => {
                    match self.list_watch.answered(
                        now,
                        link,
                        &roster,
                        keep_alive,
                        &mut self.actions.link_actions,
                    ) {
                        Ok(()) => {
                            let (revision, whole) = (roster.revision, roster.complete);
                            let changed = self.apply_roster(now, roster, None);
                            self.server_starts.list_applied(now);
                            let listed = self.listed.len();
                            self.actions.log_events.push(LogEvent::ListReceived {
                                revision,
                                whole,
                                changed,
                                listed,
                            });
                        }
                        Err(cause) => self.list_failed(&cause),
                    }
                }
                Err(cause) => {
                    self.list_watch.failed(&mut self.actions.link_actions);
                    self.list_failed(&cause);
                }
            }
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.actions.link_actions.push(LinkAction::Close { link });
            let report = probe::parse_report(body, &self.names);
            self.events.push(Event::Probed {
                server,
                outcome: probes::outcome(status),
                latency: took,
                report,
            });
        } else if self.event_streams.has(link) {
            self.drop_event_stream(now, link, "the relay closed the event stream");
        }
    }

    /// A link has come up, and its request was passed to the connection.
    pub fn link_connected(&mut self, link: LinkId) {
        self.list_watch.connected(link);
    }

    /// A link could not be connected, so its request was not sent.
    pub fn dial_failed(&mut self, now: Nanos, link: LinkId, cause: &str) {
        if self.order_queue.has(link) {
            let retried = self.order_queue.retried;
            self.order_queue.dial_failed(now);
            self.log_retry(retried, cause);
        } else {
            self.link_lost(now, link, cause);
        }
    }

    /// A link has ended by itself.
    pub fn link_lost(&mut self, now: Nanos, link: LinkId, cause: &str) {
        if self.order_queue.has(link) {
            let retried = self.order_queue.retried;
            self.order_queue.lost(now);
            self.log_retry(retried, cause);
        } else if self.list_watch.has(link) {
            if self.list_watch.lost(now, link, &mut self.actions.link_actions) {
                self.list_failed(cause);
            }
        } else if self.event_streams.has(link) {
            let mut out = Vec::new();
            self.event_streams.lost(now, link, &mut out);
            let open_streams = self.event_streams.open_streams();
            self.actions
                .log_events
                .push(LogEvent::StreamEnded { cause: cause.to_owned(), streams: open_streams });
            self.apply_relay_events(now, out);
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.probe_failed(server, took);
        }
    }

    fn probe_failed(&mut self, server: ServerId, took: Nanos) {
        let report = LoadReport::default();
        self.events.push(Event::Probed { server, outcome: ProbeOutcome::Failed, latency: took, report });
    }

    fn list_failed(&mut self, cause: &str) {
        self.actions.log_events.push(LogEvent::WatchFailed { cause: cause.to_owned() });
        self.events.push(Event::List { scope: ListScope::Failed, entries: [].into() });
    }

    /// Applies a list. Returns how many servers are new or have changed.
    fn apply_roster(&mut self, now: Nanos, roster: Roster, scope: Option<ListScope>) -> usize {
        let listed_scope = if roster.complete { ListScope::Whole } else { ListScope::Changes };
        let before = if roster.complete { std::mem::take(&mut self.listed) } else { BTreeMap::new() };
        let mut entries = Vec::with_capacity(roster.servers.len());
        let mut changed = 0;
        for (id, cause) in roster.malformed {
            // A server whose entry can't be read keeps its previous entry, because it is still listed.
            if let Some(entry) = id.as_ref().and_then(|id| before.get(id)) {
                self.server_starts.confirm_listed(now, &entry.0.server);
                self.listed.insert(entry.0.server.clone(), entry.clone());
                entries.push(entry.0.clone());
            }
            self.log_note(cause);
        }
        for claimed in roster.servers.iter().filter_map(|(listing, _)| listing.started) {
            self.server_starts.learn_clock(now, claimed);
        }
        for (mut listing, address) in roster.servers {
            let start = self.server_starts.observe(now, &listing.server, listing.started);
            (listing.started, listing.is_start_certain) = (start.latest, start.is_certain);
            let known = before.get(&listing.server).or_else(|| self.listed.get(&listing.server));
            if known.is_none_or(|(known, _)| *known != listing) {
                changed += 1;
                self.actions.log_events.extend((scope != Some(ListScope::Remembered)).then(|| {
                    LogEvent::ServerListed {
                        server: listing.server.clone(),
                        readiness: listing.readiness,
                        is_start_certain: listing.is_start_certain,
                    }
                }));
            }
            match listing.readiness {
                Readiness::Ready | Readiness::Draining => {
                    self.listed.insert(listing.server.clone(), (listing.clone(), address));
                }
                Readiness::Removed => drop(self.listed.remove(&listing.server)),
            }
            entries.push(listing);
        }
        self.events.push(Event::List { scope: scope.unwrap_or(listed_scope), entries: entries.into() });
        changed
    }

    fn log_note(&mut self, note: String) {
        self.actions.log_events.push(LogEvent::Note(note));
    }

    /// Logs a retry of the call to the relay, if there was one. `before`: the number of retries until now.
    fn log_retry(&mut self, before: u64, cause: &str) {
        if self.order_queue.retried > before {
            self.actions.log_events.push(LogEvent::CallRetried {
                cause: cause.to_owned(),
                failures: self.order_queue.failures(),
                orders_waiting: self.order_queue.waiting(),
            });
        }
    }

    /// Runs one turn: does everything that is due, and returns the work for the shell.
    pub fn turn(&mut self, now: Nanos) -> ShellActions {
        self.handle_order_outcomes();
        if self.shutting_down {
            if self.backlog {
                self.clients.evict_idle(now, &mut self.actions.client_actions);
            }
        } else {
            self.clients.evict_overdue(now, &mut self.pending, &mut self.actions.client_actions);
            self.decide(now);
        }
        let retried = self.order_queue.retried;
        self.order_queue.turn(now, &mut self.links, &mut self.actions.link_actions);
        self.log_retry(retried, "no answer before the timeout");
        self.log_coverage_gaps(now);
        self.pending.set_unacknowledged_orders(self.order_queue.waiting());
        self.pending.orders_overtaken(self.order_queue.take_overtaken());
        self.actions
            .log_events
            .extend(self.takeovers.finished(now, self.event_streams.joined_count()).map(LogEvent::Takeover));
        std::mem::take(&mut self.actions)
    }

    /// Logs the proxies that have had no usable line for longer than the settings allow.
    fn log_coverage_gaps(&mut self, now: Nanos) {
        let listed = self.listed.values().map(|(listing, _)| listing);
        for gap in self.coverage.evaluate(now, listed) {
            let class = self.class_names(ClassSet::of(gap.class));
            let calls_failed = self.order_queue.failures();
            let orders_waiting = self.order_queue.waiting();
            self.actions.log_events.push(LogEvent::Lapse { lapse: gap, class, calls_failed, orders_waiting });
        }
        for warning in self.coverage.take_warnings() {
            let class = self.class_names(ClassSet::of(warning.class));
            self.actions.log_events.push(LogEvent::NoLineWarning { warning, class });
        }
    }

    fn class_names(&self, classes: ClassSet) -> String {
        self.names.class_names(classes).collect::<Vec<_>>().join("+")
    }

    /// Reports to the controller, with its next step, that an order was not carried out.
    fn refuse(&mut self, order: Order, cause: &'static str) {
        let text = relay::encode_order(&order, &self.names).unwrap_or_default();
        self.actions.log_events.push(LogEvent::OrderRefused { order: text, cause });
        self.events.push(Event::OrderRefused { order });
    }

    /// Handles the outcomes of orders. A refusal is reported to the controller, which assumes that its orders
    /// are carried out.
    fn handle_order_outcomes(&mut self) {
        for (order, outcome) in self.order_queue.take_outcomes() {
            self.coverage.order_finished(&order, outcome);
            match (outcome, order) {
                (OrderOutcome::Refused, order) => self.refuse(order, "the relay rejected it twice"),
                (OrderOutcome::Taken, Order::Bind { proxy, classes, table }) => {
                    let classes = self.class_names(classes);
                    self.actions.log_events.push(LogEvent::ProxyBound { proxy, table, classes });
                }
                (OrderOutcome::Taken | OrderOutcome::Superseded | OrderOutcome::Cancelled, _) => {}
            }
        }
    }

    /// Begins the shutdown: orders already given are sent, requests on open connections are answered, and no
    /// new decisions are made.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// During a shutdown: whether clients wait to be accepted while no descriptor is free for them.
    pub fn set_backlog(&mut self, backlog: bool) {
        self.backlog = backlog;
    }

    /// Whether no client is connected and no order is unacknowledged.
    pub fn is_finished(&self) -> bool {
        self.clients.is_empty() && self.pending.is_empty()
    }

    /// Whether no client has pending work.
    pub fn is_client_work_done(&self) -> bool {
        self.pending.clients() == 0
    }

    /// The process ends now; all pending work counts as violations.
    pub fn abandon(&mut self) -> Violations {
        self.pending.abandon();
        self.pending.violations()
    }

    fn decide(&mut self, now: Nanos) {
        let mut relay_events = Vec::new();
        self.event_streams.turn(now, &mut self.links, &mut self.actions.link_actions, &mut relay_events);
        self.apply_relay_events(now, relay_events);
        let overdue = self.probes.overdue(now, &mut self.actions.link_actions);
        overdue.into_iter().for_each(|(server, took)| self.probe_failed(server, took));
        self.follow_list(now);
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Woken);
        }
        if !self.events.is_empty() && now - self.last_step_at >= STEP_INTERVAL {
            self.step(now);
        }
        self.follow_list(now);
    }

    /// Makes the calls to discovery that are due.
    fn follow_list(&mut self, now: Nanos) {
        let repeated = self.list_watch.repeated_calls;
        if self.list_watch.turn(now, &mut self.links, &mut self.actions.link_actions) {
            self.list_failed("no answer before the timeout");
        }
        if self.list_watch.repeated_calls > repeated {
            let repeated_calls = self.list_watch.repeated_calls;
            self.actions.log_events.push(LogEvent::WatchSilent { repeated_calls });
        }
    }

    /// Tells the controller what waits in the channel and before it, which its own orders alone don't show when calls
    /// fail.
    fn report_channel_load(&mut self, now: Nanos) {
        let lines = self.order_queue.channel_lines(now);
        let is_held_back = self.order_queue.is_held_back();
        if lines > 0.0 || is_held_back {
            self.events.push(Event::ChannelLoad { lines, is_held_back });
        }
    }

    fn step(&mut self, now: Nanos) {
        self.last_step_at = now;
        self.report_channel_load(now);
        let events = std::mem::take(&mut self.events);
        for order in self.controller.step(now, &events) {
            match &order {
                Order::Wake { after } => {
                    let at = now + *after;
                    self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
                }
                Order::WatchList => self.list_watch.start(),
                Order::Probe { server } => {
                    let Some((_, address)) = self.listed.get(server) else { continue };
                    let (links, link_actions) = (&mut self.links, &mut self.actions.link_actions);
                    self.probes.start(now, server, *address, links, link_actions);
                }
                Order::Bind { proxy, .. } => self.enqueue_order(now, &order, Some(*proxy)),
                Order::Line { .. } | Order::Level { .. } | Order::Mark { .. } => {
                    self.enqueue_order(now, &order, None)
                }
            }
        }
        for transition in self.controller.take_transitions() {
            if let Transition::Server { server, to, .. } = &transition {
                self.coverage.set_ejected(server, *to == ServerState::Out);
            }
            self.actions.log_events.push(LogEvent::Decision(transition));
        }
    }

    /// Whether an order may be sent, independently of the controller's state: no line for a server that is
    /// not listed as ready, no binding of a proxy that is not joined, and no further try of operations that
    /// must not run twice.
    pub fn permits(&self, order: &Order) -> bool {
        match order {
            Order::Line { server, weight, .. } => {
                let listed = self.listed.get(server);
                *weight <= 0.0 || listed.is_some_and(|(listing, _)| listing.readiness == Readiness::Ready)
            }
            Order::Bind { proxy, .. } => self.event_streams.is_joined(*proxy),
            Order::Level { classes, retries: Retries::Once | Retries::Twice, .. } => {
                let selected = (0u8..).zip(&self.repeats).filter(|(class, _)| classes.has(ClassId(*class)));
                selected.into_iter().all(|(_, repeats)| *repeats == Repeats::Safe)
            }
            _ => true,
        }
    }

    /// Queues an order for the relay. `proxy`: the order is dropped if this proxy leaves.
    fn enqueue_order(&mut self, now: Nanos, order: &Order, proxy: Option<ProxyId>) {
        if !self.permits(order) {
            self.pending.order_forbidden();
            return self.refuse(order.clone(), "it would violate a rule");
        }
        self.orders += 1;
        self.takeovers.ordered(now, order);
        self.coverage.ordered(order);
        let subject = relay::coalescing_key(order);
        let encoded = |text| EncodedOrder { order: order.clone(), text, proxy, subject };
        self.order_queue.enqueue(relay::encode_order(order, &self.names).map(encoded));
    }

    /// When the next turn is due if no input arrives.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        if self.shutting_down {
            let evict_at = self.backlog.then_some(now + STEP_INTERVAL);
            return [self.order_queue.next_at(), evict_at].into_iter().flatten().min();
        }
        let step = (!self.events.is_empty()).then_some(self.last_step_at + STEP_INTERVAL);
        let times = [
            step,
            self.wake_at,
            self.clients.next_at(),
            self.order_queue.next_at(),
            self.list_watch.next_at(),
            self.probes.next_at(),
            self.event_streams.next_at(now),
        ];
        times.into_iter().flatten().min()
    }

    /// The controller, with its view of load and health.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// The figures for the status lines.
    pub fn status(&self) -> Status {
        let (collectors, unidentified) = self.clients.counts();
        Status {
            proxies: self.event_streams.joined_count(),
            servers: self.listed.len(),
            collectors,
            unidentified,
            clients_pending: self.pending.clients(),
            reports: self.reports,
            reports_malformed: self.clients.malformed_reports,
            closed_over_budget: self.clients.closed_over_budget,
            orders: self.orders,
            orders_waiting: self.order_queue.waiting(),
            orders_rejected: self.order_queue.rejected,
            calls_retried: self.order_queue.retried,
            calls_delayed: self.order_queue.delayed,
            list_calls_repeated: self.list_watch.repeated_calls,
            most_channel_lines: self.order_queue.most_channel_lines(),
            event_streams: self.event_streams.open_streams(),
            events_malformed: self.relay_events_malformed,
            violations: self.pending.violations(),
            coverage: self.coverage.figures(),
            longest_uncovered: self.coverage.longest_gap().map(|longest| self.with_class_name(longest)),
            longest_without_line: self
                .coverage
                .longest_without_line()
                .values()
                .map(|longest| self.with_class_name(longest))
                .collect(),
        }
    }

    fn with_class_name(&self, longest: &LongestGap) -> NamedLapse {
        let class = self.class_names(ClassSet::of(longest.gap.class));
        NamedLapse { longest: longest.clone(), class, since_start: longest.at - self.started_at }
    }
}
