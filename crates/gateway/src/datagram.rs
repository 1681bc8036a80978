//! The size of datagrams between gateways, and lists of items that are split into datagrams of that size.

/// The largest datagram that is sent, in bytes. The instances' links carry it unfragmented.
pub const SENT_MAX_BYTES: usize = 1_400;

/// The largest datagram that is received, in bytes: the largest that UDP carries, as gateways of earlier builds send more than
/// [`SENT_MAX_BYTES`] where names are long.
pub const RECEIVED_MAX_BYTES: usize = 65_535;

/// Returns the datagrams of items in their order, each with as many as fit. `encode` returns the datagram of some of them, or `None`
/// after a failure that it has logged. An item that does not fit by itself is logged and left out.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::datagram;
///
/// let items = vec![[7_u8; 600]; 5];
/// let datagrams = datagram::split(&items, &|items: &[[u8; 600]]| Some(items.concat()));
/// assert_eq!(datagrams.iter().map(Vec::len).collect::<Vec<_>>(), [1_200, 600, 1_200]);
/// ```
pub fn split<T>(items: &[T], encode: &impl Fn(&[T]) -> Option<Vec<u8>>) -> Vec<Vec<u8>> {
    let Some(bytes) = encode(items).filter(|_| !items.is_empty()) else {
        return Vec::new();
    };
    if bytes.len() <= SENT_MAX_BYTES {
        return vec![bytes];
    }
    if items.len() == 1 {
        log::error!(bytes = bytes.len(), max = SENT_MAX_BYTES; "an item is too large for a datagram; not sent");
        return Vec::new();
    }
    let (first, rest) = items.split_at(items.len() / 2);
    let mut datagrams = split(first, encode);
    datagrams.extend(split(rest, encode));
    datagrams
}

/// Returns how many of the first items fit into a datagram, and that datagram. For messages of which each replaces the one before.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::datagram;
///
/// let items = vec![[7_u8; 600]; 5];
/// let (count, bytes) = datagram::fit(&items, &|items: &[[u8; 600]]| Some(items.concat())).unwrap();
/// assert_eq!((count, bytes.len()), (2, 1_200));
/// ```
pub fn fit<T>(items: &[T], encode: &impl Fn(&[T]) -> Option<Vec<u8>>) -> Option<(usize, Vec<u8>)> {
    let mut count = items.len();
    loop {
        let bytes = encode(&items[..count])?;
        if bytes.len() <= SENT_MAX_BYTES {
            if count < items.len() {
                log::debug!(items = items.len(), sent = count; "not all items fit into a datagram; the last ones are left out");
            }
            return Some((count, bytes));
        }
        if count == 0 {
            log::error!(bytes = bytes.len(), max = SENT_MAX_BYTES; "a message without its items is too large for a datagram; not sent");
            return None;
        }
        // Items are of similar sizes, so that few steps are left.
        count = (count * SENT_MAX_BYTES / bytes.len()).min(count - 1);
    }
}
