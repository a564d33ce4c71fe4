//! Reports from the shell: processes found, started and exited, health checks, the journal, and timers.

use super::{Effect, Fleet, LogEvent};
use crate::instance::{Check, DesiredState, Exit, KILL_TIMEOUT, PersistedState, Phase, Step};
use crate::{Process, Run, Ticks};

impl Fleet {
    /// The journal could not be written.
    pub fn on_journal_error(&mut self, now: Ticks, name: &str, reason: &str, effects: &mut Vec<Effect>) {
        self.advance_clock(now);
        if self.journal_error.replace(reason.into()).is_none() {
            effects.push(Effect::Log(LogEvent::JournalFailed { name: name.into() }));
        }
    }

    /// The journal can be written again.
    pub fn on_journal_ok(&mut self) {
        self.journal_error = None;
    }

    /// All processes with the instance's mark.
    pub fn on_processes_found(
        &mut self,
        now: Ticks,
        name: &str,
        processes: &[(Run, Process)],
        effects: &mut Vec<Effect>,
    ) {
        self.advance_clock(now);
        let Some(index) = self.index_of(name) else { return };
        let instance = &mut self.instances[index];
        if !std::mem::take(&mut instance.finding_processes) {
            return;
        }
        let known = instance.persisted.process;
        let run = instance.persisted.run;
        if instance.persisted == PersistedState::default() && !processes.is_empty() {
            // The journal was lost. What is running was started on purpose, so it must not be stopped without
            // knowing more.
            (instance.persisted.desired, instance.persisted.revision, instance.desired_unknown) =
                (DesiredState::Running, 1, true);
            instance.persisted.changed_by = "found running".into();
        }
        // One process of this run is expected; of several, the known one is kept, or else the oldest.
        let mut of_this_run: Vec<Process> = processes.iter().filter(|p| p.0 == run).map(|p| p.1).collect();
        of_this_run.sort_by_key(|p| (Some(*p) != known, p.start_time, p.id));
        // The journal may be older than a later start: then the process of the latest run is kept.
        let of_later_run =
            processes.iter().filter(|p| p.0 > run).max_by_key(|p| (p.0, std::cmp::Reverse(p.1)));
        let chosen = of_later_run.copied().or(of_this_run.first().map(|p| (run, *p)));
        if let Some((run, process)) = chosen {
            let is_new = known != Some(process);
            if instance.persisted.run != run || instance.persisted.exit.is_some() {
                (instance.persisted.run, instance.persisted.exit, instance.persisted.pending_step) =
                    (run, None, None);
                instance.enter_phase(self.now, Phase::Starting);
            }
            instance.persisted.process = Some(process);
            (instance.next_check, instance.last_answer_at) = (self.now, self.now);
            let is_stopping = instance.phase == Phase::Stopping;
            if is_stopping {
                // The signal may not have been sent.
                instance.kill_at = self.now + KILL_TIMEOUT;
                effects.push(Effect::Signal { name: name.into(), process, kill: false });
            }
            if is_new {
                self.persist(index, effects);
                effects.push(Effect::Log(LogEvent::Adopted { name: name.into(), run, process }));
            }
        } else if instance.persisted.run > 0 && instance.persisted.exit.is_none() {
            match (instance.persisted.pending_step, known) {
                // The start was persisted but not made, which is no failure.
                (Some(Step::Start), None) => {
                    (instance.persisted.exit, instance.persisted.pending_step) =
                        (Some(Exit::Unobserved), None);
                    instance.enter_phase(self.now, Phase::Failed);
                }
                _ => {
                    self.record_exit(index, Exit::Unobserved, effects);
                }
            }
            self.persist(index, effects);
        }
        for (run, process) in processes.iter().filter(|p| Some(**p) != chosen) {
            effects.push(Effect::Log(LogEvent::UnexpectedProcess {
                name: name.into(),
                run: *run,
                process: *process,
            }));
            effects.push(Effect::Signal { name: name.into(), process: *process, kill: false });
        }
        self.advance(index, effects);
    }

    /// The outcome of a requested start: its process, or why there is none.
    pub fn on_started(
        &mut self,
        now: Ticks,
        name: &str,
        run: Run,
        result: Result<Process, Box<str>>,
        effects: &mut Vec<Effect>,
    ) {
        self.advance_clock(now);
        let Some(index) = self.index_of_run(name, run) else { return };
        match result {
            Ok(process) => {
                let instance = &mut self.instances[index];
                (instance.persisted.process, instance.persisted.pending_step) = (Some(process), None);
                (instance.next_check, instance.last_answer_at) = (self.now, self.now);
                self.persist(index, effects);
            }
            Err(reason) => {
                effects.push(Effect::Log(LogEvent::NotStarted { name: name.into(), run, reason }));
                self.record_exit(index, Exit::Unobserved, effects);
                self.persist(index, effects);
            }
        }
        self.advance(index, effects);
    }

    /// A process has exited. Ignored if it is not the instance's current one.
    pub fn on_exited(
        &mut self,
        now: Ticks,
        name: &str,
        process: Process,
        exit: Exit,
        effects: &mut Vec<Effect>,
    ) {
        self.advance_clock(now);
        let Some(index) = self.index_of(name) else { return };
        if self.instances[index].persisted.process != Some(process) {
            return;
        }
        self.record_exit(index, exit, effects);
        self.persist(index, effects);
        self.advance(index, effects);
    }

    /// The result of a health check of a run.
    pub fn on_checked(&mut self, now: Ticks, name: &str, run: Run, check: Check, effects: &mut Vec<Effect>) {
        self.advance_clock(now);
        let Some(index) = self.index_of_run(name, run) else { return };
        let instance = &mut self.instances[index];
        let (previous_phase, desired_unknown) = (instance.phase, instance.desired_unknown);
        instance.on_check(self.now, check);
        let phase = instance.phase;
        if instance.desired_unknown != desired_unknown {
            self.persist(index, effects);
        }
        if phase != previous_phase {
            effects.push(Effect::Log(LogEvent::PhaseChanged { name: name.into(), run, phase }));
        }
        self.advance(index, effects);
    }

    fn record_exit(&mut self, index: usize, exit: Exit, effects: &mut Vec<Effect>) {
        let instance = &mut self.instances[index];
        let (name, run) = (instance.name.clone(), instance.persisted.run);
        let failed = instance.on_exit(self.now, exit);
        let failures = instance.persisted.failures;
        effects.push(Effect::Log(LogEvent::Exited {
            name: name.clone(),
            run,
            exit,
            failures: if failed { failures } else { 0 },
        }));
        if !failed {
            return;
        }
        instance.earliest_start = self.now + crate::pace::backoff(failures, &mut self.rng);
        if failures >= self.rules.max_failures
            && !std::mem::replace(&mut instance.persisted.quarantined, true)
        {
            effects.push(Effect::Log(LogEvent::Quarantined { name, failures }));
        }
        self.halt_restart(index, effects);
    }

    /// To be called at the time of [`Effect::SetTimer`].
    pub fn on_timer(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        self.advance_clock(now);
        // Only the earliest timer counts; otherwise each earlier request would cause one more.
        if self.requested_timer.is_some_and(|at| at > self.now) {
            return;
        }
        self.requested_timer = None;
        while let Some((at, index)) = self.timers.first().copied().filter(|w| w.0 <= self.now) {
            self.timers.remove(&(at, index));
            self.instances[index].timer_at = 0;
            self.advance(index, effects);
        }
        self.request_timer(effects);
    }
}
