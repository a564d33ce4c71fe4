//! The one task that owns the machine and its store. What it is told comes through one bounded queue; what it says goes to
//! each connection through a queue of its own, and whoever does not take what is said is cut off.

use std::sync::Arc;
use std::time::Duration;

use doorgrade_store::ServiceStore;
use doorgrade_stream::clock::now;
use doorgrade_versions::VersionId;
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::service::{
    ConnectionId, Effect, LogEvent, Request, Response, Role, SavedRollout, SavedTrials, Service, Version,
};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// What a connection's task is told.
#[derive(Debug)]
pub enum Say {
    Message(ToFront),
    Close,
}

pub enum Event {
    /// A connection whose first word has come, and where to answer.
    Came {
        conn: ConnectionId,
        to: mpsc::Sender<Say>,
        hello: ToService,
    },
    Said {
        conn: ConnectionId,
        message: ToService,
    },
    Gone {
        conn: ConnectionId,
    },
    Asked {
        role: Role,
        who: Arc<str>,
        ask: Request,
        answer: oneshot::Sender<Response>,
    },
    /// What the service tells goes there, too.
    Watch(mpsc::Sender<Arc<LogEvent>>),
    Keys(Vec<(u32, Vec<u8>)>),
    Stop,
}

/// Words that wait for one connection: an offer, a content and some signs of life. More, and it reads nothing.
pub const MOST_WAITING: usize = 16;
/// Lines that wait for one who watches.
const MOST_LINES: usize = 1_024;
const MOST_WATCHERS: usize = 64;

/// How often what the store did not take is tried again.
const STORE_EACH: Duration = Duration::from_millis(500);

/// How far a publication is.
struct State {
    epoch: u64,
    base: Option<u64>,
    rollout: Option<SavedRollout>,
}

/// What the store did not take yet, the latest of each.
#[derive(Default)]
struct Owed {
    state: Option<State>,
    trials: Option<SavedTrials>,
    /// Not needed any more once the rest is stored.
    spare: Vec<VersionId>,
    /// Why it was not taken.
    why: Option<Box<str>>,
}

impl Owed {
    fn any(&self) -> bool {
        self.state.is_some() || self.trials.is_some()
    }
}

pub struct Core {
    service: Service,
    store: ServiceStore,
    owed: Owed,
    conns: FxHashMap<ConnectionId, mpsc::Sender<Say>>,
    watchers: Vec<mpsc::Sender<Arc<LogEvent>>>,
    wake: Option<u64>,
}

fn told(line: &LogEvent) {
    match line {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            tracing::info!(version = %id, "version {id}: wave {wave} of {of}, {fronts} fronts");
        }
        LogEvent::Stopped { id, reason: why } => {
            tracing::warn!(version = %id, "version {id}: the publication stops: {why}");
        }
        LogEvent::Everywhere(id) => tracing::info!(version = %id, "version {id}: is everyone's now"),
        LogEvent::Rejected { front, id, reason: why } => {
            tracing::warn!(member = %front, version = %id, "version {id}: turned down by {front}: {why}");
        }
        LogEvent::FalseClaim { front, id } => {
            tracing::error!(member = %front, version = %id, "{front} says that it runs {id}, which can't be");
        }
        LogEvent::NewEpoch { epoch, because } => {
            tracing::error!(
                epoch,
                "{because} is run, and not known here: this store is new or an older copy; epoch {epoch} is opened"
            );
        }
        LogEvent::Superseded { by } => {
            tracing::error!(
                epoch = by,
                "a service of epoch {by} is about, later than this one: nothing is offered"
            );
        }
        LogEvent::StageStarted { stage, changes, fronts } => {
            tracing::info!("changes {changes:?}: on trial, {}, {fronts} fronts", stage.name());
        }
        LogEvent::ChangeRemoved { change, reason: why } => {
            tracing::warn!("change {change}: taken out: {why}")
        }
        LogEvent::InForce(id) => tracing::info!(version = %id, "version {id}: in force"),
        LogEvent::UnderObservation { changes } => {
            tracing::warn!("service has fallen since changes {changes:?} came: each is tried without");
        }
        LogEvent::ContinuedUnproven { change } => {
            tracing::warn!("change {change}: too few accesses to tell; it goes on unproven");
        }
    }
}

impl Core {
    pub fn new(service: Service, store: ServiceStore, first: Vec<Effect>) -> Core {
        let (conns, watchers) = Default::default();
        let mut core = Core { service, store, owed: Owed::default(), conns, watchers, wake: None };
        core.perform(first);
        core
    }

    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut store = tokio::time::interval(STORE_EACH);
        store.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wait = self.wake.map(|at| Duration::from_micros(at.saturating_sub(now()) * 100));
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Stop) | None => return,
                    Some(event) => self.take(event),
                },
                _ = store.tick(), if self.owed.any() => self.store_owed(),
                () = sleep(wait.unwrap_or(Duration::from_secs(3_600))) => {
                    if self.wake.is_some_and(|at| now() >= at) {
                        self.wake = None;
                        let mut out = Vec::new();
                        self.service.on_timer(now(), &mut out);
                        self.perform(out);
                    }
                }
            }
        }
    }

    fn take(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Came { conn, to, hello } => {
                self.conns.insert(conn, to);
                self.service.on_message(now(), conn, hello, &mut out);
            }
            Event::Said { conn, message } => {
                if self.conns.contains_key(&conn) {
                    self.service.on_message(now(), conn, message, &mut out);
                }
            }
            Event::Gone { conn } => {
                self.conns.remove(&conn);
                self.service.on_disconnected(now(), conn, &mut out);
            }
            Event::Asked { role, who, ask, answer } => {
                let came = self.ask(role, &who, ask);
                // Whoever asked may be gone; what was done is done.
                let _ = answer.send(came);
            }
            Event::Watch(to) => {
                self.watchers.retain(|w| !w.is_closed());
                if self.watchers.len() < MOST_WATCHERS {
                    self.watchers.push(to);
                }
            }
            Event::Keys(keys) => match self.service.set_keys(keys) {
                Ok(()) => tracing::info!("the keys that seal were read anew"),
                Err(error) => tracing::error!("the keys that seal stay as they are: {error}"),
            },
            Event::Stop => {}
        }
        self.perform(out);
    }

    fn ask(&mut self, role: Role, who: &str, ask: Request) -> Response {
        let what = match &ask {
            Request::Publish { .. } => "publish",
            Request::RollBack { .. } => "roll back",
            Request::Stop { .. } => "stop",
            Request::TakeOver => "take over",
            _ => "",
        };
        let mut out = Vec::new();
        let sound = |content: &[u8]| doorgrade_operator::Version::read_checked("version", content).map(drop);
        let mut answer = self.service.handle_request(now(), role, ask, sound, &mut out);
        match &answer {
            Response::Published(id) => {
                // What can't be stored is offered to nobody, and was never published.
                let stored = out.iter().try_for_each(|each| match each {
                    Effect::Store(version) => self.put(version),
                    Effect::StoreState { epoch, base, rollout } => self.put_state(*epoch, *base, rollout),
                    Effect::StoreTrials(trials) => self.put_trials(trials),
                    _ => Ok(()),
                });
                if let Err(why) = stored {
                    self.service.withdraw(*id);
                    (answer, out) = (Response::NotStored(why), Vec::new());
                }
                let stores = |each: &Effect| {
                    matches!(each, Effect::Store(_) | Effect::StoreState { .. } | Effect::StoreTrials(_))
                };
                out.retain(|each| !stores(each));
                self.perform(out);
            }
            Response::Done => {
                self.perform(out);
                // It is done, and owed to the store; a death before then would undo it.
                if let Some(why) = self.owed.why.clone() {
                    answer = Response::NotStored(why);
                }
            }
            _ => self.perform(out),
        }
        if !what.is_empty() {
            match &answer {
                Response::Published(id) => tracing::info!(version = %id, "{who}: {what}: version {id}"),
                Response::Done => tracing::info!("{who}: {what}"),
                _ => tracing::info!("{who}: {what}: refused"),
            }
        }
        answer
    }

    fn put(&self, version: &Version) -> Result<(), Box<str>> {
        tokio::task::block_in_place(|| self.store.put(version)).map_err(|trouble| {
            tracing::error!(version = %version.id, "version {}: {trouble}", version.id);
            trouble.to_string().into()
        })
    }

    /// With what was owed of it before.
    fn put_state(
        &mut self,
        epoch: u64,
        base: Option<u64>,
        rollout: &Option<SavedRollout>,
    ) -> Result<(), Box<str>> {
        let put = tokio::task::block_in_place(|| self.store.put_state(epoch, base, rollout));
        let put = put.map_err(|trouble| {
            tracing::error!(epoch, "how far a publication is was not stored: {trouble}");
            trouble.to_string().into()
        });
        self.owed.state = self.owed.state.take().filter(|_| put.is_err());
        put
    }

    fn put_trials(&mut self, trials: &SavedTrials) -> Result<(), Box<str>> {
        let put = tokio::task::block_in_place(|| self.store.put_trials(trials)).map_err(|trouble| {
            tracing::error!("how far trials are was not stored: {trouble}");
            trouble.to_string().into()
        });
        self.owed.trials = self.owed.trials.take().filter(|_| put.is_err());
        put
    }

    /// Stores what is owed, the latest of each.
    fn store_owed(&mut self) {
        let before = self.owed.why.take();
        let (store, owed) = (&self.store, &self.owed);
        let stored = tokio::task::block_in_place(|| {
            owed.state.iter().try_for_each(|s| store.put_state(s.epoch, s.base, &s.rollout))?;
            owed.trials.iter().try_for_each(|trials| store.put_trials(trials))
        });
        match stored {
            Ok(()) => {
                std::mem::take(&mut self.owed).spare.iter().for_each(|id| self.forget(id));
                if before.is_some() {
                    tracing::info!("how far publications are is stored now");
                }
            }
            Err(trouble) => {
                let why: Box<str> = trouble.to_string().into();
                if before.as_ref() != Some(&why) {
                    tracing::error!("how far publications are was not stored: {why}");
                }
                self.owed.why = Some(why);
            }
        }
    }

    fn forget(&self, id: &VersionId) {
        if let Err(trouble) = tokio::task::block_in_place(|| self.store.forget(id)) {
            tracing::warn!(version = %id, "version {id} is not needed any more, and stays stored: {trouble}");
        }
    }

    /// Does what the machine asks for, in its order.
    fn perform(&mut self, out: Vec<Effect>) {
        let (mut slow, mut spare) = (Vec::new(), Vec::new());
        for each in out {
            match each {
                Effect::Send(conn, message) => {
                    let Some(to) = self.conns.get(&conn) else { continue };
                    if to.try_send(Say::Message(message)).is_err() {
                        slow.push(conn);
                    }
                }
                Effect::Close(conn) => {
                    if let Some(to) = self.conns.remove(&conn) {
                        // If there is no room for it, its end is seen when the queue is dropped.
                        let _ = to.try_send(Say::Close);
                    }
                }
                // The history under the numbers of a new epoch: nothing of it is offered before it is published anew.
                Effect::Store(version) => drop(self.put(&version)),
                Effect::StoreState { epoch, base, rollout } => {
                    self.owed.state = Some(State { epoch, base, rollout });
                    self.store_owed();
                }
                Effect::SetTimer(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                Effect::Log(line) => self.tell(line),
                Effect::StoreTrials(trials) => {
                    self.owed.trials = Some(trials);
                    self.store_owed();
                }
                // Last: what is stored of trials may need it until it is replaced.
                Effect::Delete(id) => spare.push(id),
            }
        }
        if self.owed.any() {
            self.owed.spare.append(&mut spare);
        } else {
            spare.iter().for_each(|id| self.forget(id));
        }
        for conn in slow {
            if self.conns.remove(&conn).is_some() {
                tracing::warn!("a front takes nothing of what it is told: cut off");
                let mut out = Vec::new();
                self.service.on_disconnected(now(), conn, &mut out);
                self.perform(out);
            }
        }
    }

    fn tell(&mut self, line: LogEvent) {
        told(&line);
        let line = Arc::new(line);
        // Whoever is too slow to be told misses lines, and sees it by the status.
        self.watchers
            .retain(|w| !matches!(w.try_send(line.clone()), Err(mpsc::error::TrySendError::Closed(_))));
    }
}

/// A queue for lines.
pub fn lines() -> (mpsc::Sender<Arc<LogEvent>>, mpsc::Receiver<Arc<LogEvent>>) {
    mpsc::channel(MOST_LINES)
}
