//! The Unix socket for commands. Peers are authenticated by the user id that the kernel reports.

use std::path::Path;
use std::sync::Arc;

use doorgrade_stream::wire::{ConnectionError, Reader, Writer};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::core::{Event, MAX_QUEUED_LOG_EVENTS};
use crate::protocol::{MAX_MESSAGE_BYTES, Request, Response};

/// Concurrent connections: people and their scripts.
const MAX_CONNECTIONS: usize = 128;

/// What a user may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Viewer,
    Operator,
}

/// The role of a user: the agent's own user and root may give orders, viewers may read, others may not connect.
pub fn role(user: u32, own: u32, viewers: &[u32]) -> Option<Role> {
    match user {
        0 => Some(Role::Operator),
        user if user == own => Some(Role::Operator),
        user => viewers.contains(&user).then_some(Role::Viewer),
    }
}

/// Binds the socket, after removing the file of a socket that an earlier agent left behind.
pub fn bind(path: &Path) -> std::io::Result<UnixListener> {
    match UnixListener::bind(path) {
        Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
            // This agent holds the lock of the journal, so no other agent uses the socket.
            std::fs::remove_file(path)?;
            UnixListener::bind(path)
        }
        bound => bound,
    }
}

/// Accepts connections until the task is aborted.
pub async fn serve(listener: UnixListener, events: mpsc::Sender<Event>, viewers: Vec<u32>) {
    let (permits, viewers) = (Arc::new(Semaphore::new(MAX_CONNECTIONS)), Arc::new(viewers));
    let own = rustix::process::getuid().as_raw();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let (events, viewers) = (events.clone(), viewers.clone());
        tokio::spawn(async move {
            let user = stream.peer_cred().map(|peer| peer.uid());
            let role = user.ok().and_then(|user| role(user, own, &viewers));
            match role {
                Some(role) => serve_connection(stream, &events, role).await,
                None => tracing::warn!("rejected a command of a user without a role"),
            }
            drop(permit);
        });
    }
}

async fn serve_connection(stream: UnixStream, events: &mpsc::Sender<Event>, role: Role) {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (Reader::new(reader, None, MAX_MESSAGE_BYTES), Writer::new(writer));
    let (watcher, mut log_events) = mpsc::channel(MAX_QUEUED_LOG_EVENTS);
    let mut watcher = Some(watcher);
    loop {
        tokio::select! {
            event = log_events.recv() => {
                let Some(event) = event else { return };
                let event: Arc<doorgrade_fleet::LogEvent> = event;
                if writer.write(&Response::LogEvent((*event).clone())).await.is_err() {
                    return;
                }
            }
            read = reader.read::<Request>() => {
                let request = match read {
                    Ok(request) => request,
                    Err(ConnectionError::Closed) => return,
                    Err(ended) => return tracing::debug!("the connection of a command ended: {ended}"),
                };
                let watches = matches!(request, Request::Watch);
                let response = if role == Role::Viewer && matches!(request, Request::Order(_)) {
                    Response::Forbidden
                } else {
                    let (sender, receiver) = oneshot::channel();
                    if events.send(Event::Request { request, response: sender }).await.is_err() {
                        return;
                    }
                    let Ok(response) = receiver.await else { return };
                    response
                };
                if writer.write(&response).await.is_err() {
                    return;
                }
                if let Some(watcher) = watcher.take_if(|_| watches)
                    && events.send(Event::Watch(watcher)).await.is_err()
                {
                    return;
                }
            }
        }
    }
}
