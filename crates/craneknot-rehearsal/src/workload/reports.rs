//! Totals that proxies report: tries by zone and server, operations by proxy and class.

use std::time::Duration;

use super::orders::{ClientReport, LoadReport, UpstreamReport};

#[derive(Clone, Copy, Default)]
struct UpstreamTotals {
    total: u64,
    errors: u64,
    round_trips: Duration,
    load: Option<LoadReport>,
}

#[derive(Clone, Copy, Default)]
struct ClientTotals {
    total: u64,
    errors: u64,
}

/// Totals since the previous reports.
pub(super) struct ReportTotals {
    upstream: Vec<Vec<UpstreamTotals>>,
    upstream_reported_at: Vec<Duration>,
    clients: Vec<Vec<ClientTotals>>,
    clients_reported_at: Vec<Duration>,
}

impl ReportTotals {
    pub fn new(zones: usize, servers: usize, proxies: usize, classes: usize) -> Self {
        ReportTotals {
            upstream: vec![vec![UpstreamTotals::default(); servers]; zones],
            upstream_reported_at: vec![Duration::ZERO; zones],
            clients: vec![vec![ClientTotals::default(); classes]; proxies],
            clients_reported_at: vec![Duration::ZERO; proxies],
        }
    }

    pub fn count_answer(&mut self, zone: usize, server: usize, round_trip: Duration, load: LoadReport) {
        let totals = &mut self.upstream[zone][server];
        totals.total += 1;
        totals.round_trips += round_trip;
        totals.load = Some(load);
    }

    pub fn count_failure(&mut self, zone: usize, server: usize) {
        let totals = &mut self.upstream[zone][server];
        totals.total += 1;
        totals.errors += 1;
    }

    pub fn count_arrival(&mut self, proxy: u16, class: usize) {
        self.clients[usize::from(proxy)][class].total += 1;
    }

    pub fn count_unanswered(&mut self, proxy: u16, class: usize) {
        self.clients[usize::from(proxy)][class].errors += 1;
    }

    /// Takes the rows of a zone, one for each server with a completed try; `server_id` gives a server's
    /// identifier.
    pub fn take_upstream(
        &mut self,
        zone: usize,
        now: Duration,
        server_id: impl Fn(usize) -> String,
    ) -> Vec<UpstreamReport> {
        let Some(zone_totals) = self.upstream.get_mut(zone) else { return Vec::new() };
        let interval = now - std::mem::replace(&mut self.upstream_reported_at[zone], now);
        let mut rows = Vec::new();
        for (server, totals) in zone_totals.iter_mut().enumerate() {
            let totals = std::mem::take(totals);
            if totals.total > 0 {
                rows.push(upstream_row(server_id(server), totals, interval));
            }
        }
        rows
    }

    /// Takes the rows of a proxy, one for each class with operations or errors.
    pub fn take_clients(&mut self, proxy: u16, now: Duration, rows: &mut Vec<ClientReport>) {
        let index = usize::from(proxy);
        let interval = now - std::mem::replace(&mut self.clients_reported_at[index], now);
        for (class, totals) in self.clients[index].iter_mut().enumerate() {
            let ClientTotals { total, errors } = std::mem::take(totals);
            if total + errors > 0 {
                rows.push(ClientReport { proxy, class, total, errors, interval });
            }
        }
    }
}

fn upstream_row(server: String, totals: UpstreamTotals, interval: Duration) -> UpstreamReport {
    let answered = totals.total - totals.errors;
    let mean_round_trip = (answered > 0).then(|| totals.round_trips.div_f64(answered as f64));
    UpstreamReport {
        server,
        total: totals.total,
        errors: totals.errors,
        mean_round_trip,
        load: totals.load,
        interval,
    }
}
