//! A simulation of gateways, a store and targets of several builds, on which callers take up broken streams.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::origin::query::Search;
use sardinemux_core::origin::{
    command, query, Contact, Epoch, Origin, Presence, Register, Settings, Stored, Witness,
};
use sardinemux_core::position::Position;
use sardinemux_core::reports;
use smol_str::SmolStr;

/// How the build of a stream that is taken up is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It is not: any target serves.
    None,
    /// Each gateway knows the streams that it began; all others are refused.
    Memory,
    /// Each gateway records every stream in the store, by writes of its own at this interval, in milliseconds.
    Records(u64),
    /// Epochs of builds, and records while there are several.
    Epochs,
    /// The same, where gateways that cannot read the epoch take each list that seems recent, and each outage of those that they
    /// hear, for certain.
    Credulous,
}

/// How gateways are out of step, all of them together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// They stand still, and do not reach the store for a moment afterwards.
    Freeze,
    /// They are cut off from the store and from the other gateways.
    Cut,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub streams_per_s: f64,
    /// When targets of each build begin and end to be listed, in milliseconds, and how many there are.
    pub builds: &'static [(u64, u64, u32)],
    /// When gateways are killed, the share of them, and for how long, in milliseconds.
    pub kills: &'static [(u64, f64, u64)],
    /// When the store does not answer, in milliseconds.
    pub outage: (u64, u64),
    /// When a share of the gateways is out of step, in milliseconds, and how.
    pub lapse: Option<(u64, u64, f64, Lapse)>,
    /// When the store comes back from a copy, and when that was made, in milliseconds.
    pub restore: Option<(u64, u64)>,
    /// How long callers come again with a stream that is refused, in milliseconds.
    pub patience_ms: u64,
    /// How long callers wait at a gateway that was killed before they take up their streams, in milliseconds.
    pub silence_ms: u64,
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Streams that went on at another build.
    pub joined: u32,
    /// Streams taken up while two targets of their build served, outside of outages of the store.
    pub possible: u32,
    /// How many of these went on.
    pub resumed: u32,
    /// New streams for which no build was open.
    pub not_begun: u32,
    pub begun: u32,
    pub calls: u32,
    /// Streams that began at a build whose join the store lost.
    pub lost: u32,
}

const POOL: &str = "p";
const STEP_MS: u64 = 10;
const END_MS: u64 = 60_000;
const OBSERVE_MS: u64 = 100;
const WRITE_MS: u64 = 80;
const GOSSIP_MS: u64 = 250;
const RETRY_MS: u64 = 500;
/// How long gateways that stood still do not reach the store afterwards, in milliseconds.
const THAW_MS: u64 = 1_000;

struct Gateway {
    register: Register,
    back_ms: u64,
    is_read: bool,
    written_ms: u64,
    /// Whether the lapse of the scenario concerns it.
    lapses: bool,
    /// The latest era of the store that it knows.
    era: Option<u32>,
}

#[derive(Clone)]
struct Stream {
    id: u64,
    build: usize,
    end_ms: u64,
    gateway: usize,
    /// When it broke off, in milliseconds.
    broken_ms: u64,
}

struct World {
    scenario: Scenario,
    policy: Policy,
    random: StdRng,
    gateways: Vec<Gateway>,
    epoch: Option<Stored>,
    records: BTreeMap<u64, Origin>,
    running: Vec<Stream>,
    broken: Vec<(u64, Stream)>,
    in_transit: Vec<(u64, Origin)>,
    /// The era of the store; `None` if it states none.
    era: Option<u32>,
    copy: (Option<Stored>, BTreeMap<u64, Origin>),
    outcome: Outcome,
    next_id: u64,
}

fn started(now_ms: u64) -> Register {
    let mut register = Register::new(Settings::default(), now_ms);
    command::set_keeps_former_base(&mut register, true);
    register
}

fn name(build: usize) -> SmolStr {
    format!("v{build}").into()
}

impl World {
    fn is_up(&self, now_ms: u64) -> bool {
        !(self.scenario.outage.0..self.scenario.outage.1).contains(&now_ms)
    }

    /// Returns the lapse of a gateway, and since when it lasts.
    fn lapse(&self, index: usize, now_ms: u64) -> Option<(Lapse, u64)> {
        let (from_ms, to_ms, _, lapse) = self.scenario.lapse?;
        let to_ms = to_ms + if lapse == Lapse::Freeze { THAW_MS } else { 0 };
        let is_lapsed = self.gateways[index].lapses && (from_ms..to_ms).contains(&now_ms);
        is_lapsed.then_some((lapse, from_ms))
    }

    fn is_frozen(&self, index: usize, now_ms: u64) -> bool {
        let to_ms = self.scenario.lapse.map_or(0, |lapse| lapse.1);
        let lapse = self.lapse(index, now_ms);
        lapse.is_some_and(|(lapse, _)| lapse == Lapse::Freeze) && now_ms < to_ms
    }

    fn reaches_store(&self, index: usize, now_ms: u64) -> bool {
        self.is_up(now_ms) && self.lapse(index, now_ms).is_none()
    }

    /// Returns what the list of a gateway shows, which is as old as its lapse.
    fn listed(&self, index: usize, now_ms: u64) -> Vec<Presence> {
        let since_ms = self.lapse(index, now_ms).map(|(_, since_ms)| since_ms);
        let since_ms = since_ms.unwrap_or(now_ms);
        self.present(match self.is_up(since_ms) {
            true => since_ms,
            false => self.scenario.outage.0,
        })
    }

    /// Returns what a gateway knows of how current its list is.
    fn contact(&mut self, index: usize, now_ms: u64) -> Contact {
        let lapse = self.lapse(index, now_ms);
        let peers = (0..self.gateways.len()).filter(|peer| *peer != index);
        let mut witnesses = Vec::new();
        for peer in peers.collect::<Vec<_>>() {
            let is_heard = self.gateways[peer].back_ms <= now_ms
                && self.lapse(peer, now_ms).is_some() == lapse.is_some();
            let age_ms = self.random.random_range(0..=self.turn_ms());
            let witness = Witness {
                report_age_ms: is_heard.then_some(age_ms),
                is_following: is_heard && self.reaches_store(peer, now_ms),
            };
            if is_heard || self.policy != Policy::Credulous {
                witnesses.push(witness);
            }
        }
        let since_ms = match lapse {
            Some((_, since_ms)) => since_ms,
            None if self.is_up(now_ms) => now_ms,
            None => self.scenario.outage.0,
        };
        let is_frozen = lapse.is_some_and(|(lapse, _)| lapse == Lapse::Freeze);
        Contact {
            is_refreshed: !is_frozen || self.policy == Policy::Credulous,
            // The clock of a process that stands still may stand as well.
            age_ms: if is_frozen { 0 } else { now_ms - since_ms },
            witnesses,
        }
    }

    fn turn_ms(&self) -> u64 {
        reports::PERIOD_MS * reports::rounds_per_turn(self.gateways.len() - 1)
    }

    fn targets(&self, build: usize, now_ms: u64) -> u32 {
        let (from_ms, to_ms, count) = self.scenario.builds[build];
        if (from_ms..to_ms).contains(&now_ms) {
            count
        } else {
            0
        }
    }

    fn present(&self, now_ms: u64) -> Vec<Presence> {
        let builds = 0..self.scenario.builds.len();
        let present = builds.filter(|build| self.targets(*build, now_ms) > 0);
        let presence = |build| Presence {
            build: name(build),
            slots: self.targets(build, now_ms),
        };
        present.map(presence).collect()
    }

    fn live(&self, now_ms: u64) -> Vec<usize> {
        let all = 0..self.gateways.len();
        all.filter(|index| self.gateways[*index].back_ms <= now_ms)
            .filter(|index| !self.is_frozen(*index, now_ms))
            .collect()
    }

    fn read_epoch(&mut self, index: usize, now_ms: u64) -> bool {
        self.outcome.calls += 1;
        if !self.reaches_store(index, now_ms) {
            return false;
        }
        let (stored, era) = (self.epoch.clone(), self.era);
        let register = &mut self.gateways[index].register;
        command::note_epoch(register, &POOL.into(), stored, era, now_ms);
        true
    }

    /// Observes, proposes and writes as the task of a gateway does.
    fn follow(&mut self, index: usize, now_ms: u64, is_writer: bool) {
        let present = self.listed(index, now_ms);
        command::observe(
            &mut self.gateways[index].register,
            &POOL.into(),
            &present,
            now_ms,
        );
        // Each answer of the store states the era.
        if self.reaches_store(index, now_ms) && self.gateways[index].era != self.era {
            self.gateways[index].era = self.era;
            self.gateways[index].is_read = false;
        }
        let contact = self.contact(index, now_ms);
        let known = self.gateways[index].era;
        let register = &mut self.gateways[index].register;
        if query::is_current(register, &contact) {
            command::note_current(register, known, now_ms);
        }
        if !self.gateways[index].is_read {
            self.gateways[index].is_read = self.read_epoch(index, now_ms);
            return;
        }
        let proposals = query::proposals(&self.gateways[index].register, now_ms);
        for proposal in proposals.into_iter().filter(|_| is_writer) {
            self.outcome.calls += 1;
            let version = self
                .epoch
                .as_ref()
                .map_or(0, |stored| stored.position.version);
            if self.reaches_store(index, now_ms) && version == proposal.expected.version {
                let epoch: Epoch = proposal.epoch;
                self.epoch = Some(Stored {
                    epoch,
                    position: Position::new(self.era, version + 1),
                    written: proposal.expected.era,
                });
            }
            self.read_epoch(index, now_ms);
        }
    }

    /// Sends the records of a gateway to the one that writes them.
    fn flush(&mut self, index: usize, recorder: usize, now_ms: u64) {
        let records = command::take_records(&mut self.gateways[index].register, usize::MAX);
        if index != recorder {
            let at_ms = now_ms + STEP_MS;
            self.in_transit
                .extend(records.into_iter().map(|record| (at_ms, record)));
            return;
        }
        let gateway = &mut self.gateways[index];
        let is_due = now_ms >= gateway.written_ms + WRITE_MS;
        if records.is_empty() || !is_due || !self.reaches_store(index, now_ms) {
            command::queue_records(&mut self.gateways[index].register, records);
            return;
        }
        self.gateways[index].written_ms = now_ms;
        self.outcome.calls += records.len().div_ceil(50) as u32;
        self.records
            .extend(records.into_iter().map(|record| (record.stream, record)));
    }

    fn record_directly(&mut self, index: usize, interval_ms: u64, now_ms: u64) {
        let gateway = &mut self.gateways[index];
        if now_ms < gateway.written_ms + interval_ms {
            return;
        }
        gateway.written_ms = now_ms;
        let records = command::take_records(&mut gateway.register, usize::MAX);
        if records.is_empty() {
            return;
        }
        self.outcome.calls += 1;
        match self.is_up(now_ms) {
            true => self
                .records
                .extend(records.into_iter().map(|it| (it.stream, it))),
            false => command::queue_records(&mut self.gateways[index].register, records),
        }
    }

    fn begin(&mut self, now_ms: u64) {
        let live = self.live(now_ms);
        let Some(index) = pick(&mut self.random, &live) else {
            return;
        };
        self.outcome.begun += 1;
        let register = &self.gateways[index].register;
        let open = query::open_builds(register, POOL, self.next_id + 1, now_ms);
        let mut choices = Vec::new();
        for build in 0..self.scenario.builds.len() {
            let has_epochs = matches!(self.policy, Policy::Epochs | Policy::Credulous);
            let is_open = !has_epochs || open.contains(&name(build));
            let targets = if is_open {
                self.targets(build, now_ms)
            } else {
                0
            };
            choices.extend((0..targets).map(|_| build));
        }
        let Some(build) = pick(&mut self.random, &choices) else {
            self.outcome.not_begun += 1;
            return;
        };
        self.next_id += 1;
        let stream = Stream {
            id: self.next_id,
            build,
            end_ms: now_ms + self.random.random_range(200..4_000),
            gateway: index,
            broken_ms: 0,
        };
        let origin = Origin {
            stream: stream.id,
            pool: POOL.into(),
            build: name(build),
        };
        let register = &mut self.gateways[index].register;
        command::begin(register, origin.clone(), now_ms);
        if matches!(self.policy, Policy::Records(_)) {
            command::take_records(register, 1);
            command::queue_records(register, [origin]);
        }
        self.running.push(stream);
    }

    /// Finds the build as a gateway does; `None` refuses the stream.
    fn find(&mut self, index: usize, stream: &Stream, now_ms: u64) -> Option<SmolStr> {
        let known = query::known(&self.gateways[index].register, stream.id);
        if let Some(origin) = known {
            return Some(origin.build.clone());
        }
        if self.policy == Policy::Memory {
            return None;
        }
        let plan = query::search(&self.gateways[index].register, POOL, stream.id);
        let has_epochs = matches!(self.policy, Policy::Epochs | Policy::Credulous);
        if has_epochs && plan == Search::Epoch {
            if !self.read_epoch(index, now_ms) {
                let present = self.listed(index, now_ms);
                let contact = self.contact(index, now_ms);
                let register = &self.gateways[index].register;
                return query::certain_base(register, POOL, &present, &contact);
            }
            let epoch = query::epoch(&self.gateways[index].register, POOL)?;
            if let Some(base) = &epoch.epoch.base {
                return Some(base.clone());
            }
            let register = &self.gateways[index].register;
            if let Some(former_base) = query::former_base(register, POOL, stream.id) {
                return Some(former_base.clone());
            }
        }
        self.outcome.calls += 1;
        let is_reached = self.reaches_store(index, now_ms);
        let record = self.records.get(&stream.id).filter(|_| is_reached);
        if let Some(origin) = record {
            return Some(origin.build.clone());
        }
        if !has_epochs || !self.read_epoch(index, now_ms) {
            return None;
        }
        let register = &self.gateways[index].register;
        query::unrecorded_build(register, POOL, stream.id, now_ms)
    }

    fn take_up(&mut self, stream: Stream, now_ms: u64) {
        let live = self.live(now_ms);
        let Some(index) = pick(&mut self.random, &live) else {
            self.broken.push((now_ms + 500, stream));
            return;
        };
        let serving = self.targets(stream.build, now_ms);
        let since_outage_ms = now_ms.saturating_sub(self.scenario.outage.1);
        let is_judged = serving >= 2
            && self.is_up(now_ms)
            && (self.scenario.outage.1 == 0 || since_outage_ms > 3_000);
        let found = match self.policy {
            Policy::None => {
                let mut choices = Vec::new();
                for build in 0..self.scenario.builds.len() {
                    choices.extend((0..self.targets(build, now_ms)).map(|_| build));
                }
                pick(&mut self.random, &choices).map(name)
            }
            _ => self.find(index, &stream, now_ms),
        };
        if found.is_none() && now_ms < stream.broken_ms + self.scenario.patience_ms {
            self.broken.push((now_ms + RETRY_MS, stream));
            return;
        }
        self.outcome.possible += u32::from(is_judged);
        let Some(found) = found else { return };
        let Some(build) = (0..self.scenario.builds.len()).find(|build| name(*build) == found)
        else {
            return;
        };
        if self.targets(build, now_ms) == 0 {
            return;
        }
        self.outcome.joined += u32::from(build != stream.build);
        self.outcome.resumed += u32::from(is_judged && build == stream.build);
    }

    fn kill(&mut self, share: f64, for_ms: u64, now_ms: u64) {
        for index in 0..self.gateways.len() {
            let is_down = self.gateways[index].back_ms > now_ms;
            if !self.random.random_bool(share) || self.lapse(index, now_ms).is_some() || is_down {
                continue;
            }
            let back_ms = now_ms + for_ms + self.random.random_range(0..300);
            self.gateways[index] = Gateway {
                register: started(back_ms),
                back_ms,
                is_read: false,
                written_ms: 0,
                lapses: self.gateways[index].lapses,
                era: None,
            };
            let (broken, rest) = self
                .running
                .drain(..)
                .partition(|stream| stream.gateway == index);
            self.running = rest;
            let broken: Vec<Stream> = broken;
            for mut stream in broken {
                stream.broken_ms = now_ms;
                let at_ms =
                    now_ms + self.scenario.silence_ms + self.random.random_range(100..3_500);
                self.broken.push((at_ms, stream));
            }
        }
    }

    /// Makes the copy of the store, or brings the store back from it.
    fn restore(&mut self, now_ms: u64) {
        let Some((restore_ms, copy_ms)) = self.scenario.restore else {
            return;
        };
        if now_ms == copy_ms {
            self.copy = (self.epoch.clone(), self.records.clone());
        }
        if now_ms != restore_ms {
            return;
        }
        let copied = self.copy.0.as_ref().map(|copy| copy.epoch.builds.clone());
        let copied = copied.unwrap_or_default();
        let running = self.running.iter();
        let lost = running.filter(|stream| !copied.contains(&name(stream.build)));
        self.outcome.lost = lost.count() as u32;
        self.era = self.era.map(|era| era + 1);
        (self.epoch, self.records) = self.copy.clone();
        if let Some(stored) = &mut self.epoch {
            stored.position = stored.position.in_era(self.era);
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.restore(now_ms);
        for (at_ms, share, for_ms) in self.scenario.kills {
            if *at_ms == now_ms {
                self.kill(*share, *for_ms, now_ms);
            }
        }
        let live = self.live(now_ms);
        let in_step = |index: &&usize| self.lapse(**index, now_ms).is_none();
        let recorder = live.iter().find(in_step).copied();
        let writers: Vec<usize> = live.iter().filter(in_step).take(2).copied().collect();
        let has_epochs = matches!(self.policy, Policy::Epochs | Policy::Credulous);
        for index in &live {
            let turn_ms = *index as u64 * STEP_MS % OBSERVE_MS;
            if has_epochs && now_ms % OBSERVE_MS == turn_ms {
                self.follow(*index, now_ms, writers.contains(index));
            }
            match (self.policy, recorder) {
                (Policy::Epochs | Policy::Credulous, Some(recorder)) => {
                    self.flush(*index, recorder, now_ms)
                }
                (Policy::Records(interval_ms), _) => {
                    self.record_directly(*index, interval_ms, now_ms)
                }
                _ => {}
            }
        }
        if let Some(recorder) = recorder {
            let (arrived, rest): (Vec<_>, Vec<_>) = self
                .in_transit
                .drain(..)
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            self.in_transit = rest;
            let records = arrived.into_iter().map(|(_, record)| record);
            command::queue_records(&mut self.gateways[recorder].register, records);
        }
        if has_epochs && now_ms.is_multiple_of(GOSSIP_MS) {
            self.gossip(&live, now_ms);
        }
        self.running.retain(|stream| stream.end_ms > now_ms);
        let (due, rest): (Vec<_>, Vec<_>) = self
            .broken
            .drain(..)
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.broken = rest;
        for (_, stream) in due {
            self.take_up(stream, now_ms);
        }
    }

    /// Tells each gateway the newest epoch that another one knows, unless the message is lost.
    fn gossip(&mut self, live: &[usize], now_ms: u64) {
        for index in live {
            let Some(sender) = pick(&mut self.random, live) else {
                return;
            };
            let is_apart =
                self.lapse(sender, now_ms).is_some() || self.lapse(*index, now_ms).is_some();
            let told = &self.gateways[sender];
            let era = told.era;
            let stored = query::epochs(&told.register).next();
            let stored = stored.map(|(_, stored)| Stored {
                written: None,
                ..stored.clone()
            });
            if stored.is_some() && !is_apart && self.random.random_bool(0.9) {
                let register = &mut self.gateways[*index].register;
                command::note_epoch(register, &POOL.into(), stored, era, now_ms);
            }
        }
    }
}

fn pick<T: Copy>(random: &mut StdRng, choices: &[T]) -> Option<T> {
    match choices.len() {
        0 => None,
        count => Some(choices[random.random_range(0..count)]),
    }
}

/// Runs a scenario with a seed.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut register = started(0);
    command::note_first_start(&mut register);
    let gateways = (0..scenario.gateways).map(|_| Gateway {
        register: register.clone(),
        back_ms: 0,
        is_read: false,
        written_ms: 0,
        lapses: false,
        era: None,
    });
    let mut world = World {
        scenario,
        policy,
        random: StdRng::seed_from_u64(seed),
        gateways: gateways.collect(),
        epoch: None,
        records: BTreeMap::new(),
        running: Vec::new(),
        broken: Vec::new(),
        in_transit: Vec::new(),
        era: scenario.restore.map(|_| 1),
        copy: Default::default(),
        outcome: Outcome::default(),
        next_id: 0,
    };
    let share = scenario.lapse.map_or(0.0, |lapse| lapse.2);
    let lapsing = (scenario.gateways as f64 * share).ceil() as usize;
    for gateway in world.gateways.iter_mut().rev().take(lapsing) {
        gateway.lapses = true;
    }
    let mut owed = 0.0;
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        world.step(now_ms);
        owed += scenario.streams_per_s * STEP_MS as f64 / 1_000.0;
        while owed >= 1.0 && now_ms > 2_000 {
            owed -= 1.0;
            world.begin(now_ms);
        }
    }
    world.outcome
}
