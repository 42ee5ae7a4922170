//! Reservation of ports.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hickoryreel_testkit::Harness;
use hickoryreel_testkit::harness;

/// Processes that each thread starts at the most.
const MOST_STARTS: usize = 2_000;

/// Guards against reserved ports that are still held by a process being started: between fork and
/// exec it holds copies of all sockets of the test.
#[test]
fn reserved_ports_are_free_while_processes_start() {
    let harness = Harness::new().expect("harness");
    let binary = harness::binary("hickoryreel-standin").expect("binary");
    let done = AtomicBool::new(false);

    let refused = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..MOST_STARTS {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let mut command = Command::new(&binary);
                    command.args(["ports", "0"]).stdout(Stdio::null());
                    harness::spawn(&mut command).expect("start").wait().expect("wait");
                }
            });
        }
        let refused = (0..300).filter(|_| {
            let addresses = harness.addresses(2).expect("addresses");
            addresses.iter().any(|address| TcpListener::bind(address).is_err())
        });
        let refused = refused.count();
        done.store(true, Ordering::Relaxed);
        refused
    });

    assert_eq!(refused, 0);
}
