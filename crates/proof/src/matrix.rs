//! The fault matrix.
