//! `hickoryreel route`. Runs without a control replica.

use std::net::SocketAddr;

use bpaf::Bpaf;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::explanation::Key;
use hickoryreel_fleet::explanation::Part;
use hickoryreel_fleet::explanation::Question;

use crate::cli::Context;
use crate::ops::entry_link;
use crate::ops::explanation;
use crate::ops::failure::Failure;
use crate::ops::print;
use crate::ops::question::Host;
use crate::ops::question::MAX_PARTS;
use crate::ops::question::Path;
use crate::ops::question::PromptPart;
use crate::ops::question::Tokens;
use crate::ops::question::Word;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Route {
    /// Address for links of the entry: the first port of its port range
    #[bpaf(argument("ADDRESS:PORT"))]
    entry: SocketAddr,
    /// Host of the request
    #[bpaf(argument("HOST"))]
    host: Host,
    /// Path of the request
    #[bpaf(argument("PATH"))]
    path: Path,
    /// API key of the request
    #[bpaf(argument("KEY"))]
    key: Option<String>,
    /// Model that the client names; without it the entry chooses among those of the route
    #[bpaf(argument("MODEL"))]
    model: Option<Word>,
    /// Tokens of the prompt; the sum of the parts by default
    #[bpaf(argument("N"))]
    prompt_tokens: Option<Tokens>,
    /// Part of the prompt, with a hexadecimal id; may be repeated, in order
    #[bpaf(argument("ID:TOKENS"), many)]
    part: Vec<PromptPart>,
    /// Id of the request, if its route has several services or a roll-out is in its trial
    #[bpaf(argument("ID"))]
    request_id: Option<Word>,
    /// Session of the request, if a roll-out is in its trial
    #[bpaf(argument("SESSION"))]
    session: Option<Word>,
    /// Print JSON instead of text
    json: bool,
}

pub(super) async fn exec(context: &Context, arguments: Route) -> Result<(), Failure> {
    let (json, address) = (context.json || arguments.json, arguments.entry);
    if arguments.part.len() > MAX_PARTS {
        return Err(Failure::Arguments(format!("there are more than {MAX_PARTS} parts")));
    }
    // The parser takes options that the command has as well before the command does.
    let key = arguments.key.as_deref().or(context.key.as_deref());
    let key = key.map(str::parse::<Word>).transpose();
    let key = key.map_err(|mistake| Failure::Arguments(format!("wrong --key: {mistake}")))?;
    let parts: Vec<Part> = arguments.part.into_iter().map(Part::from).collect();
    let question = Question {
        id: arguments.request_id.map_or_else(|| "".into(), Into::into),
        session: arguments.session.map(Into::into),
        host: arguments.host.into(),
        path: arguments.path.into(),
        key: key.map(|key| Key::from(Name::from(key))),
        model: arguments.model.map(Into::into),
        prompt_tokens: arguments
            .prompt_tokens
            .map_or_else(|| parts.iter().map(|part| part.tokens).sum(), Into::into),
        parts,
    };
    let explanation = entry_link::explain(address, question).await?;
    if json {
        return print::json(&explanation);
    }
    explanation::print(&explanation);
    Ok(())
}
