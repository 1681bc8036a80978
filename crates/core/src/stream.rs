//! Whether the parts of a streamed answer follow one another, belong together and are all there.

use snafu::ensure;

use crate::errors::{CrossedSnafu, Result, SequenceSnafu, ShortSnafu};
use crate::fence::RequestId;

/// What a part is to the stream so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It is the next one.
    Next,
    /// It was delivered before, by the stream that was cut.
    Duplicate,
}

/// Follows one answer through all its streams; after a cut the next stream resumes at the offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    id: RequestId,
    offset: u64,
}

impl Cursor {
    /// Starts to follow an answer.
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

    /// Starts to follow an answer of which the first `offset` units are there already.
    pub fn from_offset(id: RequestId, offset: u64) -> Self {
        Self { id, offset }
    }

    /// Returns the offset at which the next part must begin.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Follows a further dispatch of the same request, under the id of that dispatch.
    pub fn set_dispatch(&mut self, id: RequestId) {
        self.id = id;
    }

    /// Takes in a part of `length` units that begins at `offset`.
    ///
    /// # Errors
    ///
    /// `Error::Crossed` for a part of another request, `Error::Sequence` for a gap or an overlap.
    pub fn accept(&mut self, id: RequestId, offset: u64, length: u64) -> Result<Continuity> {
        ensure!(id == self.id, CrossedSnafu);
        let expected = self.offset;
        if offset + length <= expected && length > 0 {
            return Ok(Continuity::Duplicate);
        }
        let found = offset;
        ensure!(offset == expected, SequenceSnafu { expected, found });
        self.offset += length;
        Ok(Continuity::Next)
    }

    /// Checks the total that the end mark states.
    ///
    /// # Errors
    ///
    /// `Error::Short` if it differs from what has arrived.
    pub fn check_total(&self, total: u64) -> Result<()> {
        let found = self.offset;
        let expected = total;
        ensure!(found == expected, ShortSnafu { expected, found });
        Ok(())
    }
}
