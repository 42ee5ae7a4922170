//! Sends of all entries in the window of the retry budget.

use std::time::Duration;

use hickoryreel_fleet::load::ServiceSends;
use hickoryreel_fleet_control::send_totals::SendTotals;

const START: Duration = Duration::from_secs(100);
const WINDOW: Duration = Duration::from_secs(10);

fn sends(service: &str, first: u32, retries: u32) -> ServiceSends {
    ServiceSends { service: service.into(), first, retries }
}

/// Guards against sends of one service that count for another, and against sends that count longer
/// than the window.
#[test]
fn sends_are_summed_by_service_within_the_window() {
    let mut totals = SendTotals::new(WINDOW);
    totals.add(&[sends("a", 10, 4), sends("b", 1, 1)], START);
    totals.add(&[sends("a", 5, 1)], START + Duration::from_secs(6));

    let mut within = totals.totals(START + Duration::from_secs(9));
    let after = totals.totals(START + Duration::from_secs(12));

    within.sort_by(|left, right| left.service.cmp(&right.service));
    assert_eq!(within, [sends("a", 15, 5), sends("b", 1, 1)]);
    assert_eq!(after, [sends("a", 5, 1)]);
}
