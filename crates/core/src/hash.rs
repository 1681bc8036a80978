//! Hashes that are the same on all instances and in all versions.
//!
//! XXH3 with a fixed seed. Changing the seed or the layout moves every chat, so `tests/hash.rs`
//! holds test vectors.

use xxhash_rust::xxh3::Xxh3;

/// The seed of every placement hash.
pub const SEED: u64 = 0x5344_4d58_0000_0001;

/// Hashes a list of parts. Each part is preceded by its length, so that no two lists collide by
/// concatenation.
///
/// # Examples
///
/// ```
/// use sardinemux_core::hash;
///
/// assert_ne!(hash::digest(&[b"ab", b"c"]), hash::digest(&[b"a", b"bc"]));
/// ```
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::with_seed(SEED);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the score of weighted rendezvous hashing, `-weight / ln(u)` with `u` uniform in (0, 1).
///
/// Source: Schindelhauer and Schomaker, "Weighted distributed hash tables", SPAA 2005.
///
/// # Examples
///
/// ```
/// use sardinemux_core::hash;
///
/// assert!(hash::rendezvous_score(7, 2.0) > hash::rendezvous_score(7, 1.0));
/// ```
pub fn rendezvous_score(hash: u64, weight: f64) -> f64 {
    // The upper 53 bits fill the mantissa of a double; the half keeps `u` off zero and one.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}
