//! All of the agent together, until SIGTERM or SIGINT. Its instances go on without it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use doorgrade_fleet::Fleet;
use doorgrade_operator::agent::Agent;
use doorgrade_operator::files::beside;
use doorgrade_stream::clock::now;
use tokio::sync::mpsc;

use crate::core::{Core, Event, Place};
use crate::door;
use crate::journal::Journal;
use crate::process::Spec;

/// Where the settings stand, seen from where the program is started, if nobody says otherwise.
pub const USUAL: &str = "deploy/agent.hcl";

pub struct Settings {
    pub agent: Agent,
    pub file: PathBuf,
}

impl Settings {
    pub fn load(file: &Path) -> Result<Settings, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
        let agent = Agent::read(&name, &text).map_err(|problems| problems.to_string())?;
        // Children are started from another folder than the one this was named in.
        let file = std::path::absolute(file).map_err(|e| format!("{name}: {e}"))?;
        Ok(Settings { agent, file })
    }

    pub fn socket(&self) -> PathBuf {
        beside(&self.file, &self.agent.socket)
    }

    fn places(&self) -> BTreeMap<Box<str>, Place> {
        let at = |named: &str| beside(&self.file, named);
        let one = |i: &doorgrade_operator::agent::Instance| {
            let spec = Spec {
                name: i.name.clone(),
                program: at(&self.agent.program),
                listen: i.listen.to_string(),
                config: at(&i.config),
                settings: i.settings.as_deref().map(at),
                log: at(&self.agent.logs).join(format!("{}.log", i.name)),
                log_bytes: self.agent.log_mb << 20,
            };
            let (station, labels) = (i.station.clone(), i.labels.clone());
            (i.name.clone(), Place { spec, station, at: i.listen, labels })
        };
        self.agent.instances.iter().map(one).collect()
    }
}

const MOST_EVENTS: usize = 4_096;

async fn run(settings: Settings) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let heard = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (mut term, mut int) = (heard(SignalKind::terminate())?, heard(SignalKind::interrupt())?);
    let journal = beside(&settings.file, &settings.agent.journal);
    let opened = Journal::open(&journal);
    let (journal, kept, troubles) =
        opened.map_err(|t| format!("{}: {t}: does another agent have it?", journal.display()))?;
    troubles.iter().for_each(|trouble| tracing::error!("journal: {trouble}"));
    let logs = beside(&settings.file, &settings.agent.logs);
    std::fs::create_dir_all(&logs).map_err(|e| format!("{}: {e}", logs.display()))?;
    let socket = settings.socket();
    let listener = door::bind(&socket).map_err(|e| format!("{}: {e}", socket.display()))?;
    let (events, happened) = mpsc::channel(MOST_EVENTS);
    let places = settings.places();
    let stations: Vec<(Box<str>, Box<str>)> =
        settings.agent.instances.iter().map(|i| (i.name.clone(), i.station.clone())).collect();
    let mut out = Vec::new();
    let rules = settings.agent.rules.clone();
    let fleet = Fleet::new(now(), rules, journal.term ^ now(), &stations, kept, &mut out);
    tracing::info!(
        "{}: term {}, {} instances, commands at {}",
        settings.agent.name,
        journal.term,
        stations.len(),
        socket.display()
    );
    let core = Core {
        agent: settings.agent.name.clone(),
        fleet,
        journal,
        places,
        events: events.clone(),
        watchers: Vec::new(),
        wake: None,
        unkept: BTreeMap::new(),
        adopted: BTreeMap::new(),
    };
    let doors = tokio::spawn(door::serve(listener, events.clone(), settings.agent.viewers.clone()));
    let core = tokio::spawn(core.run(out, happened));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tracing::info!("told to stop; the instances go on");
    doors.abort();
    let _ = events.send(Event::Stop).await;
    let _ = core.await;
    let _ = std::fs::remove_file(&socket);
    Ok(())
}

pub fn serve(settings: Settings) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        // One waits for the end of each child.
        .max_blocking_threads(2_048)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let ended = runtime.block_on(run(settings));
    // Threads that wait for children would hold up the end.
    runtime.shutdown_background();
    ended
}
