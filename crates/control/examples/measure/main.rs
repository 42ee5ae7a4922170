//! Measures real control replicas on loopback and prints one line per measurement. Not part of the
//! tests.
//!
//! `cargo build --release --bins && cargo run --release --example measure -- commits`

mod commits;
mod entry;
mod fail_over;
mod leases;
mod recovery;

use bpaf::Bpaf;

/// Measures control replicas.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Arguments {
    /// Commits per second and their time, with 3 and 5 replicas
    #[bpaf(command)]
    Commits,
    /// Time from killing the leader to the next commit
    #[bpaf(command("fail-over"))]
    FailOver,
    /// Cost of lease renewals and configuration changes
    #[bpaf(command)]
    Leases,
    /// Time to start with many records
    #[bpaf(command)]
    Recovery,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    match arguments().run() {
        Arguments::Commits => commits::run().await,
        Arguments::FailOver => fail_over::run().await,
        Arguments::Leases => leases::run().await,
        Arguments::Recovery => recovery::run().await,
    }
}
