//! Prints the time that a gateway adds to the first byte of an answer.

use std::process::ExitCode;

use clap::Command;
use sardinemux_host::arguments::{get_number, number};
use sardinemux_host::tool;
use sardinemux_proof::errors::Result;
use sardinemux_proof::gateways::{added, Fleet, Settings};

async fn run(requests: usize) -> Result<bool> {
    let fleet = Fleet::start(Settings {
        gateways: 1,
        zones: 1,
        engines: 1,
        services: 1,
        replica_arguments: ["--events", "2", "--event-ms", "5"]
            .map(str::to_owned)
            .to_vec(),
        ..Settings::default()
    })
    .await?;
    let added = added::measure(&fleet, requests).await?;
    println!("| to the first byte | p50 us | p95 us | p99 us |\n|---|---|---|---|");
    for (way, histogram) in [
        ("direct", added.direct_us),
        ("through a gateway", added.through_us),
    ] {
        let at = |quantile: f64| histogram.value_at_quantile(quantile);
        println!("| {way} | {} | {} | {} |", at(0.5), at(0.95), at(0.99));
    }
    Ok(true)
}

fn main() -> ExitCode {
    env_logger::init();
    let matches = Command::new("sardinemux-added")
        .about("Prints the time that a gateway adds to the first byte of an answer")
        .arg(number("requests", "2000", "The requests each way"))
        .get_matches();
    let requests = get_number(&matches, "requests") as usize;
    tool::run("sardinemux-added", 1, run(requests))
}
