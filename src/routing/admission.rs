//! Admission control with a guaranteed share of the capacity for each organisation.
//!
//! An organisation is guaranteed its share of the requests that the upstreams run concurrently.
//! Idle capacity is lent to other organisations, except for a reserve that lets a guaranteed
//! request in immediately. Nothing is queued: a request without room is refused immediately.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Fraction of the capacity that is never lent, so that guaranteed requests find room.
const RESERVED_FRACTION: f64 = 0.1;

/// Tracks the admitted requests of each organisation.
#[derive(Debug, Default)]
pub struct Admission {
    counts: Mutex<InFlightCounts>,
}

#[derive(Debug, Default)]
struct InFlightCounts {
    total: u32,
    by_organisation: HashMap<String, u32>,
}

impl Admission {
    /// Admits a request, or returns none if neither the organisation's guaranteed share nor the
    /// lendable capacity has room.
    pub fn admit(
        self: &Arc<Self>,
        organisation: &str,
        share: f64,
        capacity: u32,
    ) -> Option<AdmissionPermit> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let in_flight = counts
            .by_organisation
            .get(organisation)
            .copied()
            .unwrap_or(0);
        if !may_admit(in_flight, counts.total, share, capacity) {
            return None;
        }
        counts.total += 1;
        *counts
            .by_organisation
            .entry(organisation.to_owned())
            .or_default() += 1;
        Some(AdmissionPermit {
            admission: self.clone(),
            organisation: organisation.to_owned(),
        })
    }

    fn release(&self, organisation: &str) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.total -= 1;
        if let Some(in_flight) = counts.by_organisation.get_mut(organisation) {
            *in_flight -= 1;
            if *in_flight == 0 {
                counts.by_organisation.remove(organisation);
            }
        }
    }
}

/// Returns whether one more request of an organisation may be admitted.
pub fn may_admit(in_flight: u32, total: u32, share: f64, capacity: u32) -> bool {
    let guaranteed = (share * f64::from(capacity)).floor();
    if f64::from(in_flight) < guaranteed {
        return total < capacity;
    }
    let lendable = (f64::from(capacity) * (1.0 - RESERVED_FRACTION))
        .floor()
        .max(1.0);
    f64::from(total) < lendable
}

/// Permit of an admitted request; dropping it frees the capacity.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<Admission>,
    organisation: String,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission.release(&self.organisation);
    }
}
