//! The health check of an instance, over FastCGI: whether it reports that it is ready, and whether it answers accesses.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use doorgrade_fleet::instance::Check;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// For a connection and two small responses from a process on the same machine.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response that is read: both are a few lines.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// Encodes a FastCGI 1.0 request with this id, in the Responder role, that keeps the connection open.
fn request(id: u16, params: &[(&str, &str)]) -> Vec<u8> {
    let [high, low] = id.to_be_bytes();
    let record = |kind: u8, content: &[u8]| {
        let [length_high, length_low] = (content.len() as u16).to_be_bytes();
        [&[1, kind, high, low, length_high, length_low, 0, 0], content].concat()
    };
    let mut pairs = Vec::new();
    for (name, value) in params {
        pairs.extend([name.len() as u8, value.len() as u8]);
        pairs.extend_from_slice(name.as_bytes());
        pairs.extend_from_slice(value.as_bytes());
    }
    [record(1, &[0, 1, 1, 0, 0, 0, 0, 0]), record(4, &pairs), record(4, &[]), record(5, &[])].concat()
}

/// Reads the response to the request with this id; returns its HTTP status.
async fn status(stream: &mut TcpStream, id: u16) -> io::Result<u16> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut body = Vec::new();
    loop {
        let mut header = [0; 8];
        stream.read_exact(&mut header).await?;
        let length = usize::from(u16::from_be_bytes([header[4], header[5]])) + usize::from(header[6]);
        let record_id = u16::from_be_bytes([header[2], header[3]]);
        if header[0] != 1 || record_id != id || body.len() + length > MAX_RESPONSE_BYTES {
            return Err(invalid());
        }
        let mut content = vec![0; length];
        stream.read_exact(&mut content).await?;
        match header[1] {
            6 => body.extend_from_slice(&content[..length - usize::from(header[6])]),
            3 => break,
            _ => return Err(invalid()),
        }
    }
    let text = std::str::from_utf8(&body).map_err(|_| invalid())?;
    let status = text.strip_prefix("Status: ").and_then(|rest| rest.get(..3));
    status.and_then(|status| status.parse().ok()).ok_or_else(invalid)
}

async fn probe(address: SocketAddr) -> io::Result<Check> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&request(1, &[("SCRIPT_NAME", "/check")])).await?;
    if status(&mut stream, 1).await? != 200 {
        return Ok(Check::NotReady);
    }
    // An access of a class that does not exist: it is processed like any other, and answered with 404.
    let access = [
        ("SCRIPT_NAME", "/do/none-such"),
        ("HTTP_REQ_ID", "0000000000000001"),
        ("HTTP_REQ_WAIT_MS", "1000"),
        ("HTTP_REQ_KEY", "0000000000000001"),
        ("HTTP_X_SEG", "0"),
        ("HTTP_X_BUCKET", "0"),
    ];
    stream.write_all(&request(2, &access)).await?;
    status(&mut stream, 2).await?;
    Ok(Check::Ready)
}

/// Checks the instance at this address within the timeout.
pub async fn check(address: SocketAddr) -> Check {
    let check = timeout(TIMEOUT, probe(address)).await;
    check.ok().and_then(Result::ok).unwrap_or(Check::Unresponsive)
}
