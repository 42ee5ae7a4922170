//! Choice of one endpoint among many by loads that are out of date.
//!
//! All entries know the same loads, and each endpoint gets several requests between two updates. If
//! every entry sent to the least loaded endpoint, all would send to the same few. The load that
//! arrives unseen is therefore expected to fill the endpoints up to a common level, like water, and
//! an endpoint is chosen with a probability proportional to the room below that level.

use smallvec::SmallVec;

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the endpoint.
    pub index: usize,
    /// Load up to which the endpoints are expected to be filled.
    pub level: f64,
}

/// Chooses one of the endpoints whose loads are given. `volume` is the load that is expected to arrive
/// at all of them before the loads are updated, in the same unit, and `point`, from 0 to 1, selects
/// among the endpoints with room. Returns `None` if there are no endpoints.
pub fn choose(loads: &[f64], volume: f64, point: f64) -> Option<Choice> {
    let level = level(loads, volume)?;
    let room = |load: f64| (level - load).max(0.0);
    let total: f64 = loads.iter().map(|load| room(*load)).sum();
    let mut left = point * total;
    for (index, load) in loads.iter().enumerate() {
        let room = room(*load);
        if room > 0.0 && left < room {
            return Some(Choice { index, level });
        }
        left -= room;
    }
    // The point is at the end of the range, or no load is expected.
    let lowest = loads.iter().enumerate().min_by(|left, right| left.1.total_cmp(right.1));
    lowest.map(|(index, _)| Choice { index, level })
}

/// Level up to which `volume` fills the endpoints.
fn level(loads: &[f64], volume: f64) -> Option<f64> {
    let mut sorted: SmallVec<[f64; 64]> = SmallVec::from_slice(loads);
    sorted.sort_unstable_by(f64::total_cmp);
    let mut sum = 0.0;
    for (count, load) in sorted.iter().enumerate() {
        let count = count as f64;
        if count > 0.0 && volume <= count * load - sum {
            return Some((volume + sum) / count);
        }
        sum += load;
    }
    (!sorted.is_empty()).then(|| (volume + sum) / sorted.len() as f64)
}
