//! What an engine must say: the text follows from the prompt alone.

use sardinemux_wire::caller::Message;
use xxhash_rust::xxh3::Xxh3;

/// The words of which answers consist.
const WORDS: [&str; 16] = [
    "lane", "pool", "dawn", "club", "mod", "patch", "order", "load", "swim", "coach", "tile",
    "quest", "slot", "tag", "crew", "reef",
];

/// The tokens of an answer whose length is not limited by the caller.
pub const DEFAULT_ANSWER_TOKENS: u32 = 32;

/// Hashes messages, one after the other; element `n` covers the first `n + 1` messages.
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

/// Returns one token of the answer to a prompt.
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

/// Returns the whole answer to a prompt.
pub fn answer(model: &str, messages: &[Message], tokens: u32) -> String {
    let prompt = prefix_hashes(model, messages).last().copied().unwrap_or(0);
    (0..u64::from(tokens))
        .map(|index| token(prompt, index))
        .collect()
}

/// Returns the tokens of a message.
pub fn count_tokens(message: &Message) -> u32 {
    let length = message.content.as_str().map_or(4, str::len);
    (length / 4).max(1) as u32
}

/// Returns the whole answer of a plain service to a call.
pub fn service_answer(path: &str, operation: &str) -> String {
    let mut hasher = Xxh3::new();
    hasher.update(path.as_bytes());
    hasher.update(operation.as_bytes());
    format!(
        "{{\"operation\":\"{operation}\",\"result\":\"{:016x}\"}}",
        hasher.digest()
    )
}
