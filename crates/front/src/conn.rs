//! The coroutine of one connection. It reads and writes as it is told, and reports; it decides nothing.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::sync::{Arc, Weak};
use std::time::Duration;

use doorgrade::Ticks;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;

use crate::clock;
use crate::config::Renewal;
use crate::reasons::Cut;
use crate::ring::Ring;

pub use crate::awaiting::{Awaiting, Awaits};

pub type ConnId = u64;

/// What comes from outside, in the order in which it came.
pub enum Event {
    /// A client's connection is up.
    Accepted(ConnId, Port),
    /// One that was asked for is up, or can't be made.
    Connected(ConnId, io::Result<Port>),
    /// Some bytes were read, or none will come any more.
    Read { conn: ConnId, ring: Ring, ended: Option<Cut>, at: Ticks },
    /// All of the ring was written, or no more can be.
    Wrote { conn: ConnId, ring: Ring, failed: Option<Cut> },
    /// The end of writing was sent to a client; nothing of what still comes is told.
    HalfClosed(ConnId),
    /// The descriptor is given back.
    Closed(ConnId),
    /// Clients' connections can't be accepted: no descriptor, or no memory, is left.
    NoMeans,
    /// Nothing is listened to any more; all connections that came before have been told.
    ListenerClosed,
    /// The operators' word to stop.
    Stop,
    /// Their word that clients are to go elsewhere, or need not any more.
    Drain(bool),
    /// Their word to take the configuration that has replaced the one in use.
    Reload(Box<Renewal>),
    /// What was known before the start, or is known to neighbours.
    Recall(Vec<doorgrade_recall::Fill>, Vec<doorgrade_recall::Purge>),
    /// The same of a version, and where to say that it was taken.
    Version(Box<Renewal>, tokio::sync::oneshot::Sender<()>),
}

enum Job {
    Read(Ring),
    Write(Ring),
    /// To be written only while nothing has come, the other side has not ended it, and somebody waits for the answer.
    Begin(Ring, Awaiting),
    /// To be ended in order, unless something has come that was not told yet; or whatever has come.
    HalfClose {
        discard: bool,
    },
}

/// Jobs of one connection that may wait at once: there is one ring a direction, and before an end that was dropped is
/// seen, another may be asked for.
const MOST_JOBS: usize = 4;

/// The other end of a connection's coroutine; dropped, it closes the connection.
pub struct Port {
    jobs: Option<SyncSender<Job>>,
    waker: WaitIoWaker,
    stream: Weak<Stream>,
}

/// A connection's socket, and what others may know of it.
pub(crate) struct Stream {
    pub(crate) socket: TcpStream,
    /// Something was read that is still on its way to the reducer.
    pub(crate) unheard: AtomicBool,
}

impl Port {
    pub fn read(&self, ring: Ring) {
        self.ask(Job::Read(ring));
    }

    /// What was read goes to the reducer now.
    pub fn heard(&self) {
        if let Some(stream) = self.stream.upgrade() {
            stream.unheard.store(false, Ordering::SeqCst);
        }
    }

    pub fn write(&self, ring: Ring) {
        self.ask(Job::Write(ring));
    }

    pub fn begin(&self, ring: Ring, awaiting: Awaiting) {
        self.ask(Job::Begin(ring, awaiting));
    }

    /// Who waits at this client's connection.
    pub fn awaiting(&self, awaits: Awaits) -> Awaiting {
        Awaiting { stream: self.stream.clone(), awaits }
    }

    /// Half-close: the end of writing is sent, then what still comes is read and dropped until the other side ends, or
    /// this port is dropped. A plain close over unread bytes would reset the connection, and take with it answers that
    /// the other side has not read yet. Only while nothing is being written. Told by [`Event::HalfClosed`]; where
    /// something has come, that is told instead, and nothing is ended, unless nobody wants to hear it.
    pub fn half_close(&self, discard: bool) {
        self.ask(Job::HalfClose { discard });
    }

    /// One whose coroutine has ended is reported closed.
    fn ask(&self, job: Job) {
        if let Some(Err(TrySendError::Full(_))) = self.jobs.as_ref().map(|jobs| jobs.try_send(job)) {
            tracing::error!("a connection has more to do than it can hold: it may hang");
        }
        self.waker.wakeup();
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.jobs = None;
        self.waker.wakeup();
    }
}

/// Starts a coroutine on the one worker.
#[allow(unsafe_code)] // The crate's spawn asks for it: none of ours uses thread-locals or much stack.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    may::go!(run);
}

pub fn connect(conn: ConnId, to: SocketAddr, within: Duration, events: Sender<Event>) {
    spawn(move || match TcpStream::connect_timeout(&to, within) {
        Ok(stream) => {
            let (port, line) = open(stream);
            report(&events, Event::Connected(conn, Ok(port)));
            line.serve(conn, &events);
        }
        Err(error) => report(&events, Event::Connected(conn, Err(error))),
    });
}

/// Whether a connection could not be made for want of something on this machine, a route included: the other side was
/// not asked, and nothing is known of it.
pub fn failed_here(error: &io::Error) -> bool {
    const HERE: [i32; 9] = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::EAGAIN,
        libc::EINTR,
        libc::ENETDOWN,
        libc::ENETUNREACH,
    ];
    error.raw_os_error().is_some_and(|number| HERE.contains(&number))
}

/// A connection that is up, and what its port asks for.
pub struct Open {
    stream: Arc<Stream>,
    asked: Receiver<Job>,
}

pub fn open(stream: TcpStream) -> (Port, Open) {
    // Answers are written whole; holding back a last small segment would only delay them.
    let _ = stream.set_nodelay(true);
    let (jobs, asked) = sync_channel(MOST_JOBS);
    let waker = stream.waker();
    let stream = Arc::new(Stream { socket: stream, unheard: AtomicBool::new(false) });
    (Port { jobs: Some(jobs), waker, stream: Arc::downgrade(&stream) }, Open { stream, asked })
}

impl Open {
    /// Runs the connection until its port is dropped, or it was ended in order; in a coroutine.
    pub fn serve(self, conn: ConnId, events: &Sender<Event>) {
        let Open { stream, asked } = self;
        let mut pump = Pump {
            conn,
            stream: &stream,
            asked: &asked,
            events,
            reading: None,
            writing: None,
            beginning: None,
            half_closing: None,
        };
        pump.run();
        drop(stream);
        report(events, Event::Closed(conn));
    }
}

/// Fails only when the program is on its way out.
fn report(events: &Sender<Event>, event: Event) {
    let _ = events.send(event);
}

/// What a connection's coroutine has in hand.
struct Pump<'a> {
    conn: ConnId,
    stream: &'a Stream,
    asked: &'a Receiver<Job>,
    events: &'a Sender<Event>,
    reading: Option<Ring>,
    writing: Option<Ring>,
    /// What is to be written begins a request, for whoever waits there.
    beginning: Option<Awaiting>,
    /// It is to be ended in order; whatever has come, if that is true.
    half_closing: Option<bool>,
}

/// The port was dropped.
struct Dropped;

impl Pump<'_> {
    /// Until its port is dropped, or it was ended in order.
    fn run(&mut self) {
        while self.take_jobs().is_ok() {
            if let Some(awaiting) = self.beginning.take() {
                self.begin(&awaiting);
            }
            self.write();
            self.read();
            // With the ring on its way again something has come, and the reducer will hear of it.
            if self.writing.is_none()
                && self.half_closing.take().is_some_and(|discard| discard || self.reading.is_some())
            {
                return linger(self);
            }
            self.stream.socket.wait_io();
        }
    }

    /// In their order: several may wait, and what one asks for rests on those before it.
    fn take_jobs(&mut self) -> Result<(), Dropped> {
        loop {
            match self.asked.try_recv() {
                Ok(Job::Read(ring)) => self.reading = Some(ring),
                Ok(Job::Write(ring)) => self.writing = Some(ring),
                Ok(Job::Begin(ring, awaiting)) => {
                    (self.writing, self.beginning) = (Some(ring), Some(awaiting));
                }
                // Asked for while the ring was on its way to the reducer with what had come: the connection was not at
                // rest, whatever has been asked for since. The reducer ends it again if it still wants to.
                Ok(Job::HalfClose { discard }) => {
                    self.half_closing = Some(discard).filter(|&discard| discard || self.reading.is_some());
                }
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) => return Err(Dropped),
            }
        }
    }

    /// Looks whether the connection is still good for a request: nothing has come, and it has not ended. Then whether
    /// anybody waits for its answer: what the client said last may not have been read yet.
    fn begin(&mut self, awaiting: &Awaiting) {
        // With its ring for reading on the way to the reducer, something has come, too.
        let end = self.reading.as_mut().map(|into| (read(&self.stream.socket, into), !into.is_empty()));
        let why = match &end {
            Some((Err(e), false)) if e.kind() == ErrorKind::WouldBlock => {
                if let Some(why) = awaiting.objection()
                    && let Some(ring) = self.writing.take()
                {
                    self.report(|conn| Event::Wrote { conn, ring, failed: Some(why) });
                }
                return;
            }
            Some((Err(e), false)) => Cut::of(e),
            _ => Cut::SpokenOn,
        };
        if let Some(ring) = self.writing.take() {
            self.report(|conn| Event::Wrote { conn, ring, failed: Some(why) });
        }
        if let Some(ring) = self.reading.take() {
            self.report(|conn| Event::Read { conn, ring, ended: Some(why), at: clock::now() });
        }
    }

    fn write(&mut self) {
        let Some(mut ring) = self.writing.take() else { return };
        match write(&self.stream.socket, &mut ring) {
            Ok(()) => self.report(|conn| Event::Wrote { conn, ring, failed: None }),
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.writing = Some(ring),
            Err(e) => self.report(|conn| Event::Wrote { conn, ring, failed: Some(Cut::of(&e)) }),
        }
    }

    fn read(&mut self) {
        let Some(mut ring) = self.reading.take() else { return };
        let before = ring.len();
        let end = read(&self.stream.socket, &mut ring).err();
        let ended = end.filter(|e| e.kind() != ErrorKind::WouldBlock).as_ref().map(Cut::of);
        if ring.len() > before || ended.is_some() {
            self.stream.unheard.store(true, Ordering::SeqCst);
            self.report(|conn| Event::Read { conn, ring, ended, at: clock::now() });
        } else {
            self.reading = Some(ring);
        }
    }

    fn report(&self, event: impl FnOnce(ConnId) -> Event) {
        report(self.events, event(self.conn));
    }
}

/// Sends the end of writing, then reads and drops what still comes until the other side ends, too, or its port is dropped.
fn linger(pump: &Pump<'_>) {
    let Pump { stream: Stream { socket: stream, .. }, asked, .. } = pump;
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    pump.report(Event::HalfClosed);
    let mut dropped = Ring::new(2_048);
    loop {
        // Its port is dropped when its time is up; jobs are no longer done.
        while let Ok(_late) = asked.try_recv() {}
        if matches!(asked.try_recv(), Err(TryRecvError::Disconnected)) {
            return;
        }
        dropped.clear();
        match read(stream, &mut dropped) {
            // Whoever sends without end must not keep the one worker from all others.
            Ok(()) => may::coroutine::yield_now(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.wait_io();
            }
            Err(_) => return,
        }
    }
}

fn write(stream: &TcpStream, ring: &mut Ring) -> io::Result<()> {
    while !ring.is_empty() {
        match stream.inner().write(ring.front()) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => ring.consume(count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads until the ring is full or nothing is there; an error when nothing will come.
fn read(stream: &TcpStream, ring: &mut Ring) -> io::Result<()> {
    while ring.free() > 0 {
        match stream.inner().read(ring.back()) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => ring.filled(count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
