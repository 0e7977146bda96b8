//! gatepier: a model-aware router for versions and cascades.
//!
//! The library holds all that decides, as functions of state, event and present
//! time, and the processes around it. `docs/design/overview.md` tells how the
//! parts fit together.

pub mod agent;
pub mod bundle;
pub mod change;
pub mod change_log;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod crash_ledger;
pub mod daemon;
pub mod demo;
pub mod eof_error_stream;
pub mod error;
pub mod evidence;
pub mod fingerprint;
pub mod gateway;
pub mod guard;
pub mod hop_by_hop;
pub mod http_client;
pub mod http_server;
pub mod keys;
pub mod lab;
pub mod ledger;
pub mod live;
pub mod log_output;
pub mod metrics;
pub mod name;
pub mod operate;
pub mod outcome;
pub mod record;
pub mod retry_after;
pub mod router;
pub mod routing;
pub mod session;
pub mod settings;
pub mod store;
pub mod wire;
