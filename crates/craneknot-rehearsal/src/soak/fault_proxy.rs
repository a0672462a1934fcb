//! A TCP proxy between a node and the relay or discovery, which stalls, resets, refuses, splits and delays
//! connections at any byte.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::schedule::NetworkFault;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
const RESET_DELAY: Duration = Duration::from_millis(20);
const READ_TIMEOUT: Duration = Duration::from_millis(50); // between checks for a change of the fault

#[derive(Default)]
struct State {
    fault: Option<NetworkFault>,
    /// Bytes that may still pass before a reset.
    bytes_until_reset: usize,
    /// The numbers of the open connections.
    open_connections: BTreeSet<u64>,
    next_connection: u64,
    /// The connection that alone has a fault.
    lagging: Option<Lagging>,
    /// New connections are closed and open ones are reset: the upstream address has moved.
    closed: bool,
}

/// A connection that stalls and is then reset.
#[derive(Clone, Copy)]
struct Lagging {
    connection: u64,
    /// Nothing passes yet.
    is_stalled: bool,
    /// Bytes that pass after the stall, before the reset.
    bytes_until_reset: usize,
}

/// A proxy on a port of its own, which accepts connections until it is closed.
#[derive(Clone)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FaultProxy {
    /// Starts to listen, and forwards connections to `upstream`.
    pub fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy = FaultProxy { address: listener.local_addr()?, state: Arc::default() };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            while !acceptor.is_closed() {
                // The process is out of descriptors for a moment; the peer waits in the backlog.
                let Ok((client, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if acceptor.is_closed() {
                    return;
                }
                if acceptor.fault() == Some(NetworkFault::Refuse) {
                    reset(&client);
                    continue;
                }
                if let Ok(server) = TcpStream::connect(upstream) {
                    acceptor.forward_connection(client, server);
                }
            }
        });
        Ok(proxy)
    }

    /// The address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies a fault to all connections, or to one for [`NetworkFault::LagOne`]; `None` ends it.
    pub fn set_fault(&self, fault: Option<NetworkFault>) {
        let mut state = self.state.lock().unwrap();
        state.bytes_until_reset = match fault {
            Some(NetworkFault::ResetAfter(bytes)) => bytes,
            _ => 0,
        };
        if let Some(NetworkFault::LagOne { place, bytes }) = fault {
            let open_connections: Vec<u64> = state.open_connections.iter().copied().collect();
            let connection = open_connections.get(place % open_connections.len().max(1)).copied();
            state.lagging = connection.map(|connection| Lagging {
                connection,
                is_stalled: true,
                bytes_until_reset: bytes,
            });
        } else if let Some(lagging) = &mut state.lagging {
            lagging.is_stalled = false;
        }
        state.fault = fault;
    }

    /// Accepts no more connections and resets the open ones.
    pub fn close(&self) {
        self.state.lock().unwrap().closed = true;
        // Wakes the blocked accept, which then sees the flag.
        let _ = TcpStream::connect(self.address);
    }

    fn fault(&self) -> Option<NetworkFault> {
        self.state.lock().unwrap().fault
    }

    fn is_closed(&self) -> bool {
        self.state.lock().unwrap().closed
    }

    fn forward_connection(&self, client: TcpStream, server: TcpStream) {
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let connection = self.register_connection();
        let (client, server) = (Arc::new(client), Arc::new(server));
        let (upload, download) = (self.clone(), self.clone());
        let (client_reader, server_reader) = (client.clone(), server.clone());
        thread::spawn(move || {
            upload.copy(connection, &client, &server);
            upload.state.lock().unwrap().open_connections.remove(&connection);
        });
        thread::spawn(move || download.copy(connection, &server_reader, &client_reader));
    }

    fn register_connection(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.next_connection += 1;
        let connection = state.next_connection;
        state.open_connections.insert(connection);
        connection
    }

    fn lagging(&self, connection: u64) -> Option<Lagging> {
        self.state.lock().unwrap().lagging.filter(|lagging| lagging.connection == connection)
    }

    /// Copies one direction until the connection ends or a fault ends it.
    fn copy(&self, connection: u64, mut from: &TcpStream, to: &TcpStream) {
        let mut buffer = [0; 16 * 1024];
        let _ = from.set_read_timeout(Some(READ_TIMEOUT));
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
            // Data whose sender closed its connection during the stall is never delivered.
            let sender_is_present = self.buffer_while_stalled(connection, from, &mut bytes);
            if !sender_is_present || self.forward(connection, &bytes, to).is_err() {
                reset(from);
                reset(to);
                return;
            }
        }
    }

    fn is_stalled(&self, connection: u64) -> bool {
        let is_lagging = self.lagging(connection).is_some_and(|lagging| lagging.is_stalled);
        !self.is_closed() && (is_lagging || self.fault() == Some(NetworkFault::Stall))
    }

    /// Buffers incoming bytes during a stall; returns whether the sender is still connected at the end.
    fn buffer_while_stalled(&self, connection: u64, mut from: &TcpStream, bytes: &mut Vec<u8>) -> bool {
        let mut buffer = [0; 16 * 1024];
        while self.is_stalled(connection) {
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
            to.write_all(&bytes[..lagging.bytes_until_reset.min(bytes.len())])?;
            // Lets the peer read what has passed, because the reset discards unread bytes.
            thread::sleep(RESET_DELAY);
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
                let allowed = self.take_bytes_before_reset(bytes.len());
                to.write_all(&bytes[..allowed])?;
                if allowed < bytes.len() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Ok(())
            }
        }
    }

    fn take_bytes_before_reset(&self, requested: usize) -> usize {
        let mut state = self.state.lock().unwrap();
        let allowed = state.bytes_until_reset.min(requested);
        state.bytes_until_reset -= allowed;
        allowed
    }
}

/// Resets a connection, as happens when a machine crashes.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
