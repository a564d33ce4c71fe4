//! The running exchange with other fronts: drives the datagrams, timers and memory.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use doorgrade::Ticks;
use doorgrade_members::{self as members, Effect, RateLimiter};
use doorgrade_recall::PageResponse;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::message::{Connectivity, KIND_MEMBERSHIP, KIND_MESSAGE, Message, NeighbourStatus, Status};
use super::socket::{Peers, receive};
use super::{MAX_DATAGRAM_BYTES, Membership, RecallHandler};
use crate::Observation;
use crate::clock;
use crate::memory::PersistentMemory;
use crate::seal_keys::RELOAD_INTERVAL;
use crate::worker::StopSignal;

/// Interval between attempts to bind an address that is in use.
const BIND_INTERVAL: Duration = Duration::from_millis(100);
/// Neighbours in one datagram of status: with the longest names they fill it.
const NEIGHBOURS_PER_PAGE: usize = 7;
/// Status pages served per second, to people and their scripts.
const MAX_STATUS_PAGES_PER_SECOND: u32 = 100;

/// The exchange, bound but not running yet.
pub struct Exchange {
    pub(super) membership: Option<Membership>,
    /// None where its address is still in use.
    pub(super) socket: Option<std::net::UdpSocket>,
    pub(super) memory: Option<PersistentMemory>,
    pub(super) observations: mpsc::Receiver<Vec<Observation>>,
    pub(super) on_recalled: RecallHandler,
    pub(super) incarnation: u64,
    /// When it was bound.
    pub(super) now: Ticks,
}

impl Exchange {
    /// Runs until it is stopped, and writes a last snapshot of its memory then.
    pub async fn run(self, stop_signal: StopSignal) {
        let Exchange { membership, socket, memory, observations, on_recalled, incarnation, now } = self;
        let status_limiter = RateLimiter::new(MAX_STATUS_PAGES_PER_SECOND, now);
        let (peers, unbound) = (None, membership);
        let mut running = Running { peers, unbound, memory, on_recalled, incarnation, status_limiter };
        running.join(socket);
        running.run(observations, stop_signal).await;
    }
}

struct Running {
    peers: Option<Peers>,
    /// Present while the address is in use; [`Peers`] are created from it once it is free.
    unbound: Option<Membership>,
    memory: Option<PersistentMemory>,
    on_recalled: RecallHandler,
    incarnation: u64,
    status_limiter: RateLimiter,
}

impl Running {
    /// Joins the membership, if there is a socket.
    fn join(&mut self, socket: Option<std::net::UdpSocket>) {
        let Some(socket) = socket else { return };
        let Some(membership) = self.unbound.take() else { return };
        match Peers::new(membership, socket, self.incarnation, clock::now()) {
            Ok(peers) => self.peers = Some(peers),
            Err(e) => tracing::error!("neighbours: {e}"),
        }
    }

    /// Tries to bind the address again.
    fn retry_bind(&mut self) {
        match self.unbound.as_ref().map(Membership::bind) {
            Some(Ok(socket)) => self.join(socket),
            Some(Err(e)) => {
                tracing::error!("neighbours: {e}");
                self.unbound = None;
            }
            None => {}
        }
    }

    async fn run(&mut self, mut observations: mpsc::Receiver<Vec<Observation>>, mut stop_signal: StopSignal) {
        // One more byte than allowed, so that a longer datagram is noticed and rejected.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut reload = tokio::time::interval(RELOAD_INTERVAL);
        let mut rebind = tokio::time::interval(BIND_INTERVAL);
        loop {
            let now = clock::now();
            let timers = [
                self.peers.as_ref().map(|p| p.members.next_tick_at()),
                self.memory.as_ref().map(PersistentMemory::next_write_at),
                self.memory.as_ref().and_then(PersistentMemory::next_timeout),
            ];
            let timer_at = timers.into_iter().flatten().min().unwrap_or(now + 10_000);
            let wait = Duration::from_micros(timer_at.saturating_sub(now) * 100);
            tokio::select! {
                received = receive(self.peers.as_ref(), &mut bytes) => match received {
                    Ok((count, SocketAddr::V4(from))) => self.on_datagram(from, &bytes[..count]).await,
                    Ok(_) => {}
                    // For example because a datagram found no socket at its address; the failure detector notices that.
                    Err(e) => tracing::debug!("neighbours: {e}"),
                },
                Some(batch) = observations.recv() => self.memory.iter_mut().for_each(|m| m.record(&batch)),
                () = sleep(wait) => {}
                _ = rebind.tick(), if self.unbound.is_some() => self.retry_bind(),
                _ = reload.tick() => self.peers.iter_mut().for_each(Peers::reload_keys),
                _ = &mut stop_signal => {
                    // So that the next start has the latest state.
                    return self.memory.iter_mut().for_each(|m| m.write(clock::now(), self.incarnation));
                }
            }
            self.on_timers().await;
        }
    }

    /// Does whatever is due: membership, snapshots, and requests to neighbours.
    async fn on_timers(&mut self) {
        let now = clock::now();
        if let Some(peers) = self.peers.as_mut().filter(|p| p.members.next_tick_at() <= now) {
            peers.members.tick(now);
        }
        self.perform_effects().await;
        if let Some(memory) = &mut self.memory {
            if memory.next_write_at() <= now {
                memory.write(now, self.incarnation);
            }
            if let Some(peers) = self.peers.as_ref().filter(|_| memory.is_fetching()) {
                for request in memory.poll_fetch(now, &peers.providers()) {
                    peers.send_message(request.to, &Message::RecallRequest { page: request.page }).await;
                }
            }
        }
    }

    async fn on_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let now = clock::now();
        let Some(peers) = &mut self.peers else { return };
        match peers.keys.open(peers.membership.settings.address, bytes) {
            Ok([KIND_MEMBERSHIP, content @ ..]) => peers.members.receive(now, content),
            Ok([KIND_MESSAGE, content @ ..]) => match postcard::from_bytes(content) {
                Ok(message) => self.on_message(from, message).await,
                Err(_) => peers.members.rejected += 1,
            },
            Ok(_) => peers.members.rejected += 1,
            Err(reason) => {
                peers.members.rejected += 1;
                tracing::debug!("neighbours: rejected a datagram from {from}: {reason:?}");
            }
        }
    }

    async fn on_message(&mut self, from: SocketAddrV4, message: Message) {
        let now = clock::now();
        match message {
            Message::StatusRequest { number, page } => self.send_status(from, number, page).await,
            // Only commands request a status, fronts don't.
            Message::StatusResponse { .. } => {}
            Message::RecallRequest { page } => {
                let Some((peers, memory)) = self.peers.as_ref().zip(self.memory.as_mut()) else { return };
                let response = match memory.serve_page(now, from, page) {
                    PageResponse::Page { pages, fills, purges } => {
                        Message::RecallPage { page, pages, fills, purges }
                    }
                    PageResponse::Busy => Message::RecallBusy { page },
                    PageResponse::Nothing => Message::RecallNothing { page },
                };
                peers.send_message(from, &response).await;
            }
            Message::RecallPage { page, pages, fills, purges } => {
                let Some(memory) = &mut self.memory else { return };
                if let Some((fills, purges)) = memory.on_page(from, (page, pages), &fills, &purges) {
                    (self.on_recalled)(fills, purges);
                }
            }
            Message::RecallNothing { page } => {
                self.memory.iter_mut().for_each(|m| m.on_nothing(now, from, page));
            }
            Message::RecallBusy { page } => {
                self.memory.iter_mut().for_each(|m| m.on_busy(now, from, page));
            }
        }
    }

    async fn send_status(&mut self, to: SocketAddrV4, number: u32, page: u16) {
        let now = clock::now();
        let Some(peers) = self.peers.as_ref().filter(|_| self.status_limiter.try_acquire(now)) else {
            return;
        };
        let members = &peers.members;
        let known = members.known_members();
        let pages = known.len().div_ceil(NEIGHBOURS_PER_PAGE).max(1) as u16;
        let neighbours = known
            .into_iter()
            .skip(usize::from(page) * NEIGHBOURS_PER_PAGE)
            .take(NEIGHBOURS_PER_PAGE)
            .map(|member| NeighbourStatus::new(member, now))
            .collect();
        let (datagrams_sent, datagrams_withheld) = members.datagram_counts();
        let connectivity = match members.connectivity() {
            members::Connectivity::Isolated => Connectivity::Isolated,
            members::Connectivity::Unconfirmed => Connectivity::Unconfirmed,
            members::Connectivity::Connected => Connectivity::Connected,
        };
        let (own, datagrams_rejected) = (members.identity().clone(), members.rejected);
        let memory = self.memory.as_ref().map(PersistentMemory::status);
        let status = Status {
            own,
            connectivity,
            datagrams_sent,
            datagrams_withheld,
            datagrams_rejected,
            memory,
            neighbours,
        };
        peers.send_message(to, &Message::StatusResponse { number, page, pages, status }).await;
    }

    async fn perform_effects(&mut self) {
        let now = clock::now();
        let Some(peers) = &mut self.peers else { return };
        for effect in peers.members.take_effects() {
            match effect {
                Effect::Send { to, payload } => peers.send_datagram(to, KIND_MEMBERSHIP, &payload).await,
                Effect::Notify(event) => {
                    tracing::info!("neighbours: {event}");
                    let memory = self.memory.iter_mut();
                    match event {
                        members::Event::Stalled(_) => memory.for_each(|m| m.on_stall(now)),
                        members::Event::MemberUp(_) => memory.for_each(|m| m.on_new_neighbour(now)),
                        _ => {}
                    }
                }
            }
        }
    }
}
