//! The answers of the stand-ins. They are functions of the request alone, so that a caller can verify an answer without
//! knowing which instance gave it.

use sardinemux_wire::caller::Message;
use xxhash_rust::xxh3::Xxh3;

/// The words that make up answers.
const WORDS: [&str; 16] = [
    "lane", "pool", "dawn", "club", "mod", "patch", "order", "load", "swim", "coach", "tile",
    "quest", "slot", "tag", "crew", "reef",
];

/// The number of tokens of an answer whose length the caller does not limit.
pub const DEFAULT_ANSWER_TOKENS: u32 = 32;

/// Returns the hash of each prefix of a prompt; element `n` covers the model and the first `n + 1` messages.
pub fn prefix_hashes(model: &str, messages: &[Message]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    hasher.update(model.as_bytes());
    messages
        .iter()
        .map(|message| {
            hasher.update(message.role.as_bytes());
            hasher.update(message.content.to_string().as_bytes());
            hasher.digest()
        })
        .collect()
}

/// Returns the token at an index of the answer to a prompt, which is given by the hash of all of its messages.
///
/// # Examples
///
/// ```
/// use sardinemux_standin::text;
///
/// assert_eq!(text::token(7, 3), text::token(7, 3));
/// assert!(text::token(7, 3).ends_with(' '));
/// ```
pub fn token(prompt: u64, index: u64) -> String {
    let mut hasher = Xxh3::with_seed(prompt);
    hasher.update(&index.to_le_bytes());
    let hash = hasher.digest();
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{} ", (hash >> 32) % 100)
}

/// Returns the whole answer to a prompt, of the given number of tokens.
pub fn answer(model: &str, messages: &[Message], tokens: u32) -> String {
    let prompt = prefix_hashes(model, messages).last().copied().unwrap_or(0);
    (0..u64::from(tokens))
        .map(|index| token(prompt, index))
        .collect()
}

/// Returns the number of tokens of a message: a quarter of the length of its text in bytes, at least one. Content that
/// is not a text counts as one token.
pub fn count_tokens(message: &Message) -> u32 {
    let length = message.content.as_str().map_or(4, str::len);
    (length / 4).max(1) as u32
}

/// Returns the body of the answer of a plain service to a call, as JSON.
pub fn service_answer(path: &str, operation: &str) -> String {
    let mut hasher = Xxh3::new();
    hasher.update(path.as_bytes());
    hasher.update(operation.as_bytes());
    format!(
        "{{\"operation\":\"{operation}\",\"result\":\"{:016x}\"}}",
        hasher.digest()
    )
}
