//! Streams cannot be taken up at another gateway: their records were sent to the gateway that writes them to the store, which had just
//! been killed, and nothing sends them again.

#[path = "../support-3/support.rs"]
mod support;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::{Gateway, Kind, Record, Replica, Store};

/// The streams that run when replicas of a second version are listed.
const STREAMS: usize = 44;

/// The time budget of a requester, of which a second attempt has what is left.
const BUDGET_MS: u64 = 12_000;

/// The new streams at the other gateway.
const NEW: usize = 20;

/// The versions of the replicas' software.
const FORMER: &str = "v1";
const LATER: &str = "v2";

/// The gateway that writes the records of all gateways: the first of those that read the store, by a hash of their names.
const WRITER: usize = 1;

/// The gateway of the streams, and the one at which requesters take them up.
const KILLED: usize = 0;
const OTHER: usize = 2;

fn open(
    address: SocketAddr,
    id: &str,
    fields: &str,
    budget_ms: u64,
) -> Option<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(12)))
        .ok()?;
    let request = support::request("POST", "/plan/a", id, budget_ms);
    let request = request.replacen("Api-Key", &format!("{fields}Api-Key"), 1);
    stream.write_all(request.as_bytes()).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request for a stream, and returns the status and the events of the answer, and whether it came to its end.
fn ask(
    address: SocketAddr,
    id: &str,
    fields: &str,
    budget_ms: u64,
    record: &Record,
) -> (u16, Vec<(u64, String)>, bool) {
    let Some(mut reader) = open(address, id, fields, budget_ms) else {
        return (0, Vec::new(), false);
    };
    record.note(&format!(
        "{id} sent to {address} {}",
        fields.replace("\r\n", " ")
    ));
    let Ok(Some(mut answer)) = support::read_head(&mut reader) else {
        return (0, Vec::new(), false);
    };
    let mut text = String::new();
    let _ = support::read_body(&mut reader, &mut answer, None);
    if answer.status() != 200 {
        text = String::from_utf8_lossy(&answer.body).trim().to_owned();
    }
    let events = support::events(&answer.body);
    record.note(&format!(
        "{id} answered {} {text} with {} events, whole: {}",
        answer.status(),
        events.len(),
        answer.is_whole
    ));
    (answer.status(), events, answer.is_whole)
}

fn main() {
    support::become_replica();
    let record = Record::create();
    let store = Store::start();
    store.configure(101);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let replica = |id: String, version: &str| {
        let kind = Kind {
            id,
            service: "model",
            zone: "zone-1".to_owned(),
            version: version.to_owned(),
            port: support::free_port(&["127.0.0.1"]),
            slots: 64,
            events: 90,
            event_ms: 80,
            event_bytes: 30,
            is_unframed: false,
        };
        Replica::start(kind, &store, runs.clone(), &record)
    };
    let mut replicas: Vec<Replica> = (0..8)
        .map(|index| replica(format!("i-former-{index}"), FORMER))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let mut gateways: Vec<Option<Gateway>> = Gateway::start_all(3, &store, &record)
        .into_iter()
        .map(Some)
        .collect();
    thread::sleep(Duration::from_millis(3_500));
    let addresses: Vec<SocketAddr> = gateways.iter().flatten().map(|it| it.callers).collect();
    let (killed, other) = (addresses[KILLED], addresses[OTHER]);
    let requesters: Vec<_> = (0..STREAMS)
        .map(|index| {
            thread::sleep(Duration::from_millis(10));
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("stream-{index}");
                let begun = Instant::now();
                let (status, events, is_whole) = ask(killed, &id, "", BUDGET_MS, &record);
                let last = events.last().map_or(0, |(number, _)| *number);
                if status != 200 || is_whole || last == 0 {
                    return None;
                }
                let left_ms = BUDGET_MS.saturating_sub(begun.elapsed().as_millis() as u64);
                let fields = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
                let (status, rest, _) =
                    ask(other, &format!("{id}-again"), &fields, left_ms, &record);
                let versions: BTreeSet<&String> = rest.iter().map(|(_, version)| version).collect();
                Some(status == 200 && versions.len() == 1)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    if support::has_trouble() {
        record.note("SIGKILL of the gateway that writes records to the store");
        gateways[WRITER] = None;
    }
    thread::sleep(Duration::from_millis(150));
    // Two replicas of a later version are added.
    replicas.extend((0..2).map(|index| replica(format!("i-later-{index}"), LATER)));
    thread::sleep(Duration::from_millis(2_500));
    if support::has_trouble() {
        record.note("SIGKILL of the gateway of the streams");
        gateways[KILLED] = None;
    }
    let new: Vec<_> = (0..NEW)
        .map(|index| {
            thread::sleep(Duration::from_millis(20));
            let record = record.clone();
            thread::spawn(move || {
                ask(other, &format!("new-{index}"), "", BUDGET_MS, &record).0 == 200
            })
        })
        .collect();
    let resumed: Vec<bool> = requesters
        .into_iter()
        .filter_map(|it| it.join().unwrap_or(None))
        .collect();
    let begun = new
        .into_iter()
        .filter_map(|it| it.join().ok())
        .filter(|has_begun| *has_begun)
        .count();
    let went_on = resumed.iter().filter(|went_on| **went_on).count();
    let text = format!(
        "{went_on} of {} streams went on that were taken up, {begun} of {NEW} new ones began",
        resumed.len()
    );
    record.note(&text);
    println!("{text}");
    if begun < NEW / 2 || support::has_trouble() && resumed.len() < 12 {
        support::give_up("too few streams");
    }
    // Broken if of 12 or more the share that goes on is under half of the share of new streams that begin.
    let is_broken = resumed.len() >= 12 && 2 * went_on * NEW < begun * resumed.len();
    support::exit(i32::from(is_broken))
}
