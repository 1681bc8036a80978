//! Hashes that are equal on all instances and in all versions.
//!
//! The hash is XXH3 with a fixed seed. A change of the seed or of the layout of the input moves every
//! chat to another target, so `tests/decisions.rs` contains test vectors.

use xxhash_rust::xxh3::Xxh3;

/// The seed of every placement hash.
pub const SEED: u64 = 0x5344_4d58_0000_0001;

/// Returns the hash of a list of parts. Each part is preceded by its length, so that two lists whose
/// parts concatenate to the same bytes have different input.
///
/// # Examples
///
/// ```
/// use sardinemux_core::hash;
///
/// assert_ne!(hash::digest(&[b"ab", b"c"]), hash::digest(&[b"a", b"bc"]));
/// ```
pub fn digest(parts: &[&[u8]]) -> u64 {
    let (last, others) = match parts.split_last() {
        Some((last, others)) => (Some(*last), others),
        None => return Xxh3::with_seed(SEED).digest(),
    };
    digest_segments(others, last.into_iter())
}

/// Returns the hash of a list of parts of which the last one is in segments.
///
/// # Examples
///
/// ```
/// use sardinemux_core::hash;
///
/// let segments: [&[u8]; 2] = [b"b", b"c"];
/// assert_eq!(hash::digest_segments(&[b"a"], segments.into_iter()), hash::digest(&[b"a", b"bc"]));
/// ```
pub fn digest_segments<'a>(parts: &[&[u8]], last: impl Iterator<Item = &'a [u8]> + Clone) -> u64 {
    let mut hasher = Xxh3::with_seed(SEED);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let length: usize = last.clone().map(<[u8]>::len).sum();
    hasher.update(&(length as u64).to_le_bytes());
    for segment in last {
        hasher.update(segment);
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
    // The upper 53 bits fill the significand of a double; adding one half excludes 0 and 1.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / uniform.ln()
}
