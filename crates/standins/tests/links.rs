//! Links apply the conditions that are set to connections and datagrams, until they are healed; timelines and disks.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doorgrade_standins::links::{ANY, LinkConditions, Links};
use doorgrade_standins::timeline::{Action, Disk, Timeline};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Both ends of a connection over a link from "a" to "b".
fn connected(links: &Links) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = links.tcp_proxy("a", "b", listener.local_addr().unwrap()).unwrap();
    let accepted: JoinHandle<TcpStream> = std::thread::spawn(move || listener.accept().unwrap().0);
    let near = TcpStream::connect(address).unwrap();
    let far = accepted.join().unwrap();
    for stream in [&near, &far] {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    }
    (near, far)
}

/// Sends bytes from one end to the other, and returns the time that it took.
fn transfer(from: &mut TcpStream, to: &mut TcpStream, bytes: &[u8]) -> Duration {
    let started_at = Instant::now();
    from.write_all(bytes).unwrap();
    let mut received = vec![0; bytes.len()];
    to.read_exact(&mut received).unwrap();
    assert_eq!(received, bytes);
    started_at.elapsed()
}

#[test]
fn a_healthy_link_carries_both_directions_and_closes_each_as_its_ends_do() {
    let links = Links::new(1);
    let (mut near, mut far) = connected(&links);
    transfer(&mut near, &mut far, &[7; 100_000]);
    transfer(&mut far, &mut near, b"back");
    // The proxy counts bytes right after it has written them, so the reader can be ahead of the count.
    let counted = || (links.traffic("a", "b").bytes, links.traffic("b", "a").bytes);
    let started_at = Instant::now();
    while counted() != (100_000, 4) && started_at.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(counted(), (100_000, 4));
    near.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(far.read(&mut [0; 8]).unwrap(), 0, "the end of the stream is forwarded");
    transfer(&mut far, &mut near, b"the other direction is still open");
}

#[test]
fn a_cut_in_one_direction_is_silent_and_keeps_the_bytes_of_a_connection_until_it_is_healed() {
    let links = Links::new(1);
    let (mut near, mut far) = connected(&links);
    links.set("a", "b", LinkConditions { cut: true, ..LinkConditions::default() });
    near.write_all(b"kept").unwrap();
    transfer(&mut far, &mut near, b"the other direction");
    far.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(far.read(&mut [0; 8]).is_err(), "silent, and open");
    links.heal();
    far.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut received = [0; 4];
    far.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"kept");
}

#[test]
fn a_link_has_the_configured_delay_and_bandwidth() {
    let links = Links::new(1);
    let (mut near, mut far) = connected(&links);
    links.set("a", ANY, LinkConditions { delay_ms: 150, ..LinkConditions::default() });
    assert!(transfer(&mut near, &mut far, b"late") >= Duration::from_millis(150));
    links.heal();
    links.set(ANY, "b", LinkConditions { bytes_per_s: 200_000, ..LinkConditions::default() });
    // Three chunks of the proxy's buffer size; the test doesn't wait for the pause after the last one.
    assert!(transfer(&mut near, &mut far, &[1; 49_152]) >= Duration::from_millis(120));
}

#[test]
fn a_connection_is_reset_after_a_number_of_bytes_or_on_demand() {
    let links = Links::new(1);
    let (mut near, mut far) = connected(&links);
    links.set("a", "b", LinkConditions { reset_after_bytes: Some(10), ..LinkConditions::default() });
    near.write_all(&[5; 100]).unwrap();
    let mut received = Vec::new();
    let result = far.read_to_end(&mut received);
    assert!(received.len() <= 10, "{} bytes", received.len());
    assert_eq!(result.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    // On demand, at both ends.
    links.heal();
    let (mut near, mut far) = connected(&links);
    transfer(&mut near, &mut far, b"whole");
    links.reset("a", "b");
    assert!(near.read(&mut [0; 8]).is_err());
    assert!(far.read(&mut [0; 8]).is_err());
}

/// The sockets of "a" and "b", and the addresses of their proxies.
struct DatagramRig {
    links: Links,
    sockets: Vec<UdpSocket>,
    proxies: Vec<std::net::SocketAddr>,
}

fn datagram_rig(seed: u64) -> DatagramRig {
    let links = Links::new(seed);
    let sockets: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let named = sockets.iter().zip(["a", "b"]);
    let proxies = named.map(|(s, n)| links.udp_proxy(n, s.local_addr().unwrap()).unwrap()).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(400))).unwrap());
    DatagramRig { links, sockets, proxies }
}

impl DatagramRig {
    /// Sends `count` numbered datagrams from a to b. Returns the numbers that arrive, in order of arrival.
    fn send_and_receive(&self, count: u8) -> Vec<u8> {
        for n in 0..count {
            self.sockets[0].send_to(&[n], self.proxies[1]).unwrap();
            // Waits until the proxy has it: random choices are made in order of arrival at the proxy.
            while self.links.traffic("a", "b").datagrams <= usize::from(n) {
                std::thread::yield_now();
            }
        }
        let mut received = Vec::new();
        let mut bytes = [0; 8];
        while let Ok((_, from)) = self.sockets[1].recv_from(&mut bytes) {
            assert_eq!(from, self.proxies[0], "the source address is the sender's proxy");
            received.push(bytes[0]);
        }
        received
    }
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_as_the_seed_decides() {
    let healthy = datagram_rig(1);
    assert_eq!(healthy.send_and_receive(20), (0..20).collect::<Vec<u8>>());
    let run = |seed| {
        let rig = datagram_rig(seed);
        rig.links.set(
            "a",
            "b",
            LinkConditions { loss: 0.3, duplication: 0.3, jitter_ms: 100, ..LinkConditions::default() },
        );
        rig.send_and_receive(100)
    };
    let (one, same, other) = (run(5), run(5), run(6));
    let sorted = |mut all: Vec<u8>| {
        all.sort_unstable();
        all
    };
    let missing = (0..100).filter(|n| !one.contains(n)).count();
    assert!((10..60).contains(&missing), "{missing} of 100 are lost");
    assert!(sorted(one.clone()).windows(2).any(|w| w[0] == w[1]), "some are duplicated");
    assert!(one.windows(2).any(|w| w[0] > w[1]), "some are reordered");
    assert_eq!(sorted(one.clone()), sorted(same), "the same seed gives the same losses");
    assert_ne!(sorted(one), sorted(other));
}

#[test]
fn a_cut_link_loses_datagrams_and_a_new_target_receives_later_ones() {
    let mut rig = datagram_rig(1);
    rig.links.partition(&["a"], &["b"]);
    assert!(rig.send_and_receive(5).is_empty());
    assert_eq!(rig.links.sent_by("a").lost, 5);
    rig.links.heal();
    let new_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    new_socket.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    rig.links.set_target("b", new_socket.local_addr().unwrap());
    rig.sockets[1] = new_socket;
    rig.sockets[0].send_to(&[9], rig.proxies[1]).unwrap();
    let mut bytes = [0; 8];
    assert_eq!(rig.sockets[1].recv_from(&mut bytes).unwrap().0, 1);
}

#[test]
fn a_random_timeline_is_given_by_its_seed_survives_json_and_ends_healed() {
    let names: Vec<String> = ["n1", "n2", "n3"].map(String::from).to_vec();
    let timeline = Timeline::random(4, &names, 60_000, 40);
    assert_eq!(timeline, Timeline::random(4, &names, 60_000, 40));
    assert_ne!(timeline, Timeline::random(5, &names, 60_000, 40));
    assert_eq!(Timeline::parse(&timeline.to_json_lines()), Ok(timeline.clone()));
    assert_eq!(timeline.0.last().map(|s| &s.action), Some(&Action::Heal));
    let count = |of: fn(&Action) -> bool| timeline.0.iter().filter(|s| of(&s.action)).count();
    let [kills, starts, suspends, resumes] = [
        count(|a| matches!(a, Action::Kill { .. })),
        count(|a| matches!(a, Action::Start { .. })),
        count(|a| matches!(a, Action::Suspend { .. })),
        count(|a| matches!(a, Action::Resume { .. })),
    ];
    assert!(kills > 0 && suspends > 0);
    assert_eq!((kills, suspends), (starts, resumes), "each killed or suspended process comes back");
    let invalid = Timeline::parse("{\"at_ms\":1,\"what\":\"heal\"}\n{\"at_ms\":2,\"what\":\"explode\"}\n");
    assert!(invalid.as_ref().is_err_and(|e| e.contains("line 2")), "{invalid:?}");
}

/// Timelines of earlier runs must stay readable, so the names in the file don't follow those in the code.
#[test]
fn the_json_names_of_a_timeline_are_stable() {
    let text = concat!(
        r#"{"at_ms":1,"what":{"way":{"from":"a","to":"*","way":{"cut":true,"delay_ms":1,"jitter_ms":2,"#,
        r#""bytes_per_s":3,"reset_after":4,"loss":0.5,"twice":0.25}}}}"#,
        "\n",
        r#"{"at_ms":2,"what":{"reset":{"from":"a","to":"b"}}}"#,
        "\n",
        r#"{"at_ms":3,"what":{"kill":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":4,"what":{"stop":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":5,"what":{"wake":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":6,"what":{"start":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":7,"what":{"disk_lost":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":8,"what":{"disk_kept":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":9,"what":{"disk_back":{"process":"a"}}}"#,
        "\n",
        r#"{"at_ms":10,"what":"heal"}"#,
        "\n",
    );
    let timeline = Timeline::parse(text).unwrap();
    assert!(matches!(&timeline.0[3].action, Action::Suspend { .. }));
    assert!(matches!(&timeline.0[4].action, Action::Resume { .. }));
    assert!(matches!(&timeline.0[6].action, Action::DeleteDisk { .. }));
    assert!(matches!(&timeline.0[7].action, Action::BackUpDisk { .. }));
    assert!(matches!(&timeline.0[8].action, Action::RestoreDisk { .. }));
    assert_eq!(timeline.to_json_lines(), text);
}

#[test]
fn a_disk_is_deleted_and_an_older_backup_restored() {
    let folder = std::env::temp_dir().join(format!("doorgrade-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("store");
    let disk = Disk::new(&file);
    std::fs::write(&file, "old").unwrap();
    disk.back_up().unwrap();
    std::fs::write(&file, "new").unwrap();
    disk.delete().unwrap();
    assert!(!file.exists());
    disk.restore().unwrap();
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "old");
    std::fs::remove_dir_all(&folder).unwrap();
}
