//! Starts the service and runs it until SIGTERM or SIGINT. SIGHUP reloads keys, certificates and roles; changed keys
//! and certificates are also detected without it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use doorgrade_keys::rustls::ServerConfig;
use doorgrade_keys::{Reloader, server_config};
use doorgrade_store::{Records, ServiceStore, StoreError};
use doorgrade_stream::clock::now;
use doorgrade_stream::{FRONT_PROTOCOL, OPERATOR_PROTOCOL};
use doorgrade_versions::seal::Keys;
use doorgrade_versions::service::Service;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::acceptor::{Acceptor, RoleOf, Roles, Tls};
use crate::event_loop::{Event, EventLoop};
use crate::settings::{self, Settings};

/// Events that may wait for the event loop. Connections that send more of them wait.
const MAX_PENDING_EVENTS: usize = 4_096;
/// How often files are checked for changes.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// A running service.
pub struct Running {
    /// The address of the listener for fronts.
    pub fronts: SocketAddr,
    /// The address of the listener for operators.
    pub operators: SocketAddr,
    events: mpsc::Sender<Event>,
    event_loop: tokio::task::JoinHandle<()>,
    /// The tasks of the listeners and of the file watch.
    tasks: Vec<tokio::task::JoinHandle<()>>,
    reload: mpsc::Sender<()>,
}

/// A listener's TLS files, and its current TLS configuration.
struct ListenerTls {
    reloader: Reloader<ServerConfig>,
    tls: Tls,
    /// The peers of the listener, for the log.
    peers: &'static str,
}

impl ListenerTls {
    fn new(
        paths: doorgrade_keys::Paths,
        protocol: &'static [u8],
        peers: &'static str,
    ) -> Result<ListenerTls, String> {
        let reloader =
            Reloader::new(paths.all(), move || server_config(&paths, protocol)).map_err(|e| e.to_string())?;
        let tls = Arc::new(RwLock::new(reloader.config()));
        Ok(ListenerTls { reloader, tls, peers })
    }

    /// Reloads the files if they have changed or if `forced`, and logs certificates that will expire.
    fn check(&mut self, forced: bool) {
        match self.reloader.reload(forced) {
            None => {}
            Some(Ok(())) => {
                *self.tls.write().unwrap_or_else(PoisonError::into_inner) = self.reloader.config();
                tracing::info!("certificates for {} reloaded; established connections are kept", self.peers);
            }
            Some(Err(error)) => tracing::error!("{error}; the previous certificates stay in use"),
        }
        for (file, subject, warning) in self.reloader.take_warnings(now()) {
            tracing::warn!("{}: the certificate of {subject} {warning}", file.display());
        }
    }
}

/// Reloads the service's files when they change.
struct FileWatch {
    settings_file: PathBuf,
    listeners: [ListenerTls; 2],
    roles: Roles,
    seal_keys_file: PathBuf,
    seal_keys: Vec<(u32, Vec<u8>)>,
    events: mpsc::Sender<Event>,
}

fn role_lookup(settings: Settings) -> Box<RoleOf> {
    Box::new(move |names: &[String]| settings.role(names))
}

impl FileWatch {
    /// `forced`: reload also the settings and unchanged certificates, and log seal keys that can't be read.
    async fn check(&mut self, forced: bool) {
        self.listeners.iter_mut().for_each(|l| l.check(forced));
        match settings::read_seal_keys(&self.seal_keys_file) {
            Ok(keys) if keys != self.seal_keys => {
                self.seal_keys.clone_from(&keys);
                let _ = self.events.send(Event::SetSealKeys(keys)).await;
            }
            Ok(_) => {}
            Err(reason) if forced => tracing::error!("{reason}; the previous seal keys stay in use"),
            Err(_) => {}
        }
        if forced {
            match Settings::load(&self.settings_file) {
                Ok(new) => *self.roles.write().unwrap_or_else(PoisonError::into_inner) = role_lookup(new),
                Err(reason) => tracing::error!("{reason}; the previous settings stay in use"),
            }
        }
    }
}

impl Running {
    /// Starts the service on the current runtime, which has to be multi-threaded, since the event loop blocks while it
    /// writes to the store.
    pub async fn start(settings: Settings) -> Result<Running, String> {
        let mut listeners = [
            ListenerTls::new(settings.front_paths(), FRONT_PROTOCOL, "fronts")?,
            ListenerTls::new(settings.operator_paths(), OPERATOR_PROTOCOL, "operators")?,
        ];
        listeners.iter_mut().for_each(|l| l.check(false));
        let seal_keys_file = settings.seal_keys_path();
        let seal_keys = settings::read_seal_keys(&seal_keys_file)?;
        let path = settings.store_path();
        let (records, error) = Records::open(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        if let Some(error) = error {
            tracing::error!("{error}");
        }
        let store = ServiceStore::new(records);
        let (stored, errors) = store.load();
        // The history is unreadable for now, but not lost. A start without it would overwrite it.
        let unreadable =
            |e: &&StoreError| matches!(e, StoreError::NewerFormat { .. } | StoreError::Failed(_));
        if let Some(error) = errors.iter().find(unreadable) {
            return Err(format!("{}: {error}", settings.store_path().display()));
        }
        errors.iter().for_each(|error| tracing::error!("{error}"));
        let mut effects = Vec::new();
        let service =
            Service::start(now(), settings.rules(), Keys::new(seal_keys.clone()), stored, &mut effects);
        tracing::info!(epoch = service.epoch(), "epoch {}, last version {}", service.epoch(), service.last());

        let (events, received) = mpsc::channel(MAX_PENDING_EVENTS);
        let bind = async |address: SocketAddr, key: &str| {
            TcpListener::bind(address)
                .await
                .map_err(|e| format!("{}: key 'control.{key}': {address}: {e}", settings.file.display()))
        };
        let fronts = bind(settings.control.listen, "listen").await?;
        let operators = bind(settings.control.operators_listen, "operators_listen").await?;
        let local_address = |l: &TcpListener| l.local_addr().map_err(|e| e.to_string());
        let (front_address, operator_address) = (local_address(&fronts)?, local_address(&operators)?);
        let event_loop = tokio::spawn(EventLoop::new(service, store, effects).run(received));
        let acceptor = Acceptor::new(events.clone(), settings.control.max_fronts as usize);
        let roles: Roles = Arc::new(RwLock::new(role_lookup(settings.clone())));
        let [front_tls, operator_tls] = [listeners[0].tls.clone(), listeners[1].tls.clone()];
        let mut tasks = vec![
            tokio::spawn(acceptor.clone().accept_fronts(fronts, front_tls)),
            tokio::spawn(acceptor.accept_operators(operators, operator_tls, roles.clone())),
        ];
        let (reload, mut reload_requests) = mpsc::channel(1);
        let mut watch = FileWatch {
            settings_file: settings.file.clone(),
            listeners,
            roles,
            seal_keys_file,
            seal_keys,
            events: events.clone(),
        };
        tasks.push(tokio::spawn(async move {
            loop {
                let forced = match tokio::time::timeout(FILE_CHECK_INTERVAL, reload_requests.recv()).await {
                    Ok(Some(())) => true,
                    Ok(None) => return,
                    Err(_) => false,
                };
                watch.check(forced).await;
            }
        }));
        tracing::info!("fronts at {front_address}, operators at {operator_address}");
        Ok(Running { fronts: front_address, operators: operator_address, events, event_loop, tasks, reload })
    }

    /// Reloads keys, certificates and roles. Returns once the request is queued.
    pub async fn reload(&self) {
        let _ = self.reload.send(()).await;
    }

    /// Stops the service once the queued events are handled, and closes all connections.
    pub async fn stop(self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
        let _ = self.events.send(Event::Stop).await;
        let _ = self.event_loop.await;
    }
}

/// Runs the service until SIGTERM or SIGINT.
pub fn serve(settings: Settings) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let listen = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        let (mut term, mut int) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
        let mut hup = listen(SignalKind::hangup())?;
        let running = Running::start(settings).await?;
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = int.recv() => break,
                _ = hup.recv() => running.reload().await,
            }
        }
        tracing::info!("stopping");
        running.stop().await;
        Ok(())
    })
}
