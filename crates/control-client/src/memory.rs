//! What an instance remembers, on disk and for neighbours: reads and writes, and hands all of it to [`Memory`],
//! [`PageFetcher`] and [`PageServer`], which decide. Off unless the operators' settings have it on.

use std::net::SocketAddrV4;
use std::path::Path;

use doorgrade::{Offering, Ticks};
use doorgrade_hierarchy::homes::SavedList;
use doorgrade_operator::files;
use doorgrade_operator::neighbours::Recall;
use doorgrade_recall::{
    Fill, ImportStats, Memory, PageFetcher, PageRequest, PageResponse, PageServer, Provider, Purge, Rules,
    Snapshot, Source,
};
use doorgrade_store::{Records, StoreError};
use serde::{Deserialize, Serialize};

use crate::{Learned, clock};

const RECORD: &str = "memory";
const HOMES: &str = "homes";

/// Homes of objects in a hierarchy that changes shape, as they are written down.
#[derive(Serialize, Deserialize)]
struct Homes {
    /// Of what follows. A later one reads earlier ones.
    format: u16,
    front: Box<str>,
    taken: Ticks,
    lists: Vec<SavedList>,
}

const HOMES_FORMAT: u16 = 1;

/// The rules that a deployment's offerings make.
pub fn rules(offerings: &[Offering], purge_done: Ticks, most: usize) -> Rules {
    Rules { fresh_times: offerings.iter().map(|o| o.fresh_time).collect(), purge_done, max_fills: most }
}

/// For people: what is remembered and from whom, and what came of asking and giving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembers {
    pub own: u64,
    pub snapshot: u64,
    pub neighbours: u64,
    pub purges: u64,
    /// Pages given, and not given since too many were asked for or there was nothing.
    pub given: u64,
    pub turned_down: u64,
    /// Pages that came, and that did not come from where they were asked first.
    pub came: u64,
    pub lost: u64,
    /// It has all that it asked for, or gave up asking.
    pub done: bool,
}

/// Reads the snapshot in a store: what the store says, and what is in the way of reading it.
pub fn read(records: &Records) -> Result<Option<Snapshot>, String> {
    let Some(bytes) = records.read(RECORD).map_err(|t| t.to_string())? else { return Ok(None) };
    postcard::from_bytes(&bytes).map(Some).map_err(|_| "the snapshot can't be read".into())
}

/// What is remembered, its store, and what is asked of and given to neighbours.
pub struct Remember {
    own: Recall,
    name: String,
    memory: Memory,
    store: Option<Records>,
    /// The incarnation of the start before, if its snapshot says.
    pub last_incarnation: u64,
    written: Ticks,
    /// Something has come since.
    changed: bool,
    asking: Option<PageFetcher>,
    giving: PageServer,
    tally: ImportStats,
    /// What was found at the start, for the instance to hear before it serves.
    found: (Vec<Fill>, Vec<Purge>),
    found_homes: Option<(Ticks, Vec<SavedList>)>,
    homes: Vec<SavedList>,
    failed: Option<String>,
}

impl Remember {
    /// Nothing that is wrong with the store ends a start: the front then remembers nothing, and says so.
    pub fn open(own: Recall, settings: &Path, name: &str, rules: Rules) -> Remember {
        let now = clock::now();
        let path = files::beside(settings, &own.store);
        let store = match Records::open(&path) {
            Ok((records, trouble)) => {
                trouble.iter().for_each(|trouble| tracing::error!("recall: {trouble}"));
                Some(records)
            }
            Err(trouble) => {
                tracing::error!("recall: {}: {trouble}; nothing will be stored", path.display());
                None
            }
        };
        let giving = PageServer::new(own.pages, now);
        let mut remember = Remember {
            memory: Memory::new(rules),
            name: name.into(),
            store,
            last_incarnation: 0,
            written: now,
            changed: false,
            asking: None,
            giving,
            tally: ImportStats::default(),
            found: Default::default(),
            found_homes: None,
            homes: Vec::new(),
            failed: None,
            own,
        };
        remember.load(now);
        remember
    }

    fn load(&mut self, now: Ticks) {
        self.found_homes = self.load_homes();
        let read = self.store.as_ref().map_or(Ok(None), read);
        let snapshot = match read {
            Ok(Some(snapshot)) => snapshot,
            Ok(None) => return tracing::info!("recall: no snapshot of its own"),
            Err(why) => return tracing::error!("recall: its own snapshot is left out: {why}"),
        };
        if *snapshot.front == *self.name {
            self.last_incarnation = snapshot.incarnation;
        }
        if let Err(why) = snapshot.check(&self.name, self.memory.rules(), now) {
            return tracing::warn!("recall: its own snapshot is left out: {why}");
        }
        let (fills, purges, tally) =
            self.memory.import(now, Source::Snapshot, &snapshot.fills, &snapshot.purges);
        let ago = now.saturating_sub(snapshot.taken_at) / 10;
        tracing::info!("recall: from its own snapshot of {ago} ms ago: {tally}");
        self.found = (fills, purges);
    }

    fn load_homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        let bytes = match self.store.as_ref()?.read(HOMES) {
            Ok(bytes) => bytes?,
            Err(trouble) => {
                tracing::error!("recall: homes are left out: {trouble}");
                return None;
            }
        };
        let why = match postcard::from_bytes::<Homes>(&bytes) {
            Ok(h) if h.format != HOMES_FORMAT => {
                format!("their format is {}: expected {HOMES_FORMAT}", h.format)
            }
            Ok(h) if *h.front != *self.name => format!("they are {}'s", h.front),
            Ok(h) => return Some((h.taken, h.lists)),
            Err(_) => "they can't be read".into(),
        };
        tracing::warn!("recall: homes are left out: {why}");
        None
    }

    /// Homes of objects as they were before, and when that was written.
    pub fn homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        self.found_homes.clone()
    }

    /// What the snapshot had that still holds.
    pub fn found(&self) -> (Vec<Fill>, Vec<Purge>) {
        self.found.clone()
    }

    pub fn saw(&mut self, seen: &[Learned]) {
        let now = clock::now();
        self.changed |= !seen.is_empty();
        for seen in seen {
            match seen {
                Learned::Fill(fill) => self.memory.record_fill(now, *fill),
                Learned::Purge(purge) => self.memory.record_purge(now, *purge),
                Learned::Homes(lists) => self.homes.clone_from(lists),
            }
        }
    }

    /// When a snapshot is due.
    pub fn due(&self) -> Ticks {
        self.written + self.own.write_ms * 10
    }

    /// Writes a snapshot, if there is anything new.
    pub fn write(&mut self, now: Ticks, incarnation: u64) {
        self.written = now;
        let Some(store) = self.store.as_ref().filter(|_| self.changed) else { return };
        let taken = clock::now();
        let snapshot = Snapshot::take(&self.memory, &self.name, incarnation, taken);
        let (front, lists) = (self.name.as_str().into(), self.homes.clone());
        let homes = Homes { format: HOMES_FORMAT, front, taken, lists };
        let homes = (!homes.lists.is_empty()).then(|| postcard::to_stdvec(&homes)).transpose();
        let wrote = postcard::to_stdvec(&snapshot)
            .and_then(|bytes| Ok((bytes, homes?)))
            .map_err(|e| StoreError::Failed(e.to_string().into()))
            .and_then(|(bytes, homes)| {
                let puts: Vec<_> =
                    std::iter::once((RECORD, bytes)).chain(homes.map(|h| (HOMES, h))).collect();
                store.write(&puts, &[])
            });
        self.changed = wrote.is_err();
        let failed = wrote.err().map(|t| t.to_string());
        // The same again and again is one line.
        if failed != self.failed {
            match &failed {
                Some(why) => tracing::error!("recall: no snapshot is written: {why}"),
                None => tracing::info!("recall: snapshots are written again"),
            }
            self.failed = failed;
        }
    }

    // ---- neighbours

    /// It has just come back, or woken: those that lived are asked.
    pub fn ask(&mut self, now: Ticks) {
        self.asking = Some(PageFetcher::new(&self.name, now));
        self.tally = ImportStats::default();
    }

    /// What it has seen before a stall is no first-hand knowledge any more.
    pub fn slept(&mut self, now: Ticks) {
        self.memory.demote_own();
        self.ask(now);
    }

    /// A neighbour is there that was not.
    pub fn met(&mut self, now: Ticks) {
        let true_for = self.memory.rules().max_lifetime();
        self.asking.iter_mut().for_each(|a| a.on_new_neighbour(now, true_for));
    }

    /// Whether it still asks neighbours.
    pub fn asks(&self) -> bool {
        self.asking.as_ref().is_some_and(|a| !a.done)
    }

    /// When the next question to a neighbour is due.
    pub fn late(&self) -> Option<Ticks> {
        self.asking.as_ref().and_then(PageFetcher::next_timeout)
    }

    /// Whom to ask for which page now.
    pub fn step(&mut self, now: Ticks, givers: &[Provider]) -> Vec<PageRequest> {
        let Some(asking) = self.asking.as_mut().filter(|a| !a.done) else { return Vec::new() };
        let asks = asking.poll(now, givers);
        if asking.done {
            tracing::info!("recall: from neighbours, {} pages: {}", asking.pages_received, self.tally);
        }
        asks
    }

    /// What a neighbour that asks for a page is given.
    pub fn page(&mut self, now: Ticks, to: SocketAddrV4, page: u16) -> PageResponse {
        let remembers = !self.found.0.is_empty();
        if self.asking.as_ref().is_some_and(|a| !a.may_serve(remembers)) {
            return PageResponse::Nothing;
        }
        self.giving.serve(now, clock::now(), to, &self.memory, page)
    }

    /// A page that was asked for has come; what of it is new is for the instance to hear.
    pub fn given(
        &mut self,
        from: SocketAddrV4,
        (page, pages): (u16, u16),
        fills: &[Fill],
        purges: &[Purge],
    ) -> Option<(Vec<Fill>, Vec<Purge>)> {
        if !self.asking.as_mut()?.on_page(from, page, pages) {
            return None;
        }
        let (fills, purges, tally) = self.memory.import(clock::now(), Source::Neighbour, fills, purges);
        self.tally.merge(&tally);
        self.changed = true;
        Some((fills, purges)).filter(|news| !news.0.is_empty() || !news.1.is_empty())
    }

    /// The neighbour gives no more at the moment.
    pub fn busy(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.asking.iter_mut().for_each(|a| a.on_busy(now, from, page));
    }

    /// The neighbour has nothing to give.
    pub fn nothing(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.asking.iter_mut().for_each(|a| a.on_nothing(now, from, page));
    }

    /// Counts, for people.
    pub fn tells(&self) -> Remembers {
        let count = |source| self.memory.count(source) as u64;
        let asking = self.asking.as_ref();
        Remembers {
            own: count(Source::Own),
            snapshot: count(Source::Snapshot),
            neighbours: count(Source::Neighbour),
            purges: self.memory.purge_count() as u64,
            given: self.giving.pages_served,
            turned_down: self.giving.pages_rejected,
            came: asking.map_or(0, |a| a.pages_received),
            lost: asking.map_or(0, |a| a.pages_missed),
            done: asking.is_none_or(|a| a.done),
        }
    }
}
