//! Case 1: requests wait unread at a front whose places are taken by accesses at caches that hang, and have no
//! final answer half a second after their time.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cache::object_bytes;
use crate::client::{Access, Answer, Connection};
use crate::common::{BROKEN, HELD, Random, Record};
use crate::site::{Deployment, Limits, REQUESTS_PER_S};

const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1024 };
/// Clients hold a third of the descriptor limit at most.
const MAX_CONNECTIONS: usize = LIMITS.sockets as usize / 3;
const HANG_AFTER: Duration = Duration::from_secs(5);
const HANG_FOR: Duration = Duration::from_secs(12);
const RUN_FOR: Duration = Duration::from_secs(25);
/// A final answer still counts half a second after the client's time; each limit is 50 ms longer on sockets.
const LATEST_MS: u64 = 500 + 50;
const MAX_SHOWN: usize = 10;

struct Outcome {
    access: Access,
    sent_at: u64,
    answered_at: u64,
    answer: Answer,
}

impl Outcome {
    fn is_lost(&self) -> bool {
        !matches!(self.answer, Answer::Whole(..))
    }

    fn is_wrong(&self) -> bool {
        let Access { class, key, part, .. } = &self.access;
        matches!(&self.answer, Answer::Whole(200, body) if *body != object_bytes(&format!("/data/{class}/{key}/{part}")))
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let mut deployment = Deployment::start(root, &record, &LIMITS, Duration::ZERO);
    let front = deployment.front.listen;
    let (begin, mut random) = (Instant::now(), Random::new(7));
    let (outcomes, open) = (Arc::<Mutex<Vec<Outcome>>>::default(), Arc::<AtomicUsize>::default());
    let (mut hanging, mut next, mut not_sent, mut most_open, mut threads) = (false, 0.0, 0, 0, Vec::new());
    while begin.elapsed() < RUN_FOR {
        let elapsed = begin.elapsed();
        let should_hang = trouble && elapsed >= HANG_AFTER && elapsed < HANG_AFTER + HANG_FOR;
        if should_hang != hanging {
            hanging = should_hang;
            deployment.caches.iter().for_each(|c| c.set_hanging(hanging));
            let what = if hanging { "take requests and answer none" } else { "answer again" };
            record.say(&format!("the {} caches of the front's zone {what}", deployment.caches.len()));
        }
        if elapsed.as_secs_f64() >= next {
            next += random.pause(REQUESTS_PER_S);
            let access = Access::random(&mut random);
            if open.load(Ordering::SeqCst) >= MAX_CONNECTIONS {
                not_sent += 1;
                continue;
            }
            most_open = most_open.max(1 + open.fetch_add(1, Ordering::SeqCst));
            let (record, outcomes, open) = (record.clone(), outcomes.clone(), open.clone());
            threads.push(thread::spawn(move || {
                let outcome = ask(front, access, &record);
                open.fetch_sub(1, Ordering::SeqCst);
                outcomes.lock().expect("outcomes").extend(outcome);
            }));
        }
        thread::sleep(Duration::from_micros(300));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = outcomes.lock().expect("outcomes");
    let lost: Vec<_> = outcomes.iter().filter(|o| o.is_lost()).collect();
    for o in lost.iter().take(MAX_SHOWN) {
        record.say(&format!(
            "lost: {} was sent at {} with {} ms to wait; after {} ms: {}",
            o.access.id,
            o.sent_at,
            o.access.wait_ms,
            o.answered_at - o.sent_at,
            o.answer
        ));
    }
    let with = |status| outcomes.iter().filter(|o| o.answer.status() == Some(status)).count();
    let wrong = outcomes.iter().filter(|o| o.is_wrong()).count();
    record.say(&format!(
        "{} requests sent, {most_open} connections at once at most ({not_sent} more had none): {} x 200, {} x 503, {} x 500; {} lost, {wrong} with wrong bytes",
        outcomes.len(),
        with(200),
        with(503),
        with(500),
        lost.len(),
    ));
    let exited = deployment.front.report_exit(&record);
    if lost.is_empty() && wrong == 0 && !exited { HELD } else { BROKEN }
}

/// Sends a request on a connection of its own and waits for its answer as long as one counts; then it leaves. None if
/// the request could not be sent.
fn ask(front: SocketAddr, access: Access, record: &Record) -> Option<Outcome> {
    let mut connection = Connection::open(front, Duration::from_secs(2)).ok()?;
    connection.send(&access).ok()?;
    let (sent_at, sent) = (record.ms(), Instant::now());
    record.line(&format!("client: sent {access}"));
    let answer = connection.answer(sent + Duration::from_millis(access.wait_ms + LATEST_MS));
    let answered_at = record.ms();
    record.line(&format!("client: {} after {} ms: {answer}", access.id, answered_at - sent_at));
    Some(Outcome { access, sent_at, answered_at, answer })
}
