//! Records in the store which services have upstreams that bear few rejections.
//!
//! Boxes that all start at once know of no limit before an upstream has answered. Until then the
//! record decides. See `docs/design/rejection-limits.md`.

use super::membership::is_leader;
use super::store::{ControlStore, LimitRecord, RecordWriteResult, Update};
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two checks whether a record is outdated.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps the records up to date while this box is the leader.
pub async fn record_limited_services(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if gw.lease.get().is_none() || !is_leader(&gw, Now::read()) {
            continue;
        }
        for (record, expected) in gw.outdated_limit_records(Now::read()) {
            write(&gw, &*store, record, expected).await;
        }
    }
}

async fn write(gw: &Gateway, store: &dyn ControlStore, record: LimitRecord, expected: u64) {
    gw.telemetry.count_store_call("write");
    match store.write_limit(&record, expected).await {
        Ok(RecordWriteResult::Written(revision)) => {
            log::info!(service = record.service.as_str(), is_limited = record.is_limited; "recorded whether the service states rejection limits");
            let update = Update::LimitRecorded(record, revision);
            gw.knowledge.borrow_mut().apply(update, Now::read());
        }
        Ok(RecordWriteResult::Conflict) => {
            log::info!(service = record.service.as_str(); "another box recorded the rejection limits");
        }
        // The watch delivers the record if it was written.
        Err(err) => gw.store_failed(&err, Now::read()),
    }
}
