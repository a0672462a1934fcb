//! Connections that peers open to the coordinator's own address. A client is unidentified until it names the
//! zone that it collects for. Unidentified clients get short timeouts and small buffers, and receive the
//! reason when they are rejected.
//!
//! No more connections are accepted than can be served: [`Clients::free_slots`] is the number of further
//! ones, and the rest wait in the operating system's accept queue. While no slot is free, clients that have
//! sent no request for a while are evicted.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use craneknot::interface::{Event, Nanos, ZoneId};
use craneknot_platform::messages::{self, Message, MessageError};
use craneknot_settings::instance::InstanceNames;

use crate::pending::PendingWork;

const IDLE_TIMEOUT: Nanos = Nanos::from_millis(1_500); // ms; the platform requires at least one second
const LINE_TIMEOUT: Nanos = Nanos::from_millis(1_500); // ms; for an unidentified client to complete a line
const CROWDED_IDLE_TIMEOUT: Nanos = Nanos::from_millis(250); // ms; while others wait to be accepted
const SHUTDOWN_IDLE_TIMEOUT: Nanos = Nanos::from_millis(20); // ms; in a shutdown while others wait
/// For a collector to complete a line: longer than a network partition lasts.
const COLLECTOR_LINE_TIMEOUT: Nanos = Nanos::from_millis(30_000); // ms
const MAX_LINE_BYTES: usize = 4 * 1024; // of an unidentified client's line: a join message is far shorter
const MAX_COLLECTORS_PER_ZONE: usize = 4; // one that is cut off reconnects, and its old connection never closes

/// Id of a connection that a peer opened. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// What a client has identified itself as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Unidentified,
    Collector(ZoneId),
}

/// What the shell does with a client connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientAction {
    AnswerHeartbeat(ClientId),
    /// Log a report that was skipped: the reason and the line.
    LogMalformedReport(String, String),
    /// Raise the connection's input limit to the full message length.
    RaiseInputLimit(ClientId),
    /// Send the reason to the client, then close.
    Reject(ClientId, String),
    /// Like `Reject`, unless the client has sent a request in the meantime.
    Evict(ClientId, String),
    /// Close without a message: nothing is written to a collector.
    Close(ClientId, String),
    /// Close a collector if it has not read its answers for some time.
    CloseIfStuck(ClientId),
}

struct Client {
    role: Role,
    /// When it connected or last sent any bytes.
    last_input: Nanos,
    /// When it connected or last sent a heartbeat; an eviction that is not carried out restarts it too.
    last_active: Nanos,
    /// It has sent a valid report.
    has_reported: bool,
    /// When the first byte of the current partial line arrived.
    line_started: Option<Nanos>,
    /// Bytes of the input already scanned for the end of a line.
    scanned: usize,
}

impl Client {
    /// When its idle timeout, or the timeout of its partial line, expires. A collector may be idle.
    fn deadline(&self, crowded: bool) -> Option<Nanos> {
        let idle = if crowded { CROWDED_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        match (self.role, self.line_started) {
            (Role::Unidentified, Some(started)) => Some(started + LINE_TIMEOUT),
            (Role::Unidentified, None) => Some(self.last_active + idle),
            (Role::Collector(_), started) => started.map(|started| started + COLLECTOR_LINE_TIMEOUT),
        }
    }

    fn is_overdue(&self, now: Nanos, crowded: bool) -> bool {
        self.deadline(crowded).is_some_and(|deadline| deadline <= now)
    }
}

/// All connected clients.
pub struct Clients {
    clients: BTreeMap<ClientId, Client>,
    max_unidentified: usize,
    /// Reports that were skipped because they were malformed.
    pub malformed_reports: u64,
    /// Clients closed because unfinished input took too much memory.
    pub closed_over_budget: u64,
}

impl Clients {
    /// `max_unidentified`: limit on concurrent clients that have not identified themselves.
    pub fn new(max_unidentified: usize) -> Self {
        Clients { clients: BTreeMap::new(), max_unidentified, malformed_reports: 0, closed_over_budget: 0 }
    }

    /// Input limit in bytes of a new connection.
    pub fn initial_input_limit() -> usize {
        MAX_LINE_BYTES
    }

    /// How many more unidentified clients may be accepted.
    pub fn free_slots(&self) -> usize {
        self.max_unidentified.saturating_sub(self.unidentified().count())
    }

    fn unidentified(&self) -> impl Iterator<Item = (&ClientId, &Client)> {
        self.clients.iter().filter(|(_, client)| client.role == Role::Unidentified)
    }

    /// Registers an accepted connection.
    pub fn connected(&mut self, now: Nanos, id: ClientId) {
        let client = Client {
            role: Role::Unidentified,
            last_input: now,
            last_active: now,
            has_reported: false,
            line_started: None,
            scanned: 0,
        };
        self.clients.insert(id, client);
    }

    /// Removes a connection that has ended.
    pub fn disconnected(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Records that a client has sent bytes.
    pub fn input_received(&mut self, now: Nanos, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.last_input = now;
        }
    }

    /// Consumes the complete lines at the front of the input and enters the pending work they cause.
    #[allow(clippy::too_many_arguments)] // the input, what decodes it, and three outputs
    pub fn read_lines(
        &mut self,
        now: Nanos,
        id: ClientId,
        input: &mut BytesMut,
        names: &InstanceNames,
        proxies: u32,
        pending: &mut PendingWork,
        reports: &mut Vec<Event>,
        actions: &mut Vec<ClientAction>,
    ) {
        while let Some(client) = self.clients.get_mut(&id) {
            let from = client.scanned.min(input.len());
            let found = input[from..].iter().position(|byte| *byte == b'\n');
            let Some(end) = found.map(|offset| from + offset) else {
                client.scanned = input.len();
                let is_partial = !input.is_empty();
                client.line_started = is_partial.then(|| client.line_started.unwrap_or(now));
                pending.set_partial(id, is_partial);
                let limit = match client.role {
                    Role::Unidentified => MAX_LINE_BYTES,
                    Role::Collector(_) => messages::MAX_MESSAGE_BYTES,
                };
                if input.len() >= limit {
                    pending.set_partial(id, false);
                    self.end_connection(id, "the message is too long".into(), actions);
                }
                return;
            };
            (client.scanned, client.line_started) = (0, None);
            let line = input.split_to(end);
            input.advance(1);
            match (client.role, messages::parse(&line, names, proxies)) {
                (_, Ok(Message::Heartbeat)) => {
                    client.last_active = now;
                    pending.request_read(id);
                    actions.push(ClientAction::AnswerHeartbeat(id));
                }
                (_, Ok(Message::Collector(zone))) => self.join(id, zone, pending, actions),
                (Role::Collector(_), Ok(Message::Report(report))) => {
                    client.has_reported = true;
                    reports.push(report);
                }
                (Role::Collector(_), Err(MessageError::Malformed(cause))) => {
                    self.malformed_reports += 1;
                    actions.push(ClientAction::LogMalformedReport(
                        cause,
                        String::from_utf8_lossy(&line).into_owned(),
                    ));
                }
                (Role::Unidentified, Ok(Message::Report(_))) => {
                    self.end_connection(id, "a report before the joining".into(), actions);
                }
                (Role::Unidentified, Err(MessageError::Malformed(cause)))
                | (_, Err(MessageError::Corrupt(cause) | MessageError::Unexpected(cause))) => {
                    self.end_connection(id, cause, actions);
                }
            }
        }
    }

    /// Makes a client a collector of a zone. File descriptors are scarce: if the zone has too many collectors,
    /// one of them is closed. While all of them have unwritten answers, the client is rejected instead.
    fn join(
        &mut self,
        id: ClientId,
        zone: ZoneId,
        pending: &mut PendingWork,
        actions: &mut Vec<ClientAction>,
    ) {
        let others = self
            .clients
            .iter()
            .filter(|(other, client)| **other != id && client.role == Role::Collector(zone));
        let others: Vec<ClientId> = others.map(|(other, _)| *other).collect();
        if others.len() >= MAX_COLLECTORS_PER_ZONE {
            let Some(least_useful) = self.least_useful(&others, pending) else {
                actions.extend(others.into_iter().map(ClientAction::CloseIfStuck));
                return self.end_connection(id, "too many collectors for its zone".into(), actions);
            };
            pending.set_partial(least_useful, false);
            self.end_connection(least_useful, "too many collectors for its zone".into(), actions);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.role = Role::Collector(zone);
            actions.push(ClientAction::RaiseInputLimit(id));
        }
    }

    /// The collector to close first: one that has not reported yet, then the one that has been silent the
    /// longest. A partial line is no reason to keep one, because nobody waits for its answer.
    fn least_useful(&self, collectors: &[ClientId], pending: &PendingWork) -> Option<ClientId> {
        let closable = collectors.iter().filter(|id| !pending.has_unanswered(**id));
        let rank = |id: &&ClientId| {
            self.clients.get(*id).map(|client| (client.has_reported, client.last_input, **id))
        };
        closable.min_by_key(rank).copied()
    }

    /// Ends the connection of a client whose unfinished message, together with all others, takes too much
    /// memory.
    pub fn end_over_budget(
        &mut self,
        id: ClientId,
        pending: &mut PendingWork,
        actions: &mut Vec<ClientAction>,
    ) {
        self.closed_over_budget += 1;
        pending.set_partial(id, false);
        self.end_connection(id, "unfinished messages take too much memory".into(), actions);
    }

    /// When the first byte of a client's partial line arrived.
    pub fn partial_since(&self, id: ClientId) -> Option<Nanos> {
        self.clients.get(&id).and_then(|client| client.line_started)
    }

    /// Ends a connection. An unidentified client receives the reason, a collector does not.
    fn end_connection(&mut self, id: ClientId, cause: String, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.remove(&id) else { return };
        actions.push(match client.role {
            Role::Unidentified => ClientAction::Reject(id, cause),
            Role::Collector(_) => ClientAction::Close(id, cause),
        });
    }

    /// Requests the eviction of clients whose timeout has expired. They count as connected until the owner
    /// reports them as disconnected; for a client that the owner keeps, the timeout starts again.
    pub fn evict_overdue(&mut self, now: Nanos, pending: &mut PendingWork, actions: &mut Vec<ClientAction>) {
        let crowded = self.free_slots() == 0;
        let overdue = self.clients.iter().filter(|(_, client)| client.is_overdue(now, crowded));
        for id in overdue.map(|(id, _)| *id).collect::<Vec<ClientId>>() {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if client.line_started.is_some() {
                pending.set_partial(id, false);
                self.end_connection(id, "its message was not finished in time".into(), actions);
            } else {
                client.last_active = now;
                actions.push(ClientAction::Evict(id, "it has not joined in time".into()));
            }
        }
    }

    /// In a shutdown while others wait to be accepted: requests the eviction of unidentified clients that
    /// have been silent for a short time. Every client that has connected should be answered once before any
    /// is answered again.
    pub fn evict_idle(&self, now: Nanos, actions: &mut Vec<ClientAction>) {
        let idle = self.clients.iter().filter(|(_, client)| {
            client.role == Role::Unidentified
                && client.line_started.is_none()
                && now - client.last_input >= SHUTDOWN_IDLE_TIMEOUT
        });
        let evict =
            |id: &ClientId| ClientAction::Evict(*id, "the coordinator shuts down, and others wait".into());
        actions.extend(idle.map(|(id, _)| evict(id)));
    }

    /// When the next timeout expires.
    pub fn next_at(&self) -> Option<Nanos> {
        let crowded = self.free_slots() == 0;
        self.clients.values().filter_map(|client| client.deadline(crowded)).min()
    }

    /// Number of collectors, and of unidentified clients.
    pub fn counts(&self) -> (usize, usize) {
        let unidentified = self.unidentified().count();
        (self.clients.len() - unidentified, unidentified)
    }

    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }
}
