//! Runs the front: reads the configuration, then passes events to the reducer and carries out its effects.

use std::collections::VecDeque;
use std::io::Read;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use doorgrade_control_client::configuration::StoredVersion;
use doorgrade_control_client::neighbours::{ExchangeSetup, FrontInfo, ObservationSender};
use doorgrade_control_client::worker::Worker;
use doorgrade_log::{Format, LevelFilter};
use doorgrade_operator::files;
use doorgrade_operator::settings::{self, Settings};
use rustc_hash::FxHashMap;
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1, SIGUSR2};
use tokio::sync::oneshot;

use doorgrade::Ticks;

use crate::accept::{self, Acceptor};
use crate::active_config::{ActiveConfig, ConfigSources, ControlledFront, ServedTotals, SharedConfig, lock};
use crate::clock;
use crate::config::Config;
use crate::conn::{self, ConnHandle, ConnId, Event, SendGuard};
use crate::fastcgi;
use crate::reducer::{ConnectResult, Effect, Input, Reducer};

/// Serves until a stop is requested.
pub fn serve(sources: ConfigSources) -> Result<(), String> {
    let config = sources.read().inspect_err(|_| doorgrade_log::start(LevelFilter::INFO, Format::Human))?;
    let settings = sources.settings.clone().unwrap_or_else(|| files::DEFAULT_PATH.into());
    doorgrade_log::start(
        config.log,
        match config.files.settings.log.format {
            settings::Format::Human => Format::Human,
            settings::Format::Json => Format::Json,
        },
    );
    let _entered = tracing::info_span!("serve", front = config.name).entered();
    clock::load_test_offset();
    // The front is given one core, so one worker. Coroutines read and write through buffers on the heap, so
    // small stacks do.
    may::config().set_workers(1).set_stack_size(0x1000);
    // Pinned to the first core, the workers of all fronts on a machine would share it, whatever other cores
    // are free.
    may::config().set_worker_pin(false);
    let (events, received) = channel();
    // Opened first, because a stored version is what this start runs.
    let stored =
        config.files.settings.versions.clone().map(|own| {
            StoredVersion::open(own, &settings, config.seed, |version| config.needs_restart(version))
        });
    let version = stored.as_ref().and_then(|stored| stored.version.clone());
    let exchange_setup = exchange_setup(&config, &settings)?;
    let startup = config.clone();
    let config = match &version {
        Some(version) => config.with_version(version),
        None => config,
    };
    let active_config: SharedConfig =
        Arc::new(Mutex::new(ActiveConfig { sources, startup, version, events: events.clone() }));
    let stop = handle_signals(active_config.clone(), events.clone()).map_err(|e| format!("signals: {e}"))?;
    let (listen, name) = (config.listen, config.name.clone());
    let recalled = exchange_setup.as_ref().map(ExchangeSetup::remembered);
    let homes = exchange_setup.as_ref().and_then(ExchangeSetup::homes);
    let served = Arc::new(ServedTotals::default());
    let mut driver = Driver {
        reducer: Reducer::new(config, clock::now()),
        handles: FxHashMap::default(),
        acceptor: None,
        stop_requested: stop,
        queue: EventQueue::default(),
        events,
        effects: Vec::new(),
        read_conn: None,
        version_applied: None,
        served: stored.is_some().then(|| served.clone()),
        learned: None,
        learned_sent_at: 0,
    };
    if let Some((fills, purges)) = recalled {
        driver.reducer.input(clock::now(), Input::Recall(fills, purges));
    }
    if let Some((saved_at, lists)) = homes {
        driver.reducer.input(clock::now(), Input::Homes(saved_at, lists));
    }
    let acceptor = accept::listen(listen, driver.reducer.max_clients(), driver.events.clone())
        .map_err(|e| format!("key 'listen': {listen}: {e}"))?;
    tracing::info!("{name} listens on {}", acceptor.local);
    driver.acceptor = Some(acceptor);
    driver.reducer.input(clock::now(), Input::Listening);
    let controlled = ControlledFront { active_config, served };
    let version_worker = stored.map(|stored| stored.follow(name, controlled)).transpose()?;
    let exchange_worker = match exchange_setup {
        Some(exchange_setup) => {
            let events = driver.events.clone();
            let on_recall = move |fills, purges| drop(events.send(Event::Recall(fills, purges)));
            let (worker, learned) = exchange_setup.start(Box::new(on_recall))?;
            driver.learned = learned;
            Some(worker)
        }
        None => None,
    };
    driver.run(&received);
    version_worker.into_iter().chain(exchange_worker).for_each(Worker::stop);
    tracing::info!("exiting; peaks: {:?}", driver.reducer.peaks());
    Ok(())
}

/// The exchange with other fronts; none if all of it is disabled.
fn exchange_setup(config: &Config, settings: &Path) -> Result<Option<ExchangeSetup>, String> {
    let Settings { neighbours, recall, .. } = config.files.settings.clone();
    let platform = &config.platform.settings;
    let (name, seed, purge_done) = (&config.name, config.seed, platform.purge_propagation);
    let own = FrontInfo { name, seed, settings, offerings: &platform.offerings, purge_done };
    Ok(ExchangeSetup::read(neighbours, recall, &own)?)
}

/// Starts a thread that handles signals and reads files, so that neither delays the reducer. It waits on a
/// pipe: the crate's iterator would hold a pair of Unix sockets, and this process is to have none while it
/// serves.
fn handle_signals(active_config: SharedConfig, events: Sender<Event>) -> std::io::Result<Arc<AtomicBool>> {
    let (mut wake_reader, wake_writer) = std::io::pipe()?;
    let flag = || Arc::new(AtomicBool::new(false));
    let (stop, reload, drain, restore) = (flag(), flag(), flag(), flag());
    for (signal, flag) in [(SIGTERM, &stop), (SIGHUP, &reload), (SIGUSR1, &drain), (SIGUSR2, &restore)] {
        // In this order, so that the flag is set when the thread wakes up.
        signal_hook::flag::register(signal, flag.clone())?;
        signal_hook::low_level::pipe::register(signal, wake_writer.try_clone()?)?;
    }
    let span = tracing::Span::current();
    let stop_requested = stop.clone();
    std::thread::spawn(move || {
        let _entered = span.entered();
        loop {
            match wake_reader.read(&mut [0; 16]) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return tracing::error!("signals can't be received any more: {e}"),
                Ok(_) => {
                    if stop.swap(false, Ordering::SeqCst) {
                        let _ = events.send(Event::Stop);
                    }
                    for (flag, on) in [(&drain, true), (&restore, false)] {
                        if flag.swap(false, Ordering::SeqCst) {
                            let _ = events.send(Event::Drain(on));
                        }
                    }
                    // Last, because reading the files may take long, or never return.
                    if reload.swap(false, Ordering::SeqCst) {
                        clock::load_test_offset();
                        lock(&active_config).reload();
                    }
                }
            }
        }
    });
    Ok(stop_requested)
}

/// Events received but not handled yet.
#[derive(Default)]
struct EventQueue {
    /// Disconnects of clients, and aborts.
    disconnects: VecDeque<Event>,
    others: VecDeque<Event>,
}

impl EventQueue {
    /// How many events are searched for disconnects before others are handled.
    const LOOKAHEAD: usize = 4_096;

    /// A connection has at most one read event in the queue, since its buffer travels with it, so nothing on
    /// the same connection is overtaken. One that starts with an abort record goes ahead, too; if it is
    /// mistaken for one, it is merely early.
    fn push(&mut self, event: Event) {
        let is_disconnect = match &event {
            Event::Read { conn, ended, buffer, .. } if *conn >= accept::FIRST_ACCEPTED => {
                ended.is_some() || matches!(buffer.front(), [1, fastcgi::ABORT_REQUEST, ..])
            }
            _ => false,
        };
        if is_disconnect { self.disconnects.push_back(event) } else { self.others.push_back(event) }
    }

    fn pop(&mut self) -> Option<Event> {
        self.disconnects.pop_front().or_else(|| self.others.pop_front())
    }
}

/// Passes inputs to the reducer and carries out its effects.
struct Driver {
    reducer: Reducer,
    handles: FxHashMap<ConnId, ConnHandle>,
    acceptor: Option<Acceptor>,
    /// SIGTERM has arrived, while the signal thread may still be reading files.
    stop_requested: Arc<AtomicBool>,
    queue: EventQueue,
    events: Sender<Event>,
    /// Reused for the effects of each input.
    effects: Vec<Effect>,
    /// The connection whose data the reducer was handed last.
    read_conn: Option<ConnId>,
    /// Where to report that a version was applied.
    version_applied: Option<oneshot::Sender<()>>,
    /// Where to store the totals, if they are reported.
    served: Option<Arc<ServedTotals>>,
    /// Where to send observations, if they are stored, and when they were last sent.
    learned: Option<ObservationSender>,
    learned_sent_at: Ticks,
}

/// Observations are sent in batches of at most this many or after at most this long, so that the receiver is
/// not woken for each response. Snapshots are written a few times a second at most, so a crash loses less by
/// an unsent batch than by the time since the last snapshot.
const MAX_LEARNED_BATCH: usize = 256;
const LEARNED_INTERVAL: Ticks = 2_500;
const MICROSECONDS_PER_TICK: u64 = 100;

impl Driver {
    fn run(&mut self, received: &Receiver<Event>) {
        loop {
            if self.perform() {
                return self.send_learned();
            }
            let now = clock::now();
            let event = self.next(now, received);
            let input = event.map_or(Input::Tick, |event| self.input(event));
            let now = clock::now();
            self.reducer.set_wall(now, clock::unix());
            self.reducer.input(now, input);
            if let Some(acceptor) = &self.acceptor {
                acceptor.set_max_open(self.reducer.max_clients());
            }
            if let Some(applied) = self.version_applied.take() {
                let _ = applied.send(());
            }
            if let Some(served) = &self.served {
                served.store(self.reducer.served());
            }
            // An input arrives at least every quarter of a second.
            if self.reducer.learned_count() >= MAX_LEARNED_BATCH
                || now >= self.learned_sent_at + LEARNED_INTERVAL
            {
                self.learned_sent_at = now;
                self.send_learned();
            }
        }
    }

    /// The next event. Disconnects go first, however many others wait: no request is to be started for a
    /// client that has left.
    fn next(&mut self, now: Ticks, received: &Receiver<Event>) -> Option<Event> {
        let room = EventQueue::LOOKAHEAD.saturating_sub(self.queue.others.len());
        received.try_iter().take(room).for_each(|event| self.queue.push(event));
        if self.stop_requested.swap(false, Ordering::SeqCst) {
            return Some(Event::Stop);
        }
        if let Some(event) = self.queue.pop() {
            return Some(event);
        }
        let event = match self.reducer.next_tick() {
            Some(at) if at <= now => received.try_recv().map_err(|_| RecvTimeoutError::Timeout),
            Some(at) => received.recv_timeout(Duration::from_micros((at - now) * MICROSECONDS_PER_TICK)),
            None => received.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        event.ok()
    }

    fn send_learned(&mut self) {
        if let Some(receiver) = &self.learned {
            let learned = self.reducer.learned();
            if !learned.is_empty() {
                // Dropped if the receiver is behind: nothing here waits for it.
                let _ = receiver.try_send(learned);
            }
        }
    }

    fn input(&mut self, event: Event) -> Input {
        match event {
            Event::Accepted(conn, handle, waiting_since) => {
                self.handles.insert(conn, handle);
                Input::Accepted(conn, waiting_since)
            }
            Event::Connected(conn, Ok(handle)) => {
                self.handles.insert(conn, handle);
                Input::Connected(conn, ConnectResult::Connected)
            }
            Event::Connected(conn, Err(error)) => {
                tracing::debug!("connection {conn} failed: {error}");
                Input::Connected(
                    conn,
                    if conn::is_local_failure(&error) {
                        ConnectResult::LocalFailure
                    } else {
                        ConnectResult::Unreachable
                    },
                )
            }
            Event::Read { conn, buffer, ended, received_at } => {
                self.read_conn = Some(conn);
                Input::Read { conn, buffer, ended, received_at }
            }
            Event::Wrote { conn, buffer, failed } => Input::Wrote { conn, buffer, failed },
            Event::HalfClosed(conn) => Input::HalfClosed(conn),
            Event::Closed(conn) => {
                self.handles.remove(&conn);
                Input::Closed(conn)
            }
            Event::AcceptFailed => Input::AcceptFailed,
            Event::ListenerClosed => Input::ListenerClosed,
            Event::Stop => Input::Stop,
            Event::Drain(on) => Input::Drain(on),
            Event::Recall(fills, purges) => Input::Recall(fills, purges),
            Event::Reload(reloaded) => {
                doorgrade_log::set_level(reloaded.log);
                Input::Reload(reloaded)
            }
            Event::Version(reloaded, applied) => {
                self.version_applied = Some(applied);
                doorgrade_log::set_level(reloaded.log);
                Input::Reload(reloaded)
            }
        }
    }

    /// Carries out the effects; true if one of them is to exit.
    fn perform(&mut self) -> bool {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.reducer.effects());
        // Closes go first: a request whose client has left must not be started in the meantime.
        for effect in &effects {
            if let Effect::Close(conn) = effect {
                self.handles.remove(conn);
            }
        }
        if let Some(client) = self.read_conn.take().and_then(|conn| self.handles.get(&conn)) {
            client.data_delivered();
        }
        let exits = effects.drain(..).any(|effect| self.perform_one(effect));
        self.effects = effects;
        exits
    }

    fn perform_one(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Connect(conn, address, timeout) => {
                let timeout = Duration::from_micros(timeout * MICROSECONDS_PER_TICK);
                conn::connect(conn, address, timeout, self.events.clone());
            }
            Effect::Read(conn, buffer) => self.with_handle(conn, |handle| handle.read(buffer)),
            Effect::Write(conn, buffer) => self.with_handle(conn, |handle| handle.write(buffer)),
            Effect::StartRequest(conn, buffer, conditions) => {
                let guard = match self.handles.get(&conditions.client) {
                    Some(client) => client.send_guard(conditions),
                    None => SendGuard::client_closed(conditions),
                };
                self.with_handle(conn, |handle| handle.start_request(buffer, guard));
            }
            Effect::HalfClose(conn, discard) => self.with_handle(conn, |handle| handle.half_close(discard)),
            // Done above.
            Effect::Close(_) => {}
            Effect::StopListening => self.acceptor.iter().for_each(Acceptor::close),
            Effect::Exit => return true,
        }
        false
    }

    /// A connection that was closed in the meantime is skipped.
    fn with_handle(&self, conn: ConnId, action: impl FnOnce(&ConnHandle)) {
        if let Some(handle) = self.handles.get(&conn) {
            action(handle);
        }
    }
}
