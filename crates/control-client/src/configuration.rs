//! Versions of the configuration: the stored one that a start runs, and the follower of the configuration service. Off
//! unless the operators' settings enable it; nothing of this is started then.
//!
//! The follower talks to the service, checks versions and stores them. The instance applies a version
//! ([`Instance::apply`]), either completely or not at all.

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
use tokio::sync::mpsc;

use crate::SetupError;
use crate::seal_keys::{RELOAD_INTERVAL, SealKeys, changed_keys, read_keys};
use crate::worker::{StopSignal, Worker};

/// How well an instance serves: sums since its start, the benefits in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// The benefit of all accesses that were requested.
    pub requested_benefit: u64,
    /// The benefit of those that were answered within the soft limit.
    pub earned_benefit: u64,
    pub accesses: AccessCounts,
}

/// An instance that versions are applied to: a front with client traffic, or one without.
pub trait Instance {
    /// The keys of a version that take effect only after a restart; empty if it can be applied now.
    fn needs_restart(&self, version: &Version) -> Vec<String>;
    /// Applies a version, either completely or not at all; an error gives the reason. Does not resolve in an instance
    /// that is shutting down.
    fn apply(&mut self, id: &VersionId, version: &Arc<Version>) -> impl Future<Output = Result<(), String>>;
    fn served(&self) -> Served;
}

/// The content of the store of versions at the start.
pub struct StoredVersion {
    settings: Versions,
    settings_path: PathBuf,
    store: Option<FrontStore>,
    stored: StoredState,
    usable: Result<(), RejectionReason>,
    /// The version that this start runs; None: its own settings file.
    pub version: Option<Arc<Version>>,
    seed: u64,
}

/// Reads and checks a content; an error gives the reason why this instance can't apply it.
fn read_applicable(
    content: &[u8],
    needs_restart: impl Fn(&Version) -> Vec<String>,
) -> Result<Version, RejectionReason> {
    let unusable = |reason: String| {
        RejectionReason::Unusable(reason.chars().take(MAX_REASON_CHARS).collect::<String>().into())
    };
    let version = Version::read_checked("version", content).map_err(unusable)?;
    let keys = needs_restart(&version);
    if keys.is_empty() { Ok(version) } else { Err(RejectionReason::NeedsRestart(keys.join(", ").into())) }
}

/// Length of a rejection reason in a report to the service, in characters: some lines for a person to read.
const MAX_REASON_CHARS: usize = 8_000;

impl StoredVersion {
    /// Opens the store; its path is relative to that of the settings. No fault of the store prevents a start: the
    /// instance then runs its own file, and logs that. For `needs_restart` see [`Instance`].
    pub fn open(
        settings: Versions,
        settings_path: &Path,
        seed: u64,
        needs_restart: impl Fn(&Version) -> Vec<String>,
    ) -> StoredVersion {
        let path = files::resolve(settings_path, &settings.store);
        let store = match Records::open(&path) {
            Ok((records, error)) => {
                error.iter().for_each(|error| tracing::error!("versions: {error}"));
                Some(FrontStore::new(records))
            }
            Err(error) => {
                tracing::error!("versions: {}: {error}; nothing will be stored", path.display());
                None
            }
        };
        let (stored, errors) = store.as_ref().map(FrontStore::load).unwrap_or_default();
        errors.iter().for_each(|error| tracing::error!("versions: {error}"));
        let last_good =
            stored.last_good.as_ref().map(|(id, _, content)| (id, read_applicable(content, &needs_restart)));
        let (usable, version) = match last_good {
            None => (Ok(()), None),
            Some((id, Ok(version))) => {
                tracing::info!(version = %id, "versions: this start runs {id}");
                (Ok(()), Some(Arc::new(version)))
            }
            Some((_, Err(reason))) => (Err(reason), None),
        };
        if stored.last_good.is_none() {
            tracing::info!("versions: none is kept; this start runs its own file");
        }
        StoredVersion { settings, settings_path: settings_path.into(), store, stored, usable, version, seed }
    }

    /// Without a store: an instance, as in experiments, that starts with nothing and forgets everything at its end.
    pub fn without_store(settings: Versions, settings_path: &Path, seed: u64) -> StoredVersion {
        let (stored, usable) = (StoredState::default(), Ok(()));
        StoredVersion {
            settings,
            settings_path: settings_path.into(),
            store: None,
            stored,
            usable,
            version: None,
            seed,
        }
    }

    /// Reads keys and certificates. The returned follower registers with the service under `name`.
    pub fn follower<I: Instance>(self, name: String, instance: I) -> Result<Follower<I>, SetupError> {
        let setup_error = |message: String| SetupError::Settings { block: "versions", message };
        let server_name = ServerName::try_from(self.settings.server_name.to_string());
        let server_name = server_name.map_err(|e| setup_error(format!("key 'server_name': {e}")))?;
        let paths = Paths::resolve(&self.settings_path, &self.settings.identity);
        let files = paths.all();
        let credentials = Reloader::new(files, move || client_config(&paths, FRONT_PROTOCOL));
        let credentials = credentials.map_err(|t| setup_error(t.to_string()))?;
        let seal_keys = files::resolve(&self.settings_path, &self.settings.seal_keys);
        let keys = read_keys(&seal_keys).map_err(setup_error)?;
        Ok(Follower { stored: self, name, server_name, credentials, seal_keys, keys, instance })
    }

    /// Follows the service on a separate thread.
    pub fn follow(
        self,
        name: String,
        instance: impl Instance + Send + 'static,
    ) -> Result<Worker, SetupError> {
        let follower = self.follower(name, instance)?;
        Worker::start("versions", move |stop_signal| follower.run(stop_signal))
    }
}

/// Follows the service while [`Follower::run`] is polled.
pub struct Follower<I> {
    stored: StoredVersion,
    name: String,
    server_name: ServerName<'static>,
    credentials: Reloader<ClientConfig>,
    seal_keys: PathBuf,
    keys: SealKeys,
    instance: I,
}

impl<I: Instance> Follower<I> {
    /// Runs until it is stopped.
    pub async fn run(self, stop_signal: StopSignal) {
        let Follower { stored, name, server_name, credentials, seal_keys, keys, instance } = self;
        let StoredVersion { settings, store, stored, usable, seed, .. } = stored;
        let host = InstanceHost {
            store,
            instance,
            last_served: Served::default(),
            checked: None,
            last_connection_error: None,
        };
        let (commands, mut command_receiver) = mpsc::channel(4);
        let to = ServiceEndpoint { addresses: settings.service, server_name };
        let first_keys = Keys::new(keys.clone());
        let (mut follow, first_effects) = FrontClient::new(host, to, credentials.config(), |now, effects| {
            Front::start(now, seed, (&name, &settings.station), first_keys, stored, usable, effects)
        });
        tokio::select! {
            () = follow.run(first_effects, &mut command_receiver) => {}
            () = reload(credentials, seal_keys, keys, commands) => {}
            _ = stop_signal => {}
        }
        // A version that was being applied is no longer staged, so that the next start does not count a crash.
        follow.host.unstage();
    }
}

/// Reloads keys and certificates that have changed, and warns of certificates that expire.
async fn reload(
    mut credentials: Reloader<ClientConfig>,
    seal_keys: PathBuf,
    mut keys: SealKeys,
    commands: mpsc::Sender<Command>,
) {
    loop {
        for (file, subject, warning) in credentials.take_warnings(now()) {
            tracing::warn!("versions: {}: the certificate of {subject} {warning}", file.display());
        }
        tokio::time::sleep(RELOAD_INTERVAL).await;
        let mut reloaded = Vec::new();
        match credentials.reload(false) {
            None => {}
            Some(Ok(())) => {
                tracing::info!("versions: reloaded the certificates; an open connection stays open");
                reloaded.push(Command::Tls(credentials.config()));
            }
            Some(Err(error)) => {
                tracing::error!("versions: {error}; the certificates read before stay in use");
            }
        }
        if let Some(new) = changed_keys(&seal_keys, &keys) {
            tracing::info!("versions: reloaded the seal keys");
            reloaded.push(Command::Keys(Keys::new(new.clone())));
            keys = new;
        }
        for command in reloaded {
            if commands.send(command).await.is_err() {
                return;
            }
        }
    }
}

/// Connects the follower to the instance and its store.
struct InstanceHost<I> {
    store: Option<FrontStore>,
    instance: I,
    /// As of the last report of the service level.
    last_served: Served,
    /// The version that was checked last, so that it is not parsed again when it is applied.
    checked: Option<(VersionId, Arc<Version>)>,
    /// The connection error that was logged last, until the service is connected again.
    last_connection_error: Option<String>,
}

impl<I> InstanceHost<I> {
    /// Writes to the store and logs an error; returns whether the write succeeded.
    fn write(&self, write: impl FnOnce(&FrontStore) -> Result<(), doorgrade_store::StoreError>) -> bool {
        let Some(store) = &self.store else { return false };
        match write(store) {
            Ok(()) => true,
            Err(error) => {
                tracing::error!("versions: {error}");
                false
            }
        }
    }
}

impl<I: Instance> Host for InstanceHost<I> {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        let version = read_applicable(content, |v| self.instance.needs_restart(v))?;
        self.checked = Some((*id, Arc::new(version)));
        Ok(())
    }

    async fn apply(&mut self, id: &VersionId, _content: &Content) -> Result<(), RejectionReason> {
        let not_applied = |reason: &str| RejectionReason::NotApplied(reason.into());
        let Some((_, version)) = self.checked.take().filter(|checked| checked.0 == *id) else {
            return Err(not_applied("it was not checked"));
        };
        self.instance.apply(id, &version).await.map_err(|reason| not_applied(&reason))
    }

    fn stage(&mut self, id: VersionId, crashes: u32) -> bool {
        self.write(|store| store.stage(id, crashes))
    }

    fn store(&mut self, id: VersionId, seal: Seal, content: &Content) -> bool {
        self.write(|store| store.put_last_good(id, seal, content))
    }

    fn unstage(&mut self) {
        self.write(FrontStore::unstage);
    }

    fn log(&mut self, event: LogEvent) {
        match event {
            LogEvent::Running(id) => {
                self.last_connection_error = None;
                tracing::info!(version = %id, "versions: {id} is in use");
            }
            LogEvent::Rejected(id, reason) => {
                tracing::warn!(version = %id, "versions: rejected {id}: {reason}");
            }
            LogEvent::ServiceSilent(since) => {
                tracing::warn!(
                    "versions: no message from the service for {} s; the last good version stays in use",
                    since / 10_000
                );
            }
            LogEvent::ServiceBack => {
                self.last_connection_error = None;
                tracing::info!("versions: the service sends messages again");
            }
            LogEvent::StoredVersionUnusable(reason) => {
                tracing::error!(
                    "versions: the stored version can't be used: {reason}; this start runs its own file"
                );
            }
            LogEvent::NotStored(id) => {
                tracing::error!(version = %id, "versions: {id} is in use, but could not be stored");
            }
        }
    }

    fn service_level(&mut self) -> Option<f32> {
        let now = self.instance.served();
        let requested = now.requested_benefit.saturating_sub(self.last_served.requested_benefit);
        let earned = now.earned_benefit.saturating_sub(self.last_served.earned_benefit);
        self.last_served = now;
        // An access that is still open counts as requested now, and may be answered in time in the next interval, where
        // the share would then exceed 1.
        (requested > 0).then(|| (earned as f32 / requested as f32).min(1.0))
    }

    fn access_counts(&mut self) -> AccessCounts {
        self.instance.served().accesses
    }

    fn connection_lost(&mut self, at: SocketAddr, reason: &str) {
        let message = format!("versions: the service at {at}: {reason}");
        // While the service is unreachable, a repeated error is logged only once.
        if self.last_connection_error.as_ref() != Some(&message) {
            tracing::warn!("{message}");
            self.last_connection_error = Some(message);
        }
    }
}
