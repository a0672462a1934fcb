//! `craneknot solve`: computes weights from a coordinator's ledger, and explains why a server has its weight.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use craneknot::interface::*;
use craneknot_coordinator::ledger::{LedgerContents, Line, ListedState};
use craneknot_coordinator::weights;
use craneknot_settings::{CrossingSettings, Names, SolverSettings};
use craneknot_solver::estimate::TryReport;
use craneknot_solver::explain::{explain, Explanation};
use craneknot_solver::tuner::{self, WeightTuner};

use crate::output::{self, error_line, print_line};
use crate::{status, system_failure, to_pretty_json, Failure};

/// Input and parameters of the solver.
#[derive(Args)]
pub struct Solve {
    /// Ledger of a coordinator.
    ledger: Option<PathBuf>,
    /// Explains the current weights of this running coordinator, in place of a ledger.
    #[arg(long, conflicts_with = "ledger")]
    coordinator: Option<SocketAddr>,
    /// Explains the weight of each server, the binding constraints and the benefit of one more server; by default only the
    /// weights are printed.
    #[arg(long)]
    explain: bool,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
    /// Uses the state this many seconds after the start of the ledger; by default at its end.
    #[arg(long)]
    at: Option<f64>,
    /// Number of standard deviations of the estimated capacity that are kept in reserve.
    #[arg(long)]
    margin: Option<f64>,
    /// Minimum relative change of a weight that is sent.
    #[arg(long)]
    churn: Option<f64>,
    /// Cost of sending an operation to another zone, in mean service times; `--crossing-of north:south=0.5` sets it for a
    /// pair of zones.
    #[arg(long)]
    crossing: Option<f64>,
    #[arg(long = "crossing-of", value_parser = parse_crossing)]
    crossings: Vec<CrossingSettings>,
}

fn parse_crossing(text: &str) -> Result<CrossingSettings, String> {
    let error = || format!("{text:?} is not FROM:TO=COST");
    let (zones, cost) = text.split_once('=').ok_or_else(error)?;
    let (from, to) = zones.split_once(':').ok_or_else(error)?;
    let cost = cost.parse::<f64>().ok().filter(|cost| cost.is_finite() && *cost >= 0.0).ok_or_else(error)?;
    Ok(CrossingSettings { from: from.to_owned(), to: to.to_owned(), cost })
}

/// The zones and classes of the ledger's head as names and settings for the solver.
fn solver_input(ledger: &LedgerContents, solver: &SolverSettings) -> (Names, tuner::Settings) {
    let head = &ledger.head;
    let mut names = Names::default();
    head.zones.iter().for_each(|zone| {
        names.zone(zone);
    });
    names.classes = head.classes.iter().map(|class| class.name.clone()).collect();
    let classes = head.classes.iter().map(|class| class.to_interface(&mut names)).collect();
    let joined_proxies = |line: &Line| match line {
        Line::Joined(_, zones) => Some(zones.iter().sum::<u32>()),
        _ => None,
    };
    let proxies = ledger.lines.iter().filter_map(joined_proxies).max().unwrap_or(1);
    let settings = weights::solver_settings_for_zones(solver, &head.zones, classes, &head.rules, proxies);
    (names, settings)
}

/// Replays a ledger to the solver, event by event as its coordinator received them.
fn replay(ledger: &LedgerContents, solver: &SolverSettings, until: Option<Nanos>) -> Explanation {
    let nanos = |at: u64| Nanos(at.saturating_mul(1_000));
    let (mut names, settings) = solver_input(ledger, solver);
    let began = nanos(ledger.head.began);
    let mut steer = WeightTuner::new(settings, began);
    let mut servers: BTreeMap<u32, (ServerId, ZoneId, KindId)> = BTreeMap::new();
    let mut now = began;
    // Ledger lines with the same time were received together: weights are evaluated when the time advances.
    let mut pending: Vec<Listing> = Vec::new();
    for line in &ledger.lines {
        let at = match line {
            Line::Server(number, name, zone, kind) => {
                let server = (ServerId(name.as_str().into()), names.zone(zone), names.kind(kind));
                servers.insert(*number, server);
                continue;
            }
            Line::Listed(at, ..)
            | Line::ListFailed(at)
            | Line::Demand(at, ..)
            | Line::TriesReported(at, ..)
            | Line::Probed(at, ..)
            | Line::Joined(at, ..)
            | Line::Ordered(at, ..) => nanos(*at),
            Line::Dropped(_) => continue,
        };
        if until.is_some_and(|until| at > began + until) {
            break;
        }
        if at > now {
            if !pending.is_empty() {
                steer.apply_list(now, ListScope::Changes, &std::mem::take(&mut pending));
            }
            steer.update(now);
            now = at;
        }
        match line {
            Line::Listed(_, server, shown, weight, started) => {
                let Some((server, zone, kind)) = servers.get(server).cloned() else { continue };
                let readiness = match shown {
                    ListedState::Ready => Readiness::Ready,
                    ListedState::Draining => Readiness::Draining,
                    ListedState::Removed => Readiness::Removed,
                };
                let (cell, weight, started) = (CellId(0), *weight, started.map(nanos));
                pending.push(Listing {
                    server,
                    zone,
                    kind,
                    cell,
                    weight,
                    started,
                    is_start_certain: true,
                    readiness,
                });
            }
            Line::TriesReported(_, server, _, tries, unanswered, _, latency, busy, held, service) => {
                let Some((server, ..)) = servers.get(server) else { continue };
                let report = LoadReport { busy: *busy, in_flight: *held, service_time: service.map(nanos) };
                let (tries, unanswered, latency) = (*tries, *unanswered, nanos(*latency));
                steer.record_tries(now, server, &TryReport { tries, unanswered, latency, report });
            }
            Line::Demand(_, zone, class, arrived, ..) => {
                steer.record_demand(now, ZoneId(*zone), ClassId(*class as u8), *arrived);
            }
            Line::Joined(_, zones) => steer.set_own_proxies(zones.iter().sum()),
            Line::Server(..)
            | Line::ListFailed(_)
            | Line::Probed(..)
            | Line::Ordered(..)
            | Line::Dropped(_) => {}
        }
    }
    if !pending.is_empty() {
        steer.apply_list(now, ListScope::Changes, &pending);
    }
    steer.update(now);
    explain(&steer, now, &weights::SolverNames(&names))
}

pub fn execute(options: &Solve) -> Result<(), Failure> {
    let explanation = match (&options.ledger, options.coordinator) {
        (Some(file), _) => {
            let ledger = crate::model::read_ledger(file)?;
            if ledger.torn {
                error_line!("{}: the last part is truncated and is ignored", file.display());
            }
            let solver = SolverSettings {
                margin: options.margin,
                churn: options.churn,
                crossing: options.crossing,
                crossings: options.crossings.clone(),
            };
            let problems = solver.check("", &ledger.head.zones);
            if let Some(problem) = problems.first() {
                error_line!("--crossing-of: {} ({})", problem.message, problem.remedy);
                return Err(Failure::Settings);
            }
            replay(&ledger, &solver, options.at.map(Nanos::from_secs))
        }
        (None, Some(address)) => {
            let status = status::fetch(address, "/status?weights").map_err(system_failure)?;
            let weights = status.get("weights").filter(|weights| !weights.is_null());
            let Some(weights) = weights else {
                error_line!("{address}: the coordinator uses listed weights: its settings have no /solver");
                return Err(Failure::Settings);
            };
            serde_json::from_value(weights.clone())
                .map_err(|cause| system_failure(std::io::Error::other(cause)))?
        }
        (None, None) => {
            error_line!("craneknot solve: pass a ledger file or --coordinator ADDRESS");
            return Err(Failure::Settings);
        }
    };
    if options.json {
        print_line!("{}", to_pretty_json(&explanation));
    } else if options.explain {
        output::write_output(format_args!("{}", explanation.text()));
    } else {
        for server in &explanation.servers {
            print_line!("{} {:.4}", server.server, server.weight);
        }
    }
    Ok(())
}
