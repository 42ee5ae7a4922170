//! Lease controller: renews the lease and keeps the configuration and the endpoints up to date.

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

pub async fn run(app: Arc<App>) {
    let mut ticks = tokio::time::interval(app.settings.renew_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut directory = 0;
    let mut was_held = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = app.blackboard.renewal_requested() => {}
        }
        let is_held = app.blackboard.check_lease().is_ok();
        if was_held && !is_held {
            // Control permanently rejects a holder whose lease lapsed, so this entry needs a new
            // incarnation.
            app.blackboard.start_new_incarnation(unix_millis());
            directory = 0;
            app.scheduler.on_digest(None);
            warn!(app.log, "the lease lapsed");
        }
        was_held = is_held;
        let renew = RenewRequest {
            holder: app.blackboard.holder(),
            revision: app.blackboard.routing().config.revision,
            directory,
            usage: app.scheduler.usage(),
        };
        // The lease is counted from before the call, so that a slow response cannot extend it.
        let sent_at = app.blackboard.now();
        match app.control.call::<Grant>(method::LEASE_RENEW, &renew).await {
            Ok(grant) => {
                if grant.whole {
                    remove_unlisted_endpoints(&app, &grant);
                }
                directory = grant.directory;
                apply(&app, grant, sent_at);
                was_held |= app.blackboard.check_lease().is_ok();
            }
            Err(refusal) => {
                directory = 0;
                warn!(app.log, "lease renewal failed"; "error" => %refusal.error);
            }
        }
    }
}

/// Removes known endpoints that are absent from a full listing of the directory.
fn remove_unlisted_endpoints(app: &App, grant: &Grant) {
    for endpoint in app.scheduler.known_endpoints() {
        if !grant.changed.iter().any(|announcement| announcement.endpoint == endpoint) {
            app.scheduler.remove(&endpoint);
        }
    }
}

fn apply(app: &App, grant: Grant, sent_at: Duration) {
    for gone in &grant.gone {
        app.scheduler.remove(gone);
    }
    for announcement in grant.changed {
        app.scheduler.announce(announcement);
    }
    if let Some(config) = grant.config {
        let revision = config.revision;
        match Routing::new(config) {
            Ok(routing) => {
                let active = routing.active.clone();
                if app.blackboard.set_routing(routing)
                    && let Some(bundle) = active
                {
                    app.scheduler.configure(&bundle, app.settings.queue_capacity);
                }
                info!(app.log, "configuration applied"; "revision" => revision);
            }
            Err(cause) => {
                error!(app.log, "configuration is invalid"; "revision" => revision, "error" => %cause);
                return;
            }
        }
    }
    // The digest must be applied after the configuration, which creates new queues.
    app.scheduler.on_digest(grant.digest.as_ref());
    if app.blackboard.routing().config.revision >= grant.revision {
        app.blackboard.extend_lease(sent_at + Duration::from_millis(grant.length_ms));
    }
}
