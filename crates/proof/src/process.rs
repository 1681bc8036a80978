//! Processes that a trial has started, and the signals that it sends them.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use snafu::ResultExt;

use crate::errors::{Error, IoSnafu, Result, SignalSnafu, StartSnafu};
use parking_lot::Mutex;

/// How long a process that was asked to end may take.
const END: Duration = Duration::from_secs(60);

/// The pause between two looks at a process.
const PAUSE: Duration = Duration::from_millis(20);

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: f64,
}

/// Returns what a process has used, if it runs.
///
/// # Examples
///
/// ```
/// let usage = sardinemux_proof::process::usage_of(std::process::id());
/// assert!(usage.is_some_and(|usage| usage.rss_bytes > 0.0));
/// ```
pub fn usage_of(pid: u32) -> Option<Usage> {
    let stat = procfs::process::Process::new(pid as i32)
        .ok()?
        .stat()
        .ok()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Some(Usage {
        cpu_s: ticks / procfs::ticks_per_second() as f64,
        rss_bytes: stat.rss as f64 * procfs::page_size() as f64,
    })
}

/// Held while the limit of open descriptors of this process is lowered for a child.
static LIMIT_LOWERED: Mutex<()> = Mutex::new(());

/// Starts a child that may have this many descriptors open. A child takes over the limit of its parent, so that this process has
/// the same limit for a moment; descriptors that are open stay open.
fn spawn_limited(command: &mut Command, open_files: u64) -> io::Result<Child> {
    let _lowered = LIMIT_LOWERED.lock();
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, open_files.min(soft), hard)?;
    let child = command.spawn();
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard)?;
    child
}

/// Returns the number of descriptors that a process has open, if it runs.
///
/// # Examples
///
/// ```
/// let open = sardinemux_proof::process::open_descriptors(std::process::id());
/// assert!(open.is_some_and(|open| open > 2));
/// ```
pub fn open_descriptors(pid: u32) -> Option<usize> {
    procfs::process::Process::new(pid as i32)
        .ok()?
        .fd_count()
        .ok()
}

/// A process that ends with its owner.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

/// Returns the folder of the project's binaries, beside the running one.
fn binaries() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    // Test binaries lie one folder deeper.
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder
}

impl Process {
    /// Starts one of the project's binaries; its log goes to a file of its name.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing, `Error::Io` if the log cannot be written.
    pub fn start(name: &str, program: &str, arguments: &[String], logs: &Path) -> Result<Self> {
        Self::start_limited(name, program, arguments, logs, None)
    }

    /// Starts one of the project's binaries as [`start`](Self::start) does. It may have `open_files` descriptors open, or as many as
    /// this process.
    ///
    /// # Errors
    ///
    /// As for [`start`](Self::start).
    pub fn start_limited(
        name: &str,
        program: &str,
        arguments: &[String],
        logs: &Path,
        open_files: Option<u64>,
    ) -> Result<Self> {
        let log = logs.join(format!("{name}.log"));
        let what = log.display().to_string();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .context(IoSnafu { what })?;
        let path = binaries().join(program);
        let mut command = Command::new(&path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().context(IoSnafu { what: name })?)
            .stderr(log);
        let child = match open_files {
            Some(open_files) => spawn_limited(&mut command, open_files),
            None => command.spawn(),
        };
        let child = child.context(StartSnafu {
            program: path.display().to_string(),
        })?;
        let name = name.to_owned();
        Ok(Self { name, child })
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).context(SignalSnafu {
            name: self.name.clone(),
        })
    }

    /// Returns the process id, if it runs.
    pub fn id(&mut self) -> Option<u32> {
        (!self.has_ended()).then(|| self.child.id())
    }

    /// Returns what the process has used, if it runs.
    pub fn usage(&self) -> Option<Usage> {
        usage_of(self.child.id())
    }

    /// Stops the process where it stands.
    ///
    /// # Errors
    ///
    /// `Error::Signal` if it has ended.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// `Error::Signal` if it has ended.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to end gracefully.
    ///
    /// # Errors
    ///
    /// `Error::Signal` if it has ended.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Tells the process that its settings changed.
    ///
    /// # Errors
    ///
    /// `Error::Signal` if it has ended.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended of its own accord.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it goes on.
    pub async fn ended(&mut self) -> Result<()> {
        let begin = Instant::now();
        while !self.has_ended() {
            if begin.elapsed() > END {
                let state = format!("the end of {}", self.name);
                return Err(Error::Late { state });
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended by itself needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
