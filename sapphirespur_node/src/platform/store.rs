//! Client of the key-value store, over the JSON gateway of etcd v3.

use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::error::PayloadError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use serde_json::{Value, json};

use crate::metrics::Metrics;
use crate::platform::{Compare, KeyValue, Operation, PlatformError, Response, TxnOutcome};

/// Timeout of a request to the key-value store.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Client of the key-value store, which counts its requests in the metrics.
#[derive(Clone)]
pub struct Store {
    base_url: String,
    client: Client,
    metrics: Option<Rc<Metrics>>,
}

impl Store {
    /// Creates a client for the gateway at `base_url`; requests are not counted without `metrics`.
    pub fn new(base_url: &str, metrics: Option<Rc<Metrics>>) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();

        Self { base_url: base_url.to_owned(), client, metrics }
    }

    /// Reads a key; returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let response = self.call("kv/range", &json!({ "key": encode(key.as_bytes()) })).await?;

        Ok(decode_kvs(&response)?.into_iter().next())
    }

    /// Reads the keys that start with `prefix`, in ascending order.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, PlatformError> {
        let request = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
        });

        decode_kvs(&self.call("kv/range", &request).await?)
    }

    /// Writes a value; with a `lease`, the key is deleted when the lease expires.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid; the write may still
    /// take effect.
    pub async fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<u64>,
    ) -> Result<(), PlatformError> {
        let request = json!({
            "key": encode(key.as_bytes()),
            "value": encode(value),
            "lease": lease.unwrap_or(0).to_string(),
        });

        self.call("kv/put", &request).await?;
        Ok(())
    }

    /// Deletes the keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid; the deletion may still
    /// take effect.
    pub async fn delete_prefix(&self, prefix: &str) -> Result<(), PlatformError> {
        let request = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
        });

        self.call("kv/deleterange", &request).await?;
        Ok(())
    }

    /// Requests a lease that expires after `ttl` and returns its identifier.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, PlatformError> {
        let request = json!({ "TTL": ttl.as_secs().to_string(), "ID": "0" });
        let response = self.call("lease/grant", &request).await?;

        Ok(decode_number(&response["ID"]))
    }

    /// Runs a transaction: `success` when all conditions in `compare` hold, `failure` otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid; the writes may still
    /// take effect.
    pub async fn txn(
        &self,
        compare: &[Compare],
        success: &[Operation],
        failure: &[Operation],
    ) -> Result<TxnOutcome, PlatformError> {
        let request = encode_txn(compare, success, failure);
        let response = self.call("kv/txn", &request).await?;

        decode_txn(&response, decode_number(&response["header"]["revision"]))
    }

    /// Watches a key; the stream yields each chunk of the gateway's response as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the platform rejects the watch.
    pub async fn watch(
        &self,
        key: &str,
    ) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + use<>, PlatformError> {
        self.record_request("watch");
        let request = json!({ "create_request": { "key": encode(key.as_bytes()) } });
        let response =
            self.client.post(format!("{}/v3/watch", self.base_url)).send_json(&request).await?;
        if !response.status().is_success() {
            return Err(PlatformError::Status(response.status().as_u16()));
        }

        // A watch has no end, so its response must not time out.
        Ok(response.timeout(Duration::from_secs(u64::from(u32::MAX))).fuse())
    }

    /// Sends a request to a method of the gateway and returns the decoded response.
    async fn call(&self, method: &str, request: &Value) -> Result<Value, PlatformError> {
        self.record_request(method);
        let mut response =
            self.client.post(format!("{}/v3/{method}", self.base_url)).send_json(request).await?;
        if !response.status().is_success() {
            return Err(PlatformError::Status(response.status().as_u16()));
        }

        let body = response.body().limit(MAX_RESPONSE_BYTES).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    fn record_request(&self, kind: &str) {
        if let Some(metrics) = &self.metrics {
            metrics.on_platform_call(kind);
        }
    }
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the smallest key that is greater than all keys with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }

    end
}

fn encode_txn(compare: &[Compare], success: &[Operation], failure: &[Operation]) -> Value {
    json!({
        "compare": compare.iter().map(encode_compare).collect::<Vec<_>>(),
        "success": success.iter().map(encode_operation).collect::<Vec<_>>(),
        "failure": failure.iter().map(encode_operation).collect::<Vec<_>>(),
    })
}

fn encode_compare(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => json!({
            "key": encode(key.as_bytes()),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": "0",
        }),
        Compare::Unchanged { key, mod_revision } => json!({
            "key": encode(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": mod_revision.to_string(),
        }),
    }
}

fn encode_operation(operation: &Operation) -> Value {
    match operation {
        Operation::Put { key, value } => json!({
            "request_put": { "key": encode(key.as_bytes()), "value": encode(value) },
        }),
        Operation::Get(key) => json!({ "request_range": { "key": encode(key.as_bytes()) } }),
        Operation::Delete(key) => {
            json!({ "request_delete_range": { "key": encode(key.as_bytes()) } })
        }
        Operation::Txn { compare, success, failure } => {
            json!({ "request_txn": encode_txn(compare, success, failure) })
        }
    }
}

/// Decodes a number, zero when it is absent; the gateway encodes 64-bit numbers as strings.
fn decode_number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64()).unwrap_or(0)
}

fn decode_bytes(value: &Value) -> Result<Vec<u8>, PlatformError> {
    Ok(STANDARD.decode(value.as_str().unwrap_or_default())?)
}

fn decode_kvs(response: &Value) -> Result<Vec<KeyValue>, PlatformError> {
    let Some(kvs) = response["kvs"].as_array() else { return Ok(Vec::new()) };

    kvs.iter()
        .map(|kv| {
            Ok(KeyValue {
                key: String::from_utf8_lossy(&decode_bytes(&kv["key"])?).into_owned(),
                value: decode_bytes(&kv["value"])?,
                mod_revision: decode_number(&kv["mod_revision"]),
            })
        })
        .collect()
}

fn decode_txn(txn: &Value, revision: u64) -> Result<TxnOutcome, PlatformError> {
    let responses = txn["responses"]
        .as_array()
        .map_or(&[][..], Vec::as_slice)
        .iter()
        .map(|response| {
            if response["response_range"].is_object() {
                return Ok(Response::Found(decode_kvs(&response["response_range"])?));
            }
            if response["response_txn"].is_object() {
                return Ok(Response::Txn(decode_txn(&response["response_txn"], revision)?));
            }
            Ok(Response::Done)
        })
        .collect::<Result<_, PlatformError>>()?;

    let succeeded = txn["succeeded"].as_bool().unwrap_or(false);
    Ok(TxnOutcome { succeeded, revision, responses })
}
