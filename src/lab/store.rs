//! A stand-in for the platform's key-value service with the API of the etcd v3 JSON gateway.
//!
//! `POST /lab/faults` makes it refuse calls, drop the answers of writes that took effect, or
//! delay answers.

use super::server::{StandIn, json_response, sleep_ms, text_response};
use crate::store::etcd::{
    Compare, KeyValue, Operation, OperationResponse, PutRequest, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchEvent, WatchLine, WatchRequest, WatchResult, decode, encode,
};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::broadcast;
use tokio::time::sleep;

const EVENT_QUEUE_CAPACITY: usize = 1024;
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(4);

/// Faults injected into the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether every call is refused with status 503.
    pub down: bool,
    /// How many of the next writes take effect without being answered in time.
    pub lose_answers: u32,
    /// Milliseconds by which every answer is delayed.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    values: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    faults: StoreFaults,
}

/// The key-value service stand-in.
#[derive(Debug)]
pub struct StoreStandIn {
    state: Mutex<State>,
    events: broadcast::Sender<KeyValue>,
}

impl Default for StoreStandIn {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            events: broadcast::channel(EVENT_QUEUE_CAPACITY).0,
        }
    }
}

impl State {
    fn range(&self, query: &RangeRequest) -> RangeResponse {
        let first = decode(&query.key).unwrap_or_default();
        let end = query.range_end.as_deref().and_then(decode);
        let limit = query.limit.parse::<usize>().ok().filter(|limit| *limit > 0);
        let kvs = match end {
            None => self
                .values
                .get_key_value(&first)
                .into_iter()
                .map(key_value)
                .collect(),
            Some(end) if end <= first => Vec::new(),
            Some(end) => {
                let found = self.values.range(first..end).map(key_value);
                found.take(limit.unwrap_or(usize::MAX)).collect()
            }
        };
        RangeResponse { kvs }
    }

    fn put(&mut self, put: &PutRequest) -> KeyValue {
        self.revision += 1;
        let key = decode(&put.key).unwrap_or_default();
        let value = decode(&put.value).unwrap_or_default();
        self.values.insert(key, (value, self.revision));
        KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            mod_revision: self.revision.to_string(),
        }
    }

    fn matches(&self, compare: &Compare) -> bool {
        let key = decode(&compare.key).unwrap_or_default();
        let revision = self.values.get(&key).map_or(0, |(_, revision)| *revision);
        compare.mod_revision == revision.to_string()
    }
}

fn key_value((key, (value, revision)): (&Vec<u8>, &(Vec<u8>, u64))) -> KeyValue {
    KeyValue {
        key: encode(key),
        value: encode(value),
        mod_revision: revision.to_string(),
    }
}

impl StoreStandIn {
    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.with_state(|state| state.faults = faults);
    }

    /// Writes a key directly, bypassing the HTTP API.
    pub fn write(&self, key: &str, value: &[u8]) {
        let put = PutRequest {
            key: encode(key),
            value: encode(value),
        };
        let event = self.with_state(|state| state.put(&put));
        let _ = self.events.send(event);
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn txn(&self, txn: &TxnRequest) -> (TxnResponse, bool) {
        let (response, written, is_answer_lost) = self.with_state(|state| {
            let succeeded = txn.compare.iter().all(|compare| state.matches(compare));
            let operations = if succeeded {
                &txn.success
            } else {
                &txn.failure
            };
            let mut responses = Vec::new();
            let mut written = Vec::new();
            for operation in operations {
                let response_range = match operation {
                    Operation::RequestRange(query) => Some(state.range(query)),
                    Operation::RequestPut(put) => {
                        written.push(state.put(put));
                        None
                    }
                };
                responses.push(OperationResponse { response_range });
            }
            let is_answer_lost = !written.is_empty() && state.faults.lose_answers > 0;
            if is_answer_lost {
                state.faults.lose_answers -= 1;
            }
            (
                TxnResponse {
                    succeeded,
                    responses,
                },
                written,
                is_answer_lost,
            )
        });
        for event in written {
            // Sending fails when there are no watchers.
            let _ = self.events.send(event);
        }
        (response, is_answer_lost)
    }

    fn watch(self: Arc<Self>, watch: &WatchRequest) -> Response<BoxBody> {
        let key = watch.create_request.key.clone();
        let start = watch
            .create_request
            .start_revision
            .parse::<u64>()
            .unwrap_or(0);
        let events = self.events.subscribe();
        let query = RangeRequest {
            key: key.clone(),
            range_end: None,
            limit: String::new(),
        };
        let present = self.with_state(|state| state.range(&query)).kvs;
        let missed = present.into_iter().find(|found| {
            found
                .mod_revision
                .parse::<u64>()
                .is_ok_and(|revision| revision >= start)
        });
        let created = WatchResult {
            created: true,
            events: Vec::new(),
        };
        let first = [Some(watch_line(created)), missed.map(event_line)]
            .into_iter()
            .flatten();
        let later = stream::unfold(events, move |mut events| {
            let key = key.clone();
            async move {
                let event = next_event(&mut events, &key).await?;
                Some((Ok::<_, Infallible>(event_line(event)), events))
            }
        });
        let first = stream::iter(first.map(Ok::<_, Infallible>));
        let body = BodyStream::new(first.chain(Box::pin(later)));
        Response::build(StatusCode::OK)
            .body(body)
            .map_into_boxed_body()
    }
}

async fn next_event(events: &mut broadcast::Receiver<KeyValue>, key: &str) -> Option<KeyValue> {
    loop {
        match events.recv().await {
            Ok(event) if event.key == key => return Some(event),
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return None,
        }
    }
}

fn watch_line(result: WatchResult) -> Bytes {
    let mut watch_line = serde_json::to_vec(&WatchLine { result }).unwrap_or_default();
    watch_line.push(b'\n');
    watch_line.into()
}

fn event_line(kv: KeyValue) -> Bytes {
    watch_line(WatchResult {
        created: false,
        events: vec![WatchEvent { kv }],
    })
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

impl StandIn for StoreStandIn {
    fn handle(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            let faults = self.with_state(|state| state.faults);
            if req.path() == "/lab/faults" {
                let Some(faults) = parse(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "invalid faults");
                };
                self.with_state(|state| state.faults = faults);
                return text_response(StatusCode::OK, "done");
            }
            if faults.down {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            sleep_ms(faults.delay_ms).await;
            let bad_request = || text_response(StatusCode::BAD_REQUEST, "invalid request");
            match req.path() {
                "/v3/kv/range" => parse(&body).map_or_else(bad_request, |query: RangeRequest| {
                    json_response(&self.with_state(|state| state.range(&query)))
                }),
                "/v3/kv/txn" => {
                    let Some(txn) = parse::<TxnRequest>(&body) else {
                        return bad_request();
                    };
                    let (response, is_answer_lost) = self.txn(&txn);
                    if is_answer_lost {
                        sleep(LOST_ANSWER_DELAY).await;
                        return text_response(StatusCode::GATEWAY_TIMEOUT, "the answer is lost");
                    }
                    json_response(&response)
                }
                "/v3/watch" => {
                    parse(&body).map_or_else(bad_request, |watch: WatchRequest| self.watch(&watch))
                }
                _ => text_response(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }
}
