//! A proxy between a node and one neighbour that cuts, stalls, resets, splits and delays at any byte.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::schedule::NetworkFault;

const LOOK_EVERY: Duration = Duration::from_millis(5); // how soon a stalled connection sees that the fault is over
const READ_BEFORE_RESET: Duration = Duration::from_millis(20);
const IDLE_READ: Duration = Duration::from_millis(50); // how long a read waits before it looks at the faults again

#[derive(Default)]
struct State {
    fault: Option<NetworkFault>,
    /// Bytes that may cross before a reset.
    left: usize,
    /// Connections that are open, by their numbers.
    open: BTreeSet<u64>,
    next_connection: u64,
    /// One connection is struck alone.
    lagging: Option<Lagging>,
    /// No new connection is taken, and open ones end: the neighbour has moved away.
    closed: bool,
}

/// One connection that lags behind and then breaks.
#[derive(Clone, Copy)]
struct Lagging {
    connection: u64,
    /// Nothing crosses yet.
    is_held: bool,
    /// Bytes that cross once it is let go, before the reset.
    left: usize,
}

/// A proxy on a port of its own. It takes connections until it is closed.
#[derive(Clone)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FaultProxy {
    /// Listens, and passes on to `upstream`.
    pub fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy = FaultProxy { address: listener.local_addr()?, state: Arc::default() };
        let own = proxy.clone();
        thread::spawn(move || {
            while !own.is_closed() {
                // Out of descriptors for a moment: the peer waits in the backlog.
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(LOOK_EVERY);
                    continue;
                };
                if own.is_closed() {
                    return;
                }
                if own.fault() == Some(NetworkFault::Refuse) {
                    reset(&near);
                    continue;
                }
                if let Ok(far) = TcpStream::connect(upstream) {
                    own.pass(near, far);
                }
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Strikes all connections with a fault, or ends it.
    pub fn set(&self, fault: Option<NetworkFault>) {
        let mut state = self.state.lock().unwrap();
        state.left = match fault {
            Some(NetworkFault::ResetAfter(bytes)) => bytes,
            _ => 0,
        };
        if let Some(NetworkFault::LagOne { place, bytes }) = fault {
            let open: Vec<u64> = state.open.iter().copied().collect();
            let connection = open.get(place % open.len().max(1)).copied();
            state.lagging = connection.map(|connection| Lagging { connection, is_held: true, left: bytes });
        } else if let Some(lagging) = &mut state.lagging {
            lagging.is_held = false;
        }
        state.fault = fault;
    }

    /// Takes no more connections and ends the open ones.
    pub fn close(&self) {
        self.state.lock().unwrap().closed = true;
        // The accept that waits sees it then.
        let _ = TcpStream::connect(self.address);
    }

    fn fault(&self) -> Option<NetworkFault> {
        self.state.lock().unwrap().fault
    }

    fn is_closed(&self) -> bool {
        self.state.lock().unwrap().closed
    }

    fn pass(&self, near: TcpStream, far: TcpStream) {
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let connection = self.opened();
        let (near, far) = (Arc::new(near), Arc::new(far));
        let (up, down) = (self.clone(), self.clone());
        let (near_too, far_too) = (near.clone(), far.clone());
        thread::spawn(move || {
            up.copy(connection, &near, &far);
            up.state.lock().unwrap().open.remove(&connection);
        });
        thread::spawn(move || down.copy(connection, &far_too, &near_too));
    }

    fn opened(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.next_connection += 1;
        let connection = state.next_connection;
        state.open.insert(connection);
        connection
    }

    fn lagging(&self, connection: u64) -> Option<Lagging> {
        self.state.lock().unwrap().lagging.filter(|lagging| lagging.connection == connection)
    }

    /// Copies one direction until an end or a fault ends it.
    fn copy(&self, connection: u64, mut from: &TcpStream, to: &TcpStream) {
        let mut buffer = [0; 16 * 1024];
        let _ = from.set_read_timeout(Some(IDLE_READ));
        loop {
            if self.is_closed() || self.fault() == Some(NetworkFault::Refuse) {
                reset(from);
                reset(to);
                return;
            }
            let count = match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) => count,
                Err(cause) if matches!(cause.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => {
                    reset(to);
                    return;
                }
            };
            let mut bytes = buffer[..count].to_vec();
            // What its sender gave up while nothing crossed is never delivered.
            let is_wanted = self.hold(connection, from, &mut bytes);
            if !is_wanted || self.forward(connection, &bytes, to).is_err() {
                reset(from);
                reset(to);
                return;
            }
        }
    }

    fn is_held(&self, connection: u64) -> bool {
        let is_lagging = self.lagging(connection).is_some_and(|lagging| lagging.is_held);
        !self.is_closed() && (is_lagging || self.fault() == Some(NetworkFault::Stall))
    }

    /// Gathers what comes while nothing crosses; whether the sender is still there at the end.
    fn hold(&self, connection: u64, mut from: &TcpStream, bytes: &mut Vec<u8>) -> bool {
        let mut buffer = [0; 16 * 1024];
        while self.is_held(connection) {
            match from.read(&mut buffer) {
                Ok(0) => return false,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(cause) if matches!(cause.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(_) => return false,
            }
        }
        true
    }

    fn forward(&self, connection: u64, bytes: &[u8], mut to: &TcpStream) -> io::Result<()> {
        if let Some(lagging) = self.lagging(connection) {
            to.write_all(&bytes[..lagging.left.min(bytes.len())])?;
            // What has crossed is read before the reset, which takes what waits with it.
            thread::sleep(READ_BEFORE_RESET);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match self.fault() {
            None | Some(NetworkFault::Stall | NetworkFault::LagOne { .. }) => to.write_all(bytes),
            Some(NetworkFault::Refuse) => Err(io::ErrorKind::ConnectionReset.into()),
            Some(NetworkFault::Delay(millis)) => {
                thread::sleep(Duration::from_millis(millis));
                to.write_all(bytes)
            }
            Some(NetworkFault::Split) => bytes.iter().try_for_each(|byte| to.write_all(&[*byte])),
            Some(NetworkFault::ResetAfter(_)) => {
                let part = self.take_left(bytes.len());
                to.write_all(&bytes[..part])?;
                if part < bytes.len() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Ok(())
            }
        }
    }

    fn take_left(&self, wanted: usize) -> usize {
        let mut state = self.state.lock().unwrap();
        let part = state.left.min(wanted);
        state.left -= part;
        part
    }
}

/// Ends a connection as a machine does that dies.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
