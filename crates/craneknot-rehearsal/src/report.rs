//! The result of a rehearsal.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::auditor::{Judgement, Rule, Service, Verdict};

/// The report of a rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub script: String,
    pub seed: u64,
    pub version: String,
    pub seconds: f64,
    pub servers: usize,
    pub proxies: usize,
    pub coordinators: u32,
    /// Operations requested per second.
    pub rate: f64,
    pub rules: BTreeMap<Rule, Verdict>,
    pub service: Service,
    /// The last status of each coordinator.
    pub status: Vec<serde_json::Value>,
}

impl Report {
    pub fn new(
        script: &crate::Script,
        seconds: f64,
        judgement: Judgement,
        status: Vec<serde_json::Value>,
    ) -> Self {
        Report {
            script: script.name.clone(),
            seed: script.seed,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            seconds,
            servers: script.server_count(),
            proxies: script.proxy_count(),
            coordinators: script.coordinators,
            rate: judgement.service.asked as f64 / seconds.max(1e-9),
            rules: judgement.rules,
            service: judgement.service,
            status,
        }
    }

    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.rules.values().all(|verdict| verdict.breaks == 0)
    }

    /// The report as text: a line per rule, then the service figures.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for rule in Rule::ALL {
            let Some(verdict) = self.rules.get(&rule) else { continue };
            let word = if verdict.breaks == 0 { "pass" } else { "FAIL" };
            let nearest = verdict
                .nearest
                .map_or(String::new(), |nearest| format!(", nearest {nearest:.2} of the limit"));
            let _ = write!(
                text,
                "{word}  {:<30} {} checks, {} breaks{nearest}",
                rule.title(),
                verdict.checks,
                verdict.breaks
            );
            if let Some(first) = &verdict.first {
                let _ = write!(text, "; first: {first}");
            }
            text.push('\n');
        }
        let s = &self.service;
        let _ = writeln!(
            text,
            "{} operations asked in {:.0} s ({:.0} a second), {} in goal, {} late, {} refused, {} failed, {} given up",
            s.asked, self.seconds, self.rate, s.in_goal, s.late, s.refused, s.failed, s.given_up
        );
        let _ = writeln!(
            text,
            "service {:.3} by importance, worst 10 s {:.3}; answers p50 {:.0} ms, p99 {:.0} ms; {} table swaps, {} torn reads, {} run twice",
            s.service, s.worst_window, s.latency_p50_ms, s.latency_p99_ms, s.swaps, s.torn_reads, s.never_twice_run_twice
        );
        if s.crossed > 0 {
            let part = 100.0 * s.crossed as f64 / s.sent.max(1) as f64;
            let _ = writeln!(text, "{} of {} tries crossed zones ({part:.1}%)", s.crossed, s.sent);
        }
        if s.unled > 0 {
            let _ = writeln!(
                text,
                "{} streams ended and were followed by another: p50 {:.0} ms, p99 {:.0} ms, longest {:.0} ms to the next swap",
                s.unled, s.unled_p50_ms, s.unled_p99_ms, s.unled_most_ms
            );
        }
        text
    }
}
