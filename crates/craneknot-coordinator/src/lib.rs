//! The running coordinator: it feeds the decisions (`craneknot::Controller`) what occurs and carries out their
//! orders. [`desk`] is the whole of it without I/O; [`shell`] puts it on sockets and files.
//!
//! What is decided here is the program's own: what a list of servers that came is worth ([`roster`]), what a
//! report counts ([`intake`]), when a stream is sent something and what a refusal leads to ([`session`]), when a
//! message leaves the channel ([`channel`]). [`ledger`] keeps what was told. Each is a module of its own, with the clock passed in.

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
