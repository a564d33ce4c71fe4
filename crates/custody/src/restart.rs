//! Checks whether a restarted front still has all the records that it acknowledged before.
//!
//! A front that lost its store detects the loss; one that runs on an older copy of its store can't. So a front
//! votes in a new incarnation only when a majority of the *other* fronts of the roster have stored that this
//! incarnation has started; any later majority of them contains a front that has stored it. When the next
//! incarnation is announced, that front answers with the stored one. If it is later than the newest in the
//! announcing front's store, that store is outdated. A front that has lost records has no vote until no request
//! that it may have acknowledged can still be open, and until then its acknowledgements of other fronts' starts
//! don't count. The fronts that were running announce their incarnations again to a restarted front, since it
//! may have lost them.
//!
//! Not covered: an older copy restored at one front while another has lost its disk and was cut off from the
//! first for longer than anything is retained.

use std::collections::{BTreeMap, BTreeSet};

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::FrontId;

/// Announces that an incarnation has started, to be stored by the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartNotice {
    pub incarnation: u64,
}

/// The incarnation is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartAck {
    pub incarnation: u64,
    /// The latest other incarnation that the sender knows of, if any: the same for each repeated notice.
    pub previous: Option<u64>,
    /// The sender has itself forgotten nothing that is still open.
    pub complete: bool,
}

/// The incarnations in a front's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredIncarnations {
    /// The front's own latest incarnation.
    pub own_latest: u64,
    /// Nothing was forgotten, or nothing that was can still be open. A newly created store is incomplete
    /// until then, however often the front restarts meanwhile.
    pub complete: bool,
    /// The latest incarnation of each other front, and the one before it.
    pub peers: BTreeMap<FrontId, (u64, Option<u64>)>,
}

/// Decides whether this incarnation may vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RestartCheck {
    own: FrontId,
    members: Vec<FrontId>,
    pub incarnation: u64,
    /// The latest incarnation of this front in its store; none if there was no store.
    last_stored: Option<u64>,
    /// Incarnations of other fronts, as they announced them; on disk.
    peers: BTreeMap<FrontId, (u64, Option<u64>)>,
    /// Fronts that have stored this incarnation and are complete themselves.
    acked_by: BTreeSet<FrontId>,
    /// Until then it may have forgotten requests that are still open.
    incomplete_until: Option<Ticks>,
}

impl RestartCheck {
    /// `stored`: from its disk. Its own incarnation has to be on disk before anything is sent.
    pub fn new(
        own: FrontId,
        members: &[FrontId],
        incarnation: u64,
        stored: Option<StoredIncarnations>,
        now: Ticks,
        retention: Ticks,
    ) -> RestartCheck {
        let incomplete_until = stored.as_ref().is_none_or(|s| !s.complete).then_some(now + retention);
        let last_stored = stored.as_ref().map(|s| s.own_latest);
        let peers = stored.map(|s| s.peers).unwrap_or_default();
        let incarnation = last_stored.map_or(incarnation, |last| incarnation.max(last.saturating_add(1)));
        RestartCheck {
            own,
            members: members.to_vec(),
            incarnation,
            last_stored,
            peers,
            acked_by: BTreeSet::new(),
            incomplete_until,
        }
    }

    /// The state that has to be on disk.
    pub fn to_store(&self, now: Ticks) -> StoredIncarnations {
        StoredIncarnations {
            own_latest: self.incarnation,
            complete: self.complete(now),
            peers: self.peers.clone(),
        }
    }

    /// The fronts that have not acknowledged this incarnation yet.
    pub fn unacknowledged(&self) -> Vec<FrontId> {
        self.members.iter().copied().filter(|f| *f != self.own && !self.acked_by.contains(f)).collect()
    }

    /// Nothing that it may have forgotten is still open.
    fn complete(&self, now: Ticks) -> bool {
        self.incomplete_until.is_none_or(|until| until <= now)
    }

    /// Another front has started. The result has to be on disk before the acknowledgement is sent.
    pub fn on_start_notice(&mut self, now: Ticks, from: FrontId, notice: StartNotice) -> StartAck {
        if !self.members.contains(&from) {
            return StartAck { incarnation: notice.incarnation, previous: None, complete: false };
        }
        let known = self.peers.get(&from).copied();
        let previous = match known {
            // Announced again: the acknowledgement may have been lost.
            Some((latest, previous)) if latest == notice.incarnation => previous,
            Some((latest, _)) => Some(latest),
            None => None,
        };
        if known.is_none_or(|k| k.0 < notice.incarnation) {
            self.peers.insert(from, (notice.incarnation, previous));
        }
        // The new incarnation may have forgotten this front's.
        if known.is_none_or(|k| k.0 != notice.incarnation) {
            self.acked_by.remove(&from);
        }
        StartAck { incarnation: notice.incarnation, previous, complete: self.complete(now) }
    }

    /// Another front has answered the announcement of this incarnation.
    pub fn on_start_ack(&mut self, now: Ticks, retention: Ticks, from: FrontId, ack: StartAck) {
        if ack.incarnation != self.incarnation || !self.members.contains(&from) {
            return;
        }
        let forgotten = ack.previous.filter(|p| self.last_stored.is_none_or(|last| *p > last));
        if forgotten.is_some() && self.incomplete_until.is_none() {
            self.incomplete_until = Some(now + retention);
        }
        if let Some(later) = forgotten.filter(|p| *p > self.incarnation) {
            // The clock was set back as well: starts over under an incarnation that is new to the others.
            self.incarnation = later.saturating_add(1);
            return self.acked_by.clear();
        }
        // An incomplete front does not count. The incarnation that it reported was used above all the same, since
        // it may have learned of it after its loss.
        if ack.complete {
            self.acked_by.insert(from);
        }
    }

    pub fn may_vote(&self, now: Ticks) -> bool {
        let others = self.members.iter().filter(|f| **f != self.own).count();
        self.complete(now) && 2 * self.acked_by.len() > others
    }
}
