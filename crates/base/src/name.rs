//! Names as shared immutable strings, one type for each kind of thing that has a name.

use std::sync::Arc;

use derive_more::AsRef;
use derive_more::Deref;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Longest name accepted from outside, in bytes.
pub const MAX_LEN: usize = 128;

/// The text is not usable as a name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("a name is 1 to {MAX_LEN} printable ASCII characters without spaces, commas or colons")]
pub struct InvalidName;

/// Checks a name that comes from outside: a file, a header or a message.
pub fn check(text: &str) -> Result<(), InvalidName> {
    let fits = (1..=MAX_LEN).contains(&text.len());
    let printable = |byte: u8| byte.is_ascii_graphic() && byte != b',' && byte != b':';
    if fits && text.bytes().all(printable) { Ok(()) } else { Err(InvalidName) }
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
    /// A deployment: one bundle, its workspaces and its endpoints.
    Deployment;
    /// A workspace: the unit of access, fairness and billing.
    Workspace;
    /// A model.
    Model;
    /// A version of a model, written `model/label`.
    Version;
    /// A plain service.
    Service;
    /// An endpoint: a model engine or an instance of a plain service.
    Endpoint;
    /// A region.
    Region;
    /// An availability zone.
    Zone;
    /// An operator.
    Operator;
    /// An entry process, stable over restarts.
    Entry;
    /// A caller's request id, unique within its workspace.
    Request;
    /// A caller's session, unique within its workspace.
    Session;
    /// A task kind: requests of one kind are alike in difficulty.
    Task;
}

impl Version {
    /// The model part of `model/label`; the whole name when there is no slash.
    pub fn model(&self) -> Model {
        let text: &str = &self.0;
        Model::from(text.split_once('/').map_or(text, |(model, _)| model))
    }
}
