//! The fault matrix: every fault at every step, and two at once for a seeded sample.
//!
//! With `SARDINEMUX_PROOFS` set to a file, the run writes its table there.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use parking_lot::Mutex;
use rstest::rstest;
use sardinemux_proof::fleet::Fleet;
use sardinemux_proof::matrix::cell::{self, Cell};
use sardinemux_proof::matrix::table::{self, Row};

/// The fleets that cells are tried in side by side.
const FLEETS: usize = 3;

/// The cells with two faults.
const PAIRS: usize = 18;

/// The tries of a cell without its mechanism, in batches.
const BATCH: usize = 6;

/// The most batches.
const BATCHES_MAX: usize = 5;

/// The seed of the sample.
const SEED: u64 = 20_261_203;

/// Tries cells in a few fleets side by side, and returns the rows in the order of the cells.
async fn try_all(cells: Vec<Cell>, without: &[&str]) -> Vec<Row> {
    let queue = Arc::new(Mutex::new(
        cells.into_iter().enumerate().rev().collect::<Vec<_>>(),
    ));
    let workers = (0..FLEETS).map(|_| {
        let queue = queue.clone();
        let settings = cell::settings(without);
        tokio::spawn(async move {
            let fleet = Fleet::start(settings).await.unwrap();
            let mut rows = Vec::new();
            loop {
                let next = queue.lock().pop();
                let Some((index, cell)) = next else {
                    return rows;
                };
                let findings = cell.try_in(&fleet).await;
                let findings = findings.unwrap_or_else(|error| panic!("{}: {error}", cell.name));
                eprintln!("{} ({:?}): {findings:?}", cell.name, cell.moment);
                rows.push((index, Row { cell, findings }));
            }
        })
    });
    let mut rows = Vec::new();
    for worker in futures_util::future::join_all(workers).await {
        rows.extend(worker.unwrap());
    }
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_every_promise_in_every_cell() {
    let single = try_all(table::cells(), &[]).await;
    let pairs = try_all(table::pairs(SEED, PAIRS), &[]).await;
    let text = format!(
        "### One fault\n\n{}\n### Two faults at once, seed {SEED}\n\n{}",
        table::draw(&single),
        table::draw(&pairs)
    );
    if let Some(file) = std::env::var_os("SARDINEMUX_PROOFS") {
        std::fs::write(file, &text).unwrap();
    }
    let broken: Vec<&Row> = single
        .iter()
        .chain(&pairs)
        .filter(|row| !row.findings.holds())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Returns the cells of a fault, at both moments.
fn cells(name: &str) -> Vec<Cell> {
    let cells = table::cells();
    let named: Vec<Cell> = cells.into_iter().filter(|cell| cell.name == name).collect();
    assert_eq!(named.len(), 2, "{name}");
    named
}

/// Each mechanism is there for something: without it, a cell fails that holds with it. What is
/// broken may show only in some tries, so a cell is tried a few times.
#[rstest]
#[case::fence("fence", "forward: open connections silent")]
#[case::ledger("ledger", "router killed")]
#[case::order("order", "forward: answers crossed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_cell_fails_without_its_mechanism(#[case] mechanism: &str, #[case] fault: &str) {
    for _ in 0..BATCHES_MAX {
        let batch = cells(fault).into_iter().cycle().take(BATCH).collect();
        let rows = try_all(batch, &[mechanism]).await;
        if rows.iter().any(|row| !row.findings.holds()) {
            return;
        }
    }
    panic!("{fault} holds without {mechanism}");
}
