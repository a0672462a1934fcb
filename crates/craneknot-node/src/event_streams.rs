//! The event streams of the relay: two are held, and what either brings first is passed on, once. So nothing waits for a
//! stream that is late or silent, and nothing is lost with one that breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_http::request;
use craneknot_platform::events::{self, Decoder, RelayEvent};
use http::{header, Method};

use crate::link::{backoff, LinkAction, LinkId, LinkIds};
use crate::presence::{Account, Presence};

const HELD: usize = 2; // streams: with one, news is missed whenever it breaks
const SILENT: Nanos = Nanos::from_millis(2_500); // ms; a sign of life comes every second
const QUIET: Nanos = Nanos::from_millis(1_500); // ms; a stream this long without a sign of life may miss what happens
const OPEN_MOST: Nanos = Nanos::from_millis(1_500); // ms; to be connected and hear the first byte
const SETTLED: Nanos = Nanos::from_millis(500); // ms; what stands has been told by then, on a new stream
const REPEATED: Nanos = Nanos::from_millis(4_000); // ms; what a stream told so long before another ended may have been more
                                                   // than a repetition
const OVERLAP: Nanos = Nanos::from_millis(500); // ms; before a stream's last word, news may have been on its way
const RIPE: Nanos = Nanos::from_millis(1_000); // ms; a stream open for so long has told what stands twice over
const KEPT: Nanos = Nanos::from_millis(4_000); // ms; acknowledgements: a stream's silence and the overlap before
const BACKOFF: Nanos = Nanos::from_millis(50); // ms; first wait before dialling again, doubled each time
const BACKOFF_MOST: Nanos = Nanos::from_millis(800); // ms; the longest

/// One stream, and what it has told.
struct EventStream {
    link: LinkId,
    address: SocketAddr,
    dialled: Nanos,
    /// When its first byte came, and its last.
    open: Option<Nanos>,
    heard: Nanos,
    decoder: Decoder,
    account: Account,
}

impl EventStream {
    fn speaks(&self, now: Nanos) -> bool {
        self.open.is_some() && now - self.heard < SILENT
    }

    /// It has told what stands, and speaks on.
    fn ripe(&self, now: Nanos) -> bool {
        self.speaks(now) && self.open.is_some_and(|open| now - open >= RIPE)
    }

    fn is_quiet(&self, now: Nanos) -> bool {
        now - self.heard >= QUIET
    }

    /// When it has told what stands; nothing: that is over, or has not begun.
    fn settles_at(&self) -> Option<Nanos> {
        self.open.filter(|_| !self.account.is_settled()).map(|open| open + SETTLED)
    }
}

/// The streams that would tell of a proxy's leaving.
fn following(streams: &[EventStream], now: Nanos) -> impl Iterator<Item = &EventStream> {
    streams.iter().filter(move |stream| stream.open.is_some() && !stream.is_quiet(now))
}

/// All streams, and what they have told together.
pub struct EventStreams {
    address: SocketAddr,
    streams: Vec<EventStream>,
    presence: Presence,
    /// The acknowledgements told of late, and when: other streams bring them too.
    applied: BTreeMap<(ProxyId, u16), Nanos>,
    /// When the streams that remain have had time to tell what one that has ended told last.
    doubt_ends: Option<Nanos>,
    dial_at: Nanos,
    failures: u32,
}

impl EventStreams {
    /// Streams of the relay at this address.
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        EventStreams {
            address,
            streams: Vec::new(),
            presence: Presence::default(),
            applied: BTreeMap::new(),
            doubt_ends: None,
            dial_at: now,
            failures: 0,
        }
    }

    /// Whether a link is one of the streams.
    pub fn has(&self, link: LinkId) -> bool {
        self.streams.iter().any(|stream| stream.link == link)
    }

    /// The relay is elsewhere from now on. Streams from its old address serve until new ones speak.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr) {
        if self.address != address {
            (self.address, self.dial_at, self.failures) = (address, now, 0);
        }
    }

    /// Ends and dials streams where that is due.
    pub fn turn(
        &mut self,
        now: Nanos,
        links: &mut LinkIds,
        acts: &mut Vec<LinkAction>,
        out: &mut Vec<RelayEvent>,
    ) {
        self.settle(now, out);
        self.end_late(now, acts, out);
        self.confirm(now, out);
        self.end_doubt(now, out);
        if self.wants_more(now) && now >= self.dial_at {
            self.dial(now, links, acts);
        }
    }

    /// Ends streams that never opened, or fell silent. The last one heard is kept while nothing else speaks, since what
    /// is cut off may come back.
    fn end_late(&mut self, now: Nanos, acts: &mut Vec<LinkAction>, out: &mut Vec<RelayEvent>) {
        let speaking = self.streams.iter().any(|stream| stream.speaks(now));
        let open = self.streams.iter().filter(|stream| stream.open.is_some());
        let last = open.max_by_key(|stream| stream.heard).map(|stream| stream.link);
        let address = self.address;
        let moved =
            self.streams.iter().filter(|stream| stream.address == address && stream.ripe(now)).count();
        let late = |stream: &EventStream| match stream.open {
            None => now - stream.dialled >= OPEN_MOST,
            Some(_) if stream.address != address && moved >= HELD => true,
            Some(_) => !stream.speaks(now) && (speaking || Some(stream.link) != last),
        };
        let late = self.streams.iter().filter(|stream| late(stream)).map(|stream| stream.link);
        for link in late.collect::<Vec<_>>() {
            acts.push(LinkAction::Close { link });
            self.lost(now, link, out);
        }
    }

    fn dial(&mut self, now: Nanos, links: &mut LinkIds, acts: &mut Vec<LinkAction>) {
        let (link, address) = (links.next_id(), self.address);
        let headers = [(header::ACCEPT, "text/event-stream")];
        let request = request(&Method::GET, events::PATH, &address.to_string(), &headers, b"");
        acts.push(LinkAction::Dial { link, address, request });
        self.streams.push(EventStream {
            link,
            address,
            dialled: now,
            open: None,
            heard: now,
            decoder: Decoder::default(),
            account: self.presence.open_account(),
        });
        self.dial_at = now + self.wait();
    }

    /// Whether too few streams of the present address speak, or may still open.
    fn wants_more(&self, now: Nanos) -> bool {
        let here = self.streams.iter().filter(|stream| stream.address == self.address);
        here.filter(|stream| stream.open.is_none() || stream.speaks(now)).count() < HELD
    }

    fn wait(&self) -> Nanos {
        backoff(self.failures, BACKOFF, BACKOFF_MOST)
    }

    /// What reads a stream's bytes.
    pub fn decoder(&mut self, link: LinkId) -> Option<&mut Decoder> {
        self.streams.iter_mut().find(|stream| stream.link == link).map(|stream| &mut stream.decoder)
    }

    /// Bytes have come on a stream, with this news in them.
    pub fn heard(&mut self, now: Nanos, link: LinkId, news: Vec<RelayEvent>, out: &mut Vec<RelayEvent>) {
        let Some(place) = self.streams.iter().position(|stream| stream.link == link) else { return };
        let mut stream = self.streams.remove(place);
        if stream.open.is_none() {
            stream.open = Some(now);
            self.failures = 0;
        }
        stream.heard = now;
        for news in news {
            self.take(now, &mut stream.account, news, out);
        }
        self.streams.insert(place, stream);
        self.settle(now, out);
        self.confirm(now, out);
        self.applied.retain(|_, at| now - *at < KEPT);
    }

    /// Takes news of a stream that is not among the others for the moment.
    fn take(&mut self, now: Nanos, account: &mut Account, news: RelayEvent, out: &mut Vec<RelayEvent>) {
        let is_followed = self.is_followed(now, news.proxy());
        match news {
            RelayEvent::Joined { .. } => self.presence.take_joined(now, account, &news, is_followed, out),
            RelayEvent::Left { proxy } => self.presence.take_left(now, account, proxy, is_followed, out),
            RelayEvent::Applied { proxy, mark } => {
                let is_new = self.applied.insert((proxy, mark), now).is_none();
                out.extend((is_new && self.presence.is_joined(proxy)).then_some(news));
            }
        }
    }

    /// Whether a stream that is not quiet has told all that is known of a proxy, and would tell of its leaving.
    fn is_followed(&self, now: Nanos, proxy: ProxyId) -> bool {
        following(&self.streams, now).any(|stream| self.presence.is_followed(&stream.account, proxy))
    }

    /// A stream has ended.
    pub fn lost(&mut self, now: Nanos, link: LinkId, out: &mut Vec<RelayEvent>) {
        let Some(place) = self.streams.iter().position(|stream| stream.link == link) else { return };
        let ended = self.streams.remove(place);
        self.dial_at = self.dial_at.max(now + self.wait());
        self.failures += 1;
        // One that never opened has told nothing.
        if ended.open.is_some() {
            let mut remaining: Vec<&mut Account> =
                self.streams.iter_mut().map(|stream| &mut stream.account).collect();
            self.presence.doubt(&mut remaining, now - REPEATED);
            self.doubt_ends = Some(now + SETTLED);
        }
        self.confirm(now, out);
    }

    /// Whether a proxy came and went before a stream began is told by one that was open before: it has done so by some
    /// time after, or it is gone or quiet, and whoever may have done so is told as joined anew.
    fn confirm(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        for place in 0..self.streams.len() {
            let mut stream = self.streams.remove(place);
            if let Some(since) = stream.account.assumed_since().filter(|_| !stream.is_quiet(now)) {
                let others = self.streams.iter().filter(|other| other.open.is_some_and(|open| open <= since));
                let spoke_last = others.max_by_key(|other| other.heard);
                match spoke_last.filter(|other| !other.is_quiet(now)) {
                    Some(other) => stream.account.confirm(other.heard - OVERLAP, &other.account),
                    None => self.presence.join_assumed_anew(&mut stream.account, out),
                }
            }
            self.streams.insert(place, stream);
        }
    }

    /// Streams that have opened for long enough have told what stands; who is not named has left, unless a stream that
    /// is not quiet would have told of it.
    fn settle(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        for place in 0..self.streams.len() {
            let mut stream = self.streams.remove(place);
            if stream.settles_at().is_some_and(|at| at <= now) {
                let followers: Vec<&Account> =
                    following(&self.streams, now).map(|other| &other.account).collect();
                self.presence.settle(&mut stream.account, &followers, out);
            }
            self.streams.insert(place, stream);
        }
    }

    /// After a stream has ended the others have had time to tell what it told last.
    fn end_doubt(&mut self, now: Nanos, out: &mut Vec<RelayEvent>) {
        let Some(at) = self.doubt_ends.filter(|at| *at <= now) else { return };
        self.doubt_ends = None;
        for place in 0..self.streams.len() {
            let mut stream = self.streams.remove(place);
            // One that has been silent since may have it on its way.
            if stream.heard + SETTLED > at {
                let others = &self.streams;
                let is_followed = |presence: &Presence, proxy| {
                    others
                        .iter()
                        .any(|other| !other.is_quiet(now) && presence.is_followed(&other.account, proxy))
                };
                self.presence.end_doubt(&mut stream.account, is_followed, out);
            } else if stream.speaks(now) && stream.account.is_doubted() {
                self.doubt_ends = Some(now + SETTLED);
            }
            self.streams.insert(place, stream);
        }
    }

    /// Streams that have opened.
    pub fn streams(&self) -> usize {
        self.streams.iter().filter(|stream| stream.open.is_some()).count()
    }

    /// Proxies told as joined.
    pub fn told(&self) -> usize {
        self.presence.joined()
    }

    /// Whether a proxy is told as joined.
    pub fn is_told(&self, proxy: ProxyId) -> bool {
        self.presence.is_joined(proxy)
    }

    /// When the next stream will be quiet that others may wait for.
    fn quiet_at(&self, now: Nanos) -> Option<Nanos> {
        let is_awaited = self.streams.iter().any(|stream| stream.account.assumed_since().is_some());
        let quiet = self.streams.iter().map(|stream| stream.heard + QUIET).filter(|at| *at > now);
        quiet.min().filter(|_| is_awaited)
    }

    /// When the next turn is due though nothing comes in. A stream that is silent, and kept, sets no time.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        let settled = self.streams.iter().filter_map(EventStream::settles_at);
        let streams = self.streams.iter().filter_map(|stream| match stream.open {
            None => Some(stream.dialled + OPEN_MOST),
            Some(_) => stream.speaks(now).then_some(stream.heard + SILENT),
        });
        let dial = self.wants_more(now).then_some(self.dial_at);
        settled.chain(streams).chain(self.quiet_at(now)).chain(self.doubt_ends).chain(dial).min()
    }
}
