//! Histogram of durations.

use std::time::Duration;

use hickoryreel_fleet::histogram::Histogram;

fn histogram(times_ms: &[u64]) -> Histogram {
    let mut histogram = Histogram::default();
    times_ms.iter().for_each(|time_ms| histogram.record(Duration::from_millis(*time_ms)));
    histogram
}

/// Guards against durations that are lost or merged wrongly at the ends of the scale.
#[test]
fn all_durations_count() {
    let mut sum = histogram(&[0, 4, 100]);
    sum.merge(&histogram(&[100, 3_600_000]));

    assert_eq!(sum.count(), 5);
    assert_eq!((sum.count_from(0.0), sum.count_from(80.0), sum.count_from(10_000.0)), (5, 3, 1));
}

/// Guards against a duration below a limit that counts as above it.
#[test]
fn duration_below_the_limit_is_not_above_it() {
    for time_ms in 1..2_000_u64 {
        assert_eq!(histogram(&[time_ms]).count_from(time_ms as f64 + 0.1), 0);
    }
}

/// Guards against a median that is far from the durations.
#[test]
fn median_is_near_the_durations() {
    let median_ms = histogram(&[10, 100, 100, 100, 9_000]).median_ms().expect("there are some");

    assert!((80.0..125.0).contains(&median_ms), "{median_ms}");
    assert_eq!(Histogram::default().median_ms(), None);
}

/// Guards against polls that grow with the number of buckets.
#[test]
fn serialized_histogram_has_only_the_buckets_in_use() {
    let original = histogram(&[30, 30, 30, 5_000]);

    let bytes = postcard::to_stdvec(&original).expect("it can be serialized");

    assert!(bytes.len() <= 5, "{} bytes", bytes.len());
    assert_eq!(postcard::from_bytes::<Histogram>(&bytes).expect("it can be read"), original);
}
