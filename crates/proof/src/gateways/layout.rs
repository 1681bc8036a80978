//! What a fleet is made of, and where its processes listen.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexSet;
use parking_lot::Mutex;
use sardinemux_platform::store::Store;
use snafu::ResultExt;

use super::{Fleet, ENGINES, SERVICES};
use crate::errors::{IoSnafu, Result};
use crate::{client, ports};

/// The pools between which the routes of the plain service move.
pub const SERVICE_POOLS: [&str; 3] = [SERVICES, "services-b", "services-c"];

/// Numbers the fleets of one process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The time limit of the operator's calls to the store: above what the stand-in's slowness adds.
const STORE_CALL: Duration = Duration::from_secs(5);

/// What a fleet of gateways is made of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateways.
    pub gateways: usize,
    /// The availability zones.
    pub zones: usize,
    /// The replicas that stream.
    pub engines: usize,
    /// The replicas of a plain service.
    pub services: usize,
    /// The builds of the replicas that stream, which these have in turn.
    pub builds: usize,
    /// Whether the replicas of the plain service are of several pools in turn, between which its routes move.
    pub has_moves: bool,
    /// Further arguments of the replicas.
    pub replica_arguments: Vec<String>,
    /// The percentage of answers of replicas whose end is marked by the end of their connection. If there are any, the
    /// proxy resets the connections that a fault ends.
    pub unframed_percent: u64,
    /// The percentage of streams that replicas break off at any time.
    pub break_percent: u64,
    /// The percentage of answers in which replicas fall silent for a moment and go on.
    pub pause_percent: u64,
    /// The rejections in a second above which the replicas of the plain service fall over; 0 if they never do. They are slow
    /// and let no request wait then.
    pub brittle: u64,
    /// Whether the replicas of the plain service crash under requests with [`FATAL_BODY`](super::FATAL_BODY). They are
    /// listed with their own addresses then, as the proxy would accept connections for one that has crashed.
    pub has_fatal_requests: bool,
    /// The memory that a gateway may have, in megabytes.
    pub memory_mb: u64,
    /// The descriptors that a gateway may have open; `None` for as many as this process.
    pub open_files: Option<u64>,
    /// The largest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// The gateway's program of an earlier build, which all gateways run at first. Each start after a graceful stop or a kill changes
    /// the build.
    pub former_program: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gateways: 4,
            zones: 2,
            engines: 4,
            services: 2,
            builds: 1,
            has_moves: false,
            replica_arguments: Vec::new(),
            unframed_percent: 0,
            break_percent: 0,
            pause_percent: 0,
            brittle: 0,
            has_fatal_requests: false,
            memory_mb: 256,
            open_files: None,
            body_max_bytes: 65_536,
            former_program: None,
        }
    }
}

/// A gateway with its addresses.
#[derive(Clone, Debug)]
pub struct GatewayPlace {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where metrics are shown.
    pub metrics: SocketAddr,
    /// Where other gateways connect.
    pub peers: SocketAddr,
    /// Where its connections to replicas come from.
    pub source: IpAddr,
    /// Its own path to the store, through the proxy.
    pub store: SocketAddr,
}

/// A replica with its addresses.
#[derive(Clone, Debug)]
pub struct ReplicaPlace {
    /// Its id in the store's list.
    pub id: String,
    /// Its pool.
    pub pool: &'static str,
    /// The version of its software.
    pub build: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The address that is listed: the proxy's, unless replicas crash.
    pub listed: SocketAddr,
}

fn zone(index: usize, zones: usize) -> String {
    format!("z{}", index % zones.max(1) + 1)
}

/// Returns the name of the build that the replica `index` has.
fn build(index: usize, builds: usize) -> String {
    format!("v{}", index % builds.max(1) + 1)
}

/// Returns the names of all builds of a fleet.
pub fn builds(settings: &Settings) -> Vec<String> {
    (0..settings.builds.max(1))
        .map(|index| build(index, settings.builds))
        .collect()
}

impl Fleet {
    pub(super) fn lay_out(settings: Settings) -> Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("sardinemux-front-{}-{number}", std::process::id()));
        let what = folder.display().to_string();
        fs::create_dir_all(&folder).context(IoSnafu { what })?;
        let mut gateways = Vec::new();
        for index in 0..settings.gateways {
            let own = ports::free(5)?;
            gateways.push(GatewayPlace {
                name: format!("g{index}"),
                zone: zone(index, settings.zones),
                callers: own[0],
                ready: own[1],
                metrics: own[2],
                peers: own[3],
                source: IpAddr::from([127, 0, 1, index as u8 + 1]),
                store: own[4],
            });
        }
        let mut replicas = Vec::new();
        for index in 0..settings.engines + settings.services {
            let own = ports::free(2)?;
            let is_engine = index < settings.engines;
            let may_crash = settings.has_fatal_requests && !is_engine;
            replicas.push(ReplicaPlace {
                id: format!("t{index}"),
                pool: match (is_engine, settings.has_moves) {
                    (true, _) => ENGINES,
                    (false, true) => SERVICE_POOLS[index % SERVICE_POOLS.len()],
                    (false, false) => SERVICES,
                },
                build: build(index, settings.builds),
                zone: zone(index, settings.zones),
                address: own[0],
                listed: own[usize::from(!may_crash)],
            });
        }
        let store_address = ports::free(1)?[0];
        Ok(Self {
            store: Store::new(store_address, STORE_CALL),
            store_address,
            proxy: ports::free(1)?[0],
            client: client::build()?,
            processes: Mutex::default(),
            version: AtomicU64::new(0),
            written: Mutex::default(),
            births: Mutex::default(),
            service_pool: tokio::sync::Mutex::new(SERVICES),
            former: Mutex::new(match settings.former_program {
                // The gateways of an earlier build are replaced one after the other.
                Some(_) => (0..settings.gateways).collect(),
                None => IndexSet::new(),
            }),
            settings,
            gateways,
            replicas,
            folder,
            keeps_logs: AtomicBool::new(false),
        })
    }
}
