//! A plain proxy: it follows the three files of its agent, each as it stands when an operation comes, picks a server
//! by weight, tries another one only where the files say so, and reports its sums to the agent.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Rng, World};
use crate::json::Json;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
const AVOID: Duration = Duration::from_millis(3_000);

/// What a proxy is and gets.
pub struct ProxySpec {
    pub name: String,
    pub folder: PathBuf,
    /// Classes with their operations a second.
    pub classes: Vec<(String, f64)>,
    /// Failures in a row after which it keeps away from a server; 0: never.
    pub ejects: u32,
    pub seed: u64,
    pub report_every: Duration,
    pub agent: SocketAddr,
}

/// The level and the retries of a class.
#[derive(Clone, Default)]
struct Admission {
    rate: Option<(f64, f64)>,
    rejected_share: f64,
    connect_retries: u32,
}

#[derive(Default)]
struct Files {
    stamps: [(u64, i64, i64); 3],
    /// Lines of each table.
    tables: BTreeMap<String, Vec<(SocketAddr, f64)>>,
    /// The table of each class.
    bindings: BTreeMap<String, String>,
    admissions: BTreeMap<(String, String), Admission>,
}

const NAMES: [&str; 3] = ["endpoints.json", "clusters.json", "routes.json"];

impl Files {
    /// Reads each file that was swapped since the last look.
    fn refresh(&mut self, folder: &std::path::Path) {
        for (index, name) in NAMES.iter().enumerate() {
            let path = folder.join(name);
            let Ok(meta) = fs::metadata(&path) else { continue };
            let stamp = (meta.ino(), meta.mtime(), meta.mtime_nsec());
            if self.stamps[index] == stamp {
                continue;
            }
            let Some(file) = fs::read_to_string(&path).ok().and_then(|text| Json::parse(&text)) else { continue };
            self.stamps[index] = stamp;
            let resources = file.at(&["resources"]).list();
            match index {
                0 => self.tables = resources.iter().map(table).collect(),
                1 => self.bindings = resources.iter().map(binding).collect(),
                _ => self.admissions = resources.iter().flat_map(admissions).collect(),
            }
        }
    }
}

fn table(resource: &Json) -> (String, Vec<(SocketAddr, f64)>) {
    let zones = resource.at(&["endpoints"]).list();
    let endpoints = zones.iter().flat_map(|zone| zone.at(&["lb_endpoints"]).list());
    let line = |endpoint: &Json| {
        let address = endpoint.at(&["endpoint", "address", "socket_address"]);
        let text = format!("{}:{}", address.at(&["address"]).text(), address.at(&["port_value"]).number());
        let healthy = matches!(endpoint.at(&["health_status"]).text(), "" | "UNKNOWN" | "HEALTHY" | "DEGRADED");
        let weight = endpoint.at(&["load_balancing_weight"]).number();
        text.parse().ok().filter(|_| healthy && weight > 0.0).map(|address| (address, weight))
    };
    (resource.at(&["cluster_name"]).text().to_owned(), endpoints.filter_map(line).collect())
}

fn binding(resource: &Json) -> (String, String) {
    let table = resource.at(&["eds_cluster_config", "service_name"]).text();
    (resource.at(&["name"]).text().to_owned(), table.to_owned())
}

fn admissions(resource: &Json) -> Vec<((String, String), Admission)> {
    let table = resource.at(&["name"]).text();
    let hosts = resource.at(&["virtual_hosts"]).list();
    let routes = hosts.iter().flat_map(|host| host.at(&["routes"]).list());
    let admission = |route: &Json| {
        let filters = route.at(&["typed_per_filter_config"]);
        let bucket = filters.at(&["envoy.filters.http.local_ratelimit", "token_bucket"]);
        let interval: f64 =
            bucket.at(&["fill_interval"]).text().trim_end_matches('s').parse().unwrap_or(0.0);
        let rate = (interval > 0.0)
            .then(|| (bucket.at(&["tokens_per_fill"]).number() / interval, bucket.at(&["max_tokens"]).number()));
        let share = filters.at(&["envoy.filters.http.fault", "abort", "percentage"]);
        let whole = match share.at(&["denominator"]).text() {
            "MILLION" => 1e6,
            "TEN_THOUSAND" => 1e4,
            _ => 100.0,
        };
        let policy = route.at(&["route", "retry_policy"]);
        let retries_connects = policy.at(&["retry_on"]).text().contains("connect-failure");
        let class = route.at(&["route", "cluster"]).text().to_owned();
        let admission = Admission {
            rate,
            rejected_share: share.at(&["numerator"]).number() / whole,
            connect_retries: if retries_connects { policy.at(&["num_retries"]).number() as u32 } else { 0 },
        };
        ((table.to_owned(), class), admission)
    };
    routes.map(admission).collect()
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Answered,
    Refused,
    NotConnected,
    Lost,
}

pub fn attempt(server: SocketAddr, class: &str, op: &str) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT) else { return Outcome::NotConnected };
    let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
    let _ = stream.set_nodelay(true);
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: {server}\r\nX-Operation: {op}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return Outcome::Lost;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    match answer.get(9..12) {
        Some(b"200") => Outcome::Answered,
        Some(_) => Outcome::Refused,
        None => Outcome::Lost,
    }
}

#[derive(Default)]
struct Sums {
    tries: BTreeMap<(String, SocketAddr), (u64, u64, f64)>,
    operations: BTreeMap<String, (u64, u64)>,
}

pub fn start(spec: ProxySpec, world: Arc<World>) -> thread::JoinHandle<()> {
    thread::spawn(move || run(&spec, &world))
}

fn run(spec: &ProxySpec, world: &World) {
    let mut rng = Rng::new(spec.seed);
    let mut files = Files::default();
    let mut buckets: BTreeMap<String, (f64, Instant)> = BTreeMap::new();
    let mut failures: BTreeMap<SocketAddr, (u32, Option<Instant>)> = BTreeMap::new();
    let (mut sums, mut report_at) = (Sums::default(), Instant::now() + spec.report_every);
    let total: f64 = spec.classes.iter().map(|(_, rate)| rate).sum();
    let (mut next, mut count) = (Instant::now(), 0u64);
    while !world.stopped.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= report_at {
            report_at = now + spec.report_every;
            report(spec, world, &std::mem::take(&mut sums));
        }
        if now < next {
            thread::sleep((next - now).min(Duration::from_millis(5)));
            continue;
        }
        // Clients come at random; a proxy that was held up is not sent the backlog at once.
        next = next.max(now - Duration::from_millis(50))
            + Duration::from_secs_f64(-(1.0 - rng.unit()).ln() / total);
        files.refresh(&spec.folder);
        if files.bindings.is_empty() {
            continue;
        }
        let mut drawn = rng.unit() * total;
        let class = spec.classes.iter().find(|(_, rate)| {
            drawn -= rate;
            drawn < 0.0
        });
        let class = &class.unwrap_or(&spec.classes[0]).0;
        count += 1;
        let op = format!("{}-{count}", spec.name);
        let table = files.bindings.get(class).cloned().unwrap_or_default();
        let admission = files.admissions.get(&(table.clone(), class.clone())).cloned().unwrap_or_default();
        let arrived = sums.operations.entry(class.clone()).or_default();
        let is_admitted = match admission.rate {
            Some((rate, most)) => {
                let bucket = buckets.entry(class.clone()).or_insert((most.min(rate.max(1.0)), now));
                bucket.0 = (bucket.0 + rate * (now - bucket.1).as_secs_f64()).min(most);
                bucket.1 = now;
                let is_admitted = bucket.0 >= 1.0;
                bucket.0 -= if is_admitted { 1.0 } else { 0.0 };
                is_admitted
            }
            None => rng.unit() >= admission.rejected_share,
        };
        if !is_admitted {
            arrived.1 += 1;
            world.record(&format!("operation {op} {class} refused by the level of {table}"));
            continue;
        }
        arrived.0 += 1;
        let lines = files.tables.get(&table).cloned().unwrap_or_default();
        let mut tried: Vec<SocketAddr> = Vec::new();
        loop {
            let is_avoided = |server: &SocketAddr| {
                failures.get(server).is_some_and(|(_, until)| until.is_some_and(|until| until > now))
            };
            let fresh: Vec<_> = lines.iter().filter(|(server, _)| !tried.contains(server)).collect();
            let kept: Vec<_> = fresh.iter().copied().filter(|(server, _)| !is_avoided(server)).collect();
            let open = if kept.is_empty() { &fresh } else { &kept };
            let whole: f64 = open.iter().map(|(_, weight)| weight).sum();
            let mut drawn = rng.unit() * whole;
            let line = open.iter().find(|(_, weight)| {
                drawn -= weight;
                drawn < 0.0
            });
            let Some((server, _)) = line.or(open.last()).copied() else {
                world.record(&format!("operation {op} {class} has no line in {table}"));
                world.no_line(&spec.name, class);
                break;
            };
            let (sent, at) = (Instant::now(), world.now());
            world.tried(&spec.name, class, *server, at);
            let outcome = attempt(*server, class, &op);
            world.record(&format!("operation {op} {class} sent to {server} by {table} at {at:.3}: {outcome:?}"));
            let sum = sums.tries.entry((class.clone(), *server)).or_default();
            let failed = failures.entry(*server).or_default();
            if outcome == Outcome::Answered {
                (sum.0, sum.2) = (sum.0 + 1, sum.2 + sent.elapsed().as_secs_f64() * 1e3);
                *failed = (0, None);
                world.ended(true);
                break;
            }
            sum.1 += 1;
            failed.0 += 1;
            if spec.ejects > 0 && failed.0 >= spec.ejects {
                *failed = (0, Some(Instant::now() + AVOID));
            }
            tried.push(*server);
            if outcome != Outcome::NotConnected || tried.len() as u32 > admission.connect_retries || lines.len() < 2 {
                world.ended(false);
                break;
            }
        }
    }
}

/// Sends the sums to the agent, as a load report.
fn report(spec: &ProxySpec, world: &World, sums: &Sums) {
    let span = spec.report_every.as_secs_f64();
    let classes = spec.classes.iter().map(|(class, _)| {
        let (arrived, dropped) = sums.operations.get(class).copied().unwrap_or_default();
        let mut zones: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for ((_, server), (answered, failed, millis)) in sums.tries.iter().filter(|((of, _), _)| of == class) {
            let (ip, port) = (server.ip(), server.port());
            zones.entry(world.zone_of(*server)).or_default().push(format!(
                r#"{{"address":{{"socket_address":{{"address":"{ip}","port_value":{port}}}}},"total_successful_requests":"{answered}","total_error_requests":"{failed}","total_issued_requests":"{}","load_metric_stats":[{{"metric_name":"latency_ms","num_requests_finished_with_metric":"{answered}","total_metric_value":{millis:.3}}}]}}"#,
                answered + failed
            ));
        }
        let mut operations = arrived;
        let localities = zones.into_iter().map(|(zone, endpoints)| {
            // The operations are counted once, with the first zone.
            let counted = std::mem::take(&mut operations);
            format!(
                r#"{{"locality":{{"zone":"{zone}"}},"load_metric_stats":[{{"metric_name":"operations","num_requests_finished_with_metric":"{counted}","total_metric_value":0}}],"upstream_endpoint_stats":[{}]}}"#,
                endpoints.join(",")
            )
        });
        let localities = localities.collect::<Vec<_>>().join(",");
        format!(
            r#"{{"cluster_name":"{class}","total_dropped_requests":"{dropped}","load_report_interval":"{span:.3}s","upstream_locality_stats":[{localities}]}}"#
        )
    });
    let body = format!(
        r#"{{"node":{{"id":"{}"}},"cluster_stats":[{}]}}"#,
        spec.name,
        classes.collect::<Vec<_>>().join(",")
    );
    let path = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
    let Ok(mut stream) = TcpStream::connect_timeout(&spec.agent, CONNECT_TIMEOUT) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut answer = [0; 512];
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).is_ok() {
        let _ = stream.read(&mut answer);
    }
}
