//! What a proxy met since its last report.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_settings::ClassSettings;
use craneknot_xds::discovery::Locality;
use craneknot_xds::load::*;
use craneknot_xds::orca;
use craneknot_xds::resources::{Address, SocketAddress};

#[derive(Default)]
struct ServerSums {
    issued: u64,
    good: u64,
    bad: u64,
    latency_ms: f64,
    loads: BTreeMap<&'static str, (u64, f64)>,
}

#[derive(Default)]
struct ClassSums {
    operations: u64,
    dropped: u64,
    servers: BTreeMap<usize, ServerSums>,
}

#[derive(Default)]
pub struct Sums(BTreeMap<usize, ClassSums>);

impl Sums {
    /// An operation came, and was let in or refused.
    pub fn came(&mut self, class: usize, admitted: bool) {
        let sums = self.0.entry(class).or_default();
        if admitted {
            sums.operations += 1;
        } else {
            sums.dropped += 1;
        }
    }

    fn server(&mut self, class: usize, server: usize) -> &mut ServerSums {
        self.0.entry(class).or_default().servers.entry(server).or_default()
    }

    pub fn sent(&mut self, class: usize, server: usize) {
        self.server(class, server).issued += 1;
    }

    /// A try ended, well or not, after so long.
    pub fn ended(&mut self, class: usize, server: usize, good: bool, took: Nanos) {
        let sums = self.server(class, server);
        if good {
            sums.good += 1;
            sums.latency_ms += took.secs() * 1e3;
        } else {
            sums.bad += 1;
        }
    }

    /// What a server said of its load.
    pub fn load(&mut self, class: usize, server: usize, report: &orca::LoadReport) {
        let named = |name: &str| report.named_metrics.get(name).copied();
        let values = [
            (metric::CPU, report.cpu_utilization),
            (metric::INFLIGHT, named("inflight")),
            (metric::SERVICE_MS, named("service_ms")),
        ];
        let sums = self.server(class, server);
        for (name, value) in values.into_iter().filter_map(|(name, value)| Some((name, value?))) {
            let load = sums.loads.entry(name).or_default();
            *load = (load.0 + 1, load.1 + value);
        }
    }

    /// The published report of it all; `place` gives a server's address and zone.
    pub fn report<'a>(
        &self,
        interval: Seconds,
        classes: &[ClassSettings],
        place: &dyn Fn(usize) -> (SocketAddr, &'a str),
    ) -> Vec<ClusterStats> {
        let class = |(class, sums): (&usize, &ClassSums)| {
            let mut zones: BTreeMap<&str, LocalityStats> = BTreeMap::new();
            for (server, sums) in &sums.servers {
                let (at, zone) = place(*server);
                let locality = zones.entry(zone).or_default();
                locality.locality = Locality::zone(zone);
                locality.total_issued_requests.0 += sums.issued;
                locality.total_successful_requests.0 += sums.good;
                locality.total_error_requests.0 += sums.bad;
                let mut metrics = vec![MetricStats::new(metric::LATENCY_MS, sums.good, sums.latency_ms)];
                let loads = sums.loads.iter();
                metrics.extend(loads.map(|(name, (count, total))| MetricStats::new(name, *count, *total)));
                let socket_address = SocketAddress { address: at.ip().to_string(), port_value: at.port() };
                locality.upstream_endpoint_stats.push(EndpointStats {
                    address: Address { socket_address },
                    total_successful_requests: Count(sums.good),
                    total_error_requests: Count(sums.bad),
                    total_issued_requests: Count(sums.issued),
                    load_metric_stats: metrics,
                    ..EndpointStats::default()
                });
            }
            let mut localities: Vec<LocalityStats> = zones.into_values().collect();
            if localities.is_empty() {
                localities.push(LocalityStats::default());
            }
            // Operations count once, whatever their tries: with the first locality, the others with none.
            for (place, locality) in localities.iter_mut().enumerate() {
                let count = if place == 0 { sums.operations } else { 0 };
                locality.load_metric_stats.push(MetricStats::new(metric::OPERATIONS, count, count as f64));
            }
            ClusterStats {
                cluster_name: classes[*class].name.clone(),
                upstream_locality_stats: localities,
                total_dropped_requests: Count(sums.dropped),
                load_report_interval: interval,
            }
        };
        self.0.iter().map(class).collect()
    }
}
