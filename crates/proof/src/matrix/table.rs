//! The rows of the fault matrix, and the table that a run draws of them.

use sardinemux_standin::platform::Faults;
use sardinemux_standin::proxy::Fault as Network;

use super::cell::{Cell, Fault, Link, Moment, Who};
use super::Findings;

/// A fault with its name.
#[derive(Clone, Copy, Debug)]
pub struct Named {
    /// The name.
    pub name: &'static str,
    /// The fault.
    pub fault: Fault,
}

const fn named(name: &'static str, fault: Fault) -> Named {
    Named { name, fault }
}

const fn network(name: &'static str, link: Link, fault: Network) -> Named {
    named(name, Fault::Network(link, fault))
}

const DOWN: Faults = Faults {
    is_busy: false,
    late_ms: 0,
    is_down: true,
    slow_ms: 0,
    lose_answers: 0,
    is_list_down: false,
};

const SLOW: Faults = Faults {
    is_down: false,
    slow_ms: 700,
    ..DOWN
};

const LOST: Faults = Faults {
    is_down: false,
    lose_answers: 4,
    ..DOWN
};

/// The bytes of an answer that a truncated one still has.
const SOME_BYTES: u64 = 150;

/// The time by which a delayed link is late, in milliseconds.
const DELAY_MS: u64 = 300;

/// Every fault of the matrix.
pub const FAULTS: [Named; 27] = [
    named("nothing", Fault::None),
    network("forward: cut", Link::Forward, Network::Cut),
    network(
        "forward: open connections silent",
        Link::Forward,
        Network::SilenceOpen,
    ),
    network(
        "forward: new connections silent",
        Link::Forward,
        Network::SilenceNew,
    ),
    network(
        "forward: delay",
        Link::Forward,
        Network::Delay { ms: DELAY_MS },
    ),
    network("forward: answers lost", Link::Forward, Network::LoseAnswer),
    network(
        "forward: answers truncated",
        Link::Forward,
        Network::Truncate { bytes: SOME_BYTES },
    ),
    network("forward: answers crossed", Link::Forward, Network::Cross),
    network("dispatch: cut", Link::Dispatch, Network::Cut),
    network(
        "dispatch: open connections silent",
        Link::Dispatch,
        Network::SilenceOpen,
    ),
    network(
        "dispatch: new connections silent",
        Link::Dispatch,
        Network::SilenceNew,
    ),
    network(
        "dispatch: delay",
        Link::Dispatch,
        Network::Delay { ms: DELAY_MS },
    ),
    network(
        "dispatch: answers lost",
        Link::Dispatch,
        Network::LoseAnswer,
    ),
    network(
        "dispatch: answers truncated",
        Link::Dispatch,
        Network::Truncate { bytes: SOME_BYTES },
    ),
    network("dispatch: answers crossed", Link::Dispatch, Network::Cross),
    network("platform link: cut", Link::Platform, Network::Cut),
    network(
        "platform link: open connections silent",
        Link::Platform,
        Network::SilenceOpen,
    ),
    network(
        "platform link: answers lost",
        Link::Platform,
        Network::LoseAnswer,
    ),
    named("platform down", Fault::Platform(DOWN)),
    named("platform slow", Fault::Platform(SLOW)),
    named(
        "platform: answers lost after the write",
        Fault::Platform(LOST),
    ),
    named("router killed", Fault::Kill(Who::Router)),
    named("router frozen", Fault::Freeze(Who::Router)),
    named("engine killed", Fault::Kill(Who::Engine)),
    named("engine frozen", Fault::Freeze(Who::Engine)),
    named("service frozen", Fault::Freeze(Who::Service)),
    named("instance lists differ", Fault::ListsDiffer),
];

/// Returns every cell with one fault.
pub fn cells() -> Vec<Cell> {
    let moments = [Moment::Before, Moment::During];
    FAULTS
        .iter()
        .flat_map(|named| moments.map(|moment| (named, moment)))
        .map(|(named, moment)| Cell {
            name: named.name.to_owned(),
            faults: [named.fault, Fault::None],
            moment,
        })
        .collect()
}

/// Returns whether two faults can happen together: not on the same link or process.
fn can_meet(one: Fault, other: Fault) -> bool {
    match (one, other) {
        (Fault::None, _) | (_, Fault::None) => false,
        (Fault::Network(one, _), Fault::Network(other, _)) => one != other,
        (Fault::Network(Link::Platform, _), Fault::ListsDiffer)
        | (Fault::ListsDiffer, Fault::Network(Link::Platform, _)) => false,
        (Fault::Kill(one) | Fault::Freeze(one), Fault::Kill(other) | Fault::Freeze(other)) => {
            one != other
        }
        (Fault::Platform(_), Fault::Platform(_)) => false,
        _ => true,
    }
}

/// Returns cells with two faults at once: a sample that follows from the seed.
///
/// # Examples
///
/// ```
/// use sardinemux_proof::matrix::table;
///
/// assert_eq!(table::pairs(1, 5).len(), 5);
/// ```
pub fn pairs(seed: u64, count: usize) -> Vec<Cell> {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let mut random = StdRng::seed_from_u64(seed);
    let mut cells = Vec::with_capacity(count);
    while cells.len() < count {
        let one = FAULTS[random.random_range(0..FAULTS.len())];
        let other = FAULTS[random.random_range(0..FAULTS.len())];
        let moment = match random.random() {
            true => Moment::Before,
            false => Moment::During,
        };
        if can_meet(one.fault, other.fault) {
            cells.push(Cell {
                name: format!("{}; {}", one.name, other.name),
                faults: [one.fault, other.fault],
                moment,
            });
        }
    }
    cells
}

/// A cell with what it has shown.
#[derive(Clone, Debug)]
pub struct Row {
    /// The cell.
    pub cell: Cell,
    /// What it has shown.
    pub findings: Findings,
}

/// Draws rows as a table in Markdown.
pub fn draw(rows: &[Row]) -> String {
    let mut text = String::from(
        "| fault | begins | sent | completed | duplicate runs | false \"not run\" | \
         false \"completed\" | cut or wrong | verdict |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for Row { cell, findings } in rows {
        let moment = match cell.moment {
            Moment::Before => "before",
            Moment::During => "during",
        };
        let verdict = match findings.holds() {
            true => "kept",
            false => "BROKEN",
        };
        text.push_str(&format!(
            "| {} | {moment} | {} | {} | {} | {} | {} | {} | {verdict} |\n",
            cell.name,
            findings.sent,
            findings.completed,
            findings.duplicate_runs,
            findings.false_not_run,
            findings.false_completed,
            findings.cut_or_wrong,
        ));
    }
    text
}
