//! Messages between fronts, and between a command and a front, beside membership's own datagrams.
//!
//! They are encoded with postcard, by position: the order of fields and variants must not change.

use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_members::seal::Keys;
use doorgrade_members::{KnownMember, Liveness, MemberId};
use doorgrade_recall::{Fill, Purge};
use serde::{Deserialize, Serialize};

use crate::memory::MemoryStatus;

/// First byte of a sealed payload: a datagram of membership.
pub(super) const KIND_MEMBERSHIP: u8 = 0;
/// First byte of a sealed payload: a [`Message`].
pub(super) const KIND_MESSAGE: u8 = 1;

/// A message to or from a front. What does not fit into one datagram is requested page by page. New variants are added
/// at the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    StatusRequest {
        number: u32,
        page: u16,
    },
    StatusResponse {
        number: u32,
        page: u16,
        pages: u16,
        status: Status,
    },
    /// Requests a page of what the front remembers.
    RecallRequest {
        page: u16,
    },
    RecallPage {
        page: u16,
        pages: u16,
        fills: Vec<Fill>,
        purges: Vec<Purge>,
    },
    /// Too many pages are requested at the moment.
    RecallBusy {
        page: u16,
    },
    /// The front has nothing to serve.
    RecallNothing {
        page: u16,
    },
}

/// A front's view of the membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub own: MemberId,
    pub connectivity: Connectivity,
    pub datagrams_sent: u64,
    /// Not sent since the rate limit was reached.
    pub datagrams_withheld: u64,
    /// Received, but not authentic or not understood.
    pub datagrams_rejected: u64,
    /// None where nothing is remembered.
    pub memory: Option<MemoryStatus>,
    pub neighbours: Vec<NeighbourStatus>,
}

/// Whether a front is in contact with others; as [`doorgrade_members::Connectivity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Connectivity {
    Isolated,
    Unconfirmed,
    Connected,
}

/// Another front, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NeighbourStatus {
    pub id: MemberId,
    pub state: MemberState,
    /// How long its identity and state have been as they are.
    pub since_ms: u64,
    /// How long ago it last sent a datagram to this front itself.
    pub last_datagram_ms: Option<u64>,
}

/// Whether another front is assumed to run; as [`doorgrade_members::Liveness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Down,
}

impl NeighbourStatus {
    pub(super) fn new(member: KnownMember, now: Ticks) -> NeighbourStatus {
        let ms_since = |at: Ticks| now.saturating_sub(at) / 10;
        let state = match member.liveness {
            Liveness::Alive => MemberState::Alive,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Down => MemberState::Down,
        };
        NeighbourStatus {
            id: member.id,
            state,
            since_ms: ms_since(member.since),
            last_datagram_ms: member.last_datagram_at.map(ms_since),
        }
    }
}

/// Encodes a message and seals it for the address that it is sent to.
pub(super) fn seal_message(keys: &Keys, to: SocketAddrV4, message: &Message) -> Option<Vec<u8>> {
    let payload = postcard::to_extend(message, vec![KIND_MESSAGE]).ok()?;
    keys.seal(to, &payload)
}
