//! Connects the decision module to a simulator: reads the events of the simulator's line protocol from standard input,
//! and writes the front's effects to standard output. One process runs any number of fronts.

mod codes;
mod line;
mod writer;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

use doorgrade::{Access, Front, Member, MemberStatus, PushResult, Ticks};
use rustc_hash::FxHashMap;

use line::{Error, Line};
use writer::Writer;

type MemberList = Arc<[Member]>;

struct Adapter {
    /// By instance: the front and the number of its offerings.
    fronts: FxHashMap<Box<str>, (Front, usize)>,
    /// By the number that the simulator gives a list.
    member_lists: FxHashMap<u64, MemberList>,
    writer: Writer,
}

fn main() -> ExitCode {
    let mut adapter = Adapter {
        fronts: FxHashMap::default(),
        member_lists: FxHashMap::default(),
        writer: Writer::default(),
    };
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut line_number = 0;
    match serve(&mut adapter, &mut input, &mut line_number) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorgrade-benchlink: line {line_number}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a line into `buffer`, without its line ending. Returns false at the end of input.
fn next_line(input: &mut impl BufRead, buffer: &mut String, line_number: &mut u64) -> Result<bool, Error> {
    buffer.clear();
    *line_number += 1;
    let bytes_read = input.read_line(buffer).map_err(|e| Error(format!("cannot read: {e}")))?;
    if bytes_read > 0 && !buffer.ends_with('\n') {
        return Err(Error("input ends within a line".into()));
    }
    buffer.truncate(buffer.trim_end_matches(['\n', '\r']).len());
    Ok(bytes_read > 0)
}

fn serve(adapter: &mut Adapter, input: &mut impl BufRead, line_number: &mut u64) -> Result<(), Error> {
    let mut text = String::new();
    let mut stdout = io::stdout().lock();
    loop {
        if !next_line(input, &mut text, line_number)? {
            return Ok(());
        }
        if text.is_empty() {
            continue;
        }
        let line = Line::new(&text);
        if line.tag() != "round" {
            return Err(Error(format!("expected 'round', found '{}'", line.tag())));
        }
        let now = line.ticks_floor("clock")?;
        loop {
            if !next_line(input, &mut text, line_number)? {
                return Err(Error("input ends within a round, 'eob' is missing".into()));
            }
            if text == "eob" {
                break;
            }
            if text.is_empty() {
                continue;
            }
            let line = Line::new(&text);
            if line.tag() == "census" {
                let list_number = line.integer("sheet")?;
                let count = line.integer("nodesList")?;
                let mut members = Vec::new();
                for _ in 0..count {
                    if !next_line(input, &mut text, line_number)? {
                        return Err(Error("input ends within a census".into()));
                    }
                    members.push(parse_member(&Line::new(&text))?);
                }
                adapter.member_lists.insert(list_number, members.into());
            } else {
                handle_event(adapter, &line, now)?;
            }
        }
        adapter.writer.end_reply();
        stdout
            .write_all(adapter.writer.bytes())
            .and_then(|()| stdout.flush())
            .map_err(|e| Error(format!("cannot write: {e}")))?;
        adapter.writer.clear();
    }
}

fn parse_member(line: &Line<'_>) -> Result<Member, Error> {
    if line.tag() != "row" {
        return Err(Error(format!("expected 'row', found '{}'", line.tag())));
    }
    Ok(Member {
        id: line.require("cache")?.into(),
        zone: line.integer_or("rackZone", 0)? as usize,
        kind: line.integer_or("type", 0)? as usize,
        cell: line.integer_or("cluster", 0)?,
        status: match line.require("availability")? {
            "healthy" => MemberStatus::Listed,
            "cordoned" => MemberStatus::Draining,
            "deregistered" => MemberStatus::Gone,
            other => return Err(Error(format!("field 'availability': unknown value '{other}'"))),
        },
        weight: line.number_or("units", 1.0)?,
        started_at: match line.get("startedAt") {
            Some(_) => Some(line.ticks_ceil("startedAt")?).filter(|&t| t > 0),
            None => None,
        },
    })
}

fn handle_event(adapter: &mut Adapter, line: &Line<'_>, now: Ticks) -> Result<(), Error> {
    let tag = line.tag();
    let instance = line.require("i")?;
    if tag == "power_on" {
        let settings = doorgrade_settings::read(line.rest("bootInfo")?)
            .map_err(|e| Error(format!("field 'bootInfo': {e}")))?
            .settings;
        let front = Front::new(&settings, line.integer("prng")?);
        adapter.fronts.insert(instance.into(), (front, settings.offerings.len()));
        return Ok(());
    }
    let (front, offerings) = adapter.fronts.get_mut(instance).ok_or_else(|| {
        Error(format!("field 'i': '{instance}' is not running ('{tag}' before 'power_on')"))
    })?;
    let writer = &mut adapter.writer;
    writer.set_instance(instance);
    match tag {
        "req" => {
            let access = Access {
                id: line.integer("requestId")?,
                offering: line.integer_or("band", 0)? as usize,
                object: line.integer_or("asset", 0)?,
                part: line.integer_or("segment", 0)? as u32,
                group: line.integer_or("tag", 0)?,
                kb: line.number_or("kb", 0.0)?,
                deadline: line.ticks_floor("notAfter")?,
                // The protocol has no field for it: the simulator's caches recognise a repeat by the access's id.
                has_repeat_id: true,
            };
            if access.offering >= *offerings {
                return Err(Error(format!("field 'band': no offering {}", access.offering)));
            }
            front.access(now, &access, writer);
        }
        "ended" => {
            let result = PushResult {
                push: line.integer_or("sendNo", 0)? as usize,
                outcome: codes::outcome(line.require("rc")?)?,
                access_done: line.flag("settled")?,
                latency: line.ticks_floor("lag")?,
                cache_status: codes::cache_status(line.integer_or("info", 0)?)?,
                origin_sent_at: None, // the protocol has no field for it
            };
            front.push_ended(now, line.integer("requestId")?, &result, writer);
        }
        "due" => front.timer_fired(now, line.integer("keyBack")?, writer),
        "hangup" => front.client_left(line.integer("requestId")?, writer),
        "accepted" => front.stream_started(line.integer("requestId")?),
        "expired_now" => {
            let object = line.get("asset").map(|_| line.integer("asset")).transpose()?;
            front.purge_received(now, object, line.integer_or("setNo", 0)?, line.ticks_floor("age")?);
        }
        "peers_known" => {
            let full = match line.require("form")? {
                "changes" => false,
                "all" | "remembered" => true,
                "refused" => {
                    front.member_list_rejected(now, writer);
                    return Ok(());
                }
                other => return Err(Error(format!("field 'form': unknown value '{other}'"))),
            };
            let list_number = line.integer("sheet")?;
            let member_list = adapter
                .member_lists
                .get(&list_number)
                .ok_or_else(|| Error(format!("field 'sheet': no census {list_number}")))?;
            front.member_list_received(now, member_list, full, writer);
        }
        // Replies to requests that a front never makes: it sends neither probes nor messages to its peers.
        "health" | "note_from" => {}
        "detach" => {
            adapter.fronts.remove(instance);
        }
        other => return Err(Error(format!("unknown message '{other}'"))),
    }
    Ok(())
}
