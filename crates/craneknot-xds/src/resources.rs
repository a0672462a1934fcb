//! The resources, with the fields that are used here; unknown fields in input are ignored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::discovery::Locality;

/// `envoy.config.core.v3.SocketAddress`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SocketAddress {
    pub address: String,
    #[serde(alias = "portValue")]
    pub port_value: u16,
}

impl SocketAddress {
    /// Parses `address:port`.
    pub fn parse(text: &str) -> Option<Self> {
        let (address, port) = text.rsplit_once(':')?;
        let address = address.trim_start_matches('[').trim_end_matches(']');
        Some(SocketAddress { address: address.to_owned(), port_value: port.parse().ok()? })
    }

    /// Formats as `address:port`, the name by which the controller knows a server.
    pub fn text(&self) -> String {
        match self.address.contains(':') {
            true => format!("[{}]:{}", self.address, self.port_value),
            false => format!("{}:{}", self.address, self.port_value),
        }
    }
}

/// `envoy.config.core.v3.Address`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    #[serde(alias = "socketAddress")]
    pub socket_address: SocketAddress,
}

/// `envoy.config.endpoint.v3.Endpoint`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    pub address: Address,
}

/// `envoy.config.core.v3.HealthStatus`, limited to the values in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum HealthStatus {
    #[default]
    Unknown,
    Healthy,
    Unhealthy,
    Draining,
    Timeout,
    Degraded,
}

/// `envoy.config.endpoint.v3.LbEndpoint`: a line of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LbEndpoint {
    pub endpoint: Endpoint,
    #[serde(alias = "healthStatus", default)]
    pub health_status: HealthStatus,
    /// At least 1; the sum over a table must fit in 32 bits.
    #[serde(alias = "loadBalancingWeight")]
    pub load_balancing_weight: u32,
}

/// `envoy.config.endpoint.v3.LocalityLbEndpoints`: the lines of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalityLbEndpoints {
    #[serde(default)]
    pub locality: Locality,
    #[serde(alias = "lbEndpoints", default)]
    pub lb_endpoints: Vec<LbEndpoint>,
}

/// `envoy.config.endpoint.v3.ClusterLoadAssignment`: a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterLoadAssignment {
    #[serde(rename = "@type", default)]
    pub kind: String,
    #[serde(alias = "clusterName")]
    pub cluster_name: String,
    #[serde(default)]
    pub endpoints: Vec<LocalityLbEndpoints>,
}

/// `envoy.config.core.v3.ConfigSource`: the source of a cluster's endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSource {
    #[serde(alias = "pathConfigSource")]
    pub path_config_source: PathConfigSource,
    #[serde(alias = "resourceApiVersion", default)]
    pub resource_api_version: String,
}

/// `envoy.config.core.v3.PathConfigSource`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathConfigSource {
    pub path: String,
}

/// `envoy.config.cluster.v3.Cluster.EdsClusterConfig`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdsClusterConfig {
    #[serde(alias = "edsConfig")]
    pub eds_config: ConfigSource,
    #[serde(alias = "serviceName")]
    pub service_name: String,
}

/// `envoy.config.cluster.v3.Cluster`: a class, bound to a table by its service name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cluster {
    #[serde(rename = "@type", default)]
    pub kind: String,
    pub name: String,
    #[serde(rename = "type", default)]
    pub discovery: String,
    #[serde(alias = "edsClusterConfig")]
    pub eds_cluster_config: EdsClusterConfig,
    #[serde(alias = "lbPolicy", default)]
    pub lb_policy: String,
}

/// `envoy.config.route.v3.RouteMatch`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteMatch {
    pub prefix: String,
}

/// `envoy.config.route.v3.RetryPolicy`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Conditions, separated by commas.
    #[serde(alias = "retryOn")]
    pub retry_on: String,
    #[serde(alias = "numRetries")]
    pub num_retries: u32,
    /// Keeps a retry away from servers that were already tried.
    #[serde(alias = "retryHostPredicate", default, skip_serializing_if = "Vec::is_empty")]
    pub retry_host_predicate: Vec<Named>,
}

/// An extension, identified by its name alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    pub name: String,
}

/// `envoy.config.route.v3.RouteAction`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteAction {
    pub cluster: String,
    #[serde(alias = "retryPolicy", default, skip_serializing_if = "Option::is_none")]
    pub retry_policy: Option<RetryPolicy>,
}

/// The configuration of one filter for a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "@type")]
pub enum FilterConfig {
    /// A level in operations per second.
    #[serde(rename = "type.googleapis.com/envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit")]
    LocalRateLimit {
        stat_prefix: String,
        token_bucket: TokenBucket,
        /// Status of rejected operations; an empty value means the published default, 429.
        #[serde(default)]
        status: HttpStatus,
    },
    /// A level as a share: the remaining operations are answered immediately with the status of `abort`.
    #[serde(rename = "type.googleapis.com/envoy.extensions.filters.http.fault.v3.HTTPFault")]
    HttpFault { abort: FaultAbort },
}

/// `envoy.type.v3.HttpStatus`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpStatus {
    /// The code's name in the published enumeration.
    pub code: String,
}

/// `envoy.type.v3.TokenBucket`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenBucket {
    pub max_tokens: u32,
    pub tokens_per_fill: u32,
    /// Seconds with up to nine decimals and the suffix `s`, as in proto3's JSON mapping of durations.
    pub fill_interval: String,
}

/// `envoy.extensions.filters.http.fault.v3.FaultAbort`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultAbort {
    pub http_status: u32,
    pub percentage: FractionalPercent,
}

/// `envoy.type.v3.FractionalPercent`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FractionalPercent {
    pub numerator: u32,
    /// `MILLION` when encoded here.
    pub denominator: String,
}

/// `envoy.config.route.v3.Route`: the route of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    #[serde(rename = "match")]
    pub matches: RouteMatch,
    pub route: RouteAction,
    #[serde(alias = "typedPerFilterConfig", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub typed_per_filter_config: BTreeMap<String, FilterConfig>,
}

/// `envoy.config.route.v3.VirtualHost`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VirtualHost {
    pub name: String,
    pub domains: Vec<String>,
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// `envoy.config.route.v3.RouteConfiguration`: the levels and retries of a table's classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    #[serde(rename = "@type", default)]
    pub kind: String,
    pub name: String,
    #[serde(alias = "virtualHosts", default)]
    pub virtual_hosts: Vec<VirtualHost>,
}
