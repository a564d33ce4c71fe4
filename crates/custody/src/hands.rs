//! The works in this front's hands, and those that it waits for.

mod time;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorgrade::{Ticks, hash};

use crate::{Ask, Effect, Front, MOST_PUSHES, Name, Outcome, Push, Roster, Said, Seats, Term, Told, Work};

/// A word that was not answered is said again: some round trips on a slow link, fewer on a quick one.
const AGAIN: Ticks = 1_000;
/// How often the seats are asked how a work stands that another has in hand: what its client waits longer at the most.
const LOOK: Ticks = 500;
/// Between those that may take a work over: the next has heard of the first by then, or else both try and one is refused.
const RANK: Ticks = 2_000;
/// Works that are being taken over at once by one front; the others wait, so that their seats are not asked for all at once.
const AT_ONCE: usize = 64;
/// For how long a work's end is still told to its seats after its client's time is up.
const TOLD_FOR: Ticks = 100_000;

/// What came of a push.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    Unrun,
    Unknown,
    Answered(crate::Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    Say {
        to: Front,
        name: Name,
        ask: Ask,
    },
    /// It may be pushed: `intend` says to whom. `pushes`: those before, of which some may have run, the first of them `age` ago
    /// at the most.
    Go {
        name: Name,
        pushes: Vec<Push>,
        age: Ticks,
        left: Ticks,
    },
    /// This push is known to be meant: now, or never.
    Push {
        name: Name,
        push: usize,
    },
    Settled {
        name: Name,
        outcome: Outcome,
    },
    /// The name is that of another work.
    Other {
        name: Name,
    },
    /// No majority of its seats has answered in time: nothing was pushed, and nothing will be here.
    Unkept {
        name: Name,
    },
    /// The client's time is up, and it is not known how it ends.
    Undecided {
        name: Name,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Then {
    Go,
    Push(usize),
    Settle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Taking,
    Writing,
    /// All that is to be known is known; the module has the word.
    Idle,
    /// Another has it in hand.
    Watching,
    /// To be claimed when its turn comes.
    Waiting,
    Claiming,
    Settled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mine {
    seats: Seats,
    work: Work,
    term: Term,
    version: u32,
    phase: Phase,
    then: Then,
    until: Ticks,
    /// When the first push was meant, or earlier.
    meant_at: Ticks,
    begun: Ticks,
    due: Ticks,
    /// When the claim in hand was first said.
    asked_at: Ticks,
    agreed: BTreeSet<Front>,
    against: BTreeMap<Front, Told>,
    /// Clients here wait for it.
    waited: bool,
    /// It was Undecided for them.
    told_late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hands {
    own: Front,
    life: u64,
    roster: Roster,
    /// For how long a work may stay unkept before its access is told so.
    patience: Ticks,
    works: BTreeMap<Name, Mine>,
    dues: BTreeSet<(Ticks, Name)>,
    /// Whom it takes for gone.
    down: BTreeSet<Front>,
    waiting: VecDeque<Name>,
    claims: usize,
    number: u64,
}

impl Hands {
    pub fn new(own: Front, life: u64, roster: Roster, patience: Ticks) -> Hands {
        Hands {
            own,
            life,
            roster,
            patience,
            works: BTreeMap::new(),
            dues: BTreeSet::new(),
            down: BTreeSet::new(),
            waiting: VecDeque::new(),
            claims: 0,
            number: 0,
        }
    }

    pub fn phase(&self, name: Name) -> Option<Phase> {
        self.works.get(&name).map(|m| m.phase)
    }

    pub fn work(&self, name: Name) -> Option<&Work> {
        self.works.get(&name).map(|m| &m.work)
    }

    pub fn count(&self) -> usize {
        self.works.len()
    }

    /// Works that wait for others' claims to end.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// When `due` is to be called.
    pub fn next(&self) -> Option<Ticks> {
        self.dues.first().map(|d| d.0)
    }

    fn set_due(&mut self, name: Name, at: Ticks) {
        if let Some(mine) = self.works.get_mut(&name) {
            self.dues.remove(&(mine.due, name));
            mine.due = at;
            self.dues.insert((at, name));
        }
    }

    fn forget(&mut self, name: Name) -> Option<Mine> {
        let mine = self.works.remove(&name)?;
        self.dues.remove(&(mine.due, name));
        Some(mine)
    }

    fn to(&mut self, now: Ticks, name: Name, phase: Phase, then: Then) {
        let Some(mine) = self.works.get_mut(&name) else { return };
        if mine.phase == Phase::Claiming {
            self.claims -= 1;
        }
        if phase == Phase::Claiming {
            self.claims += 1;
        }
        (mine.phase, mine.then) = (phase, then);
        mine.agreed.clear();
        mine.against.clear();
        self.set_due(name, now);
    }

    // ---- accesses

    /// An access has come with this name; `first`: the cache that its first push goes to. False where it can't be kept at all.
    #[allow(clippy::too_many_arguments)]
    pub fn take(
        &mut self,
        now: Ticks,
        name: Name,
        print: u64,
        effect: Effect,
        first: u64,
        until: Ticks,
        out: &mut Vec<Do>,
    ) -> bool {
        if let Some(mine) = self.works.get_mut(&name) {
            if mine.work.print != print {
                out.push(Do::Other { name });
            } else if let Some(outcome) = mine.work.outcome.clone().filter(|_| mine.phase == Phase::Settled) {
                out.push(Do::Settled { name, outcome });
            } else {
                (mine.waited, mine.told_late) = (true, false);
                mine.until = mine.until.max(until);
            }
            return true;
        }
        let Some(seats) = self.roster.seats(name) else { return false };
        self.number += 1;
        let born = hash::text(&format!("{:x} {:x} {}", self.own, self.life, self.number));
        let pushes = vec![Push { to: first, unrun: false }];
        let work = Work { born, print, effect, pushes, outcome: None };
        let term = Term { number: 1, owner: self.own, life: self.life };
        self.works.insert(
            name,
            Mine {
                seats,
                work,
                term,
                version: 1,
                phase: Phase::Taking,
                then: Then::Push(0),
                until,
                meant_at: now,
                begun: now,
                due: now,
                asked_at: now,
                agreed: BTreeSet::new(),
                against: BTreeMap::new(),
                waited: true,
                told_late: false,
            },
        );
        self.dues.insert((now, name));
        self.due(now, out);
        true
    }

    /// The module wants to push it to a cache. False: it may not, or not now.
    pub fn intend(&mut self, now: Ticks, name: Name, to: u64, out: &mut Vec<Do>) -> bool {
        let Some(mine) = self.works.get_mut(&name).filter(|m| m.phase == Phase::Idle) else { return false };
        let again = mine.work.may_have_run() && mine.work.effect == Effect::Unrepeatable;
        if again || mine.work.pushes.len() >= MOST_PUSHES || now >= mine.until {
            return false;
        }
        if !mine.work.may_have_run() {
            mine.meant_at = now;
        }
        mine.work.pushes.push(Push { to, unrun: false });
        let push = mine.work.pushes.len() - 1;
        self.write(now, name, Then::Push(push), out);
        true
    }

    /// A push of it has ended.
    pub fn ended(&mut self, now: Ticks, name: Name, push: usize, fate: Fate, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name) else { return };
        // Whoever is not its owner any more passes nothing on: what came of it is told by the one who is, or nobody.
        if !matches!(mine.phase, Phase::Idle | Phase::Writing) || mine.then == Then::Settle {
            return;
        }
        match fate {
            Fate::Unknown => {}
            Fate::Unrun => {
                if let Some(push) = mine.work.pushes.get_mut(push) {
                    push.unrun = true;
                }
            }
            Fate::Answered(answer) => {
                mine.work.outcome = Some(Outcome::Done(answer));
                self.write(now, name, Then::Settle, out);
            }
        }
    }

    /// The module goes no further.
    pub fn finish(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name).filter(|m| m.phase == Phase::Idle) else { return };
        mine.work.outcome =
            Some(if mine.work.may_have_run() { Outcome::MayHaveRun } else { Outcome::NotRun });
        self.write(now, name, Then::Settle, out);
    }

    fn write(&mut self, now: Ticks, name: Name, then: Then, out: &mut Vec<Do>) {
        if let Some(mine) = self.works.get_mut(&name) {
            mine.version = mine.version.saturating_add(1);
        }
        self.to(now, name, Phase::Writing, then);
        self.due(now, out);
    }

    // ---- others

    /// Taken for gone, or it says that it goes: what it has in hand is another's. `works`: what this front's seat keeps.
    pub fn down<'a>(
        &mut self,
        now: Ticks,
        front: Front,
        works: impl Iterator<Item = (Name, &'a crate::Kept)>,
        out: &mut Vec<Do>,
    ) {
        self.down.insert(front);
        for (name, kept) in works {
            let theirs = kept.promised.owner == front || kept.written.owner == front;
            if !theirs || kept.work.outcome.is_some() || self.works.contains_key(&name) {
                continue;
            }
            let Some(seats) = self.roster.seats(name) else { continue };
            let due = now + RANK * seats.rank(self.own);
            self.works.insert(
                name,
                Mine {
                    seats,
                    work: kept.work.clone(),
                    term: kept.promised.max(kept.written),
                    version: kept.version,
                    phase: Phase::Waiting,
                    then: Then::Go,
                    until: kept.until,
                    meant_at: kept.meant_at,
                    begun: now,
                    due,
                    asked_at: now,
                    agreed: BTreeSet::new(),
                    against: BTreeMap::new(),
                    waited: false,
                    told_late: true,
                },
            );
            self.dues.insert((due, name));
        }
        let watched: Vec<Name> = self
            .works
            .iter()
            .filter(|(_, m)| m.phase == Phase::Watching && m.term.owner == front)
            .map(|(name, _)| *name)
            .collect();
        for name in watched {
            self.wait_for_turn(now, name);
        }
        self.due(now, out);
    }

    pub fn up(&mut self, front: Front) {
        self.down.remove(&front);
    }

    fn wait_for_turn(&mut self, now: Ticks, name: Name) {
        let Some(rank) = self.works.get(&name).map(|m| m.seats.rank(self.own)) else { return };
        self.to(now, name, Phase::Waiting, Then::Go);
        self.set_due(name, now + RANK * rank);
    }

    /// A seat has answered.
    pub fn heard(&mut self, now: Ticks, from: Front, name: Name, said: Said, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name).filter(|m| m.seats.all().any(|f| f == from)) else {
            return;
        };
        match said {
            Said::Kept { born, term, version } => {
                let asked = matches!(mine.phase, Phase::Taking | Phase::Writing);
                if asked && (born, term, version) == (mine.work.born, mine.term, mine.version) {
                    mine.agreed.insert(from);
                    mine.against.remove(&from);
                    self.known(now, name, out);
                }
            }
            Said::Promised { term, told } => {
                if mine.phase == Phase::Claiming && term == mine.term && told.work.born == mine.work.born {
                    mine.agreed.insert(from);
                    mine.against.insert(from, told);
                    self.promised(now, name, out);
                }
            }
            Said::Refused { promised, told } => self.refused(now, from, name, promised, told, out),
            Said::Stands { promised, told } => self.stands(now, from, name, promised, told, out),
            Said::Nothing | Said::Full | Said::Abstains => {}
        }
    }

    /// What was to be known to a majority is.
    fn known(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get(&name).filter(|m| m.seats.majority(|f| m.agreed.contains(&f))) else {
            return;
        };
        let (then, in_time) = (mine.then, now < mine.until);
        match then {
            Then::Push(push) => {
                self.to(now, name, Phase::Idle, then);
                // Past its client's time nothing is pushed: it is known not to have run, if nothing else was.
                if in_time {
                    out.push(Do::Push { name, push });
                } else {
                    self.ended(now, name, push, Fate::Unrun, out);
                    self.finish(now, name, out);
                }
            }
            Then::Go => {
                self.to(now, name, Phase::Idle, then);
                self.go(now, name, out);
            }
            Then::Settle => self.settle(now, name, out),
        }
    }

    fn go(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get(&name) else { return };
        let (age, left) = (now.saturating_sub(mine.meant_at), mine.until.saturating_sub(now));
        let may = match mine.work.effect {
            _ if left == 0 => false,
            _ if !mine.work.may_have_run() => true,
            Effect::Idempotent => true,
            Effect::Deduplicated { window } => age < window,
            Effect::Unrepeatable => false,
        };
        if may {
            out.push(Do::Go { name, pushes: mine.work.pushes.clone(), age, left });
        } else {
            self.finish(now, name, out);
        }
    }

    fn settle(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        self.to(now, name, Phase::Settled, Then::Settle);
        let Some(mine) = self.works.get_mut(&name) else { return };
        if let Some(outcome) = mine.work.outcome.clone().filter(|_| mine.waited) {
            out.push(Do::Settled { name, outcome });
        }
        // Whoever comes again here is told for a while; then the seats are asked.
        let at = mine.until.max(now).saturating_add(TOLD_FOR);
        self.set_due(name, at);
    }

    /// Two seats have promised: nothing of an earlier term will come to be known, and the latest of what may be is in their
    /// answers.
    fn promised(&mut self, now: Ticks, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name).filter(|m| m.seats.majority(|f| m.agreed.contains(&f)))
        else {
            return;
        };
        let asked_at = mine.asked_at;
        let Some(told) = mine.against.values().max_by_key(|t| (t.written, t.version)).cloned() else {
            return;
        };
        let ages = mine.against.values().filter(|t| t.work.may_have_run()).map(|t| t.age);
        // Its age when it was told, and all the time since that was asked for: never less than it is.
        mine.meant_at = ages.max().map_or(now, |age| asked_at.saturating_sub(age));
        mine.version = mine.against.values().map(|t| t.version).max().unwrap_or(told.version);
        mine.work = told.work;
        let then = if mine.work.outcome.is_some() { Then::Settle } else { Then::Go };
        self.write(now, name, then, out);
    }

    fn refused(
        &mut self,
        now: Ticks,
        from: Front,
        name: Name,
        promised: Term,
        told: Told,
        out: &mut Vec<Do>,
    ) {
        let Some(mine) = self.works.get_mut(&name) else { return };
        match mine.phase {
            Phase::Taking => {
                if told.work.print != mine.work.print {
                    let waited = mine.waited;
                    self.drop_own(name, out);
                    self.forget(name);
                    if waited {
                        out.push(Do::Other { name });
                    }
                    return;
                }
                mine.against.insert(from, told);
                let lost = mine.seats.blocked(|f| mine.against.contains_key(&f));
                // One has it, the other has not, and the third says nothing: of two works the one that was born
                // with the lesser number stays.
                let yields = mine.against.values().any(|t| t.work.born < mine.work.born);
                // And one that has it as this front's own under a term of another's says that it was taken over.
                let tied = now >= mine.begun + 4 * AGAIN && yields;
                if lost || tied || mine.against.values().any(|t| t.work.born == mine.work.born) {
                    self.drop_own(name, out);
                    self.watch(now, name);
                    self.due(now, out);
                }
            }
            Phase::Writing if promised > mine.term => {
                mine.term = promised;
                self.watch(now, name);
            }
            Phase::Claiming if promised > mine.term => {
                mine.term = promised;
                // Whoever has the later term goes on, if it is there; else another turn.
                if self.down.contains(&promised.owner) {
                    self.wait_for_turn(now, name);
                    let pause = 1 + self.own % AGAIN;
                    self.set_due(name, now + AGAIN + pause);
                } else {
                    self.watch(now, name);
                }
            }
            _ => {}
        }
    }

    fn drop_own(&mut self, name: Name, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get(&name) else { return };
        let born = mine.work.born;
        out.extend(mine.seats.all().map(|to| Do::Say { to, name, ask: Ask::Drop { born } }));
    }

    fn watch(&mut self, now: Ticks, name: Name) {
        self.to(now, name, Phase::Watching, Then::Go);
    }

    /// Of a work that another has in hand.
    fn stands(&mut self, now: Ticks, from: Front, name: Name, promised: Term, told: Told, out: &mut Vec<Do>) {
        let Some(mine) = self.works.get_mut(&name).filter(|m| m.phase == Phase::Watching) else { return };
        if told.work.print != mine.work.print {
            return;
        }
        mine.term = mine.term.max(promised).max(told.written);
        // What is claimed, if it comes to that, is the work that stands.
        if (told.written, told.version)
            > (mine.against.values().map(|t| (t.written, t.version)).max()).unwrap_or_default()
        {
            mine.work = Work { outcome: None, ..told.work.clone() };
            mine.version = told.version;
            mine.meant_at = now.saturating_sub(told.age);
        }
        mine.against.insert(from, told);
        // The same words at two seats: it is known, and will not change.
        let all = || mine.against.iter().filter(|(_, t)| t.work.outcome.is_some());
        let ended = all().find(|(_, t)| {
            let same = |f: Front| {
                mine.against
                    .get(&f)
                    .is_some_and(|o| (o.written, o.version, &o.work) == (t.written, t.version, &t.work))
            };
            mine.seats.majority(same)
        });
        if let Some(work) = ended.map(|(_, t)| t.work.clone()) {
            mine.work = work;
            return self.settle(now, name, out);
        }
        if self.down.contains(&mine.term.owner) {
            self.wait_for_turn(now, name);
        }
    }
}
