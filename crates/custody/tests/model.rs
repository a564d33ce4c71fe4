//! Every order of events of the smallest custody, looked at one by one: three fronts, all of them seats, one unrepeatable work,
//! its client, and the client's retry at another front. Words come in any order, late, twice or never; any front takes any
//! other for gone at any time; fronts die and come back with their disks or without. The decisions are the crate's own; runs
//! are counted at an archive that knows nothing of them.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use doorgrade_custody::{
    Answer, Ask, Do, Effect, Fate, Front, Hands, Kept, Name, Outcome, Place, Roster, Said, Seat,
};
use stateright::{Checker, Model, Property};

const S: Ticks = 10_000;
const NAME: Name = Name(7);
const KEEP: Ticks = 1_000 * S;

/// Faults of a shell that the search is to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The push goes out with the words that say that it is meant, before they are known.
    PushedUnknown,
    /// One that has lost its disk votes as if it had not.
    VotesForgetful,
    /// A seat answers before its disk has what it said yes to.
    SaysBeforeStored,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    Ask(usize, usize, Ask),
    Said(usize, usize, Said),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct One {
    hands: Hands,
    seat: Seat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    clients: u8,
    downs: u8,
    deaths: u8,
    lost_disks: u8,
    repeats: u8,
    ticks: u8,
    lost_answers: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Ticks,
    all: Vec<Option<One>>,
    lives: [u64; 3],
    disks: [BTreeMap<Name, Kept>; 3],
    forgot: [bool; 3],
    words: Vec<Word>,
    /// Pushes that have left, and answers on their way to a front in a life.
    pushes: Vec<(usize, u64, usize)>,
    answers: Vec<(usize, u64, usize)>,
    runs: u8,
    /// Done, not run, may have run: what clients were told.
    told: [u8; 3],
    taken_over: bool,
    left: Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Client(usize),
    Deliver(usize),
    Repeat(usize),
    Run(usize),
    Answer(usize),
    LoseAnswer(usize),
    Down(usize, usize),
    Die(usize),
    Start(usize, bool),
    Tick,
}

fn front(n: usize) -> Front {
    1 + n as Front
}

fn index(front: Front) -> usize {
    front as usize - 1
}

fn roster() -> Roster {
    let place = |n| Place { front: front(n), station: n as u64, machine: n as u64 };
    Roster { number: 1, places: (0..3).map(place).collect(), before: Vec::new() }
}

struct Small(Left, Fault);

impl World {
    fn begin(&self, n: usize, votes: bool) -> One {
        let hands = Hands::new(front(n), self.lives[n], roster(), 1_000 * S);
        One { hands, seat: Seat::new(100, KEEP, self.disks[n].clone(), votes) }
    }

    fn seat(&mut self, n: usize, ask: Ask, fault: Fault) -> Option<Said> {
        let now = self.now;
        let one = self.all[n].as_mut()?;
        let (said, store) = one.seat.hear(now, NAME, ask);
        if store && fault != Fault::SaysBeforeStored {
            match one.seat.get(NAME) {
                Some(kept) => drop(self.disks[n].insert(NAME, kept.clone())),
                None => drop(self.disks[n].remove(&NAME)),
            }
        }
        Some(said)
    }

    fn perform(&mut self, n: usize, out: Vec<Do>, fault: Fault) {
        let mut out: std::collections::VecDeque<Do> = out.into();
        while let Some(done) = out.pop_front() {
            let now = self.now;
            let mut more = Vec::new();
            match done {
                // A front's own seat answers at once.
                Do::Say { to, ask, .. } if to == front(n) => {
                    if let Some((said, one)) = self.seat(n, ask, fault).zip(self.all[n].as_mut()) {
                        one.hands.heard(now, to, NAME, said, &mut more);
                    }
                }
                Do::Say { to, ask, .. } => {
                    let meant = matches!(&ask, Ask::Take { .. }) && fault == Fault::PushedUnknown;
                    if meant && !self.pushes.iter().any(|p| p.0 == n) {
                        self.pushes.push((n, self.lives[n], 0));
                    }
                    let word = Word::Ask(n, index(to), ask);
                    if !self.words.contains(&word) {
                        self.words.push(word);
                    }
                }
                Do::Push { push, .. } => {
                    if fault != Fault::PushedUnknown {
                        self.pushes.push((n, self.lives[n], push));
                    }
                }
                Do::Go { .. } => {
                    self.taken_over = true;
                    if let Some(one) = self.all[n].as_mut() {
                        one.hands.intend(now, NAME, 9, &mut more);
                    }
                    if fault == Fault::PushedUnknown {
                        self.pushes.push((n, self.lives[n], 1));
                    }
                }
                Do::Settled { outcome, .. } => {
                    let told = match outcome {
                        Outcome::Done(_) => 0,
                        Outcome::NotRun => 1,
                        Outcome::MayHaveRun => 2,
                    };
                    self.told[told] += 1;
                }
                Do::Other { .. } | Do::Unkept { .. } | Do::Undecided { .. } => {}
            }
            // In the order in which it comes about.
            more.into_iter().rev().for_each(|d| out.push_front(d));
        }
        self.words.sort_by_key(|w| format!("{w:?}"));
    }

    fn on(&mut self, n: usize, fault: Fault, act: impl FnOnce(&mut One, Ticks, &mut Vec<Do>)) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(one) = &mut self.all[n] {
            act(one, now, &mut out);
        }
        self.perform(n, out, fault);
    }
}

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 100 * S,
            all: Vec::new(),
            lives: [1; 3],
            disks: Default::default(),
            forgot: [false; 3],
            words: Vec::new(),
            pushes: Vec::new(),
            answers: Vec::new(),
            runs: 0,
            told: [0; 3],
            taken_over: false,
            left: self.0,
        };
        world.all = (0..3).map(|n| Some(world.begin(n, true))).collect();
        vec![world]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let left = &w.left;
        // The first client comes to the first front, the retry to the second, whenever it likes.
        if left.clients > 0 {
            let n = usize::from(self.0.clients - left.clients);
            if w.all[n].is_some() {
                steps.push(Step::Client(n));
            }
        }
        for (n, word) in w.words.iter().enumerate() {
            let (Word::Ask(_, to, _) | Word::Said(_, to, _)) = word;
            if w.all[*to].is_some() {
                steps.push(Step::Deliver(n));
                if left.repeats > 0 {
                    steps.push(Step::Repeat(n));
                }
            }
        }
        steps.extend((0..w.pushes.len()).map(Step::Run));
        for n in 0..w.answers.len() {
            steps.push(Step::Answer(n));
            if left.lost_answers > 0 {
                steps.push(Step::LoseAnswer(n));
            }
        }
        for n in 0..3 {
            if w.all[n].is_none() {
                steps.push(Step::Start(n, true));
                if left.lost_disks > 0 {
                    steps.push(Step::Start(n, false));
                }
                continue;
            }
            if left.deaths > 0 {
                steps.push(Step::Die(n));
            }
            if left.downs > 0 {
                steps.extend((0..2).filter(|who| *who != n).map(|who| Step::Down(n, who)));
            }
        }
        if left.ticks > 0 {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let (mut w, fault) = (last.clone(), self.1);
        match step {
            Step::Client(n) => {
                w.left.clients -= 1;
                let until = w.now + 500 * S;
                w.on(n, fault, |one, now, out| {
                    one.hands.take(now, NAME, 1, Effect::Unrepeatable, 9, until, out);
                });
            }
            Step::Deliver(at) | Step::Repeat(at) => {
                let word = w.words[at].clone();
                if step == Step::Deliver(at) {
                    w.words.remove(at);
                } else {
                    w.left.repeats -= 1;
                }
                match word {
                    Word::Ask(from, to, ask) => {
                        if let Some(said) = w.seat(to, ask, fault) {
                            let word = Word::Said(to, from, said);
                            if !w.words.contains(&word) {
                                w.words.push(word);
                            }
                        }
                        w.words.sort_by_key(|w| format!("{w:?}"));
                    }
                    Word::Said(from, to, said) => {
                        w.on(to, fault, |one, now, out| one.hands.heard(now, front(from), NAME, said, out));
                    }
                }
            }
            Step::Run(at) => {
                let (n, life, push) = w.pushes.remove(at);
                w.runs += 1;
                w.answers.push((n, life, push));
            }
            Step::Answer(at) | Step::LoseAnswer(at) => {
                let (n, life, push) = w.answers.remove(at);
                let fate = if step == Step::Answer(at) {
                    Fate::Answered(Answer { status: 200, body: Box::default() })
                } else {
                    w.left.lost_answers -= 1;
                    Fate::Unknown
                };
                if w.lives[n] == life && w.all[n].is_some() {
                    w.on(n, fault, |one, now, out| {
                        let unknown = fate == Fate::Unknown;
                        one.hands.ended(now, NAME, push, fate, out);
                        if unknown {
                            one.hands.finish(now, NAME, out);
                        }
                    });
                }
            }
            Step::Down(n, who) => {
                w.left.downs -= 1;
                w.on(n, fault, |one, now, out| {
                    let One { hands, seat } = one;
                    hands.down(now, front(who), seat.works(), out);
                });
            }
            Step::Die(n) => {
                w.left.deaths -= 1;
                w.all[n] = None;
            }
            Step::Start(n, kept) => {
                w.lives[n] += 1;
                if !kept {
                    w.left.lost_disks -= 1;
                    w.disks[n].clear();
                    w.forgot[n] = true;
                }
                let votes = !w.forgot[n] || fault == Fault::VotesForgetful;
                w.all[n] = Some(w.begin(n, votes));
            }
            Step::Tick => {
                w.left.ticks -= 1;
                w.now += 2_000;
                (0..3).for_each(|n| w.on(n, fault, |one, now, out| one.hands.due(now, out)));
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it runs once at the most", |_, w: &World| w.runs <= 1),
            Property::always("no two words of it differ", |_, w: &World| {
                w.told.iter().filter(|t| **t > 0).count() <= 1
            }),
            Property::always("done has run, and not run has not", |_, w: &World| {
                (w.told[0] == 0 || w.runs > 0) && (w.told[1] == 0 || w.runs == 0)
            }),
        ]
    }
}

const LEFT: Left =
    Left { clients: 2, downs: 1, deaths: 0, lost_disks: 0, repeats: 0, ticks: 1, lost_answers: 0 };

fn search(left: Left, fault: Fault, depth: usize) -> (usize, bool) {
    let checked = Small(left, fault).checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    let always =
        ["it runs once at the most", "no two words of it differ", "done has run, and not run has not"];
    let broken = always.into_iter().any(|name| checked.discovery(name).is_some());
    if fault == Fault::None {
        for name in always {
            checked.assert_no_discovery(name);
        }
    }
    (checked.unique_state_count(), broken)
}

#[test]
fn in_whatever_order_words_come_and_whoever_is_taken_for_gone_it_runs_once() {
    let (found, _) = search(LEFT, Fault::None, 10);
    assert!(found > 20_000, "{found} states: the search has become small");
}

#[test]
fn deaths_lost_disks_and_lost_answers_make_no_second_run() {
    let left = Left { deaths: 1, lost_disks: 1, lost_answers: 1, ..LEFT };
    let (found, _) = search(left, Fault::None, 8);
    assert!(found > 20_000, "{found} states: the search has become small");
}

#[test]
fn a_planted_fault_of_each_kind_is_found() {
    let quiet = Left { downs: 0, ticks: 0, ..LEFT };
    let dies = Left { deaths: 1, lost_disks: 1, ..quiet };
    for (fault, left, depth) in [
        (Fault::PushedUnknown, LEFT, 8),
        (Fault::VotesForgetful, dies, 12),
        (Fault::SaysBeforeStored, dies, 12),
    ] {
        let (states, broken) = search(left, fault, depth);
        assert!(broken, "{fault:?}: not found in {states} states");
    }
}
