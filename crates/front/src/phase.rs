//! The phases of the process, from start to exit.

use doorgrade::Ticks;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The configuration is applied; the listener is not open yet.
    Starting,
    Serving,
    /// A stop was requested: new accesses are accepted until `accept_until`, and all have ended by
    /// `deadline`.
    Stopping {
        accept_until: Ticks,
        deadline: Ticks,
    },
    /// No access is open; responses are still being written, and clients' connections half-closed.
    Closing {
        deadline: Ticks,
    },
    Exited,
}

#[derive(Debug)]
pub struct Phase(State);

impl Phase {
    /// After a stop is requested, clients connect for up to 0.4 s and send accesses on open connections for
    /// 0.2 s more. Half as long again, since a late access would be lost.
    const ACCEPT_DURATION: Ticks = 9_000;
    /// The hard stop comes this much after the longest hard limit (or [`Phase::MAX_HARD_LIMIT`]); 0.3 s of it
    /// are for writing the last responses.
    const GRACE: Ticks = 4_000;
    const MAX_HARD_LIMIT: Ticks = 30_000;

    pub fn new() -> Self {
        Phase(State::Starting)
    }

    pub fn serve(&mut self) {
        if self.0 == State::Starting {
            self.0 = State::Serving;
        }
    }

    /// Starts the shutdown. Returns when to call [`Phase::advance`] again.
    pub fn stop(&mut self, now: Ticks, max_hard_limit: Ticks) -> Option<[Ticks; 2]> {
        if !matches!(self.0, State::Starting | State::Serving) {
            return None;
        }
        let (accept_until, deadline) =
            (now + Self::ACCEPT_DURATION, now + max_hard_limit.min(Self::MAX_HARD_LIMIT) + Self::GRACE);
        self.0 = State::Stopping { accept_until: accept_until.min(deadline), deadline };
        Some([accept_until.min(deadline), deadline])
    }

    /// Advances as time and open accesses allow. `connected`: clients are still connected, or may still
    /// connect.
    pub fn advance(&mut self, now: Ticks, open: bool, connected: bool) {
        match self.0 {
            State::Stopping { accept_until, deadline }
                if now >= accept_until && (!open || now >= deadline) =>
            {
                self.0 = State::Closing { deadline };
                self.advance(now, open, connected);
            }
            State::Closing { deadline } if !connected || now >= deadline + Self::GRACE / 2 => {
                self.0 = State::Exited
            }
            _ => {}
        }
    }

    /// Whether new accesses are accepted. If not, requests are declined, and idle clients' connections
    /// half-closed.
    pub fn accepts(&self, now: Ticks) -> bool {
        match self.0 {
            State::Serving => true,
            State::Stopping { accept_until, .. } => now < accept_until,
            _ => false,
        }
    }

    pub fn serving(&self) -> bool {
        self.0 == State::Serving
    }

    /// The time by which every access has ended, once a stop was requested.
    pub fn deadline(&self) -> Option<Ticks> {
        match self.0 {
            State::Stopping { deadline, .. } | State::Closing { deadline } => Some(deadline),
            _ => None,
        }
    }

    pub fn exited(&self) -> bool {
        self.0 == State::Exited
    }
}

impl Default for Phase {
    fn default() -> Self {
        Phase::new()
    }
}
