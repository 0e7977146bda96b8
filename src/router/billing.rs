//! The price of a request, and its billing record.

use super::context::{Caller, Worker};
use super::trace::Trace;
use crate::bundle::Bundle;
use crate::claim::{AttemptId, Bill, Finish};
use crate::clock::Now;
use crate::name::VersionName;
use std::rc::Rc;

/// The number of tokens that a version's price is for.
const TOKENS_PER_PRICE_UNIT: u64 = 1000;

/// The total price of the steps of one request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    tokens: u64,
    cost_micros: u64,
}

impl Cost {
    /// Adds the tokens of a step at the price of its version.
    pub fn add_tokens(&mut self, bundle: &Bundle, version: &VersionName, tokens: u64) {
        let price = bundle
            .version(version)
            .map_or(0, |version| version.cost_micros);
        self.tokens += tokens;
        self.cost_micros += (tokens * price).div_ceil(TOKENS_PER_PRICE_UNIT);
    }
}

/// Records the billing record, before the end of the response is sent.
pub async fn record_bill(
    worker: &Rc<Worker>,
    caller: &Caller,
    version: &VersionName,
    cost: &Cost,
    trace: &mut Trace,
) {
    let bill = Bill {
        key: caller.claim_key(),
        ran_on: version.to_string(),
        tokens: cost.tokens,
        cost_micros: cost.cost_micros,
        at: Now::read().wall,
    };
    trace.record.tokens = cost.tokens;
    trace.record.cost_micros = cost.cost_micros;
    trace.record.billed = true;
    let finish = Finish {
        response: None,
        bill: Some(bill),
    };
    worker
        .record_finish(caller.claim_key(), AttemptId::random(), finish)
        .await;
}
