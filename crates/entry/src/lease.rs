//! The lease controller: renews the lease and keeps configuration and endpoints current.

use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::time::unix_millis;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::RenewRequest;
use hickoryreel_wire::rpc::method;
use slog::error;
use slog::info;
use slog::warn;
use tokio::time::MissedTickBehavior;

use crate::routing::Routing;
use crate::run::App;

/// Renews the lease for as long as the process runs.
pub async fn run(app: Arc<App>) {
    let mut ticks = tokio::time::interval(app.settings.renew_every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut directory = 0;
    let mut was_held = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = app.blackboard.hurried() => {}
        }
        let is_held = app.blackboard.check_lease().is_ok();
        if was_held && !is_held {
            // Control ends a holder whose lease lapsed for good, so this entry needs a new one.
            app.blackboard.renew_holder(unix_millis());
            directory = 0;
            app.schedule.on_digest(None);
            warn!(app.log, "the lease lapsed");
        }
        was_held = is_held;
        let renew = RenewRequest {
            holder: app.blackboard.holder(),
            revision: app.blackboard.routing().config.revision,
            directory,
            usage: app.schedule.usage(),
        };
        // The length counts from before the call, so that a slow answer can't stretch the lease.
        let asked = app.blackboard.now();
        match app.control.call::<Grant>(method::LEASE_RENEW, &renew).await {
            Ok(grant) => {
                if grant.whole {
                    forget_absent(&app, &grant);
                }
                directory = grant.directory;
                apply(&app, grant, asked);
                was_held |= app.blackboard.check_lease().is_ok();
            }
            Err(refusal) => {
                directory = 0;
                warn!(app.log, "lease not renewed"; "error" => %refusal.error);
            }
        }
    }
}

/// Removes endpoints that a whole listing of the directory does not have.
fn forget_absent(app: &App, grant: &Grant) {
    for known in app.schedule.known() {
        if !grant.changed.iter().any(|announcement| announcement.endpoint == known) {
            app.schedule.remove(&known);
        }
    }
}

fn apply(app: &App, grant: Grant, asked: Duration) {
    for gone in &grant.gone {
        app.schedule.remove(gone);
    }
    for announcement in grant.changed {
        app.schedule.announce(announcement);
    }
    if let Some(config) = grant.config {
        let revision = config.revision;
        match Routing::new(config) {
            Ok(routing) => {
                let bundle = routing.active.clone();
                if app.blackboard.set_routing(routing)
                    && let Some(bundle) = bundle
                {
                    app.schedule.configure(&bundle, app.settings.queue);
                }
                info!(app.log, "configuration in force"; "revision" => revision);
            }
            Err(cause) => {
                error!(app.log, "configuration not usable"; "revision" => revision, "error" => %cause);
                return;
            }
        }
    }
    // After the configuration, which makes new queues.
    app.schedule.on_digest(grant.digest.as_ref());
    if app.blackboard.routing().config.revision >= grant.revision {
        app.blackboard.extend_lease(asked + Duration::from_millis(grant.length_ms));
    }
}
