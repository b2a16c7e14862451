//! Spread of the configuration from process to process.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::config::{Change, Config, ConfigError};
use crate::message::{ConfigDelta, ConfigFull, ConfigPull, Message};
use crate::name::Name;
use crate::time::Time;

/// Revisions whose changes are kept for peers that are behind.
const KEPT_STEPS: usize = 64;

/// Time after which an unanswered pull is sent again, to whichever peer is ahead then.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Changes that led to one revision.
#[derive(Clone, Debug)]
struct Step {
    revision: u64,
    changes: Vec<Change>,
}

/// Pull that waits for its answer.
#[derive(Clone, Debug)]
struct Pull {
    peer: Name,
    sent: Time,
}

/// Controller of the configuration in force at one process.
///
/// The revision only grows: whatever a peer or the platform says, an older revision is ignored.
#[derive(Clone, Debug, Default)]
pub struct ConfigSync {
    config: Config,
    keys: HashMap<String, Name>,
    steps: VecDeque<Step>,
    pull: Option<Pull>,
}

impl ConfigSync {
    /// Returns the configuration in force; revision zero before one is known.
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

    /// Takes a whole configuration when it is newer, and tells whether it was.
    pub fn accept(&mut self, config: Config) -> bool {
        if config.revision <= self.config.revision {
            return false;
        }

        self.steps.clear();
        self.install(config);
        true
    }

    /// Takes the changes that led from `base` to a newer revision, and tells whether it did.
    ///
    /// # Errors
    ///
    /// Returns an error when the changes do not apply or lead to another digest.
    pub fn accept_delta(&mut self, delta: &ConfigDelta) -> Result<bool, ConfigError> {
        let target = delta.base + delta.steps.len() as u64;
        if target <= self.config.revision || delta.base > self.config.revision {
            return Ok(false);
        }

        let known = (self.config.revision - delta.base) as usize;
        let mut next = self.config.clone();
        for changes in &delta.steps[known..] {
            next = next.with_changes(changes)?;
        }
        if next.digest() != delta.digest {
            return Err(ConfigError::DigestMismatch(target));
        }

        for (index, changes) in delta.steps.iter().enumerate().skip(known) {
            let revision = delta.base + index as u64 + 1;
            self.steps.push_back(Step { revision, changes: changes.clone() });
        }
        self.trim();
        self.install(next);
        Ok(true)
    }

    /// Returns the pull to send when `peer` has a newer revision and no pull is under way.
    pub fn on_peer_revision(&mut self, now: Time, peer: &Name, revision: u64) -> Option<Message> {
        if revision <= self.config.revision {
            return None;
        }
        let waiting = self.pull.as_ref().is_some_and(|pull| now.since(pull.sent) < PULL_TIMEOUT);
        if waiting {
            return None;
        }

        self.pull = Some(Pull { peer: peer.clone(), sent: now });
        Some(Message::ConfigPull(ConfigPull { revision: self.config.revision }))
    }

    /// Forgets the pull that was sent to `peer`, whose link ended.
    pub fn on_link_down(&mut self, peer: &Name) {
        if self.pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.pull = None;
        }
    }

    /// Forgets the pull that a configuration message answers.
    pub fn on_pull_answered(&mut self) {
        self.pull = None;
    }

    /// Returns the answer to a pull, when this process is ahead.
    pub fn answer_pull(&self, pull: &ConfigPull) -> Option<Message> {
        if pull.revision >= self.config.revision {
            return None;
        }

        let steps: Vec<Vec<Change>> = self
            .steps
            .iter()
            .filter(|step| step.revision > pull.revision)
            .map(|step| step.changes.clone())
            .collect();
        if steps.len() as u64 != self.config.revision - pull.revision {
            return Some(Message::ConfigFull(ConfigFull { config: self.config.clone() }));
        }

        let digest = self.config.digest();
        Some(Message::ConfigDelta(ConfigDelta { base: pull.revision, steps, digest }))
    }

    fn install(&mut self, config: Config) {
        self.keys = config.key_index();
        self.config = config;
        self.pull = None;
    }

    fn trim(&mut self) {
        while self.steps.len() > KEPT_STEPS {
            self.steps.pop_front();
        }
    }
}
