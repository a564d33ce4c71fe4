//! The next step of each instance, and which may start now.

use super::{Effect, FIND_RETRY_INTERVAL, Fleet, LogEvent};
use crate::Ticks;
use crate::instance::{
    CHECK_INTERVAL, DesiredState, KILL_TIMEOUT, Phase, START_TIMEOUT, STARTUP_CHECK_INTERVAL, Step,
};
use crate::pace::max_down;

impl Fleet {
    /// Takes the instance's next step, and those that others may take now that it has changed.
    pub(super) fn advance(&mut self, index: usize, effects: &mut Vec<Effect>) {
        self.step(index, effects);
        let station = self.instances[index].station;
        // Another instance may now be allowed to go down, or to start.
        for n in 0..self.stations[station].members.len() {
            let other = self.stations[station].members[n];
            if other != index && self.waits_for_drain(other) {
                self.step(other, effects);
            }
        }
        self.start_waiting(station, effects);
        self.report_completion(index, effects);
        self.request_timer(effects);
    }

    /// It is to be drained, and the drain has not begun.
    fn waits_for_drain(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.phase == Phase::Ready
            && (instance.persisted.restart_pending || instance.persisted.desired != DesiredState::Running)
    }

    /// Whether fewer of the station's instances than allowed are on their way down, or back up, by orders.
    fn may_go_down(&self, station: usize) -> bool {
        let members = || self.stations[station].members.iter().map(|&m| &self.instances[m]);
        let going_down = members().filter(|i| match i.phase {
            Phase::Draining => !(i.persisted.desired == DesiredState::Drained && i.drained),
            Phase::Stopping => true,
            // Instances that start again after an order, or have died meanwhile, count as down, too.
            Phase::Starting | Phase::Lost => i.persisted.desired == DesiredState::Running,
            Phase::Failed | Phase::Stopped => {
                i.persisted.desired == DesiredState::Running && !i.persisted.quarantined
            }
            Phase::Absent | Phase::Ready => false,
        });
        going_down.count() < max_down(&self.rules, self.stations[station].members.len())
    }

    fn enter_phase(&mut self, index: usize, phase: Phase, effects: &mut Vec<Effect>) {
        let instance = &mut self.instances[index];
        if instance.phase != phase {
            instance.enter_phase(self.now, phase);
            effects.push(Effect::Log(LogEvent::PhaseChanged {
                name: instance.name.clone(),
                run: instance.persisted.run,
                phase,
            }));
        }
    }

    fn step(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let now = self.now;
        let instance = &self.instances[index];
        let (name, run, phase_since) = (instance.name.clone(), instance.persisted.run, instance.phase_since);
        if instance.finding_processes {
            if instance.timer_at <= now {
                effects.push(Effect::FindProcesses { name });
                self.set_timer(index, now + FIND_RETRY_INTERVAL);
            }
            return;
        }
        if !instance.phase.has_process() {
            // `start_waiting` chooses what to start; until then there is nothing to do.
            if instance.persisted.desired == DesiredState::Running
                && !instance.persisted.quarantined
                && instance.earliest_start > now
            {
                let at = instance.earliest_start;
                self.set_timer(index, at);
            }
            return;
        }
        let Some(process) = instance.persisted.process else {
            // Its start was requested, but the outcome was not reported.
            if now >= phase_since + FIND_RETRY_INTERVAL {
                self.instances[index].finding_processes = true;
                effects.push(Effect::FindProcesses { name });
            }
            return self.set_timer(index, now + FIND_RETRY_INTERVAL);
        };
        let stops = instance.persisted.restart_pending || instance.persisted.desired == DesiredState::Stopped;
        match instance.phase {
            Phase::Starting
                if instance.persisted.desired == DesiredState::Stopped
                    || now >= phase_since + START_TIMEOUT =>
            {
                self.terminate(index, effects)
            }
            Phase::Lost => self.terminate(index, effects),
            // Still draining by order of an earlier agent.
            Phase::Starting if instance.drained && !instance.desired_unknown => {
                effects.push(Effect::Drain { name: name.clone(), process, on: false });
                self.instances[index].drained = false;
            }
            Phase::Ready
                if (stops || instance.persisted.desired == DesiredState::Drained)
                    && self.may_go_down(instance.station) =>
            {
                effects.push(Effect::Drain { name: name.clone(), process, on: true });
                self.instances[index].drained = false;
                self.enter_phase(index, Phase::Draining, effects);
            }
            Phase::Draining if stops => {
                // It reports that it drains, and its clients have had time to notice; or it ignores the
                // request, and is stopped all the same.
                let waited = now >= phase_since + self.rules.drain_time;
                if waited && instance.drained || now >= phase_since + 2 * self.rules.drain_time {
                    self.terminate(index, effects);
                } else if !instance.drained {
                    effects.push(Effect::Drain { name: name.clone(), process, on: true });
                }
            }
            Phase::Draining if instance.persisted.desired == DesiredState::Running => {
                effects.push(Effect::Drain { name: name.clone(), process, on: false });
                self.enter_phase(index, Phase::Starting, effects);
            }
            Phase::Draining if !instance.drained => {
                effects.push(Effect::Drain { name: name.clone(), process, on: true })
            }
            Phase::Stopping if now >= instance.kill_at => {
                self.instances[index].persisted.pending_step = Some(Step::Kill);
                self.instances[index].kill_at = now + KILL_TIMEOUT;
                self.persist(index, effects);
                effects.push(Effect::Signal { name: name.clone(), process, kill: true });
            }
            _ => {}
        }
        self.schedule_check(index, effects, run, &name);
    }

    /// Requests health checks, and sets the timer for the next step.
    fn schedule_check(&mut self, index: usize, effects: &mut Vec<Effect>, run: u64, name: &str) {
        let (now, drain_time) = (self.now, self.rules.drain_time);
        let instance = &mut self.instances[index];
        let is_checked =
            matches!(instance.phase, Phase::Starting | Phase::Ready | Phase::Draining | Phase::Lost);
        if is_checked && now >= instance.next_check {
            instance.next_check =
                now + if instance.phase == Phase::Starting { STARTUP_CHECK_INTERVAL } else { CHECK_INTERVAL };
            effects.push(Effect::Check { name: name.into(), run });
        }
        let at: Ticks = match instance.phase {
            Phase::Stopping => instance.kill_at,
            Phase::Draining => instance.next_check.min(instance.phase_since + drain_time).max(now + 1),
            _ => instance.next_check,
        };
        self.set_timer(index, at.max(now + 1));
    }

    fn terminate(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let instance = &mut self.instances[index];
        let Some(process) = instance.persisted.process else { return };
        instance.stopped_as_faulty =
            instance.persisted.desired != DesiredState::Stopped && !instance.persisted.restart_pending;
        instance.persisted.pending_step = Some(Step::Term);
        instance.kill_at = self.now + KILL_TIMEOUT;
        self.persist(index, effects);
        let name = self.instances[index].name.clone();
        effects.push(Effect::Signal { name, process, kill: false });
        self.enter_phase(index, Phase::Stopping, effects);
    }

    /// Starting, or ready for less than its cold time.
    fn is_cold(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        match instance.phase {
            Phase::Starting => true,
            Phase::Ready => {
                instance.persisted.run > 0 && self.now < instance.phase_since + self.rules.cold_time
            }
            _ => false,
        }
    }

    /// Updates which instance of a station may start next.
    fn refresh_start_queue(&mut self, station: usize) {
        let members = &self.stations[station].members;
        let cold = members.iter().filter(|&&m| self.is_cold(m)).count();
        let may_start = |m: &&usize| {
            let instance = &self.instances[**m];
            !instance.phase.has_process()
                && !instance.finding_processes
                && instance.persisted.desired == DesiredState::Running
                && !instance.persisted.quarantined
                && instance.earliest_start <= self.now
        };
        let failures = |m: usize| self.instances[m].persisted.failures;
        let first = members.iter().copied().filter(|m| may_start(&m)).min_by_key(|&m| (failures(m), m));
        let first = first.map(|m| {
            let (desired, serving) = self.count_desired(station);
            (serving as f64 / desired.max(1) as f64, failures(m), m)
        });
        if first.is_some() {
            self.stations_waiting.insert(station);
        } else {
            self.stations_waiting.remove(&station);
        }
        (self.stations[station].cold_count, self.stations[station].next_start) = (cold, first);
    }

    /// Starts all instances that may start now: those of the stations with the smallest serving share first,
    /// and within a station those with the fewest failures.
    fn start_waiting(&mut self, station: usize, effects: &mut Vec<Effect>) {
        self.refresh_start_queue(station);
        loop {
            let room = |s: &&usize| self.stations[**s].cold_count < self.rules.max_cold.max(1);
            let waiting =
                self.stations_waiting.iter().filter(room).filter_map(|&s| self.stations[s].next_start);
            let need = |a: &(f64, u32, usize), b: &(f64, u32, usize)| {
                a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2)))
            };
            let Some((.., index)) = waiting.min_by(need) else { return };
            self.begin_start(index, effects);
            self.refresh_start_queue(self.instances[index].station);
        }
    }

    /// Starts an instance, if the station's budget allows it.
    fn begin_start(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let now = self.now;
        let (station, failures) = (self.instances[index].station, self.instances[index].persisted.failures);
        let station_state = &mut self.stations[station];
        // A first start, and one that was ordered, costs nothing; one after a failure does.
        if failures > 0
            && let Err(until) = station_state.budget.take(now, &self.rules)
        {
            let reported = std::mem::replace(&mut station_state.budget_reported, true);
            if !reported {
                effects.push(Effect::Log(LogEvent::BudgetExhausted {
                    station: station_state.name.clone(),
                    until,
                }));
            }
            self.instances[index].earliest_start = until;
            self.set_timer(index, until);
            return;
        }
        station_state.budget_reported = false;
        let instance = &mut self.instances[index];
        instance.persisted.run += 1;
        (instance.persisted.process, instance.persisted.pending_step, instance.persisted.exit) =
            (None, Some(Step::Start), None);
        (instance.was_ready, instance.persisted.restart_pending, instance.drained, instance.last_ready_at) =
            (false, false, false, None);
        (instance.last_answer_at, instance.next_check) = (now, now);
        instance.enter_phase(now, Phase::Starting);
        let (name, run) = (instance.name.clone(), instance.persisted.run);
        self.persist(index, effects);
        effects.push(Effect::Start { name, run });
        self.set_timer(index, now + FIND_RETRY_INTERVAL);
    }
}
