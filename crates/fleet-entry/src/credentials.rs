//! API keys among the credentials of requests, which no endpoint may get.
//!
//! On a route that needs no key, credentials are forwarded, because the service may have its own. A
//! client may still send its key there: it uses one key for all routes, or the route has just become
//! public. So each credential is compared with the keys of the entry's configuration and of all
//! earlier ones, which the control replicas remember. One that is unknown may be a key of a
//! configuration that the entry does not have yet.

use std::collections::HashSet;
use std::collections::VecDeque;

use hickoryreel_fleet::former_keys;
use http::HeaderMap;
use http::HeaderValue;
use http::header::AUTHORIZATION;
use smallvec::SmallVec;

/// Scheme of credentials that are API keys.
const KEY_SCHEME: &str = "bearer";

/// Keys of earlier configurations, as hashes.
#[derive(Debug, Default)]
pub struct FormerKeys {
    hashes: HashSet<u64>,
    /// The same hashes, oldest first.
    order: VecDeque<u64>,
}

impl FormerKeys {
    /// Adds the hash of a key. Forgets the oldest one if there are too many.
    pub fn add(&mut self, hash: u64) {
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > former_keys::MAX_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }

    pub fn contains(&self, key: &str) -> bool {
        self.hashes.contains(&former_keys::hash(key))
    }
}

/// Removes the credentials that hold an API key from the headers of a request to an endpoint.
pub fn remove_keys(headers: &mut HeaderMap, is_key: impl Fn(&str) -> bool) {
    let values = headers.get_all(AUTHORIZATION);
    if !values.iter().any(|value| holds_key(value, &is_key)) {
        return;
    }
    let kept: SmallVec<[HeaderValue; 2]> =
        values.iter().filter(|value| !holds_key(value, &is_key)).cloned().collect();
    headers.remove(AUTHORIZATION);
    for value in kept {
        headers.append(AUTHORIZATION, value);
    }
}

/// Whether a request has a credential that looks like an API key and is none of the known ones.
pub fn has_unknown_key(headers: &HeaderMap, is_key: impl Fn(&str) -> bool) -> bool {
    headers.get_all(AUTHORIZATION).iter().any(|value| {
        let text = String::from_utf8_lossy(value.as_bytes());
        let (scheme, token) = split_scheme(&text);
        let like_key = token.is_empty() || scheme.eq_ignore_ascii_case(KEY_SCHEME);
        like_key && !text.trim().is_empty() && !holds_key(value, &is_key)
    })
}

fn split_scheme(text: &str) -> (&str, &str) {
    let (scheme, token) = text.trim().split_once(char::is_whitespace).unwrap_or((text.trim(), ""));
    (scheme, token.trim())
}

/// Whether a key stands anywhere in the value: behind a scheme, without one, or in a list.
fn holds_key(value: &HeaderValue, is_key: impl Fn(&str) -> bool) -> bool {
    let text = String::from_utf8_lossy(value.as_bytes());
    let (scheme, token) = split_scheme(&text);
    let words = text.split(|separator: char| separator.is_whitespace() || separator == ',');
    let unquoted = words.map(|word| word.trim_matches('"'));
    unquoted.chain([scheme, token]).any(|word| !word.is_empty() && is_key(word))
}
