//! Which stream of the relay's news counts. Two are held: one leads, and what it tells is passed on; the other
//! only keeps the books, so that it can take over at once when the first breaks or falls silent.
//!
//! A binding ends with the proxy's stream. Whoever may have left and come again unseen between two leaders is
//! therefore told as joined anew.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_http::request;
use craneknot_platform::news::{self, Decoder, News};
use http::{header, Method};

use crate::link::{backoff, Act, LinkId, Links};

const HELD: usize = 2; // streams: with one, news is missed whenever it breaks
const SILENT: Nanos = Nanos::from_millis(2_500); // ms; a sign of life comes every second
const QUIET: Nanos = Nanos::from_millis(1_500); // ms; a leader this long without its sign, while another has had one
const OPEN_MOST: Nanos = Nanos::from_millis(1_500); // ms; to be connected and hear the first byte
const SETTLED: Nanos = Nanos::from_millis(500); // ms; what stands has been told by then, on a new stream
const OVERLAP: Nanos = Nanos::from_millis(500); // ms; before a leader's last word, news may have been on its way
const RIPE: Nanos = Nanos::from_millis(1_000); // ms; a stream open for so long can lead without a word twice
const KEPT: Nanos = Nanos::from_millis(4_000); // ms; acknowledgements: a leader's silence and the overlap before
const BACKOFF: Nanos = Nanos::from_millis(50); // ms; first wait before dialling again, doubled each time
const BACKOFF_MOST: Nanos = Nanos::from_millis(800); // ms; the longest

/// One stream, and the proxies that it knows as joined.
struct EventStream {
    link: LinkId,
    address: SocketAddr,
    dialled: Nanos,
    /// When its first byte came, and its last.
    open: Option<Nanos>,
    heard: Nanos,
    decoder: Decoder,
    /// By proxy: how it joined, and when that was told.
    joined: BTreeMap<ProxyId, (News, Nanos)>,
    /// The acknowledgements of late, and when they came.
    applied: VecDeque<(Nanos, News)>,
}

impl EventStream {
    fn speaks(&self, now: Nanos) -> bool {
        self.open.is_some() && now - self.heard < SILENT
    }

    /// It has told what stands well before the leader it may follow spoke last.
    fn ripe(&self, now: Nanos) -> bool {
        self.speaks(now) && self.open.is_some_and(|open| now - open >= RIPE)
    }
}

/// Drops what is older than is kept.
fn forget_old(kept: &mut VecDeque<(Nanos, News)>, now: Nanos) {
    while kept.front().is_some_and(|(at, _)| now - *at >= KEPT) {
        kept.pop_front();
    }
}

pub struct EventStreams {
    address: SocketAddr,
    streams: Vec<EventStream>,
    lead: Option<LinkId>,
    /// Proxies told as joined.
    told: BTreeSet<ProxyId>,
    /// Acknowledgements told of late: the next leader has heard some of them too.
    told_applied: VecDeque<(Nanos, News)>,
    /// Since then the leader has told what stands; who was not named by the end has left.
    settling: Option<Nanos>,
    /// The last word of the leader before.
    last_word: Nanos,
    dial_at: Nanos,
    failures: u32,
}

impl EventStreams {
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        EventStreams {
            address,
            streams: Vec::new(),
            lead: None,
            told: BTreeSet::new(),
            told_applied: VecDeque::new(),
            settling: None,
            last_word: Nanos(0),
            dial_at: now,
            failures: 0,
        }
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.streams.iter().any(|stream| stream.link == link)
    }

    /// The relay is elsewhere from now on. Streams from its old address serve until new ones speak.
    pub fn move_to(&mut self, now: Nanos, address: SocketAddr) {
        if self.address != address {
            (self.address, self.dial_at, self.failures) = (address, now, 0);
        }
    }

    pub fn turn(&mut self, now: Nanos, links: &mut Links, acts: &mut Vec<Act>, out: &mut Vec<News>) {
        self.end_settling(now, out);
        // Streams that never opened, or fell silent; the last one that led is kept while nothing else speaks,
        // since what is cut off may come back.
        let (lead, speaking) = (self.lead, self.streams.iter().any(|stream| stream.speaks(now)));
        let address = self.address;
        let moved =
            self.streams.iter().filter(|stream| stream.address == address && stream.ripe(now)).count();
        let late = |stream: &EventStream| match stream.open {
            None => now - stream.dialled >= OPEN_MOST,
            Some(_) if stream.address != address && moved >= HELD => true,
            Some(_) => !stream.speaks(now) && (speaking || Some(stream.link) != lead),
        };
        for link in
            self.streams.iter().filter(|stream| late(stream)).map(|stream| stream.link).collect::<Vec<_>>()
        {
            acts.push(Act::Drop { link });
            self.lost(now, link, out);
        }
        self.choose_lead(now, out);
        if self.wants_more(now) && now >= self.dial_at {
            let link = links.name();
            let headers = [(header::ACCEPT, "text/event-stream")];
            let request = request(&Method::GET, news::PATH, &address.to_string(), &headers, b"");
            acts.push(Act::Dial { link, address, request });
            self.streams.push(EventStream {
                link,
                address,
                dialled: now,
                open: None,
                heard: now,
                decoder: Decoder::default(),
                joined: BTreeMap::new(),
                applied: VecDeque::new(),
            });
            self.dial_at = now + self.wait();
        }
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
    pub fn heard(&mut self, now: Nanos, link: LinkId, news: Vec<News>, out: &mut Vec<News>) {
        let Some(stream) = self.streams.iter_mut().find(|stream| stream.link == link) else { return };
        stream.open.get_or_insert(now);
        stream.heard = now;
        self.failures = 0;
        for news in &news {
            match news {
                News::Joined { proxy, .. } => drop(stream.joined.insert(*proxy, (news.clone(), now))),
                News::Left { proxy } => drop(stream.joined.remove(proxy)),
                News::Applied { .. } => stream.applied.push_back((now, news.clone())),
            }
        }
        forget_old(&mut stream.applied, now);
        if self.lead == Some(link) {
            self.last_word = now;
            for news in news {
                self.tell(now, news, out);
            }
        }
        self.choose_lead(now, out);
    }

    fn tell(&mut self, now: Nanos, news: News, out: &mut Vec<News>) {
        match &news {
            // Who joins while it counts as joined has left in between: what was bound and ordered is gone.
            News::Joined { proxy, .. } => {
                if !self.told.insert(*proxy) {
                    out.push(News::Left { proxy: *proxy });
                }
            }
            News::Left { proxy } => {
                if !self.told.remove(proxy) {
                    return;
                }
            }
            News::Applied { proxy, .. } => {
                if !self.told.contains(proxy) {
                    return;
                }
                self.told_applied.push_back((now, news.clone()));
                forget_old(&mut self.told_applied, now);
            }
        }
        out.push(news);
    }

    /// A stream has ended.
    pub fn lost(&mut self, now: Nanos, link: LinkId, out: &mut Vec<News>) {
        self.streams.retain(|stream| stream.link != link);
        self.dial_at = self.dial_at.max(now + self.wait());
        self.failures += 1;
        if self.lead == Some(link) {
            // Who stands is asked of the next leader; without one there is nothing to wait for.
            (self.lead, self.settling) = (None, None);
            self.choose_lead(now, out);
        }
    }

    /// Lets another stream lead where none does, or the leader is silent and another speaks.
    fn choose_lead(&mut self, now: Nanos, out: &mut Vec<News>) {
        // Who joins while the leader is quiet is bound late, and keeps lines of servers that are gone: another that
        // speaks has what the leader has not.
        let quiet = |stream: &EventStream| now - stream.heard >= QUIET;
        let leads = self.streams.iter().find(|stream| Some(stream.link) == self.lead && stream.speaks(now));
        if leads.is_some_and(|leader| !quiet(leader)) {
            return;
        }
        let speaking = self.streams.iter().filter(|stream| stream.speaks(now));
        let speaking = speaking.filter(|stream| leads.is_none() || !quiet(stream));
        // The one that has been open longest has settled first.
        let Some(next) = speaking.min_by_key(|stream| stream.open) else { return };
        self.lead = Some(next.link);
        self.settling = next.open;
        let since = self.last_word - OVERLAP;
        let anew =
            |(proxy, (_, at)): &(&ProxyId, &(News, Nanos))| *at >= since || !self.told.contains(*proxy);
        let joined = next.joined.iter().filter(anew).map(|(_, (news, _))| news.clone());
        // An acknowledgement that the leader before did not bring would be waited for, and hold the channel.
        let applied = next.applied.iter().filter(|(at, _)| *at >= since).map(|(_, news)| news);
        let applied = applied.filter(|news| !self.told_applied.iter().any(|(_, told)| told == *news));
        let news: Vec<News> = joined.chain(applied.cloned()).collect();
        self.last_word = self.last_word.max(next.heard);
        for news in news {
            self.tell(now, news, out);
        }
        self.end_settling(now, out);
    }

    /// Once the leader has told what stands, those it has not named have left.
    fn end_settling(&mut self, now: Nanos, out: &mut Vec<News>) {
        if self.settling.is_none_or(|since| now - since < SETTLED) {
            return;
        }
        let Some(stream) = self.streams.iter().find(|stream| Some(stream.link) == self.lead) else { return };
        self.settling = None;
        let gone: Vec<ProxyId> =
            self.told.iter().filter(|proxy| !stream.joined.contains_key(*proxy)).copied().collect();
        for proxy in gone {
            self.tell(now, News::Left { proxy }, out);
        }
    }

    /// Streams that have opened.
    pub fn streams(&self) -> usize {
        self.streams.iter().filter(|stream| stream.open.is_some()).count()
    }

    /// Proxies told as joined.
    pub fn told(&self) -> usize {
        self.told.len()
    }

    /// Whether a proxy is told as joined.
    pub fn is_told(&self, proxy: ProxyId) -> bool {
        self.told.contains(&proxy)
    }

    /// When the next turn is due though nothing comes in. A leader that is silent, and kept, sets no time.
    pub fn next_at(&self, now: Nanos) -> Option<Nanos> {
        let settled = self.settling.map(|since| since + SETTLED);
        let streams = self.streams.iter().filter_map(|stream| match stream.open {
            None => Some(stream.dialled + OPEN_MOST),
            Some(_) => stream.speaks(now).then_some(stream.heard + SILENT),
        });
        let leader = self.streams.iter().find(|stream| Some(stream.link) == self.lead);
        let quiet = leader.map(|leader| leader.heard + QUIET).filter(|at| *at > now);
        let dial = self.wants_more(now).then_some(self.dial_at);
        settled.into_iter().chain(streams).chain(quiet).chain(dial).min()
    }
}
