//! `envoy.service.discovery.v3`: requests and responses, in the form used by the REST-JSON variant and in files.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// The supported kinds of resource, in the order in which they must be applied: a resource precedes the bindings that
/// refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Tables: `ClusterLoadAssignment`.
    Endpoints,
    /// Levels and retries: `RouteConfiguration`.
    Routes,
    /// Bindings: `Cluster`.
    Clusters,
}

impl Kind {
    /// All kinds, in the order in which they must be applied.
    pub const ALL: [Kind; 3] = [Kind::Endpoints, Kind::Routes, Kind::Clusters];

    /// The type URL of the published resource.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Routes => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
            Kind::Clusters => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        }
    }

    /// The path of the REST-JSON variant.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Endpoints => "/v3/discovery:endpoints",
            Kind::Routes => "/v3/discovery:routes",
            Kind::Clusters => "/v3/discovery:clusters",
        }
    }

    /// The name of the file that a proxy watches.
    pub fn file(self) -> &'static str {
        match self {
            Kind::Endpoints => "endpoints.json",
            Kind::Routes => "routes.json",
            Kind::Clusters => "clusters.json",
        }
    }

    /// The kind with that REST-JSON path.
    pub fn from_path(path: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.path() == path)
    }

    /// The kind with that type URL.
    pub fn from_type_url(type_url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.type_url() == type_url)
    }
}

/// `envoy.config.core.v3.Locality`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Locality {
    #[serde(skip_serializing_if = "String::is_empty")]
    pub region: String,
    pub zone: String,
    #[serde(alias = "subZone", skip_serializing_if = "String::is_empty")]
    pub sub_zone: String,
}

impl Locality {
    /// A locality that has only a zone.
    pub fn zone(zone: &str) -> Self {
        Locality { zone: zone.to_owned(), ..Locality::default() }
    }
}

/// `envoy.config.core.v3.Node`: the sender of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Node {
    pub id: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cluster: String,
    pub locality: Locality,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub metadata: BTreeMap<String, serde_json::Value>,
}

/// `google.rpc.Status`: why a response was rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    pub code: i32,
    pub message: String,
}

impl Status {
    /// `FAILED_PRECONDITION`: an order whose epoch is older than one already applied.
    pub fn outdated(message: impl Into<String>) -> Self {
        Status { code: 9, message: message.into() }
    }

    /// `INVALID_ARGUMENT`.
    pub fn invalid(message: impl Into<String>) -> Self {
        Status { code: 3, message: message.into() }
    }

    /// `RESOURCE_EXHAUSTED`: the disk is full.
    pub fn exhausted(message: impl Into<String>) -> Self {
        Status { code: 8, message: message.into() }
    }
}

/// Reports the version that a node has of one kind of resource, and asks for the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiscoveryRequest {
    /// The last accepted version; empty if there is none.
    #[serde(alias = "versionInfo")]
    pub version_info: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<Node>,
    #[serde(alias = "resourceNames", skip_serializing_if = "Vec::is_empty")]
    pub resource_names: Vec<String>,
    #[serde(alias = "typeUrl")]
    pub type_url: String,
    /// The nonce of the response that this request accepts or rejects; empty in the first request of a stream.
    #[serde(alias = "responseNonce")]
    pub response_nonce: String,
    /// Present if the response with that nonce was rejected.
    #[serde(alias = "errorDetail", skip_serializing_if = "Option::is_none")]
    pub error_detail: Option<Status>,
}

/// Resources of one kind. The text of each resource is kept as received.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DiscoveryResponse {
    #[serde(alias = "versionInfo")]
    pub version_info: String,
    pub resources: Vec<Box<RawValue>>,
    #[serde(alias = "typeUrl")]
    pub type_url: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub nonce: String,
}

/// The version of a file: the source of its orders, a number, and a checksum of its resources, by which a reader
/// detects a torn file whatever its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileVersion {
    pub source: String,
    pub number: u64,
    pub checksum: u64,
}

impl fmt::Display for FileVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{:016x}", self.source, self.number, self.checksum)
    }
}

impl FileVersion {
    /// Parses the text form `source/number/checksum`; the source may contain slashes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(3, '/');
        let checksum = u64::from_str_radix(parts.next()?, 16).ok()?;
        let number = parts.next()?.parse().ok()?;
        Some(FileVersion { source: parts.next()?.to_owned(), number, checksum })
    }
}

/// A source's name prefixed with the epoch of its orders; epoch 0 has no prefix.
pub fn source_with_epoch(epoch: u64, source: &str) -> String {
    if epoch == 0 {
        source.to_owned()
    } else {
        format!("e{epoch}:{source}")
    }
}

/// The epoch of a version or a source; 0 if it has no epoch prefix.
pub fn epoch_of(version: &str) -> u64 {
    let prefix = version.strip_prefix('e').and_then(|rest| rest.split_once(':'));
    prefix.and_then(|(digits, _)| digits.parse().ok()).unwrap_or(0)
}

/// Fingerprint (XXH3) of a resource's text, in hexadecimal digits.
pub fn fingerprint(text: &[u8]) -> String {
    format!("{:016x}", xxh3_64(text))
}

/// The checksum (XXH3) of resources as written to a file.
pub fn checksum<'a>(resources: impl Iterator<Item = &'a str>) -> u64 {
    let mut text = String::new();
    for resource in resources {
        text.push_str(resource);
        text.push('\n');
    }
    xxh3_64(text.as_bytes())
}

/// The text of a file that a proxy watches.
pub fn file_text(kind: Kind, source: &str, number: u64, resources: &[&str]) -> String {
    let checksum = checksum(resources.iter().copied());
    let version = FileVersion { source: source.to_owned(), number, checksum };
    let quoted = serde_json::Value::from(version.to_string());
    let body = resources.join(",\n");
    format!("{{\"version_info\":{quoted},\"type_url\":\"{}\",\"resources\":[\n{body}\n]}}\n", kind.type_url())
}

/// Why a file differs from what an agent writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// Not a complete discovery response.
    Malformed(String),
    /// The kind of resource differs from the one that the file name implies.
    WrongKind(String),
    /// The resources do not match the version's checksum: the file is torn, or another program wrote it.
    Torn,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Malformed(cause) => write!(f, "not a complete discovery response: {cause}"),
            FileError::WrongKind(type_url) => write!(f, "wrong resource type: {type_url}"),
            FileError::Torn => write!(f, "its resources do not match the checksum in its version"),
        }
    }
}

/// Parses a file written by an agent, and checks its kind and checksum.
pub fn read_file(kind: Kind, text: &[u8]) -> Result<(FileVersion, DiscoveryResponse), FileError> {
    let response: DiscoveryResponse =
        serde_json::from_slice(text).map_err(|cause| FileError::Malformed(cause.to_string()))?;
    if response.type_url != kind.type_url() {
        return Err(FileError::WrongKind(response.type_url));
    }
    let version = FileVersion::parse(&response.version_info).ok_or(FileError::Torn)?;
    match checksum(response.resources.iter().map(|resource| resource.get())) == version.checksum {
        true => Ok((version, response)),
        false => Err(FileError::Torn),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn truncated_and_mixed_files_are_detected() {
        let text = file_text(
            Kind::Endpoints,
            "a-17",
            3,
            &["{\"cluster_name\":\"t1\"}", "{\"cluster_name\":\"t2\"}"],
        );
        let (version, response) = read_file(Kind::Endpoints, text.as_bytes()).unwrap();
        assert_eq!((version.source.as_str(), version.number, response.resources.len()), ("a-17", 3, 2));
        for end in 0..text.trim_end().len() {
            assert!(read_file(Kind::Endpoints, &text.as_bytes()[..end]).is_err(), "cut at {end}");
        }
        let other = file_text(
            Kind::Endpoints,
            "a-17",
            4,
            &["{\"cluster_name\":\"t1\"}", "{\"cluster_name\":\"t3\"}"],
        );
        let mixed = format!("{}{}", &text[..text.len() / 2], &other[text.len() / 2..]);
        assert_eq!(read_file(Kind::Endpoints, mixed.as_bytes()).unwrap_err(), FileError::Torn);
        assert!(matches!(read_file(Kind::Routes, text.as_bytes()), Err(FileError::WrongKind(_))));
    }
}
