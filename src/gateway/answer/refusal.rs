//! The final answer to a request that no upstream answered.
//!
//! What a refusal may say follows from what is known of the tries, in this one place:
//! only a request that certainly ran nowhere is told so. See `docs/design/platform.md`.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use std::time::Duration;

/// Why a request gets no upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// What is known is too old to serve keys by, or to say that something does not exist.
    Stale,
    /// No route fits the host and the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not come, or not in time.
    NoBody,
    /// The route's model is the router's choice, and the caller named one.
    ModelNamed,
    /// No upstream takes the request.
    NoUpstream,
    /// Every upstream that was asked is full.
    Full,
    /// The process is about to end, and the request would outlast it.
    Stopping,
    /// The time is over.
    Deadline,
    /// An upstream failed, and the request may not be sent again.
    UpstreamFailed,
    /// All upstreams have asked this box for rest, and the first one takes requests after so long.
    Resting(Duration),
    /// All upstreams warm up, and this box may send to one of them after so long.
    WarmingUp(Duration),
    /// Operators have evacuated the halls of all upstreams.
    Evacuated,
    /// The request crashes the upstreams that run it.
    CrashesUpstreams,
    /// The request was at several crashes, and another send of it is on trial for at most so long.
    OnTrial(Duration),
}

impl RefusalReason {
    /// Returns the name of the reason in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Stale => "stale",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::TooLarge => "too-large",
            Self::NoBody => "no-body",
            Self::ModelNamed => "model-named",
            Self::NoUpstream => "no-upstream",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::Deadline => "deadline",
            Self::UpstreamFailed => "upstream-failed",
            Self::Resting(_) => "resting",
            Self::WarmingUp(_) => "warming-up",
            Self::Evacuated => "evacuated",
            Self::CrashesUpstreams => "crashes-upstreams",
            Self::OnTrial(_) => "on-trial",
        }
    }

    /// Every reason.
    const ALL: [Self; 17] = [
        Self::NoConfiguration,
        Self::Stale,
        Self::NoRoute,
        Self::UnknownKey,
        Self::TooLarge,
        Self::NoBody,
        Self::ModelNamed,
        Self::NoUpstream,
        Self::Full,
        Self::Stopping,
        Self::Deadline,
        Self::UpstreamFailed,
        Self::Resting(Duration::ZERO),
        Self::WarmingUp(Duration::ZERO),
        Self::Evacuated,
        Self::CrashesUpstreams,
        Self::OnTrial(Duration::ZERO),
    ];

    /// Returns the reason of a name, as logs hold it.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|why| why.name() == name)
    }

    /// Says for people what the reason means and where its cause is to be looked for.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::NoConfiguration => "the box had just started and not reached the store yet",
            Self::Stale => {
                "the box had no recent proof of what is in force, or knew of something newer that it did not have; the store, or the way to it and to the hubs, was away or too narrow"
            }
            Self::NoRoute => "no route of the configuration fits its host and path",
            Self::UnknownKey => "its key is missing or not in the configuration",
            Self::TooLarge => "its body is larger than the configuration allows",
            Self::NoBody => "its body did not come in time",
            Self::ModelNamed => "it names a model where the router chooses",
            Self::NoUpstream => "no upstream of the service took a connection or was listed",
            Self::Full => "every upstream that was asked refused it",
            Self::Stopping => "the box was about to end",
            Self::Deadline => "its time was over",
            Self::UpstreamFailed => "its upstream failed and it may not be sent again",
            Self::Resting(_) => "every upstream of the service had asked this box for rest",
            Self::WarmingUp(_) => {
                "every upstream of the service was warming up and bore no more requests"
            }
            Self::Evacuated => "operators had evacuated the halls of all upstreams of the service",
            Self::CrashesUpstreams => {
                "upstreams crashed that ran this request, the last one while it was on trial there"
            }
            Self::OnTrial(_) => {
                "upstreams crashed that ran this request, and another send of it was on trial"
            }
        }
    }

    /// Returns when it makes sense to come back, if it does.
    fn come_back_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration | Self::NoUpstream => Some(Duration::from_millis(300)),
            Self::Full => Some(Duration::from_millis(150)),
            // Another box may serve it at once.
            Self::Stale | Self::Stopping => Some(Duration::from_millis(10)),
            // Halls are given back after seconds at the earliest.
            Self::Evacuated => Some(Duration::from_secs(1)),
            Self::OnTrial(left) | Self::Resting(left) => Some(left),
            // Another box may have a turn sooner.
            Self::WarmingUp(left) => Some(left.min(NEXT_TURN)),
            _ => None,
        }
    }
}

/// The longest time until some box has a turn at an upstream that warms up.
const NEXT_TURN: Duration = Duration::from_millis(500);

/// Whether any try of a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It certainly ran nowhere and will not.
    Never,
    /// It may have run.
    Possible,
}

/// Returns the status that a request gets.
pub fn status(why: RefusalReason, ran: Execution) -> StatusCode {
    match (why, ran) {
        (RefusalReason::NoRoute, _) => StatusCode::NOT_FOUND,
        (RefusalReason::UnknownKey, _) => StatusCode::UNAUTHORIZED,
        (RefusalReason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (RefusalReason::NoBody, _) => StatusCode::REQUEST_TIMEOUT,
        (RefusalReason::ModelNamed, _) => StatusCode::MISDIRECTED_REQUEST,
        // The same request has no better fate at another time, so callers should not repeat it.
        (RefusalReason::CrashesUpstreams, _) => StatusCode::BAD_REQUEST,
        (RefusalReason::Deadline, Execution::Possible) => StatusCode::GATEWAY_TIMEOUT,
        (_, Execution::Possible) => StatusCode::BAD_GATEWAY,
        (_, Execution::Never) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Makes the final answer.
pub fn answer(why: RefusalReason, ran: Execution) -> Response<BoxBody> {
    let mut builder = Response::build(status(why, ran));
    if ran == Execution::Never
        && let Some(after) = why.come_back_after()
    {
        builder.insert_header((
            actix_http::header::RETRY_AFTER,
            format!("{:.3}", after.as_secs_f64()),
        ));
    }
    if matches!(
        why,
        RefusalReason::Stopping | RefusalReason::Stale | RefusalReason::NoBody
    ) {
        builder.force_close();
    }
    let text = format!("{}\n", why.name());
    builder.body(text).map_into_boxed_body()
}
