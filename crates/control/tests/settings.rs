//! Settings files.

use hickoryreel_control::settings;

/// Guards against starting with invalid settings, and against reporting only the first mistake.
#[test]
fn all_mistakes_are_reported_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.ini");
    let text = "[control]\nrpc = 10.0.0.1:7000\nadmin = nowhere\nlease-ms = 1\nspeed = 9\n\
                heartbeat-ms = 400\nreplicas = 10.0.0.1:7000/10.0.0.1:7001, 10.0.0.2:7000/10.0.0.2:7001\n\
                [operators]\nsystem = abc\n[extra]\n";
    std::fs::write(&path, text).unwrap();

    let mistakes = settings::load(&path).expect_err("wrong settings").to_string();

    for mistake in [
        ":3: [control] admin: found \"nowhere\", expected ADDRESS:PORT",
        "[control] data: missing, expected a folder",
        ":4: [control] lease-ms: found 1, expected 500 to 60000 milliseconds",
        ":5: [control] speed: unknown key",
        "[control] election-min-ms: expected at least two heartbeats",
        ":9: [operators] system: this name stands for the system's own writes",
        ":9: [operators] system: expected the SHA-256 of the key",
        "[extra]",
    ] {
        assert!(mistakes.contains(mistake), "{mistake} is missing in:\n{mistakes}");
    }
}

/// Guards against a replica on a network address that accepts calls without a key, or that
/// bootstraps a single-replica cluster by mistake.
#[test]
fn network_address_needs_cluster_key_and_replicas() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.ini");
    std::fs::write(&path, "[control]\nrpc = 10.0.0.1:1\nadmin = 10.0.0.1:2\ndata = d\n").unwrap();

    let mistakes = settings::load(&path).expect_err("wrong settings").to_string();

    assert!(mistakes.contains("[control] cluster-key: missing"), "{mistakes}");
    assert!(mistakes.contains("[control] replicas: missing"), "{mistakes}");
}
