//! The peers at the coordinator's own address. One that dials is unidentified until it names the zone it collects for;
//! an unidentified client has little time and little room, and is told why it is turned away.
//!
//! Nothing is accepted that can't be served: [`Clients::room`] tells how many more may be, and the others wait in the
//! system's queue. Where that is full, clients that have asked nothing for a while give way.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use craneknot::interface::{Event, Nanos, ZoneId};
use craneknot_platform::lines::{self, Message, Unread};
use craneknot_settings::given::GivenNames;

use crate::pending::PendingWork;

const IDLE_MOST: Nanos = Nanos::from_millis(1_500); // ms; the platform asks for one second at least
const LINE_TIME: Nanos = Nanos::from_millis(1_500); // ms; for an unidentified client to finish a line it has begun
const IDLE_MOST_CROWDED: Nanos = Nanos::from_millis(250); // ms; idle time where others wait to be accepted
const TURN_MOST: Nanos = Nanos::from_millis(20); // ms; for a client to ask, in a shutdown in which others wait
const LINE_MOST: usize = 4 * 1024; // bytes of an unidentified client's line: a joining is far shorter
const COLLECTORS_MOST: usize = 4; // of a zone: one that was cut off comes again, and what it left never closes

/// A connection that a peer dialled; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// What a peer is, as far as it has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Unidentified,
    Collector(ZoneId),
}

/// What is to be done with a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientAction {
    /// Answer one heartbeat.
    Answer(ClientId),
    /// A report was left out: why, and what it was.
    Note(String, String),
    /// It may send messages of the full length from now on.
    Widen(ClientId),
    /// It is told why, and closed.
    Reject(ClientId, String),
    /// It is told why, and closed, unless it has asked for something meanwhile.
    Evict(ClientId, String),
    /// Closed without a word: nothing is written to a collector.
    Close(ClientId, String),
}

struct Client {
    role: Role,
    /// When it came, or last sent something.
    heard: Nanos,
    /// When it came, or last asked for a sign of life.
    active: Nanos,
    /// When the line began that is not finished yet.
    line_began: Option<Nanos>,
    /// Bytes of its input that were searched for a line's end.
    searched: usize,
}

impl Client {
    /// Until when it may go on without a message, and what it is told then.
    fn deadline(&self, crowded: bool) -> Nanos {
        let idle = if crowded { IDLE_MOST_CROWDED } else { IDLE_MOST };
        match self.line_began {
            Some(began) => began + LINE_TIME,
            None => self.active + idle,
        }
    }
}

/// All clients, and what may be done to each.
pub struct Clients {
    clients: BTreeMap<ClientId, Client>,
    unidentified_most: usize,
    /// Reports that were left out, one by one.
    pub malformed: u64,
}

impl Clients {
    /// `unidentified_most`: clients that have not joined, at once.
    pub fn new(unidentified_most: usize) -> Self {
        Clients { clients: BTreeMap::new(), unidentified_most, malformed: 0 }
    }

    /// Bytes to be read ahead of a client that has just come.
    pub fn first_room() -> usize {
        LINE_MOST
    }

    /// How many more unidentified clients may be accepted.
    pub fn room(&self) -> usize {
        self.unidentified_most.saturating_sub(self.unidentified().count())
    }

    fn unidentified(&self) -> impl Iterator<Item = (&ClientId, &Client)> {
        self.clients.iter().filter(|(_, client)| client.role == Role::Unidentified)
    }

    /// A client was accepted.
    pub fn came(&mut self, now: Nanos, id: ClientId) {
        let client =
            Client { role: Role::Unidentified, heard: now, active: now, line_began: None, searched: 0 };
        self.clients.insert(id, client);
    }

    /// A connection has ended.
    pub fn gone(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Bytes have come of a client.
    pub fn heard(&mut self, now: Nanos, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.heard = now;
        }
    }

    /// Takes whole lines off the front of what has come; what is owed for them is entered in the ledger.
    #[allow(clippy::too_many_arguments)] // the input, what reads it, and the three places that what it says goes to
    pub fn take(
        &mut self,
        now: Nanos,
        id: ClientId,
        input: &mut BytesMut,
        names: &GivenNames,
        proxies: u32,
        pending: &mut PendingWork,
        reports: &mut Vec<Event>,
        actions: &mut Vec<ClientAction>,
    ) {
        while let Some(client) = self.clients.get_mut(&id) {
            let from = client.searched.min(input.len());
            let found = input[from..].iter().position(|byte| *byte == b'\n');
            let Some(end) = found.map(|at| from + at) else {
                client.searched = input.len();
                let is_partial = !input.is_empty();
                client.line_began = is_partial.then(|| client.line_began.unwrap_or(now));
                pending.set_partial(id, is_partial);
                let most = match client.role {
                    Role::Unidentified => LINE_MOST,
                    Role::Collector(_) => lines::LONGEST,
                };
                if input.len() >= most {
                    pending.set_partial(id, false);
                    self.turn_away(id, "the message is too long".into(), actions);
                }
                return;
            };
            (client.searched, client.line_began) = (0, None);
            let line = input.split_to(end);
            input.advance(1);
            match (client.role, lines::read(&line, names, proxies)) {
                (_, Ok(Message::Heartbeat)) => {
                    client.active = now;
                    pending.request_read(id);
                    actions.push(ClientAction::Answer(id));
                }
                (_, Ok(Message::Collector(zone))) => self.join(id, zone, pending, actions),
                (Role::Collector(_), Ok(Message::Report(report))) => reports.push(report),
                (Role::Collector(_), Err(Unread::Malformed(cause))) => {
                    self.malformed += 1;
                    actions.push(ClientAction::Note(cause, String::from_utf8_lossy(&line).into_owned()));
                }
                (Role::Unidentified, Ok(Message::Report(_))) => {
                    self.turn_away(id, "a report before the joining".into(), actions);
                }
                (Role::Unidentified, Err(Unread::Malformed(cause)))
                | (_, Err(Unread::Corrupt(cause) | Unread::Foreign(cause))) => {
                    self.turn_away(id, cause, actions);
                }
            }
        }
    }

    /// A client names the zone that it collects for. Descriptors are few: of too many for one zone, the one that has been
    /// silent longest and is owed nothing gives way.
    fn join(&mut self, id: ClientId, zone: ZoneId, pending: &PendingWork, actions: &mut Vec<ClientAction>) {
        let others = self
            .clients
            .iter()
            .filter(|(other, client)| **other != id && client.role == Role::Collector(zone));
        let others: Vec<(Nanos, ClientId)> = others.map(|(other, client)| (client.heard, *other)).collect();
        let silent = others.iter().filter(|(_, other)| !pending.has_pending(*other)).min();
        if let Some((_, silent)) = silent.filter(|_| others.len() >= COLLECTORS_MOST) {
            self.turn_away(*silent, "others collect for its zone".into(), actions);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.role = Role::Collector(zone);
            actions.push(ClientAction::Widen(id));
        }
    }

    /// Ends a connection: an unidentified client is told why, a collector is not.
    fn turn_away(&mut self, id: ClientId, cause: String, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.remove(&id) else { return };
        actions.push(match client.role {
            Role::Unidentified => ClientAction::Reject(id, cause),
            Role::Collector(_) => ClientAction::Close(id, cause),
        });
    }

    /// Asks those to be evicted whose time is over. They count until the owner says that they are gone; one that it keeps
    /// has as much time again.
    pub fn turn(&mut self, now: Nanos, actions: &mut Vec<ClientAction>) {
        let crowded = self.room() == 0;
        let over: Vec<ClientId> = self
            .unidentified()
            .filter(|(_, client)| client.deadline(crowded) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.line_began.is_some() {
                self.turn_away(id, "its message was not finished in time".into(), actions);
            } else {
                client.active = now;
                actions.push(ClientAction::Evict(id, "it has not joined in time".into()));
            }
        }
    }

    /// In a shutdown, where others wait to be accepted: asks those to be evicted that have had their turn, whatever they
    /// are. Whoever has come is to be answered once before anybody is answered again.
    pub fn make_way(&self, now: Nanos, actions: &mut Vec<ClientAction>) {
        let idle = self.clients.iter().filter(|(_, client)| {
            client.role == Role::Unidentified
                && client.line_began.is_none()
                && now - client.heard >= TURN_MOST
        });
        let evict =
            |id: &ClientId| ClientAction::Evict(*id, "the coordinator shuts down, and others wait".into());
        actions.extend(idle.map(|(id, _)| evict(id)));
    }

    /// When the next turn is due though nothing comes in.
    pub fn next_at(&self) -> Option<Nanos> {
        let crowded = self.room() == 0;
        self.unidentified().map(|(_, client)| client.deadline(crowded)).min()
    }

    /// Collectors, and clients that have not joined.
    pub fn counts(&self) -> (usize, usize) {
        let unidentified = self.unidentified().count();
        (self.clients.len() - unidentified, unidentified)
    }

    /// Whether nobody is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }
}
