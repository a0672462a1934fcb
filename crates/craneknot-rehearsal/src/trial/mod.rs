//! A trial of `craneknot node`: real processes on loopback among simulated peers, a scripted day of faults, and a judge
//! that shares no code with the program under test.
//!
//! [`script`] generates the day from a seed, with [`release`] and [`overlay`]; [`script_runner`] executes it on
//! [`process`]es and simulated peers. [`fleet`] holds the proxies and the workload, [`registry`] the list of servers;
//! [`relay`] and [`discovery`] serve them over sockets, [`collectors`] forward reports. [`clients`] and [`bad_clients`]
//! send requests to the coordinators. [`judge`] checks due times against the [`timeline`]; [`report`] holds the results.

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
