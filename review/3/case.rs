//! One of seven replicas works slowly for some seconds, so that its streams reach their time limit, at which it stops and closes
//! the channel that marks the end of its answer. Does such a stream look complete to its requester?
#[path = "../support/support.rs"]
mod support;

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::*;

/// The events of a whole stream, and the time before each.
const EVENTS: usize = 36;
const EVENT_MS: u64 = 80;
/// How much longer the slow replica takes, and for how long.
const SLOW: u64 = 7;
const SLOW_MS: u64 = 6_500;
/// The time-out of the route, and the time budget of the requesters.
const TIMEOUT_MS: u64 = 6_000;
const BUDGET_MS: u64 = 10_000;
const STREAMS: usize = 120;

/// When the slow replica begins to be slow.
type SlowSince = Arc<Mutex<Option<Instant>>>;

fn serve(id: &str, slow: &SlowSince, record: &Record, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else { return Ok(()) };
    // A replica stops work at the time that it is given.
    let limit_ms = head.get("sardinemux-deadline-ms").and_then(|it| it.parse().ok()).unwrap_or(60_000);
    let limit = Instant::now() + Duration::from_millis(limit_ms);
    let request = head.get("sardinemux-request-id").unwrap_or("-").to_owned();
    read_exact(&mut reader, head.length())?;
    record.line(&format!("{id} runs {request}, for {limit_ms} ms at most"));
    // Neither a length nor chunks: the channel marks the end.
    write!(writer, "HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request}\r\nSardinemux-Response-Stamp: stamp.{request}\r\nContent-Type: text/event-stream\r\n\r\n")?;
    for number in 1..=EVENTS {
        let mut left_ms = EVENT_MS;
        while left_ms > 0 {
            let is_slow = slow.lock().unwrap().is_some_and(|since| since.elapsed() < Duration::from_millis(SLOW_MS));
            let step = Duration::from_millis(if is_slow { 4 * SLOW } else { 4 });
            let left = limit.saturating_duration_since(Instant::now());
            thread::sleep(step.min(left));
            if left <= step {
                record.line(&format!("{id} stops {request} at its time limit, after {} events", number - 1));
                return Ok(());
            }
            left_ms -= 4;
        }
        write!(writer, "id: {number}\ndata: {}\n\n", "e".repeat(60))?;
    }
    record.line(&format!("{id} has sent all events of {request}"));
    Ok(())
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::new(&folder);
    let store = Store::start("127.0.6.1");
    store.put("op", "config", Some(&desired_state(
        7,
        &route("chat", "/chat/", "streaming", TIMEOUT_MS, 500, "assistant", 1, ",\"StreamResume\":false,\"GapTargetMs\":600"),
        &service("assistant", 370),
    )));
    let slow = SlowSince::default();
    for number in 1..=7 {
        let listener = TcpListener::bind((format!("127.0.8.{number}"), 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let id = format!("i-{number}");
        let entry = server_entry("assistant", listener.local_addr().unwrap(), "za", 64, "ready", unix_ms(), "");
        store.put("servers", &id, Some(&entry));
        let slow = if number == 1 { slow.clone() } else { SlowSince::default() };
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, slow, record) = (id.clone(), slow.clone(), record.clone());
                thread::spawn(move || drop(serve(&id, &slow, &record, stream)));
            }
        });
    }
    let temporary = temporary_folder();
    let mut gateway = Gateway::new(&temporary, 0, "za", &ports(), 1, &store);
    gateway.start();
    gateway.wait_until_ready();
    let address = gateway.callers;
    sleep_ms(3_500);

    let results = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    if has_trouble() {
        *slow.lock().unwrap() = Some(Instant::now());
        record.show(&format!("i-1 works {SLOW} times as long for {SLOW_MS} ms"));
    }
    for number in 0..STREAMS {
        let (record, results) = (record.clone(), results.clone());
        threads.push(thread::spawn(move || {
            sleep_ms(25 * number as u64);
            let id = format!("chat{number}");
            let Ok(mut channel) = Channel::open(address) else { return };
            record.line(&format!("{id} sent"));
            let bytes = request("POST", "/chat/x", &id, BUDGET_MS, "", &[b'c'; 800]);
            let began = Instant::now();
            let seen = channel.exchange(&bytes, Duration::from_millis(BUDGET_MS));
            let events = match &seen {
                Seen::Answer { body, .. } => Some(String::from_utf8_lossy(body).matches("id: ").count()),
                _ => None,
            };
            record.line(&format!("{id} after {} ms: {}, events in a complete answer: {events:?}", began.elapsed().as_millis(), seen.show()));
            results.lock().unwrap().push((seen.status(), events));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    gateway.kill();
    let _ = std::fs::remove_dir_all(temporary);
    let results = results.lock().unwrap();
    let whole = results.iter().filter(|(status, events)| *status == 200 && *events == Some(EVENTS)).count();
    let short = results.iter().filter(|(status, events)| *status == 200 && events.is_some_and(|it| it < EVENTS)).count();
    record.show(&format!("{} streams: {whole} complete with all {EVENTS} events, {short} ended as complete before their last event", results.len()));
    if whole == 0 {
        cannot_run("no stream was served");
    }
    // ORDER: a stream ends as complete before its last piece.
    record.show(if short > 0 { "ORDER is broken" } else { "ORDER held" });
    std::process::exit(i32::from(short > 0));
}
