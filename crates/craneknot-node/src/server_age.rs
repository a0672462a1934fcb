//! When a server started, by this process's own clock. Discovery tells it as a wall-clock time, and a wall clock may be
//! wrong by an hour; what is first seen, or seen to change, while this process runs is no older than the time since it
//! was last seen otherwise.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ServerId};

const DISCOVERY_LAG_MOST: Nanos = Nanos::from_millis(15_000); // ms; a start is listed well before that: the platform
                                                              // says 6 s
const REMEMBERED: Nanos = Nanos::from_millis(600_000); // ms; a server that was removed for so long is a new one

struct Observed {
    /// As discovery tells it.
    claimed: Option<Nanos>,
    /// As believed here.
    started: Option<Nanos>,
    seen: Nanos,
}

/// The starts of all servers that were listed.
#[derive(Default)]
pub struct ServerStarts {
    observed: BTreeMap<ServerId, Observed>,
    /// When the last list came from discovery; nothing: none came yet.
    list_at: Option<Nanos>,
}

impl ServerStarts {
    /// When a listed server started, as far as can be believed. `claimed`: as discovery tells it, nothing: long ago.
    pub fn observe(&mut self, now: Nanos, server: &ServerId, claimed: Option<Nanos>) -> Option<Nanos> {
        let known = self.observed.get(server).filter(|known| known.claimed == claimed);
        let started = match known {
            Some(known) => known.started,
            None => claimed.map(|claimed| self.believed(now, claimed)),
        };
        self.observed.insert(server.clone(), Observed { claimed, started, seen: now });
        started
    }

    /// No later than now; and where the time is too long ago for a start that the list before did not show, the wall
    /// clock is wrong: then it counts from that list.
    fn believed(&self, now: Nanos, claimed: Nanos) -> Nanos {
        let claimed = claimed.min(now);
        match self.list_at {
            Some(before) if now - claimed > (now - before) + DISCOVERY_LAG_MOST => before,
            Some(_) | None => claimed,
        }
    }

    /// A list from discovery has been taken in whole.
    pub fn list_taken(&mut self, now: Nanos) {
        self.list_at = Some(now);
        self.observed.retain(|_, observed| now - observed.seen < REMEMBERED);
    }

    /// A server is still listed though it was not named.
    pub fn still_listed(&mut self, now: Nanos, server: &ServerId) {
        if let Some(observed) = self.observed.get_mut(server) {
            observed.seen = now;
        }
    }
}
