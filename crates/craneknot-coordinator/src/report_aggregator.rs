//! Aggregates load reports over a report period: totals by server and zone, and by proxy and class.
//!
//! A report may be late, lost, repeated, forged or far too large. Each carries its closing time in its node's
//! metadata; a report not later than the last one counted from that proxy is a repetition and is ignored.

use std::collections::BTreeMap;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_xds::load::{metric, ClusterStats, EndpointStats, LoadStatsRequest, CLOSED_AT};

const MAX_RATE: f64 = 1e6; // operations a second of one class at one server; higher counts are erroneous
const MAX_INTERVAL: Nanos = Nanos::from_millis(60_000); // longer totals say nothing about current load
const MAX_ENDPOINTS: usize = 4_096; // of one class in one report; more than any table holds
const MAX_LATENCY_MS: f64 = 3.6e6; // an hour; no operation lasts that long

/// Why a report, or parts of it, were not counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// Not later than the last report counted.
    Repeated,
    /// The closing time is missing.
    NoMoment,
    /// The number of parts that were skipped: unknown classes, intervals too long, or implausible counts.
    Parts(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerTotals {
    tries: u64,
    unanswered: u64,
    successes: u64,
    success_latency_ms: f64,
    span: Nanos,
    busy: Option<f64>,
    in_flight: Option<f64>,
    service_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandTotals {
    arrived: u64,
    unanswered: u64,
    span: Nanos,
}

/// Sums up load reports until [`ReportAggregator::flush`].
pub struct ReportAggregator {
    classes: Vec<String>,
    server_totals: BTreeMap<(ServerId, ZoneId), ServerTotals>,
    demand_totals: BTreeMap<(ProxyId, ClassId), DemandTotals>,
    last_closed_at: BTreeMap<ProxyId, u64>,
    repeated: u64,
    skipped: u64,
}

impl ReportAggregator {
    pub fn new(classes: Vec<String>) -> Self {
        let (server_totals, demand_totals, last_closed_at) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        ReportAggregator { classes, server_totals, demand_totals, last_closed_at, repeated: 0, skipped: 0 }
    }

    /// Numbers of repeated reports and of skipped parts so far.
    pub fn skip_counts(&self) -> (u64, u64) {
        (self.repeated, self.skipped)
    }

    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.demand_totals.retain(|(reporter, _), _| *reporter != proxy);
    }

    pub fn add_report(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadStatsRequest,
    ) -> Result<(), ReportError> {
        let closed_at = report.node.as_ref().and_then(|node| node.metadata.get(CLOSED_AT));
        let closed_at =
            closed_at.and_then(|value| value.as_f64()).filter(|at| *at >= 0.0).map(|at| at as u64);
        let Some(closed_at) = closed_at else { return Err(ReportError::NoMoment) };
        if self.last_closed_at.get(&proxy).is_some_and(|last_closed_at| closed_at <= *last_closed_at) {
            self.repeated += 1;
            return Err(ReportError::Repeated);
        }
        self.last_closed_at.insert(proxy, closed_at);
        let mut skipped = 0;
        for cluster in &report.cluster_stats {
            skipped += self.add_class(proxy, zone, cluster);
        }
        self.skipped += skipped as u64;
        if skipped > 0 {
            Err(ReportError::Parts(skipped))
        } else {
            Ok(())
        }
    }

    /// Adds the totals of one class and returns the number of skipped parts.
    fn add_class(&mut self, proxy: ProxyId, zone: ZoneId, cluster: &ClusterStats) -> usize {
        let class = self.classes.iter().position(|name| *name == cluster.cluster_name);
        let span = Nanos::from_secs(cluster.load_report_interval.0);
        let Some(class) = class.filter(|_| span > Nanos(0) && span <= MAX_INTERVAL) else { return 1 };
        let is_plausible = |count: u64| (count as f64) <= MAX_RATE * span.secs();
        let (mut arrived, mut unanswered, mut skipped) = (cluster.total_dropped_requests.0, 0, 0);
        if !is_plausible(arrived) {
            return 1;
        }
        for locality in &cluster.upstream_locality_stats {
            let operations =
                locality.load_metric_stats.iter().find(|metric| metric.metric_name == metric::OPERATIONS);
            let issued = locality.total_issued_requests.0;
            let locality_arrivals =
                operations.map_or(issued, |metric| metric.num_requests_finished_with_metric.0);
            if !is_plausible(locality_arrivals) || !is_plausible(locality.total_error_requests.0) {
                skipped += 1;
                continue;
            }
            arrived += locality_arrivals;
            unanswered += locality.total_error_requests.0;
            let endpoints = &locality.upstream_endpoint_stats;
            skipped += endpoints.len().saturating_sub(MAX_ENDPOINTS);
            for endpoint in endpoints.iter().take(MAX_ENDPOINTS) {
                let (successes, failed) =
                    (endpoint.total_successful_requests.0, endpoint.total_error_requests.0);
                if is_plausible(successes) && is_plausible(failed) {
                    self.add_endpoint(zone, span, endpoint, successes, failed);
                } else {
                    skipped += 1;
                }
            }
        }
        // A partial total would look like a drop in demand.
        if skipped > 0 {
            return skipped;
        }
        let demand_totals = self.demand_totals.entry((proxy, ClassId(class as u8))).or_default();
        demand_totals.arrived += arrived;
        demand_totals.unanswered += unanswered;
        demand_totals.span = demand_totals.span + span;
        skipped
    }

    fn add_endpoint(
        &mut self,
        zone: ZoneId,
        span: Nanos,
        endpoint: &EndpointStats,
        successes: u64,
        failed: u64,
    ) {
        let server = ServerId(Arc::from(endpoint.address.socket_address.text().as_str()));
        let mean = |name: &str, max: f64| {
            let stats = endpoint.metric(name)?;
            let count = stats.num_requests_finished_with_metric.0 as f64;
            let mean = stats.total_metric_value / count;
            (mean.is_finite() && mean >= 0.0 && mean <= max).then_some(mean)
        };
        let server_totals = self.server_totals.entry((server, zone)).or_default();
        server_totals.tries += successes + failed;
        server_totals.unanswered += failed;
        if let Some(latency) = mean(metric::LATENCY_MS, MAX_LATENCY_MS) {
            server_totals.successes += successes;
            server_totals.success_latency_ms += latency * successes as f64;
        }
        server_totals.span = server_totals.span.max(span);
        server_totals.busy = mean(metric::CPU, 1e3).or(server_totals.busy);
        server_totals.in_flight = mean(metric::INFLIGHT, MAX_RATE).or(server_totals.in_flight);
        server_totals.service_ms = mean(metric::SERVICE_MS, MAX_LATENCY_MS).or(server_totals.service_ms);
    }

    /// Takes the totals since the last call as events for the decisions.
    pub fn flush(&mut self) -> Vec<Event> {
        let server_totals = std::mem::take(&mut self.server_totals)
            .into_iter()
            .filter(|(_, server_totals)| server_totals.tries > 0);
        let outcomes = server_totals.map(|((server, zone), server_totals)| Event::TriesReported {
            server,
            zone,
            tries: server_totals.tries,
            unanswered: server_totals.unanswered,
            span: server_totals.span,
            latency: Nanos::from_secs(
                server_totals.success_latency_ms / (server_totals.successes.max(1) as f64) / 1e3,
            ),
            report: LoadReport {
                busy: server_totals.busy,
                in_flight: server_totals.in_flight,
                service_time: server_totals.service_ms.map(|ms| Nanos::from_secs(ms / 1e3)),
            },
        });
        let demand_totals =
            std::mem::take(&mut self.demand_totals).into_iter().map(|((proxy, class), demand_totals)| {
                Event::Demand {
                    proxy,
                    class,
                    arrived: demand_totals.arrived,
                    unanswered: demand_totals.unanswered,
                    span: demand_totals.span,
                }
            });
        outcomes.chain(demand_totals).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot_xds::discovery::{Locality, Node};
    use craneknot_xds::load::{Count, LocalityStats, MetricStats, Seconds};
    use craneknot_xds::resources::{Address, SocketAddress};

    fn report(closed_at: u64, successes: u64, failed: u64, span: f64) -> LoadStatsRequest {
        let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed_at.into())]);
        let address =
            Address { socket_address: SocketAddress { address: "127.0.0.1".into(), port_value: 80 } };
        let endpoint = EndpointStats {
            address,
            total_successful_requests: Count(successes),
            total_error_requests: Count(failed),
            load_metric_stats: vec![MetricStats::new(metric::LATENCY_MS, successes, 20.0 * successes as f64)],
            ..EndpointStats::default()
        };
        let locality = LocalityStats {
            locality: Locality::zone("north"),
            total_issued_requests: Count(successes.saturating_add(failed)),
            total_error_requests: Count(failed),
            upstream_endpoint_stats: vec![endpoint],
            ..LocalityStats::default()
        };
        let cluster = ClusterStats {
            cluster_name: "read".into(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Seconds(span),
            ..ClusterStats::default()
        };
        LoadStatsRequest { node: Some(Node { metadata, ..Node::default() }), cluster_stats: vec![cluster] }
    }

    /// A report repeated after a broken connection must not count twice: it would look like twice the load.
    #[test]
    fn a_repeated_or_late_report_counts_once() {
        let mut aggregator = ReportAggregator::new(vec!["read".into()]);
        assert_eq!(aggregator.add_report(ProxyId(1), ZoneId(0), &report(1_000, 8, 2, 1.0)), Ok(()));
        assert_eq!(
            aggregator.add_report(ProxyId(1), ZoneId(0), &report(1_000, 8, 2, 1.0)),
            Err(ReportError::Repeated)
        );
        assert_eq!(
            aggregator.add_report(ProxyId(1), ZoneId(0), &report(900, 8, 2, 1.0)),
            Err(ReportError::Repeated)
        );
        assert_eq!(aggregator.add_report(ProxyId(2), ZoneId(0), &report(1_000, 4, 0, 1.0)), Ok(()));
        let events = aggregator.flush();
        let Event::TriesReported { tries, unanswered, latency, .. } = &events[0] else {
            panic!("{events:?}")
        };
        assert_eq!((*tries, *unanswered, *latency), (14, 2, Nanos::from_millis(20)));
        assert_eq!(events.len(), 3);
        assert!(aggregator.flush().is_empty());
    }

    #[test]
    fn implausible_parts_are_skipped() {
        let mut aggregator = ReportAggregator::new(vec!["read".into()]);
        let proxy = ProxyId(1);
        assert_eq!(
            aggregator.add_report(proxy, ZoneId(0), &report(1, u64::MAX, 0, 1.0)),
            Err(ReportError::Parts(1))
        );
        assert_eq!(
            aggregator.add_report(proxy, ZoneId(0), &report(2, 1, 0, 1e9)),
            Err(ReportError::Parts(1))
        );
        assert_eq!(
            aggregator.add_report(proxy, ZoneId(0), &report(3, 1, 0, 0.0)),
            Err(ReportError::Parts(1))
        );
        let mut other = report(4, 1, 0, 1.0);
        other.cluster_stats[0].cluster_name = "unknown".into();
        assert_eq!(aggregator.add_report(proxy, ZoneId(0), &other), Err(ReportError::Parts(1)));
        assert_eq!(
            aggregator.add_report(proxy, ZoneId(0), &LoadStatsRequest::default()),
            Err(ReportError::NoMoment)
        );
        assert_eq!(aggregator.flush(), []);
    }
}
