//! Whether a front that has begun a new life knows all that it said yes to before.
//!
//! One without its store has forgotten, and one with an older copy of it believes that it has not. So a life votes only when
//! a majority of the *others* of the roster has written down that it has begun; any later majority of them has one that knows.
//! Asked by the next life, that one tells of a later life than its store has: then it has forgotten. Who has forgotten has
//! no vote until nothing that it may have said yes to can be open any more, and its memory of others counts as little. A
//! life that begins is told of all others that go on, since it may have forgotten them.
//!
//! Not covered: an older copy put back at one while another has lost its disk and was cut off from the first for longer than
//! anything is kept.

use std::collections::{BTreeMap, BTreeSet};

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::Front;

/// A life has begun: write it down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Born {
    pub life: u64,
}

/// It is written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Knew {
    pub life: u64,
    /// The latest other one that is known, if any: the same however often it is asked.
    pub before: Option<u64>,
    /// Whoever says so has not forgotten itself.
    pub whole: bool,
}

/// What its store has of lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lives {
    /// Its own last one.
    pub last: u64,
    /// It had not forgotten, or what it had can't be open any more. A store that was begun anew says no until then, over as
    /// many starts as there are meanwhile.
    pub whole: bool,
    /// Of others: the latest, and the one before it.
    pub others: BTreeMap<Front, (u64, Option<u64>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Birth {
    own: Front,
    roster: Vec<Front>,
    pub life: u64,
    /// The last life that its store knows of; none: there was no store.
    last: Option<u64>,
    /// Of others, as they told: on disk.
    lives: BTreeMap<Front, (u64, Option<u64>)>,
    knew: BTreeSet<Front>,
    /// Until when it may have forgotten what is still open.
    forgot: Option<Ticks>,
}

impl Birth {
    /// `found`: from its store. Its own life is to be on the disk before anything is said.
    pub fn new(
        own: Front,
        roster: &[Front],
        life: u64,
        found: Option<Lives>,
        now: Ticks,
        keep: Ticks,
    ) -> Birth {
        let forgot = found.as_ref().is_none_or(|f| !f.whole).then_some(now + keep);
        let last = found.as_ref().map(|f| f.last);
        let lives = found.map(|f| f.others).unwrap_or_default();
        let life = last.map_or(life, |last| life.max(last.saturating_add(1)));
        Birth { own, roster: roster.to_vec(), life, last, lives, knew: BTreeSet::new(), forgot }
    }

    /// What is to be on the disk.
    pub fn store(&self, now: Ticks) -> Lives {
        Lives { last: self.life, whole: self.whole(now), others: self.lives.clone() }
    }

    /// Whom to tell still.
    pub fn tells(&self) -> Vec<Front> {
        self.roster.iter().copied().filter(|f| *f != self.own && !self.knew.contains(f)).collect()
    }

    /// Nothing that it may have forgotten is open.
    fn whole(&self, now: Ticks) -> bool {
        self.forgot.is_none_or(|until| until <= now)
    }

    /// Another has begun a life. To be on the disk before the answer is given.
    pub fn heard(&mut self, now: Ticks, from: Front, born: Born) -> Knew {
        if !self.roster.contains(&from) {
            return Knew { life: born.life, before: None, whole: false };
        }
        let known = self.lives.get(&from).copied();
        let before = match known {
            // Asked again: its answer may have been lost.
            Some((latest, before)) if latest == born.life => before,
            Some((latest, _)) => Some(latest),
            None => None,
        };
        if known.is_none_or(|k| k.0 < born.life) {
            self.lives.insert(from, (born.life, before));
        }
        // Its next life may have forgotten this one.
        if known.is_none_or(|k| k.0 != born.life) {
            self.knew.remove(&from);
        }
        Knew { life: born.life, before, whole: self.whole(now) }
    }

    pub fn answered(&mut self, now: Ticks, keep: Ticks, from: Front, knew: Knew) {
        if knew.life != self.life || !self.roster.contains(&from) {
            return;
        }
        let unknown = knew.before.filter(|b| self.last.is_none_or(|last| *b > last));
        if unknown.is_some() && self.forgot.is_none() {
            self.forgot = Some(now + keep);
        }
        if let Some(later) = unknown.filter(|b| *b > self.life) {
            // Its clock was set back as well: a life that is none to others is begun anew.
            self.life = later.saturating_add(1);
            return self.knew.clear();
        }
        // What one that has forgotten did not know of, others may have told it.
        if knew.whole {
            self.knew.insert(from);
        }
    }

    pub fn votes(&self, now: Ticks) -> bool {
        let others = self.roster.iter().filter(|f| **f != self.own).count();
        self.whole(now) && 2 * self.knew.len() > others
    }
}
