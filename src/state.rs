//! What the decisions in `control` keep, as plain types.

use arrayvec::ArrayVec;

use crate::control::Front;
use crate::fading::{Fading, Level};
use crate::interface::*;

pub const MOST_PUSHES: usize = 8; // kept for one access: a ninth would seldom be in time

/// What an access does next, left behind by each push: it is handed the push's result.
pub type Next = fn(&mut Front, Ticks, usize, &PushResult, &mut dyn EffectSink);

/// A source, whether it is asked only for what it holds, and which parent takes that over.
pub type Source = (usize, bool, Option<usize>);

pub struct Sent {
    pub to: (usize, usize), // the cache and the source; the cache itself where nothing is to be filled
    pub at: Ticks,
    pub ended: Option<Outcome>,
    pub overdue: bool,
    pub fill: bool,   // expected to need a fill over the zone's link in
    pub counts: bool, // among what is out
    pub source_failed: bool,
    pub kept: bool, // the source was asked only for what it holds
    pub next: Next,
}

pub struct Held {
    pub access: Access,
    pub work: f64,
    pub soft_at: Ticks,
    pub keen: f64, // how much of a limit it may use: more, the more benefit it brings for its work
    pub draw: f64, // which part of the accesses it is of, where only a part may do something
    pub lacks: bool,
    pub rank: u8,
    pub renew: bool,
    pub sent: ArrayVec<Sent, MOST_PUSHES>,
    pub looked: bool,
    pub kept: bool,
    pub held: bool, // an old home is asked for what it holds
    pub done: bool,
}

pub struct Fill {
    pub at: Ticks,
    pub seen: Ticks,
}

pub struct Class {
    pub of: Offering,
    pub mean: f64,
    /// Stretches the time after which a push is overdue, so that a twentieth are in ordinary times.
    pub patience: f64,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

#[derive(Default)]
pub struct Peer {
    pub id: Box<str>,
    pub hash: u64,
    pub role: Role,
    pub zone: usize,
    pub cell: u64,
    pub weight: f64,
    pub gone: bool,
    pub started: Option<Ticks>,
    pub bad: f64, // share of the pushes naming it that went wrong or grew overdue, lately
    pub held_until: Ticks,
    pub held_for: Ticks,
    pub trial: u32, // good answers it still owes after it was left alone
    pub out: Level,
    pub answered: Ticks,
    pub hush: u32, // pushes that grew overdue since the last answer; the most where it can't be reached
    pub limit: f64,
    pub carries: Fading,
    pub spent: Fading,
}
