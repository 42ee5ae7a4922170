//! The sums of the work that entries post.

use std::time::Duration;

use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::Report;
use hickoryreel_fleet_control::board::Board;

fn work(open: u32, prefill_ms: u32, good: u32, bad: u32) -> EndpointLoad {
    EndpointLoad {
        endpoint: EndpointKey::of("e1"),
        outstanding: open,
        prefill_ms: [0, prefill_ms, 0],
        succeeded: good,
        failed: bad,
    }
}

fn post(entry: &str, works: &[EndpointLoad]) -> Report {
    Report { entry: entry.into(), loads: works.to_vec() }
}

const START: Duration = Duration::from_secs(100);

/// Guards against a post that is added to the one before it instead of taking its place.
#[test]
fn newest_post_of_each_entry_counts_once() {
    let mut board = Board::default();
    board.post(post("a", &[work(2, 300, 0, 0)]), START);
    board.post(post("b", &[work(1, 50, 0, 0)]), START);

    let sums = board.post(post("a", &[work(4, 100, 0, 0)]), START);

    assert_eq!(sums, [work(5, 150, 0, 0)]);
}

/// Guards against the work of a stopped entry that keeps an endpoint looking busy.
#[test]
fn work_of_an_entry_that_posts_no_more_is_dropped() {
    let mut board = Board::default();
    board.post(post("a", &[work(2, 300, 0, 0)]), START);

    let sums = board.post(post("b", &[]), START + Duration::from_secs(2));

    assert!(sums.is_empty());
}

/// Guards against an endpoint that keeps a bad name after it has recovered.
#[test]
fn ended_sends_lose_their_weight() {
    let mut board = Board::default();
    board.post(post("a", &[work(0, 0, 0, 8)]), START);

    let sums = board.post(post("b", &[work(0, 0, 4, 0)]), START + Duration::from_secs(4));

    assert_eq!(sums, [work(0, 0, 4, 2)]);
    let sums = board.post(post("b", &[]), START + Duration::from_secs(40));
    assert!(sums.is_empty());
}
