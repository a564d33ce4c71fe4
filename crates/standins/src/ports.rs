//! Free ports for processes that bind them by themselves: the test picks a port, releases it and passes it on.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ephemeral port range of the system, so that no outgoing connection takes a port in the meantime.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// A loopback address whose port is free for both TCP and UDP. Each call within a process returns another one.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test processes that run in parallel start at different ports.
    let start = (std::process::id() as u16).wrapping_mul(97) % PORT_COUNT;
    loop {
        let port = FIRST_PORT + (start + NEXT.fetch_add(1, Ordering::SeqCst) % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
