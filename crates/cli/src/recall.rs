//! `doorgrade recall`: what a front remembers, from its store or by its own word.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_control_client::memory::{MemoryStatus, read_snapshot};
use doorgrade_operator::files;
use doorgrade_recall::{Memory, Snapshot, Source};
use doorgrade_store::{Records, StoreError};
use doorgrade_stream::clock::now;
use serde_json::json;

use crate::{End, neighbours, say};

#[derive(Subcommand)]
pub enum Recall {
    /// Shows what is remembered, how old it is, from whom, and what of it would be dropped now
    Show {
        /// A store, or the address of a front with neighbours; the settings' own store if neither is given
        what: Option<String>,
        /// Where this machine reaches that front, if that is another address than the one that others know
        #[arg(long, value_name = "ADDRESS")]
        through: Option<SocketAddrV4>,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
}

fn asked(front: &str, r: &MemoryStatus, json: bool) -> String {
    if json {
        let told = json!({"front": front, "own": r.own, "snapshot": r.snapshot, "neighbours": r.neighbours,
            "purges": r.purges, "pages_given": r.pages_served, "pages_turned_down": r.pages_rejected,
            "pages_came": r.pages_received, "pages_lost": r.pages_missed, "done": r.fetch_done});
        return format!("{told}\n");
    }
    format!(
        "{front} remembers {} parts that it saw itself, {} from its snapshot, {} from neighbours, and {} purges\n\
         {} pages given, {} turned down; {} pages came, {} did not{}\n",
        r.own,
        r.snapshot,
        r.neighbours,
        r.purges,
        r.pages_served,
        r.pages_rejected,
        r.pages_received,
        r.pages_missed,
        if r.fetch_done { "" } else { "; it is still asking" }
    )
}

fn stored(snapshot: &Snapshot, now: u64, json: bool) -> String {
    let ago = now.saturating_sub(snapshot.taken_at) / 10;
    let refused = snapshot.check(&snapshot.front, &snapshot.rules, now).err().map(|why| why.to_string());
    let mut memory = Memory::new(snapshot.rules.clone());
    let (.., tally) = memory.import(now, Source::Snapshot, &snapshot.fills, &snapshot.purges);
    if json {
        let dropped = tally.dropped.iter().map(|(why, count)| (why.to_string(), json!(count)));
        let told = json!({"front": &*snapshot.front, "taken_ms_ago": ago, "life": snapshot.incarnation,
            "parts": snapshot.fills.len(), "purges": snapshot.purges.len(), "refused": refused,
            "would_take": {"parts": tally.fills, "purges": tally.purges},
            "would_drop": dropped.collect::<serde_json::Map<_, _>>()});
        return format!("{told}\n");
    }
    let fresh =
        snapshot.rules.fresh_times.iter().map(|t| (t / 10).to_string()).collect::<Vec<_>>().join(", ");
    let verdict = match refused {
        Some(why) => format!("a start now would leave it out: {why}"),
        None => format!("a start now would take of it: {tally}"),
    };
    format!(
        "{}\'s snapshot of {ago} ms ago, in life {}: {} parts, {} purges; fresh times {fresh} ms\n{verdict}\n",
        snapshot.front,
        snapshot.incarnation,
        snapshot.fills.len(),
        snapshot.purges.len()
    )
}

fn of_store(path: &Path, json: bool) -> Result<End, String> {
    let named = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    if !path.is_file() {
        return Err(named(&"expected the store of a front"));
    }
    let records = match Records::open(path) {
        Ok((records, None)) => records,
        Ok((_, Some(trouble))) => return Err(named(&trouble)),
        Err(StoreError::InUse) => {
            return Err(named(&"a front that runs has it open: name its address to ask it"));
        }
        Err(trouble) => return Err(named(&trouble)),
    };
    let snapshot = read_snapshot(&records).map_err(|why| named(&why))?;
    let snapshot = snapshot.ok_or_else(|| named(&"there is no snapshot in it"))?;
    say(&stored(&snapshot, now(), json)).map(|()| End::Done)
}

pub fn run(command: Recall, settings: Option<PathBuf>) -> Result<End, String> {
    let Recall::Show { what, through, json } = command;
    if let Some(at) = what.as_deref().and_then(|what| what.parse::<SocketAddrV4>().ok()) {
        let told = neighbours::ask(settings, Some(at), through)?;
        let memory = told.memory.as_ref();
        let memory = memory
            .ok_or_else(|| format!("{at}: {} remembers nothing: block \'recall\' is off", told.own.name))?;
        return say(&asked(&told.own.name, memory, json)).map(|()| End::Done);
    }
    if let Some(file) = what {
        return of_store(Path::new(&file), json);
    }
    let path = settings.unwrap_or_else(|| files::DEFAULT_PATH.into());
    let files = files::load(Some(&path)).map_err(|problems| problems.to_string())?;
    let own = files
        .settings
        .recall
        .ok_or_else(|| format!("{}: block \'recall\' is off: name a store or a front", path.display()))?;
    of_store(&files::resolve(&path, &own.store), json)
}
