//! What is asked of a trial.

use std::path::PathBuf;
use std::time::Duration;

use super::overlay::Overlay;
use super::script::Script;

/// A break of the stand-ins, not of the node, that the judge must tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The relay takes lines of tables and does not carry them out.
    LinesDropped,
    /// Every server falls silent while discovery lists it.
    SilentServers,
    /// What the coordinators answer comes too late.
    LateAnswers,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct TrialSettings {
    pub seed: u64,
    pub script: Script,
    pub length: Duration,
    /// Faults that are laid over the script.
    pub overlays: Vec<Overlay>,
    /// The program whose `node` is on trial.
    pub program: PathBuf,
    /// The library of failing system calls and stepped clocks.
    pub fault_library: Option<PathBuf>,
    /// Where configurations and logs are kept.
    pub folder: PathBuf,
    pub injected_fault: Option<InjectedFault>,
}
