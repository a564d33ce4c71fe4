//! The exchange between two instances without client traffic, both on one runtime.

use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use doorgrade::{Offering, RepeatPolicy};
use doorgrade_control_client::Observation;
use doorgrade_control_client::clock::unix;
use doorgrade_control_client::neighbours::{
    Connectivity, ExchangeSetup, FrontInfo, ObservationSender, Status, status,
};
use doorgrade_control_client::seal_keys::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_operator::neighbours::{Neighbours, Recall};
use doorgrade_recall::Fill;
use tokio::sync::oneshot;

/// For conditions that are waited for; a busy machine takes longer than an idle one.
const TIMEOUT: Duration = Duration::from_secs(30);

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
    observations: ObservationSender,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<()>,
}

fn start(folder: &Path, name: &str, listen: SocketAddrV4, seed: SocketAddrV4) -> Running {
    let fresh_time = 36_000_000;
    let offering = Offering {
        soft_limit: 5_000,
        hard_limit: 20_000,
        transfer_factor: 0.0,
        benefit: 1.0,
        repeat_policy: RepeatPolicy::Idempotent,
        fresh_time,
        uncacheable: false,
    };
    let settings = folder.join("doorgrade.hcl");
    let front = FrontInfo { name, seed: 1, settings: &settings, offerings: &[offering], purge_done: 50_000 };
    let neighbours = Neighbours {
        listen,
        address: listen,
        seeds: vec![seed],
        station: "hillside".into(),
        seal_keys: "seal-keys.hcl".into(),
        expected_fronts: 10,
        probe_ms: 200,
        max_datagrams_per_s: 40,
    };
    let recall =
        Recall { store: format!("{name}.redb").into(), write_ms: 200, max_parts: 1_000, pages_per_s: 50 };
    let setup = ExchangeSetup::read(Some(neighbours), Some(recall), &front).unwrap().unwrap();
    let (sender, recalled) = channel();
    let (exchange, observations) = setup.bind(Box::new(move |fills, _| drop(sender.send(fills)))).unwrap();
    let (stop, stop_signal) = oneshot::channel();
    let task = tokio::spawn(exchange.run(stop_signal));
    Running { recalled, observations: observations.unwrap(), stop, task }
}

async fn wait_until(folder: &Path, at: SocketAddrV4, what: &str, condition: impl Fn(&Status) -> bool) {
    let keys = Keys::new(&read_keys(&folder.join("seal-keys.hcl")).unwrap());
    let started = Instant::now();
    loop {
        match status(&keys, at, at).await {
            Ok(status) if condition(&status) => return,
            response => assert!(started.elapsed() < TIMEOUT, "{what}: {response:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn an_instance_recalls_from_its_neighbour() {
    let folder = Folder::new("exchange");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (one, two) = (free_address(), free_address());
        let first = start(&folder.0, "n1", one, two);
        let now = unix();
        let fill = Fill { offering: 0, object: 7, part: 0, group: 1, made_at: now, requested_at: now };
        first.observations.send(vec![Observation::Fill(fill)]).await.unwrap();
        // It serves nothing during its own first fetch.
        wait_until(&folder.0, one, "its first fetch is done", |s| {
            s.memory.as_ref().is_some_and(|m| m.fetch_done)
        })
        .await;
        let second = start(&folder.0, "n2", two, one);
        wait_until(&folder.0, two, "it is connected", |s| s.connectivity == Connectivity::Connected).await;
        let started = Instant::now();
        let fills = loop {
            if let Ok(fills) = second.recalled.try_recv() {
                break fills;
            }
            assert!(started.elapsed() < TIMEOUT, "nothing was recalled");
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(fills.iter().map(|f| (f.object, f.made_at)).collect::<Vec<_>>(), [(7, now)]);
        for running in [first, second] {
            running.stop.send(()).unwrap();
            running.task.await.unwrap();
        }
        let store = doorgrade_store::Records::open(&folder.0.join("n2.redb")).unwrap().0;
        let snapshot = doorgrade_control_client::memory::read_snapshot(&store).unwrap();
        assert_eq!(snapshot.map(|s| s.fills.len()), Some(1), "the last snapshot has what was recalled");
    });
}
