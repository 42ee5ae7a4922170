//! Errors of a subcommand and their exit codes.

use std::process::ExitCode;

use derive_more::Display;
use derive_more::From;
use hickoryreel_base::error::Detail;

/// Why a subcommand failed.
#[derive(Debug, Display, From)]
pub enum Failure {
    /// The control replica refused the operation.
    #[display("{}: {}", _0.code, _0.message)]
    Refused(Detail),
    /// A bundle file or a file of samples is invalid. The text lists one mistake per line.
    #[display("{_0}")]
    #[from(skip)]
    InvalidFile(String),
    /// The arguments are wrong, or a file that they name cannot be read or written.
    #[display("{_0}")]
    #[from(skip)]
    Arguments(String),
    /// No leader answered in time. A write may have taken effect.
    #[display("not reachable: {_0}")]
    #[from(skip)]
    NotReachable(String),
    /// The answer doesn't have the expected status or content.
    #[display("unexpected answer: {_0}")]
    #[from(skip)]
    UnexpectedAnswer(String),
}

impl Failure {
    /// Returns 1 if the operation was refused or an input or answer is invalid, 2 for wrong
    /// arguments, and 3 if no leader was reachable.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::InvalidFile(_) | Self::UnexpectedAnswer(_) => 1,
            Self::Arguments(_) => 2,
            Self::NotReachable(_) => 3,
        })
    }

    /// Returns the failure in the form of the error body of the administration interface.
    pub fn json(&self) -> serde_json::Value {
        let (code, message) = match self {
            Self::Refused(detail) => (detail.code.clone(), detail.message.clone()),
            Self::InvalidFile(text) => ("invalid_bundle".to_owned(), text.clone()),
            Self::Arguments(text) => ("wrong_arguments".to_owned(), text.clone()),
            Self::NotReachable(text) => ("not_reachable".to_owned(), text.clone()),
            Self::UnexpectedAnswer(text) => ("unexpected_answer".to_owned(), text.clone()),
        };
        serde_json::json!({"error": {"code": code, "message": message}})
    }
}
