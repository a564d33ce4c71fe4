//! Links between processes do to streams and datagrams what their ways say, and are whole again when healed.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doorgrade_standins::links::{ANY, Links, Way};
use doorgrade_standins::timeline::{Disk, Timeline, What};

const LONG: Duration = Duration::from_secs(10);

/// Both ends of a stream over a link from "a" to "b".
fn joined(links: &Links) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = links.stream("a", "b", listener.local_addr().unwrap()).unwrap();
    let accepted: JoinHandle<TcpStream> = std::thread::spawn(move || listener.accept().unwrap().0);
    let near = TcpStream::connect(at).unwrap();
    let far = accepted.join().unwrap();
    for stream in [&near, &far] {
        stream.set_read_timeout(Some(LONG)).unwrap();
    }
    (near, far)
}

fn carries(from: &mut TcpStream, to: &mut TcpStream, bytes: &[u8]) -> Duration {
    let begun = Instant::now();
    from.write_all(bytes).unwrap();
    let mut got = vec![0; bytes.len()];
    to.read_exact(&mut got).unwrap();
    assert_eq!(got, bytes);
    begun.elapsed()
}

#[test]
fn a_whole_link_carries_both_ways_and_ends_as_its_ends_do() {
    let links = Links::new(1);
    let (mut near, mut far) = joined(&links);
    carries(&mut near, &mut far, &[7; 100_000]);
    carries(&mut far, &mut near, b"back");
    assert_eq!((links.passed("a", "b").bytes, links.passed("b", "a").bytes), (100_000, 4));
    near.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(far.read(&mut [0; 8]).unwrap(), 0, "an end is passed on");
    carries(&mut far, &mut near, b"the other way is still open");
}

#[test]
fn a_cut_is_silent_one_way_alone_and_keeps_a_streams_bytes_until_it_is_healed() {
    let links = Links::new(1);
    let (mut near, mut far) = joined(&links);
    links.set("a", "b", Way { cut: true, ..Way::default() });
    near.write_all(b"kept").unwrap();
    carries(&mut far, &mut near, b"the other way");
    far.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(far.read(&mut [0; 8]).is_err(), "silent, and open");
    links.heal();
    far.set_read_timeout(Some(LONG)).unwrap();
    let mut got = [0; 4];
    far.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"kept");
}

#[test]
fn a_link_is_slow_or_narrow_as_told() {
    let links = Links::new(1);
    let (mut near, mut far) = joined(&links);
    links.set("a", ANY, Way { delay_ms: 150, ..Way::default() });
    assert!(carries(&mut near, &mut far, b"late") >= Duration::from_millis(150));
    links.heal();
    links.set(ANY, "b", Way { bytes_per_s: 200_000, ..Way::default() });
    // Three pieces of a ring's length, the last one's time is not waited for.
    assert!(carries(&mut near, &mut far, &[1; 49_152]) >= Duration::from_millis(120));
}

#[test]
fn a_reset_comes_in_the_middle_and_is_one() {
    let links = Links::new(1);
    let (mut near, mut far) = joined(&links);
    links.set("a", "b", Way { reset_after: Some(10), ..Way::default() });
    near.write_all(&[5; 100]).unwrap();
    let mut got = Vec::new();
    let ended = far.read_to_end(&mut got);
    assert!(got.len() <= 10, "{} bytes", got.len());
    assert_eq!(ended.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    // On word, too, at both ends.
    links.heal();
    let (mut near, mut far) = joined(&links);
    carries(&mut near, &mut far, b"whole");
    links.reset("a", "b");
    assert!(near.read(&mut [0; 8]).is_err());
    assert!(far.read(&mut [0; 8]).is_err());
}

struct Post {
    links: Links,
    sockets: Vec<UdpSocket>,
    at: Vec<std::net::SocketAddr>,
}

fn post(seed: u64) -> Post {
    let links = Links::new(seed);
    let sockets: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let named = sockets.iter().zip(["a", "b"]);
    let at = named.map(|(s, n)| links.mailbox(n, s.local_addr().unwrap()).unwrap()).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(400))).unwrap());
    Post { links, sockets, at }
}

impl Post {
    /// What comes of so many datagrams from a to b, in the order in which they come.
    fn come(&self, count: u8) -> Vec<u8> {
        for n in 0..count {
            self.sockets[0].send_to(&[n], self.at[1]).unwrap();
            // So that they come to the link in this order: chance is drawn in it.
            while self.links.passed("a", "b").datagrams <= usize::from(n) {
                std::thread::yield_now();
            }
        }
        let mut got = Vec::new();
        let mut bytes = [0; 8];
        while let Ok((_, from)) = self.sockets[1].recv_from(&mut bytes) {
            assert_eq!(from, self.at[0], "it comes from where the sender is reached");
            got.push(bytes[0]);
        }
        got
    }
}

#[test]
fn datagrams_are_lost_come_twice_and_out_of_order_by_a_seed() {
    let plain = post(1);
    assert_eq!(plain.come(20), (0..20).collect::<Vec<u8>>());
    let run = |seed| {
        let post = post(seed);
        post.links.set("a", "b", Way { loss: 0.3, twice: 0.3, jitter_ms: 100, ..Way::default() });
        post.come(100)
    };
    let (one, same, other) = (run(5), run(5), run(6));
    let sorted = |mut all: Vec<u8>| {
        all.sort_unstable();
        all
    };
    let missing = (0..100).filter(|n| !one.contains(n)).count();
    assert!((10..60).contains(&missing), "{missing} of 100 are lost");
    assert!(sorted(one.clone()).windows(2).any(|w| w[0] == w[1]), "some come twice");
    assert!(one.windows(2).any(|w| w[0] > w[1]), "some are overtaken");
    assert_eq!(sorted(one.clone()), sorted(same), "a seed decides");
    assert_ne!(sorted(one), sorted(other));
}

#[test]
fn datagrams_over_a_cut_are_lost_and_a_process_that_moved_gets_what_comes_later() {
    let mut post = post(1);
    post.links.part(&["a"], &["b"]);
    assert!(post.come(5).is_empty());
    assert_eq!(post.links.sent_by("a").lost, 5);
    post.links.heal();
    let moved = UdpSocket::bind("127.0.0.1:0").unwrap();
    moved.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    post.links.moved("b", moved.local_addr().unwrap());
    post.sockets[1] = moved;
    post.sockets[0].send_to(&[9], post.at[1]).unwrap();
    let mut bytes = [0; 8];
    assert_eq!(post.sockets[1].recv_from(&mut bytes).unwrap().0, 1);
}

#[test]
fn a_time_line_is_data_drawn_from_a_seed_and_ends_whole() {
    let names: Vec<String> = ["n1", "n2", "n3"].map(String::from).to_vec();
    let drawn = Timeline::drawn(4, &names, 60_000, 40);
    assert_eq!(drawn, Timeline::drawn(4, &names, 60_000, 40));
    assert_ne!(drawn, Timeline::drawn(5, &names, 60_000, 40));
    assert_eq!(Timeline::read(&drawn.write()), Ok(drawn.clone()));
    assert_eq!(drawn.0.last().map(|s| &s.what), Some(&What::Heal));
    let count = |of: fn(&What) -> bool| drawn.0.iter().filter(|s| of(&s.what)).count();
    let [kills, starts, stops, wakes] = [
        count(|w| matches!(w, What::Kill { .. })),
        count(|w| matches!(w, What::Start { .. })),
        count(|w| matches!(w, What::Stop { .. })),
        count(|w| matches!(w, What::Wake { .. })),
    ];
    assert!(kills > 0 && stops > 0);
    assert_eq!((kills, stops), (starts, wakes), "whoever is down or stopped comes back");
    let wrong = Timeline::read("{\"at_ms\":1,\"what\":\"heal\"}\n{\"at_ms\":2,\"what\":\"explode\"}\n");
    assert!(wrong.as_ref().is_err_and(|e| e.contains("line 2")), "{wrong:?}");
}

#[test]
fn a_disk_is_lost_and_an_old_copy_put_back() {
    let folder = std::env::temp_dir().join(format!("doorgrade-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("store");
    let disk = Disk::new(&file);
    std::fs::write(&file, "old").unwrap();
    disk.keep().unwrap();
    std::fs::write(&file, "new").unwrap();
    disk.lose().unwrap();
    assert!(!file.exists());
    disk.put_back().unwrap();
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "old");
    std::fs::remove_dir_all(&folder).unwrap();
}
