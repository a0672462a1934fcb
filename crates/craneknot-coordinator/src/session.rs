//! One stream: what is due to its proxy, what it was sent and has not answered, and what a refusal leads to.
//!
//! An agent asks for each kind of resource by a request that is held open. As soon as something is due, the
//! requests at the front are answered, up to the last one that has something: in full where its kind changed, with
//! 304 where not. The next request of that kind accepts the response of its nonce, or refuses it.
//!
//! Bindings wait until the tables and levels that came with them are accepted: an agent may still have an old
//! table of that name, with servers that are long lost, and must not follow a binding to it.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use craneknot::interface::{Nanos, TableId};
use craneknot_xds::discovery::Kind;

use crate::resource_cache::{Message, ResourceUpdate};

const AGAIN_FIRST: Nanos = Nanos::from_millis(500); // ms; wait before what was refused is offered again, whole
const AGAIN_MOST: Nanos = Nanos::from_millis(2_000); // ms; the longest such wait: it may hold up a drain
const SILENT: Nanos = Nanos::from_millis(3_000); // ms; at the least, until a stream that says nothing is broken
const SILENT_PERIODS: u64 = 6; // report periods that may pass without a word: two lost and two late are borne

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It holds all that was sent.
    Settled,
    /// It has not answered all that was sent.
    Owing,
    /// It refused something; all it holds is offered again later.
    Refusing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    /// Something was sent.
    Sent,
    /// The last answer owed came, and none was a refusal.
    Accepted,
    Refused,
    /// The wait after a refusal is over.
    Rested,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    /// What was sent counts as applied.
    Count,
    /// Wait, twice as long after each refusal in a row.
    Rest,
    /// Offer all again.
    Renew,
}

/// State, sign, next state, effect.
const MOVES: &[(State, Sign, State, Effect)] = &[
    (State::Settled, Sign::Sent, State::Owing, Effect::Nothing),
    (State::Owing, Sign::Sent, State::Owing, Effect::Nothing),
    (State::Owing, Sign::Accepted, State::Settled, Effect::Count),
    (State::Owing, Sign::Refused, State::Refusing, Effect::Rest),
    (State::Refusing, Sign::Rested, State::Settled, Effect::Renew),
];

/// One answer to one held request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Resources { kind: Kind, nonce: u64, resources: Vec<Bytes> },
    Unchanged { kind: Kind },
}

/// What a request of the stream says of an earlier response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRequest {
    pub kind: Kind,
    pub nonce: Option<u64>,
    /// The cause, where the response of that nonce was refused.
    pub refused: Option<String>,
}

struct Owed {
    kind: Kind,
    nonce: u64,
    tables: Vec<TableId>,
}

pub struct Session {
    state: State,
    open: VecDeque<Kind>,
    due: ResourceUpdate,
    due_lines: f64,
    due_marks: Vec<u16>,
    due_since: Option<Nanos>,
    owed: Vec<Owed>,
    /// What must be accepted before the bindings that are due may be sent.
    needs: BTreeSet<(Kind, TableId)>,
    sent_marks: Vec<u16>,
    sent_since: Option<Nanos>,
    refusals: u32,
    again_at: Option<Nanos>,
    renew: bool,
    next_nonce: u64,
    heard: Nanos,
}

/// What the owner is to do or know after an input.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The marks whose messages are applied, and when the oldest of these was decided.
    Applied {
        marks: Vec<u16>,
        decided: Option<Nanos>,
    },
    Rejected {
        kind: Kind,
        cause: String,
        again_at: Nanos,
    },
    /// An answer to nothing that was sent: of an earlier stream, or made up. It counts for nothing.
    UnknownNonce {
        kind: Kind,
    },
}

impl Session {
    pub fn new(now: Nanos) -> Self {
        Session {
            state: State::Settled,
            open: VecDeque::new(),
            due: ResourceUpdate::default(),
            due_lines: 0.0,
            due_marks: Vec::new(),
            due_since: None,
            owed: Vec::new(),
            needs: BTreeSet::new(),
            sent_marks: Vec::new(),
            sent_since: None,
            refusals: 0,
            again_at: None,
            renew: false,
            next_nonce: 1,
            heard: now,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Lines that have left the channel and wait for the proxy: of a proxy that stands still these grow no
    /// further than all it can hold.
    pub fn held_lines(&self) -> f64 {
        self.due_lines
    }

    fn sign(&mut self, now: Nanos, sign: Sign) -> Effect {
        let row = MOVES.iter().find(|row| row.0 == self.state && row.1 == sign);
        let Some((_, _, next, effect)) = row else { return Effect::Nothing };
        self.state = *next;
        match effect {
            Effect::Nothing => {}
            Effect::Count => self.refusals = 0,
            Effect::Rest => {
                let wait = Nanos(AGAIN_FIRST.0 << self.refusals.min(5)).min(AGAIN_MOST);
                self.refusals += 1;
                self.again_at = Some(now + wait);
            }
            Effect::Renew => {
                self.again_at = None;
                self.renew = true;
            }
        }
        *effect
    }

    /// What bindings rest on, where the parts have any.
    fn note_needs(&mut self, parts: &ResourceUpdate) {
        if parts.clusters.is_some() {
            self.needs.extend(parts.endpoints.keys().map(|table| (Kind::Endpoints, *table)));
            self.needs.extend(parts.routes.keys().map(|table| (Kind::Routes, *table)));
        }
    }

    fn may_send(&self, kind: Kind) -> bool {
        self.due.has(kind) && (kind != Kind::Clusters || self.needs.is_empty())
    }

    /// A message is through the channel.
    pub fn offer(&mut self, message: Message) {
        self.note_needs(&message.parts);
        self.due.absorb(message.parts);
        self.due_lines += message.lines;
        self.due_marks.extend(message.mark);
        self.due_since = self.due_since.or(Some(message.decided));
    }

    /// Any word of the agent shows that the stream stands.
    pub fn hear(&mut self, now: Nanos) {
        self.heard = self.heard.max(now);
    }

    /// Nothing came for so long that the stream counts as broken.
    pub fn is_silent(&self, now: Nanos, report_period: Nanos) -> bool {
        now > self.silent_after(report_period)
    }

    /// Until then it cannot count as silent; a word moves it on.
    pub fn silent_after(&self, report_period: Nanos) -> Nanos {
        self.heard + SILENT.max(Nanos(report_period.0.saturating_mul(SILENT_PERIODS)))
    }

    /// A request has come.
    pub fn ask(&mut self, now: Nanos, asked: StreamRequest) -> Option<Outcome> {
        self.hear(now);
        let StreamRequest { kind, nonce, refused } = asked;
        if !self.open.contains(&kind) {
            self.open.push_back(kind);
        }
        let nonce = nonce?;
        let Some(place) = self.owed.iter().position(|owed| owed.kind == kind && owed.nonce == nonce) else {
            // The kind was answered with 304 since: its last nonce comes again.
            let known = nonce < self.next_nonce;
            return (!known).then_some(Outcome::UnknownNonce { kind });
        };
        let owed = self.owed.remove(place);
        if let Some(cause) = refused {
            self.sign(now, Sign::Refused);
            let again_at = *self.again_at.get_or_insert(now + AGAIN_FIRST);
            return Some(Outcome::Rejected { kind, cause, again_at });
        }
        owed.tables.iter().for_each(|table| {
            self.needs.remove(&(kind, *table));
        });
        if !self.owed.is_empty() || self.sign(now, Sign::Accepted) != Effect::Count {
            return None;
        }
        let (marks, decided) = (std::mem::take(&mut self.sent_marks), self.sent_since.take());
        Some(Outcome::Applied { marks, decided })
    }

    /// What is to be sent now. `all` gives everything the proxy shall hold, asked for after a refusal.
    pub fn answers(&mut self, now: Nanos, all: impl FnOnce() -> ResourceUpdate) -> Vec<Response> {
        if self.again_at.is_some_and(|at| at <= now) {
            self.sign(now, Sign::Rested);
        }
        // While it refuses, more of the same would be refused too.
        if self.state == State::Refusing {
            return Vec::new();
        }
        if std::mem::take(&mut self.renew) {
            // What was needed before may be no part of what it shall hold now: it would be waited for in vain.
            let due = all();
            self.needs.clear();
            self.note_needs(&due);
            self.due = due;
        }
        let last = self.open.iter().rposition(|kind| self.may_send(*kind));
        let Some(last) = last else { return Vec::new() };
        let mut answers = Vec::new();
        for kind in self.open.drain(..=last).collect::<Vec<Kind>>() {
            let tables = self.due.tables(kind);
            let taken = if self.may_send(kind) { self.due.take(kind) } else { None };
            match taken {
                Some(resources) => {
                    let nonce = self.next_nonce;
                    self.next_nonce += 1;
                    self.owed.push(Owed { kind, nonce, tables });
                    answers.push(Response::Resources { kind, nonce, resources });
                }
                None => answers.push(Response::Unchanged { kind }),
            }
        }
        if self.due.is_empty() {
            // All of these messages is under way: once accepted, their marks are answered.
            self.due_lines = 0.0;
            self.sent_marks.append(&mut self.due_marks);
            let due_since = self.due_since.take();
            self.sent_since = self.sent_since.or(due_since);
        }
        self.sign(now, Sign::Sent);
        answers
    }

    /// When it must be looked at again without any input.
    pub fn next_at(&self) -> Option<Nanos> {
        self.again_at
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
        Message { proxy: ProxyId(0), parts, mark, lines: 4.0, decided: Nanos(1) }
    }

    fn ask(session: &mut Session, kind: Kind, nonce: Option<u64>, refused: Option<&str>) -> Option<Outcome> {
        session.ask(Nanos(2), StreamRequest { kind, nonce, refused: refused.map(str::to_owned) })
    }

    fn asked() -> Session {
        let mut session = Session::new(Nanos(0));
        Kind::ALL.into_iter().for_each(|kind| assert_eq!(ask(&mut session, kind, None, None), None));
        session
    }

    #[test]
    fn a_mark_is_answered_only_when_every_part_is_accepted() {
        let mut session = asked();
        session.offer(message(1, Some(7), true));
        let answers = session.answers(Nanos(3), ResourceUpdate::default);
        assert!(matches!(&answers[..], [Response::Resources { kind: Kind::Endpoints, nonce: 1, .. }]));
        assert_eq!(session.state(), State::Owing);
        assert!(session.answers(Nanos(3), ResourceUpdate::default).is_empty());
        let accepted = ask(&mut session, Kind::Endpoints, Some(1), None);
        assert!(matches!(accepted, Some(Outcome::Applied { marks, .. }) if marks.is_empty()));
        // Only now the binding to that table; routes, asked for before it, are told to be as they were.
        let answers = session.answers(Nanos(3), ResourceUpdate::default);
        assert!(matches!(
            &answers[..],
            [
                Response::Unchanged { kind: Kind::Routes },
                Response::Resources { kind: Kind::Clusters, nonce: 2, .. }
            ]
        ));
        assert_eq!(ask(&mut session, Kind::Routes, None, None), None);
        let applied = Outcome::Applied { marks: vec![7], decided: Some(Nanos(1)) };
        assert_eq!(ask(&mut session, Kind::Clusters, Some(2), None), Some(applied));
        assert_eq!(session.state(), State::Settled);
    }

    /// A proxy that stands still: what comes meanwhile waits, newer in the place of older.
    #[test]
    fn what_is_due_to_a_proxy_that_stands_still_does_not_grow() {
        let mut session = asked();
        session.offer(message(1, None, false));
        assert_eq!(session.answers(Nanos(3), ResourceUpdate::default).len(), 1);
        for _ in 0..1000 {
            session.offer(message(1, None, false));
            assert!(session.answers(Nanos(4), ResourceUpdate::default).is_empty());
        }
        ask(&mut session, Kind::Endpoints, Some(1), None);
        let answers = session.answers(Nanos(5), ResourceUpdate::default);
        // Routes and clusters were still held: endpoints now stand behind them.
        assert_eq!(answers.len(), 3);
        assert!(matches!(&answers[2], Response::Resources { resources, .. } if resources.len() == 1));
        assert_eq!(session.held_lines(), 0.0);
    }

    #[test]
    fn a_refusal_is_followed_by_a_wait_and_by_all_that_the_proxy_shall_hold() {
        let mut session = asked();
        session.offer(message(1, Some(3), false));
        session.answers(Nanos(3), ResourceUpdate::default);
        let refused = ask(&mut session, Kind::Endpoints, Some(1), Some("disk full"));
        let again = Nanos(2) + AGAIN_FIRST;
        assert_eq!(
            refused,
            Some(Outcome::Rejected { kind: Kind::Endpoints, cause: "disk full".into(), again_at: again })
        );
        session.offer(message(2, None, false));
        assert!(session.answers(again - Nanos(1), ResourceUpdate::default).is_empty());
        let all = || message(9, None, true).parts;
        let answers = session.answers(again, all);
        assert!(matches!(&answers[0], Response::Unchanged { kind: Kind::Routes }));
        assert!(matches!(&answers[2], Response::Resources { kind: Kind::Endpoints, nonce: 2, .. }));
        assert!(answers.len() == 3 && session.state() == State::Owing);
        for kind in [Kind::Routes, Kind::Clusters] {
            ask(&mut session, kind, None, None);
        }
        // The mark of what was refused is answered with what took its place.
        let outcome = ask(&mut session, Kind::Endpoints, Some(2), None);
        assert!(matches!(outcome, Some(Outcome::Applied { marks, .. }) if marks == [3]));
        let answers = session.answers(again, ResourceUpdate::default);
        assert!(matches!(answers.last(), Some(Response::Resources { kind: Kind::Clusters, nonce: 3, .. })));
        ask(&mut session, Kind::Clusters, Some(3), None);
        assert_eq!(session.state(), State::Settled);
    }

    #[test]
    fn an_answer_to_what_was_never_sent_counts_for_nothing() {
        let mut session = asked();
        assert_eq!(
            ask(&mut session, Kind::Routes, Some(40), None),
            Some(Outcome::UnknownNonce { kind: Kind::Routes })
        );
        assert!(!session.is_silent(Nanos::from_millis(2_000), Nanos::from_millis(100)));
        assert!(session.is_silent(Nanos::from_millis(3_001), Nanos::from_millis(100)));
    }
}
