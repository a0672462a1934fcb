//! How the list of servers is followed: one call after another on one connection, each waiting for what is newer.
//! A call that fails is told to the decisions, which ask again.

use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use craneknot_platform::discovery::{self, Roster};
use http::Method;

use crate::link::{Act, Callee, LinkId, Links};

const WAIT: Nanos = Nanos::from_millis(5_000); // ms; a watch that has fallen silent is found out soon after
const LATE: Nanos = Nanos::from_millis(1_500); // ms; an answer this long after its wait is lost
const FIRST_MOST: Nanos = Nanos::from_millis(1_500); // ms; for a call that does not wait, its dial included

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not asked to follow, or failed.
    Idle,
    /// To call as soon as may be.
    Due,
    Asked {
        until: Nanos,
    },
}

pub struct Watch {
    discovery: Callee,
    state: State,
    revision: Option<u64>,
    /// The next call is the first of a new watch: it is answered at once.
    fresh: bool,
}

impl Watch {
    /// `revision`: of the list that is known from before.
    pub fn new(address: SocketAddr, revision: Option<u64>) -> Self {
        Watch { discovery: Callee::new(address), state: State::Idle, revision, fresh: true }
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.discovery.has(link)
    }

    /// The decisions want to follow the list.
    pub fn start(&mut self) {
        match self.state {
            State::Idle => (self.state, self.fresh) = (State::Due, true),
            State::Due | State::Asked { .. } => {}
        }
    }

    pub fn move_to(&mut self, address: SocketAddr, acts: &mut Vec<Act>) {
        if self.discovery.move_to(address, acts) {
            match self.state {
                State::Idle => {}
                State::Due | State::Asked { .. } => (self.state, self.fresh) = (State::Due, true),
            }
        }
    }

    /// Calls where that is due; true: a call has failed by its time.
    pub fn turn(&mut self, now: Nanos, links: &mut Links, acts: &mut Vec<Act>) -> bool {
        match self.state {
            State::Idle => false,
            State::Asked { until } if now < until => false,
            State::Asked { .. } => {
                self.discovery.hang_up(acts);
                self.state = State::Idle;
                true
            }
            State::Due => {
                let (path, most) = match self.revision {
                    // What was missed is sent first, and a failure shows at once.
                    Some(revision) if self.fresh => (discovery::watch(revision, Nanos(0)), FIRST_MOST),
                    Some(revision) => (discovery::watch(revision, WAIT), WAIT + LATE),
                    None => (discovery::whole(), FIRST_MOST),
                };
                self.fresh = false;
                let request = request(&Method::GET, &path, &self.discovery.host(), &[], b"");
                self.discovery.call(request, links, acts);
                self.state = State::Asked { until: now + most };
                false
            }
        }
    }

    /// A list has come; the next call is due at once, since a watch goes on only where it follows soon.
    pub fn answered(&mut self, roster: &Roster, keeps: bool, acts: &mut Vec<Act>) {
        self.revision = Some(roster.revision);
        if !keeps {
            self.discovery.hang_up(acts);
        }
        self.state = State::Due;
    }

    /// What came is no list: the watch has failed.
    pub fn failed(&mut self, acts: &mut Vec<Act>) {
        self.discovery.hang_up(acts);
        self.state = State::Idle;
    }

    /// The connection has ended; true: with a call under way, which has failed.
    pub fn lost(&mut self) -> bool {
        self.discovery.lost();
        match self.state {
            State::Idle | State::Due => false,
            State::Asked { .. } => {
                self.state = State::Idle;
                true
            }
        }
    }

    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            State::Idle => None,
            State::Due => Some(Nanos(0)),
            State::Asked { until } => Some(until),
        }
    }
}
