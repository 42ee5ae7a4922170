//! Types and connections shared by the processes of a fleet.
//!
//! Control replicas agree on the [`configuration`] and the [`roll_out`]s and collect the
//! [`endpoint`] announcements; they also remember [`former_keys`] and each [`departure`] of an endpoint.
//! Each entry keeps one [`link`] to every control replica and asks for changes with long polls, whose
//! answers also renew its lease. Entries exchange the [`load`] that
//! they put on endpoints, and what they know about a [`crash`] of one, through a control replica.
//! An operator gets an [`explanation`] of an entry's choices over a link.

pub mod configuration;
pub mod crash;
pub mod departure;
pub mod endpoint;
pub mod explanation;
pub mod former_keys;
pub mod histogram;
pub mod link;
pub mod load;
pub mod roll_out;

/// A name that is cheap to clone.
pub type Name = std::sync::Arc<str>;
