//! The `craneknot` program.

mod log_writer;
mod model;
mod output;
mod soak;
mod solve;
mod status;
mod trial;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use craneknot_coordinator::shell::{Ended, Shell};
use craneknot_node::shell::StartError;
use craneknot_reactor::{SignalFlags, SteadyClock};
use craneknot_rehearsal::conduct::{Kept, Programs};
use craneknot_rehearsal::soak::{Load, Scenario, SoakSettings};
use craneknot_rehearsal::Script;
use craneknot_settings::{load, schema_text, AgentSettings, CoordinatorSettings, Problems};
use serde::Serialize;
use tracing::error;
use tracing_subscriber::EnvFilter;

use crate::output::{error_line, print_line};

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// What went wrong, by exit code; 2 is clap's, for a command line that is not understood.
#[derive(Clone, Copy)]
enum Failed {
    /// A rule was broken in a rehearsal.
    Rule = 1,
    /// Settings or a script are wrong.
    Settings = 3,
    /// Files, sockets or processes.
    System = 4,
}

#[derive(Parser)]
#[command(name = "craneknot", version, about = "A traffic director for a fleet of plain proxies")]
#[command(after_help = "Exit codes: 0 done, 1 a rule was broken, 2 command line, 3 settings, 4 system.")]
struct Cli {
    /// How the log is written, to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    /// What is logged: a level, or levels by module, such as `info,craneknot_agent=debug`.
    #[arg(long, global = true, default_value = "info")]
    level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Json,
    Text,
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Coordinator,
    Agent,
    Script,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a coordinator.
    Run {
        /// Its settings, a JSON file.
        settings: PathBuf,
    },
    /// Runs a coordinator on the users' platform.
    Node {
        /// Its configuration, a JSON file; left out: the one that the variable NODE_CONFIG names.
        config: Option<PathBuf>,
    },
    /// Runs an agent beside one proxy or several.
    Agent {
        /// Its settings, a JSON file.
        settings: PathBuf,
    },
    /// Checks a file of settings, or a rehearsal's script.
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "coordinator")]
        kind: Kind,
    },
    /// Prints the JSON schema of settings or scripts.
    Schema {
        #[arg(value_enum, default_value = "coordinator")]
        kind: Kind,
    },
    /// Raises a whole fleet of stand-ins on this machine, plays a script of troubles, and judges the rules from
    /// what crossed the sockets.
    Rehearse {
        /// The script, a JSON file; left out: a short one that is built in.
        script: Option<PathBuf>,
        /// In place of the script's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Where the report is written, as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Where settings, files and logs of the rehearsal are kept; left out: a new folder, removed at the end.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// What was seen is written there, as gzipped JSON lines, for the model to play again.
        #[arg(long)]
        record: Option<PathBuf>,
        /// The program from which the rehearsal begins, an earlier version of this one: a rolling upgrade brings this one.
        #[arg(long)]
        upgrade_from: Option<PathBuf>,
    },
    /// Soaks coordinators on the users' platform in random faults that overlap: real processes among stand-ins, judged
    /// by the invariants. One seed, one schedule.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Seeds in a row.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Coordinators.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(2..=40))]
        nodes: u16,
        /// How long each seed lasts, s.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// The incident's day in place of random faults alone: a release without end, a coordinator killed, a zone lost
        /// with another, all proxies at the first, its planned restart.
        #[arg(long)]
        incident: bool,
        /// Threads that spin beside it until each seed is over.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=64))]
        busy: u16,
        /// Gives each coordinator a quarter of a core over a drawn span.
        #[arg(long)]
        throttle: bool,
        /// The program to soak, another build of this one; left out: this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The library of failing system calls, preloaded into every other coordinator.
        #[arg(long)]
        fault_library: Option<PathBuf>,
        /// Where configurations and logs are kept; left out: a new folder, removed at the end.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Tries coordinators on a scripted day: real processes among stand-ins, judged by due times and by a model of
    /// servers, proxies and channels that shares nothing with the program.
    Trial(trial::Trial),
    /// Plays a rehearsal's script in simulated time.
    Model {
        #[command(subcommand)]
        act: model::Act,
    },
    /// Finds servers' weights from a coordinator's ledger, or explains those of one that runs.
    Solve(solve::Solve),
    /// Asks coordinators how they are: streams, what waits, and in a shared fleet members, leases and epochs.
    Status {
        /// Where they listen.
        #[arg(required = true)]
        coordinators: Vec<SocketAddr>,
        /// As JSON, an object for each.
        #[arg(long)]
        json: bool,
    },
    /// Measures one coordinator with many agents: from decision to swapped file, cost and recovery.
    Measure {
        /// Agents in all.
        #[arg(long, default_value_t = 100)]
        agents: u32,
        /// Servers in the list.
        #[arg(long, default_value_t = 40)]
        servers: u16,
        /// How long each part lasts, s.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// Agents sync files to the disk.
        #[arg(long)]
        sync: bool,
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

impl Command {
    /// Whether others wait for the process: it must not wait for its standard error.
    fn serves(&self) -> bool {
        matches!(self, Command::Run { .. } | Command::Node { .. } | Command::Agent { .. })
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Dropped after all else, so that the last lines are written.
    let _log = cli.command.serves().then(output::start_log_thread);
    run(cli)
}

fn run(cli: Cli) -> ExitCode {
    let Ok(filter) = EnvFilter::try_new(&cli.level) else {
        error_line!(
            "craneknot: --level {:?} is not a level such as `info` or `warn,craneknot_agent=debug`",
            cli.level
        );
        return ExitCode::from(2);
    };
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(output::log())
        .log_internal_errors(false)
        .with_target(false);
    match cli.log {
        LogForm::Json => log.json().init(),
        LogForm::Text => log.with_ansi(false).init(),
    }
    match act(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => ExitCode::from(failed as u8),
    }
}

fn wrong(problems: Problems) -> Failed {
    error_line!("{problems}");
    Failed::Settings
}

fn system(cause: std::io::Error) -> Failed {
    error!(%cause, "cannot go on");
    Failed::System
}

fn folder_of(file: &Path) -> &Path {
    file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// The script of a file, or the one that is built in; the seed in place of its own.
fn script_of(file: Option<&Path>, seed: Option<u64>) -> Result<Script, Failed> {
    let mut script = match file {
        Some(file) => load::<Script>(file).map_err(wrong)?,
        None => Script::built_in().map_err(wrong)?,
    };
    script.seed = seed.unwrap_or(script.seed);
    Ok(script)
}

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Writes a value as JSON where that was asked for.
fn keep(path: Option<&Path>, value: &impl Serialize) -> Result<(), Failed> {
    path.map_or(Ok(()), |path| fs::write(path, pretty(value) + "\n").map_err(system))
}

fn act(command: Command) -> Result<(), Failed> {
    match command {
        Command::Run { settings } => {
            // Before anything else: a signal that is not heeded yet ends the process at once.
            let signals = SignalFlags::register(&[SIGHUP, SIGINT, SIGTERM]).map_err(system)?;
            let read: CoordinatorSettings = load(&settings).map_err(wrong)?;
            let clock = Arc::new(SteadyClock::new());
            let mut shell = Shell::new(read, folder_of(&settings), clock).map_err(system)?;
            shell.reload_from(&settings);
            shell.tell_dropped_lines(output::dropped_lines());
            shell.end_on(signals);
            match shell.run() {
                Ended::Asked => Ok(()),
                Ended::Failed(cause) => Err(system(cause)),
            }
        }
        Command::Node { config } => {
            let Some(file) = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from)) else {
                error_line!("craneknot: name the configuration, or set NODE_CONFIG to its path");
                return Err(Failed::Settings);
            };
            let clock = Arc::new(SteadyClock::new());
            let ends = [SIGINT, SIGTERM];
            let mut shell =
                craneknot_node::shell::Shell::new(&file, clock, &ends).map_err(|cause| match cause {
                    StartError::Config(what) => {
                        error_line!("craneknot: {what}");
                        Failed::Settings
                    }
                    StartError::System(cause) => system(cause),
                })?;
            shell.set_dropped_line_counter(output::dropped_lines());
            match shell.run() {
                craneknot_node::shell::ExitReason::Signalled => Ok(()),
                craneknot_node::shell::ExitReason::Failed(cause) => Err(system(cause)),
            }
        }
        Command::Agent { settings } => {
            let signals = SignalFlags::register(&[SIGINT, SIGTERM]).map_err(system)?;
            let read: AgentSettings = load(&settings).map_err(wrong)?;
            let clock = Arc::new(SteadyClock::new());
            let shell = craneknot_agent::shell::Shell::new(read, folder_of(&settings), clock);
            let mut shell = shell.map_err(system)?;
            shell.end_on(signals);
            shell.run().map_err(system)
        }
        Command::Check { file, kind } => {
            match kind {
                Kind::Coordinator => load::<CoordinatorSettings>(&file).map(drop),
                Kind::Agent => load::<AgentSettings>(&file).map(drop),
                Kind::Script => load::<Script>(&file).map(drop),
            }
            .map_err(wrong)?;
            print_line!("{}: in order", file.display());
            Ok(())
        }
        Command::Schema { kind } => {
            print_line!(
                "{}",
                match kind {
                    Kind::Coordinator => schema_text::<CoordinatorSettings>(),
                    Kind::Agent => schema_text::<AgentSettings>(),
                    Kind::Script => schema_text::<Script>(),
                }
            );
            Ok(())
        }
        Command::Rehearse { script, seed, report, folder, record, upgrade_from } => {
            let read = script_of(script.as_deref(), seed)?;
            let program = std::env::current_exe().map_err(system)?;
            let programs = Programs { first: upgrade_from.as_deref().unwrap_or(&program), next: &program };
            let kept = Kept { folder: folder.as_deref(), recording: record.as_deref() };
            let result = craneknot_rehearsal::rehearse(&read, programs, kept).map_err(system)?;
            output::write_output(format_args!("{}", result.lines()));
            keep(report.as_deref(), &result)?;
            if result.passed() {
                Ok(())
            } else {
                Err(Failed::Rule)
            }
        }
        Command::Trial(asked) => trial::trial(&asked),
        Command::Soak {
            seed,
            seeds,
            nodes,
            seconds,
            incident,
            busy,
            throttle,
            program,
            fault_library,
            folder,
        } => {
            let kept = tempfile::tempdir().map_err(system)?;
            let settings = SoakSettings {
                seed,
                scenario: if incident { Scenario::Incident } else { Scenario::Random },
                nodes: usize::from(nodes),
                length: Duration::from_secs(seconds),
                load: Load { busy: usize::from(busy), throttled: throttle },
                program: program.map_or_else(std::env::current_exe, Ok).map_err(system)?,
                fault_library,
                folder: folder.unwrap_or_else(|| kept.path().to_owned()),
            };
            soak::soak(&settings, seeds)
        }
        Command::Model { act } => model::act(act),
        Command::Solve(asked) => solve::solve(&asked),
        Command::Status { coordinators, json } => {
            let mut failed = false;
            for address in coordinators {
                match status::ask(address, "/status") {
                    Ok(status) if json => print_line!("{status}"),
                    Ok(status) => output::write_output(format_args!("{}", status::text(address, &status))),
                    Err(cause) => {
                        error_line!("{address}: {cause}");
                        failed = true;
                    }
                }
            }
            if failed {
                Err(Failed::System)
            } else {
                Ok(())
            }
        }
        Command::Measure { agents, servers, seconds, sync, report } => {
            let program = std::env::current_exe().map_err(system)?;
            let asked = craneknot_rehearsal::measure::Asked { agents, servers, seconds, sync };
            let figures = craneknot_rehearsal::measure::measure(&program, asked).map_err(system)?;
            print_line!("{}", pretty(&figures));
            keep(report.as_deref(), &figures)
        }
    }
}
