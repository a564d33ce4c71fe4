//! What the shell reports: processes found, started and ended, checks, the journal, and the time.

use super::{Do, Fleet, Line};
use crate::instance::{Check, Exit, KILL_AFTER, Kept, Phase, Step, Want};
use crate::{Process, Run, Ticks};

impl Fleet {
    /// What the journal said when it could not be written.
    pub fn not_kept(&mut self, now: Ticks, name: &str, why: &str, out: &mut Vec<Do>) {
        self.clock(now);
        if self.not_kept.replace(why.into()).is_none() {
            out.push(Do::Tell(Line::NotKept { name: name.into() }));
        }
    }

    /// The journal can be written again.
    pub fn kept(&mut self) {
        self.not_kept = None;
    }

    /// All processes that carry the instance's mark.
    pub fn found(&mut self, now: Ticks, name: &str, processes: &[(Run, Process)], out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.place(name) else { return };
        let own = &mut self.instances[place];
        if !std::mem::take(&mut own.looking) {
            return;
        }
        let known = own.kept.process;
        let run = own.kept.run;
        if own.kept == Kept::default() && !processes.is_empty() {
            // The journal was lost. What runs was wanted by somebody; to stop it would be to act on knowing nothing.
            (own.kept.want, own.kept.revision, own.inherited) = (Want::Running, 1, true);
            own.kept.by = "found running".into();
        }
        // Of this run there should be one; of two the one that is known, or else the one that began first.
        let mut ours: Vec<Process> = processes.iter().filter(|p| p.0 == run).map(|p| p.1).collect();
        ours.sort_by_key(|p| (Some(*p) != known, p.born, p.id));
        // The journal may be older than what was begun from it: then the latest run is the one.
        let later = processes.iter().filter(|p| p.0 > run).max_by_key(|p| (p.0, std::cmp::Reverse(p.1)));
        let chosen = later.copied().or(ours.first().map(|p| (run, *p)));
        if let Some((run, process)) = chosen {
            let new = known != Some(process);
            if own.kept.run != run || own.kept.ended.is_some() {
                (own.kept.run, own.kept.ended, own.kept.step) = (run, None, None);
                own.to(self.now, Phase::Starting);
            }
            own.kept.process = Some(process);
            (own.next_check, own.answered_at) = (self.now, self.now);
            let ends = own.phase == Phase::Stopping;
            if ends {
                // Its signal may not have been sent.
                own.kill_at = self.now + KILL_AFTER;
                out.push(Do::Signal { name: name.into(), process, kill: false });
            }
            if new {
                self.keep(place, out);
                out.push(Do::Tell(Line::Adopted { name: name.into(), run, process }));
            }
        } else if own.kept.run > 0 && own.kept.ended.is_none() {
            match (own.kept.step, known) {
                // Its start was about to be, and never was: that is nobody's failure.
                (Some(Step::Start), None) => {
                    (own.kept.ended, own.kept.step) = (Some(Exit::Unseen), None);
                    own.to(self.now, Phase::Failed);
                }
                _ => {
                    self.end(place, Exit::Unseen, out);
                }
            }
            self.keep(place, out);
        }
        for (run, process) in processes.iter().filter(|p| Some(**p) != chosen) {
            out.push(Do::Tell(Line::Stray { name: name.into(), run: *run, process: *process }));
            out.push(Do::Signal { name: name.into(), process: *process, kill: false });
        }
        self.settle(place, out);
    }

    /// A start that was asked for has made a process, or has not: why.
    pub fn started(
        &mut self,
        now: Ticks,
        name: &str,
        run: Run,
        made: Result<Process, Box<str>>,
        out: &mut Vec<Do>,
    ) {
        self.clock(now);
        let Some(place) = self.of_run(name, run) else { return };
        match made {
            Ok(process) => {
                let own = &mut self.instances[place];
                (own.kept.process, own.kept.step) = (Some(process), None);
                (own.next_check, own.answered_at) = (self.now, self.now);
                self.keep(place, out);
            }
            Err(why) => {
                out.push(Do::Tell(Line::NotStarted { name: name.into(), run, why }));
                self.end(place, Exit::Unseen, out);
                self.keep(place, out);
            }
        }
        self.settle(place, out);
    }

    /// A process has ended. Of one that is not the instance's it says nothing.
    pub fn exited(&mut self, now: Ticks, name: &str, process: Process, exit: Exit, out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.place(name) else { return };
        if self.instances[place].kept.process != Some(process) {
            return;
        }
        self.end(place, exit, out);
        self.keep(place, out);
        self.settle(place, out);
    }

    /// What a check of a run has shown.
    pub fn checked(&mut self, now: Ticks, name: &str, run: Run, check: Check, out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.of_run(name, run) else { return };
        let own = &mut self.instances[place];
        let (before, inherited) = (own.phase, own.inherited);
        own.checked(self.now, check);
        let phase = own.phase;
        if own.inherited != inherited {
            self.keep(place, out);
        }
        if phase != before {
            out.push(Do::Tell(Line::Phase { name: name.into(), run, phase }));
        }
        self.settle(place, out);
    }

    fn end(&mut self, place: usize, exit: Exit, out: &mut Vec<Do>) {
        let own = &mut self.instances[place];
        let (name, run) = (own.name.clone(), own.kept.run);
        let failed = own.ended(self.now, exit);
        let failures = own.kept.failures;
        out.push(Do::Tell(Line::Ended {
            name: name.clone(),
            run,
            exit,
            failures: if failed { failures } else { 0 },
        }));
        if !failed {
            return;
        }
        own.start_at = self.now + crate::pace::pause(failures, &mut self.rng);
        if failures >= self.rules.most_failures && !std::mem::replace(&mut own.kept.set_aside, true) {
            out.push(Do::Tell(Line::SetAside { name, failures }));
        }
        self.halt(place, out);
    }

    /// To be called when [`Do::Wake`] says.
    pub fn due(&mut self, now: Ticks, out: &mut Vec<Do>) {
        self.clock(now);
        // One timer counts, the earliest; each that was asked for before it would otherwise ask for one more.
        if self.told_wake.is_some_and(|at| at > self.now) {
            return;
        }
        self.told_wake = None;
        while let Some((at, place)) = self.wakes.first().copied().filter(|w| w.0 <= self.now) {
            self.wakes.remove(&(at, place));
            self.instances[place].wakes = 0;
            self.settle(place, out);
        }
        self.tell_wake(out);
    }
}
