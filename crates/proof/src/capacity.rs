//! Slopes: what one more router, target, organisation, chat, request or token costs.

use std::path::Path;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use sardinemux_core::chats::Chats;
use sardinemux_core::config::{query, Change, Organisation, Parameter};
use sardinemux_load::probe;
use sardinemux_standin::platform::Faults;
use sardinemux_wire::admin::Force;
use snafu::ResultExt;
use tokio::time;

use crate::chart::{self, Chart};
use crate::errors::{IoSnafu, Result};
use crate::fleet::{Fleet, Settings};
use crate::matrix::{self, Told};
use crate::process;
use crate::slope::{self, Line, Point};

/// How long an idle fleet is watched.
const IDLE: Duration = Duration::from_secs(15);

/// How long an idle fleet settles first.
const SETTLE: Duration = Duration::from_secs(8);

/// How long a load is kept up.
const BUSY: Duration = Duration::from_secs(8);

/// The chats at once in a load.
const CHATS: usize = 24;

/// The calls whose time is taken.
const CALLS: usize = 1_500;

/// The changes whose way is timed.
const CHANGES: usize = 25;

/// The organisations in one submission.
const BATCH: usize = 500;

/// A measured series.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The measurements.
    pub points: Vec<Point>,
}

impl Series {
    fn new(name: &'static str, size: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            size,
            unit,
            points: Vec::new(),
        }
    }

    fn push(&mut self, size: usize, value: f64) {
        let size = size as f64;
        self.points.push(Point { size, value });
    }

    /// Returns the line through the series.
    pub fn line(&self) -> Line {
        slope::fit(&self.points)
    }
}

/// Three percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are no longer.
    pub p95: f64,
    /// 99 in 100 are no longer.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Times {
    /// Takes percentiles of times in milliseconds.
    fn of(mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let index = ((times.len() as f64 * quantile) as usize).min(times.len().max(1) - 1);
            times.get(index).copied().unwrap_or(0.0)
        };
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

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

async fn control_bytes(fleet: &Fleet) -> Vec<f64> {
    let reads = fleet.routers.iter().map(|router| async {
        let spent = probe::spent(&fleet.client, &router.peer.to_string()).await;
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

async fn by_routers() -> Result<Vec<Series>> {
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

async fn by_targets() -> Result<Vec<Series>> {
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

async fn by_organisations() -> Result<Vec<Series>> {
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
async fn by_tokens() -> Result<Vec<Series>> {
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
fn by_chats() -> Vec<Series> {
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

/// The time of calls made directly and through the fleet, in one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hop {
    /// Directly to the service.
    pub direct: Times,
    /// Through an entry router and an owner router.
    pub routed: Times,
}

async fn hop() -> Result<Hop> {
    let settings = Settings {
        routers: 4,
        engines: 2,
        services: 1,
        service_arguments: ["--work-ms", "0"].map(str::to_owned).to_vec(),
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await?;
    time::sleep(SETTLE).await;
    let service = fleet.services[0].address;
    // The entry is in another zone than the service, so that the owner is another router.
    let entry = fleet.routers[1].entry;
    let direct_url = format!("http://{service}/items?operation=x");
    let routed_url = format!("http://{entry}/services/booking/items?operation=x");
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for _ in 0..CALLS {
        // In turn, so that a slow moment of the machine falls on both.
        for (url, times) in [(&direct_url, &mut direct), (&routed_url, &mut routed)] {
            let begin = Instant::now();
            let request = fleet.client.get(url).bearer_auth(fleet.key(0));
            if let Ok(response) = request.send().await {
                let _ = response.bytes().await;
            }
            times.push(begin.elapsed().as_secs_f64() * 1_000.0);
        }
    }
    Ok(Hop {
        direct: Times::of(direct),
        routed: Times::of(routed),
    })
}

/// The time from acceptance until a change is in force on every router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// With the platform whole.
    pub whole: Times,
    /// With the platform down from right after the acceptance.
    pub outage: Times,
    /// Control bytes of all routers together for one change.
    pub bytes: f64,
}

async fn in_force(fleet: &Fleet, version: u64) -> bool {
    let reads = fleet.routers.iter().map(|router| async {
        let held = fleet.metric(router, "sardinemux_config_version").await;
        held.is_ok_and(|held| held >= version as f64)
    });
    join_all(reads).await.into_iter().all(|held| held)
}

async fn spread() -> Result<Spread> {
    let settings = Settings {
        services: 1,
        engines: 4,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await?;
    time::sleep(SETTLE).await;
    let idle_before: f64 = control_bytes(&fleet).await.iter().sum();
    time::sleep(SETTLE).await;
    let idle_after: f64 = control_bytes(&fleet).await.iter().sum();
    let idle_a_second = (idle_after - idle_before) / SETTLE.as_secs_f64();
    let begin = Instant::now();
    let mut result = Spread::default();
    for has_outage in [false, true] {
        let mut times = Vec::new();
        for index in 0..CHANGES {
            let change = Change::SetDefault {
                parameter: Parameter::QueueLength,
                value: 60.0 + index as f64,
            };
            fleet.submit(vec![change]).await?;
            let accepted = Instant::now();
            if has_outage {
                let down = Faults {
                    is_down: true,
                    ..Faults::default()
                };
                fleet.platform_faults(down).await?;
            }
            let version = fleet.newest_version();
            while !in_force(&fleet, version).await {
                time::sleep(Duration::from_millis(2)).await;
            }
            times.push(accepted.elapsed().as_secs_f64() * 1_000.0);
            fleet.platform_faults(Faults::default()).await?;
        }
        match has_outage {
            false => result.whole = Times::of(times),
            true => result.outage = Times::of(times),
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    let after: f64 = control_bytes(&fleet).await.iter().sum();
    let changes = (2 * CHANGES) as f64;
    result.bytes = ((after - idle_after) - idle_a_second * seconds).max(0.0) / changes;
    let force: Force = fleet.read("/v1/force").await?;
    assert_eq!(force.version, fleet.newest_version());
    Ok(result)
}

/// Everything that was measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The series.
    pub series: Vec<Series>,
    /// The added latency.
    pub hop: Hop,
    /// The way of a change.
    pub spread: Spread,
}

/// Measures everything.
///
/// # Errors
///
/// What went wrong with a fleet.
pub async fn measure() -> Result<Measured> {
    let mut series = by_chats();
    series.extend(by_tokens().await?);
    let hop = hop().await?;
    eprintln!("{hop:?}");
    let spread = spread().await?;
    eprintln!("{spread:?}");
    series.extend(by_organisations().await?);
    series.extend(by_targets().await?);
    series.extend(by_routers().await?);
    Ok(Measured {
        series,
        hop,
        spread,
    })
}

/// Writes the series as CSV.
pub fn csv(measured: &Measured) -> String {
    let mut text = String::from("series,size,value,unit\n");
    for series in &measured.series {
        for point in &series.points {
            text.push_str(&format!(
                "\"{} ({})\",{},{:.4},{}\n",
                series.name, series.size, point.size, point.value, series.unit
            ));
        }
    }
    text
}

/// Writes the tables of the capacity page in Markdown.
pub fn tables(measured: &Measured) -> String {
    let mut text = String::from(
        "| measured | for each | unit | sizes | at zero | one more adds | fit (R2) | spread |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for series in &measured.series {
        let line = series.line();
        let sizes: Vec<String> = series
            .points
            .iter()
            .map(|point| format!("{}", point.size))
            .collect();
        text.push_str(&format!(
            "| {} | {} | {} | {} | {:.3} | {:.6} | {:.3} | {:.3} |\n",
            series.name,
            series.size,
            series.unit,
            sizes.join(", "),
            line.base,
            line.slope,
            line.fit,
            line.spread
        ));
    }
    let row = |name: &str, times: Times| {
        format!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} |\n",
            times.p50, times.p95, times.p99, times.max
        )
    };
    text.push_str("\n| time, ms | p50 | p95 | p99 | longest |\n|---|---|---|---|---|\n");
    text.push_str(&row("service call, direct", measured.hop.direct));
    text.push_str(&row(
        "service call, by entry and owner",
        measured.hop.routed,
    ));
    text.push_str(&row("change in force on 8 routers", measured.spread.whole));
    text.push_str(&row(
        "the same, platform down right after acceptance",
        measured.spread.outage,
    ));
    text.push_str(&format!(
        "\nOne change costs {:.0} control bytes on 8 routers together, beyond the idle traffic.\n",
        measured.spread.bytes
    ));
    text
}

/// The marks in the capacity page between which the tables stand.
pub const MARKS: [&str; 2] = ["<!-- measured: begin -->", "<!-- measured: end -->"];

/// Writes the series, the charts and, between [`MARKS`], the tables of the capacity page.
///
/// # Errors
///
/// `Error::Io` or `Error::Chart` if a file cannot be written.
pub fn write(measured: &Measured, page: &Path) -> Result<()> {
    let folder = page.with_extension("").with_file_name("capacity");
    let io = |path: &Path| {
        let what = path.display().to_string();
        IoSnafu { what }
    };
    std::fs::create_dir_all(&folder).context(io(&folder))?;
    let file = folder.join("slopes.csv");
    std::fs::write(&file, csv(measured)).context(io(&file))?;
    for (index, series) in measured.series.iter().enumerate() {
        let points = series.points.iter();
        let line = series.line();
        let fitted = series.points.iter();
        let chart = Chart {
            title: series.name.to_owned(),
            across: series.size.to_owned(),
            up: series.unit.to_owned(),
            lines: vec![
                chart::Line {
                    name: "measured".to_owned(),
                    points: points.map(|point| (point.size, point.value)).collect(),
                },
                chart::Line {
                    name: "line".to_owned(),
                    points: fitted
                        .map(|point| (point.size, line.at(point.size)))
                        .collect(),
                },
            ],
        };
        chart::draw(&chart, &folder.join(format!("series-{index}.svg")))?;
    }
    let text = std::fs::read_to_string(page).context(io(page))?;
    let begin = text.find(MARKS[0]).map(|at| at + MARKS[0].len());
    let end = text.find(MARKS[1]);
    if let (Some(begin), Some(end)) = (begin, end) {
        let text = format!("{}\n{}{}", &text[..begin], tables(measured), &text[end..]);
        std::fs::write(page, text).context(io(page))?;
    }
    Ok(())
}
