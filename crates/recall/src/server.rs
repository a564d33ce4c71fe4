//! Serves what a running front remembers to those that have restarted, at a limited rate over all of them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;

use crate::{Fill, Memory, Purge};

/// Fills on one page; together with the purges, and with the longest numbers, they fill a datagram.
pub const FILLS_PER_PAGE: usize = 30;
const PURGES_PER_PAGE: usize = 8;
/// Maximum number of fronts served at one time. If few are served at a time, the first of them soon have
/// everything and can serve others; if all were, they would all be done at the end only, or too late.
const MAX_RECIPIENTS: usize = 4;
/// A recipient that has requested nothing in this time has all pages, or is gone.
const RECIPIENT_IDLE_TIMEOUT: Ticks = 5_000;
/// For how long one listing of the memory serves all requests: the pages keep their order for as long as a
/// recipient needs.
const LISTING_MAX_AGE: Ticks = 10_000;

/// The answer to a request for a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageResponse {
    Page {
        pages: u16,
        fills: Vec<Fill>,
        purges: Vec<Purge>,
    },
    /// Too many requests: another front may serve the page.
    Busy,
    /// There is no such page.
    Nothing,
}

/// Serves pages of the memory; a token bucket limits the rate.
pub struct PageServer {
    pages_per_second: f64,
    tokens: f64,
    refilled_at: Ticks,
    /// The fronts that are being served, and when each was last.
    recipients: BTreeMap<SocketAddrV4, Ticks>,
    /// When the listing was made, and what it contains.
    listing: (Ticks, Vec<Fill>, Vec<Purge>),
    pub pages_served: u64,
    pub pages_rejected: u64,
}

impl PageServer {
    pub fn new(pages_per_second: u32, now: Ticks) -> PageServer {
        let pages_per_second = f64::from(pages_per_second);
        let listing = (0, Vec::new(), Vec::new());
        PageServer {
            pages_per_second,
            tokens: pages_per_second,
            refilled_at: now,
            recipients: BTreeMap::new(),
            listing,
            pages_served: 0,
            pages_rejected: 0,
        }
    }

    /// Not to be called while this front still fetches for itself: it has nothing complete to serve. Serves
    /// the entries that are valid at `unix`, the clock that fronts share; `now` is monotonic.
    pub fn serve(
        &mut self,
        now: Ticks,
        unix: Ticks,
        to: SocketAddrV4,
        memory: &Memory,
        page: u16,
    ) -> PageResponse {
        let refill = now.saturating_sub(self.refilled_at) as f64 / 10_000.0 * self.pages_per_second;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(self.pages_per_second), now);
        self.recipients.retain(|_, at| *at + RECIPIENT_IDLE_TIMEOUT > now);
        let admitted = self.recipients.contains_key(&to) || self.recipients.len() < MAX_RECIPIENTS;
        if self.tokens < 1.0 || !admitted {
            self.pages_rejected += 1;
            return PageResponse::Busy;
        }
        if self.listing.0 + LISTING_MAX_AGE < now || now < self.listing.0 {
            let (fills, purges) = memory.valid(unix);
            self.listing = (now, fills, purges);
        }
        let (_, fills, purges) = &self.listing;
        let pages = fills.len().div_ceil(FILLS_PER_PAGE).max(purges.len().div_ceil(PURGES_PER_PAGE));
        if usize::from(page) >= pages {
            return PageResponse::Nothing;
        }
        self.recipients.insert(to, now);
        self.tokens -= 1.0;
        self.pages_served += 1;
        let range = |len: usize, each: usize| {
            let at = usize::from(page) * each;
            at.min(len)..(at + each).min(len)
        };
        PageResponse::Page {
            pages: pages.min(usize::from(u16::MAX)) as u16,
            fills: fills[range(fills.len(), FILLS_PER_PAGE)].to_vec(),
            purges: purges[range(purges.len(), PURGES_PER_PAGE)].to_vec(),
        }
    }
}
