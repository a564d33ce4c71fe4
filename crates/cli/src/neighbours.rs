//! `doorgrade neighbours`: how a front stands among others, by its own word.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use clap::Args;
use doorgrade_control_client::neighbours::{Connectivity, MemberState, NeighbourStatus, Status, status};
use doorgrade_control_client::seal_keys::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_operator::files;
use serde_json::json;

use crate::table::columns;
use crate::{End, say};

#[derive(Args)]
pub struct Neighbours {
    /// The front that is asked; the one that the settings are of if none is given
    #[arg(long, value_name = "ADDRESS")]
    at: Option<SocketAddrV4>,
    /// Where this machine reaches it, if that is another address than the one that others know
    #[arg(long, value_name = "ADDRESS")]
    through: Option<SocketAddrV4>,
    /// As one JSON object
    #[arg(long)]
    json: bool,
}

fn state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "up",
        MemberState::Suspect => "doubted",
        MemberState::Down => "down",
    }
}

fn standing(standing: Connectivity) -> &'static str {
    match standing {
        Connectivity::Isolated => "alone",
        Connectivity::Unconfirmed => "doubts",
        Connectivity::Connected => "among",
    }
}

fn seconds(ms: u64) -> String {
    format!("{}.{} s", ms / 1_000, ms % 1_000 / 100)
}

fn table(s: &Status) -> String {
    let mut rows =
        vec![["NAME", "STATION", "ADDRESS", "LIFE", "STATE", "SINCE", "HEARD"].map(String::from).to_vec()];
    rows.extend(s.neighbours.iter().map(|r: &NeighbourStatus| {
        let heard = r.last_datagram_ms.map_or("never".into(), |ms| format!("{} ago", seconds(ms)));
        let id = &r.id;
        let (name, station, at, life) = (&id.name, &id.station, id.address, id.effective_incarnation());
        let state = state(r.state).to_owned();
        vec![
            name.to_string(),
            station.to_string(),
            at.to_string(),
            life.to_string(),
            state,
            seconds(r.since_ms),
            heard,
        ]
    }));
    let own = &s.own;
    format!(
        "{} ({}, {}) is {}, in life {}: {} datagrams said, {} not said, {} refused\n{}",
        own.name,
        own.station,
        own.address,
        match s.connectivity {
            Connectivity::Connected => "among neighbours",
            Connectivity::Unconfirmed => "in doubt: it has slept, and nobody has answered since",
            Connectivity::Isolated => "alone",
        },
        own.effective_incarnation(),
        s.datagrams_sent,
        s.datagrams_withheld,
        s.datagrams_rejected,
        columns(&rows)
    )
}

fn object(s: &Status) -> String {
    let rows = s.neighbours.iter().map(|r| {
        json!({"front": &*r.id.name, "station": &*r.id.station, "address": r.id.address.to_string(),
            "life": r.id.effective_incarnation(), "state": state(r.state), "since_ms": r.since_ms,
            "heard_ms": r.last_datagram_ms})
    });
    let own = &s.own;
    let own = json!({"front": &*own.name, "station": &*own.station, "address": own.address.to_string(),
        "life": own.effective_incarnation(), "standing": standing(s.connectivity), "said": s.datagrams_sent,
        "kept": s.datagrams_withheld, "refused": s.datagrams_rejected, "neighbours": rows.collect::<Vec<_>>()});
    format!("{own}\n")
}

/// Asks a front, with the keys that the settings name.
pub fn ask(
    settings: Option<PathBuf>,
    at: Option<SocketAddrV4>,
    through: Option<SocketAddrV4>,
) -> Result<Status, String> {
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let files = files::load(Some(&path)).map_err(|problems| problems.to_string())?;
    let off = || {
        format!(
            "{}: block 'neighbours' is off: expected the settings of a front with neighbours",
            path.display()
        )
    };
    let own = files.settings.neighbours.ok_or_else(off)?;
    let keys = Keys::new(&read_keys(&files::resolve(&path, &own.seal_keys))?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let at = at.unwrap_or(own.address);
    runtime.block_on(status(&keys, at, through.unwrap_or(at)))
}

pub fn run(command: &Neighbours, settings: Option<PathBuf>) -> Result<End, String> {
    let told = ask(settings, command.at, command.through)?;
    say(&if command.json { object(&told) } else { table(&told) }).map(|()| End::Done)
}
