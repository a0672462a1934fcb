//! Follows discovery's list of servers by long polling: calls follow one another on one connection, each
//! waiting for a newer revision. A call that stays unanswered is made again beside it on new connections; a failed
//! one is reported to the controller, which asks again.

use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use craneknot_platform::discovery::{self, Roster};
use http::Method;

use crate::link::{LinkAction, LinkId, LinkIds, PeerConnection};
use crate::watch_recovery::{LostAttempt, WatchRecovery};

const POLL_WAIT: Nanos = Nanos::from_millis(5_000); // short enough that a silent watch is detected soon
/// A long poll without an answer this long after the end of its wait is silent: half of the time after which the
/// platform counts its changes as told, so that other calls have the other half.
const POLL_GRACE: Nanos = Nanos::from_millis(1_000);
/// For a call that does not wait, including its dial. Giving up while discovery still works on the call would
/// make it do the same work twice.
const CALL_TIMEOUT: Nanos = Nanos::from_millis(2_500);
/// For a connection to come up. A call that was not sent costs discovery nothing if it is made again.
const CONNECT_TIMEOUT: Nanos = Nanos::from_millis(1_000);
/// A call this soon after an answer continues its watch.
const SAME_WATCH_WINDOW: Nanos = Nanos::from_millis(200);
const MAX_OLDER_LISTS: u32 = 3; // in a row: a list older than the known one then counts as a new numbering

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Call {
    asked_at: Nanos,
    /// How long it may take.
    timeout: Nanos,
    /// It waits for a newer revision.
    is_long_poll: bool,
    /// It was made on a connection that had carried a call before.
    is_reused: bool,
    /// Its connection has come up, so that it was sent.
    is_connected: bool,
}

impl Call {
    fn deadline(&self) -> Nanos {
        let timeout = if self.is_connected { self.timeout } else { self.timeout.min(CONNECT_TIMEOUT) };
        self.asked_at + timeout
    }

    /// Whether to call again beside it once its timeout has expired. A call without a wait that was sent has
    /// failed instead: an overloaded discovery must not get further calls soon.
    fn is_recoverable(&self) -> bool {
        self.is_long_poll || !self.is_connected
    }
}

enum State {
    /// Not requested, or failed.
    Idle,
    /// The next call is to be made as soon as possible.
    Due,
    InFlight(Call),
    /// A call is unanswered, and others are made beside it.
    Recovering(WatchRecovery),
}

/// The watch of the list, and the state of its calls in flight.
pub struct ListWatch {
    discovery: PeerConnection,
    state: State,
    revision: Option<u64>,
    /// The next call is the first of a new watch, which is answered at once.
    is_first: bool,
    answered_at: Nanos,
    /// Number of consecutive lists older than the known one.
    older_in_row: u32,
    /// Number of calls that were made beside an unanswered one.
    pub repeated_calls: u64,
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
            repeated_calls: 0,
        }
    }

    /// Whether a link is a connection to discovery.
    pub fn has(&self, link: LinkId) -> bool {
        let is_attempt = matches!(&self.state, State::Recovering(recovery) if recovery.has(link));
        is_attempt || self.discovery.has(link)
    }

    /// The controller requests to follow the list.
    pub fn start(&mut self) {
        match self.state {
            State::Idle => (self.state, self.is_first) = (State::Due, true),
            State::Due | State::InFlight(_) | State::Recovering(_) => {}
        }
    }

    /// Discovery has a new address.
    pub fn move_to(&mut self, address: SocketAddr, link_actions: &mut Vec<LinkAction>) {
        if !self.discovery.move_to(address, link_actions) {
            return;
        }
        let is_idle = matches!(self.state, State::Idle);
        self.end_recovery(None, link_actions);
        if !is_idle {
            (self.state, self.is_first) = (State::Due, true);
        }
    }

    /// A connection has come up.
    pub fn connected(&mut self, link: LinkId) {
        match &mut self.state {
            State::InFlight(call) if self.discovery.has(link) => call.is_connected = true,
            State::InFlight(_) | State::Recovering(_) | State::Idle | State::Due => {}
        }
    }

    /// Makes the next call when it is due. Returns true if a call has failed by its timeout.
    pub fn turn(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) -> bool {
        match &mut self.state {
            State::Idle => false,
            State::Due => {
                self.call(now, links, link_actions);
                false
            }
            State::InFlight(call) if now < call.deadline() => false,
            State::InFlight(call) if call.is_recoverable() => {
                self.state = State::Recovering(WatchRecovery::new(self.discovery.address(), now));
                self.turn(now, links, link_actions)
            }
            State::InFlight(_) => {
                self.discovery.close(link_actions);
                self.state = State::Idle;
                true
            }
            State::Recovering(recovery) => {
                let path = immediate_path(self.revision);
                self.repeated_calls += u64::from(recovery.turn(now, &path, links, link_actions));
                false
            }
        }
    }

    /// Makes a call on the connection to discovery, or on a new one.
    fn call(&mut self, now: Nanos, links: &mut LinkIds, link_actions: &mut Vec<LinkAction>) {
        // Missed changes are sent at once, and a failure shows at once.
        let is_first = std::mem::take(&mut self.is_first);
        let (path, timeout) = match self.revision.filter(|_| !is_first) {
            Some(revision) => (discovery::watch_path(revision, POLL_WAIT), POLL_WAIT + POLL_GRACE),
            None => (immediate_path(self.revision), CALL_TIMEOUT),
        };
        let is_long_poll = self.revision.is_some() && !is_first;
        let request = request(&Method::GET, &path, &self.discovery.host(), &[], b"");
        let is_reused = !self.discovery.call(request, links, link_actions);
        self.state = State::InFlight(Call {
            asked_at: now,
            timeout,
            is_long_poll,
            is_reused,
            is_connected: is_reused,
        });
    }

    /// Ends the calls beside an unanswered one; the connection that is kept carries the next calls.
    fn end_recovery(&mut self, kept: Option<LinkId>, link_actions: &mut Vec<LinkAction>) {
        if let State::Recovering(recovery) = std::mem::replace(&mut self.state, State::Idle) {
            if let Some(link) = kept.filter(|link| recovery.has(*link)) {
                self.discovery.replace(link, link_actions);
            }
            recovery.close_others(kept, link_actions);
        }
    }

    /// A list was received. The next call is due at once, because a watch is continued only by a prompt call.
    /// An error says why the list must not be used; the watch has failed then.
    pub fn answered(
        &mut self,
        now: Nanos,
        link: LinkId,
        roster: &Roster,
        keep_alive: bool,
        link_actions: &mut Vec<LinkAction>,
    ) -> Result<(), String> {
        self.end_recovery(Some(link), link_actions);
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
        self.end_recovery(None, link_actions);
        self.discovery.close(link_actions);
        self.state = State::Idle;
    }

    /// A connection has ended. Returns true if a call was in flight and has failed.
    pub fn lost(&mut self, now: Nanos, link: LinkId, link_actions: &mut Vec<LinkAction>) -> bool {
        let is_own = self.discovery.has(link);
        if is_own {
            self.discovery.lost();
        }
        match &mut self.state {
            State::Idle | State::Due => false,
            // The server may have closed the idle connection just as the call was sent. The call is made
            // again, once, on a new connection, which shows whether discovery is available.
            State::InFlight(call) if call.is_reused => {
                (self.state, self.is_first) = (State::Due, now - self.answered_at >= SAME_WATCH_WINDOW);
                false
            }
            State::InFlight(_) => {
                self.state = State::Idle;
                true
            }
            State::Recovering(recovery) if is_own => {
                recovery.ask_soon(now);
                false
            }
            State::Recovering(recovery) => match recovery.lost(now, link) {
                LostAttempt::Reset => false,
                LostAttempt::Refused => {
                    self.failed(link_actions);
                    true
                }
            },
        }
    }

    /// When the next turn is due if no input arrives.
    pub fn next_at(&self) -> Option<Nanos> {
        match &self.state {
            State::Idle => None,
            State::Due => Some(Nanos(0)),
            State::InFlight(call) => Some(call.deadline()),
            State::Recovering(recovery) => Some(recovery.next_at()),
        }
    }
}

/// The path of a call that is answered at once: with what has changed since a revision, or the whole list.
fn immediate_path(revision: Option<u64>) -> String {
    match revision {
        Some(revision) => discovery::watch_path(revision, Nanos(0)),
        None => discovery::list_path(),
    }
}
