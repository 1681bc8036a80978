//! The part of a gateway's link that large updates for other gateways may use.
//!
//! A change of many routes goes to each gateway of a zone. Sent to all of them at once, it occupies a narrow link for seconds, and
//! requests, answers and smaller changes wait behind it. A gateway therefore sends large updates to a few others at a time, and
//! paces them: `n` bytes over a link of `r` bits a second take `8 n / (SHARE r)` seconds. Those that have an update send it on, so
//! that the number of senders doubles with each round of transfers.

/// The share of the link that large updates may use.
const SHARE: f64 = 0.5;

/// The rate at which a gateway behind a narrow link receives an update, in Mbit/s.
const RECEIVER_MBPS: f64 = 10.0;

/// The size from which on an update is large, in bytes: it takes 13 ms of a link of 10 Mbit/s.
pub const LARGE_BYTES: usize = 16 << 10;

/// The largest part of an update that is sent at once, in bytes.
pub const PART_BYTES: usize = 8 << 10;

/// Returns the number of large updates that a gateway sends at a time: as many as narrow receivers fill its share of the link.
///
/// # Examples
///
/// ```
/// use sardinemux_core::uplink;
///
/// assert_eq!(uplink::transfers_max(10), 1);
/// assert_eq!(uplink::transfers_max(200), 10);
/// ```
pub fn transfers_max(link_mbps: u32) -> usize {
    let receivers = f64::from(link_mbps) * SHARE / RECEIVER_MBPS;
    (receivers.ceil() as usize).max(1)
}

/// Spreads the parts of all large updates of a gateway over time.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    bytes_per_ms: f64,
    /// When the parts that were scheduled so far have been sent, in milliseconds.
    free_at_ms: f64,
}

impl Pacer {
    /// Creates a pacer for a link of `link_mbps` Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            bytes_per_ms: f64::from(link_mbps.max(1)) * SHARE * 1_000.0 / 8.0,
            free_at_ms: 0.0,
        }
    }

    /// Schedules a part, and returns when it may be sent, in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::uplink::Pacer;
    ///
    /// let mut pacer = Pacer::new(8);
    /// assert_eq!(pacer.schedule(5_000, 100), 100);
    /// assert_eq!(pacer.schedule(5_000, 100), 110);
    /// assert_eq!(pacer.schedule(5_000, 900), 900);
    /// ```
    pub fn schedule(&mut self, bytes: usize, now_ms: u64) -> u64 {
        let begin_ms = self.free_at_ms.max(now_ms as f64);
        self.free_at_ms = begin_ms + bytes as f64 / self.bytes_per_ms;
        begin_ms as u64
    }
}
