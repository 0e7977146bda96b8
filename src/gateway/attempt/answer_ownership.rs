//! Decides which request an answer belongs to.
//!
//! An upstream may send more than it was asked for: an answer twice or late, bytes before anything
//! was asked, or an answer that was meant for another caller. Its place in the connection therefore
//! proves nothing. Only an [`OwnHead`] belongs to what awaits it, and only this module makes one.
//! Where that is in doubt, the connection has to be closed, and a request that was written may have
//! run. See `docs/design/connections.md`.

use super::connection::http1_types::HeaderMap;
use super::headers::HeaderNames;
use crate::gateway::place::choose::stable_hash;
use crate::http_client::is_final_status;
use hyper::http::response::Parts;
use std::fmt;

/// How many requests a connection carries: so that it can remember all their ids, in 2 KiB.
const MAX_CARRIED_REQUESTS: usize = 256;
/// The status by which an upstream states that a request is meant for another instance, so that it
/// did not run.
const STATUS_MISDIRECTED_REQUEST: u16 = 421;
/// The statuses that state to callers that their request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, STATUS_MISDIRECTED_REQUEST, 429, 503];

/// What awaits an answer over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaiting<'a> {
    /// A request with this id, which its answer echoes.
    Request(&'a str),
    /// A check of the health of this instance. It has no id; its answer names the instance.
    HealthCheck(&'a str),
}

/// Why an answer does not belong to what awaits one, or may not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotOwn {
    /// It names another request.
    OtherRequest,
    /// It names no request.
    NoRequestId,
    /// A health check awaits an answer, and this one does not name the instance.
    NotOfInstance,
}

impl NotOwn {
    /// Returns the reason for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::OtherRequest => "it has the id of another request",
            Self::NoRequestId => "it has no request id",
            Self::NotOfInstance => "it does not name the instance that was checked",
        }
    }
}

impl fmt::Display for NotOwn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

/// The head of an answer that belongs to what awaited it.
#[derive(Debug)]
pub struct OwnHead(Parts);

/// An upstream's statement that a request did not run there and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    status: u16,
}

impl Refusal {
    /// Returns the status of the refusal.
    pub fn status(self) -> u16 {
        self.status
    }

    /// Returns whether the request is meant for another instance.
    pub fn is_misdirected(self) -> bool {
        self.status == STATUS_MISDIRECTED_REQUEST
    }
}

impl OwnHead {
    /// Attributes an answer to what awaits it.
    pub fn attribute(
        parts: Parts,
        awaiting: Awaiting<'_>,
        names: &HeaderNames,
    ) -> Result<Self, NotOwn> {
        let echoed_ids = parts.headers.get_all(names.request_id.as_str());
        let has_id = echoed_ids.iter().next().is_some();
        match awaiting {
            Awaiting::Request(_) if !has_id => return Err(NotOwn::NoRequestId),
            Awaiting::Request(id) => {
                if echoed_ids.iter().any(|echoed_id| echoed_id != id) {
                    return Err(NotOwn::OtherRequest);
                }
            }
            Awaiting::HealthCheck(instance) => {
                if has_id || parts.headers.contains_key(names.signature.as_str()) {
                    return Err(NotOwn::OtherRequest);
                }
                if header_text(&parts.headers, &names.instance) != Some(instance) {
                    return Err(NotOwn::NotOfInstance);
                }
            }
        }
        Ok(Self(parts))
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.0.status.as_u16()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.0.headers
    }

    /// Returns the headers.
    pub fn into_headers(self) -> HeaderMap {
        self.0.headers
    }

    /// Returns the text of a header.
    pub fn text(&self, name: &http::HeaderName) -> Option<&str> {
        header_text(&self.0.headers, name)
    }

    /// Returns the statement that the request did not run, if the answer is one.
    pub fn refusal(&self, names: &HeaderNames) -> Option<Refusal> {
        let status = self.status();
        let is_refusal =
            status == STATUS_MISDIRECTED_REQUEST || self.text(&names.not_executed).is_some();
        is_refusal.then_some(Refusal { status })
    }

    /// Returns whether the answer comes from another instance than a request was meant for. One
    /// that names no instance does not say so: an upstream may also refuse a request with the
    /// status of a misdirected one for what the caller asked.
    pub fn is_from_other_instance(&self, expected: &str, names: &HeaderNames) -> bool {
        let instance = self.text(&names.instance);
        instance.is_some_and(|instance| instance != expected)
    }

    /// Returns why an answer that is no refusal cannot be forwarded, if it cannot.
    pub fn invalid_reason(&self, names: &HeaderNames) -> Option<&'static str> {
        if !is_final_status(self.status()) {
            return Some("its status is none of a response");
        }
        if self.0.headers.contains_key(hyper::header::CONTENT_ENCODING) {
            return Some("its body has a content encoding that was not requested");
        }
        if NOT_RUN_STATUSES.contains(&self.status()) {
            return Some("its status says that the request did not run, its headers do not");
        }
        let is_unsigned_success =
            self.0.status.is_success() && self.text(&names.signature).is_none();
        is_unsigned_success.then_some("it has no signature")
    }
}

/// What a connection has carried.
///
/// It carries each request id once, and one health check: a second answer to the earlier of two
/// could not be distinguished from the answer to the later one.
#[derive(Debug, Default)]
pub struct CarriedRequests {
    /// The hashes of the ids.
    ids: Vec<u64>,
    has_health_check: bool,
}

impl CarriedRequests {
    /// Records what is about to be written.
    pub fn record(&mut self, awaiting: Awaiting<'_>) {
        match awaiting {
            Awaiting::Request(id) => self.ids.push(stable_hash(id)),
            Awaiting::HealthCheck(_) => self.has_health_check = true,
        }
    }

    /// Returns whether the answer to this can be distinguished from all others that may follow.
    pub fn allows(&self, awaiting: Awaiting<'_>) -> bool {
        match awaiting {
            Awaiting::Request(id) => !self.is_full() && !self.ids.contains(&stable_hash(id)),
            Awaiting::HealthCheck(_) => !self.has_health_check,
        }
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub fn is_full(&self) -> bool {
        self.ids.len() >= MAX_CARRIED_REQUESTS
    }
}

fn header_text<'a>(received: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    received.get(name.as_str())?.to_str().ok()
}
