//! A cache that the test operates by hand, to produce an exact order of events: the test decides when a connection is
//! established, when it is accepted, when a request is read, and which bytes are sent back.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};

use crate::wire::{self, Head};

/// The listener of the cache. Each accepted connection is a [`Connection`].
pub struct ManualCache {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test itself that occupy the listener's backlog.
    backlog_fillers: Vec<TcpStream>,
}

impl ManualCache {
    pub fn start() -> io::Result<ManualCache> {
        let listening = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        bind(&listening, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
        // With a backlog of 0 the kernel queues a single connection that waits to be accepted.
        listen(&listening, 0)?;
        let listener = TcpListener::from(listening);
        listener.set_nonblocking(true)?;
        Ok(ManualCache { address: listener.local_addr()?, listener, backlog_fillers: Vec::new() })
    }

    /// Keeps new connections from being established, by filling the backlog: the kernel drops their SYN, and the
    /// client retransmits it after a second.
    pub fn block_connects(&mut self) -> io::Result<()> {
        self.backlog_fillers.push(TcpStream::connect(self.address)?);
        Ok(())
    }

    /// Lets connections be established again. Those that were blocked follow with their next SYN.
    pub fn unblock_connects(&mut self) -> io::Result<()> {
        for _ in self.backlog_fillers.drain(..) {
            self.listener.accept()?;
        }
        Ok(())
    }

    /// The number of connections to this address that are being established, from `/proc/net/tcp`.
    pub fn pending_connects(&self) -> usize {
        /// The state `TCP_SYN_SENT` as `/proc/net/tcp` shows it.
        const SYN_SENT: &str = "02";
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let address = format!("0100007F:{:04X}", self.address.port());
        let is_pending = |row: &&str| {
            let mut columns = row.split_whitespace().skip(2);
            columns.next() == Some(&address) && columns.next() == Some(SYN_SENT)
        };
        table.lines().filter(is_pending).count()
    }

    /// Waits for the next connection and accepts it.
    pub fn accept(&self, timeout: Duration) -> io::Result<Connection> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.listener.accept() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < deadline => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(e) => return Err(e),
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                    return Ok(Connection { reader: BufReader::new(stream.try_clone()?), stream });
                }
            }
        }
    }
}

/// An accepted connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Reads the next whole request; `None` if the client has closed the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Head>> {
        Ok(wire::read(&mut self.reader)?.map(|(head, _)| head))
    }

    /// Whether bytes have arrived that were not read yet. Doesn't block.
    pub fn has_unread_bytes(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let arrived = matches!(self.stream.peek(&mut [0; 1]), Ok(count) if count > 0);
        let _ = self.stream.set_nonblocking(false);
        arrived || !self.reader.buffer().is_empty()
    }

    /// Whether the client has closed or reset the connection. Doesn't block.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.read(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(&result, Err(e) if e.kind() == io::ErrorKind::WouldBlock) && !matches!(result, Ok(1))
    }

    /// Sends raw bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a complete response.
    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        wire::write(&self.stream, &format!("HTTP/1.1 {status} Said"), fields, body)
    }

    /// Resets the connection, as the kernel does when a process dies with unread data.
    pub fn reset(self) -> io::Result<()> {
        set_socket_linger(&self.stream, Some(Duration::ZERO))?;
        Ok(())
    }
}
