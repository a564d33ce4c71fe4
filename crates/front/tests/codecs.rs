//! Each codec whole against split, its limits, and random bytes; the ring at its edges; configuration errors
//! by key.

mod helper;

use doorgrade_front::answer::{Outbox, Reply};
use doorgrade_front::bounds::{self, Bounds};
use doorgrade_front::config::{Config, Limits};
use doorgrade_front::fastcgi::{self, Decoder};
use doorgrade_front::feed::{Event, Frames, Names};
use doorgrade_front::http;
use doorgrade_front::intake::{Intake, Said};
use doorgrade_front::ring::Ring;
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

/// Room for bodies, where it does not matter.
const ROOM: usize = 1 << 20;

/// Hands the bytes over in pieces, through a ring of the given size.
fn through(bytes: &[u8], ring: &mut Ring, rng: &mut Rng, mut take: impl FnMut(&mut Ring)) {
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = ring.put(&rest[..rng.usize(1..=rest.len().min(ring.free().max(1)))]);
        rest = &rest[count..];
        let before = ring.len();
        take(ring);
        if count == 0 && ring.len() == before {
            return; // Nothing moves: a record that is not to be read.
        }
    }
}

fn said(bytes: &[u8], capacity: usize, rng: &mut Rng) -> (Vec<Said>, bool) {
    let (mut intake, mut all, mut broken) = (Intake::default(), Vec::new(), false);
    through(bytes, &mut Ring::new(capacity), rng, |ring| {
        while !broken {
            match intake.next(ring, ROOM) {
                Ok(Some(said)) => all.push(said),
                Ok(None) => return,
                Err(_) => broken = true,
            }
        }
        ring.clear();
    });
    (all, broken)
}

proptest! {
    #![proptest_config(fixed(200))]

    #[test]
    fn the_ring_gives_back_what_it_took(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let mut ring = Ring::new(r.usize(0..20));
        let (mut model, mut next) = (std::collections::VecDeque::new(), 0u8);
        for _ in 0..200 {
            if r.bool() {
                let bytes: Vec<u8> = (0..r.usize(..25)).map(|_| { next = next.wrapping_add(1); next }).collect();
                let count = ring.put(&bytes);
                model.extend(&bytes[..count]);
                prop_assert!(count == bytes.len() || ring.free() == 0);
            } else if r.bool() {
                let count = r.usize(..25);
                ring.consume(count);
                model.drain(..count.min(model.len()));
            } else {
                let room = ring.back().len().min(1);
                ring.back()[..room].fill(9);
                ring.filled(room);
                model.extend(&[9u8][..room]);
            }
            prop_assert_eq!(ring.len(), model.len());
            prop_assert!(ring.is_empty() || !ring.front().is_empty());
            if r.u8(..4) == 0 {
                prop_assert_eq!(ring.whole(), model.make_contiguous() as &[u8]);
            }
        }
    }

    #[test]
    fn requests_read_the_same_however_they_are_split(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let (mut bytes, mut expected) = (Vec::new(), Vec::new());
        for id in 1..r.u16(2..6) {
            let body: Vec<u8> = (0..r.usize(..20_000)).map(|_| r.u8(..)).collect();
            bytes.extend(request(id, "/do/images", &access(id.into(), 77, 900), &body, r.u8(..)));
            expected.push((id, body));
            if r.bool() {
                bytes.extend(record(fastcgi::ABORT_REQUEST, id, &[], r.u8(..)));
            }
        }
        let whole = said(&bytes, 8 * 1024, &mut r);
        let split = said(&bytes, r.usize(16..500), &mut r);
        prop_assert_eq!(&whole.0, &split.0);
        prop_assert!(!whole.1 && !split.1);
        let asked: Vec<_> = whole.0.into_iter().filter_map(|s| match s {
            Said::Ask(id, request) => Some((id, request.body)),
            _ => None,
        }).collect();
        prop_assert_eq!(asked, expected);
    }

    #[test]
    fn random_bytes_break_nothing(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let mut bytes: Vec<u8> = (0..r.usize(..3_000)).map(|_| r.u8(..)).collect();
        // Most random bytes fail at the first; sound headers let them get further.
        for at in (0..bytes.len().saturating_sub(8)).step_by(40) {
            bytes[at..at + 8].copy_from_slice(&[1, r.u8(..13), 0, r.u8(..3), 0, 28, 4, 0]);
        }
        let whole = said(&bytes, 4096, &mut r);
        let split = said(&bytes, 64, &mut r);
        prop_assert_eq!(whole, split);
        let _ = http::head(&bytes);
        let mut head = b"HTTP/1.1 200 OK\r\n".to_vec();
        head.extend(bytes.iter().map(|b| b & 0x7f));
        let _ = http::head(&head);
        let names = Names { zones: vec!["here".into()], kinds: vec!["cache".into()] };
        let (mut frames, mut lost) = (Frames::default(), false);
        let sound = frame(3, r.u8(..6), &bytes);
        for stream in [&sound, &bytes] {
            through(stream, &mut Ring::new(100), &mut r, |ring| {
                while !lost {
                    match frames.next(ring, &names) {
                        Ok(Some(_)) => {}
                        Ok(None) => return,
                        Err(_) => lost = true,
                    }
                }
                ring.clear();
            });
        }
    }

    #[test]
    fn answers_come_out_whole_and_take_turns(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let (mut outbox, mut bodies, mut done) = (Outbox::default(), Vec::new(), Vec::new());
        for id in 1..=r.u16(1..9) {
            let body: Vec<u8> = (0..r.usize(..60_000)).map(|_| r.u8(..)).collect();
            outbox.put(id, Reply { body: body.clone(), tag: Some("ab"), ..Reply::bare(200) }, false);
            bodies.push(body);
        }
        let (mut ring, mut decoder) = (Ring::new(r.usize(64..40_000)), Decoder::default());
        let mut outputs = vec![Vec::new(); bodies.len() + 1];
        let mut ends = vec![0; bodies.len() + 1];
        while !outbox.is_empty() {
            outbox.fill(&mut ring, |id| done.push(id));
            prop_assert!(!ring.is_empty());
            while let Some(piece) = decoder.next(&mut ring).expect("sound records") {
                let content = &ring.front()[..piece.len];
                match piece.kind {
                    fastcgi::STDOUT => outputs[usize::from(piece.id)].extend_from_slice(content),
                    _ => ends[usize::from(piece.id)] += usize::from(piece.last),
                }
                ring.consume(piece.len);
            }
        }
        prop_assert_eq!(outbox.held, 0);
        prop_assert_eq!(done.len(), bodies.len());
        for (place, body) in bodies.iter().enumerate() {
            prop_assert_eq!(ends[place + 1], 1);
            let got = answer(&outputs[place + 1]);
            prop_assert_eq!((got.status, &got.body), (200, body));
        }
    }

    #[test]
    fn frames_read_the_same_however_they_are_split(seed in any::<u64>()) {
        let mut r = Rng::with_seed(seed);
        let names = Names { zones: vec!["here".into()], kinds: vec!["cache".into(), "parent".into()] };
        let (mut bytes, mut numbers) = (Vec::new(), Vec::new());
        for number in 1..r.u64(2..12) {
            let list: Vec<u8> = (0..r.u32(..30)).flat_map(|id| listed(id, 9000, 0, 1, 7)).collect();
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
        through(&bytes, &mut Ring::new(r.usize(8..200)), &mut r, |ring| {
            while let Some((number, _)) = frames.next(ring, &names).expect("sound frames") {
                got.push(number);
            }
        });
        prop_assert_eq!(got, numbers);
    }
}

#[test]
fn a_head_is_read_only_whole_and_its_lengths_are_checked() {
    let sound = b"HTTP/1.1 200 OK\r\nDetail: o\r\nTag: ab\r\nMade-At: 17\r\nContent-Length: 5\r\n\r\nhello";
    for end in 0..sound.len() - 5 {
        assert_eq!(http::head(&sound[..end]), Ok(None));
    }
    let (head, size) = http::head(sound).expect("sound").expect("whole");
    assert_eq!((head.status, head.length, size), (200, 5, sound.len() - 5));
    assert_eq!(
        (head.tag.as_deref(), head.made_at, head.note),
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
        assert!(http::head(bad.as_bytes()).is_err(), "{bad}");
    }
    let refusal = http::head(b"HTTP/1.1 503 Busy\r\nNot-Begun: 1\r\n\r\ncome back later").expect("sound");
    let (head, _) = refusal.expect("whole");
    assert!(head.not_begun && head.closes && head.open_ended, "a refusal needs no length");
    let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "y".repeat(http::MOST_HEAD));
    assert!(http::head(long.as_bytes()).is_err());
}

#[test]
fn a_request_that_cannot_be_used_is_told_apart() {
    type Fields = Vec<(&'static str, String)>;
    let mut rng = Rng::with_seed(1);
    let mut one = |path: &str, change: &dyn Fn(&mut Fields), body: usize| {
        let mut fields = access(1, 2, 900);
        change(&mut fields);
        let (mut all, broken) = said(&request(3, path, &fields, &vec![0; body], 0), 8192, &mut rng);
        assert!(!broken && all.len() == 1);
        all.remove(0)
    };
    assert_eq!(one("/check", &|_| (), 0), Said::Check(3));
    assert!(matches!(one("/do/images", &|_| (), 48_000), Said::Ask(3, _)));
    assert!(matches!(one("/do/images", &|_| (), 48_001), Said::Unusable(3, 413, _)));
    assert!(matches!(one("/other", &|_| (), 0), Said::Unusable(3, 400, _)));
    for place in 0..3 {
        assert!(matches!(one("/do/images", &|f| drop(f.remove(place)), 0), Said::Unusable(3, 400, _)));
    }
    for (place, text) in [(0, "12"), (1, "0"), (1, "soon"), (2, "zz"), (3, "-1"), (4, "256"), (5, "nan")] {
        let said = one("/do/images", &|f| f[place].1 = text.into(), 0);
        assert!(matches!(said, Said::Unusable(3, 400, _)), "{text}");
    }
    // What would end a line of ours, or can't be passed on whole.
    for mark in ["", "a\r\nCall-Ms: 1", "a b", &"f".repeat(129)] {
        let said = one("/do/images", &|f| f.push(("Req-Token", mark.into())), 0);
        assert!(matches!(said, Said::Unusable(3, 400, _)), "{mark:?}");
    }
}

#[test]
fn management_records_and_wrong_beginnings_are_answered_as_specified() {
    let mut rng = Rng::with_seed(1);
    let mut values = Vec::new();
    fastcgi::put_pair(&mut values, b"FCGI_MPXS_CONNS", b"");
    fastcgi::put_pair(&mut values, b"FCGI_UNHEARD_OF", b"");
    let begin = |id, role| record(fastcgi::BEGIN_REQUEST, id, &[0, role, 1, 0, 0, 0, 0, 0], 0);
    let mut bytes = record(fastcgi::GET_VALUES, 0, &values, 3);
    bytes.extend(record(77, 0, b"what", 0));
    bytes.extend(begin(1, 2));
    (2..35).for_each(|id| bytes.extend(begin(id, 1)));
    let (all, broken) = said(&bytes, 64, &mut rng);
    assert!(!broken);
    let mut value = Vec::new();
    fastcgi::put_pair(&mut value, b"FCGI_MPXS_CONNS", b"1");
    assert_eq!(all[0], Said::Reply(record(fastcgi::GET_VALUES_RESULT, 0, &value, 0)));
    assert_eq!(all[1], Said::Reply(record(fastcgi::UNKNOWN_TYPE, 0, &[77, 0, 0, 0, 0, 0, 0, 0], 0)));
    assert_eq!(all[2], Said::Over(1, fastcgi::UNKNOWN_ROLE));
    assert_eq!(all[3..], [Said::Over(34, fastcgi::OVERLOADED)]);
    // A version other than 1 is the connection's end.
    assert!(said(&[2, 1, 0, 1, 0, 0, 0, 0], 64, &mut rng).1);
}

#[test]
fn configuration_errors_name_the_key() {
    let sound = config(128);
    assert!(Config::read(&sound, None, None).is_ok());
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
        assert!(sound.contains(from), "{from}");
        let why = Config::read(&sound.replacen(from, to, 1), None, None).err().expect("a message");
        assert!(why.contains(key), "'{key}' is not named: {why}");
    }
    let named = Config::read(&sound, Some("n7".into()), Some("127.0.0.2:81".into())).expect("sound");
    assert_eq!((named.name.as_str(), named.listen.port()), ("n7", 81));
}

#[test]
fn events_of_frames_and_of_the_start_mean_the_same() {
    let names = Names { zones: vec!["here".into()], kinds: vec!["cache".into()] };
    let mut ring = Ring::new(64);
    ring.put(&frame(9, 2, &listed(0x2a, 8080, 1, 0, 1_500)));
    let read = Frames::default().next(&mut ring, &names).expect("sound");
    let Some((9, Some(Event::List { whole: false, members }))) = read else { panic!("not a list") };
    let m = &members[0].member;
    assert_eq!((&*m.id, m.weight, m.started_at), ("s-0000002a", 1.0, Some(15_000)));
    assert_eq!((m.status, members[0].at.port()), (doorgrade::MemberStatus::Draining, 8080));
}

#[test]
fn bodies_that_find_no_room_are_refused_and_not_held() {
    let (mut intake, mut all) = (Intake::default(), Vec::new());
    let bytes = [1, 2].map(|id| request(id, "/do/images", &access(1, 2, 900), &[7; 9_000], 0)).concat();
    through(&bytes, &mut Ring::new(4096), &mut Rng::with_seed(1), |ring| {
        while let Some(said) = intake.next(ring, 12_000 - intake.held()).expect("sound records") {
            all.push(said);
        }
        assert!(intake.held() <= 12_000);
    });
    assert!(matches!(all[..], [Said::Ask(1, _), Said::Ask(2, _)]), "one after the other there is room");
    let mut all = Vec::new();
    let mut both = [3, 4].map(|id| request(id, "/do/images", &access(1, 2, 900), &[7; 9_000], 0));
    let ends = both.each_mut().map(|bytes| bytes.split_off(bytes.len() - fastcgi::HEADER));
    through(&[both, ends].concat().concat(), &mut Ring::new(4096), &mut Rng::with_seed(1), |ring| {
        while let Some(said) = intake.next(ring, 12_000 - intake.held()).expect("sound records") {
            all.push(said);
        }
    });
    let all: Vec<_> = all
        .into_iter()
        .map(|s| match s {
            Said::Ask(id, r) => (id, r.body.len()),
            Said::Unusable(id, status, _) => (id, status.into()),
            _ => (0, 0),
        })
        .collect();
    assert_eq!(all, [(3, 9_000), (4, 503)], "side by side there is not");
}

#[test]
fn bounds_stay_within_the_limits_told() {
    for (memory_mb, sockets) in
        [(192, 1024), (32, 32), (48, 64), (64, 4096), (2048, 4096), (1 << 20, 1 << 20)]
    {
        let b = Bounds::new(&Limits { memory_mb, sockets });
        assert!(b.clients + b.lines <= sockets - 14, "{b:?}");
        let rings = b.clients * (bounds::CLIENT_IN + bounds::CLIENT_OUT)
            + b.lines * (bounds::LINE_IN + bounds::LINE_OUT);
        assert!(rings + b.bodies <= memory_mb << 20, "{b:?}");
        assert!(b.clients >= 4 && b.lines >= 4);
    }
}
