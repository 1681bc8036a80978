//! A bound on how many lines of one kind are written a second.
//!
//! Load it answers: a surge, or a fault that every request meets. A kind is what a line says and how severe it is; the
//! number that was left out goes with the next line of that kind.

use indexmap::IndexMap;
use log::Level;
use smol_str::SmolStr;

/// Routine lines of one kind a second: with some 200 bytes each, 40 KB, and a multiple of what an instance with a quarter
/// of a core serves.
const ROUTINE_LINES_PER_S: u32 = 200;

/// Warnings and errors of one kind a second.
const SEVERE_LINES_PER_S: u32 = 400;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Counts lines by kind.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: IndexMap<(Level, SmolStr), Window>,
}

impl Limiter {
    /// Notes a line. Returns how many of its kind were left out before it, or nothing if it is to be left out.
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
