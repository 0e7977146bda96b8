//! A stand-in for a model engine, with set speed and quality, which records what ran.

use super::server::{StandIn, json, pause, text};
use crate::clock::{Now, WallTime};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json as value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// What an answer of bad quality contains, so that the rater's stand-in knows it.
pub const BAD_ANSWER_MARKER: &str = "~bad~";
const GOOD_MARK: &str = "~good~";
const PROMPT_TOKENS: u64 = 8;

/// The header by which a test names each try, so that the stand-ins' records tell which
/// one ran.
pub const TRY_HEADER: &str = "lab-try";

/// How one version behaves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelBehaviour {
    /// The part of answers that are good.
    pub quality: f64,
    /// The part of requests that fail with a status of 500.
    pub failing: f64,
    /// The part of streams that break off in the middle.
    pub breaking: f64,
    /// Milliseconds to the first token.
    pub first_token_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Whether answers name another request, as if they had got crossed.
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

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's id.
    pub request_id: String,
    /// The organisation.
    pub organisation: String,
    /// The version, or the method and path of a plain service.
    pub ran: String,
    /// When it began.
    pub at: WallTime,
    /// The caller's own name for the try, from the header `lab-try`.
    #[serde(default)]
    pub caller_try: String,
    /// Whether the whole answer was given out.
    pub whole: bool,
}

/// The stand-in.
#[derive(Debug, Default)]
pub struct ModelStandIn {
    behaviours: Mutex<BTreeMap<String, ModelBehaviour>>,
    runs: Mutex<Vec<Run>>,
}

impl ModelStandIn {
    /// Sets how a version behaves.
    pub fn set_behaviour(&self, version: &str, behaviour: ModelBehaviour) {
        let mut behaviours = self
            .behaviours
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        behaviours.insert(version.to_owned(), behaviour);
    }

    /// Returns what ran so far.
    pub fn runs(&self) -> Vec<Run> {
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

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    fn mark_whole(&self, position: usize) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)[position].whole = true;
    }

    async fn complete(self: Arc<Self>, req: Request, body: Bytes) -> Response<BoxBody> {
        let Ok(question) = serde_json::from_slice::<Value>(&body) else {
            return text(StatusCode::BAD_REQUEST, "the body is no JSON");
        };
        let version = question["model"].as_str().unwrap_or("").to_owned();
        let behaviour = self.behaviour_of(&version);
        let id = header(&req, "x-request-id");
        let position = self.begin(Run {
            request_id: id.clone(),
            organisation: header(&req, "gatepier-organisation"),
            ran: version.clone(),
            at: Now::read().wall,
            caller_try: header(&req, TRY_HEADER),
            whole: false,
        });
        pause(behaviour.first_token_ms).await;
        if rand::random_bool(behaviour.failing) {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "the engine failed");
        }
        let good = rand::random_bool(behaviour.quality);
        let answer = Answer {
            id: if behaviour.crossed {
                format!("{id}-crossed")
            } else {
                id
            },
            version,
            mark: if good { GOOD_MARK } else { BAD_ANSWER_MARKER },
            tokens: behaviour.tokens,
        };
        if question["stream"].as_bool() == Some(true) {
            let breaks = rand::random_bool(behaviour.breaking);
            return self.stream(answer, behaviour, breaks, position);
        }
        pause(behaviour.token_ms * behaviour.tokens).await;
        self.mark_whole(position);
        let mut res = Response::build(StatusCode::OK);
        res.insert_header(("x-request-id", answer.id.clone()));
        res.insert_header((CONTENT_TYPE, "application/json"));
        res.body(answer.whole().to_string()).map_into_boxed_body()
    }

    fn stream(
        self: Arc<Self>,
        answer: Answer,
        behaviour: ModelBehaviour,
        breaks: bool,
        position: usize,
    ) -> Response<BoxBody> {
        let id = answer.id.clone();
        let token_ms = behaviour.token_ms;
        let state = (self, answer, 0u64);
        let events = stream::unfold(state, move |(stand_in, answer, next)| async move {
            if breaks && next > answer.tokens / 2 {
                return Some((Err(StreamBroken), (stand_in, answer, next)));
            }
            if next > 0 && next < answer.tokens {
                pause(token_ms).await;
            }
            let event = answer.event(next)?;
            if next == answer.tokens + 1 {
                stand_in.mark_whole(position);
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

/// A stream that breaks off as it was told to.
#[derive(Debug)]
struct StreamBroken;

impl std::fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was told to break off")
    }
}

impl std::error::Error for StreamBroken {}

struct Answer {
    id: String,
    version: String,
    mark: &'static str,
    tokens: u64,
}

impl Answer {
    fn usage(&self) -> Value {
        value!({
            "prompt_tokens": PROMPT_TOKENS,
            "completion_tokens": self.tokens,
            "total_tokens": PROMPT_TOKENS + self.tokens,
        })
    }

    fn whole(&self) -> Value {
        let content = format!("{} answers {} {}", self.version, self.id, self.mark);
        value!({
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

    /// Returns the stream's event of a number: tokens, then the usage, then the end.
    fn event(&self, number: u64) -> Option<Bytes> {
        if number > self.tokens + 1 {
            return None;
        }
        if number == self.tokens + 1 {
            return Some(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        let mut chunk = value!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [],
        });
        if number == self.tokens {
            chunk["usage"] = self.usage();
        } else {
            let content = if number == 0 {
                self.mark.to_owned()
            } else {
                format!(" token{number}")
            };
            chunk["choices"] = value!([{ "index": 0, "delta": { "content": content } }]);
        }
        Some(format!("data: {chunk}\n\n").into())
    }
}

/// Returns a request's header as text.
pub fn header(req: &Request, name: &str) -> String {
    let value = req.head().headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

impl StandIn for ModelStandIn {
    fn answer(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match req.path() {
                "/v1/chat/completions" => self.complete(req, body).await,
                "/lab/runs" => json(&self.runs()),
                "/lab/behaviours" => match serde_json::from_slice(&body) {
                    Ok(behaviours) => {
                        let behaviours: BTreeMap<String, ModelBehaviour> = behaviours;
                        for (version, behaviour) in behaviours {
                            self.set_behaviour(&version, behaviour);
                        }
                        text(StatusCode::OK, "done")
                    }
                    Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                _ => text(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }
}
