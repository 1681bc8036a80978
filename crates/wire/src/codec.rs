//! How messages are written: MessagePack, and in a stream a 32-bit big-endian length before each.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ensure, ResultExt};

use crate::errors::{DecodeSnafu, EncodeSnafu, Result, TooLargeSnafu};

/// The largest message in a stream, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The length before each message of a stream, in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes a message.
///
/// # Errors
///
/// `Error::Encode` if the type cannot be written as MessagePack.
///
/// # Examples
///
/// ```
/// use sardinemux_wire::codec;
///
/// let bytes = codec::encode(&(1, "one"))?;
/// assert_eq!(codec::decode::<(u8, String)>(&bytes)?, (1, "one".to_owned()));
/// # Ok::<(), sardinemux_wire::prelude::Error>(())
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).context(EncodeSnafu)
}

/// Decodes a message.
///
/// # Errors
///
/// `Error::Decode` if the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let length = bytes.len();
    rmp_serde::from_slice(bytes).context(DecodeSnafu { length })
}

/// Encodes a message of a stream, with its length before it.
///
/// # Errors
///
/// `Error::Encode` as in [`encode`], `Error::TooLarge` over [`MESSAGE_MAX_BYTES`].
pub fn encode_prefixed<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = encode(message)?;
    let length = body.len();
    let limit = MESSAGE_MAX_BYTES;
    ensure!(length <= limit, TooLargeSnafu { length, limit });
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    bytes.put_u32(length as u32);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Takes a stream of bytes apart into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Takes in what has arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_wire::codec::{self, Decoder};
    ///
    /// let bytes = codec::encode_prefixed(&7u32)?;
    /// let mut decoder = Decoder::default();
    /// decoder.push_bytes(&bytes[..3]);
    /// assert_eq!(decoder.next_message::<u32>()?, None);
    /// decoder.push_bytes(&bytes[3..]);
    /// assert_eq!(decoder.next_message::<u32>()?, Some(7));
    /// # Ok::<(), sardinemux_wire::prelude::Error>(())
    /// ```
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole message, if there is one.
    ///
    /// # Errors
    ///
    /// `Error::TooLarge` or `Error::Decode`; the stream cannot be read on after either.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        let limit = MESSAGE_MAX_BYTES;
        ensure!(length <= limit, TooLargeSnafu { length, limit });
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let body = self.buffer.split_to(length);
        decode(&body).map(Some)
    }
}
