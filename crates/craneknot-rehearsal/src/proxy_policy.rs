//! A simulated proxy's policy, without I/O, as configured by its discovery files: it picks a server by weight, ejects
//! a server after several failures in a row, admits operations within its levels, and retries only as configured.

use std::collections::BTreeMap;

use craneknot::interface::{LevelUnit, Nanos, Retries};
use craneknot_xds::convert::{self, Admission};
use craneknot_xds::discovery::{epoch_of, read_file, FileError, Kind};
use craneknot_xds::resources::{Cluster, ClusterLoadAssignment, RouteConfiguration};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Why an operation is rejected immediately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// The admission level is exhausted; a retry is likely to be admitted after that time.
    Level { retry_after: Nanos },
    /// The class has no usable line.
    NoLine,
}

/// The outcome of a try, as far as retries and ejection depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    Good,
    /// It was certainly not executed.
    Unrun,
    /// It may have been executed.
    Failed,
}

/// Token bucket of a rate level.
struct Bucket {
    tokens: f64,
    updated: Nanos,
}

/// Consecutive failures of a server, and the time until which it is ejected.
#[derive(Default)]
struct Ejection {
    failures: u32,
    until: Nanos,
}

/// A proxy's tables, bindings and levels, and the decisions based on them.
pub struct ProxyPolicy {
    classes: Vec<String>,
    failures_to_eject: u32,
    ejection_time: Nanos,
    tables: BTreeMap<String, Vec<(usize, f64)>>,
    routes: BTreeMap<String, BTreeMap<usize, Admission>>,
    bindings: BTreeMap<usize, String>,
    buckets: BTreeMap<usize, Bucket>,
    ejections: BTreeMap<usize, Ejection>,
    epochs: BTreeMap<Kind, u64>,
    rng: Pcg32,
}

const DEFAULT_RETRY_AFTER: Nanos = Nanos::from_millis(1_000); // the retry delay for a rejected client where no better estimate exists

impl ProxyPolicy {
    pub fn new(classes: Vec<String>, failures_to_eject: u32, ejection_time: Nanos, seed: u64) -> Self {
        ProxyPolicy {
            classes,
            failures_to_eject,
            ejection_time,
            tables: BTreeMap::new(),
            routes: BTreeMap::new(),
            bindings: BTreeMap::new(),
            buckets: BTreeMap::new(),
            ejections: BTreeMap::new(),
            epochs: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Loads a file that was replaced on disk; `server_number` maps an address to the server's number.
    pub fn load_file(
        &mut self,
        kind: Kind,
        text: &[u8],
        server_number: &dyn Fn(&str) -> Option<usize>,
    ) -> Result<(), FileError> {
        let (version, response) = read_file(kind, text)?;
        self.epochs.insert(kind, epoch_of(&version.source));
        let malformed = |cause: serde_json::Error| FileError::Malformed(cause.to_string());
        match kind {
            Kind::Endpoints => {
                let mut tables = BTreeMap::new();
                for resource in &response.resources {
                    let table: ClusterLoadAssignment =
                        serde_json::from_str(resource.get()).map_err(malformed)?;
                    let lines = convert::lines(&table).into_iter();
                    let lines = lines
                        .filter_map(|(server, weight)| Some((server_number(&server)?, weight)))
                        .collect();
                    tables.insert(table.cluster_name, lines);
                }
                self.tables = tables;
            }
            Kind::Routes => {
                let mut all = BTreeMap::new();
                for resource in &response.resources {
                    let routes: RouteConfiguration =
                        serde_json::from_str(resource.get()).map_err(malformed)?;
                    let mut levels = BTreeMap::new();
                    for route in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
                        let Some(class) = self.class(&route.route.cluster) else { continue };
                        levels.insert(class, convert::admission(route).map_err(FileError::Malformed)?);
                    }
                    all.insert(routes.name, levels);
                }
                self.routes = all;
            }
            Kind::Clusters => {
                let mut bindings = BTreeMap::new();
                for resource in &response.resources {
                    let cluster: Cluster = serde_json::from_str(resource.get()).map_err(malformed)?;
                    if let Some(class) = self.class(&cluster.name) {
                        bindings.insert(class, cluster.eds_cluster_config.service_name);
                    }
                }
                self.bindings = bindings;
            }
        }
        Ok(())
    }

    /// The epoch of the bindings that were loaded last.
    pub fn epoch(&self) -> u64 {
        self.epochs.get(&Kind::Clusters).copied().unwrap_or(0)
    }

    fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The servers in the table of each class, as recorded in the log.
    pub fn lines(&self) -> BTreeMap<usize, Vec<usize>> {
        let servers =
            |table: &String| self.tables.get(table).into_iter().flatten().map(|line| line.0).collect();
        self.bindings.iter().map(|(class, table)| (*class, servers(table))).collect()
    }

    fn admission(&self, class: usize) -> Admission {
        let routes = self.bindings.get(&class).and_then(|table| self.routes.get(table));
        routes
            .and_then(|routes| routes.get(&class))
            .copied()
            .unwrap_or(Admission::unlimited(LevelUnit::Ignored))
    }

    /// Admits an operation, or rejects it with the time after which to retry.
    pub fn admit(&mut self, now: Nanos, class: usize) -> Result<(), Rejection> {
        let Admission { level: Some(level), unit, .. } = self.admission(class) else { return Ok(()) };
        match unit {
            LevelUnit::Ignored => Ok(()),
            LevelUnit::Share if self.rng.random::<f64>() < level => Ok(()),
            LevelUnit::Share => Err(Rejection::Level { retry_after: DEFAULT_RETRY_AFTER }),
            LevelUnit::Rate => {
                let capacity = level.ceil().max(1.0);
                let bucket = self.buckets.entry(class).or_insert(Bucket { tokens: capacity, updated: now });
                bucket.tokens = (bucket.tokens + level * (now - bucket.updated).secs()).min(capacity);
                bucket.updated = now;
                if bucket.tokens >= 1.0 {
                    bucket.tokens -= 1.0;
                    return Ok(());
                }
                let retry_after = Nanos::from_secs((1.0 - bucket.tokens) / level.max(1e-3));
                Err(Rejection::Level { retry_after })
            }
        }
    }

    /// Picks a server for a try, excluding those already tried.
    pub fn pick(&mut self, now: Nanos, class: usize, tried: &[usize]) -> Result<usize, Rejection> {
        let table = self.bindings.get(&class).and_then(|table| self.tables.get(table));
        let lines = table.into_iter().flatten().filter(|(server, _)| !tried.contains(server));
        let lines: Vec<(usize, f64)> = lines.copied().collect();
        let is_available =
            |server: &usize| self.ejections.get(server).is_none_or(|ejection| ejection.until <= now);
        let available: Vec<(usize, f64)> =
            lines.iter().filter(|(server, _)| is_available(server)).copied().collect();
        // With every server ejected, ejection is ignored: it would leave no server at all.
        let lines = if available.is_empty() { lines } else { available };
        let total_weight: f64 = lines.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.random::<f64>() * total_weight;
        for (server, weight) in &lines {
            remaining -= weight;
            if remaining < 0.0 {
                return Ok(*server);
            }
        }
        lines.last().map(|(server, _)| *server).ok_or(Rejection::NoLine)
    }

    /// Whether the proxy has ejected a server at the moment.
    pub fn is_ejected(&self, now: Nanos, server: usize) -> bool {
        self.ejections.get(&server).is_some_and(|ejection| now < ejection.until)
    }

    /// Records the outcome of a try.
    pub fn record_outcome(&mut self, now: Nanos, server: usize, tried: Tried) {
        let ejection = self.ejections.entry(server).or_default();
        match tried {
            Tried::Good => ejection.failures = 0,
            Tried::Unrun | Tried::Failed => {
                ejection.failures += 1;
                if self.failures_to_eject > 0 && ejection.failures >= self.failures_to_eject {
                    ejection.failures = 0;
                    ejection.until = now + self.ejection_time;
                }
            }
        }
    }

    /// Whether a retry may follow the last try, after `tries` in all.
    pub fn may_retry(&self, class: usize, tried: Tried, tries: usize) -> bool {
        match (self.admission(class).retries, tried) {
            (_, Tried::Good) | (Retries::Never, _) | (Retries::IfNotExecuted, Tried::Failed) => false,
            (Retries::IfNotExecuted | Retries::Once, _) => tries < 2,
            (Retries::Twice, _) => tries < 3,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use craneknot_xds::discovery::file_text;
    use craneknot_xds::resources::HealthStatus;

    fn proxy_policy(admission: Admission) -> ProxyPolicy {
        let mut policy = ProxyPolicy::new(vec!["read".into()], 2, Nanos::from_millis(3_000), 5);
        let line =
            |server, weight| convert::Line { server, zone: "a", weight, health: HealthStatus::Healthy };
        let table = convert::table("t", &[line("127.0.0.1:1", 3.0), line("127.0.0.1:2", 1.0)]);
        let routes = convert::routes("t", [("read", admission)].into_iter());
        let cluster = convert::cluster("read", "t", "RANDOM");
        let server_number = |server: &str| server.rsplit_once(':')?.1.parse().ok();
        let text = |kind, value: String| file_text(kind, "a", 1, &[&value]);
        for (kind, value) in [
            (Kind::Endpoints, serde_json::to_string(&table).unwrap()),
            (Kind::Routes, serde_json::to_string(&routes).unwrap()),
            (Kind::Clusters, serde_json::to_string(&cluster).unwrap()),
        ] {
            policy.load_file(kind, text(kind, value).as_bytes(), &server_number).unwrap();
        }
        policy
    }

    fn all(tries: Retries) -> Admission {
        Admission { level: None, unit: LevelUnit::Ignored, retries: tries }
    }

    #[test]
    fn servers_are_picked_by_weight_and_ejected_after_failures() {
        let mut policy = proxy_policy(all(Retries::Never));
        let picked = (0..4_000).filter(|_| policy.pick(Nanos(0), 0, &[]) == Ok(1)).count();
        assert!((2_850..3_150).contains(&picked), "{picked}");
        policy.record_outcome(Nanos(0), 1, Tried::Failed);
        policy.record_outcome(Nanos(0), 1, Tried::Failed);
        assert!((0..100).all(|_| policy.pick(Nanos(1), 0, &[]) == Ok(2)));
        assert!((0..100).any(|_| policy.pick(Nanos::from_millis(3_000), 0, &[]) == Ok(1)));
        assert_eq!(policy.pick(Nanos(0), 0, &[1, 2]), Err(Rejection::NoLine));
    }

    #[test]
    fn a_rate_level_admits_its_rate_and_returns_a_retry_time() {
        let rate = Admission { level: Some(4.0), unit: LevelUnit::Rate, retries: Retries::Never };
        let mut policy = proxy_policy(rate);
        let second = |second: u64, k: u64| Nanos::from_millis(10_000 + second * 1_000 + k * 10);
        let mut admitted = 0;
        for at in 0..10 {
            admitted += (0..100).filter(|k| policy.admit(second(at, *k), 0).is_ok()).count();
        }
        assert!((40..=44).contains(&admitted), "{admitted}");
        let refused = (0..9).find_map(|_| policy.admit(second(10, 0), 0).err());
        assert!(
            matches!(refused, Some(Rejection::Level { retry_after }) if retry_after <= Nanos::from_millis(250))
        );
    }

    #[test]
    fn retries_follow_the_configured_policy() {
        use Retries::*;
        for (tries, unrun, failed) in
            [(Never, false, false), (IfNotExecuted, true, false), (Once, true, true)]
        {
            let policy = proxy_policy(all(tries));
            let may = |tried| policy.may_retry(0, tried, 1);
            assert_eq!((may(Tried::Unrun), may(Tried::Failed), may(Tried::Good)), (unrun, failed, false));
            assert!(!policy.may_retry(0, Tried::Unrun, 2));
        }
        assert!(proxy_policy(all(Twice)).may_retry(0, Tried::Failed, 2));
    }
}
