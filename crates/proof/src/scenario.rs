//! What happens to a fleet while it is under load, and the report of it.

use std::time::Duration;

use sardinemux_load::report::Report;
use sardinemux_load::run::{self, Settings as Load};
use tokio::time;

use crate::errors::{ArgumentSnafu, Result};
use crate::fleet::{Fleet, Settings};

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing: chats come, go quiet and come back.
    Churn,
    /// An availability zone is taken out at one third and brought back at two thirds, with its engines
    /// restarted meanwhile.
    Zone,
    /// The largest organisation grows to five times its size for a while.
    Surge,
    /// Engines restart, one after the other.
    Flap,
    /// A third of the engines turn cold at once, without a word.
    Cold,
    /// Routers are replaced one after the other, gracefully.
    Rolling,
}

/// Every scenario, by name.
pub const ALL: [(&str, Scenario); 6] = [
    ("churn", Scenario::Churn),
    ("zone", Scenario::Zone),
    ("surge", Scenario::Surge),
    ("flap", Scenario::Flap),
    ("cold", Scenario::Cold),
    ("rolling", Scenario::Rolling),
];

/// How much the largest organisation grows in a surge.
const SURGE: u64 = 5;

/// How long a fleet is loaded before the run that counts.
const WARM_UP: Duration = Duration::from_secs(8);

/// Keeps the warm-up's chats apart from the run's.
const WARM_UP_SEED: u64 = 0x5a5a_0000;

impl Scenario {
    /// Returns the scenario of a name.
    ///
    /// # Errors
    ///
    /// `Error::Argument` if there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_proof::scenario::Scenario;
    ///
    /// assert_eq!(Scenario::parse("zone").ok(), Some(Scenario::Zone));
    /// assert!(Scenario::parse("earthquake").is_err());
    /// ```
    pub fn parse(name: &str) -> Result<Self> {
        let found = ALL.iter().find(|(known, _)| *known == name);
        let names: Vec<&str> = ALL.iter().map(|(known, _)| *known).collect();
        match found {
            Some((_, scenario)) => Ok(*scenario),
            None => ArgumentSnafu {
                name: "scenario",
                value: name,
                allowed: names.join(", "),
            }
            .fail(),
        }
    }
}

/// Runs a load on a new fleet while the scenario happens.
///
/// # Errors
///
/// What went wrong at the start of the fleet or the load.
pub async fn run(scenario: Scenario, settings: Settings, load: Load) -> Result<Report> {
    let fleet = Fleet::start(settings).await?;
    let places = fleet.load();
    let load = Load {
        surge_factor: match scenario {
            Scenario::Surge => SURGE,
            _ => 1,
        },
        workload: places.workload,
        policy: places.policy,
        organisations: places.organisations,
        entries: places.entries,
        routers: places.routers,
        engines: places.engines,
        services: places.services,
        ..load
    };
    let length = load.duration;
    // The routers learn what the engines bear, and the processes reach their working size, first.
    let warming = Load {
        duration: WARM_UP,
        seed: load.seed ^ WARM_UP_SEED,
        surge_factor: 1,
        ..load.clone()
    };
    run::run(warming).await?;
    let loading = tokio::spawn(run::run(load));
    happen(scenario, &fleet, length).await?;
    let report = loading.await.unwrap_or_else(|_| Ok(Report::default()))?;
    Ok(report)
}

async fn happen(scenario: Scenario, fleet: &Fleet, length: Duration) -> Result<()> {
    let third = length / 3;
    match scenario {
        Scenario::Churn | Scenario::Surge => {}
        Scenario::Zone => {
            time::sleep(third).await;
            fleet.set_zone("z1", true).await?;
            time::sleep(third * 3 / 4).await;
            restart_zone(fleet, "z1").await?;
            time::sleep(third / 4).await;
            fleet.set_zone("z1", false).await?;
        }
        Scenario::Flap => {
            let engines = fleet.engines.len();
            let pause = length / (engines as u32 + 1);
            for index in 0..engines {
                time::sleep(pause).await;
                let address = fleet.engines[index].address;
                fleet.tell(address, "/standin/restart").await?;
            }
        }
        Scenario::Cold => {
            time::sleep(third).await;
            for index in 0..fleet.engines.len().div_ceil(3) {
                let address = fleet.engines[index].address;
                fleet.tell(address, "/standin/cold").await?;
            }
        }
        Scenario::Rolling => rolling(fleet).await?,
    }
    Ok(())
}

async fn restart_zone(fleet: &Fleet, zone: &str) -> Result<()> {
    let engines = fleet.engines.iter();
    for engine in engines.filter(|engine| engine.target.zone == zone) {
        fleet.tell(engine.address, "/standin/restart").await?;
    }
    Ok(())
}

/// Replaces every router gracefully, one after the other.
pub async fn rolling(fleet: &Fleet) -> Result<()> {
    for index in 0..fleet.routers.len() {
        let place = fleet.routers[index].clone();
        fleet.terminate(&place.id).await?;
        fleet.start_router(index)?;
        fleet.wait_router_ready(&place).await?;
    }
    Ok(())
}
