//! The users' platform's messages, without I/O: its configuration, the reports that collectors bring, the calls and
//! the news of its relay, discovery, probes. Bytes become the decisions' events, orders become bytes. The
//! platform's words stay in here; nothing is decided here but whether a message can be read.

pub mod config;
pub mod discovery;
pub mod events;
pub mod messages;
pub mod probe;
pub mod relay;

mod fields;
