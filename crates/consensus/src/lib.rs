//! The replicated log: a Raft-style protocol with pre-vote, and its storage.
//!
//! [`core::Replica`] is a pure state machine. Its owner feeds it [`core::Input`] values with a
//! monotonic time and carries out each [`core::Output`] in this order:
//!
//! 1. send `messages`;
//! 2. write `install` and `records` and sync. [`storage::Store::write`] does this and keeps what a
//!    full disk refuses. It also writes `snapshot` in steps, one per call, so it is called for
//!    every output;
//! 3. send `after_sync`: these messages promise that the records are durable;
//! 4. restore the state machine from `install`, apply `committed`, answer `replies`;
//! 5. feed `Input::Persisted` with the output's `sequence`, and `Input::DiskFull` on a change.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use hickoryreel_consensus::Message;
//! use hickoryreel_consensus::core::{Input, Output, Replica};
//! use hickoryreel_consensus::storage::{Error, Store};
//!
//! /// One turn of the owner's loop. Returns the inputs to feed in the next turn.
//! fn turn(
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
