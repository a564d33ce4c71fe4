//! Messages between a front and the service. Transport and framing are up to the callers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::Delta;
use crate::seal::Seal;
use crate::{RejectionReason, VersionId};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToService {
    /// The first message on a connection.
    Hello {
        front: Box<str>,
        station: Box<str>,
        /// The seal proves the claim: a front can't make one.
        running: Option<(VersionId, Seal)>,
    },
    /// Requests a version's content, as a delta if `base` is given.
    Fetch {
        id: VersionId,
        base: Option<VersionId>,
    },
    /// The front runs this version. `stored`: it would run it again after a crash.
    Running {
        id: VersionId,
        stored: bool,
    },
    Rejected {
        id: VersionId,
        reason: RejectionReason,
    },
    /// Share of the requested benefit that the front recently served within the soft limit. Also serves as a
    /// keep-alive.
    ServiceLevel {
        share: f32,
    },
    /// Counters since the process started: accesses that ended, and those of them that were answered within the
    /// soft limit. Sent only when the service has requested it (`SetReportInterval`).
    Report {
        /// The version that the front runs when it reports.
        running: Option<VersionId>,
        accesses: u64,
        answered: u64,
        /// Incremented with each report of a process, to detect late or duplicate reports.
        sequence: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToFront {
    /// The front is admitted; the service sends a message at least this often.
    Welcome {
        heartbeat_interval: u64,
    },
    /// Too many fronts connect at once: reconnect after this time.
    RetryLater {
        delay: u64,
    },
    Offer {
        id: VersionId,
    },
    Content {
        id: VersionId,
        seal: Seal,
        body: Body,
    },
    /// Keep-alive.
    Heartbeat,
    /// Send a report now and then at this interval until the connection ends. The front clamps it to its own
    /// limits.
    SetReportInterval {
        millis: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Full(Arc<[u8]>),
    /// Against the base given in the request.
    Delta(Delta),
}
