//! A cache played by hand: a test holds its accepts, reads and answers until the moment that it wants to show.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};

use crate::wire::{self, Head};

pub struct Held {
    pub at: SocketAddr,
    listener: TcpListener,
    /// Connections of our own that take the places of others in the system's queue.
    fill: Vec<TcpStream>,
}

impl Held {
    pub fn start() -> io::Result<Held> {
        let listening = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        bind(&listening, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
        // One that waits to be accepted is then all that the system's queue takes.
        listen(&listening, 0)?;
        let listener = TcpListener::from(listening);
        listener.set_nonblocking(true)?;
        Ok(Held { at: listener.local_addr()?, listener, fill: Vec::new() })
    }

    /// From now on connections that are asked for don't come up: the system's queue is full, and their first words are
    /// dropped. They are said again a second later.
    pub fn hold_dials(&mut self) -> io::Result<()> {
        self.fill.push(TcpStream::connect(self.at)?);
        Ok(())
    }

    /// What is asked for comes up again, what was asked for before with its next word.
    pub fn let_dials_up(&mut self) -> io::Result<()> {
        for _ in self.fill.drain(..) {
            self.listener.accept()?;
        }
        Ok(())
    }

    /// Connections to here that are asked for and not up.
    pub fn dials(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let here = format!("0100007F:{:04X}", self.at.port());
        let asked = |line: &&str| {
            let mut words = line.split_whitespace().skip(2);
            words.next() == Some(&here) && words.next() == Some("02")
        };
        table.lines().filter(asked).count()
    }

    /// The next connection, as soon as there is one.
    pub fn accept(&self, within: Duration) -> io::Result<Line> {
        let end = Instant::now() + within;
        loop {
            match self.listener.accept() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(e) => return Err(e),
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                    return Ok(Line { reader: BufReader::new(stream.try_clone()?), stream });
                }
            }
        }
    }
}

/// A connection to it.
pub struct Line {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Line {
    /// The next request, once it is whole; none where the other side has ended the connection.
    pub fn request(&mut self) -> io::Result<Option<Head>> {
        Ok(wire::read(&mut self.reader)?.map(|(head, _)| head))
    }

    /// Whether anything has come that was not read. Nothing is waited for.
    pub fn spoken_to(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let came = matches!(self.stream.peek(&mut [0; 1]), Ok(count) if count > 0);
        let _ = self.stream.set_nonblocking(false);
        came || !self.reader.buffer().is_empty()
    }

    /// Whether the other side has ended it, however.
    pub fn ended(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let end = self.stream.read(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(&end, Err(e) if e.kind() == io::ErrorKind::WouldBlock) && !matches!(end, Ok(1))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// A whole answer with these bytes.
    pub fn answer(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        wire::write(&self.stream, &format!("HTTP/1.1 {status} Said"), fields, body)
    }

    /// Ends it as a process that dies does.
    pub fn reset(self) -> io::Result<()> {
        set_socket_linger(&self.stream, Some(Duration::ZERO))?;
        Ok(())
    }
}
