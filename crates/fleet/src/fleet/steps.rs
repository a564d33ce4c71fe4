//! The next step of each instance, and who may start now.

use super::{Do, Fleet, LOOK_AGAIN, Line};
use crate::Ticks;
use crate::instance::{CHECK_EACH, CHECK_START_EACH, KILL_AFTER, Phase, START_WITHIN, Step, Want};
use crate::pace::most_down;

impl Fleet {
    /// Takes an instance's next step, and whatever others may do now that it has changed.
    pub(super) fn settle(&mut self, place: usize, out: &mut Vec<Do>) {
        self.step(place, out);
        let station = self.instances[place].station;
        // Room for one to go down, or to start, may have come up.
        for n in 0..self.stations[station].members.len() {
            let other = self.stations[station].members[n];
            if other != place && self.waits_to_go(other) {
                self.step(other, out);
            }
        }
        self.starts(station, out);
        self.tell_done(place, out);
        self.tell_wake(out);
    }

    /// It is to be taken away from its clients, and has not begun.
    fn waits_to_go(&self, place: usize) -> bool {
        let own = &self.instances[place];
        own.phase == Phase::Ready && (own.kept.renew || own.kept.want != Want::Running)
    }

    /// So many of its station are on their way down or back by orders.
    fn room_to_go(&self, station: usize) -> bool {
        let members = || self.stations[station].members.iter().map(|&m| &self.instances[m]);
        let going = members().filter(|i| match i.phase {
            Phase::Draining => !(i.kept.want == Want::Drained && i.drained),
            Phase::Stopping => true,
            // Those that come back after an order, or died meanwhile, are missed as much.
            Phase::Starting | Phase::Lost => i.kept.want == Want::Running,
            Phase::Failed | Phase::Stopped => i.kept.want == Want::Running && !i.kept.set_aside,
            Phase::Absent | Phase::Ready => false,
        });
        going.count() < most_down(&self.rules, self.stations[station].members.len())
    }

    fn to(&mut self, place: usize, phase: Phase, out: &mut Vec<Do>) {
        let own = &mut self.instances[place];
        if own.phase != phase {
            own.to(self.now, phase);
            out.push(Do::Tell(Line::Phase { name: own.name.clone(), run: own.kept.run, phase }));
        }
    }

    fn step(&mut self, place: usize, out: &mut Vec<Do>) {
        let now = self.now;
        let own = &self.instances[place];
        let (name, run, since) = (own.name.clone(), own.kept.run, own.since);
        if own.looking {
            if own.wakes <= now {
                out.push(Do::Look { name });
                self.wake(place, now + LOOK_AGAIN);
            }
            return;
        }
        if !own.phase.lives() {
            // Starts are given out in their turn; until then there is nothing to do here.
            if own.kept.want == Want::Running && !own.kept.set_aside && own.start_at > now {
                let at = own.start_at;
                self.wake(place, at);
            }
            return;
        }
        let Some(process) = own.kept.process else {
            // Its start was asked for, and what came of it was not told.
            if now >= since + LOOK_AGAIN {
                self.instances[place].looking = true;
                out.push(Do::Look { name });
            }
            return self.wake(place, now + LOOK_AGAIN);
        };
        let goes = own.kept.renew || own.kept.want == Want::Stopped;
        match own.phase {
            Phase::Starting if own.kept.want == Want::Stopped || now >= since + START_WITHIN => {
                self.term(place, out)
            }
            Phase::Lost => self.term(place, out),
            // It still tells its clients to go elsewhere, by the word of an agent before this one.
            Phase::Starting if own.drained && !own.inherited => {
                out.push(Do::Drain { name: name.clone(), process, on: false });
                self.instances[place].drained = false;
            }
            Phase::Ready if (goes || own.kept.want == Want::Drained) && self.room_to_go(own.station) => {
                out.push(Do::Drain { name: name.clone(), process, on: true });
                self.instances[place].drained = false;
                self.to(place, Phase::Draining, out);
            }
            Phase::Draining if goes => {
                // It says so, and its clients have had time to see it; or it does not heed it, and goes all the same.
                let waited = now >= since + self.rules.drain_for;
                if waited && own.drained || now >= since + 2 * self.rules.drain_for {
                    self.term(place, out);
                } else if !own.drained {
                    out.push(Do::Drain { name: name.clone(), process, on: true });
                }
            }
            Phase::Draining if own.kept.want == Want::Running => {
                out.push(Do::Drain { name: name.clone(), process, on: false });
                self.to(place, Phase::Starting, out);
            }
            Phase::Draining if !own.drained => out.push(Do::Drain { name: name.clone(), process, on: true }),
            Phase::Stopping if now >= own.kill_at => {
                self.instances[place].kept.step = Some(Step::Kill);
                self.instances[place].kill_at = now + KILL_AFTER;
                self.keep(place, out);
                out.push(Do::Signal { name: name.clone(), process, kill: true });
            }
            _ => {}
        }
        self.look_on(place, out, run, &name);
    }

    /// Checks, and the next time that something is due.
    fn look_on(&mut self, place: usize, out: &mut Vec<Do>, run: u64, name: &str) {
        let (now, drain_for) = (self.now, self.rules.drain_for);
        let own = &mut self.instances[place];
        let looks = matches!(own.phase, Phase::Starting | Phase::Ready | Phase::Draining | Phase::Lost);
        if looks && now >= own.next_check {
            own.next_check = now + if own.phase == Phase::Starting { CHECK_START_EACH } else { CHECK_EACH };
            out.push(Do::Check { name: name.into(), run });
        }
        let at: Ticks = match own.phase {
            Phase::Stopping => own.kill_at,
            Phase::Draining => own.next_check.min(own.since + drain_for).max(now + 1),
            _ => own.next_check,
        };
        self.wake(place, at.max(now + 1));
    }

    fn term(&mut self, place: usize, out: &mut Vec<Do>) {
        let own = &mut self.instances[place];
        let Some(process) = own.kept.process else { return };
        own.at_fault = own.kept.want != Want::Stopped && !own.kept.renew;
        own.kept.step = Some(Step::Term);
        own.kill_at = self.now + KILL_AFTER;
        self.keep(place, out);
        let name = self.instances[place].name.clone();
        out.push(Do::Signal { name, process, kill: false });
        self.to(place, Phase::Stopping, out);
    }

    /// Cold: on its way to ready, or ready for less than its cold time.
    fn cold(&self, place: usize) -> bool {
        let own = &self.instances[place];
        match own.phase {
            Phase::Starting => true,
            Phase::Ready => own.kept.run > 0 && self.now < own.since + self.rules.cold_for,
            _ => false,
        }
    }

    /// Looks anew at who of a station may start.
    fn refresh(&mut self, station: usize) {
        let members = &self.stations[station].members;
        let cold = members.iter().filter(|&&m| self.cold(m)).count();
        let may = |m: &&usize| {
            let own = &self.instances[**m];
            !own.phase.lives()
                && !own.looking
                && own.kept.want == Want::Running
                && !own.kept.set_aside
                && own.start_at <= self.now
        };
        let failures = |m: usize| self.instances[m].kept.failures;
        let first = members.iter().copied().filter(|m| may(&m)).min_by_key(|&m| (failures(m), m));
        let first = first.map(|m| {
            let (wanted, serving) = self.wanted(station);
            (serving as f64 / wanted.max(1) as f64, failures(m), m)
        });
        if first.is_some() {
            self.waiting.insert(station);
        } else {
            self.waiting.remove(&station);
        }
        (self.stations[station].cold, self.stations[station].first) = (cold, first);
    }

    /// Starts whoever may start now, the neediest stations first, and within one those that failed least.
    fn starts(&mut self, station: usize, out: &mut Vec<Do>) {
        self.refresh(station);
        loop {
            let room = |s: &&usize| self.stations[**s].cold < self.rules.cold.max(1);
            let waiting = self.waiting.iter().filter(room).filter_map(|&s| self.stations[s].first);
            let need = |a: &(f64, u32, usize), b: &(f64, u32, usize)| {
                a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2)))
            };
            let Some((.., place)) = waiting.min_by(need) else { return };
            self.begin(place, out);
            self.refresh(self.instances[place].station);
        }
    }

    /// Begins a start, if the station can pay for it.
    fn begin(&mut self, place: usize, out: &mut Vec<Do>) {
        let now = self.now;
        let (station, failures) = (self.instances[place].station, self.instances[place].kept.failures);
        let of = &mut self.stations[station];
        // A first start, and one that a person has asked for, costs nothing; one after a death does.
        if failures > 0
            && let Err(until) = of.budget.take(now, &self.rules)
        {
            let told = std::mem::replace(&mut of.told_budget, true);
            if !told {
                out.push(Do::Tell(Line::NoBudget { station: of.name.clone(), until }));
            }
            self.instances[place].start_at = until;
            self.wake(place, until);
            return;
        }
        of.told_budget = false;
        let own = &mut self.instances[place];
        own.kept.run += 1;
        (own.kept.process, own.kept.step, own.kept.ended) = (None, Some(Step::Start), None);
        (own.was_ready, own.kept.renew, own.drained, own.ready_at) = (false, false, false, None);
        (own.answered_at, own.next_check) = (now, now);
        own.to(now, Phase::Starting);
        let (name, run) = (own.name.clone(), own.kept.run);
        self.keep(place, out);
        out.push(Do::Start { name, run });
        self.wake(place, now + LOOK_AGAIN);
    }
}
