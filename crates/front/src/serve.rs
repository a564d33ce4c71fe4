//! Serving: reads the configuration, then hands what happens to the reducer and does what it asks for.

use std::collections::VecDeque;
use std::io::Read;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use doorgrade_control_client::configuration::StoredVersion;
use doorgrade_control_client::neighbours::{
    ExchangeSetup as Neighbourhood, FrontInfo as Own, ObservationSender as Learning,
};
use doorgrade_control_client::worker::Worker;
use doorgrade_log::{Format, LevelFilter};
use doorgrade_operator::files;
use doorgrade_operator::settings::{self, Settings};
use rustc_hash::FxHashMap;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1, SIGUSR2};
use tokio::sync::oneshot;

use doorgrade::Ticks;

use crate::accept::{self, Acceptor};
use crate::clock;
use crate::config::Config;
use crate::conn::{self, Awaiting, ConnId, Event, Port};
use crate::fastcgi;
use crate::in_use::{Controlled, InUse, Place, Served, Shared, lock};
use crate::reducer::{Effect, Input, Made, Reducer};

/// Serves until it is told to stop.
pub fn serve(place: Place) -> Result<(), String> {
    let config = place.read().inspect_err(|_| doorgrade_log::start(LevelFilter::INFO, Format::Human))?;
    let settings = place.settings.clone().unwrap_or_else(|| files::DEFAULT_PATH.into());
    doorgrade_log::start(
        config.log,
        match config.files.settings.log.format {
            settings::Format::Human => Format::Human,
            settings::Format::Json => Format::Json,
        },
    );
    let _named = tracing::info_span!("serve", front = config.name).entered();
    clock::heed_tests();
    // One core is told; a coroutine reads and writes through rings on the heap, so small stacks do.
    may::config().set_workers(1).set_stack_size(0x1000);
    // Bound to the first core, the workers of all fronts on a machine would share it, whatever others are free.
    may::config().set_worker_pin(false);
    let (events, happened) = channel();
    // Before anything else: a version that is kept is what this start runs.
    let stored =
        config.files.settings.versions.clone().map(|own| {
            StoredVersion::open(own, &settings, config.seed, |version| config.needs_restart(version))
        });
    let version = stored.as_ref().and_then(|stored| stored.version.clone());
    let neighbourhood = neighbourhood(&config, &settings)?;
    let first = config.clone();
    let config = match &version {
        Some(version) => config.overlaid(version),
        None => config,
    };
    let in_use: Shared = Arc::new(Mutex::new(InUse { place, first, version, events: events.clone() }));
    let stop = heed_signals(in_use.clone(), events.clone()).map_err(|e| format!("signals: {e}"))?;
    let (listen, name) = (config.listen, config.name.clone());
    let known = neighbourhood.as_ref().map(Neighbourhood::remembered);
    let homes = neighbourhood.as_ref().and_then(Neighbourhood::homes);
    let within = Duration::from_micros(config.told.connect_timeout * 100);
    let served = Arc::new(Served::default());
    let mut driver = Driver {
        reducer: Reducer::new(config, clock::now()),
        ports: FxHashMap::default(),
        acceptor: None,
        stop,
        came: Came::default(),
        within,
        events,
        effects: Vec::new(),
        heard: None,
        taken: None,
        served: stored.is_some().then(|| served.clone()),
        learned: None,
        handed: 0,
    };
    if let Some((fills, purges)) = known {
        driver.reducer.input(clock::now(), Input::Recall(fills, purges));
    }
    if let Some((taken, kept)) = homes {
        driver.reducer.input(clock::now(), Input::Homes(taken, kept));
    }
    let acceptor = accept::listen(listen, driver.reducer.clients(), driver.events.clone())
        .map_err(|e| format!("key 'listen': {listen}: {e}"))?;
    tracing::info!("{name} listens on {}", acceptor.local);
    driver.acceptor = Some(acceptor);
    driver.reducer.input(clock::now(), Input::Listening);
    let controlled = Controlled { in_use, served };
    let follows = stored.map(|stored| stored.follow(name, controlled)).transpose()?;
    let exchanges = match neighbourhood {
        Some(neighbourhood) => {
            let events = driver.events.clone();
            let recalled = move |fills, purges| drop(events.send(Event::Recall(fills, purges)));
            let (worker, learned) = neighbourhood.start(Box::new(recalled))?;
            driver.learned = learned;
            Some(worker)
        }
        None => None,
    };
    driver.run(&happened);
    follows.into_iter().chain(exchanges).for_each(Worker::stop);
    tracing::info!("ends; at the most: {:?}", driver.reducer.most());
    Ok(())
}

/// What is exchanged with other fronts; none where all of it is off.
fn neighbourhood(config: &Config, settings: &Path) -> Result<Option<Neighbourhood>, String> {
    let Settings { neighbours, recall, .. } = config.files.settings.clone();
    let told = &config.told.settings;
    let (name, seed, purge_done) = (&config.name, config.seed, told.purge_propagation);
    let own = Own { name, seed, settings, offerings: &told.offerings, purge_done };
    Ok(Neighbourhood::read(neighbours, recall, &own)?)
}

/// A thread of its own hears signals and reads files, so that neither holds up the reducer. It waits at a pipe: the
/// crate's iterator would hold a pair of Unix sockets, and this program is to have none while it serves.
fn heed_signals(in_use: Shared, events: Sender<Event>) -> std::io::Result<Arc<AtomicBool>> {
    let (mut heard, told) = std::io::pipe()?;
    let flag = || Arc::new(AtomicBool::new(false));
    let (stop, renew, drain, back) = (flag(), flag(), flag(), flag());
    for (signal, flag) in [(SIGTERM, &stop), (SIGHUP, &renew), (SIGUSR1, &drain), (SIGUSR2, &back)] {
        // In this order: whoever is woken finds the flag set.
        signal_hook::flag::register(signal, flag.clone())?;
        signal_hook::low_level::pipe::register(signal, told.try_clone()?)?;
    }
    let named = tracing::Span::current();
    let told_to_stop = stop.clone();
    std::thread::spawn(move || {
        let _named = named.entered();
        loop {
            match heard.read(&mut [0; 16]) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return tracing::error!("signals are not heard any more: {e}"),
                Ok(_) => {
                    if stop.swap(false, Ordering::SeqCst) {
                        let _ = events.send(Event::Stop);
                    }
                    for (flag, on) in [(&drain, true), (&back, false)] {
                        if flag.swap(false, Ordering::SeqCst) {
                            let _ = events.send(Event::Drain(on));
                        }
                    }
                    // Last: the files may take long, or for ever.
                    if renew.swap(false, Ordering::SeqCst) {
                        clock::heed_tests();
                        lock(&in_use).reload();
                    }
                }
            }
        }
    });
    Ok(told_to_stop)
}

/// What has happened and was not handed on yet.
#[derive(Default)]
struct Came {
    /// Clients that have left, or that give something up.
    left: VecDeque<Event>,
    others: VecDeque<Event>,
}

impl Came {
    /// So many are looked through for clients that have left before any work is done for others.
    const AHEAD: usize = 4_096;

    /// A connection has one event of reading in the queue at the most, since its ring travels with it: nothing that was
    /// said on the same connection is overtaken. One that begins with a record by which a request is given up goes
    /// ahead, too; taken for such a one by mistake, it is merely early.
    fn put(&mut self, event: Event) {
        let leaves = match &event {
            Event::Read { conn, ended, ring, .. } if *conn >= accept::FIRST => {
                ended.is_some() || matches!(ring.front(), [1, fastcgi::ABORT_REQUEST, ..])
            }
            _ => false,
        };
        if leaves { self.left.push_back(event) } else { self.others.push_back(event) }
    }

    fn take(&mut self) -> Option<Event> {
        self.left.pop_front().or_else(|| self.others.pop_front())
    }
}

/// Carries inputs to the reducer and its effects out.
struct Driver {
    reducer: Reducer,
    ports: FxHashMap<ConnId, Port>,
    acceptor: Option<Acceptor>,
    /// SIGTERM has come, and the thread that hears signals may still be reading files.
    stop: Arc<AtomicBool>,
    came: Came,
    within: Duration,
    events: Sender<Event>,
    /// Reused for each input's effects.
    effects: Vec<Effect>,
    /// On which connection was said what the reducer has been handed.
    heard: Option<ConnId>,
    /// Who waits to hear that a version was taken.
    taken: Option<oneshot::Sender<()>>,
    /// Where to put how it serves, if anybody looks.
    served: Option<Arc<Served>>,
    /// Where to put what was seen, if anybody remembers it, and when it was put there last.
    learned: Option<Learning>,
    handed: Ticks,
}

/// What was seen is handed on together, so that whoever remembers it is not woken for each answer: so many, or as long.
/// A snapshot is written a few times a second at the most, and what a crash loses of it is less than between two of them.
const TOGETHER: usize = 256;
const HANDED_EACH: Ticks = 2_500;

impl Driver {
    fn run(&mut self, happened: &Receiver<Event>) {
        loop {
            if self.perform() {
                return self.hand_on();
            }
            let now = clock::now();
            let event = self.next(now, happened);
            let input = event.map_or(Input::Tick, |event| self.input(event));
            let now = clock::now();
            self.reducer.set_wall(now, clock::unix());
            self.reducer.input(now, input);
            if let Some(acceptor) = &self.acceptor {
                acceptor.set_most(self.reducer.clients());
            }
            if let Some(taken) = self.taken.take() {
                let _ = taken.send(());
            }
            if let Some(served) = &self.served {
                served.put(self.reducer.served());
            }
            // An input comes each quarter of a second at the least.
            if self.reducer.learned_now() >= TOGETHER || now >= self.handed + HANDED_EACH {
                self.handed = now;
                self.hand_on();
            }
        }
    }

    /// What is handed on next. Whoever has left goes first, however much else has come: nothing is to begin for it.
    fn next(&mut self, now: Ticks, happened: &Receiver<Event>) -> Option<Event> {
        let more = Came::AHEAD.saturating_sub(self.came.others.len());
        happened.try_iter().take(more).for_each(|event| self.came.put(event));
        if self.stop.swap(false, Ordering::SeqCst) {
            return Some(Event::Stop);
        }
        if let Some(event) = self.came.take() {
            return Some(event);
        }
        let event = match self.reducer.next_tick() {
            Some(at) if at <= now => happened.try_recv().map_err(|_| RecvTimeoutError::Timeout),
            Some(at) => happened.recv_timeout(Duration::from_micros((at - now) * 100)),
            None => happened.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        event.ok()
    }

    fn hand_on(&mut self) {
        if let Some(to) = &self.learned {
            let seen = self.reducer.learned();
            if !seen.is_empty() {
                // Whoever remembers is behind: it does without. Nothing here waits for it.
                let _ = to.try_send(seen);
            }
        }
    }

    fn input(&mut self, event: Event) -> Input {
        match event {
            Event::Accepted(conn, port) => {
                self.ports.insert(conn, port);
                Input::Accepted(conn)
            }
            Event::Connected(conn, Ok(port)) => {
                self.ports.insert(conn, port);
                Input::Connected(conn, Made::Up)
            }
            Event::Connected(conn, Err(error)) => {
                tracing::debug!("connection {conn} failed: {error}");
                Input::Connected(conn, if conn::failed_here(&error) { Made::NoMeans } else { Made::Refused })
            }
            Event::Read { conn, ring, ended, at } => {
                self.heard = Some(conn);
                Input::Read { conn, ring, ended, at }
            }
            Event::Wrote { conn, ring, failed } => Input::Wrote { conn, ring, failed },
            Event::HalfClosed(conn) => Input::HalfClosed(conn),
            Event::Closed(conn) => {
                self.ports.remove(&conn);
                Input::Closed(conn)
            }
            Event::NoMeans => Input::NoMeans,
            Event::ListenerClosed => Input::ListenerClosed,
            Event::Stop => Input::Stop,
            Event::Drain(on) => Input::Drain(on),
            Event::Recall(fills, purges) => Input::Recall(fills, purges),
            Event::Reload(renewal) => {
                doorgrade_log::set_level(renewal.log);
                Input::Reload(renewal)
            }
            Event::Version(renewal, taken) => {
                self.taken = Some(taken);
                doorgrade_log::set_level(renewal.log);
                Input::Reload(renewal)
            }
        }
    }

    /// Does what the reducer asks for; true when it asks to exit.
    fn perform(&mut self) -> bool {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.reducer.effects());
        // First what ends: a request that its client has given up must not begin while that is being done.
        for effect in &effects {
            if let Effect::Close(conn) = effect {
                self.ports.remove(conn);
            }
        }
        if let Some(client) = self.heard.take().and_then(|conn| self.ports.get(&conn)) {
            client.heard();
        }
        let exits = effects.drain(..).any(|effect| self.perform_one(effect));
        self.effects = effects;
        exits
    }

    fn perform_one(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Connect(conn, to) => conn::connect(conn, to, self.within, self.events.clone()),
            Effect::Read(conn, ring) => self.port(conn, |port| port.read(ring)),
            Effect::Write(conn, ring) => self.port(conn, |port| port.write(ring)),
            Effect::Begin(conn, ring, awaits) => {
                let awaiting = match self.ports.get(&awaits.client) {
                    Some(client) => client.awaiting(awaits),
                    None => Awaiting::nobody(awaits),
                };
                self.port(conn, |port| port.begin(ring, awaiting));
            }
            Effect::HalfClose(conn, discard) => self.port(conn, |port| port.half_close(discard)),
            // Done above.
            Effect::Close(_) => {}
            Effect::StopListening => self.acceptor.iter().for_each(Acceptor::close),
            Effect::Exit => return true,
        }
        false
    }

    /// One that was closed meanwhile has nothing to do any more.
    fn port(&self, conn: ConnId, ask: impl FnOnce(&Port)) {
        if let Some(port) = self.ports.get(&conn) {
            ask(port);
        }
    }
}
