//! Asks discovery again, on new connections, while an earlier call stays unanswered. The earlier connections stay
//! open: a partition may end on any of them, and connections dialled during it may never come up.

use std::collections::VecDeque;
use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_http::request;
use http::Method;

use crate::link::{LinkAction, LinkId, LinkIds};

/// Between two attempts. Together with the time after which a call counts as silent, it has to fit into the time
/// after which the platform counts a change as told.
const ATTEMPT_INTERVAL: Nanos = Nanos::from_millis(1_000);
/// Between two attempts when discovery has been silent for long.
const LATE_ATTEMPT_INTERVAL: Nanos = Nanos::from_millis(2_000);
const FREQUENT_ATTEMPTS: u32 = 6;
const MAX_CONCURRENT_ATTEMPTS: usize = 3;
/// A connection that ends this soon was refused; one that ends later was reset at the end of a partition.
const REFUSED_WITHIN: Nanos = Nanos::from_millis(250);

struct Attempt {
    link: LinkId,
    asked_at: Nanos,
}

/// What the end of an attempt's connection says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostAttempt {
    /// Discovery is reachable, and refuses connections.
    Refused,
    /// Discovery may be reachable again: the next attempt is due at once.
    Reset,
}

/// The calls made beside an unanswered one.
pub struct WatchRecovery {
    address: SocketAddr,
    /// The oldest first.
    attempts: VecDeque<Attempt>,
    made: u32,
    next_attempt_at: Nanos,
}

impl WatchRecovery {
    /// The first attempt is due now.
    pub fn new(address: SocketAddr, now: Nanos) -> Self {
        WatchRecovery { address, attempts: VecDeque::new(), made: 0, next_attempt_at: now }
    }

    /// Whether a link is the connection of an attempt.
    pub fn has(&self, link: LinkId) -> bool {
        self.attempts.iter().any(|attempt| attempt.link == link)
    }

    /// Asks for this path on a new connection if an attempt is due. Returns true if it has.
    pub fn turn(
        &mut self,
        now: Nanos,
        path: &str,
        links: &mut LinkIds,
        actions: &mut Vec<LinkAction>,
    ) -> bool {
        if now < self.next_attempt_at {
            return false;
        }
        if self.attempts.len() >= MAX_CONCURRENT_ATTEMPTS {
            actions.extend(self.attempts.pop_front().map(|oldest| LinkAction::Close { link: oldest.link }));
        }
        let (link, address) = (links.next_id(), self.address);
        let request = request(&Method::GET, path, &address.to_string(), &[], b"");
        actions.push(LinkAction::Dial { link, address, request });
        self.attempts.push_back(Attempt { link, asked_at: now });
        self.made += 1;
        let is_late = self.made >= FREQUENT_ATTEMPTS;
        self.next_attempt_at = now + if is_late { LATE_ATTEMPT_INTERVAL } else { ATTEMPT_INTERVAL };
        true
    }

    /// The unanswered call's own connection has ended, which may be the end of a partition.
    pub fn ask_soon(&mut self, now: Nanos) {
        let last_asked_at = self.attempts.back().map_or(Nanos(0), |attempt| attempt.asked_at);
        self.next_attempt_at = self.next_attempt_at.min(now.max(last_asked_at + REFUSED_WITHIN));
    }

    /// The connection of an attempt has ended.
    pub fn lost(&mut self, now: Nanos, link: LinkId) -> LostAttempt {
        let asked_at =
            self.attempts.iter().find(|attempt| attempt.link == link).map(|attempt| attempt.asked_at);
        self.attempts.retain(|attempt| attempt.link != link);
        if asked_at.is_some_and(|asked_at| now - asked_at < REFUSED_WITHIN) {
            return LostAttempt::Refused;
        }
        self.ask_soon(now);
        LostAttempt::Reset
    }

    /// Closes the connections of all attempts but this one.
    pub fn close_others(self, kept: Option<LinkId>, actions: &mut Vec<LinkAction>) {
        let others = self.attempts.into_iter().filter(|attempt| Some(attempt.link) != kept);
        actions.extend(others.map(|attempt| LinkAction::Close { link: attempt.link }));
    }

    /// When the next attempt is due.
    pub fn next_at(&self) -> Nanos {
        self.next_attempt_at
    }
}
