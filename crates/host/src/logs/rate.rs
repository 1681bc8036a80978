//! A rate limit for log lines of one kind.
//!
//! It keeps a surge of load, or a fault that affects every request, from flooding the log. The kind of a line is its
//! text and its level. The number of suppressed lines is written with the next line of the same kind.

use indexmap::IndexMap;
use log::Level;
use smol_str::SmolStr;

/// The greatest number of routine lines of one kind per second. At some 200 bytes per line this is 40 KB per second,
/// and a multiple of the requests that an instance with a quarter of a core serves.
const ROUTINE_LINES_PER_S: u32 = 200;

/// The greatest number of warnings, or of errors, of one kind per second.
const SEVERE_LINES_PER_S: u32 = 400;

/// The lines of one kind within the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Limits the lines of each kind per second.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: IndexMap<(Level, SmolStr), Window>,
}

impl Limiter {
    /// Counts a line in a second. Returns how many lines of its kind were suppressed since the last one that was
    /// admitted, or `None` if this line is to be suppressed too.
    ///
    /// # Examples
    ///
    /// ```
    /// use log::Level;
    /// use sardinemux_host::logs::rate::Limiter;
    ///
    /// let mut limiter = Limiter::default();
    /// let written = (0..1_000).filter_map(|_| limiter.admit(Level::Info, "answered", 7));
    /// assert_eq!(written.count(), 200);
    /// assert_eq!(limiter.admit(Level::Info, "answered", 8), Some(800));
    /// assert_eq!(limiter.admit(Level::Info, "answered", 8), Some(0));
    /// ```
    pub fn admit(&mut self, level: Level, event: &str, second: u64) -> Option<u64> {
        let most = match level {
            Level::Error | Level::Warn => SEVERE_LINES_PER_S,
            Level::Info | Level::Debug | Level::Trace => ROUTINE_LINES_PER_S,
        };
        let window = self.windows.entry((level, event.into())).or_default();
        if window.second != second {
            window.second = second;
            window.written = 0;
        }
        if window.written >= most {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
