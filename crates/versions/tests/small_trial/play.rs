//! The steps, and how it is to be once quiet.

use std::sync::Arc;

use super::{ASKED, FRONTS, Fault, MOST_ROUNDS, Plant, ROUND, StoredState, World, first, has};

impl World {
    fn connect(&mut self, n: usize) {
        let (now, mut out) = (self.now, Vec::new());
        let (up, conn) = (self.service.is_some(), self.next_conn);
        let host = &mut self.hosts[n];
        let Some(front) = host.front.as_mut().filter(|_| std::mem::take(&mut host.wants)) else { return };
        if up {
            self.next_conn += 1;
            host.conn = Some(conn);
            front.on_connected(now, &mut out);
        } else {
            front.on_disconnected(now, &mut out);
        }
        self.of_front(n, out);
    }

    pub fn deliver(&mut self, n: usize) {
        self.connect(n);
        for _ in 0..40 {
            let now = self.now;
            let host = &mut self.hosts[n];
            let mut out = Vec::new();
            if let (Some(front), Some(message)) = (host.front.as_mut(), host.to_front.pop_front()) {
                front.on_message(now, message, &mut out);
                self.of_front(n, out);
                continue;
            }
            let (Some(conn), Some(message)) = (host.conn, host.to_service.pop_front()) else { break };
            let mut out = Vec::new();
            if let Some(service) = &mut self.service {
                service.on_message(now, conn, message, &mut out);
            }
            self.of_service(out);
        }
    }

    pub(super) fn deliver_all(&mut self) {
        for _ in 0..3 {
            (0..FRONTS).for_each(|n| self.deliver(n));
        }
    }

    /// Everything is delivered, half a second of accesses passes and is reported, and what is due is done.
    pub fn round(&mut self) {
        if self.service.is_none() {
            self.start_service();
        }
        for n in 0..FRONTS {
            if self.hosts[n].front.is_none() {
                self.start_front(n);
            }
        }
        self.deliver_all();
        self.now += ROUND;
        let now = self.now;
        for n in 0..FRONTS {
            let mut out = Vec::new();
            let content = self.hosts[n].content.as_deref();
            let harm = content.is_some_and(|c| String::from_utf8_lossy(c).contains("harm"));
            let share = if harm && self.plant != Plant::HidesHarm { 50 } else { 97 };
            let host = &mut self.hosts[n];
            host.counts = (host.counts.0 + ASKED, host.counts.1 + ASKED * share / 100);
            let Some(front) = &mut host.front else { continue };
            if host.wakes.take_if(|at| *at <= now).is_some() {
                front.on_timer(now, &mut out);
            }
            if host.reports {
                front.report(host.counts.0, host.counts.1, &mut out);
            }
            self.of_front(n, out);
        }
        self.deliver_all();
        let mut out = Vec::new();
        if self.service_wakes.take_if(|at| *at <= now).is_some()
            && let Some(service) = &mut self.service
        {
            service.on_timer(now, &mut out);
        }
        self.of_service(out);
        self.deliver_all();
        if self.plant == Plant::GoesBack && self.told.in_force.len() > 1 {
            self.hosts[1].highest.1 += 100;
            self.plant = Plant::None;
            self.publish("good");
        }
    }

    pub(super) fn publish_content(&mut self, content: String, token: &str) {
        let now = self.now;
        let Some(service) = &mut self.service else { return };
        let (mut out, expects) = (Vec::new(), service.last());
        match service.publish(now, content.into_bytes().into(), "", expects, &mut out) {
            Ok(id) => {
                self.empty = false;
                self.told.published.push((id.number, token.to_owned()));
            }
            Err(why) => self.breaks(&format!("not published: {why:?}")),
        }
        self.of_service(out);
    }

    /// Onto the content with all changes: a line of its own.
    pub fn publish(&mut self, kind: &str) {
        self.next += 1;
        let head = self.service.as_ref().and_then(|s| s.version(s.last())).map(|v| v.content.clone());
        let head: Arc<[u8]> = head.unwrap_or_else(|| first().into_bytes().into());
        let line = 4 * self.next % 12;
        let token = format!("member {line} = {kind} {}", self.next);
        let text = String::from_utf8_lossy(&head);
        let lines: Vec<String> = text
            .lines()
            .map(|l| if l.starts_with(&format!("member {line} ")) { token.clone() } else { l.to_owned() })
            .collect();
        self.publish_content(lines.join("\n") + "\n", &token);
    }

    /// Back to the first content.
    pub fn roll_back(&mut self) {
        let now = self.now;
        let number = self.told.published.first().map_or(0, |p| p.0);
        let Some(service) = &mut self.service else { return };
        let mut out = Vec::new();
        let done = service.roll_back(now, number, &mut out);
        self.rolled_back |= done.is_ok();
        self.of_service(out);
    }

    pub fn befalls(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => {
                self.cut(n, false);
                let host = &mut self.hosts[n];
                (host.front, host.wakes, host.wants, host.reports) = (None, None, false, false);
            }
            Fault::Cut(n) => self.cut(n, true),
            Fault::Service | Fault::ServiceOnOlderStore | Fault::ServiceWithoutStore => {
                (self.service, self.service_wakes) = (None, None);
                (0..FRONTS).for_each(|n| self.cut(n, true));
                if fault != Fault::Service {
                    self.store_lost = true;
                    let older = fault == Fault::ServiceOnOlderStore;
                    self.empty = !older;
                    self.disk = if older { self.older.clone() } else { StoredState::default() };
                }
            }
        }
    }

    // ---- how it is to be

    fn quiet(&self) -> bool {
        let settled =
            |p: &(u64, String)| self.told.in_force.contains(&p.0) || self.told.taken_out.contains(&p.0);
        let same = self.hosts.iter().all(|h| h.conn.is_some() && h.content == self.hosts[0].content);
        same && (self.store_lost || self.rolled_back || self.told.published.iter().all(settled))
    }

    /// Nothing more befalls it: it becomes quiet and stays so for some rounds, and then all is as it is to be.
    pub fn plays_out(mut self) -> Option<Result<(), String>> {
        let mut quiet = 0;
        for _ in 0..MOST_ROUNDS {
            self.round();
            if self.empty {
                self.publish("good");
            }
            quiet = if self.quiet() { quiet + 1 } else { 0 };
            if self.broken.is_some() || quiet == 8 {
                break;
            }
        }
        if let Some(why) = self.broken {
            return Some(Err(why));
        }
        if self.told.taken_out.iter().filter_map(|n| self.token(*n)).any(|token| self.anyone_has(&token)) {
            return Some(Err("a connected front is on a withdrawn version".to_owned()));
        }
        if quiet < 8 {
            return Some(Err(format!("it does not become quiet: {:?}", self.told)));
        }
        for (number, token) in &self.told.published {
            let bad = ["harm", "refuse"].iter().any(|kind| token.contains(kind));
            if bad && !self.store_lost && self.anyone_has(token) {
                return Some(Err(format!("the harmful change {number} is everyone's")));
            }
            let stays = !bad && !self.store_lost && !self.rolled_back;
            if stays && !self.everyone_has(token) {
                return Some(Err(format!("the independent change {number} did not stay: {:?}", self.told)));
            }
        }
        Some(Ok(()))
    }

    fn anyone_has(&self, token: &str) -> bool {
        self.hosts.iter().any(|h| h.conn.is_some() && h.content.as_ref().is_some_and(|c| has(c, token)))
    }

    fn everyone_has(&self, token: &str) -> bool {
        self.hosts.iter().all(|h| h.content.as_ref().is_some_and(|c| has(c, token)))
    }
}
