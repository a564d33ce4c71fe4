//! A TCP proxy with network faults for many connections at once: two tasks per connection on a Tokio runtime, in place
//! of four threads. It shares the conditions and traffic counts of [`Links`], and applies `cut`, the delay and jitter,
//! but not bandwidth or resets.

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

use super::{Chunk, Inner, Links, POLL, Pair};
use crate::lock;

/// The most bytes that are read at once.
const CHUNK_BYTES: usize = 1 << 14;
/// Chunks in transit in one direction of a connection; with more, the sender is blocked as by a full TCP window.
const MAX_CHUNKS_IN_TRANSIT: usize = 32;

impl Links {
    /// As [`Links::tcp_proxy`], on `runtime`. All connections to the returned address count as connections of `from`.
    pub fn tcp_proxy_on(
        &self,
        runtime: &Handle,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let pair = (from.to_owned(), to.to_owned());
        lock(&self.0.state).tcp_targets.insert(pair.clone(), target);
        let inner = self.0.clone();
        runtime.spawn(async move {
            while !inner.ended.load(SeqCst) {
                match listener.accept().await {
                    Ok((near, _)) => drop(tokio::spawn(proxy_connection(inner.clone(), pair.clone(), near))),
                    Err(_) => tokio::time::sleep(POLL).await,
                }
            }
        });
        Ok(address)
    }
}

async fn proxy_connection(inner: Arc<Inner>, pair: Pair, near: TcpStream) {
    let target = lock(&inner.state).tcp_targets.get(&pair).copied();
    let Some(target) = target else { return };
    // If the target does not accept connections, this one is closed.
    let Ok(far) = TcpStream::connect(target).await else { return };
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return;
    }
    let reverse = (pair.1.clone(), pair.0.clone());
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    tokio::join!(
        forward(inner.clone(), pair, near_read, far_write),
        forward(inner.clone(), reverse, far_read, near_write)
    );
}

/// Forwards one direction until it ends.
async fn forward(inner: Arc<Inner>, pair: Pair, from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (send, receive) = mpsc::channel(MAX_CHUNKS_IN_TRANSIT);
    tokio::join!(read_chunks(&inner, &pair, from, send), write_chunks(&inner, &pair, to, receive));
}

/// Reads as long as the channel to the writer has room.
async fn read_chunks(inner: &Inner, pair: &Pair, mut from: OwnedReadHalf, out: mpsc::Sender<Chunk>) {
    let mut bytes = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        let delay = {
            let state = &mut *lock(&inner.state);
            let conditions = state.conditions(&pair.0, &pair.1);
            let jitter_ms = inner.draw(state, &pair.0, &pair.1, |rng| rng.u64(0..=conditions.jitter_ms));
            Duration::from_millis(conditions.delay_ms + jitter_ms)
        };
        if out.send((Instant::now() + delay, bytes[..count].to_vec())).await.is_err() {
            return;
        }
    }
}

/// Writes each chunk when it is due. While the link is cut, chunks and the end of the stream wait.
async fn write_chunks(inner: &Inner, pair: &Pair, mut to: OwnedWriteHalf, mut chunks: mpsc::Receiver<Chunk>) {
    while let Some((deliver_at, bytes)) = chunks.recv().await {
        tokio::time::sleep_until(deliver_at.into()).await;
        while inner.conditions(pair).cut {
            if inner.ended.load(SeqCst) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
        let mut state = lock(&inner.state);
        state.traffic.entry(pair.clone()).or_default().bytes += bytes.len();
    }
    while inner.conditions(pair).cut && !inner.ended.load(SeqCst) {
        tokio::time::sleep(POLL).await;
    }
    let _ = to.shutdown().await;
}
