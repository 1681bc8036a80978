//! A fleet of gateways that choose targets for prompts, without a network: each has a roster of its own and learns of the requests of
//! the others from reports that are sent in turn, arrive late and get lost.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::collection::{self, Candidate, Part};
use sardinemux_core::hash;
use sardinemux_core::reports;
use sardinemux_core::roster::query::{self, Criteria};
use sardinemux_core::roster::{command, Announcement, Evidence, Report, Roster, Settings, Shares};
use sardinemux_core::speed::{Notice, Source, Stated};
use sardinemux_core::target::{self, Key, Target};
use smol_str::{format_smolstr, SmolStr};

/// What differs between runs.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of targets, in three availability zones.
    pub targets: usize,
    /// The requests that all gateways receive in a second.
    pub per_s: f64,
    /// The number of prompts that requests share.
    pub subjects: u64,
    /// The share of requests that have the same prompt.
    pub hot: f64,
    /// When an availability zone is evacuated, and when it is taken back, in milliseconds.
    pub evacuated: Option<(u64, u64)>,
    /// When all gateways lose what they know of each other's requests, in milliseconds: they start anew.
    pub restart_ms: Option<u64>,
    /// When some gateways stand still, and when they go on, in milliseconds.
    pub standstill: Option<(u64, u64)>,
    /// Which gateways stand still.
    pub standing: Standing,
    /// The share of datagrams that get lost.
    pub lost: f64,
    /// The share of the gateways whose build neither collects nor reports to collectors, those with wide links first.
    pub former: f64,
    /// Whether some targets are slow, and whether they state that; `None` if all are as usual.
    pub uneven: Option<Uneven>,
    /// Whether requests stay in the zone of their gateway, unless its targets are busy.
    pub stays: bool,
}

/// What is known of uneven speeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uneven {
    /// Targets state their speeds.
    Stated,
    /// Targets state nothing, so that requests are placed by counts.
    Hidden,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            gateways: 6,
            targets: 60,
            per_s: 320.0,
            subjects: 550,
            hot: 0.0,
            evacuated: None,
            restart_ms: None,
            standstill: None,
            standing: Standing::Zone,
            lost: 0.02,
            former: 0.0,
            uneven: None,
            stays: false,
        }
    }
}

/// The gateways that stand still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Those of an availability zone.
    Zone,
    /// The collectors of all zones.
    Collectors,
}

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The largest share, over windows of five seconds, of requests that reached a target with more than the users' bound.
    pub over_bound: f64,
    /// The share of requests that reached a target which had their prompt.
    pub kept: f64,
    /// The mean and the 95th percentile of the time to the first byte, in milliseconds; only with uneven speeds.
    pub first_ms: (f64, f64),
    /// The mean and the 95th percentile of the time to the end of an answer, in milliseconds; only with uneven speeds.
    pub end_ms: (f64, f64),
    /// The requests of the target that got the fewest, as a share of the mean; only with uneven speeds.
    pub least_used: f64,
    /// The share of requests that left the zone of their gateway.
    pub crossed: f64,
}

/// The users' bound on the load of a target, as a multiple of the mean of its pool.
const CAP_MULTIPLE: f64 = 2.0;

/// The requests beyond that multiple which the users allow.
const CAP_SLACK: f64 = 3.0;

/// The length of the windows over which the users judge loads, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// The duration of a run, in milliseconds.
pub const END_MS: u64 = 16_000;

/// The time that a target takes to read a prompt which it does not have, in milliseconds.
const READ_MS: u64 = 220;

/// The time that a target takes for a prompt which it has, and to fetch one that another target has: a sixth of reading it.
const CACHED_MS: u64 = 12;
const FETCH_MS: u64 = 37;

/// How long a target keeps its speed, in milliseconds; the share of slow ones, in percent; and their factor.
const SPEED_MS: u64 = 600;
const SLOW_PERCENT: u64 = 15;
const SLOW_FACTOR: f64 = 2.5;

/// The mean durations of answers, in milliseconds, and their shares of the requests.
const ANSWERS: [(f64, f64); 3] = [(0.40, 200.0), (0.32, 500.0), (0.28, 2_000.0)];

/// Three requests of the same moment come together, as those of one caller do.
const CLUMP: usize = 3;

/// The number of gateways with wide links, which become the collectors: two in each zone.
const WIDE: usize = 6;

const POOL: &str = "p";

enum Event {
    Arrive,
    Finish {
        gateway: usize,
        key: Key,
    },
    Round {
        gateway: usize,
        round: u64,
    },
    Collect {
        gateway: usize,
    },
    Head {
        gateway: usize,
        key: Key,
    },
    Tell {
        gateway: usize,
    },
    Pass {
        gateway: usize,
    },
    Deliver {
        gateway: usize,
        sender: usize,
        message: Message,
    },
}

#[derive(Clone)]
enum Message {
    Report(Report),
    Zone(SmolStr, Part),
    Fleet(Part),
    Speeds(Source, Vec<Notice>),
}

struct Fleet {
    scenario: Scenario,
    random: StdRng,
    /// Draws what callers ask for with uneven speeds, so that runs which place requests differently have the same ones.
    callers: StdRng,
    now_ms: u64,
    next_id: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    rosters: Vec<Roster>,
    names: Vec<SmolStr>,
    /// When each gateway last sent its reports, in milliseconds.
    heard_ms: Vec<u64>,
    /// The requests that each target has.
    loads: IndexMap<Key, u32>,
    prompts: IndexSet<(Key, u64)>,
    /// For each request, when it was sent, whether its target had more than the bound, and whether the target had its prompt.
    sent: Vec<(u64, bool, bool)>,
    /// For each request, the times to its first byte and to its end, in milliseconds.
    times: Vec<(u64, u64)>,
    /// The requests that each target got.
    counts: IndexMap<Key, u32>,
    /// The number of requests that left the zone of their gateway.
    crossed: u32,
    is_evacuated: bool,
    has_restarted: bool,
}

/// Plays a scenario.
pub fn run(scenario: Scenario, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(scenario, seed);
    fleet.schedule(0, Event::Arrive);
    for gateway in 0..scenario.gateways {
        let at_ms = fleet.random.random_range(0..reports::PERIOD_MS);
        fleet.schedule(at_ms, Event::Round { gateway, round: 0 });
        fleet.schedule(at_ms % collection::PERIOD_MS, Event::Collect { gateway });
        if scenario.uneven == Some(Uneven::Stated) {
            fleet.schedule(at_ms % collection::PERIOD_MS, Event::Pass { gateway });
        }
    }
    while let Some(Reverse((at_ms, id))) = fleet.queue.pop() {
        if at_ms > END_MS {
            break;
        }
        fleet.now_ms = at_ms;
        fleet.disturb();
        if let Some(event) = fleet.events.remove(&id) {
            fleet.handle(event);
        }
    }
    fleet.outcome()
}

fn zone(index: usize) -> SmolStr {
    format_smolstr!("z{}", index % 3)
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let announcements = (0..scenario.targets).map(|index| Announcement {
            target: Target {
                id: format_smolstr!("i-{:010x}", index * 7_919 + 1),
                kind: target::Kind::Engine,
                pool: POOL.into(),
                address: "127.0.0.1:1".into(),
                zone: zone(index),
                region: "r".into(),
                slots: 64,
                leaving: false,
                build: "v1".into(),
            },
            lifetime: 1,
            cold_ms: 0,
        });
        let mut roster = Roster::new(Settings::default());
        let mut loads = IndexMap::new();
        for announcement in announcements {
            loads.insert(command::apply_announcement(&mut roster, announcement, 0), 0);
        }
        let ttl_ms = reports::validity_ms(scenario.gateways - 1);
        command::set_report_ttl_ms(&mut roster, ttl_ms);
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            callers: StdRng::seed_from_u64(seed),
            now_ms: 0,
            next_id: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            rosters: vec![roster; scenario.gateways],
            names: (0..scenario.gateways)
                .map(|it| format_smolstr!("g{it}"))
                .collect(),
            heard_ms: vec![0; scenario.gateways],
            loads,
            prompts: IndexSet::new(),
            sent: Vec::new(),
            times: Vec::new(),
            counts: IndexMap::new(),
            crossed: 0,
            is_evacuated: false,
            has_restarted: false,
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((at_ms, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn callers(&mut self) -> &mut StdRng {
        match self.scenario.uneven {
            Some(_) => &mut self.callers,
            None => &mut self.random,
        }
    }

    /// Draws a duration of this mean, in milliseconds.
    fn draw_ms(&mut self, mean_ms: f64) -> u64 {
        let uniform: f64 = self.callers().random_range(1e-9..1.0);
        (-uniform.ln() * mean_ms) as u64
    }

    fn disturb(&mut self) {
        let now_ms = self.now_ms;
        let is_within = |span: Option<(u64, u64)>| {
            span.is_some_and(|(begin_ms, end_ms)| (begin_ms..end_ms).contains(&now_ms))
        };
        let is_evacuated = is_within(self.scenario.evacuated);
        if is_evacuated != self.is_evacuated {
            self.is_evacuated = is_evacuated;
            let zones: IndexSet<SmolStr> = is_evacuated.then(|| zone(0)).into_iter().collect();
            for roster in &mut self.rosters {
                command::set_evacuated(roster, zones.clone(), |_| 0, now_ms);
            }
        }
        let is_due = self
            .scenario
            .restart_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        if is_due && !self.has_restarted {
            self.has_restarted = true;
            for roster in &mut self.rosters {
                command::clear_reports(roster);
            }
        }
    }

    fn stands_still(&self, gateway: usize) -> bool {
        let span = self.scenario.standstill;
        let is_now = span.is_some_and(|(begin, end)| (begin..end).contains(&self.now_ms));
        let stands = match self.scenario.standing {
            Standing::Zone => gateway.is_multiple_of(3),
            Standing::Collectors => gateway < WIDE,
        };
        is_now && stands
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let gateways = self.scenario.gateways;
                let gateway = self.callers().random_range(0..gateways);
                for _ in 0..CLUMP {
                    self.send(gateway);
                }
                if !self.is_former(gateway) {
                    self.schedule(self.now_ms + collection::NOTICE_MS, Event::Tell { gateway });
                }
                let pause_ms = self.draw_ms(1_000.0 * CLUMP as f64 / self.scenario.per_s);
                self.schedule(self.now_ms + pause_ms, Event::Arrive);
            }
            Event::Finish { gateway, key } => {
                self.loads[&key] -= 1;
                let roster = &mut self.rosters[gateway];
                command::finish_request(roster, key, Evidence::Healthy, self.now_ms);
            }
            Event::Collect { gateway } => self.collect(gateway),
            Event::Pass { gateway } => self.pass_speeds(gateway),
            Event::Head { gateway, key } => {
                let stated = Stated::Factor(self.speed(key, self.now_ms));
                command::note_speed(&mut self.rosters[gateway], key, stated, self.now_ms);
            }
            Event::Tell { gateway } => self.tell(gateway),
            Event::Round { gateway, round } => self.report(gateway, round),
            Event::Deliver {
                gateway,
                sender,
                message,
            } => {
                self.deliver(gateway, sender, message);
            }
        }
    }

    fn send(&mut self, gateway: usize) {
        if self.stands_still(gateway) {
            return;
        }
        let Scenario { hot, subjects, .. } = self.scenario;
        let subject = match self.callers().random_bool(hot) {
            true => 0,
            false => self.callers().random_range(1..=subjects),
        };
        let own_zone = zone(gateway);
        let criteria = Criteria {
            pool: POOL,
            subject: Some(subject),
            zone: &own_zone,
            tried: &[],
            builds: None,
            only: None,
        };
        let roster = &mut self.rosters[gateway];
        let ranked = match self.scenario.stays {
            true => query::rank_by_zone(roster, criteria, &own_zone, self.now_ms),
            false => query::rank_targets(roster, criteria, self.now_ms),
        };
        let key = ranked[0];
        let is_crossing = query::target(roster, key).is_some_and(|it| it.zone != own_zone);
        self.crossed += u32::from(is_crossing);
        assert!(command::start_request(
            roster,
            key,
            Shares::default(),
            self.now_ms
        ));
        let sum: u32 = self.loads.values().sum();
        let mean = f64::from(sum) / self.loads.len() as f64;
        let load = &mut self.loads[&key];
        let is_over = f64::from(*load) > CAP_MULTIPLE * mean + CAP_SLACK;
        *load += 1;
        let is_read = !self.prompts.insert((key, subject));
        self.sent.push((self.now_ms, is_over, is_read));
        let drawn: f64 = self.callers().random();
        let mut sum = 0.0;
        let found = ANSWERS.iter().find(|(share, _)| {
            sum += share;
            drawn < sum
        });
        let mean_ms = found.map_or(ANSWERS[0].1, |(_, mean_ms)| *mean_ms);
        let answer_ms = self.draw_ms(mean_ms);
        if self.scenario.uneven.is_none() {
            let read_ms = if is_read { 0 } else { READ_MS };
            let end_ms = self.now_ms + 1 + read_ms + answer_ms;
            self.schedule(end_ms, Event::Finish { gateway, key });
            return;
        }
        *self.counts.entry(key).or_default() += 1;
        let read_ms = match is_read {
            true => CACHED_MS,
            false if self.prompts.iter().filter(|it| it.1 == subject).count() > 1 => FETCH_MS,
            false => READ_MS,
        };
        let first_ms = self.work_end_ms(key, self.now_ms, read_ms);
        let end_ms = self.work_end_ms(key, first_ms, answer_ms);
        self.times
            .push((first_ms - self.now_ms, end_ms - self.now_ms));
        if self.scenario.uneven == Some(Uneven::Stated) {
            self.schedule(first_ms, Event::Head { gateway, key });
        }
        self.schedule(end_ms, Event::Finish { gateway, key });
    }

    /// Returns the factor of the time of work on a target at a moment.
    fn speed(&self, key: Key, at_ms: u64) -> f64 {
        let epoch = at_ms / SPEED_MS;
        let drawn = hash::digest(&[&epoch.to_le_bytes(), &key.0.to_le_bytes()]);
        match drawn % 100 < SLOW_PERCENT {
            true => SLOW_FACTOR,
            false => 1.0,
        }
    }

    /// Returns when work is done that takes `work_ms` at the usual speed.
    fn work_end_ms(&self, key: Key, begin_ms: u64, work_ms: u64) -> u64 {
        let mut at_ms = begin_ms;
        let mut left = work_ms as f64;
        loop {
            let speed = self.speed(key, at_ms);
            let epoch_end_ms = (at_ms / SPEED_MS + 1) * SPEED_MS;
            let possible = (epoch_end_ms - at_ms) as f64 / speed;
            if left <= possible {
                return at_ms + (left * speed).ceil() as u64;
            }
            left -= possible;
            at_ms = epoch_end_ms;
        }
    }

    /// Tells the collectors of the samples of a gateway and, if it collects, the others of those that it has collected.
    fn pass_speeds(&mut self, gateway: usize) {
        let period_ms = collection::PERIOD_MS;
        self.schedule(self.now_ms + period_ms, Event::Pass { gateway });
        if self.stands_still(gateway) {
            return;
        }
        let since_ms = self.now_ms.saturating_sub(period_ms);
        let roster = &self.rosters[gateway];
        let select =
            |sources: &[Source]| query::speed_notices(roster, sources, since_ms, self.now_ms);
        let own = select(&[Source::Own]);
        let of_zone = select(&[Source::Own, Source::Zone]);
        let all = select(&[Source::Own, Source::Zone, Source::Collector]);
        let collectors = self.collectors(&zone(gateway));
        let collects = collectors.contains(&gateway);
        for other in (0..self.scenario.gateways).filter(|it| *it != gateway) {
            let is_near = other % 3 == gateway % 3;
            let (source, notices) = match is_near {
                true if collectors.contains(&other) => (Source::Zone, &own),
                true if collects => (Source::Collector, &all),
                false if collects && self.collectors(&zone(other)).contains(&other) => {
                    (Source::Collector, &of_zone)
                }
                _ => continue,
            };
            if !notices.is_empty() {
                self.transmit(gateway, other, Message::Speeds(source, notices.clone()));
            }
        }
    }

    fn report(&mut self, gateway: usize, round: u64) {
        let next_ms = self.now_ms + reports::PERIOD_MS;
        self.schedule(
            next_ms,
            Event::Round {
                gateway,
                round: round + 1,
            },
        );
        if self.stands_still(gateway) {
            return;
        }
        self.heard_ms[gateway] = self.now_ms;
        let roster = &mut self.rosters[gateway];
        command::remove_expired(roster, self.now_ms);
        let running = query::running(roster, 64);
        command::note_own_report(roster, &running);
        let zone = zone(gateway);
        let others: Vec<usize> = (0..self.scenario.gateways)
            .filter(|it| *it != gateway)
            .collect();
        let collectors = self.collectors(&zone);
        let collects = !self.is_former(gateway);
        let report = Message::Report(Report {
            zone: zone.clone(),
            running,
        });
        for (index, other) in others.iter().enumerate() {
            let is_due = reports::is_due(index, others.len(), false, round);
            if is_due || (collects && collectors.contains(other)) {
                self.transmit(gateway, *other, report.clone());
            }
        }
    }

    fn tell(&mut self, gateway: usize) {
        if self.stands_still(gateway) {
            return;
        }
        let roster = &mut self.rosters[gateway];
        let running = query::running(roster, 64);
        command::note_own_report(roster, &running);
        let zone = zone(gateway);
        let report = Message::Report(Report {
            zone: zone.clone(),
            running,
        });
        for other in self.collectors(&zone) {
            if other != gateway {
                self.transmit(gateway, other, report.clone());
            }
        }
    }

    fn collect(&mut self, gateway: usize) {
        let at_ms = self.now_ms + collection::PERIOD_MS;
        self.schedule(at_ms, Event::Collect { gateway });
        if self.stands_still(gateway) {
            return;
        }
        let zone = zone(gateway);
        let collectors = self.collectors(&zone);
        if !collectors.contains(&gateway) {
            return;
        }
        let others: Vec<usize> = (0..self.scenario.gateways)
            .filter(|it| *it != gateway)
            .collect();
        let round = self.now_ms;
        let roster = &self.rosters[gateway];
        let zone_sum = collection::split(query::zone_sum(roster, &zone), round + 1);
        let fleet_sum = collection::split(query::fleet_sum(roster, self.now_ms), round + 1);
        for other in others {
            let is_near = other % 3 == gateway % 3;
            if self.is_former(other) || (is_near && collectors.contains(&other)) {
                continue;
            }
            if is_near {
                for part in &fleet_sum {
                    self.transmit(gateway, other, Message::Fleet(part.clone()));
                }
            } else if self.collectors(&self::zone(other)).contains(&other) {
                for part in &zone_sum {
                    self.transmit(gateway, other, Message::Zone(zone.clone(), part.clone()));
                }
            }
        }
    }

    /// Returns the collectors of a zone, which have been heard lately.
    fn collectors(&self, zone: &SmolStr) -> Vec<usize> {
        let heard = (0..self.scenario.gateways).filter(|gateway| {
            self.now_ms.saturating_sub(self.heard_ms[*gateway])
                <= reports::silence_timeout_ms(0, true)
        });
        let current = heard.filter(|gateway| !self.is_former(*gateway));
        let zones = ["z0", "z1", "z2"];
        let candidates = current.map(|gateway| Candidate {
            name: &self.names[gateway],
            zone: zones[gateway % 3],
            link_mbps: if gateway < WIDE { 200 } else { 10 },
        });
        let found = collection::collectors(zone, candidates);
        found
            .iter()
            .filter_map(|name| self.names.iter().position(|it| it == name))
            .collect()
    }

    fn is_former(&self, gateway: usize) -> bool {
        (gateway as f64) < self.scenario.former * self.scenario.gateways as f64
    }

    fn transmit(&mut self, sender: usize, gateway: usize, message: Message) {
        if !self.random.random_bool(self.scenario.lost) {
            let at_ms = self.now_ms + self.random.random_range(1..5);
            self.schedule(
                at_ms,
                Event::Deliver {
                    gateway,
                    sender,
                    message,
                },
            );
        }
    }

    fn deliver(&mut self, gateway: usize, sender: usize, message: Message) {
        if self.stands_still(gateway) {
            return;
        }
        let (name, now_ms) = (self.names[sender].clone(), self.now_ms);
        let roster = &mut self.rosters[gateway];
        match message {
            Message::Report(report) => command::note_report(roster, name, report, now_ms),
            Message::Zone(zone, part) => command::note_zone_part(roster, name, zone, part, now_ms),
            Message::Fleet(part) => command::note_fleet_part(roster, name, part, now_ms),
            Message::Speeds(source, notices) => {
                command::merge_speeds(roster, &notices, source, now_ms);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut over_bound: f64 = 0.0;
        for begin_ms in (0..=END_MS - WINDOW_MS).step_by(500) {
            let window = self
                .sent
                .iter()
                .filter(|(at_ms, _, _)| (begin_ms..begin_ms + WINDOW_MS).contains(at_ms));
            let (mut all, mut over) = (0, 0);
            for (_, is_over, _) in window {
                all += 1;
                over += usize::from(*is_over);
            }
            over_bound = over_bound.max(over as f64 / f64::from(all.max(1)));
        }
        let kept = self.sent.iter().filter(|(_, _, is_read)| *is_read).count();
        Outcome {
            over_bound,
            kept: kept as f64 / self.sent.len() as f64,
            first_ms: summarize(self.times.iter().map(|it| it.0)),
            end_ms: summarize(self.times.iter().map(|it| it.1)),
            least_used: self.least_used(),
            crossed: f64::from(self.crossed) / self.sent.len() as f64,
        }
    }

    /// Returns the requests of the target that got the fewest, as a share of the mean.
    fn least_used(&self) -> f64 {
        let counts = self.loads.keys().map(|key| self.counts.get(key));
        let least = counts.map(|it| it.copied().unwrap_or_default()).min();
        let mean = f64::from(self.counts.values().sum::<u32>()) / self.loads.len() as f64;
        f64::from(least.unwrap_or_default()) / mean.max(1.0)
    }
}

/// Returns the mean and the 95th percentile of some times, in milliseconds.
fn summarize(times: impl Iterator<Item = u64>) -> (f64, f64) {
    let mut times: Vec<u64> = times.collect();
    times.sort_unstable();
    let Some(high) = times.get(times.len() * 95 / 100) else {
        return (0.0, 0.0);
    };
    let mean = times.iter().sum::<u64>() as f64 / times.len() as f64;
    (mean, *high as f64)
}
