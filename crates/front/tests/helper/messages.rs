//! The messages between clients, caches, feed and front, and the front's configuration.

use doorgrade::Ticks;
use doorgrade_front::fastcgi;
use doorgrade_operator::Files;
use doorgrade_operator::settings::{Hierarchy, Settings};
use fastrand::Rng;

use super::{CACHES, FEED, ORIGIN, PARENT, SECOND_PARENT};

/// A configuration with the offerings 0 `images` (fresh for 8 s), 1 `fonts` (fresh until purged), 2 `orders`
/// (unrepeatable writes) and 3 `votes` (deduplicated for a second by their repeat id, if they have one).
pub fn config(sockets: usize) -> String {
    let member = |id: &str, port: u32, kind: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"127.0.0.1:{port}","locality":"here","flavor":"{kind}",
            "cell":0,"phase":"in_service","size":1,"up_since_ms":0}}"#
        )
    };
    let mut members: Vec<_> = (1..).zip(CACHES).map(|(n, id)| member(id, 9100 + n, "cache")).collect();
    members.extend([member(PARENT, 9110, "parent"), member(ORIGIN, 9120, "origin")]);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"1f","limits":{{"memory_mb":48,"sockets":{sockets}}},
        "feed":"{FEED}","unknown":[1],"known":{{"n":1,"events":[{{"n":1,"members":
        {{"revision":1,"complete":true,"members":[{}]}}}}]}},"settings":{{"zone":0,"fleetSize":1,"quantum":2.0,
        "localities":["here"],"machineTypes":["cache","parent","origin"],"registryMode":"automatic",
        "limits":{{"cancel":true,"connIdle":15000.0,"connectTimeout":400.0,"maxAttempts":6,"secondCopies":true}},
        "profiles":[{{"name":"images","aim":400.0,"deadline":2000.0,"worth":1.0,"semantics":"free"}},
        {{"name":"fonts","aim":400.0,"deadline":2000.0,"worth":2.0,"semantics":"free"}},
        {{"name":"orders","aim":400.0,"deadline":2000.0,"worth":3.0,"semantics":"single_shot"}},
        {{"name":"votes","aim":400.0,"deadline":2000.0,"worth":3.0,"semantics":"guarded","group":"zone",
        "repeatWindow":1000.0}}],
        "rules":{{"cold":17000.0,"fall":1500.0,"fallMultiple":4.0,"startCapacity":0.16}},
        "specifics":{{"crewByZone":[1],"maxAge":[8000.0,0.0,0.0,0.0],"notesGiven":"all","parentCold":21000.0,
        "parentColdFrom":0.1,"parentLimitFactor":2.0,"passOn":[false,false,true,false],"purgeDone":6000.0,"rootKind":2,
        "upperKind":1,"sharesFills":true,"straight":true,"streamKbPerS":9100.0}}}}}}"#,
        members.join(",")
    )
}

/// Files that enable the hierarchy: the parent with the origin above it, and a second parent that is not in
/// the member list yet.
pub fn hierarchy_files() -> Files {
    let hierarchy =
        Hierarchy { shape: "s".into(), tier: 1, hand_over_ms: 4_000, loop_header: true, shield: true };
    let settings = Settings { hierarchy: Some(hierarchy), ..Settings::default() };
    let member = |name: &str, tier: u8, sources: &str| {
        format!(
            "member \"{name}\" {{\nincarnation = 1\nnumber = 1\ntier = {tier}\nfills_from = [{sources}]\n}}\n"
        )
    };
    let above = format!("\"{ORIGIN}\"");
    let shape = [member(ORIGIN, 2, ""), member(PARENT, 1, &above), member(SECOND_PARENT, 1, &above)].concat();
    Files { settings, shape: doorgrade_operator::shape::read("s", &shape).expect("a valid shape") }
}

pub const OFFERINGS: [&str; 4] = ["images", "fonts", "orders", "votes"];
/// For how long a repeat of a vote is recognised.
pub const WINDOW: Ticks = 10_000;

/// The repeat id of a vote; one in three has none.
pub fn repeat_id(offering: usize, access: u64) -> Option<String> {
    (offering == 3 && !access.is_multiple_of(3)).then(|| format!("{:032x}", u128::from(access) << 64 | 0xabc))
}

/// A FastCGI record.
pub fn record(kind: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let mut bytes = fastcgi::header(kind, id, content.len()).to_vec();
    bytes[6] = padding;
    bytes.extend_from_slice(content);
    bytes.resize(bytes.len() + usize::from(padding), 0);
    bytes
}

/// A complete request; `fields` have the names of headers.
pub fn request(id: u16, path: &str, fields: &[(&str, String)], body: &[u8], padding: u8) -> Vec<u8> {
    let mut params = Vec::new();
    fastcgi::put_pair(&mut params, b"SCRIPT_NAME", path.as_bytes());
    for (name, value) in fields {
        let name = format!("HTTP_{}", name.to_uppercase().replace('-', "_"));
        fastcgi::put_pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    let mut bytes = record(fastcgi::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0], padding);
    bytes.extend(record(fastcgi::PARAMS, id, &params, padding));
    bytes.extend(record(fastcgi::PARAMS, id, &[], 0));
    for piece in body.chunks(7_000) {
        bytes.extend(record(fastcgi::STDIN, id, piece, padding));
    }
    bytes.extend(record(fastcgi::STDIN, id, &[], 0));
    bytes
}

pub fn access_fields(access: u64, object: u64, wait_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Req-Id", format!("{access:016x}")),
        ("Req-Wait-Ms", wait_ms.to_string()),
        ("Req-Key", format!("{object:016x}")),
        ("X-Seg", "0".into()),
        ("X-Bucket", (object % 4).to_string()),
        ("Req-Kb", "100".into()),
    ]
}

/// A response as a client received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn parse_response(bytes: &[u8]) -> Response {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("an empty line after the head");
    let head = String::from_utf8(bytes[..end].to_vec()).expect("a head in UTF-8");
    let status = head.strip_prefix("Status: ").and_then(|h| h.get(..3)).and_then(|s| s.parse().ok());
    Response { status: status.expect("a status"), head, body: bytes[end + 4..].to_vec() }
}

/// The bytes of an object.
pub fn object_bytes(key: u64) -> Vec<u8> {
    let mut rng = Rng::with_seed(key);
    let mut bytes = vec![0; rng.usize(0..60_000)];
    rng.fill(&mut bytes);
    bytes
}

/// A frame of the control feed.
pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// A member's record in a list: the number in its id, port, status, kind, and start in Unix milliseconds.
pub fn member_record(id: u32, port: u16, state: u8, kind: u8, started: u64) -> Vec<u8> {
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend([127, 0, 0, 1]);
    bytes.extend(port.to_be_bytes());
    bytes.extend([state, 0, kind, 0, 0]);
    bytes.extend(1000u32.to_be_bytes());
    bytes.extend(started.to_be_bytes());
    bytes
}
