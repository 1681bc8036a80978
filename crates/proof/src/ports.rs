//! Free ports on the loopback interface.

use std::net::{SocketAddr, TcpListener};

use parking_lot::Mutex;
use snafu::ResultExt;

use crate::errors::{IoSnafu, Result};

/// The first port that is tried; below the range that systems give to outgoing connections.
const FIRST: u16 = 12_000;

/// The ports that are tried.
const COUNT: u16 = 18_000;

/// The ports of a block. One process at a time takes ports of a block: more than a fleet needs.
const BLOCK: u16 = 900;

/// The block of this process. It is held by a listener on its first port, so that no other process takes a port that was found free
/// and whose process has not started yet.
struct Block {
    first: u16,
    next: u16,
    _lock: TcpListener,
}

static HELD: Mutex<Option<Block>> = Mutex::new(None);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Takes a block that no other process holds. The search begins at one that depends on the process.
fn take_block() -> std::io::Result<Block> {
    let blocks = COUNT / BLOCK;
    let begin = std::process::id() as u16 % blocks;
    let mut last = None;
    for index in 0..blocks {
        let first = FIRST + (begin + index) % blocks * BLOCK;
        match TcpListener::bind(address(first)) {
            Ok(lock) => {
                return Ok(Block {
                    first,
                    next: 1,
                    _lock: lock,
                })
            }
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

impl Block {
    /// Returns the next ports that are free, from the beginning of the block again after its end.
    fn find(&mut self, count: u16) -> std::io::Result<Vec<SocketAddr>> {
        let mut last = Ok(());
        for _ in 0..BLOCK {
            if self.next + count > BLOCK {
                self.next = 1;
            }
            let first = self.first + self.next;
            self.next += count;
            let addresses: Vec<SocketAddr> = (first..first + count).map(address).collect();
            last = addresses
                .iter()
                .try_for_each(|address| TcpListener::bind(address).map(drop));
            if last.is_ok() {
                return Ok(addresses);
            }
        }
        last.map(|()| Vec::new())
    }
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
    let what = "looking for free ports";
    let mut held = HELD.lock();
    let mut block = match held.take() {
        Some(block) => block,
        None => take_block().context(IoSnafu { what })?,
    };
    let found = block.find(count);
    *held = Some(block);
    found.context(IoSnafu { what })
}
