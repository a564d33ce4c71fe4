//! A front on loopback, with stand-ins for the members of the example configuration.

mod helper;

use std::io::{Read, Write};
use std::process::Command;

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, object_bytes};
use helper::{start, wait_until};

#[test]
fn a_front_serves_survives_failures_reloads_and_shuts_down() {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let (one, two) = (member("s-00000001", Role::Cache), member("s-00000002", Role::Cache));
    let origin = member("s-00000020", Role::Archive);
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let mut config = include_str!("../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
    for (from, to) in
        [("9101", one.address), ("9102", two.address), ("9120", origin.address), ("9092", feed.address)]
    {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    let mut front = start(&config, None);
    let mut client = Client::connect(front.address).unwrap();
    assert!(client.is_ready().unwrap());

    // A miss is filled from the origin; a second access hits the copy.
    let key = "7f3a9c21e0b4d655";
    for _ in 0..2 {
        let (head, body) = client.request("images", key, 2_000).unwrap();
        assert!(head.starts_with("Status: 200"), "{head}");
        assert_eq!(body, object_bytes(&format!("/data/images/{key}/0")));
    }
    assert_eq!(origin.requests(), 1);
    let (head, _) = client.request("unheard-of", key, 2_000).unwrap();
    assert!(head.starts_with("Status: 404"), "{head}");

    // Connections that do not speak FastCGI are closed, without effect on others.
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 70_000], &[1, 1, 0, 1, 0xff, 0xff, 0, 0]] {
        let mut stream = std::net::TcpStream::connect(front.address).unwrap();
        let _ = stream.write_all(garbage);
        if garbage[0] != 1 {
            assert!(matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)), "the connection is closed");
        }
    }
    assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));

    // The cache that holds the copy is killed: the other one serves.
    let (holder, other) = if one.requests() > 0 { (&one, &two) } else { (&two, &one) };
    holder.kill();
    wait_until("served by the other cache", || {
        client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200")
    });
    assert!(other.requests() > 0);

    // The feed connection is lost and restored. The next member list removes both caches, so that the origin serves.
    wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
    feed.close_connections();
    let removed =
        |id: u8| [&[0, 0, 0, id, 127, 0, 0, 1, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0][..], &[0; 8]].concat();
    feed.publish(2, 2, &[removed(1), removed(2)].concat());
    wait_until("the front subscribes to the feed again", || feed.resume_numbers().len() > 1);
    let before = origin.requests();
    wait_until("the member list is applied", || {
        assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));
        origin.requests() > before
    });

    // A reload with an invalid configuration changes nothing; one with another feed takes effect at run time.
    let new_feed = Feed::start("127.0.0.1:0").unwrap();
    std::fs::write(&front.config, "{").unwrap();
    front.signal("-HUP");
    assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));
    std::fs::write(&front.config, config.replace(&feed.address.to_string(), &new_feed.address.to_string()))
        .unwrap();
    wait_until("the front subscribes to the new feed from the last event", || {
        front.signal("-HUP");
        new_feed.resume_numbers().contains(&2)
    });
    assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));

    // SIGTERM with an access in flight: it gets its response, and the program exits by itself.
    origin.gate().set_closed(true);
    client
        .send_access(&AccessRequest { class: "orders", key, bucket: 17, timeout_ms: 2_500, body: b"a write" })
        .unwrap();
    wait_until("the write waits at the origin", || origin.gate().waiting() == 1);
    front.signal("-TERM");
    let mut late_client = Client::connect(front.address).unwrap();
    wait_until("it reports not ready", || !late_client.is_ready().unwrap());
    origin.gate().set_closed(false);
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    assert!(front.process.wait().unwrap().success());
}

#[test]
fn an_invalid_configuration_fails_the_start_and_names_the_key() {
    let path = std::env::temp_dir().join(format!("doorgrade-{}-faulty.json", std::process::id()));
    std::fs::write(&path, include_str!("../../../examples/config.json").replace("\"feed\":", "\"food\":"))
        .unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_doorgrade")).env("PROXY_CONFIG", &path).output().unwrap();
    assert!(!run.status.success());
    assert!(String::from_utf8_lossy(&run.stderr).contains("feed"));
}
