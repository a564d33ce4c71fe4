//! Versions of the configuration: what is kept of them at a start, and the thread that follows the service. Off
//! unless the operators' settings have it on; nothing of this is started then.
//!
//! The thread speaks to the service, checks and stores. What it brings into use goes to the reducer as one input, as
//! a reload by SIGHUP does, so that a version is taken whole or not at all.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_keys::{Paths, Reloading, client};
use doorgrade_operator::settings::Versions;
use doorgrade_operator::{Version, files};
use doorgrade_store::{FrontStore, Records};
use doorgrade_stream::follow::{Command, Follow, Host, To};
use doorgrade_stream::{FRONTS, now};
use doorgrade_trust::rotation;
use doorgrade_versions::front::{Content, Found, Front, Line};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::{Id, Reason};
use tokio::sync::{mpsc as queue, oneshot};

use crate::config::Config;
use crate::conn::Event;
use crate::reducer;
use crate::serve::{Place, Shared, lock};
use crate::side::Side;

/// How it serves, from the reducer to whoever tells the service: sums in thousandths.
#[derive(Default)]
pub struct Served {
    asked: AtomicU64,
    in_time: AtomicU64,
}

impl Served {
    pub fn put(&self, sums: reducer::Served) {
        self.asked.store((1e3 * sums.asked) as u64, Ordering::Relaxed);
        self.in_time.store((1e3 * sums.in_time) as u64, Ordering::Relaxed);
    }
}

/// What a start found of versions.
pub struct Kept {
    own: Versions,
    settings: PathBuf,
    store: Option<FrontStore>,
    found: Found,
    usable: Result<(), Reason>,
    /// What this start runs; none: its own file.
    pub version: Option<Arc<Version>>,
    seed: u64,
}

/// Reads a content, and says why this front can't take it.
fn sound(content: &[u8], needs_restart: impl Fn(&Version) -> Vec<String>) -> Result<Version, Reason> {
    let clipped = |why: String| Reason::Unusable(why.chars().take(MOST_REASON).collect::<String>().into());
    let version = Version::sound("version", content).map_err(clipped)?;
    let keys = needs_restart(&version);
    if keys.is_empty() { Ok(version) } else { Err(Reason::NeedsRestart(keys.join(", ").into())) }
}

/// Letters of a refusal: some lines that a person reads.
const MOST_REASON: usize = 8_000;

impl Kept {
    /// Nothing that is wrong with the store ends a start: the front then runs its own file, and says so.
    pub fn open(own: Versions, place: &Place, first: &Config) -> Kept {
        let settings = place.settings.clone().unwrap_or_else(|| files::USUAL.into());
        let path = files::beside(&settings, &own.store);
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
        let read =
            found.good.as_ref().map(|(id, _, content)| (id, sound(content, |v| first.needs_restart(v))));
        let (usable, version) = match read {
            None => (Ok(()), None),
            Some((id, Ok(version))) => {
                tracing::info!(version = %id, "versions: this start runs {id}");
                (Ok(()), Some(Arc::new(version)))
            }
            Some((_, Err(why))) => (Err(why), None),
        };
        if found.good.is_none() {
            tracing::info!("versions: none is kept; this start runs its own file");
        }
        Kept { own, settings, store, found, usable, version, seed: first.seed }
    }

    /// Starts the thread that follows the service.
    pub fn follow(self, name: String, in_use: Shared, served: Arc<Served>) -> Result<Side, String> {
        let fault = |what: &str| format!("settings: block 'versions': {what}");
        let server = ServerName::try_from(self.own.server_name.to_string());
        let server = server.map_err(|e| fault(&format!("key 'server_name': {e}")))?;
        let paths = Paths::beside(&self.settings, &self.own.papers);
        let files = paths.all();
        let papers =
            Reloading::new(files, move || client(&paths, FRONTS)).map_err(|t| fault(&t.to_string()))?;
        let seal_keys = files::beside(&self.settings, &self.own.seal_keys);
        let keys = read_keys(&seal_keys).map_err(|why| fault(&why))?;
        Side::start("versions", move |stopped| async move {
            let Kept { own, store, found, usable, seed, .. } = self;
            let host = Runs { store, in_use, served, before: (0, 0), next: None, lost: None };
            let (commands, mut told) = queue::channel(4);
            let to = To { at: own.service, name: server };
            let first_keys = Keys::new(keys.clone());
            let (mut follow, first) = Follow::new(host, to, papers.made(), |at, out| {
                Front::start(at, seed, (&name, &own.station), first_keys, found, usable, out)
            });
            tokio::select! {
                () = follow.run(first, &mut told) => {}
                () = watch(papers, seal_keys, keys, commands) => {}
                // Wherever it is: what was being brought into use is found as not stored, not as a crash.
                _ = stopped => {}
            }
            follow.host.unstage();
        })
    }
}

/// The operators' keys that seal, by number.
pub fn read_keys(file: &std::path::Path) -> Result<Vec<(u32, Vec<u8>)>, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let keys =
        doorgrade_operator::control::seal_keys(&name, &text).map_err(|problems| problems.to_string())?;
    rotation::check(&keys).map_err(|objection| format!("{name}: {objection}"))?;
    Ok(keys)
}

/// How often keys and certificates are looked at.
pub(crate) const LOOK_EACH: Duration = Duration::from_secs(10);

/// Keys and certificates that change, and those that will end.
async fn watch(
    mut papers: Reloading<ClientConfig>,
    seal_keys: PathBuf,
    mut keys: Vec<(u32, Vec<u8>)>,
    commands: queue::Sender<Command>,
) {
    loop {
        for (file, of, word) in papers.due(now()) {
            tracing::warn!("versions: {}: the certificate of {of} {word}", file.display());
        }
        tokio::time::sleep(LOOK_EACH).await;
        let mut news = Vec::new();
        match papers.refresh(false) {
            None => {}
            Some(Ok(())) => {
                tracing::info!("versions: certificates read anew; a connection that is up stays");
                news.push(Command::Tls(papers.made()));
            }
            Some(Err(trouble)) => tracing::error!("versions: {trouble}; what was read before stays in use"),
        }
        match read_keys(&seal_keys) {
            Ok(new) if new != keys => {
                tracing::info!("versions: the keys that seal were read anew");
                news.push(Command::Keys(Keys::new(new.clone())));
                keys = new;
            }
            // One that is being written is looked at again.
            Ok(_) | Err(_) => {}
        }
        for command in news {
            if commands.send(command).await.is_err() {
                return;
            }
        }
    }
}

/// The front as the one who runs versions.
struct Runs {
    store: Option<FrontStore>,
    in_use: Shared,
    served: Arc<Served>,
    before: (u64, u64),
    /// What was checked last, so that it is not read twice.
    next: Option<(Id, Arc<Version>)>,
    /// What was said last of a connection that was lost.
    lost: Option<String>,
}

impl Runs {
    /// Whether a write came to be; what stands in its way is told.
    fn stored(&self, write: impl FnOnce(&FrontStore) -> Result<(), doorgrade_store::Trouble>) -> bool {
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

impl Host for Runs {
    fn check(&mut self, id: &Id, content: &Content) -> Result<(), Reason> {
        let version = sound(content, |v| lock(&self.in_use).needs_restart(v))?;
        self.next = Some((*id, Arc::new(version)));
        Ok(())
    }

    async fn apply(&mut self, id: &Id, _content: &Content) -> Result<(), Reason> {
        let not = |why: &str| Reason::NotApplied(why.into());
        let Some((_, version)) = self.next.take().filter(|next| next.0 == *id) else {
            return Err(not("it was not checked"));
        };
        let (taken, done) = oneshot::channel();
        {
            let mut in_use = lock(&self.in_use);
            let (renewal, _) = in_use.renewal(Some(&version)).map_err(|why| not(&why))?;
            if in_use.send(Event::Version(Box::new(renewal), taken)).is_some() {
                in_use.version = Some(version);
            }
        }
        if done.await.is_err() {
            // The front is ending, and this thread with it: nothing was refused.
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn stage(&mut self, id: Id, falls: u32) -> bool {
        self.stored(|store| store.stage(id, falls))
    }

    fn keep(&mut self, id: Id, seal: Seal, content: &Content) -> bool {
        self.stored(|store| store.keep(id, seal, content))
    }

    fn unstage(&mut self) {
        self.stored(FrontStore::unstage);
    }

    fn tell(&mut self, line: Line) {
        match line {
            Line::Runs(id) => {
                self.lost = None;
                tracing::info!(version = %id, "versions: {id} is in use");
            }
            Line::TurnedDown(id, why) => {
                tracing::warn!(version = %id, "versions: {id} is turned down: {why}");
            }
            Line::Silent(since) => {
                tracing::warn!(
                    "versions: the service has said nothing for {} s; the last good version stays in use",
                    since / 10_000
                );
            }
            Line::Back => {
                self.lost = None;
                tracing::info!("versions: the service is heard again");
            }
            Line::OwnFile(why) => {
                tracing::error!("versions: what was kept can't be used: {why}; this start runs its own file");
            }
            Line::NotStored(id) => {
                tracing::error!(version = %id, "versions: {id} is in use, but could not be stored");
            }
        }
    }

    fn serves(&mut self) -> Option<f32> {
        let now = (self.served.asked.load(Ordering::Relaxed), self.served.in_time.load(Ordering::Relaxed));
        let (asked, in_time) = (now.0.saturating_sub(self.before.0), now.1.saturating_sub(self.before.1));
        self.before = now;
        // An access that is still open was asked, and may come in time in the next span.
        (asked > 0).then(|| (in_time as f32 / asked as f32).min(1.0))
    }

    fn lost(&mut self, at: SocketAddr, why: &str) {
        let line = format!("versions: the service at {at}: {why}");
        // The same again and again while it is away is one line.
        if self.lost.as_ref() != Some(&line) {
            tracing::warn!("{line}");
            self.lost = Some(line);
        }
    }
}
