//! A real coordinator on the users' platform. [`coordinator`] is the whole of it without I/O: it streams the decisions
//! (`craneknot::Controller`) what occurs and carries out their orders; [`shell`] puts it on sockets.
//!
//! What is decided here is the program's own, each in a file of its own with the clock passed in: who may speak
//! at the coordinator's address ([`clients`]), what is owed to whom ([`pending`]), what the streams of news tell
//! together ([`event_streams`], [`presence`]), when a call in doubt is made again ([`order_queue`]), how the list is followed ([`list_watch`]), how old
//! a server is ([`server_age`]), whether each proxy has a server to go to ([`coverage`]), what is logged ([`log_event`], [`status`]), what descriptors are for ([`descriptors`]), which probes are in flight ([`probes`]).

pub mod clients;
pub mod coordinator;
pub mod coverage;
pub mod descriptors;
pub mod event_streams;
pub mod link;
pub mod list_watch;
pub mod log_event;
pub mod order_queue;
pub mod pending;
pub mod presence;
pub mod probes;
pub mod server_age;
pub mod shell;
pub mod status;
pub mod takeover;
