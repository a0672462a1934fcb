//! The settings of a trial.

use std::path::PathBuf;
use std::time::Duration;

use super::overlay::Overlay;
use super::script::Script;

/// A fault of the simulated peers, not of the node, that the judge must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The relay accepts lines of tables without executing them.
    LinesDropped,
    /// Every server stops responding while discovery still lists it.
    SilentServers,
    /// The answers of the coordinators arrive too late.
    LateAnswers,
}

/// The settings of one trial.
#[derive(Clone, Debug)]
pub struct TrialSettings {
    pub seed: u64,
    pub script: Script,
    pub length: Duration,
    /// Faults that are added to the script.
    pub overlays: Vec<Overlay>,
    /// The program whose `node` command is tested.
    pub program: PathBuf,
    /// The library of failing system calls and stepped clocks.
    pub fault_library: Option<PathBuf>,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    pub injected_fault: Option<InjectedFault>,
}
