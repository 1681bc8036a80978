//! A session: one simulated user who draws kinds of work at random and pauses between requests.

use std::sync::Arc;
use std::time::Duration;

use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::hash;
use sardinemux_standin::text;
use sardinemux_wire::caller::{ChatRequest, Message};
use serde_json::Map;
use tokio::time;

use crate::caller::{Caller, Reply, Sender, ServiceCall};
use crate::profile::{self, Call, Kind, Profile};
use crate::recorder::{Observation, Recorder, Status};
use crate::run::Schedule;

/// The greatest number of attempts of an operation that carries an idempotency key.
const KEYED_ATTEMPTS_MAX: u32 = 4;

/// The delay after a failed attempt if the response states no retry delay.
const KEYED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The number of operations that carry an idempotency key, of ten that must not run twice.
const KEYED_OF_TEN: u32 = 8;

/// A chat is abandoned once more than this many of its requests have not been completed.
const CHAT_FAILURES_MAX: u32 = 20;

/// The state that all sessions of a run share.
pub struct Context {
    /// The workload profile.
    pub profile: Profile,
    /// The model that chats request.
    pub model: String,
    /// The number of organisations.
    pub organisations: usize,
    /// The seed of the run.
    pub seed: u64,
    /// The client that sends requests.
    pub caller: Caller,
    /// The counts and latencies.
    pub recorder: Recorder,
    /// The schedule of the run.
    pub schedule: Schedule,
}

/// A simulated user of one organisation.
pub struct Session {
    context: Arc<Context>,
    rng: StdRng,
    organisation: usize,
    number: u64,
    chats_started: u64,
    is_surging: bool,
}

impl Session {
    /// Creates a session. One of the surge belongs to the largest organisation, any other one to an organisation
    /// that is drawn by size.
    pub fn new(context: Arc<Context>, number: u64, is_surging: bool) -> Self {
        let seed = hash::digest(&[&context.seed.to_le_bytes(), &number.to_le_bytes()]);
        let mut rng = StdRng::seed_from_u64(seed);
        // The size of an organisation is one over its rank, so that a few are large.
        let sizes = (1..=context.organisations).map(|rank| 1.0 / rank as f64);
        let drawn = WeightedIndex::new(sizes).map_or(0, |sizes| sizes.sample(&mut rng));
        Self {
            organisation: match is_surging {
                true => 0,
                false => drawn,
            },
            context,
            rng,
            number,
            chats_started: 0,
            is_surging,
        }
    }

    fn create_sender(&self) -> Sender {
        let name = profile::organisation_name(self.context.profile.member, self.organisation);
        Sender {
            key: profile::organisation_key(&name),
            is_largest: self.organisation == 0,
            is_in_surge: self.context.schedule.is_surging(),
        }
    }

    /// Does one piece of work after another until the run, or the surge to which the session belongs, is over.
    pub async fn run(mut self) {
        let first = self.rng.random_range(0.0..1.0);
        time::sleep(self.context.profile.pause_mean.mul_f64(first)).await;
        while !self.is_over() {
            let kind = self.draw_kind();
            match kind.call {
                Call::Chat { .. } => self.run_chat(kind).await,
                Call::Read => self.run_read(kind).await,
                Call::Change => self.run_change(kind).await,
            }
        }
    }

    fn is_over(&self) -> bool {
        let schedule = &self.context.schedule;
        schedule.is_over() || (self.is_surging && !schedule.is_surging())
    }

    fn draw_kind(&mut self) -> Kind {
        let kinds = self.context.profile.kinds;
        let shares = kinds.iter().map(|kind| kind.share);
        let index = WeightedIndex::new(shares).map_or(0, |shares| shares.sample(&mut self.rng));
        kinds[index]
    }

    async fn pause(&mut self, minimum: Option<Duration>) {
        let profile = &self.context.profile;
        // Pauses follow an exponential distribution, cut off at five times the mean.
        let uniform: f64 = self.rng.random_range(0.007..1.0);
        let mut pause = profile.pause_mean.mul_f64(-uniform.ln());
        if self.rng.random_ratio(1, profile.long_pause_every) {
            pause *= profile.long_pause_factor;
        }
        let pause = pause.max(minimum.unwrap_or_default());
        time::sleep(pause.min(self.context.schedule.time_left())).await;
    }

    fn draw_message(&mut self, role: &str, tokens: u32) -> Message {
        let draw = self.rng.random();
        let words: String = (0..u64::from(tokens))
            .map(|index| text::token(draw, index))
            .collect();
        // Stand-ins count four bytes of text as one token.
        let words: String = words.chars().take(tokens as usize * 4).collect();
        Message {
            role: role.into(),
            content: words.into(),
            rest: Map::new(),
        }
    }

    async fn run_chat(&mut self, kind: Kind) {
        let Call::Chat {
            first_tokens,
            turn_tokens,
            answer_tokens,
            turns,
        } = kind.call
        else {
            return;
        };
        self.chats_started += 1;
        let name = format!("{}-{}", self.number, self.chats_started);
        let mut chat = ChatRequest {
            model: self.context.model.as_str().into(),
            messages: vec![self.draw_message("user", first_tokens)],
            stream: true,
            max_tokens: Some(answer_tokens),
            prompt_cache_key: Some(name.into()),
            rest: Map::new(),
        };
        // Half of the chats return the placement hint of the previous response.
        let gives_hint = self.rng.random_ratio(1, 2);
        let turns = self.rng.random_range(1..=turns);
        let mut hint: Option<String> = None;
        let mut failures = 0;
        let mut turns_done = 0;
        while turns_done < turns && !self.is_over() {
            let reply = self.send_turn(&kind, &chat, hint.as_deref()).await;
            match reply.status {
                Status::Completed => {
                    turns_done += 1;
                    let answer = text::answer(&chat.model, &chat.messages, answer_tokens);
                    chat.messages.push(Message {
                        role: "assistant".into(),
                        content: answer.into(),
                        rest: Map::new(),
                    });
                    let next = self.draw_message("user", turn_tokens);
                    chat.messages.push(next);
                    hint = reply.placement_hint.filter(|_| gives_hint);
                }
                _ => failures += 1,
            }
            if failures > CHAT_FAILURES_MAX {
                return;
            }
            self.pause(reply.retry_after).await;
        }
    }

    async fn send_turn(&mut self, kind: &Kind, chat: &ChatRequest, hint: Option<&str>) -> Reply {
        let sender = self.create_sender();
        let context = self.context.clone();
        context
            .caller
            .send_chat(&context.recorder, kind, &sender, chat, hint, &mut self.rng)
            .await
    }

    fn draw_operation(&mut self) -> String {
        format!("{:032x}", self.rng.random::<u128>())
    }

    async fn send_call(&mut self, kind: &Kind, operation: &str, key: Option<&str>) -> Reply {
        let sender = self.create_sender();
        let context = self.context.clone();
        let call = ServiceCall {
            service: context.profile.service,
            operation,
            key,
        };
        context
            .caller
            .send_call(&context.recorder, kind, &sender, call, &mut self.rng)
            .await
    }

    async fn run_read(&mut self, kind: Kind) {
        let operation = self.draw_operation();
        let reply = self.send_call(&kind, &operation, None).await;
        self.pause(reply.retry_after).await;
    }

    /// Executes an operation that must not run twice. With an idempotency key it is retried until it is completed, at
    /// most `KEYED_ATTEMPTS_MAX` times in all; without one it is sent once.
    async fn run_change(&mut self, kind: Kind) {
        let operation = self.draw_operation();
        let is_keyed = self.rng.random_ratio(KEYED_OF_TEN, 10);
        let key = is_keyed.then(|| operation.clone());
        let mut observation = Observation {
            status: Status::Unknown,
            may_have_run: false,
        };
        for _ in 0..KEYED_ATTEMPTS_MAX {
            let reply = self.send_call(&kind, &operation, key.as_deref()).await;
            observation.status = reply.status;
            if reply.status == Status::Completed || key.is_none() {
                break;
            }
            observation.may_have_run |= reply.status != Status::NotRun;
            time::sleep(reply.retry_after.unwrap_or(KEYED_RETRY_DELAY)).await;
        }
        self.context
            .recorder
            .record_operation(operation, observation);
        self.pause(None).await;
    }
}
