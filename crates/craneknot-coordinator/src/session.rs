//! The state of one stream: resources pending for its proxy, unacknowledged responses, and backoff after a
//! rejection.
//!
//! An agent asks for each kind of resource by a long-polling request. As soon as something is pending,
//! requests are answered in order, up to the last one whose kind can be sent: in full if the kind changed,
//! with 304 if not. The next request of that kind accepts or rejects the response by its nonce.
//!
//! Bindings wait until the tables and levels sent with them are accepted: an agent may still have an old
//! table of the same name with servers that no longer exist, and must not follow a binding to it.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use craneknot::interface::{Nanos, TableId};
use craneknot_xds::discovery::Kind;

use crate::resource_cache::{Message, ResourceUpdate};

const MIN_RETRY_DELAY: Nanos = Nanos::from_millis(500); // before everything is sent again after a rejection
const MAX_RETRY_DELAY: Nanos = Nanos::from_millis(2_000); // the maximum, since the delay may hold up a drain
const MIN_SILENCE_TIMEOUT: Nanos = Nanos::from_millis(3_000); // before an inactive stream is closed
const SILENCE_REPORT_PERIODS: u64 = 6; // tolerates two lost and two late reports

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The agent has accepted everything that was sent.
    Synced,
    /// Some responses are not acknowledged yet.
    AwaitingAck,
    /// The agent rejected a response; the full state is sent again after a delay.
    BackingOff,
    /// The full state waits in the channel, as any message does.
    AwaitingFullState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// Responses were sent.
    Sent,
    /// The last outstanding acknowledgement arrived, and none was a rejection.
    Accepted,
    Rejected,
    /// The delay after a rejection has elapsed.
    BackoffElapsed,
    /// The full state has left the channel.
    FullStateArrived,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    /// Everything sent counts as applied.
    Commit,
    /// Wait, twice as long after each consecutive rejection.
    BackOff,
    /// Put the full state into the channel.
    RequestFullState,
}

/// The transition table: state, trigger, next state, effect.
const TRANSITIONS: &[(State, Trigger, State, Effect)] = &[
    (State::Synced, Trigger::Sent, State::AwaitingAck, Effect::Nothing),
    (State::AwaitingAck, Trigger::Sent, State::AwaitingAck, Effect::Nothing),
    (State::AwaitingAck, Trigger::Accepted, State::Synced, Effect::Commit),
    (State::AwaitingAck, Trigger::Rejected, State::BackingOff, Effect::BackOff),
    (State::BackingOff, Trigger::BackoffElapsed, State::AwaitingFullState, Effect::RequestFullState),
    (State::AwaitingFullState, Trigger::FullStateArrived, State::Synced, Effect::Nothing),
];

/// The response to one open request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Resources { kind: Kind, nonce: u64, resources: Vec<Bytes> },
    Unchanged { kind: Kind },
}

/// A request of the stream, with its acknowledgement of an earlier response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRequest {
    pub kind: Kind,
    pub nonce: Option<u64>,
    /// The cause, if the response of that nonce was rejected.
    pub rejected: Option<String>,
}

struct UnackedResponse {
    kind: Kind,
    nonce: u64,
    tables: Vec<TableId>,
}

/// The state of one stream.
pub struct Session {
    state: State,
    open_requests: VecDeque<Kind>,
    pending: ResourceUpdate,
    pending_lines: f64,
    pending_marks: Vec<u16>,
    pending_decided_at: Option<Nanos>,
    unacked: Vec<UnackedResponse>,
    /// What must be accepted before the pending bindings may be sent.
    unmet_dependencies: BTreeSet<(Kind, TableId)>,
    unacked_marks: Vec<u16>,
    unacked_decided_at: Option<Nanos>,
    consecutive_rejections: u32,
    retry_at: Option<Nanos>,
    /// Some of the pending parts belong to a message of which none has been sent yet.
    has_new_message: bool,
    next_nonce: u64,
    last_activity: Nanos,
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The marks of the applied messages, and when the oldest of these was decided.
    Applied {
        marks: Vec<u16>,
        decided: Option<Nanos>,
    },
    Rejected {
        kind: Kind,
        cause: String,
        retry_at: Nanos,
    },
    /// An acknowledgement of a response never sent, from an earlier stream or forged; it is ignored.
    UnknownNonce {
        kind: Kind,
    },
}

impl Session {
    pub fn new(now: Nanos) -> Self {
        Session {
            state: State::Synced,
            open_requests: VecDeque::new(),
            pending: ResourceUpdate::default(),
            pending_lines: 0.0,
            pending_marks: Vec::new(),
            pending_decided_at: None,
            unacked: Vec::new(),
            unmet_dependencies: BTreeSet::new(),
            unacked_marks: Vec::new(),
            unacked_decided_at: None,
            consecutive_rejections: 0,
            retry_at: None,
            has_new_message: false,
            next_nonce: 1,
            last_activity: now,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the agent rejected a response and has not been sent the full state since.
    pub fn is_refused(&self) -> bool {
        matches!(self.state, State::BackingOff | State::AwaitingFullState)
    }

    /// Lines that have left the channel and wait for the proxy. They stay bounded by the full state even if
    /// the proxy stalls.
    pub fn held_lines(&self) -> f64 {
        self.pending_lines
    }

    fn transition(&mut self, now: Nanos, trigger: Trigger) -> Effect {
        let row = TRANSITIONS.iter().find(|row| row.0 == self.state && row.1 == trigger);
        let Some((_, _, next, effect)) = row else { return Effect::Nothing };
        self.state = *next;
        match effect {
            Effect::Nothing => {}
            Effect::Commit => self.consecutive_rejections = 0,
            Effect::BackOff => {
                let wait =
                    Nanos(MIN_RETRY_DELAY.0 << self.consecutive_rejections.min(5)).min(MAX_RETRY_DELAY);
                self.consecutive_rejections += 1;
                self.retry_at = Some(now + wait);
            }
            Effect::RequestFullState => self.retry_at = None,
        }
        *effect
    }

    /// Adds the tables and levels that the update's bindings depend on, if it has any.
    fn add_dependencies(&mut self, parts: &ResourceUpdate) {
        if parts.clusters.is_some() {
            self.unmet_dependencies.extend(parts.endpoints.keys().map(|table| (Kind::Endpoints, *table)));
            self.unmet_dependencies.extend(parts.routes.keys().map(|table| (Kind::Routes, *table)));
        }
    }

    fn may_send(&self, kind: Kind) -> bool {
        self.pending.has(kind) && (kind != Kind::Clusters || self.unmet_dependencies.is_empty())
    }

    /// Whether the full state has to be put into the channel now. Each rejection asks for it once.
    pub fn requests_full_state(&mut self, now: Nanos) -> bool {
        self.retry_at.is_some_and(|at| at <= now)
            && self.transition(now, Trigger::BackoffElapsed) == Effect::RequestFullState
    }

    /// Adds a message that has left the channel to the pending resources.
    pub fn enqueue(&mut self, now: Nanos, message: Message) {
        if message.is_full_state {
            self.transition(now, Trigger::FullStateArrived);
            // A former dependency may not be in the full state, and so would never be acknowledged.
            self.unmet_dependencies.clear();
            self.pending = ResourceUpdate::default();
        }
        self.has_new_message = true;
        self.add_dependencies(&message.parts);
        self.pending.merge(message.parts);
        self.pending_lines += message.lines;
        self.pending_marks.extend(message.mark);
        self.pending_decided_at = self.pending_decided_at.or(Some(message.decided));
    }

    /// Notes any message of the agent as a sign that the stream is alive.
    pub fn record_activity(&mut self, now: Nanos) {
        self.last_activity = self.last_activity.max(now);
    }

    /// Whether nothing has arrived for so long that the stream counts as broken.
    pub fn is_silent(&self, now: Nanos, report_period: Nanos) -> bool {
        now > self.silent_after(report_period)
    }

    /// The time until which the stream cannot count as silent; any activity extends it.
    pub fn silent_after(&self, report_period: Nanos) -> Nanos {
        self.last_activity
            + MIN_SILENCE_TIMEOUT.max(Nanos(report_period.0.saturating_mul(SILENCE_REPORT_PERIODS)))
    }

    /// Handles a request and its acknowledgement.
    pub fn handle_request(&mut self, now: Nanos, request: StreamRequest) -> Option<Outcome> {
        self.record_activity(now);
        let StreamRequest { kind, nonce, rejected } = request;
        if !self.open_requests.contains(&kind) {
            self.open_requests.push_back(kind);
        }
        let nonce = nonce?;
        let Some(index) =
            self.unacked.iter().position(|unacked| unacked.kind == kind && unacked.nonce == nonce)
        else {
            // The kind has been answered with 304 since, so its last nonce is repeated.
            let known = nonce < self.next_nonce;
            return (!known).then_some(Outcome::UnknownNonce { kind });
        };
        let unacked = self.unacked.remove(index);
        if let Some(cause) = rejected {
            self.transition(now, Trigger::Rejected);
            let retry_at = *self.retry_at.get_or_insert(now + MIN_RETRY_DELAY);
            return Some(Outcome::Rejected { kind, cause, retry_at });
        }
        unacked.tables.iter().for_each(|table| {
            self.unmet_dependencies.remove(&(kind, *table));
        });
        if !self.unacked.is_empty() || self.transition(now, Trigger::Accepted) != Effect::Commit {
            return None;
        }
        let (marks, decided) = (std::mem::take(&mut self.unacked_marks), self.unacked_decided_at.take());
        Some(Outcome::Applied { marks, decided })
    }

    /// Whether the next responses begin a message; otherwise they complete one.
    pub fn has_new_message(&self) -> bool {
        self.has_new_message
    }

    /// The responses to send now.
    pub fn responses(&mut self, now: Nanos) -> Vec<Response> {
        // Until the full state has arrived, further responses would be rejected too.
        if matches!(self.state, State::BackingOff | State::AwaitingFullState) {
            return Vec::new();
        }
        let last = self.open_requests.iter().rposition(|kind| self.may_send(*kind));
        let Some(last) = last else { return Vec::new() };
        let mut responses = Vec::new();
        for kind in self.open_requests.drain(..=last).collect::<Vec<Kind>>() {
            let tables = self.pending.tables(kind);
            let update = if self.may_send(kind) { self.pending.take(kind) } else { None };
            match update {
                Some(resources) => {
                    let nonce = self.next_nonce;
                    self.next_nonce += 1;
                    self.unacked.push(UnackedResponse { kind, nonce, tables });
                    responses.push(Response::Resources { kind, nonce, resources });
                }
                None => responses.push(Response::Unchanged { kind }),
            }
        }
        self.has_new_message = false;
        if self.pending.is_empty() {
            // All parts of these messages are sent; their marks are answered once all are accepted.
            self.pending_lines = 0.0;
            self.unacked_marks.append(&mut self.pending_marks);
            let pending_decided_at = self.pending_decided_at.take();
            self.unacked_decided_at = self.unacked_decided_at.or(pending_decided_at);
        }
        self.transition(now, Trigger::Sent);
        responses
    }

    /// When the session must be processed again without any input.
    pub fn next_at(&self) -> Option<Nanos> {
        self.retry_at
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot::interface::{ProxyId, TableId};
    use std::collections::BTreeMap;

    fn message(table: u16, mark: Option<u16>, clusters: bool) -> Message {
        let text = Bytes::from(format!("table {table}"));
        let parts = ResourceUpdate {
            endpoints: BTreeMap::from([(TableId(table), text)]),
            routes: BTreeMap::new(),
            clusters: clusters.then(|| vec![Bytes::from_static(b"cluster")]),
        };
        Message { proxy: ProxyId(0), parts, is_full_state: false, mark, lines: 4.0, decided: Nanos(1) }
    }

    fn request(
        session: &mut Session,
        kind: Kind,
        nonce: Option<u64>,
        rejected: Option<&str>,
    ) -> Option<Outcome> {
        session.handle_request(Nanos(2), StreamRequest { kind, nonce, rejected: rejected.map(str::to_owned) })
    }

    fn session_with_open_requests() -> Session {
        let mut session = Session::new(Nanos(0));
        Kind::ALL.into_iter().for_each(|kind| assert_eq!(request(&mut session, kind, None, None), None));
        session
    }

    #[test]
    fn a_mark_is_answered_only_when_every_part_is_accepted() {
        let mut session = session_with_open_requests();
        session.enqueue(Nanos(3), message(1, Some(7), true));
        let responses = session.responses(Nanos(3));
        assert!(matches!(&responses[..], [Response::Resources { kind: Kind::Endpoints, nonce: 1, .. }]));
        assert_eq!(session.state(), State::AwaitingAck);
        assert!(session.responses(Nanos(3)).is_empty());
        let accepted = request(&mut session, Kind::Endpoints, Some(1), None);
        assert!(matches!(accepted, Some(Outcome::Applied { marks, .. }) if marks.is_empty()));
        // Only now the binding to that table; the earlier request for routes is answered as unchanged.
        let responses = session.responses(Nanos(3));
        assert!(matches!(
            &responses[..],
            [
                Response::Unchanged { kind: Kind::Routes },
                Response::Resources { kind: Kind::Clusters, nonce: 2, .. }
            ]
        ));
        assert_eq!(request(&mut session, Kind::Routes, None, None), None);
        let applied = Outcome::Applied { marks: vec![7], decided: Some(Nanos(1)) };
        assert_eq!(request(&mut session, Kind::Clusters, Some(2), None), Some(applied));
        assert_eq!(session.state(), State::Synced);
    }

    /// Updates for a stalled proxy wait, and newer ones replace older ones.
    #[test]
    fn pending_updates_of_a_stalled_proxy_do_not_grow() {
        let mut session = session_with_open_requests();
        session.enqueue(Nanos(3), message(1, None, false));
        assert_eq!(session.responses(Nanos(3)).len(), 1);
        for _ in 0..1000 {
            session.enqueue(Nanos(3), message(1, None, false));
            assert!(session.responses(Nanos(4)).is_empty());
        }
        request(&mut session, Kind::Endpoints, Some(1), None);
        let responses = session.responses(Nanos(5));
        // The requests for routes and clusters are still open, ahead of the one for endpoints.
        assert_eq!(responses.len(), 3);
        assert!(matches!(&responses[2], Response::Resources { resources, .. } if resources.len() == 1));
        assert_eq!(session.held_lines(), 0.0);
    }

    #[test]
    fn a_rejection_is_followed_by_a_delay_and_the_full_state() {
        let mut session = session_with_open_requests();
        session.enqueue(Nanos(3), message(1, Some(3), false));
        session.responses(Nanos(3));
        let rejected = request(&mut session, Kind::Endpoints, Some(1), Some("disk full"));
        let expected_retry = Nanos(2) + MIN_RETRY_DELAY;
        assert_eq!(
            rejected,
            Some(Outcome::Rejected {
                kind: Kind::Endpoints,
                cause: "disk full".into(),
                retry_at: expected_retry
            })
        );
        session.enqueue(Nanos(3), message(2, None, false));
        assert!(session.responses(expected_retry - Nanos(1)).is_empty());
        assert!(!session.requests_full_state(expected_retry - Nanos(1)));
        assert!(session.requests_full_state(expected_retry) && !session.requests_full_state(expected_retry));
        assert!(
            session.responses(expected_retry).is_empty() && session.is_refused(),
            "it waits in the channel"
        );
        session.enqueue(expected_retry, Message { is_full_state: true, ..message(9, None, true) });
        let responses = session.responses(expected_retry);
        assert!(matches!(&responses[0], Response::Unchanged { kind: Kind::Routes }));
        assert!(matches!(&responses[2], Response::Resources { kind: Kind::Endpoints, nonce: 2, .. }));
        assert!(responses.len() == 3 && session.state() == State::AwaitingAck);
        for kind in [Kind::Routes, Kind::Clusters] {
            request(&mut session, kind, None, None);
        }
        // The mark of the rejected message is answered by the response that replaced it.
        let outcome = request(&mut session, Kind::Endpoints, Some(2), None);
        assert!(matches!(outcome, Some(Outcome::Applied { marks, .. }) if marks == [3]));
        let responses = session.responses(expected_retry);
        assert!(matches!(responses.last(), Some(Response::Resources { kind: Kind::Clusters, nonce: 3, .. })));
        request(&mut session, Kind::Clusters, Some(3), None);
        assert_eq!(session.state(), State::Synced);
    }

    #[test]
    fn an_acknowledgement_of_a_response_never_sent_is_ignored() {
        let mut session = session_with_open_requests();
        assert_eq!(
            request(&mut session, Kind::Routes, Some(40), None),
            Some(Outcome::UnknownNonce { kind: Kind::Routes })
        );
        assert!(!session.is_silent(Nanos::from_millis(2_000), Nanos::from_millis(100)));
        assert!(session.is_silent(Nanos::from_millis(3_001), Nanos::from_millis(100)));
    }
}
