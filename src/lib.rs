//! The decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`interface`] holds what goes in and what comes out, free of any wire. Decisions stand in [`policy`] (groups and
//! bindings), `health` (servers), `levels` (what groups take in), `cold_placements` (placements whose servers are all cold)
//! and `sender` (what is sent when).

mod cold_placements;
mod health;
pub mod interface;
mod levels;
pub mod policy;
mod sender;
mod state;

pub use state::{Controller, LoadState, ServerState, ServerTrigger, Transition};
