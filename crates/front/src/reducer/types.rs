//! What the reducer is told, keeps, and asks for.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doorgrade::{AccessId, Offering, Ticks};
use doorgrade_control_client::Observation as Learned;
use doorgrade_hierarchy::homes::SavedList;
use doorgrade_recall::{Fill, Purge};
use rustc_hash::FxHashMap;

use super::clients::Client;
use super::places::Want;
use super::sent::Sent;
use super::tiers::Tiers;
use crate::bounds::Bounds;
use crate::clock::Timers;
use crate::config::Renewal;
use crate::conn::{Awaits, ConnId};
use crate::feed::Names;
use crate::follow::Feed;
use crate::intake::Request;
use crate::phase::Phase;
use crate::push::{Got, Line, Place, Pools};
use crate::reasons::{Counts, Cut};
use crate::ring::Ring;
use crate::stamps::Stamps;

/// What came of a connection that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    Up,
    Refused,
    /// Nobody was asked: this machine has no descriptor or no address left.
    NoMeans,
}

/// One thing that has happened.
pub enum Input {
    Listening,
    Accepted(ConnId),
    Connected(ConnId, Made),
    Read {
        conn: ConnId,
        ring: Ring,
        ended: Option<Cut>,
        at: Ticks,
    },
    Wrote {
        conn: ConnId,
        ring: Ring,
        failed: Option<Cut>,
    },
    /// The end of writing was sent to a client.
    HalfClosed(ConnId),
    Closed(ConnId),
    /// Clients' connections can't be accepted for want of descriptors or memory.
    NoMeans,
    /// No client's connection comes any more.
    ListenerClosed,
    /// Time has passed.
    Tick,
    Stop,
    /// Clients are told to go elsewhere, or not any more; all that they ask is still taken.
    Drain(bool),
    Reload(Box<Renewal>),
    /// What was known before the start, or is known to neighbours, and holds.
    Recall(Vec<Fill>, Vec<Purge>),
    /// Homes of objects as they were before the start, and when that was written.
    Homes(Ticks, Vec<SavedList>),
}

/// One thing to do.
#[derive(Debug)]
pub enum Effect {
    Connect(ConnId, SocketAddr),
    Read(ConnId, Ring),
    Write(ConnId, Ring),
    /// The beginning of a request: written only if the connection is still good, and somebody still waits.
    Begin(ConnId, Ring, Awaits),
    /// A client's connection is to be ended in order; unless something has come that was not told yet, where the last
    /// is false.
    HalfClose(ConnId, bool),
    Close(ConnId),
    /// Nobody is to be let in any more.
    StopListening,
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The module's own.
    Module(u64),
    /// A push's time is up.
    PushOver(AccessId, usize),
    FeedConnect,
    /// Once in a while: silence of the feed, idle connections, clients that do not read.
    Sweep,
    /// The other side has not ended a connection that was to be ended in order.
    Lingered(ConnId),
    Phase,
}

pub(super) const SWEEP: Ticks = 2_500;
/// How often the log has the highest counts.
pub(super) const TOLD: Ticks = 100_000;
/// A client that has not read a ring's worth in this time, the longest it may wait for an answer, never will.
pub(super) const UNREAD: Ticks = 100_000;
/// A client to which nothing is owed and that says nothing for so long has vanished, or holds on for good:
/// protocol fact, clients close what is idle after 4 s.
pub(super) const SILENT: Ticks = 60_000;
/// Whoever has not sent a whole request in this time never will. A client is owed an answer or a close within
/// 3 s of connecting; two sweeps and some less.
pub(super) const UNFINISHED: Ticks = 24_000;
/// How long the other side may take to end a connection that was ended here: some round trips to a client, whose
/// requests that cross the end come again within 50 ms.
pub(super) const LINGER: Ticks = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listener {
    Open,
    Closing,
    Closed,
}

pub(super) struct Taken {
    pub(super) client: ConnId,
    pub(super) id: u16,
    pub(super) request: Box<Request>,
    pub(super) repeatable: bool,
    /// The final answer was given, or is not owed any more.
    pub(super) done: bool,
    pub(super) sent: Vec<Sent>,
    /// Its soft limit, as the module sees it.
    pub(super) soft_at: Ticks,
    /// What it is worth, and until when it earns that.
    pub(super) worth: f64,
    pub(super) aim: Ticks,
}

/// Benefit asked for, and had within the soft limit, in all; and accesses in numbers, for reports to the service of
/// versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub asked: f64,
    pub in_time: f64,
    /// Accesses that have ended: answered, given up, left by their clients, or turned away for want of room.
    pub ended: u64,
    /// Of those, the ones answered with the content within the soft limit.
    pub answered: u64,
}

/// The most that was in use at once, for the log.
#[derive(Default, Debug)]
pub struct Most {
    pub clients: usize,
    pub lines: usize,
    pub bodies: usize,
    pub accesses: usize,
    /// The longest a timer came late, and something read waited in the queue, in tenths of a millisecond.
    pub late: Ticks,
    pub queued: Ticks,
}

pub(super) struct Work {
    pub(super) names: Names,
    /// Their names.
    pub(super) offerings: Vec<String>,
    /// What they are worth and until when, and the rate at which a part is sent.
    pub(super) worths: Vec<Offering>,
    pub(super) flow_kb_per_s: f64,
    pub(super) served: Served,
    pub(super) bounds: Bounds,
    pub(super) idle: Ticks,
    pub(super) longest: Ticks,
    pub(super) feed_at: SocketAddr,
    pub(super) now: Ticks,
    pub(super) phase: Phase,
    /// Clients' connections come, may still come though nobody is to be let in, or come no more.
    pub(super) listener: Listener,
    /// `/check` says that it is not ready, though it serves: operators want clients to go elsewhere.
    pub(super) drains: bool,
    pub(super) timers: Timers<Timer>,
    pub(super) effects: Vec<Effect>,
    pub(super) clients: FxHashMap<ConnId, Client>,
    /// Clients' connections that wait for a place.
    pub(super) arrivals: VecDeque<ConnId>,
    pub(super) want: Want,
    pub(super) lines: FxHashMap<ConnId, Line>,
    pub(super) pools: Pools,
    pub(super) places: FxHashMap<u32, Place>,
    pub(super) feed: Feed,
    pub(super) accesses: FxHashMap<AccessId, Taken>,
    /// Of the accesses above by their clients' ids, the last of each.
    pub(super) by_id: FxHashMap<u64, AccessId>,
    pub(super) next_access: AccessId,
    pub(super) next_conn: ConnId,
    /// Connections closed whose descriptors are not back yet.
    pub(super) closing: FxHashMap<ConnId, bool>,
    /// Ends of pushes that the module has not heard of yet.
    pub(super) ends: VecDeque<(AccessId, usize, Got)>,
    /// Bytes of bodies held, of all answers and writes.
    pub(super) bodies: usize,
    /// Connections whose answers wait for room.
    pub(super) parked: VecDeque<ConnId>,
    pub(super) most: Most,
    pub(super) counts: Counts,
    pub(super) told_at: Ticks,
    /// Not yet in the log, and when the last was.
    pub(super) complaints: usize,
    pub(super) complained_at: Ticks,
    /// Readings of times that others tell.
    pub(super) stamps: Stamps,
    /// Parents in tiers, where operators have said so.
    pub(super) tiers: Option<Tiers>,
    /// What was seen since it was asked last; none where nobody remembers it.
    pub(super) learned: Option<Vec<Learned>>,
}
