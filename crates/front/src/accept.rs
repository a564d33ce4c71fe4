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
/// How soon it is looked again whether there is a place, and what has failed is tried again.
const FULL: Duration = Duration::from_millis(2);
const FAILED: Duration = Duration::from_millis(5);
/// Connections that may wait in the system's queue when no more are to come.
const MOST_AFTER_END: usize = 1_024;

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

/// Whether a connection waits to be accepted: `accept` itself could be ended by nothing but a connection. Fails where the
/// system does not tell.
fn comes(listener: &TcpListener) -> std::io::Result<bool> {
    let mut asked = [PollFd::new(listener.inner(), PollFlags::IN)];
    Ok(poll(&mut asked, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }))? > 0)
}

/// Listens, and reports each connection as it comes up, until the listener is closed.
pub fn listen(on: SocketAddr, most: usize, events: Sender<Event>) -> std::io::Result<Acceptor> {
    let listener = bind(on)?;
    let local = listener.local_addr()?;
    let (most, shut) = (Arc::new(AtomicUsize::new(most)), Arc::new(AtomicBool::new(false)));
    let acceptor = Acceptor { local, waker: listener.waker(), most: most.clone(), shut: shut.clone() };
    let open = Arc::default();
    let queue = Queue { listener, next: FIRST, open, most, shut, left: MOST_AFTER_END, events };
    conn::spawn(move || queue.run());
    Ok(acceptor)
}

/// The system's queue of connections, as it is emptied.
struct Queue {
    listener: TcpListener,
    next: ConnId,
    open: Arc<AtomicUsize>,
    most: Arc<AtomicUsize>,
    shut: Arc<AtomicBool>,
    /// So many are still taken in once no more are to come.
    left: usize,
    events: Sender<Event>,
}

impl Queue {
    /// Until the listener is to be closed and what had come before is taken in: a request may have been written there.
    fn run(mut self) {
        loop {
            let shut = self.shut.load(Ordering::SeqCst);
            match comes(&self.listener) {
                Ok(false) if shut => break,
                Ok(false) => {
                    self.listener.wait_io();
                }
                Ok(true) if shut && self.left == 0 => break,
                Ok(true) if self.full() => may::coroutine::sleep(FULL),
                Ok(true) => {
                    self.left -= usize::from(shut);
                    self.accept();
                }
                Err(_) => may::coroutine::sleep(FAILED),
            }
        }
        let Queue { listener, events, .. } = self;
        drop(listener);
        let _ = events.send(Event::ListenerClosed);
    }

    fn full(&self) -> bool {
        self.open.load(Ordering::SeqCst) >= self.most.load(Ordering::SeqCst)
    }

    fn accept(&mut self) {
        let stream = match self.listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                if conn::failed_here(&e) {
                    let _ = self.events.send(Event::NoMeans);
                }
                // Else a client that is gone again.
                return may::coroutine::sleep(FAILED);
            }
        };
        let (conn, events, held) = (self.next, self.events.clone(), Descriptor::new(&self.open));
        self.next += 1;
        let (port, open) = conn::open(stream);
        // From here, not from its coroutine: nothing comes after the word that the listener is closed.
        let _ = events.send(Event::Accepted(conn, port));
        conn::spawn(move || {
            open.serve(conn, &events);
            drop(held);
        });
    }
}
