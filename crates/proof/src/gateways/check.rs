//! The promises, checked from what callers were told and what replicas counted. Nothing here knows how a gateway works.

use std::fmt;

use indexmap::IndexMap;
use sardinemux_standin::replica::Stats;

use super::caller::{Outcome, Told};
use super::departure::Departure;

/// The statuses that promise that nothing ran.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The statuses of an answer to a request that the operators do not allow.
const DENIED: [u16; 3] = [401, 403, 404];

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A request that must not repeat ran more than once.
    Twice {
        /// The request.
        id: String,
    },
    /// A request was said not to have run, and had.
    FalseNotRun {
        /// The request.
        id: String,
    },
    /// A caller got other bytes, or an answer that looked complete and was not.
    Wrong {
        /// The request.
        id: String,
    },
    /// A proper request was denied.
    Denied {
        /// The request.
        id: String,
        /// The status.
        status: u16,
    },
    /// A replica ran a request that nobody sent.
    Unasked {
        /// The request.
        id: String,
    },
    /// A request was cut off, or not answered, though nothing happened to its replica or its gateway but planned work.
    CutOff {
        /// The request.
        id: String,
    },
    /// A request was failed before its deadline, though its replica went on.
    GivenUp {
        /// The request.
        id: String,
        /// The status.
        status: u16,
    },
    /// A replica got work after it had left.
    Left {
        /// The replica.
        replica: String,
        /// How long after the users' bound, in milliseconds.
        late_ms: u64,
    },
    /// A gateway sent a request to a replica that had stated in an answer which that gateway passed on that it leaves.
    Stated {
        /// The request.
        id: String,
        /// The replica.
        replica: String,
    },
    /// A replica that had stated for how long it wants no requests got too many.
    Paused {
        /// The replica.
        replica: String,
        /// The requests that came.
        arrivals: usize,
        /// The users' bound.
        bound: usize,
    },
    /// Requests were sent on after their callers had left.
    SentOn {
        /// The requests.
        ids: Vec<String>,
        /// The users' bound on their number.
        bound: usize,
    },
    /// A request ran in a pool from which its route had moved away.
    Former {
        /// The request.
        id: String,
        /// The gateway's index.
        gateway: usize,
        /// The pool.
        pool: String,
        /// Whether the gateway had shown the move before, rather than being late.
        is_shown: bool,
    },
    /// A revoked key was still in use after the users' bound.
    Revoked {
        /// The request.
        id: String,
    },
    /// A request under which replicas had crashed went on reaching replicas.
    Repeated {
        /// The runs that began too late.
        late: usize,
    },
    /// Replicas that state that they are brittle fell over too often.
    Fallen {
        /// How often they fell over.
        falls: usize,
        /// The users' bound.
        bound: usize,
    },
    /// The callers of a gateway without paths to replicas are served far worse than others.
    Isolated {
        /// The gateway's index.
        gateway: usize,
        /// The first tries there that were served, and all of them.
        own: (usize, usize),
        /// The same at gateways that have paths.
        others: (usize, usize),
    },
    /// A gateway took more memory than it may have.
    Overfull {
        /// The gateway.
        name: String,
        /// The most that it took, in megabytes.
        most_mb: u64,
        /// What it may have, in megabytes.
        bound_mb: u64,
    },
    /// A gateway worked for too long without letting its other tasks go on.
    Busy {
        /// The gateway.
        name: String,
        /// For how long, in milliseconds.
        busy_ms: u64,
    },
    /// Too few requests are served after all faults have ended.
    Unrecovered {
        /// Those that were served.
        served: usize,
        /// Those that were sent.
        sent: usize,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Twice { id } => write!(formatter, "{id} ran more than once"),
            Self::FalseNotRun { id } => write!(formatter, "{id} was said not to have run"),
            Self::Wrong { id } => write!(formatter, "{id} got a wrong answer"),
            Self::Denied { id, status } => write!(formatter, "{id} was denied with {status}"),
            Self::Unasked { id } => write!(formatter, "{id} ran, and nobody sent it"),
            Self::CutOff { id } => write!(formatter, "{id} was cut although its replica went on"),
            Self::GivenUp { id, status } => {
                write!(
                    formatter,
                    "{id} was given up with {status} although its replica went on"
                )
            }
            Self::Left { replica, late_ms } => {
                write!(formatter, "{replica} got work {late_ms} ms too late")
            }
            Self::Stated { id, replica } => {
                write!(
                    formatter,
                    "{id} reached {replica}, which had stated that it leaves"
                )
            }
            Self::Paused {
                replica,
                arrivals,
                bound,
            } => {
                write!(
                    formatter,
                    "{replica} got {arrivals} requests in a pause that it had stated, {bound} are allowed"
                )
            }
            Self::SentOn { ids, bound } => {
                write!(
                    formatter,
                    "{} requests were sent on after their callers had left, {bound} are allowed: {}",
                    ids.len(),
                    ids.join(" ")
                )
            }
            Self::Former {
                id,
                gateway,
                pool,
                is_shown,
            } => {
                let since = match is_shown {
                    true => "after gateway",
                    false => "too late at gateway",
                };
                write!(
                    formatter,
                    "{id} ran in the former pool {pool}, {since} {gateway} had the move"
                )
            }
            Self::Revoked { id } => write!(formatter, "{id} was served with a revoked key"),
            Self::Repeated { late } => {
                write!(
                    formatter,
                    "a request under which replicas had crashed reached replicas {late} times more"
                )
            }
            Self::Fallen { falls, bound } => {
                write!(
                    formatter,
                    "brittle replicas fell over {falls} times, {bound} are allowed"
                )
            }
            Self::Isolated {
                gateway,
                own,
                others,
            } => {
                write!(
                    formatter,
                    "gateway {gateway} served {} of {} while it had no paths to replicas, the others {} of {}",
                    own.0, own.1, others.0, others.1
                )
            }
            Self::Overfull {
                name,
                most_mb,
                bound_mb,
            } => {
                write!(formatter, "{name} took {most_mb} MB of {bound_mb}")
            }
            Self::Busy { name, busy_ms } => {
                write!(formatter, "{name} worked for {busy_ms} ms without a pause")
            }
            Self::Unrecovered { served, sent } => {
                write!(
                    formatter,
                    "{served} of {sent} requests served after the faults"
                )
            }
        }
    }
}

/// Returns the runs of each request, over all replicas.
pub fn runs(stats: &[Stats]) -> IndexMap<String, u32> {
    let mut runs: IndexMap<String, u32> = IndexMap::new();
    for (id, count) in stats.iter().flat_map(|stats| &stats.runs) {
        *runs.entry(id.clone()).or_default() += count;
    }
    runs
}

/// Returns the promises that hold at any time and were broken.
pub fn always(outcomes: &[Outcome], stats: &[Stats]) -> Vec<Breach> {
    let mut runs = runs(stats);
    let mut breaches = Vec::new();
    for outcome in outcomes {
        let id = outcome.id.clone();
        let ran = runs.swap_remove(&id).unwrap_or(0);
        if !outcome.kind.is_repeatable() && ran > 1 {
            breaches.push(Breach::Twice { id: id.clone() });
        }
        match outcome.told {
            Told::Wrong => breaches.push(Breach::Wrong { id }),
            Told::Failed { status }
                if NOT_RUN.contains(&status) && ran > 0 && !outcome.kind.is_repeatable() =>
            {
                breaches.push(Breach::FalseNotRun { id });
            }
            Told::Failed { status } if DENIED.contains(&status) => {
                breaches.push(Breach::Denied { id, status });
            }
            _ => {}
        }
    }
    breaches.extend(runs.into_keys().map(|id| Breach::Unasked { id }));
    breaches
}

/// Returns the requests that ran and were cut off, or never answered. None should be while replicas, the paths to them
/// and gateways meet nothing but planned work. A request that crosses the end of its connection and is not passed on does not count.
pub fn planned(outcomes: &[Outcome], stats: &[Stats]) -> Vec<Breach> {
    let runs = runs(stats);
    let cut = outcomes.iter().filter(|outcome| match outcome.told {
        Told::Cut { .. } => runs.contains_key(&outcome.id),
        told => told == Told::Silence,
    });
    cut.map(|outcome| Breach::CutOff {
        id: outcome.id.clone(),
    })
    .collect()
}

/// Returns the requests that ran and were failed. Of requests that have time left and sound replicas, none should be.
pub fn given_up(outcomes: &[Outcome], stats: &[Stats]) -> Vec<Breach> {
    let runs = runs(stats);
    let failed = outcomes.iter().filter_map(|outcome| match outcome.told {
        Told::Failed { status } if runs.contains_key(&outcome.id) => Some(Breach::GivenUp {
            id: outcome.id.clone(),
            status,
        }),
        _ => None,
    });
    failed.collect()
}

/// A time in which a gateway has no paths to replicas, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolated {
    /// The gateway's index.
    pub gateway: usize,
    /// When the users' time for finding out has passed.
    pub from_ms: u64,
    /// When the paths are back.
    pub until_ms: u64,
}

/// Returns the gateways whose callers were served far worse than others while they had no paths: the users allow two thirds of
/// the others' share, or ten failures and one in fifty.
pub fn isolated(outcomes: &[Outcome], times: &[Isolated]) -> Vec<Breach> {
    let breaches = times.iter().filter_map(|time| {
        let is_first = |it: &&Outcome| {
            let is_then = (time.from_ms..time.until_ms).contains(&it.sent_ms);
            is_then && !it.is_resumption && it.told != Told::Unreached
        };
        let (mut own, mut others) = ((0, 0), (0, 0));
        for outcome in outcomes.iter().filter(is_first) {
            let has_paths = times
                .iter()
                .all(|other| other.gateway != outcome.gateway || outcome.sent_ms >= other.until_ms);
            let count = match outcome.gateway == time.gateway {
                true => &mut own,
                false if has_paths => &mut others,
                false => continue,
            };
            count.0 += usize::from(outcome.told == Told::Whole);
            count.1 += 1;
        }
        let failed = own.1 - own.0;
        let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
        let is_worse = 3.0 * share(own) < 2.0 * share(others);
        (is_worse && failed > 10 + own.1 / 50).then_some(Breach::Isolated {
            gateway: time.gateway,
            own,
            others,
        })
    });
    breaches.collect()
}

/// Returns the falls of the brittle replicas of one pool, if there were too many: the users allow two and a tenth of the
/// number of replicas.
pub fn fallen(stats: &[Stats]) -> Option<Breach> {
    let falls = stats.iter().map(|stats| stats.falls_ms.len()).sum();
    let bound = 2 + stats.len() / 10;
    (falls > bound).then_some(Breach::Fallen { falls, bound })
}

/// Returns the work that a replica got later than `bound_ms` after it was confirmed to be leaving, and before `until_ms`;
/// times in Unix milliseconds.
pub fn left(
    replica: &str,
    stats: &Stats,
    confirmed_ms: u64,
    bound_ms: u64,
    until_ms: u64,
) -> Vec<Breach> {
    let due_ms = confirmed_ms + bound_ms;
    let late = stats
        .begun_ms
        .iter()
        .filter(|begun_ms| (due_ms + 1..until_ms).contains(*begun_ms));
    late.map(|begun_ms| Breach::Left {
        replica: replica.to_owned(),
        late_ms: begun_ms - due_ms,
    })
    .collect()
}

/// A replica that states in its answers that it leaves, from a time on until it starts anew, in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stating {
    /// The replica.
    pub replica: String,
    /// From when its answers state that.
    pub from_ms: u64,
    /// Until when.
    pub until_ms: u64,
}

/// Returns the requests that a gateway sent to a replica although it had passed on an answer in which that replica stated that it
/// leaves, longer than `bound_ms` before. `is_excused` states whether a gateway was started or stood still between two times.
pub fn stated(
    outcomes: &[Outcome],
    stating: &[Stating],
    bound_ms: u64,
    is_excused: impl Fn(usize, u64, u64) -> bool,
) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for Stating {
        replica,
        from_ms,
        until_ms,
    } in stating
    {
        let from_it = outcomes.iter().filter(|it| it.replica == *replica);
        for outcome in from_it.clone() {
            let told = from_it.clone().filter(|it| {
                it.gateway == outcome.gateway && it.sent_ms >= *from_ms && it.told == Told::Whole
            });
            let told_ms = told.map(|it| it.sent_ms + it.took_ms).min();
            let is_late = told_ms.is_some_and(|told_ms| {
                (told_ms + bound_ms..*until_ms).contains(&outcome.sent_ms)
                    && !is_excused(outcome.gateway, told_ms, outcome.sent_ms)
            });
            if is_late {
                breaches.push(Breach::Stated {
                    id: outcome.id.clone(),
                    replica: replica.clone(),
                });
            }
        }
    }
    breaches
}

/// The time after a rejection with Retry-After in which requests may still arrive, in milliseconds.
const PAUSE_KNOWN_MS: u64 = 500;

/// The users' number of requests of one gateway that may arrive after that.
const SLIPS_MAX: usize = 2;

/// The time after a caller's close in which its request may still be sent on, in milliseconds.
const GONE_MS: u64 = 500;

/// The users' few requests that may be sent on later than that.
const SENT_ON_MAX: usize = 3;

/// Returns the requests that replicas began too long after their callers had left, if these are too many. `is_excused` states
/// whether a gateway was started, stood still or lost its paths between two times.
pub fn sent_on(
    departures: &[Departure],
    stats: &[Stats],
    is_excused: impl Fn(usize, u64, u64) -> bool,
) -> Option<Breach> {
    let begun_ms = |id: &str| {
        let begun = stats.iter().filter_map(|stats| stats.last_begun_ms.get(id));
        begun.max().copied()
    };
    let late = departures.iter().filter(|it| {
        begun_ms(&it.id).is_some_and(|begun_ms| {
            begun_ms > it.left_ms + GONE_MS && !is_excused(it.gateway, it.left_ms, begun_ms)
        })
    });
    let ids: Vec<String> = late.map(|it| it.id.clone()).collect();
    let bound = SENT_ON_MAX;
    (ids.len() > bound).then_some(Breach::SentOn { ids, bound })
}

/// Returns whether a replica got too many requests in a pause that it had stated. Each of the gateways, and each that started or stood
/// still meanwhile (`restarts`), learns of the pause by a rejection of its own, and a few may be under way then.
pub fn paused(replica: &str, stats: &Stats, gateways: usize, restarts: usize) -> Option<Breach> {
    let first_ms = stats.refusals_ms.first()?.0;
    let late = stats.refusals_ms.iter();
    let arrivals = late.filter(|(at_ms, _)| *at_ms > first_ms + PAUSE_KNOWN_MS);
    let arrivals = arrivals.count();
    let bound = (SLIPS_MAX + 1) * (gateways + restarts);
    (arrivals > bound).then(|| Breach::Paused {
        replica: replica.to_owned(),
        arrivals,
        bound,
    })
}
