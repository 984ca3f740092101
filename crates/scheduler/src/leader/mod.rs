//! The leader's decision logic, free of I/O: replies to clients and the operator, admission, placement, and
//! the calls to workers.
//!
//! Commands are collected while events are handled, and `Leader::flush` proposes them together. No reply or
//! order is issued before the command that it depends on is committed and passed back as
//! `Input::BatchApplied`.

mod admission;
mod amounts;
mod attempt_examination;
mod attempt_outcomes;
mod attempt_progress;
mod attempts;
mod batch;
mod begun_jobs;
mod cancellations;
mod capacity_reservation;
mod client_requests;
mod clock;
mod command_size;
mod committed_changes;
mod configuration_changes;
mod demand;
mod due_times;
mod event_loop;
mod gang_pause;
mod gang_starts;
mod held_gangs;
mod history;
mod instances;
mod interface;
mod lateness_notices;
mod lease_rules;
mod list_reads;
mod listing_age;
mod load_shedding;
mod mechanisms;
mod missed_wake_ups;
mod occupancy;
mod outlier_detector;
mod own_lateness;
mod pending_count;
mod pending_requests;
mod placement_choice;
mod poll_queue;
mod preemption;
mod queueing;
mod recovery;
mod rejected_jobs;
mod reports;
mod reservations;
mod schedule;
mod service;
mod settings;
mod start_delay;
mod start_pace;
mod status_queries;
mod timers;
mod turn_budget;
mod work;
mod worker_availability;
mod worker_entry;
mod worker_events;
mod worker_lease_need;
mod worker_sessions;

pub use event_loop::Leader;
pub use interface::{CallId, ConfigurationReply, Input, Output};
pub use lease_rules::client_reply_under_lease;
pub use mechanisms::{Mechanism, Mechanisms};
pub use missed_wake_ups::MissedWakeUp;
pub use recovery::LeaderRecovery;
pub use reports::LeaderLoad;
pub use settings::LeaderSettings;
pub use work::LeaderWork;
pub use worker_events::{GangProgress, WorkerEvent};
