//! What the processes of a fleet share.
//!
//! Control replicas agree on the [`configuration`] and the [`roll_out`]s and collect the
//! [`endpoint`] announcements. Entries follow them over [`link`]s: each entry keeps one link to
//! every control replica and asks for changes with long polls, whose answers also renew its lease.

pub mod configuration;
pub mod endpoint;
pub mod link;
pub mod roll_out;
pub mod work;

/// A shared name.
pub type Name = std::sync::Arc<str>;
