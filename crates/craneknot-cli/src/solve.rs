//! `craneknot solve`: the weights' solver on what a coordinator kept, and why a server has its weight.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use craneknot::interface::*;
use craneknot_coordinator::ledger::{Line, Shown, Told};
use craneknot_coordinator::weights;
use craneknot_settings::{CrossingSettings, Names, SolverSettings};
use craneknot_solver::estimate::Met;
use craneknot_solver::explain::{explain, Explanation};
use craneknot_solver::steer::{self, Steer};

use crate::output::{self, error_line, print_line};
use crate::{pretty, status, system, Failed};

/// What is to be solved, and how.
#[derive(Args)]
pub struct Solve {
    /// A coordinator's ledger.
    ledger: Option<PathBuf>,
    /// In place of a ledger: a coordinator that runs, whose own weights are explained.
    #[arg(long, conflicts_with = "ledger")]
    coordinator: Option<SocketAddr>,
    /// Why each server has its weight, what binds, and what one more server would bring; left out: the weights alone.
    #[arg(long)]
    explain: bool,
    /// As JSON.
    #[arg(long)]
    json: bool,
    /// As things stood so many seconds after the ledger began; left out: at its end.
    #[arg(long)]
    at: Option<f64>,
    /// Deviations of a capacity that are kept free.
    #[arg(long)]
    margin: Option<f64>,
    /// Share by which a weight must differ to be sent.
    #[arg(long)]
    churn: Option<f64>,
    /// Cost of a crossing, in mean service times; `--crossing-of north:south=0.5` for a pair of zones.
    #[arg(long)]
    crossing: Option<f64>,
    #[arg(long = "crossing-of", value_parser = crossing_of)]
    crossings: Vec<CrossingSettings>,
}

fn crossing_of(text: &str) -> Result<CrossingSettings, String> {
    let wrong = || format!("{text:?} is not FROM:TO=COST");
    let (zones, cost) = text.split_once('=').ok_or_else(wrong)?;
    let (from, to) = zones.split_once(':').ok_or_else(wrong)?;
    let cost = cost.parse::<f64>().ok().filter(|cost| cost.is_finite() && *cost >= 0.0).ok_or_else(wrong)?;
    Ok(CrossingSettings { from: from.to_owned(), to: to.to_owned(), cost })
}

/// The head's zones and classes as the solver is told of them.
fn told_of(told: &Told, solver: &SolverSettings) -> (Names, steer::Settings) {
    let head = &told.head;
    let mut names = Names::default();
    head.zones.iter().for_each(|zone| {
        names.zone(zone);
    });
    names.classes = head.classes.iter().map(|class| class.name.clone()).collect();
    let classes = head.classes.iter().map(|class| class.to_interface(&mut names)).collect();
    let most = |line: &Line| match line {
        Line::Joined(_, zones) => Some(zones.iter().sum::<u32>()),
        _ => None,
    };
    let proxies = told.lines.iter().filter_map(most).max().unwrap_or(1);
    let settings = weights::settings_of(solver, &head.zones, classes, &head.rules, proxies);
    (names, settings)
}

/// Plays a ledger to the solver as its coordinator's decisions heard it.
fn play(told: &Told, solver: &SolverSettings, until: Option<Nanos>) -> Explanation {
    let nanos = |at: u64| Nanos(at.saturating_mul(1_000));
    let (mut names, settings) = told_of(told, solver);
    let began = nanos(told.head.began);
    let mut steer = Steer::new(settings, began);
    let mut servers: BTreeMap<u32, (ServerId, ZoneId, KindId)> = BTreeMap::new();
    let mut now = began;
    // Lines of one moment were heard together: weights are looked at when the next moment comes.
    let mut pending: Vec<Listing> = Vec::new();
    for line in &told.lines {
        let at = match line {
            Line::Server(number, name, zone, kind) => {
                let place = (ServerId(name.as_str().into()), names.zone(zone), names.kind(kind));
                servers.insert(*number, place);
                continue;
            }
            Line::Listed(at, ..)
            | Line::ListFailed(at)
            | Line::Demand(at, ..)
            | Line::Heard(at, ..)
            | Line::Probed(at, ..)
            | Line::Joined(at, ..)
            | Line::Ordered(at, ..) => nanos(*at),
            Line::Missing(_) => continue,
        };
        if until.is_some_and(|until| at > began + until) {
            break;
        }
        if at > now {
            if !pending.is_empty() {
                steer.listed(now, ListScope::Changes, &std::mem::take(&mut pending));
            }
            steer.turn(now);
            now = at;
        }
        match line {
            Line::Listed(_, server, shown, weight, started) => {
                let Some((server, zone, kind)) = servers.get(server).cloned() else { continue };
                let readiness = match shown {
                    Shown::Ready => Readiness::Ready,
                    Shown::Draining => Readiness::Draining,
                    Shown::Gone => Readiness::Removed,
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
            Line::Heard(_, server, _, tries, unanswered, _, latency, busy, held, service) => {
                let Some((server, ..)) = servers.get(server) else { continue };
                let report = LoadReport { busy: *busy, in_flight: *held, service_time: service.map(nanos) };
                let (tries, unanswered, latency) = (*tries, *unanswered, nanos(*latency));
                steer.met(now, server, &Met { tries, unanswered, latency, report });
            }
            Line::Demand(_, zone, class, arrived, ..) => {
                steer.came(now, ZoneId(*zone), ClassId(*class as u8), *arrived);
            }
            Line::Joined(_, zones) => steer.set_joined(zones.iter().sum()),
            Line::Server(..)
            | Line::ListFailed(_)
            | Line::Probed(..)
            | Line::Ordered(..)
            | Line::Missing(_) => {}
        }
    }
    if !pending.is_empty() {
        steer.listed(now, ListScope::Changes, &pending);
    }
    steer.turn(now);
    explain(&steer, now, &weights::Named(&names))
}

pub fn solve(asked: &Solve) -> Result<(), Failed> {
    let explanation = match (&asked.ledger, asked.coordinator) {
        (Some(file), _) => {
            let told = crate::model::ledger_of(file)?;
            if told.torn {
                error_line!("{}: its last part was cut short and is left out", file.display());
            }
            let solver = SolverSettings {
                margin: asked.margin,
                churn: asked.churn,
                crossing: asked.crossing,
                crossings: asked.crossings.clone(),
            };
            let problems = solver.check("", &told.head.zones);
            if let Some(problem) = problems.first() {
                error_line!("--crossing-of: {} ({})", problem.message, problem.remedy);
                return Err(Failed::Settings);
            }
            play(&told, &solver, asked.at.map(Nanos::from_secs))
        }
        (None, Some(address)) => {
            let status = status::ask(address, "/status?weights").map_err(system)?;
            let weights = status.get("weights").filter(|weights| !weights.is_null());
            let Some(weights) = weights else {
                error_line!("{address}: it goes by listed weights: its settings have no /solver");
                return Err(Failed::Settings);
            };
            serde_json::from_value(weights.clone()).map_err(|cause| system(std::io::Error::other(cause)))?
        }
        (None, None) => {
            error_line!("craneknot solve: name a ledger, or --coordinator ADDRESS");
            return Err(Failed::Settings);
        }
    };
    if asked.json {
        print_line!("{}", pretty(&explanation));
    } else if asked.explain {
        output::write_output(format_args!("{}", explanation.text()));
    } else {
        for of in &explanation.servers {
            print_line!("{} {:.4}", of.server, of.weight);
        }
    }
    Ok(())
}
