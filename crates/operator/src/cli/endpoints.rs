//! `hickoryreel endpoints`.

use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Role;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;

pub(super) async fn exec(context: &Context) -> Result<(), Failure> {
    let endpoints: Vec<Announcement> = context.admin.get("endpoints").await?;
    if context.json {
        return print::json(&endpoints);
    }
    let rows = endpoints.iter().map(|endpoint| {
        let serves = match &endpoint.role {
            Role::Engine { versions, .. } => {
                versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
            }
            Role::Service { service } => service.to_string(),
        };
        let load = format!("{}/{}", endpoint.load.running, endpoint.load.slots);
        vec![
            endpoint.endpoint.to_string(),
            endpoint.region.to_string(),
            endpoint.zone.to_string(),
            format!("{:?}", endpoint.state).to_lowercase(),
            load,
            serves,
        ]
    });
    print::table(&["endpoint", "region", "zone", "state", "load", "serves"], rows);
    Ok(())
}
