//! The client's side of a status request to a front: `doorgrade neighbours`.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use doorgrade_members::seal::Keys;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::MAX_DATAGRAM_BYTES;
use super::message::{KIND_MESSAGE, Message, Status, seal_message};
use crate::clock;

/// How often one page is requested before giving up.
const MAX_ATTEMPTS: usize = 5;
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests the status of a front with the operators' keys. Other fronts reach it at `at`, this machine at `through`.
pub async fn status(keys: &Keys, at: SocketAddrV4, through: SocketAddrV4) -> Result<Status, String> {
    let io_error = |e: std::io::Error| format!("{at}: {e}");
    let socket = UdpSocket::bind("0.0.0.0:0").await.map_err(io_error)?;
    // Responses are accepted from that address only, and are sealed for the address that the front sees.
    socket.connect(SocketAddr::V4(through)).await.map_err(io_error)?;
    let SocketAddr::V4(own) = socket.local_addr().map_err(io_error)? else {
        return Err(format!("{at}: expected an IPv4 address"));
    };
    let mut whole: Option<Status> = None;
    let (mut page, mut pages) = (0, 1);
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    while page < pages {
        let mut response = None;
        for _ in 0..MAX_ATTEMPTS {
            let number = (clock::unix() as u32).wrapping_add(u32::from(page));
            let request = seal_message(keys, at, &Message::StatusRequest { number, page })
                .ok_or("there is no key to seal with")?;
            // If no socket is bound there, the next call reports it; a front that is just starting gets the request
            // again.
            let _ = socket.send(&request).await;
            let received = timeout(RESPONSE_TIMEOUT, socket.recv(&mut bytes)).await;
            let Ok(Ok(count)) = received else {
                if received.is_ok() {
                    sleep(RESPONSE_TIMEOUT / 4).await;
                }
                continue;
            };
            let message = keys.open(own, &bytes[..count]).ok().and_then(|payload| match payload {
                [KIND_MESSAGE, encoded @ ..] => postcard::from_bytes(encoded).ok(),
                _ => None,
            });
            if let Some(Message::StatusResponse { number: n, page: p, pages, status }) = message
                && (n, p) == (number, page)
            {
                response = Some((pages, status));
                break;
            }
        }
        let (reported_pages, status) = response.ok_or_else(|| {
            format!("{at}: no answer: is a front with neighbours there, and are these its keys?")
        })?;
        pages = reported_pages;
        match &mut whole {
            None => whole = Some(status),
            Some(whole) => whole.neighbours.extend(status.neighbours),
        }
        page += 1;
    }
    whole.ok_or_else(|| format!("{at}: no answer"))
}
