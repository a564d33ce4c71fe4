//! One push of an access: what it asks of its cache, and how far it has come.

use doorgrade::{Outcome, Push, Ticks};

use crate::conn::ConnId;
use crate::http::{self, Ask};
use crate::intake::Request;
use crate::push;

/// A request made longer ago is made anew: half of the shortest time by which anything may be late on sockets.
const FRESH: Ticks = 250;

pub(super) struct Sent {
    /// The cache and the source, by their numbers.
    pub(super) names: [Option<u32>; 2],
    pub(super) at: Ticks,
    pub(super) conn: Option<ConnId>,
    /// It was handed to a connection that is up. Until then nothing of it can have been read.
    pub(super) begun: bool,
    /// How often its beginning was put off.
    pub(super) put_off: u8,
    /// It is not begun from then on: caches would not know it for a repeat any more.
    begin_by: Ticks,
    /// From then on nobody waits for its answer.
    until: Ticks,
    pub(super) live: bool,
    /// What came of it, for the log.
    pub(super) ended: Option<Outcome>,
    /// A new connection was lost before anything was written on it.
    pub(super) unlucky: bool,
    /// Refused as full on a new connection: its cache may hold no more of them.
    pub(super) crowded_out: bool,
    /// Word has come since that it must heed.
    pub(super) outdated: bool,
    /// Its cache is asked to renew its copy behind.
    pub(super) renews: bool,
    /// From which member a miss is filled; none where it is not.
    source: Option<Box<str>>,
    rank: u8,
    /// The oldest copy that will do, in milliseconds; 0 for the fresh time.
    age_ms: u64,
    join: bool,
    kept_only: bool,
}

impl Sent {
    pub(super) fn new(p: &Push<'_>, now: Ticks) -> Sent {
        let source = Some(p.source).filter(|s| *s != p.cache);
        Sent {
            names: [Some(push::number(p.cache).unwrap_or(u32::MAX)), source.and_then(push::number)],
            at: now,
            conn: None,
            begun: false,
            put_off: 0,
            begin_by: p.send_deadline,
            until: now + p.timeout,
            live: true,
            ended: None,
            unlucky: false,
            crowded_out: false,
            outdated: false,
            renews: p.refresh,
            source: source.map(Into::into),
            rank: p.rank,
            // 0 would mean the fresh time.
            age_ms: if p.max_age > 0 { (p.max_age / 10).max(1) } else { 0 },
            join: p.join_fill,
            kept_only: p.only_if_cached,
        }
    }

    pub(super) fn may_begin(&self, now: Ticks) -> bool {
        now < self.begin_by && now < self.until
    }

    /// Until when a request made now may begin.
    pub(super) fn made_until(&self, now: Ticks) -> Ticks {
        (now + FRESH).min(self.begin_by).min(self.until)
    }

    /// The bytes for its cache. The time left is told as it is now: its connection may have taken long to come up.
    pub(super) fn request(&self, now: Ticks, of: &Request, via: Option<&str>) -> Vec<u8> {
        http::request(&Ask {
            offering: &of.offering,
            key: &of.key,
            part: of.part,
            id: &of.id,
            wait_ms: (self.until.saturating_sub(now) / 10).max(1),
            source: self.source.as_deref(),
            rank: self.rank,
            age_ms: self.age_ms,
            join: self.join,
            kept_only: self.kept_only,
            renew: self.renews,
            have: of.tag.as_deref(),
            mark: of.mark.as_deref(),
            body: &of.body,
            via,
        })
    }
}
