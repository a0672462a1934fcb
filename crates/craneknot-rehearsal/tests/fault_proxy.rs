//! The soak's fault proxy between a node and its relay or discovery.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use craneknot_rehearsal::soak::fault_proxy::FaultProxy;
use craneknot_rehearsal::soak::schedule::NetworkFault;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A client and a server, connected through a proxy that already has the fault.
fn connect_with_fault(fault: NetworkFault) -> (FaultProxy, TcpStream, TcpStream) {
    let upstream = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let proxy = FaultProxy::start(upstream.local_addr().unwrap()).unwrap();
    proxy.set_fault(Some(fault));
    let client = TcpStream::connect(proxy.address()).unwrap();
    let (server, _) = upstream.accept().unwrap();
    [&client, &server].iter().for_each(|stream| stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap());
    (proxy, client, server)
}

#[test]
fn a_call_closed_by_its_client_during_a_stall_is_never_delivered() {
    let (proxy, mut client, mut server) = connect_with_fault(NetworkFault::Stall);
    client.write_all(b"a call").unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    // The proxy closes the connection once it has read both the data and the end.
    let _ = client.read(&mut [0; 1]);
    proxy.set_fault(None);
    let mut delivered = Vec::new();
    let _ = server.read_to_end(&mut delivered);
    assert_eq!(delivered, b"");
}

#[test]
fn a_call_whose_client_still_waits_is_delivered_after_a_stall() {
    let (proxy, mut client, mut server) = connect_with_fault(NetworkFault::Stall);
    client.write_all(b"a call").unwrap();
    proxy.set_fault(None);
    let mut delivered = [0; 6];
    server.read_exact(&mut delivered).unwrap();
    assert_eq!(&delivered, b"a call");
}
