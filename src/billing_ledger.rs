//! Reads the billing ledger in the store, in which each claim key is billed once.

use crate::claim::{Bill, ClaimKey};
use crate::store::layout::ledger_prefix;
use crate::store::{Store, StoreResult};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const PAGE_ENTRIES: usize = 200;

/// Upper bound of the number of bills in one segment.
pub const MAX_SEGMENT_BILLS: usize = 1000;

/// Bills that are stored in one entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Segment {
    /// The bills.
    pub bills: Vec<Bill>,
}

/// Reads a partner's whole ledger. If a key has several bills, the first one counts.
pub async fn read_ledger(
    store: &dyn Store,
    partner: &str,
) -> StoreResult<BTreeMap<ClaimKey, Bill>> {
    let prefix = ledger_prefix(partner);
    let mut after = String::new();
    let mut ledger = BTreeMap::new();
    loop {
        let page = store.list(&prefix, &after, PAGE_ENTRIES).await?;
        let Some((last, _)) = page.last() else {
            return Ok(ledger);
        };
        after = last.clone();
        for (_, found) in page {
            let segment: Segment = serde_json::from_slice(&found.value).unwrap_or_default();
            for bill in segment.bills {
                ledger.entry(bill.key.clone()).or_insert(bill);
            }
        }
    }
}
