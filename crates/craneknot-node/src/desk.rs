//! The coordinator without I/O: what comes from peers and links becomes the decisions' events, and their orders
//! become calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use craneknot::interface::*;
use craneknot::Controller;
use craneknot_platform::config::Config;
use craneknot_platform::discovery::{self, Roster};
use craneknot_platform::news::News;
use craneknot_platform::{probe, relay};
use craneknot_settings::given::GivenNames;
use http::{Response, StatusCode};

use crate::door::{Door, GuestId, Service};
use crate::event_streams::EventStreams;
use crate::link::{Act, LinkId, Links};
use crate::outbox::{Outbox, Written};
use crate::probes::{self, Probes};
use crate::watch::Watch;

const GAP: Nanos = Nanos::from_millis(5); // ms; what comes together is decided on together
const NOTES: usize = 64; // between two turns: a storm of the same must not fill the log

/// What the shell is to do.
#[derive(Debug, Default)]
pub struct Todo {
    pub services: Vec<Service>,
    pub acts: Vec<Act>,
    /// For the log.
    pub notes: Vec<String>,
}

/// What an operator wants to know at a glance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    pub proxies: usize,
    pub servers: usize,
    pub collectors: usize,
    pub guests: usize,
    pub reports: u64,
    pub reports_malformed: u64,
    pub orders: u64,
    pub orders_waiting: usize,
    pub orders_rejected: u64,
    pub calls_retried: u64,
    pub event_streams: usize,
}

pub struct Desk {
    controller: Controller,
    names: GivenNames,
    proxies: u32,
    /// The servers as last listed, but for those removed.
    listed: BTreeMap<ServerId, (Listing, SocketAddr)>,
    links: Links,
    door: Door,
    streams: EventStreams,
    outbox: Outbox,
    watch: Watch,
    probes: Probes,
    events: Vec<Event>,
    stepped: Nanos,
    wake_at: Option<Nanos>,
    /// Asked to end: nothing more is decided.
    shutting_down: bool,
    todo: Todo,
    reports: u64,
    orders: u64,
}

impl Desk {
    pub fn new(config: Config, now: Nanos) -> Self {
        let revision = config.known.as_ref().map(|known| known.revision);
        let mut desk = Desk {
            proxies: config.settings.proxies,
            controller: Controller::new(config.settings, config.seed, now),
            names: config.names,
            listed: BTreeMap::new(),
            links: Links::default(),
            door: Door::new(config.sockets),
            streams: EventStreams::new(config.relay, now),
            outbox: Outbox::new(config.relay, now),
            watch: Watch::new(config.discovery, revision),
            probes: Probes::default(),
            events: Vec::new(),
            stepped: Nanos(0),
            wake_at: Some(now),
            shutting_down: false,
            todo: Todo { notes: config.notes, ..Todo::default() },
            reports: 0,
            orders: 0,
        };
        if let Some(known) = config.known {
            desk.take_roster(known, Some(ListScope::Remembered));
        }
        desk
    }

    /// A new configuration counts for where discovery and the relay are; all else is as at the start.
    pub fn reconfigure(&mut self, now: Nanos, config: &Config) {
        self.streams.move_to(now, config.relay);
        self.outbox.move_to(now, config.relay, &mut self.todo.acts);
        self.watch.move_to(config.discovery, &mut self.todo.acts);
    }

    pub fn guest_came(&mut self, now: Nanos, id: GuestId) {
        self.door.came(now, id, &mut self.todo.services);
    }

    pub fn guest_gone(&mut self, id: GuestId) {
        self.door.gone(id);
    }

    pub fn guest_input(&mut self, now: Nanos, id: GuestId, input: &mut BytesMut) {
        self.door.heard(now, id);
        let before = self.events.len();
        self.door.take(id, input, &self.names, self.proxies, &mut self.events, &mut self.todo.services);
        self.reports += (self.events.len() - before) as u64;
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
        match decoder.take(bytes, &mut self.names, self.proxies) {
            Ok(news) => {
                let mut out = Vec::new();
                self.streams.heard(now, link, news, &mut out);
                self.take_news(out);
            }
            Err(cause) => self.drop_event_stream(now, link, &cause),
        }
    }

    fn drop_event_stream(&mut self, now: Nanos, link: LinkId, cause: &str) {
        self.todo.acts.push(Act::Drop { link });
        self.link_lost(now, link, cause);
    }

    fn take_news(&mut self, news: Vec<News>) {
        for news in news {
            self.events.push(match news {
                News::Joined { proxy, zone, usual_rate } => Event::ProxyJoined { proxy, zone, usual_rate },
                News::Left { proxy } => {
                    self.outbox.left(proxy);
                    Event::ProxyLeft { proxy }
                }
                News::Applied { proxy, mark } => Event::Applied { proxy, mark },
            });
        }
    }

    /// A whole answer has come; `keeps`: the connection may be used again.
    pub fn answered(&mut self, now: Nanos, link: LinkId, response: &Response<Bytes>, keeps: bool) {
        let (status, body) = (response.status(), response.body());
        if self.outbox.has(link) {
            if let Err(cause) = self.outbox.answered(now, body, keeps, &mut self.todo.acts) {
                self.note(cause);
            }
        } else if self.watch.has(link) {
            let list = if status == StatusCode::OK {
                discovery::read(body, &mut self.names)
            } else {
                Err(format!("discovery answers {status}"))
            };
            match list {
                Ok(roster) => match self.watch.answered(now, &roster, keeps, &mut self.todo.acts) {
                    Ok(()) => self.take_roster(roster, None),
                    Err(cause) => self.list_failed(&cause),
                },
                Err(cause) => {
                    self.watch.failed(&mut self.todo.acts);
                    self.list_failed(&cause);
                }
            }
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.todo.acts.push(Act::Drop { link });
            let report = probe::report(body, &self.names);
            self.events.push(Event::Probed { server, outcome: probes::outcome(status), took, report });
        } else if self.streams.has(link) {
            self.drop_event_stream(now, link, "the relay has ended its news");
        }
    }

    /// A link has ended by itself, or never came up.
    pub fn link_lost(&mut self, now: Nanos, link: LinkId, cause: &str) {
        if self.outbox.has(link) {
            self.outbox.lost(now);
        } else if self.watch.has(link) {
            if self.watch.lost(now) {
                self.list_failed(cause);
            }
        } else if self.streams.has(link) {
            self.note(format!("a stream of news has ended: {cause}"));
            let mut out = Vec::new();
            self.streams.lost(now, link, &mut out);
            self.take_news(out);
        } else if let Some((server, took)) = self.probes.end(now, link) {
            self.probe_failed(server, took);
        }
    }

    fn probe_failed(&mut self, server: ServerId, took: Nanos) {
        let report = LoadReport::default();
        self.events.push(Event::Probed { server, outcome: ProbeOutcome::Failed, took, report });
    }

    fn list_failed(&mut self, cause: &str) {
        self.note(format!("the list can't be followed: {cause}"));
        self.events.push(Event::List { scope: ListScope::Failed, entries: [].into() });
    }

    fn take_roster(&mut self, roster: Roster, scope: Option<ListScope>) {
        let told = if roster.complete { ListScope::Whole } else { ListScope::Changes };
        let before = if roster.complete { std::mem::take(&mut self.listed) } else { BTreeMap::new() };
        let mut entries = Vec::with_capacity(roster.servers.len());
        for (id, cause) in roster.malformed {
            // Whose entry can't be read stands as it was: it is listed all the same.
            if let Some(entry) = id.as_ref().and_then(|id| before.get(id)) {
                self.listed.insert(entry.0.server.clone(), entry.clone());
                entries.push(entry.0.clone());
            }
            self.note(cause);
        }
        for (listing, address) in roster.servers {
            match listing.readiness {
                Readiness::Ready | Readiness::Draining => {
                    self.listed.insert(listing.server.clone(), (listing.clone(), address));
                }
                Readiness::Removed => drop(self.listed.remove(&listing.server)),
            }
            entries.push(listing);
        }
        self.events.push(Event::List { scope: scope.unwrap_or(told), entries: entries.into() });
    }

    fn note(&mut self, note: String) {
        if self.todo.notes.len() < NOTES {
            self.todo.notes.push(note);
        }
    }

    /// Does what is due, and gives what the shell is to do.
    pub fn turn(&mut self, now: Nanos) -> Todo {
        self.door.turn(now, &mut self.todo.services);
        if !self.shutting_down {
            self.decide(now);
        }
        self.outbox.turn(now, &mut self.links, &mut self.todo.acts);
        std::mem::take(&mut self.todo)
    }

    /// Asked to end: what is ordered goes out, whoever has come is answered, and nothing new begins.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    /// Whether nothing is owed any more: no order waits, and nobody who has come is still to be heard.
    pub fn settled(&self) -> bool {
        self.outbox.is_idle() && self.door.unanswered() == 0
    }

    fn decide(&mut self, now: Nanos) {
        let mut news = Vec::new();
        self.streams.turn(now, &mut self.links, &mut self.todo.acts, &mut news);
        self.take_news(news);
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
                    self.probes.begin(now, server, *address, links, acts);
                }
                Order::Bind { proxy, .. } => self.order(&order, Some(*proxy)),
                Order::Line { .. } | Order::Level { .. } | Order::Mark { .. } => self.order(&order, None),
            }
        }
    }

    /// Puts an order in line for the relay; of no use without that proxy.
    fn order(&mut self, order: &Order, proxy: Option<ProxyId>) {
        self.orders += 1;
        let written = |text| Written { text, proxy, subject: relay::subject(order) };
        self.outbox.offer(relay::order(order, &self.names).map(written));
    }

    /// When the next turn is due though nothing comes in.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        if self.shutting_down {
            return [self.door.next_at(), self.outbox.next_at()].into_iter().flatten().min();
        }
        let step = (!self.events.is_empty()).then_some(self.stepped + GAP);
        let times = [
            step,
            self.wake_at,
            self.door.next_at(),
            self.outbox.next_at(),
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
        let (collectors, guests) = self.door.counts();
        Status {
            proxies: self.streams.told(),
            servers: self.listed.len(),
            collectors,
            guests,
            reports: self.reports,
            reports_malformed: self.door.malformed,
            orders: self.orders,
            orders_waiting: self.outbox.waiting(),
            orders_rejected: self.outbox.rejected,
            calls_retried: self.outbox.retried,
            event_streams: self.streams.streams(),
        }
    }
}
