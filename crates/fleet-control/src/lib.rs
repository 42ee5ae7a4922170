//! A control replica of a fleet.
//!
//! Calls of operators and endpoints arrive at [`control::Control`]. Orders go through the
//! replicated log, whose thread ([`log`]) applies them to the [`machine`] and publishes the agreed
//! state. Announcements go to the [`directory`] and to the other replicas. Entries follow both with
//! long polls ([`follow`]). The leader's controllers change the [`members`] and steer the
//! [`roll_out`]s.

pub mod board;
pub mod control;
pub mod directory;
pub mod follow;
pub mod log;
pub mod machine;
pub mod members;
pub mod metrics;
pub mod peers;
pub mod quorum;
pub mod roll_out;
pub mod run;
pub mod settings;
