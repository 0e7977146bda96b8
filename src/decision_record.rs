//! Records of decisions, from which `gatepier explain` tells what became of a request.

use crate::clock::WallTime;
use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// What was decided about one request, by one box.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request_id: String,
    /// The organisation that sent it.
    pub organisation: String,
    /// The box that decided.
    pub box_name: String,
    /// When the request came.
    pub at: WallTime,
    /// What the caller asked for: a model, a cascade or a service.
    pub asked_for: String,
    /// The generation of the change log that was in force.
    pub generation: u64,
    /// The versions that were weighed, each with what ruled it out.
    pub weighed: Vec<(String, Option<String>)>,
    /// The tries, in order.
    pub tries: Vec<TryRecord>,
    /// The HTTP status of the answer.
    pub status: u16,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Why the request was refused, if it was.
    pub reason: Option<String>,
    /// The tokens generated.
    pub tokens: u64,
    /// The price, in millionths of a credit.
    pub cost_micros: u64,
    /// Whether a bill was made out.
    pub billed: bool,
    /// Milliseconds from the request to the end of its answer.
    pub took_ms: u64,
}

/// One try of a request on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryRecord {
    /// The version, or the service.
    pub ran_on: String,
    /// The upstream's name.
    pub upstream: String,
    /// What came of it.
    pub result: String,
}

/// The newest records, up to a limit.
#[derive(Debug)]
pub struct RecordRing {
    limit: usize,
    order: VecDeque<String>,
    records: HashMap<String, Vec<DecisionRecord>>,
}

impl RecordRing {
    /// Makes a ring for a number of records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            records: HashMap::new(),
        }
    }

    /// Adds a record and drops the oldest beyond the limit.
    pub fn push(&mut self, record: DecisionRecord) {
        self.order.push_back(record.request_id.clone());
        self.records
            .entry(record.request_id.clone())
            .or_default()
            .push(record);
        while self.order.len() > self.limit {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(records) = self.records.get_mut(&oldest) {
            records.remove(0);
            if records.is_empty() {
                self.records.remove(&oldest);
            }
        }
    }

    /// Returns the records of one request.
    pub fn find(&self, request_id: &str) -> Vec<DecisionRecord> {
        self.records.get(request_id).cloned().unwrap_or_default()
    }
}
