//! Placement: which upstream and which model a request is sent to.

pub mod cache_affinity;
pub mod candidates;
pub mod choose;
pub mod engine_cost;
pub mod engine_queue;
pub mod engine_speed;
pub mod escalation;
pub mod event_pace;
pub mod expected_wait;
pub mod fleet_view;
pub mod held_streams;
pub mod load_control;
pub mod model_choice;
pub mod model_trials;
pub mod peer_loads;
pub mod plain_cost;
pub mod prefill_rate;
pub mod rate_limits;
pub mod rate_samples;
pub mod service_time;
pub mod slots;
pub mod stated_speed;
pub mod turn_queue;
pub mod warm_up;
