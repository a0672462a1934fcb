//! Connections that the coordinator dials, by name, and what the shell is to do with them.

use std::net::SocketAddr;

use bytes::Bytes;

/// A connection that was dialled; a name is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Gives names.
#[derive(Debug, Default)]
pub struct Links(u64);

impl Links {
    pub fn name(&mut self) -> LinkId {
        self.0 += 1;
        LinkId(self.0)
    }
}

/// What is to be done with a connection that the coordinator dials.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Dial, and send this once it stands.
    Dial { link: LinkId, address: SocketAddr, request: Bytes },
    /// Send this where something was sent before.
    Send { link: LinkId, request: Bytes },
    /// Close; nothing more is heard of it.
    Drop { link: LinkId },
}
