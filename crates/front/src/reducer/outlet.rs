//! What the decisions ask for, as the reducer does it.

use std::fmt;

use doorgrade::{Access, AccessId, EffectSink, FillRoutes, Outcome, Push, Ticks, UnservedReason};

use super::sent::Sent;
use super::{Timer, Work};
use crate::answer::Reply;
use crate::push::{self, Got};

impl EffectSink for Work {
    fn fill_routes(&mut self, access: &Access, until: Ticks) -> FillRoutes {
        self.ask_tiers(access, until)
    }

    fn push(&mut self, p: &Push<'_>) {
        self.trace_push(p.access, p.cache, p.source);
        let Some(taken) = self.accesses.get_mut(&p.access) else { return };
        let number = taken.sent.len();
        taken.sent.push(Sent::new(p, self.now));
        if let Some(tiers) = &mut self.tiers {
            let [cache, source] = [p.cache, p.source].map(doorgrade::hash::text);
            tiers.guide.push_sent(self.now, p.access, number, cache, source, p.only_if_cached);
        }
        self.timers.set(self.now + p.timeout, Timer::PushOver(p.access, number));
        let cache = push::number(p.cache).unwrap_or(u32::MAX);
        if self.carry(cache, p.access, number).is_none() {
            self.end_push(p.access, number, Got::bare(Outcome::NeverSent));
        }
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        self.stop_push(access, push, Outcome::Withdrawn);
    }

    fn decline(&mut self, access: AccessId, why: UnservedReason) {
        self.trace_decided(access, 503, why);
        self.answer(access, Reply::bare(503));
        self.tidy(access);
    }

    fn give_up(&mut self, access: AccessId, why: UnservedReason) {
        self.trace_decided(access, 500, why);
        self.answer(access, Reply::bare(500));
        self.tidy(access);
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        self.timers.set(at, Timer::Module(key));
    }

    /// The feed is followed from the start.
    fn request_member_list(&mut self) {}

    fn log(&mut self, text: fmt::Arguments<'_>) {
        tracing::info!("{text}");
    }
}
