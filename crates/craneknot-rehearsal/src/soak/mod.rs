//! A randomized fault soak of `craneknot node`: real processes among simulated relay, discovery, collectors and
//! clients, with overlapping random faults and checks of the invariants.
//!
//! [`schedule`] draws all faults from one seed. [`fleet`] holds the state of relay and discovery, [`relay`] and
//! [`discovery`] serve it on sockets, and [`fault_proxy`] sits between them and each node. [`clients`] send heartbeats
//! and reports. [`invariants`] checks what the peers observed, using [`spans`] and [`active_faults`]; [`coverage`]
//! checks what proxies hold. [`node`] manages the processes. [`run`] starts everything and injects the scheduled
//! faults, with an optional [`load`].

pub mod active_faults;
pub mod clients;
pub mod coverage;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub(crate) mod http;
mod injection;
pub mod invariants;
pub mod load;
pub mod node;
pub mod relay;
pub mod run;
pub mod schedule;
pub mod spans;

pub use load::Load;
pub use run::{run, SoakReport, SoakSettings};
pub use schedule::Scenario;
