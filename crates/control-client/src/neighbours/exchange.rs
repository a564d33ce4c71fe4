//! The exchange with other fronts while it runs: datagrams in and out, what is due, and what is remembered.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use doorgrade::Ticks;
use doorgrade_members::{self as members, Effect, RateLimiter};
use doorgrade_recall::PageResponse;
use tokio::sync::mpsc as queue;
use tokio::time::sleep;

use super::message::{Message, OF_FRONTS, OF_MEMBERS, Row, Standing, Status};
use super::socket::{Peers, receive};
use super::{MOST_DATAGRAM, Membership, Recalled};
use crate::Learned;
use crate::clock;
use crate::memory::Remember;
use crate::seal_keys::RELOAD_EACH;
use crate::worker::Stopped;

/// How often an address that is in use is tried again.
const BIND_EACH: Duration = Duration::from_millis(100);
/// Rows of a status in one datagram: with the longest names they fill it.
const ROWS: usize = 7;
/// Pages of status in a second at the most: people and their scripts.
const MOST_PAGES: u32 = 100;

/// Bound, and not running yet.
pub struct Exchange {
    pub(super) membership: Option<Membership>,
    /// None where its address is still in use.
    pub(super) socket: Option<std::net::UdpSocket>,
    pub(super) remember: Option<Remember>,
    pub(super) to_remember: queue::Receiver<Vec<Learned>>,
    pub(super) recalled: Recalled,
    pub(super) incarnation: u64,
    /// When it was bound.
    pub(super) now: Ticks,
}

impl Exchange {
    /// Until it is stopped; the snapshot of what is remembered is written last.
    pub async fn run(self, stopped: Stopped) {
        let Exchange { membership, socket, remember, to_remember, recalled, incarnation, now } = self;
        let pages = RateLimiter::new(MOST_PAGES, now);
        let (peers, unbound) = (None, membership);
        let mut running = Running { peers, unbound, remember, recalled, incarnation, pages };
        running.begin(socket);
        running.run(to_remember, stopped).await;
    }
}

struct Running {
    peers: Option<Peers>,
    /// What it needs to speak to others, while its address is in use.
    unbound: Option<Membership>,
    remember: Option<Remember>,
    recalled: Recalled,
    incarnation: u64,
    /// Pages of status.
    pages: RateLimiter,
}

impl Running {
    /// Speaks to others from now on, if there is a socket.
    fn begin(&mut self, socket: Option<std::net::UdpSocket>) {
        let Some(socket) = socket else { return };
        let Some(membership) = self.unbound.take() else { return };
        match Peers::new(membership, socket, self.incarnation, clock::now()) {
            Ok(peers) => self.peers = Some(peers),
            Err(e) => tracing::error!("neighbours: {e}"),
        }
    }

    /// Tries its address again.
    fn bind(&mut self) {
        match self.unbound.as_ref().map(Membership::bind) {
            Some(Ok(socket)) => self.begin(socket),
            Some(Err(e)) => {
                tracing::error!("neighbours: {e}");
                self.unbound = None;
            }
            None => {}
        }
    }

    async fn run(&mut self, mut learned: queue::Receiver<Vec<Learned>>, mut stopped: Stopped) {
        // One byte more than may come: what is longer is none of ours.
        let mut bytes = [0; MOST_DATAGRAM + 1];
        let mut reload = tokio::time::interval(RELOAD_EACH);
        let mut again = tokio::time::interval(BIND_EACH);
        loop {
            let now = clock::now();
            let dues = [
                self.peers.as_ref().map(|p| p.members.next_tick_at()),
                self.remember.as_ref().map(Remember::due),
                self.remember.as_ref().and_then(Remember::late),
            ];
            let due = dues.into_iter().flatten().min().unwrap_or(now + 10_000);
            let wait = Duration::from_micros(due.saturating_sub(now) * 100);
            tokio::select! {
                received = receive(self.peers.as_ref(), &mut bytes) => match received {
                    Ok((count, SocketAddr::V4(from))) => self.hear(from, &bytes[..count]).await,
                    Ok(_) => {}
                    // Word that a datagram of ours found nobody; detection sees that by itself.
                    Err(e) => tracing::debug!("neighbours: {e}"),
                },
                Some(seen) = learned.recv() => self.remember.iter_mut().for_each(|r| r.saw(&seen)),
                () = sleep(wait) => {}
                _ = again.tick(), if self.unbound.is_some() => self.bind(),
                _ = reload.tick() => self.peers.iter_mut().for_each(Peers::reload_keys),
                _ = &mut stopped => {
                    // What it knows now is worth most to the start that follows.
                    return self.remember.iter_mut().for_each(|r| r.write(clock::now(), self.incarnation));
                }
            }
            self.tick().await;
        }
    }

    /// Whatever is due.
    async fn tick(&mut self) {
        let now = clock::now();
        if let Some(peers) = self.peers.as_mut().filter(|p| p.members.next_tick_at() <= now) {
            peers.members.tick(now);
        }
        self.perform().await;
        if let Some(remember) = &mut self.remember {
            if remember.due() <= now {
                remember.write(now, self.incarnation);
            }
            if let Some(peers) = self.peers.as_ref().filter(|_| remember.asks()) {
                for asked in remember.step(now, &peers.givers()) {
                    peers.send(asked.to, &Message::Recall { page: asked.page }).await;
                }
            }
        }
    }

    async fn hear(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let now = clock::now();
        let Some(peers) = &mut self.peers else { return };
        match peers.keys.open(peers.membership.own.address, bytes) {
            Ok([OF_MEMBERS, content @ ..]) => peers.members.receive(now, content),
            Ok([OF_FRONTS, content @ ..]) => match postcard::from_bytes(content) {
                Ok(message) => self.message(from, message).await,
                Err(_) => peers.members.rejected += 1,
            },
            Ok(_) => peers.members.rejected += 1,
            Err(why) => {
                peers.members.rejected += 1;
                tracing::debug!("neighbours: a datagram from {from} is refused: {why:?}");
            }
        }
    }

    async fn message(&mut self, from: SocketAddrV4, message: Message) {
        let now = clock::now();
        match message {
            Message::Ask { number, page } => self.answer(from, number, page).await,
            // Whoever asked is a command, and no front.
            Message::Answer { .. } => {}
            Message::Recall { page } => {
                let Some((peers, remember)) = self.peers.as_ref().zip(self.remember.as_mut()) else { return };
                let answer = match remember.page(now, from, page) {
                    PageResponse::Page { pages, fills, purges } => {
                        Message::Page { page, pages, fills, purges }
                    }
                    PageResponse::Busy => Message::Busy { page },
                    PageResponse::Nothing => Message::Nothing { page },
                };
                peers.send(from, &answer).await;
            }
            Message::Page { page, pages, fills, purges } => {
                let Some(remember) = &mut self.remember else { return };
                if let Some((fills, purges)) = remember.given(from, (page, pages), &fills, &purges) {
                    (self.recalled)(fills, purges);
                }
            }
            Message::Nothing { page } => {
                self.remember.iter_mut().for_each(|r| r.nothing(now, from, page));
            }
            Message::Busy { page } => self.remember.iter_mut().for_each(|r| r.busy(now, from, page)),
        }
    }

    async fn answer(&mut self, to: SocketAddrV4, number: u32, page: u16) {
        let now = clock::now();
        let Some(peers) = self.peers.as_ref().filter(|_| self.pages.try_acquire(now)) else { return };
        let members = &peers.members;
        let seen = members.known_members();
        let pages = seen.len().div_ceil(ROWS).max(1) as u16;
        let rows =
            seen.into_iter().skip(usize::from(page) * ROWS).take(ROWS).map(|s| Row::of(s, now)).collect();
        let (said, kept) = members.datagram_counts();
        let standing = match members.connectivity() {
            members::Connectivity::Isolated => Standing::Alone,
            members::Connectivity::Unconfirmed => Standing::Doubts,
            members::Connectivity::Connected => Standing::Among,
        };
        let (own, refused) = (members.identity().clone(), members.rejected);
        let memory = self.remember.as_ref().map(Remember::tells);
        let status = Status { own, standing, said, kept, refused, memory, rows };
        peers.send(to, &Message::Answer { number, page, pages, status }).await;
    }

    async fn perform(&mut self) {
        let now = clock::now();
        let Some(peers) = &mut self.peers else { return };
        for done in peers.members.take_effects() {
            match done {
                Effect::Send { to, payload } => peers.datagram(to, OF_MEMBERS, &payload).await,
                Effect::Notify(event) => {
                    tracing::info!("neighbours: {event}");
                    let remember = self.remember.iter_mut();
                    match event {
                        members::Event::Stalled(_) => remember.for_each(|r| r.slept(now)),
                        members::Event::MemberUp(_) => remember.for_each(|r| r.met(now)),
                        _ => {}
                    }
                }
            }
        }
    }
}
