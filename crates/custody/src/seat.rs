//! A seat: what one front keeps of works, and what it may still say yes to.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::{Ask, Name, Said, Term, Told, Work};

/// What is kept of one work, on disk as in memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// Nothing of an earlier term is kept any more.
    pub promised: Term,
    pub written: Term,
    pub version: u32,
    pub work: Work,
    /// By this seat's clock: when it heard of the first push that was meant, and until when the client waits.
    pub meant_at: Ticks,
    pub until: Ticks,
    /// When it was heard of last.
    pub at: Ticks,
}

impl Kept {
    fn told(&self, now: Ticks) -> Told {
        Told {
            written: self.written,
            version: self.version,
            work: self.work.clone(),
            age: now.saturating_sub(self.meant_at),
            left: self.until.saturating_sub(now),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seat {
    works: BTreeMap<Name, Kept>,
    most: usize,
    keep: Ticks,
    /// It knows all that it has said yes to.
    pub votes: bool,
}

impl Seat {
    /// `found`: what its store has. `keep`: for how long a work is known after it was heard of last, longer than any client
    /// waits.
    pub fn new(most: usize, keep: Ticks, found: BTreeMap<Name, Kept>, votes: bool) -> Seat {
        Seat { works: found, most, keep, votes }
    }

    pub fn get(&self, name: Name) -> Option<&Kept> {
        self.works.get(&name)
    }

    pub fn works(&self) -> impl Iterator<Item = (Name, &Kept)> {
        self.works.iter().map(|(name, kept)| (*name, kept))
    }

    /// Works whose time is over; to be removed from the store, too.
    pub fn tidy(&mut self, now: Ticks) -> Vec<Name> {
        let over: Vec<Name> = self
            .works
            .iter()
            .filter(|(_, k)| k.at.saturating_add(self.keep) <= now)
            .map(|(n, _)| *n)
            .collect();
        over.iter().for_each(|name| drop(self.works.remove(name)));
        over
    }

    /// An answer, and whether the work has to be on the disk before it is given.
    pub fn hear(&mut self, now: Ticks, name: Name, ask: Ask) -> (Said, bool) {
        if !self.votes && ask != Ask::Look {
            return (Said::Abstains, false);
        }
        let told = match &ask {
            Ask::Take { work, .. } | Ask::Write { work, .. } => Some(work),
            Ask::Claim { told, .. } => Some(&told.work),
            Ask::Drop { .. } | Ask::Look => None,
        };
        if told.is_some_and(|work| !work.fits()) {
            return (Said::Full, false);
        }
        let full = self.works.len() >= self.most && !self.works.contains_key(&name);
        let Some(known) = self.works.get_mut(&name) else {
            let (term, version, work, meant_at, left) = match ask {
                _ if full => return (Said::Full, false),
                Ask::Take { term, work, left } => (term, 1, work, now, left),
                // It missed the beginning.
                Ask::Write { term, version, work, left } => (term, version, work, now, left),
                Ask::Claim { term, told } => {
                    let meant_at = now.saturating_sub(told.age);
                    let kept = Kept {
                        promised: term,
                        written: told.written,
                        version: told.version,
                        work: told.work.clone(),
                        meant_at,
                        until: now.saturating_add(told.left),
                        at: now,
                    };
                    self.works.insert(name, kept);
                    return (Said::Promised { term, told }, true);
                }
                Ask::Drop { .. } | Ask::Look => return (Said::Nothing, false),
            };
            let (until, born) = (now.saturating_add(left), work.born);
            let kept = Kept { promised: term, written: term, version, work, meant_at, until, at: now };
            self.works.insert(name, kept);
            return (Said::Kept { born, term, version }, true);
        };
        let told = known.told(now);
        let refused = Said::Refused { promised: known.promised, told: told.clone() };
        match ask {
            Ask::Look => (Said::Stands { promised: known.promised, told }, false),
            // The same word again: the answer may have been lost.
            Ask::Take { term, work, .. } if work.born == known.work.born && known.promised == term => {
                (Said::Kept { born: work.born, term, version: 1 }, false)
            }
            Ask::Take { .. } => (refused, false),
            Ask::Drop { born } => {
                let stray = known.work.born == born && known.promised.number == 1 && known.version == 1;
                if stray {
                    self.works.remove(&name);
                }
                (Said::Nothing, stray)
            }
            Ask::Write { work, .. } if work.born != known.work.born => (refused, false),
            Ask::Write { term, .. } if term < known.promised => (refused, false),
            Ask::Write { term, version, work, .. } => {
                let news = (term, version) > (known.written, known.version);
                let born = work.born;
                if news {
                    if !known.work.may_have_run() {
                        known.meant_at = now;
                    }
                    (known.promised, known.written, known.version) = (term, term, version);
                    (known.work, known.at) = (work, now);
                }
                (Said::Kept { born, term, version }, news)
            }
            Ask::Claim { told, .. } if told.work.born != known.work.born => (refused, false),
            Ask::Claim { term, .. } if term < known.promised => (refused, false),
            Ask::Claim { term, .. } => {
                let news = term > known.promised;
                (known.promised, known.at) = (term, now);
                (Said::Promised { term, told }, news)
            }
        }
    }
}
