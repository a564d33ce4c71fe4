//! What an instance exchanges with other fronts: membership, and what is recalled from them. Off unless the operators'
//! settings have it on; nothing of this is started then.
//!
//! [`Exchange`] carries datagrams and the time to the decisions of `doorgrade_members`, and what is remembered between
//! the instance, its store and its neighbours ([`Remember`]); it decides nothing. Whoever holds the operators' keys may
//! ask how it stands ([`status`]), which is what `doorgrade neighbours` does.

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
use tokio::sync::mpsc as queue;

use crate::clock;
use crate::memory::{self, Remember};
use crate::seal_keys::{SealKeys, read_keys};
use crate::worker::Worker;
use crate::{Learned, SetupError};

pub use exchange::Exchange;
pub use message::{MemberState, Row, Standing, Status};
pub use status::status;

/// The longest datagram that may come; what is longer is none of ours.
const MOST_DATAGRAM: usize = 1_500;
/// Batches of what was seen that may wait to be remembered: some tenths of a second at a busy front.
const MOST_BATCHES: usize = 1_024;

/// What an instance is told of itself.
pub struct Own<'a> {
    /// Its name among fronts.
    pub name: &'a str,
    /// Of all chance.
    pub seed: u64,
    /// The operators' file, beside which others are looked for.
    pub settings: &'a Path,
    /// The offerings that it serves, and how long a purge takes to be done, for what may be recalled.
    pub offerings: &'a [Offering],
    pub purge_done: Ticks,
}

/// Hears what was recalled from neighbours and still holds.
pub type Recalled = Box<dyn FnMut(Vec<Fill>, Vec<Purge>) + Send>;

/// Takes what the instance sees from now on, in batches.
pub type Learning = queue::Sender<Vec<Learned>>;

/// All of it, read and checked, and nothing started yet.
pub struct Neighbourhood {
    membership: Option<Membership>,
    remember: Option<Remember>,
}

/// The settings of membership, with the keys read.
struct Membership {
    own: Neighbours,
    name: String,
    seed: u64,
    seal_keys: PathBuf,
    secrets: SealKeys,
}

fn fault(what: impl std::fmt::Display) -> SetupError {
    SetupError::Settings { block: "neighbours", what: what.to_string() }
}

impl Membership {
    /// Reads the keys; an instance that could not speak to its neighbours does not start as if it had none.
    fn read(settings: Neighbours, own: &Own<'_>) -> Result<Membership, SetupError> {
        let seal_keys = files::beside(own.settings, &settings.seal_keys);
        let secrets = read_keys(&seal_keys).map_err(fault)?;
        if own.name.len() > doorgrade_members::MAX_NAME_BYTES {
            let (has, most) = (own.name.len(), doorgrade_members::MAX_NAME_BYTES);
            return Err(fault(format_args!("the front's name has {has} bytes: expected {most} at most")));
        }
        Ok(Membership { own: settings, name: own.name.into(), seed: own.seed, seal_keys, secrets })
    }

    /// Binds the socket; none where the address is in use, as by an instance before this one that is on its way out.
    fn bind(&self) -> Result<Option<UdpSocket>, SetupError> {
        let listen = self.own.listen;
        let bound = UdpSocket::bind(listen).and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        match bound {
            Ok(socket) => {
                tracing::info!("neighbours: reached at {}", self.own.address);
                Ok(Some(socket))
            }
            Err(e) if e.kind() == ErrorKind::AddrInUse => Ok(None),
            Err(e) => Err(fault(format_args!("key 'listen': {listen}: {e}"))),
        }
    }
}

impl Neighbourhood {
    /// None where all of it is off.
    pub fn read(
        neighbours: Option<Neighbours>,
        recall: Option<Recall>,
        own: &Own<'_>,
    ) -> Result<Option<Neighbourhood>, SetupError> {
        let membership = neighbours.map(|settings| Membership::read(settings, own)).transpose()?;
        let remember = recall.map(|recall| {
            let rules = memory::rules(own.offerings, own.purge_done, recall.most);
            Remember::open(recall, own.settings, own.name, rules)
        });
        let any = membership.is_some() || remember.is_some();
        Ok(any.then_some(Neighbourhood { membership, remember }))
    }

    /// What it remembers from before, for the instance to hear before it serves.
    pub fn known(&self) -> (Vec<Fill>, Vec<Purge>) {
        self.remember.as_ref().map(Remember::found).unwrap_or_default()
    }

    /// Homes of objects as they were before, and when that was written.
    pub fn homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        self.remember.as_ref().and_then(Remember::homes)
    }

    /// Binds the socket. What is recalled goes to `recalled`; what the instance sees from now on is taken at the sender
    /// that comes back, if anything is remembered.
    pub fn bind(mut self, recalled: Recalled) -> Result<(Exchange, Option<Learning>), SetupError> {
        let now = clock::now();
        let before = self.remember.as_ref().map_or(0, |r| r.last_incarnation.saturating_add(1));
        let incarnation = (now / 10).max(before);
        let socket = self.membership.as_ref().map(Membership::bind).transpose()?.flatten();
        let waits = self.membership.is_some() && socket.is_none();
        let (learned, to_remember) = queue::channel(MOST_BATCHES);
        let learned = self.remember.is_some().then_some(learned);
        if self.membership.is_some() {
            self.remember.iter_mut().for_each(|r| r.ask(now));
        }
        if waits {
            tracing::warn!("neighbours: the address to listen on is in use: waits for it");
        }
        let Neighbourhood { membership, remember } = self;
        Ok((Exchange { membership, socket, remember, to_remember, recalled, incarnation, now }, learned))
    }

    /// Binds the socket and starts the thread.
    pub fn start(self, recalled: Recalled) -> Result<(Worker, Option<Learning>), SetupError> {
        let (exchange, learned) = self.bind(recalled)?;
        let worker = Worker::start("neighbours", move |stopped| exchange.run(stopped))?;
        Ok((worker, learned))
    }
}
