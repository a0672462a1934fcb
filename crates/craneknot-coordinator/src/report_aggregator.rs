//! What reports count: sums by server and zone, and by proxy and class, gathered over a report period.
//!
//! A report may be late, lost, sent again, made up or far too large. Each carries the moment it was closed in its
//! node's metadata; one that is not later than the last taken from that proxy is a repeat and counts for nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_xds::load::{metric, ClusterStats, EndpointStats, LoadStatsRequest, CLOSED_AT};

const RATE_MOST: f64 = 1e6; // operations a second of one class at one server: more is a report gone wrong
const SPAN_MOST: Nanos = Nanos::from_millis(60_000); // ms; sums over longer say nothing of now
const ENDPOINTS_MOST: usize = 4_096; // of one class in one report: more than any table holds
const LATENCY_MOST: f64 = 3.6e6; // ms; an hour: no operation lasts that long

/// What was not counted, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// Not later than the last one taken.
    Repeated,
    /// Nothing tells when it was closed.
    NoMoment,
    /// Classes that the settings do not have, spans too long, or counts beyond reason: so many parts left out.
    ResourceUpdate(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Met {
    tries: u64,
    unanswered: u64,
    good: u64,
    good_ms: f64,
    span: Nanos,
    busy: Option<f64>,
    held: Option<f64>,
    service: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Came {
    arrived: u64,
    unanswered: u64,
    span: Nanos,
}

pub struct ReportAggregator {
    classes: Vec<String>,
    met: BTreeMap<(ServerId, ZoneId), Met>,
    came: BTreeMap<(ProxyId, ClassId), Came>,
    last: BTreeMap<ProxyId, u64>,
    repeated: u64,
    left_out: u64,
}

impl ReportAggregator {
    pub fn new(classes: Vec<String>) -> Self {
        let (met, came, last) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        ReportAggregator { classes, met, came, last, repeated: 0, left_out: 0 }
    }

    /// Repeats and parts that were not counted so far.
    pub fn unheard(&self) -> (u64, u64) {
        (self.repeated, self.left_out)
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.came.retain(|(of, _), _| *of != proxy);
    }

    pub fn take(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadStatsRequest,
    ) -> Result<(), ReportError> {
        let moment = report.node.as_ref().and_then(|node| node.metadata.get(CLOSED_AT));
        let moment = moment.and_then(|value| value.as_f64()).filter(|at| *at >= 0.0).map(|at| at as u64);
        let Some(moment) = moment else { return Err(ReportError::NoMoment) };
        if self.last.get(&proxy).is_some_and(|last| moment <= *last) {
            self.repeated += 1;
            return Err(ReportError::Repeated);
        }
        self.last.insert(proxy, moment);
        let mut left_out = 0;
        for cluster in &report.cluster_stats {
            left_out += self.class(proxy, zone, cluster);
        }
        self.left_out += left_out as u64;
        if left_out > 0 {
            Err(ReportError::ResourceUpdate(left_out))
        } else {
            Ok(())
        }
    }

    /// Takes in one class; how many parts were left out.
    fn class(&mut self, proxy: ProxyId, zone: ZoneId, cluster: &ClusterStats) -> usize {
        let class = self.classes.iter().position(|name| *name == cluster.cluster_name);
        let span = Nanos::from_secs(cluster.load_report_interval.0);
        let Some(class) = class.filter(|_| span > Nanos(0) && span <= SPAN_MOST) else { return 1 };
        let sane = |count: u64| (count as f64) <= RATE_MOST * span.secs();
        let (mut arrived, mut bad, mut left_out) = (cluster.total_dropped_requests.0, 0, 0);
        if !sane(arrived) {
            return 1;
        }
        for locality in &cluster.upstream_locality_stats {
            let operations =
                locality.load_metric_stats.iter().find(|metric| metric.metric_name == metric::OPERATIONS);
            let issued = locality.total_issued_requests.0;
            let first = operations.map_or(issued, |metric| metric.num_requests_finished_with_metric.0);
            if !sane(first) || !sane(locality.total_error_requests.0) {
                left_out += 1;
                continue;
            }
            arrived += first;
            bad += locality.total_error_requests.0;
            let endpoints = &locality.upstream_endpoint_stats;
            left_out += endpoints.len().saturating_sub(ENDPOINTS_MOST);
            for endpoint in endpoints.iter().take(ENDPOINTS_MOST) {
                let (good, failed) = (endpoint.total_successful_requests.0, endpoint.total_error_requests.0);
                if sane(good) && sane(failed) {
                    self.endpoint(zone, span, endpoint, good, failed);
                } else {
                    left_out += 1;
                }
            }
        }
        // Half a sum of what came would look like a lull.
        if left_out > 0 {
            return left_out;
        }
        let came = self.came.entry((proxy, ClassId(class as u8))).or_default();
        came.arrived += arrived;
        came.unanswered += bad;
        came.span = came.span + span;
        left_out
    }

    fn endpoint(&mut self, zone: ZoneId, span: Nanos, endpoint: &EndpointStats, good: u64, failed: u64) {
        let server = ServerId(Arc::from(endpoint.address.socket_address.text().as_str()));
        let mean = |name: &str, most: f64| {
            let stats = endpoint.metric(name)?;
            let count = stats.num_requests_finished_with_metric.0 as f64;
            let mean = stats.total_metric_value / count;
            (mean.is_finite() && mean >= 0.0 && mean <= most).then_some(mean)
        };
        let met = self.met.entry((server, zone)).or_default();
        met.tries += good + failed;
        met.unanswered += failed;
        if let Some(latency) = mean(metric::LATENCY_MS, LATENCY_MOST) {
            met.good += good;
            met.good_ms += latency * good as f64;
        }
        met.span = met.span.max(span);
        met.busy = mean(metric::CPU, 1e3).or(met.busy);
        met.held = mean(metric::INFLIGHT, RATE_MOST).or(met.held);
        met.service = mean(metric::SERVICE_MS, LATENCY_MOST).or(met.service);
    }

    /// What was gathered since the last time, as the decisions hear it.
    pub fn flush(&mut self) -> Vec<Event> {
        let met = std::mem::take(&mut self.met).into_iter().filter(|(_, met)| met.tries > 0);
        let heard = met.map(|((server, zone), met)| Event::TriesReported {
            server,
            zone,
            tries: met.tries,
            unanswered: met.unanswered,
            span: met.span,
            latency: Nanos::from_secs(met.good_ms / (met.good.max(1) as f64) / 1e3),
            report: LoadReport {
                busy: met.busy,
                in_flight: met.held,
                service_time: met.service.map(|ms| Nanos::from_secs(ms / 1e3)),
            },
        });
        let came = std::mem::take(&mut self.came).into_iter().map(|((proxy, class), came)| Event::Demand {
            proxy,
            class,
            arrived: came.arrived,
            unanswered: came.unanswered,
            span: came.span,
        });
        heard.chain(came).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot_xds::discovery::{Locality, Node};
    use craneknot_xds::load::{Count, LocalityStats, MetricStats, Seconds};
    use craneknot_xds::resources::{Address, SocketAddress};

    fn report(moment: u64, good: u64, failed: u64, span: f64) -> LoadStatsRequest {
        let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), moment.into())]);
        let address =
            Address { socket_address: SocketAddress { address: "127.0.0.1".into(), port_value: 80 } };
        let endpoint = EndpointStats {
            address,
            total_successful_requests: Count(good),
            total_error_requests: Count(failed),
            load_metric_stats: vec![MetricStats::new(metric::LATENCY_MS, good, 20.0 * good as f64)],
            ..EndpointStats::default()
        };
        let locality = LocalityStats {
            locality: Locality::zone("north"),
            total_issued_requests: Count(good.saturating_add(failed)),
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

    /// A report sent again after a broken connection must not count twice: it would look like twice the load.
    #[test]
    fn a_repeated_or_late_report_counts_once() {
        let mut intake = ReportAggregator::new(vec!["read".into()]);
        assert_eq!(intake.take(ProxyId(1), ZoneId(0), &report(1_000, 8, 2, 1.0)), Ok(()));
        assert_eq!(intake.take(ProxyId(1), ZoneId(0), &report(1_000, 8, 2, 1.0)), Err(ReportError::Repeated));
        assert_eq!(intake.take(ProxyId(1), ZoneId(0), &report(900, 8, 2, 1.0)), Err(ReportError::Repeated));
        assert_eq!(intake.take(ProxyId(2), ZoneId(0), &report(1_000, 4, 0, 1.0)), Ok(()));
        let events = intake.flush();
        let Event::TriesReported { tries, unanswered, latency, .. } = &events[0] else {
            panic!("{events:?}")
        };
        assert_eq!((*tries, *unanswered, *latency), (14, 2, Nanos::from_millis(20)));
        assert_eq!(events.len(), 3);
        assert!(intake.flush().is_empty());
    }

    #[test]
    fn what_is_beyond_reason_is_left_out() {
        let mut intake = ReportAggregator::new(vec!["read".into()]);
        let proxy = ProxyId(1);
        assert_eq!(
            intake.take(proxy, ZoneId(0), &report(1, u64::MAX, 0, 1.0)),
            Err(ReportError::ResourceUpdate(1))
        );
        assert_eq!(intake.take(proxy, ZoneId(0), &report(2, 1, 0, 1e9)), Err(ReportError::ResourceUpdate(1)));
        assert_eq!(intake.take(proxy, ZoneId(0), &report(3, 1, 0, 0.0)), Err(ReportError::ResourceUpdate(1)));
        let mut other = report(4, 1, 0, 1.0);
        other.cluster_stats[0].cluster_name = "unknown".into();
        assert_eq!(intake.take(proxy, ZoneId(0), &other), Err(ReportError::ResourceUpdate(1)));
        assert_eq!(intake.take(proxy, ZoneId(0), &LoadStatsRequest::default()), Err(ReportError::NoMoment));
        assert_eq!(intake.flush(), []);
    }
}
