//! Accepts clients' connections, up to a limit.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpListener;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use doorgrade::Ticks;

use crate::clock;
use crate::conn::{self, ConnId, Event};

/// The first id of accepted connections; those to caches and the feed are numbered from 0.
pub const FIRST_ACCEPTED: ConnId = 1 << 63;

/// The front that had the address before may still be shutting down, within the longest hard limit (3 s at
/// most) and 0.7 s. Half as long again, and not longer, so that an address that stays in use is reported in
/// time to the operator or agent that waits for this start.
const BIND_TRIES: usize = 60;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How soon to check again for a free slot, and to retry after a failure.
const FULL_DELAY: Duration = Duration::from_millis(2);
const ERROR_DELAY: Duration = Duration::from_millis(5);
/// How many connections from the system's backlog are still accepted after the close was requested.
const MAX_BACKLOG: usize = 1_024;

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    for attempt in 0..BIND_TRIES {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                if attempt == 0 {
                    tracing::warn!("{address} is in use; waiting for it");
                }
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            bound => return bound,
        }
    }
    TcpListener::bind(address)
}

/// Counts one open client connection for as long as it holds its descriptor.
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(open: &Arc<AtomicUsize>) -> OpenCount {
        open.fetch_add(1, Ordering::SeqCst);
        OpenCount(open.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A handle on the listener.
pub struct Acceptor {
    pub local: SocketAddr,
    waker: WaitIoWaker,
    max_open: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
}

impl Acceptor {
    /// Sets how many client connections may be open at once. Further ones wait in the system's backlog until
    /// one is closed, so that clients never take descriptors that the feed, the caches or the shutdown need.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.store(max_open, Ordering::SeqCst);
    }

    /// Stops accepting: new connections are refused, and another process may bind the address.
    /// [`Event::ListenerClosed`] follows once all accepted connections have been reported.
    pub fn close(&self) {
        if !self.closing.swap(true, Ordering::SeqCst) {
            self.waker.wakeup();
        }
    }
}

/// Whether a connection waits to be accepted. Needed because a blocked `accept` could only be ended by a
/// connection. Fails if the system can't report it.
fn connection_waits(listener: &TcpListener) -> std::io::Result<bool> {
    let mut poll_fds = [PollFd::new(listener.inner(), PollFlags::IN)];
    Ok(poll(&mut poll_fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }))? > 0)
}

/// Listens, and reports each accepted connection until the listener is closed.
pub fn listen(address: SocketAddr, max_open: usize, events: Sender<Event>) -> std::io::Result<Acceptor> {
    let listener = bind(address)?;
    let local = listener.local_addr()?;
    let (max_open, closing) = (Arc::new(AtomicUsize::new(max_open)), Arc::new(AtomicBool::new(false)));
    let acceptor =
        Acceptor { local, waker: listener.waker(), max_open: max_open.clone(), closing: closing.clone() };
    let open = Arc::default();
    let accept_loop = AcceptLoop {
        listener,
        next: FIRST_ACCEPTED,
        open,
        max_open,
        closing,
        remaining: MAX_BACKLOG,
        waiting_since: None,
        events,
    };
    conn::spawn(move || accept_loop.run());
    Ok(acceptor)
}

/// The loop that accepts connections.
struct AcceptLoop {
    listener: TcpListener,
    next: ConnId,
    open: Arc<AtomicUsize>,
    max_open: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
    /// How many more are accepted once the close was requested.
    remaining: usize,
    /// Since when connections wait in the system's backlog that could not be accepted.
    waiting_since: Option<Ticks>,
    events: Sender<Event>,
}

impl AcceptLoop {
    /// Runs until the close is requested and the backlog is accepted: requests may already have been written
    /// to those connections.
    fn run(mut self) {
        loop {
            let closing = self.closing.load(Ordering::SeqCst);
            match connection_waits(&self.listener) {
                Ok(false) if closing => break,
                Ok(false) => {
                    self.waiting_since = None;
                    self.listener.wait_io();
                }
                Ok(true) if closing && self.remaining == 0 => break,
                Ok(true) if self.is_full() => self.wait(FULL_DELAY),
                Ok(true) => {
                    self.remaining -= usize::from(closing);
                    self.accept();
                }
                Err(_) => self.wait(ERROR_DELAY),
            }
        }
        let AcceptLoop { listener, events, .. } = self;
        drop(listener);
        let _ = events.send(Event::ListenerClosed);
    }

    /// Waits before a connection is accepted. Its client's time runs meanwhile.
    fn wait(&mut self, delay: Duration) {
        self.waiting_since.get_or_insert_with(clock::now);
        may::coroutine::sleep(delay);
    }

    fn is_full(&self) -> bool {
        self.open.load(Ordering::SeqCst) >= self.max_open.load(Ordering::SeqCst)
    }

    fn accept(&mut self) {
        let stream = match self.listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                if conn::is_local_failure(&e) {
                    let _ = self.events.send(Event::AcceptFailed);
                }
                // Otherwise the client has disconnected already.
                return self.wait(ERROR_DELAY);
            }
        };
        let (conn, events, open_count) = (self.next, self.events.clone(), OpenCount::new(&self.open));
        self.next += 1;
        let (handle, task) = conn::open(stream, self.waiting_since);
        // Sent from here and not from the connection's coroutine, so that nothing follows `ListenerClosed`.
        let _ = events.send(Event::Accepted(conn, handle, self.waiting_since));
        conn::spawn(move || {
            task.serve(conn, &events);
            drop(open_count);
        });
    }
}
