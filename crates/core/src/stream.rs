//! Whether the parts of a streamed answer follow one another, belong together and are all there.

use snafu::ensure;

use crate::errors::{LengthMismatchSnafu, RequestMismatchSnafu, Result, SequenceSnafu};
use crate::fence::RequestId;

/// What a part is to the stream so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It is the next one.
    Next,
    /// It was delivered before, by the stream that was cut.
    Repeated,
}

/// Follows one answer through all its streams; after a cut the next stream resumes at the offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    id: RequestId,
    offset: u64,
}

impl Order {
    /// Starts to follow an answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::fence::RequestId;
    /// use sardinemux_core::stream::{Order, Part};
    ///
    /// let id = RequestId::from_u128(1);
    /// let mut order = Order::new(id);
    /// assert_eq!(order.accept(id, 0, 3), Ok(Part::Next));
    /// assert_eq!(order.accept(id, 0, 3), Ok(Part::Repeated));
    /// assert!(order.accept(id, 5, 1).is_err());
    /// assert!(order.end(3).is_ok());
    /// ```
    pub fn new(id: RequestId) -> Self {
        Self { id, offset: 0 }
    }

    /// Starts to follow an answer of which the first `offset` units are there already.
    pub fn at(id: RequestId, offset: u64) -> Self {
        Self { id, offset }
    }

    /// Returns the offset at which the next part must begin.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Follows a further dispatch of the same request, under the id of that dispatch.
    pub fn resume(&mut self, id: RequestId) {
        self.id = id;
    }

    /// Takes in a part of `length` units that begins at `offset`.
    ///
    /// # Errors
    ///
    /// `Error::RequestMismatch` for a part of another request, `Error::Sequence` for a gap or an overlap.
    pub fn accept(&mut self, id: RequestId, offset: u64, length: u64) -> Result<Part> {
        ensure!(id == self.id, RequestMismatchSnafu);
        let expected = self.offset;
        if offset + length <= expected && length > 0 {
            return Ok(Part::Repeated);
        }
        let found = offset;
        ensure!(offset == expected, SequenceSnafu { expected, found });
        self.offset += length;
        Ok(Part::Next)
    }

    /// Checks the total that the end mark states.
    ///
    /// # Errors
    ///
    /// `Error::LengthMismatch` if it differs from what has arrived.
    pub fn end(&self, total: u64) -> Result<()> {
        let found = self.offset;
        let expected = total;
        ensure!(found == expected, LengthMismatchSnafu { expected, found });
        Ok(())
    }
}
