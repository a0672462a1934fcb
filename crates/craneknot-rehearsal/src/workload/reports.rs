//! Sums that proxies report: tries by zone and server, operations by proxy and class.

use std::time::Duration;

use super::orders::{ClientReport, LoadReport, UpstreamReport};

#[derive(Clone, Copy, Default)]
struct UpstreamSum {
    total: u64,
    errors: u64,
    round_trips: Duration,
    load: Option<LoadReport>,
}

#[derive(Clone, Copy, Default)]
struct ClientSum {
    total: u64,
    errors: u64,
}

/// Sums since the reports before.
pub(super) struct Sums {
    upstream: Vec<Vec<UpstreamSum>>,
    upstream_taken: Vec<Duration>,
    clients: Vec<Vec<ClientSum>>,
    clients_taken: Vec<Duration>,
}

impl Sums {
    pub fn new(zones: usize, servers: usize, proxies: usize, classes: usize) -> Self {
        Sums {
            upstream: vec![vec![UpstreamSum::default(); servers]; zones],
            upstream_taken: vec![Duration::ZERO; zones],
            clients: vec![vec![ClientSum::default(); classes]; proxies],
            clients_taken: vec![Duration::ZERO; proxies],
        }
    }

    pub fn count_answer(&mut self, zone: usize, server: usize, round_trip: Duration, load: LoadReport) {
        let sum = &mut self.upstream[zone][server];
        sum.total += 1;
        sum.round_trips += round_trip;
        sum.load = Some(load);
    }

    pub fn count_failure(&mut self, zone: usize, server: usize) {
        let sum = &mut self.upstream[zone][server];
        sum.total += 1;
        sum.errors += 1;
    }

    pub fn count_arrival(&mut self, proxy: u16, class: usize) {
        self.clients[usize::from(proxy)][class].total += 1;
    }

    pub fn count_unanswered(&mut self, proxy: u16, class: usize) {
        self.clients[usize::from(proxy)][class].errors += 1;
    }

    /// The rows of a zone, one for each server that had a try; `name` gives a server's identifier.
    pub fn take_upstream(
        &mut self,
        zone: usize,
        now: Duration,
        name: impl Fn(usize) -> String,
    ) -> Vec<UpstreamReport> {
        let Some(sums) = self.upstream.get_mut(zone) else { return Vec::new() };
        let interval = now - std::mem::replace(&mut self.upstream_taken[zone], now);
        let mut rows = Vec::new();
        for (server, sum) in sums.iter_mut().enumerate() {
            let sum = std::mem::take(sum);
            if sum.total > 0 {
                rows.push(upstream_row(name(server), sum, interval));
            }
        }
        rows
    }

    /// The rows of a proxy, one for each class that came.
    pub fn take_clients(&mut self, proxy: u16, now: Duration, rows: &mut Vec<ClientReport>) {
        let place = usize::from(proxy);
        let interval = now - std::mem::replace(&mut self.clients_taken[place], now);
        for (class, sum) in self.clients[place].iter_mut().enumerate() {
            let ClientSum { total, errors } = std::mem::take(sum);
            if total + errors > 0 {
                rows.push(ClientReport { proxy, class, total, errors, interval });
            }
        }
    }
}

fn upstream_row(server: String, sum: UpstreamSum, interval: Duration) -> UpstreamReport {
    let answered = sum.total - sum.errors;
    let mean_round_trip = (answered > 0).then(|| sum.round_trips.div_f64(answered as f64));
    UpstreamReport { server, total: sum.total, errors: sum.errors, mean_round_trip, load: sum.load, interval }
}
