//! What a caller is told about a request that got no answer.
//!
//! Only [`Dispatch`] can make a `not-run`, and it cannot once a byte may have gone
//! to an upstream; so the rule stands in one place. See `docs/design/outcomes.md`.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

/// Whether a request ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and its answer is whole.
    Done,
    /// No byte of the request went to an upstream, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Nothing of the request has gone to an upstream.
#[derive(Debug)]
pub struct Unsent;

/// A byte of the request may have gone to an upstream.
#[derive(Debug)]
pub struct MaybeSent;

/// The life of a request towards its upstreams.
#[derive(Debug)]
pub struct Dispatch<S> {
    state: PhantomData<S>,
}

impl Dispatch<Unsent> {
    /// Begins the life of a request.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Records that the request is about to be written to an upstream.
    pub fn send(self) -> Dispatch<MaybeSent> {
        Dispatch { state: PhantomData }
    }

    /// Returns what a refusal may say: the request has not run.
    pub fn refusal_outcome(&self) -> Outcome {
        Outcome::NotRun
    }
}

impl Default for Dispatch<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl Dispatch<MaybeSent> {
    /// Goes back to unsent on the proof that the try wrote no byte, since opening
    /// the connection failed.
    pub fn never_connected(self, _proof: ConnectFailed) -> Dispatch<Unsent> {
        Dispatch { state: PhantomData }
    }

    /// Returns what a refusal may say: whether the request ran is not known.
    pub fn refusal_outcome(&self) -> Outcome {
        Outcome::Unknown
    }
}

/// The proof that a try wrote no byte to its upstream.
#[derive(Debug)]
pub struct ConnectFailed(());

impl ConnectFailed {
    /// Takes the proof out of a client's error, if it holds one.
    pub fn from_send_error(err: &awc::error::SendRequestError) -> Option<Self> {
        crate::http_client::proves_unsent(err).then_some(Self(()))
    }
}

/// The tries of one request, and what a refusal may say after them.
#[derive(Debug, Default)]
pub struct DispatchLog {
    maybe_sent: Option<Dispatch<MaybeSent>>,
    unsent: Dispatch<Unsent>,
}

impl DispatchLog {
    /// Begins a try, which may write to an upstream from now on.
    pub fn begin_try(&self) -> Dispatch<MaybeSent> {
        Dispatch::new().send()
    }

    /// Records that a try wrote no byte.
    pub fn record_unsent(&mut self, dispatch: Dispatch<MaybeSent>, proof: ConnectFailed) {
        self.unsent = dispatch.never_connected(proof);
    }

    /// Records that a try may have written to its upstream.
    pub fn record_maybe_sent(&mut self, dispatch: Dispatch<MaybeSent>) {
        self.maybe_sent = Some(dispatch);
    }

    /// Returns what a refusal may say now.
    pub fn refusal_outcome(&self) -> Outcome {
        match &self.maybe_sent {
            Some(dispatch) => dispatch.refusal_outcome(),
            None => self.unsent.refusal_outcome(),
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller's credential is missing or unknown.
    NoCredential,
    /// The request cannot be read.
    BadRequest,
    /// The request is larger than the limit.
    TooLarge,
    /// No model, cascade or service by this name may be used by the organisation.
    NotAllowed,
    /// Every version that is allowed is out of service.
    NoVersion,
    /// No upstream takes the request.
    NoUpstream,
    /// The organisation's share and the lent capacity are used up.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// Claims cannot be taken now.
    NoClaim,
    /// The key is held by a request that has not ended.
    AlreadyRunning,
    /// The key was used by a request whose answer is not kept any more.
    AlreadyDone,
    /// The claims that would tell were lost.
    ClaimsLost,
    /// The upstream failed.
    UpstreamFailed,
    /// Every upstream that could serve has asked this router for rest.
    Resting,
    /// Upstreams crash that run this request.
    CrashesUpstreams,
    /// Upstreams crashed that ran this request, and another send of it is tried alone.
    OnTrial,
    /// The router has not heard from its agent yet.
    NotReady,
    /// The router closes the connection, and reads nothing on it any more.
    ConnectionClosed,
}

impl Reason {
    /// Returns the name of the reason in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCredential => "no-credential",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::NotAllowed => "not-allowed",
            Self::NoVersion => "no-version",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::NoClaim => "no-claim",
            Self::AlreadyRunning => "already-running",
            Self::AlreadyDone => "already-done",
            Self::ClaimsLost => "claims-lost",
            Self::UpstreamFailed => "upstream-failed",
            Self::Resting => "resting",
            Self::CrashesUpstreams => "crashes-upstreams",
            Self::OnTrial => "on-trial",
            Self::NotReady => "not-ready",
            Self::ConnectionClosed => "connection-closed",
        }
    }

    /// Returns the HTTP status of a refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::NoCredential => 401,
            Self::BadRequest | Self::CrashesUpstreams => 400,
            Self::TooLarge => 413,
            Self::NotAllowed => 403,
            Self::ConnectionClosed => 408,
            Self::AlreadyRunning | Self::AlreadyDone => 409,
            Self::Overloaded => 429,
            Self::UpstreamFailed => 502,
            Self::Deadline => 504,
            Self::NoVersion
            | Self::NoUpstream
            | Self::NoClaim
            | Self::ClaimsLost
            | Self::OnTrial
            | Self::Resting
            | Self::NotReady => 503,
        }
    }

    /// Returns after how many seconds it makes sense to come back, if it ever does.
    pub fn retry_after_seconds(self) -> Option<u64> {
        match self {
            Self::NoCredential | Self::BadRequest | Self::TooLarge | Self::NotAllowed => None,
            Self::AlreadyDone | Self::CrashesUpstreams => None,
            Self::ConnectionClosed => Some(0),
            Self::NoVersion | Self::ClaimsLost => Some(30),
            Self::NoUpstream | Self::AlreadyRunning | Self::NoClaim | Self::OnTrial => Some(2),
            Self::Resting
            | Self::Overloaded
            | Self::Deadline
            | Self::UpstreamFailed
            | Self::NotReady => Some(1),
        }
    }
}

/// A refusal, as the caller is told it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// A sentence for people.
    pub message: String,
    /// When it makes sense to come back, where more is known than the reason tells.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// Returns after how many whole seconds it makes sense to come back, if it ever does.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let known = self.retry_after.map(|after| after.as_secs_f64().ceil());
        match known {
            Some(seconds) => Some(seconds as u64),
            None => self.reason.retry_after_seconds(),
        }
    }
}
