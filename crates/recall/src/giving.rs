//! A front that lived gives what it remembers to those that come back: so much a second, whoever asks.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;

use crate::{Fill, Memory, Purge};

/// Parts and purges on one page: with the longest numbers they fill a datagram.
pub const PAGE: usize = 30;
const PURGES: usize = 8;
/// Who is given to at once. Served one after the other, the first have all soon and give it on; served all at once, all
/// would have it at the end, or too late.
const TAKERS: usize = 4;
/// A taker that has asked for nothing in this time has all, or is gone.
const IDLE: Ticks = 5_000;
/// How long one picture of the memory serves all who ask: pages are of one order for as long as a taker needs.
const PICTURE: Ticks = 10_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gave {
    Page {
        pages: u16,
        fills: Vec<Fill>,
        purges: Vec<Purge>,
    },
    /// Too much is asked: another may have it.
    Busy,
    /// It has no such page.
    Nothing,
}

pub struct Giving {
    a_second: f64,
    left: f64,
    at: Ticks,
    takers: BTreeMap<SocketAddrV4, Ticks>,
    picture: (Ticks, Vec<Fill>, Vec<Purge>),
    pub given: u64,
    pub refused: u64,
}

impl Giving {
    pub fn new(pages_a_second: u32, now: Ticks) -> Giving {
        let a_second = f64::from(pages_a_second);
        let picture = (0, Vec::new(), Vec::new());
        Giving { a_second, left: a_second, at: now, takers: BTreeMap::new(), picture, given: 0, refused: 0 }
    }

    /// Whoever is still asking itself has nothing whole to give: it is not to be called. Of the memory it gives what holds
    /// at `unix`, by the clock that others have as well; `now` never goes back.
    pub fn page(&mut self, now: Ticks, unix: Ticks, to: SocketAddrV4, memory: &Memory, page: u16) -> Gave {
        let come = now.saturating_sub(self.at) as f64 / 10_000.0 * self.a_second;
        (self.left, self.at) = ((self.left + come).min(self.a_second), now);
        self.takers.retain(|_, at| *at + IDLE > now);
        let admitted = self.takers.contains_key(&to) || self.takers.len() < TAKERS;
        if self.left < 1.0 || !admitted {
            self.refused += 1;
            return Gave::Busy;
        }
        if self.picture.0 + PICTURE < now || now < self.picture.0 {
            let (fills, purges) = memory.all(unix);
            self.picture = (now, fills, purges);
        }
        let (_, fills, purges) = &self.picture;
        let pages = fills.len().div_ceil(PAGE).max(purges.len().div_ceil(PURGES));
        if usize::from(page) >= pages {
            return Gave::Nothing;
        }
        self.takers.insert(to, now);
        self.left -= 1.0;
        self.given += 1;
        let of = |len: usize, each: usize| {
            let at = usize::from(page) * each;
            at.min(len)..(at + each).min(len)
        };
        Gave::Page {
            pages: pages.min(usize::from(u16::MAX)) as u16,
            fills: fills[of(fills.len(), PAGE)].to_vec(),
            purges: purges[of(purges.len(), PURGES)].to_vec(),
        }
    }
}
