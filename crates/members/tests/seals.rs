//! Seals: a datagram that was altered, that is for another address or that has no known key is rejected with the reason.

use std::net::SocketAddrV4;

use doorgrade_members::seal::{Keys, Rejection, SEAL_BYTES};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn keys(numbers: &[u32]) -> Keys {
    Keys::new(&numbers.iter().map(|&n| (n, vec![n as u8; 32])).collect::<Vec<_>>())
}

#[test]
fn a_datagram_is_valid_only_at_its_address_and_under_a_known_key() {
    let sealed = keys(&[1, 2]).seal(address(1), b"payload").unwrap();
    assert_eq!(keys(&[1, 2]).open(address(1), &sealed), Ok(&b"payload"[..]));
    assert_eq!(keys(&[2, 3]).open(address(1), &sealed), Ok(&b"payload"[..]), "while keys are rotated");
    assert_eq!(keys(&[1]).open(address(1), &sealed), Err(Rejection::UnknownKey(2)));
    assert_eq!(
        keys(&[1, 2]).open(address(2), &sealed),
        Err(Rejection::InvalidTag),
        "reflected, or forwarded"
    );
    assert_eq!(keys(&[1, 2]).open(address(1), &sealed[..SEAL_BYTES - 1]), Err(Rejection::TooShort));
    let mut other_version = sealed;
    other_version[0] = 2;
    assert_eq!(keys(&[1, 2]).open(address(1), &other_version), Err(Rejection::UnknownVersion(2)));
    assert_eq!(Keys::default().seal(address(1), b"payload"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn a_datagram_with_one_bit_flipped_is_rejected(payload in proptest::collection::vec(any::<u8>(), 0..64), bit in any::<usize>()) {
        let keys = keys(&[7]);
        let mut sealed = keys.seal(address(1), &payload).unwrap();
        let bit = bit % (sealed.len() * 8);
        sealed[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(keys.open(address(1), &sealed).is_err());
    }
}
