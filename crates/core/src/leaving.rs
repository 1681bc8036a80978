//! The targets that state in their answers that they leave. They get no new request, whatever the platform's list says of
//! them.
//!
//! A statement counts for the process that made it: a later process with the same id is free again. Gateways tell each
//! other of statements, with their age, since clocks of instances are not compared.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How long a gateway tells the others of a statement, in milliseconds.
const NEWS_MS: i64 = 5_000;

/// How long a statement of a target is kept that is not listed, in milliseconds. An old list may bring the target back.
const UNLISTED_TTL_MS: i64 = 60_000;

/// The largest number of statements that are kept.
const STATEMENTS_MAX: usize = 4_096;

/// What a target stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    /// Distinguishes the process from an earlier one with the same id.
    lifetime: u64,
    /// When it was made, in milliseconds; negative if this process began later.
    at_ms: i64,
}

/// A statement, as gateways exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The id of the target.
    pub target: SmolStr,
    /// The lifetime of the target's process.
    pub lifetime: u64,
    /// The time since the statement, in milliseconds.
    pub age_ms: u32,
}

/// The statements that one gateway knows, by the id of the target, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Register {
    statements: IndexMap<SmolStr, Statement>,
}

impl Register {
    /// Returns whether the process of a target stated that it leaves.
    pub fn contains(&self, target: &str, lifetime: u64) -> bool {
        let known = self.statements.get(target);
        known.is_some_and(|known| known.lifetime == lifetime)
    }

    /// Records the statement of a target. Returns whether it was news.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::leaving::Register;
    ///
    /// let mut register = Register::default();
    /// assert!(register.note("t1", 7, 0));
    /// assert!(!register.note("t1", 7, 5));
    /// assert!(register.contains("t1", 7) && !register.contains("t1", 8));
    /// ```
    pub fn note(&mut self, target: &str, lifetime: u64, now_ms: u64) -> bool {
        let at_ms = now_ms as i64;
        self.insert(target, Statement { lifetime, at_ms })
    }

    /// Takes over the statements that another gateway knows. Returns the ids of the targets of which that was news.
    pub fn merge(&mut self, notices: &[Notice], now_ms: u64) -> Vec<SmolStr> {
        let news = notices.iter().filter(|notice| {
            let statement = Statement {
                lifetime: notice.lifetime,
                at_ms: now_ms as i64 - i64::from(notice.age_ms),
            };
            self.insert(&notice.target, statement)
        });
        news.map(|notice| notice.target.clone()).collect()
    }

    /// Keeps a statement unless a later one is known. One that is repeated keeps its time, so that it does not stay news.
    fn insert(&mut self, target: &str, statement: Statement) -> bool {
        if let Some(known) = self.statements.get_mut(target) {
            let is_news = known.lifetime != statement.lifetime && known.at_ms < statement.at_ms;
            if is_news {
                *known = statement;
            }
            return is_news;
        }
        if self.statements.len() >= STATEMENTS_MAX {
            self.statements.shift_remove_index(0);
        }
        self.statements.insert(target.into(), statement);
        true
    }

    /// Returns the statements of which the others are told.
    pub fn notices(&self, now_ms: u64) -> Vec<Notice> {
        let notices = self.statements.iter().filter_map(|(target, statement)| {
            let age_ms = (now_ms as i64 - statement.at_ms).max(0);
            (age_ms < NEWS_MS).then(|| Notice {
                target: target.clone(),
                lifetime: statement.lifetime,
                age_ms: age_ms as u32,
            })
        });
        notices.collect()
    }

    /// Removes the old statements of processes that are not listed.
    pub fn remove_expired(&mut self, is_listed: impl Fn(&str, u64) -> bool, now_ms: u64) {
        self.statements.retain(|target, statement| {
            let is_recent = now_ms as i64 - statement.at_ms < UNLISTED_TTL_MS;
            is_recent || is_listed(target, statement.lifetime)
        });
    }
}
