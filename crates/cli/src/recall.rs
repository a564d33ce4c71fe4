//! `doorgrade recall`: what a front remembers, read from its store or reported by the front.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_control_client::memory::{MemoryStatus, read_snapshot};
use doorgrade_operator::files;
use doorgrade_recall::{Memory, Snapshot, Source};
use doorgrade_store::{Records, StoreError};
use doorgrade_stream::clock::now;
use serde_json::json;

use crate::{Outcome, neighbours, write_stdout};

#[derive(Subcommand)]
pub enum Recall {
    /// Shows what is remembered, its age and origin, and which parts would be dropped now
    Show {
        /// A store, or the address of a front with neighbours; by default the store named in the settings
        what: Option<String>,
        /// The address at which this machine reaches that front, if it differs from the one that its neighbours use
        #[arg(long, value_name = "ADDRESS")]
        through: Option<SocketAddrV4>,
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
    },
}

fn report_of_front(front: &str, r: &MemoryStatus, json: bool) -> String {
    if json {
        let object = json!({"front": front, "own": r.own, "snapshot": r.snapshot, "neighbours": r.neighbours,
            "purges": r.purges, "pages_given": r.pages_served, "pages_turned_down": r.pages_rejected, "pages_came": r.pages_received,
            "pages_lost": r.pages_missed, "done": r.fetch_done});
        return format!("{object}\n");
    }
    format!(
        "{front} remembers {} parts that it observed itself, {} from its snapshot, {} from neighbours, and {} purges\n\
         {} pages given, {} rejected; {} pages received, {} missing{}\n",
        r.own,
        r.snapshot,
        r.neighbours,
        r.purges,
        r.pages_served,
        r.pages_rejected,
        r.pages_received,
        r.pages_missed,
        if r.fetch_done { "" } else { "; still fetching" }
    )
}

fn report_of_snapshot(snapshot: &Snapshot, now: u64, json: bool) -> String {
    let age_ms = now.saturating_sub(snapshot.taken_at) / 10;
    let rejection =
        snapshot.check(&snapshot.front, &snapshot.rules, now).err().map(|reason| reason.to_string());
    let mut memory = Memory::new(snapshot.rules.clone());
    let (.., stats) = memory.import(now, Source::Snapshot, &snapshot.fills, &snapshot.purges);
    if json {
        let dropped = stats.dropped.iter().map(|(reason, count)| (reason.to_string(), json!(count)));
        let object = json!({"front": &*snapshot.front, "taken_ms_ago": age_ms, "life": snapshot.incarnation,
            "parts": snapshot.fills.len(), "purges": snapshot.purges.len(), "refused": rejection,
            "would_take": {"parts": stats.fills, "purges": stats.purges},
            "would_drop": dropped.collect::<serde_json::Map<_, _>>()});
        return format!("{object}\n");
    }
    let fresh_times =
        snapshot.rules.fresh_times.iter().map(|t| (t / 10).to_string()).collect::<Vec<_>>().join(", ");
    let verdict = match rejection {
        Some(reason) => format!("a front that starts now would ignore it: {reason}"),
        None => format!("a front that starts now would import: {stats}"),
    };
    format!(
        "{}\'s snapshot of {age_ms} ms ago, incarnation {}: {} parts, {} purges; fresh times {fresh_times} ms\n\
         {verdict}\n",
        snapshot.front,
        snapshot.incarnation,
        snapshot.fills.len(),
        snapshot.purges.len()
    )
}

fn show_store(path: &Path, json: bool) -> Result<Outcome, String> {
    let error_at_path = |message: &dyn std::fmt::Display| format!("{}: {message}", path.display());
    if !path.is_file() {
        return Err(error_at_path(&"expected the store of a front"));
    }
    let records = match Records::open(path) {
        Ok((records, None)) => records,
        Ok((_, Some(error))) => return Err(error_at_path(&error)),
        Err(StoreError::InUse) => {
            return Err(error_at_path(&"a front that runs has it open: give its address instead"));
        }
        Err(error) => return Err(error_at_path(&error)),
    };
    let snapshot = read_snapshot(&records).map_err(|e| error_at_path(&e))?;
    let snapshot = snapshot.ok_or_else(|| error_at_path(&"it contains no snapshot"))?;
    write_stdout(&report_of_snapshot(&snapshot, now(), json)).map(|()| Outcome::Done)
}

pub fn run(command: Recall, settings: Option<PathBuf>) -> Result<Outcome, String> {
    let Recall::Show { what, through, json } = command;
    if let Some(at) = what.as_deref().and_then(|what| what.parse::<SocketAddrV4>().ok()) {
        let status = neighbours::fetch_status(settings, Some(at), through)?;
        let memory = status.memory.as_ref();
        let memory = memory
            .ok_or_else(|| format!("{at}: {} remembers nothing: block \'recall\' is off", status.own.name))?;
        return write_stdout(&report_of_front(&status.own.name, memory, json)).map(|()| Outcome::Done);
    }
    if let Some(file) = what {
        return show_store(Path::new(&file), json);
    }
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let files = files::load(Some(&path)).map_err(|problems| problems.to_string())?;
    let own = files
        .settings
        .recall
        .ok_or_else(|| format!("{}: block \'recall\' is off: name a store or a front", path.display()))?;
    show_store(&files::resolve(&path, &own.store), json)
}
