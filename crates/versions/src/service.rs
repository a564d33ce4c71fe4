//! The service's side: what each front has, wants and said; publication in waves; who comes in, and when.
//!
//! **Who gets what.** Every front has a rank, the hash of its name. A publication goes to a few canaries of
//! different stations first, then to a share of all ranks from a place that its number draws, then to all. A front
//! is offered what it is its turn to have; one that runs something later is never offered anything older.
//!
//! **When it stops.** When refusals, missing answers or drops of service among those it went to pass a bound. Then
//! nobody else is offered it; those that run it go on until a version with a new number is published to them, be
//! it the content that was good before.
//!
//! **Work.** A publication costs work for the fronts whose turn it is, and an answer for one front: all that is
//! asked of many is kept as counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::delta;
use crate::message::{Body, ToFront, ToService};
use crate::seal::{Keys, Seal};
use crate::{Id, MOST_CONTENT, MOST_NAME, Reason, Tenths};

pub type Conn = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Fronts let in a second when many come at once.
    pub admit: f64,
    /// Something is said to each front at least this often.
    pub alive: Tenths,
    /// A front that was offered a version has to answer in this time.
    pub answer_within: Tenths,
    /// How long a wave that has answered is watched before the next.
    pub soak: Tenths,
    pub canaries: usize,
    /// Shares of all fronts that the waves after the canaries bring it to; the last is 1.
    pub shares: Vec<f64>,
    /// A publication stops when a greater share of those it went to turned it down, or did not answer.
    pub refused: f64,
    pub missing: f64,
    /// ... or when their service has fallen by more than this against what it was when it came to them.
    pub drop: f64,
    pub most_fronts: usize,
    /// Contents kept, for deltas and for going back.
    pub history: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            // A guess, until the transport is there to be measured.
            admit: 200.0,
            alive: 50_000,
            answer_within: 300_000,
            // Long enough for a change to show in the service of some hundred accesses a front.
            soak: 300_000,
            canaries: 2,
            shares: vec![0.1, 0.5, 1.0],
            refused: 0.0,
            missing: 0.2,
            drop: 0.03,
            most_fronts: 200_000,
            history: 64,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send(Conn, ToFront),
    Close(Conn),
    /// Before anything of it is offered, the version is to be on the disk.
    Store(Version),
    /// The epoch changes, or how far a publication is.
    StoreState {
        epoch: u64,
        base: Option<u64>,
        rollout: Option<Saved>,
    },
    Wake(Tenths),
    Tell(Line),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    Wave {
        id: Id,
        wave: usize,
        of: usize,
        fronts: usize,
    },
    Stopped {
        id: Id,
        why: Stop,
    },
    Everywhere(Id),
    TurnedDown {
        front: Box<str>,
        id: Id,
        why: Reason,
    },
    /// A front says what can't be.
    Lies {
        front: Box<str>,
        id: Id,
    },
    /// Fronts have what this service does not know: it lost its store, or found an old one.
    NewEpoch {
        epoch: u64,
        because: Id,
    },
    /// Another service, of a later epoch, is about; this one publishes nothing.
    Superseded {
        by: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub id: Id,
    pub content: Arc<[u8]>,
    pub note: Box<str>,
    pub at: Tenths,
}

/// What of a publication survives a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub id: Id,
    pub wave: usize,
    pub stopped: Option<Stop>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stop {
    Refused {
        count: usize,
        of: usize,
        first: Reason,
    },
    Missing {
        count: usize,
        of: usize,
    },
    /// In thousandths of the benefit.
    Dropped {
        from: u32,
        to: u32,
    },
    ByHand,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotPublished {
    /// Somebody else has published since.
    Expected {
        last: u64,
    },
    UnderWay {
        id: Id,
    },
    TooLong(usize),
    NoSuchVersion,
    NoKey,
    Superseded {
        by: u64,
    },
}

/// What a front was last known to be doing.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// It runs what it is its turn to have.
    Current,
    /// It was offered a version and has not answered yet.
    Offered,
    TurnedDown(Reason),
    /// It has not answered in time.
    Missing,
    /// Nothing was published yet, or it waits for its wave.
    Waiting,
}

struct Front {
    name: Box<str>,
    station: Box<str>,
    rank: u64,
    conn: Option<Conn>,
    heard: Tenths,
    runs: Option<Id>,
    stored: bool,
    offered: Option<(Id, Tenths)>,
    turned_down: Option<(Id, Reason)>,
    /// How it counts in the tally of the publication of this number.
    account: (u64, Account),
    lies: bool,
    /// Benefit that it served, an average; and what it was when the publication came to it.
    serves: f32,
    served: f32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Account {
    Apart,
    Went,
    Runs,
    Refused,
    Missing,
}

#[derive(Default)]
struct Tally {
    went: usize,
    runs: usize,
    refused: usize,
    missing: usize,
    first: Option<Reason>,
}

impl Tally {
    fn count(&mut self, account: Account) -> Option<&mut usize> {
        match account {
            Account::Apart | Account::Went => None,
            Account::Runs => Some(&mut self.runs),
            Account::Refused => Some(&mut self.refused),
            Account::Missing => Some(&mut self.missing),
        }
    }
}

struct Rollout {
    id: Id,
    wave: usize,
    since: Tenths,
    /// Since when all of the wave have answered.
    answered: Option<Tenths>,
    tally: Tally,
    canaries: BTreeSet<usize>,
    stopped: Option<Stop>,
}

/// A delta that was made, with the hashes it leads from and to.
type Made = ([u8; 32], [u8; 32], Arc<Vec<delta::Step>>);

pub struct Service {
    rules: Rules,
    keys: Keys,
    epoch: u64,
    versions: BTreeMap<u64, Version>,
    /// The version that all are to have, the rollout's apart.
    base: Option<u64>,
    rollout: Option<Rollout>,
    fronts: Vec<Front>,
    by_name: FxHashMap<Box<str>, usize>,
    by_conn: FxHashMap<Conn, usize>,
    by_rank: BTreeMap<(u64, usize), ()>,
    /// Connected fronts in the order in which they are due a word.
    due: VecDeque<(Tenths, usize, Conn)>,
    /// Offers that are to be answered by a time.
    awaited: VecDeque<(Tenths, usize, Id)>,
    /// When the next front may come in, and who was told when.
    next_place: f64,
    places: FxHashMap<Box<str>, Tenths>,
    superseded: Option<u64>,
    /// The earliest time asked for that has not come: there is one timer, however much waits.
    wakes: Option<Tenths>,
    /// Deltas made lately, by what they lead from and to.
    deltas: VecDeque<Made>,
}

fn rank(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk::<8>().unwrap_or(&[0; 8]))
}

/// Deltas kept: two publications back, for those who missed one.
const MOST_DELTAS: usize = 8;

/// What a service finds in its store.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub epoch: u64,
    pub versions: Vec<Version>,
    pub base: Option<u64>,
    pub rollout: Option<Saved>,
}

impl Service {
    /// `found.epoch` 0: there was no store, and a new epoch is opened.
    pub fn start(now: Tenths, rules: Rules, keys: Keys, found: Found, out: &mut Vec<Do>) -> Service {
        let fresh = found.epoch == 0;
        let mut service = Service {
            rules,
            keys,
            epoch: if fresh { now.max(1) } else { found.epoch },
            versions: found.versions.into_iter().map(|v| (v.id.number, v)).collect(),
            base: found.base,
            rollout: None,
            fronts: Vec::new(),
            by_name: FxHashMap::default(),
            by_conn: FxHashMap::default(),
            by_rank: BTreeMap::new(),
            due: VecDeque::new(),
            awaited: VecDeque::new(),
            next_place: now as f64,
            places: FxHashMap::default(),
            superseded: None,
            wakes: None,
            deltas: VecDeque::new(),
        };
        service.rollout = found.rollout.map(|saved| Rollout {
            id: saved.id,
            wave: saved.wave,
            since: now,
            answered: None,
            tally: Tally::default(),
            canaries: BTreeSet::new(),
            stopped: saved.stopped,
        });
        if fresh {
            service.store_state(out);
        }
        service.wake(now + service.rules.alive, out);
        service
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn last(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |v| *v.0)
    }

    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.get(&number)
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    fn store_state(&self, out: &mut Vec<Do>) {
        let rollout = self.rollout.as_ref();
        let rollout = rollout.map(|r| Saved { id: r.id, wave: r.wave, stopped: r.stopped.clone() });
        out.push(Do::StoreState { epoch: self.epoch, base: self.base, rollout });
    }

    // ---- publication

    /// A new version. `expects`: the last number that whoever publishes has seen.
    pub fn publish(
        &mut self,
        now: Tenths,
        content: Arc<[u8]>,
        note: &str,
        expects: u64,
        out: &mut Vec<Do>,
    ) -> Result<Id, NotPublished> {
        if let Some(by) = self.superseded {
            return Err(NotPublished::Superseded { by });
        }
        if expects != self.last() {
            return Err(NotPublished::Expected { last: self.last() });
        }
        if let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) {
            return Err(NotPublished::UnderWay { id: r.id });
        }
        if content.len() > MOST_CONTENT {
            return Err(NotPublished::TooLong(content.len()));
        }
        let id = Id::of(self.epoch, self.last() + 1, &content);
        if self.keys.seal(&id).is_none() {
            return Err(NotPublished::NoKey);
        }
        let version = Version { id, content, note: note.into(), at: now };
        out.push(Do::Store(version.clone()));
        self.versions.insert(id.number, version);
        let keeps = |n: &u64| Some(*n) == self.base || *n == id.number;
        while self.versions.len() > self.rules.history
            && let Some(oldest) = self.versions.keys().copied().find(|n| !keeps(n))
        {
            self.versions.remove(&oldest);
        }
        let (wave, tally) = (0, Tally::default());
        let canaries = self.canaries(id.number);
        self.rollout = Some(Rollout { id, wave, since: now, answered: None, tally, canaries, stopped: None });
        self.store_state(out);
        self.open_wave(now, out);
        Ok(id)
    }

    /// Back to an older content, as a new number: it goes to all at once that it may, which is who runs the bad one.
    pub fn roll_back(&mut self, now: Tenths, number: u64, out: &mut Vec<Do>) -> Result<Id, NotPublished> {
        let content = self.versions.get(&number).ok_or(NotPublished::NoSuchVersion)?.content.clone();
        self.stop(Stop::ByHand, out);
        let note = format!("back to {number}");
        let id = self.publish(now, content, &note, self.last(), out)?;
        if let Some(r) = &mut self.rollout {
            // It was good before: no canary has to say so again.
            (r.wave, r.since) = (self.rules.shares.len(), now);
        }
        self.store_state(out);
        (0..self.fronts.len()).for_each(|at| self.offer(now, at, out));
        Ok(id)
    }

    pub fn stop(&mut self, why: Stop, out: &mut Vec<Do>) {
        if let Some(r) = self.rollout.as_mut().filter(|r| r.stopped.is_none()) {
            r.stopped = Some(why.clone());
            let id = r.id;
            out.push(Do::Tell(Line::Stopped { id, why }));
            self.store_state(out);
        }
    }

    /// Some connected fronts of different stations.
    fn canaries(&self, number: u64) -> BTreeSet<usize> {
        let (mut chosen, mut stations) = (BTreeSet::new(), BTreeSet::new());
        let start = rank(&number.to_string());
        let ring = self.by_rank.range((start, 0)..).chain(self.by_rank.range(..(start, 0)));
        for (&(_, at), ()) in ring {
            if chosen.len() >= self.rules.canaries {
                break;
            }
            let front = &self.fronts[at];
            if front.conn.is_some() && stations.insert(&front.station) {
                chosen.insert(at);
            }
        }
        chosen
    }

    /// Whether it is a front's turn to have the version that is being published.
    fn turn(&self, r: &Rollout, at: usize) -> bool {
        if r.canaries.contains(&at) {
            return true;
        }
        let Some(share) = r.wave.checked_sub(1).and_then(|w| self.rules.shares.get(w)) else {
            return r.wave > self.rules.shares.len();
        };
        let place = self.fronts[at].rank.wrapping_sub(rank(&r.id.number.to_string()));
        *share >= 1.0 || (place as f64) < share * u64::MAX as f64
    }

    /// The fronts whose turn a wave makes it: work for them alone.
    fn of_wave(&self, r: &Rollout) -> Vec<usize> {
        let Some(wave) = r.wave.checked_sub(1) else { return r.canaries.iter().copied().collect() };
        let share = |w: usize| self.rules.shares.get(w).copied().unwrap_or(1.0);
        let before = wave.checked_sub(1).map_or(0.0, share);
        let start = rank(&r.id.number.to_string());
        let at = |share: f64| start.wrapping_add((share.min(1.0) * u64::MAX as f64) as u64);
        let (from, to) = (at(before), at(share(wave)));
        let ring: Vec<usize> = if from <= to && share(wave) - before < 1.0 {
            self.by_rank.range((from, 0)..(to, 0)).map(|(k, ())| k.1).collect()
        } else {
            let ends = self.by_rank.range((from, 0)..).chain(self.by_rank.range(..(to, 0)));
            ends.map(|(k, ())| k.1).collect()
        };
        ring
    }

    fn open_wave(&mut self, now: Tenths, out: &mut Vec<Do>) {
        let Some(r) = &self.rollout else { return };
        let fronts = self.of_wave(r);
        let (id, wave, of) = (r.id, r.wave, self.rules.shares.len());
        out.push(Do::Tell(Line::Wave { id, wave, of, fronts: fronts.len() }));
        for at in fronts {
            self.offer(now, at, out);
        }
        self.wake(now + self.rules.soak, out);
    }

    /// What a front is to have now.
    fn goal(&self, at: usize) -> Option<Id> {
        if self.superseded.is_some() {
            return None;
        }
        let base = self.base.and_then(|n| self.versions.get(&n)).map(|v| v.id);
        match &self.rollout {
            Some(r) if r.stopped.is_none() && self.turn(r, at) => Some(r.id),
            _ => base,
        }
    }

    fn offer(&mut self, now: Tenths, at: usize, out: &mut Vec<Do>) {
        let Some(goal) = self.goal(at) else { return };
        let front = &mut self.fronts[at];
        let Some(conn) = front.conn else { return };
        let has = front.runs.is_some_and(|r| r.place() >= goal.place());
        let asked = front.offered.is_some_and(|o| o.0 == goal);
        if has || asked {
            return;
        }
        front.offered = Some((goal, now));
        front.served = front.serves;
        out.push(Do::Send(conn, ToFront::Offer { id: goal }));
        self.awaited.push_back((now + self.rules.answer_within, at, goal));
        self.account(at, goal, Account::Went);
    }

    /// A front counts differently from now on, if it is about the version that is being published.
    fn account(&mut self, at: usize, id: Id, account: Account) {
        let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) else { return };
        let own = &mut self.fronts[at].account;
        let before = if own.0 == id.number { own.1 } else { Account::Apart };
        *own = (id.number, account);
        if before == account {
            return;
        }
        if before == Account::Apart {
            r.tally.went += 1;
        }
        if let Some(count) = r.tally.count(before) {
            *count -= 1;
        }
        if let Some(count) = r.tally.count(account) {
            *count += 1;
        }
        if account == Account::Went {
            r.answered = None;
        }
    }

    // ---- fronts

    /// A front's first word; whoever does not say it first is closed by the shell.
    fn hello(
        &mut self,
        now: Tenths,
        conn: Conn,
        name: &str,
        station: &str,
        runs: Option<(Id, Seal)>,
        out: &mut Vec<Do>,
    ) {
        let known = self.by_name.get(name).copied();
        let fits = |n: &str| !n.is_empty() && n.len() <= MOST_NAME;
        if !fits(name) || !fits(station) || known.is_none() && self.fronts.len() >= self.rules.most_fronts {
            return out.push(Do::Close(conn));
        }
        if let Some(after) = self.wait(now, name) {
            out.push(Do::Send(conn, ToFront::Later { after }));
            return out.push(Do::Close(conn));
        }
        let at = known.unwrap_or_else(|| {
            let (at, rank) = (self.fronts.len(), rank(name));
            self.fronts.push(Front {
                name: name.into(),
                station: station.into(),
                rank,
                conn: None,
                heard: now,
                runs: None,
                stored: false,
                offered: None,
                turned_down: None,
                account: (0, Account::Apart),
                lies: false,
                serves: f32::NAN,
                served: f32::NAN,
            });
            self.by_name.insert(name.into(), at);
            self.by_rank.insert((rank, at), ());
            at
        });
        // Of two connections under one name the newer counts: the other side of the older is gone, or soon will be.
        if let Some(old) = self.fronts[at].conn.replace(conn) {
            self.by_conn.remove(&old);
            out.push(Do::Close(old));
        }
        self.by_conn.insert(conn, at);
        self.due.push_back((now + self.rules.alive, at, conn));
        out.push(Do::Send(conn, ToFront::Welcome { every: self.rules.alive }));
        let front = &mut self.fronts[at];
        (front.heard, front.offered, front.turned_down) = (now, None, None);
        front.runs = runs.map(|r| r.0);
        if let Some((id, seal)) = runs {
            self.judge(at, id, &seal, out);
            self.account(at, id, Account::Runs);
        }
        self.choose(at);
        self.offer(now, at, out);
    }

    /// How long a front has to wait until it may come in; none if it may now.
    fn wait(&mut self, now: Tenths, name: &str) -> Option<Tenths> {
        let each = 10_000.0 / self.rules.admit.max(1e-3);
        if let Some(&place) = self.places.get(name) {
            if now + 500 >= place {
                self.places.remove(name);
                return None;
            }
            return Some(place - now);
        }
        self.next_place = self.next_place.max(now as f64);
        let place = self.next_place;
        self.next_place += each;
        // A tenth of a second's worth may come at once.
        if place <= now as f64 + 1_000.0 {
            return None;
        }
        if self.places.len() >= self.rules.most_fronts {
            self.places.clear();
        }
        self.places.insert(name.into(), place as Tenths);
        Some(place as Tenths - now)
    }

    /// Where there were too few canaries when it was published, those that come first are.
    fn choose(&mut self, at: usize) {
        let (most, station) = (self.rules.canaries, &self.fronts[at].station);
        let Some(r) = self.rollout.as_mut().filter(|r| r.wave == 0 && r.canaries.len() < most) else {
            return;
        };
        if r.canaries.iter().all(|&c| self.fronts[c].station != *station) {
            r.canaries.insert(at);
        }
    }

    /// What a front runs when it comes, against what there can be. What this service does not know, but its key has
    /// sealed, is its own past, or another service's work; a front can't make it up.
    fn judge(&mut self, at: usize, runs: Id, seal: &Seal, out: &mut Vec<Do>) {
        let known = self.versions.get(&runs.number).is_some_and(|v| v.id == runs);
        let pruned = self.versions.first_key_value().is_some_and(|v| runs.number < *v.0);
        let strange = runs.epoch > self.epoch || runs.epoch == self.epoch && !known && !pruned;
        if !strange {
            return;
        }
        if !self.keys.good(&runs, seal) {
            return self.lie(at, runs, out);
        }
        if runs.epoch == self.epoch || self.versions.is_empty() {
            return self.new_epoch(runs, out);
        }
        // Another service is about, and later: this one steps back.
        if self.superseded.is_none_or(|by| by < runs.epoch) {
            self.superseded = Some(runs.epoch);
            out.push(Do::Tell(Line::Superseded { by: runs.epoch }));
        }
    }

    fn lie(&mut self, at: usize, id: Id, out: &mut Vec<Do>) {
        let front = &mut self.fronts[at];
        front.lies = true;
        out.push(Do::Tell(Line::Lies { front: front.name.clone(), id }));
    }

    /// A person says that the other service is no more, or was this one, found in an older copy of its store: this one
    /// goes on, in an epoch later than the other's.
    pub fn take_over(&mut self, out: &mut Vec<Do>) {
        if let Some(epoch) = self.superseded.take() {
            self.new_epoch(Id { epoch, number: 0, hash: [0; 32] }, out);
        }
    }

    /// From now on all is numbered anew, in an epoch later than any heard of. The history stays; nothing of it is
    /// offered, since fronts run what came after it: only a person can say what is to be theirs.
    fn new_epoch(&mut self, because: Id, out: &mut Vec<Do>) {
        self.epoch = self.epoch.max(because.epoch) + 1;
        out.push(Do::Tell(Line::NewEpoch { epoch: self.epoch, because }));
        (self.base, self.rollout) = (None, None);
        let old = std::mem::take(&mut self.versions);
        for (number, version) in (1..).zip(old.into_values()) {
            let version = Version { id: Id { epoch: self.epoch, number, ..version.id }, ..version };
            out.push(Do::Store(version.clone()));
            self.versions.insert(number, version);
        }
        self.fronts.iter_mut().for_each(|f| (f.offered, f.account) = (None, (0, Account::Apart)));
        self.awaited.clear();
        self.store_state(out);
    }

    pub fn heard(&mut self, now: Tenths, conn: Conn, message: ToService, out: &mut Vec<Do>) {
        if let ToService::Hello { front, station, runs } = message {
            return self.hello(now, conn, &front, &station, runs, out);
        }
        let Some(&at) = self.by_conn.get(&conn) else { return out.push(Do::Close(conn)) };
        self.fronts[at].heard = now;
        match message {
            ToService::Hello { .. } => {}
            ToService::Ask { id, base } => self.answer(conn, id, base, out),
            ToService::Runs { id, stored } => {
                let offered = self.fronts[at].offered.is_some_and(|o| o.0 == id);
                let before = self.fronts[at].runs == Some(id);
                if !offered && !before {
                    // Nobody has offered it this.
                    return self.lie(at, id, out);
                }
                let front = &mut self.fronts[at];
                (front.runs, front.stored, front.turned_down) = (Some(id), stored, None);
                self.account(at, id, Account::Runs);
                self.offer(now, at, out);
            }
            ToService::TurnedDown { id, why } => {
                if self.fronts[at].offered.is_some_and(|o| o.0 == id) {
                    let front = self.fronts[at].name.clone();
                    out.push(Do::Tell(Line::TurnedDown { front, id, why: why.clone() }));
                    self.fronts[at].turned_down = Some((id, why.clone()));
                    self.account(at, id, Account::Refused);
                    if let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) {
                        r.tally.first.get_or_insert(why);
                    }
                }
            }
            ToService::Serves { share } if share.is_finite() => {
                let front = &mut self.fronts[at];
                let share = share.clamp(0.0, 1.0);
                // Some reports' average: one is chance.
                front.serves = if front.serves.is_nan() { share } else { 0.7 * front.serves + 0.3 * share };
            }
            ToService::Serves { .. } => {}
        }
        self.look(now, out);
    }

    fn answer(&mut self, conn: Conn, id: Id, base: Option<Id>, out: &mut Vec<Do>) {
        let Some(version) = self.versions.get(&id.number).filter(|v| v.id == id) else { return };
        let Some(seal) = self.keys.seal(&id) else { return };
        let content = version.content.clone();
        // Whatever it has been numbered: the same content is the same base.
        let base = base.and_then(|b| self.versions.values().rev().find(|v| v.id.hash == b.hash));
        let body = match base.map(|b| (b.id.hash, b.content.clone())) {
            Some((hash, old)) => {
                let known = self.deltas.iter().find(|d| d.0 == hash && d.1 == id.hash).map(|d| d.2.clone());
                let steps = known.unwrap_or_else(|| {
                    let made = Arc::new(delta::between(&old, &content));
                    self.deltas.truncate(MOST_DELTAS - 1);
                    self.deltas.push_front((hash, id.hash, made.clone()));
                    made
                });
                Body::Delta((*steps).clone())
            }
            None => Body::Whole(content),
        };
        out.push(Do::Send(conn, ToFront::Content { id, seal, body }));
    }

    /// A connection has ended.
    pub fn gone(&mut self, now: Tenths, conn: Conn, out: &mut Vec<Do>) {
        if let Some(at) = self.by_conn.remove(&conn) {
            // What it runs is what it said last, until it says otherwise.
            self.fronts[at].conn = None;
            self.look(now, out);
        }
    }

    // ---- time

    fn wake(&mut self, at: Tenths, out: &mut Vec<Do>) {
        if self.wakes.is_none_or(|w| at < w) {
            self.wakes = Some(at);
            out.push(Do::Wake(at));
        }
    }

    pub fn due(&mut self, now: Tenths, out: &mut Vec<Do>) {
        if self.wakes.is_some_and(|w| w > now) {
            return;
        }
        self.wakes = None;
        while let Some(&(at, front, conn)) = self.due.front() {
            if at > now {
                break;
            }
            self.due.pop_front();
            if self.fronts[front].conn == Some(conn) {
                out.push(Do::Send(conn, ToFront::Alive));
                self.due.push_back((now + self.rules.alive, front, conn));
            }
        }
        self.places.retain(|_, place| *place + 600_000 > now);
        self.look(now, out);
        self.wake(now + self.rules.alive / 4, out);
    }

    /// Whether the publication goes on, or stops.
    fn look(&mut self, now: Tenths, out: &mut Vec<Do>) {
        while let Some(&(by, at, id)) = self.awaited.front() {
            let front = &self.fronts[at];
            let waits = front.offered.is_some_and(|o| o.0 == id)
                && front.runs != Some(id)
                && front.turned_down.as_ref().is_none_or(|t| t.0 != id);
            if waits && by > now {
                break;
            }
            self.awaited.pop_front();
            // One that is on its way back has not answered either.
            let away = front.conn.is_none() && front.account == (id.number, Account::Went);
            if waits || away {
                self.account(at, id, Account::Missing);
            }
        }
        let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) else { return };
        let Tally { went, runs, refused, missing, .. } = r.tally;
        let of = went.max(1) as f64;
        if refused as f64 > self.rules.refused * of {
            let first = r.tally.first.clone().unwrap_or(Reason::Contradicts);
            return self.stop(Stop::Refused { count: refused, of: went, first }, out);
        }
        if missing as f64 > self.rules.missing * of {
            return self.stop(Stop::Missing { count: missing, of: went }, out);
        }
        // Somebody at least has to run it, or nothing is known of it.
        let answered = runs > 0 && runs + refused + missing >= went;
        let r = self.rollout.as_mut().filter(|_| answered);
        let Some(r) = r else { return };
        let since = *r.answered.get_or_insert(now);
        // The canaries are watched for as long as a change needs to show, also where there are none to be had.
        let soaked = now >= since + self.rules.soak && now >= r.since + self.rules.soak;
        if !soaked {
            let at = since.max(r.since) + self.rules.soak;
            return self.wake(at, out);
        }
        if let Some((from, to)) = self.dropped() {
            return self.stop(Stop::Dropped { from, to }, out);
        }
        let Some(r) = &mut self.rollout else { return };
        if r.wave >= self.rules.shares.len() {
            let id = r.id;
            self.base = Some(id.number);
            self.rollout = None;
            self.store_state(out);
            out.push(Do::Tell(Line::Everywhere(id)));
        } else {
            (r.wave, r.since, r.answered) = (r.wave + 1, now, None);
            self.store_state(out);
            self.open_wave(now, out);
        }
    }

    /// The mean service of those it came to, before and now, if it has fallen by more than it may.
    fn dropped(&self) -> Option<(u32, u32)> {
        let r = self.rollout.as_ref()?;
        let told = |f: &&Front| !f.served.is_nan() && !f.serves.is_nan();
        let touched = self.of_wave(r);
        let all = touched.iter().map(|&at| &self.fronts[at]).filter(told);
        let (before, now, count) = all.fold((0.0, 0.0, 0), |(b, n, count), f| {
            (b + f64::from(f.served), n + f64::from(f.serves), count + 1)
        });
        let (before, now) = (before / f64::from(count.max(1)), now / f64::from(count.max(1)));
        let bad = before - now > self.rules.drop;
        // In thousandths.
        bad.then_some(((1e3 * before) as u32, (1e3 * now) as u32))
    }

    // ---- what can be asked

    pub fn fronts(&self) -> impl Iterator<Item = Status<'_>> {
        (0..self.fronts.len()).map(|at| self.status(at))
    }

    fn status(&self, at: usize) -> Status<'_> {
        let f = &self.fronts[at];
        let goal = self.goal(at);
        let waits = f.offered.filter(|o| Some(o.0) == goal);
        let state = match (goal, &f.turned_down, waits) {
            (Some(goal), ..) if f.runs == Some(goal) => State::Current,
            (Some(goal), Some((id, why)), _) if *id == goal => State::TurnedDown(why.clone()),
            (Some(_), _, Some((_, since))) if f.heard.max(since) < since + self.rules.answer_within => {
                State::Offered
            }
            (Some(_), _, Some(_)) => State::Missing,
            _ => State::Waiting,
        };
        Status {
            front: &f.name,
            station: &f.station,
            connected: f.conn.is_some(),
            heard: f.heard,
            runs: f.runs,
            stored: f.stored,
            goal,
            state,
            lies: f.lies,
        }
    }

    /// The publication under way or stopped: its id, wave, how many it went to, run it, turned it down, are missing.
    pub fn progress(&self) -> Option<Progress> {
        let r = self.rollout.as_ref()?;
        let Tally { went, runs, refused, missing, .. } = r.tally;
        Some(Progress { id: r.id, wave: r.wave, went, runs, refused, missing, stopped: r.stopped.clone() })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status<'a> {
    pub front: &'a str,
    pub station: &'a str,
    pub connected: bool,
    pub heard: Tenths,
    pub runs: Option<Id>,
    pub stored: bool,
    pub goal: Option<Id>,
    pub state: State,
    pub lies: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    pub id: Id,
    pub wave: usize,
    pub went: usize,
    pub runs: usize,
    pub refused: usize,
    pub missing: usize,
    pub stopped: Option<Stop>,
}
