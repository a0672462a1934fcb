//! A trial of `craneknot node`: real processes on loopback among stand-ins, a scripted day of faults, and a judge that
//! shares nothing with what it judges.
//!
//! [`script`] draws the day from a seed, with [`release`] and [`overlay`]; [`stage`] carries it out on [`process`]es and
//! stand-ins. [`fleet`] holds the proxies and the workload, [`registry`] the list of servers; [`relay`] and [`discovery`]
//! put them on sockets, [`collectors`] pass reports on. [`clients`] and [`bad_clients`] ask the coordinators. [`judge`]
//! goes by due times and the [`timeline`]; [`report`] is what came of it.

pub mod bad_clients;
pub mod clients;
pub mod collectors;
pub mod deployment;
pub mod discovery;
pub mod event_streams;
pub mod fleet;
pub mod judge;
pub mod orders;
pub mod overlay;
pub mod process;
pub mod process_monitor;
pub mod registry;
pub mod relay;
pub mod release;
pub mod report;
pub mod reports;
pub mod run;
pub mod script;
pub mod script_runner;
pub mod settings;
pub mod timeline;

pub use judge::Reading;
pub use overlay::Overlay;
pub use report::TrialReport;
pub use run::run;
pub use script::Script;
pub use settings::{InjectedFault, TrialSettings};
