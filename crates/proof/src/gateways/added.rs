//! The time that a gateway adds to the first byte of an answer: the same stream asked of a replica directly and through
//! a gateway, in turn, on kept connections.

use std::net::SocketAddr;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use sardinemux_standin::replica::header;
use snafu::ResultExt;
use tokio::net::TcpStream;

use super::operator::{HOST, KEY};
use super::Fleet;
use crate::errors::{CreateSnafu, ExchangeSnafu, IoSnafu, Result};

/// The longest time that is told apart, in microseconds.
const MOST_US: u64 = 60_000_000;

/// Microseconds to the first byte.
#[derive(Clone, Debug)]
pub struct Added {
    /// Asked of the replica itself.
    pub direct_us: Histogram<u64>,
    /// Asked of a gateway.
    pub through_us: Histogram<u64>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self> {
        let what = address.to_string();
        let stream = TcpStream::connect(address).await;
        let stream = stream.context(IoSnafu { what: what.clone() })?;
        stream.set_nodelay(true).context(IoSnafu { what })?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.context(ExchangeSnafu { address })?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Asks for a stream and returns the microseconds until its first byte.
    async fn first_byte_us(&mut self, address: SocketAddr, id: &str) -> Result<u64> {
        let request = Request::post("/stream-once/")
            .header("host", HOST)
            .header("api-key", KEY)
            .header(header::REQUEST_ID, id)
            .body(Full::from("body"))
            .context(CreateSnafu)?;
        let begun = Instant::now();
        let response = self.sender.send_request(request).await;
        let mut body = response.context(ExchangeSnafu { address })?.into_body();
        let first = body.frame().await;
        let elapsed_us = begun.elapsed().as_micros() as u64;
        if let Some(frame) = first {
            frame.context(ExchangeSnafu { address })?;
            body.collect().await.context(ExchangeSnafu { address })?;
        }
        Ok(elapsed_us)
    }
}

/// Measures some requests each way.
///
/// # Errors
///
/// `Error::Io` or `Error::Exchange` if an answer does not come.
pub async fn measure(fleet: &Fleet, requests: usize) -> Result<Added> {
    let histogram = || Histogram::new_with_bounds(1, MOST_US, 3);
    let (Ok(direct_us), Ok(through_us)) = (histogram(), histogram()) else {
        unreachable!("the bounds are constants that the library takes")
    };
    let mut added = Added {
        direct_us,
        through_us,
    };
    let replica = fleet.replicas[0].address;
    let gateway = fleet.gateways[0].callers;
    let mut direct = Connection::open(replica).await?;
    let mut through = Connection::open(gateway).await?;
    for number in 0..requests {
        let us = direct.first_byte_us(replica, &format!("d{number}")).await?;
        added.direct_us.saturating_record(us);
        let us = through
            .first_byte_us(gateway, &format!("t{number}"))
            .await?;
        added.through_us.saturating_record(us);
    }
    Ok(added)
}
