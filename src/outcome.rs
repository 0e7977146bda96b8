//! The outcome and the reason that a caller gets when a request is refused.
//!
//! Once a request is dispatched to upstreams, only [`Dispatch`] can give [`Outcome::NotRun`], and it
//! cannot after a byte may have been sent; so this rule is enforced in one place. See
//! `docs/design/outcomes.md`.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

/// Whether a request ran at an upstream, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and its answer is complete.
    Done,
    /// No byte of the request was sent to an upstream, and none will be.
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

/// State of a [`Dispatch`]: no byte of the request has been sent to an upstream.
#[derive(Debug)]
pub struct Unsent;

/// State of a [`Dispatch`]: bytes of the request may have been sent to an upstream.
#[derive(Debug)]
pub struct MaybeSent;

/// Whether a request may have been sent to an upstream, tracked as a type state.
#[derive(Debug)]
pub struct Dispatch<S> {
    state: PhantomData<S>,
}

impl Dispatch<Unsent> {
    /// Starts with a request that has not been sent.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Records that the request is about to be sent to an upstream.
    pub fn send(self) -> Dispatch<MaybeSent> {
        Dispatch { state: PhantomData }
    }

    /// Returns the outcome for a refusal: the request has not run.
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
    /// Reverts to unsent, given the proof that the try wrote no byte because its connection was
    /// never opened.
    pub fn revert_to_unsent(self, _proof: ConnectFailed) -> Dispatch<Unsent> {
        Dispatch { state: PhantomData }
    }

    /// Returns the outcome for a refusal: it is unknown whether the request ran.
    pub fn refusal_outcome(&self) -> Outcome {
        Outcome::Unknown
    }
}

/// Proof that a try wrote no byte to its upstream, because its connection was never opened.
#[derive(Debug)]
pub struct ConnectFailed(());

impl ConnectFailed {
    /// Returns the proof if the HTTP client's error implies that nothing was sent.
    pub fn from_send_error(err: &awc::error::SendRequestError) -> Option<Self> {
        crate::http_client::proves_unsent(err).then_some(Self(()))
    }
}

/// The tries of one request so far, and the outcome for a refusal after them.
#[derive(Debug, Default)]
pub struct DispatchLog {
    maybe_sent: Option<Dispatch<MaybeSent>>,
    unsent: Dispatch<Unsent>,
}

impl DispatchLog {
    /// Begins a try, which may write to its upstream from now on.
    pub fn begin_try(&self) -> Dispatch<MaybeSent> {
        Dispatch::new().send()
    }

    /// Records that a try wrote no byte.
    pub fn record_unsent(&mut self, dispatch: Dispatch<MaybeSent>, proof: ConnectFailed) {
        self.unsent = dispatch.revert_to_unsent(proof);
    }

    /// Records that a try may have written to its upstream.
    pub fn record_maybe_sent(&mut self, dispatch: Dispatch<MaybeSent>) {
        self.maybe_sent = Some(dispatch);
    }

    /// Returns the outcome for a refusal at this point.
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
    /// The request is malformed.
    BadRequest,
    /// The request exceeds the size limit.
    TooLarge,
    /// The organisation may not use a model, cascade or service with this name, or none exists.
    NotAllowed,
    /// All versions that the organisation allows are out of service.
    NoVersion,
    /// No upstream is available for the request.
    NoUpstream,
    /// The organisation's guaranteed share and the capacity lent by others are used up.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The idempotency key cannot be claimed at the moment.
    NoClaim,
    /// A request with the same idempotency key is running, or how it ended is unknown.
    AlreadyRunning,
    /// A request with the same idempotency key has finished, and its answer is no longer stored.
    AlreadyDone,
    /// The claims that would show whether the idempotency key was used are lost.
    ClaimsLost,
    /// The upstream failed.
    UpstreamFailed,
    /// All upstreams that could serve have requested a back-off from this router.
    Resting,
    /// The request is quarantined because it crashes the upstreams that run it.
    CrashesUpstreams,
    /// The request is suspected of crashing upstreams, and another send of it is on trial.
    OnTrial,
    /// The router has received no configuration from its agent yet.
    NotReady,
    /// The router is closing the connection and reads no more requests from it.
    ConnectionClosed,
    /// A message that other requests share crashes the upstreams that run them.
    PartCrashesUpstreams,
}

impl Reason {
    /// Returns the name of the reason as used in answers, logs and metrics.
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
            Self::PartCrashesUpstreams => "part-crashes-upstreams",
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
            | Self::PartCrashesUpstreams
            | Self::Resting
            | Self::NotReady => 503,
        }
    }

    /// Returns the delay in seconds before a retry can succeed; none if retrying is pointless.
    pub fn retry_after_seconds(self) -> Option<u64> {
        match self {
            Self::NoCredential | Self::BadRequest | Self::TooLarge | Self::NotAllowed => None,
            Self::AlreadyDone | Self::CrashesUpstreams => None,
            Self::ConnectionClosed => Some(0),
            Self::NoVersion | Self::ClaimsLost | Self::PartCrashesUpstreams => Some(30),
            Self::NoUpstream | Self::AlreadyRunning | Self::NoClaim | Self::OnTrial => Some(2),
            Self::Resting
            | Self::Overloaded
            | Self::Deadline
            | Self::UpstreamFailed
            | Self::NotReady => Some(1),
        }
    }
}

/// A refusal, as sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Whether the request ran at an upstream, as far as is known.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// Human-readable explanation.
    pub message: String,
    /// Delay before a retry, if it is known more exactly than the default of the reason.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// Returns the delay in whole seconds before a retry can succeed; none if retrying is
    /// pointless.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let known = self.retry_after.map(|delay| delay.as_secs_f64().ceil());
        match known {
            Some(seconds) => Some(seconds as u64),
            None => self.reason.retry_after_seconds(),
        }
    }
}
