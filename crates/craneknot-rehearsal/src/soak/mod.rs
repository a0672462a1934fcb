//! A randomized fault soak of `craneknot node`: real processes among stand-ins of relay, discovery, collectors and
//! clients, with faults that overlap in time and the invariants as the oracle.
//!
//! [`schedule`] draws all faults from one seed. [`fleet`] is what relay and discovery know, [`relay`] and [`discovery`]
//! put it on sockets, [`fault_proxy`] stands between them and each node. [`clients`] ask for signs of life and report.
//! [`oracle`] judges what the peers saw, [`coverage`] what proxies hold; [`node`] keeps the processes; [`run`] plays the
//! schedule.

pub mod clients;
pub mod coverage;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub(crate) mod http;
pub mod node;
pub mod oracle;
pub mod relay;
pub mod run;
pub mod schedule;

pub use run::{run, SoakReport, SoakSettings};
pub use schedule::Day;
