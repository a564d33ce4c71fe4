//! The events of the control feed, as JSON and as frames. No I/O.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use doorgrade::{Member, MemberStatus, Ticks};
use serde::Deserialize;

use crate::ring_buffer::RingBuffer;

/// The names of zones and kinds, by their numbers.
#[derive(Clone)]
pub struct ZoneAndKindNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A member and its address.
#[derive(Clone, Debug)]
pub struct ListedMember {
    pub member: Member,
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        complete: bool,
        members: Vec<ListedMember>,
    },
    /// A purge of an object, or of a group, at a Unix time.
    Purge {
        object: Option<u64>,
        group: u64,
        at: Ticks,
    },
}

impl Event {
    /// The latest time in the event.
    pub fn latest(&self) -> Option<Ticks> {
        match self {
            Event::List { members, .. } => members.iter().filter_map(|l| l.member.started_at).max(),
            Event::Purge { at, .. } => Some(*at),
        }
    }
}

/// Later times, in Unix milliseconds, are cut to this one, so that sums of times don't overflow.
const MAX_TIME_MS: u64 = 1 << 50;

#[derive(Deserialize)]
pub struct KnownEvents {
    n: u64,
    events: Vec<NumberedEvent>,
}

#[derive(Deserialize)]
struct NumberedEvent {
    #[serde(default)]
    n: u64,
    members: Option<MemberList>,
    purge: Option<Purge>,
}

#[derive(Deserialize)]
struct MemberList {
    complete: bool,
    members: Vec<MemberRow>,
}

#[derive(Deserialize)]
struct MemberRow {
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

/// The events known at the start, and the number of the last one.
pub fn events_at_start(known: KnownEvents, names: &ZoneAndKindNames) -> Result<(u64, Vec<Event>), String> {
    let mut events = Vec::with_capacity(known.events.len());
    for (place, numbered) in known.events.into_iter().enumerate() {
        let at_event = |what: String| format!("event {} (place {place}): {what}", numbered.n);
        if let Some(list) = numbered.members {
            let rows = list.members.into_iter().map(|r| listed_member(r, names)).collect::<Result<_, _>>();
            events.push(Event::List { complete: list.complete, members: rows.map_err(at_event)? });
        } else if let Some(purge) = numbered.purge {
            let object = purge.key.map(|k| u64::from_str_radix(&k, 16)).transpose();
            let object = object.map_err(|e| at_event(format!("'key': {e}")))?;
            if object.is_none() && purge.group.is_none() {
                return Err(at_event("neither 'key' nor 'group'".into()));
            }
            events.push(Event::Purge {
                object,
                group: purge.group.unwrap_or(0),
                at: purge.at.min(MAX_TIME_MS) * 10,
            });
        }
    }
    Ok((known.n, events))
}

fn listed_member(row: MemberRow, names: &ZoneAndKindNames) -> Result<ListedMember, String> {
    let index_of = |list: &[String], key: &str, name: &str| {
        list.iter().position(|n| n == name).ok_or_else(|| format!("'{key}': unknown value '{name}'"))
    };
    let started_at = Some(row.up_since_ms.min(MAX_TIME_MS) * 10).filter(|&t| t > 0);
    let member = Member {
        zone: index_of(&names.zones, "locality", &row.locality)?,
        kind: index_of(&names.kinds, "flavor", &row.flavor)?,
        cell: row.cell,
        status: match row.phase.as_str() {
            "in_service" => MemberStatus::Listed,
            "terminating" => MemberStatus::Draining,
            "terminated" => MemberStatus::Gone,
            other => return Err(format!("'phase': unknown value '{other}'")),
        },
        weight: row.size,
        started_at,
        id: row.id.into(),
    };
    let address = row.host_port.parse().map_err(|e| format!("'host_port': {e}"))?;
    Ok(ListedMember { member, address })
}

/// The size of a member's record in a list.
const RECORD_BYTES: usize = 27;
/// Longer frames are malformed: a list of that many members would not fit into a front.
const MAX_FRAME: usize = 1 << 20;

#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Reassembles frames from fragments of any size.
#[derive(Default)]
pub struct Frames {
    partial: Vec<u8>,
}

impl Frames {
    /// The next complete frame's number and event; an empty frame has no event.
    #[allow(clippy::type_complexity)]
    pub fn next(
        &mut self,
        buffer: &mut RingBuffer,
        names: &ZoneAndKindNames,
    ) -> Result<Option<(u64, Option<Event>)>, Malformed> {
        loop {
            let needed = match self.partial.first_chunk::<4>() {
                None => 4,
                Some(&length) => match u32::from_be_bytes(length) as usize {
                    length @ 9..=MAX_FRAME => 4 + length,
                    _ => return Err(Malformed("a frame's length")),
                },
            };
            if needed > 4 && self.partial.len() == needed {
                let decoded = decode_frame(&self.partial[4..], names);
                self.partial.clear();
                return decoded.map(Some);
            }
            let piece = buffer.front();
            let count = piece.len().min(needed - self.partial.len());
            if count == 0 {
                return Ok(None);
            }
            self.partial.extend_from_slice(&piece[..count]);
            buffer.consume(count);
        }
    }
}

/// Reads unsigned big-endian numbers.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        let (number, rest) = self.0.split_at_checked(bytes).ok_or(Malformed("a frame ends too soon"))?;
        self.0 = rest;
        Ok(number.iter().fold(0, |n, &b| n << 8 | u64::from(b)))
    }
}

fn decode_frame(bytes: &[u8], names: &ZoneAndKindNames) -> Result<(u64, Option<Event>), Malformed> {
    let mut fields = Fields(bytes);
    let (number, kind) = (fields.number(8)?, fields.number(1)?);
    let event = match kind {
        0 => None,
        1 | 2 => {
            if !fields.0.len().is_multiple_of(RECORD_BYTES) {
                return Err(Malformed("a list's length"));
            }
            let records = fields.0.chunks_exact(RECORD_BYTES);
            let members = records.map(|r| decode_record(Fields(r), names)).collect::<Result<_, _>>()?;
            fields.0 = &[];
            Some(Event::List { complete: kind == 1, members })
        }
        3 => {
            let object = Some(fields.number(8)?);
            Some(Event::Purge { object, group: 0, at: fields.number(8)?.min(MAX_TIME_MS) * 10 })
        }
        4 => {
            let group = fields.number(2)?;
            Some(Event::Purge { object: None, group, at: fields.number(8)?.min(MAX_TIME_MS) * 10 })
        }
        _ => return Err(Malformed("a frame's kind")),
    };
    if kind != 0 && !fields.0.is_empty() {
        return Err(Malformed("a frame is too long"));
    }
    Ok((number, event))
}

fn decode_record(mut fields: Fields<'_>, names: &ZoneAndKindNames) -> Result<ListedMember, Malformed> {
    let id = format!("s-{:08x}", fields.number(4)?).into();
    let ip = Ipv4Addr::from_bits(fields.number(4)? as u32);
    let address = SocketAddrV4::new(ip, fields.number(2)? as u16).into();
    let status = match fields.number(1)? {
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
    let started_at = Some(fields.number(8)?.min(MAX_TIME_MS) * 10).filter(|&t| t > 0);
    Ok(ListedMember { member: Member { id, zone, kind, cell, status, weight, started_at }, address })
}
