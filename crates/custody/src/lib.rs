//! Work in hand that survives the loss of its front: another takes it over, once.
//!
//! A work has a name that its client gives and gives again with each retry ([`Name`]). Three *seats*, fronts that the
//! name draws from a roster that operators give, keep what is known of it ([`Seat`]); whoever holds a work in hand, its
//! *owner*, makes each stage known to two of the three before the next begins ([`Hands`]): taken and about to push, to
//! whom; what came of the push; how it ended. Each word stands under a *term*. Whoever takes over first has a later term
//! promised by two seats; from then on nothing of an earlier term is kept by those two, so nothing of it can come to be
//! known: an owner that was stopped, or lives on in the wrong half, gets no further push through. No clock decides on it.
//!
//! After a take-over: no push was known to be meant, it is pushed as if new; one was meant and its fate is not known: an
//! unrepeatable work is never pushed again and ends as 'may have run', a deduplicated one only within its window as the
//! seats saw it pass, an idempotent one is.
//!
//! What it can't know: whether a push that was meant has run, where nobody heard. Whether a front that does not answer is
//! dead: any front may take any other for it at any time, and all that this costs is 'may have run'. What a seat has
//! forgotten after the stated time: the same name is a new work then.
#![forbid(unsafe_code)]

mod birth;
mod hands;
mod roster;
mod seat;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

pub use birth::{Birth, Born, Knew, Lives};
pub use hands::{Do, Fate, Hands, Phase};
pub use roster::{Place, Roster, Seats};
pub use seat::{Kept, Seat};

/// A front, by the hash of its name.
pub type Front = u64;

/// What a client calls its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(pub u128);

impl Name {
    /// 16 to 64 hex digits, large or small.
    pub fn read(text: &str) -> Option<Name> {
        let fits = (16..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = fits.then(|| blake3::hash(text.to_ascii_lowercase().as_bytes()))?;
        Some(Name(u128::from_le_bytes(*hash.as_bytes().first_chunk()?)))
    }
}

/// What a second run of a work would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    Idempotent,
    Deduplicated { window: Ticks },
    Unrepeatable,
}

/// Under which a work is in somebody's hands. The first is its taker's; each later one was promised by two seats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    pub number: u32,
    pub owner: Front,
    pub life: u64,
}

/// One push, as it was meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Push {
    /// The cache, by the hash of its name.
    pub to: u64,
    /// Known not to have run.
    pub unrun: bool,
}

/// Pushes of one work; the module makes no more for an access.
pub const MOST_PUSHES: usize = 8;

/// How a work has ended, for all who ask.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Done(Answer),
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub body: Box<[u8]>,
}

/// All that is known of a work under one term, at one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Tells it from another of the same name.
    pub born: u64,
    /// Of object and body.
    pub print: u64,
    pub effect: Effect,
    pub pushes: Vec<Push>,
    pub outcome: Option<Outcome>,
}

/// In bytes, of an answer that is kept: what a registration says. A longer one is passed on, and kept as 'may have run'.
pub const MOST_ANSWER: usize = 16 << 10;

impl Work {
    /// No more than a front of this program makes of one.
    pub fn fits(&self) -> bool {
        let body = match &self.outcome {
            Some(Outcome::Done(answer)) => answer.body.len(),
            _ => 0,
        };
        self.pushes.len() <= MOST_PUSHES && body <= MOST_ANSWER
    }

    /// A push was meant and is not known to be unrun.
    pub fn may_have_run(&self) -> bool {
        self.pushes.iter().any(|p| !p.unrun)
    }
}

/// A work as a seat tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    pub written: Term,
    pub version: u32,
    pub work: Work,
    /// How long ago the seat heard of the first push that was meant: at least as long as it can have run.
    pub age: Ticks,
    /// Of the client's time.
    pub left: Ticks,
}

/// To a seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// A new work, if there is none of the name.
    Take {
        term: Term,
        work: Work,
        left: Ticks,
    },
    Write {
        term: Term,
        version: u32,
        work: Work,
        left: Ticks,
    },
    /// A later term; with what is known of it, for a seat that never heard.
    Claim {
        term: Term,
        told: Told,
    },
    /// It took a work that another had; its own is none.
    Drop {
        born: u64,
    },
    Look,
}

/// From a seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// `born`: the same front may have tried before, under the same term.
    Kept {
        born: u64,
        term: Term,
        version: u32,
    },
    Promised {
        term: Term,
        told: Told,
    },
    /// Another work of the name, or a later term, stands.
    Refused {
        promised: Term,
        told: Told,
    },
    Stands {
        promised: Term,
        told: Told,
    },
    Nothing,
    /// It can't keep more.
    Full,
    /// It has lost what it knew, and has no vote yet.
    Abstains,
}
