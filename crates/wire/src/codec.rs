//! The encoding of messages: MessagePack, and in a stream a prefix before each message that states its length in bytes
//! as a 32-bit big-endian number.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ensure, ResultExt};

use crate::errors::{DecodeSnafu, EncodeSnafu, Result, TooLargeSnafu};

/// The greatest length of a message in a stream, in bytes, without its prefix.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The size of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes a message without a length prefix.
///
/// # Errors
///
/// `Error::Encode` if the message cannot be written as MessagePack.
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

/// Decodes a message that has no length prefix.
///
/// # Errors
///
/// `Error::Decode` if the bytes are not a message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let length = bytes.len();
    rmp_serde::from_slice(bytes).context(DecodeSnafu { length })
}

/// Encodes a message of a stream, with its length prefix.
///
/// # Errors
///
/// `Error::Encode` as in [`encode`], `Error::TooLarge` if the message is longer than [`MESSAGE_MAX_BYTES`].
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

/// Splits a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Appends received bytes to the buffer.
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

    /// Removes the next message from the buffer and returns it, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// `Error::TooLarge` if the prefix states a length over [`MESSAGE_MAX_BYTES`], `Error::Decode` if the bytes are not
    /// a message of this type. The stream must not be read further after either.
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
