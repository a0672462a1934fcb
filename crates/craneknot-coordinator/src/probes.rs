//! Probes under way: one at a time to a server, each with a time-out.

use std::collections::BTreeMap;

use craneknot::interface::*;
use craneknot_xds::orca;
use http::StatusCode;

/// Connections by the owner's key.
pub struct Probes<K> {
    under_way: BTreeMap<K, (ServerId, Nanos)>,
    time_out: Nanos,
}

impl<K: Ord + Copy> Probes<K> {
    pub fn new(time_out: Nanos) -> Self {
        Probes { under_way: BTreeMap::new(), time_out }
    }

    pub fn is_probed(&self, server: &ServerId) -> bool {
        self.under_way.values().any(|(of, _)| of == server)
    }

    pub fn begin(&mut self, now: Nanos, key: K, server: ServerId) {
        self.under_way.insert(key, (server, now));
    }

    pub fn has(&self, key: K) -> bool {
        self.under_way.contains_key(&key)
    }

    pub fn server(&self, key: K) -> Option<&ServerId> {
        self.under_way.get(&key).map(|(server, _)| server)
    }

    /// Ends a probe; how long it took.
    pub fn end(&mut self, now: Nanos, key: K) -> Option<(ServerId, Nanos)> {
        self.under_way.remove(&key).map(|(server, since)| (server, now - since))
    }

    /// Those that have waited too long.
    pub fn overdue(&self, now: Nanos) -> Vec<K> {
        let late = self.under_way.iter().filter(|(_, (_, since))| now - *since >= self.time_out);
        late.map(|(key, _)| *key).collect()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.under_way.values().map(|(_, since)| *since + self.time_out).min()
    }
}

/// What an answer to a probe says.
pub fn outcome(status: StatusCode) -> ProbeOutcome {
    match status.as_u16() {
        200..=299 => ProbeOutcome::Answered,
        429 | 503 => ProbeOutcome::TurnedAway,
        _ => ProbeOutcome::Failed,
    }
}

/// What a server says of its load, as the decisions hear it.
pub fn load(header: Option<&str>) -> LoadReport {
    let Some(report) = header.and_then(orca::LoadReport::parse) else { return LoadReport::default() };
    let named = |name: &str| report.named_metrics.get(name).copied();
    LoadReport {
        busy: report.cpu_utilization,
        in_flight: named("inflight"),
        service_time: named("service_ms").map(|ms| Nanos::from_secs(ms / 1e3)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    #[test]
    fn probes_end_by_answer_or_by_time() {
        let mut probes = Probes::new(Nanos(10));
        let server = ServerId(Arc::from("127.0.0.1:1"));
        probes.begin(Nanos(5), 1, server.clone());
        assert!(probes.is_probed(&server) && probes.overdue(Nanos(14)).is_empty());
        assert_eq!((probes.overdue(Nanos(15)), probes.next_at()), (vec![1], Some(Nanos(15))));
        assert_eq!(probes.end(Nanos(15), 1), Some((server, Nanos(10))));
        assert_eq!(probes.end(Nanos(15), 1), None);
        let outcomes = [200, 503, 500].map(|code| outcome(StatusCode::from_u16(code).unwrap()));
        assert_eq!(outcomes, [ProbeOutcome::Answered, ProbeOutcome::TurnedAway, ProbeOutcome::Failed]);
        assert_eq!(load(Some("TEXT cpu_utilization=0.5")).busy, Some(0.5));
    }
}
