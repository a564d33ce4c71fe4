//! A member in one of its lives.

use std::fmt;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// In bytes, of a name or a station: an identity stands in a datagram several times.
pub const MOST_NAME: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Told")]
pub struct Id {
    pub name: Box<str>,
    pub station: Box<str>,
    /// Where others reach it.
    pub at: SocketAddrV4,
    /// Its start, as its own clock had it, or more than all it remembers. Of two at one address the later goes.
    pub life: u64,
    /// How often in this life it was taken for dead, or slept.
    pub again: u8,
}

impl Id {
    /// Of whom nothing is known but an address.
    pub fn unknown(at: SocketAddrV4) -> Id {
        Id { name: "".into(), station: "".into(), at, life: 0, again: 0 }
    }

    /// What is compared: a life begun again counts twice as far each time. A clock that was set back by a day, with
    /// nothing remembered, is so made up for in 27 words, and an hour in 22.
    pub fn incarnation(&self) -> u64 {
        self.life.saturating_add((1u64 << self.again.min(63)) - 1)
    }

    /// The next life of the same member.
    pub fn next(&self) -> Id {
        match self.again.checked_add(1).filter(|&n| n < 63) {
            Some(again) => Id { again, ..self.clone() },
            None => Id { life: self.incarnation().saturating_add(1), again: 0, ..self.clone() },
        }
    }
}

/// As it comes in a datagram: under a key of ours, but of any length, and for logs and tables.
#[derive(Deserialize)]
struct Told {
    name: Box<str>,
    station: Box<str>,
    at: SocketAddrV4,
    life: u64,
    again: u8,
}

impl TryFrom<Told> for Id {
    type Error = &'static str;

    fn try_from(told: Told) -> Result<Id, &'static str> {
        let Told { name, station, at, life, again } = told;
        let plain = |t: &str| t.len() <= MOST_NAME && !t.contains(char::is_control);
        if plain(&name) && plain(&station) {
            Ok(Id { name, station, at, life, again })
        } else {
            Err("a name or station that is too long or no plain text")
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {}, life {}", self.name, self.station, self.at, self.life)?;
        if self.again > 0 { write!(f, " and {} more)", self.again) } else { f.write_str(")") }
    }
}

impl foca::Identity for Id {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Id> {
        Some(self.next())
    }

    fn addr(&self) -> SocketAddrV4 {
        self.at
    }

    /// Two names at one address at the same moment: an operator's mistake; all decide it alike.
    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.incarnation(), &self.name, self.life) > (other.incarnation(), &other.name, other.life)
    }
}
