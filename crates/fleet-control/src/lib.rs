//! A control replica of a fleet.
//!
//! Requests of operators and endpoints arrive at [`control::Control`]. Operator commands go through
//! the replicated log. Its thread ([`replicated_log`]) applies them to the state [`machine`] and
//! publishes the result. Announcements go to the [`directory`] and to the other replicas. Entries
//! get updates of both through long polls ([`long_poll`]). The leader limits the requests to endpoints
//! that warm up ([`cold_admission`]). On the leader, controllers change the
//! [`members`], advance the [`roll_out`]s and find the first version of a service
//! ([`version_adoption`]).

pub mod cold_admission;
pub mod consensus_client;
pub mod control;
pub mod departure_recorder;
pub mod directory;
pub mod load_totals;
pub mod long_poll;
pub mod machine;
pub mod members;
pub mod metrics;
pub mod peers;
pub mod replicated_log;
pub mod roll_out;
pub mod run;
pub mod send_totals;
pub mod settings;
pub mod version_adoption;
