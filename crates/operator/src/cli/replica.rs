//! `hickoryreel replica add` and `hickoryreel replica remove`.

use bpaf::Bpaf;
use hickoryreel_wire::admin::AddReplica;
use hickoryreel_wire::admin::RemoveReplica;
use hickoryreel_wire::admin::Replica as Member;
use hickoryreel_wire::admin::Status;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;
use crate::ops::wait;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) enum Replica {
    /// Add a replica with an empty disk as a learner; it becomes a voter once it has the whole log
    #[bpaf(command)]
    Add {
        /// Wait until the replica is a voter
        wait: bool,
        /// RPC and administration addresses of the replica
        #[bpaf(positional("RPC/ADMIN"))]
        address: String,
    },
    /// Remove a replica permanently
    #[bpaf(command)]
    Remove {
        /// Id of the replica, or its RPC/ADMIN addresses if only one replica has them
        #[bpaf(positional("ID"))]
        replica: String,
    },
}

pub(super) async fn exec(context: &Context, arguments: &Replica) -> Result<(), Failure> {
    match arguments {
        Replica::Add { wait, address } => add(context, address, *wait).await,
        Replica::Remove { replica } => remove(context, replica).await,
    }
}

async fn add(context: &Context, address: &str, wait: bool) -> Result<(), Failure> {
    let request = AddReplica { address: address.to_owned() };
    let member: Member = context.admin.post("replicas/add", &request).await?;
    if wait {
        wait::voter(context, &member.id).await?;
    }
    if context.json {
        return print::json(&member);
    }
    println!("replica {}", member.id);
    Ok(())
}

async fn remove(context: &Context, replica: &str) -> Result<(), Failure> {
    let status: Status = context.admin.get("status").await?;
    let members = status.replicas.iter();
    let matches: Vec<&Member> =
        members.filter(|member| member.id == replica || member.address == replica).collect();
    let id = match matches.as_slice() {
        [member] => member.id.clone(),
        // The control replica decides about an id that is not a member.
        [] => replica.to_owned(),
        _ => {
            let message = format!("{} replicas have this address; give the id", matches.len());
            return Err(Failure::Arguments(message));
        }
    };
    let answer: String = context.admin.post("replicas/remove", &RemoveReplica { id }).await?;
    if context.json {
        return print::json(&answer);
    }
    println!("{answer}");
    Ok(())
}
