//! The running coordinator: passes events to the decisions (`craneknot::Controller`) and carries out their
//! orders. [`engine`] is the coordinator without I/O; [`shell`] connects it to sockets and files.
//!
//! The remaining modules hold the program's own rules: which server lists are accepted ([`roster`]), which
//! load reports count ([`report_aggregator`]), when a stream is sent resources and how a rejection is handled
//! ([`session`]), and when a message leaves the channel ([`channel`]). [`ledger`] records the events given to
//! the decisions. Each takes the current time as an argument.

pub mod channel;
pub mod engine;
pub mod ledger;
pub mod probes;
pub mod proxy_ids;
pub mod report_aggregator;
pub mod resource_cache;
pub mod roster;
pub mod roster_source;
pub mod session;
pub mod shell;
pub mod status_client;
pub mod weights;
