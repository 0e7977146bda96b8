//! Headers exchanged between callers, the router and upstreams.
//!
//! Their names differ between deployments and are provided by an adapter; the rest of the gateway
//! refers to their meaning only. See `docs/design/platform.md`.

use http::{HeaderName, HeaderValue};
use std::time::Duration;

/// The name of each header that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of one attempt; upstreams echo it.
    pub request_id: HeaderName,
    /// How many milliseconds the sender is still going to wait.
    pub deadline: HeaderName,
    /// The caller's API key.
    pub key: HeaderName,
    /// The organisation of the caller, as the router reports it to upstreams.
    pub organisation: HeaderName,
    /// The upstream instance that a request is meant for.
    pub expect_instance: HeaderName,
    /// The upstream instance that answers a health check.
    pub instance: HeaderName,
    /// The upstream's statement that it did not run the request.
    pub not_executed: HeaderName,
    /// The upstream's signature of an answer.
    pub signature: HeaderName,
    /// The upstream's announcement that it takes no more requests and is going to end.
    pub leaving: HeaderName,
    /// The requests per second that the upstream accepts from all boxes together.
    pub rate_limit: HeaderName,
    /// The rejections for lack of room per second that the upstream bears.
    pub rejection_limit: HeaderName,
    /// The number of running and waiting requests and of slots of the upstream, and how long work
    /// takes there at the moment.
    pub load: HeaderName,
    /// The model that is to answer.
    pub model: HeaderName,
    /// The parts of the prompt, in order.
    pub prompt_parts: HeaderName,
    /// The session that a request belongs to.
    pub session: HeaderName,
    /// The urgency in the engine's queue.
    pub urgency: HeaderName,
    /// The address of the engine from which to fetch the cached prefix of the prompt.
    pub fetch_from: HeaderName,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// The last event that the receiver of a stream has received.
    pub last_event_id: HeaderName,
    /// Headers that only the router may set; values sent by callers are dropped.
    pub reserved: Vec<HeaderName>,
}

/// Value of the model header with which callers leave the choice to the router.
pub const ANY_MODEL: &str = "*";

/// The least urgent value of the urgency header.
const LOWEST_URGENCY: u8 = 9;
/// Number of route ranks within one rank of organisations.
const ROUTE_RANKS_PER_ORGANISATION: u8 = 3;

/// The longest prefill that does not make a request less urgent; each doubling lowers its urgency
/// by one step.
const SHORT_PREFILL: Duration = Duration::from_millis(16);

/// Returns whether a text reaches the receiver of a header as it is. Names that other programs choose
/// may hold characters that no header can, and blanks at the ends of a value are dropped.
pub fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && HeaderValue::from_str(text).is_ok()
}

/// Returns the urgency of a request, where 0 is the most urgent.
///
/// Requests are ordered by the organisation's rank, then by the route's, then by prefill time,
/// shortest first: a prompt of the small model takes tens of milliseconds, and would wait for a
/// second behind one of the large model.
pub fn urgency(organisation: u8, route: u8, prefill: Duration) -> u8 {
    let rank = organisation.saturating_mul(ROUTE_RANKS_PER_ORGANISATION);
    rank.saturating_add(route.min(ROUTE_RANKS_PER_ORGANISATION - 1))
        .saturating_add(doublings(prefill))
        .min(LOWEST_URGENCY)
}

/// Returns how many times [`SHORT_PREFILL`] has to be doubled to reach a prefill time.
fn doublings(prefill: Duration) -> u8 {
    let short_prefills = prefill.as_millis() / SHORT_PREFILL.as_millis();
    let doublings = short_prefills.checked_ilog2().unwrap_or(0);
    u8::try_from(doublings).unwrap_or(u8::MAX)
}

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; requests that share the part send the same id.
    pub id: String,
    /// Number of tokens.
    pub tokens: u64,
}

/// Parses the parts of a prompt, in the form `id:tokens` and separated by commas.
///
/// Invalid parts are skipped, since parts only guide placement.
pub fn parse_prompt_parts(text: &str) -> Vec<PromptPart> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart {
            id: id.to_owned(),
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}

/// The load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual time; `None` if not stated.
    pub work_time_percent: Option<u32>,
}

/// Parses an upstream's load, in the form `running,waiting,slots` or
/// `running,waiting,slots,work_time_percent`.
///
/// Figures that follow are ignored, so that upstreams may state more than this version knows.
pub fn parse_load(text: &str) -> Option<ReportedLoad> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let load = ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        work_time_percent: match numbers.next() {
            Some(stated) => Some(stated?),
            None => None,
        },
    };
    numbers.all(|number| number.is_some()).then_some(load)
}
