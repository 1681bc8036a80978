//! Free ports on the loopback interface.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use snafu::ResultExt;

use crate::errors::{IoSnafu, Result};

/// The first port that is tried; below the range that systems give to outgoing connections.
const FIRST: u16 = 12_000;

/// The ports that are tried.
const COUNT: u16 = 18_000;

/// The ports between where one process and the next one begin to search: more than a fleet takes, as a port that was
/// found free is taken only when its process has started.
const STRIDE: u16 = 977;

/// Where the search goes on; processes of the same machine begin at different places.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns where a process begins to search, counted from the first port.
///
/// # Examples
///
/// ```
/// use sardinemux_proof::ports;
///
/// assert!(ports::begin(4_001).abs_diff(ports::begin(4_000)) >= 500);
/// ```
pub fn begin(process: u32) -> u16 {
    (process as u16).wrapping_mul(STRIDE) % COUNT
}

/// Returns free addresses with consecutive ports.
///
/// # Errors
///
/// `Error::Io` if there are none.
///
/// # Examples
///
/// ```
/// let addresses = sardinemux_proof::ports::free(2)?;
/// assert_eq!(addresses[1].port(), addresses[0].port() + 1);
/// # Ok::<(), sardinemux_proof::errors::Error>(())
/// ```
pub fn free(count: u16) -> Result<Vec<SocketAddr>> {
    let own = begin(std::process::id());
    let mut last = Ok(());
    for _ in 0..COUNT {
        let next = NEXT.fetch_add(count, Ordering::SeqCst);
        let first = FIRST + (own.wrapping_add(next)) % (COUNT - count);
        let addresses: Vec<SocketAddr> = (first..first + count)
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect();
        last = addresses
            .iter()
            .try_for_each(|address| TcpListener::bind(address).map(|_| ()));
        if last.is_ok() {
            return Ok(addresses);
        }
    }
    last.context(IoSnafu {
        what: "looking for free ports",
    })?;
    Ok(Vec::new())
}
