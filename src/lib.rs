//! gatepier: a router for model versions, cascades of models and plain services.
//!
//! The library contains the decision logic, as functions of state, event and present time, and the
//! processes built on it. `docs/design/overview.md` describes how the parts fit together.

pub mod agent;
pub mod billing_ledger;
pub mod box_list;
pub mod bundle;
pub mod change;
pub mod change_log;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod crash_ledger;
pub mod daemon;
pub mod decision_record;
pub mod demo;
pub mod eof_error_stream;
pub mod error;
pub mod evidence;
pub mod fingerprint;
pub mod gateway;
pub mod hop_by_hop;
pub mod http_client;
pub mod http_server;
pub mod keys;
pub mod lab;
pub mod late_reading;
pub mod log_output;
pub mod metrics;
pub mod name;
pub mod operate;
pub mod outcome;
pub mod retry_after;
pub mod router;
pub mod routing;
pub mod saturation;
pub mod session;
pub mod settings;
pub mod store;
pub mod version_guard;
pub mod wire;
