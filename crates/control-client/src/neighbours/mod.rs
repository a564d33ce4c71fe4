//! The exchange of an instance with other fronts: membership, and recall (remembered entries fetched from them). Off
//! unless the operators' settings enable it; nothing of this is started then.
//!
//! [`Exchange`] drives the state machine of `doorgrade_members` and passes what is remembered between the instance,
//! its store and its neighbours ([`PersistentMemory`]); it takes no decisions itself. A client with the operators' keys
//! can request its [`status()`], as `doorgrade neighbours` does.

mod exchange;
mod message;
mod socket;
mod status;

use std::io::ErrorKind;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};

use doorgrade::{Offering, Ticks};
use doorgrade_hierarchy::homes::SavedList;
use doorgrade_operator::files;
use doorgrade_operator::neighbours::{Neighbours, Recall};
use doorgrade_recall::{Fill, Purge};
use tokio::sync::mpsc;

use crate::clock;
use crate::memory::{self, PersistentMemory};
use crate::seal_keys::{SealKeys, read_keys};
use crate::worker::Worker;
use crate::{Observation, SetupError};

pub use exchange::Exchange;
pub use message::{Connectivity, MemberState, NeighbourStatus, Status};
pub use status::status;

/// Longer datagrams are rejected.
const MAX_DATAGRAM_BYTES: usize = 1_500;
/// Batches of observations that may be queued: some tenths of a second at a busy front.
const MAX_QUEUED_BATCHES: usize = 1_024;

/// The front on whose behalf the exchange runs.
pub struct FrontInfo<'a> {
    /// Its name among fronts.
    pub name: &'a str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The path of the operators' settings, which paths in them are relative to.
    pub settings: &'a Path,
    /// The offerings that it serves, and the time in which a purge is done: they limit what may be recalled.
    pub offerings: &'a [Offering],
    pub purge_done: Ticks,
}

/// Called with what was recalled from neighbours and is still valid.
pub type RecallHandler = Box<dyn FnMut(Vec<Fill>, Vec<Purge>) + Send>;

/// Takes the instance's observations, in batches.
pub type ObservationSender = mpsc::Sender<Vec<Observation>>;

/// The exchange with its settings and stores read and checked, and nothing started yet.
pub struct ExchangeSetup {
    membership: Option<Membership>,
    memory: Option<PersistentMemory>,
}

/// The settings of membership, with the keys read.
struct Membership {
    settings: Neighbours,
    name: String,
    seed: u64,
    seal_keys: PathBuf,
    secrets: SealKeys,
}

fn setup_error(message: impl std::fmt::Display) -> SetupError {
    SetupError::Settings { block: "neighbours", message: message.to_string() }
}

impl Membership {
    /// Reads the keys. An error prevents the start: without keys the instance would run as if it had no neighbours.
    fn read(settings: Neighbours, front: &FrontInfo<'_>) -> Result<Membership, SetupError> {
        let seal_keys = files::resolve(front.settings, &settings.seal_keys);
        let secrets = read_keys(&seal_keys).map_err(setup_error)?;
        if front.name.len() > doorgrade_members::MAX_NAME_BYTES {
            let (length, max) = (front.name.len(), doorgrade_members::MAX_NAME_BYTES);
            return Err(setup_error(format_args!(
                "the front's name has {length} bytes: expected at most {max}"
            )));
        }
        Ok(Membership { settings, name: front.name.into(), seed: front.seed, seal_keys, secrets })
    }

    /// Binds the socket; None if the address is in use, as by a previous instance that is still stopping.
    fn bind(&self) -> Result<Option<UdpSocket>, SetupError> {
        let listen = self.settings.listen;
        let bound = UdpSocket::bind(listen).and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        match bound {
            Ok(socket) => {
                tracing::info!("neighbours: reachable at {}", self.settings.address);
                Ok(Some(socket))
            }
            Err(e) if e.kind() == ErrorKind::AddrInUse => Ok(None),
            Err(e) => Err(setup_error(format_args!("key 'listen': {listen}: {e}"))),
        }
    }
}

impl ExchangeSetup {
    /// Reads keys and stores; None where both membership and recall are off.
    pub fn read(
        neighbours: Option<Neighbours>,
        recall: Option<Recall>,
        front: &FrontInfo<'_>,
    ) -> Result<Option<ExchangeSetup>, SetupError> {
        let membership = neighbours.map(|settings| Membership::read(settings, front)).transpose()?;
        let memory = recall.map(|recall| {
            let rules = memory::rules(front.offerings, front.purge_done, recall.max_parts);
            PersistentMemory::open(recall, front.settings, front.name, rules)
        });
        let any = membership.is_some() || memory.is_some();
        Ok(any.then_some(ExchangeSetup { membership, memory }))
    }

    /// The entries from the snapshot of an earlier run that are still valid, for the instance to take over before it
    /// serves.
    pub fn remembered(&self) -> (Vec<Fill>, Vec<Purge>) {
        self.memory.as_ref().map(PersistentMemory::loaded).unwrap_or_default()
    }

    /// The homes of objects as an earlier run saved them, and when it did.
    pub fn homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        self.memory.as_ref().and_then(PersistentMemory::homes)
    }

    /// Binds the socket. What is recalled is passed to `on_recalled`. The returned sender takes the instance's
    /// observations; there is none where nothing is remembered.
    pub fn bind(
        mut self,
        on_recalled: RecallHandler,
    ) -> Result<(Exchange, Option<ObservationSender>), SetupError> {
        let now = clock::now();
        let min_incarnation = self.memory.as_ref().map_or(0, |m| m.last_incarnation.saturating_add(1));
        let incarnation = (now / 10).max(min_incarnation);
        let socket = self.membership.as_ref().map(Membership::bind).transpose()?.flatten();
        let address_in_use = self.membership.is_some() && socket.is_none();
        let (sender, observations) = mpsc::channel(MAX_QUEUED_BATCHES);
        let sender = self.memory.is_some().then_some(sender);
        if self.membership.is_some() {
            self.memory.iter_mut().for_each(|m| m.start_fetch(now));
        }
        if address_in_use {
            tracing::warn!("neighbours: the address to listen on is in use; retrying until it is free");
        }
        let ExchangeSetup { membership, memory } = self;
        Ok((Exchange { membership, socket, memory, observations, on_recalled, incarnation, now }, sender))
    }

    /// Binds the socket and runs the exchange on a separate thread.
    pub fn start(
        self,
        on_recalled: RecallHandler,
    ) -> Result<(Worker, Option<ObservationSender>), SetupError> {
        let (exchange, sender) = self.bind(on_recalled)?;
        let worker = Worker::start("neighbours", move |stop_signal| exchange.run(stop_signal))?;
        Ok((worker, sender))
    }
}
