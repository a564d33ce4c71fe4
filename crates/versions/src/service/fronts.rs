//! Fronts as they come, speak and go.

use super::{Account, Conn, Do, Front, Line, Rollout, Service, Ticks, Version, rank};
use crate::Id;
use crate::delta;
use crate::message::{Body, ToFront, ToService};
use crate::seal::Seal;
use std::sync::Arc;

use super::{MOST_DELTAS, MOST_DELTAS_OF_TRIALS};
use crate::evidence::Counts;
use crate::trial::Trials;

impl Service {
    /// A front's first word; whoever does not say it first is closed by the shell.
    fn hello(
        &mut self,
        now: Ticks,
        conn: Conn,
        name: &str,
        station: &str,
        runs: Option<(Id, Seal)>,
        out: &mut Vec<Do>,
    ) {
        let known = self.by_name.get(name).copied();
        if !Service::fits(name)
            || !Service::fits(station)
            || known.is_none() && self.fronts.len() >= self.rules.most_fronts
        {
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
                counted: false,
                sealed: None,
                sent: None,
                serves: f32::NAN,
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
        front.sealed = runs.map(|r| r.1.key);
        if let Some((id, seal)) = runs {
            self.judge(at, id, &seal, out);
            self.account(at, id, Account::Runs);
        }
        self.choose(at, out);
        self.offer(now, at, out);
        self.trial_came(now, at, out);
    }

    /// How long a front has to wait until it may come in; none if it may now.
    fn wait(&mut self, now: Ticks, name: &str) -> Option<Ticks> {
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
        self.places.insert(name.into(), place as Ticks);
        Some(place as Ticks - now)
    }

    /// Where there were too few canaries when it was published, those that come first are.
    fn choose(&mut self, at: usize, out: &mut Vec<Do>) {
        let (most, station) = (self.rules.canaries, &self.fronts[at].station);
        let Some(r) = self.rollout.as_mut().filter(|r| r.wave == 0 && r.canaries.len() < most) else {
            return;
        };
        let of = |name: &str| self.by_name.get(name).map(|&at| &self.fronts[at].station);
        if r.canaries.iter().all(|name| of(name) != Some(station)) {
            r.canaries.insert(self.fronts[at].name.clone());
            self.store_state(out);
        }
    }

    /// What a front runs when it comes, against what there can be. What this service does not know, but its key has
    /// sealed, is its own past, or another service's work; a front can't make it up.
    fn judge(&mut self, at: usize, runs: Id, seal: &Seal, out: &mut Vec<Do>) {
        let known = self.versions.get(&runs.number).is_some_and(|v| v.id == runs);
        let pruned = self.versions.first_key_value().is_some_and(|v| runs.number < *v.0);
        let strange = runs.epoch > self.epoch || runs.epoch == self.epoch && !known && !pruned;
        let arms = |t: &Trials| t.given_out(runs.number);
        let arm = runs.epoch == self.epoch && self.trials.as_ref().map_or(runs.number <= self.spent, arms);
        if !strange || arm && self.keys.good(&runs, seal) {
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
        (self.base, self.rollout, self.first, self.spent) = (None, None, u64::MAX, 0);
        let old = std::mem::take(&mut self.versions);
        for (number, version) in (1..).zip(old.into_values()) {
            let version = Version { id: Id { epoch: self.epoch, number, ..version.id }, ..version };
            out.push(Do::Store(version.clone()));
            self.versions.insert(number, version);
        }
        self.fronts.iter_mut().for_each(|f| (f.offered, f.account) = (None, (0, Account::Apart)));
        self.awaited.clear();
        self.store_state(out);
        if let Some(trials) = &mut self.trials {
            trials.reset(self.epoch, self.versions.len() as u64);
        }
    }

    pub fn heard(&mut self, now: Ticks, conn: Conn, message: ToService, out: &mut Vec<Do>) {
        if let ToService::Hello { front, station, runs } = message {
            return self.hello(now, conn, &front, &station, runs, out);
        }
        let Some(&at) = self.by_conn.get(&conn) else { return out.push(Do::Close(conn)) };
        self.fronts[at].heard = now;
        match message {
            ToService::Hello { .. } => {}
            ToService::Ask { id, base } => self.answer(at, conn, id, base, out),
            ToService::Runs { id, stored } => {
                let offered = self.fronts[at].offered.is_some_and(|o| o.0 == id);
                let before = self.fronts[at].runs == Some(id);
                // It may have been offered another while it was still at this one.
                let sent = self.fronts[at].sent.is_some_and(|s| s.0 == id);
                if !offered && !before && !sent {
                    // Nobody has offered it this.
                    return self.lie(at, id, out);
                }
                let front = &mut self.fronts[at];
                (front.runs, front.stored, front.turned_down) = (Some(id), stored, None);
                front.sealed = front.sent.filter(|sent| sent.0 == id).map(|sent| sent.1).or(front.sealed);
                self.account(at, id, Account::Runs);
                self.offer(now, at, out);
                self.on_trials(now, out, |t| t.confirmed(now, at, id));
            }
            ToService::TurnedDown { id, why } => {
                if self.fronts[at].offered.is_some_and(|o| o.0 == id) {
                    let front = self.fronts[at].name.clone();
                    out.push(Do::Tell(Line::TurnedDown { front, id, why: why.clone() }));
                    self.fronts[at].turned_down = Some((id, why.clone()));
                    self.account(at, id, Account::Refused);
                    if let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) {
                        r.tally.first.get_or_insert(why.clone());
                    }
                    self.on_trials(now, out, |t| t.turned_down(now, at, id, &why));
                }
            }
            ToService::Serves { share } if share.is_finite() => {
                let front = &mut self.fronts[at];
                let (share, before) = (share.clamp(0.0, 1.0), front.serves);
                // Some reports' average: one is chance.
                front.serves = if before.is_nan() { share } else { 0.7 * before + 0.3 * share };
                let (now, number) = (f64::from(front.serves), front.account);
                if before.is_nan() {
                    self.serves = (self.serves.0 + now, self.serves.1 + 1);
                } else {
                    let change = now - f64::from(before);
                    self.serves.0 += change;
                    let went = |r: &&mut Rollout| number.0 == r.id.number && number.1 != Account::Apart;
                    if let Some(r) = self.rollout.as_mut().filter(went).filter(|_| front.counted) {
                        r.tally.served.now += change;
                    }
                }
            }
            ToService::Serves { .. } => {}
            ToService::Report { running, asked, answered, sequence } => {
                let counts = Counts { asked, answered };
                self.on_trials(now, out, |t| t.report(now, at, running, counts, sequence));
            }
        }
        self.look(now, out);
    }

    fn answer(&mut self, at: usize, conn: Conn, id: Id, base: Option<Id>, out: &mut Vec<Do>) {
        let version = self.versions.get(&id.number).filter(|v| v.id == id).map(|v| v.content.clone());
        let tried = || self.trials.as_ref().and_then(|t| t.content(&id));
        let Some(content) = version.or_else(tried) else { return };
        let Some(seal) = self.keys.seal(&id) else { return };
        // Whatever it has been numbered: the same content is the same base.
        let known = |hash: [u8; 32]| {
            let kept = || self.versions.values().rev().find(|v| v.id.hash == hash).map(|v| v.content.clone());
            self.trials.as_ref().and_then(|t| t.base(&hash)).or_else(kept)
        };
        let most = if self.trials.is_some() { MOST_DELTAS_OF_TRIALS } else { MOST_DELTAS };
        let body = match base.and_then(|b| Some((b.hash, known(b.hash)?))) {
            Some((hash, old)) => {
                let known = self.deltas.iter().find(|d| d.0 == hash && d.1 == id.hash).map(|d| d.2.clone());
                let steps = known.unwrap_or_else(|| {
                    let made = Arc::new(delta::between(&old, &content));
                    self.deltas.truncate(most - 1);
                    self.deltas.push_front((hash, id.hash, made.clone()));
                    made
                });
                Body::Delta((*steps).clone())
            }
            None => Body::Whole(content),
        };
        self.fronts[at].sent = Some((id, seal.key));
        out.push(Do::Send(conn, ToFront::Content { id, seal, body }));
    }

    /// A connection has ended.
    pub fn gone(&mut self, now: Ticks, conn: Conn, out: &mut Vec<Do>) {
        if let Some(at) = self.by_conn.remove(&conn) {
            // What it runs is what it said last, until it says otherwise.
            self.fronts[at].conn = None;
            self.on_trials(now, out, |t| t.gone(now, at));
            self.look(now, out);
        }
    }
}
