//! Streams over faulty links for many connections at once: tasks on a runtime in place of four threads each. Ways and counts
//! are those of [`Links`]; of a way, `cut`, the delay and jitter are played, and not rates or resets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::{Inner, LOOK, Links, Piece};
use crate::lock;

/// Read at once.
const PIECE: usize = 1 << 14;
/// Pieces on their way in one direction of a connection; more wait at the sender, as in a full pipe.
const ON_THE_WAY: usize = 32;

impl Links {
    /// As [`Links::stream`], on `runtime`: many connections may come to the one address, and are all `from`'s.
    pub fn stream_on(
        &self,
        runtime: &Handle,
        from: &str,
        to: &str,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?;
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let pair = (from.to_owned(), to.to_owned());
        lock(&self.0.state).targets.insert(pair.clone(), real);
        let inner = self.0.clone();
        runtime.spawn(async move {
            while !inner.ended.load(SeqCst) {
                match listener.accept().await {
                    Ok((near, _)) => drop(tokio::spawn(join(inner.clone(), pair.clone(), near))),
                    Err(_) => tokio::time::sleep(LOOK).await,
                }
            }
        });
        Ok(at)
    }
}

async fn join(inner: Arc<Inner>, pair: (String, String), near: TcpStream) {
    let target = lock(&inner.state).targets.get(&pair).copied();
    let Some(target) = target else { return };
    // Nobody there: the connection is ended, as by a host whose program has gone.
    let Ok(far) = TcpStream::connect(target).await else { return };
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return;
    }
    let back = (pair.1.clone(), pair.0.clone());
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    tokio::join!(
        carry(inner.clone(), pair, near_read, far_write),
        carry(inner.clone(), back, far_read, near_write)
    );
}

/// One direction, until it ends.
async fn carry(inner: Arc<Inner>, names: (String, String), from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (send, receive) = mpsc::channel(ON_THE_WAY);
    tokio::join!(take(&inner, &names, from, send), give(&inner, &names, to, receive));
}

/// Reads on as far as the other end keeps up.
async fn take(inner: &Inner, names: &(String, String), mut from: OwnedReadHalf, send: mpsc::Sender<Piece>) {
    let mut bytes = vec![0; PIECE];
    loop {
        let count = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        let late = {
            let state = &mut *lock(&inner.state);
            let way = state.way(&names.0, &names.1);
            let jitter = inner.draw(state, &names.0, &names.1, |rng| rng.u64(0..=way.jitter_ms));
            Duration::from_millis(way.delay_ms + jitter)
        };
        if send.send((Instant::now() + late, bytes[..count].to_vec())).await.is_err() {
            return;
        }
    }
}

/// Delivers what is due; what comes to a cut link waits there. The end of what is read ends what is written.
async fn give(
    inner: &Inner,
    names: &(String, String),
    mut to: OwnedWriteHalf,
    mut receive: mpsc::Receiver<Piece>,
) {
    while let Some((due, bytes)) = receive.recv().await {
        tokio::time::sleep_until(due.into()).await;
        while inner.way(names).cut {
            if inner.ended.load(SeqCst) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
        let mut state = lock(&inner.state);
        state.passed.entry(names.clone()).or_default().bytes += bytes.len();
    }
    // An end waits at a cut link as bytes do.
    while inner.way(names).cut && !inner.ended.load(SeqCst) {
        tokio::time::sleep(LOOK).await;
    }
    let _ = to.shutdown().await;
}
