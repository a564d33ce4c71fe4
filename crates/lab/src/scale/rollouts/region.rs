//! Round trips of regions: one relay for each, through which its fronts reach the service. Of `standins::links`, which has
//! four threads a connection, a thousand connections would take four thousand; here a connection is two tasks.

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

/// Regions of the target, and the round trips of the nearest and the farthest.
pub const REGIONS: usize = 12;
const ROUND_TRIPS_MS: [f64; 2] = [10.0, 150.0];
/// Pieces on their way in one direction; more, and the sender waits as it would for a window.
const MOST_ON_THE_WAY: usize = 256;

/// Bytes of each connection so far, both ways.
pub type Meters = Arc<Mutex<Vec<Arc<AtomicU64>>>>;

/// Half the round trip of a region.
pub fn one_way(region: usize) -> Duration {
    let step = (ROUND_TRIPS_MS[1] - ROUND_TRIPS_MS[0]) / (REGIONS - 1) as f64;
    Duration::from_secs_f64((ROUND_TRIPS_MS[0] + step * region as f64) / 2e3)
}

/// The address at which a region's fronts find the service. Ends with the runtime.
pub async fn relay(to: SocketAddr, delay: Duration, meters: Meters) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let meters = meters.clone();
            tokio::spawn(async move {
                // One way for the request of a connection, and the other for its answer.
                sleep_until(Instant::now() + 2 * delay).await;
                let Ok(far) = TcpStream::connect(to).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let meter = Arc::new(AtomicU64::new(0));
                meters.lock().unwrap_or_else(PoisonError::into_inner).push(meter.clone());
                let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
                tokio::spawn(carry(near_read, far_write, delay, meter.clone()));
                tokio::spawn(carry(far_read, near_write, delay, meter));
            });
        }
    });
    Ok(at)
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration, meter: Arc<AtomicU64>) {
    let (send, mut receive) = mpsc::channel::<(Instant, Vec<u8>)>(MOST_ON_THE_WAY);
    tokio::spawn(async move {
        while let Some((due, bytes)) = receive.recv().await {
            sleep_until(due).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    });
    let mut bytes = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        meter.fetch_add(count as u64, Ordering::Relaxed);
        if send.send((Instant::now() + delay, bytes[..count].to_vec())).await.is_err() {
            return;
        }
    }
}
