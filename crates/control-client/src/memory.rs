//! The memory of an instance, on disk and for neighbours: [`PersistentMemory`] does the reading and writing, and leaves
//! all decisions to [`Memory`], [`PageFetcher`] and [`PageServer`]. Off unless the operators' settings enable it.

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

use crate::{Observation, clock};

/// Key of the [`Snapshot`] in the store.
const SNAPSHOT_KEY: &str = "memory";
/// Key of the [`SavedHomes`] in the store.
const HOMES_KEY: &str = "homes";

/// Homes of objects in a hierarchy whose shape changes, as stored; encoded with postcard, by position.
#[derive(Serialize, Deserialize)]
struct SavedHomes {
    /// [`HOMES_FORMAT`] of the program that wrote it. Later formats must read earlier ones.
    format: u16,
    front: Box<str>,
    saved_at: Ticks,
    lists: Vec<SavedList>,
}

const HOMES_FORMAT: u16 = 1;

/// The rules that follow from a deployment's offerings.
pub fn rules(offerings: &[Offering], purge_done: Ticks, max_fills: usize) -> Rules {
    Rules { fresh_times: offerings.iter().map(|o| o.fresh_time).collect(), purge_done, max_fills }
}

/// Counts of remembered parts by their source, and of pages exchanged with neighbours. Part of a message between
/// fronts: encoded with postcard, by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryStatus {
    /// Parts that the front has seen itself, that its snapshot had, and that neighbours sent.
    pub own: u64,
    pub snapshot: u64,
    pub neighbours: u64,
    pub purges: u64,
    pub pages_served: u64,
    /// Requested by others, but not served: too many requests, or nothing to serve.
    pub pages_rejected: u64,
    pub pages_received: u64,
    /// Requested, but not received from the neighbour that they were requested from first.
    pub pages_missed: u64,
    /// It has received all that it requested, or has given up.
    pub fetch_done: bool,
}

/// Reads the snapshot in a store, if there is one; an error gives the reason why it can't be read.
pub fn read_snapshot(records: &Records) -> Result<Option<Snapshot>, String> {
    let Some(bytes) = records.read(SNAPSHOT_KEY).map_err(|t| t.to_string())? else { return Ok(None) };
    postcard::from_bytes(&bytes).map(Some).map_err(|_| "the snapshot can't be read".into())
}

/// A front's [`Memory`] with its store, and the exchange of pages with neighbours.
pub struct PersistentMemory {
    settings: Recall,
    name: String,
    memory: Memory,
    store: Option<Records>,
    /// The incarnation of the previous run, if its snapshot says; otherwise 0.
    pub last_incarnation: u64,
    last_write_at: Ticks,
    /// Whether anything has changed since the last successful write.
    changed: bool,
    fetcher: Option<PageFetcher>,
    server: PageServer,
    /// Counts of the entries that the present fetch has imported.
    import_stats: ImportStats,
    /// The entries loaded at the start, for the instance to take over before it serves.
    loaded: (Vec<Fill>, Vec<Purge>),
    loaded_homes: Option<(Ticks, Vec<SavedList>)>,
    homes: Vec<SavedList>,
    /// The last write error, so that a repeated one is logged once.
    write_error: Option<String>,
}

impl PersistentMemory {
    /// Opens the store and loads the snapshot. No fault of the store prevents a start: the front then remembers
    /// nothing, and logs that.
    pub fn open(recall: Recall, settings: &Path, name: &str, rules: Rules) -> PersistentMemory {
        let now = clock::now();
        let path = files::resolve(settings, &recall.store);
        let store = match Records::open(&path) {
            Ok((records, error)) => {
                error.iter().for_each(|error| tracing::error!("recall: {error}"));
                Some(records)
            }
            Err(error) => {
                tracing::error!("recall: {}: {error}; nothing will be stored", path.display());
                None
            }
        };
        let server = PageServer::new(recall.pages_per_s, now);
        let mut memory = PersistentMemory {
            memory: Memory::new(rules),
            name: name.into(),
            store,
            last_incarnation: 0,
            last_write_at: now,
            changed: false,
            fetcher: None,
            server,
            import_stats: ImportStats::default(),
            loaded: Default::default(),
            loaded_homes: None,
            homes: Vec::new(),
            write_error: None,
            settings: recall,
        };
        memory.load(now);
        memory
    }

    fn load(&mut self, now: Ticks) {
        self.loaded_homes = self.load_homes();
        let read = self.store.as_ref().map_or(Ok(None), read_snapshot);
        let snapshot = match read {
            Ok(Some(snapshot)) => snapshot,
            Ok(None) => return tracing::info!("recall: no snapshot of its own"),
            Err(reason) => return tracing::error!("recall: its own snapshot is left out: {reason}"),
        };
        if *snapshot.front == *self.name {
            self.last_incarnation = snapshot.incarnation;
        }
        if let Err(reason) = snapshot.check(&self.name, self.memory.rules(), now) {
            return tracing::warn!("recall: its own snapshot is left out: {reason}");
        }
        let (fills, purges, import_stats) =
            self.memory.import(now, Source::Snapshot, &snapshot.fills, &snapshot.purges);
        let ms_ago = now.saturating_sub(snapshot.taken_at) / 10;
        tracing::info!("recall: from its own snapshot of {ms_ago} ms ago: {import_stats}");
        self.loaded = (fills, purges);
    }

    fn load_homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        let bytes = match self.store.as_ref()?.read(HOMES_KEY) {
            Ok(bytes) => bytes?,
            Err(error) => {
                tracing::error!("recall: saved homes are ignored: {error}");
                return None;
            }
        };
        let reason = match postcard::from_bytes::<SavedHomes>(&bytes) {
            Ok(h) if h.format != HOMES_FORMAT => {
                format!("their format is {}: expected {HOMES_FORMAT}", h.format)
            }
            Ok(h) if *h.front != *self.name => format!("they were saved by front {}", h.front),
            Ok(h) => return Some((h.saved_at, h.lists)),
            Err(_) => "they can't be read".into(),
        };
        tracing::warn!("recall: saved homes are ignored: {reason}");
        None
    }

    /// The homes of objects as an earlier run saved them, and when it did.
    pub fn homes(&self) -> Option<(Ticks, Vec<SavedList>)> {
        self.loaded_homes.clone()
    }

    /// The entries from the snapshot that are still valid.
    pub fn loaded(&self) -> (Vec<Fill>, Vec<Purge>) {
        self.loaded.clone()
    }

    /// Records what the instance has observed itself.
    pub fn record(&mut self, observations: &[Observation]) {
        let now = clock::now();
        self.changed |= !observations.is_empty();
        for observation in observations {
            match observation {
                Observation::Fill(fill) => self.memory.record_fill(now, *fill),
                Observation::Purge(purge) => self.memory.record_purge(now, *purge),
                Observation::Homes(lists) => self.homes.clone_from(lists),
            }
        }
    }

    /// When the next snapshot is to be written.
    pub fn next_write_at(&self) -> Ticks {
        self.last_write_at + self.settings.write_ms * 10
    }

    /// Writes a snapshot and the homes, if anything has changed.
    pub fn write(&mut self, now: Ticks, incarnation: u64) {
        self.last_write_at = now;
        let Some(store) = self.store.as_ref().filter(|_| self.changed) else { return };
        let taken_at = clock::now();
        let snapshot = Snapshot::take(&self.memory, &self.name, incarnation, taken_at);
        let (front, lists) = (self.name.as_str().into(), self.homes.clone());
        let homes = SavedHomes { format: HOMES_FORMAT, front, saved_at: taken_at, lists };
        let homes = (!homes.lists.is_empty()).then(|| postcard::to_stdvec(&homes)).transpose();
        let written = postcard::to_stdvec(&snapshot)
            .and_then(|bytes| Ok((bytes, homes?)))
            .map_err(|e| StoreError::Failed(e.to_string().into()))
            .and_then(|(bytes, homes)| {
                let puts: Vec<_> =
                    std::iter::once((SNAPSHOT_KEY, bytes)).chain(homes.map(|h| (HOMES_KEY, h))).collect();
                store.write(&puts, &[])
            });
        self.changed = written.is_err();
        let write_error = written.err().map(|t| t.to_string());
        if write_error != self.write_error {
            match &write_error {
                Some(error) => tracing::error!("recall: no snapshot is written: {error}"),
                None => tracing::info!("recall: snapshots are written again"),
            }
            self.write_error = write_error;
        }
    }

    // ---- neighbours

    /// Starts to fetch from neighbours what they remember: after a start or a stall.
    pub fn start_fetch(&mut self, now: Ticks) {
        self.fetcher = Some(PageFetcher::new(&self.name, now));
        self.import_stats = ImportStats::default();
    }

    /// The process was suspended: what it had seen itself before no longer counts as first-hand, and is fetched again.
    pub fn on_stall(&mut self, now: Ticks) {
        self.memory.demote_own();
        self.start_fetch(now);
    }

    /// A neighbour has come up.
    pub fn on_new_neighbour(&mut self, now: Ticks) {
        let max_lifetime = self.memory.rules().max_lifetime();
        self.fetcher.iter_mut().for_each(|f| f.on_new_neighbour(now, max_lifetime));
    }

    /// Whether a fetch from neighbours is going on.
    pub fn is_fetching(&self) -> bool {
        self.fetcher.as_ref().is_some_and(|f| !f.done)
    }

    /// When the next request to a neighbour times out.
    pub fn next_timeout(&self) -> Option<Ticks> {
        self.fetcher.as_ref().and_then(PageFetcher::next_timeout)
    }

    /// The requests to send now.
    pub fn poll_fetch(&mut self, now: Ticks, providers: &[Provider]) -> Vec<PageRequest> {
        let Some(fetcher) = self.fetcher.as_mut().filter(|f| !f.done) else { return Vec::new() };
        let requests = fetcher.poll(now, providers);
        if fetcher.done {
            tracing::info!(
                "recall: from neighbours, {} pages: {}",
                fetcher.pages_received,
                self.import_stats
            );
        }
        requests
    }

    /// The response to a neighbour that requests a page.
    pub fn serve_page(&mut self, now: Ticks, to: SocketAddrV4, page: u16) -> PageResponse {
        let remembers = !self.loaded.0.is_empty();
        if self.fetcher.as_ref().is_some_and(|f| !f.may_serve(remembers)) {
            return PageResponse::Nothing;
        }
        self.server.serve(now, clock::now(), to, &self.memory, page)
    }

    /// Imports a page from a neighbour; returns the entries that are new to the instance. A page that was not requested
    /// is ignored.
    pub fn on_page(
        &mut self,
        from: SocketAddrV4,
        (page, pages): (u16, u16),
        fills: &[Fill],
        purges: &[Purge],
    ) -> Option<(Vec<Fill>, Vec<Purge>)> {
        if !self.fetcher.as_mut()?.on_page(from, page, pages) {
            return None;
        }
        let (fills, purges, import_stats) =
            self.memory.import(clock::now(), Source::Neighbour, fills, purges);
        self.import_stats.merge(&import_stats);
        self.changed = true;
        Some((fills, purges)).filter(|new| !new.0.is_empty() || !new.1.is_empty())
    }

    /// The neighbour serves no more pages at the moment.
    pub fn on_busy(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.fetcher.iter_mut().for_each(|f| f.on_busy(now, from, page));
    }

    /// The neighbour has nothing to serve.
    pub fn on_nothing(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.fetcher.iter_mut().for_each(|f| f.on_nothing(now, from, page));
    }

    pub fn status(&self) -> MemoryStatus {
        let count = |source| self.memory.count(source) as u64;
        let fetcher = self.fetcher.as_ref();
        MemoryStatus {
            own: count(Source::Own),
            snapshot: count(Source::Snapshot),
            neighbours: count(Source::Neighbour),
            purges: self.memory.purge_count() as u64,
            pages_served: self.server.pages_served,
            pages_rejected: self.server.pages_rejected,
            pages_received: fetcher.map_or(0, |f| f.pages_received),
            pages_missed: fetcher.map_or(0, |f| f.pages_missed),
            fetch_done: fetcher.is_none_or(|f| f.done),
        }
    }
}
