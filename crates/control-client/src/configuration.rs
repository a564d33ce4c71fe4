//! Versions of the configuration: what is stored of them at a start, and the follower of their service. Off unless the
//! operators' settings have it on; nothing of this is started then.
//!
//! The follower speaks to the service, checks and stores. The instance brings a version into use ([`Instance::apply`]),
//! whole or not at all.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_keys::{Paths, Reloader, client_config};
use doorgrade_operator::settings::Versions;
use doorgrade_operator::{Version, files};
use doorgrade_store::{FrontStore, Records};
use doorgrade_stream::FRONT_PROTOCOL;
use doorgrade_stream::clock::now;
pub use doorgrade_stream::front_client::AccessCounts;
use doorgrade_stream::front_client::{Command, FrontClient, Host, ServiceEndpoint};
use doorgrade_versions::front::{Content, Front, LogEvent, StoredState};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::{RejectionReason, VersionId};
use tokio::sync::mpsc as queue;

use crate::SetupError;
use crate::seal_keys::{RELOAD_EACH, SealKeys, changed, read_keys};
use crate::worker::{Stopped, Worker};

/// How an instance serves, summed since its start: benefit in thousandths, and accesses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Asked for.
    pub asked: u64,
    /// Had within the soft limit.
    pub in_time: u64,
    pub accesses: AccessCounts,
}

/// What runs the versions: a front with client traffic, or one without.
pub trait Instance {
    /// What of a version it could only take with a new start, key by key; empty where it can take all of it.
    fn needs_restart(&self, version: &Version) -> Vec<String>;
    /// Brings a version into use, whole or not at all; an error says why it was not. One that is ending never resolves.
    fn apply(&mut self, id: &VersionId, version: &Arc<Version>) -> impl Future<Output = Result<(), String>>;
    /// How it serves.
    fn served(&self) -> Served;
}

/// What a start found of versions.
pub struct StoredVersion {
    own: Versions,
    settings: PathBuf,
    store: Option<FrontStore>,
    found: StoredState,
    usable: Result<(), RejectionReason>,
    /// What this start runs; none: its own file.
    pub version: Option<Arc<Version>>,
    seed: u64,
}

/// Reads a content, and says why an instance can't take it.
fn sound(
    content: &[u8],
    needs_restart: impl Fn(&Version) -> Vec<String>,
) -> Result<Version, RejectionReason> {
    let clipped =
        |why: String| RejectionReason::Unusable(why.chars().take(MOST_REASON).collect::<String>().into());
    let version = Version::sound("version", content).map_err(clipped)?;
    let keys = needs_restart(&version);
    if keys.is_empty() { Ok(version) } else { Err(RejectionReason::NeedsRestart(keys.join(", ").into())) }
}

/// Letters of a refusal: some lines that a person reads.
const MOST_REASON: usize = 8_000;

impl StoredVersion {
    /// Opens the store beside the file `settings`. Nothing that is wrong with it ends a start: the instance then runs
    /// its own file, and says so. `needs_restart` as of [`Instance`].
    pub fn open(
        own: Versions,
        settings: &Path,
        seed: u64,
        needs_restart: impl Fn(&Version) -> Vec<String>,
    ) -> StoredVersion {
        let path = files::beside(settings, &own.store);
        let store = match Records::open(&path) {
            Ok((records, trouble)) => {
                trouble.iter().for_each(|trouble| tracing::error!("versions: {trouble}"));
                Some(FrontStore::new(records))
            }
            Err(trouble) => {
                tracing::error!("versions: {}: {trouble}; nothing will be stored", path.display());
                None
            }
        };
        let (found, troubles) = store.as_ref().map(FrontStore::load).unwrap_or_default();
        troubles.iter().for_each(|trouble| tracing::error!("versions: {trouble}"));
        let read = found.last_good.as_ref().map(|(id, _, content)| (id, sound(content, &needs_restart)));
        let (usable, version) = match read {
            None => (Ok(()), None),
            Some((id, Ok(version))) => {
                tracing::info!(version = %id, "versions: this start runs {id}");
                (Ok(()), Some(Arc::new(version)))
            }
            Some((_, Err(why))) => (Err(why), None),
        };
        if found.last_good.is_none() {
            tracing::info!("versions: none is kept; this start runs its own file");
        }
        StoredVersion { own, settings: settings.into(), store, found, usable, version, seed }
    }

    /// Without a store: an instance that starts with nothing, and forgets all at its end. Of experiments.
    pub fn without_store(own: Versions, settings: &Path, seed: u64) -> StoredVersion {
        let (found, usable) = (StoredState::default(), Ok(()));
        StoredVersion { own, settings: settings.into(), store: None, found, usable, version: None, seed }
    }

    /// Reads keys and certificates; what is to follow the service as `name` is handed back.
    pub fn follower<I: Instance>(self, name: String, instance: I) -> Result<Follower<I>, SetupError> {
        let fault = |what: String| SetupError::Settings { block: "versions", what };
        let server = ServerName::try_from(self.own.server_name.to_string());
        let server = server.map_err(|e| fault(format!("key 'server_name': {e}")))?;
        let paths = Paths::resolve(&self.settings, &self.own.papers);
        let files = paths.all();
        let credentials = Reloader::new(files, move || client_config(&paths, FRONT_PROTOCOL));
        let credentials = credentials.map_err(|t| fault(t.to_string()))?;
        let seal_keys = files::beside(&self.settings, &self.own.seal_keys);
        let keys = read_keys(&seal_keys).map_err(fault)?;
        Ok(Follower { stored: self, name, server, credentials, seal_keys, keys, instance })
    }

    /// Starts the thread that follows the service.
    pub fn follow(
        self,
        name: String,
        instance: impl Instance + Send + 'static,
    ) -> Result<Worker, SetupError> {
        let follower = self.follower(name, instance)?;
        Worker::start("versions", move |stopped| follower.run(stopped))
    }
}

/// Follows the service, once it is run.
pub struct Follower<I> {
    stored: StoredVersion,
    name: String,
    server: ServerName<'static>,
    credentials: Reloader<ClientConfig>,
    seal_keys: PathBuf,
    keys: SealKeys,
    instance: I,
}

impl<I: Instance> Follower<I> {
    /// Until it is stopped.
    pub async fn run(self, stopped: Stopped) {
        let Follower { stored, name, server, credentials, seal_keys, keys, instance } = self;
        let StoredVersion { own, store, found, usable, seed, .. } = stored;
        let host = Applies { store, instance, before: Served::default(), next: None, lost: None };
        let (commands, mut told) = queue::channel(4);
        let to = ServiceEndpoint { addresses: own.service, server_name: server };
        let first_keys = Keys::new(keys.clone());
        let (mut follow, first) = FrontClient::new(host, to, credentials.config(), |at, out| {
            Front::start(at, seed, (&name, &own.station), first_keys, found, usable, out)
        });
        tokio::select! {
            () = follow.run(first, &mut told) => {}
            () = reload(credentials, seal_keys, keys, commands) => {}
            // Wherever it is: what was being brought into use is found as not stored, not as a crash.
            _ = stopped => {}
        }
        follow.host.unstage();
    }
}

/// Keys and certificates that change, and those that will end.
async fn reload(
    mut credentials: Reloader<ClientConfig>,
    seal_keys: PathBuf,
    mut keys: SealKeys,
    commands: queue::Sender<Command>,
) {
    loop {
        for (file, of, word) in credentials.take_warnings(now()) {
            tracing::warn!("versions: {}: the certificate of {of} {word}", file.display());
        }
        tokio::time::sleep(RELOAD_EACH).await;
        let mut news = Vec::new();
        match credentials.reload(false) {
            None => {}
            Some(Ok(())) => {
                tracing::info!("versions: certificates read anew; a connection that is up stays");
                news.push(Command::Tls(credentials.config()));
            }
            Some(Err(trouble)) => tracing::error!("versions: {trouble}; what was read before stays in use"),
        }
        if let Some(new) = changed(&seal_keys, &keys) {
            tracing::info!("versions: the keys that seal were read anew");
            news.push(Command::Keys(Keys::new(new.clone())));
            keys = new;
        }
        for command in news {
            if commands.send(command).await.is_err() {
                return;
            }
        }
    }
}

/// An instance and its store as the one who runs versions.
struct Applies<I> {
    store: Option<FrontStore>,
    instance: I,
    before: Served,
    /// What was checked last, so that it is not read twice.
    next: Option<(VersionId, Arc<Version>)>,
    /// What was said last of a connection that was lost.
    lost: Option<String>,
}

impl<I> Applies<I> {
    /// Whether a write came to be; what stands in its way is told.
    fn stored(&self, write: impl FnOnce(&FrontStore) -> Result<(), doorgrade_store::StoreError>) -> bool {
        let Some(store) = &self.store else { return false };
        match write(store) {
            Ok(()) => true,
            Err(trouble) => {
                tracing::error!("versions: {trouble}");
                false
            }
        }
    }
}

impl<I: Instance> Host for Applies<I> {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        let version = sound(content, |v| self.instance.needs_restart(v))?;
        self.next = Some((*id, Arc::new(version)));
        Ok(())
    }

    async fn apply(&mut self, id: &VersionId, _content: &Content) -> Result<(), RejectionReason> {
        let not = |why: &str| RejectionReason::NotApplied(why.into());
        let Some((_, version)) = self.next.take().filter(|next| next.0 == *id) else {
            return Err(not("it was not checked"));
        };
        self.instance.apply(id, &version).await.map_err(|why| not(&why))
    }

    fn stage(&mut self, id: VersionId, falls: u32) -> bool {
        self.stored(|store| store.stage(id, falls))
    }

    fn store(&mut self, id: VersionId, seal: Seal, content: &Content) -> bool {
        self.stored(|store| store.put_last_good(id, seal, content))
    }

    fn unstage(&mut self) {
        self.stored(FrontStore::unstage);
    }

    fn log(&mut self, line: LogEvent) {
        match line {
            LogEvent::Running(id) => {
                self.lost = None;
                tracing::info!(version = %id, "versions: {id} is in use");
            }
            LogEvent::Rejected(id, why) => {
                tracing::warn!(version = %id, "versions: {id} is turned down: {why}");
            }
            LogEvent::ServiceSilent(since) => {
                tracing::warn!(
                    "versions: the service has said nothing for {} s; the last good version stays in use",
                    since / 10_000
                );
            }
            LogEvent::ServiceBack => {
                self.lost = None;
                tracing::info!("versions: the service is heard again");
            }
            LogEvent::StoredVersionUnusable(why) => {
                tracing::error!("versions: what was kept can't be used: {why}; this start runs its own file");
            }
            LogEvent::NotStored(id) => {
                tracing::error!(version = %id, "versions: {id} is in use, but could not be stored");
            }
        }
    }

    fn service_level(&mut self) -> Option<f32> {
        let now = self.instance.served();
        let asked = now.asked.saturating_sub(self.before.asked);
        let in_time = now.in_time.saturating_sub(self.before.in_time);
        self.before = now;
        // An access that is still open was asked, and may come in time in the next span.
        (asked > 0).then(|| (in_time as f32 / asked as f32).min(1.0))
    }

    fn access_counts(&mut self) -> AccessCounts {
        self.instance.served().accesses
    }

    fn connection_lost(&mut self, at: SocketAddr, why: &str) {
        let line = format!("versions: the service at {at}: {why}");
        // The same again and again while it is away is one line.
        if self.lost.as_ref() != Some(&line) {
            tracing::warn!("{line}");
            self.lost = Some(line);
        }
    }
}
