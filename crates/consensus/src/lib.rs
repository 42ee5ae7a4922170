//! The replicated log: a Raft-style protocol with pre-vote, and its storage.
//!
//! [`core::Replica`] is a pure state machine. Its owner feeds it [`core::Input`] values with a
//! monotonic time and carries out each [`core::Output`] in this order:
//!
//! 1. send `messages`;
//! 2. write `install`, append `records` and sync, which is what [`storage::Store::persist`] does.
//!    It also writes `snapshot` in steps, one per call, so it is called for every output;
//! 3. send `after_sync`: these messages promise that the records are durable;
//! 4. restore the state machine from `install`, apply `committed`, answer `replies`;
//! 5. feed `Input::Persisted` with the output's `sequence`.
//!
//! The crate has no sockets and no clock. Messages carry the id of the replica they are meant for,
//! and a replica drops messages for another id, so an address may change hands.

pub mod core;
pub mod entry;
pub mod id;
pub mod member;
pub mod message;
pub mod settings;
#[cfg(feature = "sim")]
pub mod sim;
pub mod storage;

pub use entry::Entry;
pub use entry::Payload;
pub use entry::Record;
pub use entry::Snapshot;
pub use id::ReplicaId;
pub use member::Member;
pub use member::Members;
pub use message::Message;
pub use settings::Settings;
