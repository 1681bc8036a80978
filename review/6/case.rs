//! A key that the operator has taken away stays in force at a machine that had stood still.

#[path = "../support-2/support.rs"]
mod support;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use support::*;

/// `ConfigApplyMs` of the deployment, and the time after which a machine that woke is in touch (`StableWindowMs`), in seconds.
const CONFIG_APPLY_S: f64 = 2.0;
const STABLE_WINDOW_S: f64 = 3.0;

/// When things happen, in seconds from the begin of a round. Each machine stands still for less than the 4.0 s of the site file.
const KEY_ADDED_S: f64 = 0.4;
const LATE_FREEZE_S: f64 = 1.7;
const KEY_REMOVED_S: f64 = 2.0;
const EARLY_WAKE_S: f64 = 3.6;
const LATE_WAKE_S: f64 = 4.3;
const CHECK_S: f64 = LATE_WAKE_S + STABLE_WINDOW_S + 0.2;

const ROUNDS: usize = 13;

/// The zones with two machines: the first and the second of each.
const PAIRS: [(usize, usize); 3] = [(0, 1), (2, 3), (4, 5)];

fn main() -> ExitCode {
    let record = Record::default();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let mut version = 10;
    let usual: [(&str, &[&str]); 1] = [("studio", &["studio-key"])];
    store.put("op", "config", &desired_state(version, &usual));
    let replicas: Vec<Replica> = (0..4).map(|_| Replica::new(&record, &runs, 1, 1)).collect();
    for (index, replica) in replicas.iter().enumerate() {
        replica.start(&format!("i-{index}"), "modhub-app", "v1");
        replica.announce(&store, MACHINES[(2 * index).min(6)].0);
    }
    let machines = start_machines(&store, &record);
    let freeze = |index: usize| {
        if has_trouble() {
            machines[index].freeze(&record);
        }
    };
    let wake = |index: usize| {
        if has_trouble() {
            machines[index].wake(&record);
        }
    };
    let mut broken = 0;
    for round in 0..ROUNDS {
        let (first, second) = PAIRS[round % 3];
        // Each machine of a zone is the one that stands still first in every other turn.
        let (early, late) = if (round / 3) % 2 == 0 { (first, second) } else { (second, first) };
        let (name, key) = (format!("club-{round}"), format!("club-key-{round}"));
        let keys = [key.as_str()];
        // Two machines stand still first, as a share of 0.16 of seven is; one of them is in the zone of the machine that follows.
        let other = PAIRS[(round + 1) % 3].0;
        let begin = record.now();
        let wait_until = |at_s: f64| sleep(begin + at_s - record.now());
        freeze(early);
        freeze(other);
        wait_until(KEY_ADDED_S);
        version += 3;
        let with_club: [(&str, &[&str]); 2] = [usual[0], (&name, &keys)];
        store.put("op", "config", &desired_state(version, &with_club));
        record.note(format!("the store confirms version {version}: {key} is a key of {name}"));
        wait_until(LATE_FREEZE_S);
        freeze(late);
        wait_until(KEY_REMOVED_S);
        version += 2;
        store.put("op", "config", &desired_state(version, &usual));
        let removed_at = record.now();
        record.note(format!("the store confirms version {version}: {key} is no key any more"));
        wait_until(EARLY_WAKE_S);
        wake(early);
        wake(other);
        wait_until(LATE_WAKE_S);
        wake(late);
        // All machines are in touch again, and the bound of the desired state is over.
        wait_until(CHECK_S);
        assert!(record.now() - removed_at > CONFIG_APPLY_S);
        let mut late_s = 0.0;
        let mut kept = Vec::new();
        for machine in &machines {
            let (id, answer) = send(&record, machine, "POST", "/payout/x", &key, 1_500);
            let run = runs.lock().unwrap().iter().find(|run: &&Run| run.request == id).cloned();
            if let Some(run) = run {
                broken += 1;
                kept.push(machine);
                record.note(format!(
                    "BROKEN: {} ran request {id} for tenant {}, {:.1} s after the store had confirmed that its key is gone; {} answered {}",
                    run.replica, run.tenant, run.at_s - removed_at, machine.name, answer.map_or(0, |it| it.status())
                ));
            }
        }
        // The machine is asked again, to see whether it recovers.
        for machine in kept {
            sleep(6.0 - late_s);
            late_s = 6.0;
            send(&record, machine, "POST", "/payout/x", &key, 1_500);
        }
        if broken > 0 {
            break;
        }
    }
    let verdict = if broken > 0 { "the rule CONFIG was broken" } else { "the rule CONFIG held" };
    record.note(format!("{verdict}: {broken} requests were run with a key that the desired state had dropped"));
    record.save();
    drop(machines);
    ExitCode::from(u8::from(broken > 0))
}
