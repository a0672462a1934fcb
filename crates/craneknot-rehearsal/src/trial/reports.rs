//! Reports of the workload in the collectors' form, until a collector passes them on.

use std::collections::VecDeque;
use std::time::Instant;

use serde_json::json;

use super::deployment::{CLASSES, COORDINATORS, REPORT_INTERVAL, ZONES};
use crate::workload::{ClientReport, UpstreamReport, Workload};

const WAITING_MOST: usize = 2_000; // reports for one coordinator and zone; older ones are dropped

/// Reports that wait, by coordinator and zone.
#[derive(Default)]
pub struct Reports {
    gathered: Option<Instant>,
    waiting: [[VecDeque<String>; ZONES.len()]; COORDINATORS],
}

fn millis(span: std::time::Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn upstream(zone: usize, report: &UpstreamReport) -> String {
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

fn client(report: &ClientReport) -> String {
    json!({
        "type": "client_stats", "node": report.proxy, "route": CLASSES[report.class], "total": report.total,
        "errors": report.errors, "interval": millis(report.interval)
    })
    .to_string()
}

impl Reports {
    /// Gathers reports once the interval is over.
    pub fn gather(&mut self, workload: &mut Workload) {
        if self.gathered.is_some_and(|at| at.elapsed() < REPORT_INTERVAL) {
            return;
        }
        self.gathered = Some(Instant::now());
        for zone in 0..ZONES.len() {
            for report in workload.take_upstream_reports(zone) {
                let line = upstream(zone, &report);
                (0..COORDINATORS).for_each(|coordinator| self.push(coordinator, zone, line.clone()));
            }
        }
        for coordinator in 0..COORDINATORS {
            for report in workload.take_client_reports(coordinator) {
                let zone = usize::from(report.proxy) % ZONES.len();
                self.push(coordinator, zone, client(&report));
            }
        }
    }

    fn push(&mut self, coordinator: usize, zone: usize, line: String) {
        let waiting = &mut self.waiting[coordinator][zone];
        if waiting.len() == WAITING_MOST {
            waiting.pop_front();
        }
        waiting.push_back(line);
    }

    /// What waits, a line a report.
    pub fn take(&mut self, coordinator: usize, zone: usize) -> String {
        self.waiting[coordinator][zone].drain(..).map(|line| line + "\n").collect()
    }
}
