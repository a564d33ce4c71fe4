//! One access, as a web server would send it: `ask ADDRESS CLASS KEY`, the key being 16 hex digits.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [address, class, key] = &args[..] else { return Err("usage: ask ADDRESS CLASS KEY".into()) };
    let mut client = doorgrade_standins::Client::connect(address.parse()?)?;
    println!("ready: {}", client.check()?);
    let begun = std::time::Instant::now();
    let (head, body) = client.ask(class, key, 2_000)?;
    println!("{head}\n\n{} bytes after {:.1} ms", body.len(), begun.elapsed().as_secs_f64() * 1e3);
    Ok(())
}
