//! The program's phases, from start to exit.

use doorgrade::Ticks;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The configuration is applied; nothing is listened to yet.
    Starting,
    Serving,
    /// Told to stop: new accesses are still taken until the first time, all are ended by the second.
    Leaving {
        take_until: Ticks,
        end_by: Ticks,
    },
    /// Nothing is open any more; answers are still being written, and clients' connections ended in order.
    Closing {
        end_by: Ticks,
    },
    Gone,
}

#[derive(Debug)]
pub struct Phase(State);

impl Phase {
    /// After the word to stop, connections come for up to 0.4 s and accesses on open ones for 0.2 s more;
    /// half as long again, since an access that comes late would be lost.
    const TAKEN_FOR: Ticks = 9_000;
    /// The hard stop comes this much after the longest hard limit (or [`Phase::LONGEST`]); 0.3 s are kept to
    /// write the last answers.
    const GRACE: Ticks = 4_000;
    const LONGEST: Ticks = 30_000;

    pub fn new() -> Self {
        Phase(State::Starting)
    }

    pub fn serve(&mut self) {
        if self.0 == State::Starting {
            self.0 = State::Serving;
        }
    }

    /// The word to stop has come: when to look at [`Phase::advance`] again.
    pub fn leave(&mut self, now: Ticks, longest: Ticks) -> Option<[Ticks; 2]> {
        if !matches!(self.0, State::Starting | State::Serving) {
            return None;
        }
        let (take_until, end_by) = (now + Self::TAKEN_FOR, now + longest.min(Self::LONGEST) + Self::GRACE);
        self.0 = State::Leaving { take_until: take_until.min(end_by), end_by };
        Some([take_until.min(end_by), end_by])
    }

    /// Moves on as time and open accesses allow. `connected`: clients' connections are not all ended yet, or more
    /// may come.
    pub fn advance(&mut self, now: Ticks, open: bool, connected: bool) {
        match self.0 {
            State::Leaving { take_until, end_by } if now >= take_until && (!open || now >= end_by) => {
                self.0 = State::Closing { end_by };
                self.advance(now, open, connected);
            }
            State::Closing { end_by } if !connected || now >= end_by + Self::GRACE / 2 => {
                self.0 = State::Gone
            }
            _ => {}
        }
    }

    /// What comes whole from then on is declined, and clients' connections are ended as they come to rest.
    pub fn takes(&self, now: Ticks) -> bool {
        match self.0 {
            State::Serving => true,
            State::Leaving { take_until, .. } => now < take_until,
            _ => false,
        }
    }

    pub fn serving(&self) -> bool {
        self.0 == State::Serving
    }

    /// From this time on no access may be left open.
    pub fn end_by(&self) -> Option<Ticks> {
        match self.0 {
            State::Leaving { end_by, .. } | State::Closing { end_by } => Some(end_by),
            _ => None,
        }
    }

    pub fn gone(&self) -> bool {
        self.0 == State::Gone
    }
}

impl Default for Phase {
    fn default() -> Self {
        Phase::new()
    }
}
