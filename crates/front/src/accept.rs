//! Takes in clients' connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;

use may::net::TcpListener;

use crate::conn::{self, ConnId, Event};

/// Accepted connections are numbered from here on, those asked for from 0.
pub const FIRST: ConnId = 1 << 63;

/// The front that had the address before may still be on its way out: a short wait.
fn bind(on: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..20 {
        match TcpListener::bind(on) {
            Err(e) if e.kind() == ErrorKind::AddrInUse => std::thread::sleep(Duration::from_millis(100)),
            bound => return bound,
        }
    }
    TcpListener::bind(on)
}

/// Listens, and reports each connection as it comes up, for as long as the program runs.
pub fn listen(on: SocketAddr, events: Sender<Event>) -> std::io::Result<SocketAddr> {
    let listener = bind(on)?;
    let local = listener.local_addr()?;
    conn::spawn(move || {
        let mut next = FIRST;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (conn, events) = (next, events.clone());
                    next += 1;
                    conn::spawn(move || {
                        conn::serve(conn, stream, &events, |port| Event::Accepted(conn, port));
                    });
                }
                // A client that is gone again, or no descriptor left: others close soon.
                Err(_) => may::coroutine::sleep(Duration::from_millis(5)),
            }
        }
    });
    Ok(local)
}
