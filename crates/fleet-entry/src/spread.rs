//! Choice of one endpoint among many by loads that are out of date.
//!
//! All entries know the same loads, and each endpoint gets several requests between two updates. If
//! every entry sent to the least loaded endpoint, all would send to the same few. The load that
//! arrives unseen is therefore expected to fill the endpoints up to a common level, like water, and
//! an endpoint is chosen with a probability proportional to the room below that level.

use smallvec::SmallVec;

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Expected time until it begins further work.
    pub time: f64,
    /// Work that it does in a time unit, greater than 0.
    pub capacity: f64,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the endpoint.
    pub index: usize,
    /// Load up to which the endpoints are expected to be filled.
    pub level: f64,
}

/// Chooses one of the endpoints whose loads and capacities are given. A load is a time, and the capacity
/// is the work that the endpoint does in a time unit. `volume` is the work that is expected to arrive at
/// all of them before the loads are updated, and `point`, from 0 to 1, selects among the endpoints with
/// room. Returns `None` if there are no endpoints.
pub fn choose(endpoints: &[Load], volume: f64, point: f64) -> Option<Choice> {
    let level = level(endpoints, volume)?;
    let room = |endpoint: &Load| (level - endpoint.time).max(0.0) * endpoint.capacity;
    let total: f64 = endpoints.iter().map(room).sum();
    let mut left = point * total;
    for (index, endpoint) in endpoints.iter().enumerate() {
        let room = room(endpoint);
        if room > 0.0 && left < room {
            return Some(Choice { index, level });
        }
        left -= room;
    }
    // The point is at the end of the range, or no load is expected.
    let lowest = endpoints.iter().enumerate();
    let lowest = lowest.min_by(|left, right| left.1.time.total_cmp(&right.1.time));
    lowest.map(|(index, _)| Choice { index, level })
}

/// Level up to which `volume` fills the endpoints.
fn level(endpoints: &[Load], volume: f64) -> Option<f64> {
    let mut sorted: SmallVec<[Load; 64]> = SmallVec::from_slice(endpoints);
    sorted.sort_unstable_by(|left, right| left.time.total_cmp(&right.time));
    // Capacity of the endpoints below the level, and the work up to their loads.
    let (mut capacity, mut work) = (0.0, 0.0);
    for endpoint in &sorted {
        if capacity > 0.0 && volume <= capacity * endpoint.time - work {
            break;
        }
        capacity += endpoint.capacity;
        work += endpoint.capacity * endpoint.time;
    }
    (capacity > 0.0).then(|| (volume + work) / capacity)
}
