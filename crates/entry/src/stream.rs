//! Parts of request handling that completions and calls share.

use bytes::Bytes;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::State;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a request body, to detect a request id used for two requests.
pub fn digest(body: &Bytes) -> u64 {
    xxh3_64(body)
}

/// Whether an endpoint takes new work.
pub fn takes_work(endpoint: &Announcement) -> bool {
    endpoint.state == State::Serving
}
