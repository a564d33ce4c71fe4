//! One instance: what is wanted of it, what was seen, and where that leaves it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Process, Run, TICKS_PER_SECOND, Ticks};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Want {
    #[default]
    Stopped,
    Running,
    /// It runs, and tells its clients to go elsewhere. May be taken back.
    Drained,
}

/// Where an instance stands, as far as can be told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It was never started.
    #[default]
    Absent,
    /// Its start was asked for, or it runs and was not ready yet.
    Starting,
    Ready,
    /// It was told to send its clients elsewhere.
    Draining,
    /// It has had its SIGTERM: there is no way back.
    Stopping,
    /// It has ended, as was wanted.
    Stopped,
    /// It has ended by itself, or could not be started.
    Failed,
    /// Its process is there, but it has not answered for too long.
    Lost,
}

impl fmt::Display for Want {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Want::Stopped => "stopped",
            Want::Running => "running",
            Want::Drained => "drained",
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

    /// There is a process, or may be one.
    pub fn lives(self) -> bool {
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

/// What a look at an instance's door came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// It says that it is ready, and answers more than that.
    Ready,
    /// It says that it is not.
    NotReady,
    /// Nobody is there, or nothing comes, or only the one answer that says ready.
    Silent,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exit {
    Code(i32),
    Signal(i32),
    /// It is gone; nobody was there to see how.
    Unseen,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exit::Code(code) => write!(f, "exit code {code}"),
            Exit::Signal(signal) => write!(f, "signal {signal}"),
            Exit::Unseen => f.write_str("gone unseen"),
        }
    }
}

/// What is about to be done to an instance, kept before it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Start,
    Term,
    Kill,
}

/// What of an instance survives its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub want: Want,
    /// Grows with each change of what is wanted; an order names the one that its giver has seen.
    pub revision: u64,
    /// By whom, and by which order, it was changed last.
    pub by: Box<str>,
    pub order: u64,
    /// The last start, or the one that is about to be.
    pub run: Run,
    pub process: Option<Process>,
    pub step: Option<Step>,
    /// The last run has ended, and how.
    pub ended: Option<Exit>,
    /// Starts in a row that came to nothing.
    pub failures: u32,
    pub set_aside: bool,
    /// It is to be started anew once it has ended, though it is wanted running all the time.
    pub renew: bool,
}

/// An instance, kept and seen.
#[derive(Clone, Debug)]
pub struct Instance {
    pub name: Box<str>,
    pub station: usize,
    pub kept: Kept,
    pub phase: Phase,
    /// Since when it is in this phase.
    pub since: Ticks,
    /// When it was last seen ready, and when it last answered at all.
    pub ready_at: Option<Ticks>,
    pub answered_at: Ticks,
    /// It has said that it takes no more clients since it was told to drain.
    pub drained: bool,
    /// When it may be started again.
    pub start_at: Ticks,
    /// When SIGKILL follows.
    pub kill_at: Ticks,
    /// A look at its processes has been asked for and not answered; until then nothing is done to it.
    pub looking: bool,
    pub next_check: Ticks,
    /// It was ready in this run.
    pub was_ready: bool,
    /// It is being stopped since it did not do what it should.
    pub at_fault: bool,
    /// Found running where the journal knew nothing of it: how it is wanted is taken from how it is.
    pub inherited: bool,
    /// When to ask about it next.
    pub wakes: Ticks,
}

/// A start that has not come to ready in this time has failed; reading a large shape takes seconds.
pub const START_WITHIN: Ticks = 30 * TICKS_PER_SECOND;
/// An instance that answers nothing for so long while its process lives is lost: twice what its clients wait.
pub const SILENT_FOR: Ticks = 6 * TICKS_PER_SECOND;
/// From SIGTERM to SIGKILL: the front's own end takes its clients' longest wait and a second.
pub const KILL_AFTER: Ticks = 15 * TICKS_PER_SECOND;
/// One found running that says for so long that it takes no clients was told so.
pub const INHERITED: Ticks = 2 * TICKS_PER_SECOND;
/// Ready for so long, a start has come to something.
pub const PROVEN: Ticks = 30 * TICKS_PER_SECOND;
/// How often the door is looked at; and of one that starts, since whoever waits for it waits for that.
pub const CHECK_EACH: Ticks = TICKS_PER_SECOND;
pub const CHECK_START_EACH: Ticks = TICKS_PER_SECOND / 5;

impl Instance {
    pub fn new(name: &str, station: usize, now: Ticks, kept: Kept) -> Instance {
        let phase = match (kept.run, kept.ended, kept.want) {
            (0, ..) => Phase::Absent,
            (_, Some(_), Want::Stopped) => Phase::Stopped,
            (_, Some(_), _) => Phase::Failed,
            (_, None, _) if matches!(kept.step, Some(Step::Term | Step::Kill)) => Phase::Stopping,
            (_, None, _) => Phase::Starting,
        };
        Instance {
            name: name.into(),
            station,
            kept,
            phase,
            since: now,
            ready_at: None,
            answered_at: now,
            drained: false,
            start_at: now,
            kill_at: now + KILL_AFTER,
            looking: false,
            next_check: now,
            was_ready: false,
            at_fault: false,
            inherited: false,
            wakes: 0,
        }
    }

    pub fn to(&mut self, now: Ticks, phase: Phase) {
        if self.phase != phase {
            (self.phase, self.since) = (phase, now);
        }
    }

    /// It serves its clients, as far as can be told.
    pub fn serves(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// It is as wanted, and has been for long enough.
    pub fn settled(&self) -> bool {
        match self.kept.want {
            Want::Stopped => !self.phase.lives(),
            Want::Running => self.phase == Phase::Ready && !self.kept.renew,
            Want::Drained => !self.phase.lives() || self.phase == Phase::Draining && self.drained,
        }
    }

    /// What a check of this run's door tells.
    pub fn checked(&mut self, now: Ticks, check: Check) {
        if check != Check::Silent {
            self.answered_at = now;
        }
        if self.inherited
            && (check == Check::Ready || check == Check::NotReady && now >= self.since + INHERITED)
        {
            // A person told it to drain, and is not to find it serving; one that only starts is ready sooner.
            self.inherited = false;
            self.kept.want = if check == Check::Ready { Want::Running } else { Want::Drained };
        }
        match (self.phase, check) {
            (Phase::Starting | Phase::Lost, Check::Ready) => {
                (self.was_ready, self.ready_at, self.drained) = (true, Some(now), false);
                self.to(now, Phase::Ready);
            }
            (Phase::Ready, Check::Ready) => self.ready_at = Some(now),
            (Phase::Draining, Check::NotReady) => self.drained = true,
            // Told to drain, and not heeding it yet.
            (Phase::Draining, Check::Ready) => self.drained = false,
            // Found so by an agent that came after the one that told it; if it is not wanted so, it is told otherwise.
            (Phase::Starting, Check::NotReady) if self.kept.renew || self.kept.want != Want::Running => {
                self.drained = true;
                self.to(now, Phase::Draining);
            }
            (Phase::Starting, Check::NotReady) => self.drained = true,
            // It says so by itself: somebody else has told it to stop, or it is not ready yet.
            (Phase::Ready, Check::NotReady) => self.to(now, Phase::Starting),
            (Phase::Ready | Phase::Draining, Check::Silent) if now >= self.answered_at + SILENT_FOR => {
                self.to(now, Phase::Lost);
            }
            _ => {}
        }
    }

    /// The run has ended; whether it counts as a failure.
    pub fn ended(&mut self, now: Ticks, exit: Exit) -> bool {
        let wanted = self.phase == Phase::Stopping && !std::mem::take(&mut self.at_fault);
        let proven = self.was_ready && self.ready_at.is_some_and(|at| at >= self.since + PROVEN);
        self.kept.ended = Some(exit);
        (self.kept.process, self.kept.step) = (None, None);
        (self.looking, self.drained) = (false, false);
        if proven || wanted {
            self.kept.failures = 0;
        }
        if wanted {
            self.to(now, Phase::Stopped);
            return false;
        }
        self.kept.failures += 1;
        self.to(now, Phase::Failed);
        true
    }
}
