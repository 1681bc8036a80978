//! Structured logs on standard output: one JSON object a line, which never make the program wait.
//!
//! Lines go through a bounded queue to one writer thread. When the queue is full, lines are dropped and
//! counted; the count follows as a line of its own. The last part of the queue is kept for warnings and errors. The
//! rate of each kind of line is bounded too.

pub mod rate;

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env, Target};
use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use parking_lot::Mutex;
use serde_json::{Map, Value as Json};

use rate::Limiter;

/// The lines that may wait for the writer; some 200 bytes each.
const QUEUE_LINES: usize = 1_024;

/// The lines that may wait for the writer when a routine line comes; the rest is for warnings and errors.
const ROUTINE_QUEUE_LINES: usize = QUEUE_LINES / 4 * 3;

/// How long [`flush`] lets the writer catch up.
const FLUSH_WAIT: Duration = Duration::from_millis(20);

/// Lines that were dropped since the last one that says so.
static UNREPORTED_DROPS: AtomicU64 = AtomicU64::new(0);

/// All lines that were dropped because the writer could not keep up.
static DROPPED_TOTAL: AtomicU64 = AtomicU64::new(0);

/// Lines that wait for the writer.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// How many lines of each kind were written in the present second.
static RATE_LIMITER: Mutex<Option<Limiter>> = Mutex::new(None);

/// Libraries whose own lines say nothing of the product.
const LIBRARY_FILTER: &str = "rocket=off,hyper=off,_=off,rocket::server=off";

struct Queue {
    sender: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line.to_vec()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
            count_dropped_line();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn count_dropped_line() {
    UNREPORTED_DROPS.fetch_add(1, Ordering::Relaxed);
    DROPPED_TOTAL.fetch_add(1, Ordering::Relaxed);
}

/// Returns how many lines were dropped since the process began because the writer could not keep up.
pub fn dropped_lines() -> u64 {
    DROPPED_TOTAL.load(Ordering::Relaxed)
}

/// Starts the log at a level; the environment variable `RUST_LOG` outweighs it.
pub fn init(level: &str) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
        eprintln!("the log writer cannot be started: {error}");
    }
    Builder::from_env(Env::default().default_filter_or(format!("{level},{LIBRARY_FILTER}")))
        .format(format_line)
        .target(Target::Pipe(Box::new(Queue { sender })))
        .init();
}

/// Gives the writer a moment to write what waits, before the process ends.
pub fn flush() {
    thread::sleep(FLUSH_WAIT);
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(line) = receiver.recv() {
        QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
        let dropped = UNREPORTED_DROPS.swap(0, Ordering::Relaxed);
        let notice = match dropped {
            0 => Ok(()),
            _ => writeln!(
                output,
                "{{\"level\":\"warn\",\"event\":\"log lines dropped\",\"count\":{dropped}}}"
            ),
        };
        // A reader that has gone away ends the log, not the program.
        if notice.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => Json::from(number),
            (None, Some(flag)) => Json::from(flag),
            (None, None) => Json::from(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn format_line(output: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64);
    let is_routine = record.level() > Level::Warn;
    if is_routine && QUEUED_LINES.load(Ordering::Relaxed) >= ROUTINE_QUEUE_LINES {
        count_dropped_line();
        return Ok(());
    }
    let kind = record.args().as_str().unwrap_or_default();
    let admitted = {
        let mut limiter = RATE_LIMITER.lock();
        let limiter = limiter.get_or_insert_with(Limiter::default);
        limiter.admit(record.level(), kind, time_ms / 1_000)
    };
    let Some(suppressed) = admitted else {
        return Ok(());
    };
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), Json::from(time_ms));
    let level = record.level().as_str().to_lowercase();
    fields.0.insert("level".to_owned(), Json::from(level));
    let event = record.args().to_string();
    fields.0.insert("event".to_owned(), Json::from(event));
    if suppressed > 0 {
        fields
            .0
            .insert("left_out".to_owned(), Json::from(suppressed));
    }
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("log_error".to_owned(), Json::from(error.to_string()));
    }
    writeln!(output, "{}", Json::Object(fields.0))
}
