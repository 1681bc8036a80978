//! The one replica of a service sends bytes without end in the bodies of its answers. Are the requests to another service, whose
//! replicas are sound, still answered?
#[path = "../support/support.rs"]
mod support;

use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::*;

/// `MemoryMb` of the machine, above which the platform kills a process.
const MEMORY_MB: f64 = 260.0;
/// The requesters of the service with the faulty replica, each with one request in flight. The replica has 64 slots.
const PLANNERS: usize = 6;
/// The requesters of the sound service.
const BOOKERS: usize = 12;
/// The bytes in each chunk of the faulty replica's bodies.
const CHUNK_BYTES: usize = 4;
/// The chunks that it sends on each channel every 20 ms: 1 MB a second, without their framing.
const CHUNKS: usize = 5_000;

type Begun = Arc<Mutex<HashSet<String>>>;

fn serve(id: &str, is_faulty: bool, record: &Record, begun: &Begun, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let request = head.get("sardinemux-request-id").unwrap_or("-").to_owned();
        read_exact(&mut reader, head.length())?;
        record.line(&format!("{id} runs {request}"));
        begun.lock().unwrap().insert(request.clone());
        if is_faulty {
            write!(writer, "HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request}\r\nSardinemux-Response-Stamp: stamp.{request}\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let chunks = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "?".repeat(CHUNK_BYTES)).repeat(CHUNKS);
            loop {
                writer.write_all(chunks.as_bytes())?;
                sleep_ms(20);
            }
        }
        sleep_ms(800);
        let body = "b".repeat(800);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request}\r\nSardinemux-Response-Stamp: stamp.{request}\r\nContent-Length: 800\r\n\r\n{body}"
        )?;
    }
    Ok(())
}

#[derive(Clone, Default)]
struct Counts {
    served: Arc<AtomicUsize>,
    cut: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
}

/// Sends one request after the other on a kept channel.
fn request_again(name: String, path: &str, wait_s: u64, address: SocketAddr, record: &Record, begun: &Begun, is_over: &AtomicBool, counts: &Counts) {
    let mut channel = None;
    let (mut count, mut kept) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        if channel.is_none() {
            channel = Channel::open(address).ok();
            kept = 0;
        }
        let Some(open) = channel.as_mut() else {
            sleep_ms(100);
            continue;
        };
        count += 1;
        let id = format!("{name}-{count}");
        record.line(&format!("{id} sent"));
        let bytes = request("POST", path, &id, wait_s * 1_000, "", &[b'r'; 600]);
        let seen = open.exchange(&bytes, Duration::from_secs(wait_s + 1));
        record.line(&format!("{id}: {}", seen.show()));
        match &seen {
            Seen::Answer { head, .. } if head.status() == 200 => {
                kept += 1;
                counts.served.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            Seen::Cut { .. } => {
                counts.cut.fetch_add(1, Ordering::Relaxed);
                // A sound replica was at work on it, and its channel had been answered on before.
                let is_lost = kept > 0 && begun.lock().unwrap().contains(&id);
                counts.lost.fetch_add(usize::from(is_lost), Ordering::Relaxed);
            }
            _ => {}
        }
        channel = None;
        sleep_ms(300);
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::new(&folder);
    let store = Store::start("127.0.6.1");
    store.put("op", "config", Some(&desired_state(
        7,
        &[
            route("plan", "/plan/", "unsafe", 12_000, 1_000, "planner", 1, ""),
            route("book", "/book/", "unsafe", 4_000, 1_000, "booking", 1, ""),
        ].join(","),
        &[service("planner", 370), service("booking", 110)].join(","),
    )));
    let begun = Begun::default();
    for (number, pool) in [(1, "planner"), (2, "booking"), (3, "booking"), (4, "booking")] {
        let listener = TcpListener::bind((format!("127.0.8.{number}"), 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let id = format!("i-{number}");
        let entry = server_entry(pool, listener.local_addr().unwrap(), "za", 64, "ready", unix_ms(), "");
        store.put("servers", &id, Some(&entry));
        let is_faulty = pool == "planner" && has_trouble();
        let (record, begun) = (record.clone(), begun.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, begun) = (id.clone(), record.clone(), begun.clone());
                thread::spawn(move || drop(serve(&id, is_faulty, &record, &begun, stream)));
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
    let (planners, bookers) = (Counts::default(), Counts::default());
    let mut threads = Vec::new();
    for number in 0..PLANNERS + BOOKERS {
        let is_planner = number < PLANNERS;
        let (name, path, wait_s) = match is_planner {
            true => (format!("plan{number}"), "/plan/x", 12),
            false => (format!("book{number}"), "/book/x", 4),
        };
        let counts = if is_planner { planners.clone() } else { bookers.clone() };
        let (record, begun, is_over) = (record.clone(), begun.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            sleep_ms(20 * number as u64);
            request_again(name, path, wait_s, address, &record, &begun, &is_over, &counts);
        }));
    }
    // The platform: it kills a process that exceeds its machine's memory.
    let (mut highest, mut killed) = (0.0f64, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(25) {
        let memory = gateway.memory_mb();
        highest = highest.max(memory);
        if memory > MEMORY_MB {
            record.show(&format!("{} holds {memory:.0} MB of {MEMORY_MB:.0}: the platform kills it", gateway.name));
            gateway.kill();
            killed += 1;
            sleep_ms(500);
            gateway.start();
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    gateway.kill();
    let _ = std::fs::remove_dir_all(temporary);
    let count = |it: &Arc<AtomicUsize>| it.load(Ordering::Relaxed);
    record.show(&format!("highest memory {highest:.0} MB; the process ended by itself {killed} times"));
    record.show(&format!(
        "sound service: {} requests served, {} cut off without an answer, {} of these on kept channels and run by a replica",
        count(&bookers.served), count(&bookers.cut), count(&bookers.lost)
    ));
    if count(&bookers.served) == 0 {
        cannot_run("nothing was served");
    }
    // LOST: a request from a kept channel is passed on and its channel closed without an answer, more than three times.
    let is_broken = killed > 0 && count(&bookers.lost) > 3;
    record.show(if is_broken { "LOST is broken" } else { "LOST held" });
    std::process::exit(i32::from(is_broken));
}
