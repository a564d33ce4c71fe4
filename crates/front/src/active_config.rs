//! The configuration in use: where it is read from, and how a version or a signal replaces it.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use doorgrade_control_client::configuration::{self, AccessCounts, Instance};
use doorgrade_operator::{Version, files};
use doorgrade_versions::VersionId;
use tokio::sync::oneshot;

use crate::config::{Config, ReloadedConfig};
use crate::conn::Event;
use crate::descriptors::Descriptors;
use crate::reducer;

/// Where a front reads its configuration from.
#[derive(Clone, Debug, Default)]
pub struct ConfigSources {
    /// The platform's configuration file.
    pub config: PathBuf,
    /// Overrides the file's name, and the file's address.
    pub name: Option<String>,
    pub listen: Option<String>,
    /// The operators' settings; by default the usual file, if it exists.
    pub settings: Option<PathBuf>,
    /// The descriptors that this process may use.
    pub descriptors: Descriptors,
}

impl ConfigSources {
    /// Reads and checks everything.
    pub fn read(&self) -> Result<Config, String> {
        let path = &self.config;
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| format!("PROXY_CONFIG: {}: {e}", path.display()))?;
        let config = Config::read(&text, self.name.clone(), self.listen.clone())?;
        let config = config.with_descriptors(self.descriptors)?;
        Ok(config.with_files(files::load(self.settings.as_deref()).map_err(|e| e.to_string())?))
    }
}

/// The sources of the configuration in use. A signal and a version may both replace the configuration at the
/// same time: the thread that holds the lock combines the files and the version as they are then, and queues
/// the result before the other thread reads them.
pub struct ActiveConfig {
    pub(crate) sources: ConfigSources,
    /// As it was at the start, without any version.
    pub(crate) startup: Config,
    pub(crate) version: Option<Arc<Version>>,
    pub(crate) events: Sender<Event>,
}

impl ActiveConfig {
    /// Reads the files again and applies a version over them. Also returns the keys that need a restart.
    fn reloaded_config(
        &self,
        version: Option<&Version>,
    ) -> Result<(ReloadedConfig, Vec<&'static str>), String> {
        let read = self.sources.read()?;
        Ok(self.startup.reload_from(match version {
            Some(version) => read.with_version(version),
            None => read,
        }))
    }

    /// None if the front is shutting down.
    fn send(&self, event: Event) -> Option<()> {
        self.events.send(event).ok()
    }

    /// Queues the files as they are now. An invalid file is logged, and changes nothing.
    pub(crate) fn reload(&self) {
        let log_error = |error| tracing::error!("{error}; the current configuration stays in use");
        let Ok((reloaded, needs_restart)) = self.reloaded_config(self.version.as_deref()).map_err(log_error)
        else {
            return;
        };
        needs_restart.iter().for_each(|key| {
            tracing::warn!("configuration: key '{key}': the change takes effect after a restart")
        });
        self.send(Event::Reload(Box::new(reloaded)));
    }
}

/// Shared by the signal thread and the control thread.
pub type SharedConfig = Arc<Mutex<ActiveConfig>>;

pub(crate) fn lock(config: &SharedConfig) -> MutexGuard<'_, ActiveConfig> {
    config.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Totals passed from the reducer to the thread that reports to the control service: benefits in thousandths,
/// and counts of accesses.
#[derive(Default)]
pub struct ServedTotals {
    requested_benefit: AtomicU64,
    earned_benefit: AtomicU64,
    ended: AtomicU64,
    answered: AtomicU64,
}

impl ServedTotals {
    pub fn store(&self, totals: reducer::Served) {
        self.requested_benefit.store((1e3 * totals.requested_benefit) as u64, Ordering::Relaxed);
        self.earned_benefit.store((1e3 * totals.earned_benefit) as u64, Ordering::Relaxed);
        self.ended.store(totals.ended, Ordering::Relaxed);
        self.answered.store(totals.answered, Ordering::Relaxed);
    }
}

/// The front as the control client sees it.
pub(crate) struct ControlledFront {
    pub(crate) active_config: SharedConfig,
    pub(crate) served: Arc<ServedTotals>,
}

impl Instance for ControlledFront {
    fn needs_restart(&self, version: &Version) -> Vec<String> {
        lock(&self.active_config).startup.needs_restart(version)
    }

    async fn apply(&mut self, _: &VersionId, version: &Arc<Version>) -> Result<(), String> {
        let (applied, done) = oneshot::channel();
        {
            let mut active_config = lock(&self.active_config);
            let (reloaded, _) = active_config.reloaded_config(Some(version))?;
            if active_config.send(Event::Version(Box::new(reloaded), applied)).is_some() {
                active_config.version = Some(version.clone());
            }
        }
        if done.await.is_err() {
            // The front is shutting down, and this thread with it: the version was not rejected.
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn served(&self) -> configuration::Served {
        let load = |sum: &AtomicU64| sum.load(Ordering::Relaxed);
        // `answered` first: in the other order, an access that ends in between would count as answered but
        // not as ended.
        let answered = load(&self.served.answered);
        let accesses = AccessCounts { accesses: load(&self.served.ended).max(answered), answered };
        configuration::Served {
            requested_benefit: load(&self.served.requested_benefit),
            earned_benefit: load(&self.served.earned_benefit),
            accesses,
        }
    }
}
