//! Failures of a subcommand and their exit codes.

use std::process::ExitCode;

use derive_more::Display;
use derive_more::From;
use hickoryreel_base::error::Detail;

/// Why a subcommand failed.
#[derive(Debug, Display, From)]
pub enum Failure {
    /// The operation was refused.
    #[display("{}: {}", _0.code, _0.message)]
    Refused(Detail),
    /// A file has mistakes, one a line.
    #[display("{_0}")]
    #[from(skip)]
    Mistakes(String),
    /// The arguments are wrong.
    #[display("{_0}")]
    #[from(skip)]
    Arguments(String),
    /// No leader answered in time. A write may have taken effect.
    #[display("not reachable: {_0}")]
    #[from(skip)]
    NotReachable(String),
    /// The answer doesn't have the expected shape.
    #[display("unexpected answer: {_0}")]
    #[from(skip)]
    Shape(String),
}

impl Failure {
    /// Exit code: 1 refused, 2 wrong arguments, 3 not reachable.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Mistakes(_) | Self::Shape(_) => 1,
            Self::Arguments(_) => 2,
            Self::NotReachable(_) => 3,
        })
    }

    /// The failure as JSON.
    pub fn json(&self) -> serde_json::Value {
        let (code, message) = match self {
            Self::Refused(detail) => (detail.code.clone(), detail.message.clone()),
            Self::Mistakes(text) => ("invalid_bundle".to_owned(), text.clone()),
            Self::Arguments(text) => ("wrong_arguments".to_owned(), text.clone()),
            Self::NotReachable(text) => ("not_reachable".to_owned(), text.clone()),
            Self::Shape(text) => ("unexpected_answer".to_owned(), text.clone()),
        };
        serde_json::json!({"error": {"code": code, "message": message}})
    }
}
