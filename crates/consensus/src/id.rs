//! Replica identity.

use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Random 128-bit identity of a replica, generated when its data folder is created.
///
/// Its text form has 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct ReplicaId(pub u128);

/// Error for a text that is not a [`ReplicaId`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("invalid replica id: expected 32 hexadecimal digits")]
pub struct ParseError;

impl FromStr for ReplicaId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseError)
    }
}

impl Serialize for ReplicaId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.to_le_bytes().serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for ReplicaId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 16]>::deserialize(deserializer).map(|bytes| Self(u128::from_le_bytes(bytes)))
        }
    }
}
