//! A TCP relay for each region that delays its connections' bytes by the region's round trip. `standins::links` takes four
//! threads for each connection, which is too many for a thousand connections; here a connection is a few tasks.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Regions of the target, and the shortest and the longest of their round trips to the service.
pub const REGIONS: usize = 12;
const ROUND_TRIPS_MS: [f64; 2] = [10.0, 150.0];
/// Chunks in flight in one direction. With more, the sender is blocked, as by a full TCP window.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Bytes of each connection so far, in both directions.
pub type ByteCounters = Arc<Mutex<Vec<Arc<AtomicU64>>>>;

/// Half of a region's round trip.
pub fn one_way_delay(region: usize) -> Duration {
    let step = (ROUND_TRIPS_MS[1] - ROUND_TRIPS_MS[0]) / (REGIONS - 1) as f64;
    Duration::from_secs_f64((ROUND_TRIPS_MS[0] + step * region as f64) / 2e3)
}

/// Starts a relay and returns the address at which a region's fronts reach the service. The relay ends with the runtime.
pub async fn relay(to: SocketAddr, delay: Duration, counters: ByteCounters) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let counters = counters.clone();
            tokio::spawn(async move {
                // The handshake takes one delay in each direction.
                sleep_until(Instant::now() + 2 * delay).await;
                let Ok(far) = TcpStream::connect(to).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let counter = Arc::new(AtomicU64::new(0));
                counters.lock().unwrap_or_else(PoisonError::into_inner).push(counter.clone());
                let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
                tokio::spawn(forward(near_read, far_write, delay, counter.clone()));
                tokio::spawn(forward(far_read, near_write, delay, counter));
            });
        }
    });
    Ok(address)
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration, counter: Arc<AtomicU64>) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    tokio::spawn(async move {
        while let Some((deliver_at, bytes)) = receiver.recv().await {
            sleep_until(deliver_at).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    });
    let mut bytes = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        counter.fetch_add(count as u64, Ordering::Relaxed);
        if sender.send((Instant::now() + delay, bytes[..count].to_vec())).await.is_err() {
            return;
        }
    }
}
