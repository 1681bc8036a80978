//! Charts of what was measured.
