//! Configuration, plans and history of changes in the key-value store.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::config::{Config, ConfigError, ConfigRoot, Plan, RevisionRecord};
use sapphirespur_core::hash::sha256_hex;

use crate::platform::{Compare, Operation, PlatformError, Store};

/// Key of the root of the accepted configuration.
pub const ROOT_KEY: &str = "/sapphirespur/config/root";

/// Prefix of the keys of configuration chunks, which end in the chunk's digest.
const CHUNK_PREFIX: &str = "/sapphirespur/config/chunk/";

/// Prefix of the keys of unconfirmed plans, which end in the plan's identifier.
const PLAN_PREFIX: &str = "/sapphirespur/plan/";

/// Prefix of the keys of the history of changes, which end in the padded revision.
const RECORD_PREFIX: &str = "/sapphirespur/record/";

/// Time after which a plan that was not confirmed expires.
const PLAN_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of attempts at a swap whose outcome is unknown.
const MAX_SWAP_ATTEMPTS: u32 = 4;

/// Whether a plan was accepted or another one came first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmOutcome {
    /// The plan was accepted.
    Accepted {
        /// Revision of the configuration that the plan created.
        revision: u64,
    },
    /// Another plan was accepted after this one was created.
    Stale {
        /// Revision that is accepted now.
        revision: u64,
        /// Record of that revision; `None` when none is stored.
        record: Option<RevisionRecord>,
    },
}

/// Accepted configuration with its stored root.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    /// Stored root, which lists the chunks of the configuration.
    pub root: ConfigRoot,
    /// Store revision at which the root was last changed; zero when there is no root.
    pub mod_revision: u64,
    /// Configuration decoded from the chunks.
    pub config: Config,
}

/// Client of the configuration in the key-value store.
#[derive(Clone)]
pub struct ConfigStore {
    store: Store,
    /// Cached chunks of the last loaded configuration by digest; a chunk never changes.
    chunk_cache: Rc<RefCell<HashMap<String, Rc<[u8]>>>>,
}

impl ConfigStore {
    /// Creates a configuration client that uses `store`.
    pub fn new(store: Store) -> Self {
        Self { store, chunk_cache: Rc::default() }
    }

    /// Loads the accepted configuration, which is empty when none was ever accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails, a response is invalid, a chunk is missing, or the
    /// configuration does not match the digest in its root.
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

    /// Returns a chunk, which is read from the store only when it is not cached.
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

    /// Loads the accepted revision, which is zero when none was ever accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn load_revision(&self) -> Result<u64, PlatformError> {
        let Some(kv) = self.store.get(ROOT_KEY).await? else { return Ok(0) };
        let root: ConfigRoot = serde_json::from_slice(&kv.value)?;

        Ok(root.revision)
    }

    /// Stores a plan until it is confirmed or expires.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn save_plan(&self, plan: &Plan) -> Result<(), PlatformError> {
        let lease = self.store.grant_lease(PLAN_TTL).await?;
        let key = format!("{PLAN_PREFIX}{}", plan.id);

        self.store.put(&key, &serde_json::to_vec(plan)?, Some(lease)).await
    }

    /// Loads an unconfirmed plan; returns `None` when it expired, was confirmed or never existed.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn load_plan(&self, id: &str) -> Result<Option<Plan>, PlatformError> {
        let kv = self.store.get(&format!("{PLAN_PREFIX}{id}")).await?;

        Ok(kv.map(|kv| serde_json::from_slice(&kv.value)).transpose()?)
    }

    /// Lists the records of all revisions, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn list_records(&self) -> Result<Vec<RevisionRecord>, PlatformError> {
        let kvs = self.store.list(RECORD_PREFIX).await?;

        Ok(kvs.iter().map(|kv| serde_json::from_slice(&kv.value)).collect::<Result<_, _>>()?)
    }

    /// Loads the record of a revision; returns `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn load_record(
        &self,
        revision: u64,
    ) -> Result<Option<RevisionRecord>, PlatformError> {
        let kv = self.store.get(&record_key(revision)).await?;

        Ok(kv.map(|kv| serde_json::from_slice(&kv.value)).transpose()?)
    }

    /// Accepts a plan by one compare-and-swap of the root.
    ///
    /// `wall_s` is the wall-clock time of the confirmation, in seconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an error when the changes make the configuration invalid, a request fails or a
    /// response is invalid. After a failed request, the plan may still be accepted; call
    /// `confirm_outcome` later to find out.
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

    /// Determines from the stored records whether a plan was accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when a request fails or a response is invalid.
    pub async fn confirm_outcome(&self, plan: &Plan) -> Result<ConfirmOutcome, PlatformError> {
        let next = self.load_record(plan.base + 1).await?;
        if next.as_ref().is_some_and(|record| record.plan.id == plan.id) {
            return Ok(ConfirmOutcome::Accepted { revision: plan.base + 1 });
        }

        let revision = self.load_revision().await?;
        let record = self.load_record(revision).await?;
        Ok(ConfirmOutcome::Stale { revision, record })
    }

    /// Swaps the root and retries when the outcome is unknown.
    ///
    /// Retries are safe because each attempt compares the root's revision, so only one can take
    /// effect.
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

    /// Swaps the root, adds the record, deletes the plan and deletes obsolete chunks, all in one
    /// transaction.
    ///
    /// Returns whether it took effect, which needs an unchanged root.
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

    /// Writes the chunks that are not stored yet and returns the digests of all chunks.
    ///
    /// The chunks take effect only when the root refers to them.
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

/// Returns the keys of chunks that neither the new configuration nor its predecessor uses.
fn obsolete_chunks(before: &ConfigRoot, after: &ConfigRoot) -> impl Iterator<Item = String> {
    let used: BTreeSet<&String> = after.chunks.iter().chain(&before.chunks).collect();
    let obsolete: BTreeSet<&String> =
        before.previous.iter().filter(|digest| !used.contains(digest)).collect();

    obsolete.into_iter().map(|digest| chunk_key(digest)).collect::<Vec<_>>().into_iter()
}

fn chunk_key(digest: &str) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

/// Returns the key of a record, with the revision padded so that keys sort by it.
fn record_key(revision: u64) -> String {
    format!("{RECORD_PREFIX}{revision:020}")
}
