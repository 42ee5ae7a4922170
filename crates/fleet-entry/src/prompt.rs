//! The prompt of a request: its shared parts, and what they have to do with crashes of endpoints.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use slog::info;

use crate::dialect::RequestMetadata;
use crate::endpoint::ColdLimit;
use crate::endpoint::Endpoint;
use crate::endpoint::RESTART_DOUBT;
use crate::entry::Entry;
use crate::forward::ActiveRequest;
use crate::quarantine;
use crate::quarantine::Prefix;

/// Endpoints that a request may crash before it waits for a verdict on its prompt.
const MAX_CRASHES_WITHOUT_VERDICT: usize = 2;

fn shared_parts(metadata: &RequestMetadata) -> Prefix {
    let shared = metadata.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let first = shared.len().min(quarantine::MAX_PARTS / 2);
    let deepest = shared.len().saturating_sub(quarantine::MAX_PARTS / 2).max(first);
    shared[..first].iter().chain(&shared[deepest..]).map(|part| part.id).collect()
}

/// Time until a request may be sent, if a part of its prompt is blocked.
pub fn block_left(entry: &Entry, metadata: &RequestMetadata) -> Option<Duration> {
    if metadata.parts.len() < 2 {
        return None;
    }
    let now = boot_time();
    let blocked = entry.quarantine.borrow().blocked(&shared_parts(metadata), now);
    blocked.map(|(_, until)| until.saturating_sub(now))
}

impl ActiveRequest {
    /// Ids of the parts of the prompt that other requests may share, without the middle ones of a
    /// prompt with very many.
    pub fn shared_parts(&self) -> Prefix {
        shared_parts(&self.metadata)
    }

    /// Time until the request may be sent, if a part of its prompt is blocked.
    pub fn block_left(&self) -> Option<Duration> {
        block_left(&self.entry, &self.metadata)
    }

    /// Records that the connection to an endpoint broke before any part of an answer arrived. The
    /// request may have crashed the endpoint; if it accepts no connection any more, it has crashed.
    pub fn record_loss(&self, endpoint: &Rc<Endpoint>) {
        let parts = self.shared_parts();
        if parts.is_empty() {
            return self.check_restart(endpoint);
        }
        let key = endpoint.incarnation_key();
        self.lost.borrow_mut().push(key);
        let is_first = self.entry.quarantine.borrow_mut().record_loss(key, parts, boot_time());
        if !is_first {
            return;
        }
        endpoint.record_break();
        let (entry, endpoint) = (Rc::clone(&self.entry), Rc::clone(endpoint));
        tokio::task::spawn_local(async move {
            let crashed = !endpoint.pool.preconnect().await;
            if crashed {
                endpoint.record_crash();
            }
            let lost = entry.quarantine.borrow_mut().record_check(key, crashed, boot_time());
            info!(entry.log, "connections broke before an answer"; "endpoint" => &*endpoint.id(),
                "crashed" => crashed, "lost" => lost);
        });
    }

    /// Finds out whether an endpoint has ended, after a connection to it broke. It may be cold when it
    /// is back, before its first announcement arrives.
    pub fn check_restart(&self, endpoint: &Rc<Endpoint>) {
        if self.entry.cold_limit(&self.service) != ColdLimit::Restarts || !endpoint.record_break() {
            return;
        }
        let (entry, endpoint) = (Rc::clone(&self.entry), Rc::clone(endpoint));
        tokio::task::spawn_local(async move {
            if endpoint.pool.preconnect().await {
                return;
            }
            endpoint.record_crash();
            info!(entry.log, "endpoint may restart and be cold"; "endpoint" => &*endpoint.id(),
                "doubt_ms" => RESTART_DOUBT.as_millis() as u64);
        });
    }

    /// Waits for a verdict on the prompt if the request may have crashed several endpoints, so that it
    /// does not crash another one meanwhile.
    pub async fn wait_for_verdict(&self) {
        let may_have_crashed = {
            let (lost, quarantine) = (self.lost.borrow(), self.entry.quarantine.borrow());
            lost.iter().filter(|endpoint| quarantine.may_have_crashed(**endpoint)).count()
        };
        if may_have_crashed >= MAX_CRASHES_WITHOUT_VERDICT {
            let left = Duration::from_millis(self.left_ms());
            tokio::time::sleep(quarantine::VERDICT_TIME.min(left / 3)).await;
        }
    }
}
