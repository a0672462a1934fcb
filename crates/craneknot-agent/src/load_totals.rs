//! Totals of a proxy's load reports that no coordinator has acknowledged yet. Their memory is bounded:
//! reports are added up, not queued, and totals that cover too long a time are dropped.

use std::collections::BTreeMap;

use craneknot::interface::Nanos;
use craneknot_xds::discovery;
use craneknot_xds::load::*;
use craneknot_xds::resources::Address;

const MAX_CLASSES: usize = 64; // per proxy; more indicates a faulty report
const MAX_LOCALITIES: usize = 64; // per class
const MAX_ENDPOINTS: usize = 2_048; // per locality of a class; further endpoints are omitted
const MAX_METRICS: usize = 32; // per locality or endpoint
const MAX_NAME_BYTES: usize = 256; // of a class, locality, address or metric
const MAX_ENTRIES: usize = 32_768; // of all localities, endpoints and metrics of a proxy
const MAX_SPAN_SECONDS: f64 = 20.0; // longer totals do not reflect the current load and are reset
const MIN_SPAN_SECONDS: f64 = 0.05; // the shortest report period; a shorter report counts as this towards the reset

#[derive(Default)]
struct Class {
    localities: BTreeMap<discovery::Locality, Locality>,
    dropped: u64,
    seconds: f64,
    /// The time that its reports cover at least, for the reset.
    covered_seconds: f64,
    /// Its share of the entries of all classes.
    entries: usize,
}

#[derive(Default)]
struct Locality {
    successful: u64,
    error: u64,
    issued: u64,
    metrics: Metrics,
    endpoints: BTreeMap<(String, u16), Endpoint>,
}

#[derive(Default)]
struct Endpoint {
    successful: u64,
    error: u64,
    issued: u64,
    in_progress: u64,
    metrics: Metrics,
}

/// By name, the number of operations and the total of a metric.
type Metrics = BTreeMap<String, (u64, f64)>;

/// Counts the entries of all totals, whose names the sender of a report chooses.
#[derive(Default)]
struct EntryBudget {
    entries: usize,
    omitted: u64,
}

impl EntryBudget {
    /// The entry of a key in one of the maps. `None`: it would be a new one beyond the limits.
    fn entry<'a, K: Ord, V: Default>(
        &mut self,
        map: &'a mut BTreeMap<K, V>,
        key: K,
        name_bytes: usize,
        max: usize,
    ) -> Option<&'a mut V> {
        if !map.contains_key(&key) {
            if name_bytes > MAX_NAME_BYTES || map.len() >= max || self.entries >= MAX_ENTRIES {
                self.omitted += 1;
                return None;
            }
            self.entries += 1;
        }
        Some(map.entry(key).or_default())
    }

    fn add_metrics(&mut self, totals: &mut Metrics, metrics: &[MetricStats]) {
        for metric in metrics.iter().filter(|metric| metric.total_metric_value.is_finite()) {
            let name = &metric.metric_name;
            let Some(total) = self.entry(totals, name.clone(), name.len(), MAX_METRICS) else { continue };
            total.0 = total.0.saturating_add(metric.num_requests_finished_with_metric.0);
            total.1 += metric.total_metric_value;
        }
    }

    fn add_locality(&mut self, class: &mut Class, stats: &LocalityStats) {
        let name = &stats.locality;
        let name_bytes = name.region.len() + name.zone.len() + name.sub_zone.len();
        let entry = self.entry(&mut class.localities, name.clone(), name_bytes, MAX_LOCALITIES);
        let Some(locality) = entry else { return };
        locality.successful = locality.successful.saturating_add(stats.total_successful_requests.0);
        locality.error = locality.error.saturating_add(stats.total_error_requests.0);
        locality.issued = locality.issued.saturating_add(stats.total_issued_requests.0);
        self.add_metrics(&mut locality.metrics, &stats.load_metric_stats);
        for endpoint in &stats.upstream_endpoint_stats {
            self.add_endpoint(locality, endpoint);
        }
    }

    fn add_endpoint(&mut self, locality: &mut Locality, stats: &EndpointStats) {
        let address = &stats.address.socket_address;
        let key = (address.address.clone(), address.port_value);
        let entry = self.entry(&mut locality.endpoints, key, address.address.len(), MAX_ENDPOINTS);
        let Some(endpoint) = entry else { return };
        endpoint.successful = endpoint.successful.saturating_add(stats.total_successful_requests.0);
        endpoint.error = endpoint.error.saturating_add(stats.total_error_requests.0);
        endpoint.issued = endpoint.issued.saturating_add(stats.total_issued_requests.0);
        endpoint.in_progress = stats.total_requests_in_progress.0;
        self.add_metrics(&mut endpoint.metrics, &stats.load_metric_stats);
    }
}

fn metric_stats(totals: &Metrics) -> Vec<MetricStats> {
    totals.iter().map(|(name, (count, total))| MetricStats::new(name, *count, *total)).collect()
}

/// Totals that wait to be sent, and the report that was sent and is not acknowledged yet.
#[derive(Default)]
pub struct LoadTotals {
    classes: BTreeMap<String, Class>,
    /// The report in flight, with the time in milliseconds at which it was closed; it is sent again unchanged
    /// after a broken connection.
    in_flight: Option<(u64, Vec<ClusterStats>)>,
    budget: EntryBudget,
}

impl LoadTotals {
    /// Adds a proxy's report to the totals.
    pub fn add(&mut self, report: &LoadStatsRequest) {
        for cluster in &report.cluster_stats {
            self.add_cluster(cluster);
        }
    }

    fn add_cluster(&mut self, cluster: &ClusterStats) {
        let (name, budget) = (&cluster.cluster_name, &mut self.budget);
        let Some(class) = budget.entry(&mut self.classes, name.clone(), name.len(), MAX_CLASSES) else {
            return;
        };
        let seconds = cluster.load_report_interval.0;
        let covered_seconds = seconds.max(MIN_SPAN_SECONDS);
        if class.covered_seconds + covered_seconds > MAX_SPAN_SECONDS {
            budget.entries -= class.entries;
            budget.omitted += 1;
            *class = Class::default();
        }
        class.seconds += seconds;
        class.covered_seconds += covered_seconds;
        class.dropped = class.dropped.saturating_add(cluster.total_dropped_requests.0);
        let before = budget.entries;
        for stats in &cluster.upstream_locality_stats {
            budget.add_locality(class, stats);
        }
        class.entries += budget.entries - before;
    }

    /// Number of parts of reports that were omitted because of the limits.
    pub fn omitted_parts(&self) -> u64 {
        self.budget.omitted
    }

    /// The report to send now: the one in flight, otherwise a new one of all pending totals, closed now.
    pub fn close(&mut self, now: Nanos) -> (u64, Vec<ClusterStats>) {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.clone();
        }
        self.budget.entries = 0;
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
