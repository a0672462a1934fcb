//! The totals of a proxy's operations and tries since its last load report.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_settings::ClassSettings;
use craneknot_xds::discovery::Locality;
use craneknot_xds::load::*;
use craneknot_xds::orca;
use craneknot_xds::resources::{Address, SocketAddress};

#[derive(Default)]
struct ServerTotals {
    issued: u64,
    succeeded: u64,
    failed: u64,
    latency_ms: f64,
    loads: BTreeMap<&'static str, (u64, f64)>,
}

#[derive(Default)]
struct ClassTotals {
    operations: u64,
    dropped: u64,
    servers: BTreeMap<usize, ServerTotals>,
}

/// Operations and tries per class and server since the last load report.
#[derive(Default)]
pub struct LoadTotals(BTreeMap<usize, ClassTotals>);

impl LoadTotals {
    /// Counts an operation that arrived, and whether it was admitted or rejected.
    pub fn count_operation(&mut self, class: usize, admitted: bool) {
        let totals = self.0.entry(class).or_default();
        if admitted {
            totals.operations += 1;
        } else {
            totals.dropped += 1;
        }
    }

    fn server(&mut self, class: usize, server: usize) -> &mut ServerTotals {
        self.0.entry(class).or_default().servers.entry(server).or_default()
    }

    /// Counts a try sent to a server.
    pub fn count_try(&mut self, class: usize, server: usize) {
        self.server(class, server).issued += 1;
    }

    /// Counts the outcome of a try and adds the latency of a successful one.
    pub fn count_outcome(&mut self, class: usize, server: usize, succeeded: bool, duration: Nanos) {
        let totals = self.server(class, server);
        if succeeded {
            totals.succeeded += 1;
            totals.latency_ms += duration.secs() * 1e3;
        } else {
            totals.failed += 1;
        }
    }

    /// Adds the load that a server reported.
    pub fn add_server_load(&mut self, class: usize, server: usize, report: &orca::LoadReport) {
        let named = |name: &str| report.named_metrics.get(name).copied();
        let values = [
            (metric::CPU, report.cpu_utilization),
            (metric::INFLIGHT, named("inflight")),
            (metric::SERVICE_MS, named("service_ms")),
        ];
        let totals = self.server(class, server);
        for (name, value) in values.into_iter().filter_map(|(name, value)| Some((name, value?))) {
            let load = totals.loads.entry(name).or_default();
            *load = (load.0 + 1, load.1 + value);
        }
    }

    /// The load report of all totals; `locate` maps a server to its address and zone.
    pub fn report<'a>(
        &self,
        interval: Seconds,
        classes: &[ClassSettings],
        locate: &dyn Fn(usize) -> (SocketAddr, &'a str),
    ) -> Vec<ClusterStats> {
        let class_stats = |(class, totals): (&usize, &ClassTotals)| {
            let mut zones: BTreeMap<&str, LocalityStats> = BTreeMap::new();
            for (server, totals) in &totals.servers {
                let (address, zone) = locate(*server);
                let locality = zones.entry(zone).or_default();
                locality.locality = Locality::zone(zone);
                locality.total_issued_requests.0 += totals.issued;
                locality.total_successful_requests.0 += totals.succeeded;
                locality.total_error_requests.0 += totals.failed;
                let mut metrics =
                    vec![MetricStats::new(metric::LATENCY_MS, totals.succeeded, totals.latency_ms)];
                let loads = totals.loads.iter();
                metrics.extend(loads.map(|(name, (count, total))| MetricStats::new(name, *count, *total)));
                let socket_address =
                    SocketAddress { address: address.ip().to_string(), port_value: address.port() };
                locality.upstream_endpoint_stats.push(EndpointStats {
                    address: Address { socket_address },
                    total_successful_requests: Count(totals.succeeded),
                    total_error_requests: Count(totals.failed),
                    total_issued_requests: Count(totals.issued),
                    load_metric_stats: metrics,
                    ..EndpointStats::default()
                });
            }
            let mut localities: Vec<LocalityStats> = zones.into_values().collect();
            if localities.is_empty() {
                localities.push(LocalityStats::default());
            }
            // An operation counts once however many tries it has: in the first locality, with zero in the others.
            for (index, locality) in localities.iter_mut().enumerate() {
                let count = if index == 0 { totals.operations } else { 0 };
                locality.load_metric_stats.push(MetricStats::new(metric::OPERATIONS, count, count as f64));
            }
            ClusterStats {
                cluster_name: classes[*class].name.clone(),
                upstream_locality_stats: localities,
                total_dropped_requests: Count(totals.dropped),
                load_report_interval: interval,
            }
        };
        self.0.iter().map(class_stats).collect()
    }
}
