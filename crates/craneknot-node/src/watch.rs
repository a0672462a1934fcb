//! How the list of servers is followed: one call after another on one connection, each waiting for what is newer.
//! A call that fails is told to the decisions, which ask again.

use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use craneknot_platform::discovery::{self, Roster};
use http::Method;

use crate::link::{LinkAction, LinkId, LinkIds, PeerConnection};

const WAIT: Nanos = Nanos::from_millis(5_000); // ms; a watch that has fallen silent is found out soon after
const LATE: Nanos = Nanos::from_millis(1_500); // ms; an answer this long after its wait is lost
                                               // A call that does not wait, its dial included; one given up while discovery works on it is work done twice.
const FIRST_MOST: Nanos = Nanos::from_millis(2_500); // ms
const SAME: Nanos = Nanos::from_millis(200); // ms; a call this soon after an answer goes on with its watch
const OLDER_MOST: u32 = 3; // lists in a row older than the known one, until they count: a new numbering

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not asked to follow, or failed.
    Idle,
    /// To call as soon as may be.
    Due,
    /// A call is in flight; `kept`: on a connection that served before; `waits`: for what is newer.
    Asked { until: Nanos, kept: bool, waits: bool },
}

pub struct Watch {
    discovery: PeerConnection,
    state: State,
    revision: Option<u64>,
    /// The next call is the first of a new watch: it is answered at once.
    fresh: bool,
    answered: Nanos,
    /// Lists in a row that were older than what is known.
    older: u32,
}

impl Watch {
    /// `revision`: of the list that is known from before.
    pub fn new(address: SocketAddr, revision: Option<u64>) -> Self {
        let discovery = PeerConnection::new(address);
        Watch { discovery, state: State::Idle, revision, fresh: true, answered: Nanos(0), older: 0 }
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

    pub fn move_to(&mut self, address: SocketAddr, acts: &mut Vec<LinkAction>) {
        if self.discovery.move_to(address, acts) {
            match self.state {
                State::Idle => {}
                State::Due | State::Asked { .. } => (self.state, self.fresh) = (State::Due, true),
            }
        }
    }

    /// Calls where that is due; true: a call has failed by its time.
    pub fn turn(&mut self, now: Nanos, links: &mut LinkIds, acts: &mut Vec<LinkAction>) -> bool {
        match self.state {
            State::Idle => false,
            State::Asked { until, .. } if now < until => false,
            State::Asked { waits: true, .. } => {
                // A watch that has fallen silent says nothing of discovery, and what changed meanwhile is overdue:
                // a call on a new connection tells both.
                self.discovery.close(acts);
                (self.state, self.fresh) = (State::Due, true);
                self.turn(now, links, acts)
            }
            State::Asked { waits: false, .. } => {
                self.discovery.close(acts);
                self.state = State::Idle;
                true
            }
            State::Due => {
                let (path, most) = match self.revision {
                    // What was missed is sent first, and a failure shows at once.
                    Some(revision) if self.fresh => (discovery::watch_path(revision, Nanos(0)), FIRST_MOST),
                    Some(revision) => (discovery::watch_path(revision, WAIT), WAIT + LATE),
                    None => (discovery::list_path(), FIRST_MOST),
                };
                let waits = self.revision.is_some() && !self.fresh;
                self.fresh = false;
                let request = request(&Method::GET, &path, &self.discovery.host(), &[], b"");
                let kept = !self.discovery.call(request, links, acts);
                self.state = State::Asked { until: now + most, kept, waits };
                false
            }
        }
    }

    /// A list has come; the next call is due at once, since a watch goes on only where it follows soon. An error
    /// says why the list is not to be used: the watch has failed then.
    pub fn answered(
        &mut self,
        now: Nanos,
        roster: &Roster,
        keeps: bool,
        acts: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        if !keeps {
            self.discovery.close(acts);
        }
        // An answer that was long on its way, or of a copy that lags behind, must not undo what came since.
        if let Some(known) = self.revision.filter(|known| roster.revision < *known) {
            self.older += 1;
            if self.older < OLDER_MOST {
                self.state = State::Idle;
                return Err(format!("revision {} is older than the known {known}", roster.revision));
            }
        }
        // Changes to another numbering's list tell too little.
        let renumbered = std::mem::take(&mut self.older) >= OLDER_MOST && !roster.complete;
        (self.revision, self.fresh) = ((!renumbered).then_some(roster.revision), renumbered);
        (self.answered, self.state) = (now, State::Due);
        Ok(())
    }

    /// What came is no list: the watch has failed.
    pub fn failed(&mut self, acts: &mut Vec<LinkAction>) {
        self.discovery.close(acts);
        self.state = State::Idle;
    }

    /// The connection has ended; true: with a call in flight, which has failed.
    pub fn lost(&mut self, now: Nanos) -> bool {
        self.discovery.lost();
        match self.state {
            State::Idle | State::Due => false,
            // A kept connection may have been closed as the call went out: the call is made again, once, on a new
            // connection, which tells whether discovery is there.
            State::Asked { kept: true, .. } => {
                (self.state, self.fresh) = (State::Due, now - self.answered >= SAME);
                false
            }
            State::Asked { kept: false, .. } => {
                self.state = State::Idle;
                true
            }
        }
    }

    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            State::Idle => None,
            State::Due => Some(Nanos(0)),
            State::Asked { until, .. } => Some(until),
        }
    }
}
