//! Handles incoming requests: identifies the caller, reads the deadline, and selects the API.

use super::completions::serve_completion;
use super::context::{Caller, Worker, refuse};
use super::plain_service::serve_plain;
use super::responses::refusal_response;
use crate::claim::generate_request_id;
use crate::clock::Now;
use crate::keys::hex;
use crate::outcome::{Outcome, Reason, Refused};
use actix_http::body::BoxBody;
use actix_http::header::AUTHORIZATION;
use actix_http::{HttpMessage as _, Method, Request, Response};
use sha2::{Digest as _, Sha256};
use std::rc::Rc;
use std::time::Duration;

/// The request header that identifies repeats of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The request header with the time in milliseconds after which a response is of no use.
pub const DEADLINE_HEADER: &str = "gatepier-deadline-ms";

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const BEARER: &str = "Bearer ";
const REQUEST_ID_MAX_CHARS: usize = 128;

/// Serves one request.
pub async fn handle_request(worker: Rc<Worker>, req: Request) -> Response<BoxBody> {
    let in_progress = worker.own_limit.count_request();
    let response = respond(worker, req).await;
    response.map_body(|_head, body| in_progress.until_end_of(body))
}

async fn respond(worker: Rc<Worker>, req: Request) -> Response<BoxBody> {
    let received = Now::read();
    worker.shared.wait_until_ready().await;
    let caller = match read_caller(&worker, &req, received) {
        Ok(caller) => caller,
        Err(refused) => return refusal_response(&refused, None),
    };
    let path = req.path();
    if path == COMPLETIONS_PATH && req.method() == Method::POST {
        return serve_completion(worker, caller, req).await;
    }
    let service = path
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or("")
        .to_owned();
    serve_plain(worker, caller, service, req).await
}

/// Reads the caller from a request; the organisation follows from the credential alone.
fn read_caller(worker: &Worker, req: &Request, received: Now) -> Result<Caller, Refused> {
    let not_run = |reason, message: &str| refuse(Outcome::NotRun, reason, message);
    let settings = &worker.shared.settings;
    let header = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let credential = header(AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix(BEARER));
    let organisation = credential
        .map(|credential| hex(&Sha256::digest(credential.as_bytes())))
        .and_then(|digest| settings.credentials.get(&digest))
        .ok_or_else(|| {
            not_run(
                Reason::NoCredential,
                "the bearer credential is missing or unknown",
            )
        })?;
    let request_id = match header(IDEMPOTENCY_HEADER) {
        Some(id) if is_request_id(id) => id.to_owned(),
        Some(_) => {
            let message = "the Idempotency-Key must have 1 to 128 printable characters";
            return Err(not_run(Reason::BadRequest, message));
        }
        None => generate_request_id(&settings.identity.hall),
    };
    let requested = match header(DEADLINE_HEADER).map(str::parse::<u64>) {
        None => settings.deadline,
        Some(Ok(requested)) => Duration::from_millis(requested).min(settings.deadline),
        Some(Err(_)) => {
            let message = "the deadline must be a whole number of milliseconds";
            return Err(not_run(Reason::BadRequest, message));
        }
    };
    let deadline = received.monotonic + requested;
    Ok(Caller {
        organisation: organisation.clone(),
        request_id,
        received,
        deadline,
    })
}

fn is_request_id(id: &str) -> bool {
    let printable = id.chars().all(|c| c.is_ascii_graphic());
    printable && !id.is_empty() && id.len() <= REQUEST_ID_MAX_CHARS
}
