//! The xDS v3 messages of discovery and load reporting as JSON, and the conversion of orders to resources.
//!
//! Field names are those of the published protocol buffers in their original spelling; input may also use the lower
//! camel case of proto3's JSON mapping. [`discovery`] has the requests and responses, [`resources`] the resources in
//! them, [`load`] the load reports of proxies, [`orca`] the load reports of servers in their answers, and [`convert`]
//! converts tables, bindings and levels to resources and back.

pub mod convert;
pub mod discovery;
pub mod load;
pub mod orca;
pub mod resources;
