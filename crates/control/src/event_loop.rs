//! The task that owns the state machine and the store. Events arrive in one bounded queue. Each connection has its own
//! bounded queue of outbound messages, and is closed when that is full.

use std::sync::Arc;
use std::time::Duration;

use doorgrade_store::ServiceStore;
use doorgrade_stream::clock::now;
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::service::{
    ConnectionId, Effect, LogEvent, Request, Response, Role, SavedRollout, SavedTrials, Service, Version,
};
use doorgrade_versions::{Ticks, VersionId};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// A command to the task of a front's connection.
#[derive(Debug)]
pub enum Command {
    Send(ToFront),
    Close,
}

/// The inputs of the event loop.
pub enum Event {
    /// A front has connected and sent its hello. Commands for its connection go to `outbound`.
    Connected {
        conn: ConnectionId,
        outbound: mpsc::Sender<Command>,
        hello: ToService,
    },
    Message {
        conn: ConnectionId,
        message: ToService,
    },
    Disconnected {
        conn: ConnectionId,
    },
    Request {
        role: Role,
        operator: Arc<str>,
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    /// Log events are to be sent to this operator's connection, too.
    Subscribe(mpsc::Sender<Arc<LogEvent>>),
    SetSealKeys(Vec<(u32, Vec<u8>)>),
    Stop,
}

/// Outbound messages that may wait for one connection: an offer, a content and some heartbeats. A front with more of
/// them is not reading.
pub const MAX_PENDING_MESSAGES: usize = 16;
/// Log events that may wait for one subscriber.
const MAX_PENDING_LOG_EVENTS: usize = 1_024;
const MAX_SUBSCRIBERS: usize = 64;

/// How often a failed write to the store is retried.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The service's state apart from its versions and trials, as it is stored.
struct ServiceState {
    epoch: u64,
    base: Option<u64>,
    rollout: Option<SavedRollout>,
}

/// The latest state that is not stored yet.
#[derive(Default)]
struct Unstored {
    state: Option<ServiceState>,
    trials: Option<SavedTrials>,
    /// Versions to delete once the rest is stored.
    deletions: Vec<VersionId>,
    /// Why the last write failed.
    error: Option<Box<str>>,
}

impl Unstored {
    fn is_pending(&self) -> bool {
        self.state.is_some() || self.trials.is_some()
    }
}

/// The state machine, its store, and the connections that its effects are sent to.
pub struct EventLoop {
    service: Service,
    store: ServiceStore,
    unstored: Unstored,
    connections: FxHashMap<ConnectionId, mpsc::Sender<Command>>,
    subscribers: Vec<mpsc::Sender<Arc<LogEvent>>>,
    timer: Option<Ticks>,
}

fn log(event: &LogEvent) {
    match event {
        LogEvent::WaveStarted { id, wave, of, fronts } => {
            tracing::info!(version = %id, "version {id}: wave {wave} of {of}, {fronts} fronts");
        }
        LogEvent::Stopped { id, reason } => {
            tracing::warn!(version = %id, "version {id}: the rollout was stopped: {reason}");
        }
        LogEvent::Everywhere(id) => tracing::info!(version = %id, "version {id}: runs on all fronts"),
        LogEvent::Rejected { front, id, reason } => {
            tracing::warn!(member = %front, version = %id, "version {id}: rejected by {front}: {reason}");
        }
        LogEvent::FalseClaim { front, id } => {
            tracing::error!(member = %front, version = %id, "{front} claims to run {id}, which it can't have");
        }
        LogEvent::NewEpoch { epoch, because } => {
            tracing::error!(
                epoch,
                "a front runs {because}, which is unknown here: this store is new or an older copy; starting epoch {epoch}"
            );
        }
        LogEvent::Superseded { by } => {
            tracing::error!(
                epoch = by,
                "a service with the later epoch {by} is active: this one offers nothing"
            );
        }
        LogEvent::StageStarted { stage, changes, fronts } => {
            tracing::info!("changes {changes:?}: on trial, {}, {fronts} fronts", stage.name());
        }
        LogEvent::ChangeRemoved { change, reason } => {
            tracing::warn!("change {change}: removed: {reason}")
        }
        LogEvent::InForce(id) => tracing::info!(version = %id, "version {id}: in force"),
        LogEvent::UnderObservation { changes } => {
            tracing::warn!(
                "the service level has fallen since changes {changes:?}: a group of fronts runs without each of them"
            );
        }
        LogEvent::ContinuedUnproven { change } => {
            tracing::warn!("change {change}: too few accesses for a decision; it continues unproven");
        }
    }
}

impl EventLoop {
    /// `effects`: those of the service's start.
    pub fn new(service: Service, store: ServiceStore, effects: Vec<Effect>) -> EventLoop {
        let (connections, subscribers) = Default::default();
        let mut event_loop = EventLoop {
            service,
            store,
            unstored: Unstored::default(),
            connections,
            subscribers,
            timer: None,
        };
        event_loop.perform(effects);
        event_loop
    }

    /// Runs until [`Event::Stop`], or until all senders of events are dropped.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut store_retry = tokio::time::interval(STORE_RETRY_INTERVAL);
        store_retry.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wait = self.timer.map(|deadline| Duration::from_micros(deadline.saturating_sub(now()) * 100));
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Stop) | None => return,
                    Some(event) => self.handle(event),
                },
                _ = store_retry.tick(), if self.unstored.is_pending() => self.store_pending(),
                () = sleep(wait.unwrap_or(Duration::from_secs(3_600))) => {
                    if self.timer.is_some_and(|deadline| now() >= deadline) {
                        self.timer = None;
                        let mut effects = Vec::new();
                        self.service.on_timer(now(), &mut effects);
                        self.perform(effects);
                    }
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        match event {
            Event::Connected { conn, outbound, hello } => {
                self.connections.insert(conn, outbound);
                self.service.on_message(now(), conn, hello, &mut effects);
            }
            Event::Message { conn, message } => {
                if self.connections.contains_key(&conn) {
                    self.service.on_message(now(), conn, message, &mut effects);
                }
            }
            Event::Disconnected { conn } => {
                self.connections.remove(&conn);
                self.service.on_disconnected(now(), conn, &mut effects);
            }
            Event::Request { role, operator, request, reply } => {
                let response = self.handle_request(role, &operator, request);
                // The operator may have disconnected; the request was carried out anyway.
                let _ = reply.send(response);
            }
            Event::Subscribe(subscriber) => {
                self.subscribers.retain(|s| !s.is_closed());
                if self.subscribers.len() < MAX_SUBSCRIBERS {
                    self.subscribers.push(subscriber);
                }
            }
            Event::SetSealKeys(keys) => match self.service.set_keys(keys) {
                Ok(()) => tracing::info!("seal keys reloaded"),
                Err(error) => tracing::error!(
                    "the new seal keys are rejected, and the previous ones stay in use: {error}"
                ),
            },
            Event::Stop => {}
        }
        self.perform(effects);
    }

    fn handle_request(&mut self, role: Role, operator: &str, request: Request) -> Response {
        let action = match &request {
            Request::Publish { .. } => "publish",
            Request::RollBack { .. } => "roll back",
            Request::Stop { .. } => "stop",
            Request::TakeOver => "take over",
            _ => "",
        };
        let mut effects = Vec::new();
        let check = |content: &[u8]| doorgrade_operator::Version::read_checked("version", content).map(drop);
        let mut response = self.service.handle_request(now(), role, request, check, &mut effects);
        match &response {
            Response::Published(id) => {
                // A version that can't be stored is withdrawn before any front is offered it.
                let stored = effects.iter().try_for_each(|effect| match effect {
                    Effect::Store(version) => self.put_version(version),
                    Effect::StoreState { epoch, base, rollout } => self.put_state(*epoch, *base, rollout),
                    Effect::StoreTrials(trials) => self.put_trials(trials),
                    _ => Ok(()),
                });
                if let Err(reason) = stored {
                    self.service.withdraw(*id);
                    (response, effects) = (Response::NotStored(reason), Vec::new());
                }
                let is_store = |effect: &Effect| {
                    matches!(effect, Effect::Store(_) | Effect::StoreState { .. } | Effect::StoreTrials(_))
                };
                effects.retain(|effect| !is_store(effect));
                self.perform(effects);
            }
            Response::Done => {
                self.perform(effects);
                // The request was carried out, but a crash before the next successful write would undo it.
                if let Some(reason) = self.unstored.error.clone() {
                    response = Response::NotStored(reason);
                }
            }
            _ => self.perform(effects),
        }
        if !action.is_empty() {
            match &response {
                Response::Published(id) => {
                    tracing::info!(version = %id, "{operator}: {action}: version {id}")
                }
                Response::Done => tracing::info!("{operator}: {action}"),
                _ => tracing::info!("{operator}: {action}: refused"),
            }
        }
        response
    }

    fn put_version(&self, version: &Version) -> Result<(), Box<str>> {
        tokio::task::block_in_place(|| self.store.put_version(version)).map_err(|error| {
            tracing::error!(version = %version.id, "version {}: {error}", version.id);
            error.to_string().into()
        })
    }

    /// Stores the state. On success, an earlier state that was still unstored is dropped, since this one replaces it.
    fn put_state(
        &mut self,
        epoch: u64,
        base: Option<u64>,
        rollout: &Option<SavedRollout>,
    ) -> Result<(), Box<str>> {
        let result = tokio::task::block_in_place(|| self.store.put_state(epoch, base, rollout));
        let result = result.map_err(|error| {
            tracing::error!(epoch, "the state of the rollout could not be stored: {error}");
            error.to_string().into()
        });
        self.unstored.state = self.unstored.state.take().filter(|_| result.is_err());
        result
    }

    fn put_trials(&mut self, trials: &SavedTrials) -> Result<(), Box<str>> {
        let result = tokio::task::block_in_place(|| self.store.put_trials(trials)).map_err(|error| {
            tracing::error!("the state of the trials could not be stored: {error}");
            error.to_string().into()
        });
        self.unstored.trials = self.unstored.trials.take().filter(|_| result.is_err());
        result
    }

    /// Tries to store what is not stored yet. An error is logged when it differs from the previous one.
    fn store_pending(&mut self) {
        let previous_error = self.unstored.error.take();
        let (store, unstored) = (&self.store, &self.unstored);
        let stored = tokio::task::block_in_place(|| {
            unstored.state.iter().try_for_each(|s| store.put_state(s.epoch, s.base, &s.rollout))?;
            unstored.trials.iter().try_for_each(|trials| store.put_trials(trials))
        });
        match stored {
            Ok(()) => {
                std::mem::take(&mut self.unstored).deletions.iter().for_each(|id| self.delete_version(id));
                if previous_error.is_some() {
                    tracing::info!("the state of the rollouts is stored now");
                }
            }
            Err(error) => {
                let error: Box<str> = error.to_string().into();
                if previous_error.as_ref() != Some(&error) {
                    tracing::error!("the state of the rollouts could not be stored: {error}");
                }
                self.unstored.error = Some(error);
            }
        }
    }

    fn delete_version(&self, id: &VersionId) {
        if let Err(error) = tokio::task::block_in_place(|| self.store.delete_version(id)) {
            tracing::warn!(version = %id, "the unused version {id} could not be deleted: {error}");
        }
    }

    /// Performs effects in their order, except that deletions come last.
    fn perform(&mut self, effects: Vec<Effect>) {
        let (mut slow, mut deletions) = (Vec::new(), Vec::new());
        for effect in effects {
            match effect {
                Effect::Send(conn, message) => {
                    let Some(outbound) = self.connections.get(&conn) else { continue };
                    if outbound.try_send(Command::Send(message)).is_err() {
                        slow.push(conn);
                    }
                }
                Effect::Close(conn) => {
                    if let Some(outbound) = self.connections.remove(&conn) {
                        // If the queue is full, the connection's task ends when the sender is dropped.
                        let _ = outbound.try_send(Command::Close);
                    }
                }
                // The history, renumbered for a new epoch. None of it is offered before it is published again, so a
                // failed write is only logged.
                Effect::Store(version) => drop(self.put_version(&version)),
                Effect::StoreState { epoch, base, rollout } => {
                    self.unstored.state = Some(ServiceState { epoch, base, rollout });
                    self.store_pending();
                }
                Effect::SetTimer(at) => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
                Effect::Log(event) => self.publish_log_event(event),
                Effect::StoreTrials(trials) => {
                    self.unstored.trials = Some(trials);
                    self.store_pending();
                }
                // Deleted last: the stored trials may refer to the version until they are replaced.
                Effect::Delete(id) => deletions.push(id),
            }
        }
        if self.unstored.is_pending() {
            self.unstored.deletions.append(&mut deletions);
        } else {
            deletions.iter().for_each(|id| self.delete_version(id));
        }
        for conn in slow {
            if self.connections.remove(&conn).is_some() {
                tracing::warn!("closing a front's connection: its queue of outbound messages is full");
                let mut effects = Vec::new();
                self.service.on_disconnected(now(), conn, &mut effects);
                self.perform(effects);
            }
        }
    }

    fn publish_log_event(&mut self, event: LogEvent) {
        log(&event);
        let event = Arc::new(event);
        // A subscriber whose queue is full misses events, but can still request the status.
        self.subscribers
            .retain(|s| !matches!(s.try_send(event.clone()), Err(mpsc::error::TrySendError::Closed(_))));
    }
}

/// The queue of log events for a subscriber.
pub fn log_channel() -> (mpsc::Sender<Arc<LogEvent>>, mpsc::Receiver<Arc<LogEvent>>) {
    mpsc::channel(MAX_PENDING_LOG_EVENTS)
}
