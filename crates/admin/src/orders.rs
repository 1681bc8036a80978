//! The reconciliation of engines with the duties that the configuration assigns to them, by orders.
//!
//! One administration program at a time, the holder of a lease, sends orders. It checks the lease right before each
//! order, and the order carries the fencing number of the lease. Some engines ignore that number. Therefore an order
//! states the whole duty, so that repeating it changes nothing, and the state of each engine is read again in every
//! round, so that the late order of a former holder that was suspended is corrected.

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

/// The largest report of an engine's duty that is read, in bytes.
const DUTY_MAX_BYTES: usize = 1 << 20;

/// The time between two rounds of reconciliation.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of one call to an engine, in milliseconds. It is shorter than the margin of the lease, so that an order
/// ends while the lease still holds.
const ENGINE_TIMEOUT_MS: u64 = 1_000;

/// The number of engines that load weights from which on a round sends no further order, as the throughput of the
/// weight store is limited. Engines that the round has not read yet, or that do not answer, are not counted.
const LOADING_ENGINES_MAX: usize = 4;

/// Competes for the lease and, while holding it, sends orders to engines. Returns only if the HTTP client cannot be
/// built.
pub async fn run(admin: Arc<Admin>) {
    let settings = client::Settings {
        connect_timeout_ms: ENGINE_TIMEOUT_MS,
        total_timeout_ms: Some(ENGINE_TIMEOUT_MS),
        ..client::Settings::default()
    };
    let client = match client::build(settings) {
        Ok(client) => client,
        Err(error) => {
            log::error!("cannot build the HTTP client for engines, so no orders are sent: {error}");
            return;
        }
    };
    let name = sardinemux_core::config::ChangeId::new_v4().to_string();
    let mut reconciler = Reconciler {
        admin,
        client,
        clock: Clock::default(),
        participant: Participant::new(name.into(), Settings::default()),
    };
    let mut ticks = time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = reconciler.reconcile().await {
            log::debug!("this round sends no orders to engines: {error}");
        }
    }
}

/// The state of the reconciliation in one program.
struct Reconciler {
    admin: Arc<Admin>,
    client: Client,
    clock: Clock,
    participant: Participant,
}

impl Reconciler {
    /// Runs one round: renews the lease and, while holding it, sends an order to each engine whose duty differs.
    async fn reconcile(&mut self) -> Result<()> {
        self.renew_lease().await?;
        if !self.participant.is_holder(self.clock.now_ms()) {
            return Ok(());
        }
        let duties = self.admin.log.read_state().await?.duties;
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
            let Some(state) = self.read_duty_state(&target).await else {
                continue;
            };
            loading += usize::from(state.is_loading);
            if state.duty != *duty && loading < LOADING_ENGINES_MAX {
                loading += 1;
                self.send_order(&target, duty).await;
            }
        }
        Ok(())
    }

    /// Renews the lease, or takes it over if it is absent or has expired.
    async fn renew_lease(&mut self) -> Result<()> {
        let platform = self.admin.log.platform();
        let started_ms = self.clock.now_ms();
        let read = platform.read_row(ORDERS_LEASE).await?;
        let condition = read.as_ref().map_or(Precondition::Absent, |row| {
            Precondition::Version(row.version)
        });
        let held: Option<Row> = read.and_then(|row| serde_json::from_value(row.value).ok());
        let Some(next) = self.participant.next_row(held.as_ref(), started_ms) else {
            return Ok(());
        };
        if platform.write_row(ORDERS_LEASE, &next, condition).await? == Write::Done {
            self.participant.note_write(&next, started_ms);
        }
        Ok(())
    }

    /// Returns the duty that an engine reports, or `None` if it does not answer as expected.
    async fn read_duty_state(&self, target: &Target) -> Option<DutyState> {
        let url = format!("http://{}/duty", target.address);
        let response = self.client.get(url).send().await.ok()?;
        let body = client::read_body(response, DUTY_MAX_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends one order, if the lease still holds.
    async fn send_order(&self, target: &Target, duty: &Duty) {
        let Some(number) = self.participant.fencing_number(self.clock.now_ms()) else {
            return;
        };
        let order = Order {
            number,
            duty: duty.clone(),
        };
        let url = format!("http://{}/orders", target.address);
        let response = self.client.post(url).json(&order).send().await;
        let status = response.map(|response| response.status().as_u16());
        log::info!(
            target:% = target.id, number = number, model:% = duty.model, version:% = duty.version;
            "order sent to the engine; response status: {status:?}"
        );
    }
}
