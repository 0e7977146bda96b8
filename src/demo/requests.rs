//! Sends the demo's requests and records their results.

use super::environment::Partner;
use crate::http_client::pooled_client;
use crate::lab::fleet::credential_of;
use awc::Client;
use futures::StreamExt as _;
use serde_json::json;

const READ_BODY_BYTES: usize = 256;

/// The kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// A non-streaming completion by a cascade.
    Cascade,
    /// A streaming completion by a model.
    Stream,
    /// A read from a plain service.
    Read,
    /// A non-idempotent request to a plain service, sent twice with the same idempotency key.
    Claimed,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Cascade, Self::Stream, Self::Read, Self::Claimed];

    /// Returns the name shown in the demo's table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cascade => "cascade",
            Self::Stream => "stream",
            Self::Read => "plain read",
            Self::Claimed => "plain, once",
        }
    }
}

/// A request and its result as seen by the caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The partner.
    pub partner: String,
    /// The organisation.
    pub organisation: String,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The idempotency key.
    pub key: String,
    /// The HTTP status; zero if there was no response.
    pub status: u16,
    /// The version that answered; empty for a plain service.
    pub version: String,
    /// The `gatepier-outcome` header, which states whether the request ran.
    pub outcome: String,
    /// Whether the response was complete and belongs to this request.
    pub is_own_complete_answer: bool,
}

/// Sends requests of all kinds one after the other, in turn through all boxes.
pub async fn send_mixed(partner: &Partner, count: usize) -> Vec<RequestRecord> {
    let client = pooled_client();
    let mut sent = Vec::new();
    for number in 0..count {
        let kind = RequestKind::ALL[number % RequestKind::ALL.len()];
        let organisation =
            &partner.organisations[number / RequestKind::ALL.len() % partner.organisations.len()];
        let key = format!("demo-{}", uuid::Uuid::new_v4().simple());
        sent.push(send(&client, partner, number, kind, organisation, &key).await);
        if kind == RequestKind::Claimed {
            sent.push(send(&client, partner, number + 1, kind, organisation, &key).await);
        }
    }
    sent
}

/// Sends some requests that need claims, to check that claims are granted through all boxes.
pub async fn send_claimed_probe(partner: &Partner) -> Vec<RequestRecord> {
    const PROBES: usize = 16;
    let client = pooled_client();
    let mut sent = Vec::new();
    for number in 0..PROBES {
        let key = format!("probe-{}", uuid::Uuid::new_v4().simple());
        let organisation = &partner.organisations[0];
        sent.push(
            send(
                &client,
                partner,
                number,
                RequestKind::Claimed,
                organisation,
                &key,
            )
            .await,
        );
    }
    sent
}

async fn send(
    client: &Client,
    partner: &Partner,
    number: usize,
    kind: RequestKind,
    organisation: &str,
    key: &str,
) -> RequestRecord {
    let router = partner.fleet.boxes[number % partner.fleet.boxes.len()].router;
    let (path, model) = match kind {
        RequestKind::Cascade => (
            "v1/chat/completions".to_owned(),
            Some(partner.cascade.clone()),
        ),
        RequestKind::Stream => (
            "v1/chat/completions".to_owned(),
            Some(partner.second_version.model.clone()),
        ),
        RequestKind::Read | RequestKind::Claimed => (format!("{}/notes", partner.service), None),
    };
    let url = format!("http://{router}/{path}");
    let request = if kind == RequestKind::Read {
        client.get(url)
    } else {
        client.post(url)
    };
    let request = request
        .bearer_auth(credential_of(organisation))
        .insert_header(("idempotency-key", key));
    let response = match model {
        Some(model) => {
            let stream = kind == RequestKind::Stream;
            request
                .send_json(&json!({ "model": model, "stream": stream, "messages": [] }))
                .await
        }
        None => request.send().await,
    };
    let mut sent = RequestRecord {
        partner: partner.name().to_owned(),
        organisation: organisation.to_owned(),
        kind,
        key: key.to_owned(),
        status: 0,
        version: String::new(),
        outcome: "unknown".to_owned(),
        is_own_complete_answer: false,
    };
    let Ok(mut response) = response else {
        return sent;
    };
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    sent.status = response.status().as_u16();
    sent.version = header("gatepier-version");
    sent.outcome = header("gatepier-outcome");
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => whole = false,
        }
    }
    sent.is_own_complete_answer = whole && is_own_body(kind, key, &String::from_utf8_lossy(&body));
    sent
}

fn is_own_body(kind: RequestKind, key: &str, body: &str) -> bool {
    match kind {
        RequestKind::Read => body.len() == READ_BODY_BYTES,
        RequestKind::Cascade | RequestKind::Claimed => body.contains(key),
        RequestKind::Stream => body.contains(key) && body.ends_with("data: [DONE]\n\n"),
    }
}
