//! Requests as they come: counted, refused, or answered from what is held or filled.

use std::io::{self, BufReader};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use super::fill::Had;
use super::shelf::Copy;
use super::{Answered, Inner, Role};
use crate::wire::{self, Head};
use crate::{lock, object, unix_ms};

impl Inner {
    /// One connection, until it ends.
    pub fn serve(self: &Arc<Self>, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((head, _body)) = wire::read(&mut reader)? {
            self.counts.asked.fetch_add(1, SeqCst);
            lock(&self.asked_at).push((unix_ms(), head.path.clone()));
            if unix_ms() > self.drained_at.load(SeqCst) {
                self.after_drain.fetch_add(1, SeqCst);
            }
            if self.falls() {
                self.counts.fell.fetch_add(1, SeqCst);
                self.dead.store(true, SeqCst);
                lock(&self.open).drain().for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
                return Ok(());
            }
            self.gate.pass();
            let faults = lock(&self.faults).clone();
            let crowded = self.works_on.fetch_add(1, SeqCst) >= self.spec.at_once;
            if !crowded {
                let sends =
                    self.spec.per_kb.mul_f64(crate::kb(head.path.split('/').nth(3).unwrap_or_default()));
                std::thread::sleep(self.spec.lag + faults.slow + sends);
            }
            self.works_on.fetch_sub(1, SeqCst);
            if faults.reset {
                return Ok(());
            }
            if faults.fails || faults.full || crowded {
                self.counts.failed.fetch_add(1, SeqCst);
                let first = if faults.full || crowded { "HTTP/1.1 503 Full" } else { "HTTP/1.1 500 Failed" };
                let unrun = if faults.full || crowded { "1" } else { "" };
                wire::write(stream, first, &[("Not-Begun", unrun)], b"")?;
                continue;
            }
            self.answer(stream, &head)?;
        }
        Ok(())
    }

    /// Whether it is cold and has been sent more than it stands.
    fn falls(&self) -> bool {
        let Some(cold) = self.spec.cold else { return false };
        let age = self.started.elapsed();
        if age >= cold.lasts {
            return false;
        }
        let now = Instant::now();
        let came = &mut lock(&self.came);
        came.push_back(now);
        while came.front().is_some_and(|&at| now - at > cold.window) {
            came.pop_front();
        }
        let share = cold.from + (1.0 - cold.from) * age.as_secs_f64() / cold.lasts.as_secs_f64();
        let most = cold.multiple * share * cold.warm * cold.window.as_secs_f64();
        age >= cold.window && came.len() as f64 > most.max(4.0)
    }

    fn answer(self: &Arc<Self>, stream: &TcpStream, head: &Head) -> io::Result<()> {
        let call = head.field("call-id").unwrap_or("").to_owned();
        let times = {
            let calls = &mut lock(&self.calls);
            let times = calls.entry(call.clone()).or_default();
            *times += 1;
            *times
        };
        // Under way here for the third time: it has gone round whole, and round again.
        if times > 2 && !call.is_empty() {
            self.counts.turned_twice.fetch_add(1, SeqCst);
        }
        let had = if times > 8 { Had::Failed("b") } else { self.look(head) };
        {
            let calls = &mut lock(&self.calls);
            if let Some(times) = calls.get_mut(&call) {
                *times -= 1;
                if *times == 0 {
                    calls.remove(&call);
                }
            }
        }
        match had {
            Had::Copy(copy, detail) => {
                let age = unix_ms().saturating_sub(copy.made_at);
                let most = head.number("no-older-than");
                if most > 0 && age > most + 50 && detail != "s" {
                    self.counts.too_old.fetch_add(1, SeqCst);
                }
                let (tag, mut made_at) = (format!("t{}", copy.made_at), copy.made_at.to_string());
                // Between members it is always told: copies keep their age.
                if !self.spec.tells_made && self.spec.role == Role::Cache {
                    made_at.clear();
                }
                let fields = [("Detail", detail), ("Tag", &tag), ("Made-At", &made_at)];
                wire::write(stream, "HTTP/1.1 200 OK", &fields, &copy.bytes)
            }
            Had::Lacks => wire::write(stream, "HTTP/1.1 404 Not Found", &[("Detail", "l")], b""),
            Had::Failed(detail) => {
                self.counts.failed.fetch_add(1, SeqCst);
                wire::write(stream, "HTTP/1.1 500 Failed", &[("Detail", detail)], b"")
            }
            Had::Cut(ring) => {
                let fields = [("Not-Begun", "1"), ("Detail", "r"), ("Ring", &*ring)];
                wire::write(stream, "HTTP/1.1 508 Loop Detected", &fields, b"")
            }
        }
    }

    fn look(self: &Arc<Self>, head: &Head) -> Had {
        let (path, renewal_asked) = (&head.path, head.handling("revalidate"));
        if self.spec.role == Role::Archive {
            self.counts.fills.fetch_add(1, SeqCst);
            let class = path.split('/').nth(2).unwrap_or("").to_owned();
            let call = head.field("call-id").unwrap_or("").to_owned();
            *lock(&self.ran).entry((class, call)).or_default() += 1;
            return Had::Copy(Copy { bytes: Arc::new(object(path)), made_at: unix_ms() }, "o");
        }
        let fresh = path.split('/').nth(2).and_then(|class| self.spec.fresh_ms.get(class)).copied();
        let most = match head.number("no-older-than") {
            0 => fresh.unwrap_or(u64::MAX),
            asked => asked.min(fresh.unwrap_or(u64::MAX)),
        };
        let kept = lock(&self.shelf).get(path);
        if let Some(copy) = kept.filter(|c| unix_ms().saturating_sub(c.made_at) <= most) {
            self.counts.hits.fetch_add(1, SeqCst);
            let mut renewed = false;
            if renewal_asked {
                self.counts.renewal_asked.fetch_add(1, SeqCst);
                renewed = fresh.is_some_and(|fresh| self.renew(head, fresh, copy.made_at));
            }
            lock(&self.answered).push(Answered { at_ms: unix_ms(), hit: true, renewal_asked, renewed });
            return Had::Copy(copy, "h");
        }
        if head.field("cache-control") == Some("only-if-cached") {
            return Had::Lacks;
        }
        let answered = Answered { at_ms: unix_ms(), hit: false, renewal_asked, renewed: false };
        lock(&self.answered).push(answered);
        self.fill(head)
    }
}
