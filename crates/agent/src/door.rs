//! The socket where commands come. Who is at the other end is told by the kernel.

use std::path::Path;
use std::sync::Arc;

use doorgrade_stream::wire::{ConnectionError, Reader, Writer};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::ask::{Answer, Ask, MOST_MESSAGE};
use crate::core::{Event, MOST_LINES};

/// Commands at once: people and their scripts.
const MOST_COMMANDS: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Viewer,
    Operator,
}

/// The agent's own user and root give orders, users that are named look, nobody else is heard.
pub fn role(user: u32, own: u32, viewers: &[u32]) -> Option<Role> {
    match user {
        0 => Some(Role::Operator),
        user if user == own => Some(Role::Operator),
        user => viewers.contains(&user).then_some(Role::Viewer),
    }
}

/// Binds the socket; one left by an agent that is no more is taken away first.
pub fn bind(path: &Path) -> std::io::Result<UnixListener> {
    match UnixListener::bind(path) {
        Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
            // The journal's lock says that there is no other agent: whoever made it is gone.
            std::fs::remove_file(path)?;
            UnixListener::bind(path)
        }
        bound => bound,
    }
}

pub async fn serve(listener: UnixListener, events: mpsc::Sender<Event>, viewers: Vec<u32>) {
    let (places, viewers) = (Arc::new(Semaphore::new(MOST_COMMANDS)), Arc::new(viewers));
    let own = rustix::process::getuid().as_raw();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let (events, viewers) = (events.clone(), viewers.clone());
        tokio::spawn(async move {
            let user = stream.peer_cred().map(|peer| peer.uid());
            let role = user.ok().and_then(|user| role(user, own, &viewers));
            match role {
                Some(role) => answer(stream, &events, role).await,
                None => tracing::warn!("a user without a role is at the socket: not heard"),
            }
            drop(place);
        });
    }
}

async fn answer(stream: UnixStream, events: &mpsc::Sender<Event>, role: Role) {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(reader, None, MOST_MESSAGE), Writer::new(writer));
    let (to, mut lines) = mpsc::channel(MOST_LINES);
    let mut to = Some(to);
    loop {
        tokio::select! {
            line = lines.recv() => {
                let Some(line) = line else { return };
                let line: Arc<doorgrade_fleet::LogEvent> = line;
                if writer.write(&Answer::Line((*line).clone())).await.is_err() {
                    return;
                }
            }
            read = reader.read::<Ask>() => {
                let ask = match read {
                    Ok(ask) => ask,
                    Err(ConnectionError::Closed) => return,
                    Err(ended) => return tracing::debug!("a command: {ended}"),
                };
                let watches = matches!(ask, Ask::Watch);
                let answer = if role == Role::Viewer && matches!(ask, Ask::Order(_)) {
                    Answer::OnlyLooks
                } else {
                    let (answer, came) = oneshot::channel();
                    if events.send(Event::Asked { ask, answer }).await.is_err() {
                        return;
                    }
                    let Ok(came) = came.await else { return };
                    came
                };
                if writer.write(&answer).await.is_err() {
                    return;
                }
                if let Some(to) = to.take_if(|_| watches)
                    && events.send(Event::Watch(to)).await.is_err()
                {
                    return;
                }
            }
        }
    }
}
