//! A front's connection to the control service: feeds events to the state machine [`Front`] and performs its effects.
//! The content of a version is interpreted by the [`Host`].

use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_trust::timeouts;
use doorgrade_versions::front::{Content, Effect, Front, LogEvent};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::{RejectionReason, Ticks, VersionId};
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

use crate::clock::now;
use crate::wire::{ConnectionError, Reader, Writer};
use crate::{FRONT_PROTOCOL, MAX_CONTENT_MESSAGE_BYTES};

type Stream = TlsStream<TcpStream>;

/// Accesses since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessCounts {
    /// Accesses that have ended, with any result.
    pub accesses: u64,
    /// Those of them that were answered within the soft limit.
    pub answered: u64,
}

/// The program that runs the versions.
pub trait Host {
    /// Checks that a content can be applied and would do no harm.
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason>;
    /// Applies a content, completely or not at all.
    fn apply(
        &mut self,
        id: &VersionId,
        content: &Content,
    ) -> impl Future<Output = Result<(), RejectionReason>>;
    /// Stores the version that is about to be applied, and after how many crashes. Returns whether it was stored.
    fn stage(&mut self, id: VersionId, crashes: u32) -> bool;
    /// Stores the last good version. Returns whether it was stored.
    fn store(&mut self, id: VersionId, seal: Seal, content: &Content) -> bool;
    /// Removes the record of [`Host::stage`].
    fn unstage(&mut self);
    fn log(&mut self, event: LogEvent);
    /// The share of the requested benefit that was delivered within the soft limit since the last call. None if nothing
    /// was requested.
    fn service_level(&mut self) -> Option<f32>;
    /// The accesses since the process started. Called only if the service judges versions by them.
    fn access_counts(&mut self) -> AccessCounts;
    /// Reports a connection that ended or could not be established.
    fn connection_lost(&mut self, _address: SocketAddr, _reason: &str) {}
}

/// The addresses of the service, and the name that its certificate has to be valid for.
#[derive(Clone, Debug)]
pub struct ServiceEndpoint {
    /// Tried in turn.
    pub addresses: Vec<SocketAddr>,
    pub server_name: ServerName<'static>,
}

/// A command from the host program.
#[derive(Debug)]
pub enum Command {
    /// Used for new connections.
    Tls(Arc<ClientConfig>),
    /// The keys that seals of versions are checked with.
    Keys(Keys),
    /// Stops after an apply that is in progress.
    Stop,
}

/// How often the service level is reported, which also serves as the heartbeat.
const SERVICE_LEVEL_INTERVAL: Ticks = 50_000;

struct Connection {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
    address: SocketAddr,
}

type Connecting = Pin<Box<dyn Future<Output = Result<Connection, (SocketAddr, String)>> + Send>>;

async fn connect(
    address: SocketAddr,
    server_name: ServerName<'static>,
    tls: Arc<ClientConfig>,
) -> Result<Connection, (SocketAddr, String)> {
    let limit = Duration::from_micros(timeouts::HANDSHAKE * 100);
    let connecting = timeout(limit, async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        TlsConnector::from(tls).connect(server_name, stream).await
    });
    let result = connecting.await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = result.map_err(|e| (address, e.to_string()))?;
    if stream.get_ref().1.alpn_protocol() != Some(FRONT_PROTOCOL) {
        return Err((address, "the service did not negotiate this protocol".into()));
    }
    let (reader, writer) = tokio::io::split(stream);
    Ok(Connection {
        reader: Reader::new(reader, None, MAX_CONTENT_MESSAGE_BYTES),
        writer: Writer::new(writer),
        address,
    })
}

/// A front's client of the control service.
pub struct FrontClient<H> {
    pub host: H,
    front: Front,
    endpoint: ServiceEndpoint,
    tls: Arc<ClientConfig>,
    /// Index of the address to try next, modulo the number of addresses.
    next_address: usize,
    connection: Option<Connection>,
    connecting: Option<Connecting>,
    timer: Option<Ticks>,
    /// Ticks when the access counts are to be reported, if the service has requested them.
    report_interval: Option<Interval>,
    /// Bytes written to the service on connections that have ended.
    pub sent_bytes: u64,
    /// Connections established.
    pub connections: u64,
}

/// An interval whose first tick is immediate. Missed ticks are skipped, since the counts that are reported are totals.
fn start_interval(period: Ticks) -> Interval {
    let mut interval = interval(Duration::from_micros(period.max(1) * 100));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// The runtime's instant for a time of [`now`].
fn instant(time: Ticks) -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_micros(time.saturating_sub(now()) * 100)
}

impl<H: Host> FrontClient<H> {
    /// `start` creates the state machine, whose first effects are returned; one of them requests a connection.
    pub fn new(
        host: H,
        endpoint: ServiceEndpoint,
        tls: Arc<ClientConfig>,
        start: impl FnOnce(Ticks, &mut Vec<Effect>) -> Front,
    ) -> (Self, Vec<Effect>) {
        let mut effects = Vec::new();
        let front = start(now(), &mut effects);
        let (next_address, connection, connecting, timer, report_interval) = (0, None, None, None, None);
        (
            FrontClient {
                host,
                front,
                endpoint,
                tls,
                next_address,
                connection,
                connecting,
                timer,
                report_interval,
                sent_bytes: 0,
                connections: 0,
            },
            effects,
        )
    }

    pub fn running(&self) -> Option<VersionId> {
        self.front.running()
    }

    /// Runs until [`Command::Stop`], or until the sender of commands is dropped.
    pub async fn run(&mut self, initial: Vec<Effect>, commands: &mut mpsc::Receiver<Command>) {
        self.perform(initial).await;
        let mut service_level = start_interval(SERVICE_LEVEL_INTERVAL);
        loop {
            let mut effects = Vec::new();
            let timer = self.timer;
            let (connecting, connection, report_interval) =
                (&mut self.connecting, &mut self.connection, &mut self.report_interval);
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Tls(tls)) => self.tls = tls,
                    Some(Command::Keys(keys)) => self.front.set_keys(keys),
                    Some(Command::Stop) | None => break,
                },
                result = async {
                    match connecting {
                        Some(connecting) => connecting.await,
                        None => pending().await,
                    }
                } => {
                    self.connecting = None;
                    match result {
                        Ok(connection) => {
                            self.connection = Some(connection);
                            self.connections += 1;
                            self.front.on_connected(now(), &mut effects);
                        }
                        Err((address, reason)) => self.connection_lost(address, &reason, &mut effects),
                    }
                }
                read = async {
                    match connection {
                        Some(connection) => connection.reader.read::<ToFront>().await,
                        None => pending().await,
                    }
                } => match read {
                    Ok(message) => self.front.on_message(now(), message, &mut effects),
                    Err(error) => self.drop_connection(&error, &mut effects),
                },
                () = async {
                    match timer {
                        Some(deadline) => sleep_until(instant(deadline)).await,
                        None => pending().await,
                    }
                } => {
                    // A timer may fire a little early by the system's clock, which may also have been set back.
                    if timer.is_some_and(|deadline| now() >= deadline) {
                        self.timer = None;
                        self.front.on_timer(now(), &mut effects);
                    }
                }
                () = async {
                    match report_interval {
                        Some(interval) => drop(interval.tick().await),
                        None => pending().await,
                    }
                } => {
                    let AccessCounts { accesses, answered } = self.host.access_counts();
                    self.front.report(accesses, answered, &mut effects);
                }
                _ = service_level.tick() => {
                    if let Some(share) = self.host.service_level() {
                        self.front.report_service_level(share, &mut effects);
                    }
                }
            }
            self.perform(effects).await;
        }
        if let Some(mut connection) = self.connection.take() {
            connection.writer.close().await;
        }
    }

    fn connection_lost(&mut self, address: SocketAddr, reason: &str, effects: &mut Vec<Effect>) {
        self.next_address = self.next_address.wrapping_add(1);
        self.host.connection_lost(address, reason);
        self.front.on_disconnected(now(), effects);
    }

    fn drop_connection(&mut self, error: &ConnectionError, effects: &mut Vec<Effect>) {
        if let Some(connection) = self.connection.take() {
            self.sent_bytes += connection.writer.sent_bytes;
            self.connection_lost(connection.address, &error.to_string(), effects);
        }
    }

    async fn send(&mut self, message: &ToService, effects: &mut Vec<Effect>) {
        let Some(connection) = &mut self.connection else { return };
        if let Err(error) = connection.writer.write(message).await {
            self.drop_connection(&error, effects);
        }
    }

    /// Performs effects, and those that follow from them.
    async fn perform(&mut self, mut queue: Vec<Effect>) {
        while !queue.is_empty() {
            let mut effects = Vec::new();
            for effect in queue.drain(..) {
                match effect {
                    Effect::Connect => {
                        let address =
                            self.endpoint.addresses[self.next_address % self.endpoint.addresses.len()];
                        self.connecting = Some(Box::pin(connect(
                            address,
                            self.endpoint.server_name.clone(),
                            self.tls.clone(),
                        )));
                    }
                    Effect::Close => {
                        if let Some(mut connection) = self.connection.take() {
                            self.sent_bytes += connection.writer.sent_bytes;
                            connection.writer.close().await;
                        }
                    }
                    Effect::Send(message) => self.send(&message, &mut effects).await,
                    Effect::Check(id, content) => {
                        let result = self.host.check(&id, &content);
                        self.front.on_checked(now(), id, result, &mut effects);
                    }
                    Effect::Stage { id, crashes } => {
                        self.host.stage(id, crashes);
                        self.front.on_staged(now(), id, &mut effects);
                    }
                    Effect::Apply(id, content) => {
                        let result = self.host.apply(&id, &content).await;
                        self.front.on_applied(now(), id, result, &mut effects);
                    }
                    Effect::Store(id, seal, content) => {
                        let stored = self.host.store(id, seal, &content);
                        self.front.on_stored(now(), id, stored, &mut effects);
                    }
                    Effect::Unstage => self.host.unstage(),
                    Effect::SetTimer(at) => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
                    Effect::Log(event) => self.host.log(event),
                    Effect::SetReportInterval { interval } => {
                        self.report_interval = interval.map(start_interval);
                    }
                }
            }
            queue = effects;
        }
    }
}
