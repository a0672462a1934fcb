//! The decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`interface`] defines the inputs and outputs, independent of any wire protocol. The decisions are made in
//! [`policy`] (groups and bindings), `health` (servers), `levels` (admission of groups), `cold_placements`
//! (placements whose servers are all cold), `sender` (what is sent when) and `message_pace` (how often each proxy is
//! written to, repeated messages included).

mod cold_placements;
mod health;
pub mod interface;
mod levels;
mod message_pace;
pub mod policy;
mod sender;
mod state;

pub use message_pace::MessagePace;
pub use state::{Controller, LoadState, ServerState, ServerTrigger, Transition};
