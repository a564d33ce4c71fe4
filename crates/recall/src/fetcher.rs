//! Fetches what running neighbours remember, after a restart: page by page, from several neighbours at once.
//!
//! The first pages contain what was requested last, so what matters most arrives first. Fronts that restart
//! together start with different neighbours, and each passes on what it has received.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade::hash;

/// Maximum number of pages in flight: from several providers, so that no single one is waited for.
const MAX_PAGES_IN_FLIGHT: usize = 4;
/// A page that has not arrived in this time is requested elsewhere: some round trips on a slow link.
const PAGE_TIMEOUT: Ticks = 3_000;
/// For how long a provider that did not supply a page is not used.
const PROVIDER_BACKOFF: Ticks = 10_000;
/// After this time a front has seen for itself what matters.
const MAX_DURATION: Ticks = 100_000;
/// If there have been providers for this long and none of them has anything, there is nothing to fetch: all
/// fronts started together. Some round trips, and the time to learn of the other members.
const NOTHING_TIMEOUT: Ticks = 20_000;
/// If there has been no provider for this long, there is none.
const NO_PROVIDER_TIMEOUT: Ticks = 50_000;

/// A neighbour that may remember something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Provider {
    pub address: SocketAddrV4,
    /// It sees the same requests as this front will.
    pub same_station: bool,
}

/// A page to be requested from this provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageRequest {
    pub to: SocketAddrV4,
    pub page: u16,
}

/// Fetches the pages that neighbours remember, until all have arrived or nothing more can be had.
pub struct PageFetcher {
    name_hash: u64,
    started_at: Ticks,
    /// When there was a provider last.
    last_provider_at: Ticks,
    /// When there first was a provider.
    first_provider_at: Option<Ticks>,
    /// When it first started: after `MAX_DURATION` and the longest lifetime of an entry, the front has seen
    /// for itself what matters.
    first_started_at: Ticks,
    /// Fetching again, after a fetch that ended without any page.
    restarted: bool,
    /// Those that answered that they have nothing.
    empty_providers: BTreeSet<SocketAddrV4>,
    next_page: u16,
    page_count: Option<u16>,
    /// Pages that were requested but did not arrive.
    to_retry: Vec<u16>,
    /// Requested pages: from which provider, and when each times out.
    in_flight: BTreeMap<u16, (SocketAddrV4, Ticks)>,
    /// When providers that did not supply a page may be used again.
    backoff_until: BTreeMap<SocketAddrV4, Ticks>,
    pub done: bool,
    pub pages_received: u64,
    pub pages_missed: u64,
}

impl PageFetcher {
    pub fn new(name: &str, now: Ticks) -> PageFetcher {
        PageFetcher {
            name_hash: hash::text(name),
            started_at: now,
            last_provider_at: now,
            first_provider_at: None,
            first_started_at: now,
            restarted: false,
            empty_providers: BTreeSet::new(),
            next_page: 0,
            page_count: None,
            to_retry: Vec::new(),
            in_flight: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            done: false,
            pages_received: 0,
            pages_missed: 0,
        }
    }

    /// A neighbour has appeared. A fetch that ended without any page starts again, as long as anything may be
    /// valid that others knew before its start: partitions of a fleet merge, or a station becomes reachable
    /// again.
    pub fn on_new_neighbour(&mut self, now: Ticks, max_lifetime: Ticks) {
        if self.done && self.pages_received == 0 && now < self.first_started_at + max_lifetime {
            (self.done, self.restarted) = (false, true);
            (self.started_at, self.last_provider_at, self.first_provider_at) = (now, now, None);
        }
    }

    /// A front that fetches for the first time has nothing complete to serve, unless it remembers something
    /// from its own snapshot: where all start together, those that still have their disks serve those that
    /// have not.
    pub fn may_serve(&self, remembers: bool) -> bool {
        self.done || self.restarted || remembers
    }

    /// When the next page times out. `poll` is to be called then, when a page has arrived, and whenever the
    /// providers may have changed.
    pub fn next_timeout(&self) -> Option<Ticks> {
        self.in_flight.values().map(|r| r.1).min().filter(|_| !self.done)
    }

    /// Requests further pages from the current providers, as far as the limits allow.
    pub fn poll(&mut self, now: Ticks, providers: &[Provider]) -> Vec<PageRequest> {
        if self.done {
            return Vec::new();
        }
        let timed_out: Vec<u16> =
            self.in_flight.iter().filter(|(_, r)| r.1 <= now).map(|(&page, _)| page).collect();
        for page in timed_out {
            self.retry_page(now, page);
        }
        if !providers.is_empty() {
            self.last_provider_at = now;
            self.first_provider_at.get_or_insert(now);
        }
        let none_has_any = providers.iter().all(|p| self.empty_providers.contains(&p.address))
            && self.first_provider_at.is_some_and(|since| since + NOTHING_TIMEOUT <= now);
        let complete = self.page_count.is_some_and(|pages| self.next_page >= pages)
            && self.to_retry.is_empty()
            && self.in_flight.is_empty();
        self.done = complete
            || now >= self.started_at + MAX_DURATION
            || now >= self.last_provider_at + NO_PROVIDER_TIMEOUT
            || none_has_any && self.page_count.is_none();
        let mut requests = Vec::new();
        while !self.done && self.in_flight.len() < MAX_PAGES_IN_FLIGHT {
            // The number of pages is unknown until one has arrived.
            let more_pages = self.page_count.is_none_or(|pages| self.next_page < pages);
            let first = self.page_count.is_none() && !self.in_flight.is_empty();
            let Some(page) = self.to_retry.pop().or_else(|| (more_pages && !first).then_some(self.next_page))
            else {
                break;
            };
            let Some(to) = self.select_provider(now, providers) else {
                if page != self.next_page {
                    self.to_retry.push(page);
                }
                break;
            };
            self.next_page = self.next_page.max(page + 1);
            self.in_flight.insert(page, (to, now + PAGE_TIMEOUT));
            requests.push(PageRequest { to, page });
        }
        requests
    }

    /// Leaves out providers in backoff. Those that reported that they have nothing come last, those of the same
    /// station first, and those with fewer requests in flight before others. The remaining order is each
    /// front's own, so that fronts that fetch together use different providers.
    fn select_provider(&self, now: Ticks, providers: &[Provider]) -> Option<SocketAddrV4> {
        let available = |p: &&Provider| self.backoff_until.get(&p.address).is_none_or(|&until| until <= now);
        let requested = |p: &Provider| self.in_flight.values().filter(|r| r.0 == p.address).count();
        let own_order = |p: &Provider| hash::unit(self.name_hash, hash::text(&p.address.to_string()));
        let best = providers.iter().filter(available).min_by(|a, b| {
            let rank =
                |p: &Provider| (self.empty_providers.contains(&p.address), !p.same_station, requested(p));
            rank(a).cmp(&rank(b)).then(own_order(a).total_cmp(&own_order(b)))
        });
        best.map(|p| p.address)
    }

    /// A page has arrived; false if it was not requested from this provider.
    pub fn on_page(&mut self, from: SocketAddrV4, page: u16, pages: u16) -> bool {
        let requested = self.in_flight.get(&page).is_some_and(|r| r.0 == from);
        if requested {
            self.in_flight.remove(&page);
            self.empty_providers.remove(&from);
            self.pages_received += 1;
            // Providers may list different numbers of pages: the largest counts. Receiving an entry twice
            // does no harm.
            self.page_count = Some(self.page_count.map_or(pages, |known| known.max(pages)));
        }
        requested
    }

    /// The provider has nothing, or is still fetching itself.
    pub fn on_nothing(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.empty_providers.insert(from);
        self.on_busy(now, from, page);
    }

    /// The provider has too many requests.
    pub fn on_busy(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        if self.in_flight.get(&page).is_some_and(|r| r.0 == from) {
            self.retry_page(now, page);
        }
    }

    fn retry_page(&mut self, now: Ticks, page: u16) {
        if let Some((from, _)) = self.in_flight.remove(&page) {
            self.pages_missed += 1;
            self.backoff_until.insert(from, now + PROVIDER_BACKOFF);
            self.to_retry.push(page);
        }
    }
}
