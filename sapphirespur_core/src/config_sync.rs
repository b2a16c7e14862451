//! Replication of the configuration between processes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::config::{Change, Config, ConfigError};
use crate::message::{ConfigDelta, ConfigFull, ConfigPull, Message};
use crate::name::Name;
use crate::time::Time;

/// Maximum number of revisions whose changes are kept for peers that are behind.
const MAX_KEPT_REVISIONS: usize = 64;

/// Time after which an unanswered pull is repeated, to any peer that reports a newer revision.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Changes that created one revision.
#[derive(Clone, Debug)]
struct RevisionChanges {
    revision: u64,
    changes: Vec<Change>,
}

/// Pull that has not been answered.
#[derive(Clone, Debug)]
struct PendingPull {
    peer: Name,
    sent: Time,
}

/// Configuration in force at one process, and its replication from and to peers.
///
/// The revision never decreases: an older revision from a peer or the platform is ignored.
#[derive(Clone, Debug, Default)]
pub struct ConfigSync {
    config: Config,
    keys: HashMap<String, Name>,
    recent_changes: VecDeque<RevisionChanges>,
    pending_pull: Option<PendingPull>,
}

impl ConfigSync {
    /// Returns the configuration in force; it has revision zero until the first one is accepted.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the workspace of each key digest.
    pub fn keys(&self) -> &HashMap<String, Name> {
        &self.keys
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.config.revision
    }

    /// Applies a complete configuration if it is newer; returns whether it was applied.
    pub fn accept(&mut self, config: Config) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }

        self.recent_changes.clear();
        self.install(config);
        true
    }

    /// Applies changes that lead to a newer revision; returns whether they were applied.
    ///
    /// A delta whose base is ahead of this process or whose result is not newer is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when the changes are invalid or the resulting digest differs.
    pub fn accept_delta(&mut self, delta: &ConfigDelta) -> Result<bool, ConfigError> {
        let target = delta.base + delta.revisions.len() as u64;
        if target <= self.config.revision || delta.base > self.config.revision {
            return Ok(false);
        }

        let applied = (self.config.revision - delta.base) as usize;
        let mut next = self.config.clone();
        for changes in &delta.revisions[applied..] {
            next = next.with_changes(changes)?;
        }
        if next.digest() != delta.digest {
            return Err(ConfigError::DigestMismatch(target));
        }

        for (index, changes) in delta.revisions.iter().enumerate().skip(applied) {
            let revision = delta.base + index as u64 + 1;
            self.recent_changes.push_back(RevisionChanges { revision, changes: changes.clone() });
        }
        self.evict_old_changes();
        self.install(next);
        Ok(true)
    }

    /// Returns the pull to send to `peer` if it has a newer revision and no pull is pending.
    pub fn on_peer_revision(&mut self, now: Time, peer: &Name, revision: u64) -> Option<Message> {
        if revision <= self.config.revision {
            return None;
        }
        let is_pending =
            self.pending_pull.as_ref().is_some_and(|pull| now.since(pull.sent) < PULL_TIMEOUT);
        if is_pending {
            return None;
        }

        self.pending_pull = Some(PendingPull { peer: peer.clone(), sent: now });
        Some(Message::ConfigPull(ConfigPull { revision: self.config.revision }))
    }

    /// Drops the pending pull if it was sent to `peer`, whose link is down.
    pub fn on_link_down(&mut self, peer: &Name) {
        if self.pending_pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.pending_pull = None;
        }
    }

    /// Drops the pending pull after a configuration message was received.
    pub fn on_pull_answered(&mut self) {
        self.pending_pull = None;
    }

    /// Returns the answer to a pull; `None` when this process has no newer revision.
    ///
    /// The answer is a delta if all changes since the peer's revision are kept, otherwise the
    /// complete configuration.
    pub fn answer_pull(&self, pull: &ConfigPull) -> Option<Message> {
        if pull.revision >= self.config.revision {
            return None;
        }

        let revisions: Vec<Vec<Change>> = self
            .recent_changes
            .iter()
            .filter(|recent| recent.revision > pull.revision)
            .map(|recent| recent.changes.clone())
            .collect();
        if revisions.len() as u64 != self.config.revision - pull.revision {
            return Some(Message::ConfigFull(ConfigFull { config: self.config.clone() }));
        }

        let digest = self.config.digest();
        Some(Message::ConfigDelta(ConfigDelta { base: pull.revision, revisions, digest }))
    }

    fn install(&mut self, config: Config) {
        self.keys = config.key_index();
        self.config = config;
        self.pending_pull = None;
    }

    fn evict_old_changes(&mut self) {
        while self.recent_changes.len() > MAX_KEPT_REVISIONS {
            self.recent_changes.pop_front();
        }
    }
}
