//! A replicated log based on Raft with pre-vote, and its storage.
//!
//! [`core::Replica`] is a state machine without I/O. The caller passes it [`core::Input`] values
//! and a monotonic time, and processes each [`core::Output`] in this order:
//!
//! 1. Send `messages`.
//! 2. Write and sync `install` and `records` with [`storage::Store::write`]. If the disk is full,
//!    the store keeps the output and retries it on the next call. Each call also writes one step
//!    of the local snapshot, so it must be made for every output.
//! 3. Send `after_sync`. These messages tell other replicas that the records are durable.
//! 4. Restore the state machine from `install`, apply `committed`, and deliver `replies`.
//! 5. Pass `Input::Persisted` with the output's `sequence`, and `Input::DiskFull` when the disk
//!    becomes full or has space again, to the replica.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use hickoryreel_consensus::Message;
//! use hickoryreel_consensus::core::{Input, Output, Replica};
//! use hickoryreel_consensus::storage::{Error, Store};
//!
//! /// One iteration of the caller's event loop. Returns the inputs for the next iteration.
//! fn iterate(
//!     (replica, store): (&mut Replica, &mut Store),
//!     (inputs, now): (Vec<Input>, Duration),
//!     send: impl Fn(Message),
//!     apply: impl FnOnce(Output),
//! ) -> Result<Vec<Input>, Error> {
//!     let mut output = replica.step_all(inputs, now);
//!     output.messages.drain(..).for_each(&send);
//!     let written = store.write(&mut output)?;
//!     written.after_sync.into_iter().for_each(&send);
//!     apply(output);
//!     Ok(written.inputs)
//! }
//! ```
//!
//! The crate uses no sockets and no clock. Each message names its receiver, and a replica drops
//! messages for another id, so a new replica can reuse the address of an old one.

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
