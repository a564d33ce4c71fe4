//! A test environment for one front on one machine: two caches, an origin and a control feed, at the addresses in
//! `examples/config.json`. Runs until it is stopped.

use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};

fn main() -> std::io::Result<()> {
    let directory = Directory::default();
    let mut members = Vec::new();
    for (id, address, role) in [
        ("s-00000001", "127.0.0.1:9101", Role::Cache),
        ("s-00000002", "127.0.0.1:9102", Role::Cache),
        ("s-00000020", "127.0.0.1:9120", Role::Archive),
    ] {
        members.push(Member::start(MemberConfig::new(id, address, role), &directory)?);
    }
    let feed = Feed::start("127.0.0.1:9092")?;
    for member in &members {
        println!("{} listens on {}", member.id, member.address);
    }
    println!("the control feed listens on {}; stop with ctrl-c", feed.address);
    loop {
        std::thread::park();
    }
}
