//! `hickoryreel explain`. Runs without a control replica.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::cli::Context;
use crate::ops::events;
use crate::ops::failure::Failure;
use crate::ops::file;
use crate::ops::print;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Explain {
    /// Id of the request
    #[bpaf(argument("ID"))]
    request: String,
    /// Log files of entries and control replicas
    #[bpaf(positional("FILE"), some("name at least one log"))]
    logs: Vec<PathBuf>,
}

pub(super) fn exec(context: &Context, arguments: &Explain) -> Result<(), Failure> {
    let texts: Vec<String> =
        arguments.logs.iter().map(|path| file::read(path)).collect::<Result<_, _>>()?;
    let events = events::of_request(&arguments.request, texts.iter().flat_map(|text| text.lines()));
    let Some(first) = events.first() else {
        return Err(Failure::Arguments(format!("no log has request {}", arguments.request)));
    };
    if context.json {
        let lines: Vec<_> = events.iter().map(|event| &event.line).collect();
        return print::json(&lines);
    }
    for event in &events {
        println!("{}", event.text(first.at_ms));
    }
    Ok(())
}
