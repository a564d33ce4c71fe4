//! Writes the decisions as lines of the wire.

use std::fmt;
use std::io::Write;

use doorgrade::{AccessId, EffectSink, Push, Ticks, UnservedReason};

#[derive(Default)]
pub struct Writer {
    buffer: Vec<u8>,
    who: String,
}

/// Tenths of a millisecond as the wire's milliseconds.
struct Ms(Ticks);

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 / 10, self.0 % 10)
    }
}

impl Writer {
    pub fn speak_for(&mut self, who: &str) {
        self.who.clear();
        self.who.push_str(who);
    }

    pub fn end_reply(&mut self) {
        self.buffer.extend_from_slice(b"eor\n");
    }

    pub fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    pub fn clear(&mut self) {
        self.buffer.clear();
    }

    fn put(&mut self, text: fmt::Arguments<'_>) {
        self.buffer.write_fmt(text).expect("a vector takes every write");
    }
}

impl EffectSink for Writer {
    fn push(&mut self, p: &Push<'_>) {
        let how = u8::from(p.join_fill) | u8::from(p.only_if_cached) << 1 | u8::from(p.refresh) << 3;
        let who = std::mem::take(&mut self.who);
        self.put(format_args!(
            "serve_via i={who} requestId={} how={how} fromWhere={} storeAs={} cache={} maxWait={}",
            p.access,
            p.source,
            p.rank,
            p.cache,
            Ms(p.timeout)
        ));
        if p.max_age > 0 {
            self.put(format_args!(" age={}", Ms(p.max_age)));
        }
        self.buffer.push(b'\n');
        self.who = who;
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("abort_attempt i={who} requestId={access} sendNo={push}\n"));
        self.who = who;
    }

    fn decline(&mut self, access: AccessId, _: UnservedReason) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("say_no i={who} requestId={access}\n"));
        self.who = who;
    }

    fn give_up(&mut self, access: AccessId, _: UnservedReason) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("report_failure i={who} requestId={access}\n"));
        self.who = who;
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("defer i={who} time={} keyBack={key}\n", Ms(at)));
        self.who = who;
    }

    fn request_member_list(&mut self) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("subscribe i={who} active=1\n"));
        self.who = who;
    }

    fn log(&mut self, text: fmt::Arguments<'_>) {
        let who = std::mem::take(&mut self.who);
        self.put(format_args!("say_log i={who} bodyText={text}\n"));
        self.who = who;
    }
}
