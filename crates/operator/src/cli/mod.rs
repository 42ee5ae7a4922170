//! Command line, with one module per subcommand.
//!
//! Exit codes: 0 success, 1 refused or invalid, 2 wrong arguments, 3 no leader reachable.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::ops::admin::AdminClient;
use crate::ops::failure::Failure;

mod billing;
mod burn;
mod check;
mod diff;
mod endpoints;
mod explain;
mod in_force;
mod pause;
mod replica;
mod resume;
mod revert;
mod roll_out;
mod route;
mod sign_off;
mod status;
mod submit;
mod withdraw;

const WRONG_ARGUMENTS: u8 = 2;

/// Environment variable with the operator key.
const KEY_VARIABLE: &str = "HICKORYREEL_KEY";

const HELP_COLUMNS: usize = 100;

/// Operates a hickoryreel deployment.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    #[bpaf(external)]
    connection: Connection,
    /// Print JSON instead of tables
    json: bool,
    #[bpaf(external)]
    command: Command,
}

/// How to reach the administration interface and authenticate to it.
#[derive(Bpaf, Clone, Debug)]
struct Connection {
    /// Address of a control replica's administration interface; may be repeated
    #[bpaf(argument("ADDRESS:PORT"), many)]
    control: Vec<SocketAddr>,
    /// Operator key; HICKORYREEL_KEY from the environment by default
    #[bpaf(argument("KEY"))]
    key: Option<String>,
    /// How long to retry until the leader answers, in seconds
    #[bpaf(argument("S"), fallback(10))]
    patience_s: u64,
}

#[derive(Bpaf, Clone, Debug)]
enum Command {
    /// Check a bundle file
    #[bpaf(command)]
    Check(#[bpaf(external(check::cli))] check::Check),
    /// Show what a bundle file would change in the active bundle
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::cli))] diff::Diff),
    /// Submit a bundle file
    #[bpaf(command)]
    Submit(#[bpaf(external(submit::cli))] submit::Submit),
    /// Sign off a bundle that another operator submitted
    #[bpaf(command("sign-off"))]
    SignOff(#[bpaf(external(sign_off::cli))] sign_off::SignOff),
    /// Roll out a signed-off bundle
    #[bpaf(command("roll-out"))]
    RollOut(#[bpaf(external(roll_out::cli))] roll_out::RollOut),
    /// Pause the running roll-out at its current share of traffic
    #[bpaf(command)]
    Pause(#[bpaf(external(pause::cli))] pause::Pause),
    /// Resume a paused roll-out
    #[bpaf(command)]
    Resume(#[bpaf(external(resume::cli))] resume::Resume),
    /// Activate the content of an earlier bundle again
    #[bpaf(command)]
    Revert(#[bpaf(external(revert::cli))] revert::Revert),
    /// Withdraw a version: it receives no new work
    #[bpaf(command)]
    Withdraw(#[bpaf(external(withdraw::cli))] withdraw::Withdraw),
    /// Show the configuration in force and all bundles
    #[bpaf(command)]
    Status,
    /// List endpoints
    #[bpaf(command)]
    Endpoints,
    /// List billed requests
    #[bpaf(command)]
    Billing,
    /// Report how fast each rank uses up its error budget
    #[bpaf(command)]
    Burn(#[bpaf(external(burn::cli))] burn::Burn),
    /// Show whether a revision is in force at every entry
    #[bpaf(command("in-force"))]
    InForce(#[bpaf(external(in_force::cli))] in_force::InForce),
    /// Show the events of one request in the logs of several processes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::cli))] explain::Explain),
    /// Show where a running entry would send a request now, without sending it
    #[bpaf(command)]
    Route(#[bpaf(external(route::cli))] route::Route),
    /// Add or remove control replicas
    #[bpaf(command)]
    Replica(#[bpaf(external(replica::cli))] replica::Replica),
}

/// Client and output format for a subcommand.
pub struct Context {
    pub admin: AdminClient,
    /// Key from the command line.
    pub key: Option<String>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

/// Parses arguments, runs the subcommand and reports a failure on standard error.
#[must_use]
pub fn main() -> ExitCode {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(bpaf::ParseFailure::Stderr(message)) => {
            // Long messages are wrapped; scripts expect one line.
            let message = message.monochrome(true);
            eprintln!("error: {}", message.split_whitespace().collect::<Vec<_>>().join(" "));
            return ExitCode::from(WRONG_ARGUMENTS);
        }
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return ExitCode::SUCCESS;
        }
    };
    let Connection { control, key, patience_s } = arguments.connection;
    let operator_key = key.clone().or_else(|| std::env::var(KEY_VARIABLE).ok()).unwrap_or_default();
    let admin = AdminClient::new(control, operator_key, Duration::from_secs(patience_s));
    let context = Context { admin, key, json: arguments.json };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(exec(&context, arguments.command)),
        Err(cause) => Err(Failure::UnexpectedAnswer(cause.to_string())),
    };
    let Err(failure) = result else { return ExitCode::SUCCESS };
    if context.json {
        eprintln!("{}", failure.json());
    } else {
        eprintln!("error: {failure}");
    }
    failure.exit_code()
}

async fn exec(context: &Context, command: Command) -> Result<(), Failure> {
    match command {
        Command::Check(arguments) => check::exec(context, &arguments),
        Command::Diff(arguments) => diff::exec(context, &arguments).await,
        Command::Submit(arguments) => submit::exec(context, &arguments).await,
        Command::SignOff(arguments) => sign_off::exec(context, &arguments).await,
        Command::RollOut(arguments) => roll_out::exec(context, &arguments).await,
        Command::Pause(arguments) => pause::exec(context, &arguments).await,
        Command::Resume(arguments) => resume::exec(context, &arguments).await,
        Command::Revert(arguments) => revert::exec(context, &arguments).await,
        Command::Withdraw(arguments) => withdraw::exec(context, &arguments).await,
        Command::Status => status::exec(context).await,
        Command::Endpoints => endpoints::exec(context).await,
        Command::Billing => billing::exec(context).await,
        Command::Burn(arguments) => burn::exec(context, &arguments).await,
        Command::InForce(arguments) => in_force::exec(context, &arguments).await,
        Command::Explain(arguments) => explain::exec(context, &arguments),
        Command::Route(arguments) => route::exec(context, arguments).await,
        Command::Replica(arguments) => replica::exec(context, &arguments).await,
    }
}
