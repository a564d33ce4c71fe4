//! What passes between fronts, and between a command and a front, beside membership's own datagrams.

use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_members::seal::Keys;
use doorgrade_members::{KnownMember, Liveness, MemberId};
use doorgrade_recall::{Fill, Purge};
use serde::{Deserialize, Serialize};

use crate::memory::Remembers;

/// The first byte of what is said under a seal.
pub(super) const OF_MEMBERS: u8 = 0;
pub(super) const OF_FRONTS: u8 = 1;
/// What fronts and commands say to a front, page by page. Later ones are put at the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// How does it stand?
    Ask {
        number: u32,
        page: u16,
    },
    Answer {
        number: u32,
        page: u16,
        pages: u16,
        status: Status,
    },
    /// What does it remember?
    Recall {
        page: u16,
    },
    Page {
        page: u16,
        pages: u16,
        fills: Vec<Fill>,
        purges: Vec<Purge>,
    },
    Busy {
        page: u16,
    },
    Nothing {
        page: u16,
    },
}

/// How a front stands among others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub own: MemberId,
    pub standing: Standing,
    /// Datagrams said, not said since there were too many, and refused.
    pub said: u64,
    pub kept: u64,
    pub refused: u64,
    /// None where nothing is remembered.
    pub memory: Option<Remembers>,
    pub rows: Vec<Row>,
}

/// Whether it is among others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Alone,
    Doubts,
    Among,
}

/// Another front, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub id: MemberId,
    pub state: MemberState,
    /// How long it has been so, and since it was heard itself.
    pub since_ms: u64,
    pub heard_ms: Option<u64>,
}

/// What another is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Up,
    Doubted,
    Down,
}

impl Row {
    pub(super) fn of(seen: KnownMember, now: Ticks) -> Row {
        let ago = |at: Ticks| now.saturating_sub(at) / 10;
        let state = match seen.liveness {
            Liveness::Alive => MemberState::Up,
            Liveness::Suspect => MemberState::Doubted,
            Liveness::Down => MemberState::Down,
        };
        Row { id: seen.id, state, since_ms: ago(seen.since), heard_ms: seen.last_datagram_at.map(ago) }
    }
}

/// A message, sealed for the address that it goes to.
pub(super) fn sealed(keys: &Keys, to: SocketAddrV4, message: &Message) -> Option<Vec<u8>> {
    let said = postcard::to_extend(message, vec![OF_FRONTS]).ok()?;
    keys.seal(to, &said)
}
