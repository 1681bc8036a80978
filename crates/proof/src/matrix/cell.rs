//! One cell of the fault matrix: a fault, and the step of a request at which it happens.

use std::time::Duration;

use futures_util::future::join_all;
use sardinemux_standin::platform::Faults;
use sardinemux_standin::proxy;
use sardinemux_standin::service::Stats;
use tokio::time;

use super::{attempt, judge, runs, send_chat, Attempt, Findings, Told};
use crate::client::{self, until};
use crate::errors::Result;
use crate::fleet::{Fleet, Settings};

/// Between which processes a fault of the network happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From entry routers to one owner router.
    Forward,
    /// From owner routers to one engine and one service instance.
    Dispatch,
    /// From one router to the platform.
    Platform,
}

/// A process that a fault befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// A router: the entry of some requests and the owner of others.
    Router,
    /// An engine.
    Engine,
    /// A service instance.
    Service,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The network between two processes.
    Network(Link, proxy::Fault),
    /// A process is killed.
    Kill(Who),
    /// A process is stopped for longer than any deadline, and goes on.
    Freeze(Who),
    /// The platform's table and object store.
    Platform(Faults),
    /// One router does not see what the instance list says.
    ListsDiffer,
}

/// When the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Before the requests are sent: it meets acceptance, claim, forwarding and dispatch.
    Before,
    /// While targets work on them: it meets the first byte, the stream, the end, the record and the
    /// reply.
    During,
}

/// One cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The name of the faults.
    pub name: String,
    /// The faults; they happen together.
    pub faults: [Fault; 2],
    /// When they begin.
    pub moment: Moment,
}

/// How long a frozen process is stopped.
const FREEZE: Duration = Duration::from_millis(4_500);

/// How long a fault of the network or the platform lasts.
const FAULT: Duration = Duration::from_millis(3_500);

/// The work of a service call, in milliseconds, long enough for a fault to meet it.
const WORK_MS: &str = "500";

/// The tokens of a chat, so that its stream takes about as long.
const TOKENS: u32 = 100;

/// Returns the settings of the fleets in which cells are tried.
pub fn settings(without: &[&str]) -> Settings {
    Settings {
        routers: 3,
        engines: 3,
        services: 2,
        has_proxy: true,
        list_lag_ms: 300,
        without: without.iter().map(|name| (*name).to_owned()).collect(),
        router_settings: vec![
            ("peer", "silence", "1500ms".to_owned()),
            ("peer", "suspect", "1s".to_owned()),
            ("platform", "timeout", "500ms".to_owned()),
            ("platform", "list_period", "400ms".to_owned()),
            ("platform", "config_period", "1s".to_owned()),
        ],
        service_arguments: vec!["--work-ms".to_owned(), WORK_MS.to_owned()],
        ..Settings::default()
    }
}

impl Who {
    fn process(self) -> &'static str {
        match self {
            Self::Router => "router1",
            Self::Engine => "engine0",
            Self::Service => "service0",
        }
    }
}

/// Returns the addresses before which the proxy breaks a link.
fn places(fleet: &Fleet, link: Link) -> Vec<std::net::SocketAddr> {
    let targets = [&fleet.engines[0], &fleet.services[0]];
    match link {
        Link::Forward => vec![fleet.routers[1].listed],
        Link::Platform => vec![fleet.routers[1].platform],
        Link::Dispatch => targets
            .into_iter()
            .filter_map(|place| place.target.address.parse().ok())
            .collect(),
    }
}

async fn begin(fleet: &Fleet, fault: Fault) -> Result<()> {
    match fault {
        Fault::None => {}
        Fault::Network(link, fault) => {
            for place in places(fleet, link) {
                fleet.fault(place, fault).await?;
            }
        }
        Fault::Kill(who) => fleet.kill(who.process()),
        Fault::Freeze(who) => fleet.freeze(who.process())?,
        Fault::Platform(faults) => fleet.platform_faults(faults).await?,
        Fault::ListsDiffer => {
            let place = fleet.routers[1].platform;
            fleet.fault(place, proxy::Fault::Cut).await?;
            fleet.list_leaving("engine0", true).await?;
            fleet.list_leaving("service0", true).await?;
        }
    }
    Ok(())
}

async fn end(fleet: &Fleet, fault: Fault) -> Result<()> {
    match fault {
        Fault::None => {}
        Fault::Network(link, _) => {
            for place in places(fleet, link) {
                fleet.fault(place, proxy::Fault::None).await?;
            }
        }
        Fault::Kill(Who::Router) => fleet.start_router(1)?,
        Fault::Kill(Who::Engine) => fleet.start_engine(0)?,
        Fault::Kill(Who::Service) => fleet.start_service(0)?,
        Fault::Freeze(who) => fleet.thaw(who.process())?,
        Fault::Platform(_) => fleet.platform_faults(Faults::default()).await?,
        Fault::ListsDiffer => {
            fleet.list_leaving("engine0", false).await?;
            fleet.list_leaving("service0", false).await?;
            let place = fleet.routers[1].platform;
            fleet.fault(place, proxy::Fault::None).await?;
        }
    }
    Ok(())
}

impl Cell {
    fn lasts(&self) -> Duration {
        let is_freeze = |fault: &Fault| matches!(fault, Fault::Freeze(_));
        match self.faults.iter().any(is_freeze) {
            true => FREEZE,
            false => FAULT,
        }
    }

    /// Tries the cell in a fleet, and leaves the fleet whole again.
    ///
    /// # Errors
    ///
    /// What went wrong with the trial itself.
    pub async fn try_in(&self, fleet: &Fleet) -> Result<Findings> {
        if self.moment == Moment::Before {
            self.begin(fleet).await?;
        }
        let (attempts, chats) = self.send(fleet).await?;
        recover(fleet).await?;
        let all = runs(fleet).await?;
        Ok(judge(&attempts, &chats, &all))
    }

    async fn begin(&self, fleet: &Fleet) -> Result<()> {
        for fault in self.faults {
            begin(fleet, fault).await?;
        }
        Ok(())
    }

    /// Sends requests through every entry, while the fault comes and goes.
    async fn send(&self, fleet: &Fleet) -> Result<(Vec<Attempt>, Vec<Told>)> {
        let routers = 0..fleet.routers.len();
        let operations = routers
            .clone()
            .flat_map(|entry| [true, true, false, false].map(|is_keyed| (entry, is_keyed)))
            .map(|(entry, is_keyed)| attempt(fleet, entry, is_keyed));
        let chats = routers
            .flat_map(|entry| [true, false].map(|is_streamed| (entry, is_streamed)))
            .map(|(entry, is_streamed)| send_chat(fleet, entry, is_streamed, TOKENS));
        let sending = async { tokio::join!(join_all(operations), join_all(chats)) };
        let happening = async {
            if self.moment == Moment::During {
                wait_for_work(fleet).await?;
                self.begin(fleet).await?;
            }
            time::sleep(self.lasts()).await;
            for fault in self.faults {
                end(fleet, fault).await?;
            }
            Ok(()) as Result<()>
        };
        let (sent, happened) = tokio::join!(sending, happening);
        happened?;
        Ok(sent)
    }
}

/// Waits until a service instance works on a call.
async fn wait_for_work(fleet: &Fleet) -> Result<()> {
    until("a call at work", || async {
        let reads = fleet.services.iter().map(|place| async {
            let url = format!("http://{}/standin/stats", place.address);
            let stats: Result<Stats> = client::json(&url, fleet.client.get(&url)).await;
            stats.is_ok_and(|stats| stats.running > 0)
        });
        join_all(reads).await.contains(&true)
    })
    .await
}

/// Waits until the fleet is whole: every router serves a call and a chat.
async fn recover(fleet: &Fleet) -> Result<()> {
    fleet.wait_ready().await?;
    for entry in 0..fleet.routers.len() {
        until(&format!("service by entry {entry}"), || async {
            let call = attempt(fleet, entry, false).await;
            let chat = send_chat(fleet, entry, true, 2).await;
            call.told.contains(&Told::Completed) && chat == Told::Completed
        })
        .await?;
    }
    Ok(())
}
