//! Runs doorgrade's decisions on the bench's line wire: standard input to calls, answers to standard output.

mod line;
mod words;
mod writer;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

use doorgrade::{Access, Front, Member, MemberStatus, PushResult, Ticks};
use rustc_hash::FxHashMap;

use line::{Bad, Line};
use writer::Writer;

type Census = Arc<[Member]>;

struct Link {
    /// Each with its number of classes.
    fronts: FxHashMap<Box<str>, (Front, usize)>,
    censuses: FxHashMap<u64, Census>,
    writer: Writer,
}

fn main() -> ExitCode {
    let mut link =
        Link { fronts: FxHashMap::default(), censuses: FxHashMap::default(), writer: Writer::default() };
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut number = 0;
    match serve(&mut link, &mut input, &mut number) {
        Ok(()) => ExitCode::SUCCESS,
        Err(bad) => {
            eprintln!("doorgrade-benchlink: line {number}: {bad}");
            ExitCode::FAILURE
        }
    }
}

/// Reads one line into `buffer` without its end; false at the end of input.
fn next_line(input: &mut impl BufRead, buffer: &mut String, number: &mut u64) -> Result<bool, Bad> {
    buffer.clear();
    *number += 1;
    let read = input.read_line(buffer).map_err(|e| Bad(format!("unreadable input: {e}")))?;
    if read > 0 && !buffer.ends_with('\n') {
        return Err(Bad("input ends within a line".into()));
    }
    buffer.truncate(buffer.trim_end_matches(['\n', '\r']).len());
    Ok(read > 0)
}

fn serve(link: &mut Link, input: &mut impl BufRead, number: &mut u64) -> Result<(), Bad> {
    let mut text = String::new();
    let mut out = io::stdout().lock();
    loop {
        if !next_line(input, &mut text, number)? {
            return Ok(());
        }
        if text.is_empty() {
            continue;
        }
        let line = Line::new(&text);
        if line.tag() != "round" {
            return Err(Bad(format!("expected 'round', found '{}'", line.tag())));
        }
        let now = line.time_down("clock")?;
        loop {
            if !next_line(input, &mut text, number)? {
                return Err(Bad("input ends within a round, 'eob' is missing".into()));
            }
            if text == "eob" {
                break;
            }
            if text.is_empty() {
                continue;
            }
            let line = Line::new(&text);
            if line.tag() == "census" {
                let sheet = line.whole("sheet")?;
                let count = line.whole("nodesList")?;
                let mut members = Vec::new();
                for _ in 0..count {
                    if !next_line(input, &mut text, number)? {
                        return Err(Bad("input ends within a census".into()));
                    }
                    members.push(member(&Line::new(&text))?);
                }
                link.censuses.insert(sheet, members.into());
            } else {
                event(link, &line, now)?;
            }
        }
        link.writer.end_reply();
        out.write_all(link.writer.bytes())
            .and_then(|()| out.flush())
            .map_err(|e| Bad(format!("cannot write: {e}")))?;
        link.writer.clear();
    }
}

fn member(line: &Line<'_>) -> Result<Member, Bad> {
    if line.tag() != "row" {
        return Err(Bad(format!("expected 'row', found '{}'", line.tag())));
    }
    Ok(Member {
        id: line.text("cache")?.into(),
        zone: line.whole_or("rackZone", 0)? as usize,
        kind: line.whole_or("type", 0)? as usize,
        cell: line.whole_or("cluster", 0)?,
        status: match line.text("availability")? {
            "healthy" => MemberStatus::Listed,
            "cordoned" => MemberStatus::Draining,
            "deregistered" => MemberStatus::Gone,
            other => return Err(Bad(format!("field 'availability': unknown value '{other}'"))),
        },
        weight: line.number_or("units", 1.0)?,
        started_at: match line.get("startedAt") {
            Some(_) => Some(line.time_up("startedAt")?).filter(|&t| t > 0),
            None => None,
        },
    })
}

fn event(link: &mut Link, line: &Line<'_>, now: Ticks) -> Result<(), Bad> {
    let tag = line.tag();
    let who = line.text("i")?;
    if tag == "power_on" {
        let settings = doorgrade_settings::read(line.rest("bootInfo")?)
            .map_err(|e| Bad(format!("field 'bootInfo': {e}")))?
            .settings;
        let front = Front::new(&settings, line.whole("prng")?);
        link.fronts.insert(who.into(), (front, settings.offerings.len()));
        return Ok(());
    }
    let (front, classes) = link
        .fronts
        .get_mut(who)
        .ok_or_else(|| Bad(format!("field 'i': '{who}' does not run ('{tag}' before 'power_on')")))?;
    let out = &mut link.writer;
    out.speak_for(who);
    match tag {
        "req" => {
            let access = Access {
                id: line.whole("requestId")?,
                offering: line.whole_or("band", 0)? as usize,
                object: line.whole_or("asset", 0)?,
                part: line.whole_or("segment", 0)? as u32,
                group: line.whole_or("tag", 0)?,
                kb: line.number_or("kb", 0.0)?,
                deadline: line.time_down("notAfter")?,
                // This wire has no field for it: the simulator's caches know a repeat by its id.
                has_repeat_id: true,
            };
            if access.offering >= *classes {
                return Err(Bad(format!("field 'band': no class {}", access.offering)));
            }
            front.access(now, &access, out);
        }
        "ended" => {
            let ended = PushResult {
                push: line.whole_or("sendNo", 0)? as usize,
                outcome: words::outcome(line.text("rc")?)?,
                access_done: line.flag("settled")?,
                latency: line.time_down("lag")?,
                cache_status: words::note(line.whole_or("info", 0)?)?,
                origin_sent_at: None, // this wire does not tell it
            };
            front.push_ended(now, line.whole("requestId")?, &ended, out);
        }
        "due" => front.timer_fired(now, line.whole("keyBack")?, out),
        "hangup" => front.client_left(line.whole("requestId")?, out),
        "accepted" => front.stream_started(line.whole("requestId")?),
        "expired_now" => {
            let object = line.get("asset").map(|_| line.whole("asset")).transpose()?;
            front.purge_received(now, object, line.whole_or("setNo", 0)?, line.time_down("age")?);
        }
        "peers_known" => {
            let full = match line.text("form")? {
                "changes" => false,
                "all" | "remembered" => true,
                "refused" => {
                    front.member_list_rejected(now, out);
                    return Ok(());
                }
                other => return Err(Bad(format!("field 'form': unknown value '{other}'"))),
            };
            let sheet = line.whole("sheet")?;
            let census =
                link.censuses.get(&sheet).ok_or_else(|| Bad(format!("field 'sheet': no census {sheet}")))?;
            front.member_list_received(now, census, full, out);
        }
        // Never asked for: the front neither probes nor talks to its peers.
        "health" | "note_from" => {}
        "detach" => {
            link.fronts.remove(who);
        }
        other => return Err(Bad(format!("unknown message '{other}'"))),
    }
    Ok(())
}
