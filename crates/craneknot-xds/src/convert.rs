//! Converts tables, bindings and levels to resources and back. No policy is applied here: a value without an exact
//! representation is rounded, and a malformed resource is an error that names its class.

use std::collections::BTreeMap;

use craneknot::interface::{LevelUnit, Retries};

use crate::discovery::{Kind, Locality};
use crate::load::Seconds;
use crate::resources::*;

/// The integer on the wire that stands for a weight of 1.
pub const WEIGHT_UNIT: f64 = 10_000.0;

/// The HTTP status of an operation that a level rejects.
pub const REJECTED_STATUS: u32 = 503;

const MILLION: f64 = 1e6;
const RATE_FILTER: &str = "envoy.filters.http.local_ratelimit";
const SHARE_FILTER: &str = "envoy.filters.http.fault";

/// The level and the retries of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Operations per second at each proxy, or a share; none: no limit.
    pub level: Option<f64>,
    pub unit: LevelUnit,
    pub retries: Retries,
}

impl Admission {
    /// Admits all operations and allows no retries.
    pub fn unlimited(unit: LevelUnit) -> Self {
        Admission { level: None, unit, retries: Retries::Never }
    }
}

/// One line of a table, for encoding.
pub struct Line<'a> {
    pub server: &'a str,
    pub zone: &'a str,
    pub weight: f64,
    pub health: HealthStatus,
}

/// Encodes a table. A line without an `address:port` is skipped. A weight that rounds to zero becomes 1, the smallest
/// weight on the wire, so that rounding never removes a server from a table.
pub fn table(name: &str, lines: &[Line<'_>]) -> ClusterLoadAssignment {
    let mut zones: BTreeMap<&str, Vec<LbEndpoint>> = BTreeMap::new();
    for line in lines {
        let Some(socket_address) = SocketAddress::parse(line.server) else { continue };
        let load_balancing_weight = (line.weight * WEIGHT_UNIT).round().clamp(1.0, 4e6) as u32;
        let endpoint = Endpoint { address: Address { socket_address } };
        let health_status = line.health;
        zones.entry(line.zone).or_default().push(LbEndpoint {
            endpoint,
            health_status,
            load_balancing_weight,
        });
    }
    let zone = |(zone, lb_endpoints)| LocalityLbEndpoints { locality: Locality::zone(zone), lb_endpoints };
    ClusterLoadAssignment {
        kind: Kind::Endpoints.type_url().to_owned(),
        cluster_name: name.to_owned(),
        endpoints: zones.into_iter().map(zone).collect(),
    }
}

/// Decodes the lines of a table that a proxy may pick: server and weight.
pub fn lines(table: &ClusterLoadAssignment) -> Vec<(String, f64)> {
    let endpoints = table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints);
    let pickable = endpoints.filter(|endpoint| match endpoint.health_status {
        HealthStatus::Unknown | HealthStatus::Healthy | HealthStatus::Degraded => true,
        HealthStatus::Unhealthy | HealthStatus::Draining | HealthStatus::Timeout => false,
    });
    let line = |endpoint: &LbEndpoint| {
        let server = endpoint.endpoint.address.socket_address.text();
        (server, f64::from(endpoint.load_balancing_weight) / WEIGHT_UNIT)
    };
    pickable.map(line).filter(|(_, weight)| *weight > 0.0).collect()
}

/// Encodes the binding of a class to a table.
pub fn cluster(class: &str, table: &str, lb_policy: &str) -> Cluster {
    Cluster {
        kind: Kind::Clusters.type_url().to_owned(),
        name: class.to_owned(),
        discovery: "EDS".to_owned(),
        eds_cluster_config: EdsClusterConfig {
            eds_config: ConfigSource {
                path_config_source: PathConfigSource { path: Kind::Endpoints.file().to_owned() },
                resource_api_version: "V3".to_owned(),
            },
            service_name: table.to_owned(),
        },
        lb_policy: lb_policy.to_owned(),
    }
}

fn retry_policy(retries: Retries) -> Option<RetryPolicy> {
    let (retry_on, num_retries) = match retries {
        Retries::Never => return None,
        // Conditions that guarantee that the server never started the operation.
        Retries::IfNotExecuted => ("connect-failure,refused-stream", 1),
        Retries::Once => ("5xx,reset,connect-failure,refused-stream", 1),
        Retries::Twice => ("5xx,reset,connect-failure,refused-stream", 2),
    };
    let retry_host_predicate = vec![Named { name: "envoy.retry_host_predicates.previous_hosts".to_owned() }];
    Some(RetryPolicy { retry_on: retry_on.to_owned(), num_retries, retry_host_predicate })
}

/// Encodes a rate in operations per second, limited to a thousandth at the least and a million at the most.
fn token_bucket(rate: f64) -> TokenBucket {
    // The fill interval makes a whole number of tokens match the rate; the bucket holds the tokens of one second, at
    // least one.
    let rate = rate.clamp(1e-3, MILLION);
    let whole = rate.ceil();
    let fill_interval = Seconds(whole / rate).text();
    TokenBucket { max_tokens: whole as u32, tokens_per_fill: whole as u32, fill_interval }
}

/// Encodes the levels and retries of a table's classes.
pub fn routes<'a>(name: &str, classes: impl Iterator<Item = (&'a str, Admission)>) -> RouteConfiguration {
    let route = |(class, admission): (&str, Admission)| {
        let mut filters = BTreeMap::new();
        match (admission.level, admission.unit) {
            (Some(rate), LevelUnit::Rate) => {
                let stat_prefix = class.to_owned();
                let status = HttpStatus { code: "ServiceUnavailable".to_owned() };
                let limit =
                    FilterConfig::LocalRateLimit { stat_prefix, token_bucket: token_bucket(rate), status };
                filters.insert(RATE_FILTER.to_owned(), limit);
            }
            (Some(share), LevelUnit::Share) if share < 1.0 => {
                let numerator = ((1.0 - share.max(0.0)) * MILLION).round() as u32;
                let percentage = FractionalPercent { numerator, denominator: "MILLION".to_owned() };
                let abort = FaultAbort { http_status: REJECTED_STATUS, percentage };
                filters.insert(SHARE_FILTER.to_owned(), FilterConfig::HttpFault { abort });
            }
            (Some(_) | None, LevelUnit::Rate | LevelUnit::Share | LevelUnit::Ignored) => {}
        }
        Route {
            matches: RouteMatch { prefix: format!("/{class}") },
            route: RouteAction { cluster: class.to_owned(), retry_policy: retry_policy(admission.retries) },
            typed_per_filter_config: filters,
        }
    };
    let host = VirtualHost {
        name: name.to_owned(),
        domains: vec!["*".to_owned()],
        routes: classes.map(route).collect(),
    };
    RouteConfiguration {
        kind: Kind::Routes.type_url().to_owned(),
        name: name.to_owned(),
        virtual_hosts: vec![host],
    }
}

/// Decodes the level and the retries of a route's class.
pub fn admission(route: &Route) -> Result<Admission, String> {
    let class = &route.route.cluster;
    let mut admission = Admission::unlimited(LevelUnit::Ignored);
    for filter in route.typed_per_filter_config.values() {
        match filter {
            FilterConfig::LocalRateLimit { token_bucket, .. } => {
                let interval = Seconds::parse(&token_bucket.fill_interval).filter(|span| span.0 > 0.0);
                let interval =
                    interval.ok_or_else(|| format!("class {class}: fill_interval is not a duration"))?;
                admission.unit = LevelUnit::Rate;
                admission.level = Some(f64::from(token_bucket.tokens_per_fill) / interval.0);
            }
            FilterConfig::HttpFault { abort } => {
                let whole = match abort.percentage.denominator.as_str() {
                    "HUNDRED" | "" => 100.0,
                    "TEN_THOUSAND" => 10_000.0,
                    "MILLION" => MILLION,
                    other => return Err(format!("class {class}: unknown denominator {other}")),
                };
                admission.unit = LevelUnit::Share;
                admission.level = Some((1.0 - f64::from(abort.percentage.numerator) / whole).clamp(0.0, 1.0));
            }
        }
    }
    let Some(policy) = &route.route.retry_policy else { return Ok(admission) };
    let conditions = || policy.retry_on.split(',').map(str::trim).filter(|condition| !condition.is_empty());
    let is_not_executed = |condition: &str| matches!(condition, "connect-failure" | "refused-stream");
    admission.retries = match policy.num_retries {
        0 => Retries::Never,
        _ if conditions().next().is_none() => Retries::Never,
        _ if conditions().all(is_not_executed) => Retries::IfNotExecuted,
        1 => Retries::Once,
        _ => Retries::Twice,
    };
    Ok(admission)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encoded_resources_decode_to_the_same_values() {
        let lines_to_encode = [
            Line { server: "127.0.0.1:81", zone: "north", weight: 1.5, health: HealthStatus::Healthy },
            Line { server: "[::1]:82", zone: "south", weight: 0.00001, health: HealthStatus::Healthy },
            Line { server: "127.0.0.1:83", zone: "north", weight: 1.0, health: HealthStatus::Draining },
        ];
        let text = serde_json::to_string(&table("t1", &lines_to_encode)).unwrap();
        let decoded: ClusterLoadAssignment = serde_json::from_str(&text).unwrap();
        assert_eq!(lines(&decoded), [("127.0.0.1:81".to_owned(), 1.5), ("[::1]:82".to_owned(), 0.0001)]);
        use Retries::*;
        for (level, unit) in
            [(Some(0.25), LevelUnit::Share), (Some(7.5), LevelUnit::Rate), (Some(0.4), LevelUnit::Rate)]
        {
            for retries in [Never, IfNotExecuted, Once, Twice] {
                let encoded = Admission { level, unit, retries };
                let text = serde_json::to_string(&routes("t1", [("read", encoded)].into_iter())).unwrap();
                let decoded: RouteConfiguration = serde_json::from_str(&text).unwrap();
                let decoded_admission = admission(&decoded.virtual_hosts[0].routes[0]).unwrap();
                assert_eq!((decoded_admission.unit, decoded_admission.retries), (unit, retries));
                assert!(
                    (decoded_admission.level.unwrap() - level.unwrap()).abs() < 1e-6,
                    "{decoded_admission:?}"
                );
            }
        }
    }

    /// A share of 1 encodes as no level, and the controller's rate for admitting everything fits in 32 bits.
    #[test]
    fn extreme_levels_are_encoded() {
        let round_trip = |level, unit| {
            let encoded = Admission { level: Some(level), unit, retries: Retries::Never };
            admission(&routes("t", [("read", encoded)].into_iter()).virtual_hosts[0].routes[0]).unwrap().level
        };
        assert_eq!(round_trip(1.0, LevelUnit::Share), None);
        assert_eq!(round_trip(0.0, LevelUnit::Share), Some(0.0));
        assert_eq!(round_trip(1e6, LevelUnit::Rate), Some(1e6));
        assert!(round_trip(0.0, LevelUnit::Rate).unwrap() < 0.01);
    }
}
