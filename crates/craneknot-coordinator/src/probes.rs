//! Probes in flight: at most one per server, each with a timeout.

use std::collections::BTreeMap;

use craneknot::interface::*;
use craneknot_xds::orca;
use http::StatusCode;

/// Probes in flight by the owner's key of their connections.
pub struct Probes<K> {
    in_flight: BTreeMap<K, (ServerId, Nanos)>,
    timeout: Nanos,
}

impl<K: Ord + Copy> Probes<K> {
    pub fn new(timeout: Nanos) -> Self {
        Probes { in_flight: BTreeMap::new(), timeout }
    }

    pub fn is_probed(&self, server: &ServerId) -> bool {
        self.in_flight.values().any(|(probed, _)| probed == server)
    }

    pub fn start(&mut self, now: Nanos, key: K, server: ServerId) {
        self.in_flight.insert(key, (server, now));
    }

    pub fn contains(&self, key: K) -> bool {
        self.in_flight.contains_key(&key)
    }

    pub fn server(&self, key: K) -> Option<&ServerId> {
        self.in_flight.get(&key).map(|(server, _)| server)
    }

    /// Ends a probe and returns its server and duration.
    pub fn finish(&mut self, now: Nanos, key: K) -> Option<(ServerId, Nanos)> {
        self.in_flight.remove(&key).map(|(server, started_at)| (server, now - started_at))
    }

    /// Probes that have reached their timeout.
    pub fn overdue(&self, now: Nanos) -> Vec<K> {
        let expired = self.in_flight.iter().filter(|(_, (_, started_at))| now - *started_at >= self.timeout);
        expired.map(|(key, _)| *key).collect()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.in_flight.values().map(|(_, started_at)| *started_at + self.timeout).min()
    }
}

/// The probe outcome that a response status stands for.
pub fn outcome_of(status: StatusCode) -> ProbeOutcome {
    match status.as_u16() {
        200..=299 => ProbeOutcome::Answered,
        429 | 503 => ProbeOutcome::TurnedAway,
        _ => ProbeOutcome::Failed,
    }
}

/// Converts a server's load report header into the decisions' form.
pub fn load_report(header: Option<&str>) -> LoadReport {
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
    fn probes_end_by_response_or_by_timeout() {
        let mut probes = Probes::new(Nanos(10));
        let server = ServerId(Arc::from("127.0.0.1:1"));
        probes.start(Nanos(5), 1, server.clone());
        assert!(probes.is_probed(&server) && probes.overdue(Nanos(14)).is_empty());
        assert_eq!((probes.overdue(Nanos(15)), probes.next_at()), (vec![1], Some(Nanos(15))));
        assert_eq!(probes.finish(Nanos(15), 1), Some((server, Nanos(10))));
        assert_eq!(probes.finish(Nanos(15), 1), None);
        let outcomes = [200, 503, 500].map(|code| outcome_of(StatusCode::from_u16(code).unwrap()));
        assert_eq!(outcomes, [ProbeOutcome::Answered, ProbeOutcome::TurnedAway, ProbeOutcome::Failed]);
        assert_eq!(load_report(Some("TEXT cpu_utilization=0.5")).busy, Some(0.5));
    }
}
