//! The decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`interface`] defines the inputs and outputs, independent of any wire protocol. The decisions are made in
//! [`policy`] (groups and bindings), `health` (servers), `levels` (admission of groups), `cold_placements`
//! (placements whose servers are all cold), `sender` (what is sent when), `message_pace` and `line_pace` (how often
//! each proxy is written to and how much may wait, whatever is repeated).

mod cold_placements;
mod health;
pub mod interface;
mod levels;
mod line_pace;
mod message_pace;
pub mod policy;
mod sender;
mod state;

pub use line_pace::{LineAdmission, LinePace};
pub use message_pace::MessagePace;
pub use state::{Controller, LoadState, ServerState, ServerTrigger, Transition};
