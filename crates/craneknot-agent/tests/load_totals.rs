//! Totals of load reports: sums, the report in flight, and limits on what the sender chooses.

use craneknot::interface::Nanos;
use craneknot_agent::load_totals::LoadTotals;
use craneknot_xds::discovery::Locality;
use craneknot_xds::load::{
    metric, ClusterStats, Count, EndpointStats, LoadStatsRequest, LocalityStats, MetricStats, Seconds,
};
use craneknot_xds::resources::{Address, SocketAddress};

const MIB: usize = 1024 * 1024;
const ZONES: usize = 20;
const METRICS: usize = 20;

/// A report of one class whose zones and metrics occur in no other report.
fn report(number: usize, name_length: usize) -> LoadStatsRequest {
    let name = |kind: &str, index: usize| format!("{kind}-{number}-{index}-{}", "x".repeat(name_length));
    let locality = |zone: usize| LocalityStats {
        locality: Locality::zone(&name("zone", zone)),
        total_issued_requests: Count(1),
        load_metric_stats: (0..METRICS)
            .map(|metric| MetricStats::new(&name("metric", metric), 1, 1.0))
            .collect(),
        ..LocalityStats::default()
    };
    let cluster = ClusterStats {
        cluster_name: "read".into(),
        load_report_interval: Seconds(0.0),
        upstream_locality_stats: (0..ZONES).map(locality).collect(),
        ..ClusterStats::default()
    };
    LoadStatsRequest { node: None, cluster_stats: vec![cluster] }
}

/// Guards against totals by names that the sender chooses: with ever new zones and metrics, and spans of zero, which never
/// expired, an agent without a coordinator grew by 50 MB a second.
#[test]
fn names_that_never_repeat_do_not_grow_the_totals() {
    for (name_length, reports) in [(0, 3_000), (10_000, 100)] {
        let mut totals = LoadTotals::default();
        for number in 0..reports {
            totals.add(&report(number, name_length));
        }
        let omitted = totals.omitted_parts();
        let (_, stats) = totals.close(Nanos(0));
        let size = serde_json::to_vec(&stats).unwrap().len();
        assert!(size <= 4 * MIB, "{size} bytes, names of {name_length}");
        assert!(omitted > 0);
    }
}

/// Names that were omitted while there was no room count again once the totals have been sent.
#[test]
fn totals_have_room_again_after_they_were_sent() {
    let mut totals = LoadTotals::default();
    (0..3_000).for_each(|number| totals.add(&report(number, 0)));
    totals.close(Nanos(0));
    totals.acknowledge();
    let omitted = totals.omitted_parts();
    totals.add(&report(3_000, 0));
    let (_, stats) = totals.close(Nanos(1));
    assert_eq!((stats[0].upstream_locality_stats.len(), totals.omitted_parts()), (ZONES, omitted));
}

/// A report on the servers with these ports, over this number of seconds.
fn port_report(ports: std::ops::Range<u16>, seconds: f64) -> LoadStatsRequest {
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
    totals.add(&port_report(1..3, 1.0));
    totals.add(&port_report(2..4, 0.5));
    let first = totals.close(Nanos::from_millis(500));
    let stats = &first.1[0];
    assert_eq!((stats.load_report_interval.0, stats.total_dropped_requests), (1.5, Count(8)));
    let endpoints = &stats.upstream_locality_stats[0].upstream_endpoint_stats;
    let successful: Vec<u64> =
        endpoints.iter().map(|endpoint| endpoint.total_successful_requests.0).collect();
    assert_eq!(successful, [2, 4, 2]);
    totals.add(&port_report(1..2, 1.0));
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
        totals.add(&port_report(1..3_000, 1.0));
    }
    let stats = &totals.close(Nanos(0)).1[0];
    assert!(stats.load_report_interval.0 <= 20.0);
    assert_eq!(stats.upstream_locality_stats[0].upstream_endpoint_stats.len(), 2_048);
    assert!(totals.omitted_parts() > 0);
}
