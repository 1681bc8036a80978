//! The one replica of a service sends bytes without end in the body of a stream, all of them line ends. Are the requests to another service, whose
//! replicas are sound, answered in time?
#[path = "../support/support.rs"]
mod support;

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::*;

/// The requesters of the service with the faulty replica, each with one stream at a time.
const CHATTERS: usize = 1;
/// The requesters of the sound service, each with one request in flight.
const LOOKERS: usize = 10;
/// The time-out of the sound service's route, and the time budget of its requests.
const TIMEOUT_MS: u64 = 1_000;

fn serve(id: &str, is_faulty: bool, record: &Record, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let request = head.get("sardinemux-request-id").unwrap_or("-").to_owned();
        read_exact(&mut reader, head.length())?;
        record.line(&format!("{id} runs {request}"));
        if head.path().starts_with("/chat/") {
            write!(writer, "HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request}\r\nSardinemux-Response-Stamp: stamp.{request}\r\nContent-Type: text/event-stream\r\n")?;
            if is_faulty {
                write!(writer, "Transfer-Encoding: chunked\r\n\r\n")?;
                let chunk = [b"80000\r\n", &vec![b'\n'; 0x80000][..], b"\r\n"].concat();
                loop {
                    writer.write_all(&chunk)?;
                }
            }
            write!(writer, "Transfer-Encoding: chunked\r\n\r\n")?;
            for number in 1..=36 {
                sleep_ms(20);
                let event = format!("id: {number}\ndata: {}\n\n", "e".repeat(60));
                write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            }
            write!(writer, "0\r\n\r\n")?;
            continue;
        }
        sleep_ms(15);
        write!(writer, "HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request}\r\nSardinemux-Response-Stamp: stamp.{request}\r\nContent-Length: 4\r\n\r\ndone")?;
    }
    Ok(())
}

/// Reads a stream as a requester of a chat does, until it ends or has no event for two seconds.
fn chat(id: &str, address: SocketAddr, record: &Record) {
    let Ok(mut channel) = Channel::open(address) else { return };
    let bytes = request("POST", "/chat/x", id, 10_000, "", &[b'c'; 800]);
    record.line(&format!("{id} sent"));
    let (seen, bytes) = channel.read_events(&bytes, Duration::from_secs(2));
    record.line(&format!("{id}: {seen} events in {bytes} bytes"));
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::new(&folder);
    let store = Store::start("127.0.6.1");
    store.put("op", "config", Some(&desired_state(
        7,
        &[
            route("chat", "/chat/", "streaming", 10_000, 500, "assistant", 1, ",\"StreamResume\":false,\"GapTargetMs\":600"),
            route("lookup", "/lookup/", "safe", TIMEOUT_MS, 100, "booking", 2, ""),
        ].join(","),
        &[service("assistant", 370), service("booking", 110)].join(","),
    )));
    for (number, pool) in [(1, "assistant"), (2, "booking"), (3, "booking"), (4, "booking")] {
        let listener = TcpListener::bind((format!("127.0.8.{number}"), 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let id = format!("i-{number}");
        let entry = server_entry(pool, listener.local_addr().unwrap(), "za", 64, "ready", unix_ms(), "");
        store.put("servers", &id, Some(&entry));
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || drop(serve(&id, has_trouble(), &record, stream)));
            }
        });
    }
    let temporary = temporary_folder();
    let mut gateway = Gateway::new(&temporary, 0, "za", &ports(), 1, &store);
    gateway.start();
    gateway.wait_until_ready();
    let address = gateway.callers;
    sleep_ms(3_500);

    let is_over = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for number in 0..LOOKERS {
        let (record, is_over, results) = (record.clone(), is_over.clone(), results.clone());
        threads.push(thread::spawn(move || {
            let mut channel = None;
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                sleep_ms(100 + number as u64);
                if channel.is_none() {
                    channel = Channel::open(address).ok();
                }
                let Some(open) = channel.as_mut() else { continue };
                count += 1;
                let id = format!("look{number}-{count}");
                let began = record.now_ms();
                record.line(&format!("{id} sent"));
                let bytes = request("GET", "/lookup/x", &id, TIMEOUT_MS, "", b"");
                // The rule counts half a second beyond the route's time-out.
                let seen = open.exchange(&bytes, Duration::from_millis(TIMEOUT_MS + 500));
                let took = record.now_ms() - began;
                record.line(&format!("{id} after {took} ms: {}", seen.show()));
                results.lock().unwrap().push((took, matches!(seen, Seen::Nothing)));
                if seen.status() != 200 {
                    channel = None;
                }
            }
        }));
    }
    sleep_ms(2_000);
    for number in 0..CHATTERS {
        let (record, is_over) = (record.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                chat(&format!("chat{number}-{count}"), address, &record);
            }
        }));
    }
    let mut misses = 0;
    for _ in 0..10 {
        misses += usize::from(!gateway.is_ready());
        sleep_ms(1_000);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    gateway.kill();
    let _ = std::fs::remove_dir_all(temporary);
    let results = results.lock().unwrap();
    let late = results.iter().filter(|(took, _)| *took >= TIMEOUT_MS).count();
    let unanswered = results.iter().filter(|(_, is_nothing)| *is_nothing).count();
    let longest = results.iter().map(|(took, _)| *took).max().unwrap_or(0);
    record.show(&format!("{misses} of 10 questions for readiness missed; the longest wait of a lookup {longest} ms"));
    record.show(&format!(
        "{} lookups; {late} without a final answer at their route's TimeoutMs ({TIMEOUT_MS}), {unanswered} of these also half a second later",
        results.len()
    ));
    if results.is_empty() {
        cannot_run("no lookup was sent");
    }
    // CONFIG: more than half of those unanswered at TimeoutMs; eight or more, and over a quarter, of those that last longer.
    let is_broken = unanswered >= 8 && unanswered * 2 > late;
    record.show(if is_broken { "CONFIG is broken" } else { "CONFIG held" });
    std::process::exit(i32::from(is_broken));
}
