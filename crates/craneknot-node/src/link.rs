//! Connections that the coordinator dials, by name, and what the shell is to do with them.

use std::net::SocketAddr;

use bytes::Bytes;
use craneknot::interface::Nanos;

/// A connection that was dialled; a name is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Gives names.
#[derive(Debug, Default)]
pub struct LinkIds(u64);

impl LinkIds {
    pub fn next_id(&mut self) -> LinkId {
        self.0 += 1;
        LinkId(self.0)
    }
}

/// What is to be done with a connection that the coordinator dials.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Dial, and send this once it stands.
    Dial { link: LinkId, address: SocketAddr, request: Bytes },
    /// Send this where something was sent before.
    Send { link: LinkId, request: Bytes },
    /// Close; nothing more is heard of it.
    Close { link: LinkId },
}

/// A peer that is called again and again, on one connection while it lasts.
#[derive(Debug)]
pub struct PeerConnection {
    address: SocketAddr,
    link: Option<LinkId>,
}

impl PeerConnection {
    pub fn new(address: SocketAddr) -> Self {
        PeerConnection { address, link: None }
    }

    /// The name it is called by.
    pub fn host(&self) -> String {
        self.address.to_string()
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.link == Some(link)
    }

    /// Sends on the connection that stands, else on a new one; true: it is new.
    pub fn call(&mut self, request: Bytes, links: &mut LinkIds, acts: &mut Vec<LinkAction>) -> bool {
        if let Some(link) = self.link {
            acts.push(LinkAction::Send { link, request });
            return false;
        }
        let link = links.next_id();
        self.link = Some(link);
        acts.push(LinkAction::Dial { link, address: self.address, request });
        true
    }

    pub fn close(&mut self, acts: &mut Vec<LinkAction>) {
        acts.extend(self.link.take().map(|link| LinkAction::Close { link }));
    }

    /// The connection has ended by itself.
    pub fn lost(&mut self) {
        self.link = None;
    }

    /// It is elsewhere from now on; false: it is there already.
    pub fn move_to(&mut self, address: SocketAddr, acts: &mut Vec<LinkAction>) -> bool {
        let moves = self.address != address;
        if moves {
            self.address = address;
            self.close(acts);
        }
        moves
    }
}

/// The wait after so many failures in a row: doubled with each, up to the longest.
pub fn backoff(failures: u32, first: Nanos, longest: Nanos) -> Nanos {
    Nanos(first.0 << failures.min(8)).min(longest)
}
