//! Log lines about the slots of upstreams that bear few rejections.

use super::Telemetry;
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::place::fleet_view::FleetView;
use crate::gateway::place::slots::LoanId;

impl Telemetry {
    /// Records that a slot was lent, and what this box counted as used before.
    pub fn record_slot_lent(
        &self,
        upstream: &Upstream,
        id: LoanId,
        fleet: FleetView<'_>,
        now: Now,
    ) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let borrower = id.borrower.to_string();
        log::info!(
            upstream = instance.as_str(),
            borrower = borrower.as_str(),
            loan = id.number,
            share = upstream.slots().share(upstream.known_slots(), fleet, now),
            in_use = upstream.slots().in_use(upstream.outstanding(), now),
            boxes = fleet.box_count();
            "lent a slot"
        );
    }

    /// Records that a lent slot is free again, and why.
    pub fn record_loan_end(&self, upstream: &Upstream, id: LoanId, reason: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let borrower = id.borrower.to_string();
        log::info!(
            upstream = instance.as_str(),
            borrower = borrower.as_str(),
            loan = id.number,
            reason;
            "a lent slot is free again"
        );
    }
}
