//! The fleet in simulated time. The same script that a rehearsal plays on sockets is played here on events: the same
//! decisions (through the coordinator's desk), the same fleet machines (membership, lease, takeover), the same agents'
//! holdings, the same stand-in servers, proxies and clients, and the same auditor; only sockets and waiting are left out.
//!
//! [`world`] is the engine, one seed one run; [`experiment`] plays replications and gives means with error bars;
//! [`fit`] finds from a recording what cannot be seen; [`feed`] makes a recording of coordinators' ledgers;
//! [`hosted`] plays the decisions of other builds; [`timeline`] and [`plot`] show runs and experiments;
//! [`baseline`] and [`bound`] give the distance to something else; [`hunt`] looks for bad days.

pub mod baseline;
pub mod bound;
pub mod experiment;
pub mod feed;
pub mod fit;
pub mod hosted;
pub mod hunt;
pub mod plot;
pub mod timeline;
pub mod world;
