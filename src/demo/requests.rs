//! The demo's callers.

use super::stage::Partner;
use crate::http_client::pooled_client;
use crate::lab::fleet::credential_of;
use awc::Client;
use futures::StreamExt as _;
use serde_json::json;

const MANIFEST_BYTES: usize = 256;

/// What was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A whole answer of a cascade.
    Cascade,
    /// A streamed answer of a model.
    Stream,
    /// A read of a plain service.
    Read,
    /// A request of a plain service that may not be repeated, sent twice.
    Claimed,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Cascade, Self::Stream, Self::Read, Self::Claimed];

    /// Returns the kind's name in the demo's table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cascade => "cascade",
            Self::Stream => "stream",
            Self::Read => "plain read",
            Self::Claimed => "plain, once",
        }
    }
}

/// One request, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The partner.
    pub partner: String,
    /// The organisation.
    pub organisation: String,
    /// What was asked for.
    pub kind: Kind,
    /// The request's key.
    pub key: String,
    /// The status; zero if no answer came.
    pub status: u16,
    /// The version that answered, if it was a model.
    pub version: String,
    /// What the answer says about whether the request ran.
    pub outcome: String,
    /// Whether the answer was whole and this request's own.
    pub own_and_whole: bool,
}

/// Sends a number of requests of all kinds, one after the other through all boxes.
pub async fn send_mixed(partner: &Partner, count: usize) -> Vec<Sent> {
    let client = pooled_client();
    let mut sent = Vec::new();
    for number in 0..count {
        let kind = Kind::ALL[number % Kind::ALL.len()];
        let organisation =
            &partner.organisations[number / Kind::ALL.len() % partner.organisations.len()];
        let key = format!("demo-{}", uuid::Uuid::new_v4().simple());
        sent.push(send(&client, partner, number, kind, organisation, &key).await);
        if kind == Kind::Claimed {
            sent.push(send(&client, partner, number + 1, kind, organisation, &key).await);
        }
    }
    sent
}

/// Sends a few requests that need claims, to see whether they are granted everywhere.
pub async fn send_claimed_probe(partner: &Partner) -> Vec<Sent> {
    const PROBES: usize = 16;
    let client = pooled_client();
    let mut sent = Vec::new();
    for number in 0..PROBES {
        let key = format!("probe-{}", uuid::Uuid::new_v4().simple());
        let organisation = &partner.organisations[0];
        sent.push(send(&client, partner, number, Kind::Claimed, organisation, &key).await);
    }
    sent
}

async fn send(
    client: &Client,
    partner: &Partner,
    number: usize,
    kind: Kind,
    organisation: &str,
    key: &str,
) -> Sent {
    let router = partner.fleet.boxes[number % partner.fleet.boxes.len()].router;
    let (path, model) = match kind {
        Kind::Cascade => (
            "v1/chat/completions".to_owned(),
            Some(partner.cascade.clone()),
        ),
        Kind::Stream => (
            "v1/chat/completions".to_owned(),
            Some(partner.second_version.model.clone()),
        ),
        Kind::Read | Kind::Claimed => (format!("{}/notes", partner.service), None),
    };
    let url = format!("http://{router}/{path}");
    let request = if kind == Kind::Read {
        client.get(url)
    } else {
        client.post(url)
    };
    let request = request
        .bearer_auth(credential_of(organisation))
        .insert_header(("idempotency-key", key));
    let response = match model {
        Some(model) => {
            let stream = kind == Kind::Stream;
            request
                .send_json(&json!({ "model": model, "stream": stream, "messages": [] }))
                .await
        }
        None => request.send().await,
    };
    let mut sent = Sent {
        partner: partner.name().to_owned(),
        organisation: organisation.to_owned(),
        kind,
        key: key.to_owned(),
        status: 0,
        version: String::new(),
        outcome: "unknown".to_owned(),
        own_and_whole: false,
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
    sent.own_and_whole = whole && is_own(kind, key, &String::from_utf8_lossy(&body));
    sent
}

fn is_own(kind: Kind, key: &str, body: &str) -> bool {
    match kind {
        Kind::Read => body.len() == MANIFEST_BYTES,
        Kind::Cascade | Kind::Claimed => body.contains(key),
        Kind::Stream => body.contains(key) && body.ends_with("data: [DONE]\n\n"),
    }
}
