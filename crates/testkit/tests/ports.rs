//! Port reservation of the harness.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hickoryreel_testkit::Harness;
use hickoryreel_testkit::harness;

const MAX_STARTS_PER_THREAD: usize = 2_000;

/// Guards against reserved ports that are still in use by a process that is being started: between
/// fork and exec, it has copies of all sockets of the test.
#[test]
fn reserved_ports_are_free_while_processes_start() {
    let harness = Harness::new().expect("harness");
    let binary = harness::binary("hickoryreel-standin").expect("binary");
    let done = AtomicBool::new(false);

    let failed_binds = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..MAX_STARTS_PER_THREAD {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let mut command = Command::new(&binary);
                    command.args(["ports", "0"]).stdout(Stdio::null());
                    harness::spawn(&mut command).expect("start").wait().expect("wait");
                }
            });
        }
        let failed_binds = (0..300).filter(|_| {
            let addresses = harness.addresses(2).expect("addresses");
            addresses.iter().any(|address| TcpListener::bind(address).is_err())
        });
        let failed_binds = failed_binds.count();
        done.store(true, Ordering::Relaxed);
        failed_binds
    });

    assert_eq!(failed_binds, 0);
}
