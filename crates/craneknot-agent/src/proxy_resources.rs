//! The resources that a proxy uses, and which new ones may replace them. A response is accepted or rejected
//! as a whole. Bindings are applied only once the tables that they name are present, so that a proxy is never
//! bound to a table that it does not have.

use std::collections::BTreeMap;

use craneknot_xds::convert;
use craneknot_xds::discovery::{self, DiscoveryResponse, FileVersion, Kind, Status};
use craneknot_xds::resources::{Cluster, ClusterLoadAssignment, RouteConfiguration};

const MAX_TABLES: usize = 4_096; // a proxy has a few classes and one table for each
const MAX_TABLE_LINES: usize = 20_000; // more than any fleet has servers
/// Number of replacements of the bindings for which an unreferenced table is kept: its binding may be in
/// transit.
const TABLE_RETENTION: u64 = 2;

/// The version of a resource: the coordinator that sent it, with its epoch, and a number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Version {
    pub source: String,
    pub number: u64,
}

impl Version {
    pub fn parse(text: &str) -> Option<Self> {
        let (source, number) = text.rsplit_once('/')?;
        Some(Version { source: source.to_owned(), number: number.parse().ok()? })
    }

    pub fn text(&self) -> String {
        if self.source.is_empty() {
            String::new()
        } else {
            format!("{}/{}", self.source, self.number)
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Resource {
    text: String,
    /// The number of binding replacements before this resource was received.
    swaps_before: u64,
    /// The table that a binding names; empty for other kinds.
    table: String,
}

type Contents = BTreeMap<String, Resource>;

/// A file that is ready to be written; call [`ProxyResources::commit`] once it has been.
#[derive(Clone, Debug, PartialEq)]
pub struct Staged {
    pub kind: Kind,
    pub version: Version,
    pub text: String,
    contents: Contents,
}

/// The outcome of evaluating a valid response.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Swap(Staged),
    /// Bindings whose tables have not been received yet.
    Warming {
        missing: String,
    },
}

/// The resources that a proxy uses, by kind, with their versions, and the bindings that wait for their
/// tables.
#[derive(Default)]
pub struct ProxyResources {
    contents: BTreeMap<Kind, Contents>,
    versions: BTreeMap<Kind, Version>,
    warming: Option<Staged>,
    swaps: u64,
}

impl ProxyResources {
    /// Restores the contents of a file that was written before a restart of the agent; a damaged file is
    /// rejected.
    pub fn restore(&mut self, kind: Kind, text: &[u8]) -> Result<(), String> {
        let (version, response) = discovery::read_file(kind, text).map_err(|error| error.to_string())?;
        let FileVersion { source, number, .. } = version;
        let contents = self.parse(kind, &response).map_err(|status| status.message)?;
        self.contents.insert(kind, contents);
        self.versions.insert(kind, Version { source, number });
        Ok(())
    }

    pub fn version(&self, kind: Kind) -> Version {
        self.versions.get(&kind).cloned().unwrap_or_default()
    }

    /// The latest epoch among all applied versions.
    pub fn epoch(&self) -> u64 {
        self.versions.values().map(|version| discovery::epoch_of(&version.source)).max().unwrap_or(0)
    }

    /// The table that each class is bound to.
    pub fn bound_tables(&self) -> BTreeMap<String, String> {
        let clusters = self.contents.get(&Kind::Clusters).into_iter().flatten();
        clusters.map(|(class, binding)| (class.clone(), binding.table.clone())).collect()
    }

    /// Fingerprints of each bound table's lines and levels, by table: a coordinator that takes over need not
    /// send these again.
    pub fn fingerprints(&self) -> BTreeMap<String, (String, String)> {
        let fingerprint = |kind: Kind, table: &String| {
            let resource = self.contents.get(&kind).and_then(|contents| contents.get(table));
            resource.map_or(String::new(), |resource| discovery::fingerprint(resource.text.as_bytes()))
        };
        let tables = self.bound_tables().into_values();
        tables
            .map(|t| (t.clone(), (fingerprint(Kind::Endpoints, &t), fingerprint(Kind::Routes, &t))))
            .collect()
    }

    fn contents_of(&self, kind: Kind) -> Contents {
        self.contents.get(&kind).cloned().unwrap_or_default()
    }

    /// Parses every resource of a response; the first invalid one rejects the whole response.
    fn parse(&self, kind: Kind, response: &DiscoveryResponse) -> Result<Contents, Status> {
        if response.type_url != kind.type_url() {
            return Err(Status::invalid(format!("{} in place of {}", response.type_url, kind.type_url())));
        }
        if response.resources.len() > MAX_TABLES {
            return Err(Status::invalid(format!(
                "{} resources; {MAX_TABLES} at most",
                response.resources.len()
            )));
        }
        let mut contents = Contents::new();
        for (index, resource_json) in response.resources.iter().enumerate() {
            let text = resource_json.get();
            let invalid = |cause: String| Status::invalid(format!("resource {index}: {cause}"));
            let (name, table) = match kind {
                Kind::Endpoints => (table_name(text), String::new()),
                Kind::Routes => (routes_name(text), String::new()),
                Kind::Clusters => match cluster_names(text) {
                    Ok((name, table)) => (Ok(name), table),
                    Err(cause) => (Err(cause), String::new()),
                },
            };
            let name = name.map_err(invalid)?;
            let resource = Resource { text: text.to_owned(), swaps_before: self.swaps, table };
            if contents.insert(name.clone(), resource).is_some() {
                return Err(invalid(format!("{name:?} comes twice")));
            }
        }
        Ok(contents)
    }

    /// Decides whether a response can be applied now; an error rejects it. Changes no applied resource.
    pub fn evaluate(&mut self, kind: Kind, response: &DiscoveryResponse) -> Result<Verdict, Status> {
        let version = Version::parse(&response.version_info).ok_or_else(|| {
            Status::invalid(format!("version {:?} is not source/number", response.version_info))
        })?;
        // A late order of a former coordinator must not be applied after one of a later epoch.
        let (epoch, applied) = (discovery::epoch_of(&version.source), self.epoch());
        if epoch < applied {
            return Err(Status::outdated(format!(
                "epoch {epoch} is older than {applied}, which was followed"
            )));
        }
        let received = self.parse(kind, response)?;
        let contents = match kind {
            // Tables and levels are sent incrementally; bindings are always sent in full.
            Kind::Endpoints | Kind::Routes => {
                let mut contents = self.contents_of(kind);
                contents.extend(received);
                contents
            }
            Kind::Clusters => received,
        };
        if contents.len() > MAX_TABLES {
            return Err(Status::invalid(format!("{} tables held; {MAX_TABLES} at most", contents.len())));
        }
        let staged = self.stage(kind, version, contents);
        match self.missing(&staged) {
            None => Ok(Verdict::Swap(staged)),
            Some(missing) => {
                self.warming = Some(staged);
                Ok(Verdict::Warming { missing })
            }
        }
    }

    fn stage(&self, kind: Kind, version: Version, contents: Contents) -> Staged {
        let resources: Vec<&str> = contents.values().map(|resource| resource.text.as_str()).collect();
        let text = discovery::file_text(kind, &version.source, version.number, &resources);
        Staged { kind, version, text, contents }
    }

    /// The first table that bindings name and that is not present.
    fn missing(&self, staged: &Staged) -> Option<String> {
        let tables = self.contents.get(&Kind::Endpoints);
        let is_present = |name: &String| tables.is_some_and(|tables| tables.contains_key(name));
        let named = staged.contents.values().map(|resource| &resource.table).filter(|name| !name.is_empty());
        named.into_iter().find(|name| !is_present(name)).cloned()
    }

    /// Records that a staged file has been written. Returns bindings that waited for it and can now be
    /// applied.
    pub fn commit(&mut self, staged: Staged) -> Option<Staged> {
        let Staged { kind, version, contents, .. } = staged;
        self.versions.insert(kind, version);
        if kind == Kind::Clusters {
            self.swaps += 1;
            let swaps = self.swaps;
            for kind in [Kind::Endpoints, Kind::Routes] {
                let is_named = |name: &String| contents.values().any(|resource| resource.table == *name);
                let tables = self.contents.entry(kind).or_default();
                tables.retain(|name, table| is_named(name) || table.swaps_before + TABLE_RETENTION > swaps);
            }
            self.warming = None;
        }
        self.contents.insert(kind, contents);
        match self.warming.take() {
            Some(staged) if self.missing(&staged).is_some() => {
                self.warming = Some(staged);
                None
            }
            other => other,
        }
    }

    /// Discards the waiting bindings and returns the status that rejects them.
    pub fn cancel_warming(&mut self) -> Option<Status> {
        let staged = self.warming.take()?;
        let missing = self.missing(&staged).unwrap_or_default();
        Some(Status::invalid(format!("table {missing:?} never came")))
    }

    /// The lines of the table that a class is bound to.
    pub fn lines(&self, class: &str) -> Option<Vec<(String, f64)>> {
        let table = &self.contents.get(&Kind::Clusters)?.get(class)?.table;
        let text = &self.contents.get(&Kind::Endpoints)?.get(table)?.text;
        serde_json::from_str(text).ok().map(|table| convert::lines(&table))
    }
}

fn table_name(text: &str) -> Result<String, String> {
    let table: ClusterLoadAssignment = serde_json::from_str(text).map_err(|cause| cause.to_string())?;
    if table.cluster_name.is_empty() {
        return Err("a table without a name".into());
    }
    let endpoints = || table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints);
    if endpoints().count() > MAX_TABLE_LINES {
        return Err(format!("table {:?} has more than {MAX_TABLE_LINES} lines", table.cluster_name));
    }
    let mut weights: u64 = 0;
    for endpoint in endpoints() {
        let address = &endpoint.endpoint.address.socket_address;
        if address.address.parse::<std::net::IpAddr>().is_err() || address.port_value == 0 {
            return Err(format!("{:?} is no address that can be dialled", address.text()));
        }
        if endpoint.load_balancing_weight == 0 {
            return Err(format!("{} has weight 0; weights begin with 1", address.text()));
        }
        weights += u64::from(endpoint.load_balancing_weight);
    }
    match u32::try_from(weights) {
        Ok(_) => Ok(table.cluster_name),
        Err(_) => Err(format!("the weights of table {:?} exceed 32 bits", table.cluster_name)),
    }
}

fn routes_name(text: &str) -> Result<String, String> {
    let routes: RouteConfiguration = serde_json::from_str(text).map_err(|cause| cause.to_string())?;
    for route in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
        convert::admission(route)?;
    }
    if routes.name.is_empty() {
        Err("routes without a name".into())
    } else {
        Ok(routes.name)
    }
}

fn cluster_names(text: &str) -> Result<(String, String), String> {
    let cluster: Cluster = serde_json::from_str(text).map_err(|cause| cause.to_string())?;
    let table = cluster.eds_cluster_config.service_name;
    if cluster.name.is_empty() || table.is_empty() {
        return Err("a cluster without a name or a service name".into());
    }
    Ok((cluster.name, table))
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot_xds::resources::HealthStatus;
    use serde_json::value::RawValue;

    fn response(kind: Kind, number: u64, resources: Vec<String>) -> DiscoveryResponse {
        DiscoveryResponse {
            version_info: format!("a-1/{number}"),
            type_url: kind.type_url().to_owned(),
            resources: resources.into_iter().map(|text| RawValue::from_string(text).unwrap()).collect(),
            nonce: "1".into(),
        }
    }

    fn table(name: &str, port: u16) -> String {
        let server = format!("127.0.0.1:{port}");
        let line =
            convert::Line { server: &server, zone: "north", weight: 1.0, health: HealthStatus::Healthy };
        serde_json::to_string(&convert::table(name, &[line])).unwrap()
    }

    fn cluster(class: &str, table: &str) -> String {
        serde_json::to_string(&convert::cluster(class, table, "RANDOM")).unwrap()
    }

    fn apply(resources: &mut ProxyResources, kind: Kind, number: u64, added: Vec<String>) -> Vec<Kind> {
        match resources.evaluate(kind, &response(kind, number, added)).unwrap() {
            Verdict::Swap(staged) => {
                let mut applied = vec![kind];
                let mut next = resources.commit(staged);
                while let Some(staged) = next {
                    applied.push(staged.kind);
                    next = resources.commit(staged);
                }
                applied
            }
            Verdict::Warming { .. } => Vec::new(),
        }
    }

    /// A binding that arrives before its table must not leave the proxy without lines.
    #[test]
    fn bindings_wait_for_their_tables() {
        let mut resources = ProxyResources::default();
        assert_eq!(apply(&mut resources, Kind::Clusters, 1, vec![cluster("read", "t1")]), []);
        assert_eq!(resources.lines("read"), None);
        let applied = apply(&mut resources, Kind::Endpoints, 1, vec![table("t1", 9)]);
        assert_eq!(applied, [Kind::Endpoints, Kind::Clusters]);
        assert_eq!(resources.lines("read"), Some(vec![("127.0.0.1:9".to_owned(), 1.0)]));
        assert_eq!(apply(&mut resources, Kind::Clusters, 2, vec![cluster("read", "t2")]), []);
        assert!(resources.cancel_warming().unwrap().message.contains("t2"));
        assert!(resources.lines("read").is_some());
    }

    /// Applying a binding that waited must not drop the tables that a later binding will name.
    #[test]
    fn tables_are_kept_for_a_while_after_their_binding() {
        let mut resources = ProxyResources::default();
        apply(&mut resources, Kind::Endpoints, 1, vec![table("t1", 1)]);
        apply(&mut resources, Kind::Clusters, 1, vec![cluster("read", "t1")]);
        apply(&mut resources, Kind::Endpoints, 2, vec![table("t2", 2)]);
        apply(&mut resources, Kind::Clusters, 2, vec![cluster("read", "t1"), cluster("write", "t1")]);
        assert_eq!(apply(&mut resources, Kind::Clusters, 3, vec![cluster("read", "t2")]), [Kind::Clusters]);
        for number in 4..8 {
            apply(&mut resources, Kind::Clusters, number, vec![cluster("read", "t2")]);
        }
        assert_eq!(resources.contents_of(Kind::Endpoints).keys().collect::<Vec<_>>(), ["t2"]);
    }

    #[test]
    fn one_invalid_resource_rejects_the_whole_response() {
        let mut resources = ProxyResources::default();
        apply(&mut resources, Kind::Endpoints, 1, vec![table("t1", 9)]);
        let before = resources.contents_of(Kind::Endpoints);
        let zero_weight = table("t3", 9).replace("10000", "0");
        let invalid_address = table("t3", 9).replace("127.0.0.1", "somewhere");
        for invalid in [zero_weight, invalid_address, "{}".to_owned(), "[]".to_owned(), table("t2", 7)] {
            let answer = response(Kind::Endpoints, 2, vec![table("t2", 8), invalid]);
            assert!(resources.evaluate(Kind::Endpoints, &answer).is_err());
            assert_eq!(resources.contents_of(Kind::Endpoints), before);
        }
        let other = response(Kind::Routes, 2, vec![]);
        assert!(resources.evaluate(Kind::Endpoints, &other).is_err());
    }

    #[test]
    fn a_restart_restores_the_files_and_rejects_a_truncated_one() {
        let mut resources = ProxyResources::default();
        let text = |resources: &mut ProxyResources, kind, added| {
            let Ok(Verdict::Swap(staged)) = resources.evaluate(kind, &response(kind, 3, added)) else {
                panic!()
            };
            let text = staged.text.clone();
            resources.commit(staged);
            text
        };
        let endpoints = text(&mut resources, Kind::Endpoints, vec![table("t1", 9)]);
        let clusters = text(&mut resources, Kind::Clusters, vec![cluster("read", "t1")]);
        let mut restored = ProxyResources::default();
        restored.restore(Kind::Endpoints, endpoints.as_bytes()).unwrap();
        restored.restore(Kind::Clusters, clusters.as_bytes()).unwrap();
        assert_eq!(
            (restored.lines("read"), restored.version(Kind::Endpoints).text().as_str()),
            (resources.lines("read"), "a-1/3")
        );
        assert!(ProxyResources::default()
            .restore(Kind::Endpoints, &endpoints.as_bytes()[..endpoints.len() - 9])
            .is_err());
    }
}
