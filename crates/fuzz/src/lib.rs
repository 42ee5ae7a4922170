//! Stateful fuzzing of the control state machine against a simple oracle.
//!
//! [`event`] generates what operators, entries, endpoints and the network do. [`world`] turns each
//! event into commands, with messages that are lost, repeated, delayed and reordered. The
//! [`oracle`] predicts the answer to each command from plain lists. [`harness`] applies the
//! commands to the real machine, lets the [`ledger`] check the guarantees on the machine's own
//! answers, and compares the answers with the prediction. [`run`] drives many cases. [`cluster`]
//! runs the machine on the replicated log in virtual time, with leases and faults.

pub mod answer;
pub mod cluster;
pub mod event;
pub mod harness;
pub mod ledger;
pub mod oracle;
pub mod run;
pub mod world;
