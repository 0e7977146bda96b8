//! A stand-in for a model engine with configurable speed, quality and faults, which records the
//! requests that it ran.

use super::server::{StandIn, json_response, sleep_ms, text_response};
use crate::clock::{Now, WallTime};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Marker in answers of bad quality, by which the rater's stand-in recognises them.
pub const BAD_ANSWER_MARKER: &str = "~bad~";
const GOOD_ANSWER_MARKER: &str = "~good~";
const PROMPT_TOKENS: u64 = 8;

/// The header with which a test names each attempt, so that the stand-ins' records show which
/// attempts ran.
pub const TRY_HEADER: &str = "lab-try";

/// Behaviour and injected faults of a model version.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelBehaviour {
    /// The fraction of answers that are good.
    pub quality: f64,
    /// The fraction of requests that fail with status 500.
    pub failing: f64,
    /// The fraction of streams that are broken off in the middle.
    pub breaking: f64,
    /// Milliseconds until the first token.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Number of tokens in an answer.
    pub tokens: u64,
    /// Whether answers carry the id of another request, as if responses were mixed up.
    pub crossed: bool,
}

impl Default for ModelBehaviour {
    fn default() -> Self {
        Self {
            quality: 1.0,
            failing: 0.0,
            breaking: 0.0,
            first_token_ms: 2,
            token_ms: 1,
            tokens: 8,
            crossed: false,
        }
    }
}

/// A request that a stand-in ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request's id.
    pub request_id: String,
    /// The organisation.
    pub organisation: String,
    /// The version, or the method and path of a plain service.
    pub ran: String,
    /// When it started.
    pub at: WallTime,
    /// The caller's name for the attempt, from the header [`TRY_HEADER`].
    #[serde(default)]
    pub caller_try: String,
    /// Whether the complete response was produced.
    pub whole: bool,
}

/// The model engine stand-in.
#[derive(Debug, Default)]
pub struct ModelStandIn {
    behaviours: Mutex<BTreeMap<String, ModelBehaviour>>,
    runs: Mutex<Vec<RunRecord>>,
}

impl ModelStandIn {
    /// Sets the behaviour of a version.
    pub fn set_behaviour(&self, version: &str, behaviour: ModelBehaviour) {
        let mut behaviours = self
            .behaviours
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        behaviours.insert(version.to_owned(), behaviour);
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn behaviour_of(&self, version: &str) -> ModelBehaviour {
        let behaviours = self
            .behaviours
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        behaviours.get(version).copied().unwrap_or_default()
    }

    fn record_start(&self, run: RunRecord) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    fn mark_complete(&self, position: usize) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)[position].whole = true;
    }

    async fn complete(self: Arc<Self>, req: Request, body: Bytes) -> Response<BoxBody> {
        let Ok(request) = serde_json::from_slice::<Value>(&body) else {
            return text_response(StatusCode::BAD_REQUEST, "the body is not valid JSON");
        };
        let version = request["model"].as_str().unwrap_or("").to_owned();
        let behaviour = self.behaviour_of(&version);
        let id = header(&req, "x-request-id");
        let position = self.record_start(RunRecord {
            request_id: id.clone(),
            organisation: header(&req, "gatepier-organisation"),
            ran: version.clone(),
            at: Now::read().wall,
            caller_try: header(&req, TRY_HEADER),
            whole: false,
        });
        sleep_ms(behaviour.first_token_ms).await;
        if rand::random_bool(behaviour.failing) {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the engine failed");
        }
        let good = rand::random_bool(behaviour.quality);
        let answer = GeneratedAnswer {
            id: if behaviour.crossed {
                format!("{id}-crossed")
            } else {
                id
            },
            version,
            marker: if good {
                GOOD_ANSWER_MARKER
            } else {
                BAD_ANSWER_MARKER
            },
            tokens: behaviour.tokens,
        };
        if request["stream"].as_bool() == Some(true) {
            let is_broken = rand::random_bool(behaviour.breaking);
            return self.stream(answer, behaviour, is_broken, position);
        }
        sleep_ms(behaviour.token_ms * behaviour.tokens).await;
        self.mark_complete(position);
        let mut res = Response::build(StatusCode::OK);
        res.insert_header(("x-request-id", answer.id.clone()));
        res.insert_header((CONTENT_TYPE, "application/json"));
        res.body(answer.to_completion().to_string())
            .map_into_boxed_body()
    }

    fn stream(
        self: Arc<Self>,
        answer: GeneratedAnswer,
        behaviour: ModelBehaviour,
        is_broken: bool,
        position: usize,
    ) -> Response<BoxBody> {
        let id = answer.id.clone();
        let token_ms = behaviour.token_ms;
        let state = (self, answer, 0u64);
        let events = stream::unfold(state, move |(stand_in, answer, next)| async move {
            if is_broken && next > answer.tokens / 2 {
                return Some((Err(InjectedStreamBreak), (stand_in, answer, next)));
            }
            if next > 0 && next < answer.tokens {
                sleep_ms(token_ms).await;
            }
            let event = answer.event(next)?;
            if next == answer.tokens + 1 {
                stand_in.mark_complete(position);
            }
            Some((Ok(event), (stand_in, answer, next + 1)))
        });
        let mut res = Response::build(StatusCode::OK);
        res.insert_header(("x-request-id", id));
        res.insert_header((CONTENT_TYPE, "text/event-stream"));
        res.body(BodyStream::new(Box::pin(events)))
            .map_into_boxed_body()
    }
}

/// Error that ends a stream broken off by fault injection.
#[derive(Debug)]
struct InjectedStreamBreak;

impl std::fmt::Display for InjectedStreamBreak {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream broken off by fault injection")
    }
}

impl std::error::Error for InjectedStreamBreak {}

struct GeneratedAnswer {
    id: String,
    version: String,
    marker: &'static str,
    tokens: u64,
}

impl GeneratedAnswer {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": PROMPT_TOKENS,
            "completion_tokens": self.tokens,
            "total_tokens": PROMPT_TOKENS + self.tokens,
        })
    }

    fn to_completion(&self) -> Value {
        let content = format!("{} answers {} {}", self.version, self.id, self.marker);
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.version,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    /// Returns an event of the stream by its number: the tokens, then the usage, then `[DONE]`.
    fn event(&self, number: u64) -> Option<Bytes> {
        if number > self.tokens + 1 {
            return None;
        }
        if number == self.tokens + 1 {
            return Some(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [],
        });
        if number == self.tokens {
            chunk["usage"] = self.usage();
        } else {
            let content = if number == 0 {
                self.marker.to_owned()
            } else {
                format!(" token{number}")
            };
            chunk["choices"] = json!([{ "index": 0, "delta": { "content": content } }]);
        }
        Some(format!("data: {chunk}\n\n").into())
    }
}

/// Returns a request header, or an empty string if it is absent.
pub fn header(req: &Request, name: &str) -> String {
    let value = req.head().headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

impl StandIn for ModelStandIn {
    fn handle(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match req.path() {
                "/v1/chat/completions" => self.complete(req, body).await,
                "/lab/runs" => json_response(&self.runs()),
                "/lab/behaviours" => match serde_json::from_slice(&body) {
                    Ok(behaviours) => {
                        let behaviours: BTreeMap<String, ModelBehaviour> = behaviours;
                        for (version, behaviour) in behaviours {
                            self.set_behaviour(&version, behaviour);
                        }
                        text_response(StatusCode::OK, "done")
                    }
                    Err(err) => text_response(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                _ => text_response(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }
}
