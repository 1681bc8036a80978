//! Runs command-line tools: an asynchronous runtime and an exit status.

use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;

use tokio::runtime::Builder;

/// Runs a tool to completion on a number of worker threads, at least one. The exit status is 0 if `main` returns
/// `true`, else 1; an error is printed to standard error.
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
            eprintln!("{name}: cannot build the asynchronous runtime: {error}");
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
