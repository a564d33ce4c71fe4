//! Hollow instances: the control side of fronts without client traffic, many in one process.
//!
//! What runs is `doorgrade_control_client`, as in a front: the follower of configuration versions over TLS, membership and
//! recall in datagrams; and the front's own reader of the control feed. A version that is taken into use makes the
//! instance read its files anew, as a front does. How it serves is set by the experiment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use doorgrade_control_client::Observation;
use doorgrade_control_client::clock;
use doorgrade_control_client::configuration::{AccessCounts, Instance, Served, StoredVersion};
use doorgrade_control_client::neighbours::{ExchangeSetup, FrontInfo, ObservationSender};
use doorgrade_front::active_config::ConfigSources;
use doorgrade_front::config::Config;
use doorgrade_front::feed::{Event, ZoneAndKindNames};
use doorgrade_front::feed_connection::FeedConnection;
use doorgrade_front::ring_buffer::RingBuffer;
use doorgrade_operator::Version;
use doorgrade_recall::Purge;
use doorgrade_versions::{Ticks, VersionId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// The threads that run hollow instances, and those that read the feed, which is the main thread's work in a front.
pub const CONTROL_THREAD: &str = "hollow";
pub const FEED_THREAD: &str = "hollow-feed";
/// As much as a front reads at once.
const FEED_IN: usize = 16 << 10;
/// A front hands on what it saw in batches, each at the latest after so long.
const HANDED_EACH: Duration = Duration::from_millis(250);

/// Threads with a runtime each, that end when this is dropped.
pub struct Threads {
    handles: Vec<Handle>,
    next: usize,
    _stops: Vec<oneshot::Sender<()>>,
}

impl Threads {
    pub fn start(name: &str, count: usize) -> std::io::Result<Threads> {
        let (mut handles, mut stops) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let (stop, stopped) = oneshot::channel::<()>();
            handles.push(runtime.handle().clone());
            stops.push(stop);
            let body = move || drop(runtime.block_on(stopped));
            std::thread::Builder::new().name(name.to_owned()).spawn(body)?;
        }
        Ok(Threads { handles, next: 0, _stops: stops })
    }

    /// In turn, so that each has as many.
    pub fn handle(&mut self) -> &Handle {
        self.next = (self.next + 1) % self.handles.len();
        &self.handles[self.next]
    }
}

/// What a hollow instance has done, and how it is to say that it serves.
#[derive(Default)]
pub struct Record {
    /// Versions brought into use, and when.
    applied: Mutex<Vec<(VersionId, Ticks)>>,
    /// Accesses that ended, and of those the ones answered in time.
    asked: AtomicU64,
    in_time: AtomicU64,
    /// Purges that came by the feed.
    pub purges: AtomicU64,
}

impl Record {
    pub fn applied(&self) -> Vec<(VersionId, Ticks)> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn runs(&self) -> Option<VersionId> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).last().map(|a| a.0)
    }

    /// So many accesses, of a benefit of 1 each, are to have ended since, and so many of them in time.
    pub fn serve(&self, asked: u64, in_time: u64) {
        self.asked.fetch_add(asked, Ordering::Relaxed);
        self.in_time.fetch_add(in_time.min(asked), Ordering::Relaxed);
    }
}

/// Which files an instance has, as a front would.
pub struct Files {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operators' settings.
    pub settings: PathBuf,
}

/// What follows versions in a hollow instance.
struct Hollow {
    place: ConfigSources,
    first: Arc<Config>,
    record: Arc<Record>,
}

impl Instance for Hollow {
    fn needs_restart(&self, version: &Version) -> Vec<String> {
        self.first.needs_restart(version)
    }

    async fn apply(&mut self, id: &VersionId, version: &Arc<Version>) -> Result<(), String> {
        // As a front's own: the files are read anew, with the version over them.
        let read = self.place.read()?.with_version(version);
        let _renewal = self.first.reload_from(read);
        let at = doorgrade_stream::clock::now();
        self.record.applied.lock().unwrap_or_else(PoisonError::into_inner).push((*id, at));
        Ok(())
    }

    fn served(&self) -> Served {
        let asked = self.record.asked.load(Ordering::Relaxed);
        let answered = self.record.in_time.load(Ordering::Relaxed).min(asked);
        // Benefit is told in thousandths.
        let (asked_benefit, in_time) = (asked.saturating_mul(1_000), answered.saturating_mul(1_000));
        Served { asked: asked_benefit, in_time, accesses: AccessCounts { accesses: asked, answered } }
    }
}

/// One that runs; it ends when this is dropped.
pub struct Running {
    pub record: Arc<Record>,
    _stops: Vec<oneshot::Sender<()>>,
}

/// What an instance does besides.
#[derive(Clone, Copy)]
pub struct Does {
    /// Versions are stored on disk, as a front does.
    pub stores: bool,
}

/// Starts one. `control` runs it; `feed`, where there is one, reads its control feed.
pub fn start(files: &Files, does: Does, control: &Handle, feed: Option<&Handle>) -> Result<Running, String> {
    let (config, settings) = (files.config.clone(), files.settings.clone());
    let place = ConfigSources { config, settings: Some(settings.clone()), ..ConfigSources::default() };
    let first = Arc::new(place.read()?);
    let own = first.files.settings.clone();
    let (record, mut stops) = (Arc::new(Record::default()), Vec::new());
    if let Some(versions) = own.versions.clone() {
        let stored = match does.stores {
            true => StoredVersion::open(versions, &settings, first.seed, |v| first.needs_restart(v)),
            false => StoredVersion::without_store(versions, &settings, first.seed),
        };
        let hollow = Hollow { place, first: first.clone(), record: record.clone() };
        let follower = stored.follower(first.name.clone(), hollow)?;
        let (stop, stopped) = oneshot::channel();
        stops.push(stop);
        control.spawn(follower.run(stopped));
    }
    let learning = exchange(&first, &settings, control, &mut stops)?;
    if let Some(feed) = feed {
        let (names, at, known) = (first.names.clone(), first.feed, first.known.0);
        let (record, learning) = (record.clone(), learning);
        let (stop, stopped) = oneshot::channel::<()>();
        stops.push(stop);
        feed.spawn(async move {
            tokio::select! {
                () = follow_feed(at, known, &names, &record, learning.as_ref()) => {}
                _ = stopped => {}
            }
        });
    }
    Ok(Running { record, _stops: stops })
}

fn exchange(
    first: &Config,
    settings: &Path,
    control: &Handle,
    stops: &mut Vec<oneshot::Sender<()>>,
) -> Result<Option<ObservationSender>, String> {
    let told = &first.platform.settings;
    let own = FrontInfo {
        name: &first.name,
        seed: first.seed,
        settings,
        offerings: &told.offerings,
        purge_done: told.purge_propagation,
    };
    let files = &first.files.settings;
    let read = ExchangeSetup::read(files.neighbours.clone(), files.recall.clone(), &own)?;
    let Some(neighbourhood) = read else { return Ok(None) };
    // Nobody looks at what is recalled: there are no accesses.
    let (exchange, learning) = neighbourhood.bind(Box::new(|_, _| {}))?;
    let (stop, stopped) = oneshot::channel();
    stops.push(stop);
    control.spawn(exchange.run(stopped));
    Ok(learning)
}

/// Reads the feed as a front does, for good.
async fn follow_feed(
    at: SocketAddr,
    known: u64,
    names: &ZoneAndKindNames,
    record: &Record,
    learning: Option<&ObservationSender>,
) {
    let mut feed = FeedConnection::new(known, clock::now());
    loop {
        if let Ok(stream) = TcpStream::connect(at).await {
            read_feed(stream, &mut feed, names, record, learning).await;
        }
        let delay = feed.lost();
        tokio::time::sleep(Duration::from_micros(delay * 100)).await;
    }
}

async fn read_feed(
    mut stream: TcpStream,
    feed: &mut FeedConnection,
    names: &ZoneAndKindNames,
    record: &Record,
    learning: Option<&ObservationSender>,
) {
    if stream.write_all(&feed.connected(clock::now())).await.is_err() {
        return;
    }
    let (mut ring, mut seen) = (RingBuffer::new(FEED_IN), Vec::new());
    let mut hand_on = tokio::time::interval(HANDED_EACH);
    loop {
        tokio::select! {
            read = stream.read(ring.back()) => match read {
                Ok(0) | Err(_) => return,
                Ok(count) => ring.filled(count),
            },
            _ = hand_on.tick() => {
                if let Some(learning) = learning.filter(|_| !seen.is_empty()) {
                    // Whoever remembers is behind: it does without, as in a front.
                    let _ = learning.try_send(std::mem::take(&mut seen));
                }
                if clock::now() > feed.received_at + FeedConnection::TIMEOUT {
                    return;
                }
            }
        }
        loop {
            match feed.next_event(&mut ring, names, clock::now()) {
                Ok(Some(Event::Purge { object, group, at })) => {
                    record.purges.fetch_add(1, Ordering::Relaxed);
                    seen.push(Observation::Purge(Purge { object, group: group as u16, at }));
                }
                Ok(Some(Event::List { .. })) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}
