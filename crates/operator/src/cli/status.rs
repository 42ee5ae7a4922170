//! `hickoryreel status`.

use hickoryreel_wire::admin::Status;

use crate::cli::Context;
use crate::ops::print;

pub(super) async fn exec(context: &Context) -> eyre::Result<()> {
    let status: Status = context.admin.get("status").await?;
    if context.json {
        return print::json(&status);
    }
    println!("revision   {}", status.config.revision);
    let active = status.config.active.as_ref().map(|published| published.bundle.to_string());
    println!("active     {}", active.as_deref().unwrap_or("none"));
    if let Some(candidate) = &status.config.candidate {
        println!("roll-out   {} at {}%", candidate.published.bundle, candidate.percent);
    }
    let withdrawn: Vec<String> = status.config.withdrawn.iter().map(ToString::to_string).collect();
    println!(
        "withdrawn  {}",
        if withdrawn.is_empty() { "none".into() } else { withdrawn.join(", ") }
    );
    let rows = status.bundles.iter().map(|(id, bundle)| {
        let signed = bundle.signed_off_by.as_ref().map(ToString::to_string).unwrap_or_default();
        vec![id.to_string(), format!("{:?}", bundle.stage), bundle.submitted_by.to_string(), signed]
    });
    print::table(&["bundle", "stage", "submitted by", "signed off by"], rows);
    Ok(())
}
