//! Retry budget: retries are limited to a fraction of the successful requests, so that a failing
//! upstream does not get a retry storm as well.

use std::sync::atomic::{AtomicI64, Ordering};

const RETRY_COST_TOKENS: i64 = 10;
const SUCCESS_DEPOSIT_TOKENS: i64 = 1;
const MAX_TOKENS: i64 = 1_000;
const INITIAL_TOKENS: i64 = 100;

/// Token bucket for the retries of a router, filled by successful requests.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: AtomicI64::new(INITIAL_TOKENS),
        }
    }
}

impl RetryBudget {
    /// Adds the token of a successful request. Ten of them pay for one retry.
    pub fn deposit(&self) {
        if self.tokens.load(Ordering::Relaxed) < MAX_TOKENS {
            self.tokens
                .fetch_add(SUCCESS_DEPOSIT_TOKENS, Ordering::Relaxed);
        }
    }

    /// Takes the tokens for one retry. Returns false if there are not enough.
    pub fn withdraw(&self) -> bool {
        let withdrawal = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                (tokens >= RETRY_COST_TOKENS).then(|| tokens - RETRY_COST_TOKENS)
            });
        withdrawal.is_ok()
    }
}
