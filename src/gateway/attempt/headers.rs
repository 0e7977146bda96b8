//! The headers that callers, upstreams and the router exchange.
//!
//! The names differ from deployment to deployment, so an adapter gives them; the rest
//! of the gateway speaks of meanings only. See `docs/design/platform.md`.

use http::HeaderName;
use std::time::Duration;

/// The name of each header that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of one attempt; upstreams echo it.
    pub request_id: HeaderName,
    /// The milliseconds that the sender will still wait.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The organisation, as the router tells it to upstreams.
    pub organisation: HeaderName,
    /// The instance that a request is meant for.
    pub expect_instance: HeaderName,
    /// The upstream's statement that it did not run the request.
    pub not_executed: HeaderName,
    /// The upstream's signature of an answer.
    pub signature: HeaderName,
    /// The upstream's statement that it takes no more work and will end.
    pub leaving: HeaderName,
    /// The upstream's running and waiting requests and its slots.
    pub load: HeaderName,
    /// The model that is to answer.
    pub model: HeaderName,
    /// The parts of the prompt, in order.
    pub prompt_parts: HeaderName,
    /// The session that a request belongs to.
    pub session: HeaderName,
    /// The urgency for the engine's queue.
    pub urgency: HeaderName,
    /// The engine from which an engine is to fetch what that one keeps of the prompt.
    pub fetch_from: HeaderName,
    /// The engine's own opinion of its answer, from 0 to 100.
    pub confidence: HeaderName,
    /// The last event that the receiver of a stream has.
    pub last_event_id: HeaderName,
    /// Headers that only the router may set; what callers sent in them is dropped.
    pub reserved: Vec<HeaderName>,
}

/// The value of the model header by which callers leave the choice to the router.
pub const ANY_MODEL: &str = "*";

/// The least urgent value of the urgency header.
const LOWEST_URGENCY: u8 = 9;
/// How many ranks of routes lie between two ranks of organisations.
const ROUTE_RANKS_PER_ORGANISATION: u8 = 3;

/// The longest read that does not make a request less urgent; each doubling of it counts a
/// step.
const SHORT_PREFILL: Duration = Duration::from_millis(16);

/// Returns the urgency of a request, 0 the highest.
///
/// The organisation's rank goes first, then the route's. Of equal ones the shortest read goes
/// first: a prompt of the small model takes tens of milliseconds, and would wait for a second
/// behind one of the large model.
pub fn urgency(organisation: u8, route: u8, prefill: Duration) -> u8 {
    let rank = organisation.saturating_mul(ROUTE_RANKS_PER_ORGANISATION);
    rank.saturating_add(route.min(ROUTE_RANKS_PER_ORGANISATION - 1))
        .saturating_add(doublings(prefill))
        .min(LOWEST_URGENCY)
}

/// Returns how many times [`SHORT_READ`] has to be doubled to take as long as a read.
fn doublings(prefill: Duration) -> u8 {
    let short_prefills = prefill.as_millis() / SHORT_PREFILL.as_millis();
    let doublings = short_prefills.checked_ilog2().unwrap_or(0);
    u8::try_from(doublings).unwrap_or(u8::MAX)
}

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id; requests that share the part name the same id.
    pub id: String,
    /// Its tokens.
    pub tokens: u64,
}

/// Reads the parts of a prompt, written as `id:tokens` and joined by commas.
///
/// Parts that cannot be read are left out: they only guide placement.
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

/// What an upstream says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that can run at a time.
    pub slots: u32,
}

/// Reads an upstream's load, written as `running,waiting,slots`.
pub fn parse_load(text: &str) -> Option<ReportedLoad> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let load = ReportedLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    };
    numbers.next().is_none().then_some(load)
}
