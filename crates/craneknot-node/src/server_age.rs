//! When a server started, by this process's own clock. Discovery reports a wall-clock time, and a wall clock
//! may be wrong by an hour in either direction. So a start is kept as an upper bound, together with whether
//! it is exact: decisions that need a warm server use the bound, decisions that need a cold one ask whether
//! the bound is exact.
//!
//! - A server first seen, or seen to change, while this process runs has not been up for longer than the time
//!   since the previous list.
//! - Nothing starts in the future: a wall clock that says so is behind, by at least that much.
//! - A start that looks recent shows that the wall clock is not ahead. Without one a server may have started
//!   an hour later than it seems. But the time between two starts is the same by any clock, so that each
//!   server is at least as old as the newest start is later than its own.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ServerId};

/// A start is listed well before that: the platform states 6 s.
const MAX_DISCOVERY_LAG: Nanos = Nanos::from_millis(15_000);
const MAX_CLOCK_ERROR: Nanos = Nanos::from_millis(3_600_000); // how far a wall clock may be ahead: an hour
/// A server that was removed for this long counts as a new one.
const REMOVED_RETENTION: Nanos = Nanos::from_millis(600_000);

/// When a server started, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The latest possible time, by this process's clock; `None`: long ago.
    pub latest: Option<Nanos>,
    /// Whether `latest` is the actual start; otherwise the server may have started at any earlier time.
    pub is_certain: bool,
}

struct Observed {
    /// As discovery reports it.
    claimed: Option<Nanos>,
    /// As estimated here.
    start: Start,
    seen_at: Nanos,
}

/// The starts of all servers that were listed.
#[derive(Default)]
pub struct ServerStarts {
    observed: BTreeMap<ServerId, Observed>,
    /// When the last list arrived from discovery; `None`: none arrived yet.
    last_list_at: Option<Nanos>,
    /// A lower bound of how far the wall clock that this process began with is behind.
    clock_behind: Nanos,
    /// A start looked recent, which shows that the wall clock is not ahead.
    is_clock_not_ahead: bool,
    /// The newest start in any list.
    newest_claimed: Nanos,
}

impl ServerStarts {
    /// Learns about this process's wall clock from a start in a list. To be called for all entries of a list
    /// before any of its servers is observed.
    pub fn learn_clock(&mut self, now: Nanos, claimed: Nanos) {
        self.clock_behind = self.clock_behind.max(claimed - now);
        self.is_clock_not_ahead |= claimed <= now && now - claimed <= MAX_DISCOVERY_LAG;
        self.newest_claimed = self.newest_claimed.max(claimed);
    }

    /// Estimates when a listed server started. `claimed`: the start that discovery reports; `None`: long ago.
    pub fn observe(&mut self, now: Nanos, server: &ServerId, claimed: Option<Nanos>) -> Start {
        let known = self.observed.get(server);
        let start = match known.filter(|known| known.claimed == claimed) {
            Some(known) => known.start,
            None => claimed.map_or(Start { latest: None, is_certain: true }, |claimed| {
                self.estimate(now, claimed, known.is_some())
            }),
        };
        self.observed.insert(server.clone(), Observed { claimed, start, seen_at: now });
        start
    }

    /// `is_restart`: the server was listed with another start before.
    fn estimate(&self, now: Nanos, claimed: Nanos, is_restart: bool) -> Start {
        let claimed = claimed.min(now + self.clock_behind) - self.clock_behind;
        // The previous list did not show this start although it lies long before that list: the wall clock is
        // ahead, or the server was not listed for a while.
        let before = self.last_list_at.filter(|before| now - claimed > (now - *before) + MAX_DISCOVERY_LAG);
        match before {
            Some(before) if is_restart || !self.is_clock_not_ahead => {
                Start { latest: Some(before), is_certain: is_restart }
            }
            Some(_) | None if is_restart => Start { latest: Some(claimed), is_certain: true },
            Some(_) | None => {
                let ahead = self.clock_ahead_max(now);
                let is_certain = ahead == Nanos(0) && self.clock_behind == Nanos(0);
                Start { latest: Some(claimed + ahead), is_certain }
            }
        }
    }

    /// How far the wall clock may be ahead at most: not so far that the newest start would lie in the future.
    fn clock_ahead_max(&self, now: Nanos) -> Nanos {
        if self.is_clock_not_ahead || self.clock_behind > Nanos(0) {
            return Nanos(0);
        }
        MAX_CLOCK_ERROR.min(now - self.newest_claimed)
    }

    /// A list from discovery has been applied completely.
    pub fn list_applied(&mut self, now: Nanos) {
        self.last_list_at = Some(now);
        self.observed.retain(|_, observed| now - observed.seen_at < REMOVED_RETENTION);
    }

    /// A server is still listed although the last list did not name it.
    pub fn confirm_listed(&mut self, now: Nanos, server: &ServerId) {
        if let Some(observed) = self.observed.get_mut(server) {
            observed.seen_at = now;
        }
    }
}
