//! `hickoryreel-load`: parses arguments and runs an open-loop load.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use hickoryreel_load::mix::Preset;
use hickoryreel_load::plan;
use hickoryreel_load::plan::Flood;
use hickoryreel_load::run;
use hickoryreel_load::tally;

/// Sends an open-loop load to hickoryreel's entries and prints latencies per rank.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Traffic mix: registry or auctions
    #[bpaf(argument("PRESET"), fallback(Preset::Registry))]
    preset: Preset,
    /// Address of an entry; may be repeated
    #[bpaf(argument("ADDRESS:PORT"), some("at least one entry is needed"))]
    entry: Vec<String>,
    /// API key of a workspace, large workspaces first; may be repeated
    #[bpaf(argument("KEY"), some("at least one workspace key is needed"))]
    key: Vec<String>,
    /// Mean requests per second, without the flood
    #[bpaf(argument("RATE"), fallback(20.0))]
    rate: f64,
    /// Length of the run in seconds
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Seed of the generated arrivals
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Raise the rate of one rank by this factor in the middle third of the run
    #[bpaf(argument("RANK:FACTOR"))]
    flood: Option<Flood>,
    /// File to which samples for the burn report are written
    #[bpaf(argument("FILE"))]
    record: Option<PathBuf>,
    /// Print JSON instead of a table
    json: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments = arguments().run();
    let settings = run::Settings {
        preset: arguments.preset,
        plan: plan::Settings {
            seed: arguments.seed,
            rate: arguments.rate,
            length: Duration::from_secs(arguments.seconds),
            workspaces: arguments.key.len(),
            flood: arguments.flood,
        },
        entries: arguments.entry,
        keys: arguments.key,
        record: arguments.record,
    };
    let summaries = run::run(settings).await?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&summaries)?);
    } else {
        print!("{}", tally::table(&summaries));
    }
    Ok(())
}
