//! `hickoryreel burn`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use hickoryreel_report::burn;
use hickoryreel_report::html;
use hickoryreel_report::table;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::file;
use crate::ops::print;
use crate::ops::samples;

const DAY_S: u64 = 86_400;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Burn {
    /// Bundle file with the objective of each rank
    #[bpaf(argument("FILE"))]
    bundle: PathBuf,
    /// File of recorded samples; may be repeated
    #[bpaf(argument("FILE"), many)]
    samples: Vec<PathBuf>,
    /// Address of a running entry whose counters are read; may be repeated
    #[bpaf(argument("ADDRESS:PORT"), many)]
    entry: Vec<SocketAddr>,
    /// File to which the samples of the entries are appended
    #[bpaf(argument("FILE"))]
    record: Option<PathBuf>,
    /// File that the report is written to as an HTML page
    #[bpaf(argument("FILE"))]
    html: Option<PathBuf>,
    /// Period of the error budget in days
    #[bpaf(argument("DAYS"), fallback(28))]
    period_days: u64,
}

pub(super) async fn exec(context: &Context, arguments: &Burn) -> Result<(), Failure> {
    let text = file::read(&arguments.bundle)?;
    let bundle = file::check(&arguments.bundle, &text)?;
    let mut all_samples = samples::read_files(&arguments.samples)?;
    let live = samples::scrape(&arguments.entry).await?;
    if let Some(path) = &arguments.record {
        samples::append(path, &live)?;
    }
    all_samples.extend(live);
    if all_samples.is_empty() {
        let message = "no samples; use --samples FILE or --entry ADDRESS:PORT";
        return Err(Failure::Arguments(message.to_owned()));
    }
    let settings =
        burn::Settings { period_s: arguments.period_days * DAY_S, ..burn::Settings::default() };
    let report = burn::report(&all_samples, &bundle, &settings);
    if let Some(path) = &arguments.html {
        let page = html::render(&report)
            .map_err(|cause| Failure::UnexpectedAnswer(format!("{cause:#}")))?;
        file::write(path, &page)?;
    }
    if context.json {
        return print::json(&report);
    }
    print!("{}", table::render(&report));
    Ok(())
}
