//! Room for requests that are being received.
//!
//! They may take half of the room for bodies, so that requests that have been received always find some. Where that half
//! is used up, the client that holds most of it loses what it has not finished: one that begins much and ends nothing
//! gives way to those who finish.

use std::cmp::Reverse;

use doorgrade::Ticks;

use super::State;
use super::client::Client;
use crate::conn::ConnId;
use crate::intake::MAX_PARTIAL_BYTES;
use crate::reasons::ClientEnd;

/// The part of the room for bodies that requests may take while they are being received.
const PARTIAL_SHARE: f64 = 0.5;

impl State {
    /// Makes room for this many bytes of requests that this client is sending, if need be. Returns the room that there
    /// is then, in bytes.
    pub(super) fn room_for_partial(&mut self, conn: ConnId, incoming: usize) -> usize {
        let limit = (PARTIAL_SHARE * self.bounds.bodies as f64) as usize;
        let free = self.bounds.bodies.saturating_sub(self.body_bytes);
        // All that is held is little enough, whatever part of it is of requests that are being received.
        if self.body_bytes + incoming <= limit {
            return free;
        }
        while self.partial_bytes() + incoming > limit
            && let Some(holder) = self.largest_partial(conn, incoming)
        {
            self.decline_partial(holder, ClientEnd::Evicted);
            if holder == conn {
                return 0;
            }
        }
        let free = self.bounds.bodies.saturating_sub(self.body_bytes);
        free.min(limit.saturating_sub(self.partial_bytes()))
    }

    /// Bytes of requests that are being received, of all clients.
    fn partial_bytes(&self) -> usize {
        self.clients.values().map(|c| c.intake.held_bytes()).sum()
    }

    /// The client that holds most beyond one request of the greatest size; among those that hold no more than that, one
    /// that has never finished a request, and of these the one whose request began first. `incoming` bytes of `conn` count as held.
    fn largest_partial(&self, conn: ConnId, incoming: usize) -> Option<ConnId> {
        let rank = |(&holder, client): (&ConnId, &Client)| -> Option<(usize, bool, Reverse<Ticks>, ConnId)> {
            let held = client.intake.held_bytes();
            if held == 0 {
                return None;
            }
            let held = held + if holder == conn { incoming } else { 0 };
            let began_at = client.request_since.unwrap_or(self.now);
            Some((held.saturating_sub(MAX_PARTIAL_BYTES), !client.has_finished, Reverse(began_at), holder))
        };
        self.clients.iter().filter_map(rank).max().map(|(.., holder)| holder)
    }
}
