//! The store comes back from a copy that lacks a new version of a service's software, as all machines lose power. Streams that began at that
//! version go on at the former one.

#[path = "../support-2/support.rs"]
mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::*;

/// The number of streams, and the time budget of each requester in seconds.
const STREAMS: usize = 140;
const BUDGET_S: f64 = 12.0;

/// `DrainMs` of the deployment, in seconds.
const DRAIN_S: f64 = 2.0;

/// One stream as its requester sees it, over all of its tries.
#[derive(Default)]
struct Seen {
    first: String,
    versions: Vec<String>,
    last: u64,
}

/// Makes one try at a stream, which takes it up if some of it has come. Returns the time after which to come back, in seconds; `None` if the
/// stream has ended properly.
fn try_once(record: &Record, name: &str, front: SocketAddr, seen: &mut Seen) -> Option<f64> {
    let id = request_id();
    let resumes = match seen.last {
        0 => String::new(),
        last => format!("Resumes: {}\r\nLast-Event-Id: {last}\r\n", seen.first),
    };
    let Ok(mut stream) = TcpStream::connect(front) else { return Some(0.3) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nHost: mods.example\r\nSardinemux-Request-Id: {id}\r\nSardinemux-Deadline-Ms: 12000\r\n{resumes}Api-Key: studio-key\r\nContent-Length: 0\r\n\r\n"
    );
    record.note(format!("request {id}: POST /stream/x sent to {name}, {}", resumes.trim().replace("\r\n", ", ")));
    if stream.write_all(head.as_bytes()).is_err() {
        return Some(0.3);
    }
    let mut reader = BufReader::new(stream);
    let Ok(answer) = read_head(&mut reader) else { return Some(0.3) };
    if answer.status() != 200 {
        record.note(format!("request {id}: {name} answers {}", answer.status()));
        return Some(answer.header("retry-after").and_then(|it| it.parse().ok()).unwrap_or(0.3));
    }
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 0 {
        if let Some(number) = line.strip_prefix("id: ") {
            seen.last = number.trim().parse().unwrap_or(0);
            if seen.first.is_empty() {
                seen.first = id.clone();
            }
        }
        if let Some(version) = line.trim().strip_prefix("data: event ").and_then(|it| it.split_once("version ")) {
            if seen.versions.last().is_none_or(|it| *it != version.1) {
                record.note(format!("request {id}: from event {} on of software version {}", seen.last, version.1));
                seen.versions.push(version.1.to_owned());
            }
        }
        if line.trim_end() == "0" {
            record.note(format!("request {id}: complete, after event {}", seen.last));
            return None;
        }
        line.clear();
    }
    record.note(format!("request {id}: broken off after event {}", seen.last));
    Some(0.3)
}

fn main() -> ExitCode {
    let record = Record::default();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    store.state_era();
    store.put("op", "config", &desired_state(10, &[("studio", &["studio-key"])]));
    let former: Vec<Replica> = (0..10).map(|_| Replica::new(&record, &runs, 200, 40)).collect();
    for (index, replica) in former.iter().enumerate() {
        replica.start(&format!("i-{index}"), "sardine-pool", "v1");
        replica.announce(&store, "duluth");
    }
    let mut machines = start_machines(&store, &record);
    // The machines have run for a while.
    sleep(4.0);
    let copy = store.copy();
    let new: Vec<Replica> = (0..2).map(|_| Replica::new(&record, &runs, 200, 40)).collect();
    for (index, replica) in new.iter().enumerate() {
        replica.start(&format!("n-{index}"), "sardine-pool", "v2");
        replica.announce(&store, "duluth");
    }
    sleep(2.2);
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let fronts: Vec<(String, SocketAddr)> = machines.iter().map(|it| (it.name.clone(), it.front)).collect();
            let record = record.clone();
            thread::spawn(move || {
                let mut seen = Seen::default();
                let begin = record.now();
                let mut tries = 0;
                while record.now() < begin + BUDGET_S {
                    // Retries reach other machines.
                    let (name, front) = &fronts[(index + tries) % fronts.len()];
                    let Some(pause) = try_once(&record, name, *front, &mut seen) else { break };
                    tries += 1;
                    sleep(pause);
                }
                seen
            })
        })
        .collect();
    sleep(0.6);
    for index in 0..new.len() {
        store.remove("servers", &format!("n-{index}"));
    }
    record.note("the replicas of v2 are taken away; they serve on for a while");
    let left_at = record.now();
    sleep(0.7);
    if has_trouble() {
        store.restore(copy);
        record.note("the store comes back from a copy that is 3.5 s old, in a new era");
    }
    for machine in &mut machines {
        machine.lose_power(&record);
    }
    sleep(0.5);
    for machine in &mut machines {
        machine.start_again(&record);
    }
    sleep(left_at + DRAIN_S + 0.2 - record.now());
    new.iter().for_each(Replica::crash);
    let seen: Vec<Seen> = streams.into_iter().map(|it| it.join().unwrap()).collect();
    let begun = seen.iter().filter(|it| it.versions.first().is_some_and(|it| it == "v2")).count();
    let mixed = seen.iter().filter(|it| it.versions.len() > 1).count();
    if begun < 3 {
        cannot_run("too few streams began at the new version");
    }
    let verdict = if mixed > 2 { "the rule ORDER was broken" } else { "the rule ORDER held" };
    record.note(format!("{verdict}: {mixed} of the {begun} streams that began at v2 hold events of two software versions; two are allowed"));
    record.save();
    drop(machines);
    ExitCode::from(u8::from(mixed > 2))
}
