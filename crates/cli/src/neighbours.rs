//! `doorgrade neighbours`: a front's view of its neighbours, as the front reports it.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use clap::Args;
use doorgrade_control_client::neighbours::{Connectivity, MemberState, NeighbourStatus, Status, status};
use doorgrade_control_client::seal_keys::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_operator::files;
use serde_json::json;

use crate::table::format_table;
use crate::{Outcome, write_stdout};

#[derive(Args)]
pub struct Neighbours {
    /// The front to ask; by default the one that the settings belong to
    #[arg(long, value_name = "ADDRESS")]
    at: Option<SocketAddrV4>,
    /// The address at which this machine reaches the front, if it differs from the one that its neighbours use
    #[arg(long, value_name = "ADDRESS")]
    through: Option<SocketAddrV4>,
    /// Prints one JSON object
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
        let (name, station, address, incarnation) =
            (&id.name, &id.station, id.address, id.effective_incarnation());
        let state = state(r.state).to_owned();
        vec![
            name.to_string(),
            station.to_string(),
            address.to_string(),
            incarnation.to_string(),
            state,
            seconds(r.since_ms),
            heard,
        ]
    }));
    let own = &s.own;
    format!(
        "{} ({}, {}) is {}, incarnation {}: {} datagrams sent, {} held back, {} rejected\n{}",
        own.name,
        own.station,
        own.address,
        match s.connectivity {
            Connectivity::Connected => "among neighbours",
            Connectivity::Unconfirmed => "in doubt: it was stalled, and no neighbour has answered since",
            Connectivity::Isolated => "alone",
        },
        own.effective_incarnation(),
        s.datagrams_sent,
        s.datagrams_withheld,
        s.datagrams_rejected,
        format_table(&rows)
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

/// Fetches the status of a front, with the seal keys named in the settings.
pub fn fetch_status(
    settings: Option<PathBuf>,
    at: Option<SocketAddrV4>,
    through: Option<SocketAddrV4>,
) -> Result<Status, String> {
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let files = files::load(Some(&path)).map_err(|problems| problems.to_string())?;
    let disabled = || {
        format!(
            "{}: block 'neighbours' is off: expected the settings of a front with neighbours",
            path.display()
        )
    };
    let own = files.settings.neighbours.ok_or_else(disabled)?;
    let keys = Keys::new(&read_keys(&files::resolve(&path, &own.seal_keys))?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let at = at.unwrap_or(own.address);
    runtime.block_on(status(&keys, at, through.unwrap_or(at)))
}

pub fn run(command: &Neighbours, settings: Option<PathBuf>) -> Result<Outcome, String> {
    let status = fetch_status(settings, command.at, command.through)?;
    write_stdout(&if command.json { object(&status) } else { table(&status) }).map(|()| Outcome::Done)
}
