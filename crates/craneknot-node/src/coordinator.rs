//! The coordinator without I/O: what comes from peers and links becomes the decisions' events, and their orders
//! become calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use craneknot::interface::*;
use craneknot::{Controller, ServerState, Transition};
use craneknot_platform::config::Config;
use craneknot_platform::discovery::{self, Roster};
use craneknot_platform::events::RelayEvent;
use craneknot_platform::{probe, relay};
use craneknot_settings::given::GivenNames;
use http::{Response, StatusCode};

use crate::clients::{ClientAction, ClientId, Clients};
use crate::coverage::{Coverage, Worst};
use crate::descriptors::Descriptors;
use crate::event_streams::EventStreams;
use crate::link::{LinkAction, LinkId, LinkIds};
use crate::log_event::LogEvent;
use crate::order_queue::{EncodedOrder, OrderQueue, Outcome};
use crate::pending::{CloseReason, PendingWork, Violations};
use crate::probes::{self, Probes};
use crate::server_age::ServerStarts;
use crate::status::{NamedLapse, Status};
use crate::takeover::TakeoverWatch;
use crate::watch::Watch;

const GAP: Nanos = Nanos::from_millis(5); // ms; what comes together is decided on together

/// What the shell is to do.
#[derive(Debug, Default)]
pub struct Todo {
    pub client_actions: Vec<ClientAction>,
    pub acts: Vec<LinkAction>,
    pub log: Vec<LogEvent>,
}

pub struct Coordinator {
    controller: Controller,
    names: GivenNames,
    proxies: u32,
    /// The servers as last listed, but for those removed.
    listed: BTreeMap<ServerId, (Listing, SocketAddr)>,
    links: LinkIds,
    clients: Clients,
    pending: PendingWork,
    starts: ServerStarts,
    takeovers: TakeoverWatch,
    streams: EventStreams,
    order_queue: OrderQueue,
    watch: Watch,
    probes: Probes,
    coverage: Coverage,
    born: Nanos,
    events: Vec<Event>,
    stepped: Nanos,
    wake_at: Option<Nanos>,
    /// Asked to end: nothing more is decided.
    shutting_down: bool,
    backlog: bool,
    todo: Todo,
    reports: u64,
    orders: u64,
    news_malformed: u64,
    /// By class: what happens when one of its operations runs twice.
    repeats: Vec<Repeats>,
}

impl Coordinator {
    pub fn new(config: Config, now: Nanos) -> Self {
        let descriptors = Descriptors::divide(config.socket_limit);
        let revision = config.known_roster.as_ref().map(|known| known.revision);
        let mut coordinator = Coordinator {
            proxies: config.settings.proxies,
            coverage: Coverage::new(&config.settings),
            repeats: config.settings.classes.iter().map(|class| class.repeats).collect(),
            controller: Controller::new(config.settings, config.seed, now),
            names: config.names,
            listed: BTreeMap::new(),
            links: LinkIds::default(),
            clients: Clients::new(descriptors.unidentified),
            pending: PendingWork::default(),
            starts: ServerStarts::default(),
            takeovers: TakeoverWatch::default(),
            streams: EventStreams::new(config.relay, now),
            order_queue: OrderQueue::new(config.relay, now),
            watch: Watch::new(config.discovery, revision),
            probes: Probes::new(descriptors.probes),
            born: now,
            events: Vec::new(),
            stepped: Nanos(0),
            wake_at: Some(now),
            shutting_down: false,
            backlog: false,
            todo: Todo { log: config.warnings.into_iter().map(LogEvent::Note).collect(), ..Todo::default() },
            reports: 0,
            orders: 0,
            news_malformed: 0,
        };
        if let Some(known) = config.known_roster {
            coordinator.take_roster(now, known, Some(ListScope::Remembered));
        }
        coordinator
    }

    /// A new configuration counts for where discovery and the relay are; all else is as at the start.
    pub fn reconfigure(&mut self, now: Nanos, config: &Config) {
        self.streams.move_to(now, config.relay);
        self.order_queue.move_to(now, config.relay, &mut self.todo.acts);
        self.watch.move_to(config.discovery, &mut self.todo.acts);
    }

    /// A client was accepted.
    pub fn client_connected(&mut self, now: Nanos, id: ClientId) {
        self.clients.connected(now, id);
    }

    /// How many more clients may be accepted. In a shutdown nobody joins any more, and all descriptors are theirs.
    pub fn accept_room(&self) -> usize {
        if self.shutting_down {
            usize::MAX
        } else {
            self.clients.free_slots()
        }
    }

    /// A client's connection has ended; what was owed on it is cleared, or counted.
    pub fn client_gone(&mut self, id: ClientId, reason: CloseReason) {
        self.clients.disconnected(id);
        self.pending.closed(id, reason);
    }

    /// An answer was given to a client's connection; `unsent`: the system has not taken all of it.
    pub fn client_answered(&mut self, id: ClientId, unsent: bool) {
        self.pending.request_answered(id, unsent);
    }

    /// All that was given to a client's connection is written.
    pub fn client_flushed(&mut self, id: ClientId) {
        self.pending.flushed(id);
    }

    /// Whether anything is owed to a client.
    pub fn owes(&self, id: ClientId) -> bool {
        self.pending.owes(id)
    }

    /// Bytes have come of a client.
    pub fn client_input(&mut self, now: Nanos, id: ClientId, input: &mut BytesMut) {
        self.clients.input_received(now, id);
        let before = self.events.len();
        let (pending, actions) = (&mut self.pending, &mut self.todo.client_actions);
        self.clients.read_lines(
            now,
            id,
            input,
            &self.names,
            self.proxies,
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

    /// Whether a link's answer never ends, and is wanted as it comes.
    pub fn is_event_stream(&self, link: LinkId) -> bool {
        self.streams.has(link)
    }

    /// Bytes of a stream have come.
    pub fn event_stream_input(&mut self, now: Nanos, link: LinkId, status: StatusCode, bytes: &Bytes) {
        if status != StatusCode::OK {
            return self.drop_event_stream(
                now,
                link,
                &format!("the relay answers {status} to a call for news"),
            );
        }
        let Some(decoder) = self.streams.decoder(link) else { return };
        match decoder.decode(bytes, &mut self.names, self.proxies) {
            Ok(decoded) => {
                for cause in decoded.malformed {
                    self.news_malformed += 1;
                    self.note(cause);
                }
                let mut out = Vec::new();
                self.streams.heard(now, link, decoded.events, &mut out);
                self.take_news(now, out);
            }
            Err(cause) => self.drop_event_stream(now, link, &cause),
        }
    }

    fn drop_event_stream(&mut self, now: Nanos, link: LinkId, cause: &str) {
        self.todo.acts.push(LinkAction::Close { link });
        self.link_lost(now, link, cause);
    }

    fn take_news(&mut self, now: Nanos, news: Vec<RelayEvent>) {
        for news in news {
            self.events.push(match news {
                RelayEvent::Joined { proxy, zone, usual_rate } => {
                    self.takeovers.joined(now, proxy);
                    self.coverage.joined(now, proxy, zone);
                    self.todo.log.push(LogEvent::ProxyJoined { proxy, zone });
                    Event::ProxyJoined { proxy, zone, usual_rate }
                }
                RelayEvent::Left { proxy } => {
                    self.takeovers.left(proxy);
                    self.order_queue.left(proxy);
                    self.coverage.left(proxy);
                    self.todo.log.push(LogEvent::ProxyLeft { proxy });
                    Event::ProxyLeft { proxy }
                }
                RelayEvent::Applied { proxy, mark } => {
                    self.takeovers.applied(now);
                    Event::Applied { proxy, mark }
                }
            });
        }
    }

    /// A whole answer has come; `keeps`: the connection may be used again.
    pub fn answered(&mut self, now: Nanos, link: LinkId, response: &Response<Bytes>, keeps: bool) {
        let (status, body) = (response.status(), response.body());
        if self.order_queue.has(link) {
            let retried = self.order_queue.retried;
            let answered = self.order_queue.answered(now, body, keeps, &mut self.todo.acts);
            self.log_retry(retried, answered.as_ref().err().map_or("turned away for now", String::as_str));
            if let Err(cause) = answered {
                self.note(cause);
            }
            if self.order_queue.is_throttled() {
                self.coverage.begin_anew(now);
            }
        } else if self.watch.has(link) {
            let list = if status == StatusCode::OK {
                discovery::parse(body, &mut self.names)
            } else {
                Err(format!("discovery answers {status}"))
            };
            match list {
                Ok(roster) => match self.watch.answered(now, &roster, keeps, &mut self.todo.acts) {
                    Ok(()) => {
                        let (revision, whole) = (roster.revision, roster.complete);
                        let changed = self.take_roster(now, roster, None);
                        self.starts.list_taken(now);
                        let listed = self.listed.len();
                        self.todo.log.push(LogEvent::ListReceived { revision, whole, changed, listed });
                    }
                    Err(cause) => self.list_failed(&cause),
                },
                Err(cause) => {
                    self.watch.failed(&mut self.todo.acts);
                    self.list_failed(&cause);
                }
            }
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.todo.acts.push(LinkAction::Close { link });
            let report = probe::parse_report(body, &self.names);
            self.events.push(Event::Probed {
                server,
                outcome: probes::outcome(status),
                latency: took,
                report,
            });
        } else if self.streams.has(link) {
            self.drop_event_stream(now, link, "the relay has ended its news");
        }
    }

    /// A link has ended by itself, or never came up.
    pub fn link_lost(&mut self, now: Nanos, link: LinkId, cause: &str) {
        if self.order_queue.has(link) {
            let retried = self.order_queue.retried;
            self.order_queue.lost(now);
            self.log_retry(retried, cause);
        } else if self.watch.has(link) {
            if self.watch.lost(now) {
                self.list_failed(cause);
            }
        } else if self.streams.has(link) {
            let mut out = Vec::new();
            self.streams.lost(now, link, &mut out);
            let streams = self.streams.streams();
            self.todo.log.push(LogEvent::StreamEnded { cause: cause.to_owned(), streams });
            self.take_news(now, out);
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.probe_failed(server, took);
        }
    }

    fn probe_failed(&mut self, server: ServerId, took: Nanos) {
        let report = LoadReport::default();
        self.events.push(Event::Probed { server, outcome: ProbeOutcome::Failed, latency: took, report });
    }

    fn list_failed(&mut self, cause: &str) {
        self.todo.log.push(LogEvent::WatchFailed { cause: cause.to_owned() });
        self.events.push(Event::List { scope: ListScope::Failed, entries: [].into() });
    }

    /// Takes a list in; how many servers are new or have changed.
    fn take_roster(&mut self, now: Nanos, roster: Roster, scope: Option<ListScope>) -> usize {
        let told = if roster.complete { ListScope::Whole } else { ListScope::Changes };
        let before = if roster.complete { std::mem::take(&mut self.listed) } else { BTreeMap::new() };
        let mut entries = Vec::with_capacity(roster.servers.len());
        let mut changed = 0;
        for (id, cause) in roster.malformed {
            // Whose entry can't be read stands as it was: it is listed all the same.
            if let Some(entry) = id.as_ref().and_then(|id| before.get(id)) {
                self.starts.still_listed(now, &entry.0.server);
                self.listed.insert(entry.0.server.clone(), entry.clone());
                entries.push(entry.0.clone());
            }
            self.note(cause);
        }
        for claimed in roster.servers.iter().filter_map(|(listing, _)| listing.started) {
            self.starts.learn_clock(now, claimed);
        }
        for (mut listing, address) in roster.servers {
            let start = self.starts.observe(now, &listing.server, listing.started);
            (listing.started, listing.is_start_certain) = (start.latest, start.is_certain);
            let known = before.get(&listing.server).or_else(|| self.listed.get(&listing.server));
            if known.is_none_or(|(known, _)| *known != listing) {
                changed += 1;
                self.todo.log.extend((scope != Some(ListScope::Remembered)).then(|| {
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
        self.events.push(Event::List { scope: scope.unwrap_or(told), entries: entries.into() });
        changed
    }

    fn note(&mut self, note: String) {
        self.todo.log.push(LogEvent::Note(note));
    }

    /// Logs that the call to the relay is made again, if it is; `before`: how many had been until now.
    fn log_retry(&mut self, before: u64, cause: &str) {
        if self.order_queue.retried > before {
            self.todo.log.push(LogEvent::CallRetried {
                cause: cause.to_owned(),
                failures: self.order_queue.failures(),
                orders_waiting: self.order_queue.waiting(),
            });
        }
    }

    /// Does what is due, and gives what the shell is to do.
    pub fn turn(&mut self, now: Nanos) -> Todo {
        self.settle_orders();
        if self.shutting_down {
            if self.backlog {
                self.clients.evict_idle(now, &mut self.todo.client_actions);
            }
        } else {
            self.clients.evict_overdue(now, &mut self.todo.client_actions);
            self.decide(now);
        }
        let retried = self.order_queue.retried;
        self.order_queue.turn(now, &mut self.links, &mut self.todo.acts);
        self.log_retry(retried, "no answer in time");
        self.look_for_lapses(now);
        self.pending.set_orders(self.order_queue.waiting());
        self.pending.orders_overtaken(self.order_queue.take_overtaken());
        self.todo.log.extend(self.takeovers.finished(now, self.streams.told()).map(LogEvent::Takeover));
        std::mem::take(&mut self.todo)
    }

    /// Logs who has lacked a line for longer than the settings allow.
    fn look_for_lapses(&mut self, now: Nanos) {
        let listed = self.listed.values().map(|(listing, _)| listing);
        for lapse in self.coverage.look(now, listed) {
            let class = self.class_names(ClassSet::of(lapse.class));
            let calls_failed = self.order_queue.failures();
            let orders_waiting = self.order_queue.waiting();
            self.todo.log.push(LogEvent::Lapse { lapse, class, calls_failed, orders_waiting });
        }
        for warning in self.coverage.take_warnings() {
            let class = self.class_names(ClassSet::of(warning.class));
            self.todo.log.push(LogEvent::NoLineWarning { warning, class });
        }
    }

    fn class_names(&self, classes: ClassSet) -> String {
        self.names.classes_in(classes).collect::<Vec<_>>().join("+")
    }

    /// An order was not carried out: the decisions are told, with the next step.
    fn refuse(&mut self, order: Order, cause: &'static str) {
        let text = relay::encode_order(&order, &self.names).unwrap_or_default();
        self.todo.log.push(LogEvent::OrderRefused { order: text, cause });
        self.events.push(Event::OrderRefused { order });
    }

    /// Tells what has become of orders: to the decisions where they count on what did not happen.
    fn settle_orders(&mut self) {
        for (order, outcome) in self.order_queue.take_settled() {
            self.coverage.settled(&order, outcome);
            match (outcome, order) {
                (Outcome::Refused, order) => self.refuse(order, "the relay can't use it"),
                (Outcome::Taken, Order::Bind { proxy, classes, table }) => {
                    let classes = self.class_names(classes);
                    self.todo.log.push(LogEvent::ProxyBound { proxy, table, classes });
                }
                (Outcome::Taken | Outcome::Superseded | Outcome::Void, _) => {}
            }
        }
    }

    /// Asked to end: what is ordered goes out, whoever asks on an open connection is answered, and nothing new is
    /// decided.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// In a shutdown: whether clients wait to be accepted, and there is no room for them.
    pub fn set_backlog(&mut self, backlog: bool) {
        self.backlog = backlog;
    }

    /// Whether nobody is connected and no order waits.
    pub fn is_finished(&self) -> bool {
        self.clients.is_empty() && self.pending.is_settled()
    }

    /// Whether nothing is owed to any client.
    pub fn clients_settled(&self) -> bool {
        self.pending.clients() == 0
    }

    /// The process ends now; what is owed counts as violated.
    pub fn abandon(&mut self) -> Violations {
        self.pending.abandon();
        self.pending.violations()
    }

    fn decide(&mut self, now: Nanos) {
        let mut news = Vec::new();
        self.streams.turn(now, &mut self.links, &mut self.todo.acts, &mut news);
        self.take_news(now, news);
        let overdue = self.probes.overdue(now, &mut self.todo.acts);
        overdue.into_iter().for_each(|(server, took)| self.probe_failed(server, took));
        if self.watch.turn(now, &mut self.links, &mut self.todo.acts) {
            self.list_failed("no answer in time");
        }
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Woken);
        }
        if !self.events.is_empty() && now - self.stepped >= GAP {
            self.step(now);
        }
        self.watch.turn(now, &mut self.links, &mut self.todo.acts);
    }

    fn step(&mut self, now: Nanos) {
        self.stepped = now;
        let events = std::mem::take(&mut self.events);
        for order in self.controller.step(now, &events) {
            match &order {
                Order::Wake { after } => {
                    let at = now + *after;
                    self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
                }
                Order::WatchList => self.watch.start(),
                Order::Probe { server } => {
                    let Some((_, address)) = self.listed.get(server) else { continue };
                    let (links, acts) = (&mut self.links, &mut self.todo.acts);
                    self.probes.start(now, server, *address, links, acts);
                }
                Order::Bind { proxy, .. } => self.order(now, &order, Some(*proxy)),
                Order::Line { .. } | Order::Level { .. } | Order::Mark { .. } => {
                    self.order(now, &order, None)
                }
            }
        }
        for transition in self.controller.take_transitions() {
            if let Transition::Server { server, to, .. } = &transition {
                self.coverage.set_shut_out(server, *to == ServerState::Out);
            }
            self.todo.log.push(LogEvent::Decision(transition));
        }
    }

    /// Whether an order may go out, whatever the decisions believe: no line for a server that is not listed as ready, no
    /// binding of a proxy that is not joined, and no further try of what must not run twice.
    pub fn permits(&self, order: &Order) -> bool {
        match order {
            Order::Line { server, weight, .. } => {
                let listed = self.listed.get(server);
                *weight <= 0.0 || listed.is_some_and(|(listing, _)| listing.readiness == Readiness::Ready)
            }
            Order::Bind { proxy, .. } => self.streams.is_told(*proxy),
            Order::Level { classes, retries: Retries::Once | Retries::Twice, .. } => {
                let named = (0u8..).zip(&self.repeats).filter(|(class, _)| classes.has(ClassId(*class)));
                named.into_iter().all(|(_, repeats)| *repeats == Repeats::Safe)
            }
            _ => true,
        }
    }

    /// Puts an order in line for the relay; of no use without that proxy.
    fn order(&mut self, now: Nanos, order: &Order, proxy: Option<ProxyId>) {
        if !self.permits(order) {
            self.pending.order_forbidden();
            return self.refuse(order.clone(), "it would break a rule");
        }
        self.orders += 1;
        self.takeovers.ordered(now, order);
        self.coverage.ordered(order);
        let subject = relay::coalescing_key(order);
        let encoded = |text| EncodedOrder { order: order.clone(), text, proxy, subject };
        self.order_queue.offer(relay::encode_order(order, &self.names).map(encoded));
    }

    /// When the next turn is due though nothing comes in.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        if self.shutting_down {
            let make_way = self.backlog.then_some(now + GAP);
            return [self.order_queue.next_at(), make_way].into_iter().flatten().min();
        }
        let step = (!self.events.is_empty()).then_some(self.stepped + GAP);
        let times = [
            step,
            self.wake_at,
            self.clients.next_at(),
            self.order_queue.next_at(),
            self.watch.next_at(),
            self.probes.next_at(),
            self.streams.next_at(now),
        ];
        times.into_iter().flatten().min()
    }

    /// What the decisions believe of load and health.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    pub fn status(&self) -> Status {
        let (collectors, unidentified) = self.clients.counts();
        Status {
            proxies: self.streams.told(),
            servers: self.listed.len(),
            collectors,
            unidentified,
            clients_pending: self.pending.clients(),
            reports: self.reports,
            reports_malformed: self.clients.malformed_reports,
            orders: self.orders,
            orders_waiting: self.order_queue.waiting(),
            orders_rejected: self.order_queue.rejected,
            calls_retried: self.order_queue.retried,
            event_streams: self.streams.streams(),
            events_malformed: self.news_malformed,
            violations: self.pending.violations(),
            coverage: self.coverage.figures(),
            longest_uncovered: self.coverage.worst().map(|worst| self.named(worst)),
            longest_without_line: self
                .coverage
                .worst_bare()
                .values()
                .map(|worst| self.named(worst))
                .collect(),
        }
    }

    fn named(&self, worst: &Worst) -> NamedLapse {
        let class = self.class_names(ClassSet::of(worst.lapse.class));
        NamedLapse { longest: worst.clone(), class, since_start: worst.at - self.born }
    }
}
