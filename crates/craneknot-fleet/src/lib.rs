//! Several coordinators that share one fleet. These are state machines without I/O: the clock and a seed are passed in,
//! and what to send and what to save is returned.
//!
//! - [`swim`]: failure detection by SWIM with suspicion and incarnation numbers.
//! - [`raft`]: a replicated log of views, by Raft with pre-vote and leader lease.
//! - [`view`]: which coordinator owns which proxy in a view, by rendezvous hashing; each view has an epoch.
//! - [`member`]: one coordinator as a member: its lease on a view, and whether it may send orders to a proxy now.
//! - [`wire`]: datagrams between members.

pub mod member;
pub mod raft;
pub mod swim;
pub mod view;
pub mod wire;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Name of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub Arc<str>);

impl MemberId {
    pub fn new(name: &str) -> Self {
        MemberId(Arc::from(name))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for MemberId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for MemberId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(MemberId::new(&String::deserialize(deserializer)?))
    }
}

/// A time by the sender's clock, echoed in replies. It has a meaning only at the member that sent it first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp(pub u64);
