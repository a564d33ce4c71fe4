//! Stable hashes: every front computes the same values, independent of platform and compiler version.

/// Mixes all bits of a value (the finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a string.
pub fn text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// A pseudo-random number in (0, 1), determined by the pair.
pub fn unit(a: u64, b: u64) -> f64 {
    let x = mix(a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
