//! A real coordinator on the users' platform. [`desk`] is the whole of it without I/O: it streams the decisions
//! (`craneknot::Controller`) what occurs and carries out their orders; [`shell`] puts it on sockets.
//!
//! What is decided here is the program's own, each in a file of its own with the clock passed in: who may speak
//! at the coordinator's address ([`door`]), which stream of news counts ([`event_streams`]), when a call in doubt is made
//! again ([`outbox`]), how the list is followed ([`watch`]), which probes are in flight ([`probes`]).

pub mod desk;
pub mod door;
pub mod event_streams;
pub mod link;
pub mod outbox;
pub mod probes;
pub mod shell;
pub mod watch;
