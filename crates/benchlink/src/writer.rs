//! Writes the effects of the decisions as lines of the simulator's protocol.

use std::fmt;
use std::io::Write;

use doorgrade::{AccessId, EffectSink, Push, Ticks, UnservedReason};

#[derive(Default)]
pub struct Writer {
    buffer: Vec<u8>,
    /// The instance that the next lines are about.
    instance: String,
}

/// Displays a time as the protocol has it: in milliseconds with one decimal.
struct Ms(Ticks);

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 / 10, self.0 % 10)
    }
}

impl Writer {
    pub fn set_instance(&mut self, instance: &str) {
        self.instance.clear();
        self.instance.push_str(instance);
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

    fn append(&mut self, text: fmt::Arguments<'_>) {
        self.buffer.write_fmt(text).expect("writing to a vector cannot fail");
    }
}

impl EffectSink for Writer {
    fn push(&mut self, p: &Push<'_>) {
        let flags = u8::from(p.join_fill) | u8::from(p.only_if_cached) << 1 | u8::from(p.refresh) << 3;
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!(
            "serve_via i={instance} requestId={} how={flags} fromWhere={} storeAs={} cache={} maxWait={}",
            p.access,
            p.source,
            p.rank,
            p.cache,
            Ms(p.timeout)
        ));
        if p.max_age > 0 {
            self.append(format_args!(" age={}", Ms(p.max_age)));
        }
        self.buffer.push(b'\n');
        self.instance = instance;
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("abort_attempt i={instance} requestId={access} sendNo={push}\n"));
        self.instance = instance;
    }

    fn decline(&mut self, access: AccessId, _: UnservedReason) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("say_no i={instance} requestId={access}\n"));
        self.instance = instance;
    }

    fn give_up(&mut self, access: AccessId, _: UnservedReason) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("report_failure i={instance} requestId={access}\n"));
        self.instance = instance;
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("defer i={instance} time={} keyBack={key}\n", Ms(at)));
        self.instance = instance;
    }

    fn request_member_list(&mut self) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("subscribe i={instance} active=1\n"));
        self.instance = instance;
    }

    fn log(&mut self, text: fmt::Arguments<'_>) {
        let instance = std::mem::take(&mut self.instance);
        self.append(format_args!("say_log i={instance} bodyText={text}\n"));
        self.instance = instance;
    }
}
