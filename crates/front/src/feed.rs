//! The control feed's events, as JSON and as frames. No I/O.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use doorgrade::{Member, MemberStatus, Ticks};
use serde::Deserialize;

use crate::ring::Ring;

/// Zones and kinds by their numbers.
#[derive(Clone)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A member and where it listens.
#[derive(Clone, Debug)]
pub struct Listed {
    pub member: Member,
    pub at: SocketAddr,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        whole: bool,
        members: Vec<Listed>,
    },
    /// Of an object, or of a group; at a Unix time.
    Purge {
        object: Option<u64>,
        group: u64,
        at: Ticks,
    },
}

impl Event {
    /// The latest time that it tells.
    pub fn latest(&self) -> Option<Ticks> {
        match self {
            Event::List { members, .. } => members.iter().filter_map(|l| l.member.started_at).max(),
            Event::Purge { at, .. } => Some(*at),
        }
    }
}

/// Later times, in Unix milliseconds, are taken for this one: sums of times must not overflow.
const MOST_TIME: u64 = 1 << 50;

#[derive(Deserialize)]
pub struct Known {
    n: u64,
    events: Vec<Numbered>,
}

#[derive(Deserialize)]
struct Numbered {
    #[serde(default)]
    n: u64,
    members: Option<Census>,
    purge: Option<Purge>,
}

#[derive(Deserialize)]
struct Census {
    complete: bool,
    members: Vec<Row>,
}

#[derive(Deserialize)]
struct Row {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

#[derive(Deserialize)]
struct Purge {
    key: Option<String>,
    group: Option<u64>,
    at: u64,
}

/// The events known at the start, and the number of the last.
pub fn known(known: Known, names: &Names) -> Result<(u64, Vec<Event>), String> {
    let mut events = Vec::with_capacity(known.events.len());
    for (place, numbered) in known.events.into_iter().enumerate() {
        let wrong = |what: String| format!("event {} (place {place}): {what}", numbered.n);
        if let Some(census) = numbered.members {
            let rows = census.members.into_iter().map(|r| row(r, names)).collect::<Result<_, _>>();
            events.push(Event::List { whole: census.complete, members: rows.map_err(wrong)? });
        } else if let Some(purge) = numbered.purge {
            let object = purge.key.map(|k| u64::from_str_radix(&k, 16)).transpose();
            let object = object.map_err(|e| wrong(format!("'key': {e}")))?;
            if object.is_none() && purge.group.is_none() {
                return Err(wrong("neither 'key' nor 'group'".into()));
            }
            events.push(Event::Purge {
                object,
                group: purge.group.unwrap_or(0),
                at: purge.at.min(MOST_TIME) * 10,
            });
        }
    }
    Ok((known.n, events))
}

fn row(row: Row, names: &Names) -> Result<Listed, String> {
    let place = |list: &[String], key: &str, name: &str| {
        list.iter().position(|n| n == name).ok_or_else(|| format!("'{key}': unknown value '{name}'"))
    };
    let started = Some(row.up_since_ms.min(MOST_TIME) * 10).filter(|&t| t > 0);
    let member = Member {
        zone: place(&names.zones, "locality", &row.locality)?,
        kind: place(&names.kinds, "flavor", &row.flavor)?,
        cell: row.cell,
        status: match row.phase.as_str() {
            "in_service" => MemberStatus::Listed,
            "terminating" => MemberStatus::Draining,
            "terminated" => MemberStatus::Gone,
            other => return Err(format!("'phase': unknown value '{other}'")),
        },
        weight: row.size,
        started_at: started,
        id: row.id.into(),
    };
    let at = row.host_port.parse().map_err(|e| format!("'host_port': {e}"))?;
    Ok(Listed { member, at })
}

const RECORD: usize = 27;
/// Longer frames are malformed: a list of as many members would not fit a front.
const MOST_FRAME: usize = 1 << 20;

#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Puts frames together from whatever pieces they come in.
#[derive(Default)]
pub struct Frames {
    partial: Vec<u8>,
}

impl Frames {
    /// The next whole frame's number and event; an empty frame has none.
    #[allow(clippy::type_complexity)]
    pub fn next(
        &mut self,
        ring: &mut Ring,
        names: &Names,
    ) -> Result<Option<(u64, Option<Event>)>, Malformed> {
        loop {
            let wanted = match self.partial.first_chunk::<4>() {
                None => 4,
                Some(&length) => match u32::from_be_bytes(length) as usize {
                    length @ 9..=MOST_FRAME => 4 + length,
                    _ => return Err(Malformed("a frame's length")),
                },
            };
            if wanted > 4 && self.partial.len() == wanted {
                let read = frame(&self.partial[4..], names);
                self.partial.clear();
                return read.map(Some);
            }
            let piece = ring.front();
            let take = piece.len().min(wanted - self.partial.len());
            if take == 0 {
                return Ok(None);
            }
            self.partial.extend_from_slice(&piece[..take]);
            ring.consume(take);
        }
    }
}

/// Reads unsigned big-endian numbers off the front.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        let (number, rest) = self.0.split_at_checked(bytes).ok_or(Malformed("a frame ends too soon"))?;
        self.0 = rest;
        Ok(number.iter().fold(0, |n, &b| n << 8 | u64::from(b)))
    }
}

fn frame(bytes: &[u8], names: &Names) -> Result<(u64, Option<Event>), Malformed> {
    let mut fields = Fields(bytes);
    let (number, kind) = (fields.number(8)?, fields.number(1)?);
    let event = match kind {
        0 => None,
        1 | 2 => {
            if !fields.0.len().is_multiple_of(RECORD) {
                return Err(Malformed("a list's length"));
            }
            let records = fields.0.chunks_exact(RECORD);
            let members = records.map(|r| record(Fields(r), names)).collect::<Result<_, _>>()?;
            fields.0 = &[];
            Some(Event::List { whole: kind == 1, members })
        }
        3 => {
            let object = Some(fields.number(8)?);
            Some(Event::Purge { object, group: 0, at: fields.number(8)?.min(MOST_TIME) * 10 })
        }
        4 => {
            let group = fields.number(2)?;
            Some(Event::Purge { object: None, group, at: fields.number(8)?.min(MOST_TIME) * 10 })
        }
        _ => return Err(Malformed("a frame's kind")),
    };
    if kind != 0 && !fields.0.is_empty() {
        return Err(Malformed("a frame is too long"));
    }
    Ok((number, event))
}

fn record(mut fields: Fields<'_>, names: &Names) -> Result<Listed, Malformed> {
    let id = format!("s-{:08x}", fields.number(4)?).into();
    let address = Ipv4Addr::from_bits(fields.number(4)? as u32);
    let at = SocketAddrV4::new(address, fields.number(2)? as u16).into();
    let standing = match fields.number(1)? {
        0 => MemberStatus::Listed,
        1 => MemberStatus::Draining,
        2 => MemberStatus::Gone,
        _ => return Err(Malformed("a member's state")),
    };
    let (zone, kind) = (fields.number(1)? as usize, fields.number(1)? as usize);
    if zone >= names.zones.len() || kind >= names.kinds.len() {
        return Err(Malformed("a member's zone or kind"));
    }
    let (cell, weight) = (fields.number(2)?, fields.number(4)? as f64 / 1000.0);
    let started = Some(fields.number(8)?.min(MOST_TIME) * 10).filter(|&t| t > 0);
    Ok(Listed { member: Member { id, zone, kind, cell, status: standing, weight, started_at: started }, at })
}
