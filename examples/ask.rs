//! Sends one access to a front, as a web server would: `ask ADDRESS CLASS KEY`, where KEY is 16 hexadecimal digits.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [address, class, key] = &args[..] else { return Err("usage: ask ADDRESS CLASS KEY".into()) };
    let mut client = doorgrade_standins::Client::connect(address.parse()?)?;
    println!("ready: {}", client.is_ready()?);
    let started_at = std::time::Instant::now();
    let (head, body) = client.request(class, key, 2_000)?;
    println!("{head}\n\n{} bytes after {:.1} ms", body.len(), started_at.elapsed().as_secs_f64() * 1e3);
    Ok(())
}
