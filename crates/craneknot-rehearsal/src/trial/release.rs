//! A continuous in-place release: servers restart under the same identifiers, several in one version of the list.

use std::ops::Range;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_pcg::Pcg32;

use super::deployment::{zone_of_server, LOST_ZONE, SERVERS};
use super::script::{Planned, Step};

const STEP_MILLIS: Range<u64> = 610..641; // between two versions of the list
const MAX_RESTARTS_PER_VERSION: usize = 2; // restarts that begin in one version
const DRAIN_STEPS: Range<usize> = 3..6; // versions for which a server drains
const ABSENT_STEPS: Range<usize> = 1..4; // versions for which it is removed

/// The state that a server changes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has just started.
    Ready,
    Draining,
    Gone,
}

/// A change of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerChange {
    pub server: usize,
    pub phase: Phase,
}

/// The ways in which a restart appears in the list.
#[derive(Clone, Copy, Debug)]
enum RestartForm {
    DrainingGoneReady,
    DrainingReady,
    ReadyAtOnce,
}

impl RestartForm {
    fn draw(rng: &mut Pcg32) -> Self {
        match rng.random_range(0..10) {
            0..4 => RestartForm::DrainingGoneReady,
            4..7 => RestartForm::DrainingReady,
            _ => RestartForm::ReadyAtOnce,
        }
    }

    /// The phases of a restart that begins in this version, with their versions.
    fn phases(self, rng: &mut Pcg32, version: usize) -> Vec<(usize, Phase)> {
        let drained = version + rng.random_range(DRAIN_STEPS);
        let restarted = drained + rng.random_range(ABSENT_STEPS);
        match self {
            RestartForm::DrainingGoneReady => {
                vec![(version, Phase::Draining), (drained, Phase::Gone), (restarted, Phase::Ready)]
            }
            RestartForm::DrainingReady => vec![(version, Phase::Draining), (drained, Phase::Ready)],
            RestartForm::ReadyAtOnce => vec![(version, Phase::Ready)],
        }
    }
}

/// Draws the versions of a release. Servers of the lost zone are not restarted while it is lost.
pub fn draw(rng: &mut Pcg32, from: Duration, until: Duration, lost: Option<Range<Duration>>) -> Vec<Planned> {
    let times = version_times(rng, from, until);
    let mut busy_until = vec![0; SERVERS];
    let mut changes = vec![Vec::new(); times.len()];
    for version in 0..times.len() {
        for _ in 0..rng.random_range(0..=MAX_RESTARTS_PER_VERSION) {
            let idle: Vec<usize> = (0..SERVERS).filter(|server| busy_until[*server] <= version).collect();
            let Some(server) = idle.choose(rng).copied() else { break };
            let phases = RestartForm::draw(rng).phases(rng, version);
            let last = phases.last().map_or(version, |(last, _)| *last);
            busy_until[server] = last + 1;
            let end = times.get(last).copied().unwrap_or(until);
            let overlaps_loss =
                lost.as_ref().is_some_and(|lost| times[version] < lost.end && end >= lost.start);
            if overlaps_loss && zone_of_server(server) == LOST_ZONE {
                continue;
            }
            for (at, phase) in phases {
                if let Some(changes) = changes.get_mut(at) {
                    changes.push(ServerChange { server, phase });
                }
            }
        }
    }
    let planned = times.into_iter().zip(changes).filter(|(_, changes)| !changes.is_empty());
    planned.map(|(at, changes)| Planned { at, step: Step::Servers(changes) }).collect()
}

fn version_times(rng: &mut Pcg32, from: Duration, until: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from;
    while at < until {
        times.push(at);
        at += Duration::from_millis(rng.random_range(STEP_MILLIS));
    }
    times
}
