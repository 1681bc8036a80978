//! A simulation of many gateways that send to few targets, deciding alone or by permits.

#![allow(dead_code, reason = "each test uses a part of this")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::collection::Number;
use sardinemux_core::permits::{
    command, Decision, Destination, Dispatcher, End, Notice, Request, Ticket,
};

/// The targets of the pool.
const TARGETS: usize = 3;
/// The interval at which gateways learn of the load, in milliseconds. What they learn is one more interval old.
const SAMPLE_MS: u64 = 100;
/// The time without an answer after which the next dispatcher is asked, in milliseconds.
const ANSWER_MS: u64 = 40;
/// The interval at which a request that waits asks again, in milliseconds.
const REPEAT_MS: u64 = 150;
/// How long a dispatcher that has not answered is passed over, in milliseconds.
const SILENT_MS: u64 = 1_000;
/// The number of requests in a row without an answer after which that is so.
const SILENT_MISSES: u32 = 2;

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Load {
    pub gateways: usize,
    pub work_ms: f64,
    pub objective_ms: u64,
    pub timeout_ms: u64,
    pub per_s: f64,
    pub slots: usize,
    pub queue: usize,
    /// The factor by which work takes longer in the middle half of the run.
    pub slowdown: f64,
    pub run_ms: u64,
}

/// How requests are placed, and what fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Alone,
    Permits,
    /// The first dispatcher ends in the middle.
    Killed,
    /// The first dispatcher stands still for a second in the middle.
    Frozen,
    /// Half of the gateways ask another dispatcher.
    Two,
    /// Each datagram is lost with this probability.
    Lossy(f64),
}

/// What came of all requests.
#[derive(Clone, Debug, Default)]
pub struct Score {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests that were answered after their time-out.
    pub overrun: u32,
    /// When each of these began and ended, and how long it was at its target, in milliseconds.
    pub overruns_ms: Vec<(u64, u64, u64)>,
    /// Requests that waited for a permit until their time-out.
    pub held: u32,
    /// Requests without any answer.
    pub open: u32,
    /// Rejections by full targets.
    pub rejected: u32,
    /// Requests and those in time, by organisation.
    pub organisations: BTreeMap<usize, (u32, u32)>,
    /// Requests and those in time, by priority.
    pub priorities: BTreeMap<u8, (u32, u32)>,
}

impl Score {
    pub fn worst_organisation(&self) -> f64 {
        let shares = self.organisations.values();
        let shares = shares.map(|(all, in_time)| f64::from(*in_time) / f64::from(*all));
        shares.fold(1.0, f64::min)
    }

    pub fn share_in_time(&self, priority: u8) -> f64 {
        let (all, in_time) = self.priorities[&priority];
        f64::from(in_time) / f64::from(all)
    }
}

#[derive(Clone, Debug)]
struct Call {
    gateway: usize,
    organisation: usize,
    priority: u8,
    begin_ms: u64,
    /// The number of times that targets have rejected it.
    tries: u32,
    avoided: Vec<usize>,
    dispatcher: usize,
    asked: u32,
    acknowledged: bool,
    granted_ms: u64,
    has_permit: bool,
    is_done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Ask(usize),
    Answer(usize, usize, u8, u32),
    Check(usize, u32),
    Send(usize, usize),
    Work(usize, usize),
    Rejected(usize, usize),
    Finished(usize, usize),
    EndHeard(usize, usize, u8, u32),
    Tick,
    Sample,
}

/// The simulation.
pub struct Simulation {
    load: Load,
    mode: Mode,
    /// Draws the arrivals, which are the same in all modes.
    arrivals: StdRng,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    calls: Vec<Call>,
    running: [usize; TARGETS],
    queues: [Vec<usize>; TARGETS],
    samples: [[usize; TARGETS]; 3],
    own: Vec<[usize; TARGETS]>,
    dispatchers: [Dispatcher; 2],
    silent_ms: Vec<u64>,
    misses: Vec<u32>,
    score: Score,
}

impl Simulation {
    pub fn run(load: Load, mode: Mode, seed: u64) -> Score {
        let gateways = load.gateways;
        let mut simulation = Self {
            load,
            mode,
            arrivals: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed + 1),
            events: BinaryHeap::new(),
            next: 0,
            calls: Vec::new(),
            running: [0; TARGETS],
            queues: Default::default(),
            samples: [[0; TARGETS]; 3],
            own: vec![[0; TARGETS]; gateways],
            dispatchers: Default::default(),
            silent_ms: vec![0; gateways],
            misses: vec![0; gateways],
            score: Score::default(),
        };
        simulation.push(0, Event::Arrive);
        simulation.push(0, Event::Tick);
        simulation.push(0, Event::Sample);
        let end_ms = simulation.load.run_ms + 4 * simulation.load.timeout_ms;
        while let Some(Reverse((now_ms, _, event))) = simulation.events.pop() {
            if now_ms > end_ms {
                break;
            }
            simulation.handle(event, now_ms);
        }
        let open = simulation.calls.iter().filter(|it| !it.is_done).count();
        simulation.score.open = open as u32;
        simulation.score
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at_ms, self.next, event)));
    }

    /// Sends a datagram, which takes 1 to 4 ms with the work of the gateways, and may be lost.
    fn datagram(&mut self, now_ms: u64, event: Event) {
        let share = match self.mode {
            Mode::Lossy(share) => share,
            _ => 0.0,
        };
        if !self.rng.random_bool(share) {
            let delay_ms = self.rng.random_range(1..=4);
            self.push(now_ms + delay_ms, event);
        }
    }

    fn is_down(&self, dispatcher: usize, now_ms: u64) -> bool {
        let middle = self.load.run_ms / 2;
        dispatcher == 0
            && match self.mode {
                Mode::Killed => now_ms >= middle,
                Mode::Frozen => (middle..middle + 1_000).contains(&now_ms),
                _ => false,
            }
    }

    fn rate(&self, now_ms: u64) -> f64 {
        let phase = now_ms as f64 / 13_000.0 * std::f64::consts::TAU;
        let burst = if now_ms % 5_000 < 700 { 2.0 } else { 1.0 };
        self.load.per_s * (1.0 + 0.55 * phase.sin()) * burst
    }

    fn destinations(&self) -> Vec<Destination> {
        let destination = |target: usize| Destination {
            number: Number(target as u32),
            zone: "z".into(),
            slots: self.load.slots as u32,
            reported: self.samples[0][target] as u32,
            is_usable: true,
        };
        (0..TARGETS).map(destination).collect()
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive => self.arrive(now_ms),
            Event::Ask(call) => self.receive(call, now_ms),
            Event::Answer(call, dispatcher, kind, value) => {
                self.answer(call, dispatcher, kind, value, now_ms);
            }
            Event::Check(call, asked) => self.check(call, asked, now_ms),
            Event::Send(call, target) => self.send(call, target, now_ms),
            Event::Work(call, target) => self.begin(call, target, now_ms),
            Event::Rejected(call, target) => self.rejected(call, target, now_ms),
            Event::Finished(call, target) => self.finished(call, target, now_ms),
            Event::EndHeard(call, dispatcher, kind, time_ms) => {
                self.end_heard(call, dispatcher, kind, time_ms, now_ms);
            }
            Event::Tick => {
                for dispatcher in 0..2 {
                    if !self.is_down(dispatcher, now_ms) {
                        let destinations = self.destinations();
                        let state = &mut self.dispatchers[dispatcher];
                        let notices = command::expire(state, &destinations, now_ms);
                        self.notify(dispatcher, notices, now_ms);
                    }
                }
                self.push(now_ms + 10, Event::Tick);
            }
            Event::Sample => {
                self.samples.rotate_left(1);
                let held = |target: usize| self.running[target] + self.queues[target].len();
                self.samples[2] = std::array::from_fn(held);
                self.push(now_ms + SAMPLE_MS, Event::Sample);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        if now_ms >= self.load.run_ms {
            return;
        }
        // One organisation of 24 has six times the traffic of each other one.
        let organisation = self.arrivals.random_range(0..29_usize).saturating_sub(5);
        let priority = self.arrivals.random_range(0..3);
        let call = Call {
            gateway: self.arrivals.random_range(0..self.load.gateways),
            organisation,
            priority,
            begin_ms: now_ms,
            tries: 0,
            avoided: Vec::new(),
            dispatcher: 0,
            asked: 0,
            acknowledged: false,
            granted_ms: 0,
            has_permit: false,
            is_done: false,
        };
        self.calls.push(call);
        self.score.requests += 1;
        self.score.organisations.entry(organisation).or_default().0 += 1;
        self.score.priorities.entry(priority).or_default().0 += 1;
        self.destination(self.calls.len() - 1, now_ms);
        let gap_s = -self.arrivals.random_range(1e-9..1.0_f64).ln() / self.rate(now_ms);
        self.push(now_ms + (gap_s * 1_000.0).round() as u64, Event::Arrive);
    }

    fn destination(&mut self, call: usize, now_ms: u64) {
        if self.mode == Mode::Alone {
            self.decide_alone(call, now_ms);
            return;
        }
        let gateway = self.calls[call].gateway;
        let is_silent = now_ms < self.silent_ms[gateway];
        let asks_other = self.mode == Mode::Two && gateway % 2 == 1;
        self.ask(call, usize::from(is_silent || asks_other), now_ms);
    }

    fn ask(&mut self, call: usize, dispatcher: usize, now_ms: u64) {
        let it = &mut self.calls[call];
        it.dispatcher = dispatcher;
        it.asked += 1;
        it.acknowledged = false;
        let asked = it.asked;
        self.datagram(now_ms, Event::Ask(call));
        self.push(now_ms + ANSWER_MS, Event::Check(call, asked));
    }

    fn receive(&mut self, call: usize, now_ms: u64) {
        let it = &self.calls[call];
        let dispatcher = it.dispatcher;
        if self.is_down(dispatcher, now_ms) {
            return;
        }
        let deadline_ms = it.begin_ms + self.load.timeout_ms;
        let objective_ms = it.begin_ms + self.load.objective_ms;
        let request = Request {
            ticket: Ticket {
                gateway: format!("g{}", it.gateway).into(),
                number: call as u64,
            },
            route: 1,
            organisation: format!("o{}", it.organisation).into(),
            priority: it.priority,
            zone: "z".into(),
            content: call as u64,
            left_ms: deadline_ms.saturating_sub(now_ms) as u32,
            objective_ms: objective_ms.saturating_sub(now_ms) as u32,
            avoided: it.avoided.iter().map(|it| Number(*it as u32)).collect(),
        };
        let destinations = self.destinations();
        let state = &mut self.dispatchers[dispatcher];
        let notices = command::request(state, request, &destinations, now_ms);
        self.notify(dispatcher, notices, now_ms);
    }

    fn notify(&mut self, dispatcher: usize, notices: Vec<Notice>, now_ms: u64) {
        for (ticket, decision) in notices {
            let (kind, value) = match decision {
                Decision::Granted(target) => (0, target.0),
                Decision::Queued => (1, 0),
                Decision::Refused(return_ms) => (2, return_ms),
                Decision::Declined | Decision::Moved => (3, 0),
            };
            let event = Event::Answer(ticket.number as usize, dispatcher, kind, value);
            self.datagram(now_ms, event);
        }
    }

    fn answer(&mut self, call: usize, dispatcher: usize, kind: u8, value: u32, now_ms: u64) {
        let it = &mut self.calls[call];
        let is_awaited = !it.is_done && it.dispatcher == dispatcher && it.asked > 0;
        if dispatcher == 0 && is_awaited {
            self.misses[it.gateway] = 0;
        }
        match kind {
            0 if !is_awaited => {
                self.datagram(now_ms, Event::EndHeard(call, dispatcher, 2, 0));
            }
            0 => {
                it.asked = 0;
                it.has_permit = true;
                it.granted_ms = now_ms;
                self.push(now_ms, Event::Send(call, value as usize));
            }
            _ if !is_awaited => {}
            1 => {
                it.acknowledged = true;
                let asked = it.asked;
                self.push(now_ms + REPEAT_MS, Event::Check(call, asked));
            }
            2 => {
                it.is_done = true;
                self.score.refused += 1;
            }
            _ => {
                it.asked = 0;
                self.decide_alone(call, now_ms);
            }
        }
    }

    fn check(&mut self, call: usize, asked: u32, now_ms: u64) {
        let it = &mut self.calls[call];
        if it.is_done || it.asked != asked || asked == 0 {
            return;
        }
        if now_ms >= it.begin_ms + self.load.timeout_ms {
            it.is_done = true;
            self.score.held += 1;
            return;
        }
        let (dispatcher, gateway) = (it.dispatcher, it.gateway);
        if it.acknowledged {
            self.ask(call, dispatcher, now_ms);
            return;
        }
        if dispatcher == 0 {
            self.misses[gateway] += 1;
            if self.misses[gateway] >= SILENT_MISSES {
                self.silent_ms[gateway] = now_ms + SILENT_MS;
            }
            self.ask(call, 1, now_ms);
        } else {
            it.asked = 0;
            self.decide_alone(call, now_ms);
        }
    }

    fn decide_alone(&mut self, call: usize, now_ms: u64) {
        let it = &mut self.calls[call];
        it.has_permit = false;
        it.granted_ms = now_ms;
        let (gateway, tried) = (it.gateway, it.avoided.clone());
        let offset = self.rng.random_range(0..TARGETS);
        let targets = (0..TARGETS).map(|index| (index + offset) % TARGETS);
        let open = targets.filter(|target| !tried.contains(target));
        let load = |target: &usize| self.samples[0][*target] + self.own[gateway][*target];
        match open.min_by_key(load) {
            Some(target) => self.push(now_ms, Event::Send(call, target)),
            None => {
                self.calls[call].is_done = true;
                self.score.refused += 1;
            }
        }
    }

    fn send(&mut self, call: usize, target: usize, now_ms: u64) {
        self.own[self.calls[call].gateway][target] += 1;
        let delay_ms = self.rng.random_range(1..=3);
        self.push(now_ms + delay_ms, Event::Work(call, target));
    }

    fn begin(&mut self, call: usize, target: usize, now_ms: u64) {
        if self.running[target] < self.load.slots {
            self.running[target] += 1;
            self.work(call, target, now_ms);
        } else if self.queues[target].len() < self.load.queue {
            self.queues[target].push(call);
        } else {
            self.score.rejected += 1;
            self.push(now_ms + 2, Event::Rejected(call, target));
        }
    }

    fn work(&mut self, call: usize, target: usize, now_ms: u64) {
        let run_ms = self.load.run_ms;
        let is_slow = (run_ms / 4..run_ms * 3 / 4).contains(&now_ms);
        let factor = if is_slow { self.load.slowdown } else { 1.0 };
        let work_ms = self.load.work_ms * factor * self.rng.random_range(0.8..1.2);
        self.push(now_ms + work_ms as u64, Event::Finished(call, target));
    }

    fn rejected(&mut self, call: usize, target: usize, now_ms: u64) {
        let it = &mut self.calls[call];
        it.tries += 1;
        it.avoided.push(target);
        let (gateway, tries) = (it.gateway, it.tries);
        self.own[gateway][target] -= 1;
        self.give_back(call, 1, 0, now_ms);
        match tries < 3 {
            true => self.destination(call, now_ms),
            false => {
                self.calls[call].is_done = true;
                self.score.refused += 1;
            }
        }
    }

    fn finished(&mut self, call: usize, target: usize, now_ms: u64) {
        match self.queues[target].is_empty() {
            true => self.running[target] -= 1,
            false => {
                let next = self.queues[target].remove(0);
                self.work(next, target, now_ms);
            }
        }
        let it = &mut self.calls[call];
        let gateway = it.gateway;
        self.own[gateway][target] -= 1;
        let time_ms = (now_ms - it.granted_ms) as u32;
        it.is_done = true;
        let elapsed_ms = now_ms + 2 - it.begin_ms;
        if elapsed_ms <= self.load.objective_ms {
            self.score.in_time += 1;
            let (organisation, priority) = (it.organisation, it.priority);
            self.score.organisations.entry(organisation).or_default().1 += 1;
            self.score.priorities.entry(priority).or_default().1 += 1;
        } else if elapsed_ms <= self.load.timeout_ms {
            self.score.late += 1;
        } else {
            self.score.overrun += 1;
            self.score
                .overruns_ms
                .push((it.begin_ms, now_ms, now_ms - it.granted_ms));
        }
        self.give_back(call, 0, time_ms, now_ms);
    }

    fn give_back(&mut self, call: usize, kind: u8, time_ms: u32, now_ms: u64) {
        let it = &self.calls[call];
        if it.has_permit {
            let dispatcher = it.dispatcher;
            self.datagram(now_ms, Event::EndHeard(call, dispatcher, kind, time_ms));
        }
    }

    fn end_heard(&mut self, call: usize, dispatcher: usize, kind: u8, time_ms: u32, now_ms: u64) {
        if self.is_down(dispatcher, now_ms) {
            return;
        }
        let ticket = Ticket {
            gateway: format!("g{}", self.calls[call].gateway).into(),
            number: call as u64,
        };
        let end = match kind {
            0 => End::Completed(time_ms),
            1 => End::Rejected,
            _ => End::Other,
        };
        let destinations = self.destinations();
        let state = &mut self.dispatchers[dispatcher];
        let notices = command::finish(state, &ticket, end, &destinations, now_ms);
        self.notify(dispatcher, notices, now_ms);
    }
}
