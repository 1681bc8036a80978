//! Compression of large updates between gateways, whose routes have much in common. Source: RFC 1951.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use hyper::header::HeaderValue;

/// The content coding of a compressed update.
pub const CODING: HeaderValue = HeaderValue::from_static("deflate");

/// Compresses bytes, for little processor time.
///
/// # Errors
///
/// None that the encoder is known to have when it writes into memory.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::compression;
///
/// let compressed = compression::compress(&[7; 1_000]).unwrap();
/// assert!(compressed.len() < 100);
/// assert_eq!(compression::decompress(&compressed, 1_000).unwrap(), vec![7; 1_000]);
/// assert!(compression::decompress(&compressed, 999).is_err());
/// ```
pub fn compress(bytes: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish().map(Bytes::from)
}

/// Returns the bytes that were compressed.
///
/// # Errors
///
/// If they are malformed, or more than `max`.
pub fn decompress(compressed: &[u8], max: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(max as u64 + 1);
    decoder.read_to_end(&mut bytes)?;
    match bytes.len() <= max {
        true => Ok(bytes),
        false => Err(io::ErrorKind::FileTooLarge.into()),
    }
}
