//! A front's side of a connection to the service of versions: carries what happens to the machine and does what
//! it says. What a version means is the host's to say.

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
use crate::wire::{Ended, Reader, Writer};
use crate::{FRONTS, MOST_WITH_CONTENT};

type Stream = TlsStream<TcpStream>;

/// Accesses since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccessCounts {
    /// Accesses that have ended, however they did.
    pub asked: u64,
    /// Of those, the ones answered within the soft limit.
    pub answered: u64,
}

/// What runs the versions.
pub trait Host {
    /// Whether a content can be used, and would do no harm.
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason>;
    /// Brings it into use, whole or not at all.
    fn apply(
        &mut self,
        id: &VersionId,
        content: &Content,
    ) -> impl Future<Output = Result<(), RejectionReason>>;
    /// Whether it was stored.
    fn stage(&mut self, id: VersionId, falls: u32) -> bool;
    fn keep(&mut self, id: VersionId, seal: Seal, content: &Content) -> bool;
    fn unstage(&mut self);
    fn tell(&mut self, line: LogEvent);
    /// What share of the benefit asked for it had within the soft limit since the last call; none where nothing was asked.
    fn serves(&mut self) -> Option<f32>;
    /// What it has served since it started; asked for only where the service judges versions by it.
    fn counts(&mut self) -> AccessCounts;
    /// What it can say of a connection that ended or could not be made.
    fn lost(&mut self, _at: SocketAddr, _why: &str) {}
}

/// Where the service is, and as whom it is believed.
#[derive(Clone, Debug)]
pub struct To {
    /// Tried in turn.
    pub at: Vec<SocketAddr>,
    pub name: ServerName<'static>,
}

/// From whoever runs this.
#[derive(Debug)]
pub enum Command {
    /// For connections from now on.
    Tls(Arc<ClientConfig>),
    Keys(Keys),
    /// What is being applied is finished first.
    Stop,
}

/// How often it says how it serves; also how often the service hears that it lives.
const SERVES_EACH: Ticks = 50_000;

struct Link {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
    at: SocketAddr,
}

type Connecting = Pin<Box<dyn Future<Output = Result<Link, (SocketAddr, String)>> + Send>>;

async fn connect(
    at: SocketAddr,
    name: ServerName<'static>,
    tls: Arc<ClientConfig>,
) -> Result<Link, (SocketAddr, String)> {
    let within = Duration::from_micros(timeouts::HANDSHAKE * 100);
    let made = timeout(within, async {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        TlsConnector::from(tls).connect(name, stream).await
    });
    let made = made.await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = made.map_err(|e| (at, e.to_string()))?;
    if stream.get_ref().1.alpn_protocol() != Some(FRONTS) {
        return Err((at, "it does not speak this protocol".into()));
    }
    let (reader, writer) = tokio::io::split(stream);
    Ok(Link { reader: Reader::new(reader, None, MOST_WITH_CONTENT), writer: Writer::new(writer), at })
}

/// Everything that a front's side needs while it runs.
pub struct Follow<H> {
    pub host: H,
    front: Front,
    to: To,
    tls: Arc<ClientConfig>,
    next: usize,
    link: Option<Link>,
    connecting: Option<Connecting>,
    wake: Option<Ticks>,
    /// Ticks when the service is to have the counts, where it has asked for them.
    report: Option<Interval>,
    /// Bytes written to the service, and connections made.
    pub sent: u64,
    pub connections: u64,
}

/// Ticks now and then each `every`; those that were missed are not made up for, since counts are of all time.
fn ticks(every: Ticks) -> Interval {
    let mut ticks = interval(Duration::from_micros(every.max(1) * 100));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn instant(at: Ticks) -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_micros(at.saturating_sub(now()) * 100)
}

impl<H: Host> Follow<H> {
    /// `start` makes the machine, which asks for its first connection at once.
    pub fn new(
        host: H,
        to: To,
        tls: Arc<ClientConfig>,
        start: impl FnOnce(Ticks, &mut Vec<Effect>) -> Front,
    ) -> (Self, Vec<Effect>) {
        let mut out = Vec::new();
        let front = start(now(), &mut out);
        let (next, link, connecting, wake, report) = (0, None, None, None, None);
        (Follow { host, front, to, tls, next, link, connecting, wake, report, sent: 0, connections: 0 }, out)
    }

    pub fn runs(&self) -> Option<VersionId> {
        self.front.running()
    }

    /// Until it is told to stop, or whoever could tell it is gone.
    pub async fn run(&mut self, first: Vec<Effect>, commands: &mut mpsc::Receiver<Command>) {
        self.perform(first).await;
        let mut serves = ticks(SERVES_EACH);
        loop {
            let mut out = Vec::new();
            let wake = self.wake;
            let (connecting, link, report) = (&mut self.connecting, &mut self.link, &mut self.report);
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Tls(tls)) => self.tls = tls,
                    Some(Command::Keys(keys)) => self.front.set_keys(keys),
                    Some(Command::Stop) | None => break,
                },
                made = async {
                    match connecting {
                        Some(made) => made.await,
                        None => pending().await,
                    }
                } => {
                    self.connecting = None;
                    match made {
                        Ok(link) => {
                            self.link = Some(link);
                            self.connections += 1;
                            self.front.on_connected(now(), &mut out);
                        }
                        Err((at, why)) => self.lost(at, &why, &mut out),
                    }
                }
                read = async {
                    match link {
                        Some(link) => link.reader.read::<ToFront>().await,
                        None => pending().await,
                    }
                } => match read {
                    Ok(message) => self.front.on_message(now(), message, &mut out),
                    Err(why) => self.cut(&why, &mut out),
                },
                () = async {
                    match wake {
                        Some(at) => sleep_until(instant(at)).await,
                        None => pending().await,
                    }
                } => {
                    // Timers may be a little early by the system's clock, which may also have been set back.
                    if wake.is_some_and(|at| now() >= at) {
                        self.wake = None;
                        self.front.on_timer(now(), &mut out);
                    }
                }
                () = async {
                    match report {
                        Some(report) => drop(report.tick().await),
                        None => pending().await,
                    }
                } => {
                    let AccessCounts { asked, answered } = self.host.counts();
                    self.front.report(asked, answered, &mut out);
                }
                _ = serves.tick() => {
                    if let Some(share) = self.host.serves() {
                        self.front.report_service_level(share, &mut out);
                    }
                }
            }
            self.perform(out).await;
        }
        if let Some(mut link) = self.link.take() {
            link.writer.close().await;
        }
    }

    fn lost(&mut self, at: SocketAddr, why: &str, out: &mut Vec<Effect>) {
        // Another place is tried next.
        self.next = self.next.wrapping_add(1);
        self.host.lost(at, why);
        self.front.on_disconnected(now(), out);
    }

    fn cut(&mut self, why: &Ended, out: &mut Vec<Effect>) {
        if let Some(link) = self.link.take() {
            self.sent += link.writer.sent;
            self.lost(link.at, &why.to_string(), out);
        }
    }

    async fn send(&mut self, message: &ToService, out: &mut Vec<Effect>) {
        let Some(link) = &mut self.link else { return };
        if let Err(why) = link.writer.write(message).await {
            self.cut(&why, out);
        }
    }

    /// Does what the machine asks for, and what that leads to.
    async fn perform(&mut self, mut todo: Vec<Effect>) {
        while !todo.is_empty() {
            let mut out = Vec::new();
            for each in todo.drain(..) {
                match each {
                    Effect::Connect => {
                        let at = self.to.at[self.next % self.to.at.len()];
                        self.connecting = Some(Box::pin(connect(at, self.to.name.clone(), self.tls.clone())));
                    }
                    Effect::Close => {
                        if let Some(mut link) = self.link.take() {
                            self.sent += link.writer.sent;
                            link.writer.close().await;
                        }
                    }
                    Effect::Send(message) => self.send(&message, &mut out).await,
                    Effect::Check(id, content) => {
                        let result = self.host.check(&id, &content);
                        self.front.on_checked(now(), id, result, &mut out);
                    }
                    Effect::Stage { id, crashes: falls } => {
                        self.host.stage(id, falls);
                        self.front.on_staged(now(), id, &mut out);
                    }
                    Effect::Apply(id, content) => {
                        let result = self.host.apply(&id, &content).await;
                        self.front.on_applied(now(), id, result, &mut out);
                    }
                    Effect::Store(id, seal, content) => {
                        let stored = self.host.keep(id, seal, &content);
                        self.front.on_stored(now(), id, stored, &mut out);
                    }
                    Effect::Unstage => self.host.unstage(),
                    Effect::SetTimer(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                    Effect::Log(line) => self.host.tell(line),
                    Effect::SetReportInterval { interval: every } => self.report = every.map(ticks),
                }
            }
            todo = out;
        }
    }
}
