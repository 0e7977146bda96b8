//! A stand-in for the platform's live list of boxes and for its service that rates answers.

use super::model::BAD_ANSWER_MARKER;
use super::server::{StandIn, json_response, sleep_ms, text_response};
use crate::box_list::{BoxList, BoxState, ListedBox};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// A change to the live list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListChange {
    /// Adds boxes, or replaces boxes with the same name.
    Put(Vec<ListedBox>),
    /// Marks a box as leaving.
    Leave(String),
    /// Removes a box.
    Drop(String),
}

/// Faults injected into the rater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RaterFaults {
    /// Whether every call is refused with status 503.
    pub down: bool,
    /// Milliseconds by which every rating is delayed.
    pub delay_ms: u64,
    /// The fraction of ratings that are inverted.
    pub wrong: f64,
}

/// The stand-in for the live list and the rater.
#[derive(Debug, Default)]
pub struct PlatformStandIn {
    list: Mutex<BoxList>,
    rater: Mutex<RaterFaults>,
}

#[derive(Deserialize)]
struct RatingRequest {
    answer: String,
}

#[derive(Serialize)]
struct Rating {
    good: bool,
}

impl PlatformStandIn {
    /// Applies a change to the list and increments its revision.
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
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        sleep_ms(faults.delay_ms).await;
        let Ok(request) = serde_json::from_slice::<RatingRequest>(body) else {
            return text_response(StatusCode::BAD_REQUEST, "invalid rating request");
        };
        let is_good = !request.answer.contains(BAD_ANSWER_MARKER);
        let is_inverted = rand::random_bool(faults.wrong.clamp(0.0, 1.0));
        json_response(&Rating {
            good: is_good != is_inverted,
        })
    }
}

impl StandIn for PlatformStandIn {
    fn handle(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match (req.method(), req.path()) {
                (&Method::GET, "/v1/boxes") => {
                    json_response(&*self.list.lock().unwrap_or_else(PoisonError::into_inner))
                }
                (&Method::POST, "/v1/rate") => self.rate(&body).await,
                (&Method::POST, "/lab/list") => match serde_json::from_slice(&body) {
                    Ok(change) => {
                        self.change(change);
                        text_response(StatusCode::OK, "done")
                    }
                    Err(err) => text_response(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                (&Method::POST, "/lab/rater") => match serde_json::from_slice(&body) {
                    Ok(faults) => {
                        *self.rater.lock().unwrap_or_else(PoisonError::into_inner) = faults;
                        text_response(StatusCode::OK, "done")
                    }
                    Err(err) => text_response(StatusCode::BAD_REQUEST, &err.to_string()),
                },
                _ => text_response(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }
}
