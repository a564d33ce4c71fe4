//! A replica: the records that one front stores, and which writes and claims it accepts.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::{RecordView, ReplicaRequest, ReplicaResponse, RequestId, RequestRecord, Term};

/// The state of one request, on disk and in memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Writes of earlier terms are rejected.
    pub promised: Term,
    /// The term and version of the last write.
    pub written: Term,
    pub version: u32,
    pub record: RequestRecord,
    /// By this replica's clock: when it learned of the first intended push, and until when the client waits.
    pub first_push_at: Ticks,
    pub deadline: Ticks,
    /// When it last changed.
    pub updated_at: Ticks,
}

impl StoredRecord {
    fn view(&self, now: Ticks) -> RecordView {
        RecordView {
            written: self.written,
            version: self.version,
            record: self.record.clone(),
            push_age: now.saturating_sub(self.first_push_at),
            time_left: self.deadline.saturating_sub(now),
        }
    }
}

/// The records that this front stores as a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    records: BTreeMap<RequestId, StoredRecord>,
    capacity: usize,
    retention: Ticks,
    /// Whether it knows all that it has acknowledged.
    pub votes: bool,
}

impl Replica {
    /// `stored`: the records on disk. `retention`: how long a record is kept after its last change; longer
    /// than any client waits.
    pub fn new(
        capacity: usize,
        retention: Ticks,
        stored: BTreeMap<RequestId, StoredRecord>,
        votes: bool,
    ) -> Replica {
        Replica { records: stored, capacity, retention, votes }
    }

    pub fn get(&self, id: RequestId) -> Option<&StoredRecord> {
        self.records.get(&id)
    }

    pub fn records(&self) -> impl Iterator<Item = (RequestId, &StoredRecord)> {
        self.records.iter().map(|(id, stored)| (*id, stored))
    }

    /// Removes expired records and returns their ids, to be removed from disk, too.
    pub fn remove_expired(&mut self, now: Ticks) -> Vec<RequestId> {
        let expired: Vec<RequestId> = self
            .records
            .iter()
            .filter(|(_, stored)| stored.updated_at.saturating_add(self.retention) <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| drop(self.records.remove(id)));
        expired
    }

    /// Returns the response, and whether the change has to be on disk before the response is sent.
    pub fn handle(&mut self, now: Ticks, id: RequestId, request: ReplicaRequest) -> (ReplicaResponse, bool) {
        if !self.votes && request != ReplicaRequest::Read {
            return (ReplicaResponse::NotVoting, false);
        }
        let carried = match &request {
            ReplicaRequest::Create { record, .. } | ReplicaRequest::Write { record, .. } => Some(record),
            ReplicaRequest::Claim { view, .. } => Some(&view.record),
            ReplicaRequest::Discard { .. } | ReplicaRequest::Read => None,
        };
        if carried.is_some_and(|record| !record.within_limits()) {
            return (ReplicaResponse::Full, false);
        }
        let full = self.records.len() >= self.capacity && !self.records.contains_key(&id);
        let Some(existing) = self.records.get_mut(&id) else {
            let (term, version, record, first_push_at, time_left) = match request {
                _ if full => return (ReplicaResponse::Full, false),
                ReplicaRequest::Create { term, record, time_left } => (term, 1, record, now, time_left),
                // This replica missed the creation.
                ReplicaRequest::Write { term, version, record, time_left } => {
                    (term, version, record, now, time_left)
                }
                ReplicaRequest::Claim { term, view } => {
                    let first_push_at = now.saturating_sub(view.push_age);
                    let stored = StoredRecord {
                        promised: term,
                        written: view.written,
                        version: view.version,
                        record: view.record.clone(),
                        first_push_at,
                        deadline: now.saturating_add(view.time_left),
                        updated_at: now,
                    };
                    self.records.insert(id, stored);
                    return (ReplicaResponse::Promised { term, view }, true);
                }
                ReplicaRequest::Discard { .. } | ReplicaRequest::Read => {
                    return (ReplicaResponse::Empty, false);
                }
            };
            let (deadline, creation_id) = (now.saturating_add(time_left), record.creation_id);
            let stored = StoredRecord {
                promised: term,
                written: term,
                version,
                record,
                first_push_at,
                deadline,
                updated_at: now,
            };
            self.records.insert(id, stored);
            return (ReplicaResponse::Stored { creation_id, term, version }, true);
        };
        let view = existing.view(now);
        let rejected = ReplicaResponse::Rejected { promised: existing.promised, view: view.clone() };
        match request {
            ReplicaRequest::Read => (ReplicaResponse::Current { promised: existing.promised, view }, false),
            // Sent again: the first response may have been lost.
            ReplicaRequest::Create { term, record, .. }
                if record.creation_id == existing.record.creation_id && existing.promised == term =>
            {
                (ReplicaResponse::Stored { creation_id: record.creation_id, term, version: 1 }, false)
            }
            ReplicaRequest::Create { .. } => (rejected, false),
            ReplicaRequest::Discard { creation_id } => {
                let discardable = existing.record.creation_id == creation_id
                    && existing.promised.number == 1
                    && existing.version == 1;
                if discardable {
                    self.records.remove(&id);
                }
                (ReplicaResponse::Empty, discardable)
            }
            ReplicaRequest::Write { record, .. } if record.creation_id != existing.record.creation_id => {
                (rejected, false)
            }
            ReplicaRequest::Write { term, .. } if term < existing.promised => (rejected, false),
            ReplicaRequest::Write { term, version, record, .. } => {
                let is_newer = (term, version) > (existing.written, existing.version);
                let creation_id = record.creation_id;
                if is_newer {
                    if !existing.record.may_have_run() {
                        existing.first_push_at = now;
                    }
                    (existing.promised, existing.written, existing.version) = (term, term, version);
                    (existing.record, existing.updated_at) = (record, now);
                }
                (ReplicaResponse::Stored { creation_id, term, version }, is_newer)
            }
            ReplicaRequest::Claim { view, .. } if view.record.creation_id != existing.record.creation_id => {
                (rejected, false)
            }
            ReplicaRequest::Claim { term, .. } if term < existing.promised => (rejected, false),
            ReplicaRequest::Claim { term, .. } => {
                let is_newer = term > existing.promised;
                (existing.promised, existing.updated_at) = (term, now);
                (ReplicaResponse::Promised { term, view }, is_newer)
            }
        }
    }
}
