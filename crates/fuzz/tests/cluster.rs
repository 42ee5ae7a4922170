//! The machine on the replicated log under faults, with fixed seeds.

use hickoryreel_fuzz::cluster::Cluster;

/// Guards against a guarantee that holds for the machine alone but not with leases, elections,
/// pauses and lost messages around it, and against replicas that differ after recovery.
#[test]
fn the_guarantees_hold_under_faults_of_the_log() {
    for seed in 0..6 {
        let reached = Cluster::new(seed).run(1_500);

        eprintln!("seed {seed}: {reached:?}");
        assert!(reached.dispatches > 100 && reached.settled > 0, "seed {seed}: {reached:?}");
        assert!(reached.in_force > 0, "seed {seed}: {reached:?}");
    }
}
