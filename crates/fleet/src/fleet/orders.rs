//! Orders: accepted as a whole or not at all, and followed until they have finished.

use super::{Effect, Fleet, LogEvent, MAX_ORDERS, OpenOrder};
use crate::Ticks;
use crate::instance::{DesiredState, Phase};
use crate::order::{MAX_TARGETS, Operation, Order, OrderRejection, Progress};
use crate::pace::RestartBudget;

impl Fleet {
    /// Returns the order's number, or why it is rejected; then nothing of it is done.
    pub fn order(
        &mut self,
        now: Ticks,
        order: &Order,
        effects: &mut Vec<Effect>,
    ) -> Result<u64, OrderRejection> {
        self.advance_clock(now);
        self.check_journal()?;
        let indexes = self.validate(order)?;
        let number = self.next_order;
        self.next_order += 1;
        for &index in &indexes {
            let instance = &mut self.instances[index];
            let desired = order.operation.desired_state().unwrap_or(instance.persisted.desired);
            let changes_state = order.operation != Operation::Restore;
            instance.persisted.revision += u64::from(changes_state);
            (instance.persisted.changed_by, instance.persisted.order) = (order.by.clone(), number);
            instance.persisted.desired = desired;
            instance.persisted.restart_pending = order.operation == Operation::Restart
                && instance.phase.has_process()
                && instance.phase != Phase::Stopping;
            if desired == DesiredState::Running {
                // Explicitly ordered: the failure count and the backoff start over.
                (instance.persisted.failures, instance.persisted.quarantined, instance.earliest_start) =
                    (0, false, self.now);
            }
            self.persist(index, effects);
        }
        if order.operation == Operation::Restore {
            let stations: Vec<usize> = indexes.iter().map(|&index| self.instances[index].station).collect();
            for station in stations {
                self.stations[station].budget = RestartBudget::full(self.now, &self.rules);
            }
        }
        let (by, target_count) = (order.by.clone(), indexes.len());
        effects.push(Effect::Log(LogEvent::Ordered {
            number,
            by: by.clone(),
            operation: order.operation,
            target_count,
        }));
        let open_order = OpenOrder {
            by,
            operation: order.operation,
            ordered_at: self.now,
            targets: indexes.clone(),
            halted_by: None,
            finished: false,
        };
        self.orders.insert(number, open_order);
        while self.orders.len() > MAX_ORDERS {
            self.orders.pop_first();
        }
        for index in indexes {
            self.advance(index, effects);
        }
        self.request_timer(effects);
        Ok(number)
    }

    /// The instances that an order would change, without changing them.
    pub fn plan(&self, order: &Order) -> Result<Vec<(Box<str>, Phase, DesiredState)>, OrderRejection> {
        let indexes = self.validate(order)?;
        let changed =
            indexes.into_iter().map(|index| &self.instances[index]).filter(|i| match order.operation {
                Operation::Restart => true,
                Operation::Restore => i.persisted.desired == DesiredState::Running && !i.is_serving(),
                operation => operation.desired_state() != Some(i.persisted.desired) || !i.is_as_desired(),
            });
        let desired = |now: DesiredState| order.operation.desired_state().unwrap_or(now);
        Ok(changed.map(|i| (i.name.clone(), i.phase, desired(i.persisted.desired))).collect())
    }

    fn validate(&self, order: &Order) -> Result<Vec<usize>, OrderRejection> {
        if order.targets.is_empty() {
            return Err(OrderRejection::NoTargets);
        }
        if order.targets.len() > MAX_TARGETS {
            return Err(OrderRejection::TooManyTargets(order.targets.len()));
        }
        let mut indexes = Vec::with_capacity(order.targets.len());
        for (name, seen) in &order.targets {
            let index = self.index_of(name).ok_or_else(|| OrderRejection::UnknownInstance(name.clone()))?;
            let instance = &self.instances[index];
            if seen.is_some_and(|seen| seen != instance.persisted.revision) {
                return Err(OrderRejection::Changed {
                    name: name.clone(),
                    by: instance.persisted.changed_by.clone(),
                    order: instance.persisted.order,
                    desired: instance.persisted.desired,
                    revision: instance.persisted.revision,
                });
            }
            // It may be started after its exit, but the exit can't be prevented.
            if instance.phase == Phase::Stopping
                && instance.persisted.desired == DesiredState::Stopped
                && order.operation == Operation::Drain
            {
                return Err(OrderRejection::AlreadyStopping(name.clone()));
            }
            if !indexes.contains(&index) {
                indexes.push(index);
            }
        }
        if order.operation.reduces_capacity() {
            self.check_last_serving(order, &indexes)?;
        }
        Ok(indexes)
    }

    /// A station that serves keeps at least one serving instance, unless the order forces it by the station's
    /// name.
    fn check_last_serving(&self, order: &Order, indexes: &[usize]) -> Result<(), OrderRejection> {
        for station in &self.stations {
            if order.force.contains(&station.name) {
                continue;
            }
            let serving: Vec<usize> =
                station.members.iter().copied().filter(|&m| self.instances[m].is_serving()).collect();
            let left = serving.iter().filter(|m| {
                !indexes.contains(m) && self.instances[**m].persisted.desired == DesiredState::Running
            });
            let is_last = match order.operation {
                // They are restarted one after the other.
                Operation::Restart => serving.len() == 1,
                _ => left.count() == 0,
            };
            if is_last && serving.iter().any(|m| indexes.contains(m)) {
                return Err(OrderRejection::LastServing { station: station.name.clone() });
            }
        }
        Ok(())
    }

    /// An instance of an order has died: a restart halts.
    pub(super) fn halt_restart(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let instance = &self.instances[index];
        let (number, name) = (instance.persisted.order, instance.name.clone());
        let Some(open_order) = self
            .orders
            .get_mut(&number)
            .filter(|o| o.operation == Operation::Restart && o.halted_by.is_none() && !o.finished)
        else {
            return;
        };
        open_order.halted_by = Some(name.clone());
        effects.push(Effect::Log(LogEvent::Halted { number, operation: Operation::Restart, name }));
        for target in open_order.targets.clone() {
            let other = &mut self.instances[target];
            // Instances whose drain has not begun yet stay as they are.
            if other.persisted.order == number && matches!(other.phase, Phase::Ready | Phase::Starting) {
                other.persisted.restart_pending = false;
                self.persist(target, effects);
            }
        }
    }

    /// Logs that an order is done, if this instance was the last. Called after each input; it stops at the
    /// first instance that is not done.
    pub(super) fn report_completion(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let number = self.instances[index].persisted.order;
        let Some(open_order) = self.orders.get(&number).filter(|o| !o.finished && o.halted_by.is_none())
        else {
            return;
        };
        let is_done = |&t: &usize| {
            let instance = &self.instances[t];
            instance.persisted.order == number && !instance.persisted.quarantined && instance.is_as_desired()
        };
        let operation = open_order.operation;
        if open_order.targets.iter().all(is_done) {
            self.orders.entry(number).and_modify(|o| o.finished = true);
            effects.push(Effect::Log(LogEvent::Completed { number, operation }));
        }
    }

    /// The progress of an order; none if it was dropped, or given to an earlier agent.
    pub fn progress(&self, number: u64) -> Option<Progress> {
        let open_order = self.orders.get(&number)?;
        let mut progress = Progress {
            number,
            by: open_order.by.clone(),
            operation: open_order.operation,
            ordered_at: open_order.ordered_at,
            target_count: open_order.targets.len(),
            done: 0,
            superseded: 0,
            failed: Vec::new(),
            pending: Vec::new(),
            halted: open_order.halted_by.is_some(),
        };
        for instance in open_order.targets.iter().map(|&t| &self.instances[t]) {
            if instance.persisted.order != number {
                progress.superseded += 1;
            } else if instance.persisted.quarantined || open_order.halted_by.as_ref() == Some(&instance.name)
            {
                progress.failed.push(instance.name.clone());
            } else if instance.is_as_desired() {
                progress.done += 1;
            } else {
                progress.pending.push(instance.name.clone());
            }
        }
        Some(progress)
    }

    pub fn orders(&self) -> impl DoubleEndedIterator<Item = u64> {
        self.orders.keys().copied()
    }
}
