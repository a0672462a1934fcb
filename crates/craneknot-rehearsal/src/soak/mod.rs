//! A randomized fault soak of `craneknot node`: real processes among stand-ins of relay, discovery, collectors and
//! clients, with faults that overlap in time and the invariants as the oracle.
//!
//! [`schedule`] draws all faults from one seed. [`fleet`] is what relay and discovery know, [`relay`] and [`discovery`]
//! put it on sockets, [`fault_proxy`] stands between them and each node. [`clients`] ask for signs of life and report.
//! [`oracle`] judges what the peers saw, by [`hold_ups`] and [`active_faults`], [`coverage`] what proxies hold; [`node`] keeps the processes; [`run`] raises it all
//! and plays the schedule, beside a [`load`].

pub mod active_faults;
pub mod clients;
pub mod coverage;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub mod hold_ups;
pub(crate) mod http;
pub mod load;
pub mod node;
pub mod oracle;
mod play;
pub mod relay;
pub mod run;
pub mod schedule;

pub use load::Load;
pub use run::{run, SoakReport, SoakSettings};
pub use schedule::Day;
