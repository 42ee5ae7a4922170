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

/// Distribution of the choice among endpoints.
#[derive(Clone, Debug)]
pub struct Spread {
    /// Load up to which the endpoints are expected to be filled.
    pub level: f64,
    /// Work that fits below the level, by endpoint.
    rooms: SmallVec<[f64; 64]>,
    /// Index of the least loaded endpoint.
    lowest: usize,
}

impl Spread {
    /// Creates the distribution for endpoints whose loads and capacities are given. A load is a time,
    /// and the capacity is the work that the endpoint does in a time unit. `volume` is the work that is
    /// expected to arrive at all of them before the loads are updated. Returns `None` if there are no
    /// endpoints.
    pub fn new(endpoints: &[Load], volume: f64) -> Option<Self> {
        let level = level(endpoints, volume)?;
        let room = |endpoint: &Load| (level - endpoint.time).max(0.0) * endpoint.capacity;
        let lowest = endpoints.iter().enumerate();
        let lowest = lowest.min_by(|left, right| left.1.time.total_cmp(&right.1.time));
        let (lowest, _) = lowest?;
        Some(Self { level, rooms: endpoints.iter().map(room).collect(), lowest })
    }

    /// Returns the index of the endpoint that `point`, from 0 to 1, selects among those with room.
    pub fn draw(&self, point: f64) -> usize {
        let mut left = point * self.rooms.iter().sum::<f64>();
        for (index, room) in self.rooms.iter().enumerate() {
            if *room > 0.0 && left < *room {
                return index;
            }
            left -= room;
        }
        // The point is at the end of the range, or no load is expected.
        self.lowest
    }

    /// Probability of each endpoint.
    pub fn shares(&self) -> SmallVec<[f64; 64]> {
        let total: f64 = self.rooms.iter().sum();
        let share = |(index, room): (usize, &f64)| match total > 0.0 {
            true => room / total,
            false => f64::from(u8::from(index == self.lowest)),
        };
        self.rooms.iter().enumerate().map(share).collect()
    }
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
