//! Ports for processes that bind them themselves, after the test that chose them has let them go.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the system gives to whoever asks for any: none of those can take one in between.
const FIRST: u16 = 12_000;
const COUNT: u16 = 20_000;

/// A loopback address whose port is free, for TCP and UDP alike, and is given to nobody else by this process.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Processes that run beside one another begin at different places.
    let begin = (std::process::id() as u16).wrapping_mul(97) % COUNT;
    loop {
        let port = FIRST + (begin + NEXT.fetch_add(1, Ordering::SeqCst) % COUNT) % COUNT;
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if UdpSocket::bind(at).is_ok() && TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}
