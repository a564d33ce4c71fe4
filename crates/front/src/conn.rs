//! The coroutine of one connection. It reads and writes as it is told, and reports; it decides nothing.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender, SyncSender, TryRecvError, sync_channel};
use std::time::Duration;

use doorgrade::Tenths;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;

use crate::clock;
use crate::config::Renewal;
use crate::reasons::Cut;
use crate::ring::Ring;

pub type ConnId = u64;

/// What comes from outside, in the order in which it came.
pub enum Event {
    /// A client's connection is up.
    Accepted(ConnId, Port),
    /// One that was asked for is up, or can't be made.
    Connected(ConnId, io::Result<Port>),
    /// Some bytes were read, or none will come any more.
    Read { conn: ConnId, ring: Ring, ended: Option<Cut>, at: Tenths },
    /// All of the ring was written, or no more can be.
    Wrote { conn: ConnId, ring: Ring, failed: Option<Cut> },
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
    /// To be written only while nothing has come and the other side has not ended it.
    Begin(Ring),
    /// To be ended in order, unless something has come that was not told yet; or whatever has come.
    HalfClose {
        discard: bool,
    },
}

/// The other end of a connection's coroutine; dropped, it closes the connection.
pub struct Port {
    jobs: Option<SyncSender<Job>>,
    waker: WaitIoWaker,
}

impl Port {
    pub fn read(&self, ring: Ring) {
        self.ask(Job::Read(ring));
    }

    pub fn write(&self, ring: Ring) {
        self.ask(Job::Write(ring));
    }

    pub fn begin(&self, ring: Ring) {
        self.ask(Job::Begin(ring));
    }

    /// Half-close: the end of writing is sent, then what still comes is read and dropped until the other side ends, or
    /// this port is dropped. A plain close over unread bytes would reset the connection, and take with it answers that
    /// the other side has not read yet. Only while nothing is being written. Where something has come, that is told
    /// instead, and nothing is ended, unless nobody wants to hear it.
    pub fn half_close(&self, discard: bool) {
        self.ask(Job::HalfClose { discard });
    }

    /// There is one ring a direction, and one end; one whose coroutine has ended is reported closed.
    fn ask(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.try_send(job);
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

/// A connection that is up, and what its port asks for.
pub struct Open {
    stream: TcpStream,
    asked: Receiver<Job>,
}

pub fn open(stream: TcpStream) -> (Port, Open) {
    // Answers are written whole; holding back a last small segment would only delay them.
    let _ = stream.set_nodelay(true);
    let (jobs, asked) = sync_channel(4);
    (Port { jobs: Some(jobs), waker: stream.waker() }, Open { stream, asked })
}

impl Open {
    /// Runs the connection until its port is dropped, or it was ended in order; in a coroutine.
    pub fn serve(self, conn: ConnId, events: &Sender<Event>) {
        let Open { stream, asked } = self;
        pump(conn, &stream, &asked, events);
        drop(stream);
        report(events, Event::Closed(conn));
    }
}

/// Fails only when the program is on its way out.
fn report(events: &Sender<Event>, event: Event) {
    let _ = events.send(event);
}

fn pump(conn: ConnId, stream: &TcpStream, asked: &Receiver<Job>, events: &Sender<Event>) {
    let (mut reading, mut writing, mut beginning, mut half_closed) = (None, None, false, None);
    loop {
        loop {
            match asked.try_recv() {
                Ok(Job::Read(ring)) => reading = Some(ring),
                Ok(Job::Write(ring)) => writing = Some(ring),
                Ok(Job::Begin(ring)) => (writing, beginning) = (Some(ring), true),
                Ok(Job::HalfClose { discard }) => half_closed = Some(discard),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return,
            }
        }
        if std::mem::take(&mut beginning) {
            // With its ring for reading on the way to the reducer, something has come, too.
            let end = reading.as_mut().map(|into| (read(stream, into), !into.is_empty()));
            let good = end.as_ref().is_some_and(|(end, came)| {
                !came && end.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
            });
            let why = match &end {
                Some((Err(e), false)) => Cut::of(e),
                _ => Cut::SpokenOn,
            };
            if let Some(ring) = writing.take_if(|_| !good) {
                report(events, Event::Wrote { conn, ring, failed: Some(why) });
            }
            if let Some(ring) = reading.take_if(|_| !good) {
                report(events, Event::Read { conn, ring, ended: Some(why), at: clock::unix() });
            }
        }
        if let Some(mut ring) = writing.take() {
            match write(stream, &mut ring) {
                Ok(()) => report(events, Event::Wrote { conn, ring, failed: None }),
                Err(e) if e.kind() == ErrorKind::WouldBlock => writing = Some(ring),
                Err(e) => report(events, Event::Wrote { conn, ring, failed: Some(Cut::of(&e)) }),
            }
        }
        if let Some(mut ring) = reading.take() {
            let before = ring.len();
            let end = read(stream, &mut ring);
            let ended = end.err().filter(|e| e.kind() != ErrorKind::WouldBlock).as_ref().map(Cut::of);
            if ring.len() > before || ended.is_some() {
                report(events, Event::Read { conn, ring, ended, at: clock::unix() });
            } else {
                reading = Some(ring);
            }
        }
        // With its ring on the way to the reducer, something has come: whoever asked will hear of it, and ask again.
        if half_closed.take().is_some_and(|discard: bool| discard || reading.is_some()) && writing.is_none() {
            return linger(stream, asked);
        }
        stream.wait_io();
    }
}

fn linger(stream: &TcpStream, asked: &Receiver<Job>) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
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
