//! The reducer's inputs, effects and state.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doorgrade::{AccessId, Offering, Ticks};
use doorgrade_control_client::Observation;
use doorgrade_hierarchy::Change;
use doorgrade_hierarchy::homes::SavedList;
use doorgrade_recall::{Fill, Purge};
use rustc_hash::FxHashMap;

use super::admission::{Shortage, Slots};
use super::client::Client;
use super::hierarchy::Hierarchy;
use super::sent_push::SentPush;
use super::used_ids::UsedIds;
use crate::bounds::Bounds;
use crate::clock::{TimerId, Timers};
use crate::config::ReloadedConfig;
use crate::conn::{ConnId, SendConditions};
use crate::feed::ZoneAndKindNames;
use crate::feed_connections::FeedConnections;
use crate::intake::Request;
use crate::phase::Phase;
use crate::push::{CacheConn, Endpoint, Pools, PushEnd};
use crate::reasons::{Counts, IoEnd};
use crate::remote_times::RemoteTimes;
use crate::ring_buffer::RingBuffer;

/// The result of an attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    Connected,
    Unreachable,
    /// The connection was not attempted: this machine has no descriptor or no local address left.
    LocalFailure,
}

/// One event that the reducer handles.
pub enum Input {
    Listening,
    /// A client has connected; if it has waited in the system's backlog, since when at the longest.
    Accepted(ConnId, Option<Ticks>),
    Connected(ConnId, ConnectResult),
    Read {
        conn: ConnId,
        buffer: RingBuffer,
        ended: Option<IoEnd>,
        received_at: Ticks,
    },
    Wrote {
        conn: ConnId,
        buffer: RingBuffer,
        failed: Option<IoEnd>,
    },
    /// The sending side of a client's connection was shut down.
    HalfClosed(ConnId),
    Closed(ConnId),
    /// Clients' connections can't be accepted for lack of descriptors or memory.
    AcceptFailed,
    /// The listener is closed: no further client connects.
    ListenerClosed,
    Tick,
    Stop,
    /// Whether health checks report this front as unavailable, so that clients go elsewhere. Requests are
    /// served all the same.
    Drain(bool),
    Reload(Box<ReloadedConfig>),
    /// Fills and purges known from before the start, or to neighbours.
    Recall(Vec<Fill>, Vec<Purge>),
    /// The homes of objects saved before the start, and when they were saved.
    Homes(Ticks, Vec<SavedList>),
}

/// One action for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Connects, within this time.
    Connect(ConnId, SocketAddr, Ticks),
    Read(ConnId, RingBuffer),
    Write(ConnId, RingBuffer),
    /// Writes the start of a request, only if the connection is still good and the response is still wanted.
    StartRequest(ConnId, RingBuffer, SendConditions),
    /// Half-closes a client's connection; if the flag is false, only if no data has arrived that was not
    /// reported yet.
    HalfClose(ConnId, bool),
    Close(ConnId),
    /// Stop accepting connections.
    StopListening,
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Set by the decision module.
    Decisions(u64),
    /// A push has timed out.
    PushTimeout(AccessId, usize),
    FeedConnect,
    /// Periodic: checks for a silent feed, idle connections, and clients that do not read.
    Sweep,
    /// The client has not closed its connection after the half-close.
    HalfCloseTimeout(ConnId),
    Phase,
}

pub(super) const SWEEP_INTERVAL: Ticks = 2_500;
/// How often the peaks and counts are logged.
pub(super) const COUNTS_LOG_INTERVAL: Ticks = 100_000;
/// A client that has not read a buffer's worth in this time, the longest that it may wait for a response,
/// never will.
pub(super) const UNREAD_TIMEOUT: Ticks = 100_000;
/// A client that is owed no response and sends nothing for this long has vanished, or does not use its
/// connection any more: by the protocol, clients close a connection after 4 s of idling.
pub(super) const CLIENT_IDLE_TIMEOUT: Ticks = 60_000;
/// A client that has not completed a request in this time never will. Within 3 s of connecting a client is
/// owed a response or a close; this leaves room for two sweeps and some delay.
pub(super) const REQUEST_TIMEOUT: Ticks = 24_000;
/// How long a client may take to close a connection that was half-closed: several round trips. Clients resend
/// requests that cross the half-close within 50 ms.
pub(super) const HALF_CLOSE_TIMEOUT: Ticks = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listener {
    Open,
    Closing,
    Closed,
}

pub(super) struct OpenAccess {
    pub(super) client: ConnId,
    pub(super) request_id: u16,
    pub(super) request: Box<Request>,
    pub(super) repeatable: bool,
    /// It may run again at any cache.
    pub(super) idempotent: bool,
    /// The final response was given, or is no longer owed.
    pub(super) done: bool,
    pub(super) pushes: Vec<SentPush>,
    /// The timers that the decision module has set for it, by their keys: at most one for each push.
    pub(super) decision_timers: Vec<(u64, TimerId)>,
    /// When its soft limit ends, by the decision module.
    pub(super) soft_limit_at: Ticks,
    /// Its benefit if answered with content, and until when it counts.
    pub(super) benefit: f64,
    pub(super) benefit_until: Ticks,
}

impl OpenAccess {
    /// Whether it would be run a second time if it were started anew: it may have run, and may not simply run again.
    pub(super) fn must_not_run_again(&self) -> bool {
        !self.idempotent && self.pushes.iter().any(SentPush::may_have_run)
    }
}

/// Totals for reports to the control service: the benefit requested and the benefit earned within the soft
/// limit, and counts of accesses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub requested_benefit: f64,
    pub earned_benefit: f64,
    /// Accesses that have ended: answered, given up, abandoned by their clients, or rejected for lack of
    /// room.
    pub ended: u64,
    /// The ended accesses that were answered with content within the soft limit.
    pub answered: u64,
}

/// The settings in use that a reload may replace.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsInUse {
    pub bounds: Bounds,
    pub feed: SocketAddr,
    /// The changes that make up the shape of the hierarchy, if it is enabled.
    pub shape: Option<Vec<Change>>,
}

/// Peak values, printed in the log under these names. `lines` are the connections to caches.
#[derive(Default, Debug)]
pub struct Most {
    pub clients: usize,
    pub lines: usize,
    pub bodies: usize,
    pub accesses: usize,
    pub timers: usize,
    /// The longest that a timer was late, and that data read from a socket waited in the queue, in units of
    /// 0.1 ms.
    pub late: Ticks,
    pub queued: Ticks,
}

pub(super) struct State {
    pub(super) names: ZoneAndKindNames,
    /// The names of the offerings.
    pub(super) offering_names: Vec<String>,
    /// The settings of the offerings, and the rate of one transfer.
    pub(super) offerings: Vec<Offering>,
    pub(super) flow_kb_per_s: f64,
    pub(super) served: Served,
    pub(super) bounds: Bounds,
    pub(super) idle_timeout: Ticks,
    pub(super) max_hard_limit: Ticks,
    pub(super) feed_address: SocketAddr,
    pub(super) now: Ticks,
    pub(super) phase: Phase,
    /// Whether clients can still connect. Between closing and closed, connections may still arrive from the
    /// backlog.
    pub(super) listener: Listener,
    /// Health checks report this front as unavailable, so that clients go elsewhere.
    pub(super) draining: bool,
    pub(super) timers: Timers<Timer>,
    pub(super) effects: Vec<Effect>,
    pub(super) clients: FxHashMap<ConnId, Client>,
    pub(super) slots: Slots,
    pub(super) shortage: Shortage,
    pub(super) cache_conns: FxHashMap<ConnId, CacheConn>,
    pub(super) pools: Pools,
    pub(super) endpoints: FxHashMap<u32, Endpoint>,
    pub(super) feed: FeedConnections,
    /// The settings' time for connecting to a cache.
    pub(super) connect_timeout: Ticks,
    pub(super) accesses: FxHashMap<AccessId, OpenAccess>,
    /// The last access with each id given by a client.
    pub(super) access_by_id: FxHashMap<u64, AccessId>,
    /// The ids of accesses that have ended, may have run, and may not simply run again.
    pub(super) used_ids: UsedIds,
    pub(super) next_access: AccessId,
    pub(super) next_conn: ConnId,
    /// Closed connections whose descriptors are not free yet; true for those to caches.
    pub(super) closing: FxHashMap<ConnId, bool>,
    /// Ends of pushes that were not reported to the decision module yet.
    pub(super) push_ends: VecDeque<(AccessId, usize, PushEnd)>,
    /// Bytes of bodies held, of requests and responses.
    pub(super) body_bytes: usize,
    /// Cache connections whose responses wait for room.
    pub(super) parked: VecDeque<ConnId>,
    pub(super) peaks: Most,
    pub(super) counts: Counts,
    pub(super) counts_logged_at: Ticks,
    /// Warnings about clients since the last one logged, and when that was.
    pub(super) unlogged_warnings: usize,
    pub(super) warned_at: Ticks,
    /// Converts times of other machines.
    pub(super) remote_times: RemoteTimes,
    /// The hierarchy of parents, if it is enabled.
    pub(super) hierarchy: Option<Hierarchy>,
    /// Observations since the last call of [`Reducer::learned`](super::Reducer::learned); none if they are
    /// not stored.
    pub(super) learned: Option<Vec<Observation>>,
}
