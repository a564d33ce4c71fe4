//! What expires is announced weeks ahead, once for each of some steps and then daily, whoever restarts meanwhile: a
//! line depends on the time alone and on what was said by this start of the program.

use std::fmt;

use crate::{TICKS_PER_DAY, TICKS_PER_SECOND, Ticks};

/// Days before the end at which a line is due. Six weeks pass change freezes and holidays; below a week each day.
pub const STEPS: [u64; 10] = [42, 28, 14, 7, 6, 5, 4, 3, 2, 1];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It is good for so long still, and a step was passed.
    Soon(Ticks),
    /// It was good until then.
    Ended(Ticks),
    /// It will be good from then on.
    NotYet(Ticks),
}

impl fmt::Display for Word {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = |t: &Ticks| match (
            t / TICKS_PER_DAY,
            t / (3_600 * TICKS_PER_SECOND),
            t / (60 * TICKS_PER_SECOND),
        ) {
            (2.., ..) => format!("{} days", t / TICKS_PER_DAY),
            (_, 2.., _) => format!("{} hours", t / (3_600 * TICKS_PER_SECOND)),
            (.., minutes) => format!("{minutes} minutes"),
        };
        match self {
            Word::Soon(left) => write!(f, "expires in {}", span(left)),
            Word::Ended(ago) => write!(f, "expired {} ago", span(ago)),
            Word::NotYet(until) => write!(f, "is good only in {}", span(until)),
        }
    }
}

/// How a span of time stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Ticks,
    pub to: Ticks,
}

impl Span {
    pub fn good(&self, now: Ticks) -> bool {
        self.from <= now && now < self.to
    }

    /// The step that it stands at: 0 before all of them, then one more for each that was passed; one past the
    /// last for each day after its end.
    fn step(&self, now: Ticks) -> u64 {
        let passed = |days: &&u64| now + **days * TICKS_PER_DAY >= self.to;
        let passed = STEPS.iter().filter(passed).count() as u64;
        match now.checked_sub(self.to) {
            Some(ago) => STEPS.len() as u64 + 1 + ago / TICKS_PER_DAY,
            None => passed,
        }
    }

    /// What is to be said of it, whether or not it was said before.
    pub fn word(&self, now: Ticks) -> Option<Word> {
        if now < self.from {
            return Some(Word::NotYet(self.from - now));
        }
        match self.step(now) {
            0 => None,
            _ if now < self.to => Some(Word::Soon(self.to - now)),
            _ => Some(Word::Ended(now - self.to)),
        }
    }

    /// When there will be something new to say.
    pub fn next(&self, now: Ticks) -> Ticks {
        if now < self.from {
            return self.from;
        }
        if let Some(ago) = now.checked_sub(self.to) {
            return self.to + (ago / TICKS_PER_DAY + 1) * TICKS_PER_DAY;
        }
        let steps = STEPS.iter().map(|days| self.to.saturating_sub(days * TICKS_PER_DAY));
        steps.filter(|at| *at > now).min().unwrap_or(self.to)
    }
}

/// One thing that expires, and what was said of it.
#[derive(Clone, Debug)]
pub struct Watched {
    pub span: Span,
    told: Option<(bool, u64)>,
}

impl Watched {
    pub fn new(span: Span) -> Watched {
        Watched { span, told: None }
    }

    /// Another one stands in its place; of one that is as good as the old nothing is said again.
    pub fn renewed(&mut self, span: Span) {
        if span != self.span {
            *self = Watched::new(span);
        }
    }

    /// What is to be said now, once for each step.
    pub fn due(&mut self, now: Ticks) -> Option<Word> {
        let word = self.span.word(now)?;
        let step = (matches!(word, Word::NotYet(_)), self.span.step(now));
        if self.told == Some(step) {
            return None;
        }
        self.told = Some(step);
        Some(word)
    }
}
