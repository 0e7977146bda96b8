//! Stand-ins for the platform's list of boxes and for its service that rates answers.

use super::model::BAD_ANSWER_MARKER;
use super::server::{StandIn, json, pause, text};
use crate::live::{BoxState, ListedBox, LiveList};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// A change to the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListChange {
    /// Adds boxes, or replaces those of the same name.
    Put(Vec<ListedBox>),
    /// Marks a box as leaving.
    Leave(String),
    /// Drops a box for good.
    Drop(String),
}

/// How the rater misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RaterFaults {
    /// Whether every call is refused.
    pub down: bool,
    /// Milliseconds by which every rating is late.
    pub delay_ms: u64,
    /// The part of ratings that are the opposite of the truth.
    pub wrong: f64,
}

/// The stand-in for both.
#[derive(Debug, Default)]
pub struct PlatformStandIn {
    list: Mutex<LiveList>,
    rater: Mutex<RaterFaults>,
}

#[derive(Deserialize)]
struct RateQuestion {
    answer: String,
}

#[derive(Serialize)]
struct Rating {
    good: bool,
}

impl PlatformStandIn {
    /// Changes the list.
    pub fn change(&self, change: ListChange) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.revision += 1;
        match change {
            ListChange::Put(boxes) => {
                let named = |name: &str| boxes.iter().any(|listed| listed.name == name);
                list.boxes.retain(|listed| !named(&listed.name));
                list.boxes.extend(boxes);
            }
            ListChange::Leave(name) => {
                let leaving = list.boxes.iter_mut().filter(|listed| listed.name == name);
                leaving.for_each(|listed| listed.state = BoxState::Leaving);
            }
            ListChange::Drop(name) => list.boxes.retain(|listed| listed.name != name),
        }
    }

    /// Returns the list's revision.
    pub fn revision(&self) -> u64 {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .revision
    }

    async fn rate(&self, body: &[u8]) -> Response<BoxBody> {
        let faults = *self.rater.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.down {
            return text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        pause(faults.delay_ms).await;
        let Ok(question) = serde_json::from_slice::<RateQuestion>(body) else {
            return text(StatusCode::BAD_REQUEST, "the question cannot be read");
        };
        let truth = !question.answer.contains(BAD_ANSWER_MARKER);
        let lies = rand::random_bool(faults.wrong.clamp(0.0, 1.0));
        json(&Rating {
            good: truth != lies,
        })
    }
}

impl StandIn for PlatformStandIn {
    fn answer(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match (req.method(), req.path()) {
                (&Method::GET, "/v1/boxes") => {
                    json(&*self.list.lock().unwrap_or_else(PoisonError::into_inner))
                }
                (&Method::POST, "/v1/rate") => self.rate(&body).await,
                (&Method::POST, "/lab/list") => match serde_json::from_slice(&body) {
                    Ok(change) => {
                        self.change(change);
                        text(StatusCode::OK, "done")
                    }
                    Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                (&Method::POST, "/lab/rater") => match serde_json::from_slice(&body) {
                    Ok(faults) => {
                        *self.rater.lock().unwrap_or_else(PoisonError::into_inner) = faults;
                        text(StatusCode::OK, "done")
                    }
                    Err(err) => text(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                _ => text(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }
}
