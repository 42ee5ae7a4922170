//! `hickoryreel billing`.

use hickoryreel_state::record::Bill;
use hickoryreel_state::record::Target;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;

pub(super) async fn exec(context: &Context) -> Result<(), Failure> {
    let bills: Vec<Bill> = context.admin.get("billing").await?;
    if context.json {
        return print::json(&bills);
    }
    let rows = bills.iter().map(|bill| {
        let target = match &bill.target {
            Target::Version(version) => version.to_string(),
            Target::Service(service) => service.to_string(),
        };
        vec![
            bill.key.workspace.to_string(),
            bill.key.request.to_string(),
            target,
            bill.usage.prompt_tokens.to_string(),
            bill.usage.completion_tokens.to_string(),
            format!("{:.6}", bill.usage.cost),
        ]
    });
    let head = ["workspace", "request", "ran on", "prompt tokens", "completion tokens", "cost"];
    print::table(&head, rows);
    Ok(())
}
