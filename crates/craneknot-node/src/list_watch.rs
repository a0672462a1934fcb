//! Follows discovery's list of servers by long polling: calls follow one another on one connection, each
//! waiting for a newer revision. A failed call is reported to the controller, which asks again.

use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use craneknot_platform::discovery::{self, Roster};
use http::Method;

use crate::link::{LinkAction, LinkId, LinkIds, PeerConnection};

const POLL_WAIT: Nanos = Nanos::from_millis(5_000); // short enough that a silent watch is detected soon
/// An answer this long after the end of its wait is considered lost.
const POLL_GRACE: Nanos = Nanos::from_millis(1_500);
/// For a call that does not wait, including its dial. Giving up while discovery still works on the call would
/// make it do the same work twice.
const CALL_TIMEOUT: Nanos = Nanos::from_millis(2_500);
/// A call this soon after an answer continues its watch.
const SAME_WATCH_WINDOW: Nanos = Nanos::from_millis(200);
const MAX_OLDER_LISTS: u32 = 3; // in a row: a list older than the known one then counts as a new numbering

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not requested, or failed.
    Idle,
    /// The next call is to be made as soon as possible.
    Due,
    /// A call is in flight. `reused`: on a connection that had carried a call before. `is_long_poll`: it
    /// waits for a newer revision.
    InFlight { deadline: Nanos, reused: bool, is_long_poll: bool },
}

/// The watch of the list, and the state of its call in flight.
pub struct ListWatch {
    discovery: PeerConnection,
    state: State,
    revision: Option<u64>,
    /// The next call is the first of a new watch, which is answered at once.
    is_first: bool,
    answered_at: Nanos,
    /// Number of consecutive lists older than the known one.
    older_in_row: u32,
}

impl ListWatch {
    /// `revision`: that of the list remembered from before the start.
    pub fn new(address: SocketAddr, revision: Option<u64>) -> Self {
        let discovery = PeerConnection::new(address);
        ListWatch {
            discovery,
            state: State::Idle,
            revision,
            is_first: true,
            answered_at: Nanos(0),
            older_in_row: 0,
        }
    }

    /// Whether a link is the connection to discovery.
    pub fn has(&self, link: LinkId) -> bool {
        self.discovery.has(link)
    }

    /// The controller requests to follow the list.
    pub fn start(&mut self) {
        match self.state {
            State::Idle => (self.state, self.is_first) = (State::Due, true),
            State::Due | State::InFlight { .. } => {}
        }
    }

    /// Discovery has a new address.
    pub fn move_to(&mut self, address: SocketAddr, link_actions: &mut Vec<LinkAction>) {
        if self.discovery.move_to(address, link_actions) {
            match self.state {
                State::Idle => {}
                State::Due | State::InFlight { .. } => (self.state, self.is_first) = (State::Due, true),
            }
        }
    }

    /// Makes the next call when it is due. Returns true if a call has failed by its timeout.
    pub fn turn(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) -> bool {
        match self.state {
            State::Idle => false,
            State::InFlight { deadline, .. } if now < deadline => false,
            State::InFlight { is_long_poll: true, .. } => {
                // A silent watch does not tell whether discovery is available, and changes are overdue: a
                // call on a new connection shows both.
                self.discovery.close(link_actions);
                (self.state, self.is_first) = (State::Due, true);
                self.turn(now, links, link_actions)
            }
            State::InFlight { is_long_poll: false, .. } => {
                self.discovery.close(link_actions);
                self.state = State::Idle;
                true
            }
            State::Due => {
                let (path, timeout) = match self.revision {
                    // Missed changes are sent at once, and a failure shows at once.
                    Some(revision) if self.is_first => {
                        (discovery::watch_path(revision, Nanos(0)), CALL_TIMEOUT)
                    }
                    Some(revision) => (discovery::watch_path(revision, POLL_WAIT), POLL_WAIT + POLL_GRACE),
                    None => (discovery::list_path(), CALL_TIMEOUT),
                };
                let is_long_poll = self.revision.is_some() && !self.is_first;
                self.is_first = false;
                let request = request(&Method::GET, &path, &self.discovery.host(), &[], b"");
                let reused = !self.discovery.call(request, links, link_actions);
                self.state = State::InFlight { deadline: now + timeout, reused, is_long_poll };
                false
            }
        }
    }

    /// A list was received. The next call is due at once, because a watch is continued only by a prompt call.
    /// An error says why the list must not be used; the watch has failed then.
    pub fn answered(
        &mut self,
        now: Nanos,
        roster: &Roster,
        keep_alive: bool,
        link_actions: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        if !keep_alive {
            self.discovery.close(link_actions);
        }
        // An answer that was delayed, or comes from a replica that lags behind, must not undo later changes.
        if let Some(known) = self.revision.filter(|known| roster.revision < *known) {
            self.older_in_row += 1;
            if self.older_in_row < MAX_OLDER_LISTS {
                self.state = State::Idle;
                return Err(format!("revision {} is older than the known {known}", roster.revision));
            }
        }
        // Changes relative to a list with another numbering are incomplete.
        let is_renumbered = std::mem::take(&mut self.older_in_row) >= MAX_OLDER_LISTS && !roster.complete;
        (self.revision, self.is_first) = ((!is_renumbered).then_some(roster.revision), is_renumbered);
        (self.answered_at, self.state) = (now, State::Due);
        Ok(())
    }

    /// The answer is not a list: the watch has failed.
    pub fn failed(&mut self, link_actions: &mut Vec<LinkAction>) {
        self.discovery.close(link_actions);
        self.state = State::Idle;
    }

    /// The connection has ended. Returns true if a call was in flight and has failed.
    pub fn lost(&mut self, now: Nanos) -> bool {
        self.discovery.lost();
        match self.state {
            State::Idle | State::Due => false,
            // The server may have closed the idle connection just as the call was sent. The call is made
            // again, once, on a new connection, which shows whether discovery is available.
            State::InFlight { reused: true, .. } => {
                (self.state, self.is_first) = (State::Due, now - self.answered_at >= SAME_WATCH_WINDOW);
                false
            }
            State::InFlight { reused: false, .. } => {
                self.state = State::Idle;
                true
            }
        }
    }

    /// When the next turn is due if no input arrives.
    pub fn next_at(&self) -> Option<Nanos> {
        match self.state {
            State::Idle => None,
            State::Due => Some(Nanos(0)),
            State::InFlight { deadline, .. } => Some(deadline),
        }
    }
}
