//! The coroutine of one connection. It carries out commands to read and write, and reports events; it decides
//! nothing.

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
use crate::config::ReloadedConfig;
use crate::reasons::IoEnd;
use crate::ring_buffer::RingBuffer;

pub use crate::send_guard::{SendConditions, SendGuard};

pub type ConnId = u64;

/// An event outside the reducer; events are handled in order of arrival.
pub enum Event {
    /// A client has connected; if it has waited in the system's backlog, since when at the longest.
    Accepted(ConnId, ConnHandle, Option<Ticks>),
    /// A connection that was requested is established, or failed.
    Connected(ConnId, io::Result<ConnHandle>),
    /// Data was read, or the connection has ended.
    Read { conn: ConnId, buffer: RingBuffer, ended: Option<IoEnd>, received_at: Ticks },
    /// The whole buffer was written, or the write has failed.
    Wrote { conn: ConnId, buffer: RingBuffer, failed: Option<IoEnd> },
    /// The sending side of a client's connection was shut down; data that still arrives is discarded.
    HalfClosed(ConnId),
    /// The descriptor is free.
    Closed(ConnId),
    /// Clients' connections can't be accepted for lack of descriptors or memory.
    AcceptFailed,
    /// The listener is closed, and all connections accepted before have been reported.
    ListenerClosed,
    /// Requested by SIGTERM.
    Stop,
    /// Whether health checks are to report this front as unavailable, so that clients go elsewhere.
    Drain(bool),
    /// The files were read again after SIGHUP.
    Reload(Box<ReloadedConfig>),
    /// Fills and purges known from before the start, or to neighbours.
    Recall(Vec<doorgrade_recall::Fill>, Vec<doorgrade_recall::Purge>),
    /// A new configuration version, and where to report that it was applied.
    Version(Box<ReloadedConfig>, tokio::sync::oneshot::Sender<()>),
}

enum Command {
    Read(RingBuffer),
    Write(RingBuffer),
    /// Written only if no data has arrived, the peer has not closed the connection, and the response is still
    /// wanted.
    StartRequest(RingBuffer, SendGuard),
    /// Half-closes the connection. If `discard` is false, only if no data has arrived that was not reported
    /// yet.
    HalfClose {
        discard: bool,
    },
}

/// The most commands of one connection that may wait: there is one buffer for each direction, and a second
/// half-close may be requested before the coroutine has dropped the first.
const MAX_COMMANDS: usize = 4;

/// The handle of a connection's coroutine. Dropping it closes the connection.
pub struct ConnHandle {
    sender: Option<SyncSender<Command>>,
    waker: WaitIoWaker,
    stream: Weak<Stream>,
}

/// A connection's socket, and the state that is shared with others.
pub(crate) struct Stream {
    pub(crate) socket: TcpStream,
    /// Data was read that has not reached the reducer yet.
    pub(crate) data_pending: AtomicBool,
}

impl ConnHandle {
    pub fn read(&self, buffer: RingBuffer) {
        self.send_command(Command::Read(buffer));
    }

    /// Called when the reducer is handed the data that was read.
    pub fn data_delivered(&self) {
        if let Some(stream) = self.stream.upgrade() {
            stream.data_pending.store(false, Ordering::SeqCst);
        }
    }

    pub fn write(&self, buffer: RingBuffer) {
        self.send_command(Command::Write(buffer));
    }

    pub fn start_request(&self, buffer: RingBuffer, guard: SendGuard) {
        self.send_command(Command::StartRequest(buffer, guard));
    }

    /// A guard for a request of this client.
    pub fn send_guard(&self, conditions: SendConditions) -> SendGuard {
        SendGuard { stream: self.stream.clone(), conditions }
    }

    /// Shuts down the sending side, then reads and discards data until the peer closes the connection, or
    /// this handle is dropped. Closing a socket with unread data would reset the connection, and the peer
    /// could lose responses that it has not read yet. Only to be used while nothing is being written.
    /// Reported by [`Event::HalfClosed`]. If data has arrived, that is reported instead and nothing is shut
    /// down, unless `discard` is set.
    pub fn half_close(&self, discard: bool) {
        self.send_command(Command::HalfClose { discard });
    }

    /// If the coroutine has ended, [`Event::Closed`] was sent.
    fn send_command(&self, command: Command) {
        if let Some(Err(TrySendError::Full(_))) = self.sender.as_ref().map(|sender| sender.try_send(command))
        {
            tracing::error!("a connection's command queue is full; the connection may hang");
        }
        self.waker.wakeup();
    }
}

impl Drop for ConnHandle {
    fn drop(&mut self) {
        self.sender = None;
        self.waker.wakeup();
    }
}

/// Starts a coroutine on the only worker thread.
#[allow(unsafe_code)] // `may` requires it: no coroutine here uses thread-locals or much stack.
pub fn spawn(body: impl FnOnce() + Send + 'static) {
    may::go!(body);
}

pub fn connect(conn: ConnId, address: SocketAddr, timeout: Duration, events: Sender<Event>) {
    spawn(move || match TcpStream::connect_timeout(&address, timeout) {
        Ok(stream) => {
            let (handle, task) = open(stream, None);
            report(&events, Event::Connected(conn, Ok(handle)));
            task.serve(conn, &events);
        }
        Err(error) => report(&events, Event::Connected(conn, Err(error))),
    });
}

/// Whether a connection failed for lack of something on this machine, including a route: then the peer was
/// not contacted, and nothing is known about it.
pub fn is_local_failure(error: &io::Error) -> bool {
    const LOCAL_ERRORS: [i32; 9] = [
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
    error.raw_os_error().is_some_and(|number| LOCAL_ERRORS.contains(&number))
}

/// An established connection, and the commands from its handle.
pub struct ConnTask {
    stream: Arc<Stream>,
    commands: Receiver<Command>,
    unread_since: Option<Ticks>,
}

/// `unread_since`: data that has arrived before the first read may have waited since this time.
pub fn open(stream: TcpStream, unread_since: Option<Ticks>) -> (ConnHandle, ConnTask) {
    // Responses are written completely, so delaying a last small segment would only cost time.
    let _ = stream.set_nodelay(true);
    let (sender, commands) = sync_channel(MAX_COMMANDS);
    let waker = stream.waker();
    let stream = Arc::new(Stream { socket: stream, data_pending: AtomicBool::new(false) });
    (
        ConnHandle { sender: Some(sender), waker, stream: Arc::downgrade(&stream) },
        ConnTask { stream, commands, unread_since },
    )
}

impl ConnTask {
    /// Runs the connection, in a coroutine, until its handle is dropped or it was half-closed and has ended.
    pub fn serve(self, conn: ConnId, events: &Sender<Event>) {
        let ConnTask { stream, commands, unread_since } = self;
        let mut conn_loop = ConnLoop {
            conn,
            stream: &stream,
            commands: &commands,
            events,
            reading: None,
            writing: None,
            starting: None,
            half_closing: None,
            unread_since,
        };
        conn_loop.run();
        drop(stream);
        report(events, Event::Closed(conn));
    }
}

/// Fails only while the process is exiting.
fn report(events: &Sender<Event>, event: Event) {
    let _ = events.send(event);
}

/// The state of a connection's coroutine.
struct ConnLoop<'a> {
    conn: ConnId,
    stream: &'a Stream,
    commands: &'a Receiver<Command>,
    events: &'a Sender<Event>,
    reading: Option<RingBuffer>,
    writing: Option<RingBuffer>,
    /// The data to be written starts a request, under these conditions.
    starting: Option<SendGuard>,
    /// A half-close was requested; the value is its `discard`.
    half_closing: Option<bool>,
    /// Data that has arrived before the first read may have waited since then.
    unread_since: Option<Ticks>,
}

/// The handle was dropped.
struct HandleDropped;

impl ConnLoop<'_> {
    /// Runs until the handle is dropped, or the connection was half-closed and has ended.
    fn run(&mut self) {
        while self.take_commands().is_ok() {
            if let Some(guard) = self.starting.take() {
                self.start_request(&guard);
            }
            self.write();
            self.read();
            // If the buffer for reading is not here, data has arrived and is on its way to the reducer.
            if self.writing.is_none()
                && self.half_closing.take().is_some_and(|discard| discard || self.reading.is_some())
            {
                return linger(self);
            }
            self.stream.socket.wait_io();
        }
    }

    /// In order: several may wait, and a command may depend on those before it.
    fn take_commands(&mut self) -> Result<(), HandleDropped> {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Read(buffer)) => self.reading = Some(buffer),
                Ok(Command::Write(buffer)) => self.writing = Some(buffer),
                Ok(Command::StartRequest(buffer, guard)) => {
                    (self.writing, self.starting) = (Some(buffer), Some(guard));
                }
                // If the buffer for reading is on its way to the reducer with data, the connection was not
                // idle when the half-close was requested, even if it is by now. The reducer requests it again
                // if it still wants it.
                Ok(Command::HalfClose { discard }) => {
                    self.half_closing = Some(discard).filter(|&discard| discard || self.reading.is_some());
                }
                Err(TryRecvError::Empty) => return Ok(()),
                Err(TryRecvError::Disconnected) => return Err(HandleDropped),
            }
        }
    }

    /// Checks that the connection is still good for a request: no data has arrived, and it has not ended.
    /// Then checks that the response is still wanted: the client's latest data may not have been processed
    /// yet.
    fn start_request(&mut self, guard: &SendGuard) {
        // If the buffer for reading is on its way to the reducer, data has arrived as well.
        let end = self.reading.as_mut().map(|into| (read(&self.stream.socket, into), !into.is_empty()));
        let reason = match &end {
            Some((Err(e), false)) if e.kind() == ErrorKind::WouldBlock => {
                self.reading.iter_mut().for_each(RingBuffer::release_if_empty);
                if let Some(reason) = guard.reason_not_to_send()
                    && let Some(buffer) = self.writing.take()
                {
                    self.report(|conn| Event::Wrote { conn, buffer, failed: Some(reason) });
                }
                return;
            }
            Some((Err(e), false)) => IoEnd::of(e),
            _ => IoEnd::UnexpectedData,
        };
        if let Some(buffer) = self.writing.take() {
            self.report(|conn| Event::Wrote { conn, buffer, failed: Some(reason) });
        }
        if let Some(buffer) = self.reading.take() {
            self.report(|conn| Event::Read { conn, buffer, ended: Some(reason), received_at: clock::now() });
        }
    }

    fn write(&mut self) {
        let Some(mut buffer) = self.writing.take() else { return };
        match write(&self.stream.socket, &mut buffer) {
            Ok(()) => {
                buffer.release_if_empty();
                self.report(|conn| Event::Wrote { conn, buffer, failed: None });
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.writing = Some(buffer),
            Err(e) => self.report(|conn| Event::Wrote { conn, buffer, failed: Some(IoEnd::of(&e)) }),
        }
    }

    fn read(&mut self) {
        let Some(mut buffer) = self.reading.take() else { return };
        let before = buffer.len();
        let end = read(&self.stream.socket, &mut buffer).err();
        let ended = end.filter(|e| e.kind() != ErrorKind::WouldBlock).as_ref().map(IoEnd::of);
        let received_at = self.unread_since.take().unwrap_or_else(clock::now);
        if buffer.len() > before || ended.is_some() {
            self.stream.data_pending.store(true, Ordering::SeqCst);
            self.report(|conn| Event::Read { conn, buffer, ended, received_at });
        } else {
            buffer.release_if_empty();
            self.reading = Some(buffer);
        }
    }

    fn report(&self, event: impl FnOnce(ConnId) -> Event) {
        report(self.events, event(self.conn));
    }
}

/// Shuts down the sending side, then reads and discards data until the peer closes the connection or the
/// handle is dropped.
fn linger(conn_loop: &ConnLoop<'_>) {
    let ConnLoop { stream: Stream { socket: stream, .. }, commands, .. } = conn_loop;
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    conn_loop.report(Event::HalfClosed);
    let mut discarded = RingBuffer::new(2_048);
    loop {
        // The handle is dropped when the timeout has passed; commands are no longer carried out.
        while let Ok(_late) = commands.try_recv() {}
        if matches!(commands.try_recv(), Err(TryRecvError::Disconnected)) {
            return;
        }
        discarded.clear();
        match read(stream, &mut discarded) {
            // A client that sends endlessly must not occupy the only worker.
            Ok(()) => may::coroutine::yield_now(),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.wait_io();
            }
            Err(_) => return,
        }
    }
}

fn write(stream: &TcpStream, buffer: &mut RingBuffer) -> io::Result<()> {
    while !buffer.is_empty() {
        match stream.inner().write(buffer.front()) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => buffer.consume(count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads until the buffer is full or no data is left; an error if the connection has ended.
fn read(stream: &TcpStream, buffer: &mut RingBuffer) -> io::Result<()> {
    while buffer.free() > 0 {
        match stream.inner().read(buffer.back()) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => buffer.filled(count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
