//! `craneknot trial`: runs consecutive seeds, checked against an independent model that shares no code with the program.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use craneknot_rehearsal::trial::{run, Overlay, Script, TrialSettings};

use crate::output::{print_line, write_output};
use crate::{system_failure, write_json, Failure};

/// Names of the scripts on the command line.
#[derive(Clone, Copy, ValueEnum)]
enum ScriptName {
    /// A continuous in-place release.
    Release,
    /// The same, with coordinators killed, a zone lost, all proxies moved to one coordinator, and its planned restart.
    Incident,
}

#[derive(Args)]
pub struct Trial {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of the run of each seed, in seconds; the times of the script scale with it.
    #[arg(long, default_value_t = 63)]
    seconds: u64,
    /// Script to run.
    #[arg(long, value_enum, default_value = "incident")]
    script: ScriptName,
    /// Fault to add to the script, such as `relay-broken`; may be given several times.
    #[arg(long)]
    lay_over: Vec<Overlay>,
    /// Program to test, another build of this one; by default this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Library that makes system calls fail and steps clocks; some faults need it.
    #[arg(long)]
    fault_library: Option<PathBuf>,
    /// Writes the reports to this file, as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Folder for configurations and logs; by default a temporary folder, removed at the end.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl Trial {
    fn settings(&self, seed: u64, folder: PathBuf) -> Result<TrialSettings, Failure> {
        Ok(TrialSettings {
            seed,
            script: match self.script {
                ScriptName::Release => Script::Release,
                ScriptName::Incident => Script::Incident,
            },
            length: Duration::from_secs(self.seconds),
            overlays: self.lay_over.clone(),
            program: self.program.clone().map_or_else(std::env::current_exe, Ok).map_err(system_failure)?,
            fault_library: self.fault_library.clone(),
            folder,
            injected_fault: None,
        })
    }
}

/// Runs the requested number of consecutive seeds, starting from the first one.
pub fn run_seeds(options: &Trial) -> Result<(), Failure> {
    let temporary = tempfile::tempdir().map_err(system_failure)?;
    let folder = options.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    let mut reports = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        let folder = folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(system_failure)?;
        let report = run(&options.settings(seed, folder)?).map_err(system_failure)?;
        write_output(format_args!("{}", report.text()));
        reports.push(report);
    }
    write_json(options.report.as_deref(), &reports)?;
    let failed = reports.iter().filter(|report| !report.passed()).count();
    print_line!("{} seeds, {failed} failed", reports.len());
    if failed == 0 {
        Ok(())
    } else {
        Err(Failure::Rule)
    }
}
