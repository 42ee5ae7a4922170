//! `hickoryreel status`.

use hickoryreel_wire::admin::Status;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;

pub(super) async fn exec(context: &Context) -> Result<(), Failure> {
    let status: Status = context.admin.get("status").await?;
    if context.json {
        return print::json(&status);
    }
    println!("revision   {}", status.config.revision);
    let active = status.config.active.as_ref().map(|published| published.bundle.to_string());
    println!("active     {}", active.as_deref().unwrap_or("none"));
    if let Some(running) = &status.roll_out {
        let paused = if running.paused { ", paused" } else { "" };
        println!(
            "roll-out   {} at {}% (step {}, {} requests exposed{paused})",
            running.bundle, running.percent, running.step, running.exposed
        );
    }
    let withdrawn: Vec<String> = status.config.withdrawn.iter().map(ToString::to_string).collect();
    println!(
        "withdrawn  {}",
        if withdrawn.is_empty() { "none".into() } else { withdrawn.join(", ") }
    );
    for replica in &status.replicas {
        let role = match (replica.leads, replica.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        println!("replica    {} {} {role}", replica.id, replica.address);
    }
    let rows = status.bundles.iter().map(|(id, bundle)| {
        let signed = bundle.signed_off_by.as_ref().map(ToString::to_string).unwrap_or_default();
        vec![id.to_string(), format!("{:?}", bundle.stage), bundle.submitted_by.to_string(), signed]
    });
    print::table(&["bundle", "stage", "submitted by", "signed off by"], rows);
    Ok(())
}
