//! `envoy.service.load_stats.v3`: load reports of proxies.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::discovery::{Locality, Node};
use crate::resources::Address;

/// The path of the only method of the published service.
pub const PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// The key in a node's metadata of the time at which a report was closed, in ms of the agent's clock. By it a report
/// that is received twice is counted once.
pub const CLOSED_AT: &str = "report_closed_ms";

/// Names of load metrics, in addition to the ones that servers define.
pub mod metric {
    /// Latency of successful answers, in ms.
    pub const LATENCY_MS: &str = "latency_ms";
    /// Operations received, each counted once regardless of the number of tries.
    pub const OPERATIONS: &str = "operations";
    /// Busy share of the server's cores, from its answers (ORCA `cpu_utilization`).
    pub const CPU: &str = "cpu_utilization";
    /// Operations in flight at the server (ORCA named metric).
    pub const INFLIGHT: &str = "named_metrics.inflight";
    /// The server's recent service time, in ms (ORCA named metric).
    pub const SERVICE_MS: &str = "named_metrics.service_ms";
}

/// A 64-bit count. Proto3's JSON mapping writes it as a string; numbers are accepted on input.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count(pub u64);

impl Serialize for Count {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(u64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Count(number)),
            Either::Text(text) => text.parse().map(Count).map_err(serde::de::Error::custom),
        }
    }
}

/// `google.protobuf.Duration` in JSON: seconds with the suffix `s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Seconds(pub f64);

impl Seconds {
    /// Formats the seconds with the suffix `s`, with nine decimals unless they are whole.
    pub fn text(self) -> String {
        let nanos = (self.0.clamp(0.0, 1e9) * 1e9).round() as u64;
        let (whole, rest) = (nanos / 1_000_000_000, nanos % 1_000_000_000);
        if rest == 0 {
            format!("{whole}s")
        } else {
            format!("{whole}.{rest:09}s")
        }
    }

    /// Parses a number with the suffix `s`; none if it is negative or not finite.
    pub fn parse(text: &str) -> Option<Self> {
        let seconds: f64 = text.strip_suffix('s')?.parse().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then_some(Seconds(seconds))
    }
}

impl Serialize for Seconds {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text())
    }
}

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Seconds::parse(&text)
            .ok_or_else(|| serde::de::Error::custom(format!("{text:?} is not a duration such as 1.5s")))
    }
}

/// `envoy.config.endpoint.v3.EndpointLoadMetricStats`: the total of one metric.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MetricStats {
    #[serde(alias = "metricName")]
    pub metric_name: String,
    #[serde(alias = "numRequestsFinishedWithMetric")]
    pub num_requests_finished_with_metric: Count,
    #[serde(alias = "totalMetricValue")]
    pub total_metric_value: f64,
}

impl MetricStats {
    pub fn new(name: &str, count: u64, total: f64) -> Self {
        MetricStats {
            metric_name: name.to_owned(),
            num_requests_finished_with_metric: Count(count),
            total_metric_value: total,
        }
    }
}

/// `envoy.config.endpoint.v3.UpstreamEndpointStats`: the load of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointStats {
    pub address: Address,
    #[serde(alias = "totalSuccessfulRequests")]
    pub total_successful_requests: Count,
    #[serde(alias = "totalRequestsInProgress")]
    pub total_requests_in_progress: Count,
    #[serde(alias = "totalErrorRequests")]
    pub total_error_requests: Count,
    #[serde(alias = "totalIssuedRequests")]
    pub total_issued_requests: Count,
    #[serde(alias = "loadMetricStats")]
    pub load_metric_stats: Vec<MetricStats>,
}

impl EndpointStats {
    /// The metric of that name.
    pub fn metric(&self, name: &str) -> Option<&MetricStats> {
        self.load_metric_stats.iter().find(|metric| metric.metric_name == name)
    }
}

/// `envoy.config.endpoint.v3.UpstreamLocalityStats`: the load of one zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LocalityStats {
    pub locality: Locality,
    #[serde(alias = "totalSuccessfulRequests")]
    pub total_successful_requests: Count,
    #[serde(alias = "totalErrorRequests")]
    pub total_error_requests: Count,
    #[serde(alias = "totalIssuedRequests")]
    pub total_issued_requests: Count,
    #[serde(alias = "loadMetricStats")]
    pub load_metric_stats: Vec<MetricStats>,
    #[serde(alias = "upstreamEndpointStats")]
    pub upstream_endpoint_stats: Vec<EndpointStats>,
}

/// `envoy.config.endpoint.v3.ClusterStats`: the load of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClusterStats {
    /// The class.
    #[serde(alias = "clusterName")]
    pub cluster_name: String,
    #[serde(alias = "upstreamLocalityStats")]
    pub upstream_locality_stats: Vec<LocalityStats>,
    /// Operations rejected by the proxy itself.
    #[serde(alias = "totalDroppedRequests")]
    pub total_dropped_requests: Count,
    #[serde(alias = "loadReportInterval")]
    pub load_report_interval: Seconds,
}

/// The load report of one proxy for one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadStatsRequest {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<Node>,
    #[serde(alias = "clusterStats")]
    pub cluster_stats: Vec<ClusterStats>,
}

/// What the receiver wants to have reported, and how often.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadStatsResponse {
    #[serde(alias = "sendAllClusters")]
    pub send_all_clusters: bool,
    #[serde(alias = "loadReportingInterval")]
    pub load_reporting_interval: Seconds,
    #[serde(alias = "reportEndpointGranularity")]
    pub report_endpoint_granularity: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_and_durations_follow_the_json_mapping() {
        let text = r#"{"clusterStats":[{"clusterName":"read","totalDroppedRequests":"7","loadReportInterval":"1.5s",
            "upstreamLocalityStats":[{"totalIssuedRequests":12,"locality":{"zone":"north"}}]}]}"#;
        let stats: LoadStatsRequest = serde_json::from_str(text).unwrap();
        let cluster = &stats.cluster_stats[0];
        assert_eq!(cluster.total_dropped_requests, Count(7));
        assert_eq!(cluster.load_report_interval, Seconds(1.5));
        assert_eq!(cluster.upstream_locality_stats[0].total_issued_requests, Count(12));
        assert_eq!(Seconds(0.25).text(), "0.250000000s");
        assert!(
            Seconds::parse("-1s").is_none()
                && Seconds::parse("NaNs").is_none()
                && Seconds::parse("4").is_none()
        );
        let decoded: LoadStatsRequest =
            serde_json::from_str(&serde_json::to_string(&stats).unwrap()).unwrap();
        assert_eq!(decoded, stats);
    }
}
