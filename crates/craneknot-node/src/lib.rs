//! A coordinator for the platform whose protocols `craneknot_platform` implements. [`coordinator`] contains all
//! of it except I/O: it passes events to the controller (`craneknot::Controller`) and carries out its orders;
//! [`shell`] connects it to sockets.
//!
//! The program's own decisions each have a module of their own and take the clock as an argument: who may
//! connect to the coordinator's address ([`clients`]), which work is pending for whom ([`pending`]), what the
//! event streams report together ([`event_streams`], [`presence`]), when an uncertain call is retried
//! ([`order_queue`]), in which sequence orders are sent ([`order_sequence`]), which calls the channel's limits
//! allow ([`call_limits`], [`call_cost`], [`relay_state`]), how the list is watched ([`list_watch`],
//! [`watch_recovery`]), how old a
//! server is ([`server_age`]), whether each proxy has a usable line ([`coverage`]), what is logged
//! ([`log_event`], [`status`]), how file descriptors are divided ([`descriptors`]), and which probes are in
//! flight ([`probes`]).

pub mod call_cost;
pub mod call_limits;
pub mod clients;
pub mod coordinator;
pub mod coverage;
pub mod descriptors;
pub mod event_streams;
pub mod link;
pub mod list_watch;
pub mod log_event;
pub mod order_queue;
pub mod order_sequence;
pub mod pending;
pub mod presence;
pub mod probes;
pub mod relay_state;
pub mod server_age;
pub mod shell;
pub mod status;
pub mod takeover;
pub mod watch_recovery;
