//! How a front stands among others, asked by a command: `doorgrade neighbours`.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use doorgrade_members::seal::Keys;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::MOST_DATAGRAM;
use super::message::{Message, OF_FRONTS, Status, sealed};
use crate::clock;

/// How often one page is asked for before it is given up.
const TRIES: usize = 5;
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

/// Asks a front how it stands, with the operators' keys: one that others reach at `at`, and this machine at `through`.
pub async fn status(keys: &Keys, at: SocketAddrV4, through: SocketAddrV4) -> Result<Status, String> {
    let fault = |e: std::io::Error| format!("{at}: {e}");
    let socket = UdpSocket::bind("0.0.0.0:0").await.map_err(fault)?;
    // Answers come from there alone, and are sealed for the address that is seen from there.
    socket.connect(SocketAddr::V4(through)).await.map_err(fault)?;
    let SocketAddr::V4(own) = socket.local_addr().map_err(fault)? else {
        return Err(format!("{at}: expected an IPv4 address"));
    };
    let mut whole: Option<Status> = None;
    let (mut page, mut pages) = (0, 1);
    let mut bytes = [0; MOST_DATAGRAM + 1];
    while page < pages {
        let mut answer = None;
        for _ in 0..TRIES {
            let number = (clock::unix() as u32).wrapping_add(u32::from(page));
            let ask = sealed(keys, at, &Message::Ask { number, page }).ok_or("no key seals")?;
            // Nobody there shows at the next call; a front that is just starting is asked again.
            let _ = socket.send(&ask).await;
            let came = timeout(ANSWER_WITHIN, socket.recv(&mut bytes)).await;
            let Ok(Ok(count)) = came else {
                if came.is_ok() {
                    sleep(ANSWER_WITHIN / 4).await;
                }
                continue;
            };
            let message = keys.open(own, &bytes[..count]).ok().and_then(|said| match said {
                [OF_FRONTS, said @ ..] => postcard::from_bytes(said).ok(),
                _ => None,
            });
            if let Some(Message::Answer { number: n, page: p, pages, status }) = message
                && (n, p) == (number, page)
            {
                answer = Some((pages, status));
                break;
            }
        }
        let (of, status) = answer.ok_or_else(|| {
            format!("{at}: no answer: is a front with neighbours there, and are these its keys?")
        })?;
        pages = of;
        match &mut whole {
            None => whole = Some(status),
            Some(whole) => whole.rows.extend(status.rows),
        }
        page += 1;
    }
    whole.ok_or_else(|| format!("{at}: no answer"))
}
