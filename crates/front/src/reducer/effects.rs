//! Carries out the effects of the decision module.

use std::fmt;

use doorgrade::{Access, AccessId, EffectSink, FillRoutes, Outcome, Push, Ticks, UnservedReason};

use super::sent_push::SentPush;
use super::{State, Timer};
use crate::answer::Reply;
use crate::push::{self, PushEnd};

impl EffectSink for State {
    fn fill_routes(&mut self, access: &Access, soft_limit_at: Ticks) -> FillRoutes {
        self.hierarchy_routes(access, soft_limit_at)
    }

    fn push(&mut self, p: &Push<'_>) {
        self.trace_push(p.access, p.cache, p.source);
        let Some(open_access) = self.accesses.get_mut(&p.access) else { return };
        let number = open_access.pushes.len();
        let timeout = self.timers.set(self.now + p.timeout, Timer::PushTimeout(p.access, number));
        open_access.pushes.push(SentPush::new(p, self.now, timeout));
        self.peaks.timers = self.peaks.timers.max(self.timers.len());
        if let Some(hierarchy) = &mut self.hierarchy {
            let [cache, source] = [p.cache, p.source].map(doorgrade::hash::text);
            hierarchy.router.push_sent(self.now, p.access, number, cache, source, p.only_if_cached);
        }
        let cache = push::number(p.cache).unwrap_or(u32::MAX);
        if self.assign_conn(cache, p.access, number).is_none() {
            self.end_push(p.access, number, PushEnd::without_response(Outcome::NeverSent));
        }
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        self.stop_push(access, push, Outcome::Withdrawn);
    }

    fn decline(&mut self, access: AccessId, reason: UnservedReason) {
        self.trace_unserved(access, 503, reason);
        self.answer(access, Reply::empty(503));
        self.remove_if_done(access);
    }

    fn give_up(&mut self, access: AccessId, reason: UnservedReason) {
        self.trace_unserved(access, 500, reason);
        self.answer(access, Reply::empty(500));
        self.remove_if_done(access);
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        let timer = self.timers.set(at, Timer::Decisions(key));
        self.peaks.timers = self.peaks.timers.max(self.timers.len());
        let Some(open_access) = self.accesses.get_mut(&(key >> 4)) else { return };
        // An earlier timer with this key has fired: that is when the module sets the next one.
        open_access.decision_timers.retain(|(earlier, _)| *earlier != key);
        open_access.decision_timers.push((key, timer));
    }

    /// Member lists arrive by the feed, which is always connected.
    fn request_member_list(&mut self) {}

    fn log(&mut self, text: fmt::Arguments<'_>) {
        tracing::info!("{text}");
    }
}
