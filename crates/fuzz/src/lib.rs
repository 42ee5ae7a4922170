//! Stateful fuzzing of the control state machine against a simple oracle.
//!
//! [`event`] generates random events at operators, entries, endpoints and the network. [`world`]
//! simulates them and turns each event into commands; messages between entries and the log are
//! lost, duplicated, delayed and reordered. The [`oracle`] predicts the answer to each command from
//! plain lists. [`harness`] applies the commands to the real machine, compares the answers with the
//! predictions, and has [`invariants`] check the guarantees on the machine's answers alone. [`run`]
//! runs many such cases from a seed. [`cluster`] runs the machine on the replicated log in virtual
//! time, with leases and faults.

pub mod answer;
pub mod cluster;
pub mod event;
pub mod harness;
pub mod invariants;
pub mod oracle;
pub mod run;
pub mod world;
