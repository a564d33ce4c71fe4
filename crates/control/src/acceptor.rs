//! The listeners, and a task for each connection. A front has to present a certificate that is valid for its name, and
//! an operator a certificate whose name has a role in the settings.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use doorgrade_keys::dns_names;
use doorgrade_keys::rustls::ServerConfig;
use doorgrade_stream::wire::{ConnectionError, Reader, Writer};
use doorgrade_stream::{
    FRONT_PROTOCOL, MAX_CONTENT_MESSAGE_BYTES, MAX_FRONT_MESSAGE_BYTES, MAX_HELLO_BYTES, OPERATOR_PROTOCOL,
};
use doorgrade_trust::{peer, timeouts};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::service::{Request, Response, Role};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

use crate::event_loop::{self, Command, Event, MAX_PENDING_MESSAGES};

/// The TLS configuration for new connections, replaced when the files change.
pub type Tls = Arc<RwLock<Arc<ServerConfig>>>;
/// Returns the role for the names of a certificate, and the operator's name for the log.
pub type RoleOf = dyn Fn(&[String]) -> Option<(Role, String)> + Send + Sync;
/// The current role lookup, replaced when the settings are reloaded.
pub type Roles = Arc<RwLock<Box<RoleOf>>>;

/// Concurrent TLS handshakes. Each takes about 30 KB, and any peer can start one.
const MAX_HANDSHAKES: usize = 2_048;
/// Concurrent connections of operators and their scripts.
const MAX_OPERATORS: usize = 256;

/// Accepts connections and counts them against their limits.
pub struct Acceptor {
    pub events: mpsc::Sender<Event>,
    pub max_fronts: usize,
    handshakes: AtomicUsize,
    front_connections: AtomicUsize,
    operators: AtomicUsize,
    next_connection: AtomicU64,
}

/// Counts against a limit until it is dropped.
struct Permit<'a>(&'a AtomicUsize);

impl<'a> Permit<'a> {
    /// None if the limit is reached.
    fn acquire(count: &'a AtomicUsize, limit: usize) -> Option<Permit<'a>> {
        let acquired =
            count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |c| (c < limit).then_some(c + 1));
        acquired.is_ok().then_some(Permit(count))
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The configuration for a connection that is accepted now.
fn current(tls: &Tls) -> Arc<ServerConfig> {
    tls.read().unwrap_or_else(PoisonError::into_inner).clone()
}

impl Acceptor {
    pub fn new(events: mpsc::Sender<Event>, max_fronts: usize) -> Arc<Acceptor> {
        let zero = AtomicUsize::default;
        let (handshakes, front_connections, operators) = (zero(), zero(), zero());
        Arc::new(Acceptor {
            events,
            max_fronts,
            handshakes,
            front_connections,
            operators,
            next_connection: AtomicU64::new(1),
        })
    }

    /// Accepts connections of fronts until the task is aborted.
    pub async fn accept_fronts(self: Arc<Self>, listener: TcpListener, tls: Tls) {
        self.accept(listener, |acceptor, stream, address| {
            let tls = current(&tls);
            tokio::spawn(async move { acceptor.serve_front(stream, address, tls).await });
        })
        .await;
    }

    /// Accepts connections of operators until the task is aborted.
    pub async fn accept_operators(self: Arc<Self>, listener: TcpListener, tls: Tls, roles: Roles) {
        self.accept(listener, |acceptor, stream, address| {
            let (tls, roles) = (current(&tls), roles.clone());
            tokio::spawn(async move { acceptor.serve_operator(stream, address, tls, roles).await });
        })
        .await;
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        spawn: impl Fn(Arc<Acceptor>, TcpStream, SocketAddr),
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => spawn(self.clone(), stream, address),
                Err(e) => {
                    // Most likely out of file descriptors. The delay lets some connections end.
                    tracing::error!("can't accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Performs the TLS handshake within its timeout. Returns the stream and the DNS names of the peer's certificate.
    async fn handshake(
        &self,
        stream: TcpStream,
        tls: Arc<ServerConfig>,
        protocol: &[u8],
    ) -> Result<(TlsStream<TcpStream>, Vec<String>), String> {
        let _permit =
            Permit::acquire(&self.handshakes, MAX_HANDSHAKES).ok_or("too many handshakes in progress")?;
        let limit = Duration::from_micros(timeouts::HANDSHAKE * 100);
        let _ = stream.set_nodelay(true);
        let result = timeout(limit, TlsAcceptor::from(tls).accept(stream)).await;
        let stream = result.map_err(|_| "the TLS handshake timed out")?.map_err(|e| e.to_string())?;
        let (_, tls) = stream.get_ref();
        if tls.alpn_protocol() != Some(protocol) {
            return Err("the peer did not negotiate this protocol".into());
        }
        let names =
            tls.peer_certificates().and_then(|chain| chain.first()).map(dns_names).unwrap_or_default();
        Ok((stream, names))
    }

    async fn serve_front(self: Arc<Self>, stream: TcpStream, address: SocketAddr, tls: Arc<ServerConfig>) {
        // Twice the number of fronts, since each may have reconnected before the loss of its old connection is noticed.
        let Some(_permit) = Permit::acquire(&self.front_connections, 2 * self.max_fronts) else {
            return tracing::warn!("{address}: rejected: too many connections of fronts");
        };
        let conn = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Err(reason) = self.run_front(conn, stream, tls).await {
            tracing::warn!("{address}: {reason}");
        }
        let _ = self.events.send(Event::Disconnected { conn }).await;
    }

    async fn run_front(&self, conn: u64, stream: TcpStream, tls: Arc<ServerConfig>) -> Result<(), String> {
        let (stream, names) = self.handshake(stream, tls, FRONT_PROTOCOL).await?;
        let (reader, writer) = tokio::io::split(stream);
        let (mut reader, mut writer) =
            (Reader::new(reader, Some(MAX_HELLO_BYTES), MAX_FRONT_MESSAGE_BYTES), Writer::new(writer));
        let hello = reader.read::<ToService>().await.map_err(|e| format!("no first message: {e}"))?;
        reader.set_max(MAX_FRONT_MESSAGE_BYTES);
        let ToService::Hello { front, .. } = &hello else {
            return Err("the first message is not a hello".into());
        };
        if !peer::covers(names.iter().map(String::as_str), front) {
            let excerpt: String = front.chars().take(64).collect();
            return Err(format!(
                "claims the name {excerpt:?}, but its certificate is for {}",
                names.join(", ")
            ));
        }
        let (outbound, mut commands) = mpsc::channel(MAX_PENDING_MESSAGES);
        let stopping = || "the service is stopping".to_owned();
        self.events.send(Event::Connected { conn, outbound, hello }).await.map_err(|_| stopping())?;
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Send(message)) => {
                        // A front that has to retry later receives that message before its connection is closed.
                        let last = matches!(message, ToFront::RetryLater { .. });
                        writer.write(&message).await.map_err(|e| e.to_string())?;
                        if last {
                            writer.close().await;
                            return Ok(());
                        }
                    }
                    Some(Command::Close) | None => {
                        writer.close().await;
                        return Ok(());
                    }
                },
                read = reader.read::<ToService>() => match read {
                    Ok(message) => {
                        self.events.send(Event::Message { conn, message }).await.map_err(|_| stopping())?;
                    }
                    Err(ConnectionError::Closed) => return Ok(()),
                    Err(ConnectionError::Io(_)) => return Ok(()),
                    Err(error) => return Err(error.to_string()),
                },
            }
        }
    }

    async fn serve_operator(
        self: Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        tls: Arc<ServerConfig>,
        roles: Roles,
    ) {
        let Some(_permit) = Permit::acquire(&self.operators, MAX_OPERATORS) else {
            return tracing::warn!("{address}: rejected: more than {MAX_OPERATORS} connections of operators");
        };
        if let Err(reason) = self.run_operator(stream, tls, &roles).await {
            tracing::warn!("{address}: {reason}");
        }
    }

    async fn run_operator(
        &self,
        stream: TcpStream,
        tls: Arc<ServerConfig>,
        roles: &Roles,
    ) -> Result<(), String> {
        let (stream, names) = self.handshake(stream, tls, OPERATOR_PROTOCOL).await?;
        let role = roles.read().unwrap_or_else(PoisonError::into_inner)(&names);
        let (role, operator) =
            role.ok_or_else(|| format!("no role is configured for {}", names.join(", ")))?;
        let operator: Arc<str> = operator.into();
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = Writer::new(writer);
        let mut reader = Reader::new(reader, None, MAX_CONTENT_MESSAGE_BYTES);
        let (subscriber, mut log_events) = event_loop::log_channel();
        let mut subscriber = Some(subscriber);
        loop {
            tokio::select! {
                event = log_events.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    let event = Response::LogEvent((*event).clone());
                    writer.write(&event).await.map_err(|e| e.to_string())?;
                }
                read = reader.read::<Request>() => {
                    let request = match read {
                        Ok(request) => request,
                        Err(ConnectionError::Closed | ConnectionError::Io(_)) => return Ok(()),
                        Err(error) => return Err(error.to_string()),
                    };
                    let subscribes = matches!(request, Request::Watch);
                    let (reply, response) = oneshot::channel();
                    let event = Event::Request { role, operator: operator.clone(), request, reply };
                    self.events.send(event).await.map_err(|_| "the service is stopping")?;
                    let response = response.await.map_err(|_| "the service is stopping")?;
                    writer.write(&response).await.map_err(|e| e.to_string())?;
                    if let Some(subscriber) = subscriber.take_if(|_| subscribes) {
                        self.events.send(Event::Subscribe(subscriber)).await.map_err(|_| "the service is stopping")?;
                    }
                }
            }
        }
    }
}
