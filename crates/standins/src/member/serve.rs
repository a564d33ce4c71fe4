//! Requests to a member: counted, then rejected, or answered from the store or by a fill.

use std::io::{self, BufReader};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use super::copy_store::StoredCopy;
use super::fill::LookupResult;
use super::{Inner, Lookup, Role};
use crate::wire::{self, Head};
use crate::{lock, object_bytes, unix_ms};

/// A request that loops is in flight here twice until the second pass is rejected; more means that it was not.
const MAX_PASSES: usize = 2;
/// A request that passes here more often fails, so that an undetected loop ends.
const MAX_PASSES_BEFORE_FAILURE: usize = 8;
/// Responses may be this much older than the request allows: time passes between the lookup and the check.
const AGE_TOLERANCE_MS: u64 = 50;

impl Inner {
    /// Serves one connection until it ends.
    pub fn serve(self: &Arc<Self>, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((head, _body)) = wire::read(&mut reader)? {
            self.counts.requests.fetch_add(1, SeqCst);
            lock(&self.request_log).push((unix_ms(), head.path.clone()));
            if unix_ms() > self.drain_deadline_ms.load(SeqCst) {
                self.requests_after_drain.fetch_add(1, SeqCst);
            }
            if self.is_overloaded_while_cold() {
                self.counts.crashes.fetch_add(1, SeqCst);
                self.dead.store(true, SeqCst);
                lock(&self.open_connections).drain().for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
                return Ok(());
            }
            self.gate.wait_until_open();
            let faults = lock(&self.faults).clone();
            let overloaded = self.in_flight.fetch_add(1, SeqCst) >= self.config.max_in_flight;
            if !overloaded {
                let size_latency = self
                    .config
                    .latency_per_kb
                    .mul_f64(crate::object_kb(head.path.split('/').nth(3).unwrap_or_default()));
                std::thread::sleep(self.config.latency + faults.extra_latency + size_latency);
            }
            self.in_flight.fetch_sub(1, SeqCst);
            if faults.close_connections {
                return Ok(());
            }
            if faults.fail || faults.full || overloaded {
                self.counts.failed.fetch_add(1, SeqCst);
                let status_line =
                    if faults.full || overloaded { "HTTP/1.1 503 Full" } else { "HTTP/1.1 500 Failed" };
                let not_begun = if faults.full || overloaded { "1" } else { "" };
                wire::write(stream, status_line, &[("Not-Begun", not_begun)], b"")?;
                continue;
            }
            self.answer(stream, &head)?;
        }
        Ok(())
    }

    /// Whether the member is in slow start and more requests have arrived than it survives.
    fn is_overloaded_while_cold(&self) -> bool {
        let Some(cold) = self.config.cold else { return false };
        let age = self.started_at.elapsed();
        if age >= cold.duration {
            return false;
        }
        let now = Instant::now();
        let recent = &mut lock(&self.recent_requests);
        recent.push_back(now);
        while recent.front().is_some_and(|&at| now - at > cold.window) {
            recent.pop_front();
        }
        let share =
            cold.initial_share + (1.0 - cold.initial_share) * age.as_secs_f64() / cold.duration.as_secs_f64();
        let limit = cold.crash_factor * share * cold.warm_per_s * cold.window.as_secs_f64();
        age >= cold.window && recent.len() as f64 > limit.max(4.0)
    }

    fn answer(self: &Arc<Self>, stream: &TcpStream, head: &Head) -> io::Result<()> {
        let call_id = head.field("call-id").unwrap_or("").to_owned();
        let passes = {
            let calls = &mut lock(&self.calls_in_flight);
            let passes = calls.entry(call_id.clone()).or_default();
            *passes += 1;
            *passes
        };
        if passes > MAX_PASSES && !call_id.is_empty() {
            self.counts.loops_missed.fetch_add(1, SeqCst);
        }
        let result =
            if passes > MAX_PASSES_BEFORE_FAILURE { LookupResult::Failed("b") } else { self.look_up(head) };
        {
            let calls = &mut lock(&self.calls_in_flight);
            if let Some(passes) = calls.get_mut(&call_id) {
                *passes -= 1;
                if *passes == 0 {
                    calls.remove(&call_id);
                }
            }
        }
        match result {
            LookupResult::Copy(copy, detail) => {
                let age = unix_ms().saturating_sub(copy.made_at_ms);
                let limit = head.number("no-older-than");
                if limit > 0 && age > limit + AGE_TOLERANCE_MS && detail != "s" {
                    self.counts.too_old.fetch_add(1, SeqCst);
                }
                let (tag, mut made_at) = (format!("t{}", copy.made_at_ms), copy.made_at_ms.to_string());
                // Parents and the archive always send it: a cache's copy is as old as the one it was filled from.
                if !self.config.sends_made_at && self.config.role == Role::Cache {
                    made_at.clear();
                }
                let fields = [("Detail", detail), ("Tag", &tag), ("Made-At", &made_at)];
                wire::write(stream, "HTTP/1.1 200 OK", &fields, &copy.bytes)
            }
            LookupResult::NotCached => wire::write(stream, "HTTP/1.1 404 Not Found", &[("Detail", "l")], b""),
            LookupResult::Failed(detail) => {
                self.counts.failed.fetch_add(1, SeqCst);
                wire::write(stream, "HTTP/1.1 500 Failed", &[("Detail", detail)], b"")
            }
            LookupResult::Loop(cycle) => {
                let fields = [("Not-Begun", "1"), ("Detail", "r"), ("Ring", &*cycle)];
                wire::write(stream, "HTTP/1.1 508 Loop Detected", &fields, b"")
            }
        }
    }

    fn look_up(self: &Arc<Self>, head: &Head) -> LookupResult {
        let (path, refresh_requested) = (&head.path, head.has_handling("revalidate"));
        if self.config.role == Role::Archive {
            self.counts.fills.fetch_add(1, SeqCst);
            let class = path.split('/').nth(2).unwrap_or("").to_owned();
            let call_id = head.field("call-id").unwrap_or("").to_owned();
            *lock(&self.access_counts).entry((class, call_id)).or_default() += 1;
            return LookupResult::Copy(
                StoredCopy { bytes: Arc::new(object_bytes(path)), made_at_ms: unix_ms() },
                "o",
            );
        }
        let max_age = path.split('/').nth(2).and_then(|class| self.config.max_age_ms.get(class)).copied();
        let limit = match head.number("no-older-than") {
            0 => max_age.unwrap_or(u64::MAX),
            requested => requested.min(max_age.unwrap_or(u64::MAX)),
        };
        let stored = lock(&self.store).get(path);
        if let Some(copy) = stored.filter(|c| unix_ms().saturating_sub(c.made_at_ms) <= limit) {
            self.counts.hits.fetch_add(1, SeqCst);
            let mut refresh_started = false;
            if refresh_requested {
                self.counts.refreshes_requested.fetch_add(1, SeqCst);
                refresh_started = max_age.is_some_and(|max_age| self.refresh(head, max_age, copy.made_at_ms));
            }
            lock(&self.lookups).push(Lookup {
                at_ms: unix_ms(),
                hit: true,
                refresh_requested,
                refresh_started,
            });
            return LookupResult::Copy(copy, "h");
        }
        if head.field("cache-control") == Some("only-if-cached") {
            return LookupResult::NotCached;
        }
        let lookup = Lookup { at_ms: unix_ms(), hit: false, refresh_requested, refresh_started: false };
        lock(&self.lookups).push(lookup);
        self.fill(head)
    }
}
