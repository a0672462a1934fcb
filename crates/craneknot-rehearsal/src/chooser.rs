//! A stand-in proxy without I/O: it does as its files tell. It picks a server by weight, keeps away from one that
//! failed it several times in a row, lets in what its levels allow, and tries again only as told.

use std::collections::BTreeMap;

use craneknot::interface::{LevelUnit, Nanos, Retries};
use craneknot_xds::convert::{self, Admission};
use craneknot_xds::discovery::{epoch_of, read_file, FileError, Kind};
use craneknot_xds::resources::{Cluster, ClusterLoadAssignment, RouteConfiguration};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Why an operation is refused at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The level lets in no more; room is likely after that time.
    Level { again: Nanos },
    /// No server to pick.
    NoLine,
}

/// What a try came to, as far as it counts here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    Good,
    /// It surely never ran.
    Unrun,
    /// It may have run.
    Failed,
}

struct Bucket {
    tokens: f64,
    at: Nanos,
}

#[derive(Default)]
struct Away {
    failures: u32,
    until: Nanos,
}

pub struct Chooser {
    classes: Vec<String>,
    ejects: u32,
    keep_away: Nanos,
    tables: BTreeMap<String, Vec<(usize, f64)>>,
    routes: BTreeMap<String, BTreeMap<usize, Admission>>,
    bound: BTreeMap<usize, String>,
    buckets: BTreeMap<usize, Bucket>,
    away: BTreeMap<usize, Away>,
    epochs: BTreeMap<Kind, u64>,
    rng: Pcg32,
}

const COME_BACK: Nanos = Nanos::from_millis(1_000); // ms; what a refused client is told where nothing better is known

impl Chooser {
    pub fn new(classes: Vec<String>, ejects: u32, keep_away: Nanos, seed: u64) -> Self {
        Chooser {
            classes,
            ejects,
            keep_away,
            tables: BTreeMap::new(),
            routes: BTreeMap::new(),
            bound: BTreeMap::new(),
            buckets: BTreeMap::new(),
            away: BTreeMap::new(),
            epochs: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes up a file that was swapped in; `number` gives a server's number by its address.
    pub fn take_up(
        &mut self,
        kind: Kind,
        text: &[u8],
        number: &dyn Fn(&str) -> Option<usize>,
    ) -> Result<(), FileError> {
        let (version, response) = read_file(kind, text)?;
        self.epochs.insert(kind, epoch_of(&version.source));
        let wrong = |cause: serde_json::Error| FileError::Malformed(cause.to_string());
        match kind {
            Kind::Endpoints => {
                let mut tables = BTreeMap::new();
                for resource in &response.resources {
                    let table: ClusterLoadAssignment = serde_json::from_str(resource.get()).map_err(wrong)?;
                    let lines = convert::lines(&table).into_iter();
                    let lines =
                        lines.filter_map(|(server, weight)| Some((number(&server)?, weight))).collect();
                    tables.insert(table.cluster_name, lines);
                }
                self.tables = tables;
            }
            Kind::Routes => {
                let mut all = BTreeMap::new();
                for resource in &response.resources {
                    let routes: RouteConfiguration = serde_json::from_str(resource.get()).map_err(wrong)?;
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
                let mut bound = BTreeMap::new();
                for resource in &response.resources {
                    let cluster: Cluster = serde_json::from_str(resource.get()).map_err(wrong)?;
                    if let Some(class) = self.class(&cluster.name) {
                        bound.insert(class, cluster.eds_cluster_config.service_name);
                    }
                }
                self.bound = bound;
            }
        }
        Ok(())
    }

    /// The epoch of the bindings that were taken up last.
    pub fn epoch(&self) -> u64 {
        self.epochs.get(&Kind::Clusters).copied().unwrap_or(0)
    }

    fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The lines of each class, as a record keeps them.
    pub fn lines(&self) -> BTreeMap<usize, Vec<usize>> {
        let servers =
            |table: &String| self.tables.get(table).into_iter().flatten().map(|line| line.0).collect();
        self.bound.iter().map(|(class, table)| (*class, servers(table))).collect()
    }

    fn admission(&self, class: usize) -> Admission {
        let routes = self.bound.get(&class).and_then(|table| self.routes.get(table));
        routes
            .and_then(|routes| routes.get(&class))
            .copied()
            .unwrap_or(Admission::unlimited(LevelUnit::Ignored))
    }

    /// Lets an operation in, or says when to come back.
    pub fn admit(&mut self, now: Nanos, class: usize) -> Result<(), Refusal> {
        let Admission { level: Some(level), unit, .. } = self.admission(class) else { return Ok(()) };
        match unit {
            LevelUnit::Ignored => Ok(()),
            LevelUnit::Share if self.rng.random::<f64>() < level => Ok(()),
            LevelUnit::Share => Err(Refusal::Level { again: COME_BACK }),
            LevelUnit::Rate => {
                let most = level.ceil().max(1.0);
                let bucket = self.buckets.entry(class).or_insert(Bucket { tokens: most, at: now });
                bucket.tokens = (bucket.tokens + level * (now - bucket.at).secs()).min(most);
                bucket.at = now;
                if bucket.tokens >= 1.0 {
                    bucket.tokens -= 1.0;
                    return Ok(());
                }
                let again = Nanos::from_secs((1.0 - bucket.tokens) / level.max(1e-3));
                Err(Refusal::Level { again })
            }
        }
    }

    /// A server for a try, none of those tried already.
    pub fn pick(&mut self, now: Nanos, class: usize, tried: &[usize]) -> Result<usize, Refusal> {
        let table = self.bound.get(&class).and_then(|table| self.tables.get(table));
        let lines = table.into_iter().flatten().filter(|(server, _)| !tried.contains(server));
        let lines: Vec<(usize, f64)> = lines.copied().collect();
        let kept = |server: &usize| self.away.get(server).is_none_or(|away| away.until <= now);
        let near: Vec<(usize, f64)> = lines.iter().filter(|(server, _)| kept(server)).copied().collect();
        // Where all fail, keeping away from all helps no one.
        let lines = if near.is_empty() { lines } else { near };
        let sum: f64 = lines.iter().map(|(_, weight)| weight).sum();
        let mut at = self.rng.random::<f64>() * sum;
        for (server, weight) in &lines {
            at -= weight;
            if at < 0.0 {
                return Ok(*server);
            }
        }
        lines.last().map(|(server, _)| *server).ok_or(Refusal::NoLine)
    }

    /// Whether the proxy keeps away from a server by itself now.
    pub fn keeps_away(&self, now: Nanos, server: usize) -> bool {
        self.away.get(&server).is_some_and(|away| now < away.until)
    }

    /// Keeps what a try came to.
    pub fn note(&mut self, now: Nanos, server: usize, tried: Tried) {
        let away = self.away.entry(server).or_default();
        match tried {
            Tried::Good => away.failures = 0,
            Tried::Unrun | Tried::Failed => {
                away.failures += 1;
                if self.ejects > 0 && away.failures >= self.ejects {
                    away.failures = 0;
                    away.until = now + self.keep_away;
                }
            }
        }
    }

    /// Whether another try may follow the last one; `tries` were made.
    pub fn may_try_again(&self, class: usize, tried: Tried, tries: usize) -> bool {
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

    fn chooser(admission: Admission) -> Chooser {
        let mut chooser = Chooser::new(vec!["read".into()], 2, Nanos::from_millis(3_000), 5);
        let line =
            |server, weight| convert::Line { server, zone: "a", weight, health: HealthStatus::Healthy };
        let table = convert::table("t", &[line("127.0.0.1:1", 3.0), line("127.0.0.1:2", 1.0)]);
        let routes = convert::routes("t", [("read", admission)].into_iter());
        let cluster = convert::cluster("read", "t", "RANDOM");
        let number = |server: &str| server.rsplit_once(':')?.1.parse().ok();
        let text = |kind, value: String| file_text(kind, "a", 1, &[&value]);
        for (kind, value) in [
            (Kind::Endpoints, serde_json::to_string(&table).unwrap()),
            (Kind::Routes, serde_json::to_string(&routes).unwrap()),
            (Kind::Clusters, serde_json::to_string(&cluster).unwrap()),
        ] {
            chooser.take_up(kind, text(kind, value).as_bytes(), &number).unwrap();
        }
        chooser
    }

    fn all(tries: Retries) -> Admission {
        Admission { level: None, unit: LevelUnit::Ignored, retries: tries }
    }

    #[test]
    fn servers_are_picked_by_weight_and_left_alone_after_failures() {
        let mut chooser = chooser(all(Retries::Never));
        let picked = (0..4_000).filter(|_| chooser.pick(Nanos(0), 0, &[]) == Ok(1)).count();
        assert!((2_850..3_150).contains(&picked), "{picked}");
        chooser.note(Nanos(0), 1, Tried::Failed);
        chooser.note(Nanos(0), 1, Tried::Failed);
        assert!((0..100).all(|_| chooser.pick(Nanos(1), 0, &[]) == Ok(2)));
        assert!((0..100).any(|_| chooser.pick(Nanos::from_millis(3_000), 0, &[]) == Ok(1)));
        assert_eq!(chooser.pick(Nanos(0), 0, &[1, 2]), Err(Refusal::NoLine));
    }

    #[test]
    fn a_rate_lets_in_what_it_says_and_tells_when_to_come_back() {
        let rate = Admission { level: Some(4.0), unit: LevelUnit::Rate, retries: Retries::Never };
        let mut chooser = chooser(rate);
        let second = |second: u64, k: u64| Nanos::from_millis(10_000 + second * 1_000 + k * 10);
        let mut let_in = 0;
        for at in 0..10 {
            let_in += (0..100).filter(|k| chooser.admit(second(at, *k), 0).is_ok()).count();
        }
        assert!((40..=44).contains(&let_in), "{let_in}");
        let refused = (0..9).find_map(|_| chooser.admit(second(10, 0), 0).err());
        assert!(matches!(refused, Some(Refusal::Level { again }) if again <= Nanos::from_millis(250)));
    }

    #[test]
    fn another_try_only_as_told() {
        use Retries::*;
        for (tries, unrun, failed) in
            [(Never, false, false), (IfNotExecuted, true, false), (Once, true, true)]
        {
            let chooser = chooser(all(tries));
            let may = |tried| chooser.may_try_again(0, tried, 1);
            assert_eq!((may(Tried::Unrun), may(Tried::Failed), may(Tried::Good)), (unrun, failed, false));
            assert!(!chooser.may_try_again(0, Tried::Unrun, 2));
        }
        assert!(chooser(all(Twice)).may_try_again(0, Tried::Failed, 2));
    }
}
