//! The soak's proxy between a node and a neighbour.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use craneknot_rehearsal::soak::fault_proxy::FaultProxy;
use craneknot_rehearsal::soak::schedule::NetworkFault;

const PATIENCE: Duration = Duration::from_secs(5);

/// A client and its neighbour, with a proxy between them that is struck already.
fn struck(fault: NetworkFault) -> (FaultProxy, TcpStream, TcpStream) {
    let neighbour = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let proxy = FaultProxy::start(neighbour.local_addr().unwrap()).unwrap();
    proxy.set(Some(fault));
    let near = TcpStream::connect(proxy.address()).unwrap();
    let (far, _) = neighbour.accept().unwrap();
    [&near, &far].iter().for_each(|stream| stream.set_read_timeout(Some(PATIENCE)).unwrap());
    (proxy, near, far)
}

#[test]
fn a_call_given_up_while_nothing_crosses_is_never_delivered() {
    let (proxy, mut near, mut far) = struck(NetworkFault::Stall);
    near.write_all(b"a call").unwrap();
    near.shutdown(Shutdown::Write).unwrap();
    // The proxy ends the connection once it has seen both.
    let _ = near.read(&mut [0; 1]);
    proxy.set(None);
    let mut delivered = Vec::new();
    let _ = far.read_to_end(&mut delivered);
    assert_eq!(delivered, b"");
}

#[test]
fn a_call_still_waited_for_is_delivered_after_a_stall() {
    let (proxy, mut near, mut far) = struck(NetworkFault::Stall);
    near.write_all(b"a call").unwrap();
    proxy.set(None);
    let mut delivered = [0; 6];
    far.read_exact(&mut delivered).unwrap();
    assert_eq!(&delivered, b"a call");
}
