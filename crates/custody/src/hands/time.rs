//! What is due: words said again, claims, and what ends with its client's time.

use doorgrade::Ticks;

use super::{AGAIN, AT_ONCE, Do, Hands, LOOK, Phase, TOLD_FOR, Then};
use crate::{Ask, Name, Term, Told};

impl Hands {
    pub fn due(&mut self, now: Ticks, out: &mut Vec<Do>) {
        while let Some(&(at, name)) = self.dues.first().filter(|d| d.0 <= now) {
            self.dues.remove(&(at, name));
            self.one_due(now, name, out);
        }
        while self.claims < AT_ONCE {
            let Some(name) = self.waiting.pop_front() else { break };
            if self.phase(name) == Some(Phase::Waiting) {
                self.claim(now, name, out);
            }
        }
    }

    fn one_due(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name) else { return };
        let late = now >= mine.until;
        if late && mine.waited && !mine.told_late && mine.phase != Phase::Settled && mine.phase != Phase::Idle
        {
            mine.told_late = true;
            out.push(Do::Undecided { name });
        }
        let over = now >= mine.until.saturating_add(TOLD_FOR);
        match mine.phase {
            Phase::Settled => drop(self.forget(name)),
            Phase::Taking if now >= mine.begun + self.patience || late => {
                let told = mine.told_late;
                self.drop_own(name, out);
                self.forget(name);
                if !told {
                    out.push(Do::Unkept { name });
                }
            }
            Phase::Watching if late => drop(self.forget(name)),
            _ if over => {
                self.to(now, name, Phase::Idle, Then::Go);
                self.forget(name);
            }
            // The module ends it by itself; and whatever it does not is ended here.
            Phase::Idle if late => self.finish(now, name, out),
            Phase::Idle => {
                let at = mine.until;
                self.set_due(name, at);
            }
            Phase::Waiting => {
                // Once: it stays in the queue until there is room, or nobody is to be told any more.
                let at = mine.until.max(now).saturating_add(TOLD_FOR);
                self.waiting.push_back(name);
                self.set_due(name, at);
            }
            Phase::Taking | Phase::Writing | Phase::Claiming | Phase::Watching => self.say(now, name, out),
        }
    }

    fn claim(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let (own, life) = (self.own, self.life);
        let Some(mine) = self.works.get_mut(&name) else { return };
        mine.asked_at = now;
        let written = mine.term;
        mine.term = Term { number: written.number.max(1).saturating_add(1), owner: own, life };
        self.to(now, name, Phase::Claiming, Then::Go);
        self.say(now, name, out);
    }

    /// To all seats that have not agreed, again and again.
    fn say(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get(&name) else { return };
        let (term, version, left) = (mine.term, mine.version, mine.until.saturating_sub(now));
        let work = || mine.work.clone();
        for to in mine.seats.all().filter(|f| !mine.agreed.contains(f)) {
            let ask = match mine.phase {
                Phase::Taking => Ask::Take { term, work: work(), left },
                Phase::Writing => Ask::Write { term, version, work: work(), left },
                Phase::Claiming => {
                    // As it was written before, by whom a seat that never heard need not know.
                    let written = Term { number: 0, owner: 0, life: 0 };
                    let age = now.saturating_sub(mine.meant_at);
                    Ask::Claim { term, told: Told { written, version: 0, work: work(), age, left } }
                }
                Phase::Watching => Ask::Look,
                Phase::Idle | Phase::Waiting | Phase::Settled => continue,
            };
            out.push(Do::Say { to, name, ask });
        }
        let pause = if mine.phase == Phase::Watching { LOOK } else { AGAIN };
        self.set_due(name, now + pause);
    }
}
