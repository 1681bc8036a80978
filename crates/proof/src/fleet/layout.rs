//! The names and addresses of a fleet.

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use parking_lot::Mutex;
use sardinemux_core::target::{Kind, Target};
use sardinemux_load::profile;
use snafu::ResultExt;

use super::{Fleet, RouterPlace, Settings, TargetPlace, REGION};
use crate::client;
use crate::errors::{IoSnafu, Result};
use crate::ports;

/// Numbers the fleets of one process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

fn zone(index: usize, zones: usize) -> String {
    format!("z{}", index % zones + 1)
}

impl Fleet {
    /// Chooses names and addresses.
    pub(super) fn lay_out(settings: Settings) -> Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("sardinemux-{}-{number}", std::process::id()));
        let what = folder.display().to_string();
        fs::create_dir_all(&folder).context(IoSnafu { what })?;
        let platform = ports::free(1)?[0];
        let has_proxy = settings.has_proxy;
        let proxied = |own: SocketAddr| match has_proxy {
            true => ports::free(1).map(|ports| ports[0]),
            false => Ok(own),
        };
        let mut routers = Vec::new();
        for index in 0..settings.routers {
            let own = ports::free(2)?;
            routers.push(RouterPlace {
                id: format!("router{index}"),
                zone: zone(index, settings.zones),
                entry: own[0],
                peer: own[1],
                listed: proxied(own[1])?,
                platform: proxied(platform)?,
            });
        }
        let mut engines = Vec::new();
        let per_process = settings.engines_per_process.max(1);
        while engines.len() < settings.engines {
            let count = per_process.min(settings.engines - engines.len());
            for own in ports::free(count as u16)? {
                let index = engines.len();
                let target = Target {
                    id: format!("engine{index}").into(),
                    kind: Kind::Engine,
                    pool: "sardine-7b".into(),
                    address: proxied(own)?.to_string().into(),
                    zone: zone(index, settings.zones).into(),
                    region: REGION.into(),
                    slots: 8,
                    leaving: false,
                    build: format!("v{}", 1 + index % settings.builds.max(1)).into(),
                };
                engines.push(TargetPlace {
                    target,
                    address: own,
                });
            }
        }
        let service = profile::find(&settings.workload)?.service;
        let mut services = Vec::new();
        for index in 0..settings.services {
            let own = ports::free(1)?[0];
            let target = Target {
                id: format!("service{index}").into(),
                kind: Kind::Service,
                pool: service.into(),
                address: proxied(own)?.to_string().into(),
                zone: zone(index, settings.zones).into(),
                region: REGION.into(),
                slots: 32,
                leaving: false,
                build: "v1".into(),
            };
            services.push(TargetPlace {
                target,
                address: own,
            });
        }
        let proxy = match has_proxy {
            true => Some(ports::free(1)?[0]),
            false => None,
        };
        Ok(Self {
            client: client::build()?,
            admins: ports::free(settings.admins as u16)?,
            routers,
            engines,
            services,
            platform,
            proxy,
            processes: Mutex::default(),
            version: AtomicU64::new(0),
            folder,
            settings,
        })
    }
}
