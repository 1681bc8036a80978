//! How messages are written: MessagePack, and in a stream a 32-bit big-endian length before each.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ensure, ResultExt};

use crate::errors::{DecodeSnafu, EncodeSnafu, LargeSnafu, Result};

/// The largest message in a stream, in bytes.
pub const MESSAGE_MAX: usize = 16 * 1024 * 1024;

/// The length before each message of a stream, in bytes.
const PREFIX: usize = 4;

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
/// `Error::Encode` as in [`encode`], `Error::Large` over [`MESSAGE_MAX`].
pub fn encode_part<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = encode(message)?;
    let length = body.len();
    let limit = MESSAGE_MAX;
    ensure!(length <= limit, LargeSnafu { length, limit });
    let mut bytes = BytesMut::with_capacity(PREFIX + length);
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
    /// let bytes = codec::encode_part(&7u32)?;
    /// let mut decoder = Decoder::default();
    /// decoder.put(&bytes[..3]);
    /// assert_eq!(decoder.take::<u32>()?, None);
    /// decoder.put(&bytes[3..]);
    /// assert_eq!(decoder.take::<u32>()?, Some(7));
    /// # Ok::<(), sardinemux_wire::prelude::Error>(())
    /// ```
    pub fn put(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole message, if there is one.
    ///
    /// # Errors
    ///
    /// `Error::Large` or `Error::Decode`; the stream cannot be read on after either.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        let limit = MESSAGE_MAX;
        ensure!(length <= limit, LargeSnafu { length, limit });
        if self.buffer.len() < PREFIX + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        let body = self.buffer.split_to(length);
        decode(&body).map(Some)
    }
}
