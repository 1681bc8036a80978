//! Requests under which replicas crash: the replacement of crashed replicas, and the users' bound on what reaches them.

use std::sync::Arc;
use std::time::Duration;

use sardinemux_standin::replica::Stats;
use tokio::time;

use super::plan::{Action, Plan};
use crate::errors::Result;
use crate::gateways::caller::Outcome;
use crate::gateways::check::{self, Breach};
use crate::gateways::{Fleet, SERVICES};

/// The time between two looks for crashed replicas.
const LOOK: Duration = Duration::from_millis(250);

/// The crashes of replicas under one request after which the users' bound applies.
const CRASHES: usize = 3;

/// The runs that may begin later than [`WINDOW_MS`] after that.
const LATE_MAX: usize = 3;

/// The users' `StableWindowMs`: how long after a disturbance the bound does not apply to a gateway.
const WINDOW_MS: u64 = 3_000;

/// Lists each replica that has crashed under its next id, once it is back. Never returns unless the operator cannot act.
pub async fn replace_crashed(fleet: Arc<Fleet>) -> Result<()> {
    let mut listed = vec![0; fleet.replicas.len()];
    loop {
        time::sleep(LOOK).await;
        for (index, replica) in fleet.replicas.iter().enumerate() {
            if replica.pool != SERVICES {
                continue;
            }
            // A replica that has just crashed does not answer.
            let Ok(stats) = fleet.stats(index).await else {
                continue;
            };
            let crashes = stats.crashes_ms.len();
            if crashes > listed[index] {
                fleet.replace(index, crashes).await?;
                listed[index] = crashes;
            }
        }
    }
}

/// Returns when each crash happened, in Unix milliseconds.
pub fn crashes(stats: &[Stats]) -> Vec<u64> {
    let mut crashes: Vec<u64> = stats
        .iter()
        .flat_map(|stats| stats.crashes_ms.iter().copied())
        .collect();
    crashes.sort_unstable();
    crashes
}

/// Returns a breach if the fatal request reached replicas too often after it had crashed the third one. Requests at
/// gateways that had been disturbed shortly before do not count. `begun_ms` is when the plan began.
pub fn repeated(
    plan: &Plan,
    begun_ms: u64,
    outcomes: &[Outcome],
    stats: &[Stats],
) -> Option<Breach> {
    let third_ms = *crashes(stats).get(CRASHES - 1)?;
    let runs = check::runs(stats);
    let counted = outcomes.iter().filter(|outcome| {
        outcome.sent_ms > third_ms + WINDOW_MS && is_in_touch(plan, begun_ms, outcome)
    });
    let late = counted.map(|outcome| runs.get(&outcome.id).map_or(0, |runs| *runs as usize));
    let late = late.sum();
    (late > LATE_MAX).then_some(Breach::Repeated { late })
}

/// Returns whether neither the gateway of a request nor the store was disturbed within the window before it.
fn is_in_touch(plan: &Plan, begun_ms: u64, outcome: &Outcome) -> bool {
    let disturbances = plan.steps.iter().filter(|step| match step.action {
        Action::Kill(index) | Action::Terminate(index) | Action::Freeze(index) => {
            index == outcome.gateway
        }
        Action::HarmStorePath(index, _) => index == outcome.gateway,
        Action::HarmStore(_) | Action::ForgetHistory => true,
        _ => false,
    });
    let mut disturbances = disturbances.map(|step| {
        let span = step.span();
        let at_ms = |at: Duration| begun_ms + at.as_millis() as u64;
        at_ms(span.start)..at_ms(span.end) + WINDOW_MS
    });
    let done_ms = outcome.sent_ms + outcome.took_ms;
    !disturbances.any(|span| span.start <= done_ms && outcome.sent_ms < span.end)
}
