//! What a proxy holds, and what may take its place. A response is taken whole or refused whole; bindings are
//! swapped in only once the tables they name are there, so that a proxy never follows a binding into nothing.

use std::collections::BTreeMap;

use craneknot_xds::convert;
use craneknot_xds::discovery::{self, DiscoveryResponse, FileVersion, Kind, Status};
use craneknot_xds::resources::{Cluster, ClusterLoadAssignment, RouteConfiguration};

const TABLES_MOST: usize = 4_096; // tables a proxy can hold: it has a few classes and one table for each
const LINES_MOST: usize = 20_000; // lines of a table: more than any fleet has servers
const KEPT: u64 = 2; // swaps of bindings that a table outlasts without being named: its binding may be on its way

/// Who ordered something, and its number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Version {
    pub source: String,
    pub number: u64,
}

impl Version {
    pub fn read(text: &str) -> Option<Self> {
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
struct Held {
    text: String,
    /// Swaps of bindings there had been when it came.
    came: u64,
    /// The table that a binding names.
    table: String,
}

type Contents = BTreeMap<String, Held>;

/// A file that is to be swapped in; [`Holding::commit`] once it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Staged {
    pub kind: Kind,
    pub version: Version,
    pub text: String,
    contents: Contents,
}

/// What becomes of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Swap(Staged),
    /// Bindings whose tables have not come yet.
    Warming {
        missing: String,
    },
}

#[derive(Default)]
pub struct Holding {
    contents: BTreeMap<Kind, Contents>,
    versions: BTreeMap<Kind, Version>,
    warming: Option<Staged>,
    swaps: u64,
}

impl Holding {
    /// Takes what a file holds that an earlier life of the agent left; one that is not whole counts as not there.
    pub fn restore(&mut self, kind: Kind, text: &[u8]) -> Result<(), String> {
        let (version, response) = discovery::read_file(kind, text).map_err(|fault| fault.to_string())?;
        let FileVersion { source, number, .. } = version;
        let contents = self.read(kind, &response).map_err(|status| status.message)?;
        self.contents.insert(kind, contents);
        self.versions.insert(kind, Version { source, number });
        Ok(())
    }

    pub fn version(&self, kind: Kind) -> Version {
        self.versions.get(&kind).cloned().unwrap_or_default()
    }

    /// The latest epoch that was followed, of all that stands on the disk.
    pub fn epoch(&self) -> u64 {
        self.versions.values().map(|version| discovery::epoch_of(&version.source)).max().unwrap_or(0)
    }

    /// The table that each class is bound to.
    pub fn bound(&self) -> BTreeMap<String, String> {
        let clusters = self.contents.get(&Kind::Clusters).into_iter().flatten();
        clusters.map(|(class, held)| (class.clone(), held.table.clone())).collect()
    }

    /// Prints of what a coordinator that takes over need not send again: by table its lines and its levels.
    pub fn prints(&self) -> BTreeMap<String, (String, String)> {
        let text = |kind: Kind, table: &String| {
            let held = self.contents.get(&kind).and_then(|contents| contents.get(table));
            held.map_or(String::new(), |held| discovery::fingerprint(held.text.as_bytes()))
        };
        let tables = self.bound().into_values();
        tables.map(|t| (t.clone(), (text(Kind::Endpoints, &t), text(Kind::Routes, &t)))).collect()
    }

    fn of(&self, kind: Kind) -> Contents {
        self.contents.get(&kind).cloned().unwrap_or_default()
    }

    /// Reads every resource of a response; the first that a proxy could not take refuses them all.
    fn read(&self, kind: Kind, response: &DiscoveryResponse) -> Result<Contents, Status> {
        if response.type_url != kind.type_url() {
            return Err(Status::invalid(format!("{} in place of {}", response.type_url, kind.type_url())));
        }
        if response.resources.len() > TABLES_MOST {
            return Err(Status::invalid(format!(
                "{} resources; {TABLES_MOST} at most",
                response.resources.len()
            )));
        }
        let mut contents = Contents::new();
        for (place, resource) in response.resources.iter().enumerate() {
            let text = resource.get();
            let wrong = |cause: String| Status::invalid(format!("resource {place}: {cause}"));
            let (name, table) = match kind {
                Kind::Endpoints => (table_name(text), String::new()),
                Kind::Routes => (routes_name(text), String::new()),
                Kind::Clusters => match cluster_names(text) {
                    Ok((name, table)) => (Ok(name), table),
                    Err(cause) => (Err(cause), String::new()),
                },
            };
            let name = name.map_err(wrong)?;
            let held = Held { text: text.to_owned(), came: self.swaps, table };
            if contents.insert(name.clone(), held).is_some() {
                return Err(wrong(format!("{name:?} comes twice")));
            }
        }
        Ok(contents)
    }

    /// Weighs a response.
    pub fn weigh(&mut self, kind: Kind, response: &DiscoveryResponse) -> Result<Verdict, Status> {
        let version = Version::read(&response.version_info).ok_or_else(|| {
            Status::invalid(format!("version {:?} is not source/number", response.version_info))
        })?;
        // A former coordinator's order, however late it comes, is never followed after one of a later epoch.
        let (epoch, followed) = (discovery::epoch_of(&version.source), self.epoch());
        if epoch < followed {
            return Err(Status::outdated(format!(
                "epoch {epoch} is older than {followed}, which was followed"
            )));
        }
        let news = self.read(kind, response)?;
        let contents = match kind {
            // Tables and levels come as they change; bindings always come whole.
            Kind::Endpoints | Kind::Routes => {
                let mut contents = self.of(kind);
                contents.extend(news);
                contents
            }
            Kind::Clusters => news,
        };
        if contents.len() > TABLES_MOST {
            return Err(Status::invalid(format!("{} tables held; {TABLES_MOST} at most", contents.len())));
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
        let resources: Vec<&str> = contents.values().map(|held| held.text.as_str()).collect();
        let text = discovery::file_text(kind, &version.source, version.number, &resources);
        Staged { kind, version, text, contents }
    }

    /// The first table that bindings name and that is not there.
    fn missing(&self, staged: &Staged) -> Option<String> {
        let tables = self.contents.get(&Kind::Endpoints);
        let there = |name: &String| tables.is_some_and(|tables| tables.contains_key(name));
        let named = staged.contents.values().map(|held| &held.table).filter(|name| !name.is_empty());
        named.into_iter().find(|name| !there(name)).cloned()
    }

    /// A staged file has been swapped in. Bindings that waited for it can follow: they are given back.
    pub fn commit(&mut self, staged: Staged) -> Option<Staged> {
        let Staged { kind, version, contents, .. } = staged;
        self.versions.insert(kind, version);
        if kind == Kind::Clusters {
            self.swaps += 1;
            let swaps = self.swaps;
            for kind in [Kind::Endpoints, Kind::Routes] {
                let named = |name: &String| contents.values().any(|held| held.table == *name);
                let held = self.contents.entry(kind).or_default();
                held.retain(|name, held| named(name) || held.came + KEPT > swaps);
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

    /// The bindings that wait have waited too long: they are given up.
    pub fn give_up_warming(&mut self) -> Option<Status> {
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
    if endpoints().count() > LINES_MOST {
        return Err(format!("table {:?} has more than {LINES_MOST} lines", table.cluster_name));
    }
    let mut sum: u64 = 0;
    for endpoint in endpoints() {
        let address = &endpoint.endpoint.address.socket_address;
        if address.address.parse::<std::net::IpAddr>().is_err() || address.port_value == 0 {
            return Err(format!("{:?} is no address that can be dialled", address.text()));
        }
        if endpoint.load_balancing_weight == 0 {
            return Err(format!("{} has weight 0; weights begin with 1", address.text()));
        }
        sum += u64::from(endpoint.load_balancing_weight);
    }
    match u32::try_from(sum) {
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

    fn take(holding: &mut Holding, kind: Kind, number: u64, resources: Vec<String>) -> Vec<Kind> {
        match holding.weigh(kind, &response(kind, number, resources)).unwrap() {
            Verdict::Swap(staged) => {
                let mut done = vec![kind];
                let mut next = holding.commit(staged);
                while let Some(staged) = next {
                    done.push(staged.kind);
                    next = holding.commit(staged);
                }
                done
            }
            Verdict::Warming { .. } => Vec::new(),
        }
    }

    /// A binding told before its table must not leave the proxy without lines.
    #[test]
    fn bindings_wait_for_their_tables() {
        let mut holding = Holding::default();
        assert_eq!(take(&mut holding, Kind::Clusters, 1, vec![cluster("read", "t1")]), []);
        assert_eq!(holding.lines("read"), None);
        let done = take(&mut holding, Kind::Endpoints, 1, vec![table("t1", 9)]);
        assert_eq!(done, [Kind::Endpoints, Kind::Clusters]);
        assert_eq!(holding.lines("read"), Some(vec![("127.0.0.1:9".to_owned(), 1.0)]));
        assert_eq!(take(&mut holding, Kind::Clusters, 2, vec![cluster("read", "t2")]), []);
        assert!(holding.give_up_warming().unwrap().message.contains("t2"));
        assert!(holding.lines("read").is_some());
    }

    /// A binding that waits must not, once swapped in, drop the tables that a later binding will name.
    #[test]
    fn tables_outlast_their_binding_a_while() {
        let mut holding = Holding::default();
        take(&mut holding, Kind::Endpoints, 1, vec![table("t1", 1)]);
        take(&mut holding, Kind::Clusters, 1, vec![cluster("read", "t1")]);
        take(&mut holding, Kind::Endpoints, 2, vec![table("t2", 2)]);
        take(&mut holding, Kind::Clusters, 2, vec![cluster("read", "t1"), cluster("write", "t1")]);
        assert_eq!(take(&mut holding, Kind::Clusters, 3, vec![cluster("read", "t2")]), [Kind::Clusters]);
        for number in 4..8 {
            take(&mut holding, Kind::Clusters, number, vec![cluster("read", "t2")]);
        }
        assert_eq!(holding.of(Kind::Endpoints).keys().collect::<Vec<_>>(), ["t2"]);
    }

    #[test]
    fn one_bad_resource_refuses_them_all() {
        let mut holding = Holding::default();
        take(&mut holding, Kind::Endpoints, 1, vec![table("t1", 9)]);
        let before = holding.of(Kind::Endpoints);
        let weightless = table("t3", 9).replace("10000", "0");
        let nowhere = table("t3", 9).replace("127.0.0.1", "somewhere");
        for bad in [weightless, nowhere, "{}".to_owned(), "[]".to_owned(), table("t2", 7)] {
            let answer = response(Kind::Endpoints, 2, vec![table("t2", 8), bad]);
            assert!(holding.weigh(Kind::Endpoints, &answer).is_err());
            assert_eq!(holding.of(Kind::Endpoints), before);
        }
        let other = response(Kind::Routes, 2, vec![]);
        assert!(holding.weigh(Kind::Endpoints, &other).is_err());
    }

    #[test]
    fn a_new_life_goes_on_from_the_files_and_takes_no_torn_one() {
        let mut holding = Holding::default();
        let text = |holding: &mut Holding, kind, resources| {
            let Ok(Verdict::Swap(staged)) = holding.weigh(kind, &response(kind, 3, resources)) else {
                panic!()
            };
            let text = staged.text.clone();
            holding.commit(staged);
            text
        };
        let endpoints = text(&mut holding, Kind::Endpoints, vec![table("t1", 9)]);
        let clusters = text(&mut holding, Kind::Clusters, vec![cluster("read", "t1")]);
        let mut next = Holding::default();
        next.restore(Kind::Endpoints, endpoints.as_bytes()).unwrap();
        next.restore(Kind::Clusters, clusters.as_bytes()).unwrap();
        assert_eq!(
            (next.lines("read"), next.version(Kind::Endpoints).text().as_str()),
            (holding.lines("read"), "a-1/3")
        );
        assert!(Holding::default()
            .restore(Kind::Endpoints, &endpoints.as_bytes()[..endpoints.len() - 9])
            .is_err());
    }
}
