//! One instance: its desired state, what was observed, and the phase that results.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Process, Run, TICKS_PER_SECOND, Ticks};

/// The state that operators want an instance to be in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DesiredState {
    #[default]
    Stopped,
    Running,
    /// It runs, but sends its clients elsewhere. Can be undone.
    Drained,
}

/// The state of an instance, as far as is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It was never started.
    #[default]
    Absent,
    /// Its start was requested, or it runs and was not ready yet.
    Starting,
    Ready,
    /// It was signalled to send its clients elsewhere.
    Draining,
    /// It has received SIGTERM, which can't be undone.
    Stopping,
    /// It has exited as desired.
    Stopped,
    /// It exited on its own, or could not be started.
    Failed,
    /// Its process exists, but has not answered for too long.
    Lost,
}

impl fmt::Display for DesiredState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DesiredState::Stopped => "stopped",
            DesiredState::Running => "running",
            DesiredState::Drained => "drained",
        })
    }
}

impl Phase {
    pub const ALL: [Phase; 8] = [
        Phase::Absent,
        Phase::Starting,
        Phase::Ready,
        Phase::Draining,
        Phase::Stopping,
        Phase::Stopped,
        Phase::Failed,
        Phase::Lost,
    ];

    /// It has a process, or may have one.
    pub fn has_process(self) -> bool {
        matches!(self, Phase::Starting | Phase::Ready | Phase::Draining | Phase::Stopping | Phase::Lost)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Absent => "absent",
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Stopping => "stopping",
            Phase::Stopped => "stopped",
            Phase::Failed => "failed",
            Phase::Lost => "lost",
        })
    }
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// It reports that it is ready, and answers another request, too.
    Ready,
    /// It reports that it is not ready.
    NotReady,
    /// No connection, or no answer to the readiness check or to the other request.
    Unresponsive,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exit {
    Code(i32),
    Signal(i32),
    /// It is gone, but its exit was not observed.
    Unobserved,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exit::Code(code) => write!(f, "exit code {code}"),
            Exit::Signal(signal) => write!(f, "signal {signal}"),
            Exit::Unobserved => f.write_str("gone unseen"),
        }
    }
}

/// The next action on an instance, persisted before it is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Start,
    Term,
    Kill,
}

/// The state of an instance that outlives the agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    pub desired: DesiredState,
    /// Increases with each change of the desired state; an order names the one that its sender has seen.
    pub revision: u64,
    /// Who changed it last, and with which order.
    pub changed_by: Box<str>,
    pub order: u64,
    /// The number of the last start, or of the one that is about to be made.
    pub run: Run,
    pub process: Option<Process>,
    pub pending_step: Option<Step>,
    /// The exit of the last run, if it has ended.
    pub exit: Option<Exit>,
    /// Number of consecutive failed starts.
    pub failures: u32,
    /// Failed too often: not started again until that is ordered. Shown to users as 'set aside'.
    pub quarantined: bool,
    /// To be started again once it has exited, although the desired state is running throughout.
    pub restart_pending: bool,
}

/// The persisted and the observed state of an instance.
#[derive(Clone, Debug)]
pub struct Instance {
    pub name: Box<str>,
    pub station: usize,
    pub persisted: PersistedState,
    pub phase: Phase,
    /// When it entered this phase.
    pub phase_since: Ticks,
    /// When it last was ready, and when it last answered at all.
    pub last_ready_at: Option<Ticks>,
    pub last_answer_at: Ticks,
    /// It has reported, since the drain began, that it accepts no more clients.
    pub drained: bool,
    /// When it may be started again.
    pub earliest_start: Ticks,
    /// When SIGKILL is sent.
    pub kill_at: Ticks,
    /// Its processes are being looked up; until that is answered, nothing is done to it.
    pub finding_processes: bool,
    pub next_check: Ticks,
    /// It has been ready in this run.
    pub was_ready: bool,
    /// It is being stopped because of a fault, not as ordered.
    pub stopped_as_faulty: bool,
    /// Found running without an entry in the journal: its desired state is derived from its behaviour.
    pub desired_unknown: bool,
    /// When its next step is due; 0: no timer is set.
    pub timer_at: Ticks,
}

/// A start that is not ready after this time has failed; reading a large topology takes seconds.
pub const START_TIMEOUT: Ticks = 30 * TICKS_PER_SECOND;
/// An instance whose process exists but that has not answered for this long is lost: twice the time that its
/// clients wait.
pub const UNRESPONSIVE_TIMEOUT: Ticks = 6 * TICKS_PER_SECOND;
/// From SIGTERM to SIGKILL: an orderly exit takes its clients' longest wait plus a second.
pub const KILL_TIMEOUT: Ticks = 15 * TICKS_PER_SECOND;
/// An instance found running that reports not ready for this long is considered to be draining.
pub const DRAIN_DETECTION_TIME: Ticks = 2 * TICKS_PER_SECOND;
/// A start has succeeded once the instance has been ready for this long.
pub const STABLE_AFTER: Ticks = 30 * TICKS_PER_SECOND;
/// The interval of health checks; shorter while an instance starts, since others wait for it to be ready.
pub const CHECK_INTERVAL: Ticks = TICKS_PER_SECOND;
pub const STARTUP_CHECK_INTERVAL: Ticks = TICKS_PER_SECOND / 5;

impl Instance {
    pub fn new(name: &str, station: usize, now: Ticks, persisted: PersistedState) -> Instance {
        let phase = match (persisted.run, persisted.exit, persisted.desired) {
            (0, ..) => Phase::Absent,
            (_, Some(_), DesiredState::Stopped) => Phase::Stopped,
            (_, Some(_), _) => Phase::Failed,
            (_, None, _) if matches!(persisted.pending_step, Some(Step::Term | Step::Kill)) => {
                Phase::Stopping
            }
            (_, None, _) => Phase::Starting,
        };
        Instance {
            name: name.into(),
            station,
            persisted,
            phase,
            phase_since: now,
            last_ready_at: None,
            last_answer_at: now,
            drained: false,
            earliest_start: now,
            kill_at: now + KILL_TIMEOUT,
            finding_processes: false,
            next_check: now,
            was_ready: false,
            stopped_as_faulty: false,
            desired_unknown: false,
            timer_at: 0,
        }
    }

    pub fn enter_phase(&mut self, now: Ticks, phase: Phase) {
        if self.phase != phase {
            (self.phase, self.phase_since) = (phase, now);
        }
    }

    /// It serves its clients, as far as is known.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// It has reached its desired state.
    pub fn is_as_desired(&self) -> bool {
        match self.persisted.desired {
            DesiredState::Stopped => !self.phase.has_process(),
            DesiredState::Running => self.phase == Phase::Ready && !self.persisted.restart_pending,
            DesiredState::Drained => {
                !self.phase.has_process() || self.phase == Phase::Draining && self.drained
            }
        }
    }

    /// Applies the result of a health check of the current run.
    pub fn on_check(&mut self, now: Ticks, check: Check) {
        if check != Check::Unresponsive {
            self.last_answer_at = now;
        }
        if self.desired_unknown
            && (check == Check::Ready
                || check == Check::NotReady && now >= self.phase_since + DRAIN_DETECTION_TIME)
        {
            // Not ready for this long: it was drained by other means, and stays drained. An instance that is
            // only starting is ready sooner.
            self.desired_unknown = false;
            self.persisted.desired =
                if check == Check::Ready { DesiredState::Running } else { DesiredState::Drained };
        }
        match (self.phase, check) {
            (Phase::Starting | Phase::Lost, Check::Ready) => {
                (self.was_ready, self.last_ready_at, self.drained) = (true, Some(now), false);
                self.enter_phase(now, Phase::Ready);
            }
            (Phase::Ready, Check::Ready) => self.last_ready_at = Some(now),
            (Phase::Draining, Check::NotReady) => self.drained = true,
            // The drain was signalled, but it has not reacted yet.
            (Phase::Draining, Check::Ready) => self.drained = false,
            // Found draining by an agent that replaced the one that ordered it; if it should not drain, that is
            // signalled.
            (Phase::Starting, Check::NotReady)
                if self.persisted.restart_pending || self.persisted.desired != DesiredState::Running =>
            {
                self.drained = true;
                self.enter_phase(now, Phase::Draining);
            }
            (Phase::Starting, Check::NotReady) => self.drained = true,
            // Not ready although this agent did not drain it: it was stopped by other means, or is not ready
            // yet.
            (Phase::Ready, Check::NotReady) => self.enter_phase(now, Phase::Starting),
            (Phase::Ready | Phase::Draining, Check::Unresponsive)
                if now >= self.last_answer_at + UNRESPONSIVE_TIMEOUT =>
            {
                self.enter_phase(now, Phase::Lost);
            }
            _ => {}
        }
    }

    /// The run has ended. Returns whether that counts as a failure.
    pub fn on_exit(&mut self, now: Ticks, exit: Exit) -> bool {
        let was_requested = self.phase == Phase::Stopping && !std::mem::take(&mut self.stopped_as_faulty);
        let was_stable =
            self.was_ready && self.last_ready_at.is_some_and(|at| at >= self.phase_since + STABLE_AFTER);
        self.persisted.exit = Some(exit);
        (self.persisted.process, self.persisted.pending_step) = (None, None);
        (self.finding_processes, self.drained) = (false, false);
        if was_stable || was_requested {
            self.persisted.failures = 0;
        }
        if was_requested {
            self.enter_phase(now, Phase::Stopped);
            return false;
        }
        self.persisted.failures += 1;
        self.enter_phase(now, Phase::Failed);
        true
    }
}
