//! The exchange with other fronts, run without a front: two instances on one runtime, with no client traffic.

use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use doorgrade::{Offering, RepeatPolicy};
use doorgrade_control_client::Learned;
use doorgrade_control_client::clock::unix;
use doorgrade_control_client::neighbours::{Learning, Neighbourhood, Own, Standing, Status, status};
use doorgrade_control_client::seal_keys::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_operator::neighbours::{Neighbours, Recall};
use doorgrade_recall::Fill;
use tokio::sync::oneshot;

/// For what is to come to be; a busy machine takes longer than an idle one.
const LONG: Duration = Duration::from_secs(30);

/// A folder with seal keys, removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let secret = "5e".repeat(32);
        std::fs::write(folder.join("seal-keys.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
            .unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn free_address() -> SocketAddrV4 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string().parse().unwrap()
}

struct Running {
    recalled: Receiver<Vec<Fill>>,
    learning: Learning,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<()>,
}

fn start(folder: &Path, name: &str, listen: SocketAddrV4, seed: SocketAddrV4) -> Running {
    let fresh = 36_000_000;
    let offering = Offering {
        soft_limit: 5_000,
        transfer_factor: 0.0,
        benefit: 1.0,
        repeat_policy: RepeatPolicy::Idempotent,
        fresh_time: fresh,
        uncacheable: false,
    };
    let settings = folder.join("doorgrade.hcl");
    let own = Own { name, seed: 1, settings: &settings, offerings: &[offering], purge_done: 50_000 };
    let neighbours = Neighbours {
        listen,
        address: listen,
        seeds: vec![seed],
        station: "hillside".into(),
        seal_keys: "seal-keys.hcl".into(),
        about: 10,
        probe_ms: 200,
        words: 40,
    };
    let recall = Recall { store: format!("{name}.redb").into(), write_ms: 200, most: 1_000, pages: 50 };
    let read = Neighbourhood::read(Some(neighbours), Some(recall), &own).unwrap().unwrap();
    let (hears, recalled) = channel();
    let (exchange, learning) = read.bind(Box::new(move |fills, _| drop(hears.send(fills)))).unwrap();
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(exchange.run(stopped));
    Running { recalled, learning: learning.unwrap(), stop, task }
}

async fn until(folder: &Path, at: SocketAddrV4, what: &str, holds: impl Fn(&Status) -> bool) {
    let keys = Keys::new(&read_keys(&folder.join("seal-keys.hcl")).unwrap());
    let begun = Instant::now();
    loop {
        match status(&keys, at, at).await {
            Ok(status) if holds(&status) => return,
            told => assert!(begun.elapsed() < LONG, "{what}: {told:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn two_instances_without_clients_meet_and_one_recalls_from_the_other() {
    let folder = Folder::new("exchange");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (one, two) = (free_address(), free_address());
        let first = start(&folder.0, "n1", one, two);
        let now = unix();
        let fill = Fill { offering: 0, object: 7, part: 0, group: 1, made_at: now, requested_at: now };
        first.learning.send(vec![Learned::Fill(fill)]).await.unwrap();
        // It gives nothing while it asks for the first time itself.
        until(&folder.0, one, "it asks nobody any more", |s| s.memory.as_ref().is_some_and(|m| m.done)).await;
        let second = start(&folder.0, "n2", two, one);
        until(&folder.0, two, "it is among neighbours", |s| s.standing == Standing::Among).await;
        let begun = Instant::now();
        let fills = loop {
            if let Ok(fills) = second.recalled.try_recv() {
                break fills;
            }
            assert!(begun.elapsed() < LONG, "nothing is recalled");
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(fills.iter().map(|f| (f.object, f.made_at)).collect::<Vec<_>>(), [(7, now)]);
        for running in [first, second] {
            running.stop.send(()).unwrap();
            running.task.await.unwrap();
        }
        let store = doorgrade_store::Records::open(&folder.0.join("n2.redb")).unwrap().0;
        let snapshot = doorgrade_control_client::memory::read(&store).unwrap();
        assert_eq!(snapshot.map(|s| s.fills.len()), Some(1), "the end wrote what it recalled");
    });
}
