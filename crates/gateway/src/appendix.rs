//! Messages between gateways, with the fields that were added to a message after its first build.
//!
//! An appendix follows its message. Builds that do not know it read the message alone, and a message without one comes from
//! such a build. Its fields are named, so that each build reads those that it knows.

use std::io::Read;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Returns the bytes of a message and its appendix.
///
/// # Errors
///
/// The encoder's error.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::appendix;
///
/// let bytes = appendix::encode(&7_u64, &Some(2_u32)).unwrap();
/// assert_eq!(appendix::decode::<u64, Option<u32>>(&bytes).unwrap(), (7, Some(Some(2))));
/// assert_eq!(rmp_serde::from_slice::<u64>(&bytes).unwrap(), 7);
/// ```
pub fn encode<M: Serialize, A: Serialize>(
    message: &M,
    appendix: &A,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(message)?;
    bytes.extend(rmp_serde::to_vec_named(appendix)?);
    Ok(bytes)
}

/// Returns a message and its appendix, if there is one. An appendix that cannot be decoded is logged and counts as missing.
///
/// # Errors
///
/// The decoder's error for the message.
pub fn decode<M: DeserializeOwned, A: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(M, Option<A>), rmp_serde::decode::Error> {
    let mut rest = bytes;
    let message = rmp_serde::from_read(rest.by_ref())?;
    if rest.is_empty() {
        return Ok((message, None));
    }
    let appendix = rmp_serde::from_slice(rest);
    if let Err(error) = &appendix {
        log::warn!(error:% = error; "cannot decode the appendix of a gateway's message; ignoring it");
    }
    Ok((message, appendix.ok()))
}
