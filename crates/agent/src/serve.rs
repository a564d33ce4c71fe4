//! Runs the agent until SIGTERM or SIGINT. Its instances go on without it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use doorgrade_fleet::Fleet;
use doorgrade_operator::agent::Agent;
use doorgrade_operator::files::resolve;
use doorgrade_stream::clock::now;
use tokio::sync::mpsc;

use crate::core::{Core, Event, InstanceConfig};
use crate::journal::Journal;
use crate::listener;
use crate::process::ProcessSpec;

/// Path of the settings if none is given, relative to the working directory.
pub const DEFAULT_PATH: &str = "deploy/agent.hcl";

/// The settings, and the absolute path of their file.
pub struct Settings {
    pub agent: Agent,
    pub file: PathBuf,
}

impl Settings {
    pub fn load(file: &Path) -> Result<Settings, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
        let agent = Agent::read(&name, &text).map_err(|problems| problems.to_string())?;
        // Made absolute, so that the paths given to instances don't depend on a working directory.
        let file = std::path::absolute(file).map_err(|e| format!("{name}: {e}"))?;
        Ok(Settings { agent, file })
    }

    pub fn socket(&self) -> PathBuf {
        resolve(&self.file, &self.agent.socket)
    }

    fn instance_configs(&self) -> BTreeMap<Box<str>, InstanceConfig> {
        let path = |path: &str| resolve(&self.file, path);
        let config = |i: &doorgrade_operator::agent::Instance| {
            let spec = ProcessSpec {
                name: i.name.clone(),
                program: path(&self.agent.program),
                listen: i.listen.to_string(),
                config: path(&i.config),
                settings: i.settings.as_deref().map(path),
                log: path(&self.agent.logs).join(format!("{}.log", i.name)),
                log_bytes: self.agent.log_mb << 20,
            };
            let (station, labels) = (i.station.clone(), i.labels.clone());
            (i.name.clone(), InstanceConfig { spec, station, address: i.listen, labels })
        };
        self.agent.instances.iter().map(config).collect()
    }
}

/// Events that may be queued for the core.
const MAX_QUEUED_EVENTS: usize = 4_096;

async fn run(settings: Settings) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let signals = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let journal = resolve(&settings.file, &settings.agent.journal);
    let opened = Journal::open(&journal);
    let (journal, persisted, errors) =
        opened.map_err(|e| format!("{}: {e}: does another agent use it?", journal.display()))?;
    errors.iter().for_each(|error| tracing::error!("journal: {error}"));
    let logs = resolve(&settings.file, &settings.agent.logs);
    std::fs::create_dir_all(&logs).map_err(|e| format!("{}: {e}", logs.display()))?;
    let socket = settings.socket();
    let socket_listener = listener::bind(&socket).map_err(|e| format!("{}: {e}", socket.display()))?;
    let (events, event_receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    let instance_configs = settings.instance_configs();
    let stations: Vec<(Box<str>, Box<str>)> =
        settings.agent.instances.iter().map(|i| (i.name.clone(), i.station.clone())).collect();
    let mut effects = Vec::new();
    let rules = settings.agent.rules.clone();
    let fleet = Fleet::new(now(), rules, journal.term ^ now(), &stations, persisted, &mut effects);
    tracing::info!(
        "{}: term {}, {} instances, listening for commands at {}",
        settings.agent.name,
        journal.term,
        stations.len(),
        socket.display()
    );
    let core = Core {
        agent: settings.agent.name.clone(),
        fleet,
        journal,
        instance_configs,
        events: events.clone(),
        watchers: Vec::new(),
        timer_at: None,
        unwritten: BTreeMap::new(),
        adopted: BTreeMap::new(),
    };
    let listener_task =
        tokio::spawn(listener::serve(socket_listener, events.clone(), settings.agent.viewers.clone()));
    let core = tokio::spawn(core.run(effects, event_receiver));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tracing::info!("stopping; the instances go on");
    listener_task.abort();
    let _ = events.send(Event::Stop).await;
    let _ = core.await;
    let _ = std::fs::remove_file(&socket);
    Ok(())
}

/// Runs the agent on a runtime of its own.
pub fn serve(settings: Settings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        // One thread per child waits for its exit.
        .max_blocking_threads(2_048)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let result = runtime.block_on(run(settings));
    // Does not wait for the threads that wait for children.
    runtime.shutdown_background();
    result
}
