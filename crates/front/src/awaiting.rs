//! Whether a client still waits for an answer, as far as the system knows: what it said last may not have been heard yet.

use std::sync::Weak;
use std::sync::atomic::Ordering;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::conn::{ConnId, Stream};
use crate::reasons::Cut;

/// For whom a request is to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Awaits {
    pub client: ConnId,
    /// What the client has said since may give the request up: it is to be heard first.
    pub hear_first: bool,
}

/// The client's connection for as long as it is open here.
pub struct Awaiting {
    pub(crate) stream: Weak<Stream>,
    pub(crate) awaits: Awaits,
}

impl Awaiting {
    /// The client's connection was closed already.
    pub fn nobody(awaits: Awaits) -> Awaiting {
        Awaiting { stream: Weak::new(), awaits }
    }

    /// Why the request is not to begin; none where the client waits for it.
    pub fn objection(&self) -> Option<Cut> {
        let Some(stream) = self.stream.upgrade() else { return Some(Cut::ClientLeft) };
        let mut asked = [PollFd::new(stream.socket.inner(), PollFlags::IN | PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A look that fails tells nothing.
        let seen = poll(&mut asked, Some(&at_once)).map_or(PollFlags::empty(), |_| asked[0].revents());
        if seen.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            return Some(Cut::ClientLeft);
        }
        let unheard = stream.unheard.load(Ordering::SeqCst) || seen.contains(PollFlags::IN);
        (unheard && self.awaits.hear_first).then_some(Cut::Unheard)
    }
}
