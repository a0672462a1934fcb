//! Datagrams between members, one JSON object each.

use serde::{Deserialize, Serialize};

use crate::view::{Epoch, View};
use crate::{raft, swim, MemberId, Stamp};

/// Maximum size of a datagram: loopback and most networks carry this much in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Swim(swim::Message),
    Raft(raft::Message),
    /// Asks the leader for a lease. The sender knows the epoch `known_epoch` and no longer acts in older ones;
    /// `highest_epoch` is the highest epoch seen at proxies.
    Renew {
        stamp: Stamp,
        #[serde(rename = "knows")]
        known_epoch: Epoch,
        #[serde(rename = "seen")]
        highest_epoch: Epoch,
    },
    /// Grants a lease on that view, counted from the stamp of the request. Until the view is settled, it covers only
    /// proxies that the holder also owned in the previous view.
    Grant {
        stamp: Stamp,
        view: View,
        #[serde(rename = "before")]
        previous_view: View,
        settled: bool,
    },
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    pub from: MemberId,
    pub body: Body,
}

impl Datagram {
    /// The datagram as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a datagram; the error is a message for the log.
    pub fn decode(text: &[u8]) -> Result<Self, String> {
        if text.len() > MAX_DATAGRAM_BYTES {
            return Err(format!(
                "datagram of {} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}",
                text.len()
            ));
        }
        serde_json::from_slice(text).map_err(|cause| cause.to_string())
    }
}
