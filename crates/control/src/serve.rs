//! All of the service together, until SIGTERM or SIGINT. SIGHUP reads keys, certificates and roles anew; changed files
//! are found without it, too.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use doorgrade_keys::rustls::ServerConfig;
use doorgrade_keys::{Reloading, server};
use doorgrade_store::{Records, ServiceStore, Trouble};
use doorgrade_stream::clock::now;
use doorgrade_stream::{FRONTS, OPERATORS};
use doorgrade_versions::seal::Keys;
use doorgrade_versions::service::Service;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::core::{Core, Event};
use crate::door::{Door, RoleOf, Roles, Tls};
use crate::settings::{self, Settings};

/// What happens waits here for the machine; whoever brings more waits, too.
const MOST_EVENTS: usize = 4_096;
/// How often files are looked at.
const LOOK_EACH: Duration = Duration::from_secs(10);

/// A service that runs.
pub struct Running {
    pub fronts: SocketAddr,
    pub operators: SocketAddr,
    events: mpsc::Sender<Event>,
    core: tokio::task::JoinHandle<()>,
    doors: Vec<tokio::task::JoinHandle<()>>,
    look: mpsc::Sender<()>,
}

/// One listener's files, and TLS as it is made of them now.
struct Papers {
    files: Reloading<ServerConfig>,
    tls: Tls,
    whose: &'static str,
}

impl Papers {
    fn new(
        paths: doorgrade_keys::Paths,
        protocol: &'static [u8],
        whose: &'static str,
    ) -> Result<Papers, String> {
        let files =
            Reloading::new(paths.all(), move || server(&paths, protocol)).map_err(|t| t.to_string())?;
        let tls = Arc::new(RwLock::new(files.made()));
        Ok(Papers { files, tls, whose })
    }

    fn look(&mut self, told: bool) {
        match self.files.refresh(told) {
            None => {}
            Some(Ok(())) => {
                *self.tls.write().unwrap_or_else(PoisonError::into_inner) = self.files.made();
                tracing::info!("certificates for {} read anew; connections that are up stay", self.whose);
            }
            Some(Err(trouble)) => tracing::error!("{trouble}; what was read before stays in use"),
        }
        for (file, of, word) in self.files.due(now()) {
            tracing::warn!("{}: the certificate of {of} {word}", file.display());
        }
    }
}

struct Watch {
    file: PathBuf,
    papers: [Papers; 2],
    roles: Roles,
    seal_keys: PathBuf,
    keys: Vec<(u32, Vec<u8>)>,
    events: mpsc::Sender<Event>,
}

fn roles_of(settings: Settings) -> Box<RoleOf> {
    Box::new(move |names: &[String]| settings.role(names))
}

impl Watch {
    async fn look(&mut self, told: bool) {
        self.papers.iter_mut().for_each(|p| p.look(told));
        match settings::keys(&self.seal_keys) {
            Ok(keys) if keys != self.keys => {
                self.keys.clone_from(&keys);
                let _ = self.events.send(Event::Keys(keys)).await;
            }
            Ok(_) => {}
            Err(why) if told => tracing::error!("{why}; the keys in use stay"),
            Err(_) => {}
        }
        if told {
            match Settings::load(&self.file) {
                Ok(new) => *self.roles.write().unwrap_or_else(PoisonError::into_inner) = roles_of(new),
                Err(why) => tracing::error!("{why}; the settings in use stay"),
            }
        }
    }
}

impl Running {
    /// Starts all of it on the runtime that this is called on, which has to have more than one thread.
    pub async fn start(settings: Settings) -> Result<Running, String> {
        let mut papers = [
            Papers::new(settings.fronts(), FRONTS, "fronts")?,
            Papers::new(settings.operators(), OPERATORS, "operators")?,
        ];
        papers.iter_mut().for_each(|p| p.look(false));
        let seal_keys = settings.seal_keys();
        let keys = settings::keys(&seal_keys)?;
        let path = settings.store();
        let (records, trouble) = Records::open(&path).map_err(|t| format!("{}: {t}", path.display()))?;
        if let Some(trouble) = trouble {
            tracing::error!("{trouble}");
        }
        let store = ServiceStore::new(records);
        let (found, troubles) = store.load();
        // A history that can't be read now is not a history that is lost: beginning anew would end it.
        let unread = |t: &&Trouble| matches!(t, Trouble::Newer { .. } | Trouble::Failed(_));
        if let Some(trouble) = troubles.iter().find(unread) {
            return Err(format!("{}: {trouble}", settings.store().display()));
        }
        troubles.iter().for_each(|trouble| tracing::error!("{trouble}"));
        let mut out = Vec::new();
        let service = Service::start(now(), settings.rules(), Keys::new(keys.clone()), found, &mut out);
        tracing::info!(epoch = service.epoch(), "epoch {}, last version {}", service.epoch(), service.last());

        let (events, happened) = mpsc::channel(MOST_EVENTS);
        let bind = async |at: SocketAddr, key: &str| {
            TcpListener::bind(at)
                .await
                .map_err(|e| format!("{}: key 'control.{key}': {at}: {e}", settings.file.display()))
        };
        let fronts = bind(settings.control.listen, "listen").await?;
        let operators = bind(settings.control.operators_listen, "operators_listen").await?;
        let at = |l: &TcpListener| l.local_addr().map_err(|e| e.to_string());
        let (fronts_at, operators_at) = (at(&fronts)?, at(&operators)?);
        let core = tokio::spawn(Core::new(service, store, out).run(happened));
        let door = Door::new(events.clone(), settings.control.max_fronts as usize);
        let roles: Roles = Arc::new(RwLock::new(roles_of(settings.clone())));
        let [for_fronts, for_operators] = [papers[0].tls.clone(), papers[1].tls.clone()];
        let mut doors = vec![
            tokio::spawn(door.clone().fronts(fronts, for_fronts)),
            tokio::spawn(door.operators(operators, for_operators, roles.clone())),
        ];
        let (look, mut told) = mpsc::channel(1);
        let mut watch =
            Watch { file: settings.file.clone(), papers, roles, seal_keys, keys, events: events.clone() };
        doors.push(tokio::spawn(async move {
            loop {
                let told = match tokio::time::timeout(LOOK_EACH, told.recv()).await {
                    Ok(Some(())) => true,
                    Ok(None) => return,
                    Err(_) => false,
                };
                watch.look(told).await;
            }
        }));
        tracing::info!("fronts at {fronts_at}, operators at {operators_at}");
        Ok(Running { fronts: fronts_at, operators: operators_at, events, core, doors, look })
    }

    /// Reads keys, certificates and roles anew.
    pub async fn look(&self) {
        let _ = self.look.send(()).await;
    }

    /// Ends it: what is being stored is stored, connections are closed.
    pub async fn stop(self) {
        self.doors.iter().for_each(tokio::task::JoinHandle::abort);
        let _ = self.events.send(Event::Stop).await;
        let _ = self.core.await;
    }
}

/// Serves until it is told to stop.
pub fn serve(settings: Settings) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let heard = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        let (mut term, mut int) = (heard(SignalKind::terminate())?, heard(SignalKind::interrupt())?);
        let mut hup = heard(SignalKind::hangup())?;
        let running = Running::start(settings).await?;
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = int.recv() => break,
                _ = hup.recv() => running.look().await,
            }
        }
        tracing::info!("told to stop");
        running.stop().await;
        Ok(())
    })
}
