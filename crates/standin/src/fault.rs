//! Faults of a stand-in, switched on by `POST /fault`.

use std::sync::Arc;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::state::State;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use parking_lot::RwLock;
use serde::Deserialize;
use serde::Serialize;

/// Largest body of a call that switches faults, in bytes.
const MAX_BODY: usize = 64 << 10;

/// The faults that are switched on. A call replaces all of them; absent ones are off.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on the time of each token or call; 0 means 1.
    pub slow: f64,
    /// Streams and calls that were open before this call never send another byte.
    pub silence_open: bool,
    /// Share of requests that fail with status 500, 0 to 1, evenly spread.
    pub error_share: f64,
    /// A version that answers nonsense.
    pub bad_version: Option<Version>,
    /// Every connection of a stream is cut after this many events.
    pub cut_after: Option<u64>,
    /// Every event is sent twice.
    pub duplicate: bool,
    /// Events are sent in pairs, the later one first.
    pub reorder: bool,
    /// New requests are refused with status 503 and the confirmation that nothing ran.
    pub refuse: bool,
    /// A service runs the call and closes the connection without an answer.
    pub drop_answer: bool,
    /// A service runs the call, never answers and keeps the connection open.
    pub hang: bool,
    /// A service answers status 404 without a body after it ran the call.
    pub empty_404: bool,
    /// A service answers status 500 after it ran the call.
    pub fail: bool,
    /// Load reports are this old, in milliseconds.
    pub report_delay_ms: u32,
}

/// The present faults of one stand-in.
#[derive(Debug, Default)]
pub struct Switch {
    faults: RwLock<Arc<Faults>>,
    /// Counts the calls that silenced what was open.
    silences: std::sync::atomic::AtomicU64,
    requests: std::sync::atomic::AtomicU64,
}

impl Switch {
    /// The faults that are switched on.
    pub fn now(&self) -> Arc<Faults> {
        Arc::clone(&self.faults.read())
    }

    /// Number of the present silence; a larger one later silences what is open now.
    pub fn silences(&self) -> u64 {
        self.silences.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Whether this request fails because of the share of errors.
    pub fn fails_next(&self) -> bool {
        let share = self.now().error_share;
        let number = self.requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let before = (number as f64 * share).floor();
        ((number + 1) as f64 * share).floor() > before
    }

    /// Factor on times.
    pub fn slow(&self) -> f64 {
        let slow = self.now().slow;
        if slow > 0.0 { slow } else { 1.0 }
    }

    /// Handles `POST /fault`.
    pub async fn handle(&self, state: &mut State) -> Response<Body> {
        let timeout = std::time::Duration::from_secs(10);
        match server::read_json::<Faults>(state, MAX_BODY, timeout).await {
            Ok(faults) => {
                if faults.silence_open {
                    self.silences.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                }
                *self.faults.write() = Arc::new(faults);
                server::json(200, &"switched")
            }
            Err(error) => server::error_response(&error),
        }
    }
}
