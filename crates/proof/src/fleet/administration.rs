//! What a fleet's operators do: changes of the configuration, and waiting for them.

use std::sync::atomic::Ordering;

use sardinemux_core::config::{query, Change, ChangeId, Organisation, Stop, StopKind};
use sardinemux_load::profile;
use sardinemux_wire::admin::{Rollout, Submission, Verdict};
use serde::de::DeserializeOwned;

use super::{Fleet, FIRST_TOKEN};
use crate::client::{self, until};
use crate::errors::Result;

impl Fleet {
    pub(super) fn organisations(&self) -> Vec<Change> {
        let member = self.settings.workload.as_str();
        (0..self.settings.organisations)
            .map(|index| {
                let name = profile::organisation_name(member, index);
                Change::SetOrganisation(Organisation {
                    key_digests: vec![query::digest(&profile::organisation_key(&name))],
                    name: name.into(),
                    member: member.into(),
                    weight: 1.0,
                })
            })
            .collect()
    }

    /// Submits changes as the first operator.
    ///
    /// # Errors
    ///
    /// `Error::Refused` if they are not accepted.
    pub async fn submit(&self, changes: Vec<Change>) -> Result<Verdict> {
        let submission = Submission {
            id: ChangeId::new_v4(),
            expected: Vec::new(),
            dry_run: false,
            changes,
        };
        self.submit_to(0, FIRST_TOKEN, &submission).await
    }

    /// Submits a change set to one administration program.
    ///
    /// # Errors
    ///
    /// `Error::Call` if it does not answer, `Error::Refused` if it refuses.
    pub async fn submit_to(
        &self,
        admin: usize,
        token: &str,
        submission: &Submission,
    ) -> Result<Verdict> {
        let url = format!("http://{}/v1/changes", self.admins[admin]);
        let request = self.client.post(&url).bearer_auth(token).json(submission);
        let verdict = client::json(&url, request).await?;
        if let Verdict::Accepted { entry } = &verdict {
            self.version.fetch_max(entry.version, Ordering::SeqCst);
        }
        Ok(verdict)
    }

    /// Returns the newest version that was accepted through this fleet's handle.
    pub fn newest_version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Reads something of the administration API as the first operator.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if it cannot be read.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("http://{}{path}", self.admins[0]);
        let request = self.client.get(&url).bearer_auth(FIRST_TOKEN);
        client::json(&url, request).await
    }

    /// Waits until the newest accepted version is in force on every listed router.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it is not.
    pub async fn wait_in_force(&self) -> Result<()> {
        until("the newest version in force everywhere", || async {
            let force = self.read::<Rollout>("/v1/force").await;
            force.is_ok_and(|force| {
                let mut versions = force.routers.iter().map(|router| router.version);
                versions.all(|version| version >= Some(force.version))
            })
        })
        .await
    }

    /// Takes an availability zone out, or brings it back.
    ///
    /// # Errors
    ///
    /// `Error::Refused` if the change is not accepted.
    pub async fn set_zone(&self, zone: &str, is_out: bool) -> Result<()> {
        let change = match is_out {
            true => Change::BeginStop(Stop {
                kind: StopKind::Zone,
                name: zone.into(),
                reason: "a trial".into(),
            }),
            false => Change::EndStop {
                kind: StopKind::Zone,
                name: zone.into(),
            },
        };
        self.submit(vec![change]).await?;
        Ok(())
    }
}
