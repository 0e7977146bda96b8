//! Store client for the JSON gateway of etcd v3.

use super::{
    CallCounter, Condition, Store, StoreCalls, StoreError, StoreResult, Versioned, WriteOutcome,
};
use crate::http_client::{ReadLimits, pooled_client, proves_unsent, read_response_body};
use awc::Client;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures::StreamExt as _;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum wait for a response to begin, and then for each further part of it, so that a slow store
/// does not block its callers.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a watch stays open before it is renewed.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits on reading a response; the largest one takes 6.7 s over a 10 Mbit/s link.
const RESPONSE_LIMITS: ReadLimits = ReadLimits {
    idle_timeout: CALL_TIMEOUT,
    total_timeout: Duration::from_secs(10),
    max_bytes: 8 * 1024 * 1024,
};

/// Store that is accessed over HTTP.
pub struct EtcdStore {
    client: Client,
    address: SocketAddr,
    counter: CallCounter,
}

impl std::fmt::Debug for EtcdStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EtcdStore")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Key and value in the gateway's format: bytes in base64, numbers as strings.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    #[serde(default)]
    pub value: String,
    /// Revision of the key's last write.
    #[serde(default)]
    pub mod_revision: String,
}

/// Request for a range of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key in base64.
    pub key: String,
    /// The exclusive end of the range in base64; absent for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
    /// Maximum number of keys; zero means no limit.
    #[serde(default)]
    pub limit: String,
}

/// Response with a range of keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The keys found.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Request to write a key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
}

/// Comparison in a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Compare {
    /// The key in base64.
    pub key: String,
    /// The property to compare; always `MOD` here.
    pub target: String,
    /// The comparison operator; always `EQUAL` here.
    pub result: String,
    /// Expected revision of the last write; zero means that the key is absent.
    pub mod_revision: String,
}

/// Operation in a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Operation {
    /// Reads keys.
    RequestRange(RangeRequest),
    /// Writes a key.
    RequestPut(PutRequest),
}

/// Transaction that runs one of two lists of operations, depending on comparisons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnRequest {
    /// The comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to run if the comparisons hold.
    pub success: Vec<Operation>,
    /// Operations to run otherwise.
    pub failure: Vec<Operation>,
}

/// Response to one operation of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OperationResponse {
    /// The result of a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Response to a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Whether the comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// The responses to the operations.
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

/// Request to open a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The key to watch.
    pub create_request: WatchCreate,
}

/// Parameters of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchCreate {
    /// The key in base64.
    pub key: String,
    /// The first revision to report.
    pub start_revision: String,
}

/// One line of a watch's response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchLine {
    /// The events.
    pub result: WatchResult,
}

/// Events in one line of a watch's response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WatchResult {
    /// Whether the line only confirms that the watch is open.
    #[serde(default)]
    pub created: bool,
    /// The events.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Event of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key after the event.
    pub kv: KeyValue,
}

/// Encodes bytes in the gateway's format.
pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

/// Decodes bytes in the gateway's format.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64.decode(text).ok()
}

impl KeyValue {
    fn into_versioned(self) -> Option<(String, Versioned)> {
        let key = String::from_utf8(decode(&self.key)?).ok()?;
        let revision = self.mod_revision.parse().ok()?;
        Some((
            key,
            Versioned {
                value: decode(&self.value)?,
                revision,
            },
        ))
    }
}

impl RangeResponse {
    fn into_first(self) -> Option<Versioned> {
        self.kvs
            .into_iter()
            .find_map(KeyValue::into_versioned)
            .map(|(_, found)| found)
    }
}

impl EtcdStore {
    /// Creates a client for the gateway at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: pooled_client(),
            address,
            counter: CallCounter::default(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn call<Request, Response>(&self, path: &str, query: &Request) -> StoreResult<Response>
    where
        Request: Serialize,
        Response: serde::de::DeserializeOwned,
    {
        let request = self.client.post(self.url(path)).timeout(CALL_TIMEOUT);
        let mut res = request.send_json(query).await.map_err(|err| {
            if proves_unsent(&err) {
                StoreError::Unreachable(err.to_string())
            } else {
                StoreError::AnswerLost(err.to_string())
            }
        })?;
        let body = read_response_body(&mut res, RESPONSE_LIMITS)
            .await
            .map_err(StoreError::AnswerLost)?;
        if !res.status().is_success() {
            return Err(StoreError::AnswerLost(format!(
                "unexpected status {}",
                res.status()
            )));
        }
        serde_json::from_slice(&body).map_err(|err| StoreError::AnswerLost(err.to_string()))
    }

    async fn range(&self, query: RangeRequest) -> StoreResult<RangeResponse> {
        self.counter.count(|calls| calls.reads += 1);
        self.call("/v3/kv/range", &query).await
    }

    async fn watch_until_change(&self, key: &str, after: u64) -> StoreResult<()> {
        self.counter.count(|calls| calls.watches += 1);
        let create_request = WatchCreate {
            key: encode(key),
            start_revision: (after + 1).to_string(),
        };
        let request = self
            .client
            .post(self.url("/v3/watch"))
            .timeout(CALL_TIMEOUT);
        let mut res = request
            .send_json(&WatchRequest { create_request })
            .await
            .map_err(|err| StoreError::Unreachable(err.to_string()))?;
        let mut line = Vec::new();
        while let Some(chunk) = res.next().await {
            let chunk = chunk.map_err(|err| StoreError::AnswerLost(err.to_string()))?;
            line.extend_from_slice(&chunk);
            while let Some(end) = line.iter().position(|byte| *byte == b'\n') {
                let rest = line.split_off(end + 1);
                let event: Option<WatchLine> = serde_json::from_slice(&line).ok();
                if event.is_some_and(|line| !line.result.events.is_empty()) {
                    return Ok(());
                }
                line = rest;
            }
        }
        Ok(())
    }
}

/// Returns the exclusive end of the range of keys with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl Store for EtcdStore {
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Versioned>>> {
        Box::pin(async move {
            let query = RangeRequest {
                key: encode(key),
                range_end: None,
                limit: "1".to_owned(),
            };
            Ok(self.range(query).await?.into_first())
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, StoreResult<Vec<(String, Versioned)>>> {
        Box::pin(async move {
            let first_key = if after.is_empty() {
                prefix.to_owned()
            } else {
                format!("{after}\0")
            };
            let range_end = Some(encode(prefix_end(prefix)));
            let query = RangeRequest {
                key: encode(first_key),
                range_end,
                limit: limit.to_string(),
            };
            let found = self.range(query).await?;
            Ok(found
                .kvs
                .into_iter()
                .filter_map(KeyValue::into_versioned)
                .collect())
        })
    }

    fn write_if<'a>(
        &'a self,
        key: &'a str,
        condition: Condition,
        value: &'a [u8],
    ) -> LocalBoxFuture<'a, StoreResult<WriteOutcome>> {
        Box::pin(async move {
            self.counter.count(|calls| calls.writes += 1);
            let expected = match condition {
                Condition::Absent => 0,
                Condition::Revision(revision) => revision,
            };
            let key = encode(key);
            let compare = Compare {
                key: key.clone(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: expected.to_string(),
            };
            let put = PutRequest {
                key: key.clone(),
                value: encode(value),
            };
            let range = RangeRequest {
                key,
                range_end: None,
                limit: "1".to_owned(),
            };
            let txn = TxnRequest {
                compare: vec![compare],
                success: vec![Operation::RequestPut(put)],
                failure: vec![Operation::RequestRange(range)],
            };
            let response: TxnResponse = self.call("/v3/kv/txn", &txn).await?;
            if response.succeeded {
                return Ok(WriteOutcome::Written);
            }
            let found = response
                .responses
                .into_iter()
                .find_map(|operation| operation.response_range);
            Ok(WriteOutcome::Conflict(
                found.and_then(RangeResponse::into_first),
            ))
        })
    }

    fn wait_for_change<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, StoreResult<()>> {
        Box::pin(async move {
            match tokio::time::timeout(WATCH_TIMEOUT, self.watch_until_change(key, after)).await {
                Ok(outcome) => outcome,
                Err(_) => Ok(()),
            }
        })
    }

    fn calls(&self) -> StoreCalls {
        self.counter.get()
    }
}
