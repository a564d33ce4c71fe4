//! One push of an access: the request to its cache, and its progress.

use doorgrade::{Outcome, Push, Ticks};

use crate::clock::TimerId;
use crate::conn::ConnId;
use crate::http::{self, CacheRequest};
use crate::intake::Request;
use crate::push;

/// A request built longer ago than this is rebuilt. Half of 50 ms, the shortest tolerance for lateness on
/// sockets.
const MAX_REQUEST_AGE: Ticks = 250;

pub(super) struct SentPush {
    /// The numbers of the cache and of the source.
    pub(super) members: [Option<u32>; 2],
    pub(super) sent_at: Ticks,
    pub(super) conn: Option<ConnId>,
    /// It was handed to an established connection. Until then the cache can't have read any of it.
    pub(super) started: bool,
    /// How often its start was postponed.
    pub(super) postponed: u8,
    /// The request is not started from then on: caches would no longer recognise it as a repeat.
    send_deadline: Ticks,
    /// When it times out.
    deadline: Ticks,
    /// The timer for that.
    pub(super) timeout: TimerId,
    pub(super) in_flight: bool,
    /// Its outcome, for the log.
    pub(super) outcome: Option<Outcome>,
    /// A new connection was lost before anything was written to it.
    pub(super) lost_new_conn: bool,
    /// Refused as full on a new connection: its cache may accept no further connections.
    pub(super) refused_on_new_conn: bool,
    /// An event of the feed, such as a purge, has made the request out of date.
    pub(super) stale: bool,
    /// The cache is to refresh its copy in the background.
    pub(super) refresh: bool,
    /// The member that a miss is filled from; none if it is not to be filled.
    source: Option<Box<str>>,
    rank: u8,
    /// The oldest acceptable copy, in milliseconds; 0 means that the fresh time applies.
    max_age_ms: u64,
    join_fill: bool,
    only_if_cached: bool,
}

impl SentPush {
    pub(super) fn new(p: &Push<'_>, now: Ticks, timeout: TimerId) -> SentPush {
        let source = Some(p.source).filter(|s| *s != p.cache);
        SentPush {
            members: [Some(push::number(p.cache).unwrap_or(u32::MAX)), source.and_then(push::number)],
            sent_at: now,
            conn: None,
            started: false,
            postponed: 0,
            send_deadline: p.send_deadline,
            deadline: now + p.timeout,
            timeout,
            in_flight: true,
            outcome: None,
            lost_new_conn: false,
            refused_on_new_conn: false,
            stale: false,
            refresh: p.refresh,
            source: source.map(Into::into),
            rank: p.rank,
            // At least 1, as 0 would mean the fresh time.
            max_age_ms: if p.max_age > 0 { (p.max_age / 10).max(1) } else { 0 },
            join_fill: p.join_fill,
            only_if_cached: p.only_if_cached,
        }
    }

    /// Its cache may have read the request, and nothing proves that it did not run.
    pub(super) fn may_have_run(&self) -> bool {
        self.started && !self.outcome.is_some_and(Outcome::proves_unrun)
    }

    pub(super) fn may_start(&self, now: Ticks) -> bool {
        now < self.send_deadline && now < self.deadline
    }

    /// Until when a request built now may be started.
    pub(super) fn valid_until(&self, now: Ticks) -> Ticks {
        (now + MAX_REQUEST_AGE).min(self.send_deadline).min(self.deadline)
    }

    /// The bytes of the request. The remaining time is that of now, as the connection may have taken long to
    /// establish.
    pub(super) fn request(&self, now: Ticks, request: &Request, cdn_loop: Option<&str>) -> Vec<u8> {
        http::encode_request(&CacheRequest {
            offering: &request.offering,
            key: &request.key,
            part: request.part,
            id: &request.id,
            wait_ms: (self.deadline.saturating_sub(now) / 10).max(1),
            source: self.source.as_deref(),
            rank: self.rank,
            max_age_ms: self.max_age_ms,
            join_fill: self.join_fill,
            only_if_cached: self.only_if_cached,
            refresh: self.refresh,
            client_tag: request.tag.as_deref(),
            repeat_id: request.repeat_id.as_deref(),
            body: &request.body,
            cdn_loop,
        })
    }
}
