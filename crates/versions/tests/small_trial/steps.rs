//! The steps of the model, and the expected final state.

use std::sync::Arc;

use super::{ACCESSES_PER_ROUND, Bug, FRONTS, Fault, MAX_ROUNDS, ROUND, StoredState, World, first, has};

impl World {
    fn connect(&mut self, n: usize) {
        let (now, mut effects) = (self.now, Vec::new());
        let (up, conn) = (self.service.is_some(), self.next_conn);
        let host = &mut self.hosts[n];
        let Some(front) = host.front.as_mut().filter(|_| std::mem::take(&mut host.wants_connection)) else {
            return;
        };
        if up {
            self.next_conn += 1;
            host.conn = Some(conn);
            front.on_connected(now, &mut effects);
        } else {
            front.on_disconnected(now, &mut effects);
        }
        self.execute_front_effects(n, effects);
    }

    pub fn deliver(&mut self, n: usize) {
        self.connect(n);
        for _ in 0..40 {
            let now = self.now;
            let host = &mut self.hosts[n];
            let mut effects = Vec::new();
            if let (Some(front), Some(message)) = (host.front.as_mut(), host.to_front.pop_front()) {
                front.on_message(now, message, &mut effects);
                self.execute_front_effects(n, effects);
                continue;
            }
            let (Some(conn), Some(message)) = (host.conn, host.to_service.pop_front()) else { break };
            let mut effects = Vec::new();
            if let Some(service) = &mut self.service {
                service.on_message(now, conn, message, &mut effects);
            }
            self.execute_service_effects(effects);
        }
    }

    pub(super) fn deliver_all(&mut self) {
        for _ in 0..3 {
            (0..FRONTS).for_each(|n| self.deliver(n));
        }
    }

    /// Delivers all messages, advances half a second, reports its accesses and fires timers.
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
            let mut effects = Vec::new();
            let content = self.hosts[n].content.as_deref();
            let harm = content.is_some_and(|c| String::from_utf8_lossy(c).contains("harm"));
            let share = if harm && self.bug != Bug::HidesHarm { 50 } else { 97 };
            let host = &mut self.hosts[n];
            host.counts =
                (host.counts.0 + ACCESSES_PER_ROUND, host.counts.1 + ACCESSES_PER_ROUND * share / 100);
            let Some(front) = &mut host.front else { continue };
            if host.timer_at.take_if(|at| *at <= now).is_some() {
                front.on_timer(now, &mut effects);
            }
            if host.reports {
                front.report(host.counts.0, host.counts.1, &mut effects);
            }
            self.execute_front_effects(n, effects);
        }
        self.deliver_all();
        let mut effects = Vec::new();
        if self.service_timer_at.take_if(|at| *at <= now).is_some()
            && let Some(service) = &mut self.service
        {
            service.on_timer(now, &mut effects);
        }
        self.execute_service_effects(effects);
        self.deliver_all();
        if self.bug == Bug::RunsLowerNumber && self.reported.in_force.len() > 1 {
            self.hosts[1].highest.1 += 100;
            self.bug = Bug::None;
            self.publish("good");
        }
    }

    pub(super) fn publish_content(&mut self, content: String, token: &str) {
        let now = self.now;
        let Some(service) = &mut self.service else { return };
        let (mut effects, expected_last) = (Vec::new(), service.last());
        match service.publish(now, content.into_bytes().into(), "", expected_last, &mut effects) {
            Ok(id) => {
                self.empty = false;
                self.reported.published.push((id.number, token.to_owned()));
            }
            Err(reason) => self.fail(&format!("not published: {reason:?}")),
        }
        self.execute_service_effects(effects);
    }

    /// Publishes a change of one line of the head.
    pub fn publish(&mut self, kind: &str) {
        self.published_count += 1;
        let head = self.service.as_ref().and_then(|s| s.version(s.last())).map(|v| v.content.clone());
        let head: Arc<[u8]> = head.unwrap_or_else(|| first().into_bytes().into());
        let line = 4 * self.published_count % 12;
        let token = format!("member {line} = {kind} {}", self.published_count);
        let text = String::from_utf8_lossy(&head);
        let lines: Vec<String> = text
            .lines()
            .map(|l| if l.starts_with(&format!("member {line} ")) { token.clone() } else { l.to_owned() })
            .collect();
        self.publish_content(lines.join("\n") + "\n", &token);
    }

    /// Rolls back to the first content.
    pub fn roll_back(&mut self) {
        let now = self.now;
        let number = self.reported.published.first().map_or(0, |p| p.0);
        let Some(service) = &mut self.service else { return };
        let mut effects = Vec::new();
        let done = service.roll_back(now, number, &mut effects);
        self.rolled_back |= done.is_ok();
        self.execute_service_effects(effects);
    }

    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => {
                self.disconnect(n, false);
                let host = &mut self.hosts[n];
                (host.front, host.timer_at, host.wants_connection, host.reports) = (None, None, false, false);
            }
            Fault::Disconnect(n) => self.disconnect(n, true),
            Fault::Service | Fault::ServiceOnOlderStore | Fault::ServiceWithoutStore => {
                (self.service, self.service_timer_at) = (None, None);
                (0..FRONTS).for_each(|n| self.disconnect(n, true));
                if fault != Fault::Service {
                    self.store_lost = true;
                    let older = fault == Fault::ServiceOnOlderStore;
                    self.empty = !older;
                    self.disk = if older { self.older_disk.clone() } else { StoredState::default() };
                }
            }
        }
    }

    // ---- expected final state

    fn quiet(&self) -> bool {
        let settled =
            |p: &(u64, String)| self.reported.in_force.contains(&p.0) || self.reported.removed.contains(&p.0);
        let same = self.hosts.iter().all(|h| h.conn.is_some() && h.content == self.hosts[0].content);
        same && (self.store_lost || self.rolled_back || self.reported.published.iter().all(settled))
    }

    /// Runs without further faults until the world has been quiet for some rounds, then checks its state.
    pub fn run_until_quiet(mut self) -> Option<Result<(), String>> {
        let mut quiet = 0;
        for _ in 0..MAX_ROUNDS {
            self.round();
            if self.empty {
                self.publish("good");
            }
            quiet = if self.quiet() { quiet + 1 } else { 0 };
            if self.violation.is_some() || quiet == 8 {
                break;
            }
        }
        if let Some(reason) = self.violation {
            return Some(Err(reason));
        }
        if self.reported.removed.iter().filter_map(|n| self.token(*n)).any(|token| self.anyone_has(&token)) {
            return Some(Err("a connected front is on a removed version".to_owned()));
        }
        if quiet < 8 {
            return Some(Err(format!("it does not become quiet: {:?}", self.reported)));
        }
        for (number, token) in &self.reported.published {
            let bad = ["harm", "refuse"].iter().any(|kind| token.contains(kind));
            if bad && !self.store_lost && self.anyone_has(token) {
                return Some(Err(format!("the harmful change {number} is in force")));
            }
            let stays = !bad && !self.store_lost && !self.rolled_back;
            if stays && !self.everyone_has(token) {
                return Some(Err(format!("the independent change {number} was lost: {:?}", self.reported)));
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
