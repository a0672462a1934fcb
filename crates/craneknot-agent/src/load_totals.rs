//! LoadTotals of what a proxy met that have not reached a coordinator yet. Their memory is bounded: reports are added up,
//! not queued, and what is older than is of use is dropped.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;
use craneknot_xds::load::*;
use craneknot_xds::resources::Address;

const CLASSES_MOST: usize = 64; // of one proxy: more is a report gone wrong
const ENDPOINTS_MOST: usize = 2_048; // of one class: what comes beyond is left out
const SPAN_MOST: f64 = 20.0; // s; sums over more say nothing of now: they begin anew

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

fn add_metrics(held: &mut BTreeMap<String, (u64, f64)>, metrics: &[MetricStats]) {
    for metric in metrics.iter().filter(|metric| metric.total_metric_value.is_finite()) {
        let sum = held.entry(metric.metric_name.clone()).or_default();
        sum.0 = sum.0.saturating_add(metric.num_requests_finished_with_metric.0);
        sum.1 += metric.total_metric_value;
    }
}

fn metrics_of(held: &BTreeMap<String, (u64, f64)>) -> Vec<MetricStats> {
    held.iter().map(|(name, (count, total))| MetricStats::new(name, *count, *total)).collect()
}

/// What waits to be sent, and what was sent and is not answered yet.
#[derive(Default)]
pub struct LoadTotals {
    classes: BTreeMap<String, Class>,
    /// The report under way, and when it was closed; it is sent again as it is after a broken connection.
    in_flight: Option<(u64, Vec<ClusterStats>)>,
    omitted_parts: u64,
}

impl LoadTotals {
    /// Adds a proxy's report.
    pub fn add(&mut self, report: &LoadStatsRequest) {
        for cluster in &report.cluster_stats {
            if self.classes.len() >= CLASSES_MOST && !self.classes.contains_key(&cluster.cluster_name) {
                self.omitted_parts += 1;
                continue;
            }
            let class = self.classes.entry(cluster.cluster_name.clone()).or_default();
            if class.seconds + cluster.load_report_interval.0 > SPAN_MOST {
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
                    if locality.endpoints.len() >= ENDPOINTS_MOST && !locality.endpoints.contains_key(&key) {
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

    /// Parts of reports that were left out for the bounds.
    pub fn omitted_parts(&self) -> u64 {
        self.omitted_parts
    }

    /// The report to send now: the one that is not answered yet, else a new one of all that waits, closed now.
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
                .map(|(place, locality)| LocalityStats {
                    locality: place,
                    total_successful_requests: Count(locality.successful),
                    total_error_requests: Count(locality.error),
                    total_issued_requests: Count(locality.issued),
                    load_metric_stats: metrics_of(&locality.metrics),
                    upstream_endpoint_stats: locality.endpoints.into_iter().map(endpoint_stats).collect(),
                })
                .collect(),
        });
        let report = (now.0 / 1_000_000, stats.collect());
        self.in_flight = Some(report.clone());
        report
    }

    /// The report under way was answered.
    pub fn acknowledge(&mut self) {
        self.in_flight = None;
    }

    /// Another coordinator is followed: it must not be told what may have been counted by the last one already.
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
        load_metric_stats: metrics_of(&endpoint.metrics),
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
    fn unsent_reports_add_up_and_one_in_flight_is_sent_again_as_it_was() {
        let mut sums = LoadTotals::default();
        sums.add(&report(1..3, 1.0));
        sums.add(&report(2..4, 0.5));
        let first = sums.close(Nanos::from_millis(500));
        let stats = &first.1[0];
        assert_eq!((stats.load_report_interval.0, stats.total_dropped_requests), (1.5, Count(8)));
        let endpoints = &stats.upstream_locality_stats[0].upstream_endpoint_stats;
        let good: Vec<u64> = endpoints.iter().map(|endpoint| endpoint.total_successful_requests.0).collect();
        assert_eq!(good, [2, 4, 2]);
        sums.add(&report(1..2, 1.0));
        assert_eq!(sums.close(Nanos::from_millis(900)), first);
        sums.acknowledge();
        let next = sums.close(Nanos::from_millis(900));
        assert_eq!((next.0, next.1[0].load_report_interval.0), (900, 1.0));
    }

    /// While no coordinator answers, an agent must not grow, nor tell of minutes ago once one does.
    #[test]
    fn memory_and_age_are_bounded() {
        let mut sums = LoadTotals::default();
        for _ in 0..50 {
            sums.add(&report(1..3_000, 1.0));
        }
        let stats = &sums.close(Nanos(0)).1[0];
        assert!(stats.load_report_interval.0 <= SPAN_MOST);
        assert_eq!(stats.upstream_locality_stats[0].upstream_endpoint_stats.len(), ENDPOINTS_MOST);
        assert!(sums.omitted_parts() > 0);
    }
}
