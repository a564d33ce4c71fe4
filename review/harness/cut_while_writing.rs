//! Case 2: a front closes connections on which a client is still writing its request, although it has taken the
//! request's beginning, and the request never gets an answer.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Access, Answer, Connection};
use crate::common::{BROKEN, HELD, Random, Record};
use crate::site::{Deployment, Limits, REQUESTS_PER_S};

const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1024 };
/// Web servers' processes that keep a connection each, under a fifth of what clients may hold.
const KEEPING_CLIENTS: u64 = 60;
/// Clients close idle connections after this.
const CLIENT_IDLE: Duration = Duration::from_secs(4);
/// A slow client begins to write a request this often, and rests for so long in the middle of it.
const SLOW_EVERY: Duration = Duration::from_millis(500);
const PAUSE_IN_REQUEST: Duration = Duration::from_millis(600);
const RUN_FOR: Duration = Duration::from_secs(25);
/// A final answer still counts half a second after the client's time; each limit is 50 ms longer on sockets.
const LATEST_MS: u64 = 500 + 50;
/// A request that the close of a connection crosses is sent again on a new connection, once. Here that is done
/// however long before the request's end the connection was closed.
const TRIES: usize = 2;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    lost: AtomicU64,
    /// Connections that ended without an answer to the request written to them.
    cut: AtomicU64,
}

impl Counts {
    fn add(&self, answer: &Answer, cut: u64) {
        let answered = matches!(answer, Answer::Whole(..));
        if answered { &self.answered } else { &self.lost }.fetch_add(1, Ordering::SeqCst);
        self.cut.fetch_add(cut, Ordering::SeqCst);
    }

    fn read(&self) -> [u64; 3] {
        [&self.answered, &self.lost, &self.cut].map(|count| count.load(Ordering::SeqCst))
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let mut deployment = Deployment::start(root, &record, &LIMITS, Duration::ZERO);
    let front = deployment.front.listen;
    let until = Instant::now() + RUN_FOR;
    let (keeping, slow) = (Arc::<Counts>::default(), Arc::<Counts>::default());
    let mut threads = Vec::new();
    for n in 0..KEEPING_CLIENTS {
        let (counts, record) = (keeping.clone(), record.clone());
        threads.push(thread::spawn(move || {
            keep_asking(front, until, &mut Random::new(n + 17), &counts, &record)
        }));
    }
    let pause = if trouble { PAUSE_IN_REQUEST } else { Duration::ZERO };
    record.say(&format!(
        "{KEEPING_CLIENTS} clients keep their connections; others write a request within {} ms",
        pause.as_millis()
    ));
    let mut random = Random::new(5);
    while Instant::now() < until {
        thread::sleep(SLOW_EVERY);
        let (access, counts, record) = (Access::random(&mut random), slow.clone(), record.clone());
        threads.push(thread::spawn(move || {
            // Without its last byte on any connection the front has not taken it.
            if let Some((answer, cut)) = write_slowly(front, &access, pause, &record) {
                counts.add(&answer, cut);
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    for (who, counts) in [("clients that keep connections", &keeping), ("clients that write slowly", &slow)] {
        let [answered, lost, cut] = counts.read();
        record.say(&format!(
            "{who}: {answered} requests answered, {lost} lost, {cut} connections ended without the answer"
        ));
    }
    let exited = deployment.front.report_exit(&record);
    if slow.read()[1] == 0 && keeping.read()[1] == 0 && !exited { HELD } else { BROKEN }
}

/// A client that keeps its connection between requests. It sees when the front has ended it, and opens another.
fn keep_asking(front: SocketAddr, until: Instant, random: &mut Random, counts: &Counts, record: &Record) {
    let mut kept: Option<Connection> = None;
    while Instant::now() < until {
        let pause = Duration::from_secs_f64(random.pause(REQUESTS_PER_S / KEEPING_CLIENTS as f64));
        thread::sleep(pause.min(CLIENT_IDLE));
        if pause > CLIENT_IDLE {
            kept = None;
            thread::sleep(pause - CLIENT_IDLE);
        }
        let access = Access::random(random);
        let (mut answer, mut cut) = (Answer::NotConnected, 0);
        for _ in 0..TRIES {
            let reused = kept.take().filter(|c| !c.is_ended());
            let opened = reused.or_else(|| Connection::open(front, Duration::from_secs(2)).ok());
            let Some(mut connection) = opened else { continue };
            answer = match connection.send(&access) {
                Ok(()) => connection.answer(latest(&access)),
                Err(_) => Answer::Closed,
            };
            if matches!(answer, Answer::Whole(..)) {
                kept = Some(connection);
                break;
            }
            cut += 1;
            record.line(&format!("client: {} on a kept connection: {answer}", access.id));
        }
        counts.add(&answer, cut);
    }
}

fn latest(access: &Access) -> Instant {
    Instant::now() + Duration::from_millis(access.wait_ms + LATEST_MS)
}

/// Writes a request in two pieces, and tries once more on a new connection. Returns what came of it, and on how many
/// connections there was no answer; none if its last byte could be written on no connection.
fn write_slowly(
    front: SocketAddr,
    access: &Access,
    pause: Duration,
    record: &Record,
) -> Option<(Answer, u64)> {
    let (mut answer, mut cut, mut taken) = (Answer::NotConnected, 0, false);
    for number in 1..=TRIES {
        let Ok(mut connection) = Connection::open(front, Duration::from_secs(2)) else { continue };
        let bytes = access.encoded();
        let (first, second) = bytes.split_at(bytes.len() / 2);
        let begun = Instant::now();
        let written = connection.write(first).and_then(|()| {
            thread::sleep(pause);
            connection.write(second)
        });
        let (took, written) = (begun.elapsed().as_millis(), written.is_ok());
        taken |= written;
        answer = if written { connection.answer(latest(access)) } else { Answer::Closed };
        record.line(&format!(
            "client: {access}, connection {number}: written in {took} ms to its last byte: {written}; {answer}"
        ));
        if matches!(answer, Answer::Whole(..)) {
            break;
        }
        cut += 1;
    }
    taken.then_some((answer, cut))
}
