//! Whether a request may still be started just before its first byte is written: its client may have left, or
//! it may be out of date by then.

use std::sync::Weak;
use std::sync::atomic::Ordering;

use doorgrade::Ticks;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;

use crate::clock;
use crate::conn::{ConnId, Stream};
use crate::reasons::IoEnd;

/// The conditions under which a request may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendConditions {
    pub client: ConnId,
    /// From then on the request must be rebuilt: its remaining time has changed, and an event such as a purge
    /// may have arrived.
    pub valid_until: Ticks,
    /// Data from the client that was not processed yet may abort the request, so it must be processed first.
    pub client_data_first: bool,
}

/// Checks the conditions against the client's connection, as long as that is open.
pub struct SendGuard {
    pub(crate) stream: Weak<Stream>,
    pub(crate) conditions: SendConditions,
}

impl SendGuard {
    /// For a client whose connection is closed already.
    pub fn client_closed(conditions: SendConditions) -> SendGuard {
        SendGuard { stream: Weak::new(), conditions }
    }

    /// The reason why the request must not be started; none if it is fresh enough and the client waits for
    /// it.
    pub fn reason_not_to_send(&self) -> Option<IoEnd> {
        if clock::now() >= self.conditions.valid_until {
            return Some(IoEnd::Expired);
        }
        let Some(stream) = self.stream.upgrade() else { return Some(IoEnd::ClientLeft) };
        let mut poll_fds = [PollFd::new(stream.socket.inner(), PollFlags::IN | PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = retry_on_intr(|| poll(&mut poll_fds, Some(&no_wait)));
        // If the poll fails, data may have arrived.
        let events = polled.map_or(PollFlags::IN, |_| poll_fds[0].revents());
        if events.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            return Some(IoEnd::ClientLeft);
        }
        let pending = stream.data_pending.load(Ordering::SeqCst) || events.contains(PollFlags::IN);
        (pending && self.conditions.client_data_first).then_some(IoEnd::ClientDataPending)
    }
}
