//! What a request costs, and its bill.

use super::context::{Caller, Worker};
use super::trace::Trace;
use crate::bundle::Bundle;
use crate::claim::{AttemptId, Bill, Finish};
use crate::clock::Now;
use crate::name::VersionName;
use std::rc::Rc;

/// The number of tokens that a version's price is for.
const TOKENS_PER_PRICE: u64 = 1000;

/// What the steps of one request cost so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    tokens: u64,
    micros: u64,
}

impl Cost {
    /// Adds a step's tokens at its version's price.
    pub fn add(&mut self, bundle: &Bundle, version: &VersionName, tokens: u64) {
        let price = bundle.version(version).map_or(0, |found| found.cost_micros);
        self.tokens += tokens;
        self.micros += (tokens * price).div_ceil(TOKENS_PER_PRICE);
    }
}

/// Makes out the bill, before the end of the answer goes out.
pub async fn bill(
    worker: &Rc<Worker>,
    caller: &Caller,
    version: &VersionName,
    cost: &Cost,
    trace: &mut Trace,
) {
    let bill = Bill {
        key: caller.key(),
        ran_on: version.to_string(),
        tokens: cost.tokens,
        cost_micros: cost.micros,
        at: Now::read().wall,
    };
    trace.record.tokens = cost.tokens;
    trace.record.cost_micros = cost.micros;
    trace.record.billed = true;
    let finish = Finish {
        response: None,
        bill: Some(bill),
    };
    worker
        .finish(caller.key(), AttemptId::random(), finish)
        .await;
}
