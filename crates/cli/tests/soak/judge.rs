//! Checks the acceptance rules against what clients and caches observed; nothing that the front reports is used.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cache::Received;
use super::client::{End, Request};

/// Added to each limit for the time that sockets take.
const SOCKET_TIME: Duration = Duration::from_millis(50);
/// A response later than this after its deadline counts as missing.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How much more time than its client has left an attempt may tell the cache.
const MAX_EXCESS_TIME: Duration = Duration::from_millis(150);
/// No attempt may start for a client that left longer ago.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
const PURGE_GRACE: Duration = Duration::from_millis(300);
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// A message of the feed, when its event happened, and when the front must have received it.
#[derive(Clone, Debug)]
pub struct FeedMessage {
    pub event: FeedEvent,
    pub at: Instant,
    pub received_by: Instant,
}

#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// The key of the purged object.
    Purged(String),
    /// The id of the draining cache.
    Drains(String),
}

pub struct Run<'a> {
    pub requests: &'a [Request],
    /// Requests that caches received.
    pub received: &'a [Received],
    pub messages: &'a [FeedMessage],
    pub killed_at: Instant,
    /// Idle clients used up the descriptors, so that new connections may be closed unread.
    pub descriptors_exhausted: bool,
    /// How late the test's own threads may have been in observing an event.
    pub scheduling_delay: Duration,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub violations: Vec<String>,
    pub answered: usize,
    pub served: usize,
    pub late: usize,
    pub left: usize,
    /// Requests that were sent while the front closed their idle connection.
    pub crossed: usize,
}

pub fn judge(run: &Run<'_>) -> Verdict {
    let mut verdict = Verdict::default();
    let mut attempts: HashMap<&str, Vec<&Received>> = HashMap::new();
    for received in run.received {
        attempts.entry(&received.request_id).or_default().push(received);
    }
    for request in run.requests {
        let own = attempts.remove(&*request.request_id).unwrap_or_default();
        check_response(run, request, &own, &mut verdict);
        check_repeats(request, &own, &mut verdict);
        check_times(run, request, &own, &mut verdict);
    }
    for received in run.received {
        check_feed_events(run, received, &mut verdict);
    }
    verdict
}

/// Each accepted request gets one response, in time.
fn check_response(run: &Run<'_>, request: &Request, own: &[&Received], verdict: &mut Verdict) {
    let mut violation =
        |what: &str| verdict.violations.push(format!("lost, {what}: {request:?}, attempts {own:?}"));
    let deadline = request.written + request.timeout + SOCKET_TIME;
    if request.second_response {
        violation("a second response");
    }
    match request.end {
        End::Response { at, status, correct } => {
            if !correct {
                violation("its response is not complete");
            } else if at > deadline + MAX_LATENESS {
                violation("its response came too late");
            } else if at > deadline {
                verdict.late += 1;
            }
            verdict.answered += 1;
            verdict.served += usize::from(status == 200);
        }
        End::Closed { at, .. } if at >= run.killed_at => violation("no response when the front was killed"),
        End::Closed { idle, .. } => {
            let excused = !request.first_on_connection || run.descriptors_exhausted;
            match excused && idle && own.is_empty() {
                true => verdict.crossed += 1,
                false => violation("its connection was closed"),
            }
        }
        End::Left(_) => verdict.left += 1,
        End::Open => violation("no response when the front was killed"),
    }
}

/// An access that may have run must not run again, nor be rejected as not run.
fn check_repeats(request: &Request, own: &[&Received], verdict: &mut Verdict) {
    if request.class != "orders" {
        return;
    }
    let ran = own.iter().filter(|a| !a.not_run).count();
    let first = own.iter().position(|a| !a.not_run);
    if first.is_some_and(|first| first + 1 < own.len()) {
        verdict.violations.push(format!("run again: {request:?}, attempts {own:?}"));
    }
    if matches!(request.end, End::Response { status: 429 | 503, .. }) && ran > 0 {
        verdict.violations.push(format!("rejected though it may have run: {request:?}, attempts {own:?}"));
    }
}

/// No attempt starts after its client left or got its response, or with more time than is left.
fn check_times(run: &Run<'_>, request: &Request, own: &[&Received], verdict: &mut Verdict) {
    for attempt in own {
        let mut violation =
            |what: String| verdict.violations.push(format!("{what}: {request:?}, attempt {attempt:?}"));
        match request.end {
            End::Left(at) if attempt.at > at + AFTER_LEAVING + run.scheduling_delay => {
                violation(format!("started {:?} after its client had left", attempt.at - at));
            }
            End::Response { at, .. } if attempt.at > at + run.scheduling_delay => {
                violation(format!("started {:?} after its response", attempt.at - at));
            }
            _ => {}
        }
        let left = (request.written + request.timeout).saturating_duration_since(attempt.at);
        if attempt.timeout > left + MAX_EXCESS_TIME + run.scheduling_delay {
            violation(format!("tells {:?} with {left:?} left", attempt.timeout));
        }
    }
}

/// Purges and drains are respected once their grace periods are over.
fn check_feed_events(run: &Run<'_>, received: &Received, verdict: &mut Verdict) {
    for FeedMessage { event, at, received_by } in run.messages {
        let known = received.at.saturating_duration_since(*received_by);
        match event {
            FeedEvent::Purged(key) if *key == received.key && received.class == "images" => {
                let since = received.at.saturating_duration_since(*at);
                let applies = known > PURGE_GRACE + SOCKET_TIME + run.scheduling_delay;
                // Purges carry their time in whole milliseconds.
                let max_age_ms = since.as_millis() as u64 + 1;
                if applies && (received.max_age_ms == 0 || received.max_age_ms > max_age_ms) {
                    verdict.violations.push(format!("older than a purge {since:?} ago: {received:?}"));
                }
            }
            FeedEvent::Drains(cache) => {
                let uses_cache = received.cache == *cache || received.source.as_ref() == Some(cache);
                if uses_cache && known > DRAIN_GRACE + SOCKET_TIME + run.scheduling_delay {
                    verdict.violations.push(format!("after a drain: {received:?}"));
                }
            }
            FeedEvent::Purged(_) => {}
        }
    }
}
