//! The fleet in simulated time. The same script that a rehearsal plays on sockets is played here on events: the same
//! decisions (through the coordinator's desk), the same agents' holdings, the same stand-in servers, proxies and clients,
//! and the same auditor; only sockets and waiting are left out.
//!
//! [`world`] is the engine, one seed one run; [`experiment`] plays replications and gives means with error bars;
//! [`hunt`] looks for bad days.

pub mod experiment;
pub mod hunt;
pub mod world;
