//! When the front started the attempts that caches received. On a busy machine a cache's thread may read a request long
//! after the front has sent it.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use doorgrade_standins::shim::SentRequest;

use super::cache::Received;

/// The two clocks are not read at the same moment.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(1);

/// Sets the time of each request that was received to the time at which the front began to send it: the latest one that
/// matches and was not matched yet. A request without a match keeps the time at which it was read.
pub fn apply(sent: &[SentRequest], received: &mut [Received]) {
    let (now, unix_now) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    let instant =
        |sent: &SentRequest| now.checked_sub(unix_now.checked_sub(Duration::from_micros(sent.at_us))?);
    let mut starts: HashMap<(u16, &str), Vec<Instant>> = HashMap::new();
    for sent in sent {
        starts.entry((sent.port, &sent.request_id)).or_default().extend(instant(sent));
    }
    received.sort_by_key(|r| r.at);
    for request in received.iter_mut().rev() {
        let Some(starts) = starts.get_mut(&(request.port, &*request.request_id)) else { continue };
        if let Some(latest) = starts.iter().rposition(|&start| start <= request.at + CLOCK_TOLERANCE) {
            request.at = starts.remove(latest);
        }
    }
    received.sort_by_key(|r| r.at);
}
