//! When a server started, by this process's own clock. Discovery tells it as a wall-clock time, and a wall clock may be
//! wrong by an hour either way. So a start is an upper bound, beside which stands whether it is known: decisions that
//! need a server to be warm take the bound, decisions that need it to be cold ask whether the bound is known.
//!
//! - What is first seen, or seen to change, while this process runs is no older than the time since the list before.
//! - Nothing starts in the future: a wall clock that says so is behind, by that much or more.
//! - A start that looks recent shows that the wall clock is not ahead. Without one a server may have started an hour
//!   later than it seems; but between two starts lies the same span by any clock, so that each is at least as old as the
//!   newest one is later than it.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ServerId};

const DISCOVERY_LAG_MAX: Nanos = Nanos::from_millis(15_000); // ms; a start is listed well before that: the platform
                                                             // says 6 s
const CLOCK_ERROR_MAX: Nanos = Nanos::from_millis(3_600_000); // ms; how far a wall clock may be ahead: an hour
const REMOVED_RETENTION: Nanos = Nanos::from_millis(600_000); // ms; a server that was removed for so long is a new one

/// When a server started, as far as can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// At the latest, by this process's clock; nothing: long ago.
    pub latest: Option<Nanos>,
    /// Whether that is when it started; else it may have been at any time before.
    pub is_certain: bool,
}

struct Observed {
    /// As discovery tells it.
    claimed: Option<Nanos>,
    /// As believed here.
    start: Start,
    seen_at: Nanos,
}

/// The starts of all servers that were listed.
#[derive(Default)]
pub struct ServerStarts {
    observed: BTreeMap<ServerId, Observed>,
    /// When the last list came from discovery; nothing: none came yet.
    last_list_at: Option<Nanos>,
    /// How far the wall clock that this process began with is behind, at the least.
    clock_behind: Nanos,
    /// A start looked recent: the wall clock is not ahead.
    is_clock_not_ahead: bool,
    /// The newest start that any list told.
    newest_claimed: Nanos,
}

impl ServerStarts {
    /// Learns of this process's wall clock from a start that a list tells; to be called for all of a list before any of
    /// its servers is observed.
    pub fn learn_clock(&mut self, now: Nanos, claimed: Nanos) {
        self.clock_behind = self.clock_behind.max(claimed - now);
        self.is_clock_not_ahead |= claimed <= now && now - claimed <= DISCOVERY_LAG_MAX;
        self.newest_claimed = self.newest_claimed.max(claimed);
    }

    /// When a listed server started, as far as can be believed. `claimed`: as discovery tells it, nothing: long ago.
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

    /// `is_restart`: it was listed with another start before.
    fn estimate(&self, now: Nanos, claimed: Nanos, is_restart: bool) -> Start {
        let claimed = claimed.min(now + self.clock_behind) - self.clock_behind;
        // A start that the list before did not show, though it was long before that: the wall clock is ahead, or the
        // server was not listed for a while.
        let before = self.last_list_at.filter(|before| now - claimed > (now - *before) + DISCOVERY_LAG_MAX);
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

    /// How far the wall clock may be ahead: no further than makes the newest start lie in the future.
    fn clock_ahead_max(&self, now: Nanos) -> Nanos {
        if self.is_clock_not_ahead || self.clock_behind > Nanos(0) {
            return Nanos(0);
        }
        CLOCK_ERROR_MAX.min(now - self.newest_claimed)
    }

    /// A list from discovery has been taken in whole.
    pub fn list_applied(&mut self, now: Nanos) {
        self.last_list_at = Some(now);
        self.observed.retain(|_, observed| now - observed.seen_at < REMOVED_RETENTION);
    }

    /// A server is still listed though it was not named.
    pub fn confirm_listed(&mut self, now: Nanos, server: &ServerId) {
        if let Some(observed) = self.observed.get_mut(server) {
            observed.seen_at = now;
        }
    }
}
