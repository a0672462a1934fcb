//! The reference policy: it sees the true state of all servers, half a second late.

use std::collections::VecDeque;
use std::time::Duration;

use super::server::Server;

/// How late the policy sees the servers.
const SIGHT_DELAY: Duration = Duration::from_millis(500);

/// Time between two looks.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy)]
struct Sight {
    open: bool,
    work_in_hand: f64,
    capacity: f64,
    speed: f64,
}

struct Look {
    at: Duration,
    servers: Vec<Sight>,
}

struct Sent {
    at: Duration,
    server: usize,
    work: f64,
}

/// What the policy makes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Send(usize),
    /// No open server would finish it in time.
    DoesNotFit,
    NoServer,
}

#[derive(Default)]
pub(super) struct LateSight {
    looks: VecDeque<Look>,
    sent: VecDeque<Sent>,
}

impl LateSight {
    /// Looks at the servers; the look is used half a second later.
    pub fn look(&mut self, servers: &[Server], now: Duration) {
        let servers = servers.iter().map(|server| sight(server, now)).collect();
        self.looks.push_back(Look { at: now, servers });
        while self.looks.get(1).is_some_and(|next| next.at + SIGHT_DELAY <= now) {
            self.looks.pop_front();
        }
        let oldest = self.looks[0].at;
        while self.sent.front().is_some_and(|sent| sent.at < oldest) {
            self.sent.pop_front();
        }
    }

    /// The open server that would finish `work` first, where one does so within `time`.
    pub fn choose(&self, work: f64, time: Duration, now: Duration, allows: impl Fn(usize) -> bool) -> Choice {
        let usable = |look: &&Look| look.at + SIGHT_DELAY <= now;
        let Some(look) = self.looks.iter().rev().find(usable).or(self.looks.front()) else {
            return Choice::NoServer;
        };
        let expected = self.expected_work(look, now);
        let finish = |server: usize| {
            let sight = &look.servers[server];
            expected[server] / sight.capacity + work / sight.speed
        };
        let open = (0..look.servers.len()).filter(|server| look.servers[*server].open && allows(*server));
        let first =
            open.map(|server| (server, finish(server))).min_by(|one, other| one.1.total_cmp(&other.1));
        match first {
            None => Choice::NoServer,
            Some((_, finish)) if finish > time.as_secs_f64() => Choice::DoesNotFit,
            Some((server, _)) => Choice::Send(server),
        }
    }

    pub fn sent(&mut self, server: usize, work: f64, now: Duration) {
        self.sent.push_back(Sent { at: now, server, work });
    }

    /// Work at each server by now, from what was seen and what was sent since.
    fn expected_work(&self, look: &Look, now: Duration) -> Vec<f64> {
        let mut expected: Vec<f64> = look.servers.iter().map(|sight| sight.work_in_hand).collect();
        for sent in self.sent.iter().filter(|sent| sent.at >= look.at) {
            expected[sent.server] += sent.work;
        }
        let age = (now - look.at).as_secs_f64();
        for (work, sight) in expected.iter_mut().zip(&look.servers) {
            *work = (*work - sight.capacity * age).max(0.0);
        }
        expected
    }
}

fn sight(server: &Server, now: Duration) -> Sight {
    Sight {
        open: server.running && !server.draining && !server.silent,
        work_in_hand: server.work_in_hand(),
        capacity: server.capacity(now),
        speed: server.core_speed(now),
    }
}
