//! `craneknot trial`: several seeds in a row, judged by a model that shares nothing with the program.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use craneknot_rehearsal::trial::{run, Overlay, Script, TrialSettings};

use crate::output::{print_line, write_output};
use crate::{keep, system, Failed};

/// The scripts by name.
#[derive(Clone, Copy, ValueEnum)]
enum ScriptName {
    /// A release in place without end.
    Release,
    /// The same, with coordinators killed, a zone lost, all proxies at one coordinator, and its planned restart.
    Incident,
}

#[derive(Args)]
pub struct Trial {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds in a row.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long each seed lasts, s; the times of the script scale with it.
    #[arg(long, default_value_t = 63)]
    seconds: u64,
    /// Which day is played.
    #[arg(long, value_enum, default_value = "incident")]
    script: ScriptName,
    /// A fault that is laid over it, such as `relay-broken`; may be given several times.
    #[arg(long)]
    lay_over: Vec<Overlay>,
    /// The program on trial, another build of this one; left out: this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The library of failing system calls and stepped clocks, which some faults need.
    #[arg(long)]
    fault_library: Option<PathBuf>,
    /// Where the reports are written, as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Where configurations and logs are kept; left out: a new folder, removed at the end.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl Trial {
    fn settings(&self, seed: u64, folder: PathBuf) -> Result<TrialSettings, Failed> {
        Ok(TrialSettings {
            seed,
            script: match self.script {
                ScriptName::Release => Script::Release,
                ScriptName::Incident => Script::Incident,
            },
            length: Duration::from_secs(self.seconds),
            overlays: self.lay_over.clone(),
            program: self.program.clone().map_or_else(std::env::current_exe, Ok).map_err(system)?,
            fault_library: self.fault_library.clone(),
            folder,
            injected_fault: None,
        })
    }
}

/// Plays so many seeds from the first on.
pub fn trial(asked: &Trial) -> Result<(), Failed> {
    let kept = tempfile::tempdir().map_err(system)?;
    let folder = asked.folder.clone().unwrap_or_else(|| kept.path().to_owned());
    let mut reports = Vec::new();
    for seed in asked.seed..asked.seed + asked.seeds {
        let folder = folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(system)?;
        let report = run(&asked.settings(seed, folder)?).map_err(system)?;
        write_output(format_args!("{}", report.text()));
        reports.push(report);
    }
    keep(asked.report.as_deref(), &reports)?;
    let failed = reports.iter().filter(|report| !report.passed()).count();
    print_line!("{} seeds, {failed} failed", reports.len());
    if failed == 0 {
        Ok(())
    } else {
        Err(Failed::Rule)
    }
}
