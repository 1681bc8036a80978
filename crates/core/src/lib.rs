//! The decision logic of sardinemux, without input, output, clocks or threads.
//!
//! Time, randomness and messages are passed as arguments, so that a router, a test and a benchmark run the same code.

pub mod admission;
pub mod attempts;
pub mod catalog;
pub mod chats;
pub mod class;
pub mod collection;
pub mod config;
pub mod control_traffic;
pub mod ending;
pub mod errors;
pub mod event;
pub mod fairness;
pub mod fence;
pub mod hash;
pub mod idempotency;
pub mod intake;
pub mod lease;
pub mod leaving;
pub mod load;
pub mod membership;
pub mod memory;
pub mod origin;
pub mod outcome;
pub mod ownership;
pub mod passage;
pub mod placement;
pub mod position;
pub mod prelude;
pub mod prompt;
pub mod quarantine;
pub mod rate_share;
pub mod reach;
pub mod read_ahead;
pub mod readers;
pub mod reports;
pub mod retry;
pub mod roster;
pub mod slot_share;
pub mod stream;
pub mod suspension;
pub mod target;
pub mod token_bucket;
pub mod warmup;
