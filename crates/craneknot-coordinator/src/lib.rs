//! The running coordinator: it feeds the decisions (`craneknot::Controller`) what occurs and carries out their
//! orders. [`desk`] is the whole of it without I/O; [`shell`] puts it on sockets and files.
//!
//! What is decided here is the program's own: what a list of servers that came is worth ([`roster`]), what a
//! report counts ([`intake`]), when a stream is sent something and what a refusal leads to ([`session`]), when a
//! message leaves the channel ([`channel`]). [`ledger`] keeps what was told. Each is a module of its own, with the clock passed in.

pub mod ask;
pub mod book;
pub mod channel;
pub mod desk;
pub mod ids;
pub mod intake;
pub mod ledger;
pub mod probes;
pub mod roster;
pub mod session;
pub mod shell;
pub mod source;
pub mod weights;
