//! The socket to other fronts, together with the membership state machine.

use std::net::{SocketAddr, SocketAddrV4};

use doorgrade::Ticks;
use doorgrade_members::seal::Keys;
use doorgrade_members::{MemberId, Members, Settings};
use doorgrade_recall::Provider;
use tokio::net::UdpSocket;

use super::Membership;
use super::message::{KIND_MESSAGE, Message};
use crate::seal_keys::changed_keys;

/// The bound socket, and the members that are reached through it.
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
        let settings = &membership.settings;
        let (name, station) = (membership.name.as_str().into(), settings.station.clone());
        let id = MemberId { name, station, address: settings.address, incarnation, renewals: 0 };
        let member_settings = Settings {
            seeds: settings.seeds.clone(),
            expected_members: settings.expected_fronts,
            probe_interval: settings.probe_ms * 10,
            max_datagrams_per_second: settings.max_datagrams_per_s,
        };
        // Fronts may be configured with the same seed; without their names in it, they would act in lockstep.
        let seed =
            membership.seed ^ doorgrade::hash::text(&format!("{} {}", membership.name, id.incarnation));
        let keys = Keys::new(&membership.secrets);
        Ok(Peers { members: Members::new(id, member_settings, seed, now), keys, socket, membership })
    }

    /// Seals and sends a payload. An error, as of a full buffer, is ignored: any datagram may be lost.
    pub(super) async fn send_datagram(&self, to: SocketAddrV4, kind: u8, content: &[u8]) {
        if let Some(bytes) = self.keys.seal(to, &[&[kind], content].concat()) {
            let _ = self.socket.send_to(&bytes, SocketAddr::V4(to)).await;
        }
    }

    /// Sends a message to a front or a command.
    pub(super) async fn send_message(&self, to: SocketAddrV4, message: &Message) {
        if let Ok(content) = postcard::to_stdvec(message) {
            self.send_datagram(to, KIND_MESSAGE, &content).await;
        }
    }

    /// The members that are up, which may serve what they remember.
    pub(super) fn providers(&self) -> Vec<Provider> {
        let same_station = |id: &MemberId| id.station == self.membership.settings.station;
        self.members
            .alive()
            .map(|id| Provider { address: id.address, same_station: same_station(id) })
            .collect()
    }

    /// Uses the seal keys from their file if they have changed.
    pub(super) fn reload_keys(&mut self) {
        if let Some(new) = changed_keys(&self.membership.seal_keys, &self.membership.secrets) {
            tracing::info!("neighbours: reloaded the seal keys");
            self.keys = Keys::new(&new);
            self.membership.secrets = new;
        }
    }
}

/// Receives a datagram; never resolves without a socket.
pub(super) async fn receive(peers: Option<&Peers>, bytes: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
    match peers {
        Some(peers) => peers.socket.recv_from(bytes).await,
        None => std::future::pending().await,
    }
}
