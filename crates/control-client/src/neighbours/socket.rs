//! The socket to other fronts, with the decisions about who is there.

use std::net::{SocketAddr, SocketAddrV4};

use doorgrade::Ticks;
use doorgrade_members::seal::Keys;
use doorgrade_members::{MemberId, Members, Settings};
use doorgrade_recall::Provider;
use tokio::net::UdpSocket;

use super::Membership;
use super::message::{Message, OF_FRONTS};
use crate::seal_keys::changed;

/// The socket, and who is at the other end.
pub(super) struct Peers {
    pub(super) membership: Membership,
    pub(super) keys: Keys,
    socket: UdpSocket,
    pub(super) members: Members,
}

impl Peers {
    pub(super) fn new(
        membership: Membership,
        socket: std::net::UdpSocket,
        incarnation: u64,
        now: Ticks,
    ) -> std::io::Result<Peers> {
        let socket = UdpSocket::from_std(socket)?;
        let own = &membership.own;
        let (name, station) = (membership.name.as_str().into(), own.station.clone());
        let id = MemberId { name, station, address: own.address, incarnation, renewals: 0 };
        let settings = Settings {
            seeds: own.seeds.clone(),
            expected_members: own.about,
            probe_interval: own.probe_ms * 10,
            max_datagrams_per_second: own.words,
        };
        // Fronts of one seed, as a configuration may give them, are not to do all in step.
        let seed =
            membership.seed ^ doorgrade::hash::text(&format!("{} {}", membership.name, id.incarnation));
        let keys = Keys::new(&membership.secrets);
        Ok(Peers { members: Members::new(id, settings, seed, now), keys, socket, membership })
    }

    /// Lost, or the buffer full: as any datagram may be.
    pub(super) async fn datagram(&self, to: SocketAddrV4, kind: u8, content: &[u8]) {
        if let Some(bytes) = self.keys.seal(to, &[&[kind], content].concat()) {
            let _ = self.socket.send_to(&bytes, SocketAddr::V4(to)).await;
        }
    }

    /// A message between fronts, or to a command.
    pub(super) async fn send(&self, to: SocketAddrV4, message: &Message) {
        if let Ok(content) = postcard::to_stdvec(message) {
            self.datagram(to, OF_FRONTS, &content).await;
        }
    }

    /// Who may have memory: those that are there.
    pub(super) fn givers(&self) -> Vec<Provider> {
        let near = |id: &MemberId| id.station == self.membership.own.station;
        self.members.alive().map(|id| Provider { address: id.address, same_station: near(id) }).collect()
    }

    /// Takes over seal keys that have changed in their file.
    pub(super) fn reload_keys(&mut self) {
        if let Some(new) = changed(&self.membership.seal_keys, &self.membership.secrets) {
            tracing::info!("neighbours: the seal keys were read anew");
            self.keys = Keys::new(&new);
            self.membership.secrets = new;
        }
    }
}

/// A datagram; never where there is no socket.
pub(super) async fn receive(peers: Option<&Peers>, bytes: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
    match peers {
        Some(peers) => peers.socket.recv_from(bytes).await,
        None => std::future::pending().await,
    }
}
