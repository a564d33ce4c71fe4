//! Whether the rules were kept, by what clients and caches have seen; nothing of the front's own is asked.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cache::Asked;
use super::client::{End, Request};

/// On sockets each limit is so much longer.
const SOCKETS: Duration = Duration::from_millis(50);
/// An answer later than this after its time is none.
const LATE: Duration = Duration::from_millis(500);
/// How much more time than its client has left an attempt may tell.
const TOLD: Duration = Duration::from_millis(150);
/// Nothing begins for a client that left longer ago.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
const PURGE_GRACE: Duration = Duration::from_millis(300);
const PURGE_DONE: Duration = Duration::from_millis(6_000);
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// What was told by the feed, when it had happened, and when the front can have heard of it.
#[derive(Clone, Debug)]
pub struct Told {
    pub what: What,
    pub at: Instant,
    pub heard: Instant,
}

#[derive(Clone, Debug)]
pub enum What {
    /// An object, by its key.
    Purged(String),
    /// A cache, by its id.
    Drains(String),
}

pub struct Run<'a> {
    pub requests: &'a [Request],
    pub asked: &'a [Asked],
    pub told: &'a [Told],
    pub killed: Instant,
    /// Idle clients filled the descriptors: new connections may be shut unread.
    pub crowd: bool,
    /// How late this rig's own threads may have been in seeing what came.
    pub rig: Duration,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub broken: Vec<String>,
    pub answered: usize,
    pub served: usize,
    pub late: usize,
    pub left: usize,
    /// Requests that crossed the end of a resting connection.
    pub crossed: usize,
}

pub fn judge(run: &Run<'_>) -> Verdict {
    let mut verdict = Verdict::default();
    let mut attempts: HashMap<&str, Vec<&Asked>> = HashMap::new();
    for asked in run.asked {
        attempts.entry(&asked.call).or_default().push(asked);
    }
    for request in run.requests {
        let own = attempts.remove(&*request.call).unwrap_or_default();
        answer(run, request, &own, &mut verdict);
        effects(request, &own, &mut verdict);
        times(run, request, &own, &mut verdict);
    }
    for asked in run.asked {
        word(run, asked, &mut verdict);
    }
    verdict
}

/// Each request taken gets one answer, in time.
fn answer(run: &Run<'_>, request: &Request, own: &[&Asked], verdict: &mut Verdict) {
    let mut broken = |what: &str| verdict.broken.push(format!("lost, {what}: {request:?}, attempts {own:?}"));
    let until = request.written + request.wait + SOCKETS;
    if request.twice {
        broken("a second answer");
    }
    match request.end {
        End::Answered { at, status, sound } => {
            if !sound {
                broken("its answer is not whole");
            } else if at > until + LATE {
                broken("its answer came too late");
            } else if at > until {
                verdict.late += 1;
            }
            verdict.answered += 1;
            verdict.served += usize::from(status == 200);
        }
        End::Cut { at, .. } if at >= run.killed => broken("unanswered when the front was killed"),
        End::Cut { rested, .. } => {
            let excused = !request.fresh || run.crowd;
            match excused && rested && own.is_empty() {
                true => verdict.crossed += 1,
                false => broken("its connection ended"),
            }
        }
        End::Left(_) => verdict.left += 1,
        End::Open => broken("unanswered when the front was killed"),
    }
}

/// What may have run is not run again, nor declined.
fn effects(request: &Request, own: &[&Asked], verdict: &mut Verdict) {
    if request.class != "orders" {
        return;
    }
    let ran = own.iter().filter(|a| !a.unrun).count();
    let first = own.iter().position(|a| !a.unrun);
    if first.is_some_and(|first| first + 1 < own.len()) {
        verdict.broken.push(format!("run again: {request:?}, attempts {own:?}"));
    }
    if matches!(request.end, End::Answered { status: 429 | 503, .. }) && ran > 0 {
        verdict.broken.push(format!("declined though it may have run: {request:?}, attempts {own:?}"));
    }
}

/// No attempt begins for nobody, after the answer, or with more time than there is.
fn times(run: &Run<'_>, request: &Request, own: &[&Asked], verdict: &mut Verdict) {
    for attempt in own {
        let mut broken =
            |what: String| verdict.broken.push(format!("{what}: {request:?}, attempt {attempt:?}"));
        match request.end {
            End::Left(at) if attempt.at > at + AFTER_LEAVING + run.rig => {
                broken(format!("begun {:?} after its client had left", attempt.at - at));
            }
            End::Answered { at, .. } if attempt.at > at + run.rig => {
                broken(format!("begun {:?} after its answer", attempt.at - at));
            }
            _ => {}
        }
        let left = (request.written + request.wait).saturating_duration_since(attempt.at);
        if attempt.wait > left + TOLD + run.rig {
            broken(format!("told {:?} with {left:?} left", attempt.wait));
        }
    }
}

/// Purges and drains are heeded once their graces are over.
fn word(run: &Run<'_>, asked: &Asked, verdict: &mut Verdict) {
    for Told { what, at, heard } in run.told {
        let known = asked.at.saturating_duration_since(*heard);
        match what {
            What::Purged(key) if *key == asked.key && asked.class == "images" => {
                let since = asked.at.saturating_duration_since(*at);
                let binds = known > PURGE_GRACE + SOCKETS + run.rig && since < PURGE_DONE;
                // Times of purges are told in whole milliseconds.
                let most = since.as_millis() as u64 + 1;
                if binds && (asked.no_older_ms == 0 || asked.no_older_ms > most) {
                    verdict.broken.push(format!("older than a purge {since:?} ago: {asked:?}"));
                }
            }
            What::Drains(cache) => {
                let names = asked.cache == *cache || asked.source.as_ref() == Some(cache);
                if names && known > DRAIN_GRACE + SOCKETS + run.rig {
                    verdict.broken.push(format!("after a drain: {asked:?}"));
                }
            }
            What::Purged(_) => {}
        }
    }
}
