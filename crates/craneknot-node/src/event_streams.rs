//! The event streams of the relay. Two streams are kept open, and an event is passed on once, by whichever
//! stream delivers it first. So no event waits for a late or silent stream, and none is lost when a stream
//! breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_http::request;
use craneknot_platform::events::{self, Decoder, RelayEvent};
use http::{header, Method};

use crate::link::{backoff, LinkAction, LinkId, LinkIds};
use crate::presence::{Presence, StreamView};

const STREAM_COUNT: usize = 2; // with one, events are missed whenever it breaks
const SILENT_AFTER: Nanos = Nanos::from_millis(2_500); // a keep-alive arrives every second
/// A stream without input for this long may be missing events.
const QUIET_AFTER: Nanos = Nanos::from_millis(1_500);
const OPEN_TIMEOUT: Nanos = Nanos::from_millis(1_500); // to connect and receive the first byte
const SNAPSHOT_SPAN: Nanos = Nanos::from_millis(500); // a new stream has sent its snapshot by then
/// A report this long before the end of another stream may have been more than a repetition.
const REPEAT_WINDOW: Nanos = Nanos::from_millis(4_000);
// events may have been delayed by this much before a stream's last input
const OVERLAP: Nanos = Nanos::from_millis(500);
// twice the time that a new stream needs for its snapshot
const ESTABLISHED_AFTER: Nanos = Nanos::from_millis(1_000);
// how long the times of acknowledgements are kept: the silence of a stream, plus the overlap before it
const APPLIED_RETENTION: Nanos = Nanos::from_millis(4_000);
// wait before the first redial, doubled with each further one
const INITIAL_BACKOFF: Nanos = Nanos::from_millis(50);
const MAX_BACKOFF: Nanos = Nanos::from_millis(800);

/// One stream, and what it has reported.
struct EventStream {
    link: LinkId,
    address: SocketAddr,
    dialled_at: Nanos,
    /// When its first byte arrived, and its last.
    opened_at: Option<Nanos>,
    last_input_at: Nanos,
    decoder: Decoder,
    view: StreamView,
}

impl EventStream {
    fn is_alive(&self, now: Nanos) -> bool {
        self.opened_at.is_some() && now - self.last_input_at < SILENT_AFTER
    }

    /// It has sent its snapshot and is still alive.
    fn is_established(&self, now: Nanos) -> bool {
        self.is_alive(now) && self.opened_at.is_some_and(|opened_at| now - opened_at >= ESTABLISHED_AFTER)
    }

    fn is_quiet(&self, now: Nanos) -> bool {
        now - self.last_input_at >= QUIET_AFTER
    }

    /// When its snapshot will be complete; `None`: it is complete, or has not begun.
    fn snapshot_due_at(&self) -> Option<Nanos> {
        self.opened_at
            .filter(|_| !self.view.is_snapshot_complete())
            .map(|opened_at| opened_at + SNAPSHOT_SPAN)
    }
}

/// The streams that would report the leaving of a proxy.
fn tracking(streams: &[EventStream], now: Nanos) -> impl Iterator<Item = &EventStream> {
    streams.iter().filter(move |stream| stream.opened_at.is_some() && !stream.is_quiet(now))
}

/// All streams, and what they have reported together.
pub struct EventStreams {
    address: SocketAddr,
    streams: Vec<EventStream>,
    presence: Presence,
    /// The acknowledgements passed on recently, with their times: the other streams deliver them too.
    applied_at: BTreeMap<(ProxyId, u16), Nanos>,
    /// When the remaining streams have had time to report what an ended stream reported last.
    uncertainty_ends_at: Option<Nanos>,
    next_dial_at: Nanos,
    failures: u32,
}

impl EventStreams {
    /// Dials streams of the relay at this address.
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        EventStreams {
            address,
            streams: Vec::new(),
            presence: Presence::default(),
            applied_at: BTreeMap::new(),
            uncertainty_ends_at: None,
            next_dial_at: now,
            failures: 0,
        }
    }

    /// Whether a link is one of the streams.
    pub fn has(&self, link: LinkId) -> bool {
        self.streams.iter().any(|stream| stream.link == link)
    }

    /// The relay has a new address. Streams from the old address remain in use until new ones are
    /// established.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr) {
        if self.address != address {
            (self.address, self.next_dial_at, self.failures) = (address, now, 0);
        }
    }

    /// Closes and dials streams when that is due.
    pub fn turn(
        &mut self,
        now: Nanos,
        links: &mut LinkIds,
        link_actions: &mut Vec<LinkAction>,
        out: &mut Vec<RelayEvent>,
    ) {
        self.complete_snapshots(now, out);
        self.drop_late(now, link_actions, out);
        self.confirm(now, out);
        self.resolve_uncertain(now, out);
        if self.needs_dial(now) && now >= self.next_dial_at {
            self.dial(now, links, link_actions);
        }
    }

    /// Closes streams that never opened or have fallen silent. The one with the latest input is kept while no
    /// other is alive, because a partitioned stream may recover.
    fn drop_late(&mut self, now: Nanos, link_actions: &mut Vec<LinkAction>, out: &mut Vec<RelayEvent>) {
        let is_any_alive = self.streams.iter().any(|stream| stream.is_alive(now));
        let opened = self.streams.iter().filter(|stream| stream.opened_at.is_some());
        let last = opened.max_by_key(|stream| stream.last_input_at).map(|stream| stream.link);
        let address = self.address;
        let established = self
            .streams
            .iter()
            .filter(|stream| stream.address == address && stream.is_established(now))
            .count();
        let has_timed_out = |stream: &EventStream| match stream.opened_at {
            None => now - stream.dialled_at >= OPEN_TIMEOUT,
            Some(_) if stream.address != address && established >= STREAM_COUNT => true,
            Some(_) => !stream.is_alive(now) && (is_any_alive || Some(stream.link) != last),
        };
        let timed_out = self.streams.iter().filter(|stream| has_timed_out(stream)).map(|stream| stream.link);
        for link in timed_out.collect::<Vec<_>>() {
            link_actions.push(LinkAction::Close { link });
            self.lost(now, link, out);
        }
    }

    fn dial(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) {
        let (link, address) = (links.next_id(), self.address);
        let headers = [(header::ACCEPT, "text/event-stream")];
        let request = request(&Method::GET, events::PATH, &address.to_string(), &headers, b"");
        link_actions.push(LinkAction::Dial { link, address, request });
        self.streams.push(EventStream {
            link,
            address,
            dialled_at: now,
            opened_at: None,
            last_input_at: now,
            decoder: Decoder::default(),
            view: self.presence.new_view(),
        });
        self.next_dial_at = now + self.backoff_wait();
    }

    /// Whether too few streams from the current address are alive or may still open.
    fn needs_dial(&self, now: Nanos) -> bool {
        let current = self.streams.iter().filter(|stream| stream.address == self.address);
        current.filter(|stream| stream.opened_at.is_none() || stream.is_alive(now)).count() < STREAM_COUNT
    }

    fn backoff_wait(&self) -> Nanos {
        backoff(self.failures, INITIAL_BACKOFF, MAX_BACKOFF)
    }

    /// The decoder of a stream.
    pub fn decoder(&mut self, link: LinkId) -> Option<&mut Decoder> {
        self.streams.iter_mut().find(|stream| stream.link == link).map(|stream| &mut stream.decoder)
    }

    /// Bytes with these events were received on a stream.
    pub fn receive(
        &mut self,
        now: Nanos,
        link: LinkId,
        relay_events: Vec<RelayEvent>,
        out: &mut Vec<RelayEvent>,
    ) {
        let Some(index) = self.streams.iter().position(|stream| stream.link == link) else { return };
        let mut stream = self.streams.remove(index);
        if stream.opened_at.is_none() {
            stream.opened_at = Some(now);
            self.failures = 0;
        }
        stream.last_input_at = now;
        for relay_event in relay_events {
            self.apply(now, &mut stream.view, relay_event, out);
        }
        self.streams.insert(index, stream);
        self.complete_snapshots(now, out);
        self.confirm(now, out);
        self.applied_at.retain(|_, at| now - *at < APPLIED_RETENTION);
    }

    /// Applies an event of a stream that is temporarily removed from `streams`.
    fn apply(
        &mut self,
        now: Nanos,
        view: &mut StreamView,
        relay_event: RelayEvent,
        out: &mut Vec<RelayEvent>,
    ) {
        let is_tracked = self.is_tracked(now, relay_event.proxy());
        match relay_event {
            RelayEvent::Joined { .. } => self.presence.apply_joined(now, view, &relay_event, is_tracked, out),
            RelayEvent::Left { proxy } => self.presence.apply_left(now, view, proxy, is_tracked, out),
            RelayEvent::Applied { proxy, mark } => {
                let is_new = self.applied_at.insert((proxy, mark), now).is_none();
                out.extend((is_new && self.presence.is_joined(proxy)).then_some(relay_event));
            }
        }
    }

    /// Whether a stream that is not quiet has reported all that is known of a proxy, and would report its
    /// leaving.
    fn is_tracked(&self, now: Nanos, proxy: ProxyId) -> bool {
        tracking(&self.streams, now).any(|stream| self.presence.is_tracked(&stream.view, proxy))
    }

    /// A stream has ended.
    pub fn lost(&mut self, now: Nanos, link: LinkId, out: &mut Vec<RelayEvent>) {
        let Some(index) = self.streams.iter().position(|stream| stream.link == link) else { return };
        let ended = self.streams.remove(index);
        self.next_dial_at = self.next_dial_at.max(now + self.backoff_wait());
        self.failures += 1;
        // A stream that never opened has reported nothing.
        if ended.opened_at.is_some() {
            let mut remaining: Vec<&mut StreamView> =
                self.streams.iter_mut().map(|stream| &mut stream.view).collect();
            self.presence.mark_uncertain(&mut remaining, now - REPEAT_WINDOW);
            self.uncertainty_ends_at = Some(now + SNAPSHOT_SPAN);
        }
        self.confirm(now, out);
    }

    /// Whether a proxy left and joined again before a stream began can be reported by a stream that was open
    /// before. That stream has reported it some time later; or it has ended or is quiet, and the proxies
    /// concerned are reported as joined again.
    fn confirm(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        for index in 0..self.streams.len() {
            let mut stream = self.streams.remove(index);
            if let Some(since) = stream.view.assumed_since().filter(|_| !stream.is_quiet(now)) {
                let others = self
                    .streams
                    .iter()
                    .filter(|other| other.opened_at.is_some_and(|opened_at| opened_at <= since));
                let latest = others.max_by_key(|other| other.last_input_at);
                match latest.filter(|other| !other.is_quiet(now)) {
                    Some(other) => stream.view.confirm(other.last_input_at - OVERLAP, &other.view),
                    None => self.presence.rejoin_assumed(&mut stream.view, out),
                }
            }
            self.streams.insert(index, stream);
        }
    }

    /// Streams that have been open for long enough have sent their snapshot. Proxies not named in it have
    /// left, unless a stream that is not quiet would have reported that.
    fn complete_snapshots(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        for index in 0..self.streams.len() {
            let mut stream = self.streams.remove(index);
            if stream.snapshot_due_at().is_some_and(|at| at <= now) {
                let tracking_views: Vec<&StreamView> =
                    tracking(&self.streams, now).map(|other| &other.view).collect();
                self.presence.complete_snapshot(&mut stream.view, &tracking_views, out);
            }
            self.streams.insert(index, stream);
        }
    }

    /// After the end of a stream the others have had time to report what it reported last.
    fn resolve_uncertain(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        let Some(at) = self.uncertainty_ends_at.filter(|at| *at <= now) else { return };
        self.uncertainty_ends_at = None;
        for index in 0..self.streams.len() {
            let mut stream = self.streams.remove(index);
            // A stream without input since then may still have the report in transit.
            if stream.last_input_at + SNAPSHOT_SPAN > at {
                let others = &self.streams;
                let is_tracked = |presence: &Presence, proxy| {
                    others.iter().any(|other| !other.is_quiet(now) && presence.is_tracked(&other.view, proxy))
                };
                self.presence.resolve_uncertain(&mut stream.view, is_tracked, out);
            } else if stream.is_alive(now) && stream.view.is_uncertain() {
                self.uncertainty_ends_at = Some(now + SNAPSHOT_SPAN);
            }
            self.streams.insert(index, stream);
        }
    }

    /// Number of streams that have opened.
    pub fn open_streams(&self) -> usize {
        self.streams.iter().filter(|stream| stream.opened_at.is_some()).count()
    }

    /// Number of proxies reported as joined.
    pub fn joined_count(&self) -> usize {
        self.presence.joined_count()
    }

    /// Whether a proxy is reported as joined.
    pub fn is_joined(&self, proxy: ProxyId) -> bool {
        self.presence.is_joined(proxy)
    }

    /// When the next stream that others may wait for becomes quiet.
    fn quiet_at(&self, now: Nanos) -> Option<Nanos> {
        let is_awaited = self.streams.iter().any(|stream| stream.view.assumed_since().is_some());
        let quiet_times =
            self.streams.iter().map(|stream| stream.last_input_at + QUIET_AFTER).filter(|at| *at > now);
        quiet_times.min().filter(|_| is_awaited)
    }

    /// When the next turn is due if no input arrives. A silent stream that is kept sets no time.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        let settled = self.streams.iter().filter_map(EventStream::snapshot_due_at);
        let streams = self.streams.iter().filter_map(|stream| match stream.opened_at {
            None => Some(stream.dialled_at + OPEN_TIMEOUT),
            Some(_) => stream.is_alive(now).then_some(stream.last_input_at + SILENT_AFTER),
        });
        let dial = self.needs_dial(now).then_some(self.next_dial_at);
        settled.chain(streams).chain(self.quiet_at(now)).chain(self.uncertainty_ends_at).chain(dial).min()
    }
}
