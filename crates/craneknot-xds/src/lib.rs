//! The published discovery and load-reporting messages (xDS v3) as JSON, and what an order means as a resource.
//!
//! Field names are those of the published protocol buffers in their original spelling; on input the lower camel
//! case of proto3's JSON mapping is taken as well. [`discovery`] has the envelopes, [`resources`] what they
//! carry, [`load`] what proxies report, [`orca`] what servers say of themselves in their answers, [`meaning`]
//! how a table, a binding and a level read as resources and back.

pub mod convert;
pub mod discovery;
pub mod load;
pub mod orca;
pub mod resources;
