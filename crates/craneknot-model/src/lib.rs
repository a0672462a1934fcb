//! Discrete-event simulation of the fleet. It runs the same scripts as a rehearsal, but on events instead of
//! sockets: the same decisions (through the coordinator's control loop), the same fleet state machines
//! (membership, lease, takeover), the same agents' state, the same simulated servers, proxies and clients,
//! and the same auditor; only sockets and waiting are left out.
//!
//! [`world`] is the simulation engine, one run per seed; [`experiment`] runs replications and computes means
//! with confidence intervals; [`fit`] estimates from a recording the parameters that cannot be observed;
//! [`feed`] makes a recording from coordinators' ledgers; [`hosted`] runs the decisions of other builds;
//! [`timeline`] and [`plot`] display runs and experiments; [`baseline`] and [`bound`] provide other policies
//! and an upper bound for comparison; [`hunt`] searches for runs with broken rules or poor service.

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
