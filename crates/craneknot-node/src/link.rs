//! Outgoing connections of the coordinator: their ids, and the actions that the shell carries out on them.

use std::net::SocketAddr;

use bytes::Bytes;
use craneknot::interface::Nanos;

/// Id of an outgoing connection. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Allocates link ids.
#[derive(Debug, Default)]
pub struct LinkIds(u64);

impl LinkIds {
    pub fn next_id(&mut self) -> LinkId {
        self.0 += 1;
        LinkId(self.0)
    }
}

/// What the shell does with an outgoing connection.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Dial, and send the request once connected.
    Dial { link: LinkId, address: SocketAddr, request: Bytes },
    /// Send a further request on an existing connection.
    Send { link: LinkId, request: Bytes },
    /// Close; no further events of the connection are reported.
    Close { link: LinkId },
}

/// A peer that receives repeated requests, on one connection for as long as it lasts.
#[derive(Debug)]
pub struct PeerConnection {
    address: SocketAddr,
    link: Option<LinkId>,
}

impl PeerConnection {
    pub fn new(address: SocketAddr) -> Self {
        PeerConnection { address, link: None }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The value of the `Host` header.
    pub fn host(&self) -> String {
        self.address.to_string()
    }

    pub fn has(&self, link: LinkId) -> bool {
        self.link == Some(link)
    }

    /// Sends a request on the open connection, or on a new one if there is none; true: it is new.
    pub fn call(&mut self, request: Bytes, links: &mut LinkIds, actions: &mut Vec<LinkAction>) -> bool {
        if let Some(link) = self.link {
            actions.push(LinkAction::Send { link, request });
            return false;
        }
        let link = links.next_id();
        self.link = Some(link);
        actions.push(LinkAction::Dial { link, address: self.address, request });
        true
    }

    pub fn close(&mut self, actions: &mut Vec<LinkAction>) {
        actions.extend(self.link.take().map(|link| LinkAction::Close { link }));
    }

    /// The connection has ended without being closed here.
    pub fn lost(&mut self) {
        self.link = None;
    }

    /// Uses another connection to the peer from now on, and closes the present one.
    pub fn replace(&mut self, link: LinkId, actions: &mut Vec<LinkAction>) {
        self.close(actions);
        self.link = Some(link);
    }

    /// Changes the peer's address and closes the old connection; false: the address is unchanged.
    pub fn move_to(&mut self, address: SocketAddr, actions: &mut Vec<LinkAction>) -> bool {
        let changed = self.address != address;
        if changed {
            self.address = address;
            self.close(actions);
        }
        changed
    }
}

/// The delay after this number of consecutive failures: doubled with each, up to the longest.
pub fn backoff(failures: u32, first: Nanos, longest: Nanos) -> Nanos {
    Nanos(first.0 << failures.min(8)).min(longest)
}
