//! Orders: taken whole or not at all, and followed until they are over.

use super::{Do, Fleet, Line, MOST_ORDERS, Open};
use crate::Ticks;
use crate::instance::{Phase, Want};
use crate::order::{MOST_TARGETS, Order, Progress, Refused, What};
use crate::pace::Budget;

impl Fleet {
    /// The order's number; or why it is not taken, and then nothing of it is begun.
    pub fn order(&mut self, now: Ticks, order: &Order, out: &mut Vec<Do>) -> Result<u64, Refused> {
        self.clock(now);
        self.refuse_unkept()?;
        let places = self.may(order)?;
        let number = self.next_order;
        self.next_order += 1;
        for &place in &places {
            let own = &mut self.instances[place];
            let want = order.what.want().unwrap_or(own.kept.want);
            let changes = order.what != What::Restore;
            own.kept.revision += u64::from(changes);
            (own.kept.by, own.kept.order) = (order.by.clone(), number);
            own.kept.want = want;
            own.kept.renew = order.what == What::Restart && own.phase.lives() && own.phase != Phase::Stopping;
            if want == Want::Running {
                // A person has said so: patience begins anew.
                (own.kept.failures, own.kept.set_aside, own.start_at) = (0, false, self.now);
            }
            self.keep(place, out);
        }
        if order.what == What::Restore {
            let stations: Vec<usize> = places.iter().map(|&p| self.instances[p].station).collect();
            for station in stations {
                self.stations[station].budget = Budget::full(self.now, &self.rules);
            }
        }
        let (by, of) = (order.by.clone(), places.len());
        out.push(Do::Tell(Line::Ordered { number, by: by.clone(), what: order.what, of }));
        let open =
            Open { by, what: order.what, at: self.now, targets: places.clone(), halted: None, over: false };
        self.orders.insert(number, open);
        while self.orders.len() > MOST_ORDERS {
            self.orders.pop_first();
        }
        for place in places {
            self.settle(place, out);
        }
        self.tell_wake(out);
        Ok(number)
    }

    /// What an order would do, without doing it: the instances that it changes.
    pub fn plan(&self, order: &Order) -> Result<Vec<(Box<str>, Phase, Want)>, Refused> {
        let places = self.may(order)?;
        let changed = places.into_iter().map(|p| &self.instances[p]).filter(|i| match order.what {
            What::Restart => true,
            What::Restore => i.kept.want == Want::Running && !i.serves(),
            what => what.want() != Some(i.kept.want) || !i.settled(),
        });
        let want = |now: Want| order.what.want().unwrap_or(now);
        Ok(changed.map(|i| (i.name.clone(), i.phase, want(i.kept.want))).collect())
    }

    fn may(&self, order: &Order) -> Result<Vec<usize>, Refused> {
        if order.targets.is_empty() {
            return Err(Refused::NoTargets);
        }
        if order.targets.len() > MOST_TARGETS {
            return Err(Refused::TooMany(order.targets.len()));
        }
        let mut places = Vec::with_capacity(order.targets.len());
        for (name, seen) in &order.targets {
            let place = self.place(name).ok_or_else(|| Refused::NoSuch(name.clone()))?;
            let own = &self.instances[place];
            if seen.is_some_and(|seen| seen != own.kept.revision) {
                return Err(Refused::Changed {
                    name: name.clone(),
                    by: own.kept.by.clone(),
                    order: own.kept.order,
                    want: own.kept.want,
                    revision: own.kept.revision,
                });
            }
            // It may be started after its end, but not be kept from it.
            if own.phase == Phase::Stopping && own.kept.want == Want::Stopped && order.what == What::Drain {
                return Err(Refused::Ends(name.clone()));
            }
            if !places.contains(&place) {
                places.push(place);
            }
        }
        if order.what.takes_away() {
            self.leaves_some(order, &places)?;
        }
        Ok(places)
    }

    /// A station that serves is not left without a serving instance, unless it is forced by its name.
    fn leaves_some(&self, order: &Order, places: &[usize]) -> Result<(), Refused> {
        for station in &self.stations {
            if order.force.contains(&station.name) {
                continue;
            }
            let serving: Vec<usize> =
                station.members.iter().copied().filter(|&m| self.instances[m].serves()).collect();
            let left = serving
                .iter()
                .filter(|m| !places.contains(m) && self.instances[**m].kept.want == Want::Running);
            let last = match order.what {
                // They go one after the other.
                What::Restart => serving.len() == 1,
                _ => left.count() == 0,
            };
            if last && serving.iter().any(|m| places.contains(m)) {
                return Err(Refused::LastOf { station: station.name.clone() });
            }
        }
        Ok(())
    }

    /// An instance of an order has died: a restart goes no further.
    pub(super) fn halt(&mut self, place: usize, out: &mut Vec<Do>) {
        let own = &self.instances[place];
        let (number, name) = (own.kept.order, own.name.clone());
        let Some(open) =
            self.orders.get_mut(&number).filter(|o| o.what == What::Restart && o.halted.is_none() && !o.over)
        else {
            return;
        };
        open.halted = Some(name.clone());
        out.push(Do::Tell(Line::Halted { number, what: What::Restart, name }));
        for target in open.targets.clone() {
            let other = &mut self.instances[target];
            // What has not been told to drain yet stays as it is.
            if other.kept.order == number && matches!(other.phase, Phase::Ready | Phase::Starting) {
                other.kept.renew = false;
                self.keep(target, out);
            }
        }
    }

    /// Tells the order that an instance's last step has brought to its end. Called after each input: it looks no further
    /// than the first that is not done.
    pub(super) fn tell_done(&mut self, place: usize, out: &mut Vec<Do>) {
        let number = self.instances[place].kept.order;
        let Some(open) = self.orders.get(&number).filter(|o| !o.over && o.halted.is_none()) else { return };
        let done = |&t: &usize| {
            let own = &self.instances[t];
            own.kept.order == number && !own.kept.set_aside && own.settled()
        };
        let what = open.what;
        if open.targets.iter().all(done) {
            self.orders.entry(number).and_modify(|o| o.over = true);
            out.push(Do::Tell(Line::Done { number, what }));
        }
    }

    /// How an order is doing; none of one that is forgotten, or was of an earlier agent.
    pub fn progress(&self, number: u64) -> Option<Progress> {
        let open = self.orders.get(&number)?;
        let mut p = Progress {
            number,
            by: open.by.clone(),
            what: open.what,
            at: open.at,
            of: open.targets.len(),
            done: 0,
            overtaken: 0,
            failed: Vec::new(),
            waits_for: Vec::new(),
            halted: open.halted.is_some(),
        };
        for own in open.targets.iter().map(|&t| &self.instances[t]) {
            if own.kept.order != number {
                p.overtaken += 1;
            } else if own.kept.set_aside || open.halted.as_ref() == Some(&own.name) {
                p.failed.push(own.name.clone());
            } else if own.settled() {
                p.done += 1;
            } else {
                p.waits_for.push(own.name.clone());
            }
        }
        Some(p)
    }

    pub fn orders(&self) -> impl DoubleEndedIterator<Item = u64> {
        self.orders.keys().copied()
    }
}
