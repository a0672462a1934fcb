//! The `craneknot` command line program.

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
use craneknot_coordinator::shell::{ExitReason, Shell};
use craneknot_node::shell::StartError;
use craneknot_reactor::{SignalFlags, SteadyClock};
use craneknot_rehearsal::runner::{Outputs, Programs};
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

/// A failure, with its exit code. Code 2 is used by clap for an invalid command line.
#[derive(Clone, Copy)]
enum Failure {
    /// A rule was broken in a run.
    Rule = 1,
    /// Invalid settings, script or input file.
    Settings = 3,
    /// An I/O error: files, sockets or processes.
    System = 4,
}

#[derive(Parser)]
#[command(name = "craneknot", version, about = "A traffic director for a fleet of plain proxies")]
#[command(
    after_help = "Exit codes: 0 success, 1 a rule was broken, 2 command line, 3 settings, 4 system error."
)]
struct Cli {
    /// Format of the log, which is written to standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    /// Log level, or a list of levels by module, such as `info,craneknot_agent=debug`.
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
        /// Settings, a JSON file.
        settings: PathBuf,
    },
    /// Runs a coordinator on the users' platform.
    Node {
        /// Configuration, a JSON file; by default the file that the environment variable NODE_CONFIG names.
        config: Option<PathBuf>,
    },
    /// Runs an agent for one or more proxies on the same machine.
    Agent {
        /// Settings, a JSON file.
        settings: PathBuf,
    },
    /// Validates a settings file or a rehearsal script.
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "coordinator")]
        kind: Kind,
    },
    /// Prints the JSON schema of the settings or of rehearsal scripts.
    Schema {
        #[arg(value_enum, default_value = "coordinator")]
        kind: Kind,
    },
    /// Starts a whole fleet with simulated servers, proxies and clients on this machine, injects the faults of a script,
    /// and checks the rules from the traffic on the sockets.
    Rehearse {
        /// Script, a JSON file; by default a short built-in script.
        script: Option<PathBuf>,
        /// Overrides the seed of the script.
        #[arg(long)]
        seed: Option<u64>,
        /// Writes the report to this file, as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Folder for settings, files and logs of the rehearsal; by default a temporary folder, removed at the end.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Writes a recording of the run to this file, as gzipped JSON lines, for replay in the model.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Program of an earlier version to start with; a rolling upgrade in the script replaces it by this program.
        #[arg(long)]
        upgrade_from: Option<PathBuf>,
    },
    /// Runs a soak test of coordinators on the users' platform: real processes among simulated peers, with overlapping
    /// random faults, checked against the invariants. A seed determines the schedule.
    Soak {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of coordinators.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(2..=40))]
        nodes: u16,
        /// Duration of the run of each seed, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Plays the incident script in addition to random faults: a continuous release, a coordinator killed, a zone lost
        /// together with another coordinator, all proxies moved to the first coordinator, and its planned restart.
        #[arg(long)]
        incident: bool,
        /// Number of threads that keep the processor busy during the run of each seed.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=64))]
        busy: u16,
        /// Limits each coordinator to a quarter of a core for a randomly chosen interval.
        #[arg(long)]
        throttle: bool,
        /// Program to test, another build of this one; by default this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Library that makes system calls fail, preloaded into every other coordinator.
        #[arg(long)]
        fault_library: Option<PathBuf>,
        /// Folder for configurations and logs; by default a temporary folder, removed at the end.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Tests coordinators with a scripted sequence of events: real processes among simulated peers, checked against
    /// deadlines and an independent model of servers, proxies and channels that shares no code with the program.
    Trial(trial::Trial),
    /// Runs a rehearsal script in simulated time.
    Model {
        #[command(subcommand)]
        act: model::Act,
    },
    /// Computes server weights from a coordinator's ledger, or explains the weights of a running coordinator.
    Solve(solve::Solve),
    /// Prints the status of coordinators: streams, queued lines, and in a shared fleet members, leases and epochs.
    Status {
        /// Addresses of the coordinators.
        #[arg(required = true)]
        coordinators: Vec<SocketAddr>,
        /// Prints JSON, one object per coordinator.
        #[arg(long)]
        json: bool,
    },
    /// Measures one coordinator with many agents: latency from decision to swapped file, cost and recovery.
    Measure {
        /// Number of agents.
        #[arg(long, default_value_t = 100)]
        agents: u32,
        /// Number of servers in the list.
        #[arg(long, default_value_t = 40)]
        servers: u16,
        /// Duration of each part, in seconds.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// Makes agents sync files to disk.
        #[arg(long)]
        sync: bool,
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

impl Command {
    /// Whether the command runs a service. A service must not block on its standard error, since clients wait for it.
    fn is_service(&self) -> bool {
        matches!(self, Command::Run { .. } | Command::Node { .. } | Command::Agent { .. })
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Dropped last, so that the last log lines are written.
    let _log = cli.command.is_service().then(output::start_log_thread);
    run(cli)
}

fn run(cli: Cli) -> ExitCode {
    let Ok(filter) = EnvFilter::try_new(&cli.level) else {
        error_line!(
            "craneknot: --level {:?} is not a valid log filter; use for example `info` or `warn,craneknot_agent=debug`",
            cli.level
        );
        return ExitCode::from(2);
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(output::log_target())
        .log_internal_errors(false)
        .with_target(false);
    match cli.log {
        LogForm::Json => subscriber.json().init(),
        LogForm::Text => subscriber.with_ansi(false).init(),
    }
    match execute(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => ExitCode::from(failure as u8),
    }
}

fn settings_failure(problems: Problems) -> Failure {
    error_line!("{problems}");
    Failure::Settings
}

fn system_failure(cause: std::io::Error) -> Failure {
    error!(%cause, "cannot continue");
    Failure::System
}

fn parent_folder(file: &Path) -> &Path {
    file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// Loads the script from a file, or the built-in one. A given seed overrides that of the script.
fn load_script(file: Option<&Path>, seed: Option<u64>) -> Result<Script, Failure> {
    let mut script = match file {
        Some(file) => load::<Script>(file).map_err(settings_failure)?,
        None => Script::built_in().map_err(settings_failure)?,
    };
    script.seed = seed.unwrap_or(script.seed);
    Ok(script)
}

fn to_pretty_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Writes a value as JSON to the file, if one is given.
fn write_json(path: Option<&Path>, value: &impl Serialize) -> Result<(), Failure> {
    path.map_or(Ok(()), |path| fs::write(path, to_pretty_json(value) + "\n").map_err(system_failure))
}

fn execute(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run { settings } => {
            // Registered first: a signal without a handler would end the process at once.
            let signals = SignalFlags::register(&[SIGHUP, SIGINT, SIGTERM]).map_err(system_failure)?;
            let parsed: CoordinatorSettings = load(&settings).map_err(settings_failure)?;
            let clock = Arc::new(SteadyClock::new());
            let mut shell = Shell::new(parsed, parent_folder(&settings), clock).map_err(system_failure)?;
            shell.reload_from(&settings);
            shell.set_dropped_line_counter(output::dropped_lines());
            shell.end_on(signals);
            match shell.run() {
                ExitReason::Signalled => Ok(()),
                ExitReason::Failed(cause) => Err(system_failure(cause)),
            }
        }
        Command::Node { config } => {
            let Some(file) = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from)) else {
                error_line!("craneknot: no configuration file given; pass its path or set NODE_CONFIG");
                return Err(Failure::Settings);
            };
            let clock = Arc::new(SteadyClock::new());
            let exit_signals = [SIGINT, SIGTERM];
            let mut shell = craneknot_node::shell::Shell::new(&file, clock, &exit_signals).map_err(
                |cause| match cause {
                    StartError::Config(problem) => {
                        error_line!("craneknot: {problem}");
                        Failure::Settings
                    }
                    StartError::System(cause) => system_failure(cause),
                },
            )?;
            shell.set_dropped_line_counter(output::dropped_lines());
            match shell.run() {
                craneknot_node::shell::ExitReason::Signalled => Ok(()),
                craneknot_node::shell::ExitReason::Failed(cause) => Err(system_failure(cause)),
            }
        }
        Command::Agent { settings } => {
            let signals = SignalFlags::register(&[SIGINT, SIGTERM]).map_err(system_failure)?;
            let parsed: AgentSettings = load(&settings).map_err(settings_failure)?;
            let clock = Arc::new(SteadyClock::new());
            let shell = craneknot_agent::shell::Shell::new(parsed, parent_folder(&settings), clock);
            let mut shell = shell.map_err(system_failure)?;
            shell.stop_on_signals(signals);
            shell.run().map_err(system_failure)
        }
        Command::Check { file, kind } => {
            match kind {
                Kind::Coordinator => load::<CoordinatorSettings>(&file).map(drop),
                Kind::Agent => load::<AgentSettings>(&file).map(drop),
                Kind::Script => load::<Script>(&file).map(drop),
            }
            .map_err(settings_failure)?;
            print_line!("{}: valid", file.display());
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
            let script = load_script(script.as_deref(), seed)?;
            let program = std::env::current_exe().map_err(system_failure)?;
            let programs = Programs { first: upgrade_from.as_deref().unwrap_or(&program), next: &program };
            let outputs = Outputs { folder: folder.as_deref(), recording: record.as_deref() };
            let result = craneknot_rehearsal::rehearse(&script, programs, outputs).map_err(system_failure)?;
            output::write_output(format_args!("{}", result.lines()));
            write_json(report.as_deref(), &result)?;
            if result.passed() {
                Ok(())
            } else {
                Err(Failure::Rule)
            }
        }
        Command::Trial(options) => trial::run_seeds(&options),
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
            let temporary = tempfile::tempdir().map_err(system_failure)?;
            let settings = SoakSettings {
                seed,
                scenario: if incident { Scenario::Incident } else { Scenario::Random },
                nodes: usize::from(nodes),
                length: Duration::from_secs(seconds),
                load: Load { busy: usize::from(busy), throttled: throttle },
                program: program.map_or_else(std::env::current_exe, Ok).map_err(system_failure)?,
                fault_library,
                folder: folder.unwrap_or_else(|| temporary.path().to_owned()),
            };
            soak::run_seeds(&settings, seeds)
        }
        Command::Model { act } => model::execute(act),
        Command::Solve(options) => solve::execute(&options),
        Command::Status { coordinators, json } => {
            let mut has_failed = false;
            for address in coordinators {
                match status::fetch(address, "/status") {
                    Ok(status) if json => print_line!("{status}"),
                    Ok(status) => output::write_output(format_args!("{}", status::to_text(address, &status))),
                    Err(cause) => {
                        error_line!("{address}: {cause}");
                        has_failed = true;
                    }
                }
            }
            if has_failed {
                Err(Failure::System)
            } else {
                Ok(())
            }
        }
        Command::Measure { agents, servers, seconds, sync, report } => {
            let program = std::env::current_exe().map_err(system_failure)?;
            let options = craneknot_rehearsal::measure::MeasureSettings { agents, servers, seconds, sync };
            let figures = craneknot_rehearsal::measure::measure(&program, options).map_err(system_failure)?;
            print_line!("{}", to_pretty_json(&figures));
            write_json(report.as_deref(), &figures)
        }
    }
}
