//! Codecs of the platform's protocols, without I/O: the configuration, the reports that collectors send, the calls to the
//! relay and its event stream, discovery, and probes. They parse bytes into events for the decisions and encode orders
//! into bytes. The platform's names are confined to this crate, which decides only whether a message is valid.

pub mod config;
pub mod discovery;
pub mod events;
pub mod messages;
pub mod probe;
pub mod relay;

mod fields;
