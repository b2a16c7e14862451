//! Keys, leases and transactions of the key-value store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Map, Value, json};

/// Value of a key with its revisions and lease.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Value as raw bytes.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub create_revision: u64,
    /// Revision at which the key was last changed.
    pub mod_revision: u64,
    /// Identifier of the lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// Contents of the key-value store.
#[derive(Debug, Default)]
pub struct KvStore {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Entry>,
    /// Expiry of each lease by its identifier.
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
}

impl KvStore {
    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Removes the keys whose lease has expired.
    pub fn expire(&mut self, now: Instant) {
        let leases = &self.leases;
        let is_live = |entry: &Entry| {
            entry.lease == 0 || leases.get(&entry.lease).is_some_and(|expiry| *expiry > now)
        };
        let before = self.keys.len();
        self.keys.retain(|_, entry| is_live(entry));
        if self.keys.len() != before {
            self.revision += 1;
        }
    }

    /// Grants a lease of `ttl_s` seconds and returns its identifier.
    pub fn grant_lease(&mut self, now: Instant, ttl_s: u64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, now + Duration::from_secs(ttl_s));
        self.next_lease
    }

    /// Renews a lease for `ttl_s` seconds; returns false when it is unknown or expired.
    pub fn keep_lease_alive(&mut self, now: Instant, lease: u64, ttl_s: u64) -> bool {
        match self.leases.get_mut(&lease) {
            Some(expiry) if *expiry > now => {
                *expiry = now + Duration::from_secs(ttl_s);
                true
            }
            _ => false,
        }
    }

    /// Revokes a lease and removes its keys.
    pub fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.keys.retain(|_, entry| entry.lease != lease);
        self.revision += 1;
    }

    /// Returns the response to a range request.
    pub fn range(&self, request: &Value) -> Value {
        let kvs: Vec<Value> = self
            .select(request)
            .map(|(key, entry)| {
                json!({
                    "key": STANDARD.encode(key),
                    "value": STANDARD.encode(&entry.value),
                    "create_revision": entry.create_revision.to_string(),
                    "mod_revision": entry.mod_revision.to_string(),
                })
            })
            .collect();

        let count = kvs.len().to_string();
        json!({ "header": self.response_header(), "kvs": kvs, "count": count })
    }

    /// Executes a put request as a transaction of its own.
    pub fn put(&mut self, request: &Value) -> Value {
        self.revision += 1;
        self.apply_put(request);
        json!({ "header": self.response_header() })
    }

    /// Executes a delete request as a transaction of its own.
    pub fn delete(&mut self, request: &Value) -> Value {
        self.revision += 1;
        let deleted = self.remove_keys(request);
        json!({ "header": self.response_header(), "deleted": deleted.to_string() })
    }

    /// Executes a transaction; all its changes get the same revision.
    pub fn txn(&mut self, request: &Value) -> Value {
        self.revision += 1;
        let mut response = self.run_txn(request);
        response.insert("header".to_owned(), self.response_header());
        Value::Object(response)
    }

    /// Executes the branch of a transaction that its comparisons select.
    fn run_txn(&mut self, request: &Value) -> Map<String, Value> {
        let compares = request["compare"].as_array().cloned().unwrap_or_default();
        let succeeded = compares.iter().all(|compare| self.compare_holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = request[branch].as_array().cloned().unwrap_or_default();

        let responses: Vec<Value> =
            operations.iter().map(|operation| self.run_operation(operation)).collect();
        let mut response = Map::new();
        response.insert("succeeded".to_owned(), json!(succeeded));
        response.insert("responses".to_owned(), json!(responses));
        response
    }

    fn run_operation(&mut self, operation: &Value) -> Value {
        if operation["request_put"].is_object() {
            self.apply_put(&operation["request_put"]);
            return json!({ "response_put": {} });
        }
        if operation["request_delete_range"].is_object() {
            let deleted = self.remove_keys(&operation["request_delete_range"]);
            return json!({ "response_delete_range": { "deleted": deleted.to_string() } });
        }
        if operation["request_txn"].is_object() {
            return json!({ "response_txn": self.run_txn(&operation["request_txn"]) });
        }
        json!({ "response_range": self.range(&operation["request_range"]) })
    }

    /// Evaluates a comparison, always for equality; an absent key has revision 0.
    fn compare_holds(&self, compare: &Value) -> bool {
        let entry = self.keys.get(&decode_base64(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                entry.map_or(0, |entry| entry.create_revision)
                    == parse_number(&compare["create_revision"])
            }
            Some("MOD") => {
                entry.map_or(0, |entry| entry.mod_revision)
                    == parse_number(&compare["mod_revision"])
            }
            Some("VALUE") => {
                entry.is_some_and(|entry| entry.value == decode_base64(&compare["value"]))
            }
            _ => false,
        }
    }

    /// Writes a key at the current revision.
    fn apply_put(&mut self, request: &Value) {
        let key = decode_base64(&request["key"]);
        let create_revision =
            self.keys.get(&key).map_or(self.revision, |entry| entry.create_revision);
        let entry = Entry {
            value: decode_base64(&request["value"]),
            create_revision,
            mod_revision: self.revision,
            lease: parse_number(&request["lease"]),
        };
        self.keys.insert(key, entry);
    }

    /// Removes the keys in the range of a request and returns their number.
    fn remove_keys(&mut self, request: &Value) -> usize {
        let keys: Vec<Vec<u8>> = self.select(request).map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.keys.remove(key);
        }
        keys.len()
    }

    /// Returns the entries in the range of a request: `key` alone, or from `key` up to before
    /// `range_end`.
    fn select<'a>(&'a self, request: &Value) -> impl Iterator<Item = (&'a Vec<u8>, &'a Entry)> {
        let first = decode_base64(&request["key"]);
        let end = decode_base64(&request["range_end"]);
        let is_single = end.is_empty();
        self.keys
            .range(first.clone()..)
            .take_while(move |(key, _)| if is_single { **key == first } else { **key < end })
    }

    fn response_header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }
}

/// Decodes base64; returns no bytes when the value is not a base64 string.
pub(super) fn decode_base64(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Parses a number that is written as a string or a JSON number; returns 0 for anything else.
pub(super) fn parse_number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64()).unwrap_or(0)
}
