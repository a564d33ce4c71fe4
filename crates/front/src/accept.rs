//! Takes in clients' connections, so many at once and no more.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpListener;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::conn::{self, ConnId, Event};

/// Accepted connections are numbered from here on, those asked for from 0.
pub const FIRST: ConnId = 1 << 63;

/// The front that had the address before may still be on its way out: it ends within the longest hard limit (3 s at the
/// most) and 0.7 s. Half as long again; whoever waits for this start is to hear of an address that stays taken.
const TRIES: usize = 60;
const BETWEEN: Duration = Duration::from_millis(100);

fn bind(on: SocketAddr) -> std::io::Result<TcpListener> {
    for tried in 0..TRIES {
        match TcpListener::bind(on) {
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                if tried == 0 {
                    tracing::warn!("{on} is in use: waits for it");
                }
                std::thread::sleep(BETWEEN);
            }
            bound => return bound,
        }
    }
    TcpListener::bind(on)
}

/// Clients' connections that hold a descriptor, counted where it is taken and given back.
struct Descriptor(Arc<AtomicUsize>);

impl Descriptor {
    fn new(open: &Arc<AtomicUsize>) -> Descriptor {
        open.fetch_add(1, Ordering::SeqCst);
        Descriptor(open.clone())
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What listens, for whoever steers it.
pub struct Acceptor {
    pub local: SocketAddr,
    waker: WaitIoWaker,
    most: Arc<AtomicUsize>,
    shut: Arc<AtomicBool>,
}

impl Acceptor {
    /// How many clients' connections there may be at once. More wait in the system's queue, until the reducer has closed
    /// one: what the feed, the caches and the ending need is never taken by clients.
    pub fn set_most(&self, most: usize) {
        self.most.store(most, Ordering::SeqCst);
    }

    /// No more are taken in: whoever comes is refused, and another process may have the address. Told by
    /// [`Event::ListenerClosed`] once all that were accepted have been told.
    pub fn close(&self) {
        if !self.shut.swap(true, Ordering::SeqCst) {
            self.waker.wakeup();
        }
    }
}

/// Whether a connection waits to be accepted: `accept` itself could be ended by nothing but a connection.
fn comes(listener: &TcpListener) -> bool {
    let mut asked = [PollFd::new(listener.inner(), PollFlags::IN)];
    poll(&mut asked, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0)
}

/// Listens, and reports each connection as it comes up, until the listener is closed.
pub fn listen(on: SocketAddr, most: usize, events: Sender<Event>) -> std::io::Result<Acceptor> {
    let listener = bind(on)?;
    let local = listener.local_addr()?;
    let (most, shut) = (Arc::new(AtomicUsize::new(most)), Arc::new(AtomicBool::new(false)));
    let acceptor = Acceptor { local, waker: listener.waker(), most: most.clone(), shut: shut.clone() };
    let open = Arc::new(AtomicUsize::new(0));
    conn::spawn(move || {
        let mut next = FIRST;
        loop {
            let full = open.load(Ordering::SeqCst) >= most.load(Ordering::SeqCst);
            let comes = comes(&listener);
            if shut.load(Ordering::SeqCst) && (full || !comes) {
                break;
            } else if comes && full {
                may::coroutine::sleep(Duration::from_millis(2));
                continue;
            } else if !comes {
                listener.wait_io();
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let (conn, events, held) = (next, events.clone(), Descriptor::new(&open));
                    next += 1;
                    let (port, open) = conn::open(stream);
                    // From here, not from its coroutine: nothing comes after the word that the listener is closed.
                    let _ = events.send(Event::Accepted(conn, port));
                    conn::spawn(move || {
                        open.serve(conn, &events);
                        drop(held);
                    });
                }
                Err(e) => {
                    let means = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
                    if e.raw_os_error().is_some_and(|e| means.contains(&e)) {
                        let _ = events.send(Event::NoMeans);
                    }
                    // Else a client that is gone again.
                    may::coroutine::sleep(Duration::from_millis(5));
                }
            }
        }
        drop(listener);
        let _ = events.send(Event::ListenerClosed);
    });
    Ok(acceptor)
}
