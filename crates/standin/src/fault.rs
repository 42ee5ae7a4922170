//! Fault injection for a stand-in, controlled by `POST /fault`.

use std::sync::Arc;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::state::State;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use parking_lot::RwLock;
use serde::Deserialize;
use serde::Serialize;

/// Largest body of `POST /fault`.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The active faults. Each call replaces all of them; faults that it does not name are inactive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor applied to the time of each token or call; 0 means 1.
    pub slow: f64,
    /// Streams that are open when this call arrives send no further bytes and stay open.
    pub silence_open: bool,
    /// Share of requests that fail with status 500, from 0 to 1, spread evenly.
    pub error_share: f64,
    /// Version whose tokens are `nonsense`, which the rater rates as bad.
    pub bad_version: Option<Version>,
    /// Number of events after which each connection of a stream is broken.
    pub cut_after: Option<u64>,
    /// Each event of a stream is sent twice.
    pub duplicate: bool,
    /// Events of a stream are sent in pairs, the later one first.
    pub reorder: bool,
    /// New requests are refused with status 503 and a header that confirms that nothing ran.
    pub refuse: bool,
    /// A service runs the call and breaks the connection before it sends an answer.
    pub drop_answer: bool,
    /// A service runs the call, never answers and keeps the connection open.
    pub hang: bool,
    /// A service runs the call and answers with status 404 and an empty body.
    pub empty_404: bool,
    /// A service runs the call and answers with status 500.
    pub fail: bool,
    /// Age that load reports state, in milliseconds.
    pub report_delay_ms: u32,
}

/// Holds the active faults of one stand-in.
#[derive(Debug, Default)]
pub struct Injector {
    faults: RwLock<Arc<Faults>>,
    /// Number of calls with `silence_open` so far.
    silence_count: std::sync::atomic::AtomicU64,
    /// Number of requests that were checked against `error_share`.
    requests: std::sync::atomic::AtomicU64,
}

impl Injector {
    /// Returns the active faults.
    pub fn current(&self) -> Arc<Faults> {
        Arc::clone(&self.faults.read())
    }

    /// Number of calls with `silence_open` so far. A stream stops sending once the number exceeds
    /// the value at its start.
    pub fn silence_count(&self) -> u64 {
        self.silence_count.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Counts a request and returns whether it fails because of `error_share`.
    pub fn next_request_fails(&self) -> bool {
        let share = self.current().error_share;
        let number = self.requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let before = (number as f64 * share).floor();
        ((number + 1) as f64 * share).floor() > before
    }

    /// Factor applied to the time of each token or call.
    pub fn slowdown(&self) -> f64 {
        let slow = self.current().slow;
        if slow > 0.0 { slow } else { 1.0 }
    }

    /// Handles `POST /fault`.
    pub async fn handle(&self, state: &mut State) -> Response<Body> {
        let timeout = std::time::Duration::from_secs(10);
        match server::read_json::<Faults>(state, MAX_BODY_BYTES, timeout).await {
            Ok(faults) => {
                if faults.silence_open {
                    self.silence_count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                }
                *self.faults.write() = Arc::new(faults);
                server::json(200, &"switched")
            }
            Err(error) => server::error_response(&error),
        }
    }
}
