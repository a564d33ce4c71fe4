//! Whether a request may still begin when its first byte is to be written: what it was made from may be over by then.

use std::sync::Weak;
use std::sync::atomic::Ordering;

use doorgrade::Ticks;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;

use crate::clock;
use crate::conn::{ConnId, Stream};
use crate::reasons::Cut;

/// For whom a request is to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Awaits {
    pub client: ConnId,
    /// From then on it is to be made anew: time has passed, and word may have come that it has to heed.
    pub made_until: Ticks,
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

    /// Why the request is not to begin; none where it is as fresh as it has to be and the client waits for it.
    pub fn objection(&self) -> Option<Cut> {
        if clock::now() >= self.awaits.made_until {
            return Some(Cut::Stale);
        }
        let Some(stream) = self.stream.upgrade() else { return Some(Cut::ClientLeft) };
        let mut asked = [PollFd::new(stream.socket.inner(), PollFlags::IN | PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let looked = retry_on_intr(|| poll(&mut asked, Some(&at_once)));
        // A look that fails tells nothing: something may have come.
        let seen = looked.map_or(PollFlags::IN, |_| asked[0].revents());
        if seen.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            return Some(Cut::ClientLeft);
        }
        let unheard = stream.unheard.load(Ordering::SeqCst) || seen.contains(PollFlags::IN);
        (unheard && self.awaits.hear_first).then_some(Cut::Unheard)
    }
}
