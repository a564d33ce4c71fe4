//! The identity of a member in one of its incarnations.

use std::fmt;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Limit for a name and for a station: a datagram carries identities several times.
pub const MAX_NAME_BYTES: usize = 64;

/// Encoded by position: the order of the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "UncheckedId")]
pub struct MemberId {
    pub name: Box<str>,
    pub station: Box<str>,
    /// Where others reach it.
    pub address: SocketAddrV4,
    /// Start time of the process by its own clock, in milliseconds since 1970; greater if the process has stored a later
    /// incarnation. Of two identities at one address the later one is valid.
    pub incarnation: u64,
    /// How often this process has taken a new identity, for example because others declared it down or it stalled.
    pub renewals: u8,
}

impl MemberId {
    /// For a member of which only the address is known.
    pub fn unknown(address: SocketAddrV4) -> MemberId {
        MemberId { name: "".into(), station: "".into(), address, incarnation: 0, renewals: 0 }
    }

    /// The number that identities are compared by. Each renewal adds twice as much as the one before, so that a member
    /// whose clock was set back, and that remembers nothing, catches up with its former identity: by a day after 27
    /// renewals, by an hour after 22.
    pub fn effective_incarnation(&self) -> u64 {
        self.incarnation.saturating_add((1u64 << self.renewals.min(63)) - 1)
    }

    /// The next identity of the same member.
    pub fn renewed(&self) -> MemberId {
        match self.renewals.checked_add(1).filter(|&n| n < 63) {
            Some(renewals) => MemberId { renewals, ..self.clone() },
            None => MemberId {
                incarnation: self.effective_incarnation().saturating_add(1),
                renewals: 0,
                ..self.clone()
            },
        }
    }
}

/// An identity as decoded from a datagram. The datagram is authenticated, but the texts may be of any length and
/// content, and they end up in logs and tables.
#[derive(Deserialize)]
struct UncheckedId {
    name: Box<str>,
    station: Box<str>,
    address: SocketAddrV4,
    incarnation: u64,
    renewals: u8,
}

impl TryFrom<UncheckedId> for MemberId {
    type Error = &'static str;

    fn try_from(unchecked: UncheckedId) -> Result<MemberId, &'static str> {
        let UncheckedId { name, station, address, incarnation, renewals } = unchecked;
        let is_valid = |text: &str| text.len() <= MAX_NAME_BYTES && !text.contains(char::is_control);
        if is_valid(&name) && is_valid(&station) {
            Ok(MemberId { name, station, address, incarnation, renewals })
        } else {
            Err("the name or station is too long or contains control characters")
        }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {}, incarnation {}", self.name, self.station, self.address, self.incarnation)?;
        if self.renewals > 0 { write!(f, ", renewals: {})", self.renewals) } else { f.write_str(")") }
    }
}

impl foca::Identity for MemberId {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<MemberId> {
        Some(self.renewed())
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    /// Two names at one address with equal incarnations are a configuration error; the name decides, so that all
    /// members resolve the conflict alike.
    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        (self.effective_incarnation(), &self.name, self.incarnation)
            > (other.effective_incarnation(), &other.name, other.incarnation)
    }
}
