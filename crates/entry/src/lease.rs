//! The lease controller: renews the lease and keeps configuration and endpoints current.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::Renew;
use hickoryreel_wire::rpc::method;
use slog::error;
use slog::info;
use slog::warn;

use crate::routing::Routing;
use crate::run::App;

/// Renews the lease for as long as the process runs.
pub async fn run(app: Arc<App>) {
    let mut ticks = tokio::time::interval(app.settings.renew_every);
    let mut directory = 0;
    loop {
        ticks.tick().await;
        let renew = Renew {
            holder: app.holder.clone(),
            revision: app.blackboard.routing().config.revision,
            directory,
        };
        // The length counts from before the call, so that a slow answer can't stretch the lease.
        let asked = Instant::now();
        match app.control.call::<Grant>(method::LEASE_RENEW, &renew).await {
            Ok(grant) => {
                directory = grant.directory;
                apply(&app, grant, asked);
            }
            Err(refusal) => {
                directory = 0;
                warn!(app.log, "lease not renewed"; "error" => %refusal.error);
            }
        }
    }
}

fn apply(app: &App, grant: Grant, asked: Instant) {
    let mut endpoints = (*app.blackboard.endpoints()).clone();
    for gone in &grant.gone {
        endpoints.remove(gone);
    }
    for announcement in grant.changed {
        endpoints.insert(announcement.endpoint.clone(), announcement);
    }
    app.blackboard.set_endpoints(endpoints);
    if let Some(config) = grant.config {
        let revision = config.revision;
        match Routing::new(config) {
            Ok(routing) => {
                app.blackboard.set_routing(routing);
                info!(app.log, "configuration in force"; "revision" => revision);
            }
            Err(cause) => {
                error!(app.log, "configuration not usable"; "revision" => revision, "error" => %cause);
                return;
            }
        }
    }
    if app.blackboard.routing().config.revision >= grant.revision {
        app.blackboard.extend_lease(asked + Duration::from_millis(grant.length_ms));
    }
}
