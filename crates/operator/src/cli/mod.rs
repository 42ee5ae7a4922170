//! Subcommands. Exit codes: 0 done, 1 refused or failed, 2 wrong arguments.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::ops::admin::Admin;

mod billing;
mod burn;
mod check;
mod endpoints;
mod roll_out;
mod sign_off;
mod status;
mod submit;
mod withdraw;

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

/// Where the administration interface is and who asks.
#[derive(Bpaf, Clone, Debug)]
struct Connection {
    /// Address of a control replica's administration interface; may be repeated
    #[bpaf(argument("ADDRESS:PORT"), many)]
    control: Vec<SocketAddr>,
    /// Operator key
    #[bpaf(env("HICKORYREEL_KEY"), argument("KEY"), fallback(String::new()))]
    key: String,
}

#[derive(Bpaf, Clone, Debug)]
enum Command {
    /// Check a bundle file
    #[bpaf(command)]
    Check(#[bpaf(external(check::cli))] check::Check),
    /// Submit a bundle file
    #[bpaf(command)]
    Submit(#[bpaf(external(submit::cli))] submit::Submit),
    /// Sign off a bundle that another operator submitted
    #[bpaf(command("sign-off"))]
    SignOff(#[bpaf(external(sign_off::cli))] sign_off::SignOff),
    /// Roll out a signed-off bundle
    #[bpaf(command("roll-out"))]
    RollOut(#[bpaf(external(roll_out::cli))] roll_out::RollOut),
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
}

/// What a subcommand needs to run.
pub struct Context {
    /// The administration interface.
    pub admin: Admin,
    /// Whether to print JSON.
    pub json: bool,
}

/// Parses arguments, runs the subcommand and reports failure on standard error.
#[must_use]
pub fn main() -> ExitCode {
    let arguments = arguments().run();
    let admin = Admin::new(arguments.connection.control, arguments.connection.key);
    let context = Context { admin, json: arguments.json };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(exec(&context, arguments.command)),
        Err(cause) => Err(cause.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("error: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn exec(context: &Context, command: Command) -> eyre::Result<()> {
    match command {
        Command::Check(arguments) => check::exec(&arguments),
        Command::Submit(arguments) => submit::exec(context, &arguments).await,
        Command::SignOff(arguments) => sign_off::exec(context, &arguments).await,
        Command::RollOut(arguments) => roll_out::exec(context, &arguments).await,
        Command::Withdraw(arguments) => withdraw::exec(context, &arguments).await,
        Command::Status => status::exec(context).await,
        Command::Endpoints => endpoints::exec(context).await,
        Command::Billing => billing::exec(context).await,
        Command::Burn(arguments) => burn::exec(context, &arguments).await,
    }
}
