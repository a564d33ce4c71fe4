//! Seals: what was altered, meant for another, or sealed by nobody is refused, and says why.

use std::net::SocketAddrV4;

use doorgrade_members::seal::{Keys, LENGTH, Refused};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn keys(numbers: &[u32]) -> Keys {
    Keys::new(&numbers.iter().map(|&n| (n, vec![n as u8; 32])).collect::<Vec<_>>())
}

#[test]
fn a_word_is_good_at_its_address_under_a_known_key_alone() {
    let sealed = keys(&[1, 2]).seal(at(1), b"a word").unwrap();
    assert_eq!(keys(&[1, 2]).open(at(1), &sealed), Ok(&b"a word"[..]));
    assert_eq!(keys(&[2, 3]).open(at(1), &sealed), Ok(&b"a word"[..]), "while keys change hands");
    assert_eq!(keys(&[1]).open(at(1), &sealed), Err(Refused::Key(2)));
    assert_eq!(keys(&[1, 2]).open(at(2), &sealed), Err(Refused::False), "turned back, or sent on");
    assert_eq!(keys(&[1, 2]).open(at(1), &sealed[..LENGTH - 1]), Err(Refused::Short));
    let mut later = sealed;
    later[0] = 2;
    assert_eq!(keys(&[1, 2]).open(at(1), &later), Err(Refused::Version(2)));
    assert_eq!(Keys::default().seal(at(1), b"a word"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_bit_altered_is_refused(said in proptest::collection::vec(any::<u8>(), 0..64), bit in any::<usize>()) {
        let keys = keys(&[7]);
        let mut sealed = keys.seal(at(1), &said).unwrap();
        let bit = bit % (sealed.len() * 8);
        sealed[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(keys.open(at(1), &sealed).is_err());
    }
}
