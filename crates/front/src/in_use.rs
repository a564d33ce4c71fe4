//! The configuration in use: where it is read, and how a version or a signal replaces it.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use doorgrade_control_client::configuration::{self, AccessCounts, Instance};
use doorgrade_operator::{Version, files};
use doorgrade_versions::VersionId;
use tokio::sync::oneshot;

use crate::config::{Config, Renewal};
use crate::conn::Event;
use crate::descriptors::Descriptors;
use crate::reducer;

/// Where a front finds what it is told.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The platform's configuration.
    pub config: PathBuf,
    /// In place of the file's.
    pub name: Option<String>,
    pub listen: Option<String>,
    /// The operators' settings; the usual file if it is there.
    pub settings: Option<PathBuf>,
    /// What this process may use of the descriptors that it is told of.
    pub descriptors: Descriptors,
}

impl Place {
    /// Reads and checks all of it.
    pub fn read(&self) -> Result<Config, String> {
        let path = &self.config;
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| format!("PROXY_CONFIG: {}: {e}", path.display()))?;
        let config = Config::read(&text, self.name.clone(), self.listen.clone())?;
        let config = config.on(self.descriptors)?;
        Ok(config.with(files::load(self.settings.as_deref()).map_err(|e| e.to_string())?))
    }
}

/// What the configuration in use is made of. A signal and a version may both ask for another at the same time: whoever
/// holds this makes one of the files and the version as they are then, and queues it before the other looks.
pub struct InUse {
    pub(crate) place: Place,
    /// As the start took it, under any version.
    pub(crate) first: Config,
    pub(crate) version: Option<Arc<Version>>,
    pub(crate) events: Sender<Event>,
}

impl InUse {
    /// The files read anew, with a version over them, and the keys that wait for a start.
    fn renewal(&self, version: Option<&Version>) -> Result<(Renewal, Vec<&'static str>), String> {
        let read = self.place.read()?;
        Ok(self.first.renewal(match version {
            Some(version) => read.overlaid(version),
            None => read,
        }))
    }

    /// None where the front is ending.
    fn send(&self, event: Event) -> Option<()> {
        self.events.send(event).ok()
    }

    /// Queues the files as they are now; what is wrong with them is told, and changes nothing.
    pub(crate) fn reload(&self) {
        let stays = |why| tracing::error!("{why}; the configuration in use stays");
        let Ok((renewal, waits)) = self.renewal(self.version.as_deref()).map_err(stays) else { return };
        waits
            .iter()
            .for_each(|key| tracing::warn!("configuration: key '{key}': a new start will take the change"));
        self.send(Event::Reload(Box::new(renewal)));
    }
}

/// One thing held by two threads.
pub type Shared = Arc<Mutex<InUse>>;

pub(crate) fn lock(shared: &Shared) -> MutexGuard<'_, InUse> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How it serves, from the reducer to whoever tells the service: sums in thousandths, and accesses.
#[derive(Default)]
pub struct Served {
    asked: AtomicU64,
    in_time: AtomicU64,
    ended: AtomicU64,
    answered: AtomicU64,
}

impl Served {
    pub fn put(&self, sums: reducer::Served) {
        self.asked.store((1e3 * sums.asked) as u64, Ordering::Relaxed);
        self.in_time.store((1e3 * sums.in_time) as u64, Ordering::Relaxed);
        self.ended.store(sums.ended, Ordering::Relaxed);
        self.answered.store(sums.answered, Ordering::Relaxed);
    }
}

/// The front as its control side sees it.
pub(crate) struct Controlled {
    pub(crate) in_use: Shared,
    pub(crate) served: Arc<Served>,
}

impl Instance for Controlled {
    fn needs_restart(&self, version: &Version) -> Vec<String> {
        lock(&self.in_use).first.needs_restart(version)
    }

    async fn apply(&mut self, _: &VersionId, version: &Arc<Version>) -> Result<(), String> {
        let (taken, done) = oneshot::channel();
        {
            let mut in_use = lock(&self.in_use);
            let (renewal, _) = in_use.renewal(Some(version))?;
            if in_use.send(Event::Version(Box::new(renewal), taken)).is_some() {
                in_use.version = Some(version.clone());
            }
        }
        if done.await.is_err() {
            // The front is ending, and this thread with it: nothing was refused.
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn served(&self) -> configuration::Served {
        let load = |sum: &AtomicU64| sum.load(Ordering::Relaxed);
        // The ones answered first: read the other way round, one that ends in between would be answered and not asked.
        let answered = load(&self.served.answered);
        let accesses = AccessCounts { accesses: load(&self.served.ended).max(answered), answered };
        configuration::Served {
            asked: load(&self.served.asked),
            in_time: load(&self.served.in_time),
            accesses,
        }
    }
}
