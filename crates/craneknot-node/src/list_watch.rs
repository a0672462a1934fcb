//! How the list of servers is followed: one call after another on one connection, each waiting for what is newer.
//! A call that fails is told to the decisions, which ask again.

use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use craneknot_platform::discovery::{self, Roster};
use http::Method;

use crate::link::{Act, Callee, LinkId, Links};

const LONG_POLL_WAIT: Nanos = Nanos::from_millis(5_000); // ms; a watch that has fallen silent is found out soon after
const LONG_POLL_GRACE: Nanos = Nanos::from_millis(1_500); // ms; an answer this long after its wait is lost
                                                          // A call that does not wait, its dial included; one given up while discovery works on it is work done twice.
const FIRST_CALL_TIMEOUT: Nanos = Nanos::from_millis(2_500); // ms
const SAME_WATCH_WINDOW: Nanos = Nanos::from_millis(200); // ms; a call this soon after an answer goes on with its watch
const OLDER_LISTS_MAX: u32 = 3; // lists in a row older than the known one, until they count: a new numbering

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Not asked to follow, or failed.
    Idle,
    /// To call as soon as may be.
    Due,
    /// A call is in flight; `kept`: on a connection that served before; `waits`: for what is newer.
    InFlight { deadline: Nanos, reused: bool, is_long_poll: bool },
}

pub struct ListWatch {
    discovery: Callee,
    state: WatchState,
    revision: Option<u64>,
    /// The next call is the first of a new watch: it is answered at once.
    is_first_call: bool,
    answered_at: Nanos,
    /// Lists in a row that were older than what is known.
    older_in_row: u32,
}

impl ListWatch {
    /// `revision`: of the list that is known from before.
    pub fn new(address: SocketAddr, revision: Option<u64>) -> Self {
        let discovery = Callee::new(address);
        ListWatch {
            discovery,
            state: WatchState::Idle,
            revision,
            is_first_call: true,
            answered_at: Nanos(0),
            older_in_row: 0,
        }
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.discovery.has(link)
    }

    /// The decisions want to follow the list.
    pub fn start(&mut self) {
        match self.state {
            WatchState::Idle => (self.state, self.is_first_call) = (WatchState::Due, true),
            WatchState::Due | WatchState::InFlight { .. } => {}
        }
    }

    pub fn move_to(&mut self, address: SocketAddr, link_actions: &mut Vec<Act>) {
        if self.discovery.move_to(address, link_actions) {
            match self.state {
                WatchState::Idle => {}
                WatchState::Due | WatchState::InFlight { .. } => {
                    (self.state, self.is_first_call) = (WatchState::Due, true)
                }
            }
        }
    }

    /// Calls where that is due; true: a call has failed by its time.
    pub fn turn(&mut self, now: Nanos, links: &mut Links, link_actions: &mut Vec<Act>) -> bool {
        match self.state {
            WatchState::Idle => false,
            WatchState::InFlight { deadline, .. } if now < deadline => false,
            WatchState::InFlight { is_long_poll: true, .. } => {
                // A watch that has fallen silent says nothing of discovery, and what changed meanwhile is overdue:
                // a call on a new connection tells both.
                self.discovery.hang_up(link_actions);
                (self.state, self.is_first_call) = (WatchState::Due, true);
                self.turn(now, links, link_actions)
            }
            WatchState::InFlight { is_long_poll: false, .. } => {
                self.discovery.hang_up(link_actions);
                self.state = WatchState::Idle;
                true
            }
            WatchState::Due => {
                let (path, timeout) = match self.revision {
                    // What was missed is sent first, and a failure shows at once.
                    Some(revision) if self.is_first_call => {
                        (discovery::watch(revision, Nanos(0)), FIRST_CALL_TIMEOUT)
                    }
                    Some(revision) => {
                        (discovery::watch(revision, LONG_POLL_WAIT), LONG_POLL_WAIT + LONG_POLL_GRACE)
                    }
                    None => (discovery::whole(), FIRST_CALL_TIMEOUT),
                };
                let is_long_poll = self.revision.is_some() && !self.is_first_call;
                self.is_first_call = false;
                let request = request(&Method::GET, &path, &self.discovery.host(), &[], b"");
                let reused = !self.discovery.call(request, links, link_actions);
                self.state = WatchState::InFlight { deadline: now + timeout, reused, is_long_poll };
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
        keep_alive: bool,
        link_actions: &mut Vec<Act>,
    ) -> Result<(), String> {
        if !keep_alive {
            self.discovery.hang_up(link_actions);
        }
        // An answer that was long on its way, or of a copy that lags behind, must not undo what came since.
        if let Some(known) = self.revision.filter(|known| roster.revision < *known) {
            self.older_in_row += 1;
            if self.older_in_row < OLDER_LISTS_MAX {
                self.state = WatchState::Idle;
                return Err(format!("revision {} is older than the known {known}", roster.revision));
            }
        }
        // Changes to another numbering's list tell too little.
        let is_renumbered = std::mem::take(&mut self.older_in_row) >= OLDER_LISTS_MAX && !roster.complete;
        (self.revision, self.is_first_call) = ((!is_renumbered).then_some(roster.revision), is_renumbered);
        (self.answered_at, self.state) = (now, WatchState::Due);
        Ok(())
    }

    /// What came is no list: the watch has failed.
    pub fn failed(&mut self, link_actions: &mut Vec<Act>) {
        self.discovery.hang_up(link_actions);
        self.state = WatchState::Idle;
    }

    /// The connection has ended; true: with a call in flight, which has failed.
    pub fn lost(&mut self, now: Nanos) -> bool {
        self.discovery.lost();
        match self.state {
            WatchState::Idle | WatchState::Due => false,
            // A kept connection may have been closed as the call went out: the call is made again, once, on a new
            // connection, which tells whether discovery is there.
            WatchState::InFlight { reused: true, .. } => {
                (self.state, self.is_first_call) =
                    (WatchState::Due, now - self.answered_at >= SAME_WATCH_WINDOW);
                false
            }
            WatchState::InFlight { reused: false, .. } => {
                self.state = WatchState::Idle;
                true
            }
        }
    }

    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            WatchState::Idle => None,
            WatchState::Due => Some(Nanos(0)),
            WatchState::InFlight { deadline, .. } => Some(deadline),
        }
    }
}
