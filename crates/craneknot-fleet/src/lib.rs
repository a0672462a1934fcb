//! Several coordinators, one fleet. Pure state machines: a clock and a seed are passed in, what is to be sent and what
//! must be saved comes back.
//!
//! - [`swim`]: who is alive, by SWIM with suspicion and incarnation numbers.
//! - [`raft`]: one history of views for all, by Raft with pre-vote and a leader's lease.
//! - [`view`]: who is in charge of which proxy in a view, by rendezvous hashing; each view has an epoch.
//! - [`member`]: one coordinator's part in all that: leases on views, and whether it may order a proxy now.
//! - [`wire`]: datagrams between members.

pub mod member;
pub mod raft;
pub mod swim;
pub mod view;
pub mod wire;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A coordinator, by its name.
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

/// A clock's moment as it travels: only its own sender can make sense of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp(pub u64);
