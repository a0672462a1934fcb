//! A model of servers, proxies and coordinators' channels that judges a control service by what its orders do.
//!
//! Nothing here performs I/O, reads a clock or starts a thread: [`Workload::advance`] takes the time since the
//! start of the day, and every other method acts at the last such time. Equal seeds and equal calls give equal
//! days. The model is written from the description of the platform alone and shares no code with the service
//! that it judges.

mod arrivals;
mod channel;
mod delivery;
mod dispatch;
mod engine;
mod events;
mod late_sight;
mod operation;
mod orders;
mod pick;
mod proxy;
mod reports;
mod rules;
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
