//! Configuration and record of changes in the key-value service.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::config::{Config, ConfigError, ConfigRoot, Plan, RevisionRecord};
use sapphirespur_core::hash::sha256_hex;

use crate::platform::{Compare, Operation, PlatformError, Store};

/// Key of the head of the configuration.
pub const ROOT_KEY: &str = "/sapphirespur/config/root";

/// Prefix of the chunks of the configuration.
const CHUNK_PREFIX: &str = "/sapphirespur/config/chunk/";

/// Prefix of the plans.
const PLAN_PREFIX: &str = "/sapphirespur/plan/";

/// Prefix of the record of changes.
const RECORD_PREFIX: &str = "/sapphirespur/record/";

/// Time for which a plan can be confirmed.
const PLAN_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Times that a swap without an answer is tried.
const MAX_SWAP_ATTEMPTS: u32 = 4;

/// What a confirmation led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmOutcome {
    /// The plan is accepted.
    Accepted {
        /// Revision that it led to.
        revision: u64,
    },
    /// Another plan was accepted since this one was made.
    Stale {
        /// Revision that is accepted.
        revision: u64,
        /// Record of that revision, when it is there.
        by: Option<RevisionRecord>,
    },
}

/// Accepted configuration with its head as stored.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    /// Head.
    pub root: ConfigRoot,
    /// Revision of the service at which the head was changed; zero when there is none.
    pub mod_revision: u64,
    /// Configuration.
    pub config: Config,
}

/// Configuration in the key-value service.
#[derive(Clone)]
pub struct ConfigStore {
    store: Store,
    /// Chunks of the configuration that was loaded last; they never change.
    chunk_cache: Rc<RefCell<HashMap<String, Rc<[u8]>>>>,
}

impl ConfigStore {
    /// Creates a client over `store`.
    pub fn new(store: Store) -> Self {
        Self { store, chunk_cache: Rc::default() }
    }

    /// Returns the accepted configuration; an empty one when none was ever accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer or the parts do not fit.
    pub async fn load(&self) -> Result<StoredConfig, PlatformError> {
        let Some(kv) = self.store.get(ROOT_KEY).await? else {
            let (root, config) = (ConfigRoot::default(), Config::default());
            return Ok(StoredConfig { root, mod_revision: 0, config });
        };

        let root: ConfigRoot = serde_json::from_slice(&kv.value)?;
        let mut chunks = Vec::with_capacity(root.chunks.len());
        for digest in &root.chunks {
            chunks.push(self.load_chunk(digest).await?);
        }
        let config = Config::from_chunks(chunks.iter().map(Rc::as_ref))?;
        self.chunk_cache.borrow_mut().retain(|digest, _| root.chunks.contains(digest));
        if config.digest() != root.digest {
            return Err(ConfigError::DigestMismatch(root.revision).into());
        }

        Ok(StoredConfig { root, mod_revision: kv.mod_revision, config })
    }

    /// Returns a chunk; one that was loaded before is not read again.
    async fn load_chunk(&self, digest: &str) -> Result<Rc<[u8]>, PlatformError> {
        if let Some(chunk) = self.chunk_cache.borrow().get(digest) {
            return Ok(chunk.clone());
        }

        let chunk = self.store.get(&chunk_key(digest)).await?;
        let chunk = chunk.ok_or_else(|| PlatformError::MissingChunk(digest.to_owned()))?;
        let chunk: Rc<[u8]> = chunk.value.into();
        self.chunk_cache.borrow_mut().insert(digest.to_owned(), chunk.clone());
        Ok(chunk)
    }

    /// Returns the accepted revision, zero when none was ever accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn load_revision(&self) -> Result<u64, PlatformError> {
        let Some(kv) = self.store.get(ROOT_KEY).await? else { return Ok(0) };
        let root: ConfigRoot = serde_json::from_slice(&kv.value)?;

        Ok(root.revision)
    }

    /// Keeps a plan until it is confirmed or expires.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn save_plan(&self, plan: &Plan) -> Result<(), PlatformError> {
        let lease = self.store.grant_lease(PLAN_TTL).await?;
        let key = format!("{PLAN_PREFIX}{}", plan.id);

        self.store.put(&key, &serde_json::to_vec(plan)?, Some(lease)).await
    }

    /// Returns a plan that can be confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn load_plan(&self, id: &str) -> Result<Option<Plan>, PlatformError> {
        let kv = self.store.get(&format!("{PLAN_PREFIX}{id}")).await?;

        Ok(kv.map(|kv| serde_json::from_slice(&kv.value)).transpose()?)
    }

    /// Returns the record of changes, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn list_records(&self) -> Result<Vec<RevisionRecord>, PlatformError> {
        let kvs = self.store.list(RECORD_PREFIX).await?;

        Ok(kvs.iter().map(|kv| serde_json::from_slice(&kv.value)).collect::<Result<_, _>>()?)
    }

    /// Returns the record of one revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn load_record(
        &self,
        revision: u64,
    ) -> Result<Option<RevisionRecord>, PlatformError> {
        let kv = self.store.get(&record_key(revision)).await?;

        Ok(kv.map(|kv| serde_json::from_slice(&kv.value)).transpose()?)
    }

    /// Accepts a plan by one compare-and-swap of the head.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer, in which case `confirm_outcome` tells
    /// later what is in force, or when the changes break a rule.
    pub async fn confirm(
        &self,
        plan: &Plan,
        operator: &str,
        wall_s: u64,
    ) -> Result<ConfirmOutcome, PlatformError> {
        let stored = self.load().await?;
        if stored.root.revision != plan.base {
            return self.confirm_outcome(plan).await;
        }

        let config = stored.config.with_changes(&plan.changes)?;
        let chunks = self.write_chunks(&stored.root, &config).await?;
        let record = RevisionRecord {
            revision: config.revision,
            confirmed_by: operator.to_owned(),
            confirmed_s: wall_s,
            plan: plan.clone(),
        };
        let root = ConfigRoot {
            revision: config.revision,
            plan: plan.id.clone(),
            digest: config.digest(),
            chunks,
            previous: stored.root.chunks.clone(),
        };

        self.swap_with_retries(&stored, &root, &record).await?;
        self.confirm_outcome(plan).await
    }

    /// Tells whether a plan was accepted, from what is stored.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no proper answer.
    pub async fn confirm_outcome(&self, plan: &Plan) -> Result<ConfirmOutcome, PlatformError> {
        let next = self.load_record(plan.base + 1).await?;
        if next.as_ref().is_some_and(|record| record.plan.id == plan.id) {
            return Ok(ConfirmOutcome::Accepted { revision: plan.base + 1 });
        }

        let revision = self.load_revision().await?;
        let by = self.load_record(revision).await?;
        Ok(ConfirmOutcome::Stale { revision, by })
    }

    /// Swaps the head; after a lost answer it swaps again, which can take effect only once.
    async fn swap_with_retries(
        &self,
        stored: &StoredConfig,
        root: &ConfigRoot,
        record: &RevisionRecord,
    ) -> Result<(), PlatformError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.swap_root(stored, root, record).await {
                Ok(_) => return Ok(()),
                Err(e) if e.may_have_taken_effect() && attempts < MAX_SWAP_ATTEMPTS => {}
                Err(e) => return Err(e),
            }
        }
    }

    async fn swap_root(
        &self,
        stored: &StoredConfig,
        root: &ConfigRoot,
        record: &RevisionRecord,
    ) -> Result<bool, PlatformError> {
        let key = ROOT_KEY.to_owned();
        let compare = match stored.mod_revision {
            0 => Compare::Absent(key),
            mod_revision => Compare::Unchanged { key, mod_revision },
        };
        let mut operations = vec![
            Operation::Put { key: ROOT_KEY.to_owned(), value: serde_json::to_vec(root)? },
            Operation::Put { key: record_key(record.revision), value: serde_json::to_vec(record)? },
            Operation::Delete(format!("{PLAN_PREFIX}{}", record.plan.id)),
        ];
        operations.extend(obsolete_chunks(&stored.root, root).map(Operation::Delete));

        Ok(self.store.txn(&[compare], &operations, &[]).await?.succeeded)
    }

    /// Writes the chunks that are not stored yet; they take effect only with the head.
    async fn write_chunks(
        &self,
        before: &ConfigRoot,
        config: &Config,
    ) -> Result<Vec<String>, PlatformError> {
        let mut digests = Vec::new();
        for chunk in config.to_chunks() {
            let digest = sha256_hex(&chunk);
            if !before.chunks.contains(&digest) {
                self.store.put(&chunk_key(&digest), &chunk, None).await?;
            }
            digests.push(digest);
        }

        Ok(digests)
    }
}

/// Returns the keys of chunks that neither the new configuration nor the one before needs.
fn obsolete_chunks(before: &ConfigRoot, after: &ConfigRoot) -> impl Iterator<Item = String> {
    let used: BTreeSet<&String> = after.chunks.iter().chain(&before.chunks).collect();
    let obsolete: BTreeSet<&String> =
        before.previous.iter().filter(|digest| !used.contains(digest)).collect();

    obsolete.into_iter().map(|digest| chunk_key(digest)).collect::<Vec<_>>().into_iter()
}

fn chunk_key(digest: &str) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

/// Returns the key of a record, padded so that keys sort by revision.
fn record_key(revision: u64) -> String {
    format!("{RECORD_PREFIX}{revision:020}")
}
