//! Structured logs on standard output: one JSON object per line. Logging never blocks the program.
//!
//! Lines go through a bounded queue to one writer thread. When the queue is full, lines are dropped and counted, and
//! the writer reports the count in a line of its own. The last quarter of the queue is reserved for warnings and
//! errors. The rate of each kind of line is limited too.

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

/// The capacity of the queue in lines, of some 200 bytes each.
const QUEUE_LINES: usize = 1_024;

/// The queue length from which routine lines are dropped; the rest of the queue is reserved for warnings and errors.
const ROUTINE_QUEUE_LINES: usize = QUEUE_LINES / 4 * 3;

/// How long [`flush`] waits for the writer.
const FLUSH_WAIT: Duration = Duration::from_millis(20);

/// The number of dropped lines that the writer has not reported yet.
static UNREPORTED_DROPS: AtomicU64 = AtomicU64::new(0);

/// The number of lines that were dropped since the start of the process.
static DROPPED_TOTAL: AtomicU64 = AtomicU64::new(0);

/// The number of lines in the queue.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// The rate limiter of all lines, created with the first one.
static RATE_LIMITER: Mutex<Option<Limiter>> = Mutex::new(None);

/// The filter that turns off the log lines of libraries, which say nothing about the product.
const LIBRARY_FILTER: &str = "rocket=off,hyper=off,_=off,rocket::server=off";

/// The sending end of the queue, which the logger writes to.
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

/// Returns how many lines were dropped since the start of the process because the writer could not keep up.
pub fn dropped_lines() -> u64 {
    DROPPED_TOTAL.load(Ordering::Relaxed)
}

/// Starts logging at a level. The environment variable `RUST_LOG` replaces the level and the filter for libraries.
pub fn init(level: &str) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
        eprintln!("cannot start the log writer thread; all log lines are dropped: {error}");
    }
    Builder::from_env(Env::default().default_filter_or(format!("{level},{LIBRARY_FILTER}")))
        .format(format_line)
        .target(Target::Pipe(Box::new(Queue { sender })))
        .init();
}

/// Waits a moment for the writer to write the queued lines before the process ends.
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
        // If the reader of standard output has closed it, only the log ends; the program continues.
        if notice.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
    }
}

/// The fields of a line, collected from the keys and values of a record.
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
    // Lines whose text has arguments count as one kind per level.
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
