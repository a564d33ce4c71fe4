//! Each codec with whole and with split input, its limits, and random bytes; the ring buffer at its edges;
//! configuration errors that name the key.

mod helper;

use doorgrade_front::answer::{self, Outbox, Reply};
use doorgrade_front::bounds::{self, Bounds};
use doorgrade_front::config::{Config, Limits};
use doorgrade_front::fastcgi::{self, Decoder};
use doorgrade_front::feed::{Event, Frames, ZoneAndKindNames};
use doorgrade_front::http;
use doorgrade_front::intake::{ClientMessage, Intake};
use doorgrade_front::ring_buffer::RingBuffer;
use fastrand::Rng;
use helper::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Room for bodies, where it is not tested.
const ROOM: usize = 1 << 20;

/// Passes the bytes on in fragments, through a buffer of the given size.
fn pass_through(bytes: &[u8], buffer: &mut RingBuffer, rng: &mut Rng, mut take: impl FnMut(&mut RingBuffer)) {
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = buffer.put(&rest[..rng.usize(1..=rest.len().min(buffer.free().max(1)))]);
        rest = &rest[count..];
        let before = buffer.len();
        take(buffer);
        if count == 0 && buffer.len() == before {
            return; // Nothing moves: a record that is not to be read.
        }
    }
}

fn decode(bytes: &[u8], capacity: usize, rng: &mut Rng) -> (Vec<ClientMessage>, bool) {
    let (mut intake, mut all, mut broken) = (Intake::default(), Vec::new(), false);
    pass_through(bytes, &mut RingBuffer::new(capacity), rng, |buffer| {
        while !broken {
            match intake.next(buffer, ROOM) {
                Ok(Some(message)) => all.push(message),
                Ok(None) => return,
                Err(_) => broken = true,
            }
        }
        buffer.clear();
    });
    (all, broken)
}

proptest! {
    #![proptest_config(fixed(200))]

    #[test]
    fn the_ring_buffer_returns_what_was_put_in(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let mut buffer = RingBuffer::new(r.usize(0..20));
        let (mut model, mut next) = (std::collections::VecDeque::new(), 0u8);
        for _ in 0..200 {
            if r.bool() {
                let bytes: Vec<u8> = (0..r.usize(..25)).map(|_| { next = next.wrapping_add(1); next }).collect();
                let count = buffer.put(&bytes);
                model.extend(&bytes[..count]);
                prop_assert!(count == bytes.len() || buffer.free() == 0);
            } else if r.bool() {
                let count = r.usize(..25);
                buffer.consume(count);
                model.drain(..count.min(model.len()));
            } else {
                let room = buffer.back().len().min(1);
                buffer.back()[..room].fill(9);
                buffer.filled(room);
                model.extend(&[9u8][..room]);
            }
            prop_assert_eq!(buffer.len(), model.len());
            prop_assert!(buffer.is_empty() || !buffer.front().is_empty());
            if r.u8(..4) == 0 {
                prop_assert_eq!(buffer.contiguous(), model.make_contiguous() as &[u8]);
            }
        }
    }

    #[test]
    fn requests_read_the_same_however_they_are_split(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let (mut bytes, mut expected) = (Vec::new(), Vec::new());
        for id in 1..r.u16(2..6) {
            let body: Vec<u8> = (0..r.usize(..20_000)).map(|_| r.u8(..)).collect();
            bytes.extend(request(id, "/do/images", &access_fields(id.into(), 77, 900), &body, r.u8(..)));
            expected.push((id, body));
            if r.bool() {
                bytes.extend(record(fastcgi::ABORT_REQUEST, id, &[], r.u8(..)));
            }
        }
        let whole = decode(&bytes, 8 * 1024, &mut r);
        let split = decode(&bytes, r.usize(16..500), &mut r);
        prop_assert_eq!(&whole.0, &split.0);
        prop_assert!(!whole.1 && !split.1);
        let asked: Vec<_> = whole.0.into_iter().filter_map(|s| match s {
            ClientMessage::Request(id, request) => Some((id, request.body)),
            _ => None,
        }).collect();
        prop_assert_eq!(asked, expected);
    }

    #[test]
    fn random_bytes_break_nothing(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let mut bytes: Vec<u8> = (0..r.usize(..3_000)).map(|_| r.u8(..)).collect();
        // Most random bytes fail at the first record; valid headers let them get further.
        for at in (0..bytes.len().saturating_sub(8)).step_by(40) {
            bytes[at..at + 8].copy_from_slice(&[1, r.u8(..13), 0, r.u8(..3), 0, 28, 4, 0]);
        }
        let whole = decode(&bytes, 4096, &mut r);
        let split = decode(&bytes, 64, &mut r);
        prop_assert_eq!(whole, split);
        let _ = http::parse_head(&bytes);
        let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
        head.extend(bytes.iter().map(|b| b & 0x7f));
        let _ = http::parse_head(&head);
        let names = ZoneAndKindNames { zones: vec!["here".into()], kinds: vec!["cache".into()] };
        let (mut frames, mut lost) = (Frames::default(), false);
        let valid = frame(3, r.u8(..6), &bytes);
        for stream in [&valid, &bytes] {
            pass_through(stream, &mut RingBuffer::new(100), &mut r, |buffer| {
                while !lost {
                    match frames.next(buffer, &names) {
                        Ok(Some(_)) => {}
                        Ok(None) => return,
                        Err(_) => lost = true,
                    }
                }
                buffer.clear();
            });
        }
    }

    #[test]
    fn responses_are_written_whole_and_alternate(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let (mut outbox, mut bodies, mut done) = (Outbox::default(), Vec::new(), Vec::new());
        for id in 1..=r.u16(1..9) {
            let body: Vec<u8> = (0..r.usize(..60_000)).map(|_| r.u8(..)).collect();
            outbox.push(id, Reply { body: body.clone(), tag: Some("ab"), ..Reply::empty(200) }, false);
            bodies.push(body);
        }
        let (mut buffer, mut decoder) = (RingBuffer::new(r.usize(64..40_000)), Decoder::default());
        let mut outputs = vec![Vec::new(); bodies.len() + 1];
        let mut ends = vec![0; bodies.len() + 1];
        while !outbox.is_empty() {
            outbox.fill(&mut buffer, |id| done.push(id));
            prop_assert!(!buffer.is_empty());
            while let Some(piece) = decoder.next(&mut buffer).expect("valid records") {
                let content = &buffer.front()[..piece.len];
                match piece.kind {
                    fastcgi::STDOUT => outputs[usize::from(piece.id)].extend_from_slice(content),
                    _ => ends[usize::from(piece.id)] += usize::from(piece.last),
                }
                buffer.consume(piece.len);
            }
        }
        prop_assert_eq!(outbox.held_bytes, 0);
        prop_assert_eq!(done.len(), bodies.len());
        for (place, body) in bodies.iter().enumerate() {
            prop_assert_eq!(ends[place + 1], 1);
            let got = parse_response(&outputs[place + 1]);
            prop_assert_eq!((got.status, &got.body), (200, body));
        }
    }

    #[test]
    fn frames_read_the_same_however_they_are_split(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let names = ZoneAndKindNames { zones: vec!["here".into()], kinds: vec!["cache".into(), "parent".into()] };
        let (mut bytes, mut numbers) = (Vec::new(), Vec::new());
        for number in 1..r.u64(2..12) {
            let list: Vec<u8> = (0..r.u32(..30)).flat_map(|id| member_record(id, 9000, 0, 1, 7)).collect();
            let payload = [&[][..], &list, &list, &[0; 16], &[0; 10]][r.usize(..5)];
            let kind = match payload.len() {
                0 => 0,
                16 => 3,
                10 => 4,
                _ => 2,
            };
            bytes.extend(frame(number, kind, payload));
            numbers.push(number);
        }
        let (mut frames, mut got) = (Frames::default(), Vec::new());
        pass_through(&bytes, &mut RingBuffer::new(r.usize(8..200)), &mut r, |buffer| {
            while let Some((number, _)) = frames.next(buffer, &names).expect("valid frames") {
                got.push(number);
            }
        });
        prop_assert_eq!(got, numbers);
    }
}

#[test]
fn a_head_is_parsed_only_whole_and_its_lengths_are_checked() {
    let valid = b"HTTP/1.1 200 OK\r\nDetail: o\r\nTag: ab\r\nMade-At: 17\r\nContent-Length: 5\r\n\r\nhello";
    for end in 0..valid.len() - 5 {
        assert_eq!(http::parse_head(&valid[..end]), Ok(None));
    }
    let (head, size) = http::parse_head(valid).expect("valid").expect("complete");
    assert_eq!((head.status, head.length, size), (200, 5, valid.len() - 5));
    assert_eq!(
        (head.tag.as_deref(), head.origin_sent_ms, head.cache_status),
        (Some("ab"), Some(17), doorgrade::CacheStatus::FilledByOrigin)
    );
    for bad in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 240001\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "SMTP\r\n\r\n",
    ] {
        assert!(http::parse_head(bad.as_bytes()).is_err(), "{bad}");
    }
    let refusal =
        http::parse_head(b"HTTP/1.1 503 Busy\r\nNot-Begun: 1\r\n\r\ncome back later").expect("valid");
    let (head, _) = refusal.expect("complete");
    assert!(head.not_begun && head.close && head.open_ended, "a refusal needs no length");
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "y".repeat(http::MAX_HEAD));
    assert!(http::parse_head(long.as_bytes()).is_err());
}

#[test]
fn an_invalid_request_is_recognised() {
    type Fields = Vec<(&'static str, String)>;
    let mut rng = Rng::with_seed(1);
    let mut decode_one = |path: &str, change: &dyn Fn(&mut Fields), body: usize| {
        let mut fields = access_fields(1, 2, 900);
        change(&mut fields);
        let (mut all, broken) = decode(&request(3, path, &fields, &vec![0; body], 0), 8192, &mut rng);
        assert!(!broken && all.len() == 1);
        all.remove(0)
    };
    assert_eq!(decode_one("/check", &|_| (), 0), ClientMessage::HealthCheck(3));
    assert!(matches!(decode_one("/do/images", &|_| (), 48_000), ClientMessage::Request(3, _)));
    assert!(matches!(decode_one("/do/images", &|_| (), 48_001), ClientMessage::Invalid(3, 413, _)));
    assert!(matches!(decode_one("/other", &|_| (), 0), ClientMessage::Invalid(3, 400, _)));
    for place in 0..3 {
        assert!(matches!(
            decode_one("/do/images", &|f| drop(f.remove(place)), 0),
            ClientMessage::Invalid(3, 400, _)
        ));
    }
    for (place, text) in [(0, "12"), (1, "0"), (1, "soon"), (2, "zz"), (3, "-1"), (4, "256"), (5, "nan")] {
        let message = decode_one("/do/images", &|f| f[place].1 = text.into(), 0);
        assert!(matches!(message, ClientMessage::Invalid(3, 400, _)), "{text}");
    }
    // Values that would end a header line of the request to the cache, or that are too long to be passed on.
    for repeat_id in ["", "a\r\nCall-Ms: 1", "a b", &"f".repeat(129)] {
        let message = decode_one("/do/images", &|f| f.push(("Req-Token", repeat_id.into())), 0);
        assert!(matches!(message, ClientMessage::Invalid(3, 400, _)), "{repeat_id:?}");
    }
}

#[test]
fn management_records_and_invalid_requests_are_answered_as_specified() {
    let mut rng = Rng::with_seed(1);
    let mut values = Vec::new();
    fastcgi::put_pair(&mut values, b"FCGI_MPXS_CONNS", b"");
    fastcgi::put_pair(&mut values, b"FCGI_UNHEARD_OF", b"");
    let begin = |id, role| record(fastcgi::BEGIN_REQUEST, id, &[0, role, 1, 0, 0, 0, 0, 0], 0);
    let mut bytes = record(fastcgi::GET_VALUES, 0, &values, 3);
    bytes.extend(record(77, 0, b"what", 0));
    bytes.extend(begin(1, 2));
    (2..35).for_each(|id| bytes.extend(begin(id, 1)));
    let (all, broken) = decode(&bytes, 64, &mut rng);
    assert!(!broken);
    let mut value = Vec::new();
    fastcgi::put_pair(&mut value, b"FCGI_MPXS_CONNS", b"1");
    assert_eq!(all[0], ClientMessage::ManagementResponse(record(fastcgi::GET_VALUES_RESULT, 0, &value, 0)));
    assert_eq!(
        all[1],
        ClientMessage::ManagementResponse(record(fastcgi::UNKNOWN_TYPE, 0, &[77, 0, 0, 0, 0, 0, 0, 0], 0))
    );
    assert_eq!(all[2], ClientMessage::EndRequest(1, fastcgi::UNKNOWN_ROLE));
    assert_eq!(all[3..], [ClientMessage::EndRequest(34, fastcgi::OVERLOADED)]);
    // A protocol version other than 1 ends the connection.
    assert!(decode(&[2, 1, 0, 1, 0, 0, 0, 0], 64, &mut rng).1);
}

#[test]
fn configuration_errors_name_the_key() {
    let valid = config(128);
    assert!(Config::read(&valid, None, None).is_ok());
    for (from, to, key) in [
        (r#""listen":"127.0.0.1:0""#, r#""listen":"nowhere""#, "listen"),
        (r#""listen":"127.0.0.1:0","#, "", "listen"),
        (r#""seed":"1f""#, r#""seed":"xyz""#, "seed"),
        (r#""sockets":128"#, r#""sockets":3"#, "limits.sockets"),
        (r#""sockets":128"#, r#""sockets":"many""#, "limits.sockets"),
        (r#""memory_mb":48"#, r#""memory_mb":1"#, "limits.memory_mb"),
        (r#""feed":"127.0.0.1:9092""#, r#""feed":7"#, "feed"),
        (r#""feed":"127.0.0.1:9092","#, "", "feed"),
        (r#""locality":"here""#, r#""locality":"there""#, "locality"),
        (r#""phase":"in_service""#, r#""phase":"asleep""#, "phase"),
        (r#""complete":true"#, r#""complete":1"#, "complete"),
        (r#""profiles":"#, r#""profils":"#, "settings.profiles"),
        (r#""semantics":"free""#, r#""semantics":"odd""#, "semantics"),
        (r#""connIdle":15000.0"#, r#""connIdle":"long""#, "connIdle"),
        (r#""zone":0"#, r#""zone":4"#, "settings.zone"),
        (r#""connectTimeout":400.0"#, r#""connectTimeout":1e300"#, "connectTimeout"),
    ] {
        assert!(valid.contains(from), "{from}");
        let reason = Config::read(&valid.replacen(from, to, 1), None, None).err().expect("a message");
        assert!(reason.contains(key), "'{key}' is not named: {reason}");
    }
    let named = Config::read(&valid, Some("n7".into()), Some("127.0.0.2:81".into())).expect("valid");
    assert_eq!((named.name.as_str(), named.listen.port()), ("n7", 81));
}

#[test]
fn events_of_frames_and_of_the_start_mean_the_same() {
    let names = ZoneAndKindNames { zones: vec!["here".into()], kinds: vec!["cache".into()] };
    let mut buffer = RingBuffer::new(64);
    buffer.put(&frame(9, 2, &member_record(0x2a, 8080, 1, 0, 1_500)));
    let read = Frames::default().next(&mut buffer, &names).expect("valid");
    let Some((9, Some(Event::List { complete: false, members }))) = read else { panic!("not a list") };
    let m = &members[0].member;
    assert_eq!((&*m.id, m.weight, m.started_at), ("s-0000002a", 1.0, Some(15_000)));
    assert_eq!((m.status, members[0].address.port()), (doorgrade::MemberStatus::Draining, 8080));
}

#[test]
fn bodies_that_find_no_room_are_refused_and_not_held() {
    let (mut intake, mut all) = (Intake::default(), Vec::new());
    let bytes =
        [1, 2].map(|id| request(id, "/do/images", &access_fields(1, 2, 900), &[7; 9_000], 0)).concat();
    pass_through(&bytes, &mut RingBuffer::new(4096), &mut Rng::with_seed(1), |buffer| {
        while let Some(message) = intake.next(buffer, 12_000 - intake.held_bytes()).expect("valid records") {
            all.push(message);
        }
        assert!(intake.held_bytes() <= 12_000);
    });
    assert!(
        matches!(all[..], [ClientMessage::Request(1, _), ClientMessage::Request(2, _)]),
        "one after the other they fit"
    );
    let mut all = Vec::new();
    let mut both = [3, 4].map(|id| request(id, "/do/images", &access_fields(1, 2, 900), &[7; 9_000], 0));
    let ends = both.each_mut().map(|bytes| bytes.split_off(bytes.len() - fastcgi::HEADER));
    pass_through(
        &[both, ends].concat().concat(),
        &mut RingBuffer::new(4096),
        &mut Rng::with_seed(1),
        |buffer| {
            while let Some(message) =
                intake.next(buffer, 12_000 - intake.held_bytes()).expect("valid records")
            {
                all.push(message);
            }
        },
    );
    let all: Vec<_> = all
        .into_iter()
        .map(|s| match s {
            ClientMessage::Request(id, r) => (id, r.body.len()),
            ClientMessage::Invalid(id, status, _) => (id, status.into()),
            _ => (0, 0),
        })
        .collect();
    assert_eq!(all, [(3, 9_000), (4, 503)], "side by side they do not");
}

#[test]
fn bounds_stay_within_the_limits() {
    for (memory_mb, sockets) in
        [(192, 1024), (32, 32), (48, 64), (64, 4096), (2048, 4096), (1 << 20, 1 << 20)]
    {
        let b = Bounds::new(&Limits { memory_mb, sockets });
        assert!(b.clients + b.lines <= sockets - 14, "{b:?}");
        // Buffers for writing to clients are counted with the bodies while they are in use.
        let buffers = b.clients * (bounds::CLIENT_IN + answer::MIN_BUFFER)
            + (b.lines + b.lent) * (bounds::CACHE_IN + bounds::CACHE_OUT);
        assert!(buffers + b.bodies <= memory_mb << 20, "{b:?}");
        assert!(b.clients >= 4 && b.lines >= 4);
    }
}
