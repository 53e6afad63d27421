//! Hashes with the same result on every instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a name.
pub(crate) fn name(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Hash of some bytes.
pub(crate) fn bytes(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Hash of two numbers, in order.
pub(crate) fn pair(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^= x >> 31;
    x.wrapping_add(b).wrapping_mul(0xD6E8_FEB8_6659_FD93) ^ (x >> 32)
}

/// Uniform number in (0, 1) for a key and a node.
///
/// In rendezvous hashing among nodes of equal weight, the node with the greatest
/// number owns the key.
pub(crate) fn draw(key: u64, node: u64) -> f64 {
    let bits = pair(key, node) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}

/// Score of a node in weighted rendezvous hashing; the greatest score owns the key.
///
/// Among nodes of equal weight the scores have the same order as the draws.
pub(crate) fn score(draw: f64, weight: u32) -> f64 {
    -f64::from(weight) / draw.ln()
}
