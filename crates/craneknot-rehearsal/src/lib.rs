//! The rehearsal kit: simulated servers, proxies, clients and roster, coordinators and agents as real processes, a
//! script of faults, and the auditor that checks the rules against the recorded traffic.
//!
//! [`script`] describes a rehearsal; [`plan`] is its schedule of events, drawn from the script's seed. [`machine`],
//! [`proxy_policy`] and [`caller`] are the simulated parties without I/O; [`servers`] and [`proxies`] connect them to
//! sockets. [`runner`] starts the processes and executes the plan. [`auditor`] depends on nothing of these but the
//! [`record`]. [`soak`] is a randomized fault soak of the coordinator on the users' platform; [`trial`] plays scripted
//! days there, judged by due times and by the [`workload`] model.

pub mod auditor;
pub mod caller;
pub mod load_totals;
pub mod machine;
pub mod measure;
pub mod plan;
pub mod proxies;
pub mod proxy_policy;
pub mod record;
pub mod recording;
pub mod relay;
pub mod report;
pub mod runner;
pub mod script;
pub mod servers;
pub mod soak;
pub mod trial;
pub mod workload;

pub use report::Report;
pub use runner::rehearse;
pub use script::Script;
