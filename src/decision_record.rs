//! Records of decisions, from which `gatepier explain` reports what happened to a request.

use crate::clock::WallTime;
use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// One box's decisions about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The id of the request.
    pub request_id: String,
    /// The organisation that sent it.
    pub organisation: String,
    /// The box that made the decisions.
    pub box_name: String,
    /// Time at which the request arrived.
    pub at: WallTime,
    /// The requested model, cascade or service.
    pub asked_for: String,
    /// The generation of the change log in force.
    pub generation: u64,
    /// The versions that were considered, each with the reason that ruled it out, if any.
    pub weighed: Vec<(String, Option<String>)>,
    /// The tries in order.
    pub tries: Vec<TryRecord>,
    /// The HTTP status of the answer.
    pub status: u16,
    /// Whether the request ran at an upstream, as far as is known.
    pub outcome: Outcome,
    /// Why the request was refused, if it was.
    pub reason: Option<String>,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Price in millionths of a credit.
    pub cost_micros: u64,
    /// Whether the request was billed.
    pub billed: bool,
    /// Time from the request's arrival to the end of its answer in milliseconds.
    pub took_ms: u64,
}

/// One try of a request on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryRecord {
    /// The version or service that was tried.
    pub ran_on: String,
    /// The upstream's name.
    pub upstream: String,
    /// The result of the try.
    pub result: String,
}

/// Ring buffer of the newest records.
#[derive(Debug)]
pub struct RecordRing {
    capacity: usize,
    /// The request ids of the records, oldest first.
    order: VecDeque<String>,
    /// The records by request id, oldest first.
    records: HashMap<String, Vec<DecisionRecord>>,
}

impl RecordRing {
    /// Creates a ring buffer for a number of records.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            records: HashMap::new(),
        }
    }

    /// Adds a record and drops the oldest ones beyond the capacity.
    pub fn push(&mut self, record: DecisionRecord) {
        self.order.push_back(record.request_id.clone());
        self.records
            .entry(record.request_id.clone())
            .or_default()
            .push(record);
        while self.order.len() > self.capacity {
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
