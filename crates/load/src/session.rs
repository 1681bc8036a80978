//! One session: a caller who does one kind of work after another, with pauses.

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

use crate::caller::{Callers, Sender, ServiceCall, Turn};
use crate::profile::{self, Call, Kind, Profile};
use crate::run::Phase;
use crate::tally::{End, Tally, Verdict};

/// The tries of an operation that carries an idempotency key.
const KEY_TRIES: u32 = 4;

/// The pause before such a try, if the fleet names none.
const KEY_PAUSE: Duration = Duration::from_millis(300);

/// Of ten operations that must not repeat, this many carry an idempotency key.
const KEYED_OF_TEN: u32 = 8;

/// The turns after which a refused chat is left.
const REFUSALS_MAX: u32 = 20;

/// What all sessions share.
pub struct Shared {
    /// The workload.
    pub profile: Profile,
    /// The model.
    pub model: String,
    /// The number of organisations.
    pub organisations: usize,
    /// The seed of the run.
    pub seed: u64,
    /// The callers.
    pub callers: Callers,
    /// The counts.
    pub tally: Tally,
    /// The phase of the run.
    pub phase: Phase,
}

/// One session.
pub struct Session {
    shared: Arc<Shared>,
    random: StdRng,
    organisation: usize,
    number: u64,
    chats: u64,
    is_surging: bool,
}

impl Session {
    /// Creates a session; a surging one belongs to the largest organisation.
    pub fn new(shared: Arc<Shared>, number: u64, is_surging: bool) -> Self {
        let seed = hash::digest(&[&shared.seed.to_le_bytes(), &number.to_le_bytes()]);
        let mut random = StdRng::seed_from_u64(seed);
        // Sizes fall off as one over the rank: a few organisations are large.
        let sizes = (1..=shared.organisations).map(|rank| 1.0 / rank as f64);
        let drawn = WeightedIndex::new(sizes).map_or(0, |sizes| sizes.sample(&mut random));
        Self {
            organisation: match is_surging {
                true => 0,
                false => drawn,
            },
            shared,
            random,
            number,
            chats: 0,
            is_surging,
        }
    }

    fn sender(&self) -> Sender {
        let name = profile::organisation(self.shared.profile.member, self.organisation);
        Sender {
            key: profile::key(&name),
            is_largest: self.organisation == 0,
            is_surge: self.shared.phase.is_surge(),
        }
    }

    /// Works until the run, or the surge that it belongs to, is over.
    pub async fn run(mut self) {
        let first = self.random.random_range(0.0..1.0);
        time::sleep(self.shared.profile.pause.mul_f64(first)).await;
        while !self.is_over() {
            let kind = self.draw_kind();
            match kind.call {
                Call::Chat { .. } => self.chat(kind).await,
                Call::Read => self.read(kind).await,
                Call::Change => self.change(kind).await,
            }
        }
    }

    fn is_over(&self) -> bool {
        let phase = &self.shared.phase;
        phase.is_over() || (self.is_surging && !phase.is_surge())
    }

    fn draw_kind(&mut self) -> Kind {
        let kinds = self.shared.profile.kinds;
        let shares = kinds.iter().map(|kind| kind.share);
        let index = WeightedIndex::new(shares).map_or(0, |shares| shares.sample(&mut self.random));
        kinds[index]
    }

    async fn pause(&mut self, least: Option<Duration>) {
        let profile = &self.shared.profile;
        // Pauses are exponential; one is cut off at five times the mean.
        let uniform: f64 = self.random.random_range(0.007..1.0);
        let mut pause = profile.pause.mul_f64(-uniform.ln());
        if self.random.random_ratio(1, profile.quiet_every) {
            pause *= profile.quiet_factor;
        }
        let pause = pause.max(least.unwrap_or_default());
        time::sleep(pause.min(self.shared.phase.left())).await;
    }

    fn message(&mut self, role: &str, tokens: u32) -> Message {
        let draw = self.random.random();
        let words: String = (0..u64::from(tokens))
            .map(|index| text::token(draw, index))
            .collect();
        // One token stands for four bytes of text.
        let words: String = words.chars().take(tokens as usize * 4).collect();
        Message {
            role: role.into(),
            content: words.into(),
            rest: Map::new(),
        }
    }

    async fn chat(&mut self, kind: Kind) {
        let Call::Chat {
            first_tokens,
            turn_tokens,
            answer_tokens,
            turns,
        } = kind.call
        else {
            return;
        };
        self.chats += 1;
        let name = format!("{}-{}", self.number, self.chats);
        let mut chat = ChatRequest {
            model: self.shared.model.as_str().into(),
            messages: vec![self.message("user", first_tokens)],
            stream: true,
            max_tokens: Some(answer_tokens),
            prompt_cache_key: Some(name.into()),
            rest: Map::new(),
        };
        // Half of the callers hand the placement hint back.
        let gives_hint = self.random.random_ratio(1, 2);
        let turns = self.random.random_range(1..=turns);
        let mut hint: Option<String> = None;
        let mut refusals = 0;
        let mut done = 0;
        while done < turns && !self.is_over() {
            let turn = self.turn(&kind, &chat, hint.as_deref()).await;
            match turn.end {
                End::Completed => {
                    done += 1;
                    let answer = text::answer(&chat.model, &chat.messages, answer_tokens);
                    chat.messages.push(Message {
                        role: "assistant".into(),
                        content: answer.into(),
                        rest: Map::new(),
                    });
                    let next = self.message("user", turn_tokens);
                    chat.messages.push(next);
                    hint = turn.placement.filter(|_| gives_hint);
                }
                _ => refusals += 1,
            }
            if refusals > REFUSALS_MAX {
                return;
            }
            self.pause(turn.retry_after).await;
        }
    }

    async fn turn(&mut self, kind: &Kind, chat: &ChatRequest, hint: Option<&str>) -> Turn {
        let sender = self.sender();
        let shared = self.shared.clone();
        shared
            .callers
            .chat(&shared.tally, kind, &sender, chat, hint, &mut self.random)
            .await
    }

    fn draw_operation(&mut self) -> String {
        format!("{:032x}", self.random.random::<u128>())
    }

    async fn call(&mut self, kind: &Kind, operation: &str, key: Option<&str>) -> Turn {
        let sender = self.sender();
        let shared = self.shared.clone();
        let call = ServiceCall {
            service: shared.profile.service,
            operation,
            key,
        };
        shared
            .callers
            .call(&shared.tally, kind, &sender, call, &mut self.random)
            .await
    }

    async fn read(&mut self, kind: Kind) {
        let operation = self.draw_operation();
        let turn = self.call(&kind, &operation, None).await;
        self.pause(turn.retry_after).await;
    }

    /// Carries out an operation that must not repeat; with a key it is tried again until its
    /// outcome is known.
    async fn change(&mut self, kind: Kind) {
        let operation = self.draw_operation();
        let is_keyed = self.random.random_ratio(KEYED_OF_TEN, 10);
        let key = is_keyed.then(|| operation.clone());
        let mut verdict = Verdict {
            end: End::Unknown,
            may_have_run: false,
        };
        for _ in 0..KEY_TRIES {
            let turn = self.call(&kind, &operation, key.as_deref()).await;
            verdict.end = turn.end;
            if turn.end == End::Completed || key.is_none() {
                break;
            }
            verdict.may_have_run |= turn.end != End::NotRun;
            time::sleep(turn.retry_after.unwrap_or(KEY_PAUSE)).await;
        }
        self.shared.tally.note_operation(operation, verdict);
        self.pause(None).await;
    }
}
