//! Who may speak at the coordinator's address. A peer that dials is a guest until it names the zone it collects
//! for; a guest has little time and little room, and is told why it is turned away.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use craneknot::interface::{Event, Nanos, ZoneId};
use craneknot_platform::lines::{self, Message, Unread};
use craneknot_settings::given::GivenNames;

const GUEST_TIME: Nanos = Nanos::from_millis(1_500); // ms; the platform asks for one second at least
const GUEST_ROOM: usize = 4 * 1024; // bytes of a guest's message: a joining is far shorter
const GUEST_PART: usize = 4; // of all descriptors one in so many is for guests; the oldest give way
const COLLECTORS_MOST: usize = 4; // of a zone: one that was cut off comes again, and what it left never closes

/// A connection that a peer dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GuestId(pub u64);

/// What a peer is, as far as it has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Guest,
    Collector(ZoneId),
}

/// What is to be done with a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Service {
    Answer(GuestId),
    /// A report was left out: why, and what it was.
    Note(String, String),
    /// It may send messages of the full length from now on.
    Widen(GuestId),
    /// Told why, and closed.
    Reject(GuestId, String),
    /// Closed without a word: nothing is written to a collector.
    Close(GuestId, String),
}

struct Peer {
    standing: Standing,
    /// When it came, or last sent something.
    heard: Nanos,
    /// It has asked for a sign of life, and got it.
    answered: bool,
    /// Bytes of its input that were searched for a line's end.
    searched: usize,
}

pub struct Door {
    peers: BTreeMap<GuestId, Peer>,
    guests: BTreeMap<GuestId, Nanos>,
    guests_most: usize,
    /// Reports that were left out, one by one.
    pub malformed: u64,
}

impl Door {
    pub fn new(sockets: usize) -> Self {
        let guests_most = (sockets / GUEST_PART).max(2);
        Door { peers: BTreeMap::new(), guests: BTreeMap::new(), guests_most, malformed: 0 }
    }

    /// Connections to be accepted at a time: whoever asks as it comes is heard before a guest of the next lot can
    /// take its place.
    pub fn accepts(sockets: usize) -> usize {
        (sockets / GUEST_PART / 2).max(1)
    }

    /// Bytes to be read ahead of a peer that has just come.
    pub fn first_room() -> usize {
        GUEST_ROOM
    }

    pub fn came(&mut self, now: Nanos, id: GuestId, services: &mut Vec<Service>) {
        if self.guests.len() >= self.guests_most {
            // Ids grow, and so does time: the first is the oldest. One that has its answer is owed nothing more.
            let answered = |id: &&GuestId| self.peers.get(id).is_some_and(|peer| peer.answered);
            let oldest = self.guests.keys().find(answered).or(self.guests.keys().next()).copied();
            if let Some(oldest) = oldest {
                self.guests.remove(&oldest);
                self.peers.remove(&oldest);
                services.push(Service::Close(oldest, "too many that have not joined".into()));
            }
        }
        self.peers.insert(id, Peer { standing: Standing::Guest, heard: now, answered: false, searched: 0 });
        self.guests.insert(id, now);
    }

    pub fn gone(&mut self, id: GuestId) {
        self.peers.remove(&id);
        self.guests.remove(&id);
    }

    /// Bytes have come of a peer.
    pub fn heard(&mut self, now: Nanos, id: GuestId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.heard = now;
        }
    }

    /// Takes whole lines off the front of what has come.
    pub fn take(
        &mut self,
        id: GuestId,
        input: &mut BytesMut,
        names: &GivenNames,
        proxies: u32,
        reports: &mut Vec<Event>,
        services: &mut Vec<Service>,
    ) {
        while let Some(peer) = self.peers.get_mut(&id) {
            let found = input[peer.searched..].iter().position(|byte| *byte == b'\n');
            let Some(end) = found.map(|at| peer.searched + at) else {
                peer.searched = input.len();
                let most = match peer.standing {
                    Standing::Guest => GUEST_ROOM,
                    Standing::Collector(_) => lines::LONGEST,
                };
                if input.len() >= most {
                    self.turn_away(id, "the message is too long".into(), services);
                }
                return;
            };
            peer.searched = 0;
            let line = input.split_to(end);
            input.advance(1);
            let read = lines::read(&line, names, proxies);
            match (peer.standing, read) {
                (_, Ok(Message::Heartbeat)) => {
                    peer.answered = true;
                    services.push(Service::Answer(id));
                }
                (_, Ok(Message::Collector(zone))) => self.join(id, zone, services),
                (Standing::Collector(_), Ok(Message::Report(report))) => reports.push(report),
                (Standing::Collector(_), Err(Unread::Malformed(cause))) => {
                    self.malformed += 1;
                    services.push(Service::Note(cause, String::from_utf8_lossy(&line).into_owned()));
                }
                (Standing::Guest, Ok(Message::Report(_))) => {
                    self.turn_away(id, "a report before the joining".into(), services);
                }
                (Standing::Guest, Err(Unread::Malformed(cause)))
                | (_, Err(Unread::Corrupt(cause) | Unread::Foreign(cause))) => {
                    self.turn_away(id, cause, services);
                }
            }
        }
    }

    fn join(&mut self, id: GuestId, zone: ZoneId, services: &mut Vec<Service>) {
        let fellows = self
            .peers
            .iter()
            .filter(|(other, peer)| **other != id && peer.standing == Standing::Collector(zone));
        let fellows: Vec<(Nanos, GuestId)> = fellows.map(|(other, peer)| (peer.heard, *other)).collect();
        // Descriptors are few: the one that has been silent longest gives way.
        if let Some((_, silent)) = fellows.iter().min().filter(|_| fellows.len() >= COLLECTORS_MOST) {
            self.turn_away(*silent, "others collect for its zone".into(), services);
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.standing = Standing::Collector(zone);
            self.guests.remove(&id);
            services.push(Service::Widen(id));
        }
    }

    fn turn_away(&mut self, id: GuestId, cause: String, services: &mut Vec<Service>) {
        self.guests.remove(&id);
        let Some(peer) = self.peers.remove(&id) else { return };
        services.push(match peer.standing {
            Standing::Guest => Service::Reject(id, cause),
            Standing::Collector(_) => Service::Close(id, cause),
        });
    }

    /// Turns away guests whose time is over.
    pub fn turn(&mut self, now: Nanos, services: &mut Vec<Service>) {
        while let Some((id, since)) = self.guests.first_key_value() {
            if now - *since < GUEST_TIME {
                return;
            }
            let id = *id;
            self.turn_away(id, "it has not joined in time".into(), services);
        }
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.guests.values().next().map(|since| *since + GUEST_TIME)
    }

    /// Guests that have come and were not answered yet.
    pub fn unanswered(&self) -> usize {
        self.guests.keys().filter(|id| self.peers.get(id).is_some_and(|peer| !peer.answered)).count()
    }

    /// Collectors and guests.
    pub fn counts(&self) -> (usize, usize) {
        (self.peers.len() - self.guests.len(), self.guests.len())
    }
}
