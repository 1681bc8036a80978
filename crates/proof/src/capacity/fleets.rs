//! Fleets of several sizes, idle and under load, and what their routers spend.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use sardinemux_core::chats::Chats;
use sardinemux_core::config::{query, Change, Organisation};
use sardinemux_load::probe;
use tokio::time;

use super::{Series, SETTLE};
use crate::errors::Result;
use crate::fleet::{Fleet, Settings};
use crate::matrix::{self, Told};
use crate::process;

/// How long an idle fleet is watched.
const IDLE: Duration = Duration::from_secs(15);

/// How long a load is kept up.
const BUSY: Duration = Duration::from_secs(8);

/// The chats at once in a load.
const CHATS: usize = 24;

/// The organisations in one submission.
const BATCH: usize = 500;

/// What routers spend.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Control bytes a second, the mean over the routers.
    control: f64,
    /// Processor time as a part of a core, the mean over the routers.
    processor: f64,
    /// Resident memory in bytes, the largest.
    memory: f64,
}

/// Returns the control bytes of each router so far.
pub(super) async fn control_bytes(fleet: &Fleet) -> Vec<f64> {
    let reads = fleet.routers.iter().map(|router| async {
        let spent = probe::read_usage(&fleet.client, &router.peer.to_string()).await;
        spent.unwrap_or_default().control_bytes
    });
    join_all(reads).await
}

fn usage(fleet: &Fleet) -> Vec<process::Usage> {
    let routers = fleet.routers.iter();
    routers
        .filter_map(|router| fleet.usage(&router.id))
        .collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Watches an idle fleet.
async fn idle(fleet: &Fleet) -> Cost {
    time::sleep(SETTLE).await;
    let bytes_before = control_bytes(fleet).await;
    let usage_before = usage(fleet);
    let begin = Instant::now();
    time::sleep(IDLE).await;
    let seconds = begin.elapsed().as_secs_f64();
    let usage_after = usage(fleet);
    let bytes_after = control_bytes(fleet).await;
    let pairs = bytes_before.iter().zip(&bytes_after);
    let processor = usage_before.iter().zip(&usage_after);
    Cost {
        control: mean(pairs.map(|(before, after)| (after - before) / seconds)),
        processor: mean(processor.map(|(before, after)| (after.cpu_s - before.cpu_s) / seconds)),
        memory: usage_after
            .iter()
            .map(|usage| usage.rss_bytes)
            .fold(0.0, f64::max),
    }
}

/// Measures idle fleets of several sizes.
async fn sizes(
    sizes: &[usize],
    settings: impl Fn(usize) -> Settings,
    names: [&'static str; 3],
    size_name: &'static str,
) -> Result<Vec<Series>> {
    let mut control = Series::new(names[0], size_name, "bytes/s");
    let mut processor = Series::new(names[1], size_name, "% of a core");
    let mut memory = Series::new(names[2], size_name, "MiB");
    for size in sizes {
        let fleet = Fleet::start(settings(*size)).await?;
        let cost = idle(&fleet).await;
        control.push(*size, cost.control);
        processor.push(*size, cost.processor * 100.0);
        memory.push(*size, cost.memory / f64::from(1 << 20));
        eprintln!("{size_name} {size}: {cost:?}");
    }
    Ok(vec![control, processor, memory])
}

/// Measures idle fleets of several numbers of routers.
pub(super) async fn by_routers() -> Result<Vec<Series>> {
    let settings = |routers| Settings {
        routers,
        engines: 8,
        engines_per_process: 8,
        services: 1,
        ..Settings::default()
    };
    let names = [
        "control traffic a router, idle",
        "processor a router, idle",
        "memory a router, idle",
    ];
    sizes(&[4, 8, 16, 32, 64], settings, names, "routers").await
}

/// Measures idle fleets of several numbers of targets.
pub(super) async fn by_targets() -> Result<Vec<Series>> {
    let settings = |owned: usize| Settings {
        routers: 4,
        engines: 4 * owned,
        engines_per_process: 40,
        services: 1,
        ..Settings::default()
    };
    let names = [
        "control traffic a router, by its targets",
        "processor a router, by its targets",
        "memory a router, by its targets",
    ];
    sizes(&[2, 10, 20, 40], settings, names, "targets a router").await
}

fn organisations(from: usize, to: usize) -> Vec<Change> {
    (from..to)
        .map(|index| {
            Change::SetOrganisation(Organisation {
                name: format!("organisation-{index}").into(),
                member: "couloir".into(),
                weight: 1.0,
                key_digests: vec![query::digest(&format!("key-{index}"))],
            })
        })
        .collect()
}

/// Measures the memory of routers by the organisations that they know.
pub(super) async fn by_organisations() -> Result<Vec<Series>> {
    let mut memory = Series::new("memory a router, by organisations", "organisations", "MiB");
    let settings = Settings {
        routers: 2,
        engines: 2,
        services: 1,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await?;
    let mut known = 0;
    for size in [500, 3_000, 6_000, 12_000] {
        while known < size {
            let next = (known + BATCH).min(size);
            fleet.submit(organisations(known, next)).await?;
            known = next;
        }
        fleet.wait_in_force().await?;
        let largest = usage(&fleet)
            .iter()
            .map(|usage| usage.rss_bytes)
            .fold(0.0, f64::max);
        memory.push(size, largest / f64::from(1 << 20));
        eprintln!("organisations {size}: {largest} bytes");
    }
    Ok(vec![memory])
}

/// Measures what requests and tokens cost the routers, all together.
pub(super) async fn by_tokens() -> Result<Vec<Series>> {
    let mut cost = Series::new(
        "processor of entry and owner a chat, by its tokens",
        "tokens",
        "microseconds",
    );
    for tokens in [1, 32, 96, 192] {
        let settings = Settings {
            routers: 2,
            engines: 4,
            engines_per_process: 4,
            services: 1,
            engine_arguments: ["--warm", "--token-us", "500", "--slots", "16"]
                .map(str::to_owned)
                .to_vec(),
            ..Settings::default()
        };
        let fleet = Fleet::start(settings).await?;
        time::sleep(SETTLE).await;
        let before = usage(&fleet);
        let callers = (0..CHATS).map(|index| keep_chatting(&fleet, index % 2, tokens));
        let completed: u64 = join_all(callers).await.into_iter().sum();
        let after = usage(&fleet);
        let pairs = before.iter().zip(&after);
        let spent: f64 = pairs
            .map(|(before, after)| after.cpu_s - before.cpu_s)
            .sum();
        let each = spent * 1e6 / completed.max(1) as f64;
        eprintln!("tokens {tokens}: {completed} chats, {each} microseconds each");
        cost.push(tokens as usize, each);
    }
    Ok(vec![cost])
}

/// Sends chats one after the other through an entry, and returns how many completed.
async fn keep_chatting(fleet: &Fleet, entry: usize, tokens: u32) -> u64 {
    let begin = Instant::now();
    let mut completed = 0;
    while begin.elapsed() < BUSY {
        let told = matrix::send_chat(fleet, entry, true, tokens).await;
        completed += u64::from(told == Told::Completed);
    }
    completed
}

/// Measures the memory of a table of recent chats in this process.
pub(super) fn by_chats() -> Vec<Series> {
    let mut memory = Series::new("memory of the recent chats", "chats", "MiB");
    for size in [50_000usize, 100_000, 200_000, 400_000, 800_000] {
        let before = process::usage_of(std::process::id()).unwrap_or_default();
        let mut chats = Chats::new(size);
        for chat in 0..size as u64 {
            chats.put(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        }
        let after = process::usage_of(std::process::id()).unwrap_or_default();
        assert_eq!(chats.len(), size);
        let bytes = after.rss_bytes - before.rss_bytes;
        memory.push(size, bytes / f64::from(1 << 20));
        // Kept until the end, so that the next size does not reuse its memory.
        std::mem::forget(chats);
    }
    vec![memory]
}
