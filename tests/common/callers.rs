//! Sends requests to a fleet as its callers do, and reads the responses.

use super::{Bench, RunningBox};
use awc::Client;
use gatepier::lab::fleet::credential_of;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A response as received by the caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status; zero if the connection broke before a status was received.
    pub status: u16,
    /// The response headers.
    pub headers: BTreeMap<String, String>,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Answer {
    /// Returns a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the `gatepier-outcome` header, which states whether the request ran.
    pub fn outcome(&self) -> &str {
        self.header("gatepier-outcome")
    }
}

/// The router addresses and the client of a bench. It does not borrow the bench, so callers can
/// keep sending while the test starts and stops processes.
pub struct CallerView {
    routers: BTreeMap<String, SocketAddr>,
    client: Client,
}

impl CallerView {
    /// Returns a request to a box's router with an organisation's credential.
    pub fn request(
        &self,
        name: &str,
        organisation: &str,
        method: &str,
        path: &str,
    ) -> awc::ClientRequest {
        router_request(&self.client, self.routers[name], organisation, method, path)
    }
}

fn router_request(
    client: &Client,
    router: SocketAddr,
    organisation: &str,
    method: &str,
    path: &str,
) -> awc::ClientRequest {
    let url = format!("http://{router}{path}");
    let method = method.parse::<actix_http::Method>().unwrap();
    client
        .request(method, url)
        .bearer_auth(credential_of(organisation))
}

/// Returns the body of a non-streaming completion request.
pub fn completion_body(model: &str) -> Value {
    json!({ "model": model, "messages": [{ "role": "user", "content": "What happened so far?" }] })
}

/// Returns the body of a streaming completion request.
pub fn streaming_completion_body(model: &str) -> Value {
    let mut body = completion_body(model);
    body["stream"] = Value::from(true);
    body
}

/// Reads a response up to its end or to the first connection error.
pub async fn read_answer(
    sent: Result<awc::ClientResponse, awc::error::SendRequestError>,
) -> Answer {
    use futures::StreamExt as _;
    let mut response = match sent {
        Ok(response) => response,
        Err(_) => {
            return Answer {
                status: 0,
                headers: BTreeMap::new(),
                body: String::new(),
                whole: false,
            };
        }
    };
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Answer {
        status: response.status().as_u16(),
        headers,
        body,
        whole,
    }
}

impl Bench {
    /// Returns a view of the bench for concurrent callers.
    pub fn caller_view(&self) -> CallerView {
        self.caller_view_with(gatepier::http_client::pooled_client())
    }

    /// Returns a view of the bench for concurrent callers who open a connection for each request.
    pub fn new_caller_view(&self) -> CallerView {
        self.caller_view_with(gatepier::http_client::unpooled_client())
    }

    fn caller_view_with(&self, client: Client) -> CallerView {
        let router = |(name, running): (&String, &RunningBox)| (name.clone(), running.files.router);
        CallerView {
            routers: self.boxes.iter().map(router).collect(),
            client,
        }
    }

    /// Returns a request to a box's router with an organisation's credential.
    pub fn request(
        &self,
        name: &str,
        organisation: &str,
        method: &str,
        path: &str,
    ) -> awc::ClientRequest {
        router_request(
            &self.client,
            self.boxes[name].files.router,
            organisation,
            method,
            path,
        )
    }

    /// Sends a completion request to a box as an organisation.
    pub async fn complete(&self, name: &str, organisation: &str, body: Value) -> Answer {
        let request = self.request(name, organisation, "POST", "/v1/chat/completions");
        read_answer(request.send_json(&body).await).await
    }

    /// Sends a completion request for a model to a box as the organisation `comics`.
    pub async fn complete_as_comics(&self, name: &str, model: &str) -> Answer {
        self.complete(name, "comics", completion_body(model)).await
    }

    /// Sends a bookmark, which is not idempotent, with an idempotency key.
    pub async fn bookmark(&self, name: &str, key: &str) -> Answer {
        let request = self
            .request(name, "comics", "POST", "/reader-api/bookmarks")
            .insert_header(("idempotency-key", key));
        read_answer(request.send_body("page 7").await).await
    }

    /// Returns how many times the services executed the request with an idempotency key.
    pub fn bookmark_runs(&self, key: &str) -> usize {
        let runs = self
            .services
            .iter()
            .flat_map(|service| service.stand_in.runs());
        runs.filter(|run| run.request_id == key).count()
    }

    /// Returns how many times the model upstreams ran each version.
    pub fn version_runs(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in self.models.iter().flat_map(|model| model.stand_in.runs()) {
            *counts.entry(run.ran).or_default() += 1;
        }
        counts
    }
}
