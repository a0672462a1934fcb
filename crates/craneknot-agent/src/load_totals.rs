//! Totals of a proxy's load reports that no coordinator has acknowledged yet. Their memory is bounded:
//! reports are added up, not queued, and totals that cover too long a time are dropped.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;
use craneknot_xds::load::*;
use craneknot_xds::resources::Address;

const MAX_CLASSES: usize = 64; // per proxy; more indicates a faulty report
const MAX_ENDPOINTS: usize = 2_048; // per locality of a class; further endpoints are omitted
const MAX_SPAN_SECONDS: f64 = 20.0; // longer totals do not reflect the current load and are reset

#[derive(Default)]
struct Class {
    localities: BTreeMap<craneknot_xds::discovery::Locality, Locality>,
    dropped: u64,
    seconds: f64,
}

#[derive(Default)]
struct Locality {
    successful: u64,
    error: u64,
    issued: u64,
    metrics: BTreeMap<String, (u64, f64)>,
    endpoints: BTreeMap<(String, u16), Endpoint>,
}

#[derive(Default)]
struct Endpoint {
    successful: u64,
    error: u64,
    issued: u64,
    in_progress: u64,
    metrics: BTreeMap<String, (u64, f64)>,
}

fn add_metrics(totals: &mut BTreeMap<String, (u64, f64)>, metrics: &[MetricStats]) {
    for metric in metrics.iter().filter(|metric| metric.total_metric_value.is_finite()) {
        let total = totals.entry(metric.metric_name.clone()).or_default();
        total.0 = total.0.saturating_add(metric.num_requests_finished_with_metric.0);
        total.1 += metric.total_metric_value;
    }
}

fn metric_stats(totals: &BTreeMap<String, (u64, f64)>) -> Vec<MetricStats> {
    totals.iter().map(|(name, (count, total))| MetricStats::new(name, *count, *total)).collect()
}

/// Totals that wait to be sent, and the report that was sent and is not acknowledged yet.
#[derive(Default)]
pub struct LoadTotals {
    classes: BTreeMap<String, Class>,
    /// The report in flight, with the time in milliseconds at which it was closed; it is sent again unchanged
    /// after a broken connection.
    in_flight: Option<(u64, Vec<ClusterStats>)>,
    omitted_parts: u64,
}

impl LoadTotals {
    /// Adds a proxy's report to the totals.
    pub fn add(&mut self, report: &LoadStatsRequest) {
        for cluster in &report.cluster_stats {
            if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&cluster.cluster_name) {
                self.omitted_parts += 1;
                continue;
            }
            let class = self.classes.entry(cluster.cluster_name.clone()).or_default();
            if class.seconds + cluster.load_report_interval.0 > MAX_SPAN_SECONDS {
                *class = Class::default();
                self.omitted_parts += 1;
            }
            class.seconds += cluster.load_report_interval.0;
            class.dropped = class.dropped.saturating_add(cluster.total_dropped_requests.0);
            for stats in &cluster.upstream_locality_stats {
                let locality = class.localities.entry(stats.locality.clone()).or_default();
                locality.successful = locality.successful.saturating_add(stats.total_successful_requests.0);
                locality.error = locality.error.saturating_add(stats.total_error_requests.0);
                locality.issued = locality.issued.saturating_add(stats.total_issued_requests.0);
                add_metrics(&mut locality.metrics, &stats.load_metric_stats);
                for stats in &stats.upstream_endpoint_stats {
                    let address = &stats.address.socket_address;
                    let key = (address.address.clone(), address.port_value);
                    if locality.endpoints.len() >= MAX_ENDPOINTS && !locality.endpoints.contains_key(&key) {
                        self.omitted_parts += 1;
                        continue;
                    }
                    let endpoint = locality.endpoints.entry(key).or_default();
                    endpoint.successful =
                        endpoint.successful.saturating_add(stats.total_successful_requests.0);
                    endpoint.error = endpoint.error.saturating_add(stats.total_error_requests.0);
                    endpoint.issued = endpoint.issued.saturating_add(stats.total_issued_requests.0);
                    endpoint.in_progress = stats.total_requests_in_progress.0;
                    add_metrics(&mut endpoint.metrics, &stats.load_metric_stats);
                }
            }
        }
    }

    /// Number of parts of reports that were omitted because of the limits.
    pub fn omitted_parts(&self) -> u64 {
        self.omitted_parts
    }

    /// The report to send now: the one in flight, otherwise a new one of all pending totals, closed now.
    pub fn close(&mut self, now: Nanos) -> (u64, Vec<ClusterStats>) {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.clone();
        }
        let classes = std::mem::take(&mut self.classes).into_iter();
        let stats = classes.map(|(cluster_name, class)| ClusterStats {
            cluster_name,
            total_dropped_requests: Count(class.dropped),
            load_report_interval: Seconds(class.seconds),
            upstream_locality_stats: class
                .localities
                .into_iter()
                .map(|(name, locality)| LocalityStats {
                    locality: name,
                    total_successful_requests: Count(locality.successful),
                    total_error_requests: Count(locality.error),
                    total_issued_requests: Count(locality.issued),
                    load_metric_stats: metric_stats(&locality.metrics),
                    upstream_endpoint_stats: locality.endpoints.into_iter().map(endpoint_stats).collect(),
                })
                .collect(),
        });
        let report = (now.0 / 1_000_000, stats.collect());
        self.in_flight = Some(report.clone());
        report
    }

    /// Marks the report in flight as acknowledged.
    pub fn acknowledge(&mut self) {
        self.in_flight = None;
    }

    /// Discards the report in flight when another coordinator is followed: the previous one may have counted
    /// it already.
    pub fn discard_in_flight(&mut self) {
        self.in_flight = None;
    }
}

fn endpoint_stats(((address, port_value), endpoint): ((String, u16), Endpoint)) -> EndpointStats {
    EndpointStats {
        address: Address { socket_address: craneknot_xds::resources::SocketAddress { address, port_value } },
        total_successful_requests: Count(endpoint.successful),
        total_error_requests: Count(endpoint.error),
        total_issued_requests: Count(endpoint.issued),
        total_requests_in_progress: Count(endpoint.in_progress),
        load_metric_stats: metric_stats(&endpoint.metrics),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot_xds::resources::SocketAddress;

    fn report(ports: std::ops::Range<u16>, seconds: f64) -> LoadStatsRequest {
        let endpoint = |port_value| EndpointStats {
            address: Address { socket_address: SocketAddress { address: "127.0.0.1".into(), port_value } },
            total_successful_requests: Count(2),
            total_error_requests: Count(1),
            load_metric_stats: vec![MetricStats::new(metric::LATENCY_MS, 2, 30.0)],
            ..EndpointStats::default()
        };
        let locality = LocalityStats {
            total_issued_requests: Count(3),
            upstream_endpoint_stats: ports.map(endpoint).collect(),
            ..LocalityStats::default()
        };
        let cluster = ClusterStats {
            cluster_name: "read".into(),
            total_dropped_requests: Count(4),
            load_report_interval: Seconds(seconds),
            upstream_locality_stats: vec![locality],
        };
        LoadStatsRequest { node: None, cluster_stats: vec![cluster] }
    }

    #[test]
    fn unsent_reports_add_up_and_one_in_flight_is_sent_again_unchanged() {
        let mut totals = LoadTotals::default();
        totals.add(&report(1..3, 1.0));
        totals.add(&report(2..4, 0.5));
        let first = totals.close(Nanos::from_millis(500));
        let stats = &first.1[0];
        assert_eq!((stats.load_report_interval.0, stats.total_dropped_requests), (1.5, Count(8)));
        let endpoints = &stats.upstream_locality_stats[0].upstream_endpoint_stats;
        let successful: Vec<u64> =
            endpoints.iter().map(|endpoint| endpoint.total_successful_requests.0).collect();
        assert_eq!(successful, [2, 4, 2]);
        totals.add(&report(1..2, 1.0));
        assert_eq!(totals.close(Nanos::from_millis(900)), first);
        totals.acknowledge();
        let next = totals.close(Nanos::from_millis(900));
        assert_eq!((next.0, next.1[0].load_report_interval.0), (900, 1.0));
    }

    /// While no coordinator answers, the agent's memory must stay bounded, and the report that is sent
    /// afterwards must not cover minutes that have long passed.
    #[test]
    fn memory_and_age_are_bounded() {
        let mut totals = LoadTotals::default();
        for _ in 0..50 {
            totals.add(&report(1..3_000, 1.0));
        }
        let stats = &totals.close(Nanos(0)).1[0];
        assert!(stats.load_report_interval.0 <= MAX_SPAN_SECONDS);
        assert_eq!(stats.upstream_locality_stats[0].upstream_endpoint_stats.len(), MAX_ENDPOINTS);
        assert!(totals.omitted_parts() > 0);
    }
}
