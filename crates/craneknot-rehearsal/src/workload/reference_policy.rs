//! The reference policy, which sees the true state of all servers half a second late.

use std::collections::VecDeque;
use std::time::Duration;

use super::server::Server;

/// Age at which an observation becomes available to the policy.
const OBSERVATION_DELAY: Duration = Duration::from_millis(500);

/// Interval between observations.
pub(super) const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy)]
struct ServerSnapshot {
    available: bool,
    work_in_hand: f64,
    capacity: f64,
    speed: f64,
}

struct Observation {
    at: Duration,
    servers: Vec<ServerSnapshot>,
}

struct SentWork {
    at: Duration,
    server: usize,
    work: f64,
}

/// The policy's decision on an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Send(usize),
    /// No available server would finish it in time.
    DoesNotFit,
    NoServer,
}

#[derive(Default)]
pub(super) struct ReferencePolicy {
    observations: VecDeque<Observation>,
    sent: VecDeque<SentWork>,
}

impl ReferencePolicy {
    /// Records the state of the servers; the observation is used half a second later.
    pub fn observe(&mut self, servers: &[Server], now: Duration) {
        let servers = servers.iter().map(|server| server_snapshot(server, now)).collect();
        self.observations.push_back(Observation { at: now, servers });
        while self.observations.get(1).is_some_and(|next| next.at + OBSERVATION_DELAY <= now) {
            self.observations.pop_front();
        }
        let oldest = self.observations[0].at;
        while self.sent.front().is_some_and(|sent| sent.at < oldest) {
            self.sent.pop_front();
        }
    }

    /// The available server that would finish `work` first, if that is within `time`.
    pub fn choose(&self, work: f64, time: Duration, now: Duration, allows: impl Fn(usize) -> bool) -> Choice {
        let usable = |observation: &&Observation| observation.at + OBSERVATION_DELAY <= now;
        let Some(observation) = self.observations.iter().rev().find(usable).or(self.observations.front())
        else {
            return Choice::NoServer;
        };
        let expected = self.expected_work(observation, now);
        let finish = |server: usize| {
            let snapshot = &observation.servers[server];
            expected[server] / snapshot.capacity + work / snapshot.speed
        };
        let available = (0..observation.servers.len())
            .filter(|server| observation.servers[*server].available && allows(*server));
        let first =
            available.map(|server| (server, finish(server))).min_by(|one, other| one.1.total_cmp(&other.1));
        match first {
            None => Choice::NoServer,
            Some((_, finish)) if finish > time.as_secs_f64() => Choice::DoesNotFit,
            Some((server, _)) => Choice::Send(server),
        }
    }

    pub fn record_sent(&mut self, server: usize, work: f64, now: Duration) {
        self.sent.push_back(SentWork { at: now, server, work });
    }

    /// Expected work at each server now, from the observation and the work sent since.
    fn expected_work(&self, observation: &Observation, now: Duration) -> Vec<f64> {
        let mut expected: Vec<f64> =
            observation.servers.iter().map(|snapshot| snapshot.work_in_hand).collect();
        for sent in self.sent.iter().filter(|sent| sent.at >= observation.at) {
            expected[sent.server] += sent.work;
        }
        let age = (now - observation.at).as_secs_f64();
        for (work, snapshot) in expected.iter_mut().zip(&observation.servers) {
            *work = (*work - snapshot.capacity * age).max(0.0);
        }
        expected
    }
}

fn server_snapshot(server: &Server, now: Duration) -> ServerSnapshot {
    ServerSnapshot {
        available: server.running && !server.draining && !server.silent,
        work_in_hand: server.work_in_hand(),
        capacity: server.capacity(now),
        speed: server.core_speed(now),
    }
}
