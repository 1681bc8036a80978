//! How command-line tools run: a runtime, and an exit status.

use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;

/// Runs a tool to its end. The exit status is 0 if it says `true`, else 1; what went wrong goes to standard error.
///
/// # Examples
///
/// ```
/// use sardinemux_host::tool;
///
/// let status = tool::run("example", 1, async { Ok::<bool, std::fmt::Error>(true) });
/// assert_eq!(status, std::process::ExitCode::SUCCESS);
/// ```
pub fn run<E: Display>(
    name: &str,
    threads: usize,
    main: impl Future<Output = Result<bool, E>>,
) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads.max(1))
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: the runtime cannot be built: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(main) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
