//! A simulation of servers, proxies and the coordinators' channels that evaluates a control service by the
//! effect of its orders.
//!
//! Nothing here performs I/O, reads a clock or starts a thread: [`Workload::advance`] takes the time since
//! the start of the run, and every other method acts at the latest such time. Equal seeds and equal calls
//! give equal results. The model is written from the description of the platform alone and shares no code
//! with the service that it evaluates.

mod arrivals;
mod channel;
mod delivery;
mod dispatch;
mod engine;
mod events;
mod operation;
mod orders;
mod pick;
mod proxy;
mod reference_policy;
mod reports;
mod rule_checks;
mod server;
mod settings;
mod summary;

pub use engine::Workload;
pub use orders::{Acknowledgement, ClientReport, LoadReport, Order, UpstreamReport, WorkloadError};
pub use settings::{Admission, ClassSpec, Pick, Semantics, ServerSpec, WorkDistribution, WorkloadSettings};
pub use summary::{
    DrainBreach, LostOperation, NoLinePeriod, Outcome, OverloadCrash, QueueBreach, Reason, ServerAction,
    ServerChange, Summary, Tally, Window,
};
