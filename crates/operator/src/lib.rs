//! The operator command. Most subcommands carry out one operation of the administration interface.
//!
//! [`cli`] parses arguments, with one module per subcommand, and calls [`ops`], which talks to the
//! control replicas and reads and writes files. Results go to standard output; progress and errors
//! go to standard error.

pub mod cli;
pub mod ops;
