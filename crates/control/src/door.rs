//! The listeners, and a task for each connection. A front is believed under a name that its certificate covers; an operator
//! under a role that the settings give.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use doorgrade_keys::names;
use doorgrade_keys::rustls::ServerConfig;
use doorgrade_stream::wire::{Ended, Reader, Writer};
use doorgrade_stream::{FRONTS, MOST_FIRST, MOST_WITH_CONTENT, MOST_WORD, OPERATORS};
use doorgrade_trust::{peer, timeouts};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::service::{Request, Response, Role};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

use crate::core::{self, Event, MOST_WAITING, Say};

/// TLS as it is now, for connections from now on.
pub type Tls = Arc<RwLock<Arc<ServerConfig>>>;
/// What whoever holds a certificate of these names may do, and as whom.
pub type RoleOf = dyn Fn(&[String]) -> Option<(Role, String)> + Send + Sync;
pub type Roles = Arc<RwLock<Box<RoleOf>>>;

/// Connections at once whose handshake is not done: each takes some 30 KB until then, and anybody can begin one.
const MOST_GREETING: usize = 2_048;
/// Operators at once: people and their scripts.
const MOST_OPERATORS: usize = 256;

pub struct Door {
    pub events: mpsc::Sender<Event>,
    pub most_fronts: usize,
    greeting: AtomicUsize,
    open: AtomicUsize,
    operators: AtomicUsize,
    next: AtomicU64,
}

/// Counts one for as long as it lives.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    /// None where there are as many already.
    fn new(count: &'a AtomicUsize, most: usize) -> Option<Counted<'a>> {
        let taken = count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |c| (c < most).then_some(c + 1));
        taken.is_ok().then_some(Counted(count))
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn current(tls: &Tls) -> Arc<ServerConfig> {
    tls.read().unwrap_or_else(PoisonError::into_inner).clone()
}

impl Door {
    pub fn new(events: mpsc::Sender<Event>, most_fronts: usize) -> Arc<Door> {
        let zero = AtomicUsize::default;
        let (greeting, open, operators) = (zero(), zero(), zero());
        Arc::new(Door { events, most_fronts, greeting, open, operators, next: AtomicU64::new(1) })
    }

    /// Takes connections until the listener is dropped.
    pub async fn fronts(self: Arc<Self>, listener: TcpListener, tls: Tls) {
        self.accept(listener, |door, stream, at| {
            let tls = current(&tls);
            tokio::spawn(async move { door.front(stream, at, tls).await });
        })
        .await;
    }

    pub async fn operators(self: Arc<Self>, listener: TcpListener, tls: Tls, roles: Roles) {
        self.accept(listener, |door, stream, at| {
            let (tls, roles) = (current(&tls), roles.clone());
            tokio::spawn(async move { door.operator(stream, at, tls, roles).await });
        })
        .await;
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, each: impl Fn(Arc<Door>, TcpStream, SocketAddr)) {
        loop {
            match listener.accept().await {
                Ok((stream, at)) => each(self.clone(), stream, at),
                Err(e) => {
                    // Out of descriptors, most likely: those that are up go on, and some will end.
                    tracing::error!("no connection can be taken: {e}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// The handshake, within its time; with the names that the other side's certificate was made for.
    async fn greet(
        &self,
        stream: TcpStream,
        tls: Arc<ServerConfig>,
        protocol: &[u8],
    ) -> Result<(TlsStream<TcpStream>, Vec<String>), String> {
        let _greeting = Counted::new(&self.greeting, MOST_GREETING).ok_or("too many are at the door")?;
        let within = Duration::from_micros(timeouts::HANDSHAKE * 100);
        let _ = stream.set_nodelay(true);
        let made = timeout(within, TlsAcceptor::from(tls).accept(stream)).await;
        let stream = made.map_err(|_| "its handshake took too long")?.map_err(|e| e.to_string())?;
        let (_, tls) = stream.get_ref();
        if tls.alpn_protocol() != Some(protocol) {
            return Err("it does not speak this protocol".into());
        }
        let names = tls.peer_certificates().and_then(|chain| chain.first()).map(names).unwrap_or_default();
        Ok((stream, names))
    }

    async fn front(self: Arc<Self>, stream: TcpStream, at: SocketAddr, tls: Arc<ServerConfig>) {
        // As many again as there may be fronts: those whose old connection is not known to be lost yet.
        let Some(_open) = Counted::new(&self.open, 2 * self.most_fronts) else {
            return tracing::warn!("{at}: more connections than fronts there may be");
        };
        let conn = self.next.fetch_add(1, Ordering::SeqCst);
        if let Err(why) = self.follow(conn, stream, tls).await {
            tracing::warn!("{at}: {why}");
        }
        let _ = self.events.send(Event::Gone { conn }).await;
    }

    async fn follow(&self, conn: u64, stream: TcpStream, tls: Arc<ServerConfig>) -> Result<(), String> {
        let (stream, names) = self.greet(stream, tls, FRONTS).await?;
        let (reader, writer) = tokio::io::split(stream);
        let (mut reader, mut writer) =
            (Reader::new(reader, Some(MOST_FIRST), MOST_WORD), Writer::new(writer));
        let hello = reader.read::<ToService>().await.map_err(|ended| format!("no first word: {ended}"))?;
        reader.set_most(MOST_WORD);
        let ToService::Hello { front, .. } = &hello else {
            return Err("its first word is no greeting".into());
        };
        if !peer::covers(names.iter().map(String::as_str), front) {
            let shown: String = front.chars().take(64).collect();
            return Err(format!("calls itself {shown:?}, its certificate is for {}", names.join(", ")));
        }
        let (to, mut say) = mpsc::channel(MOST_WAITING);
        let gone = || "the service ends".to_owned();
        self.events.send(Event::Came { conn, to, hello }).await.map_err(|_| gone())?;
        loop {
            tokio::select! {
                said = say.recv() => match said {
                    Some(Say::Message(message)) => {
                        // A front that was told to come later hears that before it is cut off.
                        let last = matches!(message, ToFront::RetryLater { .. });
                        writer.write(&message).await.map_err(|ended| ended.to_string())?;
                        if last {
                            writer.close().await;
                            return Ok(());
                        }
                    }
                    Some(Say::Close) | None => {
                        writer.close().await;
                        return Ok(());
                    }
                },
                read = reader.read::<ToService>() => match read {
                    Ok(message) => {
                        self.events.send(Event::Said { conn, message }).await.map_err(|_| gone())?;
                    }
                    Err(Ended::Closed) => return Ok(()),
                    Err(Ended::Failed(_)) => return Ok(()),
                    Err(ended) => return Err(ended.to_string()),
                },
            }
        }
    }

    async fn operator(
        self: Arc<Self>,
        stream: TcpStream,
        at: SocketAddr,
        tls: Arc<ServerConfig>,
        roles: Roles,
    ) {
        let Some(_open) = Counted::new(&self.operators, MOST_OPERATORS) else {
            return tracing::warn!("{at}: more operators than {MOST_OPERATORS}");
        };
        if let Err(why) = self.answer(stream, tls, &roles).await {
            tracing::warn!("{at}: {why}");
        }
    }

    async fn answer(&self, stream: TcpStream, tls: Arc<ServerConfig>, roles: &Roles) -> Result<(), String> {
        let (stream, names) = self.greet(stream, tls, OPERATORS).await?;
        let role = roles.read().unwrap_or_else(PoisonError::into_inner)(&names);
        let (role, who) = role.ok_or_else(|| format!("no role is set for {}", names.join(", ")))?;
        let who: Arc<str> = who.into();
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = Writer::new(writer);
        let mut reader = Reader::new(reader, None, MOST_WITH_CONTENT);
        let (to, mut lines) = core::lines();
        let mut to = Some(to);
        loop {
            tokio::select! {
                line = lines.recv() => {
                    let Some(line) = line else { return Ok(()) };
                    let line = Response::LogEvent((*line).clone());
                    writer.write(&line).await.map_err(|ended| ended.to_string())?;
                }
                read = reader.read::<Request>() => {
                    let ask = match read {
                        Ok(ask) => ask,
                        Err(Ended::Closed | Ended::Failed(_)) => return Ok(()),
                        Err(ended) => return Err(ended.to_string()),
                    };
                    let watches = matches!(ask, Request::Watch);
                    let (answer, came) = oneshot::channel();
                    let asked = Event::Asked { role, who: who.clone(), ask, answer };
                    self.events.send(asked).await.map_err(|_| "the service ends")?;
                    let answer = came.await.map_err(|_| "the service ends")?;
                    writer.write(&answer).await.map_err(|ended| ended.to_string())?;
                    if let Some(to) = to.take_if(|_| watches) {
                        self.events.send(Event::Watch(to)).await.map_err(|_| "the service ends")?;
                    }
                }
            }
        }
    }
}
