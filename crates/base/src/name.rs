//! Names and ids as shared immutable strings, with a separate type for each kind.

use std::sync::Arc;

use derive_more::AsRef;
use derive_more::Deref;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length in bytes of a name in external input.
pub const MAX_LEN: usize = 128;

/// Error for a text that is not a valid name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("a name is 1 to {MAX_LEN} printable ASCII characters without spaces, commas or colons")]
pub struct InvalidName;

/// Checks a name from external input: a file, a header or a message.
pub fn check(text: &str) -> Result<(), InvalidName> {
    let valid_length = (1..=MAX_LEN).contains(&text.len());
    let valid_byte = |byte: u8| byte.is_ascii_graphic() && byte != b',' && byte != b':';
    if valid_length && text.bytes().all(valid_byte) { Ok(()) } else { Err(InvalidName) }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Deref, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        #[as_ref(forward)]
        #[deref(forward)]
        pub struct $name(Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// A deployment, which consists of a bundle, its workspaces and its endpoints.
    Deployment;
    /// A workspace (customer): the unit of access control, fair sharing and billing.
    Workspace;
    /// A model, which has one or more versions.
    Model;
    /// A version of a model, written `model/label`.
    Version;
    /// A service that is not a model, such as a ledger.
    Service;
    /// An endpoint: a model engine or an instance of a plain service.
    Endpoint;
    Region;
    /// An availability zone.
    Zone;
    /// A person who administers the deployment.
    Operator;
    /// An entry process. The name stays the same across restarts.
    Entry;
    /// Request id chosen by the caller, unique within its workspace.
    Request;
    /// Session id chosen by the caller, unique within its workspace.
    Session;
    /// A kind of task. Requests of one kind are of similar difficulty.
    Task;
}

impl Version {
    /// The model part of `model/label`, or the whole name when it has no slash.
    pub fn model(&self) -> Model {
        let text: &str = &self.0;
        Model::from(text.split_once('/').map_or(text, |(model, _)| model))
    }
}
