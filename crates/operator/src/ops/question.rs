//! Parses the parts of a question where a request would go.

use std::str::FromStr;

use derive_more::Display;
use derive_more::Into;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::explanation::Part;

/// Maximum number of tokens of a prompt or one of its parts: the largest `max-tokens` that the
/// settings of an entry accept.
const MAX_TOKENS: u64 = 10_000_000;

/// Maximum number of parts of a prompt: more do not fit into a request head of 16 KiB, the default
/// limit, at 16 bytes each.
pub const MAX_PARTS: usize = 1_024;

/// Maximum length of a host, path, id, key or model in bytes: the default limit of a request head.
const MAX_TEXT_BYTES: usize = 16 << 10;

/// Reason why an argument is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Mistake {
    #[display("it is empty")]
    Empty,
    #[display("it is longer than {MAX_TEXT_BYTES} bytes")]
    Long,
    #[display("it contains a blank or a control character")]
    Blank,
    #[display("a host has no slash")]
    HostWithSlash,
    #[display("a path starts with a slash")]
    PathWithoutSlash,
    #[display("it is not a number of tokens from 0 to {MAX_TOKENS}")]
    Tokens,
    #[display("a part is ID:TOKENS")]
    PartWithoutColon,
    #[display("the id of a part is a hexadecimal number of up to 16 digits")]
    PartId,
    #[display("the tokens of a part are a number from 0 to {MAX_TOKENS}")]
    PartTokens,
}

/// Checks a text that occurs in a request head.
fn checked(text: &str) -> Result<&str, Mistake> {
    if text.is_empty() {
        Err(Mistake::Empty)
    } else if text.len() > MAX_TEXT_BYTES {
        Err(Mistake::Long)
    } else if text.chars().any(|character| character.is_whitespace() || character.is_control()) {
        Err(Mistake::Blank)
    } else {
        Ok(text)
    }
}

fn tokens(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let tokens = text.parse().ok().filter(|_| digits)?;
    (tokens <= MAX_TOKENS).then_some(tokens)
}

/// A text without blanks, for example a key or a model.
#[derive(Clone, Debug, Into, PartialEq, Eq)]
pub struct Word(Name);

impl FromStr for Word {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Mistake> {
        Ok(Self(checked(text)?.into()))
    }
}

/// Host without port, in lower case.
#[derive(Clone, Debug, Into, PartialEq, Eq)]
pub struct Host(Name);

impl FromStr for Host {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Mistake> {
        let host = checked(text)?;
        if host.contains('/') {
            return Err(Mistake::HostWithSlash);
        }
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        Ok(Self(checked(host)?.to_ascii_lowercase().into()))
    }
}

/// Path of a request without its query.
#[derive(Clone, Debug, Into, PartialEq, Eq)]
pub struct Path(Name);

impl FromStr for Path {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Mistake> {
        let path = checked(text)?;
        if !path.starts_with('/') {
            return Err(Mistake::PathWithoutSlash);
        }
        Ok(Self(path.split(['?', '#']).next().unwrap_or(path).into()))
    }
}

/// Number of tokens of a prompt.
#[derive(Clone, Copy, Debug, Into, PartialEq, Eq)]
pub struct Tokens(u64);

impl FromStr for Tokens {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Mistake> {
        tokens(text).map(Self).ok_or(Mistake::Tokens)
    }
}

/// A part of a prompt in the form `ID:TOKENS`.
#[derive(Clone, Copy, Debug, Into, PartialEq, Eq)]
pub struct PromptPart(Part);

impl FromStr for PromptPart {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Mistake> {
        let (id, count) = text.split_once(':').ok_or(Mistake::PartWithoutColon)?;
        let digits = id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let id = u64::from_str_radix(id, 16).ok().filter(|_| digits).ok_or(Mistake::PartId)?;
        Ok(Self(Part { id, tokens: tokens(count).ok_or(Mistake::PartTokens)? }))
    }
}
