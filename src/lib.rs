//! The decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`interface`] holds what goes in and what comes out, free of any wire; [`policy`] holds every decision.

pub mod interface;
pub mod policy;
mod state;

pub use state::{Controller, Load, Sign, State, Transition};
