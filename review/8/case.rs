//! A machine that was cut off from the store goes on using replicas that left meanwhile.

#[path = "../support-2/support.rs"]
mod support;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

use support::*;

/// `DrainMs` of the deployment, and the time after which the machine is in touch again (`StableWindowMs`), in seconds.
const DRAIN_S: f64 = 2.0;
const STABLE_WINDOW_S: f64 = 3.0;

/// How long the machine is cut off: less than the 5.5 s of the site file.
const CUT_S: f64 = 1.8;

/// When a replica leaves, before the end of the cut. It goes on serving for longer than the machine is asked.
const LEAVES_S: f64 = 0.6;

const ROUNDS: usize = 17;

/// The requesters that ask at the same time.
const CLIENTS: usize = 6;

fn main() -> ExitCode {
    let record = Record::default();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let path = Path::to(&store);
    store.put("op", "config", &desired_state(10, &[("studio", &["studio-key"])]));
    let replicas: Vec<Replica> = (0..4).map(|_| Replica::new(&record, &runs, 1, 1)).collect();
    for (index, replica) in replicas.iter().enumerate() {
        replica.start(&format!("i-{index}-0"), "modhub-app", "v1");
        replica.announce(&store, "thunder-bay");
    }
    let mut machines = start_with(path.address, &record);
    let mut last = machines.pop().expect("seven machines");
    // The loss of any number of machines has to be borne. One is left.
    for machine in &mut machines {
        machine.lose_power(&record);
    }
    sleep(STABLE_WINDOW_S);
    let mut broken = 0;
    for round in 0..ROUNDS {
        if has_trouble() {
            path.set_cut(true);
            record.note(format!("{} is partitioned from the store", last.name));
        }
        sleep(CUT_S - LEAVES_S);
        let leaving = &replicas[round % 4];
        let id = format!("i-{}-{}", round % 4, round / 4);
        store.remove("servers", &id);
        let left_at = record.now();
        record.note(format!("the store confirms that {id} is gone; it serves on for a while"));
        sleep(LEAVES_S);
        if has_trouble() {
            path.set_cut(false);
            record.note(format!("{} reaches the store again", last.name));
        }
        sleep(STABLE_WINDOW_S);
        // The machine is in touch.
        let in_touch_at = record.now();
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    while record.now() < in_touch_at + 0.5 {
                        send(&record, &last, "POST", "/payout/x", "studio-key", 1_500);
                    }
                });
            }
        });
        for run in runs.lock().unwrap().iter().filter(|run| run.replica == id && run.at_s >= in_touch_at) {
            broken += 1;
            record.note(format!(
                "BROKEN: request {} reached {id} {:.1} s after the store had confirmed that it is gone; {DRAIN_S} s are allowed",
                run.request,
                run.at_s - left_at
            ));
        }
        if broken > 0 {
            break;
        }
        leaving.crash();
        sleep(0.1);
        leaving.start(&format!("i-{}-{}", round % 4, round / 4 + 1), "modhub-app", "v1");
        leaving.announce(&store, "thunder-bay");
        sleep(0.5);
    }
    if !last.is_running() {
        cannot_run("the machine has ended");
    }
    let verdict = if broken > 0 { "the rule DRAIN was broken" } else { "the rule DRAIN held" };
    record.note(format!("{verdict}: {broken} requests reached a replica that had left"));
    record.save();
    drop(last);
    drop(machines);
    ExitCode::from(u8::from(broken > 0))
}
