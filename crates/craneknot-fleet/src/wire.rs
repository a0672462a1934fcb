//! Datagrams between members: one JSON object each.

use serde::{Deserialize, Serialize};

use crate::view::{Epoch, View};
use crate::{raft, swim, MemberId, Stamp};

/// Bytes of one datagram: within what loopback and most networks carry whole.
pub const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Swim(swim::Message),
    Raft(raft::Message),
    /// To the leader: I know that epoch, and act on none before it; may I act? `seen`: the newest epoch met at proxies.
    Renew {
        stamp: Stamp,
        knows: Epoch,
        seen: Epoch,
    },
    /// You may act in that view until your lease after the stamp ends. Until it is settled, only on what was in your charge
    /// in the view before as well.
    Grant {
        stamp: Stamp,
        view: View,
        before: View,
        settled: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    pub from: MemberId,
    pub body: Body,
}

impl Datagram {
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub fn decode(text: &[u8]) -> Result<Self, String> {
        if text.len() > MAX_DATAGRAM_BYTES {
            return Err(format!("{} bytes; {MAX_DATAGRAM_BYTES} at most", text.len()));
        }
        serde_json::from_slice(text).map_err(|cause| cause.to_string())
    }
}
