//! A stand-in for a plain service, which records the requests that it ran.

use super::model::{RunRecord, TRY_HEADER, header};
use super::server::{StandIn, json_response, sleep_ms};
use crate::clock::Now;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// Behaviour of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceBehaviour {
    /// Milliseconds until a response.
    pub delay_ms: u64,
    /// Body size in bytes of a response to a read.
    pub bytes: usize,
}

impl Default for ServiceBehaviour {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            bytes: 256,
        }
    }
}

/// The plain service stand-in.
#[derive(Debug, Default)]
pub struct ServiceStandIn {
    behaviour: Mutex<ServiceBehaviour>,
    runs: Mutex<Vec<RunRecord>>,
}

impl ServiceStandIn {
    /// Sets the behaviour of the service.
    pub fn set_behaviour(&self, behaviour: ServiceBehaviour) {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Returns the requests that ran so far, except reads.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn serve(&self, req: &Request, body: &[u8]) -> Response<BoxBody> {
        let behaviour = *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let id = header(req, "x-request-id");
        let mut res = Response::build(StatusCode::OK);
        if matches!(*req.method(), Method::GET | Method::HEAD) {
            sleep_ms(behaviour.delay_ms).await;
            return res
                .body(Bytes::from(vec![b'm'; behaviour.bytes]))
                .map_into_boxed_body();
        }
        let run = RunRecord {
            request_id: id.clone(),
            organisation: header(req, "gatepier-organisation"),
            ran: format!("{} {}", req.method(), req.path()),
            at: Now::read().wall,
            caller_try: header(req, TRY_HEADER),
            whole: true,
        };
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
        sleep_ms(behaviour.delay_ms).await;
        res.insert_header((CONTENT_TYPE, "application/json"));
        let answer = serde_json::json!({ "saved": id, "bytes": body.len() });
        res.body(answer.to_string()).map_into_boxed_body()
    }
}

impl StandIn for ServiceStandIn {
    fn handle(
        self: Arc<Self>,
        req: Request,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match req.path() {
                "/lab/runs" => json_response(&self.runs()),
                "/lab/behaviour" => {
                    if let Ok(behaviour) = serde_json::from_slice(&body) {
                        self.set_behaviour(behaviour);
                    }
                    json_response(
                        &*self
                            .behaviour
                            .lock()
                            .unwrap_or_else(PoisonError::into_inner),
                    )
                }
                _ => self.serve(&req, &body).await,
            }
        })
    }
}
