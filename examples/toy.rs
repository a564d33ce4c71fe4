//! What a front needs around it, on one machine: two caches, an origin and a control feed, at the addresses
//! that `examples/config.json` names. Runs until it is stopped.

#[path = "toy/mod.rs"]
mod toy;

fn main() -> std::io::Result<()> {
    let directory = toy::Directory::default();
    let members = [
        toy::Member::start("s-00000001", "127.0.0.1:9101", false, &directory)?,
        toy::Member::start("s-00000002", "127.0.0.1:9102", false, &directory)?,
        toy::Member::start("s-00000020", "127.0.0.1:9120", true, &directory)?,
    ];
    let feed = toy::Feed::start("127.0.0.1:9092")?;
    for member in &members {
        println!("{} listens on {}", member.id, member.at);
    }
    println!("the control feed listens on {}; stop with ctrl-c", feed.at);
    loop {
        std::thread::park();
    }
}
