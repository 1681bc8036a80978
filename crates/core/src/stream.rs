//! Checks that the parts of a streamed answer belong to one request, are contiguous and are complete.

use snafu::ensure;

use crate::errors::{LengthMismatchSnafu, RequestMismatchSnafu, Result, SequenceSnafu};
use crate::fence::RequestId;

/// How a part relates to the parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The part begins where the last one ended.
    Next,
    /// The part was delivered before, by a stream that broke off.
    Duplicate,
}

/// The position in one streamed answer. It is kept over all streams that deliver the answer: after one breaks off, the
/// next one resumes at the offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    id: RequestId,
    offset: u64,
}

impl Cursor {
    /// Creates a cursor at the start of an answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::fence::RequestId;
    /// use sardinemux_core::stream::{Continuity, Cursor};
    ///
    /// let id = RequestId::from_u128(1);
    /// let mut cursor = Cursor::new(id);
    /// assert_eq!(cursor.accept(id, 0, 3), Ok(Continuity::Next));
    /// assert_eq!(cursor.accept(id, 0, 3), Ok(Continuity::Duplicate));
    /// assert!(cursor.accept(id, 5, 1).is_err());
    /// assert!(cursor.check_total(3).is_ok());
    /// ```
    pub fn new(id: RequestId) -> Self {
        Self { id, offset: 0 }
    }

    /// Creates a cursor in an answer of which the first `offset` units have already been delivered.
    pub fn from_offset(id: RequestId, offset: u64) -> Self {
        Self { id, offset }
    }

    /// Returns the offset at which the next part must begin, in units of the answer.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Expects parts of a further dispatch of the same request from now on, and keeps the offset.
    pub fn set_dispatch(&mut self, id: RequestId) {
        self.id = id;
    }

    /// Checks a part of `length` units that begins at `offset`, and advances past it if it is the next one.
    ///
    /// # Errors
    ///
    /// `Error::RequestMismatch` for a part of another dispatch, `Error::Sequence` for a gap or a partial overlap.
    pub fn accept(&mut self, id: RequestId, offset: u64, length: u64) -> Result<Continuity> {
        ensure!(id == self.id, RequestMismatchSnafu);
        let expected = self.offset;
        if offset + length <= expected && length > 0 {
            return Ok(Continuity::Duplicate);
        }
        let found = offset;
        ensure!(offset == expected, SequenceSnafu { expected, found });
        self.offset += length;
        Ok(Continuity::Next)
    }

    /// Checks the total length that the end of the stream states.
    ///
    /// # Errors
    ///
    /// `Error::LengthMismatch` if the total differs from the length that has arrived.
    pub fn check_total(&self, total: u64) -> Result<()> {
        let found = self.offset;
        let expected = total;
        ensure!(found == expected, LengthMismatchSnafu { expected, found });
        Ok(())
    }
}
