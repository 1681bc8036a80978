//! Structured logs on standard output: one JSON object a line, which never make the program wait.
//!
//! Lines go through a bounded queue to one writer thread. When the queue is full, lines are dropped and
//! counted; the count follows as a line of its own.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env, Target};
use log::kv::{Key, Value, VisitSource};
use log::Record;
use serde_json::{Map, Value as Json};

/// The lines that may wait for the writer; some 200 bytes each.
const QUEUE_LINES: usize = 1_024;

/// How long [`flush`] lets the writer catch up.
const FLUSH: Duration = Duration::from_millis(20);

/// Lines that were dropped since the last one that says so.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Libraries whose own lines say nothing of the product.
const QUIET: &str = "rocket=off,hyper=off,_=off,rocket::server=off";

struct Queue {
    sender: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the log at a level; the environment variable `RUST_LOG` outweighs it.
pub fn init(level: &str) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
        eprintln!("the log writer cannot be started: {error}");
    }
    Builder::from_env(Env::default().default_filter_or(format!("{level},{QUIET}")))
        .format(format_line)
        .target(Target::Pipe(Box::new(Queue { sender })))
        .init();
}

/// Gives the writer a moment to write what waits, before the process ends.
pub fn flush() {
    thread::sleep(FLUSH);
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(line) = receiver.recv() {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        let note = match dropped {
            0 => Ok(()),
            _ => writeln!(
                output,
                "{{\"level\":\"warn\",\"event\":\"log lines dropped\",\"count\":{dropped}}}"
            ),
        };
        // A reader that has gone away ends the log, not the program.
        if note.and_then(|()| output.write_all(&line)).is_err() {
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
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), Json::from(time_ms));
    let level = record.level().as_str().to_lowercase();
    fields.0.insert("level".to_owned(), Json::from(level));
    let event = record.args().to_string();
    fields.0.insert("event".to_owned(), Json::from(event));
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("log_error".to_owned(), Json::from(error.to_string()));
    }
    writeln!(output, "{}", Json::Object(fields.0))
}
