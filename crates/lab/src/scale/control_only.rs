//! Control-only fronts: they implement a front's control protocols and have no client traffic, so that one process runs
//! many of them.
//!
//! They run the same code as a front: `doorgrade_control_client`, which follows configuration versions over TLS and exchanges
//! membership and recall in datagrams, and the front's reader of the control feed. When a version is applied, the files are
//! read again, as in a front. The access counts that they report are set by the experiment.

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
use doorgrade_front::feed_connection::{Backoff, FeedConnection, FeedPosition, FeedState};
use doorgrade_front::ring_buffer::RingBuffer;
use doorgrade_operator::Version;
use doorgrade_recall::Purge;
use doorgrade_versions::{Ticks, VersionId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Names of the threads that run control-only fronts, and of those that read the feed, which a front does in its main thread.
pub const CONTROL_THREAD: &str = "hollow";
pub const FEED_THREAD: &str = "hollow-feed";
/// The size of a front's read buffer for the feed.
const FEED_READ_BYTES: usize = 16 << 10;
/// Purges from the feed are sent to the exchange in batches at this interval, as in a front.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// Threads with a single-threaded runtime each. They end when this is dropped.
pub struct RuntimeThreads {
    handles: Vec<Handle>,
    next: usize,
    _stop_senders: Vec<oneshot::Sender<()>>,
}

impl RuntimeThreads {
    pub fn start(name: &str, count: usize) -> std::io::Result<RuntimeThreads> {
        let (mut handles, mut stop_senders) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let (stop, stopped) = oneshot::channel::<()>();
            handles.push(runtime.handle().clone());
            stop_senders.push(stop);
            let run = move || drop(runtime.block_on(stopped));
            std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
        }
        Ok(RuntimeThreads { handles, next: 0, _stop_senders: stop_senders })
    }

    /// The threads' handles in turn, so that all get equally many fronts.
    pub fn next_handle(&mut self) -> &Handle {
        self.next = (self.next + 1) % self.handles.len();
        &self.handles[self.next]
    }
}

/// The applied versions and received purges of a control-only front, and the access counts that it reports.
#[derive(Default)]
pub struct FrontRecord {
    /// The versions that were applied, with their times.
    applied: Mutex<Vec<(VersionId, Ticks)>>,
    /// Accesses that ended, and how many of them were answered in time.
    ended: AtomicU64,
    ended_in_time: AtomicU64,
    /// Purges received by the feed.
    pub purges: AtomicU64,
}

impl FrontRecord {
    pub fn applied(&self) -> Vec<(VersionId, Ticks)> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The version in use.
    pub fn active_version(&self) -> Option<VersionId> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).last().map(|a| a.0)
    }

    /// Adds accesses with a benefit of 1 each to the reported counts.
    pub fn add_accesses(&self, ended: u64, in_time: u64) {
        self.ended.fetch_add(ended, Ordering::Relaxed);
        self.ended_in_time.fetch_add(in_time.min(ended), Ordering::Relaxed);
    }
}

/// The files that a front is started with.
pub struct FrontFiles {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operators' settings.
    pub settings: PathBuf,
}

/// Applies configuration versions on behalf of the follower.
struct VersionHost {
    sources: ConfigSources,
    initial: Arc<Config>,
    record: Arc<FrontRecord>,
}

impl Instance for VersionHost {
    fn needs_restart(&self, version: &Version) -> Vec<String> {
        self.initial.needs_restart(version)
    }

    async fn apply(&mut self, id: &VersionId, version: &Arc<Version>) -> Result<(), String> {
        // As in a front: the files are read again, and the version overrides them.
        let config = self.sources.read()?.with_version(version);
        let _reloaded = self.initial.reload_from(config);
        let at = doorgrade_stream::clock::now();
        self.record.applied.lock().unwrap_or_else(PoisonError::into_inner).push((*id, at));
        Ok(())
    }

    fn served(&self) -> Served {
        let accesses = self.record.ended.load(Ordering::Relaxed);
        let answered = self.record.ended_in_time.load(Ordering::Relaxed).min(accesses);
        // Benefit is reported in thousandths.
        let (requested_benefit, earned_benefit) =
            (accesses.saturating_mul(1_000), answered.saturating_mul(1_000));
        Served { requested_benefit, earned_benefit, accesses: AccessCounts { accesses, answered } }
    }
}

/// A running control-only front. It ends when this is dropped.
pub struct ControlOnlyFront {
    pub record: Arc<FrontRecord>,
    _stop_senders: Vec<oneshot::Sender<()>>,
}

/// Optional work of a control-only front.
#[derive(Clone, Copy)]
pub struct StartOptions {
    /// Versions are stored on disk, as by a front.
    pub store_versions: bool,
}

/// Starts a control-only front on the runtime `control`. With `feed`, it reads the control feed on that runtime.
pub fn start(
    files: &FrontFiles,
    options: StartOptions,
    control: &Handle,
    feed: Option<&Handle>,
) -> Result<ControlOnlyFront, String> {
    let (config, settings) = (files.config.clone(), files.settings.clone());
    let sources = ConfigSources { config, settings: Some(settings.clone()), ..ConfigSources::default() };
    let initial = Arc::new(sources.read()?);
    let own_settings = initial.files.settings.clone();
    let (record, mut stop_senders) = (Arc::new(FrontRecord::default()), Vec::new());
    if let Some(versions) = own_settings.versions.clone() {
        let stored = match options.store_versions {
            true => StoredVersion::open(versions, &settings, initial.seed, |v| initial.needs_restart(v)),
            false => StoredVersion::without_store(versions, &settings, initial.seed),
        };
        let host = VersionHost { sources, initial: initial.clone(), record: record.clone() };
        let follower = stored.follower(initial.name.clone(), host)?;
        let (stop, stopped) = oneshot::channel();
        stop_senders.push(stop);
        control.spawn(follower.run(stopped));
    }
    let observation_sender = start_exchange(&initial, &settings, control, &mut stop_senders)?;
    if let Some(feed) = feed {
        let (names, at, known) = (initial.names.clone(), initial.feed, initial.known.0);
        let (record, observation_sender) = (record.clone(), observation_sender);
        let (stop, stopped) = oneshot::channel::<()>();
        stop_senders.push(stop);
        feed.spawn(async move {
            tokio::select! {
                () = follow_feed(at, known, &names, &record, observation_sender.as_ref()) => {}
                _ = stopped => {}
            }
        });
    }
    Ok(ControlOnlyFront { record, _stop_senders: stop_senders })
}

/// Starts membership and recall, where the settings have them; purges from the feed go to the returned sender.
fn start_exchange(
    initial: &Config,
    settings: &Path,
    control: &Handle,
    stop_senders: &mut Vec<oneshot::Sender<()>>,
) -> Result<Option<ObservationSender>, String> {
    let platform = &initial.platform.settings;
    let own = FrontInfo {
        name: &initial.name,
        seed: initial.seed,
        settings,
        offerings: &platform.offerings,
        purge_done: platform.purge_propagation,
    };
    let files = &initial.files.settings;
    let exchange_setup = ExchangeSetup::read(files.neighbours.clone(), files.recall.clone(), &own)?;
    let Some(exchange_setup) = exchange_setup else { return Ok(None) };
    // Recalled data has no use here, since there are no accesses.
    let (exchange, observation_sender) = exchange_setup.bind(Box::new(|_, _| {}))?;
    let (stop, stopped) = oneshot::channel();
    stop_senders.push(stop);
    control.spawn(exchange.run(stopped));
    Ok(observation_sender)
}

/// Reads the feed as a front does, and reconnects after each loss.
async fn follow_feed(
    at: SocketAddr,
    known: u64,
    names: &ZoneAndKindNames,
    record: &FrontRecord,
    observation_sender: Option<&ObservationSender>,
) {
    let (mut position, mut backoff) = (FeedPosition::new(known, clock::now()), Backoff::default());
    loop {
        if let Ok(stream) = TcpStream::connect(at).await {
            let mut feed = FeedConnection::new(0, FeedState::Connecting, clock::now());
            read_feed(stream, (&mut feed, &mut position), names, record, observation_sender).await;
            if feed.take_heard() {
                backoff.reset();
            }
        }
        let delay = backoff.next_delay();
        tokio::time::sleep(Duration::from_micros(delay * 100)).await;
    }
}

async fn read_feed(
    mut stream: TcpStream,
    (feed, position): (&mut FeedConnection, &mut FeedPosition),
    names: &ZoneAndKindNames,
    record: &FrontRecord,
    observation_sender: Option<&ObservationSender>,
) {
    if stream.write_all(&feed.established(position, clock::now())).await.is_err() {
        return;
    }
    let (mut buffer, mut observations) = (RingBuffer::new(FEED_READ_BYTES), Vec::new());
    let mut observation_timer = tokio::time::interval(OBSERVATION_INTERVAL);
    loop {
        tokio::select! {
            read = stream.read(buffer.back()) => match read {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.filled(count),
            },
            _ = observation_timer.tick() => {
                if let Some(observation_sender) = observation_sender.filter(|_| !observations.is_empty()) {
                    // When the receiver is behind, the batch is dropped, as in a front.
                    let _ = observation_sender.try_send(std::mem::take(&mut observations));
                }
                if feed.is_silent(clock::now()) {
                    return;
                }
            }
        }
        loop {
            match feed.next_event(position, &mut buffer, names, clock::now()) {
                Ok(Some(Event::Purge { object, group, at })) => {
                    record.purges.fetch_add(1, Ordering::Relaxed);
                    observations.push(Observation::Purge(Purge { object, group: group as u16, at }));
                }
                Ok(Some(Event::List { .. })) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}
