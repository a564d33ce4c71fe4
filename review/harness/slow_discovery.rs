//! Case 3: a cache drains and goes while discovery is slow, and the front never hears of it. A new cache of another
//! clinic has the address of the one that has gone, and gets its requests.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Access, Connection};
use crate::common::{BROKEN, HELD, Listed, Random, Record, unix_ms};
use crate::site::{Deployment, Limits, REQUESTS_PER_S};

const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1024 };
/// How much later than it was sent each byte of the feed reaches the front.
const DELAY: Duration = Duration::from_millis(3000);
const SLOW_AFTER: Duration = Duration::from_secs(5);
const DRAIN_AFTER: Duration = Duration::from_secs(15);
const REPLACE_AFTER: Duration = Duration::from_secs(20);
const RUN_FOR: Duration = Duration::from_secs(40);
/// What the feed has to tell counts as told this much later at the latest, whether or not it arrived.
const TOLD_AFTER_MS: u64 = 7000;
/// `rules.drainGrace` of the settings, and 50 ms more on sockets.
const GRACE_MS: u64 = 1000 + 50;
/// The id of the cache that gets the address.
const NEWCOMER: u32 = 0x2ff;
const DRAIN_EVENT: u64 = 2;
const REPLACE_EVENT: u64 = 3;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let mut deployment = Deployment::start(root, &record, &LIMITS, DELAY);
    let front = deployment.front.listen;
    let draining = Listed { state: 1, ..deployment.members[0].clone() };
    let gone = Listed { state: 2, ..draining.clone() };
    let (begin, mut random) = (Instant::now(), Random::new(11));
    let (mut slow, mut published_at, mut replaced_at) = (false, None, None);
    let (mut next, mut threads) = (0.0, Vec::new());
    while begin.elapsed() < RUN_FOR {
        let elapsed = begin.elapsed();
        if trouble && !slow && elapsed >= SLOW_AFTER {
            slow = true;
            deployment.discovery.set_delayed(true);
            record
                .say(&format!("discovery is slow from now on: its bytes come {} ms late", DELAY.as_millis()));
        }
        if published_at.is_none() && elapsed >= DRAIN_AFTER {
            deployment.feed.publish_members(DRAIN_EVENT, &[draining.clone()]);
            published_at = Some(record.ms());
            record.say(&format!("{} drains: event {DRAIN_EVENT} is in the control feed", draining.name()));
        }
        if replaced_at.is_none() && elapsed >= REPLACE_AFTER {
            let newcomer = Listed {
                id: NEWCOMER,
                state: 0,
                zone: draining.zone + 1,
                started_ms: unix_ms(),
                ..draining.clone()
            };
            deployment.feed.publish_members(REPLACE_EVENT, &[gone.clone(), newcomer.clone()]);
            replaced_at = Some(record.ms());
            record.say(&format!(
                "{} is gone, and {} of another clinic has its address: event {REPLACE_EVENT}",
                gone.name(),
                newcomer.name()
            ));
        }
        if elapsed.as_secs_f64() >= next {
            next += random.pause(REQUESTS_PER_S);
            let (access, record) = (Access::random(&mut random), record.clone());
            threads.push(thread::spawn(move || {
                let mut connection = Connection::open(front, Duration::from_secs(2)).ok()?;
                connection.send(&access).ok()?;
                let answer = connection.answer(Instant::now() + Duration::from_millis(access.wait_ms + 550));
                record.line(&format!("client: {access}: {answer}"));
                answer.status()
            }));
        }
        thread::sleep(Duration::from_micros(300));
    }
    let sent = threads.len();
    let answers: Vec<_> = threads.into_iter().filter_map(|t| t.join().ok().flatten()).collect();
    let served = answers.iter().filter(|status| **status == 200).count();
    let published_at = published_at.unwrap_or(0);
    let arrivals = deployment.arrivals.lock().expect("arrivals").clone();
    let names_it = |source: &Option<String>| source.as_deref() == Some(&draining.name());
    let sent_to_it = arrivals.iter().filter(|a| a.member == draining.id || names_it(&a.source));
    let after: Vec<u64> = sent_to_it.filter_map(|a| a.at.checked_sub(published_at)).collect();
    let late = after.iter().filter(|at| **at > TOLD_AFTER_MS + GRACE_MS).count();
    let replaced_after = replaced_at.unwrap_or(published_at) - published_at;
    let foreign = after.iter().filter(|at| **at > replaced_after + TOLD_AFTER_MS + GRACE_MS).count();
    record.say(&format!("{sent} requests, {served} served; {} went to the draining cache", after.len()));
    if let Some(last) = after.iter().max() {
        record.say(&format!("the last of them came {last} ms after the event was in the feed"));
    }
    record.say(&format!(
        "{late} of them came later than {} ms after it; {foreign} came to the other clinic's cache later than that after event {REPLACE_EVENT}",
        TOLD_AFTER_MS + GRACE_MS
    ));
    let exited = deployment.front.report_exit(&record);
    if late == 0 && !exited { HELD } else { BROKEN }
}
