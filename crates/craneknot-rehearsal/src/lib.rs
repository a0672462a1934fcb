//! The rehearsal kit: stand-in servers, proxies, clients and roster, coordinators and agents as real processes, a
//! script of troubles, and the auditor that judges the rules from what crossed the sockets.
//!
//! [`script`] is what is asked for, [`plan`] what will happen when, drawn from the script's seed. [`machine`],
//! [`chooser`] and [`caller`] are the stand-ins without I/O; [`servers`] and [`proxies`] put them on sockets.
//! [`conduct`] raises the processes and plays the plan. [`auditor`] knows nothing of all these but the
//! [`record`]. [`soak`] is a randomized fault soak of the coordinator on the users' platform; [`trial`] plays scripted
//! days there, judged by due times and by the [`workload`] model.

pub mod auditor;
pub mod caller;
pub mod chooser;
pub mod conduct;
pub mod machine;
pub mod measure;
pub mod plan;
pub mod proxies;
pub mod record;
pub mod recording;
pub mod relay;
pub mod report;
pub mod script;
pub mod servers;
pub mod soak;
pub mod sums;
pub mod trial;
pub mod workload;

pub use conduct::rehearse;
pub use report::Report;
pub use script::Script;
