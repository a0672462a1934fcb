//! Reports of the workload in the collectors' format, queued until a collector forwards them.

use std::collections::VecDeque;
use std::time::Instant;

use serde_json::json;

use super::deployment::{CLASSES, COORDINATORS, REPORT_INTERVAL, ZONES};
use crate::workload::{ClientReport, UpstreamReport, Workload};

const MAX_PENDING_REPORTS: usize = 2_000; // for one coordinator and zone; older ones are dropped

/// Pending reports, by coordinator and zone.
#[derive(Default)]
pub struct Reports {
    last_collected: Option<Instant>,
    pending: [[VecDeque<String>; ZONES.len()]; COORDINATORS],
}

fn millis(span: std::time::Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn upstream_json(zone: usize, report: &UpstreamReport) -> String {
    let mut value = json!({
        "type": "upstream_stats", "locality": ZONES[zone], "endpoint": report.server, "total": report.total,
        "errors": report.errors, "rtt": report.mean_round_trip.map_or(0.0, millis),
        "interval": millis(report.interval)
    });
    if let Some(load) = report.load {
        value["metrics"] = json!({"inflight": load.inflight, "util": load.util});
    }
    value.to_string()
}

fn client_json(report: &ClientReport) -> String {
    json!({
        "type": "client_stats", "node": report.proxy, "route": CLASSES[report.class], "total": report.total,
        "errors": report.errors, "interval": millis(report.interval)
    })
    .to_string()
}

impl Reports {
    /// Collects reports once the interval has passed.
    pub fn collect(&mut self, workload: &mut Workload) {
        if self.last_collected.is_some_and(|at| at.elapsed() < REPORT_INTERVAL) {
            return;
        }
        self.last_collected = Some(Instant::now());
        for zone in 0..ZONES.len() {
            for report in workload.take_upstream_reports(zone) {
                let line = upstream_json(zone, &report);
                (0..COORDINATORS).for_each(|coordinator| self.push(coordinator, zone, line.clone()));
            }
        }
        for coordinator in 0..COORDINATORS {
            for report in workload.take_client_reports(coordinator) {
                let zone = usize::from(report.proxy) % ZONES.len();
                self.push(coordinator, zone, client_json(&report));
            }
        }
    }

    fn push(&mut self, coordinator: usize, zone: usize, line: String) {
        let pending = &mut self.pending[coordinator][zone];
        if pending.len() == MAX_PENDING_REPORTS {
            pending.pop_front();
        }
        pending.push_back(line);
    }

    /// Takes the pending reports, one per line.
    pub fn take(&mut self, coordinator: usize, zone: usize) -> String {
        self.pending[coordinator][zone].drain(..).map(|line| line + "\n").collect()
    }
}
