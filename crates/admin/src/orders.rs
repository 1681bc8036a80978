//! Orders to engines: one administration program at a time, the holder of a lease, brings engines to
//! the duties that the configuration states.
//!
//! The lease is checked right before each order, and the order carries its fencing number. Some engines
//! ignore it: for them an order states the whole duty, so that repeating it changes nothing, and the
//! engine's state is read again in every round, so that what a paused former holder did late is put right.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use sardinemux_core::config::Duty;
use sardinemux_core::lease::{Participant, Row, Settings};
use sardinemux_core::target::{Kind, Target};
use sardinemux_host::client;
use sardinemux_host::clock::Clock;
use sardinemux_platform::client::{Precondition, Write};
use sardinemux_wire::platform::ORDERS_LEASE;
use sardinemux_wire::target::{DutyState, Order};
use tokio::time;

use crate::errors::Result;
use crate::routes::Admin;

/// The time between two rounds.
const PERIOD: Duration = Duration::from_secs(1);

/// How long an engine may take to answer, in milliseconds; less than the lease's margin.
const ENGINE_MS: u64 = 1_000;

/// The engines that load weights at the same time, as the weight store's rate is limited.
const LOADS_MAX: usize = 4;

/// Takes part in the lease and, while holding it, gives orders, until the program ends.
pub async fn run(admin: Arc<Admin>) {
    let settings = client::Settings {
        connect_timeout_ms: ENGINE_MS,
        total_timeout_ms: Some(ENGINE_MS),
        ..client::Settings::default()
    };
    let engines = match client::build(settings) {
        Ok(engines) => engines,
        Err(error) => {
            log::error!("no orders are given: {error}");
            return;
        }
    };
    let name = sardinemux_core::config::ChangeId::new_v4().to_string();
    let mut giver = Giver {
        admin,
        engines,
        clock: Clock::default(),
        keeper: Participant::new(name.into(), Settings::default()),
    };
    let mut ticks = time::interval(PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = giver.round().await {
            log::debug!("no orders in this round: {error}");
        }
    }
}

/// A program that may give orders.
struct Giver {
    admin: Arc<Admin>,
    engines: Client,
    clock: Clock,
    keeper: Participant,
}

impl Giver {
    async fn round(&mut self) -> Result<()> {
        self.renew().await?;
        if !self.keeper.is_holder(self.clock.now_ms()) {
            return Ok(());
        }
        let duties = self.admin.log.read().await?.duties;
        if duties.is_empty() {
            return Ok(());
        }
        let instances = self.admin.log.platform().read_instances().await?;
        let listed = instances.iter().filter_map(|instance| instance.target());
        let mut loading = 0;
        for target in listed.filter(|target| target.kind == Kind::Engine) {
            let Some(duty) = duties.get(&target.id) else {
                continue;
            };
            let Some(state) = self.state(&target).await else {
                continue;
            };
            loading += usize::from(state.is_loading);
            if state.duty != *duty && loading < LOADS_MAX {
                loading += 1;
                self.order(&target, duty).await;
            }
        }
        Ok(())
    }

    /// Renews the lease, or takes it over if it has lapsed.
    async fn renew(&mut self) -> Result<()> {
        let platform = self.admin.log.platform();
        let began_ms = self.clock.now_ms();
        let read = platform.read_row(ORDERS_LEASE).await?;
        let condition = read.as_ref().map_or(Precondition::Absent, |row| {
            Precondition::Version(row.version)
        });
        let held: Option<Row> = read.and_then(|row| serde_json::from_value(row.value).ok());
        let Some(next) = self.keeper.next_row(held.as_ref(), began_ms) else {
            return Ok(());
        };
        if platform.write_row(ORDERS_LEASE, &next, condition).await? == Write::Done {
            self.keeper.note_write(&next, began_ms);
        }
        Ok(())
    }

    async fn state(&self, target: &Target) -> Option<DutyState> {
        let url = format!("http://{}/duty", target.address);
        let response = self.engines.get(url).send().await.ok()?;
        response.json().await.ok()
    }

    /// Gives one order, if the lease still holds.
    async fn order(&self, target: &Target, duty: &Duty) {
        let Some(number) = self.keeper.fencing_number(self.clock.now_ms()) else {
            return;
        };
        let order = Order {
            number,
            duty: duty.clone(),
        };
        let url = format!("http://{}/orders", target.address);
        let answer = self.engines.post(url).json(&order).send().await;
        let status = answer.map(|answer| answer.status().as_u16());
        log::info!(
            target:% = target.id, number = number, model:% = duty.model, version:% = duty.version;
            "order given, answer {status:?}"
        );
    }
}
